#include "mesh.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <utlist.h>

#include "core/readers.h"
#include "core/xmalloc.h"
#include "mesh_private.h"
#include "net/log.h"
#include "relay.h"

#define LOG_MODULE "mesh"

#define TICK_MS 100
#define LINK_TICK_MS 500
#define DIAL_BACKOFF_MIN_MS 300
#define DIAL_BACKOFF_MAX_MS 5000
/// An address without a link for this long is dropped: its router has been
/// replaced.
#define TARGET_EXPIRY_MS 60000
/// A drop in the number of linked routers lowers the fleet size only after
/// this time.
#define FLEET_SIZE_HOLD_MS 30000
#define LISTEN_BACKLOG 64
/// Peers that a copy of streams is sent to.
#define STREAM_COPIES ((size_t)3)
/// A router that has reported no load for this long has no traffic.
#define TRAFFIC_HOLD_MS 10000
/// Time in which routers whose traffic has begun at the same moment know this
/// of each other.
#define TRAFFIC_SETTLE_MS 1500
/// Time for which a router whose link was lost is presumed to go on.
#define UNLINKED_HOLD_MS 5000

int64_t
mesh_now_ms(const struct mesh *mesh)
{
    return clock_ms(mesh->options.clock);
}

struct peer *
mesh_find_peer(const struct mesh *mesh, const struct link *link)
{
    struct peer *peer;

    LL_SEARCH_SCALAR(mesh->peers, peer, link, link);
    return peer;
}

int64_t
mesh_report_interval_ms(const struct mesh *mesh)
{
    return MESH_REPORT_MS +
           MESH_REPORT_MS_PER_PEER * (int64_t)mesh->peer_count;
}

bool
mesh_is_current(const struct peer *peer)
{
    return link_version(peer->link) >= MESSAGE_VERSION_BEATS;
}

/// Identifies a router's process.
static uint64_t
process_id(struct str name, uint64_t incarnation)
{
    return str_hash(name, incarnation);
}

static bool
is_linked(const struct mesh *mesh, const char *address)
{
    const struct peer *peer;

    LL_FOREACH(mesh->peers, peer)
    {
        if (!strcmp(peer->address, address)) {
            return true;
        }
    }
    return false;
}

static void
send_own_address(struct mesh *mesh, struct link *link)
{
    link_send(link, &(struct message){
                        .type = MESSAGE_ROUTER,
                        .router.address = str_from(mesh->own_address),
                    });
}

static void
on_ready(void *ctx, struct link *link)
{
    struct mesh *mesh = ctx;
    struct peer *peer = xcalloc(1, sizeof(*peer));
    const struct peer *other;

    peer->link = link;
    peer->id = process_id(link_peer_name(link), link_peer_incarnation(link));
    peer->traffic_ms = mesh_now_ms(mesh);
    link_set_busy(link, true);
    send_own_address(mesh, link);
    relay_peer_ready(mesh, link);
    LL_FOREACH(mesh->peers, other)
    {
        if (other->address[0] != '\0') {
            link_send(link, &(struct message){
                                .type = MESSAGE_ROUTER,
                                .router.address = str_from(other->address),
                            });
        }
    }
    LL_PREPEND(mesh->peers, peer);
    mesh->peer_count++;
    mesh->options.peer_ready(mesh->options.ctx, link);
}

uint64_t
mesh_id(const struct mesh *mesh)
{
    return mesh->id;
}

static bool
writes_streams(const struct peer *peer)
{
    return link_version(peer->link) >= MESSAGE_VERSION_ERAS;
}

size_t
mesh_stream_writers(const struct mesh *mesh, uint64_t *ids, size_t max)
{
    const struct peer *peer;
    size_t count = 0;

    LL_FOREACH(mesh->peers, peer)
    {
        if (count < max && writes_streams(peer)) {
            ids[count++] = peer->id;
        }
    }
    return count;
}

