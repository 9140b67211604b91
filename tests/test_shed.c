/// Tests of load shedding under the load patterns that it is made for. The
/// pool is simulated; the decisions are those of core/shed.c.
#include <CUnit/CUnit.h>

#include "core/timing.h"
#include "core/shed.h"
#include "measure/pool.h"
#include "suites.h"

#define SEED 3
#define OBJECTIVE_MS 300
/// measure/overload.c uses the same value.
#define IN_TIME_MIN 0.70

/// Answers in time as a share of what the endpoints can serve.
static double
in_time_share(size_t routers, double load, bool shedding)
{
    struct pool_options options = pool_plain_service(SEED, routers, load);
    struct pool_result result;

    options.shedding = shedding;
    pool_run(&options, &result);
    return (double)result.in_time /
           ((double)result.requests / (load < 1 ? 1 : load));
}

/// Load pattern: a plain service receives two and five times the load that it
/// can serve. Without shedding every queue is full and most answers are late.
static void
test_plain_overload(void)
{
    static const size_t routers[] = {4, 31};

    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(in_time_share(routers[i], 2, false) < 0.5);
        CU_ASSERT(in_time_share(routers[i], 2, true) >= IN_TIME_MIN);
        CU_ASSERT(in_time_share(routers[i], 5, false) < 0.25);
        CU_ASSERT(in_time_share(routers[i], 5, true) >= IN_TIME_MIN);
    }
}

/// Below capacity at most 0.5 % of the requests are refused.
static void
test_below_capacity(void)
{
    struct pool_options options = pool_plain_service(SEED, 31, 0.66);
    struct pool_result result;

    options.shedding = true;
    pool_run(&options, &result);
    CU_ASSERT(result.refused + result.retries <= result.requests / 200);
}

/// Load pattern: an excess that ends. From two seconds after its end at most
/// 2 % of the requests are refused.
static void
test_excess_ends(void)
{
    struct pool_options options = pool_plain_service(SEED, 31, 0.5);
    struct pool_result before, whole;

    options.shedding = true;
    options.excess_per_s = 3 * pool_capacity_per_s(&options);
    options.excess_from_ms = 4000;
    options.excess_until_ms = 8000;
    options.duration_ms = 10000;
    pool_run(&options, &before);
    options.duration_ms = 16000;
    pool_run(&options, &whole);
    CU_ASSERT(whole.refused - before.refused <=
              (whole.requests - before.requests) / 50);
}

/// Runs `steps` steps with `count` samples of this delay each.
static void
run_steps(struct shed *shed, int64_t *now_ms, int steps, int count,
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

/// Load pattern: 40 % of the endpoints hang, the others answer at once.
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

/// A few slow answers of a service with little traffic start no shedding.
static void
test_few_slow_answers(void)
{
    struct shed shed = {0};
    int64_t now_ms = 0;

    run_steps(&shed, &now_ms, 40, 1, 20);
    for (int i = 0; i < 20; i++) {
        shed_add_delay(&shed, 2 * OBJECTIVE_MS, OBJECTIVE_MS);
        now_ms += SHED_START_MAX_MS;
        shed_update(&shed, now_ms);
        CU_ASSERT(shed.refused_share == 0);
    }
}

/// An overload ends while no admitted request shows the shorter delay.
static void
test_nothing_admitted(void)
{
    struct random_seeded seeded = {5};
    struct random_source random = random_seeded_interface(&seeded);
    struct shed shed = {0};
    int64_t now_ms = 0;

    run_steps(&shed, &now_ms, 60, 20, 4 * OBJECTIVE_MS);
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

/// Requests of higher priority and those that can still be in time go first.
static void
test_priority_and_lateness(void)
{
    struct shed shed = {.refused_share = 0.1};

    CU_ASSERT_DOUBLE_EQUAL(refused_share(&shed, 0, false), 0.1, 0.02);
    CU_ASSERT_DOUBLE_EQUAL(refused_share(&shed, 0.5, false), 0.5, 0.02);
    CU_ASSERT(refused_share(&shed, 0, true) > 0.9);
    // Some requests are always admitted.
    CU_ASSERT(refused_share(&shed, 1, true) < 1);
    shed.refused_share = 0;
    CU_ASSERT(refused_share(&shed, 0, true) == 0);
}

static void
test_typical_deadline(void)
{
    int64_t typical_ms = 0;

    for (int i = 0; i < 1000; i++) {
        typical_ms =
            timing_typical_deadline_ms(typical_ms, i % 3 == 0 ? 1500 : 1100);
    }
    CU_ASSERT(typical_ms >= 1490);
    CU_ASSERT(timing_is_late(typical_ms, 1100, OBJECTIVE_MS));
    CU_ASSERT(!timing_is_late(typical_ms, 1400, OBJECTIVE_MS));
    // Streams with an objective of 1 s can still be in time.
    CU_ASSERT(!timing_is_late(typical_ms, 1100, 1000));
}

void
suite_shed(void)
{
    CU_pSuite suite = CU_add_suite("shed", NULL, NULL);

    CU_add_test(suite, "plain overload", test_plain_overload);
    CU_add_test(suite, "below capacity", test_below_capacity);
    CU_add_test(suite, "excess ends", test_excess_ends);
    CU_add_test(suite, "hanging endpoints", test_hanging_endpoints);
    CU_add_test(suite, "few slow answers", test_few_slow_answers);
    CU_add_test(suite, "nothing admitted", test_nothing_admitted);
    CU_add_test(suite, "priority and lateness", test_priority_and_lateness);
    CU_add_test(suite, "typical deadline", test_typical_deadline);
}
