/// Cold endpoints and evacuated zones: what several routers send together.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/warmup.h"
#include "core/xmalloc.h"
#include "direct/direct_state.h"
#include "direct/endpoints.h"
#include "direct_harness.h"
#include "standin/platform_document.h"
#include "suites.h"

/// Time after the record of an evacuation from which the zone must get no
/// request, as the operator requires.
#define EVACUATED_MS 5000
/// Records reach a router and its peers within this time while the store
/// answers.
#define RECORD_MS 700
#define SETTLE_MS 400
/// Rate 4 and slack 2: bound 8, two senders.
#define COLD_SERVICE "\"cold_start_s\":%.1f,\"cold_per_s\":4,"
#define COLD_START_S 1.5
#define COLD_BOUND 8

static void
put_document(struct direct_harness *harness, double cold_start_s)
{
    static const char mark[] = "\"name\":\"models\",";
    char *text;
    char *at;
    char *changed;

    harness->version += 3;
    text = platform_document(harness->version, "key", false, 800, 3000);
    at = strstr(text, mark) + sizeof(mark) - 1;
    changed = xasprintf("%.*s" COLD_SERVICE "%s", (int)(at - text), text,
                        cold_start_s, at);
    keyed_store_put(harness->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                    str_from(changed));
    free(changed);
    free(text);
}

static void
put_entry(struct direct_harness *harness, size_t index, const char *zone,
          int64_t cold_ms)
{
    static const char *const ids[] = {"e-0", "e-1", "e-2", "e-3"};

    direct_entry_put(harness->store,
                     &(struct direct_entry){
                         .id = ids[index],
                         .service = "models",
                         .address = origin_address(harness->origins[index]),
                         .zone = zone,
                         .cold_ms = cold_ms,
                         .born_ms = 1,
                     });
}

static void
set_evacuated(struct direct_harness *harness, const char *key, bool evacuated)
{
    keyed_store_put(harness->store, KEYED_STORE_TOPIC_OPERATOR, key,
                    evacuated ? str_from("{}") : (struct str){0});
}

/// Endpoint 0 is in zone "z" and the others in "y".
static void
start(struct direct_harness *harness, size_t routers, size_t origins,
      size_t isolated)
{
    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = routers,
                                      .origins = origins,
                                      .events = 8,
                                      .work_us = 1000,
                                      .isolated = isolated,
                                  });
    for (size_t i = 0; i < routers; i++) {
        direct_harness_stop_router(harness, i);
        harness->settings[i].settle_ms = SETTLE_MS;
        harness->settings[i].cold_rate_factor = 1.5;
        harness->settings[i].cold_slack = 2;
    }
    put_document(harness, COLD_START_S);
    for (size_t i = 0; i < origins; i++) {
        put_entry(harness, i, i == 0 ? "z" : "y", 0);
    }
    for (size_t i = 0; i < routers; i++) {
        direct_harness_start_router(harness, i);
    }
    direct_harness_run(harness, 3000);
}

static int
call_with_retry_after(struct direct_harness *harness, const char *id,
                      char retry_after[16])
{
    struct direct_call call = {0};

    direct_call_do(harness, 0, &call, "POST", "/look/", id, NULL, "x");
    snprintf(retry_after, sizeof(call.retry_after), "%s", call.retry_after);
    direct_call_free(&call);
    return call.status;
}

/// The highest number of requests that endpoint 0 receives within a second.
static size_t
most_in_a_second(struct direct_harness *harness, int64_t ms)
{
    return direct_most_received(harness, harness->options.routers, 1000, 0,
                                ms);
}

/// True if all of more calls than the bound allows are served, one right after
/// the other. A limited endpoint would refuse most of them, however slow the
/// machine is: its routers send few in a row.
static bool
is_unlimited(struct direct_harness *harness)
{
    bool all_served = true;

    for (size_t i = 0; i < 3 * COLD_BOUND; i++) {
        all_served = direct_call_once(harness, i % harness->options.routers,
                                      "/look/") == 200 &&
                     all_served;
    }
    return all_served;
}

