#include "caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utlist.h>

#include "caller_state.h"
#include "core/xmalloc.h"
#include "http.h"
#include "http1.h"
#include "input.h"
#include "log.h"
#include "timer.h"

#define LOG_MODULE "caller"

#define BACKLOG 1024
#define READ_BYTES_MAX 65536
/// TCP_USER_TIMEOUT, which detects a caller that is no longer reachable.
#define USER_TIMEOUT_MS 5000
/// Share of the idle time-out that callers are told: a request that is sent
/// later could cross the close.
#define KEEP_ALIVE_PERCENT 80
/// Time for the caller to close after the last response; until then its input,
/// such as the rest of a rejected request, is discarded.
#define LINGER_MS 1000
/// What a connection takes without any request, its buffers included.
#define CONNECTION_BYTES 4096
/// Retry-After of a request that is refused for lack of memory, and the range
/// over which the delays are spread.
#define RETRY_AFTER_S 1
#define RETRY_SPREAD_MS 1000
/// Spreads successive refusals over RETRY_SPREAD_MS.
#define RETRY_STEP_MS 619

static void read_request(struct caller *caller);

static void
free_closed_callers(evutil_socket_t fd, short events, void *ctx)
{
    struct caller_server *server = ctx;
    struct caller *caller, *next;

    (void)fd;
    (void)events;
    DL_FOREACH_SAFE(server->closed, caller, next)
    {
        DL_DELETE(server->closed, caller);
        http1_destroy(&caller->http);
        evbuffer_free(caller->body);
        free(caller);
    }
}

static void
close_caller(struct caller *caller)
{
    struct caller_server *server = caller->server;

    if (caller->is_closed) {
        return;
    }
    caller->is_closed = true;
    caller->user = NULL;
    charge_stop(&caller->output);
    caller_update_charge(caller);
    memory_hold(&caller->connection, MEMORY_CONNECTIONS, 0);
    bufferevent_free(caller->bufferevent);
    event_free(caller->timer);
    DL_DELETE(server->callers, caller);
    DL_APPEND(server->closed, caller);
    server->connections--;
    event_active(server->free_closed_event, 0, 0);
}

void
caller_disconnect(struct caller *caller)
{
    struct caller_server *server = caller->server;
    void *user = caller->user;

    close_caller(caller);
    if (user != NULL) {
        server->options.disconnected(server->options.ctx, user);
    }
}

static void
start_timer(struct caller *caller, int64_t ms)
{
    caller->timer_started_ms = clock_ms(caller->server->options.clock);
    caller->timer_ms = ms;
    caller->deferral.until_bytes = 0;
    timer_start(caller->timer, ms);
}

static void
log_timeout(const struct caller *caller, const char *reason)
{
    LOG_INFO("event=connection-timeout reason=%s requests=%zu "
             "elapsed_ms=%lld limit_ms=%lld",
             reason, caller->requests,
             (long long)(clock_ms(caller->server->options.clock) -
                         caller->timer_started_ms),
             (long long)caller->timer_ms);
}

/// True if received bytes are to be read before the time-out counts.
static bool
defer_timeout(struct caller *caller)
{
    bool is_first =
        caller->deferral.until_bytes == 0 && caller->deferral.end_passes == 0;

    if (!input_defer_timeout(&caller->deferral, caller->bufferevent)) {
        return false;
    }
    if (is_first) {
        LOG_WARNING("event=connection-timeout-deferred requests=%zu "
                    "elapsed_ms=%lld limit_ms=%lld unread=%zu",
                    caller->requests,
                    (long long)(clock_ms(caller->server->options.clock) -
                                caller->timer_started_ms),
                    (long long)caller->timer_ms,
                    input_unread(caller->bufferevent));
    }
    timer_start(caller->timer, 0);
    return true;
}

static void
reject_with_fields(struct caller *caller, int status, struct str fields)
{
    caller->close_after_response = true;
    caller->state = CALLER_PROCESSING;
    // What was received is of no use, and the connection lingers.
    evbuffer_drain(caller->body, evbuffer_get_length(caller->body));
    caller_reply(caller, status, fields, NULL);
}

static void
reject_request(struct caller *caller, int status)
{
    reject_with_fields(caller, status, (struct str){0});
}

