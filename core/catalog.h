/// One version of the deployment's configuration: routes, services, accounts.
/// Reference-counted, so that a request keeps the version in force at its
/// arrival.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

/// Whether a request may be repeated.
enum route_kind {
    ROUTE_IDEMPOTENT, ///< may run more than once
    ROUTE_AT_MOST_ONCE,
    ROUTE_STREAM,    ///< stream of events, runs at most once
    ROUTE_RESUMABLE, ///< stream that another endpoint may continue
};

#define CATALOG_TARGETS_MAX 8

/// A service that receives a share of a route's requests, by weight.
struct catalog_target {
    struct str service;
    uint32_t weight;
};

struct catalog_route {
    struct str name;
    struct str host;
    struct str prefix;
    enum route_kind kind;
    int64_t timeout_ms;   ///< for the whole request
    int64_t objective_ms; ///< latency objective; streams: to the first event
    int64_t event_gap_target_ms; ///< between two events; 0: not set
    uint32_t priority;           ///< 0 is the highest
    uint32_t endpoints_max;      ///< endpoints that one request may be sent to
    bool is_public;              ///< needs no API key
    bool has_prompt;             ///< requests contain prompts
    struct catalog_target targets[CATALOG_TARGETS_MAX];
    size_t target_count;
};

struct catalog_service {
    struct str name;
    bool is_model;
    uint64_t cache_tokens; ///< size of one endpoint's prefix cache
    /// Speed at which endpoints fetch cached contexts from each other; 0 if
    /// they cannot.
    double fetched_tokens_per_ms;
    uint32_t connections_max; ///< of one endpoint, from all callers
    uint32_t slots;           ///< of one endpoint; 0: not stated
    /// Tightest of the streaming routes to it; 0: not set. See
    /// catalog_set_gap_targets().
    int64_t gap_target_ms;
    int64_t cold_start_ms; ///< an endpoint is cold so long after its start
    double cold_per_s; ///< requests that a cold endpoint takes; 0: no limit
};

struct catalog_account {
    struct str name;
    bool has_priority;
    uint32_t priority;
};

/// Limits of callers' requests.
struct catalog_limits {
    int64_t head_bytes_max;
    int64_t body_bytes_max;
    int64_t head_timeout_ms;
    int64_t idle_timeout_ms;
};

struct catalog;

/// Returns one reference. Strings are copied on addition.
struct catalog *catalog_new(int64_t version);
struct catalog *catalog_ref(struct catalog *catalog);
void catalog_unref(struct catalog *catalog);

void catalog_set_limits(struct catalog *catalog,
                        const struct catalog_limits *limits);
/// Identifies the text that a route was decoded from.
struct catalog_digest {
    uint64_t low;
    uint64_t high;
};

/// Adds a copy of the route; one with the same host and prefix is replaced.
/// With a digest, a later catalog can reuse it. NULL: none.
void catalog_add_route(struct catalog *catalog,
                       const struct catalog_route *route,
                       const struct catalog_digest *digest);

/// Adds the route of another catalog that was added with this digest, without
/// a copy; false if there is none.
bool catalog_reuse_route(struct catalog *catalog, const struct catalog *before,
                         const struct catalog_digest *digest);
void catalog_add_service(struct catalog *catalog,
                         const struct catalog_service *service);
/// Sets the services' gap targets from the routes, once all are added.
void catalog_set_gap_targets(struct catalog *catalog);
void catalog_add_account(struct catalog *catalog,
                         const struct catalog_account *account,
                         const struct str *keys, size_t key_count);

int64_t catalog_version(const struct catalog *catalog);
const struct catalog_limits *catalog_limits(const struct catalog *catalog);
size_t catalog_route_count(const struct catalog *catalog);
size_t catalog_reused_route_count(const struct catalog *catalog);
bool catalog_has_accounts(const struct catalog *catalog);

/// The route of this host with the longest prefix of the path; NULL if there
/// is none. A port in the host is ignored.
const struct catalog_route *catalog_find_route(const struct catalog *catalog,
                                               struct str host,
                                               struct str path);
const struct catalog_service *
catalog_find_service(const struct catalog *catalog, struct str name);

/// The account with this API key, or NULL.
const struct catalog_account *
catalog_find_account(const struct catalog *catalog, struct str key);

/// The account with this name, or NULL.
const struct catalog_account *
catalog_find_account_named(const struct catalog *catalog, struct str name);

/// The longest time-out of the routes whose streams can be resumed; 0: there
/// are none.
int64_t catalog_resumable_timeout_ms(const struct catalog *catalog);

/// One of the route's services; `draw` is uniform in [0, 1).
struct str catalog_pick_target(const struct catalog_route *route, double draw);
