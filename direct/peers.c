/// Connects the router's state with the messages of its peers.
#include "blame.h"
#include "cold.h"
#include "contexts.h"
#include "core/admission.h"
#include "core/prefix.h"
#include "dandelionvalve/quarantine.h"
#include "direct_private.h"
#include "direct_state.h"
#include "early_reports.h"
#include "endpoints.h"
#include "mesh.h"
#include "net/log.h"
#include "rate_limits.h"
#include "services.h"
#include "stream_batches.h"
#include "stream_finds.h"

#define LOG_MODULE "peers"

/// Loads of the endpoints with requests in flight, now or in the last report.
/// Unchanged loads are included, since reports expire at the peers.
static size_t
collect_loads(void *ctx, struct message_load *items, size_t max)
{
    struct direct *direct = ctx;
    struct endpoint *endpoint;
    size_t count = 0;

    for (endpoint = endpoints_first(direct->endpoints);
         endpoint != NULL && count < max; endpoint = endpoint->hh.next) {
        if (endpoint->in_flight == 0 && endpoint->reported_in_flight == 0) {
            continue;
        }
        endpoint->reported_in_flight = endpoint->in_flight;
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

static size_t
collect_shares(void *ctx, struct message_share *items, size_t max)
{
    const struct direct *direct = ctx;

    return direct->settings.shares
               ? admission_collect(services_admission(direct->services), items,
                                   max)
               : 0;
}

static void
on_shares(void *ctx, uint64_t peer, const struct message_share *items,
          size_t count)
{
    const struct direct *direct = ctx;

    if (direct->settings.shares) {
        admission_receive(services_admission(direct->services), peer, items,
                          count);
    }
}

static void
on_strike(void *ctx, uint64_t fingerprint, uint32_t crash_id)
{
    const struct direct *direct = ctx;

    quarantine_strike(direct->quarantine, fingerprint, crash_id);
}

static size_t
collect_rates(void *ctx, struct message_rate *items, size_t max)
{
    struct direct *direct = ctx;

    return rate_limits_collect(direct->rate_limits, direct->endpoints, items,
                               max);
}

static void
on_rates(void *ctx, const struct message_rate *items, size_t count)
{
    struct direct *direct = ctx;

    rate_limits_receive(direct->rate_limits, direct->endpoints, items, count,
                        mesh_relays_reports(direct->mesh));
}

void
direct_share_stated_load(struct direct *direct, struct endpoint *endpoint,
                         uint32_t load)
{
    // In a full mesh all routers report what they have there.
    if (direct->mesh != NULL && mesh_relays_reports(direct->mesh)) {
        stated_load_answered(&endpoint->stated_load, load, endpoint->slots,
                             clock_ms(direct->options.clock));
    }
}

static size_t
collect_busy(void *ctx, struct message_busy *items, size_t max)
{
    // What has found no room in earlier reports goes first.
    static const int64_t intervals_ms[] = {2 * STATED_LOAD_RENEW_MS,
                                           STATED_LOAD_RENEW_MS};
    struct direct *direct = ctx;
    int64_t now_ms = clock_ms(direct->options.clock);
    size_t count = 0;

    for (size_t i = 0; i < sizeof(intervals_ms) / sizeof(intervals_ms[0]);
         i++) {
        struct endpoint *endpoint;

        for (endpoint = endpoints_first(direct->endpoints);
             endpoint != NULL && count < max; endpoint = endpoint->hh.next) {
            if (stated_load_take_report(&endpoint->stated_load, now_ms,
                                        intervals_ms[i])) {
                items[count++] = (struct message_busy){
                    .endpoint = endpoint->hash,
                    .incarnation = (uint64_t)endpoint->incarnation,
                    .load = endpoint->stated_load.load,
                    .age_ms = (uint32_t)(now_ms - endpoint->stated_load.at_ms),
                };
            }
        }
    }
    return count;
}

static void
on_busy(void *ctx, const struct message_busy *items, size_t count)
{
    struct direct *direct = ctx;
    int64_t now_ms = clock_ms(direct->options.clock);

    for (size_t i = 0; i < count; i++) {
        struct endpoint *endpoint =
            endpoints_find_hash(direct->endpoints, items[i].endpoint);

        if (endpoint != NULL &&
            (uint64_t)endpoint->incarnation == items[i].incarnation) {
            stated_load_reported(&endpoint->stated_load, items[i].load,
                                 now_ms - items[i].age_ms, now_ms);
        }
    }
}

static void
send_rates(struct direct *direct, struct link *link)
{
    struct message_rate items[MESSAGE_RATES_MAX];
    const struct endpoint *next = endpoints_first(direct->endpoints);

    while (next != NULL) {
        size_t count = rate_limits_collect_known(direct->rate_limits, &next,
                                                 items, MESSAGE_RATES_MAX);

        if (count > 0) {
            mesh_send_rates(link, items, count);
        }
    }
}

/// A peer that has just started may have read only entries from before a
/// crash.
static void
send_down(struct direct *direct, struct link *link)
{
    struct endpoint *endpoint;

    for (endpoint = endpoints_first(direct->endpoints); endpoint != NULL;
         endpoint = endpoint->hh.next) {
        if (cold_is_to_be_told(direct->cold, endpoint)) {
            mesh_send_down_to(link, endpoint->hash);
        }
    }
}

static void
on_peer_ready(void *ctx, struct link *link)
{
    blame_send_held(ctx, link);
    send_rates(ctx, link);
    send_down(ctx, link);
}

static void
on_blame(void *ctx, const struct message_blame *blame)
{
    blame_receive(ctx, blame);
}

static void
on_answered(void *ctx, const uint64_t *parts, size_t count)
{
    blame_receive_answered(ctx, parts, count);
}

static void
on_peer_caught_up(void *ctx, enum record_topic topic)
{
    struct direct *direct = ctx;

    if (topic == RECORDS_CONFIGURATION) {
        direct->has_configuration = true;
    }
    if (topic == RECORDS_ENDPOINTS) {
        direct->has_endpoints = true;
    }
    if (direct->store != NULL) {
        direct->options.store->catch_up(direct->store, topic);
    }
}

static void
on_fetch(void *ctx, enum record_topic topic)
{
    const struct direct *direct = ctx;

    direct->options.store->fetch(direct->store, topic);
}

static void
on_recovered(void *ctx, int64_t at_ms)
{
    struct direct *direct = ctx;

    if (at_ms > direct->store_recovered_ms) {
        direct->store_recovered_ms = at_ms;
    }
}

static void
on_placement(void *ctx, const struct message_placed *placed)
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
        prefix_estimate_add(endpoint->cache, &prefix);
    }
}

