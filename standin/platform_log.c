#include "platform_log.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <uthash.h>
#include <utlist.h>

#include "core/xmalloc.h"
#include "net/http.h"

#define BODY_BYTES_MAX (64 * 1024 * 1024)
#define STREAM_BYTES_MAX 128

struct record {
    int64_t time_ms;
    struct str data;
};

struct stream {
    char *name;
    struct record *records; ///< offsets `first` to `end` - 1
    int64_t first;
    int64_t end;
    size_t capacity;
    UT_hash_handle hh;
};

/// A long-poll read that waits for a record.
struct reader {
    struct platform_log *log;
    struct evhttp_request *http;
    struct event *timeout;
    char *stream;
    int64_t from;
    size_t limit;
    struct reader *prev;
    struct reader *next;
};

/// An append that is stored and answered after append_delay_ms.
struct delayed_append {
    struct platform_log *log;
    struct evhttp_request *http;
    struct event *timer;
    char *stream;
    struct str data;
    struct delayed_append *prev;
    struct delayed_append *next;
};

struct platform_log {
    struct platform_log_options options;
    struct evhttp *http;
    struct address address;
    struct stream *streams;
    struct reader *readers;
    struct delayed_append *delayed_appends;
    enum platform_log_fault fault;
    json_t *vms;
    json_t *next_vms;
    int64_t vms_version;
    int64_t vms_due_ms;
    int64_t rate_second;
    int64_t appends_this_second;
    uint64_t appends;
};

static int64_t
now_ms(const struct platform_log *log)
{
    return log->options.wall_offset_ms + clock_ms(log->options.clock);
}

static void
reply_detail(struct evhttp_request *http, int status, const char *detail)
{
    http_reply_json(http, status, json_pack("{s:s}", "error", detail));
}

static struct stream *
get_stream(struct platform_log *log, const char *name)
{
    struct stream *stream;

    HASH_FIND_STR(log->streams, name, stream);
    if (stream == NULL) {
        stream = xcalloc(1, sizeof(*stream));
        stream->name = xstrdup(name);
        HASH_ADD_KEYPTR(hh, log->streams, stream->name, strlen(stream->name),
                        stream);
    }
    return stream;
}

static void
drop_expired(const struct platform_log *log, struct stream *stream)
{
    int64_t oldest = now_ms(log) - log->options.retention_ms;
    size_t count = (size_t)(stream->end - stream->first);
    size_t drop = 0;

    while (drop < count && stream->records[drop].time_ms < oldest) {
        free((char *)stream->records[drop].data.data);
        drop++;
    }
    if (drop > 0) {
        memmove(stream->records, stream->records + drop,
                (count - drop) * sizeof(*stream->records));
        stream->first += (int64_t)drop;
    }
}

static json_t *
page_json(const struct platform_log *log, const struct stream *stream,
          int64_t from, size_t limit)
{
    json_t *list = json_array();
    int64_t offset = from > stream->first ? from : stream->first;

    for (; offset < stream->end && json_array_size(list) < limit; offset++) {
        const struct record *record = &stream->records[offset - stream->first];

        json_array_append_new(
            list, json_pack("{s:I, s:I, s:s%}", "offset", (json_int_t)offset,
                            "time_ms", (json_int_t)record->time_ms, "data",
                            record->data.data, record->data.len));
    }
    return json_pack("{s:I, s:I, s:I, s:I, s:o}", "first",
                     (json_int_t)stream->first, "end", (json_int_t)stream->end,
                     "now_ms", (json_int_t)now_ms(log), "retention_ms",
                     (json_int_t)log->options.retention_ms, "records", list);
}

static void
reader_finish(struct reader *reader)
{
    struct platform_log *log = reader->log;
    struct stream *stream = get_stream(log, reader->stream);

    drop_expired(log, stream);
    evhttp_connection_set_closecb(evhttp_request_get_connection(reader->http),
                                  NULL, NULL);
    http_reply_json(reader->http, 200,
                    page_json(log, stream, reader->from, reader->limit));
    DL_DELETE(log->readers, reader);
    event_free(reader->timeout);
    free(reader->stream);
    free(reader);
}

