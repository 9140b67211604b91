#include <CUnit/CUnit.h>

#include "core/hold.h"
#include "dandelionvalve/breaker.h"
#include "dandelionvalve/outcome.h"
#include "dandelionvalve/quarantine.h"
#include "dandelionvalve/retry.h"
#include "suites.h"

static void
test_retry_budget_is_a_share(void)
{
    struct manual_clock manual = {.now_us = 1000000000};
    struct clock clock = manual_clock_interface(&manual);
    const struct retry_options options = {
        .clock = &clock, .window_ms = 10000, .budget_percent = 10};
    struct retry_budget budget;
    int taken = 0;

    retry_init(&budget, &options);
    CU_ASSERT(!retry_take(&budget));
    for (int i = 0; i < 1000; i++) {
        retry_count_request(&budget);
        taken += retry_take(&budget);
        manual.now_us += 1000;
    }
    CU_ASSERT(taken == 100);
    // After the window no request is left to take a share of.
    manual.now_us += 11000000;
    CU_ASSERT(!retry_take(&budget));
}

static void
test_outcomes(void)
{
    CU_ASSERT(outcome_of_attempt(ATTEMPT_UNSENT) == OUTCOME_NOT_RUN);
    CU_ASSERT(outcome_of_attempt(ATTEMPT_LOST) == OUTCOME_UNKNOWN);
    CU_ASSERT(outcome_allows_retry(ATTEMPT_REFUSED, false));
    CU_ASSERT(!outcome_allows_retry(ATTEMPT_LOST, false));
    CU_ASSERT(outcome_allows_retry(ATTEMPT_LOST, true));
    CU_ASSERT(!outcome_allows_retry(ATTEMPT_CUT, true));
    CU_ASSERT(!outcome_costs_budget(ATTEMPT_REFUSED));
    CU_ASSERT(outcome_of_refusal(REFUSE_KEY_IN_PROGRESS) == OUTCOME_UNKNOWN);
    CU_ASSERT(outcome_of_refusal(REFUSE_LOG_DOWN) == OUTCOME_NOT_RUN);
    CU_ASSERT(outcome_refusal_is_local(REFUSE_LEAVING));
    CU_ASSERT(!outcome_refusal_is_local(REFUSE_KEY_CONFLICT));
}

static void
test_quarantine(void)
{
    struct manual_clock manual = {.now_us = 1000000};
    struct clock clock = manual_clock_interface(&manual);
    const struct quarantine_options options = {
        .clock = &clock, .strikes_max = 2, .hold_ms = 1000, .requests_max = 3};
    struct quarantine *quarantine = quarantine_new(&options);

    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_CLEAR);
    CU_ASSERT(quarantine_strike(quarantine, 1, 7));
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_ISOLATE);
    // Another report of the same crash is not another strike.
    CU_ASSERT(!quarantine_strike(quarantine, 1, 7));
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_ISOLATE);
    quarantine_clear(quarantine, 1);
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_CLEAR);
    CU_ASSERT(quarantine_strike(quarantine, 1, 7));
    CU_ASSERT(quarantine_strike(quarantine, 1, 8));
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_REFUSE);
    CU_ASSERT(quarantine_strikes(quarantine, 1) == 2);
    // A success that was late does not clear a quarantined request.
    quarantine_clear(quarantine, 1);
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_REFUSE);
    for (uint64_t i = 10; i < 20; i++) {
        quarantine_strike(quarantine, i, 1);
    }
    CU_ASSERT(quarantine_count(quarantine) == 3);
    manual.now_us += 1000000;
    CU_ASSERT(quarantine_check(quarantine, 19) == QUARANTINE_CLEAR);
    quarantine_free(quarantine);
}

static struct quarantine *
quarantine_with_clock(const struct clock *clock)
{
    return quarantine_new(&(struct quarantine_options){
        .clock = clock,
        .strikes_max = 3,
        .hold_ms = 30000,
        .requests_max = 3,
    });
}

