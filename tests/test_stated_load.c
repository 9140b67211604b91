/// Loads that endpoints state, passed on by routers that know a part of the
/// others.
#include <CUnit/CUnit.h>

#include "core/stated_load.h"
#include "direct/direct_state.h"
#include "direct/endpoints.h"
#include "direct/mesh.h"
#include "direct_harness.h"
#include "suites.h"

#define SLOTS 32
#define BUSY (SLOTS / STATED_LOAD_SLOTS_DIVISOR)
#define ROUTERS 103
#define LINKS 8
#define TICK_MS 100
#define NOW_MS 100000

struct fleet {
    struct stated_load stated[ROUTERS];
    size_t reports;
};

/// Routers tell their peers, which are spread over the fleet, at one tick. All
/// reports are taken before the first is received.
static void
tick(struct fleet *fleet, int64_t now_ms)
{
    bool due[ROUTERS];

    for (size_t i = 0; i < ROUTERS; i++) {
        due[i] = stated_load_take_report(&fleet->stated[i], now_ms,
                                         STATED_LOAD_RENEW_MS);
        fleet->reports += due[i] ? LINKS : 0;
    }
    for (size_t i = 0; i < ROUTERS; i++) {
        for (size_t link = 1; due[i] && link <= LINKS; link++) {
            stated_load_reported(&fleet->stated[(i + link * link) % ROUTERS],
                                 fleet->stated[i].load, fleet->stated[i].at_ms,
                                 now_ms);
        }
    }
}

static size_t
knowing(const struct fleet *fleet, int64_t now_ms)
{
    size_t count = 0;

    for (size_t i = 0; i < ROUTERS; i++) {
        count += stated_load_now(&fleet->stated[i], now_ms) > 0 ? 1 : 0;
    }
    return count;
}

/// Guards against: beyond a full mesh, routers go on sending to an endpoint
/// that holds several times its slots, since each knows a tenth of its load.
static void
test_overloaded_endpoint_unknown_to_most(void)
{
    static struct fleet fleet;
    int64_t now_ms = NOW_MS;

    stated_load_answered(&fleet.stated[0], 4 * SLOTS, SLOTS, now_ms);
    for (int i = 0; i < 5; i++) {
        tick(&fleet, now_ms);
        now_ms += TICK_MS;
    }
    CU_ASSERT(knowing(&fleet, now_ms) == ROUTERS);
    // Each router has passed it on once.
    CU_ASSERT(fleet.reports == ROUTERS * LINKS);
    now_ms = NOW_MS + STATED_LOAD_HOLD_MS;
    CU_ASSERT(knowing(&fleet, now_ms) == 0);
}

/// The load of an endpoint that is not busy is told to nobody, and ends what
/// was stated before.
static void
test_free_slots(void)
{
    struct stated_load stated = {0};

    stated_load_answered(&stated, BUSY - 1, SLOTS, NOW_MS);
    CU_ASSERT(!stated_load_take_report(&stated, NOW_MS, STATED_LOAD_RENEW_MS));
    CU_ASSERT(stated_load_now(&stated, NOW_MS) == 0);
    stated_load_answered(&stated, BUSY, SLOTS, NOW_MS + 1);
    CU_ASSERT(stated_load_now(&stated, NOW_MS + 1) == BUSY);
    stated_load_answered(&stated, BUSY - 1, SLOTS, NOW_MS + 2);
    CU_ASSERT(
        !stated_load_take_report(&stated, NOW_MS + 2, STATED_LOAD_RENEW_MS));
    CU_ASSERT(stated_load_now(&stated, NOW_MS + 2) == 0);
    // Without a number of slots no endpoint is known to be busy.
    stated_load_answered(&stated, 1000, 0, NOW_MS + 3);
    CU_ASSERT(stated_load_now(&stated, NOW_MS + 3) == 0);
}

/// Reports are limited in rate, and older ones than what is known are dropped.
static void
test_reports(void)
{
    struct stated_load stated = {0};

    stated_load_reported(&stated, 50, NOW_MS - 100, NOW_MS);
    CU_ASSERT(stated_load_now(&stated, NOW_MS) == 50);
    CU_ASSERT(stated_load_take_report(&stated, NOW_MS, STATED_LOAD_RENEW_MS));
    stated_load_reported(&stated, 40, NOW_MS - 200, NOW_MS);
    CU_ASSERT(stated_load_now(&stated, NOW_MS) == 50);
    stated_load_reported(&stated, 60, NOW_MS, NOW_MS + 1);
    CU_ASSERT(
        !stated_load_take_report(&stated, NOW_MS + 1, STATED_LOAD_RENEW_MS));
    CU_ASSERT(stated_load_take_report(&stated, NOW_MS + STATED_LOAD_RENEW_MS,
                                      STATED_LOAD_RENEW_MS));
    stated = (struct stated_load){0};
    stated_load_reported(&stated, 70, NOW_MS - STATED_LOAD_HOLD_MS, NOW_MS);
    CU_ASSERT(!stated_load_take_report(&stated, NOW_MS, STATED_LOAD_RENEW_MS));
}

/// Load of the endpoint at a router that has got no answer of it, after the
/// other one was told that it has 120 requests and 8 slots. `others` more
/// routers are known, and never reached.
static uint32_t
load_at_other_router(size_t others)
{
    struct direct_harness harness;
    struct endpoint *endpoint;
    uint32_t load;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 2,
                                       .origins = 1,
                                       .events = 2,
                                       .work_us = 1000,
                                   });
    direct_harness_put_unlinked_routers(&harness, others);
    for (size_t i = 0; i < 2; i++) {
        direct_harness_stop_router(&harness, i);
        direct_harness_start_router(&harness, i);
    }
    direct_harness_run(&harness, 2000);
    origin_set_load(harness.origins[0], "100,20,8");
    CU_ASSERT(direct_call_once(&harness, 0, "/stream/draft/") == 200);
    direct_harness_run(&harness, 500);
    endpoint = endpoints_find(direct_endpoints(harness.routers[1]),
                              STR_LITERAL("e-0"));
    CU_ASSERT_FATAL(endpoint != NULL);
    load = endpoint_load(endpoint, clock_ms(&clock_monotonic));
    direct_harness_stop(&harness);
    return load;
}

/// In a full mesh, routers know from reports what the others have there.
static void
test_told_beyond_a_full_mesh(void)
{
    CU_ASSERT(load_at_other_router(0) == 0);
    CU_ASSERT(load_at_other_router(MESH_FULL_ROUTERS_MAX) == 120);
}

void
suite_stated_load(void)
{
    CU_pSuite suite = CU_add_suite("stated-load", NULL, NULL);

    CU_add_test(suite, "overloaded endpoint unknown to most",
                test_overloaded_endpoint_unknown_to_most);
    CU_add_test(suite, "free slots", test_free_slots);
    CU_add_test(suite, "reports", test_reports);
    CU_add_test(suite, "told beyond a full mesh",
                test_told_beyond_a_full_mesh);
}
