/// Chooses the endpoint with the least predicted cost for a request.
///
/// Load patterns: a returning chat is placed where its context is cached; a
/// hot context spreads over as many endpoints as its request rate needs; a
/// burst does not pile up on the endpoint that was idle at the last report; no
/// endpoint holds more than a multiple of the mean load. New endpoints, and
/// those that replace crashed or full ones, fetch contexts from an endpoint
/// that has them cached.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Cost of one request in flight. It only breaks ties, since the cap balances
/// the load: one more request in a batch slows the others by 0.1 ms a step.
#define PLACE_IN_FLIGHT_COST_MS 1.0
/// Further cost of one request in flight with `even_load`. 4 ms made the
/// routers prefill more shared tokens again than without it.
#define PLACE_EVEN_LOAD_COST_MS 2.0
/// What a request costs less at an endpoint that takes few requests: one that
/// is not sent now cannot be sent later, and the others are left with more.
#define PLACE_RATE_BONUS_MS 500.0
/// Weight of prefill time relative to queueing time: a prefill delays every
/// request at the endpoint.
#define PLACE_PREFILL_WEIGHT 3.0
/// Share of the cap that a router uses. The rest is left for requests that
/// peers place between two load reports, and is larger for each router beyond
/// PLACE_CAP_SHARE_ROUTERS.
#define PLACE_CAP_SHARE 0.9
#define PLACE_CAP_SHARE_PER_ROUTER 0.003
#define PLACE_CAP_SHARE_MIN 0.8
#define PLACE_CAP_SHARE_ROUTERS 4
/// Time to set up a transfer between two endpoints.
#define PLACE_FETCH_SETUP_MS 5.0
/// Weight of transfer time relative to queueing time: a copied context evicts
/// others and uses the endpoints' links.
#define PLACE_FETCH_WEIGHT 8.0
/// Least ratio of prefill time to transfer time at which a context is fetched:
/// the source may have evicted it, or may still be sending another one.
#define PLACE_FETCH_SPEEDUP_MIN 2.0
/// Duration of a transfer between zones relative to one within a zone.
#define PLACE_FETCH_CROSS_ZONE_FACTOR 2.0
/// Endpoints at the head of a prompt's rendezvous order that are presumed to
/// have part of it cached while none is recorded to: peers place it there too.
#define PLACE_HOMES_MAX 3

struct place_candidate {
    uint64_t hash; ///< of the endpoint's identity
    bool usable;
    bool sends_contexts; ///< contexts can be fetched from it
    bool rate_limited;   ///< it takes few requests
    bool same_zone;
    uint64_t zone;
    uint32_t load;  ///< requests in flight; with a prompt, of all routers
    uint32_t slots; ///< requests that it processes at once
    /// Figures of spread_estimate().
    uint32_t own_load;      ///< requests in flight of this router
    uint32_t reported_load; ///< those and the peers' by their last reports
    double stated_excess;   ///< what the last answer stated beyond these
    int64_t stated_age_ms;  ///< of that answer; -1: none
    double backlog_tokens;  ///< prompt tokens that it has still to prefill
    uint32_t cached_tokens; ///< of this prompt, presumed cached there
    double usual_gap_ms;    ///< between two events of a stream; 0: unknown
    double slow_down;       ///< see speed_slow_down(); 0: unknown
};

/// True if a request would wait there until another one has run.
bool place_has_queue(const struct place_candidate *candidate);

struct place_choice;

struct place_request {
    const struct random_source *random;
    bool has_prompt;
    bool even_load;     ///< loads are those of spread_estimate()
    double known_share; ///< of the routers, whose loads are reported
    uint64_t affinity;  ///< see prefix_affinity()
    uint32_t prompt_tokens;
    uint32_t shared_tokens;       ///< of the parts that other requests share
    double prefill_tokens_per_ms; ///< of the service's endpoints
    /// Speed of a transfer between two endpoints of a zone; 0: no transfers.
    double fetch_tokens_per_ms;
    double cap_factor;    ///< cap on the load, as a multiple of the mean
    size_t routers;       ///< that place requests at the same endpoints
    uint32_t cap_slack;   ///< requests added to that multiple
    double gap_target_ms; ///< tightest of the service's streams; 0: not set
    /// NULL, or filled in with what the choice of each usable candidate would
    /// be.
    struct place_choice *considered;
};

/// Parts of the cost of a placement.
struct place_cost {
    double prefill_ms;
    double fetch_ms;
    double backlog_ms;
    double load_ms;
    double zone_ms;
    double jitter_ms;
    double pause_ms;
    double even_load_ms;
    double rate_ms;
};

enum place_reason {
    PLACE_CACHED,   ///< part of the prompt is presumed cached there
    PLACE_HOME,     ///< first in the prompt's rendezvous order
    PLACE_LIGHTEST, ///< least cost
    PLACE_FULL,     ///< all endpoints are at the cap: least cost
};

struct place_choice {
    size_t index;
    enum place_reason reason;
    double cost_ms; ///< the sum of `cost`
    struct place_cost cost;
    double predicted_prefill_ms; ///< predicted time until prefill ends
    double predicted_pause_ms;   ///< longest one of the streams there
    double mean_load;
    uint32_t load; ///< of the chosen candidate, as it was compared
    size_t usable; ///< number of usable candidates
    size_t source; ///< candidate to fetch from, or PLACE_NO_SOURCE
    uint32_t fetched_tokens;
};

#define PLACE_NO_SOURCE SIZE_MAX

/// False if no candidate is usable.
bool place_choose(const struct place_request *request,
                  const struct place_candidate *candidates, size_t count,
                  struct place_choice *choice);

const char *place_reason_name(enum place_reason reason);
