#include "origin.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <utlist.h>

#include "core/xmalloc.h"
#include "net/http1.h"
#include "net/http_client.h"

#define HEAD_BYTES_MAX 65536
#define RUNS_MAX 20000
#define FIELD_BYTES 256
/// Endless bytes are written in pieces of this size, and end after a limit.
#define ENDLESS_PIECE_BYTES (64 * 1024)
#define ENDLESS_BYTES_MAX (256 * 1024 * 1024)
#define TRICKLE_US 50000
#define ID_FIELD "Dandelionvalve-Request-Id"
#define SIGNATURE_FIELD "Dandelionvalve-Server-Signature"
#define LOAD_FIELD "Dandelionvalve-Instance-Load"
#define USAGE_FIELD "Dandelionvalve-Token-Usage"
#define PARTS_FIELD "Dandelionvalve-Prefix-Hash"

struct conn {
    struct origin *origin;
    struct bufferevent *bufferevent;
    struct http1 http;
    struct event *timer;
    char id[64];
    bool running;
    bool is_stream;
    bool crashes;       ///< at the next timer
    char call_line[64]; ///< returned in answers; empty: none
    char shed_id[64];
    char shed_call_line[64];
    bool repeats_refusal; ///< that of `shed_id`
    const char *filler;   ///< repeated until the connection is closed
    uint64_t filler_bytes;
    size_t next_event;
    size_t body_bytes;
    int64_t prompt_tokens;
    struct conn *prev;
    struct conn *next;
};

struct origin {
    struct origin_options options;
    struct evconnlistener *listener; ///< NULL: crashed
    struct address address;
    struct {
        struct origin_crash_options options;
        struct event *timer;
        int bound_fd; ///< keeps the port of a crashed endpoint
        uint64_t count;
    } crash;
    struct conn *conns;
    enum origin_fault fault;
    bool has_shed; ///< since the fault was set
    bool leaving;
    bool echoes_calls;
    const char *rejection_fields;
    const char *fields;
    bool has_resume_fault;
    enum origin_fault resume_fault;
    uint64_t requests;
    const char *load;
    const char *contexts;
    uint64_t contexts_queries;
    char *run_ids[RUNS_MAX];
    uint64_t runs;
    uint64_t cancelled;
    uint64_t connections;
    uint64_t endless_bytes;
    struct http1 last_request; ///< copy of the last head's text and fields
    char last_field[FIELD_BYTES];
    size_t last_body_bytes;
};

static void
close_conn(struct conn *conn)
{
    struct origin *origin = conn->origin;

    DL_DELETE(origin->conns, conn);
    bufferevent_free(conn->bufferevent);
    event_free(conn->timer);
    http1_destroy(&conn->http);
    free(conn);
}

static void
reset_conn(struct conn *conn)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};

    setsockopt(bufferevent_getfd(conn->bufferevent), SOL_SOCKET, SO_LINGER,
               &reset, sizeof(reset));
    close_conn(conn);
}

static void
set_timer(struct conn *conn, int64_t us)
{
    const struct timeval delay = {
        .tv_sec = us / 1000000,
        .tv_usec = us % 1000000,
    };

    event_add(conn->timer, &delay);
}

/// Writes to the socket: the connection is closed next, and its output buffer
/// would be discarded.
static void
write_immediately(struct conn *conn, const char *fmt, ...)
{
    struct evbuffer *out = evbuffer_new();
    va_list ap;

    va_start(ap, fmt);
    evbuffer_add_vprintf(out, fmt, ap);
    va_end(ap);
    evbuffer_write(out, bufferevent_getfd(conn->bufferevent));
    evbuffer_free(out);
}

static const char *
leaving_field(const struct conn *conn)
{
    return conn->origin->leaving ? "Server-Leaving: 1\r\n" : "";
}

static const char *
added_fields(const struct conn *conn)
{
    return conn->origin->fields != NULL ? conn->origin->fields : "";
}

