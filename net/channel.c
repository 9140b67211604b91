#include "channel.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <utlist.h>

#include "charge.h"
#include "core/xmalloc.h"
#include "http1.h"
#include "input.h"
#include "timer.h"

/// Interim answers and answers to other requests that may come before the
/// answer of a request.
#define SKIPPED_BYTES_MAX (256 * 1024)
#define READ_BYTES_MAX 65536

enum channel_state {
    CHANNEL_CONNECTING,
    CHANNEL_BUSY,
    CHANNEL_IDLE,
    CHANNEL_CLOSED,
};

struct channel {
    struct channel_pool *pool;
    struct bufferevent *bufferevent;
    struct http1 http;
    struct channel_handler handler;
    enum channel_state state;
    struct evbuffer *pending_request; ///< until the TCP handshake is done
    struct charge output;
    struct charge pending;
    struct event *timer;
    struct input_deferral deferral;
    int64_t connected_ms;
    int64_t written_ms; ///< first bytes of the request; 0: not yet
    bool parsing;       ///< parse_input() uses it, also when closed
    bool skipping;
    size_t skipped_bytes; ///< before the answer to this request
    bool rejected;
    int64_t idle_since_ms;
    int64_t idle_max_ms;
    struct channel *prev;
    struct channel *next;
};

struct channel_pool {
    struct channel_pool_options options;
    struct channel *channels;
    struct channel *closed; ///< freed later from the event loop
    struct event *free_closed_event;
    size_t connections;
    size_t connections_total;
    bool released; ///< by its owner; freed with the last channel
};

/// Frees the closed channels that are not being parsed, and a released pool
/// with the last of them.
static void
free_closed_channels(struct channel_pool *pool)
{
    struct channel *channel, *next;

    DL_FOREACH_SAFE(pool->closed, channel, next)
    {
        if (channel->parsing) {
            continue;
        }
        DL_DELETE(pool->closed, channel);
        http1_destroy(&channel->http);
        free(channel);
    }
    if (pool->released && pool->closed == NULL) {
        event_free(pool->free_closed_event);
        free(pool);
    }
}

static void
on_free_closed(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    free_closed_channels(ctx);
}

struct channel_pool *
channel_pool_new(const struct channel_pool_options *options)
{
    struct channel_pool *pool = xcalloc(1, sizeof(*pool));

    pool->options = *options;
    pool->free_closed_event =
        event_new(options->base, -1, 0, on_free_closed, pool);
    return pool;
}

static void
close_channel(struct channel *channel)
{
    struct channel_pool *pool = channel->pool;

    if (channel->state == CHANNEL_CLOSED) {
        return;
    }
    channel->state = CHANNEL_CLOSED;
    charge_stop(&channel->output);
    charge_stop(&channel->pending);
    bufferevent_free(channel->bufferevent);
    channel->bufferevent = NULL;
    event_free(channel->timer);
    if (channel->pending_request != NULL) {
        evbuffer_free(channel->pending_request);
        channel->pending_request = NULL;
    }
    DL_DELETE(pool->channels, channel);
    DL_APPEND(pool->closed, channel);
    pool->connections--;
    event_active(pool->free_closed_event, 0, 0);
}

void
channel_pool_free(struct channel_pool *pool)
{
    if (pool == NULL) {
        return;
    }
    while (pool->channels != NULL) {
        close_channel(pool->channels);
    }
    pool->released = true;
    free_closed_channels(pool);
}

static void
finish(struct channel *channel, enum channel_end end, const char *detail)
{
    const struct channel_handler handler = channel->handler;

    channel->handler = (struct channel_handler){0};
    close_channel(channel);
    if (handler.end != NULL) {
        handler.end(handler.ctx, end, detail);
    }
}

/// True if the TCP handshake has ended and the event loop has not seen it.
static bool
has_connected(const struct channel *channel)
{
    struct pollfd socket = {
        .fd = bufferevent_getfd(channel->bufferevent),
        .events = POLLOUT,
    };

    return poll(&socket, 1, 0) > 0;
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct channel *channel = ctx;

    (void)fd;
    (void)events;
    if (channel->state == CHANNEL_CONNECTING && has_connected(channel)) {
        timer_start(channel->timer, 0);
    }
    else if (channel->state == CHANNEL_CONNECTING) {
        finish(channel, CHANNEL_UNSENT, "connect timeout");
    }
    else if (channel->state == CHANNEL_IDLE) {
        close_channel(channel);
    }
}