static void
send_to(struct mesh *mesh, uint64_t id, const struct message *message)
{
    struct peer *peer;

    LL_SEARCH_SCALAR(mesh->peers, peer, id, id);
    if (peer != NULL) {
        link_send(peer->link, message);
    }
}

void
mesh_send_streams(struct mesh *mesh, uint64_t peer, uint64_t number,
                  struct str batch)
{
    send_to(mesh, peer,
            &(struct message){.type = MESSAGE_STREAMS,
                              .streams = {number, batch}});
}

void
mesh_send_streams_written(struct mesh *mesh, uint64_t peer, uint64_t number,
                          bool done)
{
    send_to(mesh, peer,
            &(struct message){.type = MESSAGE_STREAMS_WRITTEN,
                              .streams_written = {number, done}});
}

size_t
mesh_find_streams(struct mesh *mesh, uint64_t number, struct str ids)
{
    const struct message message = {
        .type = MESSAGE_FIND_STREAMS,
        .find_streams = {number, ids},
    };
    struct peer *peer;
    size_t count = 0;

    LL_FOREACH(mesh->peers, peer)
    {
        if (link_version(peer->link) >= MESSAGE_VERSION_FINDS) {
            link_send(peer->link, &message);
            count++;
        }
    }
    return count;
}

void
mesh_send_found(struct mesh *mesh, uint64_t peer, uint64_t number,
                struct str batch)
{
    send_to(mesh, peer,
            &(struct message){.type = MESSAGE_FOUND_STREAMS,
                              .streams = {number, batch}});
}

void
mesh_copy_streams(struct mesh *mesh, struct str batch)
{
    const struct message message = {
        .type = MESSAGE_FOUND_STREAMS,
        .streams = {0, batch},
    };
    size_t first = mesh->peer_count > 0
                       ? mesh->copies * STREAM_COPIES % mesh->peer_count
                       : 0;
    size_t index = 0;
    struct peer *peer;

    mesh->copies++;
    LL_FOREACH(mesh->peers, peer)
    {
        size_t behind = (index + mesh->peer_count - first) % mesh->peer_count;

        if (behind < STREAM_COPIES &&
            link_version(peer->link) >= MESSAGE_VERSION_FINDS) {
            link_send(peer->link, &message);
        }
        index++;
    }
}

void
mesh_peer_free(struct peer *peer)
{
    if (peer->parts != NULL) {
        evbuffer_free(peer->parts);
    }
    free(peer);
}

static void
remove_link(struct mesh *mesh, struct link *link)
{
    struct peer *peer = mesh_find_peer(mesh, link);
    struct target *target;

    LL_SEARCH_SCALAR(mesh->targets, target, link, link);
    if (target != NULL) {
        bool refused = peer == NULL && target->version == 0 &&
                       link_version(link) >= MESSAGE_VERSION &&
                       link_version(link) < MESSAGE_VERSION_ROUTERS;

        // A peer of an earlier version refuses the present one. It is offered
        // again when its link has been lost: it may have been replaced.
        target->version = refused ? link_version(link) : 0;
        target->link = NULL;
        target->dial_ms =
            mesh_now_ms(mesh) + (refused ? 0 : target->backoff_ms);
    }
    if (peer != NULL) {
        uint64_t id = peer->id;

        LL_DELETE(mesh->peers, peer);
        mesh->peer_count--;
        mesh_peer_free(peer);
        LL_SEARCH_SCALAR(mesh->peers, peer, id, id);
        if (peer == NULL) {
            relay_peer_lost(mesh, id);
            mesh->options.peer_lost(mesh->options.ctx, id);
        }
    }
}

static void
on_closed(void *ctx, struct link *link, const struct err *err)
{
    struct mesh *mesh = ctx;
    const struct peer *peer = mesh_find_peer(mesh, link);
    char address[ADDRESS_TEXT_BYTES] = "";

    if (peer != NULL) {
        snprintf(address, sizeof(address), "%s", peer->address);
    }
    remove_link(mesh, link);
    // Closing a duplicate link is no loss of the router.
    if (address[0] != '\0' && !is_linked(mesh, address)) {
        LOG_WARNING("event=dependency-lost dependency=router peer=" STR_FMT
                    " address=%s detail=\"%s\"",
                    STR_ARG(link_peer_name(link)), address, err->message);
    }
}

