/// Chooses the endpoint of a request, or refuses the request.
#pragma once

#include <stdbool.h>

#include "candidates.h"
#include "core/admission.h"
#include "dandelionvalve/counter.h"

struct exchange;
struct random_source;
struct services;
struct shed;

/// Sends the request to the best endpoint that has not been tried. Ends the
/// exchange if there is none.
void dispatch_request(struct exchange *exchange);

/// Chooses an endpoint; the first `skipped` ones that were tried may be chosen
/// again. `considered` is NULL or has room for CANDIDATES_MAX.
bool dispatch_choose(const struct exchange *exchange, size_t skipped,
                     const struct random_source *random,
                     struct place_choice *considered,
                     struct endpoints_choice *choice);

/// Why no endpoint is usable, as `choice` found. `counter` is set to that of
/// such refusals, or COUNTER_END.
const char *dispatch_refusal(const struct exchange *exchange,
                             const struct endpoints_choice *choice,
                             enum counter_id *counter);

/// What load shedding decides on a request.
struct dispatch_verdict {
    bool is_refused;
    bool is_late;
    bool by_account;      ///< `request` and `admission` are set
    double refused_share; ///< of requests like this one
    double share_min;     ///< see shed_share()
    struct admission_request request;
    struct admission_verdict admission;
};

/// Decides whether the request is shed, and counts it in `services`.
void dispatch_judge(const struct exchange *exchange, struct services *services,
                    const struct random_source *random,
                    struct dispatch_verdict *verdict);

/// True if the request is to be refused since its answer would begin behind
/// its deadline.
bool dispatch_is_untimely(const struct exchange *exchange,
                          const struct services *services,
                          const struct endpoints_choice *choice);

/// Refuses the request if its service is overloaded and load shedding selects
/// it; true if the exchange has ended. Requests that resume a stream are never
/// shed.
bool dispatch_try_shed(struct exchange *exchange);

/// The load shedding state of the request's service and priority.
struct shed *dispatch_shed(const struct exchange *exchange);
