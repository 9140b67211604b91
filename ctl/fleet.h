/// Asks the listed daemons what they have in force.
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
    size_t in_force; ///< routers with at least the wanted version
};

/// Asks every listed daemon for its status. A line for each goes to `out` if
/// it is not NULL. False if the list cannot be read.
bool fleet_query(struct event_base *base, struct platform *platform,
                 int64_t version_min, FILE *out, struct fleet_count *count);

/// Asks the routers whose status addresses are given, separated by commas.
/// False with `err` set if one of them is no address.
bool fleet_query_routers(struct event_base *base, struct str addresses,
                         FILE *out, struct fleet_count *count,
                         struct err *err);
