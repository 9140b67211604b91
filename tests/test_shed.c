/// Shedding, against the load patterns that it answers. The pool is emulated;
/// the decisions are the routers' own.
#include <CUnit/CUnit.h>

#include "core/timing.h"
#include "core/shed.h"
#include "measure/pool.h"
#include "suites.h"

#define SEED 3
#define OBJECTIVE_MS 300
/// Stated in measure/overload.c as well.
#define IN_TIME_TARGET 0.70

/// Answers in time, of what the endpoints can do.
static double
in_time_share(size_t routers, double load, bool shedding)
{
    struct pool_options options = pool_plain_service(SEED, routers, load);
    struct pool_result result;

    options.shedding = shedding;
    pool_run(&options, &result);
    return (double)result.in_time /
           ((double)result.asked / (load < 1 ? 1 : load));
}

/// Load pattern: a plain service with twice the load that it can serve, then
/// five times. Without shedding every queue is full and most answers are late.
static void
test_plain_excess(void)
{
    static const size_t routers[] = {4, 31};

    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(in_time_share(routers[i], 2, false) < 0.5);
        CU_ASSERT(in_time_share(routers[i], 2, true) >= IN_TIME_TARGET);
        CU_ASSERT(in_time_share(routers[i], 5, false) < 0.25);
        CU_ASSERT(in_time_share(routers[i], 5, true) >= IN_TIME_TARGET);
    }
}

/// Below capacity nothing is refused.
static void
test_below_capacity(void)
{
    struct pool_options options = pool_plain_service(SEED, 31, 0.66);
    struct pool_result result;

    options.shedding = true;
    pool_run(&options, &result);
    CU_ASSERT(result.refused + result.returned <= result.asked / 200);
}

/// Load pattern: an excess that ends. Two in a hundred are refused at most
/// once it has been over for two seconds.
static void
test_excess_ends(void)
{
    struct pool_options options = pool_plain_service(SEED, 31, 0.5);
    struct pool_result before, whole;

    options.shedding = true;
    options.excess_per_s = 3 * pool_capacity_per_s(&options);
    options.excess_from_ms = 4000;
    options.excess_until_ms = 8000;
    options.run_ms = 10000;
    pool_run(&options, &before);
    options.run_ms = 16000;
    pool_run(&options, &whole);
    CU_ASSERT(whole.refused - before.refused <=
              (whole.asked - before.asked) / 50);
}

/// Adds `count` samples a step with this delay for `steps` steps.
static void
feed(struct shed *shed, int64_t *now_ms, int steps, int count,
     int64_t delay_ms)
{
    for (int i = 0; i < steps; i++) {
        for (int j = 0; j < count; j++) {
            shed_add_delay(shed, delay_ms, OBJECTIVE_MS);
        }
        *now_ms += SHED_STEP_MIN_MS;
        shed_update(shed, *now_ms);
    }
}

/// Load pattern: two in five endpoints hang, the others answer at once.
static void
test_hanging_endpoints(void)
{
    struct shed shed = {0};
    int64_t now_ms = 0;

    for (int i = 0; i < 50; i++) {
        for (int j = 0; j < 10; j++) {
            shed_add_delay(&shed, j < 4 ? OBJECTIVE_MS : 20, OBJECTIVE_MS);
        }
        now_ms += SHED_STEP_MIN_MS;
        shed_update(&shed, now_ms);
        CU_ASSERT(shed.refused_share == 0);
    }
}

/// A few slow answers of a service that is hardly used.
static void
test_few_slow_answers(void)
{
    struct shed shed = {0};
    int64_t now_ms = 0;

    feed(&shed, &now_ms, 40, 1, 20);
    for (int i = 0; i < 20; i++) {
        shed_add_delay(&shed, 2 * OBJECTIVE_MS, OBJECTIVE_MS);
        now_ms += SHED_START_MAX_MS;
        shed_update(&shed, now_ms);
        CU_ASSERT(shed.refused_share == 0);
    }
}

/// An overload ends while nothing is admitted that would show it.
static void
test_nothing_admitted(void)
{
    struct random_seeded seeded = {5};
    struct random_source random = random_seeded_interface(&seeded);
    struct shed shed = {0};
    int64_t now_ms = 0;

    feed(&shed, &now_ms, 60, 20, 4 * OBJECTIVE_MS);
    CU_ASSERT(shed.refused_share == SHED_SHARE_MAX);
    for (int i = 0; i < 50; i++) {
        shed_refuses(&shed, &random, 0, false);
        now_ms += SHED_STEP_MAX_MS;
        shed_update(&shed, now_ms);
    }
    CU_ASSERT(shed.refused_share == 0);
}

static double
refused_share(struct shed *shed, double share_min, bool is_late)
{
    struct random_seeded seeded = {7};
    struct random_source random = random_seeded_interface(&seeded);
    int refused = 0;

    for (int i = 0; i < 10000; i++) {
        refused += shed_refuses(shed, &random, share_min, is_late) ? 1 : 0;
    }
    return refused / 10000.0;
}

/// Order of service: urgent requests go first, and those that can be in time.
static void
test_order(void)
{
    struct shed shed = {.refused_share = 0.1};

    CU_ASSERT_DOUBLE_EQUAL(refused_share(&shed, 0, false), 0.1, 0.02);
    CU_ASSERT_DOUBLE_EQUAL(refused_share(&shed, 0.5, false), 0.5, 0.02);
    CU_ASSERT(refused_share(&shed, 0, true) > 0.9);
    // Nobody is shut out for good.
    CU_ASSERT(refused_share(&shed, 1, true) < 1);
    shed.refused_share = 0;
    CU_ASSERT(refused_share(&shed, 0, true) == 0);
}

static void
test_usual_time(void)
{
    int64_t usual_ms = 0;

    for (int i = 0; i < 1000; i++) {
        usual_ms =
            timing_typical_deadline_ms(usual_ms, i % 3 == 0 ? 1500 : 1100);
    }
    CU_ASSERT(usual_ms >= 1490);
    CU_ASSERT(timing_is_late(usual_ms, 1100, OBJECTIVE_MS));
    CU_ASSERT(!timing_is_late(usual_ms, 1400, OBJECTIVE_MS));
    // Streams with an objective of a second may still be in time.
    CU_ASSERT(!timing_is_late(usual_ms, 1100, 1000));
}

void
suite_shed(void)
{
    CU_pSuite suite = CU_add_suite("shed", NULL, NULL);

    CU_add_test(suite, "plain excess", test_plain_excess);
    CU_add_test(suite, "below capacity", test_below_capacity);
    CU_add_test(suite, "excess ends", test_excess_ends);
    CU_add_test(suite, "hanging endpoints", test_hanging_endpoints);
    CU_add_test(suite, "few slow answers", test_few_slow_answers);
    CU_add_test(suite, "nothing admitted", test_nothing_admitted);
    CU_add_test(suite, "order", test_order);
    CU_add_test(suite, "usual time", test_usual_time);
}
