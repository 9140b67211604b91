/// Which build began a stream: what routers remember, write to the log and
/// read from it, replayed on a manual clock.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/builds.h"
#include "core/xmalloc.h"
#include "suites.h"

#define LIFETIME_MS 10000
/// Of streams, as clients know it.
#define STREAM_MS 8000
#define ROUTERS 3
#define HISTORIES 40
#define HISTORY_STEPS 2000
#define HISTORY_STEP_MS 100
#define HISTORY_BATCH_MS 200
#define HISTORY_STREAMS_MAX (HISTORY_STEPS * ROUTERS)
#define LOG_MAX (HISTORY_STEPS * ROUTERS)
#define WALL_MS INT64_C(1796692305946)
#define SERVICE 11
#define OTHER_SERVICE 12
#define V1 101
#define V2 102
#define ELSEWHERE 103

static struct manual_clock manual_time;
static struct manual_clock manual_wall;
static struct clock manual_clock;
static struct clock manual_wall_clock;

static struct builds *
new_router(void)
{
    return builds_new(&(struct builds_options){
        .clock = &manual_clock,
        .wall_clock = &manual_wall_clock,
        .lifetime_ms = LIFETIME_MS,
    });
}

static void
reset_time(void)
{
    manual_time.now_us = 1000000;
    manual_wall.now_us = WALL_MS * 1000;
    manual_clock = manual_clock_interface(&manual_time);
    manual_wall_clock = manual_clock_interface(&manual_wall);
}

static void
pass_ms(int64_t ms)
{
    manual_time.now_us += ms * 1000;
    manual_wall.now_us += ms * 1000;
}

/// Writes what is due of one router, and reads it at another one; returns the
/// number of batches.
static size_t
pass_batches(struct builds *from, struct builds *to)
{
    struct str batch;
    size_t count = 0;

    while (builds_take_batch(from, &batch)) {
        struct err err = {0};

        builds_batch_written(from, true);
        CU_ASSERT(builds_apply(to, batch, &err));
        free((char *)batch.data);
        count++;
    }
    return count;
}

static uint64_t
build_of(const struct builds *builds, uint64_t stream)
{
    struct builds_stream found;

    return builds_find(builds, stream, &found) ? found.build : 0;
}

static enum builds_verdict
judge(const struct builds *builds)
{
    uint64_t build = 0;
    enum builds_verdict verdict =
        builds_judge_unknown(builds, SERVICE, &build);

    CU_ASSERT((verdict == BUILDS_GO_ON) == (build != 0));
    return verdict;
}

/// A service with one build costs no writes. When a second one is seen, other
/// routers learn of the streams that had begun before.
static void
test_second_build(void)
{
    struct builds *first, *second;

    reset_time();
    first = new_router();
    second = new_router();
    builds_see(first, SERVICE, V1, 1);
    builds_see(first, OTHER_SERVICE, ELSEWHERE, 1);
    builds_record(first, 1, SERVICE, V1);
    builds_record(first, 2, SERVICE, V1);
    builds_record_end(first, 2);
    builds_record(first, 3, OTHER_SERVICE, ELSEWHERE);
    CU_ASSERT(pass_batches(first, second) == 0);
    CU_ASSERT(build_of(first, 1) == V1 && build_of(first, 2) == 0);
    builds_see(first, SERVICE, V2, 0);
    builds_record(first, 4, SERVICE, V2);
    builds_record(first, 4, SERVICE, V2);
    builds_record_end(first, 4);
    CU_ASSERT(builds_pending_count(first) == 2);
    CU_ASSERT(pass_batches(first, second) == 1);
    CU_ASSERT(build_of(second, 1) == V1 && build_of(second, 4) == V2);
    CU_ASSERT(build_of(second, 2) == 0 && build_of(second, 3) == 0);
    CU_ASSERT(pass_batches(first, second) == 0);
    builds_free(first);
    builds_free(second);
}

