/// Records of the store that routers miss while the store and their links
/// work.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/event.h>

#include "core/records.h"
#include "core/xmalloc.h"
#include "direct/direct_private.h"
#include "direct/direct_state.h"
#include "direct/endpoints.h"
#include "dandelionvalve/message.h"
#include "direct/mesh.h"
#include "direct_harness.h"
#include "standin/platform_document.h"
#include "suites.h"

/// Operators' limit from the acknowledgement of a change until it is in force,
/// and from the removal of an endpoint until its last request.
#define IN_FORCE_MS 2000
/// Until the readers are chosen.
#define SETTLE_MS 2500
/// Of the second page of a listing; the links of a new router are up by then.
#define PAGE_DELAY_MS 350
/// More than a page of a listing.
#define ENTRIES 700

struct fleet {
    struct direct_harness harness;
    size_t routers;
    const char *state; ///< of the last entry of "e-0"
    int64_t sequence;
};

static bool
has_change(const struct fleet *fleet, size_t index)
{
    struct direct *router = fleet->harness.routers[index];
    const struct endpoint *endpoint =
        endpoints_find(direct_endpoints(router), STR_LITERAL("e-0"));

    return catalog_version(direct_catalog(router)) == fleet->harness.version &&
           endpoint != NULL &&
           endpoint->state == (str_equal_c(str_from(fleet->state), "ready")
                                   ? ENDPOINT_READY
                                   : ENDPOINT_DRAINING);
}

static bool
all_have_change(void *ctx)
{
    const struct fleet *fleet = ctx;

    for (size_t i = 0; i < fleet->routers; i++) {
        if (!has_change(fleet, i)) {
            return false;
        }
    }
    return true;
}

/// Puts a new version and a new state of an endpoint. True if all routers have
/// both in time.
static bool
change_takes_effect(struct fleet *fleet, const char *state)
{
    direct_harness_configure(&fleet->harness, "key", true, 800);
    fleet->state = state;
    direct_entry_put(fleet->harness.store,
                     &(struct direct_entry){
                         .id = "e-0",
                         .service = "models",
                         .address = origin_address(fleet->harness.origins[0]),
                         .state = state,
                         .born_ms = 1,
                         .sequence = ++fleet->sequence,
                     });
    return direct_harness_wait(&fleet->harness, all_have_change, fleet,
                               IN_FORCE_MS);
}

static void
start(struct fleet *fleet, size_t routers, size_t isolated)
{
    *fleet = (struct fleet){.routers = routers, .state = "ready"};
    fleet->sequence = 1;
    direct_harness_start(&fleet->harness, &(struct direct_harness_options){
                                              .routers = routers,
                                              .origins = 2,
                                              .events = 4,
                                              .work_us = 1000,
                                              .isolated = isolated,
                                              .store_relays = true,
                                          });
    direct_harness_run(&fleet->harness, SETTLE_MS);
}

static void
stop(struct fleet *fleet)
{
    direct_harness_stop(&fleet->harness);
}

static bool
knows_endpoint(const struct fleet *fleet, size_t index, const char *id)
{
    return endpoints_find(direct_endpoints(fleet->harness.routers[index]),
                          str_from(id)) != NULL;
}

/// Waiting reads are answered at their time-out, without the records before
/// the end that the answers state. No router had the version or the drain 27 s
/// later, and none had logged a warning.
static void
test_store_withholds_records(void)
{
    struct fleet fleet;

    start(&fleet, DIRECT_MAX, 0);
    keyed_store_set_fault(fleet.harness.store, KEYED_STORE_NO_RECORDS);
    CU_ASSERT(change_takes_effect(&fleet, "draining"));
    stop(&fleet);
}

/// A read is answered with the records of the read before it: the next change
/// of each topic was skipped.
static void
test_answer_is_repeated(void)
{
    struct fleet fleet;

    start(&fleet, DIRECT_MAX, 0);
    CU_ASSERT(change_takes_effect(&fleet, "draining"));
    keyed_store_set_fault(fleet.harness.store, KEYED_STORE_REPEAT_ANSWER);
    direct_harness_run(&fleet.harness, SETTLE_MS);
    CU_ASSERT(change_takes_effect(&fleet, "ready"));
    CU_ASSERT(change_takes_effect(&fleet, "draining"));
    for (size_t i = 0; i < fleet.routers; i++) {
        CU_ASSERT(counter_get(&fleet.harness.counters[i], COUNTER_RESTORES) ==
                  0);
    }
    stop(&fleet);
}

/// A router that takes the end of a topic for higher than it is makes its
/// peers skip the next changes.
static void
test_end_is_too_high(void)
{
    struct fleet fleet;
    struct records *records;

    start(&fleet, DIRECT_MAX, 0);
    records = fleet.harness.routers[0]->records;
    for (size_t i = 0; i < RECORDS_TOPIC_COUNT; i++) {
        struct position end = records_end(records, (enum record_topic)i);

        end.offset += 2;
        records_set_end(records, (enum record_topic)i, end);
    }
    mesh_send_topic_ends(fleet.harness.routers[0]->mesh);
    direct_harness_run(&fleet.harness, SETTLE_MS);
    CU_ASSERT(change_takes_effect(&fleet, "draining"));
    CU_ASSERT(change_takes_effect(&fleet, "ready"));
    CU_ASSERT(change_takes_effect(&fleet, "draining"));
    stop(&fleet);
}

