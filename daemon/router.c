#include "router.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <uthash.h>

#include "admin.h"
#include "configuration.h"
#include "control.h"
#include "core/xmalloc.h"
#include "dandelionvalve/quarantine.h"
#include "dandelionvalve/retry.h"
#include "dandelionvalve/route.h"
#include "membership.h"
#include "net/http.h"
#include "net/log.h"
#include "net/platform.h"
#include "peer.h"
#include "request.h"
#include "router_state.h"

#define LOG_MODULE "router"
#define TICK_MS 50
#define CALLER_SEND_BUFFER_BYTES (128 * 1024)
#define PLATFORM_TIMEOUT_MS 3000
#define PEER_REOPEN_TIMEOUT_MS 3000
#define PEER_REOPEN_INTERVAL_MS 200
#define QUARANTINE_REQUESTS_MAX 10000
#define IN_FLIGHT_UPDATE_MS 100
#define IN_FLIGHT_UPDATE_BYTES 70
#define IN_FLIGHT_REPEAT_MS 1000
#define IN_FLIGHT_UPDATES_PER_TICK 2

struct pool {
    char *name;
    struct route *route;
    UT_hash_handle hh;
};

struct account {
    char *name;
    uint32_t in_flight;
    UT_hash_handle hh;
};

struct router {
    struct router_options options;
    struct counters counters;
    struct evhttp *http;
    struct evhttp_bound_socket *socket;
    struct address callers_address;
    struct admin *admin;
    struct platform *platform;
    struct configuration *configuration;
    struct membership *membership;
    struct control *control;
    struct peers *peers;
    struct quarantine *quarantine;
    struct retry_budget retry_budget;
    struct pool *pools;
    struct account *accounts;
    struct request *requests;
    struct event *tick;
    struct event *drain_timer;
    int unsent_answers;
    bool draining;
    bool listener_closed;
    bool drained;
};

const struct conf *
router_conf(const struct router *router)
{
    return configuration_conf(router->configuration);
}

const struct clock *
router_clock(const struct router *router)
{
    return router->options.clock;
}

const struct random_source *
router_random(const struct router *router)
{
    return router->options.random;
}

struct counters *
router_counters(struct router *router)
{
    return &router->counters;
}

struct event_base *
router_base(const struct router *router)
{
    return router->options.base;
}

struct quarantine *
router_quarantine(struct router *router)
{
    return router->quarantine;
}

struct retry_budget *
router_retry_budget(struct router *router)
{
    return &router->retry_budget;
}

bool
router_is_draining(const struct router *router)
{
    return router->draining;
}

struct route *
router_pool(struct router *router, const char *name)
{
    const struct route_options options = {
        .clock = router->options.clock,
        .random = router->options.random,
        .refusal_backoff_ms = ROUTE_REFUSAL_BACKOFF_MS,
        .report_max_age_ms = ROUTE_REPORT_MAX_AGE_MS,
        .placements_max = ROUTE_PLACEMENTS_MAX,
        .rendezvous_places = ROUTE_RENDEZVOUS_PLACES,
        .refusals_max = ROUTE_REFUSALS_MAX,
    };
    struct pool *pool;

    HASH_FIND_STR(router->pools, name, pool);
    if (pool == NULL) {
        pool = xcalloc(1, sizeof(*pool));
        pool->name = xstrdup(name);
        pool->route = route_new(&options);
        HASH_ADD_KEYPTR(hh, router->pools, pool->name, strlen(pool->name),
                        pool);
    }
    return pool->route;
}

struct peer *
router_peer(struct router *router, struct str name)
{
    const struct member *member =
        members_find(membership_members(router->membership), name);

    if (member == NULL) {
        return peers_find(router->peers, name);
    }
    return peers_get(router->peers, name, member->info.address);
}

static struct account *
find_account(const struct router *router, const char *name)
{
    struct account *account;

    HASH_FIND_STR(router->accounts, name, account);
    return account;
}