static void
finish_readers(struct platform_log *log, const struct stream *stream)
{
    struct reader *reader, *next;

    DL_FOREACH_SAFE(log->readers, reader, next)
    {
        if (!strcmp(reader->stream, stream->name)) {
            reader_finish(reader);
        }
    }
}

static int64_t
append(struct platform_log *log, const char *name, struct str data)
{
    struct stream *stream = get_stream(log, name);
    size_t count = (size_t)(stream->end - stream->first);

    if (count == stream->capacity) {
        stream->capacity = stream->capacity > 0 ? 2 * stream->capacity : 64;
        stream->records = xrealloc(
            stream->records, stream->capacity * sizeof(*stream->records));
    }
    stream->records[count].time_ms = now_ms(log);
    stream->records[count].data = str_copy(data);
    log->appends++;
    stream->end++;
    finish_readers(log, stream);
    return stream->end - 1;
}

static bool
is_over_append_rate(struct platform_log *log)
{
    int64_t rate_second = clock_ms(log->options.clock) / 1000;

    if (rate_second != log->rate_second) {
        log->rate_second = rate_second;
        log->appends_this_second = 0;
    }
    return ++log->appends_this_second > log->options.appends_per_s;
}

static void
delayed_free(struct delayed_append *delayed)
{
    DL_DELETE(delayed->log->delayed_appends, delayed);
    event_free(delayed->timer);
    free(delayed->stream);
    free((char *)delayed->data.data);
    free(delayed);
}

static void
on_delayed_closed(struct evhttp_connection *connection, void *ctx)
{
    struct delayed_append *delayed = ctx;

    (void)connection;
    if (evhttp_request_get_connection(delayed->http) == NULL) {
        evhttp_request_free(delayed->http);
    }
    delayed->http = NULL;
}

static void
on_append_delay(evutil_socket_t fd, short events, void *ctx)
{
    struct delayed_append *delayed = ctx;
    int64_t offset = append(delayed->log, delayed->stream, delayed->data);

    (void)fd;
    (void)events;
    if (delayed->http != NULL) {
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(delayed->http), NULL, NULL);
        http_reply_json(delayed->http, 200,
                        json_pack("{s:I}", "offset", (json_int_t)offset));
    }
    delayed_free(delayed);
}

static void
delay_append(struct platform_log *log, struct evhttp_request *http,
             const char *stream, struct str data)
{
    struct delayed_append *delayed = xcalloc(1, sizeof(*delayed));
    const struct timeval delay = {
        .tv_sec = log->options.append_delay_ms / 1000,
        .tv_usec = log->options.append_delay_ms % 1000 * 1000,
    };

    delayed->log = log;
    delayed->http = http;
    delayed->stream = xstrdup(stream);
    delayed->data = str_copy(data);
    delayed->timer =
        event_new(log->options.base, -1, 0, on_append_delay, delayed);
    DL_APPEND(log->delayed_appends, delayed);
    evhttp_connection_set_closecb(evhttp_request_get_connection(http),
                                  on_delayed_closed, delayed);
    event_add(delayed->timer, &delay);
}

/// Closes the connection without an answer.
static void
close_connection(struct evhttp_request *http)
{
    evhttp_connection_free(evhttp_request_get_connection(http));
}

static void
on_append(struct platform_log *log, struct evhttp_request *http,
          const char *stream)
{
    struct str data = http_body(http);

    if (log->fault == PLATFORM_LOG_REFUSE) {
        reply_detail(http, 503, "outage");
        return;
    }
    if (is_over_append_rate(log)) {
        evhttp_add_header(evhttp_request_get_output_headers(http),
                          "Retry-After", "1");
        reply_detail(http, 429, "append rate limit exceeded");
        return;
    }
    if (log->fault == PLATFORM_LOG_SILENT) {
        close_connection(http);
        return;
    }
    if (log->fault == PLATFORM_LOG_LOSE_ANSWER) {
        append(log, stream, data);
        close_connection(http);
        return;
    }
    if (log->options.append_delay_ms > 0) {
        delay_append(log, http, stream, data);
        return;
    }
    http_reply_json(
        http, 200,
        json_pack("{s:I}", "offset", (json_int_t)append(log, stream, data)));
}

