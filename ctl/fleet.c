#include "fleet.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#include "core/xmalloc.h"
#include "net/http_client.h"
#include "net/platform.h"

#define TIMEOUT_MS 2000
#define HEADER_BYTES_MAX 16384

struct fleet;

struct member {
    struct fleet *fleet;
    char *name;
    bool router;
    struct http_client *client;
    struct http_call *call;
    struct evbuffer *body;
    bool answered;
};

struct fleet {
    struct event_base *base;
    struct member *members;
    size_t count;
    size_t pending_calls;
    bool list_read;
};

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct member *member = ctx;

    evbuffer_add_buffer(member->body, data);
}

static void
on_end(void *ctx, enum http_call_result result)
{
    struct member *member = ctx;

    member->call = NULL;
    member->answered = result == HTTP_CALL_COMPLETE;
    if (--member->fleet->pending_calls == 0) {
        event_base_loopbreak(member->fleet->base);
    }
}

static void
query_member(struct fleet *fleet, struct str name, bool router,
             struct str admin)
{
    struct member *member = &fleet->members[fleet->count++];
    struct http_client_options client = {
        .base = fleet->base,
        .header_bytes_max = HEADER_BYTES_MAX,
    };
    const struct http_call_options call = {
        .method = STR_LITERAL("GET"),
        .uri = STR_LITERAL("/status"),
        .body = STR_LITERAL(""),
        .data = on_data,
        .end = on_end,
        .ctx = member,
    };
    struct err err = {0};

    member->fleet = fleet;
    member->name = str_dup(name);
    member->router = router;
    member->body = evbuffer_new();
    if (!address_parse(admin, &client.address, &err)) {
        return;
    }
    member->client = http_client_new(&client);
    member->call = http_call(member->client, &call);
    fleet->pending_calls += member->call != NULL ? 1 : 0;
}

static void
on_vms(void *ctx, bool ok, int64_t version, const struct platform_vm *vms,
       size_t count)
{
    struct fleet *fleet = ctx;

    (void)version;
    fleet->list_read = ok && vms != NULL;
    fleet->members = xcalloc(count, sizeof(*fleet->members));
    for (size_t i = 0; fleet->list_read && i < count; i++) {
        query_member(fleet, vms[i].name, vms[i].role == PLATFORM_ROLE_ROUTER,
                     vms[i].admin);
    }
    if (fleet->pending_calls == 0) {
        event_base_loopbreak(fleet->base);
    }
}

static void
count_member(const struct member *member, int64_t version_min, FILE *out,
             struct fleet_count *count)
{
    json_t *json = NULL;
    int64_t version;

    if (member->answered) {
        json = json_loadb((char *)evbuffer_pullup(member->body, -1),
                          evbuffer_get_length(member->body), 0, NULL);
    }
    version = json != NULL
                  ? json_integer_value(json_object_get(json, "version"))
                  : -1;
    count->routers += member->router ? 1 : 0;
    count->agents += member->router ? 0 : 1;
    count->answered += json != NULL ? 1 : 0;
    if (json != NULL && member->router && version >= version_min) {
        count->in_force++;
    }
    if (out != NULL) {
        char *text = json != NULL ? json_dumps(json, JSON_COMPACT) : NULL;

        fprintf(out, "%-24s %s\n", member->name,
                text != NULL ? text : "no answer");
        free(text);
    }
    json_decref(json);
}

static void
on_timeout(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    event_base_loopbreak(ctx);
}

/// Waits for the responses, counts and prints them; frees the members.
static void
wait_and_count(struct fleet *fleet, int64_t version_min, FILE *out,
               struct fleet_count *count)
{
    static const struct timeval timeout = {.tv_sec = TIMEOUT_MS / 1000};
    struct event *timer =
        event_new(fleet->base, -1, 0, on_timeout, fleet->base);

    *count = (struct fleet_count){0};
    event_add(timer, &timeout);
    event_base_dispatch(fleet->base);
    event_free(timer);
    for (size_t i = 0; i < fleet->count; i++) {
        struct member *member = &fleet->members[i];

        count_member(member, version_min, out, count);
        http_client_free(member->client);
        evbuffer_free(member->body);
        free(member->name);
    }
    free(fleet->members);
}

bool
fleet_query(struct event_base *base, struct platform *platform,
            int64_t version_min, FILE *out, struct fleet_count *count)
{
    struct fleet fleet = {.base = base};

    platform_read_vms(platform, -1, on_vms, &fleet);
    wait_and_count(&fleet, version_min, out, count);
    return fleet.list_read;
}

bool
fleet_query_routers(struct event_base *base, struct str addresses, FILE *out,
                    struct fleet_count *count, struct err *err)
{
    struct fleet fleet = {.base = base};
    struct address address;
    size_t from = 0;
    bool valid = true;

    fleet.members = xcalloc(addresses.len + 1, sizeof(*fleet.members));
    while (valid && from < addresses.len) {
        const char *start = addresses.data + from;
        const char *comma = memchr(start, ',', addresses.len - from);
        struct str one = {start, comma != NULL ? (size_t)(comma - start)
                                               : addresses.len - from};

        valid = address_parse(one, &address, err);
        if (valid) {
            query_member(&fleet, one, true, one);
        }
        from += one.len + 1;
    }
    wait_and_count(&fleet, 0, out, count);
    return valid;
}