/// Two routers that dial each other at the same time have two links. The
/// router with the lesser address closes the one that it has not dialed.
static void
close_duplicate_link(struct mesh *mesh, struct peer *peer)
{
    struct peer *other, *next;
    struct target *target;

    LL_FOREACH_SAFE(mesh->peers, other, next)
    {
        struct peer *duplicate;
        bool dialed;

        if (other == peer || other->id != peer->id) {
            continue;
        }
        if (strcmp(mesh->own_address, peer->address) >= 0) {
            continue;
        }
        LL_SEARCH_SCALAR(mesh->targets, target, link, peer->link);
        dialed = target != NULL;
        duplicate = dialed ? other : peer;
        link_close(duplicate->link);
        remove_link(mesh, duplicate->link);
        return;
    }
}

static void
handle_router(struct mesh *mesh, struct link *link, struct str text)
{
    struct peer *peer = mesh_find_peer(mesh, link);
    struct address address;
    struct err err = {0};
    char copy[ADDRESS_TEXT_BYTES];

    if (!address_parse(text, &address, &err)) {
        LOG_WARNING("event=router-rejected peer=" STR_FMT " detail=\"%s\"",
                    STR_ARG(link_peer_name(link)), err.message);
        return;
    }
    snprintf(copy, sizeof(copy), STR_FMT, STR_ARG(text));
    if (peer != NULL && peer->address[0] == '\0') {
        snprintf(peer->address, sizeof(peer->address), "%s", copy);
        LOG_INFO("event=dependency-regained dependency=router peer=" STR_FMT
                 " address=%s routers=%zu",
                 STR_ARG(link_peer_name(link)), copy,
                 mesh_linked_count(mesh) + 1);
        close_duplicate_link(mesh, peer);
    }
    mesh_add(mesh, &address);
}

/// False if the message is none of those about streams.
static bool
handle_streams(struct mesh *mesh, const struct peer *peer,
               const struct message *message)
{
    const struct mesh_options *options = &mesh->options;

    if (message->type != MESSAGE_STREAMS &&
        message->type != MESSAGE_STREAMS_WRITTEN &&
        message->type != MESSAGE_FIND_STREAMS &&
        message->type != MESSAGE_FOUND_STREAMS) {
        return false;
    }
    if (peer == NULL) {
        return true;
    }
    if (message->type == MESSAGE_STREAMS) {
        options->streams(options->ctx, peer->id, message->streams.number,
                         message->streams.batch);
    }
    else if (message->type == MESSAGE_STREAMS_WRITTEN) {
        options->streams_written(options->ctx, peer->id,
                                 message->streams_written.number,
                                 message->streams_written.done);
    }
    else if (message->type == MESSAGE_FIND_STREAMS) {
        options->find_streams(options->ctx, peer->id,
                              message->find_streams.number,
                              message->find_streams.ids);
    }
    else {
        options->found_streams(options->ctx, message->streams.number,
                               message->streams.batch);
    }
    return true;
}

