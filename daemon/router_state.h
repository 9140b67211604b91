/// What the parts of a router ask of it.
#pragma once

#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/conf.h"
#include "dandelionvalve/counter.h"

struct event_base;
struct peer;
struct quarantine;
struct request;
struct retry_budget;
struct route;
struct router;

const struct conf *router_conf(const struct router *router);
const struct clock *router_clock(const struct router *router);
const struct random_source *router_random(const struct router *router);
struct counters *router_counters(struct router *router);
struct event_base *router_base(const struct router *router);
struct quarantine *router_quarantine(struct router *router);
struct retry_budget *router_retry_budget(struct router *router);

/// The routing state of a pool, made if it is new.
struct route *router_pool(struct router *router, const char *name);

/// The link to an agent by its name, or NULL if it is not a member.
struct peer *router_peer(struct router *router, struct str name);

/// Requests of an account that are in flight on this router.
uint32_t router_account_in_flight(const struct router *router,
                                  const char *account);

/// Counts a request on its account until it is removed.
void router_count_account(struct router *router, const char *account);

/// Adds a request to the tables, or takes it out.
void router_add(struct router *router, struct request *request);
void router_remove(struct router *router, struct request *request);

/// Counts answers that are complete but not yet written to the caller.
void router_adjust_unsent(struct router *router, int change);

/// An endpoint died while it ran a request: tells the other daemons.
void router_add_strike(struct router *router, uint64_t fingerprint,
                       uint32_t crash_id);

bool router_is_draining(const struct router *router);
