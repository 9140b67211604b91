#include <CUnit/CUnit.h>

#include "dandelionvalve/orders.h"
#include "harness.h"
#include "suites.h"

static struct {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct orders *orders;
} fixture;

static struct str models[] = {STR_LITERAL("one"), STR_LITERAL("two")};

static struct conf_placement
placement(size_t model_count)
{
    return (struct conf_placement){
        .models = models,
        .model_count = model_count,
        .role = STR_LITERAL("serve"),
        .out_share_max = 0.25,
        .load_interval_ms = 1000,
    };
}

static void
set_up(size_t model_count, size_t rank, size_t pool_size)
{
    const struct orders_options options = {
        .clock = &fixture.clock,
        .random = &fixture.random,
        .backoff_min_ms = 200,
        .backoff_max_ms = 30000,
    };
    struct conf_placement wanted = placement(model_count);

    fixture.manual.now_us = 1000000;
    fixture.clock = manual_clock_interface(&fixture.manual);
    fixture.random = random_seeded_interface(&fixture.seeded);
    fixture.orders = orders_new(&options);
    orders_set_wanted(fixture.orders, 5, &wanted, rank, pool_size);
}

static bool
run_order(enum order_result result, struct order *order)
{
    if (!orders_due(fixture.orders, order)) {
        return false;
    }
    orders_begin(fixture.orders);
    orders_end(fixture.orders, result, 1000);
    return true;
}

static void
test_each_wanted_item_is_ordered_once(void)
{
    struct order order;
    int count = 0;

    set_up(2, 0, 8);
    while (run_order(ORDER_DONE, &order)) {
        CU_ASSERT(order.fence == 5);
        count++;
    }
    CU_ASSERT(count == 3);
    CU_ASSERT(orders_are_done(fixture.orders));
    orders_reset_loaded(fixture.orders);
    CU_ASSERT(orders_due(fixture.orders, &order));
    orders_free(fixture.orders);
}

static void
test_pool_loads_in_groups(void)
{
    int due_at_once = 0;
    int due_later = 0;

    // Two of eight endpoints may be out of service at once.
    for (size_t rank = 0; rank < 8; rank++) {
        struct order order;

        set_up(1, rank, 8);
        due_at_once += orders_due(fixture.orders, &order);
        fixture.manual.now_us += 1000000;
        due_later += orders_due(fixture.orders, &order);
        orders_free(fixture.orders);
    }
    CU_ASSERT(due_at_once == 2);
    CU_ASSERT(due_later == 4);
}

static void
test_rate_limit_delays_retry(void)
{
    struct order order;

    set_up(1, 0, 8);
    CU_ASSERT(run_order(ORDER_RATE_LIMITED, &order));
    CU_ASSERT(!orders_due(fixture.orders, &order));
    fixture.manual.now_us += 999000;
    CU_ASSERT(!orders_due(fixture.orders, &order));
    fixture.manual.now_us += 2000;
    CU_ASSERT(orders_due(fixture.orders, &order));
    orders_free(fixture.orders);
}

static void
test_stale_waits_for_a_newer_version(void)
{
    struct conf_placement wanted = placement(2);
    struct order order;

    set_up(1, 0, 8);
    CU_ASSERT(run_order(ORDER_STALE, &order));
    fixture.manual.now_us += 3600000000;
    CU_ASSERT(!orders_due(fixture.orders, &order));
    orders_set_wanted(fixture.orders, 4, &wanted, 0, 8);
    CU_ASSERT(!orders_due(fixture.orders, &order));
    orders_set_wanted(fixture.orders, 6, &wanted, 0, 8);
    CU_ASSERT(orders_due(fixture.orders, &order));
    CU_ASSERT(order.fence == 6);
    orders_free(fixture.orders);
}