/// The routers together keep the bound of an endpoint whose entry says that it
/// is cold; an endpoint that is warm again gets more.
static void
test_cold_entry(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 3, 1, 0);
    put_entry(&harness, 0, "z", 3000);
    direct_harness_run(&harness, RECORD_MS);
    before = origin_requests(harness.origins[0]);
    CU_ASSERT(!is_unlimited(&harness));
    CU_ASSERT(most_in_a_second(&harness, 2000) <= COLD_BOUND);
    CU_ASSERT(origin_requests(harness.origins[0]) > before);
    direct_harness_run(&harness, 1500);
    CU_ASSERT(is_unlimited(&harness));
    direct_harness_stop(&harness);
}

/// All endpoints are cold: a request without a token is refused at once, with
/// a Retry-After delay, and has not run.
static void
test_all_cold(void)
{
    struct direct_harness harness;
    char retry_after[16] = "";
    int64_t before_ms;
    int status = 0;

    start(&harness, 1, 2, 0);
    put_entry(&harness, 0, "z", 3000);
    put_entry(&harness, 1, "y", 3000);
    direct_harness_run(&harness, RECORD_MS);
    before_ms = clock_ms(&clock_monotonic);
    for (int i = 0; i < 8 && status != 503; i++) {
        char id[16];

        snprintf(id, sizeof(id), "cold-%d", i);
        status = call_with_retry_after(&harness, id, retry_after);
    }
    CU_ASSERT(status == 503);
    CU_ASSERT(atof(retry_after) > 0 && atof(retry_after) < 3);
    CU_ASSERT(clock_ms(&clock_monotonic) - before_ms < 500);
    direct_harness_stop(&harness);
}

/// A crash shows before the entry does: the endpoint that is back gets no more
/// than a cold one.
static void
test_restart_before_entry(void)
{
    struct direct_harness harness;

    start(&harness, 2, 1, 0);
    origin_set_crash(harness.origins[0],
                     &(struct origin_crash_options){.away_ms = 300});
    origin_crash(harness.origins[0]);
    CU_ASSERT(most_in_a_second(&harness, 1500) <= COLD_BOUND);
    direct_harness_stop(&harness);
}

/// A router starts between an endpoint's crash and its next entry: it has read
/// only the entry from before.
static void
test_router_starts_after_crash(void)
{
    for (int answered = 0; answered < 2; answered++) {
        struct direct_harness harness;

        start(&harness, 3, 1, 0);
        put_document(&harness, 4);
        direct_harness_run(&harness, RECORD_MS);
        direct_harness_stop_router(&harness, 2);
        origin_set_crash(harness.origins[0],
                         &(struct origin_crash_options){.away_ms = 1000});
        origin_crash(harness.origins[0]);
        for (size_t i = 0; i < 4; i++) {
            CU_ASSERT(direct_call_once(&harness, i % 2, "/look/") != 200);
        }
        direct_harness_run(&harness, 1100);
        if (answered) {
            CU_ASSERT(direct_most_received(&harness, 2, 1000, 0, 600) > 0);
        }
        direct_harness_start_router(&harness, 2);
        direct_harness_run(&harness, RECORD_MS);
        CU_ASSERT(most_in_a_second(&harness, 1000) <= COLD_BOUND);
        direct_harness_stop(&harness);
    }
}

/// A router that starts is told of a crash when it is linked, which may be
/// before it has received the endpoint's entry.
static void
test_report_before_entry(void)
{
    const struct endpoint late = {.hash = str_hash(STR_LITERAL("late"), 0)};
    struct direct_harness harness;
    const struct endpoint *endpoint;

    start(&harness, 2, 1, 0);
    direct_report_down(harness.routers[0], &late);
    direct_harness_run(&harness, 200);
    direct_entry_put(harness.store,
                     &(struct direct_entry){
                         .id = "late",
                         .service = "models",
                         .address = origin_address(harness.origins[0]),
                         .born_ms = 1,
                     });
    direct_harness_run(&harness, RECORD_MS);
    endpoint = endpoints_find(direct_endpoints(harness.routers[1]),
                              STR_LITERAL("late"));
    CU_ASSERT_FATAL(endpoint != NULL);
    CU_ASSERT(warmup_is_cold(&endpoint->warmup, clock_ms(&clock_monotonic)));
    direct_harness_stop(&harness);
}

