#include "control.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <unistd.h>

#include <event2/event.h>
#include <uthash.h>

#include "configuration.h"
#include "core/xmalloc.h"
#include "dandelionvalve/gossip.h"
#include "dandelionvalve/quarantine.h"
#include "net/log.h"

#define LOG_MODULE "control"
#define PEERS_INTERVAL_MS 2000

struct seen_router {
    struct str name;
    UT_hash_handle hh;
};

struct control {
    struct control_options options;
    struct gossip *gossip;
    struct event *readable;
    struct address address;
    int fd;
    struct seen_router *seen_routers;
    int64_t next_peers_ms;
    size_t peer_count;
    struct gossip_counts last_counts;
    uint64_t charged_bytes; ///< control bytes already charged to the budget
};

static void
on_send(void *ctx, struct str address, struct str datagram)
{
    struct control *control = ctx;
    struct address to;
    struct err err = {0};

    if (control->fd < 0 || !address_parse(address, &to, &err)) {
        return;
    }
    if (sendto(control->fd, datagram.data, datagram.len, MSG_DONTWAIT,
               (struct sockaddr *)&to.storage, to.len) < 0) {
        LOG_DEBUG("event=control-send-failed address=" STR_FMT
                  " reason=\"%s\"",
                  STR_ARG(address), strerror(errno));
    }
}

static bool
on_state_report(void *ctx, struct str name, uint64_t incarnation,
                enum agent_state state)
{
    struct control *control = ctx;
    const struct member *member = members_find(control->options.members, name);
    uint64_t before;
    enum agent_state state_before;

    if (member == NULL) {
        return false;
    }
    before = member->incarnation;
    state_before = member->state;
    members_update_state(control->options.members, name, incarnation, state);
    return member->incarnation != before || member->state != state_before;
}

static bool
on_strike(void *ctx, uint64_t fingerprint, uint32_t crash_id)
{
    struct control *control = ctx;

    return quarantine_strike(control->options.quarantine, fingerprint,
                             crash_id);
}

static void
on_datagram_from(void *ctx, struct str name)
{
    struct control *control = ctx;
    const struct member *member = members_find(control->options.members, name);
    struct seen_router *router;

    if (member == NULL) {
        return;
    }
    members_mark_reachable(control->options.members, name);
    if (member->info.role != MEMBER_ROUTER) {
        return;
    }
    HASH_FIND(hh, control->seen_routers, name.data, name.len, router);
    if (router == NULL) {
        router = xcalloc(1, sizeof(*router));
        router->name = str_copy(name);
        HASH_ADD_KEYPTR(hh, control->seen_routers, router->name.data,
                        router->name.len, router);
    }
}

static int64_t
on_version(void *ctx)
{
    struct control *control = ctx;

    return configuration_version(control->options.configuration);
}

static struct str
on_document(void *ctx)
{
    struct control *control = ctx;

    return configuration_document(control->options.configuration);
}

static bool
on_needs_document(void *ctx)
{
    struct control *control = ctx;

    return configuration_log_is_down(control->options.configuration);
}

static bool
on_adopt(void *ctx, int64_t version, struct str document)
{
    struct control *control = ctx;

    return configuration_adopt(control->options.configuration, version,
                               document);
}

static void
on_readable(evutil_socket_t fd, short events, void *ctx)
{
    struct control *control = ctx;
    struct sockaddr_storage from;
    socklen_t len = sizeof(from);
    char datagram[GOSSIP_DATAGRAM_BYTES_MAX + 1];
    char address[ADDRESS_TEXT_BYTES];
    ssize_t received = recvfrom(fd, datagram, sizeof(datagram), MSG_DONTWAIT,
                                (struct sockaddr *)&from, &len);

    (void)events;
    if (received < 0) {
        return;
    }
    address_format((struct sockaddr *)&from, address);
    gossip_receive(control->gossip, str_from(address),
                   (struct str){datagram, (size_t)received});
}