static void
on_message(void *ctx, struct link *link, const struct message *message)
{
    struct mesh *mesh = ctx;
    struct peer *peer = mesh_find_peer(mesh, link);

    if (relay_message(mesh, link, message) ||
        handle_streams(mesh, peer, message)) {
        return;
    }
    switch (message->type) {
    case MESSAGE_ROUTER:
        handle_router(mesh, link, message->router.address);
        return;
    case MESSAGE_LOADS:
        if (peer != NULL) {
            peer->traffic_ms = mesh_now_ms(mesh);
            mesh->options.loads(mesh->options.ctx, peer->id,
                                message->loads.items, message->loads.count);
        }
        return;
    case MESSAGE_SHARES:
        if (peer != NULL) {
            mesh->options.shares(mesh->options.ctx, peer->id,
                                 message->shares.items, message->shares.count);
        }
        return;
    case MESSAGE_PLACED:
        for (size_t i = 0; i < message->placed.count; i++) {
            mesh->options.placement(mesh->options.ctx,
                                    &message->placed.items[i]);
        }
        return;
    case MESSAGE_WANT_CONTEXTS:
        mesh->options.contexts_requested(mesh->options.ctx, link);
        return;
    case MESSAGE_CONTEXTS:
        mesh->options.contexts(mesh->options.ctx, message->contexts.items,
                               message->contexts.count);
        return;
    case MESSAGE_DOWN:
    case MESSAGE_FAILING:
        mesh->options.endpoint_failed(mesh->options.ctx,
                                      message->down.endpoint,
                                      message->type == MESSAGE_DOWN);
        return;
    case MESSAGE_BLAMES:
        for (size_t i = 0; i < message->blames.count; i++) {
            mesh->options.blame(mesh->options.ctx, &message->blames.items[i]);
        }
        return;
    case MESSAGE_ANSWERED:
        mesh->options.answered(mesh->options.ctx, message->answered.parts,
                               message->answered.count);
        return;
    case MESSAGE_RATES:
        mesh->options.rates(mesh->options.ctx, message->rates.items,
                            message->rates.count);
        return;
    case MESSAGE_BUSY:
        mesh->options.busy(mesh->options.ctx, message->busy.items,
                           message->busy.count);
        return;
    case MESSAGE_STRIKE:
        mesh->options.strike(mesh->options.ctx, message->strike.fingerprint,
                             message->strike.crash_id);
        return;
    default:
        LOG_WARNING("event=message-unexpected peer=" STR_FMT " type=%s",
                    STR_ARG(link_peer_name(link)),
                    message_type_name(message->type));
    }
}

static void
on_output_written(void *ctx, struct link *link)
{
    (void)ctx;
    (void)link;
}

static void
dial_target(struct mesh *mesh, struct target *target, int64_t now_ms)
{
    target->backoff_ms = 2 * target->backoff_ms < DIAL_BACKOFF_MAX_MS
                             ? 2 * target->backoff_ms
                             : DIAL_BACKOFF_MAX_MS;
    target->dial_ms = now_ms + target->backoff_ms / 2 +
                      (int64_t)random_below(mesh->options.random,
                                            (uint64_t)target->backoff_ms);
    target->link =
        link_connect(&mesh->link_options, &target->address, target->version);
}

/// Updates which addresses are linked and drops expired ones. Returns the
/// number of links dialed by this router; `address_count` is set to the number
/// of addresses.
static size_t
refresh_targets(struct mesh *mesh, int64_t now_ms, size_t *address_count)
{
    struct target *target, *next;
    size_t dialed = 0;

    *address_count = 0;
    LL_FOREACH_SAFE(mesh->targets, target, next)
    {
        dialed += target->link != NULL ? 1 : 0;
        if (target->link != NULL || is_linked(mesh, target->text)) {
            target->last_seen_ms = now_ms;
            target->backoff_ms = DIAL_BACKOFF_MIN_MS;
        }
        else if (now_ms - target->last_seen_ms > TARGET_EXPIRY_MS) {
            LL_DELETE(mesh->targets, target);
            free(target);
            continue;
        }
        (*address_count)++;
    }
    return dialed;
}

/// The next address to dial: the lowest rank that is due and not linked.
static struct target *
next_target(struct mesh *mesh, int64_t now_ms)
{
    struct target *target, *best = NULL;

    LL_FOREACH(mesh->targets, target)
    {
        if (target->link == NULL && now_ms >= target->dial_ms &&
            !is_linked(mesh, target->text) &&
            (best == NULL || target->rank < best->rank)) {
            best = target;
        }
    }
    return best;
}

