#include <CUnit/CUnit.h>

#include "dandelionvalve/gate.h"
#include "suites.h"

static struct {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct gate *gate;
    int admitted;
    int dropped;
    enum refuse_reason reason;
    const char *last;
} fixture;

static void
on_admitted(void *ctx, void *request)
{
    (void)ctx;
    fixture.admitted++;
    fixture.last = request;
}

static void
on_dropped(void *ctx, void *request, enum refuse_reason reason,
           uint32_t retry_after_ms)
{
    (void)ctx;
    (void)request;
    (void)retry_after_ms;
    fixture.dropped++;
    fixture.reason = reason;
}

static void
start(uint32_t slots, uint32_t endpoints)
{
    const struct gate_options options = {
        .clock = &fixture.clock,
        .random = &fixture.random,
        .slots = slots,
        .incarnation = 1,
        .bound_multiple = 1.25,
        .drift_margin = GATE_DRIFT_MARGIN,
        .report_max_age_ms = GATE_REPORT_MAX_AGE_MS,
        .queue_requests_max = 8,
        .queue_bytes_max = 1000,
        .admitted = on_admitted,
        .dropped = on_dropped,
    };

    fixture.manual.now_us = 1000000;
    fixture.clock = manual_clock_interface(&fixture.manual);
    fixture.random = random_seeded_interface(&fixture.seeded);
    fixture.admitted = 0;
    fixture.dropped = 0;
    fixture.gate = gate_new(&options);
    gate_set_pool(fixture.gate, endpoints, 1);
}

static enum gate_verdict
offer(const char *account, uint32_t weight, bool may_wait, void *request)
{
    const struct gate_request wanted = {
        .account = str_from(account),
        .account_weight = weight,
        .priority = 5,
        .bytes = 10,
        .deadline_ms = fixture.manual.now_us / 1000 + 1000,
        .may_wait = may_wait,
        .request = request,
    };

    return gate_offer(fixture.gate, &wanted).verdict;
}

static void
test_bound_follows_the_pool(void)
{
    start(100, 4);
    CU_ASSERT(gate_bound(fixture.gate) == 1);
    CU_ASSERT(offer("a", 1, false, "1") == GATE_ADMITTED);
    CU_ASSERT(offer("a", 1, false, "2") == GATE_REFUSED);
    gate_set_router_in_flight(fixture.gate, STR_LITERAL("r1"), 10);
    gate_set_router_in_flight(fixture.gate, STR_LITERAL("r2"), 6);
    // 1.25 * 16 / 4 = 5.
    CU_ASSERT(gate_bound(fixture.gate) == 5);
    for (int i = 0; i < 4; i++) {
        CU_ASSERT(offer("a", 1, false, "n") == GATE_ADMITTED);
    }
    CU_ASSERT(offer("a", 1, false, "6") == GATE_REFUSED);
    gate_remove_router(fixture.gate, STR_LITERAL("r1"));
    CU_ASSERT(gate_bound(fixture.gate) == 2);
    gate_free(fixture.gate);
}

static void
test_reported_weight_replaces_listed(void)
{
    start(100, 4);
    gate_set_router_in_flight(fixture.gate, STR_LITERAL("r1"), 10);
    gate_set_router_in_flight(fixture.gate, STR_LITERAL("r2"), 6);
    gate_set_router_pool_weight(fixture.gate, STR_LITERAL("r1"), 2);
    gate_tick(fixture.gate);
    // 1.25 * 16 / 2 = 10.
    CU_ASSERT(gate_bound(fixture.gate) == 10);
    // The largest reported weight counts.
    gate_set_router_pool_weight(fixture.gate, STR_LITERAL("r2"), 3);
    gate_tick(fixture.gate);
    CU_ASSERT(gate_bound(fixture.gate) == 7);
    gate_set_router_pool_weight(fixture.gate, STR_LITERAL("r2"), 9);
    gate_tick(fixture.gate);
    CU_ASSERT(gate_bound(fixture.gate) == 5);
    // A tenth of the weight missing is within the headroom and is ignored.
    gate_set_pool(fixture.gate, 10, 1);
    gate_tick(fixture.gate);
    CU_ASSERT(gate_bound(fixture.gate) == 2);
    gate_free(fixture.gate);
}

static void
test_old_reports_lower_the_bound(void)
{
    start(100, 4);
    gate_set_router_in_flight(fixture.gate, STR_LITERAL("r"), 100);
    CU_ASSERT(gate_bound(fixture.gate) == 32);
    fixture.manual.now_us += 1000000;
    // 100 - 1.75 * sqrt(100 * 1 s) = 82.5; 1.25 * 82.5 / 4 rounded up.
    CU_ASSERT(gate_bound(fixture.gate) == 26);
    fixture.manual.now_us += 3000000;
    gate_tick(fixture.gate);
    CU_ASSERT(gate_bound(fixture.gate) == 1);
    gate_free(fixture.gate);
}

