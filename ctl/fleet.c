#include "fleet.h"

#include <stdlib.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#include "core/xmalloc.h"
#include "net/endpoint.h"
#include "net/platform.h"

#define TIMEOUT_MS 2000
#define HEADER_BYTES_MAX 16384

struct fleet;

struct member {
    struct fleet *fleet;
    char *name;
    bool router;
    struct endpoint *endpoint;
    struct endpoint_call *call;
    struct evbuffer *body;
    bool answered;
};

struct fleet {
    struct event_base *base;
    struct member *members;
    size_t count;
    size_t open;
    bool listed;
};

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct member *member = ctx;

    evbuffer_add_buffer(member->body, data);
}

static void
on_end(void *ctx, enum endpoint_end end)
{
    struct member *member = ctx;

    member->call = NULL;
    member->answered = end == ENDPOINT_WHOLE;
    if (--member->fleet->open == 0) {
        event_base_loopbreak(member->fleet->base);
    }
}

static void
ask(struct fleet *fleet, const struct platform_vm *vm)
{
    struct member *member = &fleet->members[fleet->count++];
    struct endpoint_options endpoint = {
        .base = fleet->base,
        .header_bytes_max = HEADER_BYTES_MAX,
    };
    const struct endpoint_call_options call = {
        .method = STR_LITERAL("GET"),
        .uri = STR_LITERAL("/status"),
        .body = STR_LITERAL(""),
        .data = on_data,
        .end = on_end,
        .ctx = member,
    };
    struct err err = {0};

    member->fleet = fleet;
    member->name = str_dup(vm->name);
    member->router = vm->role == PLATFORM_ROLE_ROUTER;
    member->body = evbuffer_new();
    if (!address_parse(vm->admin, &endpoint.address, &err)) {
        return;
    }
    member->endpoint = endpoint_new(&endpoint);
    member->call = endpoint_call(member->endpoint, &call);
    fleet->open += member->call != NULL ? 1 : 0;
}

static void
on_vms(void *ctx, bool ok, int64_t version, const struct platform_vm *vms,
       size_t count)
{
    struct fleet *fleet = ctx;

    (void)version;
    fleet->listed = ok && vms != NULL;
    fleet->members = xcalloc(count, sizeof(*fleet->members));
    for (size_t i = 0; fleet->listed && i < count; i++) {
        ask(fleet, &vms[i]);
    }
    if (fleet->open == 0) {
        event_base_loopbreak(fleet->base);
    }
}

static void
count_member(const struct member *member, int64_t wanted, FILE *out,
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
    if (json != NULL && member->router && version >= wanted) {
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
on_limit(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    event_base_loopbreak(ctx);
}

bool
fleet_ask(struct event_base *base, struct platform *platform,
          int64_t wanted_version, FILE *out, struct fleet_count *count)
{
    static const struct timeval limit = {.tv_sec = TIMEOUT_MS / 1000};
    struct fleet fleet = {.base = base};
    struct event *timer;

    *count = (struct fleet_count){0};
    platform_vms(platform, -1, on_vms, &fleet);
    timer = event_new(base, -1, 0, on_limit, base);
    event_add(timer, &limit);
    event_base_dispatch(base);
    event_free(timer);
    for (size_t i = 0; i < fleet.count; i++) {
        struct member *member = &fleet.members[i];

        count_member(member, wanted_version, out, count);
        endpoint_free(member->endpoint);
        evbuffer_free(member->body);
        free(member->name);
    }
    free(fleet.members);
    return fleet.listed;
}
