/// What the system may say about a request, and when it may try again.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/message.h"

enum outcome {
    OUTCOME_DONE,    ///< the endpoint answered, and the answer is whole
    OUTCOME_NOT_RUN, ///< no endpoint has run it, and none will
    OUTCOME_UNKNOWN, ///< it may have run
};

const char *outcome_name(enum outcome outcome);

/// How an attempt ended without an answer.
enum attempt_end {
    ATTEMPT_REFUSED, ///< the agent says that it never reached the endpoint
    ATTEMPT_UNSENT,  ///< no byte of it left this router
    ATTEMPT_LOST,    ///< sent, and nothing more is known
    ATTEMPT_FAILED,  ///< the agent says that it may have run
    ATTEMPT_CUT,     ///< bytes of its answer have reached the caller
};

const char *outcome_attempt_name(enum attempt_end end);

enum outcome outcome_of_attempt(enum attempt_end end);

/// True if the request may be sent again: always after not-run, else only if
/// it is repeatable and no byte of an answer has reached the caller.
bool outcome_allows_retry(enum attempt_end end, bool repeatable);

/// True if a retry after this end is paid from the retry budget; redirections
/// of requests that did not run are free.
bool outcome_costs_budget(enum attempt_end end);

/// What a refusal tells the caller. A key that is in progress or too old may
/// stand for a request that did run.
enum outcome outcome_of_refusal(enum refuse_reason reason);

/// True if another endpoint may take what this one refused.
bool outcome_refusal_is_local(enum refuse_reason reason);

/// HTTP status for a refusal that is passed on to the caller.
int outcome_refusal_status(enum refuse_reason reason);