static void
write_answer(struct conn *conn, const char *id, int status,
             const char *extra_headers, const char *body)
{
    struct evbuffer *out = bufferevent_get_output(conn->bufferevent);

    evbuffer_add_printf(out,
                        "HTTP/1.1 %d X\r\n" ID_FIELD ": %s\r\n%s%s%s%s"
                        "Content-Length: %zu\r\n\r\n%s",
                        status, id, extra_headers, leaving_field(conn),
                        added_fields(conn), conn->call_line, strlen(body),
                        body);
}

static void
reset_request(struct conn *conn)
{
    conn->running = false;
    conn->body_bytes = 0;
    http1_reset(&conn->http);
}

/// Sends the answer of an endpoint without a fault.
static void
answer_normally(struct conn *conn)
{
    char body[160];

    snprintf(body, sizeof(body), "answer to %s, %zu bytes", conn->id,
             conn->body_bytes);
    write_answer(conn, conn->id, 200, SIGNATURE_FIELD ": s\r\n", body);
    reset_request(conn);
}

static void
answer_unframed(struct conn *conn, enum origin_fault fault)
{
    write_immediately(
        conn,
        "HTTP/1.1 200 X\r\n" ID_FIELD ": %s\r\n" SIGNATURE_FIELD
        ": s\r\n%s\r\nanswer to %s, %zu bytes",
        conn->id,
        fault == ORIGIN_UNFRAMED_KEPT ? "Connection: keep-alive\r\n" : "",
        conn->id, conn->body_bytes);
    if (fault == ORIGIN_UNFRAMED_RESET) {
        reset_conn(conn);
    }
    else {
        close_conn(conn);
    }
}

static bool
is_unframed_stream(enum origin_fault fault)
{
    return fault == ORIGIN_STREAM_UNFRAMED ||
           fault == ORIGIN_STREAM_UNFRAMED_CRLF ||
           fault == ORIGIN_STREAM_UNFRAMED_CLOSED ||
           fault == ORIGIN_STREAM_UNFRAMED_NONE ||
           fault == ORIGIN_STREAM_UNFRAMED_RESET;
}

static void
start_stream(struct conn *conn)
{
    struct evbuffer *out = bufferevent_get_output(conn->bufferevent);
    struct str last_event_id = http1_value(&conn->http, "Last-Event-Id");
    int64_t after = 0;

    conn->next_event =
        str_to_int64(last_event_id, &after) ? (size_t)after + 1 : 1;
    evbuffer_add_printf(out,
                        "HTTP/1.1 200 X\r\n" ID_FIELD
                        ": %s\r\n" SIGNATURE_FIELD ": s\r\n",
                        conn->id);
    if (conn->origin->load != NULL) {
        evbuffer_add_printf(out, LOAD_FIELD ": %s\r\n", conn->origin->load);
    }
    evbuffer_add_printf(out, "%s%sContent-Type: text/event-stream\r\n",
                        leaving_field(conn), added_fields(conn));
    if (is_unframed_stream(conn->origin->fault)) {
        evbuffer_add_printf(out, "\r\n");
    }
    else if (conn->origin->fault != ORIGIN_STREAM_LENGTH_CUT) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n");
    }
}

static int
format_event(const struct conn *conn, char *event, size_t size)
{
    const char *end =
        conn->origin->fault == ORIGIN_STREAM_UNFRAMED_CRLF ? "\r\n" : "\n";

    return snprintf(event, size, "id: %zu%sdata: %s/%zu%s%s", conn->next_event,
                    end, conn->id, conn->next_event, end, end);
}

/// Writes the next event of a stream without chunks, or its end.
static void
write_unframed_event(struct conn *conn)
{
    const struct origin_options *options = &conn->origin->options;
    enum origin_fault fault = conn->origin->fault;
    bool is_late = conn->next_event > options->events / 2;
    char event[128];
    int len = format_event(conn, event, sizeof(event));

    if (fault == ORIGIN_STREAM_UNFRAMED_NONE) {
        close_conn(conn);
        return;
    }
    if (is_late && fault == ORIGIN_STREAM_UNFRAMED_RESET) {
        reset_conn(conn);
        return;
    }
    if (is_late && fault == ORIGIN_STREAM_UNFRAMED_CLOSED) {
        write_immediately(conn, "%.*s", len / 2, event);
        close_conn(conn);
        return;
    }
    if (conn->next_event++ >= options->events) {
        write_immediately(conn, "%s", event);
        close_conn(conn);
        return;
    }
    evbuffer_add(bufferevent_get_output(conn->bufferevent), event,
                 (size_t)len);
    set_timer(conn, options->work_us);
}

