#include "direct.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <utlist.h>

#include "core/catalog.h"
#include "core/histogram.h"
#include "core/records.h"
#include "core/xmalloc.h"
#include "contexts.h"
#include "daemon/admin.h"
#include "dandelionvalve/quarantine.h"
#include "dandelionvalve/retry.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange.h"
#include "net/caller.h"
#include "net/log.h"
#include "mesh.h"
#include "services.h"

#define LOG_MODULE "direct"

#define TICK_MS 100
/// The balancer asks once a second and needs two misses; the margin covers
/// late timers.
#define DRAIN_LISTEN_MS 2600
/// Left of the grace time when the process ends at the latest.
#define DRAIN_MARGIN_MS 250
/// Crashes after which a request is refused: a request may reach few more
/// endpoints once it has crashed three.
#define STRIKES_MAX 3
#define STRIKE_HOLD_MS 30000
#define STRUCK_MAX 10000
/// Limits on callers before a configuration states them.
#define HEAD_BYTES_MAX 16384
#define BODY_BYTES_MAX (4 * 1024 * 1024)
#define HEAD_MS 3000
#define IDLE_MS 15000
/// Share of the retry budget that is used: other routers count later.
#define BUDGET_USED_PERCENT 85
/// A tick that comes later than this means that the process stood still.
#define STOOD_STILL_MS 1000
/// Routers that are taken to share the retry budget before they are known.
#define ROUTERS_ASSUMED 4
/// Reading speed before any answer has shown it, prompt tokens in a ms.
#define TOKENS_PER_MS 40.0
#define TOKENS_PER_MS_MIN 4.0
#define TOKENS_PER_MS_MAX 500.0
/// Prompts whose reading time says something of the speed.
#define READING_TOKENS_MIN 2000
#define READING_WEIGHT 0.05

#define KINDS (ROUTE_RESUMABLE + 1)

struct listed {
    struct exchange *exchange;
    UT_hash_handle hh;
};

struct direct {
    struct direct_options options;
    struct settings_direct settings; ///< as of the last reload
    char *name;
    struct records *records;
    void *store;
    struct catalog *catalog;
    struct endpoints *endpoints;
    struct caller_server *callers;
    struct admin *ready;
    struct admin *metrics;
    struct mesh *mesh;
    struct contexts *contexts;
    struct quarantine *quarantine;
    struct services *services;
    struct listed *exchanges;
    struct event *tick;
    bool knows_endpoints;
    bool resumed; ///< requests that waited for knowledge have gone on
    int64_t started_ms;
    bool was_ready;
    int64_t ticked_ms;
    int64_t store_back_ms; ///< when the store last came back; 0: never away
    bool draining;
    int64_t drain_ms; ///< when draining began
    double tokens_per_ms;
    struct histogram first[KINDS]; ///< to the first byte of an answer
    struct histogram total[KINDS];
};

static void
take_catalog(struct direct *direct, const struct record *record)
{
    struct err err = {0};
    struct catalog *catalog =
        direct->options.wire->read_catalog(record->value, &err);
    const struct catalog_limits *limits;

    if (catalog == NULL) {
        counter_add(direct->options.counters, COUNTER_CONF_REJECTED, 1);
        LOG_WARNING("event=configuration-rejected offset=%lld detail=\"%s\"",
                    (long long)record->offset, err.message);
        return;
    }
    if (direct->catalog != NULL &&
        catalog_version(catalog) < catalog_version(direct->catalog)) {
        LOG_WARNING("event=configuration-older version=%lld in_force=%lld "
                    "offset=%lld",
                    (long long)catalog_version(catalog),
                    (long long)catalog_version(direct->catalog),
                    (long long)record->offset);
        catalog_unref(catalog);
        return;
    }
    LOG_INFO(
        "event=configuration version=%lld before=%lld offset=%lld "
        "routes=%zu bytes=%zu",
        (long long)catalog_version(catalog),
        direct->catalog != NULL ? (long long)catalog_version(direct->catalog)
                                : -1,
        (long long)record->offset, catalog_routes(catalog), record->value.len);
    counter_add(direct->options.counters, COUNTER_CONF_ACCEPTED, 1);
    counter_set(direct->options.counters, COUNTER_CONF_VERSION,
                (uint64_t)catalog_version(catalog));
    catalog_unref(direct->catalog);
    direct->catalog = catalog;
    limits = catalog_limits(catalog);
    caller_server_set_limits(
        direct->callers, &(struct caller_limits){
                             .head_bytes_max = (size_t)limits->head_bytes_max,
                             .body_bytes_max = (size_t)limits->body_bytes_max,
                             .head_ms = limits->head_ms,
                             .idle_ms = limits->idle_ms,
                         });
}

