/// Replays of loads in which endpoints crash: what is held, and what passes.
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/suspects.h"
#include "suites.h"

/// The first part of many prompts, the second parts of two subjects, and parts
/// that crash endpoints.
#define POPULAR 1
#define SUBJECT_A 2
#define SUBJECT_B 3
#define DEADLY 4
#define DEADLY_OTHER 5
#define PARTS_MAX 1000
#define CRASH_GAP_US 700000

struct fleet {
    struct manual_clock time;
    struct clock clock;
    struct suspects *suspects;
    uint32_t crash_id;
};

static void
start(struct fleet *fleet)
{
    *fleet = (struct fleet){.time.now_us = 1000000};
    fleet->clock = manual_clock_interface(&fleet->time);
    fleet->suspects =
        suspects_new(&(struct suspects_options){&fleet->clock, PARTS_MAX});
}

static void
stop(struct fleet *fleet)
{
    suspects_free(fleet->suspects);
}

static bool
blame(struct suspects *suspects, uint32_t crash_id, bool begun, size_t count,
      const uint64_t *parts)
{
    struct message_blame item = {
        .crash_id = crash_id, .begun = begun, .part_count = count};
    uint64_t answered[MESSAGE_PARTS_MAX];
    size_t answered_count;

    memcpy(item.parts, parts, count * sizeof(parts[0]));
    return suspects_blame(suspects, &item, answered, &answered_count);
}

/// An endpoint crashes with a request; the next one does so later.
static void
crash(struct fleet *fleet, size_t count, const uint64_t *parts)
{
    blame(fleet->suspects, ++fleet->crash_id, true, count, parts);
    fleet->time.now_us += CRASH_GAP_US;
}

static void
answer(struct fleet *fleet, size_t count, const uint64_t *parts)
{
    uint64_t cleared[MESSAGE_PARTS_MAX];

    suspects_answered(fleet->suspects, parts, count, true, cleared);
}

static bool
is_held(struct fleet *fleet, size_t count, const uint64_t *parts)
{
    uint64_t part = 0;

    return suspects_check(fleet->suspects, parts, count, false, &part) ==
           SUSPECTS_HELD;
}

static const uint64_t deadly_a[] = {POPULAR, SUBJECT_A, DEADLY};
static const uint64_t deadly_b[] = {POPULAR, SUBJECT_B, DEADLY};
static const uint64_t other_a[] = {POPULAR, SUBJECT_A, DEADLY_OTHER};
static const uint64_t sound_a[] = {POPULAR, SUBJECT_A};
static const uint64_t sound_b[] = {POPULAR, SUBJECT_B};

/// Issue 24: 30 endpoints crashed one after the other with requests that share
/// one part.
static void
test_unlike_requests_share_a_part(void)
{
    struct fleet fleet;
    size_t crashes = 0;

    start(&fleet);
    for (int i = 0; i < 40; i++) {
        const uint64_t *parts = i % 2 == 0 ? deadly_a : deadly_b;

        answer(&fleet, 2, i % 3 == 0 ? sound_a : sound_b);
        CU_ASSERT(!is_held(&fleet, 2, sound_a));
        CU_ASSERT(!is_held(&fleet, 2, sound_b));
        if (!is_held(&fleet, 3, parts)) {
            crash(&fleet, 3, parts);
            crashes++;
        }
    }
    CU_ASSERT(crashes == 3);
    CU_ASSERT(is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    stop(&fleet);
}

/// The other parts are not answered while endpoints crash: they are held only
/// beside the deadly one, and the first answer clears them.
static void
test_rare_companions_pass_alone(void)
{
    struct fleet fleet;

    start(&fleet);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT(!is_held(&fleet, 3, deadly_a));
        crash(&fleet, 3, deadly_a);
    }
    CU_ASSERT(is_held(&fleet, 3, deadly_a));
    CU_ASSERT(!is_held(&fleet, 2, sound_a));
    answer(&fleet, 2, sound_a);
    CU_ASSERT(is_held(&fleet, 3, deadly_a));
    CU_ASSERT(is_held(&fleet, 3, deadly_b));
    CU_ASSERT(suspects_held_count(fleet.suspects) == 1);
    stop(&fleet);
}

