/// Controller of the control messages: sends and receives datagrams, and
/// applies received states, strikes and configurations to this daemon.
#pragma once

#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/members.h"
#include "net/address.h"
#include "settings.h"

struct configuration;
struct control;
struct event_base;
struct quarantine;

struct control_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct counters *counters;
    const struct settings_common *settings;
    uint64_t incarnation;
    struct members *members;
    struct configuration *configuration;
    struct quarantine *quarantine;
};

/// NULL with `err` set if the address cannot be bound. Without a control
/// address in the settings it sends and receives nothing.
struct control *control_new(const struct control_options *options,
                            struct err *err);
void control_free(struct control *control);
struct address control_address(const struct control *control);

/// Spread a state or a strike that this daemon observed itself.
void control_publish_state(struct control *control, struct str name,
                           uint64_t incarnation, enum agent_state state);
void control_publish_strike(struct control *control, uint64_t fingerprint,
                            uint32_t death);

/// Takes bytes for a control message of another kind, such as one on a link,
/// from the budget; false if they exceed it.
bool control_reserve_bytes(struct control *control, size_t bytes);

/// Number of member routers that have sent a datagram since the start.
size_t control_router_count(const struct control *control);

/// Sends what is due; called on each tick of the daemon.
void control_tick(struct control *control);