void
caller_refuse_incomplete(struct caller *caller)
{
    struct caller_server *server = caller->server;
    struct memory *memory = server->options.memory;
    char fields[48];

    LOG_WARNING(
        "event=request-refused reason=memory kind=reading "
        "bytes=%zu held_bytes=%zu limit_bytes=%zu stalled_ms=%lld",
        caller->request.bytes, memory_held(memory, MEMORY_READING),
        memory_share_bytes(memory, MEMORY_READING),
        (long long)(clock_ms(server->options.clock) - caller->progress_ms));
    caller_count(server, COUNTER_REFUSED_MEMORY);
    snprintf(fields, sizeof(fields), "Retry-After: %d.%03u\r\n", RETRY_AFTER_S,
             server->refusals++ * RETRY_STEP_MS % RETRY_SPREAD_MS);
    reject_with_fields(caller, 503, str_from(fields));
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct caller *caller = ctx;

    (void)fd;
    (void)events;
    if (caller->output_overflow) {
        caller_report_too_slow(caller);
        caller_disconnect(caller);
        return;
    }
    if (caller->state == CALLER_READING && defer_timeout(caller)) {
        return;
    }
    if (caller->state == CALLER_READING && caller->http.started) {
        log_timeout(caller, "head");
        reject_request(caller, 408);
        return;
    }
    if (caller->state == CALLER_READING) {
        log_timeout(caller, "idle");
        close_caller(caller);
    }
    else if (caller->state == CALLER_CLOSING) {
        close_caller(caller);
    }
}

