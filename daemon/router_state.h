/// Interface of the router to its own modules.
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

/// The routing state of a pool, created on first use.
struct route *router_pool(struct router *router, const char *name);

/// The agent of this name, or NULL if it is neither a member nor a peer.
struct peer *router_peer(struct router *router, struct str name);

/// Requests of an account that are in flight on this router.
uint32_t router_account_in_flight(const struct router *router,
                                  const char *account);

/// Counts a request of the account until router_remove().
void router_count_account(struct router *router, const char *account);

/// Adds a request to the router's table, or removes it.
void router_add(struct router *router, struct request *request);
void router_remove(struct router *router, struct request *request);

/// Changes the number of complete answers that are not yet fully written to
/// their callers.
void router_adjust_unsent(struct router *router, int change);

/// Records a strike after an endpoint crashed while running a request, and
/// publishes it to the other daemons if it is new.
void router_add_strike(struct router *router, uint64_t fingerprint,
                       uint32_t crash_id);

bool router_is_draining(const struct router *router);
