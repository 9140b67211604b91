#include "relay.h"

#include <stdlib.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <utlist.h>

#include "core/xmalloc.h"

struct pair {
    struct relay *relay;
    struct bufferevent *source;
    struct bufferevent *target;
    bool blackholed;
    size_t bytes_left[2]; ///< before blackholing: to the target, from it
    bool closing;         ///< one end has closed; buffered bytes are flushed
    struct pair *prev;
    struct pair *next;
};

struct relay {
    struct event_base *base;
    struct address target;
    struct address address;
    struct evconnlistener *listener;
    struct pair *pairs;
    size_t connections;
    size_t next_bytes_left[2];
    bool drop[2]; ///< discard bytes: to the target, from it
    struct event *resume;
};

static void
pair_free(struct pair *pair)
{
    DL_DELETE(pair->relay->pairs, pair);
    bufferevent_free(pair->source);
    bufferevent_free(pair->target);
    free(pair);
}

static void
reset_socket(struct bufferevent *bev)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};

    if (bufferevent_getfd(bev) >= 0) {
        setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
    }
}

static void
pair_reset(struct pair *pair)
{
    reset_socket(pair->source);
    reset_socket(pair->target);
    pair_free(pair);
}

static void
on_read(struct bufferevent *from, void *ctx)
{
    struct pair *pair = ctx;
    struct evbuffer *input = bufferevent_get_input(from);
    size_t len = evbuffer_get_length(input);
    int direction = from == pair->source ? 0 : 1;
    struct bufferevent *to = direction == 0 ? pair->target : pair->source;

    if (!pair->blackholed && len >= pair->bytes_left[direction]) {
        len = pair->bytes_left[direction];
        evbuffer_remove_buffer(input, bufferevent_get_output(to), len);
        pair->blackholed = true;
    }
    if (pair->blackholed || pair->relay->drop[direction]) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    pair->bytes_left[direction] -= len;
    bufferevent_write_buffer(to, input);
}

static void
on_event(struct bufferevent *bev, short events, void *ctx)
{
    struct pair *pair = ctx;

    struct bufferevent *other =
        bev == pair->source ? pair->target : pair->source;

    // A blackholed connection stays open when either end closes.
    if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) || pair->blackholed) {
        return;
    }
    if (events & BEV_EVENT_ERROR) {
        pair_reset(pair);
        return;
    }
    if (!pair->closing &&
        evbuffer_get_length(bufferevent_get_output(other)) > 0) {
        pair->closing = true;
        return;
    }
    pair_free(pair);
}

static void
on_written(struct bufferevent *bev, void *ctx)
{
    struct pair *pair = ctx;

    if (pair->closing &&
        evbuffer_get_length(bufferevent_get_output(bev)) == 0) {
        pair_free(pair);
    }
}

static void
set_reads_enabled(struct relay *relay, bool enabled)
{
    struct pair *pair;

    DL_FOREACH(relay->pairs, pair)
    {
        if (enabled) {
            bufferevent_enable(pair->source, EV_READ);
            bufferevent_enable(pair->target, EV_READ);
        }
        else {
            bufferevent_disable(pair->source, EV_READ);
            bufferevent_disable(pair->target, EV_READ);
        }
    }
}

static void
on_resume(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    set_reads_enabled(ctx, true);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *ctx)
{
    struct relay *relay = ctx;
    struct pair *pair = xcalloc(1, sizeof(*pair));

    (void)listener;
    (void)address;
    (void)len;
    pair->relay = relay;
    pair->bytes_left[0] = relay->next_bytes_left[0];
    pair->bytes_left[1] = relay->next_bytes_left[1];
    relay->next_bytes_left[0] = SIZE_MAX;
    relay->next_bytes_left[1] = SIZE_MAX;
    relay->connections++;
    pair->source =
        bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
    pair->target =
        bufferevent_socket_new(relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(pair->source, on_read, on_written, on_event, pair);
    bufferevent_setcb(pair->target, on_read, on_written, on_event, pair);
    DL_APPEND(relay->pairs, pair);
    bufferevent_socket_connect(pair->target,
                               (struct sockaddr *)&relay->target.storage,
                               (int)relay->target.len);
    bufferevent_enable(pair->source, EV_READ | EV_WRITE);
    bufferevent_enable(pair->target, EV_READ | EV_WRITE);
}

struct relay *
relay_new(struct event_base *base, const struct address *target)
{
    struct relay *relay = xcalloc(1, sizeof(*relay));
    struct address any;
    struct err err = {0};

    relay->base = base;
    relay->resume = event_new(base, -1, 0, on_resume, relay);
    relay->target = *target;
    relay->next_bytes_left[0] = SIZE_MAX;
    relay->next_bytes_left[1] = SIZE_MAX;
    if (!address_parse(STR_LITERAL("127.0.0.1:0"), &any, &err)) {
        BUG("%s", err.message);
    }
    relay->listener = evconnlistener_new_bind(
        base, on_accept, relay, LEV_OPT_CLOSE_ON_FREE, -1,
        (struct sockaddr *)&any.storage, (int)any.len);
    if (relay->listener == NULL) {
        BUG("relay cannot listen on 127.0.0.1");
    }
    address_of_socket(evconnlistener_get_fd(relay->listener), &relay->address);
    return relay;
}

void
relay_free(struct relay *relay)
{
    if (relay == NULL) {
        return;
    }
    while (relay->pairs != NULL) {
        pair_free(relay->pairs);
    }
    evconnlistener_free(relay->listener);
    event_free(relay->resume);
    free(relay);
}

struct address
relay_address(const struct relay *relay)
{
    return relay->address;
}

void
relay_blackhole(struct relay *relay)
{
    struct pair *pair;

    DL_FOREACH(relay->pairs, pair)
    {
        pair->blackholed = true;
    }
}

void
relay_blackhole_after(struct relay *relay, size_t bytes, bool from_target)
{
    relay->next_bytes_left[from_target ? 1 : 0] = bytes;
}

void
relay_reset(struct relay *relay)
{
    while (relay->pairs != NULL) {
        pair_reset(relay->pairs);
    }
}

void
relay_delay(struct relay *relay, int64_t ms)
{
    const struct timeval delay = {ms / 1000, ms % 1000 * 1000};

    set_reads_enabled(relay, false);
    event_add(relay->resume, &delay);
}

void
relay_drop(struct relay *relay, bool to_target, bool from_target)
{
    relay->drop[0] = to_target;
    relay->drop[1] = from_target;
}

size_t
relay_connections(const struct relay *relay)
{
    return relay->connections;
}
