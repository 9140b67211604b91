/// The outcome of a request that is reported to its caller, and whether it may
/// be retried.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/message.h"

enum outcome {
    OUTCOME_DONE,    ///< the endpoint answered, and the answer is complete
    OUTCOME_NOT_RUN, ///< no endpoint has run it or will run it
    OUTCOME_UNKNOWN, ///< it may have run
};

const char *outcome_name(enum outcome outcome);

/// How an attempt ended without an answer.
enum attempt_end {
    ATTEMPT_REFUSED, ///< the agent reports that it did not reach the endpoint
    ATTEMPT_UNSENT,  ///< no byte of it was sent
    ATTEMPT_LOST,    ///< sent, and no report on it was received
    ATTEMPT_FAILED,  ///< the agent reports that it may have run
    ATTEMPT_CUT,     ///< bytes of its answer were sent to the caller
};

const char *outcome_attempt_name(enum attempt_end end);

enum outcome outcome_of_attempt(enum attempt_end end);

/// True if the request may be sent again: always if it was not run, else only
/// if it is repeatable and no byte of an answer was sent to the caller.
bool outcome_allows_retry(enum attempt_end end, bool repeatable);

/// True if a retry after this end counts against the retry budget. Requests
/// that were not run are redirected without a charge.
bool outcome_costs_budget(enum attempt_end end);

/// Outcome that is reported after a refusal. The request of a key that is in
/// progress or expired may have run.
enum outcome outcome_of_refusal(enum refuse_reason reason);

/// True if the reason holds for this endpoint only, so that another one may
/// accept the request.
bool outcome_refusal_is_local(enum refuse_reason reason);

/// HTTP status for a refusal that is passed on to the caller.
int outcome_refusal_status(enum refuse_reason reason);
