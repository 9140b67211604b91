/// The store comes back from a copy some seconds old: offsets are given out
/// again, and the operator and the endpoints write their records again.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "core/xmalloc.h"
#include "direct/direct_private.h"
#include "direct/direct_state.h"
#include "direct/endpoints.h"
#include "direct/mesh.h"
#include "direct_harness.h"
#include "net/http_client.h"
#include "net/link.h"
#include "net/loop.h"
#include "platform/store.h"
#include "standin/platform_document.h"
#include "standin/ports.h"
#include "suites.h"

/// Limits of the operators' pages: from the acknowledgement of a configuration
/// until it is in force, from the drain of an endpoint until its last request,
/// from the return of the store until it counts as stable, and until the
/// entries of living endpoints are back.
#define IN_FORCE_MS 2000
#define DRAIN_MS 2000
#define SETTLE_MS 3000
#define ENTRIES_BACK_MS 2000
#define AWAY_MS 300
/// Less than the limit by the time that calls take.
#define ENTRIES_KEPT_MS 1500
#define EVACUATION_ENDED_MS 5000
#define START_MS 2000
/// Of a router that the store refuses: a request to a peer is repeated.
#define PEER_ASKED_MS 2000
#define ANNOUNCED_MS 5000
/// More than what is written again after a drill.
#define LOST_RECORDS 12
#define CALLS 20
/// Less than the time-out of a read.
#define LATE_MS 900

struct expectation {
    struct direct_harness *harness;
    size_t routers;
    const char *path;
    int status;
};

static void
start_in_era(struct direct_harness *harness, size_t routers, size_t isolated,
             int64_t era)
{
    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = routers,
                                      .origins = 2,
                                      .work_us = 1000,
                                      .isolated = isolated,
                                      .era = era,
                                  });
}

static void
start(struct direct_harness *harness, size_t routers, size_t isolated)
{
    start_in_era(harness, routers, isolated, 1);
}

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

    for (size_t i = 0; i < expected->routers; i++) {
        if (status_of(expected->harness, i, expected->path) !=
            expected->status) {
            return false;
        }
    }
    return true;
}

/// All routers answer with the status before the configuration that has just
/// been written must be in force.
static void
expect_all(struct direct_harness *harness, const char *path, int status)
{
    struct expectation expected = {harness, harness->options.routers, path,
                                   status};

    CU_ASSERT(direct_harness_wait(harness, is_met, &expected, IN_FORCE_MS));
}

/// Requests to all routers are served, and none reaches the endpoint.
static void
expect_unused(struct direct_harness *harness, size_t origin)
{
    uint64_t before = origin_runs(harness->origins[origin]);

    for (int i = 0; i < CALLS; i++) {
        for (size_t j = 0; j < harness->options.routers; j++) {
            CU_ASSERT(status_of(harness, j, "/look/") == 200);
        }
    }
    CU_ASSERT(origin_runs(harness->origins[origin]) == before);
}

/// Writes the entry of an endpoint of "models", newer than those before.
static void
put_entry(struct direct_harness *harness, size_t origin, const char *state)
{
    static const char *const ids[] = {"e-0", "e-1"};
    static int64_t sequence = 1;

    direct_entry_put(harness->store,
                     &(struct direct_entry){
                         .id = ids[origin],
                         .service = "models",
                         .address = origin_address(harness->origins[origin]),
                         .state = state,
                         .born_ms = 1,
                         .sequence = ++sequence,
                     });
}

/// Writes records that the copy does not have.
static void
write_lost(struct direct_harness *harness)
{
    for (int i = 0; i < LOST_RECORDS; i++) {
        direct_harness_configure(harness, "key", false, 800);
        put_entry(harness, 0, "ready");
        put_entry(harness, 1, "ready");
        direct_harness_run(harness, 20);
    }
    direct_harness_run(harness, 500);
}

static void
rewrite_entries(struct direct_harness *harness)
{
    put_entry(harness, 0, "ready");
    put_entry(harness, 1, "ready");
    direct_harness_put_entry(harness, "o-0", harness->orders, "orders",
                             "ready");
}

/// The store is away and comes back from its copy. Returns the operator's
/// newest configuration, which the caller frees.
static struct str
restore(struct direct_harness *harness)
{
    struct str configuration;

    keyed_store_set_fault(harness->store, KEYED_STORE_AWAY);
    direct_harness_run(harness, AWAY_MS);
    configuration = str_copy(
        keyed_store_get(harness->store, KEYED_STORE_TOPIC_OPERATOR, "config"));
    keyed_store_restore(harness->store);
    keyed_store_set_fault(harness->store, KEYED_STORE_OK);
    return configuration;
}

static void
rewrite_configuration(struct direct_harness *harness, struct str configuration)
{
    keyed_store_put(harness->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                    configuration);
    free((char *)configuration.data);
}

/// A drill in which fewer records are written again than were lost.
static void
drill(struct direct_harness *harness)
{
    struct str configuration;

    keyed_store_copy(harness->store, NULL);
    write_lost(harness);
    configuration = restore(harness);
    rewrite_configuration(harness, configuration);
    rewrite_entries(harness);
    direct_harness_run(harness, SETTLE_MS);
}

