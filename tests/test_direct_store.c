/// Configuration, API keys and endpoints from the store and from peers, also
/// with a faulty store.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/xmalloc.h"
#include "direct/direct_state.h"
#include "direct/endpoints.h"
#include "direct_harness.h"
#include "standin/platform_document.h"
#include "suites.h"

/// Limits of the operators' pages: from the acknowledgement of a configuration
/// until it is in force, and from the drain of an endpoint until its last
/// request.
#define IN_FORCE_MS 2000
#define DRAIN_MS 2000
/// Longer than the wait and the time-out of a read.
#define OUTAGE_MS 3500
/// Until a router that starts has listed the store and is linked.
#define START_MS 2000
#define NESTED_DEPTH 100000

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

/// The store does not answer waiting reads on new records: configuration still
/// takes effect in time.
static void
test_store_without_notifications(void)
{
    struct direct_harness harness;

    start(&harness, 4, 0);
    direct_harness_run(&harness, 2500);
    keyed_store_set_fault(harness.store, KEYED_STORE_NO_READ_NOTIFY);
    direct_harness_configure(&harness, "key", true, 800);
    direct_harness_run(&harness, IN_FORCE_MS - 200);
    for (size_t i = 0; i < 4; i++) {
        CU_ASSERT(status_of(&harness, i, "/added/") == 200);
    }
    direct_harness_stop(&harness);
}

/// A router that the store refuses receives configuration, revoked keys and
/// draining endpoints from its peers.
static void
test_records_from_peers(void)
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

/// A router that restarts during a store outage receives all records from its
/// peers.
static void
test_start_during_outage(void)
{
    struct direct_harness harness;

    start(&harness, 2, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_NO_ANSWER);
    direct_harness_stop_router(&harness, 1);
    direct_harness_start_router(&harness, 1);
    // The first request waits until the peer has sent the records.
    expect(&harness, 1, "/look/", 200, 3000);
    CU_ASSERT(counter_get(&harness.counters[1], COUNTER_REJECTED) == 0);
    direct_harness_stop(&harness);
}

/// Before configuration and endpoints are received the answer is 503, never
/// 404 or 401.
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
    keyed_store_set_fault(harness.store, KEYED_STORE_OK);
    expect(&harness, 0, "/nowhere/", 404, 3000);
    direct_harness_stop(&harness);
}

/// Load pattern: routers, store and callers start together. A request that
/// comes before the configuration waits and is served, not refused.
static void
test_requests_at_start(void)
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

/// Two seconds after the start without a store, requests are refused at once
/// instead of waiting for the configuration.
static void
test_refused_without_wait(void)
{
    struct direct_harness harness;
    int64_t started_ms;

    start(&harness, 1, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_NO_ANSWER);
    direct_harness_stop_router(&harness, 0);
    direct_harness_start_router(&harness, 0);
    direct_harness_run(&harness, 2100);
    started_ms = clock_ms(&clock_monotonic);
    CU_ASSERT(status_of(&harness, 0, "/look/") == 503);
    CU_ASSERT(clock_ms(&clock_monotonic) - started_ms < 200);
    direct_harness_stop(&harness);
}

/// All routers lose their state at once. They serve again soon with the
/// records of the store.
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

/// The store has compacted the offsets that a router reads from: the router
/// lists the newest records instead.
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
    keyed_store_compact(harness.store, KEYED_STORE_TOPIC_OPERATOR);
    keyed_store_compact(harness.store, KEYED_STORE_TOPIC_ENDPOINTS);
    keyed_store_set_fault(harness.store, KEYED_STORE_OK);
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

/// The entry of an endpoint that is removed just after a store outage is kept
/// no longer than a draining endpoint may be used.
static void
test_removal_after_outage(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 1, 0);
    keyed_store_set_fault(harness.store, KEYED_STORE_BUSY);
    // The outage is noticed when the read in progress times out.
    direct_harness_run(&harness, OUTAGE_MS);
    direct_harness_put_entry(&harness, "e-1", harness.origins[1], "models",
                             "draining");
    keyed_store_set_fault(harness.store, KEYED_STORE_OK);
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

/// Malformed entries are ignored; the valid ones stay in use.
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
        keyed_store_put(harness.store, KEYED_STORE_TOPIC_ENDPOINTS, id,
                        str_from(entries[i]));
    }
    direct_harness_run(&harness, 300);
    for (int i = 0; i < 20; i++) {
        CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    }
    direct_harness_stop(&harness);
}

static void
put_text(struct direct_harness *harness, const char *id, const char *text)
{
    keyed_store_put(harness->store, KEYED_STORE_TOPIC_ENDPOINTS, id,
                    str_from(text));
}