static void
apply_keep_alive(struct channel *channel)
{
    struct str value = http1_value(&channel->http, "Keep-Alive");
    const char *at =
        value.len > 8 ? memmem(value.data, value.len, "timeout=", 8) : NULL;
    int64_t seconds = 0;

    if (at == NULL) {
        return;
    }
    for (at += 8; at < value.data + value.len && *at >= '0' && *at <= '9' &&
                  seconds < 3600;
         at++) {
        seconds = 10 * seconds + (*at - '0');
    }
    channel->idle_max_ms = seconds * 1000 * CHANNEL_KEEP_ALIVE_PERCENT / 100;
}

static void
on_head(void *ctx)
{
    struct channel *channel = ctx;
    enum channel_verdict verdict;

    if (http1_status(&channel->http) < 200) {
        channel->skipping = true;
        return;
    }
    apply_keep_alive(channel);
    channel->skipping = false;
    if (channel->handler.head == NULL) {
        return;
    }
    verdict = channel->handler.head(channel->handler.ctx, &channel->http);
    channel->skipping = verdict == CHANNEL_SKIP;
    channel->rejected = verdict == CHANNEL_REJECT;
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    struct channel *channel = ctx;

    if (channel->handler.data != NULL && !channel->skipping &&
        !channel->rejected) {
        channel->handler.data(channel->handler.ctx, bytes, len);
    }
}

/// A connection with unsent bytes of its request or with unread input cannot
/// carry another request.
static bool
is_reusable(const struct channel *channel)
{
    return http1_keeps_alive(&channel->http) &&
           evbuffer_get_length(bufferevent_get_output(channel->bufferevent)) ==
               0 &&
           evbuffer_get_length(bufferevent_get_input(channel->bufferevent)) ==
               0 &&
           channel->idle_max_ms > 0;
}

static void
become_idle(struct channel *channel)
{
    const struct channel_handler handler = channel->handler;
    struct channel_pool *pool = channel->pool;

    channel->handler = (struct channel_handler){0};
    if (is_reusable(channel)) {
        channel->state = CHANNEL_IDLE;
        channel->idle_since_ms = clock_ms(pool->options.clock);
        http1_reset(&channel->http);
        timer_start(channel->timer, channel->idle_max_ms);
        // Most recently used first, so that surplus connections time out.
        DL_DELETE(pool->channels, channel);
        DL_PREPEND(pool->channels, channel);
    }
    else {
        close_channel(channel);
    }
    if (handler.end != NULL) {
        handler.end(handler.ctx, CHANNEL_COMPLETE, "");
    }
}

static void
on_end(void *ctx)
{
    (void)ctx;
}

static const struct http1_callbacks http_callbacks = {
    .head = on_head,
    .data = on_data,
    .end = on_end,
};

static bool
parse_responses(struct channel *channel)
{
    struct evbuffer *input = bufferevent_get_input(channel->bufferevent);
    bool skipped;

    while (evbuffer_get_length(input) > 0) {
        size_t len = evbuffer_get_contiguous_space(input);
        const char *bytes = (const char *)evbuffer_pullup(input, (ssize_t)len);
        size_t consumed = http1_feed(&channel->http, bytes, len);

        // A callback may have closed the channel.
        if (channel->state == CHANNEL_CLOSED) {
            return false;
        }
        evbuffer_drain(input, consumed);
        channel->deferral.read_bytes += consumed;
        if (channel->http.error != HTTP1_OK || channel->rejected) {
            finish(channel, CHANNEL_MALFORMED, "malformed response");
            return false;
        }
        skipped = channel->skipping;
        if (skipped) {
            channel->skipped_bytes += consumed;
        }
        if (channel->skipped_bytes > SKIPPED_BYTES_MAX) {
            finish(channel, CHANNEL_MALFORMED, "too many other answers");
            return false;
        }
        if (!channel->http.ended) {
            continue;
        }
        if (!skipped) {
            become_idle(channel);
            return false;
        }
        channel->skipping = false;
        http1_reset(&channel->http);
    }
    return true;
}