uint32_t
router_account_in_flight(const struct router *router, const char *name)
{
    const struct account *account = find_account(router, name);

    return account != NULL ? account->in_flight : 0;
}

void
router_add(struct router *router, struct request *request)
{
    HASH_ADD(hh, router->requests, id, sizeof(request->id), request);
}

void
router_count_account(struct router *router, const char *name)
{
    struct account *account = find_account(router, name);

    if (account == NULL) {
        account = xcalloc(1, sizeof(*account));
        account->name = xstrdup(name);
        HASH_ADD_KEYPTR(hh, router->accounts, account->name,
                        strlen(account->name), account);
    }
    account->in_flight++;
}

static void
account_free(struct router *router, struct account *account)
{
    HASH_DEL(router->accounts, account);
    free(account->name);
    free(account);
}

static void
check_drained(struct router *router)
{
    if (router->listener_closed && !router->drained &&
        router->requests == NULL && router->unsent_answers == 0) {
        router->drained = true;
        LOG_INFO("event=drained");
        router->options.drained(router->options.ctx);
    }
}

void
router_remove(struct router *router, struct request *request)
{
    struct account *account = NULL;

    HASH_DEL(router->requests, request);
    if (request->account_counted) {
        account = find_account(router, request->policy.account_name);
    }
    if (account != NULL && --account->in_flight == 0) {
        account_free(router, account);
    }
}

void
router_adjust_unsent(struct router *router, int change)
{
    router->unsent_answers += change;
}

void
router_add_strike(struct router *router, uint64_t fingerprint,
                  uint32_t crash_id)
{
    if (!quarantine_strike(router->quarantine, fingerprint, crash_id)) {
        return;
    }
    counter_add(&router->counters, COUNTER_STRIKES, 1);
    LOG_WARNING("event=strike fingerprint=%016llx strikes=%u",
                (unsigned long long)fingerprint,
                quarantine_strikes(router->quarantine, fingerprint));
    control_publish_strike(router->control, fingerprint, crash_id);
}

size_t
router_requests(const struct router *router)
{
    return HASH_COUNT(router->requests);
}

const struct counters *
router_counters_const(const struct router *router)
{
    return &router->counters;
}

static const struct load_report *
message_load(const struct message *message)
{
    switch (message->type) {
    case MESSAGE_ACCEPT:
        return &message->accept.load;
    case MESSAGE_REFUSE:
        return &message->refuse.load;
    case MESSAGE_END:
        return &message->end.load;
    case MESSAGE_FAIL:
        return &message->fail.load;
    case MESSAGE_STATE:
        return &message->state.load;
    default:
        return NULL;
    }
}

static const struct attempt_id *
message_id(const struct message *message)
{
    switch (message->type) {
    case MESSAGE_ACCEPT:
        return &message->accept.id;
    case MESSAGE_REFUSE:
        return &message->refuse.id;
    case MESSAGE_HEAD:
        return &message->head.id;
    case MESSAGE_DATA:
        return &message->part.id;
    case MESSAGE_END:
        return &message->end.id;
    case MESSAGE_FAIL:
        return &message->fail.id;
    default:
        return NULL;
    }
}

static void
apply_load_report(struct router *router, struct str name,
                  const struct load_report *load)
{
    struct members *members = membership_members(router->membership);
    const struct member *member;

    members_update_state(members, name, load->incarnation, load->state);
    members_mark_reachable(members, name);
    member = members_find(members, name);
    if (member != NULL && member->info.pool.len > 0) {
        char *pool = str_dup(member->info.pool);

        route_record_load(router_pool(router, pool), name, load);
        free(pool);
    }
}

/// Cancels an attempt that this router no longer tracks, so that the agent
/// drops its buffered answer.
static void
cancel_untracked_attempt(struct router *router, struct peer *peer,
                         const struct message *message,
                         const struct attempt_id *id)
{
    struct message cancel = {.type = MESSAGE_CANCEL};

    counter_add(&router->counters, COUNTER_ANSWER_DROPPED, 1);
    if (message->type == MESSAGE_HEAD || message->type == MESSAGE_ACCEPT) {
        cancel.cancel.id = *id;
        cancel.cancel.in_flight = peer_in_flight_sent(peer);
        peer_send(peer, &cancel);
    }
}