static void
test_end_of_an_old_order_changes_nothing(void)
{
    struct conf_placement wanted = placement(2);
    struct order order;

    set_up(1, 0, 8);
    orders_begin(fixture.orders);
    orders_set_wanted(fixture.orders, 6, &wanted, 0, 8);
    CU_ASSERT(!orders_due(fixture.orders, &order));
    orders_end(fixture.orders, ORDER_DONE, 0);
    CU_ASSERT(orders_due(fixture.orders, &order));
    CU_ASSERT(str_equal_c(order.name, "one"));
    orders_free(fixture.orders);
}

static bool
all_have_orders(void *ctx)
{
    struct harness *harness = ctx;

    for (size_t i = 0; i < harness->options.engines; i++) {
        if (engine_ledger(harness->engines[i])->orders < 2) {
            return false;
        }
    }
    return true;
}

static void
test_engines_are_loaded(void)
{
    const struct harness_options options = {
        .engines = 3,
        .routers = 1,
        .slots = 4,
        .loads_per_s = 1,
    };
    struct harness harness;

    harness_start(&harness, &options);
    CU_ASSERT(harness_wait(&harness, all_have_orders, &harness, 20000));
    for (size_t i = 0; i < options.engines; i++) {
        CU_ASSERT(engine_ledger(harness.engines[i])->orders_below_fence == 0);
    }
    harness_stop(&harness);
}

static bool
has_four_orders(void *ctx)
{
    const struct harness *harness = ctx;

    return engine_ledger(harness->engines[0])->orders >= 4;
}

/// An engine that restarts between two requests has nothing loaded, although
/// no request has failed.
static void
test_restart_without_requests(void)
{
    const struct harness_options options = {
        .engines = 1,
        .routers = 1,
        .slots = 4,
    };
    struct harness harness;

    harness_start(&harness, &options);
    CU_ASSERT(harness_wait(&harness, all_have_orders, &harness, 20000));
    harness_run_for(&harness, 500);
    CU_ASSERT(engine_ledger(harness.engines[0])->orders == 2);
    engine_set_fault(harness.engines[0], ENGINE_CRASH);
    CU_ASSERT(harness_wait(&harness, has_four_orders, &harness, 10000));
    harness_stop(&harness);
}

static void
test_no_order_while_the_log_is_down(void)
{
    const struct harness_options options = {
        .engines = 1,
        .routers = 1,
        .slots = 4,
    };
    struct harness harness;
    uint64_t orders;

    harness_start(&harness, &options);
    CU_ASSERT(harness_wait(&harness, all_have_orders, &harness, 20000));
    platform_log_set_fault(harness.log, PLATFORM_LOG_REFUSE);
    harness_run_for(&harness, 1500);
    orders = engine_ledger(harness.engines[0])->orders;
    // Without the log the agent cannot read whether a newer version is in
    // force, so it must not send orders of the version that it has.
    harness_crash_agent(&harness, 0);
    harness_start_agent(&harness, 0);
    harness_run_for(&harness, 2500);
    CU_ASSERT(engine_ledger(harness.engines[0])->orders == orders);
    platform_log_set_fault(harness.log, PLATFORM_LOG_OK);
    harness_run_for(&harness, 5000);
    CU_ASSERT(engine_ledger(harness.engines[0])->orders > orders);
    harness_stop(&harness);
}

void
suite_orders(void)
{
    CU_pSuite suite = CU_add_suite("orders", NULL, NULL);

    CU_add_test(suite, "each wanted item is ordered once",
                test_each_wanted_item_is_ordered_once);
    CU_add_test(suite, "pool loads in groups", test_pool_loads_in_groups);
    CU_add_test(suite, "rate limit delays retry",
                test_rate_limit_delays_retry);
    CU_add_test(suite, "stale waits for a newer version",
                test_stale_waits_for_a_newer_version);
    CU_add_test(suite, "end of an old order changes nothing",
                test_end_of_an_old_order_changes_nothing);
    CU_add_test(suite, "engines are loaded", test_engines_are_loaded);
    CU_add_test(suite, "restart without requests",
                test_restart_without_requests);
    CU_add_test(suite, "no order while the log is down",
                test_no_order_while_the_log_is_down);
}