static void
suspect(struct direct *direct, struct endpoint *endpoint, bool is_down)
{
    if (is_down) {
        cold_suspect(direct->cold, endpoint, true);
    }
    if (!endpoint->eject.trial) {
        eject_begin_trial(&endpoint->eject, clock_ms(direct->options.clock));
        LOG_INFO("event=endpoint-suspected endpoint=" STR_FMT
                 " service=" STR_FMT " in_flight=%u "
                 "reason=\"%s\"",
                 STR_ARG(endpoint->id), STR_ARG(endpoint->service),
                 endpoint->in_flight,
                 is_down ? "a peer cannot connect" : "it fails at a peer");
    }
}

static void
on_endpoint_failed(void *ctx, uint64_t hash, bool is_down)
{
    struct direct *direct = ctx;
    struct endpoint *endpoint = endpoints_find_hash(direct->endpoints, hash);

    // Without a configuration it is not known whether the endpoint starts
    // cold.
    if (is_down && (endpoint == NULL || direct->catalog == NULL)) {
        early_reports_add_down(direct->early_reports, hash);
    }
    else if (endpoint != NULL) {
        suspect(direct, endpoint, is_down);
    }
}

static bool
apply_early_report(void *ctx, uint64_t hash, const struct message_rate *rate)
{
    struct direct *direct = ctx;
    struct endpoint *endpoint = endpoints_find_hash(direct->endpoints, hash);

    if (endpoint == NULL || (rate == NULL && direct->catalog == NULL) ||
        (rate != NULL &&
         (uint64_t)endpoint->incarnation != rate->incarnation)) {
        return false;
    }
    if (rate == NULL) {
        suspect(direct, endpoint, true);
    }
    else {
        on_rates(direct, rate, 1);
    }
    return true;
}

void
peers_apply_early_reports(struct direct *direct)
{
    early_reports_apply(direct->early_reports, apply_early_report, direct);
}

static void
on_contexts_requested(void *ctx, struct link *link)
{
    const struct direct *direct = ctx;

    contexts_send(direct->contexts, link);
}

static void
on_contexts(void *ctx, const struct message_context *items, size_t count)
{
    const struct direct *direct = ctx;

    contexts_receive(direct->contexts, items, count);
}