/// An evacuated zone gets nothing: new requests, retries and resumed streams,
/// also of a router that has the record from a peer, and of one that starts.
static void
test_evacuated_zone(void)
{
    struct direct_harness harness;
    char retry_after[16] = "";
    uint64_t before;

    start(&harness, 2, 2, 1);
    set_evacuated(&harness, "evacuate/z", true);
    direct_harness_run(&harness, RECORD_MS);
    before = origin_requests(harness.origins[0]);
    for (size_t i = 0; i < 40; i++) {
        CU_ASSERT(direct_call_once(&harness, i % 2, "/look/") == 200);
        CU_ASSERT(direct_call_once(&harness, i % 2, "/stream/chat/") == 200);
    }
    direct_harness_stop_router(&harness, 0);
    direct_harness_start_router(&harness, 0);
    for (size_t i = 0; i < 300; i++) {
        direct_call_once(&harness, 0, "/look/");
        direct_harness_run(&harness, 10);
    }
    CU_ASSERT(direct_call_once(&harness, 0, "/look/") == 200);
    origin_set_fault(harness.origins[1], ORIGIN_RESETS);
    CU_ASSERT(direct_call_once(&harness, 1, "/look/") != 200);
    origin_set_fault(harness.origins[1], ORIGIN_RESETS_IN_EVENT);
    direct_call_once(&harness, 0, "/stream/chat/");
    origin_set_fault(harness.origins[1], ORIGIN_OK);
    set_evacuated(&harness, "evacuate/y", true);
    direct_harness_run(&harness, RECORD_MS);
    CU_ASSERT(call_with_retry_after(&harness, "evacuated", retry_after) ==
              503);
    CU_ASSERT(atof(retry_after) >= 1);
    CU_ASSERT(origin_requests(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

/// A zone whose evacuation has ended is cold at first. The end is also noticed
/// when the record is missing from a listing.
static void
test_returned_zone(void)
{
    for (int listed = 0; listed < 2; listed++) {
        struct direct_harness harness;
        uint64_t before;

        start(&harness, 2, 1, 0);
        set_evacuated(&harness, "evacuate/z", true);
        direct_harness_run(&harness, RECORD_MS);
        before = origin_requests(harness.origins[0]);
        CU_ASSERT(most_in_a_second(&harness, 200) == 0);
        if (listed) {
            keyed_store_set_fault(harness.store, KEYED_STORE_BUSY);
            direct_harness_run(&harness, RECORD_MS);
        }
        set_evacuated(&harness, "evacuate/z", false);
        if (listed) {
            keyed_store_compact(harness.store, KEYED_STORE_TOPIC_OPERATOR);
            keyed_store_set_fault(harness.store, KEYED_STORE_OK);
        }
        CU_ASSERT(most_in_a_second(&harness, 1200) <= COLD_BOUND);
        direct_harness_run(&harness, listed ? EVACUATED_MS : 1500);
        CU_ASSERT(is_unlimited(&harness));
        CU_ASSERT(origin_requests(harness.origins[0]) > before);
        direct_harness_stop(&harness);
    }
}

void
suite_cold(void)
{
    CU_pSuite suite = CU_add_suite("cold", NULL, NULL);

    CU_add_test(suite, "cold entry", test_cold_entry);
    CU_add_test(suite, "all cold", test_all_cold);
    CU_add_test(suite, "restart before entry", test_restart_before_entry);
    CU_add_test(suite, "router starts after crash",
                test_router_starts_after_crash);
    CU_add_test(suite, "report before entry", test_report_before_entry);
    CU_add_test(suite, "evacuated zone", test_evacuated_zone);
    CU_add_test(suite, "returned zone", test_returned_zone);
}