/// What is known of a stream expires, and what a router has recorded itself is
/// not replaced by the log.
static void
test_expiry(void)
{
    struct builds *first, *second;

    reset_time();
    first = new_router();
    second = new_router();
    builds_see(first, SERVICE, V1, 0);
    builds_see(first, SERVICE, V2, 0);
    builds_record(first, 1, SERVICE, V1);
    builds_record(second, 1, SERVICE, V2);
    CU_ASSERT(pass_batches(first, second) == 1);
    CU_ASSERT(build_of(second, 1) == V2);
    pass_ms(LIFETIME_MS - 1);
    CU_ASSERT(build_of(first, 1) == V1);
    pass_ms(1);
    CU_ASSERT(build_of(first, 1) == 0);
    builds_tick(first);
    CU_ASSERT(builds_stream_count(first) == 0);
    // Both builds are long out of use, so that one is the only one again.
    pass_ms(4 * LIFETIME_MS);
    builds_see(first, SERVICE, V2, 1);
    builds_record(first, 2, SERVICE, V2);
    CU_ASSERT(pass_batches(first, second) == 0);
    builds_free(first);
    builds_free(second);
}

/// A stream that is not known goes on only if no other build can have begun
/// it.
static void
test_unknown(void)
{
    struct builds *builds;

    reset_time();
    builds = new_router();
    CU_ASSERT(judge(builds) == BUILDS_NONE_SEEN);
    builds_see(builds, SERVICE, V1, 0);
    CU_ASSERT(judge(builds) == BUILDS_TOO_YOUNG);
    builds_see(builds, SERVICE, V1, WALL_MS - LIFETIME_MS + 1);
    CU_ASSERT(judge(builds) == BUILDS_TOO_YOUNG);
    pass_ms(1);
    CU_ASSERT(judge(builds) == BUILDS_GO_ON);
    builds_see(builds, SERVICE, V1, WALL_MS);
    CU_ASSERT(judge(builds) == BUILDS_GO_ON);
    builds_see(builds, OTHER_SERVICE, ELSEWHERE, 0);
    CU_ASSERT(judge(builds) == BUILDS_GO_ON);
    builds_see(builds, SERVICE, V2, 0);
    CU_ASSERT(judge(builds) == BUILDS_SEVERAL_SEEN);
    // The first one is out of use for the lifetime of a stream.
    pass_ms(LIFETIME_MS);
    builds_see(builds, SERVICE, V2, 0);
    CU_ASSERT(judge(builds) == BUILDS_SEVERAL_SEEN);
    pass_ms(1);
    builds_see(builds, SERVICE, V2, 0);
    CU_ASSERT(judge(builds) == BUILDS_GO_ON);
    builds_free(builds);
}

/// A router that has started after a build went out of use learns of it from
/// the log.
static void
test_other_logged(void)
{
    struct builds *before, *after;
    struct str batch = {0};
    struct err err = {0};

    reset_time();
    before = new_router();
    after = new_router();
    builds_see(before, SERVICE, V1, 0);
    builds_see(before, SERVICE, V2, 0);
    CU_ASSERT(builds_pending_count(before) == 0);
    CU_ASSERT_FATAL(builds_take_batch(before, &batch));
    builds_see(after, SERVICE, V2, 1);
    CU_ASSERT(judge(after) == BUILDS_GO_ON);
    CU_ASSERT(builds_apply(after, batch, &err));
    CU_ASSERT(judge(after) == BUILDS_OTHER_LOGGED);
    // A stream may have begun shortly before the next batch was due.
    pass_ms(LIFETIME_MS * 3 / 2);
    builds_see(after, SERVICE, V2, 1);
    CU_ASSERT(judge(after) == BUILDS_OTHER_LOGGED);
    pass_ms(LIFETIME_MS / 2 + BUILDS_CLOCK_SKEW_MS);
    builds_see(after, SERVICE, V2, 1);
    CU_ASSERT(judge(after) == BUILDS_GO_ON);
    // Read again once it is outdated.
    CU_ASSERT(builds_apply(after, batch, &err));
    CU_ASSERT(judge(after) == BUILDS_GO_ON);
    free((char *)batch.data);
    builds_free(before);
    builds_free(after);
}

/// A build has gone out of use, and other routers still refuse unknown
/// streams: the streams of the one that is left are written as before.
static void
test_written_after_release(void)
{
    struct builds *first, *second, *started;

    reset_time();
    first = new_router();
    second = new_router();
    started = new_router();
    builds_see(first, SERVICE, V1, 1);
    builds_see(first, SERVICE, V2, 1);
    CU_ASSERT(pass_batches(first, second) == 1);
    pass_ms(LIFETIME_MS + 1);
    builds_see(first, SERVICE, V2, 1);
    builds_see(second, SERVICE, V2, 1);
    CU_ASSERT(judge(second) == BUILDS_OTHER_LOGGED);
    builds_record(first, 1, SERVICE, V2);
    CU_ASSERT(pass_batches(first, second) == 1);
    CU_ASSERT(build_of(second, 1) == V2);
    // A router that has started since has seen one build only. It learns of
    // the other one when it has begun a stream.
    builds_see(started, SERVICE, V2, 1);
    builds_record(started, 2, SERVICE, V2);
    CU_ASSERT(builds_pending_count(started) == 0);
    builds_see(first, SERVICE, V1, 1);
    CU_ASSERT(pass_batches(first, started) == 1);
    CU_ASSERT(pass_batches(started, second) == 1);
    CU_ASSERT(build_of(second, 2) == V2);
    builds_free(first);
    builds_free(second);
    builds_free(started);
}

