/// Emulates a pool of plain endpoints behind many routers, a millisecond a
/// step. The routers' decisions are the product's own: placement, shedding,
/// Retry-After.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define POOL_ENDPOINTS_MAX 8
#define POOL_SLOTS_MAX 16
#define POOL_QUEUE_MAX 64
#define POOL_ROUTERS_MAX 64

struct pool_options {
    uint64_t seed;
    size_t routers;
    size_t endpoints; ///< that are up
    size_t slots;     ///< of each
    size_t queue;     ///< requests that wait at each; further ones are refused
    int64_t run_mean_ms; ///< mean of a run, evenly spread from 0 to twice that
    int64_t objective_ms;
    int64_t deadline_ms;
    double requests_per_s;
    double excess_per_s; ///< and these for a while
    int64_t excess_from_ms;
    int64_t excess_until_ms;
    int64_t duration_ms;
    int64_t report_interval_ms; ///< interval of routers' reports to each other
    bool peer_loads; ///< loads by all routers' reports, not by own numbers
    bool shedding;
};

struct pool_result {
    uint64_t requests; ///< callers' requests
    uint64_t in_time;  ///< answered within the objective of the first attempt
    uint64_t late;
    uint64_t refused; ///< ended with a refusal
    uint64_t expired; ///< not answered by the deadline
    uint64_t retries; ///< came back after a refusal
    uint64_t retries_answered;
    uint64_t offers;         ///< offers to endpoints
    uint64_t offers_refused; ///< offers that an endpoint had no room for
    uint64_t runs;           ///< ends of runs, in time or not
};

/// Three endpoints of six slots, 60 ms a call, objective 300 ms, with `load`
/// times what they can do for 20 s.
struct pool_options pool_plain_service(uint64_t seed, size_t routers,
                                       double load);

/// Calls that the endpoints can end in a second.
double pool_capacity_per_s(const struct pool_options *options);

void pool_run(const struct pool_options *options, struct pool_result *result);
