/// State of a simulated fleet, shared by its parts.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/place.h"
#include "crowded_fleet.h"
#include "dandelionvalve/clock.h"

#define SLOTS 64
#define ACTIVE_MAX 1024    ///< requests at one endpoint
#define CONTEXTS 64        ///< shared first parts of prompts
#define HISTORY_TOKENS 900 ///< second part, of a returning session
#define SESSIONS 4096
#define PREFILL_TOKENS_PER_MS 90.0
#define CAP_FACTOR 2
#define CAP_SLACK 3
#define LINKS_MAX 64

struct call {
    uint32_t router;
    uint32_t tokens_left;
    uint32_t prefill_left;
    uint32_t prompt_uncached; ///< as the router counts its backlog
    uint32_t event_tokens;
    int64_t arrived_us;
    int64_t event_us;
    bool started;
    bool late;
};

struct engine {
    struct call calls[ACTIVE_MAX]; ///< in order of arrival
    size_t count;
    int64_t step_ends_us;
    int64_t slow_until_ms;
    int64_t
        used_ms[CONTEXTS]; ///< last use of a cached context; -1: not cached
    size_t cached;
};

/// What a router knows of one endpoint.
struct view {
    uint32_t own;
    uint32_t own_backlog;
    uint32_t reported; ///< own, as last sent to the peers
    uint32_t reported_backlog;
    uint32_t peers; ///< sum of the peers' last reports
    uint32_t peers_backlog;
    float unreported;
    int32_t unreported_ms; ///< time of the last answer
    float stated_excess;   ///< as that answer stated
    bool answered;
    bool caches[CONTEXTS];
};

struct router {
    struct view *views;
    uint16_t *sessions; ///< endpoint of each session plus 1; 0: unknown
    uint32_t links[LINKS_MAX];
    size_t link_count;
    int64_t report_ms; ///< next report
    int64_t reports_ms;
};

struct placed {
    int64_t due_ms;
    uint32_t router;
    uint16_t endpoint;
    uint16_t context;
    uint16_t session;
};

struct crowded {
    struct crowded_options options;
    struct random_seeded load_seed; ///< the same requests for each way
    struct random_seeded choice_seed;
    struct random_source load;
    struct random_source choice;
    struct engine *engines;
    struct router *routers;
    double *router_weights; ///< cumulative shares of the requests
    uint32_t context_tokens[CONTEXTS];
    double context_weights[CONTEXTS];
    uint16_t session_contexts[SESSIONS];
    uint16_t session_endpoints[SESSIONS]; ///< plus 1
    uint64_t session_count;
    struct placed *placed; ///< ring
    size_t placed_head;
    size_t placed_tail;
    struct place_candidate *candidates;
    int64_t now_ms;
    double next_request_ms;
    struct crowded_result *result;
    double samples;
};

struct prompt {
    uint32_t context;
    uint32_t session;
    bool returning;
    uint32_t tokens;
    uint32_t shared;
};

/// Chooses an endpoint for a prompt at a router, by the way of the options.
size_t crowded_choose(struct crowded *fleet, size_t router,
                      const struct prompt *prompt);

/// Tokens of the prompt that the endpoint has cached in fact.
uint32_t crowded_true_cached(const struct crowded *fleet,
                             const struct prompt *prompt, size_t e);
