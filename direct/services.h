/// What a router measures of each service over all its endpoints: the retry
/// budget, the share of requests that is refused under overload, and how long
/// the callers of each route usually wait.
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "core/shed.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/retry.h"
#include "dandelionvalve/str.h"

struct services;

/// The caller frees with services_free(). The clock must outlive it.
struct services *services_new(const struct clock *clock);
void services_free(struct services *services);

/// The retry budget of a service, made if it is new.
struct retry_budget *
services_retry_budget(struct services *services, struct str service,
                      const struct retry_options *options);

/// What decides on requests of this urgency (0 is the highest) for a service.
struct shed *services_shed(struct services *services, struct str service,
                           uint32_t priority);

/// The largest share that is refused of what is more urgent.
double services_share_above(struct services *services, struct str service,
                            uint32_t priority);

/// True if the caller has less time left than callers of this route begin
/// with, by so much that an answer can no longer meet the objective: it has
/// tried before. Notes the time; 0: the caller states none.
bool services_is_late(struct services *services, struct str route,
                      int64_t deadline_ms, int64_t objective_ms);

/// Writes the shares that are refused, for the metrics address.
void services_print(const struct services *services, FILE *out);

/// Ends the steps that are due, logs what has changed, and forgets what was
/// not used for long.
void services_tick(struct services *services);
