#include "platform.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>
#include <utlist.h>

#include "core/xmalloc.h"
#include "http_client.h"
#include "log.h"

#define LOG_MODULE "platform"
#define RESPONSE_BYTES_MAX (64 * 1024 * 1024)
#define RECORDS_MAX 10000
#define RESPONSE_HEADER_BYTES_MAX 16384
#define IDLE_CONNECTIONS_MAX 4
#define CONNECT_TIMEOUT_S 3
/// Approximate size of the HTTP, TCP and IP headers of one direction of a
/// call.
#define CALL_OVERHEAD_BYTES 200

struct platform {
    struct platform_options options;
    struct http_client *client;
    struct call *calls;
};

/// A call in flight; exactly one of the callbacks is set.
struct call {
    struct platform *platform;
    struct http_call *http;
    struct event *timeout;
    struct evbuffer *body;
    int status;
    platform_append_cb *on_append;
    platform_read_cb *on_read;
    platform_read_vms_cb *on_vms;
    void *ctx;
    struct call *prev;
    struct call *next;
};

struct platform *
platform_new(const struct platform_options *options)
{
    struct platform *platform = xcalloc(1, sizeof(*platform));
    const struct http_client_options client = {
        .base = options->base,
        .address = options->address,
        .idle_connections_max = IDLE_CONNECTIONS_MAX,
        .header_bytes_max = RESPONSE_HEADER_BYTES_MAX,
        .connect_timeout_s = CONNECT_TIMEOUT_S,
    };

    platform->options = *options;
    platform->client = http_client_new(&client);
    return platform;
}

static void
call_free(struct call *call)
{
    DL_DELETE(call->platform->calls, call);
    event_free(call->timeout);
    evbuffer_free(call->body);
    free(call);
}

void
platform_free(struct platform *platform)
{
    if (platform == NULL) {
        return;
    }
    while (platform->calls != NULL) {
        struct call *call = platform->calls;

        if (call->http != NULL) {
            http_call_cancel(call->http);
        }
        call_free(call);
    }
    http_client_free(platform->client);
    free(platform);
}

static void
finish_append(const struct call *call, enum platform_status status,
              const json_t *json)
{
    const json_t *offset = json_object_get(json, "offset");

    if (status == PLATFORM_OK && !json_is_integer(offset)) {
        status = PLATFORM_UNKNOWN;
    }
    call->on_append(call->ctx, status, json_integer_value(offset));
}

static struct str
json_str(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    return (struct str){json_string_value(value), json_string_length(value)};
}

static void
finish_read(const struct call *call, const json_t *json)
{
    const json_t *list = json_object_get(json, "records");
    size_t count = json_array_size(list);
    struct platform_record *records = xcalloc(count, sizeof(*records));
    struct platform_page page = {
        .first = json_integer_value(json_object_get(json, "first")),
        .end = json_integer_value(json_object_get(json, "end")),
        .retention_ms =
            json_integer_value(json_object_get(json, "retention_ms")),
        .now_ms = json_integer_value(json_object_get(json, "now_ms")),
        .records = records,
        .count = count,
    };

    for (size_t i = 0; i < count; i++) {
        const json_t *item = json_array_get(list, i);

        records[i].offset =
            json_integer_value(json_object_get(item, "offset"));
        records[i].time_ms =
            json_integer_value(json_object_get(item, "time_ms"));
        records[i].data = json_str(item, "data");
    }
    call->on_read(call->ctx, json_is_array(list) ? &page : NULL);
    free(records);
}

static bool
parse_vm(const json_t *item, struct platform_vm *vm)
{
    struct str role = json_str(item, "role");

    *vm = (struct platform_vm){
        .name = json_str(item, "name"),
        .role = str_equal_c(role, "agent") ? PLATFORM_ROLE_AGENT
                                           : PLATFORM_ROLE_ROUTER,
        .zone = json_str(item, "zone"),
        .pool = json_str(item, "pool"),
        .address = json_str(item, "address"),
        .control = json_str(item, "control"),
        .admin = json_str(item, "admin"),
        .weight =
            (uint32_t)json_integer_value(json_object_get(item, "weight")),
        .leaving = str_equal_c(json_str(item, "state"), "leaving"),
    };
    return vm->name.len > 0 &&
           (str_equal_c(role, "agent") || str_equal_c(role, "router"));
}

static void
finish_vms(const struct call *call, const json_t *json)
{
    const json_t *list = json_object_get(json, "vms");
    int64_t version = json_integer_value(json_object_get(json, "version"));
    struct platform_vm *vms = xcalloc(json_array_size(list), sizeof(*vms));
    size_t count = 0;

    for (size_t i = 0; i < json_array_size(list); i++) {
        if (parse_vm(json_array_get(list, i), &vms[count])) {
            count++;
        }
    }
    call->on_vms(call->ctx, json_is_object(json), version,
                 json_is_array(list) ? vms : NULL, count);
    free(vms);
}

static void
count_control_bytes(const struct call *call, enum counter_id direction,
                    size_t bytes)
{
    if (call->platform->options.is_control_traffic) {
        counter_add(call->platform->options.counters, direction,
                    bytes + CALL_OVERHEAD_BYTES);
    }
}

