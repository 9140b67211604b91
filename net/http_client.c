#include "http_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <utlist.h>

#include "core/xmalloc.h"
#include "http.h"
#include "http1.h"

/// Time-out of evhttp; long, since the users of this module set the time-out
/// of each call.
#define EVHTTP_TIMEOUT_S (24 * 3600)

#define STATUS_CONTINUE 100
/// Lower ones are those of interim answers.
#define STATUS_FINAL_MIN 200
/// Begin of a status line, up to the byte behind the status.
#define STATUS_LINE_BYTES 13

/// A connection that serves one call at a time.
struct connection {
    struct http_client *client;
    struct evhttp_connection *http;
    struct http_call *call;
    struct event *recycle_event;
    bool reusable;
    struct connection *prev;
    struct connection *next;
};

struct http_client {
    struct http_client_options options;
    struct connection *idle;
    size_t idle_count;
    struct connection *recycling;
    struct http_call *calls;
    uint64_t call_count;
};

struct http_call {
    struct http_client *client;
    struct connection *connection;
    struct evhttp_request *request;
    struct event *pause_event;
    char number[24]; ///< value of the call field
    bool is_identified;
    bool sent;
    bool has_line; ///< the status line was checked
    bool is_malformed;
    bool has_head;
    bool accepts_unframed;
    bool framed;
    bool paused;
    void (*head)(void *, int, const struct message_header *, size_t);
    void (*data)(void *, struct evbuffer *);
    void (*end)(void *, enum http_call_result);
    void *ctx;
    struct http_call *prev;
    struct http_call *next;
};

struct http_client *
http_client_new(const struct http_client_options *options)
{
    struct http_client *client = xcalloc(1, sizeof(*client));

    client->options = *options;
    return client;
}

static void
connection_free(struct connection *connection)
{
    evhttp_connection_free(connection->http);
    event_free(connection->recycle_event);
    free(connection);
}

void
http_client_free(struct http_client *client)
{
    if (client == NULL) {
        return;
    }
    while (client->calls != NULL) {
        http_call_cancel(client->calls);
    }
    while (client->idle != NULL) {
        struct connection *connection = client->idle;

        DL_DELETE(client->idle, connection);
        connection_free(connection);
    }
    while (client->recycling != NULL) {
        struct connection *connection = client->recycling;

        DL_DELETE(client->recycling, connection);
        connection_free(connection);
    }
    free(client);
}

static void
on_output_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
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
recycle_connection(struct connection *connection, bool reusable)
{
    struct http_client *client = connection->client;

    connection->call = NULL;
    if (!reusable ||
        client->idle_count >= client->options.idle_connections_max) {
        connection_free(connection);
        return;
    }
    DL_PREPEND(client->idle, connection);
    client->idle_count++;
}

static void
on_recycle(evutil_socket_t fd, short events, void *ctx)
{
    struct connection *connection = ctx;

    (void)fd;
    (void)events;
    DL_DELETE(connection->client->recycling, connection);
    recycle_connection(connection, connection->reusable);
}

/// evhttp reads any number as the status, with a sign and with other bytes
/// behind it.
static bool
is_status_line(const char line[STATUS_LINE_BYTES])
{
    return !memcmp(line, "HTTP/1.", 7) && line[8] == ' ' && line[9] >= '1' &&
           line[9] <= '9' && line[10] >= '0' && line[10] <= '9' &&
           line[11] >= '0' && line[11] <= '9' &&
           (line[12] == ' ' || line[12] == '\r' || line[12] == '\n');
}

static void
on_input_changed(struct evbuffer *input, const struct evbuffer_cb_info *info,
                 void *ctx)
{
    const struct connection *connection = ctx;
    struct http_call *call = connection->call;
    char line[STATUS_LINE_BYTES];

    if (info->n_added == 0 || call == NULL || call->has_line ||
        evbuffer_copyout(input, line, sizeof(line)) <
            (ev_ssize_t)sizeof(line)) {
        return;
    }
    call->has_line = true;
    call->is_malformed = !is_status_line(line);
}