/// Writes the first half of a stream and a part of the next event, as a body
/// with a length.
static void
write_cut_body(struct conn *conn)
{
    struct evbuffer *body = evbuffer_new();
    char event[128];
    int len;

    while (conn->next_event <= conn->origin->options.events / 2) {
        len = format_event(conn, event, sizeof(event));
        evbuffer_add(body, event, (size_t)len);
        conn->next_event++;
    }
    len = format_event(conn, event, sizeof(event));
    evbuffer_add(body, event, (size_t)len / 2);
    evbuffer_add_printf(bufferevent_get_output(conn->bufferevent),
                        "Content-Length: %zu\r\n\r\n",
                        evbuffer_get_length(body));
    evbuffer_add_buffer(bufferevent_get_output(conn->bufferevent), body);
    evbuffer_free(body);
    reset_request(conn);
}

static void
write_event(struct conn *conn)
{
    struct evbuffer *out = bufferevent_get_output(conn->bufferevent);
    struct origin *origin = conn->origin;
    char event[128];
    int len = format_event(conn, event, sizeof(event));

    if (origin->fault == ORIGIN_STREAM_EMPTY) {
        evbuffer_add_printf(out, "0\r\n\r\n");
        reset_request(conn);
        return;
    }
    if (origin->fault == ORIGIN_STREAM_CHUNKS_CUT &&
        conn->next_event > origin->options.events / 2) {
        evbuffer_add_printf(out, "%x\r\n%.*s\r\n0\r\n\r\n", len / 2, len / 2,
                            event);
        reset_request(conn);
        return;
    }
    if (origin->fault == ORIGIN_RESETS_IN_EVENT &&
        conn->next_event > origin->options.events / 2) {
        origin->fault = ORIGIN_OK;
        write_immediately(conn, "%x\r\n%.*s", len, len / 2, event);
        reset_conn(conn);
        return;
    }
    if (origin->fault == ORIGIN_TRICKLES &&
        conn->next_event > origin->options.events / 2) {
        evbuffer_add_printf(out, "1\r\nd\r\n");
        set_timer(conn, TRICKLE_US);
        return;
    }
    evbuffer_add_printf(out, "%x\r\n%s\r\n", len, event);
    if (conn->next_event++ < origin->options.events) {
        set_timer(conn, origin->options.work_us);
        return;
    }
    evbuffer_add_printf(out, "0\r\n\r\n");
    reset_request(conn);
}

/// Continues endless bytes when the last piece has been written.
static void
on_written(struct bufferevent *bufferevent, void *ctx)
{
    struct evbuffer *out = bufferevent_get_output(bufferevent);
    struct conn *conn = ctx;
    size_t len;

    if (conn->filler == NULL || conn->filler_bytes >= ENDLESS_BYTES_MAX) {
        return;
    }
    len = strlen(conn->filler);
    for (size_t sent = 0; sent < ENDLESS_PIECE_BYTES; sent += len) {
        evbuffer_add(out, conn->filler, len);
        conn->filler_bytes += len;
        conn->origin->endless_bytes += len;
    }
}

struct endless {
    const char *status; ///< NULL: starts without a head
    const char *fields; ///< after the id and the signature
    const char *start;
    const char *filler;
};