/// The only build is new, so that unknown streams are refused: its streams are
/// written.
static void
test_written_of_young(void)
{
    struct builds *first, *second;

    reset_time();
    first = new_router();
    second = new_router();
    builds_see(first, SERVICE, V1, WALL_MS - LIFETIME_MS + 1);
    builds_see(second, SERVICE, V1, WALL_MS - LIFETIME_MS + 1);
    builds_record(first, 1, SERVICE, V1);
    CU_ASSERT(judge(second) == BUILDS_TOO_YOUNG);
    CU_ASSERT(pass_batches(first, second) == 1);
    CU_ASSERT(build_of(second, 1) == V1);
    pass_ms(1);
    builds_record(first, 2, SERVICE, V1);
    CU_ASSERT(judge(second) == BUILDS_GO_ON);
    CU_ASSERT(pass_batches(first, second) == 0);
    builds_free(first);
    builds_free(second);
}

/// A service has had two builds without a stream for long. All routers are
/// killed right after one has begun, before it is written, and its build goes
/// out of use: new routers know from the log that there were two.
static void
test_killed_before_batch(void)
{
    struct builds *before, *after;
    struct str batch;

    reset_time();
    before = new_router();
    after = new_router();
    for (int64_t ms = 0; ms < 4 * LIFETIME_MS; ms += 100) {
        builds_see(before, SERVICE, V1, 0);
        builds_see(before, SERVICE, V2, 0);
        builds_tick(before);
        if (builds_take_batch(before, &batch)) {
            struct err err = {0};

            builds_batch_written(before, true);
            CU_ASSERT(builds_apply(after, batch, &err));
            free((char *)batch.data);
        }
        pass_ms(100);
    }
    builds_record(before, 1, SERVICE, V1);
    builds_see(after, SERVICE, V2, 1);
    CU_ASSERT(judge(after) == BUILDS_OTHER_LOGGED);
    pass_ms(LIFETIME_MS - 1);
    builds_see(after, SERVICE, V2, 1);
    CU_ASSERT(judge(after) == BUILDS_OTHER_LOGGED);
    builds_free(before);
    builds_free(after);
}

/// One random history of routers that are killed and started, of builds that
/// replace each other, and of streams that are taken up anywhere.
struct history {
    struct random_seeded seeded;
    struct random_source random;
    struct builds *routers[ROUTERS];
    size_t read[ROUTERS]; ///< batches of the log
    int64_t written_ms[ROUTERS];
    struct str log[LOG_MAX];
    size_t log_count;
    uint64_t running[2]; ///< builds; 0: none
    int64_t started_ms[2];
    uint64_t last_build;
    uint64_t streams[HISTORY_STREAMS_MAX]; ///< the builds that began them
    int64_t begun_ms[HISTORY_STREAMS_MAX];
    size_t stream_count;
    size_t known;
    size_t unknown;
    size_t refused;
};

static bool
happens(struct history *history, uint64_t one_in)
{
    return random_below(&history->random, one_in) == 0;
}

static void
see_running(struct history *history, size_t i)
{
    for (size_t k = 0; k < 2; k++) {
        if (history->running[k] != 0) {
            builds_see(history->routers[i], SERVICE, history->running[k],
                       history->started_ms[k]);
        }
    }
    builds_tick(history->routers[i]);
}

static void
restart_router(struct history *history, size_t i)
{
    builds_free(history->routers[i]);
    history->routers[i] = new_router();
    history->read[i] = 0;
    see_running(history, i);
}

static void
change_builds(struct history *history)
{
    size_t k = random_below(&history->random, 2);

    if (history->running[1 - k] == 0 || happens(history, 2)) {
        history->running[k] = ++history->last_build;
        history->started_ms[k] = clock_ms(&manual_wall_clock);
    }
    else {
        history->running[k] = 0;
    }
}