static void
on_message(void *ctx, struct peer *peer, const struct message *message)
{
    struct router *router = ctx;
    const struct load_report *load = message_load(message);
    const struct attempt_id *id = message_id(message);
    struct request *request = NULL;

    if (load != NULL) {
        apply_load_report(router, peer_name(peer), load);
    }
    if (id == NULL) {
        return;
    }
    HASH_FIND(hh, router->requests, &id->request, sizeof(id->request),
              request);
    if (request == NULL || request->attempt != id->attempt ||
        request->peer != peer) {
        cancel_untracked_attempt(router, peer, message, id);
        return;
    }
    request_message(request, message);
}

static void
on_peer_ready(void *ctx, struct peer *peer)
{
    struct router *router = ctx;
    struct request *request, *next;

    members_mark_reachable(membership_members(router->membership),
                           peer_name(peer));
    HASH_ITER(hh, router->requests, request, next)
    {
        if (request->peer == peer) {
            request_link_ready(request);
        }
    }
}

static void
on_peer_broken(void *ctx, struct peer *peer)
{
    // The peer reopens the link itself if requests use it.
    (void)ctx;
    (void)peer;
}

static void
on_peer_unreachable(void *ctx, struct peer *peer)
{
    struct router *router = ctx;
    struct request *request, *next;

    members_mark_unreachable(membership_members(router->membership),
                             peer_name(peer));
    HASH_ITER(hh, router->requests, request, next)
    {
        if (request->peer == peer) {
            request_link_lost(request);
        }
    }
}

/// Marks a member as drained if the document drains it: a member may be listed
/// after that document came into force.
static void
apply_drain(struct router *router, const struct member *member)
{
    const struct conf *conf = configuration_conf(router->configuration);

    if (router->membership != NULL && conf != NULL && !member->drained &&
        conf_is_drained(conf, member->info.name)) {
        members_set_drained(membership_members(router->membership),
                            member->info.name, true);
    }
}

static void
on_member(void *ctx, const struct member *member)
{
    struct router *router = ctx;
    const struct route_endpoint_options endpoint = {
        .name = member->info.name,
        .weight = member->info.weight,
    };
    struct address address;
    struct err err = {0};
    struct route *route;
    char *pool;

    if (member->info.role != MEMBER_AGENT) {
        return;
    }
    if (!address_parse(member->info.address, &address, &err)) {
        LOG_WARNING("event=member-ignored member=" STR_FMT " reason=\"%s\"",
                    STR_ARG(member->info.name), err.message);
        return;
    }
    pool = str_dup(member->info.pool);
    route = router_pool(router, pool);
    apply_drain(router, member);
    route_add(route, &endpoint);
    route_set_use(route, member->info.name, member->use);
    peers_get(router->peers, member->info.name, member->info.address);
    free(pool);
}

static void
on_member_removed(void *ctx, const struct member *member)
{
    struct router *router = ctx;
    char *pool = str_dup(member->info.pool);

    route_remove(router_pool(router, pool), member->info.name);
    peers_remove(router->peers, member->info.name);
    free(pool);
}

static void
on_member_probe(void *ctx, const struct member *member)
{
    struct router *router = ctx;

    if (member->info.role == MEMBER_AGENT) {
        peer_open(
            peers_get(router->peers, member->info.name, member->info.address));
    }
}

struct drain_change {
    struct router *router;
    const struct conf *conf;
};

static void
apply_drained(void *ctx, const struct member *member)
{
    const struct drain_change *change = ctx;

    members_set_drained(membership_members(change->router->membership),
                        member->info.name,
                        conf_is_drained(change->conf, member->info.name));
}

