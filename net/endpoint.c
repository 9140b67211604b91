#include "endpoint.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <utlist.h>

#include "core/xmalloc.h"
#include "http.h"

#define LONGEST_ANSWER_S (24 * 3600)

/// A connection that serves one call at a time.
struct connection {
    struct endpoint *endpoint;
    struct evhttp_connection *http;
    struct endpoint_call *call;
    struct event *release_event;
    struct connection *prev;
    struct connection *next;
};

struct endpoint {
    struct endpoint_options options;
    struct connection *idle;
    size_t idle_count;
    struct connection *releasing;
    struct endpoint_call *calls;
};

struct endpoint_call {
    struct endpoint *endpoint;
    struct connection *connection;
    struct evhttp_request *request;
    struct event *pause_event;
    bool sent;
    bool has_head;
    bool framed;
    bool paused;
    void (*head)(void *, int, const struct message_header *, size_t);
    void (*data)(void *, struct evbuffer *);
    void (*end)(void *, enum endpoint_end);
    void *ctx;
    struct endpoint_call *prev;
    struct endpoint_call *next;
};

struct endpoint *
endpoint_new(const struct endpoint_options *options)
{
    struct endpoint *endpoint = xcalloc(1, sizeof(*endpoint));

    endpoint->options = *options;
    return endpoint;
}

static void
connection_free(struct connection *connection)
{
    evhttp_connection_free(connection->http);
    event_free(connection->release_event);
    free(connection);
}

void
endpoint_free(struct endpoint *endpoint)
{
    if (endpoint == NULL) {
        return;
    }
    while (endpoint->calls != NULL) {
        endpoint_cancel(endpoint->calls);
    }
    while (endpoint->idle != NULL) {
        struct connection *connection = endpoint->idle;

        DL_DELETE(endpoint->idle, connection);
        connection_free(connection);
    }
    while (endpoint->releasing != NULL) {
        struct connection *connection = endpoint->releasing;

        DL_DELETE(endpoint->releasing, connection);
        connection_free(connection);
    }
    free(endpoint);
}

static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *ctx)
{
    struct connection *connection = ctx;

    (void)buffer;
    if (info->n_deleted > 0 && connection->call != NULL) {
        connection->call->sent = true;
    }
}

/// Keeps the connection for a later call, or closes it.
static void
put_connection(struct connection *connection, bool reusable)
{
    struct endpoint *endpoint = connection->endpoint;

    connection->call = NULL;
    if (!reusable ||
        endpoint->idle_count >= endpoint->options.idle_connections_max) {
        connection_free(connection);
        return;
    }
    DL_PREPEND(endpoint->idle, connection);
    endpoint->idle_count++;
}

static void
release(evutil_socket_t fd, short events, void *ctx)
{
    struct connection *connection = ctx;

    (void)fd;
    (void)events;
    DL_DELETE(connection->endpoint->releasing, connection);
    put_connection(connection, true);
}

static struct connection *
connection_new(struct endpoint *endpoint)
{
    const struct endpoint_options *options = &endpoint->options;
    struct connection *connection = xcalloc(1, sizeof(*connection));
    struct bufferevent *bev;

    connection->endpoint = endpoint;
    connection->http = evhttp_connection_base_new(
        options->base, NULL, options->address.ip, options->address.port);
    connection->release_event =
        event_new(options->base, -1, 0, release, connection);
    if (connection->http == NULL || connection->release_event == NULL) {
        BUG("out of memory");
    }
    evhttp_connection_set_max_headers_size(
        connection->http, (ev_ssize_t)options->header_bytes_max);
    // The agent keeps the time limits of each call itself.
    evhttp_connection_set_timeout(connection->http, LONGEST_ANSWER_S);
    bev = evhttp_connection_get_bufferevent(connection->http);
    evbuffer_add_cb(bufferevent_get_output(bev), on_output, connection);
    return connection;
}

static struct connection *
take_connection(struct endpoint *endpoint, bool fresh)
{
    struct connection *connection = endpoint->idle;

    if (fresh || connection == NULL) {
        return connection_new(endpoint);
    }
    DL_DELETE(endpoint->idle, connection);
    endpoint->idle_count--;
    return connection;
}

static void
call_free(struct endpoint_call *call)
{
    DL_DELETE(call->endpoint->calls, call);
    if (call->pause_event != NULL) {
        event_free(call->pause_event);
    }
    free(call);
}

static void
finish(struct endpoint_call *call, enum endpoint_end end)
{
    struct connection *connection = call->connection;
    void (*callback)(void *, enum endpoint_end) = call->end;
    void *ctx = call->ctx;

    connection->call = NULL;
    // Released from the loop, since evhttp still uses it in this callback.
    DL_APPEND(call->endpoint->releasing, connection);
    event_active(connection->release_event, EV_TIMEOUT, 1);
    call_free(call);
    callback(ctx, end);
}

