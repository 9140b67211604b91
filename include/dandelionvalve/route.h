/// Choice of an endpoint for a request by one router in one pool, with
/// weighted rendezvous hashing and bounded loads.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/members.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/str.h"

#define ROUTE_TRIED_MAX 16

/// Values for struct route_options.
#define ROUTE_REFUSAL_BACKOFF_MS 50
#define ROUTE_REPORT_MAX_AGE_MS 400
#define ROUTE_PLACEMENTS_MAX 20000
#define ROUTE_RENDEZVOUS_PLACES 2
#define ROUTE_REFUSALS_MAX 3

struct route;

enum route_reason {
    ROUTE_HINT,         ///< the caller's hint names this endpoint
    ROUTE_PLACED,       ///< an earlier overflow placement of the same key
    ROUTE_HOME,         ///< first in the key's rendezvous order
    ROUTE_OVERFLOW,     ///< a later place in the key's rendezvous order
    ROUTE_LEAST_LOADED, ///< endpoint with the least reported load
    ROUTE_WAIT,         ///< all are at their bound: wait in this one's queue
};

struct route_options {
    const struct clock *clock;
    const struct random_source *random;
    /// Time after a refusal in which an endpoint is not chosen.
    int64_t refusal_backoff_ms;
    /// Age up to which a report that an endpoint is at its bound is used.
    int64_t report_max_age_ms;
    /// Capacity of the table of overflow placements.
    size_t placements_max;
    /// Places of the rendezvous order to try before the least loaded endpoint.
    size_t rendezvous_places;
    /// Refusals after which a request waits in an endpoint's queue.
    size_t refusals_max;
};

/// The properties of a request that the choice depends on.
struct route_request {
    uint64_t key_hash;
    bool has_key;
    struct str hint;
    /// Endpoints that the request must not be offered to again.
    struct str tried[ROUTE_TRIED_MAX];
    size_t tried_count;
};

struct route_choice {
    struct str endpoint; ///< valid until the endpoint is removed
    enum route_reason reason;
    size_t candidates;
    bool may_wait; ///< the endpoint's agent may queue the request
};

struct route_endpoint_options {
    struct str name;
    uint32_t weight;
};

/// The options are copied. The caller frees with route_free().
struct route *route_new(const struct route_options *options);
void route_free(struct route *route);

/// Adds an endpoint, or changes its weight if it exists. The name is copied.
void route_add(struct route *route,
               const struct route_endpoint_options *endpoint);
void route_remove(struct route *route, struct str endpoint);
bool route_has(const struct route *route, struct str endpoint);
size_t route_count(const struct route *route);

/// The name of the endpoint at `place` of a rotated order. Place 0 advances
/// the rotation, so that each iteration begins at a different endpoint. There
/// must be an endpoint.
struct str route_rotated_name(struct route *route, size_t place);

/// Excludes an endpoint from the choice without moving other keys, or includes
/// it again.
void route_set_use(struct route *route, struct str endpoint,
                   enum member_use use);

/// Records a load report of an agent.
void route_record_load(struct route *route, struct str endpoint,
                       const struct load_report *load);

/// Records that an agent refused a request because it was full.
void route_record_refusal(struct route *route, struct str endpoint);

/// Records that an endpoint accepted a request, so that later requests with
/// the same key go to the same cache.
void route_record_placement(struct route *route,
                            const struct route_request *request,
                            struct str endpoint, enum route_reason reason);

/// Chooses an endpoint; false if none is usable.
bool route_pick(struct route *route, const struct route_request *request,
                struct route_choice *choice);

/// Counts requests in flight: one from its acceptance to its end.
void route_begin(struct route *route);
void route_end(struct route *route);
uint32_t route_in_flight(const struct route *route);

/// Sum of the weights of the usable endpoints.
uint32_t route_usable_weight(const struct route *route);

/// The first endpoint of a key's rendezvous order, usable or not; empty if
/// there is none.
struct str route_home(const struct route *route, uint64_t key_hash);

const char *route_reason_name(enum route_reason reason);