static void
read_log(struct history *history, size_t i)
{
    struct err err = {0};

    while (history->read[i] < history->log_count) {
        CU_ASSERT(builds_apply(history->routers[i],
                               history->log[history->read[i]++], &err));
    }
}

static void
write_log(struct history *history, size_t i)
{
    int64_t now_ms = clock_ms(&manual_clock);
    struct str batch;

    if (now_ms - history->written_ms[i] < HISTORY_BATCH_MS ||
        history->log_count == LOG_MAX ||
        !builds_take_batch(history->routers[i], &batch)) {
        return;
    }
    history->written_ms[i] = now_ms;
    history->log[history->log_count++] = batch;
    builds_batch_written(history->routers[i], true);
}

static void
begin_stream(struct history *history, size_t i)
{
    uint64_t build = history->running[random_below(&history->random, 2)];

    if (build != 0 && history->stream_count < HISTORY_STREAMS_MAX) {
        history->streams[history->stream_count] = build;
        history->begun_ms[history->stream_count] = clock_ms(&manual_clock);
        builds_record(history->routers[i], history->stream_count++, SERVICE,
                      build);
    }
}

/// Takes up one of the last streams; false if it goes on at another build.
static bool
take_up(struct history *history, size_t i)
{
    uint64_t last = history->stream_count < 20 ? history->stream_count : 20;
    uint64_t id;
    uint64_t build = 0;

    if (last == 0) {
        return true;
    }
    id = history->stream_count - 1 - random_below(&history->random, last);
    if (clock_ms(&manual_clock) - history->begun_ms[id] >= STREAM_MS) {
        return true;
    }
    if (build_of(history->routers[i], id) == 0) {
        read_log(history, i);
    }
    build = build_of(history->routers[i], id);
    history->known += build != 0 ? 1 : 0;
    if (build == 0) {
        bool goes_on = builds_judge_unknown(history->routers[i], SERVICE,
                                            &build) == BUILDS_GO_ON;

        history->unknown += goes_on ? 1 : 0;
        history->refused += goes_on ? 0 : 1;
    }
    return build == 0 || build == history->streams[id];
}

static void
run_history(struct history *history, uint64_t seed)
{
    *history = (struct history){.seeded.state = seed};
    history->random = random_seeded_interface(&history->seeded);
    reset_time();
    change_builds(history);
    history->started_ms[0] = history->started_ms[1] = 1;
    for (size_t i = 0; i < ROUTERS; i++) {
        restart_router(history, i);
    }
    for (size_t step = 0; step < HISTORY_STEPS; step++) {
        bool all_restart = happens(history, 400);

        if (happens(history, 150)) {
            change_builds(history);
        }
        for (size_t i = 0; i < ROUTERS; i++) {
            if (all_restart || happens(history, 500)) {
                restart_router(history, i);
            }
            see_running(history, i);
            if (happens(history, 5)) {
                begin_stream(history, i);
            }
            write_log(history, i);
            if (happens(history, 3) && !take_up(history, i)) {
                printf("seed %llu: joined at step %zu\n",
                       (unsigned long long)seed, step);
                CU_FAIL("a stream was joined from two builds");
                step = HISTORY_STEPS;
                break;
            }
        }
        pass_ms(HISTORY_STEP_MS);
    }
    for (size_t i = 0; i < ROUTERS; i++) {
        builds_free(history->routers[i]);
    }
    for (size_t i = 0; i < history->log_count; i++) {
        free((char *)history->log[i].data);
    }
}

/// In random histories no stream is joined from two builds, and most take-ups
/// go on.
static void
test_histories(void)
{
    struct history *history = xcalloc(1, sizeof(*history));
    size_t known = 0, unknown = 0, refused = 0;

    for (uint64_t seed = 1; seed <= HISTORIES; seed++) {
        run_history(history, seed);
        known += history->known;
        unknown += history->unknown;
        refused += history->refused;
    }
    printf("histories: known %zu, unknown %zu, refused %zu\n", known, unknown,
           refused);
    CU_ASSERT(unknown > 0 && refused > 0);
    CU_ASSERT(refused < (known + unknown) / 4);
    free(history);
}

static void
put_ids(unsigned char *ids, const uint64_t *streams, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        builds_put_id(ids + i * BUILDS_ID_BYTES, streams[i]);
    }
}

