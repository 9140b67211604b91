/// Configuration, keys and endpoints: from the store, from peers, and through
/// the store's misdeeds.
#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "direct_harness.h"
#include "suites.h"

/// What the operators' pages allow between an acknowledged version and its
/// being in force, and between an endpoint's leaving and its last request.
#define IN_FORCE_MS 2000
#define DRAIN_MS 2000
/// Longer than a waiting read may take.
#define OUTAGE_MS 3500

struct expectation {
    struct direct_harness *harness;
    size_t router;
    const char *path;
    int status;
};

static int
status_of(struct direct_harness *harness, size_t router, const char *path)
{
    struct direct_call call = {0};
    int status;

    direct_call_do(harness, router, &call, "GET", path, "id", NULL, NULL);
    status = call.status;
    direct_call_free(&call);
    return status;
}

static bool
is_met(void *ctx)
{
    const struct expectation *expected = ctx;

    return status_of(expected->harness, expected->router, expected->path) ==
           expected->status;
}

static void
start(struct direct_harness *harness, size_t routers, size_t isolated)
{
    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = routers,
                                      .origins = 2,
                                      .events = 4,
                                      .work_us = 1000,
                                      .isolated = isolated,
                                  });
}

static void
expect(struct direct_harness *harness, size_t router, const char *path,
       int status, int64_t limit_ms)
{
    struct expectation expected = {harness, router, path, status};

    CU_ASSERT(direct_harness_wait(harness, is_met, &expected, limit_ms));
}

static void
test_versions_take_effect(void)
{
    struct direct_harness harness;

    start(&harness, 2, 0);
    CU_ASSERT(status_of(&harness, 0, "/added/") == 404);
    direct_harness_configure(&harness, "key", true, 800);
    for (size_t i = 0; i < 2; i++) {
        expect(&harness, i, "/added/", 200, IN_FORCE_MS);
    }
    direct_harness_configure(&harness, "other-key", true, 800);
    for (size_t i = 0; i < 2; i++) {
        expect(&harness, i, "/look/", 401, IN_FORCE_MS);
        CU_ASSERT(status_of(&harness, i, "/open/") == 200);
    }
    direct_harness_stop(&harness);
}

/// A store that does not tell waiting reads of new records.
static void
test_store_without_notifications(void)
{
    struct direct_harness harness;

    start(&harness, 4, 0);
    direct_harness_run(&harness, 2500);
    keyed_store_set_fault(harness.store, KEYED_STORE_DEAF);
    direct_harness_configure(&harness, "key", true, 800);
    direct_harness_run(&harness, IN_FORCE_MS - 200);
    for (size_t i = 0; i < 4; i++) {
        CU_ASSERT(status_of(&harness, i, "/added/") == 200);
    }
    direct_harness_stop(&harness);
}

/// A router that the store refuses takes configuration, revoked keys and
/// leaving endpoints from its peers.
static void
test_peers_pass_records_on(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 3, 1);
    direct_harness_configure(&harness, "key", true, 800);
    expect(&harness, 2, "/added/", 200, IN_FORCE_MS);
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             "draining");
    direct_harness_run(&harness, DRAIN_MS / 2);
    before = origin_runs(harness.origins[0]);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT(status_of(&harness, 2, "/look/") == 200);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == before);
    direct_harness_configure(&harness, "other-key", true, 800);
    expect(&harness, 2, "/look/", 401, IN_FORCE_MS);
    direct_harness_stop(&harness);
}

/// A router that starts anew while the store is away has all from its peers.
static void
test_start_without_the_store(void)
{
    struct direct_harness harness;

    start(&harness, 2, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_SILENT);
    direct_harness_stop_router(&harness, 1);
    direct_harness_start_router(&harness, 1);
    // The request waits a moment for what the peer passes on.
    expect(&harness, 1, "/look/", 200, 3000);
    CU_ASSERT(counter_get(&harness.counters[1], COUNTER_REJECTED) == 0);
    direct_harness_stop(&harness);
}

