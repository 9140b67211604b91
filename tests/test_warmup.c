/// Tests of the limits for cold endpoints under the load pattern that they are
/// made for: many routers, of which one has most callers, find an endpoint
/// that has just come back. The time is simulated; the decisions are those of
/// core/warmup.c.
#include <stdlib.h>

#include <CUnit/CUnit.h>

#include "core/evacuation.h"
#include "core/warmup.h"
#include "dandelionvalve/clock.h"
#include "sliding.h"
#include "suites.h"

#define ROUTERS_MAX 40
#define BEGIN_MS 50000
#define COLD_MS 10000
#define SETTLE_MS 4000

static const struct warmup_limits deployments[] = {
    {10000, 14, 1.5, 5},
    {6000, 9.3, 1.5, 5},
};

static double
bound_of(const struct warmup_limits *limits)
{
    return limits->per_s * limits->rate_factor + limits->slack;
}

/// All routers have more work than they may send: the first `senders` share
/// the rate.
static void
run_senders(const struct sender_plan *plan, size_t senders,
            struct sliding *sends)
{
    struct warmup warmups[ROUTERS_MAX] = {0};

    sliding_reset(sends, 1000);
    for (size_t i = 0; i < senders; i++) {
        warmup_extend(&warmups[i], BEGIN_MS, COLD_MS, WARMUP_ENTRY);
    }
    for (int64_t now_ms = BEGIN_MS; now_ms < BEGIN_MS + COLD_MS; now_ms++) {
        for (size_t i = 0; i < senders; i++) {
            if (warmup_wait_ms(&warmups[i], plan, now_ms) == 0) {
                warmup_take(&warmups[i], now_ms);
                sliding_add(sends, now_ms);
            }
        }
    }
}

/// The planned senders, and two more that have not learned of the others, stay
/// within the bound and use most of the rate. An even split over all routers,
/// each with a burst of one, exceeds it.
static void
test_sum_is_bounded(void)
{
    static struct sliding sends;

    for (size_t i = 0; i < 2; i++) {
        const struct warmup_limits *limits = &deployments[i];
        struct sender_plan plan = warmup_make_plan(limits);
        struct sender_plan even = {.senders = 31, .per_s = limits->per_s / 31};

        CU_ASSERT(plan.senders == (i == 0 ? 6 : 4));
        run_senders(&plan, plan.senders, &sends);
        CU_ASSERT((double)sends.most <= bound_of(limits));
        CU_ASSERT((double)sends.count >=
                  0.85 * limits->per_s * COLD_MS / 1000);
        run_senders(&plan, plan.senders + SENDERS_EXTRA, &sends);
        CU_ASSERT((double)sends.most <= bound_of(limits));
        run_senders(&even, even.senders, &sends);
        CU_ASSERT((double)sends.most > bound_of(limits));
    }
}

/// One router has most callers: the share of an even split that it may use is
/// lost. With few senders, its part of several cold endpoints is larger.
static void
test_uneven_load(void)
{
    const struct warmup_limits *limits = &deployments[0];
    struct sender_plan plan = warmup_make_plan(limits);
    double even_per_s = limits->per_s / 21;

    // It is among the senders of 6 of 21 endpoints.
    CU_ASSERT(plan.per_s * (double)plan.senders / 21 > 0.9 * even_per_s);
    CU_ASSERT(plan.per_s > 3 * even_per_s);
}

/// Without slack one router sends, at a lower rate; with a bound of less than
/// one request a second there is none.
static void
test_small_bounds(void)
{
    const struct warmup_limits plain = {1000, 14, 1, 0};
    const struct warmup_limits tiny = {1000, 0.4, 1, 0};
    struct sender_plan plan = warmup_make_plan(&plain);
    struct warmup warmup = {0};

    CU_ASSERT(plan.senders == 1 && plan.per_s > 0 && plan.per_s <= 13);
    plan = warmup_make_plan(&tiny);
    CU_ASSERT(plan.per_s == 0);
    warmup_extend(&warmup, BEGIN_MS, 1000, WARMUP_ENTRY);
    CU_ASSERT(warmup_wait_ms(&warmup, &plan, BEGIN_MS + 400) == 600);
}

/// The latest end of all sources applies; times that no endpoint can mean are
/// bounded.
static void
test_ends(void)
{
    struct warmup warmup = {0};

    CU_ASSERT(!warmup_is_cold(&warmup, BEGIN_MS));
    CU_ASSERT(!warmup_extend(&warmup, BEGIN_MS, 0, WARMUP_ENTRY));
    CU_ASSERT(!warmup_extend(&warmup, BEGIN_MS, INT64_MIN, WARMUP_ENTRY));
    CU_ASSERT(warmup_extend(&warmup, BEGIN_MS, 5000, WARMUP_ENTRY));
    CU_ASSERT(!warmup_extend(&warmup, BEGIN_MS, 3000, WARMUP_ANSWER));
    CU_ASSERT(warmup_extend(&warmup, BEGIN_MS, 6000, WARMUP_EVACUATION));
    CU_ASSERT(warmup_is_cold(&warmup, BEGIN_MS + 5999));
    CU_ASSERT(!warmup_is_cold(&warmup, BEGIN_MS + 6000));
    CU_ASSERT(warmup_extend(&warmup, BEGIN_MS, INT64_MAX, WARMUP_ANSWER));
    CU_ASSERT(warmup_left_ms(&warmup, BEGIN_MS) == WARMUP_LEFT_MAX_MS);
}