static void
dial(struct mesh *mesh)
{
    int64_t now_ms = mesh_now_ms(mesh);
    size_t address_count;
    size_t dialed = refresh_targets(mesh, now_ms, &address_count);
    size_t wanted = address_count <= MESH_FULL_ROUTERS_MAX ? address_count
                                                           : MESH_DIALED_MAX;

    while (dialed < wanted) {
        struct target *target = next_target(mesh, now_ms);

        if (target == NULL) {
            return;
        }
        dial_target(mesh, target, now_ms);
        dialed++;
    }
}

static void
update_fleet_size(struct mesh *mesh, int64_t now_ms)
{
    size_t known = mesh_known_count(mesh);
    // Beyond a full mesh the links show only some of the routers.
    size_t count =
        known > MESH_FULL_ROUTERS_MAX ? known : mesh_linked_count(mesh) + 1;

    if (count >= mesh->fleet_size ||
        now_ms - mesh->fleet_size_ms > FLEET_SIZE_HOLD_MS) {
        mesh->fleet_size = count;
        mesh->fleet_size_ms = now_ms;
    }
}

/// True if the router at this address may send requests at present.
static bool
has_traffic(const struct mesh *mesh, const struct target *target,
            int64_t now_ms)
{
    const struct peer *peer;

    LL_FOREACH(mesh->peers, peer)
    {
        if (!strcmp(peer->address, target->text)) {
            return now_ms - peer->traffic_ms < TRAFFIC_HOLD_MS;
        }
    }
    return now_ms - target->last_seen_ms < UNLINKED_HOLD_MS;
}