static void
on_read_timeout(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    reader_finish(ctx);
}

static void
on_reader_closed(struct evhttp_connection *connection, void *ctx)
{
    struct reader *reader = ctx;

    (void)connection;
    if (evhttp_request_get_connection(reader->http) == NULL) {
        evhttp_request_free(reader->http);
    }
    DL_DELETE(reader->log->readers, reader);
    event_free(reader->timeout);
    free(reader->stream);
    free(reader);
}

static int64_t
query_number(const struct evkeyvalq *query, const char *name)
{
    const char *text = evhttp_find_header(query, name);

    return text != NULL ? strtoll(text, NULL, 10) : 0;
}

static void
on_read(struct platform_log *log, struct evhttp_request *http,
        const char *name, const struct evkeyvalq *query)
{
    struct stream *stream = get_stream(log, name);
    int64_t from = query_number(query, "from");
    int64_t wait_ms = query_number(query, "wait_ms");
    size_t limit = (size_t)query_number(query, "limit");
    const struct timeval wait = {
        .tv_sec = wait_ms / 1000,
        .tv_usec = wait_ms % 1000 * 1000,
    };
    struct reader *reader;

    if (log->fault != PLATFORM_LOG_OK &&
        log->fault != PLATFORM_LOG_LOSE_ANSWER) {
        reply_detail(http, 503, "outage");
        return;
    }
    drop_expired(log, stream);
    if (from < stream->end || wait_ms <= 0) {
        http_reply_json(http, 200, page_json(log, stream, from, limit));
        return;
    }
    reader = xcalloc(1, sizeof(*reader));
    reader->log = log;
    reader->http = http;
    reader->stream = xstrdup(name);
    reader->from = from;
    reader->limit = limit;
    reader->timeout =
        event_new(log->options.base, -1, 0, on_read_timeout, reader);
    DL_APPEND(log->readers, reader);
    evhttp_connection_set_closecb(evhttp_request_get_connection(http),
                                  on_reader_closed, reader);
    event_add(reader->timeout, &wait);
}

static void
on_log(struct evhttp_request *http, void *ctx)
{
    struct platform_log *log = ctx;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(http);
    const char *path = evhttp_uri_get_path(uri);
    const char *query_text = evhttp_uri_get_query(uri);
    char stream[STREAM_BYTES_MAX];
    char action[8];
    struct evkeyvalq query = {0};

    if (sscanf(path, "/log/%127[^/]/%7s", stream, action) != 2) {
        reply_detail(http, 404, "no such path");
        return;
    }
    evhttp_parse_query_str(query_text != NULL ? query_text : "", &query);
    if (!strcmp(action, "append") &&
        evhttp_request_get_command(http) == EVHTTP_REQ_POST) {
        on_append(log, http, stream);
    }
    else if (!strcmp(action, "read")) {
        on_read(log, http, stream, &query);
    }
    else {
        reply_detail(http, 404, "no such action");
    }
    evhttp_clear_headers(&query);
}

static void
apply_due_vms(struct platform_log *log)
{
    if (log->next_vms != NULL &&
        clock_ms(log->options.clock) >= log->vms_due_ms) {
        json_decref(log->vms);
        log->vms = log->next_vms;
        log->next_vms = NULL;
        log->vms_version++;
    }
}

static void
on_vms(struct evhttp_request *http, void *ctx)
{
    struct platform_log *log = ctx;
    const char *query_text =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(http));
    struct evkeyvalq query = {0};
    int64_t known;

    if (evhttp_request_get_command(http) == EVHTTP_REQ_PUT) {
        bool ok = platform_log_set_vms(log, http_body(http));

        reply_detail(http, ok ? 200 : 400,
                     ok ? "" : "VM list is not a JSON array");
        return;
    }
    evhttp_parse_query_str(query_text != NULL ? query_text : "", &query);
    known = query_number(&query, "known");
    evhttp_clear_headers(&query);
    apply_due_vms(log);
    if (known == log->vms_version) {
        http_reply_json(
            http, 200,
            json_pack("{s:I}", "version", (json_int_t)log->vms_version));
        return;
    }
    http_reply_json(http, 200,
                    json_pack("{s:I, s:O}", "version",
                              (json_int_t)log->vms_version, "vms", log->vms));
}