static void
test_revoked_key(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    drill(&harness);
    direct_harness_configure(&harness, "other-key", false, 800);
    expect_all(&harness, "/look/", 401);
    direct_harness_stop(&harness);
}

static void
test_new_route(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    drill(&harness);
    direct_harness_configure(&harness, "key", true, 800);
    expect_all(&harness, "/added/", 200);
    direct_harness_stop(&harness);
}

static void
test_leaving_endpoint(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    drill(&harness);
    put_entry(&harness, 0, "draining");
    direct_harness_run(&harness, DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

static void
test_removed_endpoint(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    drill(&harness);
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             NULL);
    direct_harness_run(&harness, DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

/// The log grows past the offsets that routers read from before they read
/// again, so that no read is answered with 410.
static void
test_growth_past_offset(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    keyed_store_copy(harness.store, NULL);
    write_lost(&harness);
    free((char *)restore(&harness).data);
    direct_harness_configure(&harness, "key", true, 800);
    put_entry(&harness, 0, "draining");
    put_entry(&harness, 1, "ready");
    direct_harness_put_entry(&harness, "o-0", harness.orders, "orders",
                             "ready");
    for (int i = 0; i < 3 * LOST_RECORDS; i++) {
        keyed_store_put(harness.store, KEYED_STORE_TOPIC_OPERATOR, "note",
                        STR_LITERAL("{}"));
        put_entry(&harness, 1, "ready");
    }
    direct_harness_run(&harness, SETTLE_MS);
    expect_all(&harness, "/added/", 200);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

/// One topic goes back, the others keep their records.
static void
test_one_topic(const char *topic)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    keyed_store_copy(harness.store, topic);
    write_lost(&harness);
    rewrite_configuration(&harness, restore(&harness));
    rewrite_entries(&harness);
    direct_harness_run(&harness, SETTLE_MS);
    direct_harness_configure(&harness, "key", true, 800);
    put_entry(&harness, 0, "draining");
    expect_all(&harness, "/added/", 200);
    direct_harness_run(&harness, DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

static void
test_only_configuration(void)
{
    test_one_topic(KEYED_STORE_TOPIC_OPERATOR);
}

static void
test_only_entries(void)
{
    test_one_topic(KEYED_STORE_TOPIC_ENDPOINTS);
}

/// A router that the store refuses, and whose peers are down during the drill,
/// links to them when they have listed the store again: its offsets are
/// higher.
static void
test_cut_off_router(void)
{
    struct direct_harness harness;
    struct str configuration;

    start(&harness, 3, 1);
    keyed_store_copy(harness.store, NULL);
    write_lost(&harness);
    CU_ASSERT(status_of(&harness, 2, "/look/") == 200);
    for (size_t i = 0; i < 2; i++) {
        direct_harness_stop_router(&harness, i);
    }
    configuration = restore(&harness);
    rewrite_configuration(&harness, configuration);
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             NULL);
    put_entry(&harness, 1, "ready");
    for (size_t i = 0; i < 2; i++) {
        direct_harness_start_router(&harness, i);
    }
    direct_harness_run(&harness, START_MS + DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_configure(&harness, "key", true, 800);
    expect_all(&harness, "/added/", 200);
    direct_harness_stop(&harness);
}

/// A router starts between the return of the store and the rewriting, when the
/// store has an older configuration than the others.
static void
test_start_before_rewriting(void)
{
    struct direct_harness harness;
    struct str configuration;

    start(&harness, 3, 0);
    keyed_store_copy(harness.store, NULL);
    write_lost(&harness);
    direct_harness_configure(&harness, "key", true, 800);
    expect_all(&harness, "/added/", 200);
    configuration = restore(&harness);
    direct_harness_stop_router(&harness, 1);
    direct_harness_start_router(&harness, 1);
    for (int i = 0; i < CALLS; i++) {
        CU_ASSERT(status_of(&harness, 0, "/added/") == 200);
        CU_ASSERT(status_of(&harness, 2, "/added/") == 200);
        direct_harness_run(&harness, START_MS / CALLS);
    }
    rewrite_configuration(&harness, configuration);
    rewrite_entries(&harness);
    direct_harness_run(&harness, IN_FORCE_MS);
    for (size_t i = 0; i < 3; i++) {
        CU_ASSERT(status_of(&harness, i, "/added/") == 200);
    }
    direct_harness_configure(&harness, "key", false, 800);
    expect_all(&harness, "/added/", 404);
    direct_harness_stop(&harness);
}

static bool
is_restored(void *ctx)
{
    return keyed_store_era(ctx) == 2;
}

/// A router lists the entries, and the store goes back after the first page.
static void
test_interrupted_listing(size_t growth)
{
    struct direct_harness harness;

    start(&harness, 1, 0);
    keyed_store_copy(harness.store, NULL);
    write_lost(&harness);
    direct_harness_stop_router(&harness, 0);
    keyed_store_set_page(harness.store, 1);
    keyed_store_restore_after(harness.store, KEYED_STORE_TOPIC_ENDPOINTS, 1);
    direct_harness_start_router(&harness, 0);
    CU_ASSERT(
        direct_harness_wait(&harness, is_restored, harness.store, START_MS));
    direct_harness_configure(&harness, "key", false, 800);
    put_entry(&harness, 0, "draining");
    direct_harness_put_entry(&harness, "o-0", harness.orders, "orders",
                             "ready");
    put_entry(&harness, 1, "ready");
    for (size_t i = 0; i < growth; i++) {
        put_entry(&harness, 1, "ready");
    }
    direct_harness_run(&harness, SETTLE_MS);
    expect_unused(&harness, 0);
    direct_harness_configure(&harness, "key", true, 800);
    expect_all(&harness, "/added/", 200);
    direct_harness_stop(&harness);
}

static void
test_interrupted_listing_is_short(void)
{
    test_interrupted_listing(0);
}

static void
test_interrupted_listing_has_grown(void)
{
    test_interrupted_listing(4 * LOST_RECORDS);
}

static void
test_two_drills(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    keyed_store_copy(harness.store, NULL);
    write_lost(&harness);
    rewrite_configuration(&harness, restore(&harness));
    rewrite_entries(&harness);
    direct_harness_run(&harness, 200);
    direct_harness_configure(&harness, "key", false, 800);
    rewrite_configuration(&harness, restore(&harness));
    rewrite_entries(&harness);
    CU_ASSERT(keyed_store_era(harness.store) == 3);
    direct_harness_run(&harness, SETTLE_MS);
    direct_harness_configure(&harness, "key", true, 800);
    put_entry(&harness, 0, "draining");
    expect_all(&harness, "/added/", 200);
    direct_harness_run(&harness, DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

/// The store is back at once, its waiting reads go on, and the log grows past
/// their offsets.
static void
test_waiting_reads(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    keyed_store_copy(harness.store, NULL);
    write_lost(&harness);
    keyed_store_keep_reads(harness.store, true);
    keyed_store_restore(harness.store);
    direct_harness_configure(&harness, "key", true, 800);
    put_entry(&harness, 0, "draining");
    put_entry(&harness, 1, "ready");
    direct_harness_put_entry(&harness, "o-0", harness.orders, "orders",
                             "ready");
    for (int i = 0; i < 3 * LOST_RECORDS; i++) {
        keyed_store_put(harness.store, KEYED_STORE_TOPIC_OPERATOR, "note",
                        STR_LITERAL("{}"));
        put_entry(&harness, 1, "ready");
    }
    direct_harness_run(&harness, SETTLE_MS);
    expect_all(&harness, "/added/", 200);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

/// An answer that the store gave a router before the drill arrives when the
/// others have listed the store again.
static void
test_late_answer(void)
{
    struct direct_harness harness;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 2,
                                       .origins = 2,
                                       .work_us = 1000,
                                       .store_relays = true,
                                       .era = 1,
                                   });
    for (size_t i = 0; i < 2; i++) {
        struct str configuration;

        keyed_store_copy(harness.store, NULL);
        write_lost(&harness);
        relay_delay(harness.store_relays[i], LATE_MS);
        put_entry(&harness, 0, "ready");
        direct_harness_configure(&harness, "key", false, 800);
        direct_harness_run(&harness, 50);
        configuration = restore(&harness);
        rewrite_configuration(&harness, configuration);
        direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                                 NULL);
        put_entry(&harness, 1, "ready");
        direct_harness_run(&harness, SETTLE_MS);
        expect_unused(&harness, 0);
        direct_harness_configure(&harness, "key", true, 800);
        expect_all(&harness, "/added/", 200);
        direct_harness_configure(&harness, "key", false, 800);
        put_entry(&harness, 0, "ready");
        direct_harness_run(&harness, IN_FORCE_MS);
    }
    direct_harness_stop(&harness);
}

/// Makes a copy that lacks the entries of `count` endpoints in use.
static void
copy_without(struct direct_harness *harness, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        keyed_store_put(harness->store, KEYED_STORE_TOPIC_ENDPOINTS,
                        i == 0 ? "e-1" : "e-0", (struct str){0});
    }
    keyed_store_copy(harness->store, NULL);
    for (size_t i = 0; i < count; i++) {
        put_entry(harness, i == 0 ? 1 : 0, "ready");
    }
    write_lost(harness);
}

/// Requests to all routers are served in this time.
static void
expect_served(struct direct_harness *harness, int64_t ms)
{
    int64_t end_ms = clock_ms(&clock_monotonic) + ms;

    while (clock_ms(&clock_monotonic) < end_ms) {
        for (size_t i = 0; i < harness->options.routers; i++) {
            CU_ASSERT(status_of(harness, i, "/look/") == 200);
        }
        direct_harness_run(harness, 10);
    }
}

/// The copy has no entry of a service. Its endpoints serve on and write their
/// entries within the time in which they are to be back.
static void
test_missing_entries(void)
{
    struct direct_harness harness;
    struct str configuration;

    start(&harness, 3, 0);
    copy_without(&harness, 2);
    configuration = restore(&harness);
    expect_served(&harness, ENTRIES_KEPT_MS);
    rewrite_configuration(&harness, configuration);
    rewrite_entries(&harness);
    expect_served(&harness, ENTRIES_BACK_MS + DRAIN_MS);
    for (size_t i = 0; i < 3; i++) {
        // Two endpoints of "models" and one of "orders".
        CU_ASSERT(endpoints_count(direct_endpoints(harness.routers[i])) == 3);
    }
    direct_harness_stop(&harness);
}

/// As test_revoked_key() and test_new_route(), of a store that states no era.
static void
test_changes_without_era(void)
{
    struct direct_harness harness;

    start_in_era(&harness, 3, 0, 0);
    keyed_store_set_era_text(harness.store, "");
    drill(&harness);
    direct_harness_configure(&harness, "key", true, 800);
    expect_all(&harness, "/added/", 200);
    direct_harness_configure(&harness, "other-key", true, 800);
    expect_all(&harness, "/look/", 401);
    direct_harness_stop(&harness);
}

/// The copy has no entry of an endpoint, and the endpoint writes none.
static void
test_entry_stays_missing(void)
{
    struct direct_harness harness;
    struct str configuration;

    start(&harness, 3, 0);
    copy_without(&harness, 1);
    configuration = restore(&harness);
    rewrite_configuration(&harness, configuration);
    put_entry(&harness, 0, "ready");
    direct_harness_run(&harness, ENTRIES_BACK_MS + DRAIN_MS);
    expect_unused(&harness, 1);
    direct_harness_stop(&harness);
}

static bool
is_announced(void *ctx)
{
    const struct direct_harness *harness = ctx;

    for (size_t i = 0; i < harness->options.routers; i++) {
        if (keyed_store_get(harness->store, KEYED_STORE_TOPIC_ROUTERS,
                            harness->names[i])
                .len == 0) {
            return false;
        }
    }
    return true;
}

/// The copy has no records of the routers. Each writes its own again, once.
static void
test_own_records_in_era(int64_t era)
{
    struct direct_harness harness;
    struct str addresses[3];
    uint64_t before[3];

    start_in_era(&harness, 3, 0, era);
    if (era == 0) {
        keyed_store_set_era_text(harness.store, "");
    }
    CU_ASSERT_FATAL(
        direct_harness_wait(&harness, is_announced, &harness, START_MS));
    for (size_t i = 0; i < 3; i++) {
        addresses[i] = str_copy(keyed_store_get(
            harness.store, KEYED_STORE_TOPIC_ROUTERS, harness.names[i]));
        keyed_store_put(harness.store, KEYED_STORE_TOPIC_ROUTERS,
                        harness.names[i], (struct str){0});
    }
    keyed_store_copy(harness.store, NULL);
    for (size_t i = 0; i < 3; i++) {
        keyed_store_put(harness.store, KEYED_STORE_TOPIC_ROUTERS,
                        harness.names[i], addresses[i]);
        before[i] = counter_get(&harness.counters[i], COUNTER_LOG_APPENDS);
    }
    write_lost(&harness);
    rewrite_configuration(&harness, restore(&harness));
    rewrite_entries(&harness);
    CU_ASSERT(
        direct_harness_wait(&harness, is_announced, &harness, ANNOUNCED_MS));
    direct_harness_run(&harness, START_MS);
    for (size_t i = 0; i < 3; i++) {
        CU_ASSERT(
            str_equal(keyed_store_get(harness.store, KEYED_STORE_TOPIC_ROUTERS,
                                      harness.names[i]),
                      addresses[i]));
        CU_ASSERT(counter_get(&harness.counters[i], COUNTER_LOG_APPENDS) -
                      before[i] ==
                  1);
        free((char *)addresses[i].data);
    }
    direct_harness_stop(&harness);
}

static void
test_own_records(void)
{
    test_own_records_in_era(1);
}

/// The store states no era: what it answers ends before what was read.
static void
test_own_records_without_era(void)
{
    test_own_records_in_era(0);
}

/// The store names what is no era, or a lower one, or one far above; its
/// offsets go on. The last value is the era again.
static void
test_odd_eras(void)
{
    static const char *const texts[] = {
        "",
        "two",
        "-1",
        "0",
        "1.5",
        "9",
        "3",
        "99999999999999999999",
        "9223372036854775807",
        "18446744073709551615",
        "1, 2",
        NULL,
    };
    struct direct_harness harness;

    start(&harness, 2, 0);
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        bool added = i % 2 == 0;

        keyed_store_set_era_text(harness.store, texts[i]);
        direct_harness_run(&harness, 300);
        direct_harness_configure(&harness, "key", added, 800);
        expect_all(&harness, "/added/", added ? 200 : 404);
    }
    put_entry(&harness, 0, "draining");
    direct_harness_run(&harness, DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

/// The store states eras that begin at this number: what was written after a
/// restore was not used.
static void
test_first_era(int64_t era)
{
    struct direct_harness harness;

    start_in_era(&harness, 3, 0, era);
    drill(&harness);
    direct_harness_configure(&harness, "key", true, 800);
    put_entry(&harness, 0, "draining");
    expect_all(&harness, "/added/", 200);
    direct_harness_run(&harness, DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_configure(&harness, "other-key", true, 800);
    expect_all(&harness, "/look/", 401);
    direct_harness_stop(&harness);
}

static void
test_first_era_is_a_time(void)
{
    test_first_era(1765000000);
}

static void
test_first_era_is_near_limit(void)
{
    test_first_era(INT64_MAX - 1);
}

/// A store that names an era, and one that has named none so far.
static void
test_era_appears(void)
{
    struct direct_harness harness;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 3,
                                       .origins = 2,
                                       .work_us = 1000,
                                   });
    write_lost(&harness);
    keyed_store_set_era(harness.store, 1);
    drill(&harness);
    direct_harness_configure(&harness, "key", true, 800);
    put_entry(&harness, 0, "draining");
    expect_all(&harness, "/added/", 200);
    direct_harness_run(&harness, DRAIN_MS);
    expect_unused(&harness, 0);
    direct_harness_stop(&harness);
}

#define SLOW_CONNECTIONS 32

/// A store whose answers are written piece by piece.
struct slow_store {
    struct event_base *base;
    struct evconnlistener *listener;
    struct bufferevent *connections[SLOW_CONNECTIONS];
    size_t count;
    struct bufferevent *listing; ///< has received half of its answer
    struct bufferevent *other;   ///< its answer is of the new era
    bool ended;
    char entry[16]; ///< the newest value of the entry that was passed on
};

#define OLD_LIST                                                              \
    "{\"items\":[{\"key\":\"e-0\",\"value\":\"cmVhZHk=\",\"offset\":50}],"    \
    "\"more_pages\":false,\"end\":51}"
#define NEW_LIST                                                              \
    "{\"items\":[{\"key\":\"e-0\",\"value\":\"ZHJhaW5pbmc=\","                \
    "\"offset\":20}],\"more_pages\":false,\"end\":21}"
#define EMPTY_LIST "{\"items\":[],\"more_pages\":false,\"end\":0}"
#define OLD_LIST_FIRST_BYTES 10

static void
answer(struct bufferevent *connection, int status, int era, const char *body,
       size_t sent)
{
    evbuffer_add_printf(bufferevent_get_output(connection),
                        "HTTP/1.1 %d X\r\nStore-Era: %d\r\n"
                        "Content-Length: %zu\r\n\r\n%.*s",
                        status, era, strlen(body), (int)sent, body);
}

static void
on_slow_request(struct bufferevent *connection, void *ctx)
{
    struct slow_store *store = ctx;
    struct evbuffer *input = bufferevent_get_input(connection);
    char text[1024] = "";
    bool lists, entries;

    if (evbuffer_search(input, "\r\n\r\n", 4, NULL).pos < 0) {
        return;
    }
    evbuffer_remove(input, text, sizeof(text) - 1);
    lists = strstr(text, "log-newest") != NULL;
    entries = strstr(text, "keyed.servers") != NULL;
    if (entries && lists && store->listing == NULL) {
        store->listing = connection;
        answer(connection, 200, 1, OLD_LIST, OLD_LIST_FIRST_BYTES);
    }
    else if (entries && lists) {
        answer(connection, 200, 2, NEW_LIST, strlen(NEW_LIST));
    }
    else if (entries && strstr(text, "from=51&") != NULL) {
        answer(connection, 410, 2, "{}", 2);
    }
    else if (lists && store->other == NULL &&
             strstr(text, "keyed.op") != NULL) {
        store->other = connection;
    }
    else if (lists) {
        answer(connection, 200, 2, EMPTY_LIST, strlen(EMPTY_LIST));
    }
    // Other reads wait.
}

static void
on_slow_accept(struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *address, int len, void *ctx)
{
    struct slow_store *store = ctx;
    struct bufferevent *connection =
        bufferevent_socket_new(store->base, fd, BEV_OPT_CLOSE_ON_FREE);

    (void)listener;
    (void)address;
    (void)len;
    CU_ASSERT_FATAL(store->count < SLOW_CONNECTIONS);
    store->connections[store->count++] = connection;
    bufferevent_setcb(connection, on_slow_request, NULL, NULL, store);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
}

static void
on_slow_changed(void *ctx, const struct record *record)
{
    struct slow_store *store = ctx;

    if (record->topic == RECORDS_ENDPOINTS) {
        snprintf(store->entry, sizeof(store->entry), STR_FMT,
                 STR_ARG(record->value));
    }
}

static void
ignore(void *ctx)
{
    (void)ctx;
}

static void
ignore_topic(void *ctx, enum record_topic topic)
{
    (void)ctx;
    (void)topic;
}

static void
ignore_outage(void *ctx, enum record_topic topic, int64_t outage_ms)
{
    (void)ctx;
    (void)topic;
    (void)outage_ms;
}

/// An answer to the first page of a list is on its way when an answer to
/// another call states a new era. `interleaved` false: its rest comes before.
static void
test_list_in_pieces(bool interleaved)
{
    struct slow_store store = {.base = event_base_new()};
    struct sockaddr_in name = {.sin_family = AF_INET};
    struct direct_harness harness = {.base = store.base};
    struct address address;
    struct counters counters = {0};
    struct records *records = records_new(&(struct records_options){
        .changed = on_slow_changed,
        .ctx = &store,
    });
    struct store *client;

    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    store.listener = evconnlistener_new_bind(
        store.base, on_slow_accept, &store, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&name, sizeof(name));
    address_of_socket(evconnlistener_get_fd(store.listener), &address);
    client = store_new(&(struct store_options){
        .base = store.base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .address = address,
        .settle_ms = 3000,
        .counters = &counters,
        .records = records,
        .recovered = ignore,
        .records_read = ignore_topic,
        .fetch_failed = ignore_topic,
        .partly_listed = ignore_topic,
        .caught_up = ignore_outage,
    });
    store_set_role(client, READERS_PRIMARY);
    direct_harness_run(&harness, 100);
    CU_ASSERT_FATAL(store.listing != NULL);
    CU_ASSERT_FATAL(store.other != NULL);
    if (!interleaved) {
        evbuffer_add_printf(bufferevent_get_output(store.listing), "%s",
                            OLD_LIST + OLD_LIST_FIRST_BYTES);
        direct_harness_run(&harness, 100);
    }
    answer(store.other, 200, 2, EMPTY_LIST, strlen(EMPTY_LIST));
    direct_harness_run(&harness, 100);
    if (interleaved) {
        evbuffer_add_printf(bufferevent_get_output(store.listing), "%s",
                            OLD_LIST + OLD_LIST_FIRST_BYTES);
    }
    direct_harness_run(&harness, SETTLE_MS);
    CU_ASSERT_STRING_EQUAL(store.entry, "draining");
    store_free(client);
    records_free(records);
    for (size_t i = 0; i < store.count; i++) {
        bufferevent_free(store.connections[i]);
    }
    evconnlistener_free(store.listener);
    loop_free(store.base);
}

static void
test_list_in_pieces_across_restore(void)
{
    test_list_in_pieces(true);
}

static void
test_list_in_pieces_before_restore(void)
{
    test_list_in_pieces(false);
}

/// One answer names an era that is higher by a few; then the store is
/// restored.
static void
test_drill_after_odd_era(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    keyed_store_set_era_text(harness.store, "9");
    direct_harness_run(&harness, 300);
    direct_harness_configure(&harness, "key", false, 800);
    direct_harness_run(&harness, 300);
    keyed_store_set_era_text(harness.store, NULL);
    drill(&harness);
    direct_harness_configure(&harness, "other-key", false, 800);
    expect_all(&harness, "/look/", 401);
    direct_harness_stop(&harness);
}

/// The operator evacuates the zone after the copy was made. The evacuation
/// holds until the record is written again, or has stayed missing.
static void
test_evacuation_missing(void)
{
    struct direct_harness harness;

    start(&harness, 2, 0);
    keyed_store_copy(harness.store, NULL);
    keyed_store_put(harness.store, KEYED_STORE_TOPIC_OPERATOR, "evacuate/z",
                    STR_LITERAL("{}"));
    direct_harness_run(&harness, IN_FORCE_MS);
    CU_ASSERT(status_of(&harness, 0, "/look/") != 200);
    CU_ASSERT(status_of(&harness, 1, "/look/") != 200);
    free((char *)restore(&harness).data);
    direct_harness_run(&harness, ENTRIES_KEPT_MS);
    CU_ASSERT(status_of(&harness, 0, "/look/") != 200);
    CU_ASSERT(status_of(&harness, 1, "/look/") != 200);
    CU_ASSERT(direct_harness_wait(
        &harness, is_met, &(struct expectation){&harness, 2, "/look/", 200},
        EVACUATION_ENDED_MS));
    direct_harness_stop(&harness);
}

/// A document of a high version that the routers have rejected, and the
/// operator's next one, which is written after the restore.
static void
test_rejected_document(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    keyed_store_copy(harness.store, NULL);
    keyed_store_put(
        harness.store, KEYED_STORE_TOPIC_OPERATOR, "config",
        STR_LITERAL("{\"version\":1000,\"routes\":[{\"path\":}]}"));
    direct_harness_run(&harness, 500);
    CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    free((char *)restore(&harness).data);
    direct_harness_configure(&harness, "key", true, 800);
    rewrite_entries(&harness);
    expect_all(&harness, "/added/", 200);
    direct_harness_stop(&harness);
}

/// A router has written its own record, but read none, when the store is
/// restored.
static void
test_own_record_of_start(void)
{
    struct direct_harness harness;

    start(&harness, 1, 0);
    CU_ASSERT_FATAL(
        direct_harness_wait(&harness, is_announced, &harness, START_MS));
    direct_harness_stop_router(&harness, 0);
    keyed_store_put(harness.store, KEYED_STORE_TOPIC_ROUTERS, harness.names[0],
                    (struct str){0});
    keyed_store_copy(harness.store, NULL);
    keyed_store_set_topic_busy(harness.store, KEYED_STORE_TOPIC_OPERATOR,
                               true);
    keyed_store_set_topic_busy(harness.store, KEYED_STORE_TOPIC_ENDPOINTS,
                               true);
    direct_harness_start_router(&harness, 0);
    CU_ASSERT_FATAL(
        direct_harness_wait(&harness, is_announced, &harness, START_MS));
    keyed_store_restore(harness.store);
    keyed_store_set_topic_busy(harness.store, KEYED_STORE_TOPIC_OPERATOR,
                               false);
    keyed_store_set_topic_busy(harness.store, KEYED_STORE_TOPIC_ENDPOINTS,
                               false);
    CU_ASSERT(
        direct_harness_wait(&harness, is_announced, &harness, ANNOUNCED_MS));
    CU_ASSERT(status_of(&harness, 0, "/look/") == 200);
    direct_harness_stop(&harness);
}

/// As test_start_before_rewriting(), at the router that starts.
static void
test_starting_router_reverts(void)
{
    struct direct_harness harness;

    start(&harness, 3, 0);
    keyed_store_copy(harness.store, NULL);
    write_lost(&harness);
    direct_harness_configure(&harness, "key", true, 800);
    expect_all(&harness, "/added/", 200);
    free((char *)restore(&harness).data);
    direct_harness_run(&harness, AWAY_MS);
    direct_harness_stop_router(&harness, 1);
    direct_harness_start_router(&harness, 1);
    expect_all(&harness, "/added/", 200);
    direct_harness_stop(&harness);
}

/// A stand-in for a router of an earlier version, which does not follow a
/// restore: its end is one of before.
struct earlier_peer {
    struct link_options options;
    struct counters counters;
    struct link *link;
    uint32_t version;
    uint64_t end;  ///< of the configuration, as it is sent
    size_t unread; ///< requests that are not answered yet
    const char *document;
};

#define EARLIER_END 100
/// The same of the store's era 1, as version 7 sends it; eras count from 1.
#define EARLIER_POSITION ((UINT64_C(2) << 40) + EARLIER_END)

static void
on_earlier_ready(void *ctx, struct link *link)
{
    struct earlier_peer *peer = ctx;
    struct message message = {.type = MESSAGE_KNOWN};

    peer->version = link_version(link);
    message.known.ends[RECORDS_CONFIGURATION].number = peer->end;
    link_send(link, &message);
}

static void
on_earlier_message(void *ctx, struct link *link, const struct message *message)
{
    struct earlier_peer *peer = ctx;

    if ((message->type != MESSAGE_WANT &&
         message->type != MESSAGE_WANT_SMALL) ||
        message->position.topic != RECORDS_CONFIGURATION) {
        return;
    }
    if (peer->unread > 0) {
        peer->unread--;
        return;
    }
    link_send(link, &(struct message){
                        .type = MESSAGE_RECORD,
                        .record.topic = RECORDS_CONFIGURATION,
                        .record.position.number = peer->end - 1,
                        .record.key = STR_LITERAL("config"),
                        .record.value = str_from(peer->document),
                    });
    link_send(link, &(struct message){
                        .type = MESSAGE_REACHED,
                        .position.topic = RECORDS_CONFIGURATION,
                        .position.position.number = peer->end,
                    });
}

static void
on_earlier_closed(void *ctx, struct link *link, const struct err *err)
{
    (void)link;
    (void)err;
    ((struct earlier_peer *)ctx)->link = NULL;
}

/// Links a router of this message version to the first router.
static void
connect_earlier(struct earlier_peer *peer, struct direct_harness *harness,
                uint32_t version)
{
    peer->options = (struct link_options){
        .base = harness->base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .counters = &peer->counters,
        .name = "earlier",
        .role = "router",
        .peer_role = "router",
        .incarnation = 1,
        .version = version,
        .keys = &harness->settings[0].keys,
        .heartbeat_interval_ms = LINK_HEARTBEAT_INTERVAL_MS,
        .receive_timeout_ms = LINK_RECEIVE_TIMEOUT_MS,
        .probe_timeout_ms = LINK_PROBE_TIMEOUT_MS,
        .handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS,
        .output_bytes_max = LINK_OUTPUT_BYTES_MAX,
        .ready = on_earlier_ready,
        .message = on_earlier_message,
        .closed = on_earlier_closed,
        .ctx = peer,
    };
    peer->link = link_connect(&peer->options, &harness->settings[0].links, 0);
}

/// A router of this build starts after a restore beside one of the build
/// before, whose offsets are those of before the restore.
static void
test_start_beside_earlier_build(void)
{
    struct direct_harness harness;
    char *document = platform_document(3, "key", false, 800, 3000);
    struct earlier_peer peer = {.end = EARLIER_END, .document = document};

    start(&harness, 2, 0);
    // As after a restore that no process of this build has seen.
    CU_ASSERT(keyed_store_era(harness.store) > 0);
    connect_earlier(&peer, &harness, MESSAGE_VERSION_POSITIONS - 1);
    direct_harness_run(&harness, START_MS);
    CU_ASSERT(peer.version == MESSAGE_VERSION_POSITIONS - 1);
    direct_harness_configure(&harness, "key", true, 800);
    expect_all(&harness, "/added/", 200);
    if (peer.link != NULL) {
        link_close(peer.link);
    }
    direct_harness_stop(&harness);
    free(document);
}

static bool
has_asked_peer(void *ctx)
{
    const struct earlier_peer *peer = ctx;

    return peer->unread == 0;
}

/// A peer of version 7 knows a newer configuration and no record of the other
/// topics. The first request to it is lost, and then a fetch from the store
/// fails.
static void
test_position_of_earlier_build(void)
{
    struct direct_harness harness;
    char *document = platform_document(9, "key", true, 800, 3000);
    struct earlier_peer peer = {
        .end = EARLIER_POSITION,
        .unread = 1,
        .document = document,
    };
    struct expectation served = {&harness, 1, "/added/", 200};

    start(&harness, 1, 0);
    CU_ASSERT(status_of(&harness, 0, "/added/") == 404);
    connect_earlier(&peer, &harness, MESSAGE_VERSION_POSITIONS);
    keyed_store_set_topic_busy(harness.store, KEYED_STORE_TOPIC_OPERATOR,
                               true);
    CU_ASSERT(
        direct_harness_wait(&harness, has_asked_peer, &peer, PEER_ASKED_MS));
    mesh_fetch_failed(harness.routers[0]->mesh, RECORDS_CONFIGURATION);
    CU_ASSERT(direct_harness_wait(&harness, is_met, &served, PEER_ASKED_MS));
    CU_ASSERT(peer.version == MESSAGE_VERSION_POSITIONS);
    if (peer.link != NULL) {
        link_close(peer.link);
    }
    direct_harness_stop(&harness);
    free(document);
}

void
suite_restored_store(void)
{
    CU_pSuite suite = CU_add_suite("restored-store", NULL, NULL);

    CU_add_test(suite, "revoked key is still used", test_revoked_key);
    CU_add_test(suite, "new route is not served", test_new_route);
    CU_add_test(suite, "leaving endpoint gets requests",
                test_leaving_endpoint);
    CU_add_test(suite, "removed endpoint gets requests",
                test_removed_endpoint);
    CU_add_test(suite, "growth past the offset hides records",
                test_growth_past_offset);
    CU_add_test(suite,
                "later configuration is lost if only its topic went "
                "back",
                test_only_configuration);
    CU_add_test(suite, "later entry is lost if only its topic went back",
                test_only_entries);
    CU_add_test(suite, "cut-off router brings back records of before",
                test_cut_off_router);
    CU_add_test(suite, "configuration reverts to the one of the copy",
                test_start_before_rewriting);
    CU_add_test(suite, "interrupted listing hides records",
                test_interrupted_listing_is_short);
    CU_add_test(suite, "interrupted listing hides records below its end",
                test_interrupted_listing_has_grown);
    CU_add_test(suite, "records are lost in two drills within a second",
                test_two_drills);
    CU_add_test(suite, "waiting read hides records", test_waiting_reads);
    CU_add_test(suite, "answer of before brings back records",
                test_late_answer);
    CU_add_test(suite, "endpoints missing from the copy are dropped",
                test_missing_entries);
    CU_add_test(suite, "changes after a drill of a store without eras",
                test_changes_without_era);
    CU_add_test(suite, "endpoint that stays missing gets requests",
                test_entry_stays_missing);
    CU_add_test(suite, "own record is not written again", test_own_records);
    CU_add_test(suite, "own record is not written again without eras",
                test_own_records_without_era);
    CU_add_test(suite, "odd era stops later records", test_odd_eras);
    CU_add_test(suite, "records are lost if the first era is a time",
                test_first_era_is_a_time);
    CU_add_test(suite, "records are lost if the first era is near the limit",
                test_first_era_is_near_limit);
    CU_add_test(suite, "records are lost after the first era",
                test_era_appears);
    CU_add_test(suite, "list in pieces across a restore hides records",
                test_list_in_pieces_across_restore);
    CU_add_test(suite, "list in pieces before a restore (control)",
                test_list_in_pieces_before_restore);
    CU_add_test(suite, "restore after one odd era is not followed",
                test_drill_after_odd_era);
    CU_add_test(suite, "evacuation missing from the copy ends",
                test_evacuation_missing);
    CU_add_test(suite, "rejected document hides the next after a restore",
                test_rejected_document);
    CU_add_test(suite, "starting router reverts to the copy",
                test_starting_router_reverts);
    CU_add_test(suite, "earlier build's offsets hide records at a start",
                test_start_beside_earlier_build);
    CU_add_test(suite, "position of an earlier build is lost",
                test_position_of_earlier_build);
    CU_add_test(suite, "own record of a start is not written again",
                test_own_record_of_start);
}