static void
on_head(void *ctx)
{
    struct caller *caller = ctx;
    size_t body_max = caller->server->options.limits.body_bytes_max;

    if (caller->http.parser.content_length != UINT64_MAX &&
        caller->http.parser.content_length > body_max) {
        caller->body_too_large = true;
    }
    else if (str_equal_nocase(http1_value(&caller->http, "Expect"),
                              "100-continue")) {
        evbuffer_add_printf(bufferevent_get_output(caller->bufferevent),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    struct caller *caller = ctx;

    if (evbuffer_get_length(caller->body) + len >
        caller->server->options.limits.body_bytes_max) {
        caller->body_too_large = true;
        return;
    }
    evbuffer_add(caller->body, bytes, len);
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

static void
await_next_request(struct caller *caller)
{
    caller->user = NULL;
    caller->state = CALLER_READING;
    caller->body_too_large = false;
    caller->account_known = false;
    caller->progress_ms = clock_ms(caller->server->options.clock);
    evbuffer_drain(caller->body, evbuffer_get_length(caller->body));
    http1_reset(&caller->http);
    caller_update_charge(caller);
    start_timer(caller, caller->idle_timeout_ms);
    read_request(caller);
}

static void
dispatch_request(struct caller *caller)
{
    struct caller_server *server = caller->server;

    event_del(caller->timer);
    caller->state = CALLER_PROCESSING;
    caller->requests++;
    caller->close_after_response = !http1_keeps_alive(&caller->http);
    caller_update_charge(caller);
    server->options.request(server->options.ctx, caller);
}

static void
read_request(struct caller *caller)
{
    struct evbuffer *input = bufferevent_get_input(caller->bufferevent);

    if (evbuffer_get_length(input) > 0) {
        caller->progress_ms = clock_ms(caller->server->options.clock);
    }
    while (caller->state == CALLER_READING && !caller->is_closed &&
           evbuffer_get_length(input) > 0) {
        size_t len = evbuffer_get_contiguous_space(input);
        const char *bytes = (const char *)evbuffer_pullup(input, (ssize_t)len);
        bool had_started = caller->http.started;
        size_t consumed;

        if (!caller_make_room(caller, len)) {
            caller_refuse_incomplete(caller);
            break;
        }
        consumed = http1_feed(&caller->http, bytes, len);

        if (!had_started && caller->http.started) {
            caller->started_ms = clock_ms(caller->server->options.clock);
            start_timer(caller,
                        caller->server->options.limits.head_timeout_ms);
        }
        evbuffer_drain(input, consumed);
        caller->deferral.read_bytes += consumed;
        if (caller->http.error != HTTP1_OK) {
            reject_request(caller, caller->http.error == HTTP1_HEAD_TOO_LARGE
                                       ? 431
                                       : 400);
        }
        else if (caller->body_too_large) {
            reject_request(caller, 413);
        }
        else if (caller->http.ended) {
            dispatch_request(caller);
        }
    }
    caller_update_charge(caller);
}

static void
on_read(struct bufferevent *bufferevent, void *ctx)
{
    struct caller *caller = ctx;

    if (caller->state == CALLER_CLOSING) {
        struct evbuffer *input = bufferevent_get_input(bufferevent);

        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    read_request(caller);
}

static void
on_accept_failed(struct evconnlistener *listener, void *ctx)
{
    struct caller_server *server = ctx;

    (void)listener;
    accept_pause_begin(&server->accept_pause, server->options.counters);
    caller_make_descriptor_room(server);
}

static void
on_output_written(struct bufferevent *bufferevent, void *ctx)
{
    struct caller *caller = ctx;

    // Callbacks are deferred: more output may have been added since.
    if (caller->state == CALLER_CLOSING &&
        evbuffer_get_length(bufferevent_get_output(bufferevent)) == 0) {
        // The caller closes first: closing here with unread input would send
        // a reset, and the caller could lose the response.
        shutdown(bufferevent_getfd(caller->bufferevent), SHUT_WR);
        timer_start(caller->timer, LINGER_MS);
    }
}

static void
on_event(struct bufferevent *bufferevent, short events, void *ctx)
{
    (void)bufferevent;
    (void)events;
    caller_disconnect(ctx);
}

/// False if the process has no descriptor to spare for a new connection.
static bool
has_descriptor_room(struct caller_server *server)
{
    if (server->connections_max == 0 ||
        server->connections < server->connections_max ||
        caller_make_descriptor_room(server)) {
        return true;
    }
    LOG_WARNING("event=connection-refused reason=descriptors "
                "connections=%zu limit=%zu",
                server->connections, server->connections_max);
    caller_count(server, COUNTER_CONNECTIONS_REFUSED);
    return false;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *peer, int len, void *ctx)
{
    struct caller_server *server = ctx;
    struct caller *caller;
    const int on = 1;
    const unsigned user_timeout_ms = USER_TIMEOUT_MS;

    (void)listener;
    (void)peer;
    (void)len;
    if (!has_descriptor_room(server)) {
        evutil_closesocket(fd);
        return;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
    caller = xcalloc(1, sizeof(*caller));
    caller->server = server;
    caller->progress_ms = clock_ms(server->options.clock);
    caller->connection.memory = server->options.memory;
    caller->request.memory = server->options.memory;
    caller->body = evbuffer_new();
    caller->timer = event_new(server->options.base, -1, 0, on_timer, caller);
    http1_init(&caller->http, HTTP_REQUEST,
               server->options.limits.head_bytes_max, &http_callbacks, caller);
    caller->bufferevent = bufferevent_socket_new(server->options.base, fd,
                                                 BEV_OPT_CLOSE_ON_FREE |
                                                     BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(caller->bufferevent, on_read, on_output_written,
                      on_event, caller);
    bufferevent_setwatermark(caller->bufferevent, EV_READ, 0, READ_BYTES_MAX);
    bufferevent_enable(caller->bufferevent, EV_READ | EV_WRITE);
    charge_start(&caller->output, server->options.memory, MEMORY_RESPONSES,
                 bufferevent_get_output(caller->bufferevent),
                 server->options.clock);
    memory_hold(&caller->connection, MEMORY_CONNECTIONS, CONNECTION_BYTES);
    DL_APPEND(server->callers, caller);
    server->connections++;
    start_timer(caller, server->options.limits.idle_timeout_ms);
}

struct caller_server *
caller_server_new(const struct caller_server_options *options, struct err *err)
{
    struct caller_server *server = xcalloc(1, sizeof(*server));

    server->options = *options;
    server->listener = evconnlistener_new_bind(
        options->base, on_accept, server,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        BACKLOG, (const struct sockaddr *)&options->address.storage,
        (int)options->address.len);
    if (server->listener == NULL) {
        err_set(err, ERR_IO, "bind", options->address.ip,
                "cannot listen for callers at %s:%u", options->address.ip,
                options->address.port);
        free(server);
        return NULL;
    }
    address_of_socket(evconnlistener_get_fd(server->listener),
                      &server->address);
    evconnlistener_set_error_cb(server->listener, on_accept_failed);
    accept_pause_init(&server->accept_pause, options->base, server->listener);
    if (options->receive_buffer_bytes > 0) {
        // Accepted connections inherit it.
        setsockopt(evconnlistener_get_fd(server->listener), SOL_SOCKET,
                   SO_RCVBUF, &options->receive_buffer_bytes,
                   sizeof(options->receive_buffer_bytes));
    }
    server->free_closed_event =
        event_new(options->base, -1, 0, free_closed_callers, server);
    return server;
}

void
caller_server_free(struct caller_server *server)
{
    if (server == NULL) {
        return;
    }
    while (server->callers != NULL) {
        close_caller(server->callers);
    }
    free_closed_callers(-1, 0, server);
    event_free(server->free_closed_event);
    accept_pause_destroy(&server->accept_pause);
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    free(server);
}

void
caller_server_set_limits(struct caller_server *server,
                         const struct caller_limits *limits)
{
    server->options.limits = *limits;
}

void
caller_server_set_connections_max(struct caller_server *server, size_t max)
{
    server->connections_max = max;
}

struct address
caller_server_address(const struct caller_server *server)
{
    return server->address;
}

void
caller_server_drain(struct caller_server *server)
{
    server->draining = true;
}

void
caller_server_close_idle(struct caller_server *server)
{
    struct caller *caller, *next;

    accept_pause_destroy(&server->accept_pause);
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
        server->listener = NULL;
    }
    DL_FOREACH_SAFE(server->callers, caller, next)
    {
        if (caller->state == CALLER_READING && !caller->http.started &&
            input_unread(caller->bufferevent) == 0) {
            close_caller(caller);
        }
    }
}

size_t
caller_server_connections(const struct caller_server *server)
{
    return server->connections;
}

const struct http1 *
caller_request_head(const struct caller *caller)
{
    return &caller->http;
}

struct evbuffer *
caller_request_body(const struct caller *caller)
{
    return caller->body;
}

int64_t
caller_started_ms(const struct caller *caller)
{
    return caller->started_ms;
}

void
caller_set_user(struct caller *caller, void *user)
{
    caller->user = user;
}

static void
end_response(struct caller *caller)
{
    caller->user = NULL;
    // A response begun before the drain carries no "Connection: close", so its
    // connection stays open until the listener is closed.
    if (!caller->close_after_response && caller->server->listener != NULL) {
        await_next_request(caller);
        return;
    }
    caller->state = CALLER_CLOSING;
    caller_update_charge(caller);
    if (evbuffer_get_length(bufferevent_get_output(caller->bufferevent)) ==
        0) {
        on_output_written(caller->bufferevent, caller);
    }
}

/// States how long the connection may be idle before it is reused, in whole
/// seconds; nothing if that is less than one.
static void
write_keep_alive(const struct caller *caller, struct evbuffer *out)
{
    int64_t seconds =
        caller->idle_timeout_ms * KEEP_ALIVE_PERCENT / 100 / 1000;

    if (seconds > 0) {
        evbuffer_add_printf(out, "Keep-Alive: timeout=%lld\r\n",
                            (long long)seconds);
    }
}

static void
write_head(struct caller *caller, int status, struct str fields)
{
    struct evbuffer *out = bufferevent_get_output(caller->bufferevent);

    caller->idle_timeout_ms = caller->server->options.limits.idle_timeout_ms;
    if (caller->server->draining) {
        caller->close_after_response = true;
    }
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        http_reason(status));
    evbuffer_add(out, fields.data, fields.len);
    if (caller->close_after_response) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    else {
        write_keep_alive(caller, out);
    }
}

void
caller_reply(struct caller *caller, int status, struct str fields,
             struct evbuffer *body)
{
    struct evbuffer *out = bufferevent_get_output(caller->bufferevent);
    bool has_body = caller->http.parser.method != HTTP_HEAD;

    write_head(caller, status, fields);
    evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n",
                        body != NULL ? evbuffer_get_length(body) : 0);
    if (body != NULL && has_body) {
        evbuffer_add_buffer(out, body);
    }
    end_response(caller);
}

void
caller_send_head(struct caller *caller, int status, struct str fields)
{
    struct evbuffer *out = bufferevent_get_output(caller->bufferevent);

    caller->chunked = caller->http.parser.http_major == 1 &&
                      caller->http.parser.http_minor >= 1;
    caller->close_after_response =
        caller->close_after_response || !caller->chunked;
    caller->state = CALLER_RESPONDING;
    write_head(caller, status, fields);
    evbuffer_add_printf(
        out, caller->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
}

void
caller_send_data(struct caller *caller, const char *bytes, size_t len)
{
    struct evbuffer *out = bufferevent_get_output(caller->bufferevent);

    if (len == 0) {
        return;
    }
    if (caller->chunked) {
        evbuffer_add_printf(out, "%zx\r\n", len);
    }
    evbuffer_add(out, bytes, len);
    if (caller->chunked) {
        evbuffer_add(out, "\r\n", 2);
    }
    if (evbuffer_get_length(out) > caller_output_max(caller) &&
        !caller->output_overflow) {
        // Deferred: the function that is writing still uses the connection.
        caller->output_overflow = true;
        timer_start(caller->timer, 0);
    }
}

void
caller_end_response(struct caller *caller)
{
    if (caller->chunked) {
        evbuffer_add(bufferevent_get_output(caller->bufferevent), "0\r\n\r\n",
                     5);
    }
    end_response(caller);
}

void
caller_abort(struct caller *caller)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};

    // Without chunked encoding a normal close marks the end of the response.
    if (!caller->chunked) {
        setsockopt(bufferevent_getfd(caller->bufferevent), SOL_SOCKET,
                   SO_LINGER, &reset, sizeof(reset));
    }
    close_caller(caller);
}
