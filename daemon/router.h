/// The router: receives callers' requests and forwards them to agents.
#pragma once

#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "settings.h"

struct event_base;
struct router;

struct router_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    const struct settings_router *settings; ///< must outlive the router
    uint64_t incarnation;
    /// Called once after router_drain(), when no request or answer is left.
    void (*drained)(void *ctx);
    void *ctx;
};

/// NULL with `err` set if an address cannot be bound.
struct router *router_new(const struct router_options *options,
                          struct err *err);
void router_free(struct router *router);

/// Fails readiness at once, closes the listener after `drain_wait_ms`, and
/// calls `drained` when the last answer is written.
void router_drain(struct router *router);

struct address router_callers_address(const struct router *router);
struct address router_control_address(const struct router *router);
struct address router_admin_address(const struct router *router);

/// Requests in flight, in any state.
size_t router_requests(const struct router *router);

/// True once a configuration is in force and the member list has been read.
bool router_is_ready(const struct router *router);
const struct counters *router_counters_const(const struct router *router);
