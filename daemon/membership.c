#include "membership.h"

#include <stdlib.h>

#include <event2/event.h>

#include "core/xmalloc.h"
#include "net/log.h"
#include "net/platform.h"

#define LOG_MODULE "membership"
#define LIST_INTERVAL_MS 1000
#define MEMBER_SILENT_MS 30000
#define MEMBER_HOLD_MS 60000
#define MEMBER_PROBE_MS 1000

struct membership {
    struct membership_options options;
    struct members *members;
    struct event *timer;
    int64_t version;
    bool reading;
    bool has_list;
};

static void
on_changed(void *ctx, const struct member *member)
{
    struct membership *membership = ctx;

    LOG_INFO("event=member-use member=" STR_FMT " pool=" STR_FMT
             " use=%d listed=%d reachable=%d state=%d incarnation=%llu",
             STR_ARG(member->info.name), STR_ARG(member->info.pool),
             (int)member->use, member->listed, member->reachable,
             (int)member->state, (unsigned long long)member->incarnation);
    membership->options.changed(membership->options.ctx, member);
}

static void
on_removed(void *ctx, const struct member *member)
{
    struct membership *membership = ctx;

    LOG_INFO("event=member-removed member=" STR_FMT,
             STR_ARG(member->info.name));
    membership->options.removed(membership->options.ctx, member);
}

static void
on_probe(void *ctx, const struct member *member)
{
    struct membership *membership = ctx;

    membership->options.probe(membership->options.ctx, member);
}

static void
apply_list(struct membership *membership, const struct platform_vm *vms,
           size_t count)
{
    struct member_info *infos = xcalloc(count, sizeof(*infos));

    for (size_t i = 0; i < count; i++) {
        infos[i] = (struct member_info){
            .name = vms[i].name,
            .role = vms[i].role == PLATFORM_ROLE_AGENT ? MEMBER_AGENT
                                                       : MEMBER_ROUTER,
            .zone = vms[i].zone,
            .pool = vms[i].pool,
            .address = vms[i].address,
            .control = vms[i].control,
            .weight = vms[i].weight > 0 ? vms[i].weight : 1,
            .leaving = vms[i].leaving,
        };
    }
    members_apply_list(membership->members, infos, count);
    free(infos);
}

static void
on_vms(void *ctx, bool ok, int64_t version, const struct platform_vm *vms,
       size_t count)
{
    struct membership *membership = ctx;

    membership->reading = false;
    if (!ok) {
        return;
    }
    membership->has_list = true;
    if (vms != NULL) {
        membership->version = version;
        apply_list(membership, vms, count);
        counter_set(membership->options.counters, COUNTER_MEMBERS,
                    members_count(membership->members));
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct membership *membership = ctx;

    (void)fd;
    (void)events;
    members_tick(membership->members);
    if (!membership->reading) {
        membership->reading = true;
        platform_read_vms(membership->options.platform, membership->version,
                          on_vms, membership);
    }
}

struct membership *
membership_new(const struct membership_options *options)
{
    static const struct timeval interval = {
        .tv_sec = LIST_INTERVAL_MS / 1000,
        .tv_usec = LIST_INTERVAL_MS % 1000 * 1000,
    };
    struct membership *membership = xcalloc(1, sizeof(*membership));
    const struct members_options members = {
        .clock = options->clock,
        .silent_ms = MEMBER_SILENT_MS,
        .hold_ms = MEMBER_HOLD_MS,
        .probe_ms = MEMBER_PROBE_MS,
        .changed = on_changed,
        .removed = on_removed,
        .probe = on_probe,
        .ctx = membership,
    };

    membership->options = *options;
    membership->version = -1;
    membership->members = members_new(&members);
    membership->timer =
        event_new(options->base, -1, EV_PERSIST, on_timer, membership);
    if (membership->timer == NULL) {
        BUG("out of memory");
    }
    event_add(membership->timer, &interval);
    on_timer(-1, 0, membership);
    return membership;
}

void
membership_free(struct membership *membership)
{
    if (membership == NULL) {
        return;
    }
    event_free(membership->timer);
    members_free(membership->members);
    free(membership);
}

struct members *
membership_members(struct membership *membership)
{
    return membership->members;
}

bool
membership_has_list(const struct membership *membership)
{
    return membership->has_list;
}