/// An endpoint whose connections were lost is cold from the first answer on a
/// later connection on. An answer on an earlier one shows that it has not
/// started again, unless it may have been on its way.
static void
test_restart_before_entry(void)
{
    struct warmup warmup = {0};
    int64_t now_ms = BEGIN_MS;

    CU_ASSERT(warmup_suspect(&warmup, now_ms, true));
    CU_ASSERT(!warmup_suspect(&warmup, now_ms + 100, true));
    CU_ASSERT(warmup_is_cold(&warmup, now_ms + 100));
    CU_ASSERT(!warmup_answered(&warmup, now_ms + 200, now_ms - 90, now_ms - 10,
                               6000));
    CU_ASSERT(!warmup_renewed(&warmup, now_ms + 1500, 6000));
    CU_ASSERT(warmup_answered(&warmup, now_ms + 2000, now_ms + 1900,
                              now_ms + 1900, 6000));
    CU_ASSERT(warmup_left_ms(&warmup, now_ms + 2000) == 6000);

    warmup = (struct warmup){0};
    warmup_suspect(&warmup, now_ms, true);
    CU_ASSERT(warmup_answered(&warmup, now_ms + 1200, now_ms - 90, now_ms - 10,
                              6000));
    CU_ASSERT(!warmup_is_cold(&warmup, now_ms + 1200));

    warmup = (struct warmup){0};
    warmup_suspect(&warmup, now_ms, true);
    CU_ASSERT(
        warmup_answered(&warmup, now_ms + 30, now_ms - 90, now_ms + 10, 6000));
    CU_ASSERT(!warmup_is_cold(&warmup, now_ms + 30));

    warmup = (struct warmup){0};
    warmup_suspect(&warmup, now_ms, true);
    CU_ASSERT(warmup_renewed(&warmup, now_ms + WARMUP_ENTRY_LAG_MS, 6000));
    CU_ASSERT(warmup_left_ms(&warmup, now_ms + WARMUP_ENTRY_LAG_MS) == 6000);

    warmup = (struct warmup){0};
    warmup_suspect(&warmup, now_ms, true);
    CU_ASSERT(!warmup_is_cold(&warmup, now_ms + WARMUP_SUSPECT_MAX_MS));
}

/// A router that has just started, was frozen, or has lost its links may not
/// know the others, or may be unknown to them.
static void
test_standing(void)
{
    struct sender_standing standing = {0};
    int64_t now_ms = BEGIN_MS;

    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms, SETTLE_MS) ==
              SETTLE_MS);
    for (; now_ms < BEGIN_MS + SETTLE_MS; now_ms += 100) {
        sender_standing_update(&standing, now_ms, 21, 21, 0);
        CU_ASSERT(sender_standing_wait_ms(&standing, now_ms, SETTLE_MS) > 0);
    }
    sender_standing_update(&standing, now_ms, 21, 11, 0);
    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms, SETTLE_MS) == 0);
    // Cut off from half of the others: also when these are forgotten.
    sender_standing_update(&standing, now_ms, 20, 10, 0);
    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms, SETTLE_MS) == -1);
    sender_standing_update(&standing, now_ms + 100, 10, 10, 0);
    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms + 100, SETTLE_MS) ==
              -1);
    sender_standing_update(&standing, now_ms + 200, 21, 20, 0);
    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms + 200, SETTLE_MS) ==
              SETTLE_MS);
    // Frozen: noticed before and after the next update.
    sender_standing_update(&standing, now_ms, 21, 21, 0);
    now_ms += 20000;
    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms, SETTLE_MS) ==
              SETTLE_MS);
    sender_standing_update(&standing, now_ms, 21, 21, 0);
    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms, SETTLE_MS) ==
              SETTLE_MS);
    // A large deployment, where a router has few links.
    standing = (struct sender_standing){0};
    sender_standing_update(&standing, now_ms, 300, 5, 5);
    sender_standing_update(&standing, now_ms + 900, 300, 5, 5);
    CU_ASSERT(sender_standing_wait_ms(&standing, now_ms + 900, 800) == 0);
}

static void
test_evacuated_zones(void)
{
    struct evacuation *evacuation = evacuation_new();
    const struct str a = STR_LITERAL("a");

    CU_ASSERT(!evacuation_covers(evacuation, a));
    CU_ASSERT(evacuation_end(evacuation, a, 100) == -1);
    CU_ASSERT(evacuation_begin(evacuation, a, 100));
    CU_ASSERT(!evacuation_begin(evacuation, a, 200));
    CU_ASSERT(evacuation_begin(evacuation, STR_LITERAL("b"), 200));
    CU_ASSERT(evacuation_covers(evacuation, a));
    CU_ASSERT(!evacuation_covers(evacuation, STR_LITERAL("")));
    CU_ASSERT(evacuation_end(evacuation, a, 350) == 250);
    CU_ASSERT(!evacuation_covers(evacuation, a));
    CU_ASSERT(evacuation_count(evacuation) == 1);
    evacuation_free(evacuation);
}

void
suite_warmup(void)
{
    CU_pSuite suite = CU_add_suite("warmup", NULL, NULL);

    CU_add_test(suite, "sum is bounded", test_sum_is_bounded);
    CU_add_test(suite, "uneven load", test_uneven_load);
    CU_add_test(suite, "small bounds", test_small_bounds);
    CU_add_test(suite, "ends", test_ends);
    CU_add_test(suite, "restart before entry", test_restart_before_entry);
    CU_add_test(suite, "standing", test_standing);
    CU_add_test(suite, "evacuated zones", test_evacuated_zones);
}