struct entry_context {
    struct direct *direct;
    struct str id;
};

static void
take_endpoint(void *ctx, const struct endpoint_facts *facts)
{
    struct entry_context *entry = ctx;
    const struct catalog_service *service = NULL;

    if (entry->direct->catalog != NULL) {
        service = catalog_find_service(entry->direct->catalog, facts->service);
    }
    endpoints_update(entry->direct->endpoints, entry->id, facts,
                     service != NULL && service->memory_tokens > 0
                         ? service->memory_tokens
                         : UINT64_MAX);
}

/// Until when a missing entry may be missing only because the store was away.
static int64_t
lapse_until(const struct direct *direct)
{
    return direct->store_back_ms != 0
               ? direct->store_back_ms + ENDPOINTS_LAPSE_MS
               : 0;
}

static void
take_entry(struct direct *direct, const struct record *record)
{
    struct entry_context entry = {direct, record->key};
    struct err err = {0};

    if (record->removed) {
        endpoints_remove(direct->endpoints, record->key, lapse_until(direct));
        return;
    }
    if (!direct->options.wire->read_endpoint(record->value, take_endpoint,
                                             &entry, &err)) {
        LOG_WARNING("event=endpoint-rejected endpoint=" STR_FMT
                    " offset=%lld detail=\"%s\"",
                    STR_ARG(record->key), (long long)record->offset,
                    err.message);
        endpoints_remove(direct->endpoints, record->key, 0);
    }
}

static void
take_router(struct direct *direct, const struct record *record)
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

static void
on_record(void *ctx, const struct record *record)
{
    struct direct *direct = ctx;

    switch (record->topic) {
    case RECORDS_CONFIGURATION:
        if (!record->removed && str_equal_c(record->key, "config")) {
            take_catalog(direct, record);
        }
        return;
    case RECORDS_ENDPOINTS:
        take_entry(direct, record);
        return;
    case RECORDS_ROUTERS:
        take_router(direct, record);
        return;
    case RECORDS_TOPICS:
        return;
    }
}

/// Requests that came before anything was known go on.
static void
resume_waiting(struct direct *direct)
{
    struct listed *listed, *next;

    if (direct->resumed || !direct_knows_deployment(direct)) {
        return;
    }
    direct->resumed = true;
    HASH_ITER(hh, direct->exchanges, listed, next)
    {
        exchange_resume(listed->exchange);
    }
}

void
direct_caught_up(struct direct *direct, enum record_topic topic,
                 int64_t away_ms)
{
    if (topic == RECORDS_ENDPOINTS) {
        direct->knows_endpoints = true;
    }
    if (topic == RECORDS_ENDPOINTS && away_ms > 0) {
        LOG_INFO("event=store-back away_ms=%lld", (long long)away_ms);
    }
    resume_waiting(direct);
}

void
direct_store_back(struct direct *direct)
{
    direct->store_back_ms = clock_ms(direct->options.clock);
}

void
direct_progress(struct direct *direct, enum record_topic topic)
{
    (void)topic;
    if (direct->mesh != NULL) {
        mesh_tell(direct->mesh);
    }
}

bool
direct_is_ready(const struct direct *direct)
{
    return !direct->draining && direct_knows_deployment(direct);
}

static bool
is_ready(void *ctx, const char **why)
{
    const struct direct *direct = ctx;

    *why = direct->draining           ? "draining\n"
           : direct->catalog == NULL  ? "no configuration yet\n"
           : !direct->knows_endpoints ? "no endpoints yet\n"
                                      : "ok\n";
    return direct_is_ready(direct);
}