static void
on_conf(void *ctx, const struct conf *conf, int64_t version)
{
    struct router *router = ctx;
    struct drain_change change = {router, conf};
    const struct retry_options retry = {
        .clock = router->options.clock,
        .window_ms = conf->retry.window_ms,
        .budget_percent = conf->retry.budget_percent,
    };

    (void)version;
    retry_set_options(&router->retry_budget, &retry);
    quarantine_set_options(router->quarantine,
                           (uint32_t)conf->quarantine.strikes,
                           conf->quarantine.hold_ms);
    members_each(membership_members(router->membership), apply_drained,
                 &change);
}

static bool
needs_in_flight_update(const struct peer *peer, uint32_t in_flight,
                       int64_t now)
{
    int64_t age = now - peer_in_flight_sent_ms(peer);

    if (peer_state(peer) != PEER_READY || age < IN_FLIGHT_UPDATE_MS) {
        return false;
    }
    return peer_in_flight_sent(peer) != in_flight ||
           (in_flight > 0 && age >= IN_FLIGHT_REPEAT_MS);
}

/// Sends this router's number of requests in flight to agents that have not
/// received it recently; they compute their load bound from it.
static void
send_in_flight_updates(struct router *router)
{
    int64_t now = clock_ms(router->options.clock);
    struct pool *pool;

    for (pool = router->pools; pool != NULL; pool = pool->hh.next) {
        struct message message = {.type = MESSAGE_IN_FLIGHT};
        size_t sent = 0;

        message.in_flight.in_flight = route_in_flight(pool->route);
        message.in_flight.pool_weight = route_usable_weight(pool->route);
        for (size_t i = 0;
             i < route_count(pool->route) && sent < IN_FLIGHT_UPDATES_PER_TICK;
             i++) {
            struct peer *peer =
                peers_find(router->peers, route_rotated_name(pool->route, i));

            if (peer == NULL || !needs_in_flight_update(
                                    peer, message.in_flight.in_flight, now)) {
                continue;
            }
            if (!control_reserve_bytes(router->control,
                                       IN_FLIGHT_UPDATE_BYTES)) {
                return;
            }
            peer_set_in_flight_sent(peer, message.in_flight.in_flight);
            peer_send(peer, &message);
            sent++;
        }
    }
}