static void
test_even_pool_can_always_grow(void)
{
    for (uint32_t load = 1; load < 50; load++) {
        start(1000, 4);
        gate_set_router_in_flight(fixture.gate, STR_LITERAL("r"), 4 * load);
        for (int age_ms = 0; age_ms < 3000; age_ms += 100) {
            CU_ASSERT(gate_bound(fixture.gate) >= load + 1);
            fixture.manual.now_us += 100000;
        }
        gate_free(fixture.gate);
    }
}

static void
test_reports_and_ends_admit_waiting(void)
{
    start(2, 4);
    CU_ASSERT(offer("a", 1, true, "1") == GATE_ADMITTED);
    CU_ASSERT(offer("a", 1, true, "2") == GATE_QUEUED);
    gate_set_router_in_flight(fixture.gate, STR_LITERAL("r"), 8);
    CU_ASSERT(fixture.admitted == 1);
    CU_ASSERT(offer("a", 1, true, "3") == GATE_QUEUED);
    CU_ASSERT(offer("a", 1, false, "4") == GATE_REFUSED);
    gate_request_ended(fixture.gate);
    CU_ASSERT(fixture.admitted == 2);
    gate_free(fixture.gate);
}

static void
test_shares_by_weight(void)
{
    int counts[2] = {0, 0};

    start(1, 1);
    gate_set_options(fixture.gate, 1.25, 100, 100000);
    offer("x", 1, true, "x");
    for (int i = 0; i < 30; i++) {
        offer("heavy", 1, true, "h");
    }
    for (int i = 0; i < 30; i++) {
        offer("light", 3, true, "l");
    }
    for (int i = 0; i < 20; i++) {
        gate_request_ended(fixture.gate);
        counts[fixture.last[0] == 'l']++;
    }
    CU_ASSERT(counts[0] == 5);
    CU_ASSERT(counts[1] == 15);
    gate_free(fixture.gate);
}

static void
test_full_queue_sheds_the_largest_account(void)
{
    start(1, 1);
    offer("x", 1, true, "x");
    for (int i = 0; i < 8; i++) {
        CU_ASSERT(offer("surge", 1, true, "s") == GATE_QUEUED);
    }
    CU_ASSERT(offer("surge", 1, true, "s") == GATE_REFUSED);
    CU_ASSERT(offer("quiet", 1, true, "q") == GATE_QUEUED);
    CU_ASSERT(fixture.dropped == 1);
    CU_ASSERT(fixture.reason == REFUSE_QUEUE_FULL);
    gate_free(fixture.gate);
}

static void
test_deadline_in_the_queue(void)
{
    start(1, 1);
    offer("x", 1, true, "x");
    offer("a", 1, true, "a");
    fixture.manual.now_us += 1001000;
    gate_tick(fixture.gate);
    CU_ASSERT(fixture.dropped == 1);
    CU_ASSERT(fixture.reason == REFUSE_DEADLINE);
    CU_ASSERT(gate_load_report(fixture.gate).queued == 0);
    gate_free(fixture.gate);
}

static void
test_leaving_endpoint_refuses(void)
{
    start(4, 1);
    gate_set_state(fixture.gate, AGENT_LEAVING);
    CU_ASSERT(offer("a", 1, true, "a") == GATE_REFUSED);
    gate_free(fixture.gate);
}

static void
test_withdraw(void)
{
    static char request[] = "w";

    start(1, 1);
    offer("x", 1, true, "x");
    offer("a", 1, true, request);
    CU_ASSERT(gate_withdraw(fixture.gate, request));
    CU_ASSERT(!gate_withdraw(fixture.gate, request));
    gate_request_ended(fixture.gate);
    CU_ASSERT(fixture.admitted == 0);
    gate_free(fixture.gate);
}

void
suite_gate(void)
{
    CU_pSuite suite = CU_add_suite("gate", NULL, NULL);

    CU_add_test(suite, "bound follows the pool", test_bound_follows_the_pool);
    CU_add_test(suite, "reported weight replaces the listed one",
                test_reported_weight_replaces_listed);
    CU_add_test(suite, "old reports lower the bound",
                test_old_reports_lower_the_bound);
    CU_add_test(suite, "even pool can always grow",
                test_even_pool_can_always_grow);
    CU_add_test(suite, "reports and ends admit waiting requests",
                test_reports_and_ends_admit_waiting);
    CU_add_test(suite, "shares by weight", test_shares_by_weight);
    CU_add_test(suite, "full queue sheds the largest account",
                test_full_queue_sheds_the_largest_account);
    CU_add_test(suite, "deadline in the queue", test_deadline_in_the_queue);
    CU_add_test(suite, "leaving endpoint refuses requests",
                test_leaving_endpoint_refuses);
    CU_add_test(suite, "withdraw", test_withdraw);
}