static void
update_rivals(struct mesh *mesh, int64_t now_ms)
{
    const struct target *target;
    bool knows_traffic;

    if (now_ms - mesh->traffic.last_ms >= TRAFFIC_HOLD_MS) {
        mesh->traffic.begun_ms = 0;
    }
    // Beyond a full mesh, most routers report nothing to this one.
    knows_traffic = !mesh_relays_reports(mesh) &&
                    mesh->traffic.begun_ms != 0 &&
                    now_ms - mesh->traffic.begun_ms >= TRAFFIC_SETTLE_MS;
    mesh->rival_count = 0;
    LL_FOREACH(mesh->targets, target)
    {
        if (knows_traffic && !has_traffic(mesh, target, now_ms)) {
            continue;
        }
        if (mesh->rival_count == mesh->rival_max) {
            mesh->rival_max = 2 * mesh->rival_max + 16;
            mesh->rivals = xrealloc(mesh->rivals,
                                    mesh->rival_max * sizeof(*mesh->rivals));
        }
        mesh->rivals[mesh->rival_count++] =
            str_hash(str_from(target->text), 0);
    }
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    struct mesh *mesh = ctx;
    int64_t now_ms = mesh_now_ms(mesh);

    (void)fd;
    (void)events;
    dial(mesh);
    mesh_flush(mesh);
    update_rivals(mesh, now_ms);
    update_fleet_size(mesh, now_ms);
    relay_tick(mesh);
    if (now_ms >= mesh->next_report_ms) {
        mesh->next_report_ms = now_ms + mesh_report_interval_ms(mesh);
        mesh_send_reports(mesh);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *ctx)
{
    struct mesh *mesh = ctx;

    (void)listener;
    (void)len;
    if (mesh->peer_count >= MESH_ACCEPTED_MAX) {
        evutil_closesocket(fd);
        return;
    }
    link_accept(&mesh->link_options, fd, address);
}

static void
on_accept_failed(struct evconnlistener *listener, void *ctx)
{
    struct mesh *mesh = ctx;

    (void)listener;
    accept_pause_begin(&mesh->accept_pause, mesh->options.counters);
}

struct mesh *
mesh_new(const struct mesh_options *options, struct err *err)
{
    static const struct timeval tick = {.tv_usec = TICK_MS * 1000};
    struct mesh *mesh = xcalloc(1, sizeof(*mesh));
    struct address bound;

    mesh->options = *options;
    mesh->fleet_size = 1;
    mesh->started_ms = clock_ms(options->clock);
    mesh->id = process_id(str_from(options->name), options->incarnation);
    mesh->readers = readers_new(mesh->id);
    mesh->link_options = (struct link_options){
        .base = options->base,
        .clock = options->clock,
        .random = options->random,
        .counters = options->counters,
        .memory = options->memory,
        .name = options->name,
        .role = "router",
        .peer_role = "router",
        .incarnation = options->incarnation,
        .version = MESSAGE_VERSION_ROUTERS,
        .keys = options->keys,
        .heartbeat_interval_ms = LINK_HEARTBEAT_INTERVAL_MS,
        .receive_timeout_ms = LINK_RECEIVE_TIMEOUT_MS,
        .probe_timeout_ms = LINK_PROBE_TIMEOUT_MS,
        .handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS,
        .output_bytes_max = LINK_OUTPUT_BYTES_MAX,
        .tick_ms = LINK_TICK_MS,
        .ready = on_ready,
        .message = on_message,
        .closed = on_closed,
        .output_written = on_output_written,
        .ctx = mesh,
    };
    mesh->listener = evconnlistener_new_bind(
        options->base, on_accept, mesh,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        LISTEN_BACKLOG, (const struct sockaddr *)&options->address.storage,
        (int)options->address.len);
    if (mesh->listener == NULL) {
        err_set(err, ERR_IO, "bind", options->address.ip,
                "cannot listen for routers at %s:%u", options->address.ip,
                options->address.port);
        readers_free(mesh->readers);
        free(mesh);
        return NULL;
    }
    evconnlistener_set_error_cb(mesh->listener, on_accept_failed);
    accept_pause_init(&mesh->accept_pause, options->base, mesh->listener);
    address_of_socket(evconnlistener_get_fd(mesh->listener), &bound);
    address_format((const struct sockaddr *)&bound.storage, mesh->own_address);
    mesh->own_hash = str_hash(str_from(mesh->own_address), 0);
    mesh->rank_seed = str_hash(str_from(mesh->own_address), 1);
    mesh->tick = event_new(options->base, -1, EV_PERSIST, on_tick, mesh);
    event_add(mesh->tick, &tick);
    return mesh;
}

void
mesh_free(struct mesh *mesh)
{
    struct target *target, *next;
    struct peer *peer, *next_peer;

    if (mesh == NULL) {
        return;
    }
    event_free(mesh->tick);
    accept_pause_destroy(&mesh->accept_pause);
    evconnlistener_free(mesh->listener);
    LL_FOREACH_SAFE(mesh->peers, peer, next_peer)
    {
        struct link *link = peer->link;

        remove_link(mesh, link);
        link_close(link);
    }
    LL_FOREACH_SAFE(mesh->targets, target, next)
    {
        if (target->link != NULL) {
            link_close(target->link);
        }
        free(target);
    }
    readers_free(mesh->readers);
    free((char *)mesh->packed.value.data);
    free(mesh->rivals);
    free(mesh);
}

void
mesh_add(struct mesh *mesh, const struct address *address)
{
    char text[ADDRESS_TEXT_BYTES];
    struct target *target;

    address_format((const struct sockaddr *)&address->storage, text);
    if (!strcmp(text, mesh->own_address)) {
        return;
    }
    LL_FOREACH(mesh->targets, target)
    {
        if (!strcmp(target->text, text)) {
            target->last_seen_ms = mesh_now_ms(mesh);
            return;
        }
    }
    target = xcalloc(1, sizeof(*target));
    target->address = *address;
    target->backoff_ms = DIAL_BACKOFF_MIN_MS;
    target->last_seen_ms = mesh_now_ms(mesh);
    target->rank = str_hash(str_from(text), mesh->rank_seed);
    snprintf(target->text, sizeof(target->text), "%s", text);
    LL_PREPEND(mesh->targets, target);
}

void
mesh_send_down(struct mesh *mesh, uint64_t endpoint)
{
    mesh_broadcast(mesh,
                   &(struct message){
                       .type = MESSAGE_DOWN,
                       .down.endpoint = endpoint,
                   },
                   MESSAGE_VERSION);
}

void
mesh_send_down_to(struct link *link, uint64_t endpoint)
{
    link_send(link, &(struct message){
                        .type = MESSAGE_DOWN,
                        .down.endpoint = endpoint,
                    });
}

void
mesh_send_failing(struct mesh *mesh, uint64_t endpoint)
{
    mesh_broadcast(mesh,
                   &(struct message){
                       .type = MESSAGE_FAILING,
                       .down.endpoint = endpoint,
                   },
                   MESSAGE_VERSION_SHARES);
}

void
mesh_send_strike(struct mesh *mesh, uint64_t fingerprint, uint32_t crash_id)
{
    mesh_broadcast(mesh,
                   &(struct message){
                       .type = MESSAGE_STRIKE,
                       .strike.fingerprint = fingerprint,
                       .strike.crash_id = crash_id,
                   },
                   MESSAGE_VERSION);
}

bool
mesh_request_contexts(struct mesh *mesh)
{
    struct peer *peer;
    size_t skip;

    if (mesh->peer_count == 0) {
        return false;
    }
    skip = random_below(mesh->options.random, mesh->peer_count);
    LL_FOREACH(mesh->peers, peer)
    {
        if (skip-- == 0) {
            link_send(peer->link,
                      &(struct message){.type = MESSAGE_WANT_CONTEXTS});
            return true;
        }
    }
    return false;
}

void
mesh_send_contexts(struct mesh *mesh, struct link *link,
                   const struct message_context *items, size_t count)
{
    const struct message message = {
        .type = MESSAGE_CONTEXTS,
        .contexts.items = items,
        .contexts.count = count,
    };

    if (link != NULL) {
        link_send(link, &message);
        return;
    }
    mesh_broadcast(mesh, &message, MESSAGE_VERSION);
}

bool
mesh_is_ranked_among(const struct mesh *mesh, uint64_t key, size_t count)
{
    uint64_t own = str_hash(str_from(mesh->own_address), key);
    const struct target *target;
    size_t before = 0;

    LL_FOREACH(mesh->targets, target)
    {
        before += str_hash(str_from(target->text), key) < own ? 1 : 0;
    }
    return before < count;
}

/// Cheaper than a hash of the address for each key.
static uint64_t
rank_score(uint64_t router, uint64_t key)
{
    const uint64_t pair[] = {router, key};

    return str_hash((struct str){(const char *)pair, sizeof(pair)}, 0);
}

size_t
mesh_rank(const struct mesh *mesh, uint64_t key, size_t *routers)
{
    uint64_t own = rank_score(mesh->own_hash, key);
    size_t before = 0;

    for (size_t i = 0; i < mesh->rival_count; i++) {
        before += rank_score(mesh->rivals[i], key) < own ? 1 : 0;
    }
    *routers = mesh->rival_count + 1;
    return before;
}

bool
mesh_relays_reports(const struct mesh *mesh)
{
    return mesh_known_count(mesh) > MESH_FULL_ROUTERS_MAX;
}

void
mesh_set_draining(struct mesh *mesh)
{
    mesh->draining = true;
}

size_t
mesh_linked_count(const struct mesh *mesh)
{
    const struct peer *peer, *other;
    size_t count = 0;

    LL_FOREACH(mesh->peers, peer)
    {
        LL_FOREACH(mesh->peers, other)
        {
            if (other == peer || other->id == peer->id) {
                break;
            }
        }
        count += other == peer ? 1 : 0;
    }
    return count;
}

size_t
mesh_known_count(const struct mesh *mesh)
{
    const struct target *target;
    size_t count;

    LL_COUNT(mesh->targets, target, count);
    return count + 1;
}

size_t
mesh_fleet_size(const struct mesh *mesh)
{
    return mesh->fleet_size;
}
