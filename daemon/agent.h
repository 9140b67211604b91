/// The agent: the only way in to its endpoint.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "settings.h"

struct agent;
struct event_base;

struct agent_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    const struct settings_agent *settings; ///< must outlive the agent
    uint64_t incarnation;
    /// All work is done after agent_drain().
    void (*drained)(void *ctx);
    void *ctx;
};

/// NULL with `err` set if an address cannot be bound.
struct agent *agent_new(const struct agent_options *options, struct err *err);
void agent_free(struct agent *agent);

/// Refuses new work at once and tells the routers; `drained` follows when
/// what runs has ended and its answers are acknowledged.
void agent_drain(struct agent *agent);

struct address agent_links_address(const struct agent *agent);
struct address agent_control_address(const struct agent *agent);
struct address agent_admin_address(const struct agent *agent);
const struct counters *agent_counters(const struct agent *agent);
