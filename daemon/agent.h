/// The agent: admits requests to its endpoint, runs them and returns the
/// answers. Requests reach the endpoint only through it.
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
    /// Called once after agent_drain(), when no run or answer is left.
    void (*drained)(void *ctx);
    void *ctx;
};

/// NULL with `err` set if an address cannot be bound.
struct agent *agent_new(const struct agent_options *options, struct err *err);
void agent_free(struct agent *agent);

/// Refuses new work at once and reports this to the routers; calls `drained`
/// when all runs have ended and their answers are acknowledged.
void agent_drain(struct agent *agent);

struct address agent_links_address(const struct agent *agent);
struct address agent_control_address(const struct agent *agent);
struct address agent_admin_address(const struct agent *agent);
const struct counters *agent_counters(const struct agent *agent);