/// An odd entry of another writer, with a number or a port out of range or
/// nested deeply, ends no router and is not used. Routers that list it at
/// their start follow the entries behind it.
static void
test_odd_entries(void)
{
    static const char *const fields[] = {
        "\"address\":\"127.0.0.1:0\",\"slots\":8",
        "\"address\":\"127.0.0.1:65536\",\"slots\":8",
        "\"address\":\"127.0.0.1:-1\",\"slots\":8",
        "\"address\":\"127.0.0.1:80x\",\"slots\":8",
        "\"address\":\"127.0.0.1:4294967376\",\"slots\":8",
        "\"address\":\"127.0.0.1:99999999999999999999\",\"slots\":8",
        "\"address\":\"127.0.0.1:1\",\"slots\":4294967296",
        "\"address\":\"127.0.0.1:1\",\"slots\":9223372036854775807",
        "\"address\":\"127.0.0.1:1\",\"slots\":18446744073709551616",
        "\"address\":\"127.0.0.1:1\",\"slots\":1e300",
        "\"address\":\"127.0.0.1:1\",\"slots\":1e999",
        "\"address\":\"127.0.0.1:1\",\"slots\":8,\"born\":1e300",
        "\"address\":\"127.0.0.1:1\",\"slots\":8,\"cold_left_ms\":-1e300",
    };
    static char nested[2 * NESTED_DEPTH + 1];
    struct direct_harness harness;

    memset(nested, '[', NESTED_DEPTH);
    memset(nested + NESTED_DEPTH, ']', NESTED_DEPTH);
    start(&harness, 1, 0);
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        char id[16], text[256];

        snprintf(id, sizeof(id), "x-%zu", i);
        snprintf(text, sizeof(text),
                 "{\"service\":\"models\",\"state\":\"ready\",%s}", fields[i]);
        put_text(&harness, id, text);
    }
    put_text(&harness, "x-nested", nested);
    for (int i = 0; i < 2; i++) {
        direct_harness_run(&harness, 300);
        // Two endpoints of "models" and one of "orders".
        CU_ASSERT(endpoints_count(direct_endpoints(harness.routers[0])) == 3);
        for (int j = 0; j < 10; j++) {
            CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
        }
        direct_harness_stop_router(&harness, 0);
        direct_harness_start_router(&harness, 0);
    }
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             NULL);
    direct_harness_run(&harness, 300);
    CU_ASSERT(endpoints_count(direct_endpoints(harness.routers[0])) == 2);
    direct_harness_stop(&harness);
}

/// An entry of another writer whose key would add fields to the requests for
/// its endpoint names none, nor does one without a key.
static void
test_odd_keys(void)
{
    static const char *const keys[] = {"e-7\r\nDandelionvalve-Tenant: other",
                                       "e-7\n",
                                       "\x1b[2J",
                                       "e 7",
                                       "e-\xc3\xa9",
                                       ""};
    struct direct_harness harness;

    start(&harness, 2, 1);
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        direct_harness_put_entry(&harness, keys[i], harness.origins[0],
                                 "models", "ready");
    }
    direct_harness_run(&harness, 300);
    for (size_t i = 0; i < 2; i++) {
        // Two endpoints of "models" and one of "orders".
        CU_ASSERT(endpoints_count(direct_endpoints(harness.routers[i])) == 3);
        CU_ASSERT(status_of(&harness, i, "/look/") == 200);
    }
    direct_harness_stop(&harness);
}

/// An endpoint whose entry gets an address that is none is removed.
static void
test_entry_gets_invalid_address(void)
{
    struct direct_harness harness;

    start(&harness, 1, 0);
    put_text(&harness, "e-0",
             "{\"service\":\"models\",\"state\":\"ready\",\"slots\":8,"
             "\"address\":\"127.0.0.1:70000\",\"born\":1}");
    direct_harness_run(&harness, 300);
    CU_ASSERT(endpoints_count(direct_endpoints(harness.routers[0])) == 2);
    direct_harness_stop(&harness);
}

/// An endpoint whose entry becomes malformed is removed.
static void
test_entry_becomes_malformed(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 1, 0);
    keyed_store_put(harness.store, KEYED_STORE_TOPIC_ENDPOINTS, "e-0",
                    STR_LITERAL("{\"service\":\"models\"}"));
    direct_harness_run(&harness, 300);
    before = origin_runs(harness.origins[0]);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

/// Calls to the store are billed. Of four routers two read the entries: a
/// change costs each of the two one call, and idle time few more.
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

