/// The choice of an endpoint for a request among the endpoints of its service:
/// which of them are usable, and which of these is placed at.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/place.h"
#include "dandelionvalve/str.h"

/// Endpoints of one service that a placement considers at most.
#define CANDIDATES_MAX 1024

/// Why an endpoint does not get a request.
enum candidate_exclusion {
    CANDIDATE_USABLE,
    CANDIDATE_DRAINING,
    CANDIDATE_LEAVING,
    CANDIDATE_HELD,
    CANDIDATE_EVACUATED,
    CANDIDATE_COLD,
    CANDIDATE_RATE_LIMITED,
    CANDIDATE_TRIED,
    CANDIDATE_OTHER_BUILD, ///< than the one that began the stream
    CANDIDATE_EJECTED,
    CANDIDATE_ON_TRIAL,
    CANDIDATE_FAILING,  ///< fails more than others, and this is a repeat
    CANDIDATE_FULL,     ///< the request would fill its memory
    CANDIDATE_QUEUEING, ///< its slots are taken, while others state rates
};

struct candidates;
struct endpoint;
struct endpoints;
struct prefix;

/// Scratch memory of endpoints_choose(); the caller frees with
/// candidates_free().
struct candidates *candidates_new(void);
void candidates_free(struct candidates *candidates);

const char *candidate_exclusion_name(enum candidate_exclusion exclusion);

/// A candidate of the last choice, valid until the endpoints change.
struct candidate_view {
    const struct endpoint *endpoint;
    const struct place_candidate *figures;
    enum candidate_exclusion exclusion;
};

/// Candidates of the last choice, the excluded ones included.
size_t candidates_count(const struct candidates *candidates);
struct candidate_view candidates_view(const struct candidates *candidates,
                                      size_t index);

/// Constraints on the choice beside place_request.
struct endpoints_query {
    struct str service;
    const struct prefix *prefix;
    uint64_t build;        ///< that began the stream; 0: any may serve it
    const uint64_t *tried; ///< hashes of endpoints to exclude
    size_t tried_count;
    bool at_most_once;      ///< the request may not be repeated
    bool spares_trials;     ///< such a request avoids endpoints on trial
    bool is_repeat;         ///< an endpoint has run the request, and failed
    bool may_be_refused;    ///< not a repeat, and resumes no stream
    double tokens;          ///< that the request will need there; 0: not known
    double capacity_tokens; ///< memory of an endpoint; 0: not known
};

struct endpoints_choice {
    struct endpoint *endpoint;
    struct endpoint *source; ///< has more of the prompt cached; NULL: none
    struct place_choice place;
    bool is_queueing; ///< usable endpoints were left out as CANDIDATE_QUEUEING
};

/// Chooses an endpoint; false if none is usable.
bool endpoints_choose(struct endpoints *endpoints,
                      const struct endpoints_query *query,
                      const struct place_request *request,
                      struct endpoints_choice *choice);
