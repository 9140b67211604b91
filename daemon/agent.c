#include "agent.h"

#include <stdlib.h>

#include <event2/event.h>
#include <event2/listener.h>
#include <jansson.h>
#include <utlist.h>

#include "admin.h"
#include "claimlog.h"
#include "configuration.h"
#include "control.h"
#include "core/xmalloc.h"
#include "dandelionvalve/breaker.h"
#include "dandelionvalve/gate.h"
#include "dandelionvalve/quarantine.h"
#include "membership.h"
#include "net/http_client.h"
#include "net/link.h"
#include "net/log.h"
#include "net/platform.h"
#include "placement.h"
#include "probe.h"
#include "run.h"

#define LOG_MODULE "agent"
#define TICK_MS 20
#define BUSY_CHECK_INTERVAL_MS 500
#define PLATFORM_TIMEOUT_MS 3000
#define ANSWER_WINDOW_BYTES (256 * 1024)
#define BODY_BYTES_MAX (16 * 1024 * 1024)
#define RECONNECT_TIMEOUT_MS 15000
#define IDLE_CONNECTIONS_MAX 64
#define HEADER_BYTES_MAX 65536
#define QUARANTINE_REQUESTS_MAX 10000
#define CLAIM_SHARDS 4
#define CLAIM_WINDOW_MS (24 * 3600 * 1000LL)

/// A router that is linked to this agent.
struct linked_router {
    struct link *link;
    struct linked_router *prev;
    struct linked_router *next;
};

struct agent {
    struct agent_options options;
    struct counters counters;
    struct link_options link_options;
    struct evconnlistener *listener;
    struct address links_address;
    struct linked_router *routers;
    struct gate *gate;
    struct http_client *endpoint;
    struct probe *probe;
    struct breaker breaker;
    bool endpoint_healthy;
    struct quarantine *quarantine;
    struct claimlog *claimlog;
    struct runs *runs;
    struct platform *platform;
    struct platform *claims_platform;
    struct control *control;
    struct placement *placement;
    int64_t placement_version;
    size_t rank;
    size_t pool_size;
    struct configuration *configuration;
    struct membership *membership;
    struct admin *admin;
    struct event *tick;
    bool draining;
    bool drained;
    bool has_pool;
    uint64_t pool_weight;
    int64_t next_busy_check_ms;
};

static void
send_state(struct agent *agent)
{
    const struct message message = {
        .type = MESSAGE_STATE,
        .state = {.load = gate_load_report(agent->gate)},
    };
    struct linked_router *router;

    DL_FOREACH(agent->routers, router)
    {
        link_send(router->link, &message);
    }
}

static void
publish_state(struct agent *agent)
{
    if (agent->control != NULL) {
        control_publish_state(
            agent->control, agent->options.settings->common.name,
            agent->options.incarnation, gate_state(agent->gate));
    }
}

static void
set_state(struct agent *agent, enum agent_state state)
{
    if (gate_state(agent->gate) == state ||
        gate_state(agent->gate) == AGENT_LEAVING) {
        return;
    }
    LOG_INFO("event=agent-state from=%d to=%d", (int)gate_state(agent->gate),
             (int)state);
    gate_set_state(agent->gate, state);
    send_state(agent);
    publish_state(agent);
}

/// The endpoint is usable while its health check passes and the breaker, which
/// counts failed runs, is not open.
static void
update_state(struct agent *agent)
{
    bool usable = agent->endpoint_healthy && !breaker_is_open(&agent->breaker);

    set_state(agent, usable ? AGENT_READY : AGENT_ENDPOINT_DOWN);
}

static void
on_probed(void *ctx, enum probe_result result)
{
    struct agent *agent = ctx;

    // An endpoint that failed may come back restarted, with nothing loaded.
    if (result != PROBE_HEALTHY) {
        placement_clear_loaded(agent->placement);
    }
    if (result == PROBE_RESTARTED) {
        LOG_INFO("event=endpoint-restarted detail=\"the orders to load models "
                 "and adapters are sent again\"");
    }
    agent->endpoint_healthy = result != PROBE_FAILED;
    update_state(agent);
}

static void
on_endpoint_failed(void *ctx)
{
    struct agent *agent = ctx;

    breaker_failure(&agent->breaker);
    update_state(agent);
    probe_now(agent->probe);
}

static void
on_endpoint_succeeded(void *ctx)
{
    struct agent *agent = ctx;

    breaker_success(&agent->breaker);
}

static void
on_strike_added(void *ctx, uint64_t fingerprint, uint32_t crash_id)
{
    struct agent *agent = ctx;

    control_publish_strike(agent->control, fingerprint, crash_id);
}