static void
on_faults(struct evhttp_request *http, void *ctx)
{
    static const char *const names[] = {
        [PLATFORM_LOG_OK] = "ok",
        [PLATFORM_LOG_REFUSE] = "refuse",
        [PLATFORM_LOG_LOSE_ANSWER] = "lose-answer",
        [PLATFORM_LOG_SILENT] = "silent",
    };
    struct platform_log *log = ctx;
    struct str body = http_body(http);

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (str_equal_c(body, names[i])) {
            platform_log_set_fault(log, (enum platform_log_fault)i);
            reply_detail(http, 200, "");
            return;
        }
    }
    reply_detail(http, 400,
                 "unknown fault: expected ok, refuse, lose-answer or silent");
}

struct platform_log *
platform_log_new(const struct platform_log_options *options, struct err *err)
{
    struct platform_log *log = xcalloc(1, sizeof(*log));

    log->options = *options;
    log->vms = json_loadb(options->vms.data, options->vms.len, 0, NULL);
    log->http = evhttp_new(options->base);
    evhttp_set_max_body_size(log->http, BODY_BYTES_MAX);
    evhttp_set_allowed_methods(log->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                              EVHTTP_REQ_PUT);
    evhttp_set_gencb(log->http, on_log, log);
    evhttp_set_cb(log->http, "/vms", on_vms, log);
    evhttp_set_cb(log->http, "/faults", on_faults, log);
    if (!json_is_array(log->vms)) {
        err_set(err, ERR_INPUT, "standin", NULL, "vms: not a JSON array");
        platform_log_free(log);
        return NULL;
    }
    if (!http_bind(log->http, &options->address, &log->address, err)) {
        platform_log_free(log);
        return NULL;
    }
    return log;
}

static void
stream_free(struct platform_log *log, struct stream *stream)
{
    HASH_DEL(log->streams, stream);
    for (int64_t i = 0; i < stream->end - stream->first; i++) {
        free((char *)stream->records[i].data.data);
    }
    free(stream->records);
    free(stream->name);
    free(stream);
}

void
platform_log_free(struct platform_log *log)
{
    if (log == NULL) {
        return;
    }
    while (log->readers != NULL) {
        close_connection(log->readers->http);
    }
    while (log->delayed_appends != NULL) {
        if (log->delayed_appends->http != NULL) {
            evhttp_connection_set_closecb(
                evhttp_request_get_connection(log->delayed_appends->http),
                NULL, NULL);
        }
        delayed_free(log->delayed_appends);
    }
    evhttp_free(log->http);
    while (log->streams != NULL) {
        stream_free(log, log->streams);
    }
    json_decref(log->vms);
    json_decref(log->next_vms);
    free(log);
}

struct address
platform_log_address(const struct platform_log *log)
{
    return log->address;
}

void
platform_log_set_fault(struct platform_log *log, enum platform_log_fault fault)
{
    log->fault = fault;
    // An outage also closes the connections of waiting reads.
    while (fault == PLATFORM_LOG_REFUSE && log->readers != NULL) {
        close_connection(log->readers->http);
    }
}

bool
platform_log_set_vms(struct platform_log *log, struct str text)
{
    json_t *json = json_loadb(text.data, text.len, 0, NULL);

    if (!json_is_array(json)) {
        json_decref(json);
        return false;
    }
    json_decref(log->next_vms);
    log->next_vms = json;
    log->vms_due_ms = clock_ms(log->options.clock) + log->options.list_lag_ms;
    return true;
}

int64_t
platform_log_append(struct platform_log *log, const char *stream,
                    struct str data)
{
    return append(log, stream, data);
}

uint64_t
platform_log_appends(const struct platform_log *log)
{
    return log->appends;
}
