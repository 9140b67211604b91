#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "dandelionvalve/claim.h"
#include "suites.h"

#define RETENTION_MS 100000
#define WINDOW_MS 40000
#define PLATFORM_MS 1700000000000LL

/// Two processes on one log; the test performs their appends and reads.
static struct {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct claims *claims[2];
    char *appends[2]; ///< records whose append is in progress
    char *log[64];
    int64_t times[64];
    int64_t end;
    enum claim_verdict verdicts[8];
    int decided[8];
    char body[64];
} fixture;

static int numbers[8] = {0, 1, 2, 3, 4, 5, 6, 7};

static void
on_append(void *ctx, struct str record)
{
    size_t process = (size_t)(uintptr_t)ctx;

    CU_ASSERT(fixture.appends[process] == NULL);
    fixture.appends[process] = str_dup(record);
}

static void
on_decided(void *ctx, void *request, const struct claim_decision *decision)
{
    int number = *(int *)request;

    (void)ctx;
    fixture.verdicts[number] = decision->verdict;
    fixture.decided[number]++;
    snprintf(fixture.body, sizeof(fixture.body), STR_FMT,
             STR_ARG(decision->answer.body));
}

static void
start(void)
{
    fixture.manual.now_us = 1000000;
    fixture.clock = manual_clock_interface(&fixture.manual);
    fixture.random = random_seeded_interface(&fixture.seeded);
    fixture.end = 0;
    memset(fixture.decided, 0, sizeof(fixture.decided));
    for (size_t i = 0; i < 2; i++) {
        const struct claim_options options = {
            .clock = &fixture.clock,
            .random = &fixture.random,
            .window_ms = WINDOW_MS,
            .wait_ms = 5000,
            .append_interval_ms = 10,
            .batch_max = 10,
            .answer_bytes_max = 32,
            .append = on_append,
            .decided = on_decided,
            .ctx = (void *)(uintptr_t)i,
        };

        fixture.claims[i] = claims_new(&options);
        fixture.appends[i] = NULL;
        claim_set_log_start(fixture.claims[i], 0, RETENTION_MS);
        claim_caught_up(fixture.claims[i], PLATFORM_MS);
    }
}

static void
stop(void)
{
    for (size_t i = 0; i < 2; i++) {
        claims_free(fixture.claims[i]);
        free(fixture.appends[i]);
    }
    for (int64_t i = 0; i < fixture.end; i++) {
        free(fixture.log[i]);
    }
}

/// Adds the record that a process is appending to the log; returns its offset.
static int64_t
append_to_log(size_t process)
{
    fixture.log[fixture.end] = fixture.appends[process];
    fixture.times[fixture.end] =
        PLATFORM_MS + fixture.manual.now_us / 1000 - 1000;
    fixture.appends[process] = NULL;
    return fixture.end++;
}

static void
read_log(size_t process)
{
    struct claims *claims = fixture.claims[process];

    while (claim_next_offset(claims) < fixture.end) {
        int64_t offset = claim_next_offset(claims);

        claim_apply_record(claims, offset, fixture.times[offset],
                           str_from(fixture.log[offset]));
    }
    claim_caught_up(claims, PLATFORM_MS + fixture.manual.now_us / 1000 - 1000);
}

static void
advance_ms(int64_t ms)
{
    fixture.manual.now_us += ms * 1000;
    claim_tick(fixture.claims[0]);
    claim_tick(fixture.claims[1]);
}

static void
begin_with(size_t process, const char *key, uint64_t hash, int number)
{
    const struct claim_request request = {
        .key = str_from(key),
        .hash = hash,
        .run_limit_ms = 10000,
        .request = &numbers[number],
    };

    claim_begin(fixture.claims[process], &request);
}

static void
begin(size_t process, int number)
{
    begin_with(process, "account/key", 1, number);
}