static const struct endless endless[ORIGIN_FAULT_COUNT] = {
    [ORIGIN_ENDLESS_FIELD] = {"200", "X-Long: ", "", "aaaaaaaa"},
    [ORIGIN_ENDLESS_FIELDS] = {"200", "", "", "X-Field: b\r\n"},
    [ORIGIN_ENDLESS_INTERIM] = {NULL, "", "", "HTTP/1.1 100 X\r\n\r\n"},
    [ORIGIN_ENDLESS_STALE] = {NULL, "", "",
                              "HTTP/1.1 200 X\r\n" ID_FIELD
                              ": another\r\n" SIGNATURE_FIELD
                              ": s\r\nContent-Length: 4\r\n\r\nbody"},
    [ORIGIN_ENDLESS_BODY] = {"200", "\r\n", "", "bbbbbbbb"},
    [ORIGIN_ENDLESS_ERROR] = {"500", "Transfer-Encoding: chunked\r\n\r\n", "",
                              "8\r\nbbbbbbbb\r\n"},
    [ORIGIN_ENDLESS_EXTENSION] = {"200", "Transfer-Encoding: chunked\r\n\r\n",
                                  "5;x=", "eeeeeeee"},
    [ORIGIN_ENDLESS_TRAILER] = {"200", "Transfer-Encoding: chunked\r\n\r\n",
                                "2\r\nok\r\n0\r\n", "X-Field: b\r\n"},
    [ORIGIN_ENDLESS_EXCESS] = {"200", "Content-Length: 2\r\n\r\n", "ok",
                               "excess  "},
    [ORIGIN_ENDLESS_EVENT] = {"200",
                              "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                              "1b\r\nid: 1\ndata: one\n\nid: 2\ndata\r\n",
                              "8\r\ndddddddd\r\n"},
};

static void
answer_endlessly(struct conn *conn)
{
    const struct endless *bytes = &endless[conn->origin->fault];
    struct evbuffer *out = bufferevent_get_output(conn->bufferevent);

    if (bytes->status != NULL) {
        evbuffer_add_printf(out,
                            "HTTP/1.1 %s X\r\n" ID_FIELD
                            ": %s\r\n" SIGNATURE_FIELD ": s\r\n",
                            bytes->status, conn->id);
    }
    evbuffer_add_printf(out, "%s%s", bytes->fields, bytes->start);
    conn->filler = bytes->filler;
    on_written(conn->bufferevent, conn);
}

static void
answer(struct conn *conn)
{
    struct evbuffer *out = bufferevent_get_output(conn->bufferevent);

    if (endless[conn->origin->fault].filler != NULL) {
        answer_endlessly(conn);
        return;
    }
    switch (conn->origin->fault) {
    case ORIGIN_FAILS:
        write_answer(conn, conn->id, 500, SIGNATURE_FIELD ": s\r\n", "failed");
        reset_request(conn);
        return;
    case ORIGIN_BUSY:
        write_answer(conn, conn->id, 503, "", "busy");
        reset_request(conn);
        return;
    case ORIGIN_RESETS:
        reset_conn(conn);
        return;
    case ORIGIN_TRUNCATES:
        write_immediately(conn,
                          "HTTP/1.1 200 X\r\n" ID_FIELD
                          ": %s\r\n" SIGNATURE_FIELD
                          ": s\r\nContent-Length: 100\r\n\r\npart",
                          conn->id);
        close_conn(conn);
        return;
    case ORIGIN_HEAD_CUT:
    case ORIGIN_HEAD_CUT_LINE:
        write_immediately(
            conn,
            "HTTP/1.1 200 X\r\n" ID_FIELD ": %s\r\n" SIGNATURE_FIELD
            ": s\r\nContent-Length: %s",
            conn->id, conn->origin->fault == ORIGIN_HEAD_CUT ? "1" : "0\r\n");
        close_conn(conn);
        return;
    case ORIGIN_UNFRAMED:
    case ORIGIN_UNFRAMED_RESET:
    case ORIGIN_UNFRAMED_KEPT:
        answer_unframed(conn, conn->origin->fault);
        return;
    case ORIGIN_STALE_ANSWER:
        write_answer(conn, "another-request", 200, SIGNATURE_FIELD ": s\r\n",
                     "not yours");
        answer_normally(conn);
        return;
    case ORIGIN_ANSWERS_TWICE:
        answer_normally(conn);
        write_answer(conn, conn->id, 200, SIGNATURE_FIELD ": s\r\n", "again");
        return;
    case ORIGIN_INVALID_HTTP:
        evbuffer_add_printf(out, "\x01\x02 no answer\r\n\r\n");
        return;
    case ORIGIN_UNSIGNED:
        write_answer(conn, conn->id, 200, "", "unsigned");
        reset_request(conn);
        return;
    case ORIGIN_OTHER_TYPE:
        write_answer(conn, conn->id, 200,
                     SIGNATURE_FIELD ": s\r\nContent-Type: "
                                     "application/json\r\n",
                     "{}");
        reset_request(conn);
        return;
    case ORIGIN_CONTENT_ENCODED:
        write_answer(conn, conn->id, 200,
                     SIGNATURE_FIELD ": s\r\nContent-Encoding: gzip\r\n",
                     "encoded");
        reset_request(conn);
        return;
    default:
        answer_normally(conn);
    }
}