/// A subject's parts are blamed for two deadly ones and then answered.
static void
test_two_deadly_parts_at_once(void)
{
    struct fleet fleet;
    size_t crashes = 0;

    start(&fleet);
    answer(&fleet, 2, sound_a);
    for (int i = 0; i < 40; i++) {
        const uint64_t *parts = i % 2 == 0 ? deadly_a : other_a;

        if (!is_held(&fleet, 3, parts)) {
            crash(&fleet, 3, parts);
            crashes++;
        }
        if (i % 4 == 3) {
            CU_ASSERT(!is_held(&fleet, 2, sound_a));
            answer(&fleet, 2, sound_a);
        }
    }
    CU_ASSERT(crashes <= 6);
    CU_ASSERT(is_held(&fleet, 3, deadly_a));
    CU_ASSERT(is_held(&fleet, 3, other_a));
    CU_ASSERT(!is_held(&fleet, 2, sound_a));
    stop(&fleet);
}

/// A loss of power ends requests with a hot part on many endpoints.
static void
test_crashes_at_one_moment(void)
{
    struct fleet fleet;

    start(&fleet);
    for (uint32_t i = 0; i < 100; i++) {
        fleet.time.now_us += 1000;
        blame(fleet.suspects, i, i % 2 == 0, 2, sound_a);
    }
    CU_ASSERT(suspects_weight(fleet.suspects, SUBJECT_A) ==
              SUSPECTS_WEIGHT_BEGUN);
    CU_ASSERT(!is_held(&fleet, 2, sound_a));
    stop(&fleet);
}

/// Requests that wait beside those that crash endpoints are blamed less, and
/// answers in between acquit them.
static void
test_waiting_requests(void)
{
    struct fleet fleet;

    start(&fleet);
    for (uint32_t i = 0; i < 5; i++) {
        blame(fleet.suspects, i, false, 2, sound_a);
        fleet.time.now_us += CRASH_GAP_US;
    }
    CU_ASSERT(!is_held(&fleet, 2, sound_a));
    answer(&fleet, 2, sound_a);
    CU_ASSERT(suspects_weight(fleet.suspects, SUBJECT_A) == 0);
    fleet.time.now_us += (SUSPECTS_IMMUNE_MS + 1) * 1000;
    for (uint32_t i = 10; i < 14; i++) {
        blame(fleet.suspects, i, true, 2, sound_a);
        fleet.time.now_us += CRASH_GAP_US;
    }
    // Answered a short time before: twice the evidence is needed.
    CU_ASSERT(!is_held(&fleet, 2, sound_a));
    stop(&fleet);
}

/// A part that was sound turns deadly.
static void
test_part_turns_deadly(void)
{
    struct fleet fleet;
    int crashes = 0;

    start(&fleet);
    answer(&fleet, 3, deadly_a);
    while (!is_held(&fleet, 3, deadly_a) && crashes < 20) {
        answer(&fleet, 2, sound_a);
        crash(&fleet, 3, deadly_a);
        crashes++;
    }
    CU_ASSERT(crashes <= 9);
    CU_ASSERT(!is_held(&fleet, 2, sound_a));
    stop(&fleet);
}

