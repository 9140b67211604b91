/// The members of the fleet by three sources: the platform's lagging list,
/// the members' own word, and evidence from links.
///
/// The word of a higher incarnation wins over all else. The list removes only
/// members that have been silent. An endpoint that fails gets no requests at
/// once, but its keys come back only after a hold, so that one that flaps
/// does not move keys at each flap.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/str.h"

struct members;

enum member_role {
    MEMBER_ROUTER,
    MEMBER_AGENT,
};

/// What a member may be used for.
enum member_use {
    MEMBER_UNUSABLE,
    MEMBER_OVERFLOW, ///< takes requests, but is no key's home yet
    MEMBER_USABLE,
};

/// One entry of the platform's list, or of a member's own word.
struct member_info {
    struct str name;
    enum member_role role;
    struct str zone;
    struct str pool;
    struct str address;
    struct str control;
    uint32_t weight;
    bool leaving;
};

/// A known member. The strings live until the member is removed.
struct member {
    struct member_info info;
    enum member_use use;
    bool listed;
    bool list_leaving;
    bool list_leaving_ignored; ///< the list speaks of an older incarnation
    bool drained;
    bool has_reported; ///< it has told its incarnation
    bool reachable;
    uint64_t incarnation;
    enum agent_state state;
    int64_t last_message_ms;
    bool needs_hold;    ///< it has failed; its keys come back after a hold
    int64_t down_ms;    ///< when it was last unusable
    int64_t restart_ms; ///< when it last took a new incarnation
    int64_t probe_ms;
};

struct members_options {
    const struct clock *clock;
    int64_t silent_ms; ///< silence after which the list may remove a member
    int64_t hold_ms;   ///< time without failure before its keys come back
    int64_t probe_ms;  ///< least time between two probes of a member
    /// The member's use has changed, or it was added.
    void (*changed)(void *ctx, const struct member *member);
    void (*removed)(void *ctx, const struct member *member);
    /// Asks for a sign of life of a member that nobody hears of.
    void (*probe)(void *ctx, const struct member *member);
    void *ctx;
};

/// The caller frees with members_free().
struct members *members_new(const struct members_options *options);
void members_free(struct members *members);

/// Takes a list as it came; an empty list is stale rather than true.
void members_apply_list(struct members *members,
                        const struct member_info *infos, size_t count);

/// The member itself has spoken, directly or through others.
void members_update_state(struct members *members, struct str name,
                          uint64_t incarnation, enum agent_state state);

/// A message came from the member on a link: it is alive.
void members_mark_reachable(struct members *members, struct str name);

/// A link to the member could not be opened or broke.
void members_mark_unreachable(struct members *members, struct str name);

/// Operators drain this member, or no longer do.
void members_set_drained(struct members *members, struct str name,
                         bool drained);

void members_tick(struct members *members);

const struct member *members_find(const struct members *members,
                                  struct str name);
size_t members_count(const struct members *members);

/// Calls back for each member in no particular order.
void members_each(const struct members *members,
                  void (*callback)(void *ctx, const struct member *member),
                  void *ctx);