static void
on_ready(void *ctx, struct link *link)
{
    struct agent *agent = ctx;
    const struct message message = {
        .type = MESSAGE_STATE,
        .state = {.load = gate_load_report(agent->gate)},
    };
    struct linked_router *router, *next;

    // The newest link of a router replaces its older ones, so that no message
    // still in transit on those is received.
    DL_FOREACH_SAFE(agent->routers, router, next)
    {
        if (router->link != link && link_is_ready(router->link) &&
            str_equal(link_peer_name(router->link), link_peer_name(link))) {
            runs_link_lost(agent->runs, router->link);
            link_close(router->link);
            DL_DELETE(agent->routers, router);
            free(router);
        }
    }
    link_send(link, &message);
}

static void
on_message(void *ctx, struct link *link, const struct message *message)
{
    struct agent *agent = ctx;

    switch (message->type) {
    case MESSAGE_OFFER:
        counter_add(&agent->counters, COUNTER_OFFERS, 1);
        runs_offer(agent->runs, link, &message->offer);
        return;
    case MESSAGE_BODY:
        runs_body(agent->runs, &message->part.id, message->part.offset,
                  message->part.bytes);
        return;
    case MESSAGE_ACK:
        gate_set_router_in_flight(agent->gate, link_peer_name(link),
                                  message->ack.in_flight);
        runs_ack(agent->runs, &message->ack.id, message->ack.offset,
                 message->ack.finished);
        return;
    case MESSAGE_CANCEL:
        gate_set_router_in_flight(agent->gate, link_peer_name(link),
                                  message->cancel.in_flight);
        runs_cancel(agent->runs, &message->cancel.id);
        return;
    case MESSAGE_RESUME:
        runs_resume(agent->runs, link, &message->resume.id,
                    message->resume.offset, message->resume.need_head);
        return;
    case MESSAGE_IN_FLIGHT:
        gate_set_router_in_flight(agent->gate, link_peer_name(link),
                                  message->in_flight.in_flight);
        gate_set_router_pool_weight(agent->gate, link_peer_name(link),
                                    message->in_flight.pool_weight);
        return;
    default:
        counter_add(&agent->counters, COUNTER_LINK_BAD_FRAMES, 1);
        LOG_WARNING("event=unexpected-message type=%s peer=%s",
                    message_type_name(message->type), link_peer_address(link));
    }
}

