/// The router: takes callers' requests and sends them to agents.
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
    /// All work is done after router_drain().
    void (*drained)(void *ctx);
    void *ctx;
};

/// NULL with `err` set if an address cannot be bound.
struct router *router_new(const struct router_options *options,
                          struct err *err);
void router_free(struct router *router);

/// Fails readiness at once, closes the listener after the settings' wait, and
/// calls `drained` when the last answer is out.
void router_drain(struct router *router);

struct address router_callers_address(const struct router *router);
struct address router_control_address(const struct router *router);
struct address router_admin_address(const struct router *router);

/// Requests in flight, in any state.
size_t router_requests(const struct router *router);

/// True once configuration and members are known.
bool router_is_ready(const struct router *router);
const struct counters *router_counters_const(const struct router *router);
