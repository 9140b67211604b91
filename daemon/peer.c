#include "peer.h"

#include <stdlib.h>

#include <event2/event.h>
#include <uthash.h>

#include "core/xmalloc.h"
#include "net/log.h"

#define LOG_MODULE "peer"

struct peer {
    struct peers *peers;
    struct str name;
    struct str address;
    struct link *link;
    struct event *reopen_timer;
    bool was_ready;
    bool retried_timeout;
    int64_t broken_ms; ///< time at which the ready link broke, or 0
    size_t requests;
    uint64_t incarnation;
    int64_t in_flight_sent_ms;
    uint32_t in_flight_sent;
    UT_hash_handle hh;
};

struct peers {
    struct peers_options options;
    struct link_options link_options;
    struct peer *by_name;
};

static struct peer *
peer_of(const struct link *link)
{
    return link_user(link);
}

static void
on_ready(void *ctx, struct link *link)
{
    struct peers *peers = ctx;
    struct peer *peer = peer_of(link);

    peer->was_ready = true;
    peer->retried_timeout = false;
    peer->broken_ms = 0;
    peer->incarnation = link_peer_incarnation(link);
    link_set_busy(link, peer->requests > 0);
    peers->options.ready(peers->options.ctx, peer);
}

static void
on_message(void *ctx, struct link *link, const struct message *message)
{
    struct peers *peers = ctx;

    peers->options.message(peers->options.ctx, peer_of(link), message);
}

static void
report_unreachable(struct peer *peer)
{
    peer->broken_ms = 0;
    peer->retried_timeout = false;
    peer->peers->options.unreachable(peer->peers->options.ctx, peer);
}

static void
on_closed(void *ctx, struct link *link, const struct err *err)
{
    struct peers *peers = ctx;
    struct peer *peer = peer_of(link);
    int64_t now = clock_ms(peers->link_options.clock);
    bool was_ready = peer->was_ready;
    const struct timeval delay = {
        .tv_usec = peers->options.reopen_interval_ms * 1000,
    };
    static const struct timeval at_once = {0};

    peer->link = NULL;
    peer->was_ready = false;
    if (was_ready && err->code != ERR_AUTH) {
        peer->broken_ms = now;
        peers->options.broken(peers->options.ctx, peer);
        if (peer->requests > 0) {
            event_add(peer->reopen_timer, &at_once);
        }
        return;
    }
    // One connection may be lost although the agent is up: retry a time-out
    // once.
    if (err->code == ERR_TIMEOUT && peer->broken_ms == 0 &&
        !peer->retried_timeout && peer->requests > 0) {
        peer->retried_timeout = true;
        event_add(peer->reopen_timer, &at_once);
        return;
    }
    if (peer->broken_ms == 0 ||
        now - peer->broken_ms >= peers->options.reopen_timeout_ms ||
        peer->requests == 0) {
        report_unreachable(peer);
        return;
    }
    event_add(peer->reopen_timer, &delay);
}

static void
on_reopen(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    peer_open(ctx);
}

struct peers *
peers_new(const struct peers_options *options)
{
    struct peers *peers = xcalloc(1, sizeof(*peers));

    peers->options = *options;
    peers->link_options = options->link;
    peers->link_options.ready = on_ready;
    peers->link_options.message = on_message;
    peers->link_options.closed = on_closed;
    peers->link_options.ctx = peers;
    return peers;
}

static void
peer_free(struct peer *peer)
{
    HASH_DEL(peer->peers->by_name, peer);
    if (peer->link != NULL) {
        link_close(peer->link);
    }
    event_free(peer->reopen_timer);
    free((char *)peer->name.data);
    free((char *)peer->address.data);
    free(peer);
}

void
peers_free(struct peers *peers)
{
    if (peers == NULL) {
        return;
    }
    while (peers->by_name != NULL) {
        peer_free(peers->by_name);
    }
    free(peers);
}

struct peer *
peers_find(const struct peers *peers, struct str name)
{
    struct peer *peer;

    HASH_FIND(hh, peers->by_name, name.data, name.len, peer);
    return peer;
}

struct peer *
peers_get(struct peers *peers, struct str name, struct str address)
{
    struct peer *peer = peers_find(peers, name);

    if (peer == NULL) {
        peer = xcalloc(1, sizeof(*peer));
        peer->peers = peers;
        peer->name = str_copy(name);
        peer->reopen_timer =
            event_new(peers->link_options.base, -1, 0, on_reopen, peer);
        if (peer->reopen_timer == NULL) {
            BUG("out of memory");
        }
        HASH_ADD_KEYPTR(hh, peers->by_name, peer->name.data, peer->name.len,
                        peer);
    }
    if (!str_equal(peer->address, address)) {
        free((char *)peer->address.data);
        peer->address = str_copy(address);
    }
    return peer;
}

void
peers_remove(struct peers *peers, struct str name)
{
    struct peer *peer = peers_find(peers, name);

    if (peer != NULL && peer->requests == 0) {
        peer_free(peer);
    }
}

void
peers_each(struct peers *peers, void (*callback)(void *ctx, struct peer *peer),
           void *ctx)
{
    struct peer *peer, *next;

    HASH_ITER(hh, peers->by_name, peer, next)
    {
        callback(ctx, peer);
    }
}

void
peer_open(struct peer *peer)
{
    struct address address;
    struct err err = {0};

    if (peer->link != NULL) {
        link_probe(peer->link);
        return;
    }
    if (!address_parse(peer->address, &address, &err)) {
        LOG_ERROR("event=link-not-opened peer=" STR_FMT " reason=\"%s\"",
                  STR_ARG(peer->name), err.message);
        return;
    }
    event_del(peer->reopen_timer);
    peer->link = link_connect(&peer->peers->link_options, &address, 0);
    link_set_user(peer->link, peer);
}

void
peer_send(struct peer *peer, const struct message *message)
{
    if (peer->link != NULL) {
        link_send(peer->link, message);
    }
}

void
peer_add_request(struct peer *peer)
{
    peer->requests++;
    if (peer->link != NULL && link_is_ready(peer->link)) {
        link_probe(peer->link);
        link_set_busy(peer->link, true);
    }
}

void
peer_remove_request(struct peer *peer)
{
    INVARIANT(peer->requests > 0);
    peer->requests--;
    if (peer->requests == 0 && peer->link != NULL) {
        link_set_busy(peer->link, false);
    }
}

enum peer_state
peer_state(const struct peer *peer)
{
    if (peer->link == NULL) {
        return PEER_CLOSED;
    }
    return link_is_ready(peer->link) ? PEER_READY : PEER_CONNECTING;
}

struct str
peer_name(const struct peer *peer)
{
    return peer->name;
}

uint64_t
peer_incarnation(const struct peer *peer)
{
    return peer->incarnation;
}

void
peer_set_in_flight_sent(struct peer *peer, uint32_t in_flight)
{
    peer->in_flight_sent_ms = clock_ms(peer->peers->link_options.clock);
    peer->in_flight_sent = in_flight;
}

int64_t
peer_in_flight_sent_ms(const struct peer *peer)
{
    return peer->in_flight_sent_ms;
}

uint32_t
peer_in_flight_sent(const struct peer *peer)
{
    return peer->in_flight_sent;
}