static char *
status_of(void *ctx)
{
    const struct direct *direct = ctx;

    return xasprintf(
        "{\"version\":%lld,\"endpoints\":%zu,\"requests\":%u,"
        "\"draining\":%s}\n",
        direct->catalog != NULL ? (long long)catalog_version(direct->catalog)
                                : -1,
        endpoints_count(direct->endpoints), HASH_COUNT(direct->exchanges),
        direct->draining ? "true" : "false");
}

static char *
metrics_of(void *ctx)
{
    static const char *const labels[KINDS] = {
        [ROUTE_IDEMPOTENT] = "kind=\"idempotent\"",
        [ROUTE_ONCE] = "kind=\"once\"",
        [ROUTE_STREAM] = "kind=\"stream\"",
        [ROUTE_RESUMABLE] = "kind=\"resumable\"",
    };
    const struct direct *direct = ctx;
    const struct endpoint *endpoint;
    int64_t now_ms = clock_ms(direct->options.clock);
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);

    if (out == NULL) {
        return xstrdup("");
    }
    for (size_t i = 0; i < KINDS; i++) {
        histogram_print(&direct->first[i], "first_byte_ms", labels[i], out);
        histogram_print(&direct->total[i], "answer_ms", labels[i], out);
    }
    for (endpoint = endpoints_first(direct->endpoints); endpoint != NULL;
         endpoint = endpoint->hh.next) {
        fprintf(out,
                "endpoint_in_flight{endpoint=\"" STR_FMT "\"} %u\n"
                "endpoint_ejected{endpoint=\"" STR_FMT "\"} %d\n",
                STR_ARG(endpoint->id), endpoint->in_flight,
                STR_ARG(endpoint->id),
                eject_is_out(&endpoint->eject, now_ms, 0));
    }
    fprintf(out, "routers_linked %zu\nconfiguration_known %d\n",
            direct->mesh != NULL ? mesh_count(direct->mesh) : 0,
            direct->catalog != NULL);
    fclose(out);
    return text;
}

static void
end_drain(struct direct *direct, const char *reason)
{
    LOG_INFO("event=drained reason=%s requests=%u connections=%zu "
             "after_ms=%lld",
             reason, HASH_COUNT(direct->exchanges),
             caller_server_connections(direct->callers),
             (long long)(clock_ms(direct->options.clock) - direct->drain_ms));
    direct->options.drained(direct->options.ctx);
}

static void
drain_tick(struct direct *direct)
{
    int64_t passed_ms = clock_ms(direct->options.clock) - direct->drain_ms;
    int64_t limit_ms = direct->settings.grace_ms - DRAIN_MARGIN_MS;

    if (passed_ms >= limit_ms) {
        end_drain(direct, "time");
        return;
    }
    if (passed_ms < DRAIN_LISTEN_MS) {
        return;
    }
    caller_server_close_idle(direct->callers);
    if (HASH_COUNT(direct->exchanges) == 0 &&
        caller_server_connections(direct->callers) == 0) {
        end_drain(direct, "idle");
    }
}

