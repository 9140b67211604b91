/// Simulates a pool of plain endpoints behind many routers in steps of 1 ms.
/// Placement, load shedding and Retry-After are the code of the routers.
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
    size_t endpoints;     ///< available endpoints
    size_t slots;         ///< per endpoint
    size_t queue;         ///< queue limit per endpoint, in requests
    int64_t run_mean_ms;  ///< mean; runs are uniform from 0 to twice this
    int64_t objective_ms; ///< latency objective
    int64_t deadline_ms;
    double requests_per_s;
    double excess_per_s; ///< added from excess_from_ms to excess_until_ms
    int64_t excess_from_ms;
    int64_t excess_until_ms;
    int64_t duration_ms;
    int64_t report_interval_ms; ///< interval of load reports between routers
    bool peer_loads; ///< add the peers' last reports to the router's own load
    bool shedding;
};

struct pool_result {
    uint64_t requests; ///< requests of callers, without retries
    uint64_t in_time;  ///< within the objective after the first attempt
    uint64_t late;     ///< answered after the objective, before the deadline
    uint64_t refused;  ///< refused twice
    uint64_t expired;  ///< ended after the deadline
    uint64_t retries;  ///< sent again after a refusal
    uint64_t retries_answered;
    uint64_t offers;         ///< offers to endpoints
    uint64_t offers_refused; ///< because slots and queue were full
    uint64_t runs;           ///< completed runs, in time or not
};

/// Three endpoints with 6 slots, 60 ms per request, objective 300 ms; a load
/// of `load` times the capacity for 20 s.
struct pool_options pool_plain_service(uint64_t seed, size_t routers,
                                       double load);

/// Capacity of the endpoints in requests per second.
double pool_capacity_per_s(const struct pool_options *options);

void pool_run(const struct pool_options *options, struct pool_result *result);
