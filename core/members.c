#include "dandelionvalve/members.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "xmalloc.h"

struct entry {
    struct member member;
    UT_hash_handle hh;
};

struct members {
    struct members_options options;
    struct entry *entries;
};

struct members *
members_new(const struct members_options *options)
{
    struct members *members = xcalloc(1, sizeof(*members));

    members->options = *options;
    return members;
}

static void
free_info(struct member_info *info)
{
    free((char *)info->name.data);
    free((char *)info->zone.data);
    free((char *)info->pool.data);
    free((char *)info->address.data);
    free((char *)info->control.data);
}

static void
entry_free(struct members *members, struct entry *entry)
{
    HASH_DEL(members->entries, entry);
    free_info(&entry->member.info);
    free(entry);
}

void
members_free(struct members *members)
{
    if (members == NULL) {
        return;
    }
    while (members->entries != NULL) {
        entry_free(members, members->entries);
    }
    free(members);
}

static struct entry *
find(const struct members *members, struct str name)
{
    struct entry *entry;

    HASH_FIND(hh, members->entries, name.data, name.len, entry);
    return entry;
}

static bool
is_leaving(const struct member *member)
{
    // The list lags: once a member has spoken in this incarnation, a later
    // incarnation clears what the list said of the one before.
    return member->list_leaving || member->drained ||
           (member->has_reported && member->state != AGENT_READY);
}

static enum member_use
current_use(const struct members *members, const struct member *member)
{
    int64_t now_ms = clock_ms(members->options.clock);

    if (!member->reachable || is_leaving(member)) {
        return MEMBER_UNUSABLE;
    }
    if (member->needs_hold &&
        now_ms - member->down_ms < members->options.hold_ms) {
        return MEMBER_OVERFLOW;
    }
    return MEMBER_USABLE;
}

static void
update_use(struct members *members, struct member *member)
{
    enum member_use use = current_use(members, member);

    if (use == MEMBER_UNUSABLE) {
        member->needs_hold = true;
        member->down_ms = clock_ms(members->options.clock);
    }
    if (use == member->use) {
        return;
    }
    member->use = use;
    members->options.changed(members->options.ctx, member);
}

static struct member_info
copy_info(const struct member_info *info)
{
    struct member_info copy = *info;

    copy.name = str_copy(info->name);
    copy.zone = str_copy(info->zone);
    copy.pool = str_copy(info->pool);
    copy.address = str_copy(info->address);
    copy.control = str_copy(info->control);
    return copy;
}

static struct entry *
add(struct members *members, const struct member_info *info)
{
    struct entry *entry = xcalloc(1, sizeof(*entry));
    struct member *member = &entry->member;

    member->info = copy_info(info);
    member->reachable = true;
    member->last_message_ms = clock_ms(members->options.clock);
    member->restart_ms = member->last_message_ms - members->options.hold_ms;
    HASH_ADD_KEYPTR(hh, members->entries, member->info.name.data,
                    member->info.name.len, entry);
    return entry;
}

static void
update_info(struct member *member, const struct member_info *info)
{
    struct member_info old = member->info;

    if (str_equal(old.address, info->address) &&
        str_equal(old.control, info->control) &&
        str_equal(old.zone, info->zone) && str_equal(old.pool, info->pool)) {
        member->info.weight = info->weight;
        return;
    }
    member->info = copy_info(info);
    // The name is the hash key and stays where it is.
    free((char *)member->info.name.data);
    member->info.name = old.name;
    old.name = (struct str){0};
    free_info(&old);
}

static void
apply_listed(struct members *members, const struct member_info *info)
{
    struct entry *entry = find(members, info->name);

    if (entry == NULL) {
        entry = add(members, info);
    }
    else {
        update_info(&entry->member, info);
    }
    entry->member.listed = true;
    if (!info->leaving) {
        entry->member.list_leaving_ignored = false;
    }
    entry->member.list_leaving =
        info->leaving && !entry->member.list_leaving_ignored;
}

