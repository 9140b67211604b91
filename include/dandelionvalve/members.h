/// Membership of the fleet from three sources: the platform's list, which
/// lags; the state that members report; and the state of the links to them.
///
/// A report with a higher incarnation takes precedence. The list removes only
/// members without recent messages. A member that fails gets no requests from
/// then on, but its keys return only after a hold time, so that a flapping
/// member does not move keys each time.
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
    MEMBER_OVERFLOW, ///< takes requests, but is not first for any key
    MEMBER_USABLE,
};

/// One entry of the platform's list.
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

/// A member. The strings are valid until it is removed or its entry in the
/// list changes.
struct member {
    struct member_info info;
    enum member_use use;
    bool listed;               ///< in the last list
    bool list_leaving;         ///< according to the list
    bool list_leaving_ignored; ///< the list describes an older incarnation
    bool drained;              ///< by operators
    bool has_reported;         ///< its incarnation was received
    bool reachable;
    uint64_t incarnation;
    enum agent_state state;
    int64_t last_message_ms; ///< when a message from it was last received
    bool needs_hold;         ///< was unusable; its keys return after hold_ms
    int64_t down_ms;         ///< when it was last unusable
    int64_t restart_ms;      ///< when its incarnation last changed
    int64_t probe_ms;        ///< when it was last probed
};

struct members_options {
    const struct clock *clock;
    int64_t silent_ms; ///< time without messages after which the list may
                       ///< remove it
    int64_t hold_ms;   ///< time without failure until its keys return
    int64_t probe_ms;  ///< least time between two probes of a member
    /// The member's use has changed.
    void (*changed)(void *ctx, const struct member *member);
    /// The member is freed after this call.
    void (*removed)(void *ctx, const struct member *member);
    /// Probes a member that is unreachable or no longer listed.
    void (*probe)(void *ctx, const struct member *member);
    void *ctx;
};

/// The options are copied. The caller frees with members_free().
struct members *members_new(const struct members_options *options);
void members_free(struct members *members);

/// Applies a list of the platform; an empty one is taken as stale and ignored.
/// The strings are copied.
void members_apply_list(struct members *members,
                        const struct member_info *infos, size_t count);

/// Applies a state that the member reported, directly or through others. Older
/// incarnations and unknown names are ignored.
void members_update_state(struct members *members, struct str name,
                          uint64_t incarnation, enum agent_state state);

/// A message of the member was received.
void members_mark_reachable(struct members *members, struct str name);

/// A link to the member failed or could not be opened.
void members_mark_unreachable(struct members *members, struct str name);

/// Sets whether operators are draining this member.
void members_set_drained(struct members *members, struct str name,
                         bool drained);

/// Probes members and applies time-outs; call it periodically.
void members_tick(struct members *members);

/// NULL if there is no such member.
const struct member *members_find(const struct members *members,
                                  struct str name);
size_t members_count(const struct members *members);

/// Calls back for each member in no particular order.
void members_each(const struct members *members,
                  void (*callback)(void *ctx, const struct member *member),
                  void *ctx);