static void
on_streams(void *ctx, uint64_t peer, uint64_t number, struct str batch)
{
    const struct direct *direct = ctx;

    stream_batches_receive(direct->streams.batches, peer, number, batch);
}

static void
on_streams_written(void *ctx, uint64_t peer, uint64_t number, bool done)
{
    const struct direct *direct = ctx;

    stream_batches_replied(direct->streams.batches, peer, number, done);
}

static void
on_find_streams(void *ctx, uint64_t peer, uint64_t number, struct str ids)
{
    const struct direct *direct = ctx;

    stream_finds_receive(direct->streams.finds, peer, number, ids);
}

static void
on_found_streams(void *ctx, uint64_t number, struct str batch)
{
    const struct direct *direct = ctx;

    stream_finds_answered(direct->streams.finds, number, batch);
}

static void
on_peer_lost(void *ctx, uint64_t peer)
{
    const struct direct *direct = ctx;

    stream_batches_peer_lost(direct->streams.batches, peer);
}

static int64_t
on_configuration_version(void *ctx)
{
    const struct direct *direct = ctx;

    return direct->catalog != NULL ? catalog_version(direct->catalog) : -1;
}

static bool
on_store_answers(void *ctx, enum record_topic topic)
{
    const struct direct *direct = ctx;

    return direct->store != NULL &&
           direct->options.store->is_reachable(direct->store, topic);
}

bool
peers_start(struct direct *direct, struct err *err)
{
    const struct settings_direct *settings = &direct->settings;
    const struct mesh_options options = {
        .base = direct->options.base,
        .clock = direct->options.clock,
        .random = direct->options.random,
        .counters = direct->options.counters,
        .memory = direct->memory,
        .name = direct->name,
        .incarnation = direct->options.incarnation,
        .address = settings->links,
        .keys = &settings->keys,
        .records = direct->records,
        .collect_loads = collect_loads,
        .loads = on_loads,
        .collect_shares = collect_shares,
        .shares = on_shares,
        .placement = on_placement,
        .endpoint_failed = on_endpoint_failed,
        .strike = on_strike,
        .collect_rates = collect_rates,
        .rates = on_rates,
        .collect_busy = collect_busy,
        .busy = on_busy,
        .peer_ready = on_peer_ready,
        .blame = on_blame,
        .answered = on_answered,
        .contexts_requested = on_contexts_requested,
        .contexts = on_contexts,
        .caught_up = on_peer_caught_up,
        .fetch = on_fetch,
        .recovered = on_recovered,
        .streams = on_streams,
        .streams_written = on_streams_written,
        .find_streams = on_find_streams,
        .found_streams = on_found_streams,
        .peer_lost = on_peer_lost,
        .configuration_version = on_configuration_version,
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

void
peers_announce(struct direct *direct)
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

void
direct_share_placement(struct direct *direct, const struct endpoint *endpoint,
                       const struct prefix *prefix)
{
    struct message_placed placed = {.endpoint = endpoint->hash};

    if (direct->mesh == NULL || prefix->count < 2 ||
        prefix->count - 1 > MESSAGE_PLACED_PARTS_MAX) {
        return;
    }
    placed.count = prefix->count - 1;
    for (size_t i = 0; i < placed.count; i++) {
        placed.parts[i].id = prefix->parts[i].id;
        placed.parts[i].tokens = prefix->parts[i].tokens;
    }
    mesh_queue_placement(direct->mesh, &placed);
}

void
direct_report_down(struct direct *direct, const struct endpoint *endpoint)
{
    if (direct->mesh != NULL) {
        mesh_send_down(direct->mesh, endpoint->hash);
    }
}

void
direct_report_failing(struct direct *direct, const struct endpoint *endpoint)
{
    if (direct->mesh != NULL) {
        mesh_send_failing(direct->mesh, endpoint->hash);
    }
}

void
direct_record_strike(struct direct *direct, uint64_t fingerprint,
                     uint32_t crash_id)
{
    if (quarantine_strike(direct->quarantine, fingerprint, crash_id)) {
        counter_add(direct->options.counters, COUNTER_STRIKES, 1);
        LOG_INFO("event=strike fingerprint=%016llx crash=%08x strikes=%u",
                 (unsigned long long)fingerprint, crash_id,
                 quarantine_strikes(direct->quarantine, fingerprint));
        if (direct->mesh != NULL) {
            mesh_send_strike(direct->mesh, fingerprint, crash_id);
        }
    }
}