/// The part comes with other companions than before.
static void
test_companions_change(void)
{
    struct fleet fleet;

    start(&fleet);
    for (int i = 0; i < 3; i++) {
        crash(&fleet, 3, deadly_a);
    }
    CU_ASSERT(is_held(&fleet, 3, deadly_a));
    if (!is_held(&fleet, 3, deadly_b)) {
        crash(&fleet, 3, deadly_b);
    }
    CU_ASSERT(is_held(&fleet, 3, deadly_b));
    answer(&fleet, 1, (const uint64_t[]){POPULAR});
    CU_ASSERT(is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    stop(&fleet);
}

/// A hold ends by a trial that is answered, or by time; then one crash is
/// enough for the next, which lasts longer.
static void
test_hold_ends(void)
{
    struct fleet fleet;
    uint64_t part = 0;

    start(&fleet);
    for (int i = 0; i < 3; i++) {
        crash(&fleet, 1, (const uint64_t[]){DEADLY});
    }
    CU_ASSERT(suspects_check(fleet.suspects, (const uint64_t[]){DEADLY}, 1,
                             true, &part) == SUSPECTS_HELD);
    fleet.time.now_us += SUSPECTS_HOLD_MS / SUSPECTS_TRIAL_DIVISOR * 1000;
    CU_ASSERT(is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    CU_ASSERT(suspects_check(fleet.suspects, (const uint64_t[]){DEADLY}, 1,
                             true, &part) == SUSPECTS_TRIAL);
    CU_ASSERT(part == DEADLY);
    CU_ASSERT(suspects_check(fleet.suspects, (const uint64_t[]){DEADLY}, 1,
                             true, &part) == SUSPECTS_HELD);
    crash(&fleet, 1, (const uint64_t[]){DEADLY});
    fleet.time.now_us += SUSPECTS_HOLD_MS * 1000;
    CU_ASSERT(is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    fleet.time.now_us += SUSPECTS_HOLD_SECOND_MS * 1000;
    CU_ASSERT(!is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    crash(&fleet, 1, (const uint64_t[]){DEADLY});
    fleet.time.now_us += SUSPECTS_HOLD_SECOND_MS * 1000;
    CU_ASSERT(is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    answer(&fleet, 1, (const uint64_t[]){DEADLY});
    CU_ASSERT(!is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    CU_ASSERT(suspects_held_count(fleet.suspects) == 0);
    stop(&fleet);
}

/// Requests with the part come once a second for an hour: after the fifth
/// crash three more at most reach endpoints.
static void
test_deadly_part_for_an_hour(void)
{
    struct fleet fleet;
    size_t crashes = 0;
    uint64_t part = 0;

    start(&fleet);
    for (int i = 0; i < 3600; i++) {
        if (suspects_check(fleet.suspects, (const uint64_t[]){DEADLY}, 1, true,
                           &part) != SUSPECTS_HELD) {
            blame(fleet.suspects, ++fleet.crash_id, true, 1,
                  (const uint64_t[]){DEADLY});
            crashes++;
        }
        fleet.time.now_us += 1000000;
    }
    CU_ASSERT(crashes <= 5 + 3);
    stop(&fleet);
}

/// A crash of a request that was on its way renews the hold.
static void
test_crash_renews_hold(void)
{
    struct fleet fleet;

    start(&fleet);
    for (int i = 0; i < 3; i++) {
        crash(&fleet, 1, (const uint64_t[]){DEADLY});
    }
    fleet.time.now_us += (SUSPECTS_HOLD_MS - 2000) * 1000;
    crash(&fleet, 1, (const uint64_t[]){DEADLY});
    fleet.time.now_us += 5000000;
    CU_ASSERT(is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    stop(&fleet);
}

static void
copy_blame(void *ctx, const struct message_blame *item)
{
    uint64_t answered[MESSAGE_PARTS_MAX];
    size_t answered_count;

    suspects_blame(ctx, item, answered, &answered_count);
}

/// A router that has just started receives what is held.
static void
test_started_router(void)
{
    struct fleet fleet, started;

    start(&fleet);
    for (int i = 0; i < 3; i++) {
        crash(&fleet, 3, deadly_a);
    }
    start(&started);
    started.time.now_us = 50000000;
    suspects_each_held(fleet.suspects, copy_blame, started.suspects);
    suspects_each_held(fleet.suspects, copy_blame, started.suspects);
    CU_ASSERT(is_held(&started, 3, deadly_a));
    CU_ASSERT(!is_held(&started, 2, sound_a));
    stop(&started);
    stop(&fleet);
}

/// The crashes were long ago: the hold still reaches a router that starts.
static void
test_old_hold_reaches_started_router(void)
{
    struct fleet fleet, started;
    uint64_t part = 0;

    start(&fleet);
    start(&started);
    for (int i = 0; i < 3600; i++) {
        if (suspects_check(fleet.suspects, deadly_a, 3, true, &part) !=
            SUSPECTS_HELD) {
            blame(fleet.suspects, ++fleet.crash_id, true, 3, deadly_a);
        }
        fleet.time.now_us += 1000000;
    }
    CU_ASSERT(is_held(&fleet, 3, deadly_a));
    started.time.now_us = fleet.time.now_us;
    suspects_each_held(fleet.suspects, copy_blame, started.suspects);
    CU_ASSERT(is_held(&started, 3, deadly_a));
    stop(&started);
    stop(&fleet);
}

/// Reports that come twice are not forwarded again, and a router where a part
/// was answered announces it, at most twice a second.
static void
test_reports_of_peers(void)
{
    struct fleet fleet;
    struct message_blame item = {
        .crash_id = 7, .begun = true, .parts = {POPULAR, 9}, .part_count = 2};
    uint64_t answered[MESSAGE_PARTS_MAX], cleared[2];
    size_t count;

    start(&fleet);
    answer(&fleet, 1, (const uint64_t[]){POPULAR});
    CU_ASSERT(suspects_blame(fleet.suspects, &item, answered, &count));
    CU_ASSERT(count == 1 && answered[0] == POPULAR);
    CU_ASSERT(!suspects_blame(fleet.suspects, &item, answered, &count));
    CU_ASSERT(count == 0);
    CU_ASSERT(suspects_weight(fleet.suspects, 9) == SUSPECTS_WEIGHT_BEGUN);
    CU_ASSERT(suspects_answered(fleet.suspects, (const uint64_t[]){9}, 1,
                                false, cleared) == 1);
    CU_ASSERT(suspects_answered(fleet.suspects, (const uint64_t[]){9}, 1,
                                false, cleared) == 0);
    stop(&fleet);
}

/// Answers to other prompts evict neither the evidence nor the hold.
static void
test_answers_evict_no_evidence(void)
{
    struct fleet fleet;

    start(&fleet);
    for (int i = 0; i < 4; i++) {
        for (uint64_t id = 100; id < 100 + 3 * PARTS_MAX; id++) {
            answer(&fleet, 1, &id);
        }
        CU_ASSERT(is_held(&fleet, 1, (const uint64_t[]){DEADLY}) == (i == 3));
        crash(&fleet, 1, (const uint64_t[]){DEADLY});
    }
    stop(&fleet);
}

/// More parts are blamed and held than are kept, and no request asks for them
/// again.
static void
test_held_parts_are_bounded(void)
{
    struct fleet fleet;

    start(&fleet);
    for (uint64_t id = 100; id < 100 + 2 * PARTS_MAX; id++) {
        for (int i = 0; i < 3; i++) {
            blame(fleet.suspects, ++fleet.crash_id, true, 1, &id);
            fleet.time.now_us += (SUSPECTS_SPACING_MS + 1) * 1000;
        }
    }
    CU_ASSERT(suspects_held_count(fleet.suspects) <= PARTS_MAX);
    fleet.time.now_us += SUSPECTS_HOLD_MAX_MS * 1000LL;
    CU_ASSERT(suspects_held_count(fleet.suspects) == 0);
    stop(&fleet);
}

/// The held part is the next to be evicted when it is blamed with a new one.
static void
test_held_part_is_evicted(void)
{
    struct fleet fleet;

    start(&fleet);
    for (int i = 0; i < 3; i++) {
        crash(&fleet, 1, (const uint64_t[]){DEADLY});
    }
    for (uint64_t id = 100; id < 100 + PARTS_MAX - 1; id++) {
        blame(fleet.suspects, ++fleet.crash_id, true, 1, &id);
    }
    crash(&fleet, 2, (const uint64_t[]){99, DEADLY});
    CU_ASSERT(suspects_weight(fleet.suspects, DEADLY) >=
              SUSPECTS_WEIGHT_BEGUN);
    stop(&fleet);
}

/// A report of a crash before the hold comes late: the hold ends in time.
static void
test_late_report_renews_no_hold(void)
{
    struct fleet fleet;
    struct message_blame item = {.crash_id = 1000,
                                 .age_ms = 300000,
                                 .begun = true,
                                 .parts = {DEADLY},
                                 .part_count = 1};
    uint64_t answered[MESSAGE_PARTS_MAX];
    size_t count;

    start(&fleet);
    fleet.time.now_us += 400000000;
    for (int i = 0; i < 3; i++) {
        crash(&fleet, 1, (const uint64_t[]){DEADLY});
    }
    fleet.time.now_us += SUSPECTS_HOLD_MS / 2 * 1000;
    CU_ASSERT(suspects_blame(fleet.suspects, &item, answered, &count));
    fleet.time.now_us += SUSPECTS_HOLD_MS / 2 * 1000;
    CU_ASSERT(!is_held(&fleet, 1, (const uint64_t[]){DEADLY}));
    stop(&fleet);
}

/// A part that was answered just before a crash is not blamed for it.
static void
test_answered_part_is_immune(void)
{
    struct fleet fleet;

    start(&fleet);
    answer(&fleet, 1, (const uint64_t[]){POPULAR});
    fleet.time.now_us += (SUSPECTS_IMMUNE_MS - 1) * 1000;
    blame(fleet.suspects, 1, true, 3, deadly_a);
    CU_ASSERT(suspects_weight(fleet.suspects, POPULAR) == 0);
    CU_ASSERT(suspects_weight(fleet.suspects, DEADLY) ==
              SUSPECTS_WEIGHT_BEGUN);
    fleet.time.now_us += SUSPECTS_IMMUNE_MS * 1000;
    blame(fleet.suspects, 2, true, 3, deadly_a);
    CU_ASSERT(suspects_weight(fleet.suspects, POPULAR) ==
              SUSPECTS_WEIGHT_BEGUN);
    stop(&fleet);
}

static void
test_last_part_is_private(void)
{
    struct prefix prefix = {.parts = {{1, 10}, {2, 20}, {3, 30}}, .count = 3};
    uint64_t parts[MESSAGE_PARTS_MAX];

    CU_ASSERT(suspects_shared_parts(&prefix, parts) == 2);
    CU_ASSERT(parts[0] == 1 && parts[1] == 2);
    prefix.count = 1;
    CU_ASSERT(suspects_shared_parts(&prefix, parts) == 0);
    prefix.count = 0;
    CU_ASSERT(suspects_shared_parts(&prefix, parts) == 0);
}

void
suite_suspects(void)
{
    CU_pSuite suite = CU_add_suite("suspects", NULL, NULL);

    CU_add_test(suite, "unlike requests share the part that crashes",
                test_unlike_requests_share_a_part);
    CU_add_test(suite, "rare companions pass alone",
                test_rare_companions_pass_alone);
    CU_add_test(suite, "two deadly parts at once",
                test_two_deadly_parts_at_once);
    CU_add_test(suite, "crashes at one moment count once",
                test_crashes_at_one_moment);
    CU_add_test(suite, "waiting requests are blamed less",
                test_waiting_requests);
    CU_add_test(suite, "a part turns deadly", test_part_turns_deadly);
    CU_add_test(suite, "companions change", test_companions_change);
    CU_add_test(suite, "a hold ends", test_hold_ends);
    CU_add_test(suite, "a started router", test_started_router);
    CU_add_test(suite, "reports of peers", test_reports_of_peers);
    CU_add_test(suite, "an old hold reaches a started router",
                test_old_hold_reaches_started_router);
    CU_add_test(suite, "a deadly part for an hour",
                test_deadly_part_for_an_hour);
    CU_add_test(suite, "a crash renews the hold", test_crash_renews_hold);
    CU_add_test(suite, "answers evict no evidence",
                test_answers_evict_no_evidence);
    CU_add_test(suite, "held parts are bounded", test_held_parts_are_bounded);
    CU_add_test(suite, "a held part is evicted", test_held_part_is_evicted);
    CU_add_test(suite, "a late report renews no hold",
                test_late_report_renews_no_hold);
    CU_add_test(suite, "an answered part is immune",
                test_answered_part_is_immune);
    CU_add_test(suite, "the last part is private", test_last_part_is_private);
}
