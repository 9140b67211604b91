/// Routers and agents in one process: the real decision code of route.c and
/// gate.c with messages that take time, and a fake in place of the endpoints.
/// The measurement sees the true load at every admission.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum fleet_policy {
    FLEET_PRODUCT,
    FLEET_OMNISCIENT,  ///< one router that knows all loads at once
    FLEET_HASH,        ///< the key's home, no bound
    FLEET_TWO_CHOICES, ///< least loaded of two random endpoints
    FLEET_STALE_MEAN,  ///< consistent hashing with a mean that is 5 s old
};

enum fleet_scenario {
    FLEET_STEADY,
    FLEET_HERD,     ///< everyone reconnects in one second, nothing is known
    FLEET_HOT_KEY,  ///< one key draws half of the load
    FLEET_CHURN,    ///< one endpoint in ten leaves, joins or flaps a minute
    FLEET_DISAGREE, ///< the routers' lists differ
    FLEET_OUTAGE,   ///< half of the endpoints lose all that they run
};

struct fleet_options {
    enum fleet_policy policy;
    enum fleet_scenario scenario;
    uint64_t seed;
    double bound_multiple;
    size_t engines;
    size_t routers;
    double mean_load; ///< wanted requests in flight an engine
    size_t keys;
    size_t cache_keys; ///< keys that an engine's cache holds
    bool hints;
    int64_t retry_percent; ///< of the requests; retries after a loss
    size_t attempts_max;
    bool breaker; ///< endpoints that lose their runs are taken out of use
    int64_t duration_us;
};

struct fleet_result {
    uint64_t requests;
    uint64_t admissions;
    uint64_t over_bound;
    double worst_ratio; ///< load over true mean where it was over the bound
    double hops;        ///< offers for each request
    double reuse;       ///< share of requests that found their key cached
    double queued;      ///< share of requests that waited in a queue
    double mean_wait_ms;
    uint64_t refused;
    uint64_t lost;              ///< requests that ended without an answer
    uint64_t retries_denied;    ///< retries that the budget did not allow
    uint64_t in_flight_reports; ///< messages with in-flight numbers
    double skew;                ///< busiest engine's admissions over the mean
};

struct fleet_result fleet_run(const struct fleet_options *options);