static void
remove_unlisted(struct members *members, struct entry *entry)
{
    int64_t now_ms = clock_ms(members->options.clock);
    struct member *member = &entry->member;

    if (now_ms - member->last_message_ms < members->options.silent_ms) {
        if (now_ms - member->probe_ms >= members->options.probe_ms) {
            member->probe_ms = now_ms;
            members->options.probe(members->options.ctx, member);
        }
        return;
    }
    member->use = MEMBER_UNUSABLE;
    members->options.removed(members->options.ctx, member);
    entry_free(members, entry);
}

void
members_apply_list(struct members *members, const struct member_info *infos,
                   size_t count)
{
    struct entry *entry, *next;

    if (count == 0) {
        return;
    }
    HASH_ITER(hh, members->entries, entry, next)
    {
        entry->member.listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        apply_listed(members, &infos[i]);
    }
    members_tick(members);
}

// A member that left in order and was started anew gets its keys back at
// once, but not more often than a failed one would.
static void
handle_restart(struct members *members, struct member *member)
{
    int64_t now_ms = clock_ms(members->options.clock);

    member->list_leaving = false;
    member->list_leaving_ignored = true;
    if (member->state == AGENT_LEAVING &&
        now_ms - member->restart_ms >= members->options.hold_ms) {
        member->needs_hold = false;
    }
    member->restart_ms = now_ms;
}

void
members_update_state(struct members *members, struct str name,
                     uint64_t incarnation, enum agent_state state)
{
    struct entry *entry = find(members, name);
    struct member *member;

    if (entry == NULL) {
        return;
    }
    member = &entry->member;
    if (member->has_reported && incarnation < member->incarnation) {
        return;
    }
    // Leaving is final for an incarnation.
    if (member->has_reported && incarnation == member->incarnation &&
        member->state == AGENT_LEAVING) {
        return;
    }
    if (member->has_reported && incarnation > member->incarnation) {
        handle_restart(members, member);
    }
    member->has_reported = true;
    member->incarnation = incarnation;
    member->state = state;
    update_use(members, member);
}

void
members_mark_reachable(struct members *members, struct str name)
{
    struct entry *entry = find(members, name);

    if (entry == NULL) {
        return;
    }
    entry->member.last_message_ms = clock_ms(members->options.clock);
    entry->member.reachable = true;
    update_use(members, &entry->member);
}

void
members_mark_unreachable(struct members *members, struct str name)
{
    struct entry *entry = find(members, name);

    if (entry != NULL) {
        entry->member.reachable = false;
        update_use(members, &entry->member);
    }
}

void
members_set_drained(struct members *members, struct str name, bool drained)
{
    struct entry *entry = find(members, name);

    if (entry != NULL) {
        entry->member.drained = drained;
        update_use(members, &entry->member);
    }
}

static void
probe_unreachable(struct members *members, struct member *member)
{
    int64_t now_ms = clock_ms(members->options.clock);

    if (member->reachable ||
        now_ms - member->probe_ms < members->options.probe_ms) {
        return;
    }
    member->probe_ms = now_ms;
    members->options.probe(members->options.ctx, member);
}

void
members_tick(struct members *members)
{
    struct entry *entry, *next;

    HASH_ITER(hh, members->entries, entry, next)
    {
        if (!entry->member.listed) {
            remove_unlisted(members, entry);
            continue;
        }
        probe_unreachable(members, &entry->member);
        update_use(members, &entry->member);
    }
}

const struct member *
members_find(const struct members *members, struct str name)
{
    const struct entry *entry = find(members, name);

    return entry != NULL ? &entry->member : NULL;
}

size_t
members_count(const struct members *members)
{
    return HASH_COUNT(members->entries);
}

void
members_each(const struct members *members,
             void (*callback)(void *ctx, const struct member *member),
             void *ctx)
{
    struct entry *entry, *next;

    HASH_ITER(hh, members->entries, entry, next)
    {
        callback(ctx, &entry->member);
    }
}