/// True if the prompt contains the part that crashes the endpoint.
static bool
has_crash_part(const struct conn *conn)
{
    const char *part = conn->origin->crash.options.part;
    struct str rest = http1_value(&conn->http, PARTS_FIELD);

    while (part != NULL && rest.len > 0) {
        const char *comma = memchr(rest.data, ',', rest.len);
        size_t len = comma != NULL ? (size_t)(comma - rest.data) : rest.len;
        const char *colon = memchr(rest.data, ':', len);

        if (colon != NULL &&
            str_equal_c((struct str){rest.data, (size_t)(colon - rest.data)},
                        part)) {
            return true;
        }
        len += comma != NULL ? 1 : 0;
        rest = (struct str){rest.data + len, rest.len - len};
    }
    return false;
}

static void
write_crash_head(struct conn *conn)
{
    write_immediately(conn,
                      "HTTP/1.1 200 X\r\n" ID_FIELD ": %s\r\n" SIGNATURE_FIELD
                      ": s\r\nTransfer-Encoding: chunked\r\n\r\n",
                      conn->id);
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct conn *conn = ctx;

    (void)fd;
    (void)events;
    if (conn->crashes) {
        origin_crash(conn->origin);
    }
    else if (conn->is_stream && is_unframed_stream(conn->origin->fault)) {
        write_unframed_event(conn);
    }
    else if (conn->is_stream &&
             conn->origin->fault == ORIGIN_STREAM_LENGTH_CUT) {
        write_cut_body(conn);
    }
    else if (conn->is_stream) {
        write_event(conn);
    }
    else {
        answer(conn);
    }
}

static void
refuse(struct conn *conn, int status)
{
    const char *added = conn->origin->rejection_fields;
    char fields[256] = "";

    if (status == 503) {
        snprintf(fields, sizeof(fields),
                 "Dandelionvalve-Not-Executed: 1\r\n%s",
                 added != NULL ? added : "");
    }
    write_answer(conn, conn->id, status, fields, "");
    reset_request(conn);
}

/// Sheds the first request, and repeats that answer on its connection while
/// the next request runs. True if the request does not run.
static bool
shed_again(struct conn *conn)
{
    struct origin *origin = conn->origin;

    if (!origin->has_shed) {
        origin->has_shed = true;
        memcpy(conn->shed_id, conn->id, sizeof(conn->shed_id));
        memcpy(conn->shed_call_line, conn->call_line,
               sizeof(conn->shed_call_line));
        conn->repeats_refusal = true;
        refuse(conn, 503);
        return true;
    }
    if (conn->repeats_refusal) {
        char call_line[sizeof(conn->call_line)];

        memcpy(call_line, conn->call_line, sizeof(call_line));
        memcpy(conn->call_line, conn->shed_call_line, sizeof(call_line));
        write_answer(conn, conn->shed_id, 503,
                     "Dandelionvalve-Not-Executed: 1\r\n", "");
        memcpy(conn->call_line, call_line, sizeof(call_line));
        conn->repeats_refusal = false;
    }
    return false;
}