/// Parses the received bytes; true if the response is still incomplete. If it
/// returns false, the channel may have been freed with its pool.
static bool
parse_input(struct channel *channel)
{
    struct channel_pool *pool = channel->pool;
    bool incomplete;

    channel->parsing = true;
    incomplete = parse_responses(channel);
    channel->parsing = false;
    if (pool->released) {
        free_closed_channels(pool);
    }
    return incomplete;
}

static void
on_read(struct bufferevent *bufferevent, void *ctx)
{
    struct channel *channel = ctx;

    (void)bufferevent;
    if (channel->state == CHANNEL_IDLE) {
        // Unsolicited bytes belong to no request.
        close_channel(channel);
        return;
    }
    if (channel->state == CHANNEL_BUSY) {
        parse_input(channel);
    }
}

static void
send_pending_request(struct channel *channel)
{
    channel->state = CHANNEL_BUSY;
    channel->connected_ms = clock_ms(channel->pool->options.clock);
    event_del(channel->timer);
    bufferevent_enable(channel->bufferevent, EV_READ | EV_WRITE);
    bufferevent_write_buffer(channel->bufferevent, channel->pending_request);
    charge_stop(&channel->pending);
    evbuffer_free(channel->pending_request);
    channel->pending_request = NULL;
}

/// True if the server has closed its side of the connection after its answer.
/// The kernel reports a reset once: if a write gets the error, the next read
/// gets an end of stream, and both are in `events`. A server that closes
/// before the request was written may have been cut off as well.
static bool
was_closed(const struct channel *channel, short events)
{
    return events == (BEV_EVENT_READING | BEV_EVENT_EOF) &&
           evbuffer_get_length(bufferevent_get_output(channel->bufferevent)) ==
               0;
}

static void
on_event(struct bufferevent *bufferevent, short events, void *ctx)
{
    struct channel *channel = ctx;
    int error = EVUTIL_SOCKET_ERROR();

    (void)bufferevent;
    if (channel->state == CHANNEL_CONNECTING) {
        if (events & BEV_EVENT_CONNECTED) {
            send_pending_request(channel);
        }
        else {
            finish(channel, CHANNEL_UNSENT, strerror(error));
        }
        return;
    }
    if (channel->state == CHANNEL_IDLE) {
        close_channel(channel);
        return;
    }
    if (channel->state != CHANNEL_BUSY || !parse_input(channel)) {
        return;
    }
    if (was_closed(channel, events) && !channel->skipping) {
        http1_eof(&channel->http);
        if (channel->state == CHANNEL_CLOSED) {
            return;
        }
        if (channel->http.ended) {
            finish(channel, CHANNEL_COMPLETE, "");
            return;
        }
    }
    finish(channel, CHANNEL_LOST,
           events & BEV_EVENT_ERROR ? strerror(error)
                                    : "closed before the end of the response");
}

