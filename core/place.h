/// Chooses the endpoint with the least predicted cost for a request.
///
/// Load patterns: chats that return should find their context; a hot subject
/// must spread over as many endpoints as its rate needs; a herd must not pile
/// up on the endpoint that looked idle a moment ago; no endpoint may hold more
/// than a multiple of the mean. New endpoints, and those that take over from
/// crashed or full ones, fetch contexts from an endpoint that keeps them.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Cost of one request in flight, in ms: breaks ties; the cap balances. A
/// request more in a batch slows the others by a tenth of a ms a step.
#define PLACE_IN_FLIGHT_COST_MS 1.0
/// Reading a context again delays everything at that endpoint, so that it
/// weighs more than waiting for a turn does.
#define PLACE_PREFILL_WEIGHT 3.0
/// The rest of the cap is kept for requests that peers place meanwhile: the
/// more routers there are, the more of these come between two reports.
#define PLACE_CAP_SHARE 0.9
#define PLACE_CAP_SHARE_PER_ROUTER 0.003
#define PLACE_CAP_SHARE_MIN 0.8
#define PLACE_CAP_SHARE_ROUTERS 4
/// Time to set up a transfer between two endpoints.
#define PLACE_FETCH_SETUP_MS 5.0
/// A copied context displaces others and uses the endpoints' links, so that it
/// weighs more than waiting for as long does.
#define PLACE_FETCH_WEIGHT 8.0
/// A transfer must be this many times as fast as reading: its source may have
/// dropped the context, or still be sending another.
#define PLACE_FETCH_SPEEDUP_MIN 2.0
/// A transfer to another zone takes this many times as long.
#define PLACE_FETCH_CROSS_ZONE_FACTOR 2.0
/// Places in a prompt's rendezvous order that are taken to keep part of it
/// while this router knows of no endpoint that does: peers place there too.
#define PLACE_HOMES_MAX 3

struct place_candidate {
    uint64_t hash; ///< of the endpoint's identity
    bool usable;
    bool sends_contexts; ///< contexts that it keeps can be fetched from it
    bool same_zone;
    uint64_t zone;
    uint32_t load;          ///< requests in flight there, by all routers
    uint32_t slots;         ///< requests it works on at once
    double backlog_tokens;  ///< prompt tokens that it has yet to read
    uint32_t cached_tokens; ///< of this prompt, believed there
};

struct place_request {
    const struct random_source *random;
    bool has_prompt;
    uint64_t affinity;
    uint32_t prompt_tokens;
    uint32_t shared_tokens;       ///< of the parts that other requests share
    double prefill_tokens_per_ms; ///< reading speed of the service's endpoints
    /// Speed of a transfer between two endpoints of a zone; 0: there is none.
    double fetch_tokens_per_ms;
    double cap_factor;  ///< bound on load, as a multiple of the mean
    size_t routers;     ///< that place at the same endpoints
    uint32_t cap_slack; ///< requests above that multiple
};

enum place_reason {
    PLACE_CACHED,   ///< part of the prompt is believed there
    PLACE_HOME,     ///< first in the prompt's rendezvous order
    PLACE_LIGHTEST, ///< least cost otherwise
    PLACE_FULL,     ///< all are at the cap: least cost of all
};

struct place_choice {
    size_t index;
    enum place_reason reason;
    double cost_ms;
    double predicted_prefill_ms; ///< predicted time until the prompt is read
    double mean_load;
    size_t usable;
    size_t source; ///< fetch from this candidate; PLACE_NO_SOURCE: do not
    uint32_t fetched_tokens;
};

#define PLACE_NO_SOURCE SIZE_MAX

/// False if no candidate is usable.
bool place_choose(const struct place_request *request,
                  const struct place_candidate *candidates, size_t count,
                  struct place_choice *choice);

const char *place_reason_name(enum place_reason reason);