/// Completes the appends of a process and reads them back.
static void
complete_appends(size_t process)
{
    advance_ms(20);
    while (fixture.appends[process] != NULL) {
        int64_t offset = append_to_log(process);

        claim_appended(fixture.claims[process], CLAIM_APPEND_OK, offset);
        read_log(process);
        advance_ms(20);
    }
}

static void
finish(size_t process, int number, int status)
{
    const struct claim_answer answer = {
        .status = status,
        .content_type = STR_LITERAL("text/plain"),
        .body = STR_LITERAL("the answer"),
        .body_kept = true,
    };

    claim_finish(fixture.claims[process], &numbers[number], &answer);
}

static void
test_run_then_replay(void)
{
    start();
    begin(0, 0);
    complete_appends(0);
    CU_ASSERT(fixture.verdicts[0] == CLAIM_RUN);
    finish(0, 0, 200);
    complete_appends(0);
    read_log(1);
    begin(1, 1);
    CU_ASSERT(fixture.verdicts[1] == CLAIM_REPLAY);
    CU_ASSERT(!strcmp(fixture.body, "the answer"));
    begin_with(1, "account/key", 2, 2);
    CU_ASSERT(fixture.verdicts[2] == CLAIM_CONFLICT);
    stop();
}

static void
test_two_processes_one_winner(void)
{
    int64_t first, second;

    start();
    begin(0, 0);
    begin(1, 1);
    second = append_to_log(1);
    first = append_to_log(0);
    claim_appended(fixture.claims[0], CLAIM_APPEND_OK, first);
    claim_appended(fixture.claims[1], CLAIM_APPEND_OK, second);
    read_log(0);
    read_log(1);
    CU_ASSERT(fixture.verdicts[1] == CLAIM_RUN);
    CU_ASSERT(fixture.decided[0] == 0);
    finish(1, 1, 201);
    complete_appends(1);
    read_log(0);
    CU_ASSERT(fixture.verdicts[0] == CLAIM_REPLAY);
    stop();
}

static void
test_unanswered_append_is_read_back(void)
{
    start();
    begin(0, 0);
    append_to_log(0);
    claim_appended(fixture.claims[0], CLAIM_APPEND_UNKNOWN, 0);
    CU_ASSERT(fixture.decided[0] == 0);
    read_log(0);
    CU_ASSERT(fixture.verdicts[0] == CLAIM_RUN);
    stop();
}

static void
test_late_claim_after_timeout_never_runs(void)
{
    char *late;

    start();
    begin(0, 0);
    late = fixture.appends[0];
    fixture.appends[0] = NULL;
    claim_appended(fixture.claims[0], CLAIM_APPEND_UNKNOWN, 0);
    advance_ms(6000);
    CU_ASSERT(fixture.verdicts[0] == CLAIM_LOG_DOWN);
    // The claim is appended after all, then its release.
    fixture.log[fixture.end] = late;
    fixture.times[fixture.end++] = PLATFORM_MS;
    complete_appends(0);
    read_log(0);
    CU_ASSERT(fixture.decided[0] == 1);
    // The key is free again for a re-send.
    read_log(1);
    begin(1, 1);
    complete_appends(1);
    CU_ASSERT(fixture.verdicts[1] == CLAIM_RUN);
    stop();
}

static void
test_release_before_late_claim(void)
{
    char *late;

    start();
    begin(0, 0);
    late = fixture.appends[0];
    fixture.appends[0] = NULL;
    claim_appended(fixture.claims[0], CLAIM_APPEND_UNKNOWN, 0);
    advance_ms(6000);
    complete_appends(0);
    fixture.log[fixture.end] = late;
    fixture.times[fixture.end++] = PLATFORM_MS;
    read_log(1);
    begin(1, 1);
    complete_appends(1);
    CU_ASSERT(fixture.verdicts[1] == CLAIM_RUN);
    stop();
}