/// Nothing is known yet: 503, never 404 or 401.
static void
test_unknown_deployment_is_503(void)
{
    struct direct_harness harness;

    start(&harness, 1, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_BUSY);
    direct_harness_stop_router(&harness, 0);
    direct_harness_start_router(&harness, 0);
    for (int i = 0; i < 5; i++) {
        CU_ASSERT(status_of(&harness, 0, "/nowhere/") == 503);
    }
    CU_ASSERT(!direct_is_ready(harness.routers[0]));
    keyed_store_set_fault(harness.store, KEYED_STORE_SOUND);
    expect(&harness, 0, "/nowhere/", 404, 3000);
    direct_harness_stop(&harness);
}

/// Load pattern: everything starts at once, callers with it. A request that
/// comes before anything is known is served, not refused.
static void
test_served_from_the_start(void)
{
    struct direct_harness harness;

    start(&harness, 1, 0);
    for (int i = 0; i < 5; i++) {
        direct_harness_stop_router(&harness, 0);
        direct_harness_start_router(&harness, 0);
        CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    }
    direct_harness_stop(&harness);
}

/// What is not about to be known is refused at once.
static void
test_refused_without_wait(void)
{
    struct direct_harness harness;
    int64_t started_ms;

    start(&harness, 1, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_SILENT);
    direct_harness_stop_router(&harness, 0);
    direct_harness_start_router(&harness, 0);
    direct_harness_run(&harness, 2100);
    started_ms = clock_ms(&clock_monotonic);
    CU_ASSERT(status_of(&harness, 0, "/look/") == 503);
    CU_ASSERT(clock_ms(&clock_monotonic) - started_ms < 200);
    direct_harness_stop(&harness);
}

/// Served by the store alone soon after everything has lost its memory.
static void
test_power_loss(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    for (size_t i = 0; i < 3; i++) {
        direct_harness_stop_router(&harness, i);
    }
    for (size_t i = 0; i < 3; i++) {
        direct_harness_start_router(&harness, i);
    }
    for (size_t i = 0; i < 3; i++) {
        expect(&harness, i, "/look/", 200, 3000);
    }
    direct_harness_stop(&harness);
}

/// The history that a long read stands on is gone: the newest are listed.
static void
test_compaction(void)
{
    struct direct_harness harness;

    start(&harness, 1, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_BUSY);
    direct_harness_run(&harness, 200);
    direct_harness_configure(&harness, "key", true, 800);
    direct_harness_configure(&harness, "key", true, 900);
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             NULL);
    keyed_store_compact(harness.store, KEYED_STORE_OPERATOR);
    keyed_store_compact(harness.store, KEYED_STORE_ENDPOINTS);
    keyed_store_set_fault(harness.store, KEYED_STORE_SOUND);
    expect(&harness, 0, "/added/", 200, IN_FORCE_MS);
    direct_harness_run(&harness, DRAIN_MS + 500);
    {
        uint64_t before = origin_runs(harness.origins[0]);

        for (int i = 0; i < 6; i++) {
            CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
        }
        CU_ASSERT(origin_runs(harness.origins[0]) == before);
    }
    direct_harness_stop(&harness);
}

/// An entry that is removed just after the store's return is not held for
/// longer than a leaving endpoint may be used.
static void
test_removal_after_outage(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 1, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_BUSY);
    // Until the read that was out is given up: only then is the store away.
    direct_harness_run(&harness, OUTAGE_MS);
    direct_harness_put_entry(&harness, "e-1", harness.origins[1], "models",
                             "draining");
    keyed_store_set_fault(harness.store, KEYED_STORE_SOUND);
    direct_harness_run(&harness, 1200);
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             NULL);
    direct_harness_put_entry(&harness, "e-1", harness.origins[1], "models",
                             "ready");
    direct_harness_run(&harness, DRAIN_MS - 300);
    before = origin_runs(harness.origins[0]);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