static void
put_entries(struct direct_harness *harness)
{
    for (size_t i = 0; i < ENTRIES; i++) {
        char id[16];

        snprintf(id, sizeof(id), "a-%04zu", i);
        direct_entry_put(harness->store,
                         &(struct direct_entry){
                             .id = id,
                             .service = "models",
                             .address = origin_address(harness->origins[0]),
                             .born_ms = 1,
                         });
    }
}

/// Runs the event loop until the first page of the endpoints is applied.
static void
wait_first_page(struct direct_harness *harness, size_t index)
{
    int64_t end_ms = clock_ms(&clock_monotonic) + SETTLE_MS;

    while (endpoints_count(direct_endpoints(harness->routers[index])) == 0 &&
           clock_ms(&clock_monotonic) < end_ms) {
        event_base_loop(harness->base, EVLOOP_ONCE);
    }
}

/// A router that starts lists the endpoints. Between two pages a peer that has
/// not seen a removal yet sends it the removed entry: it stayed in use at the
/// new router for good, and at peers that took its listing.
static void
test_removed_entry_from_peer_while_listing(void)
{
    struct fleet fleet;
    struct direct_harness *harness = &fleet.harness;

    start(&fleet, 2, 0);
    put_entries(harness);
    direct_harness_run(harness, 500);
    CU_ASSERT(knows_endpoint(&fleet, 0, "a-0000"));
    direct_harness_stop_router(harness, 1);
    relay_drop(harness->store_relays[0], false, true);
    keyed_store_put(harness->store, KEYED_STORE_TOPIC_ENDPOINTS, "a-0000",
                    (struct str){0});
    direct_harness_start_router(harness, 1);
    wait_first_page(harness, 1);
    relay_delay(harness->store_relays[1], PAGE_DELAY_MS);
    direct_harness_run(harness, IN_FORCE_MS);
    CU_ASSERT(!knows_endpoint(&fleet, 1, "a-0000"));
    relay_drop(harness->store_relays[0], false, false);
    relay_reset(harness->store_relays[0]);
    direct_harness_run(harness, IN_FORCE_MS);
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(!knows_endpoint(&fleet, i, "a-0000"));
    }
    stop(&fleet);
}

/// The store refuses reads of the configuration only. Entries were no longer
/// read after one of their reads had failed.
static void
test_entries_while_configuration_is_refused(void)
{
    struct fleet fleet;
    struct direct_harness *harness = &fleet.harness;

    start(&fleet, DIRECT_MAX, 0);
    keyed_store_set_topic_busy(harness->store, KEYED_STORE_TOPIC_OPERATOR,
                               true);
    direct_harness_run(harness, SETTLE_MS);
    for (size_t i = 0; i < DIRECT_MAX; i++) {
        relay_reset(harness->store_relays[i]);
    }
    direct_harness_run(harness, 500);
    direct_harness_put_entry(harness, "e-0", harness->origins[0], "models",
                             NULL);
    direct_harness_run(harness, IN_FORCE_MS);
    for (size_t i = 0; i < DIRECT_MAX; i++) {
        CU_ASSERT(!knows_endpoint(&fleet, i, "e-0"));
    }
    stop(&fleet);
}

/// Publishes a configuration with this much text that does not compress.
static void
publish_large(struct direct_harness *harness, size_t bytes)
{
    char *padding = xcalloc(bytes + 1, 1);
    char *text, *large;

    for (size_t i = 0; i < bytes; i++) {
        padding[i] = (char)('#' + random_below(&random_system, 57));
    }
    harness->version += 3;
    text = platform_document(harness->version, "key", true, 800, 3000);
    large = xasprintf("{\"padding\":\"%s\",%s", padding, text + 1);
    keyed_store_put(harness->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                    str_from(large));
    free(large);
    free(text);
    free(padding);
}

/// A configuration that is longer than a frame when compressed never reached a
/// router that the store refuses; each request for it closed a link.
static void
test_configuration_longer_than_frame(void)
{
    struct fleet fleet;

    start(&fleet, DIRECT_MAX, 1);
    publish_large(&fleet.harness, 2 * MESSAGE_BYTES_MAX);
    CU_ASSERT(direct_harness_wait(&fleet.harness, all_have_change, &fleet,
                                  IN_FORCE_MS));
    stop(&fleet);
}

void
suite_missed_records(void)
{
    CU_pSuite suite = CU_add_suite("missed-records", NULL, NULL);

    CU_add_test(suite, "store withholds records",
                test_store_withholds_records);
    CU_add_test(suite, "answer is repeated", test_answer_is_repeated);
    CU_add_test(suite, "end is too high", test_end_is_too_high);
    CU_add_test(suite, "removed entry from peer while listing",
                test_removed_entry_from_peer_while_listing);
    CU_add_test(suite, "entries while configuration is refused",
                test_entries_while_configuration_is_refused);
    CU_add_test(suite, "configuration longer than frame",
                test_configuration_longer_than_frame);
}
