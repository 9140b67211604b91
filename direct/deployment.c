/// Applies the records of the store: configuration, entries of endpoints,
/// addresses of routers.
#include <stdlib.h>

#include "core/catalog.h"
#include "core/evacuation.h"
#include "direct_private.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange.h"
#include "mesh.h"
#include "net/caller.h"
#include "net/log.h"
#include "streams.h"

#define LOG_MODULE "deployment"

#define CONFIGURATION_KEY "config"
/// Time in which the operator writes its records again after a restore of the
/// store.
#define REWRITE_MAX_MS 3000

static void
apply_catalog(struct direct *direct, const struct record *record)
{
    struct err err = {0};
    int64_t started_ms = clock_ms(direct->options.clock);
    struct catalog *catalog = direct->options.wire->read_catalog(
        record->value, direct->catalog, &err);
    const struct catalog_limits *limits;
    int64_t before;

    if (catalog == NULL) {
        counter_add(direct->options.counters, COUNTER_CONF_REJECTED, 1);
        LOG_WARNING("event=configuration-rejected offset=%lld detail=\"%s\"",
                    (long long)record->position.offset, err.message);
        return;
    }
    if (direct->catalog != NULL &&
        catalog_version(catalog) < catalog_version(direct->catalog)) {
        LOG_WARNING("event=configuration-older version=%lld in_force=%lld "
                    "offset=%lld",
                    (long long)catalog_version(catalog),
                    (long long)catalog_version(direct->catalog),
                    (long long)record->position.offset);
        catalog_unref(catalog);
        return;
    }
    counter_add(direct->options.counters, COUNTER_CONF_ACCEPTED, 1);
    counter_set(direct->options.counters, COUNTER_CONF_VERSION,
                (uint64_t)catalog_version(catalog));
    before = direct->catalog != NULL ? catalog_version(direct->catalog) : -1;
    catalog_unref(direct->catalog);
    direct->catalog = catalog;
    limits = catalog_limits(catalog);
    caller_server_set_limits(
        direct->callers, &(struct caller_limits){
                             .head_bytes_max = (size_t)limits->head_bytes_max,
                             .body_bytes_max = (size_t)limits->body_bytes_max,
                             .head_timeout_ms = limits->head_timeout_ms,
                             .idle_timeout_ms = limits->idle_timeout_ms,
                         });
    LOG_INFO("event=configuration version=%lld before=%lld offset=%lld "
             "routes=%zu reused=%zu bytes=%zu idle_timeout_ms=%lld "
             "head_timeout_ms=%lld "
             "took_ms=%lld",
             (long long)catalog_version(catalog), (long long)before,
             (long long)record->position.offset, catalog_route_count(catalog),
             catalog_reused_route_count(catalog), record->value.len,
             (long long)limits->idle_timeout_ms,
             (long long)limits->head_timeout_ms,
             (long long)(clock_ms(direct->options.clock) - started_ms));
    streams_set_catalog(direct);
    peers_apply_early_reports(direct);
}

static void
end_evacuation(struct direct *direct, struct str zone, const char *cause)
{
    struct str name = str_copy(zone);
    int64_t lasted_ms = evacuation_end(direct->evacuation, name,
                                       clock_ms(direct->options.clock));

    if (lasted_ms >= 0) {
        LOG_INFO("event=zone-returned zone=" STR_FMT
                 " age_ms=%lld endpoints=%zu cause=\"%s\"",
                 STR_ARG(name), (long long)lasted_ms,
                 endpoints_return(direct->endpoints, name), cause);
    }
    free((char *)name.data);
}

/// The operator evacuates an availability zone by a record, and ends that by
/// its removal. After a restore of the store the record may be missing until
/// the operator has written it again.
static void
apply_evacuation(struct direct *direct, const struct record *record,
                 struct str zone)
{
    int64_t now_ms = clock_ms(direct->options.clock);
    int64_t rewritten_ms = direct->restored_ms + REWRITE_MAX_MS;

