/// Controller that sends load and role orders to the endpoint. Before each
/// order it requires a recent read of the configuration stream, so that a
/// process that was paused sends no stale order, even if the endpoint does not
/// check fencing numbers.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/conf.h"
#include "dandelionvalve/counter.h"
#include "net/address.h"

struct configuration;
struct event_base;
struct placement;

struct placement_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct counters *counters;
    struct configuration *configuration;
    struct address endpoint;
};

/// The caller frees with placement_free().
struct placement *placement_new(const struct placement_options *options);
void placement_free(struct placement *placement);

/// Sets the placement of a configuration version; see orders_set_wanted().
void placement_set_target(struct placement *placement, int64_t version,
                          const struct conf_placement *target, size_t rank,
                          size_t pool_size);

/// The endpoint restarted and has nothing loaded.
void placement_clear_loaded(struct placement *placement);

/// Sends the order that is due, if any.
void placement_tick(struct placement *placement);