/// Entries of a foreign writer name no endpoint; the others hold.
static void
test_malformed_entries(void)
{
    static const char *const entries[] = {
        "not json",
        "{}",
        "[1,2]",
        "{\"service\":\"models\",\"address\":\"127.0.0.1:1\","
        "\"slots\":8,\"state\":\"resting\"}",
        "{\"service\":7,\"address\":\"127.0.0.1:1\",\"slots\":8,"
        "\"state\":\"ready\"}",
        "{\"service\":\"models\",\"address\":\"localhost:1\",\"slots\":8,"
        "\"state\":\"ready\"}",
        "{\"service\":\"models\",\"address\":\"127.0.0.1:1\",\"slots\":\"8\","
        "\"state\":\"ready\"}",
    };
    struct direct_harness harness;

    start(&harness, 1, 0);
    for (size_t i = 0; i < sizeof(entries) / sizeof(entries[0]); i++) {
        char id[16];

        snprintf(id, sizeof(id), "x-%zu", i);
        keyed_store_put(harness.store, KEYED_STORE_ENDPOINTS, id,
                        str_from(entries[i]));
    }
    direct_harness_run(&harness, 300);
    for (int i = 0; i < 20; i++) {
        CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    }
    direct_harness_stop(&harness);
}

/// A known endpoint's entry turns unreadable: it names no endpoint any more.
static void
test_entry_becomes_malformed(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 1, 0);
    keyed_store_put(harness.store, KEYED_STORE_ENDPOINTS, "e-0",
                    STR_LITERAL("{\"service\":\"models\"}"));
    direct_harness_run(&harness, 300);
    before = origin_runs(harness.origins[0]);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

/// Calls are priced: of four routers two read, and an idle second costs each
/// of these little.
static void
test_store_call_rate(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 4, 0);
    direct_harness_run(&harness, 2500);
    before = keyed_store_calls(harness.store);
    for (int i = 0; i < 10; i++) {
        direct_harness_put_entry(&harness, "e-1", harness.origins[1], "models",
                                 i % 2 == 0 ? "draining" : "ready");
        direct_harness_run(&harness, 150);
    }
    CU_ASSERT(keyed_store_calls(harness.store) - before <= 2 * 10 + 6);
    direct_harness_stop(&harness);
}

/// A reader of the entries that falls silent is replaced in time.
static void
test_reader_is_replaced(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 4, 0);
    direct_harness_run(&harness, 2000);
    for (size_t i = 0; i < 3; i++) {
        direct_harness_stop_router(&harness, i);
    }
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             "draining");
    direct_harness_run(&harness, DRAIN_MS - 200);
    before = origin_runs(harness.origins[0]);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT(status_of(&harness, 3, "/look/") == 200);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

void
suite_direct_store(void)
{
    CU_pSuite suite = CU_add_suite("direct store", NULL, NULL);

    CU_add_test(suite, "versions come in force", test_versions_take_effect);
    CU_add_test(suite, "deaf store", test_store_without_notifications);
    CU_add_test(suite, "peers pass records on", test_peers_pass_records_on);
    CU_add_test(suite, "start without store", test_start_without_the_store);
    CU_add_test(suite, "unknown is not denied",
                test_unknown_deployment_is_503);
    CU_add_test(suite, "served from the start", test_served_from_the_start);
    CU_add_test(suite, "refused without hope", test_refused_without_wait);
    CU_add_test(suite, "power loss", test_power_loss);
    CU_add_test(suite, "compaction", test_compaction);
    CU_add_test(suite, "removed after return", test_removal_after_outage);
    CU_add_test(suite, "foreign entries", test_malformed_entries);
    CU_add_test(suite, "entry turns foreign", test_entry_becomes_malformed);
    CU_add_test(suite, "few calls", test_store_call_rate);
    CU_add_test(suite, "a reader is replaced", test_reader_is_replaced);
}