/// A router asks another one for streams: it learns of those that are known
/// there, and of no other.
static void
test_asked_streams(void)
{
    static const uint64_t asked[] = {1, 2, 3, 4, UINT64_MAX, 6};
    unsigned char ids[sizeof(asked)];
    struct str text = {(const char *)ids, sizeof(ids)};
    struct builds *first, *second;
    struct str batch = {0};
    struct err err = {0};

    reset_time();
    first = new_router();
    second = new_router();
    put_ids(ids, asked, 6);
    CU_ASSERT(!builds_known(first, text, &batch));
    builds_record(first, 1, SERVICE, V1);
    builds_record(first, 3, SERVICE, V2);
    builds_record(first, 4, SERVICE, V1);
    builds_record(first, UINT64_MAX, OTHER_SERVICE, ELSEWHERE);
    builds_record(first, 7, SERVICE, V2);
    CU_ASSERT_FATAL(builds_known(first, text, &batch));
    CU_ASSERT(builds_apply(second, batch, &err));
    free((char *)batch.data);
    CU_ASSERT(build_of(second, 1) == V1 && build_of(second, 4) == V1);
    CU_ASSERT(build_of(second, 3) == V2);
    CU_ASSERT(build_of(second, UINT64_MAX) == ELSEWHERE);
    CU_ASSERT(build_of(second, 2) == 0 && build_of(second, 6) == 0);
    CU_ASSERT(build_of(second, 7) == 0);
    pass_ms(LIFETIME_MS);
    CU_ASSERT(!builds_known(first, text, &batch));
    builds_free(first);
    builds_free(second);
}

/// What waits to be written is copied once, also when batches fail and when
/// some of it is written in between.
static void
test_copies(void)
{
    struct builds *first, *second;
    struct str batch;
    struct err err = {0};

    reset_time();
    first = new_router();
    second = new_router();
    builds_see(first, SERVICE, V1, 1);
    builds_see(first, SERVICE, V2, 1);
    for (uint64_t i = 1; i <= BUILDS_COPY_STREAMS_MAX + 1; i++) {
        CU_ASSERT(builds_record(first, i, SERVICE, i % 2 == 0 ? V1 : V2));
    }
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT_FATAL(builds_take_copy(first, &batch));
        CU_ASSERT(builds_apply(second, batch, &err));
        free((char *)batch.data);
    }
    CU_ASSERT(!builds_take_copy(first, &batch));
    CU_ASSERT(build_of(second, 1) == V2 && build_of(second, 2) == V1);
    CU_ASSERT(build_of(second, BUILDS_COPY_STREAMS_MAX + 1) == V2);
    CU_ASSERT_FATAL(builds_take_batch(first, &batch));
    free((char *)batch.data);
    CU_ASSERT(builds_record(first, 1000, SERVICE, V1));
    builds_batch_written(first, false);
    CU_ASSERT_FATAL(builds_take_batch(first, &batch));
    free((char *)batch.data);
    CU_ASSERT(builds_record(first, 1001, SERVICE, V1));
    builds_batch_written(first, true);
    CU_ASSERT_FATAL(builds_take_copy(first, &batch));
    CU_ASSERT(builds_apply(second, batch, &err));
    free((char *)batch.data);
    CU_ASSERT(build_of(second, 1001) == V1);
    // It was written before it was copied.
    CU_ASSERT(build_of(second, 1000) == 0);
    builds_free(first);
    builds_free(second);
}

/// Failed appends are written again, with what has come meanwhile, in batches
/// of a bounded length; beyond the bound on what waits streams are dropped.
static void
test_failed_appends(void)
{
    struct builds *first, *second;
    struct str batch;

    reset_time();
    first = new_router();
    second = new_router();
    builds_see(first, SERVICE, V1, 0);
    builds_see(first, SERVICE, V2, 0);
    builds_record(first, 1, SERVICE, V1);
    CU_ASSERT_FATAL(builds_take_batch(first, &batch));
    free((char *)batch.data);
    builds_record(first, 2, SERVICE, V2);
    builds_batch_written(first, false);
    CU_ASSERT(builds_pending_count(first) == 2);
    CU_ASSERT(pass_batches(first, second) == 1);
    CU_ASSERT(build_of(second, 1) == V1 && build_of(second, 2) == V2);
    for (uint64_t i = 0; i < BUILDS_PENDING_MAX + 5; i++) {
        builds_record(first, 100 + i, SERVICE, V1);
    }
    CU_ASSERT(builds_dropped_count(first) == 5);
    CU_ASSERT(pass_batches(first, second) ==
              BUILDS_PENDING_MAX / BUILDS_BATCH_STREAMS_MAX);
    CU_ASSERT(build_of(second, 100) == V1);
    for (uint64_t i = 0; i < BUILDS_STREAMS_MAX; i++) {
        builds_record(first, i << 32, SERVICE, V1);
    }
    CU_ASSERT(builds_stream_count(first) == BUILDS_STREAMS_MAX);
    builds_free(first);
    builds_free(second);
}