static struct connection *
connection_new(struct http_client *client)
{
    const struct http_client_options *options = &client->options;
    struct connection *connection = xcalloc(1, sizeof(*connection));
    struct bufferevent *bev;

    connection->client = client;
    connection->http = evhttp_connection_base_new(
        options->base, NULL, options->address.ip, options->address.port);
    connection->recycle_event =
        event_new(options->base, -1, 0, on_recycle, connection);
    if (connection->http == NULL || connection->recycle_event == NULL) {
        BUG("out of memory");
    }
    evhttp_connection_set_max_headers_size(
        connection->http, (ev_ssize_t)options->header_bytes_max);
    evhttp_connection_set_timeout(connection->http, EVHTTP_TIMEOUT_S);
    bev = evhttp_connection_get_bufferevent(connection->http);
    evbuffer_add_cb(bufferevent_get_output(bev), on_output_changed,
                    connection);
    evbuffer_add_cb(bufferevent_get_input(bev), on_input_changed, connection);
    return connection;
}

static struct connection *
acquire_connection(struct http_client *client, bool fresh)
{
    struct connection *connection = client->idle;

    if (fresh || connection == NULL) {
        return connection_new(client);
    }
    DL_DELETE(client->idle, connection);
    client->idle_count--;
    return connection;
}

static void
call_free(struct http_call *call)
{
    DL_DELETE(call->client->calls, call);
    if (call->pause_event != NULL) {
        event_free(call->pause_event);
    }
    free(call);
}

static void
finish(struct http_call *call, enum http_call_result result)
{
    struct connection *connection = call->connection;
    void (*callback)(void *, enum http_call_result) = call->end;
    void *ctx = call->ctx;

    connection->call = NULL;
    connection->reusable =
        call->client->options.call_field == NULL || call->is_identified;
    // Recycled from the event loop, since evhttp still uses the connection in
    // this callback.
    DL_APPEND(call->client->recycling, connection);
    event_active(connection->recycle_event, EV_TIMEOUT, 1);
    call_free(call);
    callback(ctx, result);
}

/// False if the answer belongs to another call.
static bool
identify_answer(struct http_call *call, struct evkeyvalq *input)
{
    const char *field = call->client->options.call_field;
    const char *number =
        field != NULL ? evhttp_find_header(input, field) : NULL;

    if (number == NULL) {
        return true;
    }
    call->is_identified = strcmp(number, call->number) == 0;
    evhttp_remove_header(input, field);
    return call->is_identified;
}

/// evhttp passes on heads that are none in the protocol.
static bool
is_head(const struct evhttp_request *request)
{
    const struct evkeyval *field;
    size_t codings = 0;

    TAILQ_FOREACH(field, request->input_headers, next)
    {
        struct str name = str_from(field->key);
        struct str value = str_from(field->value);

        if (!http1_is_token(name) || !http1_is_field_value(value)) {
            return false;
        }
        if (str_equal_nocase(name, "Transfer-Encoding") &&
            (++codings > 1 || !http1_is_chunked(value))) {
            return false;
        }
    }
    return request->major == 1 && http1_is_status(request->response_code);
}

static bool
report_head(struct http_call *call, struct evhttp_request *request)
{
    struct message_header headers[MESSAGE_HEADERS_MAX];
    struct evkeyvalq *input = evhttp_request_get_input_headers(request);
    int status = evhttp_request_get_response_code(request);
    size_t count;

    if (status < STATUS_FINAL_MIN || !identify_answer(call, input)) {
        return false;
    }
    count = http_copy_headers(input, headers, MESSAGE_HEADERS_MAX);
    call->has_head = true;
    call->framed = evhttp_find_header(input, "Transfer-Encoding") != NULL ||
                   evhttp_find_header(input, "Content-Length") != NULL ||
                   status == 204 || status == 304;
    if (call->head != NULL) {
        call->head(call->ctx, status, headers, count);
    }
    if (!call->framed) {
        // Otherwise evhttp takes the body as empty if the response keeps the
        // connection alive.
        evhttp_remove_header(input, "Connection");
        evhttp_add_header(input, "Connection", "close");
    }
    return true;
}