static void
test_log_down_is_not_run(void)
{
    start();
    begin(0, 0);
    free(fixture.appends[0]);
    fixture.appends[0] = NULL;
    claim_appended(fixture.claims[0], CLAIM_APPEND_REFUSED, 0);
    for (int i = 0; i < 60; i++) {
        advance_ms(100);
        if (fixture.appends[0] != NULL) {
            free(fixture.appends[0]);
            fixture.appends[0] = NULL;
            claim_appended(fixture.claims[0], CLAIM_APPEND_REFUSED, 0);
        }
    }
    CU_ASSERT(fixture.verdicts[0] == CLAIM_LOG_DOWN);
    stop();
}

static void
test_unfinished_run_becomes_unknown(void)
{
    start();
    begin(0, 0);
    complete_appends(0);
    read_log(1);
    begin(1, 1);
    advance_ms(5100);
    CU_ASSERT(fixture.verdicts[1] == CLAIM_IN_PROGRESS);
    advance_ms(6000);
    begin(1, 2);
    CU_ASSERT(fixture.verdicts[2] == CLAIM_UNKNOWN);
    stop();
}

static void
test_released_key_may_run_again(void)
{
    start();
    begin(0, 0);
    complete_appends(0);
    begin(1, 1);
    read_log(1);
    claim_release(fixture.claims[0], &numbers[0]);
    complete_appends(0);
    read_log(1);
    complete_appends(1);
    CU_ASSERT(fixture.verdicts[1] == CLAIM_RUN);
    stop();
}

static void
test_keys_outside_window_are_refused(void)
{
    // 1700000000000 ms is 018bcfe56800 in hex.
    const char *now = "account/018bcfe5-6800-7000-8000-000000000000";
    const char *old = "account/018bc000-0000-7000-8000-000000000000";

    start();
    CU_ASSERT(claim_key_time_ms(str_from(now + 8)) == PLATFORM_MS);
    CU_ASSERT(claim_key_time_ms(STR_LITERAL("any key")) == -1);
    begin_with(0, old, 1, 0);
    CU_ASSERT(fixture.verdicts[0] == CLAIM_EXPIRED);
    stop();
}

static void
test_unknown_outcome_is_stored(void)
{
    start();
    begin(0, 0);
    complete_appends(0);
    finish(0, 0, 0);
    complete_appends(0);
    read_log(1);
    begin(1, 1);
    CU_ASSERT(fixture.verdicts[1] == CLAIM_UNKNOWN);
    stop();
}

static void
test_paused_process_does_not_run_late(void)
{
    start();
    begin(0, 0);
    claim_appended(fixture.claims[0], CLAIM_APPEND_OK, append_to_log(0));
    // The process is paused for a minute before it reads its claim.
    fixture.manual.now_us += 60000000;
    read_log(0);
    CU_ASSERT(fixture.verdicts[0] == CLAIM_LOG_DOWN);
    stop();
}

void
suite_claim(void)
{
    CU_pSuite suite = CU_add_suite("claim", NULL, NULL);

    CU_add_test(suite, "run then replay", test_run_then_replay);
    CU_add_test(suite, "two processes, one winner",
                test_two_processes_one_winner);
    CU_add_test(suite, "unanswered append is read back",
                test_unanswered_append_is_read_back);
    CU_add_test(suite, "late claim after time-out never runs",
                test_late_claim_after_timeout_never_runs);
    CU_add_test(suite, "release before late claim",
                test_release_before_late_claim);
    CU_add_test(suite, "log down is not run", test_log_down_is_not_run);
    CU_add_test(suite, "unfinished run becomes unknown",
                test_unfinished_run_becomes_unknown);
    CU_add_test(suite, "released key may run again",
                test_released_key_may_run_again);
    CU_add_test(suite, "keys outside the window are refused",
                test_keys_outside_window_are_refused);
    CU_add_test(suite, "unknown outcome is stored",
                test_unknown_outcome_is_stored);
    CU_add_test(suite, "paused process does not run late",
                test_paused_process_does_not_run_late);
}