/// A configuration costs the two readers a call each, and idle time only the
/// primary. All routers apply it.
static void
test_configuration_call_rate(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 4, 0);
    direct_harness_run(&harness, 2500);
    before = keyed_store_calls(harness.store);
    for (int i = 0; i < 6; i++) {
        direct_harness_configure(&harness, "key", i % 2 == 0, 800);
        direct_harness_run(&harness, 500);
        for (size_t j = 0; j < 4; j++) {
            CU_ASSERT(status_of(&harness, j, "/added/") ==
                      (i % 2 == 0 ? 200 : 404));
        }
    }
    // The primary reads the configuration once more in each half second.
    CU_ASSERT(keyed_store_calls(harness.store) - before <= 2 * 6 + 6 + 6);
    direct_harness_stop(&harness);
}

static void
restart_all(struct direct_harness *harness, size_t routers)
{
    for (size_t i = 0; i < routers; i++) {
        direct_harness_stop_router(harness, i);
    }
    for (size_t i = 0; i < routers; i++) {
        direct_harness_start_router(harness, i);
    }
}

/// After a loss of power a router lists each topic and announces itself once,
/// and candidates begin to read one after the other.
static void
test_restart_call_rate(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 4, 0);
    direct_harness_run(&harness, 2500);
    before = keyed_store_calls(harness.store);
    restart_all(&harness, 4);
    direct_harness_run(&harness, 2500);
    // Four calls each, and the waiting reads of the two readers.
    CU_ASSERT(keyed_store_calls(harness.store) - before <= 4 * 4 + 11);
    direct_harness_stop(&harness);
}

/// In a deployment that is too large for a full mesh, the retry budget is
/// divided by all routers, not by the linked ones.
static void
test_large_deployment(void)
{
    struct direct_harness harness;

    start(&harness, 2, 0);
    direct_harness_put_unlinked_routers(&harness, 98);
    restart_all(&harness, 2);
    direct_harness_run(&harness, 2000);
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(direct_router_count(harness.routers[i]) == 100);
    }
    direct_harness_stop(&harness);
}

/// Publishes a configuration that is large also when compressed.
static void
publish_large(struct direct_harness *harness)
{
    static char padding[300001];
    char *text, *large;
    size_t len;

    for (size_t i = 0; i + 1 < sizeof(padding); i++) {
        padding[i] = (char)('!' + random_below(&random_system, 90));
        padding[i] =
            padding[i] == '"' || padding[i] == '\\' ? '-' : padding[i];
    }
    harness->version += 3;
    text = platform_document(harness->version, "key", true, 800, 3000);
    len = strlen(text) + sizeof(padding) + 32;
    large = xmalloc(len);
    snprintf(large, len, "{\"padding\":\"%s\",%s", padding, text + 1);
    keyed_store_put(harness->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                    str_from(large));
    free(large);
    free(text);
}

/// A large configuration is read from the store by each router, since it would
/// fill the links; a router that the store refuses receives it from a peer.
static void
test_large_configuration(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 4, 1);
    direct_harness_run(&harness, 1500);
    before = counter_get(&harness.counters[0], COUNTER_LINK_BYTES_OUT) +
             counter_get(&harness.counters[1], COUNTER_LINK_BYTES_OUT) +
             counter_get(&harness.counters[2], COUNTER_LINK_BYTES_OUT);
    publish_large(&harness);
    direct_harness_run(&harness, IN_FORCE_MS - 200);
    for (size_t i = 0; i < 4; i++) {
        CU_ASSERT(status_of(&harness, i, "/added/") == 200);
    }
    // One copy, for the router that the store refuses.
    CU_ASSERT(counter_get(&harness.counters[0], COUNTER_LINK_BYTES_OUT) +
                  counter_get(&harness.counters[1], COUNTER_LINK_BYTES_OUT) +
                  counter_get(&harness.counters[2], COUNTER_LINK_BYTES_OUT) -
                  before <
              450000);
    direct_harness_stop(&harness);
}

/// The store does not answer the waiting read of the standby on a new record
/// that is too large for peers to send: the standby reads it anew in time,
/// instead of when its long wait ends.
static void
test_standby_misses_large_configuration(void)
{
    struct direct_harness harness;

    start(&harness, 4, 0);
    direct_harness_run(&harness, 2500);
    keyed_store_set_fault(harness.store, KEYED_STORE_NO_READ_NOTIFY);
    publish_large(&harness);
    direct_harness_run(&harness, IN_FORCE_MS - 200);
    for (size_t i = 0; i < 4; i++) {
        CU_ASSERT(status_of(&harness, i, "/added/") == 200);
    }
    direct_harness_stop(&harness);
}

