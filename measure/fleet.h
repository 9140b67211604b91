/// Discrete-event simulation of routers and agents in one process. Runs
/// route.c and gate.c with simulated network delays and simulated engines.
/// Each admission is checked against the true load of the fleet.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum fleet_policy {
    FLEET_PRODUCT,     ///< route.c and gate.c
    FLEET_OMNISCIENT,  ///< one router with the current load of all engines
    FLEET_HASH,        ///< rendezvous hashing without a load bound
    FLEET_TWO_CHOICES, ///< least loaded of two random endpoints
    FLEET_STALE_MEAN,  ///< bound by a mean load that is up to 5 s old
};

enum fleet_scenario {
    FLEET_STEADY,
    FLEET_HERD,     ///< all requests within 1 s, no hints, empty caches
    FLEET_HOT_KEY,  ///< one key has half of the requests
    FLEET_CHURN,    ///< 10% of the engines drain or crash per minute
    FLEET_DISAGREE, ///< the routers have different endpoint lists
    FLEET_OUTAGE,   ///< half of the engines fail every request
};

struct fleet_options {
    enum fleet_policy policy;
    enum fleet_scenario scenario;
    uint64_t seed;
    double bound_multiple; ///< load bound as a multiple of the mean load
    size_t engines;
    size_t routers;
    double mean_load; ///< mean requests in flight per engine
    size_t keys;
    size_t cache_keys; ///< capacity of an engine's prefix cache, in keys
    bool hints; ///< requests name the engine of the last answer for the key
    int64_t retry_percent; ///< retry budget in percent of the requests
    size_t attempts_max;   ///< per request
    bool breaker;          ///< circuit breaker at each agent
    int64_t duration_us;
};

struct fleet_result {
    uint64_t requests;
    uint64_t admissions;
    uint64_t over_bound; ///< admissions that exceeded the load bound
    double worst_ratio;  ///< highest load / mean load of these admissions
    double hops;         ///< offers per request
    double reuse;        ///< cache hit ratio after the warm-up
    double queued;       ///< share of requests that waited in a queue
    double mean_wait_ms;
    uint64_t refused;
    uint64_t lost; ///< requests without an answer after the last attempt
    uint64_t retries_denied;    ///< retries that the budget did not allow
    uint64_t in_flight_reports; ///< in-flight reports sent by routers' ticks
    double skew; ///< admissions of the busiest engine / mean admissions
};

struct fleet_result fleet_run(const struct fleet_options *options);