    if (!record->removed) {
        if (evacuation_begin(direct->evacuation, zone, now_ms)) {
            counter_add(direct->options.counters, COUNTER_EVACUATIONS, 1);
            LOG_INFO("event=zone-evacuated zone=" STR_FMT
                     " offset=%lld zones=%zu",
                     STR_ARG(zone), (long long)record->position.offset,
                     evacuation_count(direct->evacuation));
        }
        return;
    }
    if (direct->restored_ms == 0 || now_ms >= rewritten_ms) {
        end_evacuation(direct, zone, "record removed");
    }
    else if (evacuation_lapse(direct->evacuation, zone, rewritten_ms)) {
        LOG_WARNING("event=evacuation-missing zone=" STR_FMT
                    " offset=%lld wait_ms=%lld "
                    "detail=\"removed, or not written again since the store "
                    "was restored\"",
                    STR_ARG(zone), (long long)record->position.offset,
                    (long long)(rewritten_ms - now_ms));
    }
}

void
direct_end_lapsed_evacuations(struct direct *direct)
{
    struct str zone;

    while ((zone = evacuation_lapsed(direct->evacuation,
                                     clock_ms(direct->options.clock)))
               .data != NULL) {
        end_evacuation(direct, zone, "record missing");
    }
}

static void
apply_configuration_record(struct direct *direct, const struct record *record)
{
    struct str zone;

    if (direct->options.wire->read_evacuation(record->key, &zone)) {
        apply_evacuation(direct, record, zone);
    }
    else if (!record->removed && str_equal_c(record->key, CONFIGURATION_KEY)) {
        apply_catalog(direct, record);
    }
}

struct entry_context {
    struct direct *direct;
    struct str id;
};

static void
on_endpoint_facts(void *ctx, const struct endpoint_facts *facts)
{
    struct entry_context *entry = ctx;
    const struct catalog_service *service = NULL;
    const struct endpoint *endpoint;

    if (entry->direct->catalog != NULL) {
        service = catalog_find_service(entry->direct->catalog, facts->service);
    }
    endpoints_update(entry->direct->endpoints, entry->id, facts,
                     service != NULL && service->cache_tokens > 0
                         ? service->cache_tokens
                         : UINT64_MAX);
    endpoint = endpoints_find(entry->direct->endpoints, entry->id);
    if (endpoint != NULL) {
        streams_see(entry->direct, endpoint);
    }
    peers_apply_early_reports(entry->direct);
}

/// Until this time a removed entry is taken as lapsed in the last store
/// outage; 0: there was no outage.
static int64_t
lapse_deadline_ms(const struct direct *direct)
{
    return direct->store_recovered_ms != 0
               ? direct->store_recovered_ms + ENDPOINTS_LAPSE_GRACE_MS
               : 0;
}

/// An endpoint's identity is sent in a header field and written to the log:
/// visible ASCII only.
static bool
is_endpoint_id(struct str key)
{
    for (size_t i = 0; i < key.len; i++) {
        if (key.data[i] <= ' ' || key.data[i] > '~') {
            return false;
        }
    }
    return key.len > 0;
}

static void
apply_endpoint_record(struct direct *direct, const struct record *record)
{
    struct entry_context entry = {direct, record->key};
    struct err err = {0};

    if (!is_endpoint_id(record->key)) {
        LOG_WARNING("event=endpoint-rejected offset=%lld key_bytes=%zu "
                    "detail=\"the key is not visible ASCII\"",
                    (long long)record->position.offset, record->key.len);
        return;
    }
    if (record->removed) {
        endpoints_remove(direct->endpoints, record->key,
                         lapse_deadline_ms(direct));
        return;
    }
    if (!direct->options.wire->read_endpoint(record->value, on_endpoint_facts,
                                             &entry, &err)) {
        LOG_WARNING("event=endpoint-rejected endpoint=" STR_FMT
                    " offset=%lld detail=\"%s\"",
                    STR_ARG(record->key), (long long)record->position.offset,
                    err.message);
        endpoints_remove(direct->endpoints, record->key, 0);
    }
}

static void
apply_router_record(struct direct *direct, const struct record *record)
{
    struct address address;
    struct err err = {0};

    if (record->removed || direct->mesh == NULL) {
        return;
    }
    if (!address_parse(record->value, &address, &err)) {
        LOG_WARNING("event=router-rejected router=" STR_FMT " detail=\"%s\"",
                    STR_ARG(record->key), err.message);
        return;
    }
    mesh_add(direct->mesh, &address);
}