/// Notes requests whose answers are late to begin. After the process stood
/// still, their ages say nothing of the endpoints.
static void
note_pending(struct direct *direct)
{
    int64_t now_ms = clock_ms(direct->options.clock);
    bool stood_still = now_ms - direct->ticked_ms > STOOD_STILL_MS;
    struct listed *listed, *next;

    direct->ticked_ms = now_ms;
    HASH_ITER(hh, direct->exchanges, listed, next)
    {
        exchange_note_pending(listed->exchange, stood_still);
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    struct direct *direct = ctx;
    bool ready = direct_is_ready(direct);

    (void)fd;
    (void)events;
    endpoints_tick(direct->endpoints);
    note_pending(direct);
    services_tick(direct->services);
    if (direct_knows_deployment(direct)) {
        contexts_tick(direct->contexts);
    }
    if (direct->mesh != NULL && direct->knows_endpoints) {
        bool reads = mesh_should_read(direct->mesh);

        direct->options.store->set_reading(direct->store, RECORDS_ENDPOINTS,
                                           reads);
        direct->options.store->set_lazy(direct->store, RECORDS_CONFIGURATION,
                                        !reads);
    }
    if (ready != direct->was_ready) {
        LOG_INFO("event=%s", ready ? "ready" : "not-ready");
        direct->was_ready = ready;
    }
    if (direct->draining) {
        drain_tick(direct);
    }
    counter_set(direct->options.counters, COUNTER_CONNECTIONS,
                caller_server_connections(direct->callers));
    log_flush();
}

static void
on_request(void *ctx, struct caller *caller)
{
    exchange_start(ctx, caller);
}

static void
on_gone(void *ctx, void *user)
{
    (void)ctx;
    exchange_abandon(user);
}

/// Loads that have changed since the peers were told, and those in flight:
/// a peer takes an old report for gone.
static size_t
on_report(void *ctx, struct message_load *items, size_t max)
{
    struct direct *direct = ctx;
    struct endpoint *endpoint;
    size_t count = 0;

    for (endpoint = endpoints_first(direct->endpoints);
         endpoint != NULL && count < max; endpoint = endpoint->hh.next) {
        if (endpoint->in_flight == 0 && endpoint->told_in_flight == 0) {
            continue;
        }
        endpoint->told_in_flight = endpoint->in_flight;
        items[count++] = (struct message_load){
            .endpoint = endpoint->hash,
            .in_flight = endpoint->in_flight,
            .backlog_tokens = (uint32_t)endpoint->backlog_tokens,
        };
    }
    return count;
}

static void
on_loads(void *ctx, uint64_t peer, const struct message_load *items,
         size_t count)
{
    struct direct *direct = ctx;
    int64_t now_ms = clock_ms(direct->options.clock);

    for (size_t i = 0; i < count; i++) {
        struct endpoint *endpoint =
            endpoints_find_hash(direct->endpoints, items[i].endpoint);

        if (endpoint != NULL) {
            endpoint_set_peer_load(endpoint, peer, items[i].in_flight,
                                   items[i].backlog_tokens, now_ms);
        }
    }
}

static void
on_strike(void *ctx, uint64_t fingerprint, uint32_t death)
{
    const struct direct *direct = ctx;

    quarantine_strike(direct->quarantine, fingerprint, death);
}

static void
on_peer_caught_up(void *ctx, enum record_topic topic)
{
    struct direct *direct = ctx;

    if (topic == RECORDS_ENDPOINTS) {
        direct->knows_endpoints = true;
    }
}

static void
on_placed(void *ctx, const struct message_placed *placed)
{
    struct direct *direct = ctx;
    struct endpoint *endpoint =
        endpoints_find_hash(direct->endpoints, placed->endpoint);
    struct prefix prefix = {.count = placed->count};

    for (size_t i = 0; i < placed->count; i++) {
        prefix.parts[i] = (struct prefix_part){
            .id = placed->parts[i].id,
            .tokens = placed->parts[i].tokens,
        };
    }
    if (endpoint != NULL) {
        prefix_belief_note(endpoint->cache, &prefix);
    }
}

static void
on_down(void *ctx, uint64_t hash)
{
    struct direct *direct = ctx;
    struct endpoint *endpoint = endpoints_find_hash(direct->endpoints, hash);

    if (endpoint != NULL && !endpoint->eject.trial) {
        eject_doubt(&endpoint->eject);
        LOG_INFO("event=endpoint-doubted endpoint=" STR_FMT " service=" STR_FMT
                 " in_flight=%u "
                 "reason=\"a peer cannot connect\"",
                 STR_ARG(endpoint->id), STR_ARG(endpoint->service),
                 endpoint->in_flight);
    }
}

static void
on_want_contexts(void *ctx, struct link *link)
{
    const struct direct *direct = ctx;

    contexts_give(direct->contexts, link);
}

static void
on_contexts(void *ctx, const struct message_context *items, size_t count)
{
    const struct direct *direct = ctx;

    contexts_take(direct->contexts, items, count);
}

static bool
keeps_prompts(void *ctx, const struct endpoint *endpoint)
{
    const struct direct *direct = ctx;
    const struct catalog_service *service =
        catalog_find_service(direct->catalog, endpoint->service);

    return service != NULL && service->is_model;
}

static void
start_contexts(struct direct *direct)
{
    direct->contexts = contexts_new(&(struct contexts_options){
        .base = direct->options.base,
        .clock = direct->options.clock,
        .wire = direct->options.wire,
        .endpoints = direct->endpoints,
        .mesh = direct->mesh,
        .keeps = keeps_prompts,
        .ctx = direct,
    });
}

static bool
on_store_answers(void *ctx, enum record_topic topic)
{
    const struct direct *direct = ctx;

    return direct->store != NULL &&
           direct->options.store->is_reachable(direct->store, topic);
}

static bool
start_peers(struct direct *direct, struct err *err)
{
    const struct settings_direct *settings = &direct->settings;
    const struct mesh_options options = {
        .base = direct->options.base,
        .clock = direct->options.clock,
        .random = direct->options.random,
        .counters = direct->options.counters,
        .name = direct->name,
        .incarnation = direct->options.incarnation,
        .address = settings->links,
        .keys = &settings->keys,
        .records = direct->records,
        .report = on_report,
        .loads = on_loads,
        .placed = on_placed,
        .down = on_down,
        .strike = on_strike,
        .want_contexts = on_want_contexts,
        .contexts = on_contexts,
        .caught_up = on_peer_caught_up,
        .store_answers = on_store_answers,
        .ctx = direct,
    };

    if (!settings->has_links) {
        return true;
    }
    direct->mesh = mesh_new(&options, err);
    if (direct->mesh == NULL) {
        return false;
    }
    for (size_t i = 0; i < settings->seed_count; i++) {
        mesh_add(direct->mesh, &settings->seeds[i]);
    }
    return true;
}

/// Where other routers find this one.
static void
announce(struct direct *direct)
{
    char text[ADDRESS_TEXT_BYTES];

    if (direct->mesh == NULL) {
        return;
    }
    address_format((const struct sockaddr *)&direct->settings.links.storage,
                   text);
    direct->options.store->announce(direct->store, direct->settings.name,
                                    str_from(text));
}

static struct admin *
new_admin(struct direct *direct, const struct address *address,
          struct err *err)
{
    const struct admin_options options = {
        .base = direct->options.base,
        .address = *address,
        .counters = direct->options.counters,
        .is_ready = is_ready,
        .status = status_of,
        .metrics = metrics_of,
        .ctx = direct,
    };

    return admin_new(&options, err);
}

static bool
listen_all(struct direct *direct, struct err *err)
{
    const struct settings_direct *settings = &direct->settings;
    const struct caller_server_options callers = {
        .base = direct->options.base,
        .clock = direct->options.clock,
        .address = settings->callers,
        .limits = {HEAD_BYTES_MAX, BODY_BYTES_MAX, HEAD_MS, IDLE_MS},
        .request = on_request,
        .gone = on_gone,
        .ctx = direct,
    };

    direct->callers = caller_server_new(&callers, err);
    if (direct->callers == NULL) {
        return false;
    }
    direct->ready = new_admin(direct, &settings->ready, err);
    if (direct->ready == NULL) {
        return false;
    }
    if (settings->has_metrics) {
        direct->metrics = new_admin(direct, &settings->metrics, err);
        return direct->metrics != NULL;
    }
    return true;
}

struct direct *
direct_new(const struct direct_options *options, struct err *err)
{
    static const struct timeval tick = {.tv_usec = TICK_MS * 1000};
    struct direct *direct = xcalloc(1, sizeof(*direct));

    direct->options = *options;
    direct->settings = *options->settings;
    direct->tokens_per_ms = TOKENS_PER_MS;
    direct->started_ms = clock_ms(options->clock);
    direct->ticked_ms = direct->started_ms;
    direct->records = records_new(&(struct records_options){
        .changed = on_record,
        .ctx = direct,
    });
    direct->endpoints = endpoints_new(&(struct endpoints_options){
        .base = options->base,
        .clock = options->clock,
        .zone = direct->settings.zone,
    });
    direct->services = services_new(options->clock);
    direct->quarantine = quarantine_new(&(struct quarantine_options){
        .clock = options->clock,
        .strikes_max = STRIKES_MAX,
        .hold_ms = STRIKE_HOLD_MS,
        .requests_max = STRUCK_MAX,
    });
    direct->tick = event_new(options->base, -1, EV_PERSIST, on_tick, direct);
    event_add(direct->tick, &tick);
    direct->name = str_dup(direct->settings.name);
    if (!listen_all(direct, err) || !start_peers(direct, err)) {
        direct_free(direct);
        return NULL;
    }
    start_contexts(direct);
    direct->store =
        options->store->start(options->store->ctx, direct, direct->records);
    announce(direct);
    LOG_INFO("event=start name=" STR_FMT " zone=" STR_FMT
             " callers=%s:%u incarnation=%llu",
             STR_ARG(direct->settings.name), STR_ARG(direct->settings.zone),
             direct->settings.callers.ip, direct->settings.callers.port,
             (unsigned long long)options->incarnation);
    return direct;
}

void
direct_free(struct direct *direct)
{
    struct listed *listed, *next;

    if (direct == NULL) {
        return;
    }
    HASH_ITER(hh, direct->exchanges, listed, next)
    {
        exchange_forget(listed->exchange);
    }
    if (direct->store != NULL) {
        direct->options.store->stop(direct->store);
    }
    contexts_free(direct->contexts);
    mesh_free(direct->mesh);
    caller_server_free(direct->callers);
    admin_free(direct->ready);
    admin_free(direct->metrics);
    endpoints_free(direct->endpoints);
    records_free(direct->records);
    quarantine_free(direct->quarantine);
    catalog_unref(direct->catalog);
    services_free(direct->services);
    event_free(direct->tick);
    free(direct->name);
    free(direct);
}

void
direct_drain(struct direct *direct)
{
    direct->draining = true;
    direct->drain_ms = clock_ms(direct->options.clock);
    caller_server_drain(direct->callers);
    LOG_INFO("event=stop requests=%u connections=%zu grace_ms=%lld",
             HASH_COUNT(direct->exchanges),
             caller_server_connections(direct->callers),
             (long long)direct->settings.grace_ms);
}

static bool
is_same_address(const struct address *a, const struct address *b)
{
    return !strcmp(a->ip, b->ip) && a->port == b->port;
}

void
direct_reload(struct direct *direct, const struct settings_direct *fresh)
{
    struct settings_direct *settings = &direct->settings;

    if (!is_same_address(&fresh->callers, &settings->callers) ||
        !is_same_address(&fresh->ready, &settings->ready) ||
        !is_same_address(&fresh->store, &settings->store) ||
        !str_equal(fresh->zone, settings->zone)) {
        LOG_WARNING("event=reload-partial detail=\"addresses and zone change "
                    "with a restart only\"");
    }
    settings->grace_ms = fresh->grace_ms;
    settings->budget_window_ms = fresh->budget_window_ms;
    settings->budget_ratio = fresh->budget_ratio;
    settings->budget_slack = fresh->budget_slack;
    settings->cap_factor = fresh->cap_factor;
    settings->keys = fresh->keys;
    for (size_t i = 0; direct->mesh != NULL && i < fresh->seed_count; i++) {
        mesh_add(direct->mesh, &fresh->seeds[i]);
    }
    LOG_INFO("event=reload grace_ms=%lld retry_ratio=%.3f retry_slack=%lld "
             "load_cap_factor=%.2f seeds=%zu",
             (long long)settings->grace_ms, settings->budget_ratio,
             (long long)settings->budget_slack, settings->cap_factor,
             fresh->seed_count);
}

struct address
direct_callers_address(const struct direct *direct)
{
    return caller_server_address(direct->callers);
}

struct address
direct_ready_address(const struct direct *direct)
{
    return admin_address(direct->ready);
}

struct catalog *
direct_catalog(const struct direct *direct)
{
    return direct->catalog;
}

struct endpoints *
direct_endpoints(const struct direct *direct)
{
    return direct->endpoints;
}

bool
direct_knows_deployment(const struct direct *direct)
{
    return direct->catalog != NULL && direct->knows_endpoints;
}

int64_t
direct_age_ms(const struct direct *direct)
{
    return clock_ms(direct->options.clock) - direct->started_ms;
}

const struct clock *
direct_clock(const struct direct *direct)
{
    return direct->options.clock;
}

const struct random_source *
direct_random(const struct direct *direct)
{
    return direct->options.random;
}

const struct wire *
direct_wire(const struct direct *direct)
{
    return direct->options.wire;
}

struct counters *
direct_counters(const struct direct *direct)
{
    return direct->options.counters;
}

struct event_base *
direct_base(const struct direct *direct)
{
    return direct->options.base;
}

const struct settings_direct *
direct_settings(const struct direct *direct)
{
    return &direct->settings;
}

struct quarantine *
direct_quarantine(const struct direct *direct)
{
    return direct->quarantine;
}

size_t
direct_routers(const struct direct *direct)
{
    size_t fleet = direct->mesh != NULL ? mesh_fleet(direct->mesh) : 1;

    return fleet > ROUTERS_ASSUMED ? fleet : ROUTERS_ASSUMED;
}

struct retry_budget *
direct_budget(struct direct *direct, struct str service)
{
    const struct settings_direct *settings = &direct->settings;
    const struct retry_options options = {
        .clock = direct->options.clock,
        .window_ms = settings->budget_window_ms,
        .budget_percent =
            (int64_t)(settings->budget_ratio * BUDGET_USED_PERCENT),
        .slack = settings->budget_slack * BUDGET_USED_PERCENT / 100 /
                 (int64_t)direct_routers(direct),
    };

    return services_budget(direct->services, service, &options);
}

struct services *
direct_services(const struct direct *direct)
{
    return direct->services;
}

void
direct_note_placed(struct direct *direct, const struct endpoint *endpoint,
                   const struct prefix *prefix)
{
    struct message_placed placed = {.endpoint = endpoint->hash};

    if (direct->mesh == NULL || prefix->count < 2 ||
        prefix->count - 1 > MESSAGE_PARTS_MAX) {
        return;
    }
    placed.count = prefix->count - 1;
    for (size_t i = 0; i < placed.count; i++) {
        placed.parts[i].id = prefix->parts[i].id;
        placed.parts[i].tokens = prefix->parts[i].tokens;
    }
    mesh_placed(direct->mesh, &placed);
}

void
direct_note_down(struct direct *direct, const struct endpoint *endpoint)
{
    if (direct->mesh != NULL) {
        mesh_down(direct->mesh, endpoint->hash);
    }
}

void
direct_strike(struct direct *direct, uint64_t fingerprint, uint32_t death)
{
    if (quarantine_strike(direct->quarantine, fingerprint, death)) {
        counter_add(direct->options.counters, COUNTER_STRIKES, 1);
        LOG_INFO("event=strike fingerprint=%016llx death=%08x strikes=%u",
                 (unsigned long long)fingerprint, death,
                 quarantine_strikes(direct->quarantine, fingerprint));
        if (direct->mesh != NULL) {
            mesh_strike(direct->mesh, fingerprint, death);
        }
    }
}

double
direct_tokens_per_ms(const struct direct *direct)
{
    return direct->tokens_per_ms;
}

void
direct_note_reading(struct direct *direct, uint32_t tokens, int64_t ms)
{
    double speed;

    if (tokens < READING_TOKENS_MIN || ms <= 0) {
        return;
    }
    speed = (double)tokens / (double)ms;
    speed = speed < TOKENS_PER_MS_MIN   ? TOKENS_PER_MS_MIN
            : speed > TOKENS_PER_MS_MAX ? TOKENS_PER_MS_MAX
                                        : speed;
    direct->tokens_per_ms += READING_WEIGHT * (speed - direct->tokens_per_ms);
}

void
direct_add(struct direct *direct, struct exchange *exchange)
{
    struct listed *listed = xcalloc(1, sizeof(*listed));

    listed->exchange = exchange;
    HASH_ADD_PTR(direct->exchanges, exchange, listed);
    counter_set(direct->options.counters, COUNTER_IN_FLIGHT,
                HASH_COUNT(direct->exchanges));
}

void
direct_remove(struct direct *direct, struct exchange *exchange)
{
    struct listed *listed;

    HASH_FIND_PTR(direct->exchanges, &exchange, listed);
    if (listed != NULL) {
        HASH_DEL(direct->exchanges, listed);
        free(listed);
    }
    counter_set(direct->options.counters, COUNTER_IN_FLIGHT,
                HASH_COUNT(direct->exchanges));
}

void
direct_note_latency(struct direct *direct, enum route_kind kind,
                    int64_t first_ms, int64_t total_ms)
{
    histogram_add(&direct->first[kind], first_ms);
    histogram_add(&direct->total[kind], total_ms);
}