static bool
bind_socket(struct control *control, struct err *err)
{
    const struct address *address = &control->options.settings->control;

    control->fd = socket(address->storage.ss_family,
                         SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (control->fd < 0 ||
        bind(control->fd, (const struct sockaddr *)&address->storage,
             address->len) != 0) {
        return err_set(err, ERR_IO, "bind", address->ip,
                       "cannot bind the control address %s port %d: %s",
                       address->ip, address->port, strerror(errno));
    }
    control->readable = event_new(control->options.base, control->fd,
                                  EV_READ | EV_PERSIST, on_readable, control);
    if (control->readable == NULL) {
        BUG("out of memory");
    }
    event_add(control->readable, NULL);
    return address_of_socket(control->fd, &control->address);
}

struct control *
control_new(const struct control_options *options, struct err *err)
{
    const struct settings_common *settings = options->settings;
    struct control *control = xcalloc(1, sizeof(*control));
    const struct gossip_options gossip = {
        .clock = options->clock,
        .random = options->random,
        .name = settings->name,
        .zone = settings->zone,
        .incarnation = options->incarnation,
        .keys = settings->keys.keys,
        .key_count = settings->keys.count,
        .bytes_per_s = (double)settings->control_bytes_per_s,
        .send = on_send,
        .state_received = on_state_report,
        .strike_received = on_strike,
        .datagram_received = on_datagram_from,
        .version = on_version,
        .document = on_document,
        .needs_document = on_needs_document,
        .apply_document = on_adopt,
        .ctx = control,
    };

    control->options = *options;
    control->fd = -1;
    control->gossip = gossip_new(&gossip);
    if (settings->has_control && !bind_socket(control, err)) {
        control_free(control);
        return NULL;
    }
    return control;
}

void
control_free(struct control *control)
{
    struct seen_router *router, *next;

    if (control == NULL) {
        return;
    }
    if (control->readable != NULL) {
        event_free(control->readable);
    }
    if (control->fd >= 0) {
        close(control->fd);
    }
    HASH_ITER(hh, control->seen_routers, router, next)
    {
        HASH_DEL(control->seen_routers, router);
        free((char *)router->name.data);
        free(router);
    }
    gossip_free(control->gossip);
    free(control);
}

struct address
control_address(const struct control *control)
{
    return control->address;
}

void
control_publish_state(struct control *control, struct str name,
                      uint64_t incarnation, enum agent_state state)
{
    gossip_announce_state(control->gossip, name, incarnation, state);
}

void
control_publish_strike(struct control *control, uint64_t fingerprint,
                       uint32_t crash_id)
{
    gossip_announce_strike(control->gossip, fingerprint, crash_id);
}

bool
control_reserve_bytes(struct control *control, size_t bytes)
{
    return gossip_take_budget(control->gossip, bytes);
}

size_t
control_router_count(const struct control *control)
{
    return HASH_COUNT(control->seen_routers);
}

struct peer_list {
    struct gossip_peer *peers;
    size_t count;
};

static void
add_peer(void *ctx, const struct member *member)
{
    struct peer_list *list = ctx;

    list->peers[list->count++] = (struct gossip_peer){
        .name = member->info.name,
        .zone = member->info.zone,
        .address = member->info.control,
    };
}

static void
update_peers(struct control *control)
{
    struct members *members = control->options.members;
    struct peer_list list = {
        .peers = xcalloc(members_count(members), sizeof(*list.peers)),
    };

    members_each(members, add_peer, &list);
    gossip_set_peers(control->gossip, list.peers, list.count);
    control->peer_count = list.count;
    free(list.peers);
}

/// Charges the control bytes of links and platform calls to the budget.
static void
charge_other_traffic(struct control *control)
{
    const struct counters *counters = control->options.counters;
    uint64_t bytes = counter_get(counters, COUNTER_CONTROL_BYTES_IN) +
                     counter_get(counters, COUNTER_CONTROL_BYTES_OUT);

    if (bytes > control->charged_bytes) {
        gossip_charge_budget(control->gossip, bytes - control->charged_bytes);
    }
    control->charged_bytes = bytes;
}

static void
update_counters(struct control *control)
{
    struct gossip_counts counts = gossip_totals(control->gossip);
    struct counters *counters = control->options.counters;
    uint64_t in = counts.bytes_in - control->last_counts.bytes_in;
    uint64_t out =
        counts.datagram_bytes_out - control->last_counts.datagram_bytes_out;

    counter_add(counters, COUNTER_CONTROL_BYTES_IN, in);
    counter_add(counters, COUNTER_CONTROL_BYTES_OUT, out);
    counter_set(counters, COUNTER_CONTROL_HELD, counts.over_budget);
    counter_set(counters, COUNTER_CONTROL_BAD, counts.rejected);
    control->charged_bytes += in + out;
    control->last_counts = counts;
}

void
control_tick(struct control *control)
{
    int64_t now = clock_ms(control->options.clock);

    if (now >= control->next_peers_ms ||
        members_count(control->options.members) != control->peer_count) {
        control->next_peers_ms = now + PEERS_INTERVAL_MS;
        update_peers(control);
    }
    charge_other_traffic(control);
    gossip_tick(control->gossip);
    update_counters(control);
}