void
direct_apply_record(void *ctx, const struct record *record)
{
    struct direct *direct = ctx;

    switch (record->topic) {
    case RECORDS_CONFIGURATION:
        apply_configuration_record(direct, record);
        return;
    case RECORDS_ENDPOINTS:
        apply_endpoint_record(direct, record);
        return;
    case RECORDS_ROUTERS:
        apply_router_record(direct, record);
        return;
    case RECORDS_TOPIC_COUNT:
        return;
    }
}

void
direct_restored(void *ctx, struct position_era era)
{
    struct direct *direct = ctx;

    LOG_WARNING("event=restored era=%llu version=%lld endpoints=%zu "
                "detail=\"entries that the copy lacks are kept for %d ms\"",
                (unsigned long long)era.number - 1,
                direct->catalog != NULL
                    ? (long long)catalog_version(direct->catalog)
                    : -1,
                endpoints_count(direct->endpoints), ENDPOINTS_LAPSE_GRACE_MS);
    counter_add(direct->options.counters, COUNTER_RESTORES, 1);
    // Entries that are missing from the copy are written again, as after an
    // outage.
    direct->store_recovered_ms = clock_ms(direct->options.clock);
    direct->restored_ms = direct->store_recovered_ms;
    endpoints_note_restore(direct->endpoints);
    streams_note_restore(direct);
    if (direct->mesh != NULL) {
        mesh_note_restore(direct->mesh);
    }
    if (direct->store != NULL) {
        direct->options.store->restored(direct->store, era);
    }
}

int
direct_compare_versions(void *ctx, const struct record *a,
                        const struct record *b)
{
    const struct direct *direct = ctx;
    int64_t version_a, version_b;

    if (a->topic != RECORDS_CONFIGURATION ||
        !str_equal_c(a->key, CONFIGURATION_KEY)) {
        return 0;
    }
    version_a = direct->options.wire->read_version(a->value);
    version_b = direct->options.wire->read_version(b->value);
    // A version that was rejected does not stand against an older one.
    if (version_a > version_b &&
        (direct->catalog == NULL ||
         catalog_version(direct->catalog) < version_a)) {
        return 0;
    }
    return (version_a > version_b) - (version_a < version_b);
}

/// Dispatches the requests that wait for configuration and endpoints.
static void
resume_waiting(struct direct *direct)
{
    struct exchange_entry *entry, *next;

    if (direct->waiting_resumed || !direct_has_deployment(direct)) {
        return;
    }
    direct->waiting_resumed = true;
    HASH_ITER(hh, direct->exchanges, entry, next)
    {
        exchange_resume(entry->exchange);
    }
}

void
direct_topic_caught_up(struct direct *direct, enum record_topic topic,
                       int64_t outage_ms)
{
    if (topic == RECORDS_CONFIGURATION) {
        direct->has_configuration = true;
    }
    if (topic == RECORDS_ENDPOINTS) {
        direct->has_endpoints = true;
        direct->has_all_endpoints = true;
    }
    if (topic == RECORDS_ENDPOINTS && outage_ms > 0) {
        LOG_INFO("event=store-back outage_ms=%lld", (long long)outage_ms);
    }
    resume_waiting(direct);
}

void
direct_topic_partly_listed(struct direct *direct, enum record_topic topic)
{
    if (topic == RECORDS_ENDPOINTS && !direct->has_endpoints) {
        LOG_INFO("event=endpoints-partly-listed endpoints=%zu",
                 endpoints_count(direct->endpoints));
        direct->has_endpoints = true;
        resume_waiting(direct);
    }
}

void
direct_store_recovered(struct direct *direct)
{
    direct->store_recovered_ms = clock_ms(direct->options.clock);
    if (direct->mesh != NULL) {
        mesh_store_recovered(direct->mesh);
    }
}

void
direct_fetch_failed(struct direct *direct, enum record_topic topic)
{
    if (direct->mesh != NULL) {
        mesh_fetch_failed(direct->mesh, topic);
    }
}

void
direct_records_read(struct direct *direct, enum record_topic topic)
{
    (void)topic;
    if (direct->mesh != NULL) {
        mesh_send_topic_ends(direct->mesh);
    }
}