/// True if streams are sent under this fault.
static bool
can_stream(enum origin_fault fault)
{
    switch (fault) {
    case ORIGIN_OK:
    case ORIGIN_RESETS_IN_EVENT:
    case ORIGIN_TRICKLES:
    case ORIGIN_STREAM_EMPTY:
    case ORIGIN_STREAM_UNFRAMED:
    case ORIGIN_STREAM_UNFRAMED_CRLF:
    case ORIGIN_STREAM_UNFRAMED_CLOSED:
    case ORIGIN_STREAM_UNFRAMED_NONE:
    case ORIGIN_STREAM_UNFRAMED_RESET:
    case ORIGIN_STREAM_CHUNKS_CUT:
    case ORIGIN_STREAM_LENGTH_CUT:
    case ORIGIN_TRUNCATES:
    case ORIGIN_UNFRAMED:
    case ORIGIN_UNFRAMED_RESET:
    case ORIGIN_ANSWERS_TWICE:
    case ORIGIN_STALE_ANSWER:
        return true;
    default:
        return false;
    }
}

static bool
is_contexts_query(const struct conn *conn)
{
    return str_equal_c(http1_target(&conn->http), "/v1/kv-list");
}

static void
answer_contexts(struct conn *conn)
{
    char body[512];

    conn->origin->contexts_queries++;
    snprintf(body, sizeof(body), "{\"epoch\":1,\"next\":1,\"held\":[%s]}",
             conn->origin->contexts != NULL ? conn->origin->contexts : "");
    write_answer(conn, "", 200, "", body);
    reset_request(conn);
}

/// True if the running requests need more memory than there is.
static bool
is_memory_exceeded(const struct origin *origin)
{
    const struct conn *conn;
    int64_t tokens = 0;

    DL_FOREACH(origin->conns, conn)
    {
        tokens += conn->running ? conn->prompt_tokens : 0;
    }
    return origin->options.memory_tokens > 0 &&
           tokens > origin->options.memory_tokens;
}

static void
on_end(void *ctx)
{
    struct conn *conn = ctx;
    struct origin *origin = conn->origin;
    struct str target = http1_target(&conn->http);

    if (is_contexts_query(conn)) {
        answer_contexts(conn);
        return;
    }
    origin->last_body_bytes = conn->body_bytes;
    origin->requests++;
    if (origin->options.received != NULL) {
        origin->options.received(origin->options.ctx, conn->id);
    }
    if (origin->fault == ORIGIN_SHEDS || origin->fault == ORIGIN_MISDIRECTED) {
        refuse(conn, origin->fault == ORIGIN_SHEDS ? 503 : 421);
        return;
    }
    if (origin->fault == ORIGIN_EARLY_ANSWER) {
        reset_request(conn);
        return;
    }
    if (origin->fault == ORIGIN_SHEDS_AGAIN && shed_again(conn)) {
        return;
    }
    INVARIANT(origin->runs < RUNS_MAX);
    origin->run_ids[origin->runs++] = xstrdup(conn->id);
    conn->running = true;
    conn->crashes = has_crash_part(conn) || is_memory_exceeded(origin);
    if (conn->crashes) {
        write_crash_head(conn);
        set_timer(conn, origin->options.work_us);
        return;
    }
    conn->is_stream = memmem(target.data, target.len, "stream", 6) != NULL &&
                      can_stream(origin->fault);
    if (origin->fault == ORIGIN_HANGS) {
        return;
    }
    if (conn->is_stream) {
        start_stream(conn);
    }
    set_timer(conn, origin->options.work_us);
}

static void
set_call_line(struct conn *conn)
{
    struct str number = http1_value(&conn->http, HTTP_CLIENT_CALL_FIELD);

    conn->call_line[0] = '\0';
    if (conn->origin->echoes_calls && number.len > 0) {
        snprintf(conn->call_line, sizeof(conn->call_line),
                 HTTP_CLIENT_CALL_FIELD ": " STR_FMT "\r\n", STR_ARG(number));
    }
}

static void
set_prompt_tokens(struct conn *conn)
{
    struct str usage = http1_value(&conn->http, USAGE_FIELD);
    size_t len = 0;

    while (len < usage.len && usage.data[len] != ',') {
        len++;
    }
    conn->prompt_tokens = 0;
    (void)str_to_int64((struct str){usage.data, len}, &conn->prompt_tokens);
}