/// A request that comes back for minutes is let through once after each hold,
/// which grows while it crashes endpoints (review/5).
static void
test_quarantine_of_repeats(void)
{
    struct manual_clock manual = {.now_us = 1000000};
    struct clock clock = manual_clock_interface(&manual);
    struct quarantine *quarantine = quarantine_with_clock(&clock);
    uint32_t crashes = 0;

    for (int i = 0; i < 600; i++) {
        if (quarantine_check(quarantine, 1) != QUARANTINE_REFUSE) {
            quarantine_strike(quarantine, 1, ++crashes);
        }
        // Others come and go without removing it.
        quarantine_strike(quarantine, 100 + (uint64_t)i, 1);
        manual.now_us += 1000000;
    }
    // Three, then after 30, 120 and 480 s.
    CU_ASSERT(crashes == 5);
    manual.now_us += 480 * 1000000LL;
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_ISOLATE);
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_REFUSE);
    quarantine_clear(quarantine, 1);
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_CLEAR);
    quarantine_free(quarantine);
}

/// Many endpoints crash together while they run equal requests: the hold is
/// not longer for it. A crash that another daemon's trial has caused makes it
/// so.
static void
test_quarantine_of_mass_crash(void)
{
    struct manual_clock manual = {.now_us = 1000000};
    struct clock clock = manual_clock_interface(&manual);
    struct quarantine *quarantine = quarantine_with_clock(&clock);

    for (uint32_t i = 0; i < 20; i++) {
        CU_ASSERT(quarantine_strike(quarantine, 1, i));
    }
    manual.now_us += 29 * 1000000LL;
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_REFUSE);
    manual.now_us += 2 * 1000000LL;
    CU_ASSERT(quarantine_strike(quarantine, 1, 100));
    manual.now_us += 119 * 1000000LL;
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_REFUSE);
    manual.now_us += 2 * 1000000LL;
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_ISOLATE);
    quarantine_clear(quarantine, 1);
    CU_ASSERT(quarantine_check(quarantine, 1) == QUARANTINE_CLEAR);
    quarantine_free(quarantine);
}

static void
test_breaker(void)
{
    struct manual_clock manual = {.now_us = 1000000};
    struct clock clock = manual_clock_interface(&manual);
    const struct breaker_options options = {
        .clock = &clock,
        .failures_max = 3,
        .open_min_ms = 1000,
        .open_max_ms = 4000,
    };
    struct breaker breaker;

    breaker_init(&breaker, &options);
    breaker_failure(&breaker);
    breaker_failure(&breaker);
    breaker_success(&breaker);
    breaker_failure(&breaker);
    breaker_failure(&breaker);
    CU_ASSERT(!breaker_is_open(&breaker));
    breaker_failure(&breaker);
    CU_ASSERT(breaker_is_open(&breaker));
    // A failure while the breaker is open does not count.
    breaker_failure(&breaker);
    manual.now_us += 1000000;
    CU_ASSERT(!breaker_is_open(&breaker));
    // One more failure opens it for twice the time.
    breaker_failure(&breaker);
    manual.now_us += 1000000;
    CU_ASSERT(breaker_is_open(&breaker));
    manual.now_us += 1000000;
    CU_ASSERT(!breaker_is_open(&breaker));
    breaker_success(&breaker);
    breaker_failure(&breaker);
    CU_ASSERT(!breaker_is_open(&breaker));
}

/// Rejections in any order: nothing is sent before the latest end that one of
/// them has stated, and an invalid time changes nothing.
static void
test_hold(void)
{
    static const struct {
        int64_t now_ms;
        int64_t wait_ms;
        int64_t left_ms;
    } steps[] = {
        {1000, 500, 500}, {1100, 200, 400}, {1200, 900, 900},
        {1300, 0, 800},   {1300, -1, 800},  {1300, HOLD_MAX_MS + 1, 800},
        {2099, -1, 1},    {2100, -1, 0},    {5000, 1, 1},
    };
    struct hold hold = {0};

    for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        hold_extend(&hold, steps[i].now_ms, steps[i].wait_ms);
        CU_ASSERT(hold_left_ms(&hold, steps[i].now_ms) == steps[i].left_ms);
    }
}

void
suite_policies(void)
{
    CU_pSuite suite = CU_add_suite("policies", NULL, NULL);

    CU_add_test(suite, "retry budget is a share",
                test_retry_budget_is_a_share);
    CU_add_test(suite, "outcomes", test_outcomes);
    CU_add_test(suite, "quarantine", test_quarantine);
    CU_add_test(suite, "quarantine of repeats", test_quarantine_of_repeats);
    CU_add_test(suite, "quarantine of mass crash",
                test_quarantine_of_mass_crash);
    CU_add_test(suite, "breaker", test_breaker);
    CU_add_test(suite, "hold", test_hold);
}
