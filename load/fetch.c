#include "fetch.h"

#include <event2/buffer.h>
#include <event2/event.h>

#include "core/xmalloc.h"
#include "net/http_client.h"

#define HEADER_BYTES_MAX 16384

struct fetch {
    struct event_base *base;
    struct evbuffer *body;
    bool complete;
};

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct fetch *fetch = ctx;

    evbuffer_add_buffer(fetch->body, data);
}

static void
on_end(void *ctx, enum http_call_result end)
{
    struct fetch *fetch = ctx;

    fetch->complete = end == HTTP_CALL_COMPLETE;
    event_base_loopbreak(fetch->base);
}

bool
fetch_get(struct event_base *base, struct str address, const char *path,
          struct str *body)
{
    struct fetch fetch = {.base = base, .body = evbuffer_new()};
    struct http_client_options options = {
        .base = base,
        .header_bytes_max = HEADER_BYTES_MAX,
    };
    const struct http_call_options call = {
        .method = STR_LITERAL("GET"),
        .uri = str_from(path),
        .body = STR_LITERAL(""),
        .data = on_data,
        .end = on_end,
        .ctx = &fetch,
    };
    struct http_client *client;
    struct err err = {0};

    if (address_parse(address, &options.address, &err)) {
        client = http_client_new(&options);
        if (http_call(client, &call) != NULL) {
            event_base_dispatch(base);
        }
        http_client_free(client);
    }
    if (fetch.complete) {
        *body = str_copy((struct str){
            (char *)evbuffer_pullup(fetch.body, -1),
            evbuffer_get_length(fetch.body),
        });
    }
    evbuffer_free(fetch.body);
    return fetch.complete;
}
