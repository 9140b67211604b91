/// State that a router keeps for each service over all its endpoints: the
/// retry budget, the share of requests that is shed under overload, and the
/// typical deadline of each route's callers.
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "core/shed.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/retry.h"
#include "dandelionvalve/str.h"

struct admission;
struct admission_request;
struct footprint_lengths;
struct services;

/// The caller frees with services_free(). Clock and random source must outlive
/// it.
struct services *services_new(const struct clock *clock,
                              const struct random_source *random);
void services_free(struct services *services);

/// A copy of what decides on this request, to find the decision without
/// counting the request. The caller frees with services_free().
struct services *services_copy(const struct services *services,
                               const struct admission_request *request,
                               const struct random_source *random);

/// The retry budget of a service, created on first use.
struct retry_budget *
services_retry_budget(struct services *services, struct str service,
                      const struct retry_options *options);

/// The load shedding state of a service for a priority (0 is the highest).
struct shed *services_shed(struct services *services, struct str service,
                           uint32_t priority);

/// The largest share that is shed of the higher priorities.
double services_share_above(struct services *services, struct str service,
                            uint32_t priority);

/// True if the caller's deadline is so much shorter than the typical one of
/// the route that the answer cannot meet the objective: the caller has spent
/// the difference on earlier attempts. Updates the typical deadline. A
/// `deadline_ms` of 0 means that the caller states none.
bool services_is_late(struct services *services, struct str route,
                      int64_t deadline_ms, int64_t objective_ms);

/// True if the caller has probably been refused before: its deadline is
/// shorter than the typical one, which services_is_late() has updated.
bool services_is_returning(const struct services *services, struct str route,
                           int64_t deadline_ms);

/// Decides on the requests of an overloaded service by account, if the
/// settings demand it.
struct admission *services_admission(const struct services *services);

/// What is known of the lengths of a route's answers.
struct footprint_lengths *services_lengths(struct services *services,
                                           struct str route);

/// Writes the shed shares and delays as metrics.
void services_print(const struct services *services, FILE *out);

/// Updates the shed shares that are due, logs changes, and frees unused state.
void services_tick(struct services *services);