static void
on_closed(void *ctx, struct link *link, const struct err *err)
{
    struct agent *agent = ctx;
    struct linked_router *router, *next;

    (void)err;
    runs_link_lost(agent->runs, link);
    DL_FOREACH_SAFE(agent->routers, router, next)
    {
        if (router->link == link) {
            DL_DELETE(agent->routers, router);
            free(router);
        }
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *ctx)
{
    struct agent *agent = ctx;
    struct linked_router *router = xcalloc(1, sizeof(*router));

    (void)listener;
    (void)len;
    router->link = link_accept(&agent->link_options, fd, address);
    DL_APPEND(agent->routers, router);
}

static void
apply_conf(struct agent *agent, const struct conf *conf)
{
    const struct settings_agent *settings = agent->options.settings;
    const struct conf_pool *pool = conf_find_pool(conf, settings->pool);

    agent->has_pool = pool != NULL;
    if (pool == NULL) {
        LOG_WARNING("event=pool-unknown pool=" STR_FMT
                    " detail=\"limits stay unchanged\"",
                    STR_ARG(settings->pool));
        return;
    }
    gate_set_options(agent->gate, pool->bound_multiple,
                     (size_t)pool->queue_requests, (size_t)pool->queue_bytes);
    quarantine_set_options(agent->quarantine,
                           (uint32_t)conf->quarantine.strikes,
                           conf->quarantine.hold_ms);
    claimlog_set_window(agent->claimlog, conf->claims.window_ms);
}

static void
count_pool_member(void *ctx, const struct member *member)
{
    struct agent *agent = ctx;
    const struct settings_agent *settings = agent->options.settings;

    if (member->info.role != MEMBER_AGENT ||
        !str_equal(member->info.pool, settings->pool)) {
        return;
    }
    agent->pool_size++;
    agent->rank +=
        str_hash(member->info.name, 0) < str_hash(settings->common.name, 0);
}

/// Ranks the pool's agents by the hashes of their names, so that all agents
/// compute the same order.
static void
set_placement_target(struct agent *agent, const struct conf *conf,
                     int64_t version)
{
    const struct conf_pool *pool =
        conf_find_pool(conf, agent->options.settings->pool);

    if (pool == NULL || pool->kind != CONF_POOL_MODEL) {
        return;
    }
    agent->rank = 0;
    agent->pool_size = 0;
    members_each(membership_members(agent->membership), count_pool_member,
                 agent);
    placement_set_target(agent->placement, version, &pool->placement,
                         agent->rank, agent->pool_size);
}

/// A new version waits for the member list, since the rank depends on it.
static void
update_placement(struct agent *agent)
{
    int64_t version = configuration_version(agent->configuration);

    if (version > agent->placement_version &&
        membership_has_list(agent->membership)) {
        agent->placement_version = version;
        set_placement_target(agent, configuration_conf(agent->configuration),
                             version);
    }
    placement_tick(agent->placement);
}

static void
on_conf(void *ctx, const struct conf *conf, int64_t version)
{
    (void)version;
    apply_conf(ctx, conf);
}

static void
add_weight(void *ctx, const struct member *member)
{
    struct agent *agent = ctx;

    if (member->info.role == MEMBER_AGENT && !member->info.leaving &&
        member->use != MEMBER_UNUSABLE &&
        str_equal(member->info.pool, agent->options.settings->pool)) {
        agent->pool_weight += member->info.weight;
    }
}

static void
update_pool_weight(struct agent *agent)
{
    struct members *members = membership_members(agent->membership);
    uint32_t own = (uint32_t)agent->options.settings->slots;

    agent->pool_weight = 0;
    members_each(members, add_weight, agent);
    if (agent->pool_weight < own) {
        agent->pool_weight = own;
    }
    gate_set_pool(agent->gate, agent->pool_weight, own);
}

static void
on_member(void *ctx, const struct member *member)
{
    struct agent *agent = ctx;

    (void)member;
    if (agent->membership != NULL) {
        update_pool_weight(agent);
    }
}

static void
on_member_probe(void *ctx, const struct member *member)
{
    // Agents open no links; routers probe them.
    (void)ctx;
    (void)member;
}

static void
check_drained(struct agent *agent)
{
    if (agent->draining && !agent->drained && runs_active(agent->runs) == 0 &&
        runs_unacknowledged(agent->runs) == 0) {
        agent->drained = true;
        LOG_INFO("event=drained");
        agent->options.drained(agent->options.ctx);
    }
}

/// Marks links that carry runs as busy: only those are checked for silence.
static void
update_busy_links(struct agent *agent)
{
    int64_t now = clock_ms(agent->options.clock);
    struct linked_router *router;

    if (now < agent->next_busy_check_ms) {
        return;
    }
    agent->next_busy_check_ms = now + BUSY_CHECK_INTERVAL_MS;
    DL_FOREACH(agent->routers, router)
    {
        link_set_busy(router->link, runs_use_link(agent->runs, router->link));
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    struct agent *agent = ctx;

    (void)fd;
    (void)events;
    update_state(agent);
    gate_tick(agent->gate);
    runs_tick(agent->runs);
    update_pool_weight(agent);
    update_busy_links(agent);
    control_tick(agent->control);
    update_placement(agent);
    counter_set(&agent->counters, COUNTER_IN_FLIGHT, runs_active(agent->runs));
    log_flush();
    check_drained(agent);
}

static bool
is_ready(void *ctx, const char **why)
{
    const struct agent *agent = ctx;

    if (agent->draining) {
        *why = "draining\n";
        return false;
    }
    if (configuration_conf(agent->configuration) == NULL) {
        *why = "no configuration yet\n";
        return false;
    }
    if (gate_state(agent->gate) != AGENT_READY) {
        *why = "endpoint down\n";
        return false;
    }
    return true;
}

static char *
status_text(void *ctx)
{
    const struct agent *agent = ctx;
    struct load_report load = gate_load_report(agent->gate);
    json_t *json = json_pack(
        "{s:s%, s:s, s:I, s:i, s:i, s:i, s:i, s:i, s:I}", "name",
        agent->options.settings->common.name.data,
        agent->options.settings->common.name.len, "role", "agent", "version",
        (json_int_t)configuration_version(agent->configuration), "state",
        (int)load.state, "running", (int)load.running, "queued",
        (int)load.queued, "slots", (int)load.slots, "bound", (int)load.bound,
        "pool_in_flight", (json_int_t)gate_pool_in_flight(agent->gate));
    char *text = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}

static void
create_gate(struct agent *agent)
{
    const struct agent_options *options = &agent->options;
    const struct gate_options gate = {
        .clock = options->clock,
        .random = options->random,
        .slots = (uint32_t)options->settings->slots,
        .incarnation = options->incarnation,
        .bound_multiple = 1.25,
        .drift_margin = GATE_DRIFT_MARGIN,
        .report_max_age_ms = GATE_REPORT_MAX_AGE_MS,
        .queue_requests_max = 256,
        .queue_bytes_max = 32 * 1024 * 1024,
        .admitted = runs_admitted,
        .dropped = runs_dropped,
    };
    const struct quarantine_options quarantine = {
        .clock = options->clock,
        .strikes_max = 2,
        .hold_ms = 600000,
        .requests_max = QUARANTINE_REQUESTS_MAX,
    };

    const struct breaker_options breaker = {
        .clock = options->clock,
        .failures_max = BREAKER_FAILURES_MAX,
        .open_min_ms = BREAKER_OPEN_MIN_MS,
        .open_max_ms = BREAKER_OPEN_MAX_MS,
    };

    agent->endpoint_healthy = true;
    breaker_init(&agent->breaker, &breaker);
    agent->gate = gate_new(&gate);
    agent->quarantine = quarantine_new(&quarantine);
}

static void
create_endpoint(struct agent *agent)
{
    const struct agent_options *options = &agent->options;
    const struct http_client_options endpoint = {
        .base = options->base,
        .address = options->settings->endpoint,
        .idle_connections_max = IDLE_CONNECTIONS_MAX,
        .call_field = HTTP_CLIENT_CALL_FIELD,
        .header_bytes_max = HEADER_BYTES_MAX,
    };
    const struct probe_options probe = {
        .base = options->base,
        .endpoint = options->settings->endpoint,
        .probed = on_probed,
        .ctx = agent,
    };

    agent->endpoint = http_client_new(&endpoint);
    agent->probe = probe_new(&probe);
}

static void
create_placement(struct agent *agent)
{
    const struct placement_options placement = {
        .base = agent->options.base,
        .clock = agent->options.clock,
        .random = agent->options.random,
        .counters = &agent->counters,
        .configuration = agent->configuration,
        .endpoint = agent->options.settings->endpoint,
    };

    agent->placement = placement_new(&placement);
}

static void
create_controllers(struct agent *agent)
{
    const struct agent_options *options = &agent->options;
    const struct settings_common *common = &options->settings->common;
    struct platform_options platform = {
        .base = options->base,
        .address = common->platform,
        .counters = &agent->counters,
        .is_control_traffic = true,
        .timeout_ms = PLATFORM_TIMEOUT_MS,
    };
    struct claimlog_options claimlog = {
        .base = options->base,
        .clock = options->clock,
        .random = options->random,
        .counters = &agent->counters,
        .environment = common->environment,
        .shards = CLAIM_SHARDS,
        .window_ms = CLAIM_WINDOW_MS,
        .decided = runs_claimed,
    };
    struct configuration_options configuration = {
        .base = options->base,
        .clock = options->clock,
        .random = options->random,
        .counters = &agent->counters,
        .environment = common->environment,
        .name = common->name.data,
        .changed = on_conf,
        .ctx = agent,
    };
    struct membership_options membership = {
        .base = options->base,
        .clock = options->clock,
        .counters = &agent->counters,
        .changed = on_member,
        .removed = on_member,
        .probe = on_member_probe,
        .ctx = agent,
    };

    agent->platform = platform_new(&platform);
    // Claims are caller traffic and not part of the control budget.
    platform.is_control_traffic = false;
    agent->claims_platform = platform_new(&platform);
    claimlog.platform = agent->claims_platform;
    configuration.platform = agent->platform;
    membership.platform = agent->platform;
    agent->claimlog = claimlog_new(&claimlog);
    agent->configuration = configuration_new(&configuration);
    agent->membership = membership_new(&membership);
    create_placement(agent);
}

static void
create_runs(struct agent *agent)
{
    const struct runs_options runs = {
        .base = agent->options.base,
        .clock = agent->options.clock,
        .random = agent->options.random,
        .counters = &agent->counters,
        .gate = agent->gate,
        .endpoint = agent->endpoint,
        .claimlog = agent->claimlog,
        .quarantine = agent->quarantine,
        .window_bytes = ANSWER_WINDOW_BYTES,
        .body_bytes_max = BODY_BYTES_MAX,
        .reconnect_timeout_ms = RECONNECT_TIMEOUT_MS,
        .strike_added = on_strike_added,
        .endpoint_failed = on_endpoint_failed,
        .endpoint_succeeded = on_endpoint_succeeded,
        .ctx = agent,
    };

    agent->runs = runs_new(&runs);
}

static bool
create_control(struct agent *agent, struct err *err)
{
    const struct control_options control = {
        .base = agent->options.base,
        .clock = agent->options.clock,
        .random = agent->options.random,
        .counters = &agent->counters,
        .settings = &agent->options.settings->common,
        .incarnation = agent->options.incarnation,
        .members = membership_members(agent->membership),
        .configuration = agent->configuration,
        .quarantine = agent->quarantine,
    };

    agent->control = control_new(&control, err);
    if (agent->control == NULL) {
        return false;
    }
    publish_state(agent);
    return true;
}

static bool
listen_links(struct agent *agent, struct err *err)
{
    const struct address *address = &agent->options.settings->links;

    agent->link_options = (struct link_options){
        .base = agent->options.base,
        .clock = agent->options.clock,
        .random = agent->options.random,
        .counters = &agent->counters,
        .name = agent->options.settings->common.name.data,
        .role = "agent",
        .peer_role = "router",
        .incarnation = agent->options.incarnation,
        .keys = &agent->options.settings->common.keys,
        .heartbeat_interval_ms = LINK_HEARTBEAT_INTERVAL_MS,
        .receive_timeout_ms = LINK_RECEIVE_TIMEOUT_MS,
        .probe_timeout_ms = LINK_PROBE_TIMEOUT_MS,
        .handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS,
        .output_bytes_max = LINK_OUTPUT_BYTES_MAX,
        .ready = on_ready,
        .message = on_message,
        .closed = on_closed,
        .ctx = agent,
    };
    agent->listener = evconnlistener_new_bind(
        agent->options.base, on_accept, agent,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        (const struct sockaddr *)&address->storage, (int)address->len);
    if (agent->listener == NULL) {
        return err_set(err, ERR_IO, "bind", address->ip,
                       "cannot listen for links on %s port %d", address->ip,
                       address->port);
    }
    return address_of_socket(evconnlistener_get_fd(agent->listener),
                             &agent->links_address);
}

static void
start_tick(struct agent *agent)
{
    static const struct timeval interval = {.tv_usec = TICK_MS * 1000};

    agent->tick =
        event_new(agent->options.base, -1, EV_PERSIST, on_tick, agent);
    if (agent->tick == NULL) {
        BUG("out of memory");
    }
    event_add(agent->tick, &interval);
}

struct agent *
agent_new(const struct agent_options *options, struct err *err)
{
    struct agent *agent = xcalloc(1, sizeof(*agent));
    const struct admin_options admin = {
        .base = options->base,
        .address = options->settings->common.admin,
        .counters = &agent->counters,
        .is_ready = is_ready,
        .status = status_text,
        .ctx = agent,
    };

    agent->options = *options;
    agent->placement_version = HISTORY_NO_VERSION;
    create_gate(agent);
    create_endpoint(agent);
    create_controllers(agent);
    create_runs(agent);
    start_tick(agent);
    agent->admin = admin_new(&admin, err);
    if (agent->admin == NULL || !create_control(agent, err) ||
        !listen_links(agent, err)) {
        agent_free(agent);
        return NULL;
    }
    return agent;
}

void
agent_free(struct agent *agent)
{
    if (agent == NULL) {
        return;
    }
    while (agent->routers != NULL) {
        struct linked_router *router = agent->routers;

        DL_DELETE(agent->routers, router);
        link_close(router->link);
        free(router);
    }
    if (agent->listener != NULL) {
        evconnlistener_free(agent->listener);
    }
    admin_free(agent->admin);
    event_free(agent->tick);
    runs_free(agent->runs);
    control_free(agent->control);
    placement_free(agent->placement);
    membership_free(agent->membership);
    configuration_free(agent->configuration);
    claimlog_free(agent->claimlog);
    platform_free(agent->claims_platform);
    platform_free(agent->platform);
    probe_free(agent->probe);
    http_client_free(agent->endpoint);
    quarantine_free(agent->quarantine);
    gate_free(agent->gate);
    free(agent);
}

void
agent_drain(struct agent *agent)
{
    agent->draining = true;
    LOG_INFO("event=draining running=%zu", runs_active(agent->runs));
    set_state(agent, AGENT_LEAVING);
}

struct address
agent_links_address(const struct agent *agent)
{
    return agent->links_address;
}

struct address
agent_admin_address(const struct agent *agent)
{
    return admin_address(agent->admin);
}

struct address
agent_control_address(const struct agent *agent)
{
    return control_address(agent->control);
}

const struct counters *
agent_counters(const struct agent *agent)
{
    return &agent->counters;
}