static void
set_socket_options(int fd)
{
    const int on = 1;
    const int idle_s = 1;
    const int probes = 2;
    const unsigned user_timeout_ms = CHANNEL_USER_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle_s, sizeof(idle_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
}

static void
on_output_changed(struct evbuffer *output, const struct evbuffer_cb_info *info,
                  void *ctx)
{
    struct channel *channel = ctx;

    (void)output;
    if (info->n_deleted > 0 && channel->written_ms == 0) {
        channel->written_ms = clock_ms(channel->pool->options.clock);
    }
}

static struct channel *
open_channel(struct channel_pool *pool)
{
    const struct address *address = &pool->options.address;
    struct channel *channel;
    int fd;

    if (pool->options.connections_max > 0 &&
        pool->connections >= pool->options.connections_max) {
        return NULL;
    }
    fd = socket(address->storage.ss_family,
                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    set_socket_options(fd);
    channel = xcalloc(1, sizeof(*channel));
    channel->pool = pool;
    channel->idle_max_ms = CHANNEL_IDLE_DEFAULT_MS;
    channel->timer = event_new(pool->options.base, -1, 0, on_timer, channel);
    http1_init(&channel->http, HTTP_RESPONSE, pool->options.head_bytes_max,
               &http_callbacks, channel);
    channel->bufferevent = bufferevent_socket_new(pool->options.base, fd,
                                                  BEV_OPT_CLOSE_ON_FREE |
                                                      BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(channel->bufferevent, on_read, NULL, on_event, channel);
    bufferevent_setwatermark(channel->bufferevent, EV_READ, 0, READ_BYTES_MAX);
    evbuffer_add_cb(bufferevent_get_output(channel->bufferevent),
                    on_output_changed, channel);
    charge_start(
        &channel->output, pool->options.memory, pool->options.memory_kind,
        bufferevent_get_output(channel->bufferevent), pool->options.clock);
    DL_APPEND(pool->channels, channel);
    pool->connections++;
    pool->connections_total++;
    if (bufferevent_socket_connect(channel->bufferevent,
                                   (const struct sockaddr *)&address->storage,
                                   (int)address->len) != 0) {
        close_channel(channel);
        return NULL;
    }
    timer_start(channel->timer, pool->options.connect_timeout_ms);
    return channel;
}

/// True if the server has closed the connection or sent unsolicited bytes, and
/// the event loop has not seen it.
static bool
has_unseen_input(const struct channel *channel)
{
    struct pollfd socket = {
        .fd = bufferevent_getfd(channel->bufferevent),
        .events = POLLIN,
    };

    return poll(&socket, 1, 0) > 0 ||
           evbuffer_get_length(bufferevent_get_input(channel->bufferevent)) >
               0;
}

/// A connection that can carry a request; closes those found unusable.
static struct channel *
find_idle(struct channel_pool *pool, bool at_most_once)
{
    int64_t now_ms = clock_ms(pool->options.clock);
    struct channel *channel, *next;

    DL_FOREACH_SAFE(pool->channels, channel, next)
    {
        if (channel->state != CHANNEL_IDLE ||
            now_ms - channel->idle_since_ms >=
                (at_most_once ? CHANNEL_AT_MOST_ONCE_IDLE_MS
                              : channel->idle_max_ms)) {
            continue;
        }
        if (!has_unseen_input(channel)) {
            return channel;
        }
        close_channel(channel);
    }
    return NULL;
}

struct channel *
channel_send(struct channel_pool *pool, const struct channel_request *request,
             const struct channel_handler *handler)
{
    struct channel *channel =
        request->fresh ? NULL : find_idle(pool, request->at_most_once);

    if (channel == NULL) {
        channel = open_channel(pool);
    }
    if (channel == NULL) {
        return NULL;
    }
    channel->handler = *handler;
    channel->skipped_bytes = 0;
    channel->deferral.until_bytes = 0;
    channel->written_ms = 0;
    channel->http.no_body = request->no_body;
    if (channel->state == CHANNEL_IDLE) {
        event_del(channel->timer);
        channel->state = CHANNEL_BUSY;
        bufferevent_write_buffer(channel->bufferevent, request->bytes);
        return channel;
    }
    channel->pending_request = evbuffer_new();
    charge_start(&channel->pending, pool->options.memory,
                 pool->options.memory_kind, channel->pending_request,
                 pool->options.clock);
    evbuffer_add_buffer(channel->pending_request, request->bytes);
    return channel;
}

void
channel_cancel(struct channel *channel)
{
    channel->handler = (struct channel_handler){0};
    close_channel(channel);
}

void
channel_discard_response(struct channel *channel)
{
    channel->handler = (struct channel_handler){0};
}

bool
channel_was_sent(const struct channel *channel)
{
    return channel->state != CHANNEL_CONNECTING;
}

bool
channel_defer_timeout(struct channel *channel)
{
    if (channel->state == CHANNEL_CONNECTING) {
        return has_connected(channel);
    }
    return channel->state == CHANNEL_BUSY &&
           input_defer_timeout(&channel->deferral, channel->bufferevent);
}

int64_t
channel_written_ms(const struct channel *channel)
{
    return channel->written_ms;
}

int64_t
channel_connected_ms(const struct channel *channel)
{
    return channel->connected_ms;
}

size_t
channel_pool_connections(const struct channel_pool *pool)
{
    return pool->connections;
}

size_t
channel_pool_connections_total(const struct channel_pool *pool)
{
    return pool->connections_total;
}