static void
on_head(void *ctx)
{
    struct conn *conn = ctx;
    struct origin *origin = conn->origin;

    if (is_contexts_query(conn)) {
        return;
    }
    snprintf(conn->id, sizeof(conn->id), STR_FMT,
             STR_ARG(http1_value(&conn->http, ID_FIELD)));
    set_call_line(conn);
    set_prompt_tokens(conn);
    if (origin->has_resume_fault &&
        http1_value(&conn->http, "Last-Event-Id").len > 0) {
        origin_set_fault(origin, origin->resume_fault);
    }
    free(origin->last_request.text);
    origin->last_request = conn->http;
    origin->last_request.text = xmalloc(conn->http.text_len + 1);
    memcpy(origin->last_request.text, conn->http.text, conn->http.text_len);
    if (origin->fault == ORIGIN_EARLY_ANSWER) {
        write_answer(conn, conn->id, 400, SIGNATURE_FIELD ": s\r\n",
                     "too long");
    }
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    struct conn *conn = ctx;

    (void)bytes;
    conn->body_bytes += len;
}

static const struct http1_callbacks callbacks = {on_head, on_data, on_end};

static void
on_read(struct bufferevent *bufferevent, void *ctx)
{
    struct conn *conn = ctx;
    struct evbuffer *input = bufferevent_get_input(bufferevent);

    while (evbuffer_get_length(input) > 0 && !conn->running) {
        size_t len = evbuffer_get_length(input);
        size_t taken = http1_feed(
            &conn->http, (const char *)evbuffer_pullup(input, -1), len);

        evbuffer_drain(input, taken);
        if (conn->http.error != HTTP1_OK) {
            close_conn(conn);
            return;
        }
    }
}

static void
on_event(struct bufferevent *bufferevent, short events, void *ctx)
{
    struct conn *conn = ctx;

    (void)bufferevent;
    (void)events;
    if (conn->running) {
        conn->origin->cancelled++;
    }
    close_conn(conn);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *peer, int len, void *ctx)
{
    struct origin *origin = ctx;
    struct conn *conn = xcalloc(1, sizeof(*conn));

    (void)listener;
    (void)peer;
    (void)len;
    conn->origin = origin;
    conn->bufferevent = bufferevent_socket_new(origin->options.base, fd,
                                               BEV_OPT_CLOSE_ON_FREE);
    conn->timer = event_new(origin->options.base, -1, 0, on_timer, conn);
    http1_init(&conn->http, HTTP_REQUEST, HEAD_BYTES_MAX, &callbacks, conn);
    bufferevent_setcb(conn->bufferevent, on_read, on_written, on_event, conn);
    bufferevent_enable(conn->bufferevent, EV_READ | EV_WRITE);
    DL_APPEND(origin->conns, conn);
    origin->connections++;
}

