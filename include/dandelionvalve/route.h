/// Choice of an endpoint for a request, made by one router for one pool.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/members.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/str.h"

#define ROUTE_TRIED_MAX 16

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
    ROUTE_LEAST_LOADED, ///< least loaded endpoint that is known
    ROUTE_WAIT,         ///< all are at their bound: wait at this endpoint
};

struct route_options {
    const struct clock *clock;
    const struct random_source *random;
    /// How long a refusal keeps an endpoint out of the choice.
    int64_t refusal_backoff_ms;
    /// How long a report that an endpoint is at its bound is believed.
    int64_t report_max_age_ms;
    /// Entries of the table of overflow placements.
    size_t placements_max;
    /// Places of the rendezvous order to try before the least loaded.
    size_t rendezvous_places;
    /// Refusals after which a request waits in an endpoint's queue.
    size_t refusals_max;
};

/// What the choice depends on.
struct route_request {
    uint64_t key_hash;
    bool has_key;
    struct str hint;
    /// Endpoints that this request must not be offered to again.
    struct str tried[ROUTE_TRIED_MAX];
    size_t tried_count;
};

struct route_choice {
    struct str endpoint;
    enum route_reason reason;
    size_t candidates;
    bool may_wait;
};

struct route_endpoint_options {
    struct str name;
    uint32_t weight;
};

/// The caller frees with route_free().
struct route *route_new(const struct route_options *options);
void route_free(struct route *route);

/// Adds an endpoint, or changes its weight if it is known.
void route_add(struct route *route,
               const struct route_endpoint_options *endpoint);
void route_remove(struct route *route, struct str endpoint);
bool route_has(const struct route *route, struct str endpoint);
size_t route_count(const struct route *route);

/// The name of the endpoint at this place; place 0 moves the start of the
/// walk on, so that repeated walks begin at different endpoints.
struct str route_rotated_name(struct route *route, size_t place);

/// Takes an endpoint out of the choice without moving other keys, or back in.
void route_set_use(struct route *route, struct str endpoint,
                   enum member_use use);

/// Notes what an agent said of its load.
void route_record_load(struct route *route, struct str endpoint,
                       const struct load_report *load);

/// Notes that an agent refused for want of room.
void route_record_refusal(struct route *route, struct str endpoint);

/// Notes that an endpoint accepted a request, so that later requests of the
/// same key can find the cache there.
void route_record_placement(struct route *route,
                            const struct route_request *request,
                            struct str endpoint, enum route_reason reason);

/// False if no usable endpoint is left.
bool route_pick(struct route *route, const struct route_request *request,
                struct route_choice *choice);

/// Counts a request from its accept to its end.
void route_begin(struct route *route);
void route_end(struct route *route);
uint32_t route_in_flight(const struct route *route);

/// Sum of the weights of the endpoints that may be used.
uint32_t route_usable_weight(const struct route *route);

/// The first endpoint of a key's rendezvous order, usable or not; empty if
/// there is none.
struct str route_home(const struct route *route, uint64_t key_hash);

const char *route_reason_name(enum route_reason reason);