static void
watch_caller_connections(struct router *router)
{
    struct request *request;

    for (request = router->requests; request != NULL;
         request = request->hh.next) {
        request_watch_close(request);
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    struct router *router = ctx;

    (void)fd;
    (void)events;
    watch_caller_connections(router);
    send_in_flight_updates(router);
    control_tick(router->control);
    counter_set(&router->counters, COUNTER_IN_FLIGHT, router_requests(router));
    log_flush();
    check_drained(router);
}

static void
on_request(struct evhttp_request *http, void *ctx)
{
    request_start(ctx, http);
}

static void
count_router(void *ctx, const struct member *member)
{
    size_t *count = ctx;

    *count += member->info.role == MEMBER_ROUTER;
}

/// While the log cannot be read, datagrams from a majority of the listed
/// routers suffice: the highest version among them is taken as the log's.
static bool
has_majority_version(const struct router *router)
{
    size_t listed = 0;

    members_each(membership_members(router->membership), count_router,
                 &listed);
    return listed > 1 &&
           2 * (control_router_count(router->control) + 1) > listed;
}

bool
router_is_ready(const struct router *router)
{
    return configuration_conf(router->configuration) != NULL &&
           membership_has_list(router->membership) &&
           (configuration_is_current(router->configuration) ||
            has_majority_version(router));
}

static bool
is_ready(void *ctx, const char **why)
{
    const struct router *router = ctx;

    if (router->draining) {
        *why = "draining\n";
        return false;
    }
    if (!router_is_ready(router)) {
        *why = "no configuration or no members yet\n";
        return false;
    }
    return true;
}

static char *
status_text(void *ctx)
{
    const struct router *router = ctx;
    const struct settings_common *common = &router->options.settings->common;
    json_t *json = json_pack(
        "{s:s%, s:s, s:I, s:b, s:i, s:i}", "name", common->name.data,
        common->name.len, "role", "router", "version",
        (json_int_t)configuration_version(router->configuration), "log_down",
        configuration_log_is_down(router->configuration), "members",
        (int)members_count(membership_members(router->membership)),
        "in_flight", (int)router_requests(router));
    char *text = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}

static void
create_peers(struct router *router)
{
    const struct router_options *options = &router->options;
    const struct peers_options peers = {
        .link =
            {
                .base = options->base,
                .clock = options->clock,
                .random = options->random,
                .counters = &router->counters,
                .name = options->settings->common.name.data,
                .role = "router",
                .peer_role = "agent",
                .incarnation = options->incarnation,
                .keys = &options->settings->common.keys,
                .heartbeat_interval_ms = LINK_HEARTBEAT_INTERVAL_MS,
                .receive_timeout_ms = LINK_RECEIVE_TIMEOUT_MS,
                .probe_timeout_ms = LINK_PROBE_TIMEOUT_MS,
                .handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS,
                .output_bytes_max = LINK_OUTPUT_BYTES_MAX,
            },
        .reopen_timeout_ms = PEER_REOPEN_TIMEOUT_MS,
        .reopen_interval_ms = PEER_REOPEN_INTERVAL_MS,
        .ready = on_peer_ready,
        .message = on_message,
        .broken = on_peer_broken,
        .unreachable = on_peer_unreachable,
        .ctx = router,
    };

    router->peers = peers_new(&peers);
}

static void
create_controllers(struct router *router)
{
    const struct router_options *options = &router->options;
    const struct settings_common *common = &options->settings->common;
    const struct platform_options platform = {
        .base = options->base,
        .address = common->platform,
        .counters = &router->counters,
        .is_control_traffic = true,
        .timeout_ms = PLATFORM_TIMEOUT_MS,
    };
    struct configuration_options configuration = {
        .base = options->base,
        .clock = options->clock,
        .random = options->random,
        .counters = &router->counters,
        .environment = common->environment,
        .name = common->name.data,
        .changed = on_conf,
        .ctx = router,
    };
    struct membership_options membership = {
        .base = options->base,
        .clock = options->clock,
        .counters = &router->counters,
        .changed = on_member,
        .removed = on_member_removed,
        .probe = on_member_probe,
        .ctx = router,
    };

    router->platform = platform_new(&platform);
    configuration.platform = router->platform;
    membership.platform = router->platform;
    router->configuration = configuration_new(&configuration);
    router->membership = membership_new(&membership);
}

static bool
create_control(struct router *router, struct err *err)
{
    const struct control_options control = {
        .base = router->options.base,
        .clock = router->options.clock,
        .random = router->options.random,
        .counters = &router->counters,
        .settings = &router->options.settings->common,
        .incarnation = router->options.incarnation,
        .members = membership_members(router->membership),
        .configuration = router->configuration,
        .quarantine = router->quarantine,
    };

    router->control = control_new(&control, err);
    return router->control != NULL;
}

static void
create_policies(struct router *router)
{
    const struct quarantine_options quarantine = {
        .clock = router->options.clock,
        .strikes_max = 2,
        .hold_ms = 600000,
        .requests_max = QUARANTINE_REQUESTS_MAX,
    };
    const struct retry_options retry = {
        .clock = router->options.clock,
        .window_ms = 10000,
        .budget_percent = 10,
    };

    router->quarantine = quarantine_new(&quarantine);
    retry_init(&router->retry_budget, &retry);
}

static bool
listen_callers(struct router *router, struct err *err)
{
    const struct settings_router *settings = router->options.settings;
    const int send_buffer = CALLER_SEND_BUFFER_BYTES;
    int fd;

    router->http = evhttp_new(router->options.base);
    if (router->http == NULL) {
        BUG("out of memory");
    }
    evhttp_set_max_headers_size(router->http,
                                (ev_ssize_t)settings->header_bytes_max);
    evhttp_set_max_body_size(router->http,
                             (ev_ssize_t)settings->body_bytes_max);
    evhttp_set_timeout(router->http, (int)settings->caller_timeout_s);
    evhttp_set_allowed_methods(
        router->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                          EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                          EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(router->http, on_request, router);
    router->socket = evhttp_bind_socket_with_handle(
        router->http, settings->callers.ip, settings->callers.port);
    if (router->socket == NULL) {
        return err_set(err, ERR_IO, "bind", settings->callers.ip,
                       "cannot listen for callers on %s port %d",
                       settings->callers.ip, settings->callers.port);
    }
    fd = evhttp_bound_socket_get_fd(router->socket);
    // Accepted sockets inherit the size, which limits the kernel memory that
    // a slow caller uses.
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof(send_buffer));
    return address_of_socket(fd, &router->callers_address);
}

static void
start_tick(struct router *router)
{
    static const struct timeval interval = {.tv_usec = TICK_MS * 1000};

    router->tick =
        event_new(router->options.base, -1, EV_PERSIST, on_tick, router);
    if (router->tick == NULL) {
        BUG("out of memory");
    }
    event_add(router->tick, &interval);
}

struct router *
router_new(const struct router_options *options, struct err *err)
{
    struct router *router = xcalloc(1, sizeof(*router));
    const struct admin_options admin = {
        .base = options->base,
        .address = options->settings->common.admin,
        .counters = &router->counters,
        .is_ready = is_ready,
        .status = status_text,
        .ctx = router,
    };

    router->options = *options;
    create_policies(router);
    create_peers(router);
    create_controllers(router);
    start_tick(router);
    router->admin = admin_new(&admin, err);
    if (router->admin == NULL || !create_control(router, err) ||
        !listen_callers(router, err)) {
        router_free(router);
        return NULL;
    }
    return router;
}

void
router_free(struct router *router)
{
    struct request *request, *next_request;
    struct pool *pool, *next_pool;
    struct account *account, *next_account;

    if (router == NULL) {
        return;
    }
    HASH_ITER(hh, router->requests, request, next_request)
    {
        request_discard(request);
    }
    if (router->http != NULL) {
        evhttp_free(router->http);
    }
    admin_free(router->admin);
    event_free(router->tick);
    if (router->drain_timer != NULL) {
        event_free(router->drain_timer);
    }
    control_free(router->control);
    membership_free(router->membership);
    configuration_free(router->configuration);
    platform_free(router->platform);
    peers_free(router->peers);
    quarantine_free(router->quarantine);
    HASH_ITER(hh, router->pools, pool, next_pool)
    {
        HASH_DEL(router->pools, pool);
        route_free(pool->route);
        free(pool->name);
        free(pool);
    }
    HASH_ITER(hh, router->accounts, account, next_account)
    {
        account_free(router, account);
    }
    free(router);
}

static void
on_drain_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct router *router = ctx;

    (void)fd;
    (void)events;
    evhttp_del_accept_socket(router->http, router->socket);
    router->listener_closed = true;
    LOG_INFO("event=listener-closed in_flight=%zu", router_requests(router));
}

void
router_drain(struct router *router)
{
    int64_t wait_ms = router->options.settings->drain_wait_ms;
    const struct timeval wait = {
        .tv_sec = wait_ms / 1000,
        .tv_usec = wait_ms % 1000 * 1000,
    };

    if (router->draining) {
        return;
    }
    router->draining = true;
    LOG_INFO("event=draining in_flight=%zu", router_requests(router));
    router->drain_timer =
        event_new(router->options.base, -1, 0, on_drain_timer, router);
    if (router->drain_timer == NULL) {
        BUG("out of memory");
    }
    event_add(router->drain_timer, &wait);
}

struct address
router_callers_address(const struct router *router)
{
    return router->callers_address;
}

struct address
router_control_address(const struct router *router)
{
    return control_address(router->control);
}

struct address
router_admin_address(const struct router *router)
{
    return admin_address(router->admin);
}