/// Binds the port without listening, so that connections are refused and no
/// other socket takes it.
static int
bind_port(const struct address *address)
{
    static const int one = 1;
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    INVARIANT(fd >= 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    INVARIANT(bind(fd, (const struct sockaddr *)&address->storage,
                   address->len) == 0);
    return fd;
}

static void
on_back(evutil_socket_t fd, short events, void *ctx)
{
    struct origin *origin = ctx;
    const struct origin_crash_options *options = &origin->crash.options;

    (void)fd;
    (void)events;
    origin->listener =
        evconnlistener_new(origin->options.base, on_accept, origin,
                           LEV_OPT_CLOSE_ON_FREE, -1, origin->crash.bound_fd);
    INVARIANT(origin->listener != NULL);
    origin->crash.bound_fd = -1;
    if (options->back != NULL) {
        options->back(options->ctx, origin);
    }
}

void
origin_set_crash(struct origin *origin,
                 const struct origin_crash_options *options)
{
    origin->crash.options = *options;
}

void
origin_crash(struct origin *origin)
{
    int64_t away_ms = origin->crash.options.away_ms;
    const struct timeval away = {away_ms / 1000, away_ms % 1000 * 1000};

    if (origin->listener == NULL) {
        return;
    }
    origin->crash.count++;
    evconnlistener_free(origin->listener);
    origin->listener = NULL;
    while (origin->conns != NULL) {
        close_conn(origin->conns);
    }
    origin->crash.bound_fd = bind_port(&origin->address);
    event_add(origin->crash.timer, &away);
}

uint64_t
origin_crashes(const struct origin *origin)
{
    return origin->crash.count;
}

bool
origin_is_up(const struct origin *origin)
{
    return origin->listener != NULL;
}

struct origin *
origin_new(const struct origin_options *options, struct err *err)
{
    struct origin *origin = xcalloc(1, sizeof(*origin));

    origin->options = *options;
    origin->listener = evconnlistener_new_bind(
        options->base, on_accept, origin,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        (const struct sockaddr *)&options->address.storage,
        (int)options->address.len);
    if (origin->listener == NULL) {
        err_set(err, ERR_IO, "bind", options->address.ip,
                "cannot listen at %s:%u", options->address.ip,
                options->address.port);
        free(origin);
        return NULL;
    }
    address_of_socket(evconnlistener_get_fd(origin->listener),
                      &origin->address);
    origin->crash.bound_fd = -1;
    origin->crash.timer = event_new(options->base, -1, 0, on_back, origin);
    return origin;
}

void
origin_free(struct origin *origin)
{
    if (origin == NULL) {
        return;
    }
    while (origin->conns != NULL) {
        close_conn(origin->conns);
    }
    if (origin->listener != NULL) {
        evconnlistener_free(origin->listener);
    }
    if (origin->crash.bound_fd >= 0) {
        evutil_closesocket(origin->crash.bound_fd);
    }
    event_free(origin->crash.timer);
    for (size_t i = 0; i < origin->runs; i++) {
        free(origin->run_ids[i]);
    }
    free(origin->last_request.text);
    free(origin);
}

struct address
origin_address(const struct origin *origin)
{
    return origin->address;
}

void
origin_set_fault(struct origin *origin, enum origin_fault fault)
{
    origin->fault = fault;
    origin->has_shed = false;
}

void
origin_set_resume_fault(struct origin *origin, enum origin_fault fault)
{
    origin->has_resume_fault = true;
    origin->resume_fault = fault;
}

void
origin_set_rejection_fields(struct origin *origin, const char *fields)
{
    origin->rejection_fields = fields;
}

void
origin_set_fields(struct origin *origin, const char *fields)
{
    origin->fields = fields;
}

void
origin_set_call_echo(struct origin *origin)
{
    origin->echoes_calls = true;
}

void
origin_set_work(struct origin *origin, int64_t work_us)
{
    origin->options.work_us = work_us;
}

void
origin_set_leaving(struct origin *origin)
{
    origin->leaving = true;
}

void
origin_set_contexts(struct origin *origin, const char *rows)
{
    origin->contexts = rows;
}

uint64_t
origin_contexts_queries(const struct origin *origin)
{
    return origin->contexts_queries;
}

void
origin_set_load(struct origin *origin, const char *load)
{
    origin->load = load;
}

uint64_t
origin_requests(const struct origin *origin)
{
    return origin->requests;
}

uint64_t
origin_runs(const struct origin *origin)
{
    return origin->runs;
}

size_t
origin_running(const struct origin *origin)
{
    const struct conn *conn;
    size_t count = 0;

    DL_FOREACH(origin->conns, conn)
    {
        count += conn->running ? 1 : 0;
    }
    return count;
}

uint64_t
origin_cancelled(const struct origin *origin)
{
    return origin->cancelled;
}

uint64_t
origin_endless_bytes(const struct origin *origin)
{
    return origin->endless_bytes;
}

uint64_t
origin_connections(const struct origin *origin)
{
    return origin->connections;
}

uint64_t
origin_runs_of(const struct origin *origin, const char *id)
{
    uint64_t count = 0;

    for (size_t i = 0; i < origin->runs; i++) {
        count += !strcmp(origin->run_ids[i], id) ? 1 : 0;
    }
    return count;
}

const char *
origin_last_field(struct origin *origin, const char *name)
{
    struct str value = http1_value(&origin->last_request, name);

    snprintf(origin->last_field, FIELD_BYTES, STR_FMT, STR_ARG(value));
    return origin->last_field;
}

size_t
origin_last_body_bytes(const struct origin *origin)
{
    return origin->last_body_bytes;
}