/// An entry is removed while one router is cut off from the store and its
/// peers are down. They list the store without that entry when they start
/// again, and the router learns of the removal from them.
static void
test_removal_while_peers_restart(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 3, 1);
    CU_ASSERT(status_of(&harness, 2, "/look/") == 200);
    for (size_t i = 0; i < 2; i++) {
        direct_harness_stop_router(&harness, i);
    }
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             NULL);
    direct_harness_run(&harness, 500);
    for (size_t i = 0; i < 2; i++) {
        direct_harness_start_router(&harness, i);
    }
    direct_harness_run(&harness, START_MS + DRAIN_MS);
    before = origin_runs(harness.origins[0]);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT(status_of(&harness, 2, "/look/") == 200);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

/// Routers that read the entries for all stop: another router reads in time.
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

/// The routers that read the store for all: a change costs them calls.
static size_t
find_readers(struct direct_harness *harness, bool *reads)
{
    uint64_t before[DIRECT_MAX];
    size_t count = 0;

    for (size_t i = 0; i < DIRECT_MAX; i++) {
        before[i] = counter_get(&harness->counters[i], COUNTER_LOG_READS);
    }
    direct_harness_configure(harness, "key", false, 800);
    direct_harness_run(harness, 300);
    for (size_t i = 0; i < DIRECT_MAX; i++) {
        reads[i] =
            counter_get(&harness->counters[i], COUNTER_LOG_READS) > before[i];
        count += reads[i] ? 1 : 0;
    }
    return count;
}

static void
silence_readers(struct direct_harness *harness, const bool *reads, bool silent)
{
    for (size_t i = 0; i < DIRECT_MAX; i++) {
        if (reads[i]) {
            relay_drop(harness->store_relays[i], silent, silent);
            if (!silent) {
                relay_reset(harness->store_relays[i]);
            }
        }
    }
}

/// The store gives no answer to the two routers that read it for all: the
/// others went on with a revoked key until both had timed out.
static void
test_both_readers_get_no_answer(void)
{
    struct direct_harness harness;
    bool reads[DIRECT_MAX];

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = DIRECT_MAX,
                                       .origins = 1,
                                       .work_us = 1000,
                                       .store_relays = true,
                                   });
    for (int round = 0; round < 3; round++) {
        direct_harness_run(&harness, 2500);
        CU_ASSERT_FATAL(find_readers(&harness, reads) == 2);
        // The reads of the primary begin at different times before the outage.
        direct_harness_run(&harness, 130 * round);
        silence_readers(&harness, reads, true);
        direct_harness_configure(&harness, "other-key", false, 800);
        direct_harness_run(&harness, IN_FORCE_MS);
        for (size_t i = 0; i < DIRECT_MAX; i++) {
            CU_ASSERT(reads[i] || status_of(&harness, i, "/look/") == 401);
        }
        silence_readers(&harness, reads, false);
    }
    direct_harness_stop(&harness);
}

void
suite_direct_store(void)
{
    CU_pSuite suite = CU_add_suite("direct store", NULL, NULL);

    CU_add_test(suite, "versions take effect", test_versions_take_effect);
    CU_add_test(suite, "store without notifications",
                test_store_without_notifications);
    CU_add_test(suite, "records from peers", test_records_from_peers);
    CU_add_test(suite, "start during outage", test_start_during_outage);
    CU_add_test(suite, "unknown deployment is 503",
                test_unknown_deployment_is_503);
    CU_add_test(suite, "requests at start", test_requests_at_start);
    CU_add_test(suite, "refused without wait", test_refused_without_wait);
    CU_add_test(suite, "power loss", test_power_loss);
    CU_add_test(suite, "compaction", test_compaction);
    CU_add_test(suite, "removal after outage", test_removal_after_outage);
    CU_add_test(suite, "malformed entries", test_malformed_entries);
    CU_add_test(suite, "odd entries", test_odd_entries);
    CU_add_test(suite, "odd keys", test_odd_keys);
    CU_add_test(suite, "entry gets invalid address",
                test_entry_gets_invalid_address);
    CU_add_test(suite, "entry becomes malformed",
                test_entry_becomes_malformed);
    CU_add_test(suite, "store call rate", test_store_call_rate);
    CU_add_test(suite, "configuration call rate",
                test_configuration_call_rate);
    CU_add_test(suite, "large configuration", test_large_configuration);
    CU_add_test(suite, "standby misses large configuration",
                test_standby_misses_large_configuration);
    CU_add_test(suite, "restart call rate", test_restart_call_rate);
    CU_add_test(suite, "large deployment", test_large_deployment);
    CU_add_test(suite, "reader is replaced", test_reader_is_replaced);
    CU_add_test(suite, "both readers get no answer",
                test_both_readers_get_no_answer);
    CU_add_test(suite, "removal while peers restart",
                test_removal_while_peers_restart);
}
