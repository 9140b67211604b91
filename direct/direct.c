#include "direct.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <utlist.h>

#include "core/catalog.h"
#include "core/histogram.h"
#include "core/memory.h"
#include "core/records.h"
#include "core/xmalloc.h"
#include "core/evacuation.h"
#include "blame.h"
#include "cold.h"
#include "contexts.h"
#include "daemon/admin.h"
#include "dandelionvalve/quarantine.h"
#include "dandelionvalve/retry.h"
#include "direct_private.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange.h"
#include "net/caller.h"
#include "net/log.h"
#include "mesh.h"
#include "early_reports.h"
#include "rate_limits.h"
#include "senders.h"
#include "services.h"
#include "streams.h"

#define LOG_MODULE "direct"

#define TICK_MS 100
/// Time that a draining router still accepts connections. The load balancer
/// checks readiness once a second and removes a router after two failures; the
/// rest covers late timers.
#define DRAIN_LISTEN_MS 2600
/// The process ends at the latest when this much of the grace time is left.
#define DRAIN_MARGIN_MS 250
/// Crashes after which a request is quarantined: once it has crashed three
/// endpoints, it may reach only few more.
#define STRIKES_MAX 3
#define QUARANTINE_MS 30000
#define QUARANTINE_REQUESTS_MAX 10000
/// Limits on callers until a configuration is received.
#define HEAD_BYTES_MAX_DEFAULT 16384
#define BODY_BYTES_MAX_DEFAULT (4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS_DEFAULT 3000
#define IDLE_TIMEOUT_MS_DEFAULT 15000
/// Receive buffer of a caller's connection: data that has arrived and is not
/// read takes memory of the machine as well. The kernel doubles the value.
#define RECEIVE_BUFFER_BYTES (128 * 1024)
/// Share of the retry budget that is used. The rest covers what other routers
/// have yet to count.
#define BUDGET_USED_PERCENT 85
/// Interval between two ticks above which the process is taken as stalled.
#define PROCESS_STALL_MS 1000
/// Least result of direct_router_count(), by which the slack of the retry
/// budget is divided: after a start not all routers are linked yet.
#define ROUTERS_ASSUMED_MIN 4
/// Prefill speed of the endpoints in prompt tokens per ms, before any sample.
#define PREFILL_TOKENS_PER_MS_DEFAULT 40.0
#define PREFILL_TOKENS_PER_MS_MIN 4.0
#define PREFILL_TOKENS_PER_MS_MAX 500.0
/// Shortest prompt that is used as a sample: the delay of shorter ones shows
/// little of the speed.
#define PREFILL_SAMPLE_TOKENS_MIN 2000
#define PREFILL_SAMPLE_WEIGHT 0.05

bool
direct_is_ready(const struct direct *direct)
{
    return !direct->draining && direct_has_deployment(direct);
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
    int64_t elapsed_ms = clock_ms(direct->options.clock) - direct->drain_ms;
    int64_t limit_ms = direct->settings.grace_ms - DRAIN_MARGIN_MS;

    if (elapsed_ms >= limit_ms) {
        end_drain(direct, "time");
        return;
    }
    if (elapsed_ms < DRAIN_LISTEN_MS) {
        return;
    }
    caller_server_close_idle(direct->callers);
    if (HASH_COUNT(direct->exchanges) == 0 &&
        caller_server_connections(direct->callers) == 0) {
        end_drain(direct, "idle");
    }
}

/// Counts requests whose answers are late to begin. After a stall of the
/// process their ages do not measure the endpoints.
static void
record_pending(struct direct *direct)
{
    int64_t now_ms = clock_ms(direct->options.clock);
    bool was_stalled = now_ms - direct->last_tick_ms > PROCESS_STALL_MS;
    struct exchange_entry *entry, *next;

    direct->last_tick_ms = now_ms;
    HASH_ITER(hh, direct->exchanges, entry, next)
    {
        exchange_record_pending(entry->exchange, was_stalled);
    }
}