/// Bytes that are no batch change nothing.
static void
test_odd_bytes(void)
{
    static const struct {
        const char *bytes;
        size_t len;
    } cases[] = {
        {"", 0},
        {"x", 1},
        {"{\"a\":1}", 7},
        {"\x90", 1},             // no elements
        {"\x92\x01", 2},         // truncated
        {"\x93\x01\x01\x01", 4}, // part of a group
        {"\x92\x02\x01", 3},     // another format
        {"\x92\x01\x01\x01", 4}, // surplus
        {"\x95\x01\x01\x01\x01\xc4\x07"
         "1234567",
         14}, // a part of an id
        {"\x95\x01\x01\x01\x01\xc4\x08"
         "1234567",
         14},                                    // truncated ids
        {"\x95\x01\x01\x01\x01\x01", 6},         // a number for the ids
        {"\x95\x01\x01\x01\xc4\x00\xc4\x00", 8}, // bytes for a build
        {"\x95\x01\x01\x01\xff\xc4\x00", 7},     // a negative number
        {"\x95\x01\x01\x01\xa0\xc4\x00", 7},     // text
        {"\xdd\xff\xff\xff\xff\x01\x01", 7},     // a huge array
        {"\xdd\x00", 2},
        {"\x95\x01\x01\x01\x01\xc6\xff\xff\xff\xff", 10},
    };
    struct builds *builds;

    reset_time();
    builds = new_router();
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct err err = {0};

        CU_ASSERT(!builds_apply(
            builds, (struct str){cases[i].bytes, cases[i].len}, &err));
        CU_ASSERT(err.message[0] != '\0');
    }
    CU_ASSERT(builds_stream_count(builds) == 0);
    builds_free(builds);
}

/// Every change of one byte, and every truncation, of a batch is read without
/// harm.
static void
test_damaged_batch(void)
{
    struct builds *builds;
    struct str batch;
    char *copy;

    reset_time();
    builds = new_router();
    builds_see(builds, SERVICE, V1, 0);
    builds_see(builds, SERVICE, V2, 0);
    builds_record(builds, 1, SERVICE, V1);
    CU_ASSERT_FATAL(builds_take_batch(builds, &batch));
    for (size_t i = 0; i < batch.len; i++) {
        struct err err = {0};

        copy = xmalloc(i + 1);
        memcpy(copy, batch.data, i);
        CU_ASSERT(!builds_apply(builds, (struct str){copy, i}, &err));
        free(copy);
        for (int value = 0; value < 256; value++) {
            copy = xmalloc(batch.len);
            memcpy(copy, batch.data, batch.len);
            copy[i] = (char)value;
            (void)builds_apply(builds, (struct str){copy, batch.len}, &err);
            free(copy);
        }
    }
    CU_ASSERT(build_of(builds, 1) == V1);
    free((char *)batch.data);
    builds_free(builds);
}

void
suite_builds(void)
{
    CU_pSuite suite = CU_add_suite("builds", NULL, NULL);

    CU_add_test(suite, "second build", test_second_build);
    CU_add_test(suite, "expiry", test_expiry);
    CU_add_test(suite, "unknown stream", test_unknown);
    CU_add_test(suite, "other build in the log", test_other_logged);
    CU_add_test(suite, "written after a release", test_written_after_release);
    CU_add_test(suite, "written of a young build", test_written_of_young);
    CU_add_test(suite, "killed before a batch", test_killed_before_batch);
    CU_add_test(suite, "random histories", test_histories);
    CU_add_test(suite, "asked streams", test_asked_streams);
    CU_add_test(suite, "copies of waiting streams", test_copies);
    CU_add_test(suite, "failed appends", test_failed_appends);
    CU_add_test(suite, "odd bytes", test_odd_bytes);
    CU_add_test(suite, "damaged batch", test_damaged_batch);
}
