/// Status queries to the daemons of a fleet.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

struct event_base;
struct platform;

struct fleet_count {
    size_t routers;
    size_t agents;
    size_t answered;
    size_t in_force; ///< routers at version_min or above
};

/// Queries the status of every listed daemon and prints one line for each to
/// `out` unless it is NULL. False if the list cannot be read.
bool fleet_query(struct event_base *base, struct platform *platform,
                 int64_t version_min, FILE *out, struct fleet_count *count);

/// Queries the routers with these status addresses, separated by commas. False
/// with `err` set if one of them is not an address.
bool fleet_query_routers(struct event_base *base, struct str addresses,
                         FILE *out, struct fleet_count *count,
                         struct err *err);