/// In a large deployment a router dials some of the others only.
static void
update_standing(struct direct *direct)
{
    const struct mesh *mesh = direct->mesh;
    size_t known = mesh != NULL ? mesh_known_count(mesh) : 1;
    size_t linked = mesh != NULL ? mesh_linked_count(mesh) + 1 : 1;

    senders_update_standing(direct->senders, known, linked,
                            known > MESH_FULL_ROUTERS_MAX ? MESH_DIALED_MAX / 2
                                                          : 0);
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    struct direct *direct = ctx;
    bool ready = direct_is_ready(direct);

    (void)fd;
    (void)events;
    update_standing(direct);
    endpoints_tick(direct->endpoints);
    direct_end_lapsed_evacuations(direct);
    record_pending(direct);
    services_tick(direct->services);
    streams_tick(direct);
    if (direct_has_deployment(direct)) {
        contexts_tick(direct->contexts);
    }
    direct->options.store->set_role(
        direct->store, direct->mesh != NULL ? mesh_update_role(direct->mesh)
                                            : READERS_PRIMARY);
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
on_caller_left(void *ctx, void *user)
{
    (void)ctx;
    exchange_caller_left(user);
}

static bool
caches_prompts(void *ctx, const struct endpoint *endpoint)
{
    const struct direct *direct = ctx;
    const struct catalog_service *service =
        catalog_find_service(direct->catalog, endpoint->service);

    return service != NULL && service->is_model;
}

static struct warmup_limits
cold_limits(void *ctx, struct str name)
{
    const struct direct *direct = ctx;
    const struct catalog_service *service =
        direct->catalog != NULL ? catalog_find_service(direct->catalog, name)
                                : NULL;

    if (service == NULL) {
        return (struct warmup_limits){0};
    }
    return (struct warmup_limits){
        .start_ms = service->cold_start_ms,
        .per_s = service->cold_per_s,
        .rate_factor = direct->settings.cold_rate_factor,
        .slack = direct->settings.cold_slack,
    };
}

static bool
is_among_senders(void *ctx, uint64_t endpoint, size_t count)
{
    const struct direct *direct = ctx;

    return direct->mesh == NULL ||
           mesh_is_ranked_among(direct->mesh, endpoint, count);
}

static size_t
rank_among_senders(void *ctx, uint64_t endpoint, size_t *routers)
{
    const struct direct *direct = ctx;

    if (direct->mesh == NULL) {
        *routers = 1;
        return 0;
    }
    return mesh_rank(direct->mesh, endpoint, routers);
}

static int64_t
senders_settle_ms(void *ctx)
{
    const struct direct *direct = ctx;

    return direct->settings.settle_ms;
}

static void
start_endpoints(struct direct *direct)
{
    direct->senders = senders_new(&(struct senders_options){
        .clock = direct->options.clock,
        .is_among = is_among_senders,
        .rank = rank_among_senders,
        .settle_ms = senders_settle_ms,
        .ctx = direct,
    });
    direct->cold = cold_new(&(struct cold_options){
        .clock = direct->options.clock,
        .counters = direct->options.counters,
        .limits = cold_limits,
        .senders = direct->senders,
        .ctx = direct,
    });
    direct->early_reports = early_reports_new(direct->options.clock);
    direct->rate_limits = rate_limits_new(&(struct rate_limits_options){
        .clock = direct->options.clock,
        .counters = direct->options.counters,
        .senders = direct->senders,
        .early = direct->early_reports,
    });
    direct->evacuation = evacuation_new();
    direct->endpoints = endpoints_new(&(struct endpoints_options){
        .base = direct->options.base,
        .clock = direct->options.clock,
        .zone = direct->settings.zone,
        .cold = direct->cold,
        .rate_limits = direct->rate_limits,
        .evacuation = direct->evacuation,
        .memory = direct->memory,
    });
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
        .caches_prompts = caches_prompts,
        .ctx = direct,
    });
}