static int
on_head(struct evhttp_request *request, void *ctx)
{
    struct http_call *call = ctx;

    if (call->is_malformed || !is_head(request)) {
        return -1;
    }
    if (evhttp_request_get_response_code(request) == STATUS_CONTINUE) {
        // evhttp reads the answer behind it into the same request.
        evhttp_clear_headers(evhttp_request_get_input_headers(request));
        call->has_line = false;
        // It waits until the rest of the request is written, also if there is
        // none.
        bufferevent_trigger(
            evhttp_connection_get_bufferevent(call->connection->http),
            EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
        return 0;
    }
    return report_head(call, request) ? 0 : -1;
}

static void
on_pause(evutil_socket_t fd, short events, void *ctx)
{
    struct http_call *call = ctx;

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
    struct http_call *call = ctx;

    if (call->data != NULL) {
        call->data(call->ctx, evhttp_request_get_input_buffer(request));
    }
    // evhttp enables reading again after this callback.
    if (call->paused) {
        event_active(call->pause_event, EV_TIMEOUT, 1);
    }
}

static enum http_call_result
failure_result(const struct http_call *call)
{
    if (call->has_head) {
        return HTTP_CALL_INCOMPLETE;
    }
    return call->sent ? HTTP_CALL_NO_RESPONSE : HTTP_CALL_UNSENT;
}

static void
on_done(struct evhttp_request *request, void *ctx)
{
    struct http_call *call = ctx;

    if (request == NULL || evhttp_request_get_response_code(request) == 0) {
        finish(call, failure_result(call));
        return;
    }
    finish(call, call->framed || call->accepts_unframed
                     ? HTTP_CALL_COMPLETE
                     : HTTP_CALL_INCOMPLETE);
}

static void
write_request(struct http_call *call, const struct http_call_options *options)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(call->request);

    const char *call_field = call->client->options.call_field;

    for (size_t i = 0; i < options->header_count; i++) {
        char *name = str_dup(options->headers[i].name);
        char *value = str_dup(options->headers[i].value);

        if (call_field == NULL || strcasecmp(name, call_field) != 0) {
            evhttp_add_header(headers, name, value);
        }
        free(name);
        free(value);
    }
    if (call_field != NULL) {
        snprintf(call->number, sizeof(call->number), "%llu",
                 (unsigned long long)++call->client->call_count);
        evhttp_add_header(headers, call_field, call->number);
    }
    evhttp_add_header(headers, "Host", call->client->options.address.ip);
    if (options->fresh_connection) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evbuffer_add(evhttp_request_get_output_buffer(call->request),
                 options->body.data, options->body.len);
}

struct http_call *
http_call(struct http_client *client, const struct http_call_options *options)
{
    struct http_call *call;
    enum evhttp_cmd_type command;
    char *uri;

    if (!http_parse_method(options->method, &command)) {
        return NULL;
    }
    call = xcalloc(1, sizeof(*call));
    call->client = client;
    call->head = options->head;
    call->data = options->data;
    call->end = options->end;
    call->ctx = options->ctx;
    call->accepts_unframed = options->accepts_unframed;
    call->pause_event = event_new(client->options.base, -1, 0, on_pause, call);
    call->request = evhttp_request_new(on_done, call);
    if (call->pause_event == NULL || call->request == NULL) {
        BUG("out of memory");
    }
    DL_APPEND(client->calls, call);
    call->connection = acquire_connection(client, options->fresh_connection);
    call->connection->call = call;
    evhttp_request_set_header_cb(call->request, on_head);
    evhttp_request_set_chunked_cb(call->request, on_chunk);
    write_request(call, options);
    uri = str_dup(options->uri);
    if (evhttp_make_request(call->connection->http, call->request, command,
                            uri) != 0) {
        // evhttp has freed the request without calling on_done.
        call->request = NULL;
    }
    free(uri);
    if (call->request == NULL) {
        recycle_connection(call->connection, false);
        call_free(call);
        return NULL;
    }
    return call;
}

void
http_call_cancel(struct http_call *call)
{
    struct connection *connection = call->connection;

    connection->call = NULL;
    evhttp_cancel_request(call->request);
    connection_free(connection);
    call_free(call);
}

void
http_call_pause(struct http_call *call, bool paused)
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