static bool
deliver_head(struct endpoint_call *call, struct evhttp_request *request)
{
    struct message_header headers[MESSAGE_HEADERS_MAX];
    struct evkeyvalq *input = evhttp_request_get_input_headers(request);
    size_t count = http_copy_headers(input, headers, MESSAGE_HEADERS_MAX);
    int status = evhttp_request_get_response_code(request);

    call->has_head = true;
    call->framed = evhttp_find_header(input, "Transfer-Encoding") != NULL ||
                   evhttp_find_header(input, "Content-Length") != NULL ||
                   status == 204 || status == 304;
    if (call->head != NULL) {
        call->head(call->ctx, status, headers, count);
    }
    return true;
}

static int
on_head(struct evhttp_request *request, void *ctx)
{
    deliver_head(ctx, request);
    return 0;
}

static void
apply_pause(evutil_socket_t fd, short events, void *ctx)
{
    struct endpoint_call *call = ctx;

    (void)fd;
    (void)events;
    if (call->paused) {
        bufferevent_disable(
            evhttp_connection_get_bufferevent(call->connection->http),
            EV_READ);
    }
}

static void
on_chunk(struct evhttp_request *request, void *ctx)
{
    struct endpoint_call *call = ctx;

    if (call->data != NULL) {
        call->data(call->ctx, evhttp_request_get_input_buffer(request));
    }
    // evhttp enables reading again after this callback.
    if (call->paused) {
        event_active(call->pause_event, EV_TIMEOUT, 1);
    }
}

static enum endpoint_end
end_of_failed(const struct endpoint_call *call)
{
    if (call->has_head) {
        return ENDPOINT_INCOMPLETE;
    }
    return call->sent ? ENDPOINT_LOST : ENDPOINT_UNSENT;
}

static void
on_done(struct evhttp_request *request, void *ctx)
{
    struct endpoint_call *call = ctx;

    if (request == NULL || evhttp_request_get_response_code(request) == 0) {
        finish(call, end_of_failed(call));
        return;
    }
    finish(call, call->framed ? ENDPOINT_WHOLE : ENDPOINT_INCOMPLETE);
}

static void
fill_request(struct endpoint_call *call,
             const struct endpoint_call_options *options)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(call->request);

    for (size_t i = 0; i < options->header_count; i++) {
        char *name = str_dup(options->headers[i].name);
        char *value = str_dup(options->headers[i].value);

        evhttp_add_header(headers, name, value);
        free(name);
        free(value);
    }
    evhttp_add_header(headers, "Host", call->endpoint->options.address.ip);
    if (options->fresh_connection) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer_add(evhttp_request_get_output_buffer(call->request),
                 options->body.data, options->body.len);
}

struct endpoint_call *
endpoint_call(struct endpoint *endpoint,
              const struct endpoint_call_options *options)
{
    struct endpoint_call *call;
    enum evhttp_cmd_type command;
    char *uri;

    if (!http_parse_method(options->method, &command)) {
        return NULL;
    }
    call = xcalloc(1, sizeof(*call));
    call->endpoint = endpoint;
    call->head = options->head;
    call->data = options->data;
    call->end = options->end;
    call->ctx = options->ctx;
    call->pause_event =
        event_new(endpoint->options.base, -1, 0, apply_pause, call);
    call->request = evhttp_request_new(on_done, call);
    if (call->pause_event == NULL || call->request == NULL) {
        BUG("out of memory");
    }
    DL_APPEND(endpoint->calls, call);
    call->connection = take_connection(endpoint, options->fresh_connection);
    call->connection->call = call;
    evhttp_request_set_header_cb(call->request, on_head);
    evhttp_request_set_chunked_cb(call->request, on_chunk);
    fill_request(call, options);
    uri = str_dup(options->uri);
    if (evhttp_make_request(call->connection->http, call->request, command,
                            uri) != 0) {
        // evhttp has freed the request without calling back.
        call->request = NULL;
    }
    free(uri);
    if (call->request == NULL) {
        put_connection(call->connection, false);
        call_free(call);
        return NULL;
    }
    return call;
}

void
endpoint_cancel(struct endpoint_call *call)
{
    struct connection *connection = call->connection;

    connection->call = NULL;
    evhttp_cancel_request(call->request);
    connection_free(connection);
    call_free(call);
}

void
endpoint_pause(struct endpoint_call *call, bool paused)
{
    struct bufferevent *bev =
        evhttp_connection_get_bufferevent(call->connection->http);

    if (call->paused == paused) {
        return;
    }
    call->paused = paused;
    if (paused) {
        event_active(call->pause_event, EV_TIMEOUT, 1);
    }
    else {
        bufferevent_enable(bev, EV_READ);
    }
}