static bool
listen_all(struct direct *direct, struct err *err)
{
    const struct settings_direct *settings = &direct->settings;
    const struct caller_server_options callers = {
        .base = direct->options.base,
        .clock = direct->options.clock,
        .address = settings->callers,
        .limits = {HEAD_BYTES_MAX_DEFAULT, BODY_BYTES_MAX_DEFAULT,
                   HEAD_TIMEOUT_MS_DEFAULT, IDLE_TIMEOUT_MS_DEFAULT},
        .request = on_request,
        .disconnected = on_caller_left,
        .account = limits_account,
        .memory = direct->memory,
        .counters = direct->options.counters,
        .receive_buffer_bytes = RECEIVE_BUFFER_BYTES,
        .ctx = direct,
    };

    direct->callers = caller_server_new(&callers, err);
    if (direct->callers == NULL) {
        return false;
    }
    limits_apply(direct);
    direct->ready = metrics_listen(direct, &settings->ready, err);
    if (direct->ready == NULL) {
        return false;
    }
    if (settings->has_metrics) {
        direct->metrics = metrics_listen(direct, &settings->metrics, err);
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
    direct->prefill_tokens_per_ms = PREFILL_TOKENS_PER_MS_DEFAULT;
    direct->started_ms = clock_ms(options->clock);
    direct->last_tick_ms = direct->started_ms;
    direct->memory = memory_new(&(struct memory_options){0});
    direct->records = records_new(&(struct records_options){
        .changed = direct_apply_record,
        .restored = direct_restored,
        .compare_versions = direct_compare_versions,
        .ctx = direct,
    });
    start_endpoints(direct);
    direct->services = services_new(options->clock, options->random);
    direct->quarantine = quarantine_new(&(struct quarantine_options){
        .clock = options->clock,
        .strikes_max = STRIKES_MAX,
        .hold_ms = QUARANTINE_MS,
        .requests_max = QUARANTINE_REQUESTS_MAX,
    });
    blame_init(direct);
    streams_start(direct);
    direct->tick = event_new(options->base, -1, EV_PERSIST, on_tick, direct);
    event_add(direct->tick, &tick);
    direct->name = str_dup(direct->settings.name);
    if (!listen_all(direct, err) || !peers_start(direct, err)) {
        direct_free(direct);
        return NULL;
    }
    start_contexts(direct);
    direct->store =
        options->store->start(options->store->ctx, direct, direct->records);
    peers_announce(direct);
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
    struct exchange_entry *entry, *next;

    if (direct == NULL) {
        return;
    }
    HASH_ITER(hh, direct->exchanges, entry, next)
    {
        exchange_discard(entry->exchange);
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
    cold_free(direct->cold);
    senders_free(direct->senders);
    rate_limits_free(direct->rate_limits);
    early_reports_free(direct->early_reports);
    evacuation_free(direct->evacuation);
    records_free(direct->records);
    quarantine_free(direct->quarantine);
    blame_destroy(direct);
    catalog_unref(direct->catalog);
    services_free(direct->services);
    streams_stop(direct);
    memory_free(direct->memory);
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
    if (direct->mesh != NULL) {
        mesh_set_draining(direct->mesh);
    }
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
direct_reload(struct direct *direct, const struct settings_direct *updated)
{
    struct settings_direct *settings = &direct->settings;

    if (!is_same_address(&updated->callers, &settings->callers) ||
        !is_same_address(&updated->ready, &settings->ready) ||
        !is_same_address(&updated->store, &settings->store) ||
        !str_equal(updated->zone, settings->zone)) {
        LOG_WARNING("event=reload-partial detail=\"changed addresses or zone "
                    "take effect after a restart\"");
    }
    settings->grace_ms = updated->grace_ms;
    settings->budget_window_ms = updated->budget_window_ms;
    settings->budget_ratio = updated->budget_ratio;
    settings->budget_slack = updated->budget_slack;
    settings->cap_factor = updated->cap_factor;
    settings->share_ejections = updated->share_ejections;
    settings->shares = updated->shares;
    settings->cold_rate_factor = updated->cold_rate_factor;
    settings->cold_slack = updated->cold_slack;
    settings->even_load = updated->even_load;
    settings->keys = updated->keys;
    settings->memory_bytes = updated->memory_bytes;
    settings->descriptors_max = updated->descriptors_max;
    limits_apply(direct);
    for (size_t i = 0; direct->mesh != NULL && i < updated->seed_count; i++) {
        mesh_add(direct->mesh, &updated->seeds[i]);
    }
    LOG_INFO("event=reload grace_ms=%lld retry_ratio=%.3f retry_slack=%lld "
             "load_cap_factor=%.2f shares=%d even_load=%d seeds=%zu",
             (long long)settings->grace_ms, settings->budget_ratio,
             (long long)settings->budget_slack, settings->cap_factor,
             settings->shares, settings->even_load, updated->seed_count);
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

struct cold *
direct_cold(const struct direct *direct)
{
    return direct->cold;
}

struct rate_limits *
direct_rate_limits(const struct direct *direct)
{
    return direct->rate_limits;
}

bool
direct_has_deployment(const struct direct *direct)
{
    return direct->catalog != NULL && direct->has_configuration &&
           direct->has_endpoints;
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
direct_router_count(const struct direct *direct)
{
    size_t fleet = direct->mesh != NULL ? mesh_fleet_size(direct->mesh) : 1;

    return fleet > ROUTERS_ASSUMED_MIN ? fleet : ROUTERS_ASSUMED_MIN;
}

double
direct_known_share(const struct direct *direct)
{
    double known, all;

    if (direct->mesh == NULL) {
        return 1;
    }
    known = (double)mesh_linked_count(direct->mesh) + 1;
    all = (double)mesh_fleet_size(direct->mesh);
    return known < all ? known / all : 1;
}

struct retry_budget *
direct_retry_budget(struct direct *direct, struct str service)
{
    const struct settings_direct *settings = &direct->settings;
    const struct retry_options options = {
        .clock = direct->options.clock,
        .window_ms = settings->budget_window_ms,
        .budget_percent =
            (int64_t)(settings->budget_ratio * BUDGET_USED_PERCENT),
        .slack = settings->budget_slack * BUDGET_USED_PERCENT / 100 /
                 (int64_t)direct_router_count(direct),
    };

    return services_retry_budget(direct->services, service, &options);
}

struct services *
direct_services(const struct direct *direct)
{
    return direct->services;
}

double
direct_prefill_tokens_per_ms(const struct direct *direct)
{
    return direct->prefill_tokens_per_ms;
}

void
direct_record_prefill(struct direct *direct, uint32_t tokens, int64_t ms)
{
    double speed;

    if (tokens < PREFILL_SAMPLE_TOKENS_MIN || ms <= 0) {
        return;
    }
    speed = (double)tokens / (double)ms;
    speed = speed < PREFILL_TOKENS_PER_MS_MIN   ? PREFILL_TOKENS_PER_MS_MIN
            : speed > PREFILL_TOKENS_PER_MS_MAX ? PREFILL_TOKENS_PER_MS_MAX
                                                : speed;
    direct->prefill_tokens_per_ms +=
        PREFILL_SAMPLE_WEIGHT * (speed - direct->prefill_tokens_per_ms);
}

void
direct_add_exchange(struct direct *direct, struct exchange *exchange)
{
    struct exchange_entry *entry = xcalloc(1, sizeof(*entry));

    entry->exchange = exchange;
    HASH_ADD_PTR(direct->exchanges, exchange, entry);
    counter_set(direct->options.counters, COUNTER_IN_FLIGHT,
                HASH_COUNT(direct->exchanges));
}

void
direct_remove_exchange(struct direct *direct, struct exchange *exchange)
{
    struct exchange_entry *entry;

    HASH_FIND_PTR(direct->exchanges, &exchange, entry);
    if (entry != NULL) {
        HASH_DEL(direct->exchanges, entry);
        free(entry);
    }
    counter_set(direct->options.counters, COUNTER_IN_FLIGHT,
                HASH_COUNT(direct->exchanges));
}