static void
finish(struct call *call, enum platform_status status)
{
    struct str body = {
        (char *)evbuffer_pullup(call->body, -1),
        evbuffer_get_length(call->body),
    };
    json_t *json = NULL;

    count_control_bytes(call, COUNTER_CONTROL_BYTES_IN, body.len);
    if (status == PLATFORM_OK) {
        json = json_loadb(body.data != NULL ? body.data : "", body.len,
                          JSON_ALLOW_NUL, NULL);
    }
    if (!json_is_object(json)) {
        counter_add(call->platform->options.counters, COUNTER_LOG_FAILURES, 1);
        LOG_WARNING("event=platform-call-failed status=%d body_bytes=%zu",
                    call->status, body.len);
    }
    // Removed first, since the callback may start new calls.
    DL_DELETE(call->platform->calls, call);
    if (call->on_append != NULL) {
        finish_append(call, status, json);
    }
    else if (call->on_read != NULL) {
        finish_read(call, json);
    }
    else {
        finish_vms(call, json);
    }
    json_decref(json);
    event_free(call->timeout);
    evbuffer_free(call->body);
    free(call);
}

static void
on_head(void *ctx, int status, const struct message_header *headers,
        size_t header_count)
{
    struct call *call = ctx;

    (void)headers;
    (void)header_count;
    call->status = status;
}

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct call *call = ctx;

    if (evbuffer_get_length(call->body) < RESPONSE_BYTES_MAX) {
        evbuffer_add_buffer(call->body, data);
    }
}

static void
on_end(void *ctx, enum http_call_result result)
{
    struct call *call = ctx;

    call->http = NULL;
    if (result == HTTP_CALL_UNSENT ||
        (result == HTTP_CALL_COMPLETE && call->status >= 400)) {
        finish(call, PLATFORM_NOT_EXECUTED);
        return;
    }
    finish(call,
           result == HTTP_CALL_COMPLETE ? PLATFORM_OK : PLATFORM_UNKNOWN);
}

static void
on_timeout(evutil_socket_t fd, short events, void *ctx)
{
    struct call *call = ctx;

    (void)fd;
    (void)events;
    if (call->http != NULL) {
        http_call_cancel(call->http);
        call->http = NULL;
        finish(call, PLATFORM_UNKNOWN);
        return;
    }
    finish(call, PLATFORM_NOT_EXECUTED);
}

static struct call *
call_new(struct platform *platform, void *ctx)
{
    struct call *call = xcalloc(1, sizeof(*call));

    call->platform = platform;
    call->ctx = ctx;
    call->body = evbuffer_new();
    call->timeout = event_new(platform->options.base, -1, 0, on_timeout, call);
    if (call->body == NULL || call->timeout == NULL) {
        BUG("out of memory");
    }
    DL_APPEND(platform->calls, call);
    return call;
}

static void
call_start(struct call *call, const char *method, char *uri, struct str body,
           int64_t wait_ms)
{
    int64_t timeout_ms = call->platform->options.timeout_ms + wait_ms;
    const struct timeval limit = {
        .tv_sec = timeout_ms / 1000,
        .tv_usec = timeout_ms % 1000 * 1000,
    };
    const struct timeval immediately = {0};
    const struct http_call_options options = {
        .method = str_from(method),
        .uri = str_from(uri),
        .body = body,
        .head = on_head,
        .data = on_data,
        .end = on_end,
        .ctx = call,
    };

    count_control_bytes(call, COUNTER_CONTROL_BYTES_OUT,
                        strlen(uri) + body.len);
    call->http = http_call(call->platform->client, &options);
    event_add(call->timeout, call->http != NULL ? &limit : &immediately);
    free(uri);
}

void
platform_append(struct platform *platform, struct str stream, struct str data,
                platform_append_cb *callback, void *ctx)
{
    struct call *call = call_new(platform, ctx);

    call->on_append = callback;
    counter_add(platform->options.counters, COUNTER_LOG_APPENDS, 1);
    call_start(call, "POST",
               xasprintf("/log/" STR_FMT "/append", STR_ARG(stream)), data, 0);
}

void
platform_read(struct platform *platform, struct str stream, int64_t from,
              size_t count_max, int64_t wait_ms, platform_read_cb *callback,
              void *ctx)
{
    struct call *call = call_new(platform, ctx);

    call->on_read = callback;
    counter_add(platform->options.counters, COUNTER_LOG_READS, 1);
    if (count_max > RECORDS_MAX) {
        count_max = RECORDS_MAX;
    }
    call_start(call, "GET",
               xasprintf("/log/" STR_FMT
                         "/read?from=%lld&limit=%zu&wait_ms=%lld",
                         STR_ARG(stream), (long long)from, count_max,
                         (long long)wait_ms),
               STR_LITERAL(""), wait_ms);
}

void
platform_read_vms(struct platform *platform, int64_t known_version,
                  platform_read_vms_cb *callback, void *ctx)
{
    struct call *call = call_new(platform, ctx);

    call->on_vms = callback;
    call_start(call, "GET",
               xasprintf("/vms?known=%lld", (long long)known_version),
               STR_LITERAL(""), 0);
}
