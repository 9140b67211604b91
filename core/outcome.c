#include "dandelionvalve/outcome.h"

const char *
outcome_name(enum outcome outcome)
{
    static const char *const names[] = {
        [OUTCOME_DONE] = "done",
        [OUTCOME_NOT_RUN] = "not-run",
        [OUTCOME_UNKNOWN] = "unknown",
    };

    return names[outcome];
}

const char *
outcome_attempt_name(enum attempt_end end)
{
    static const char *const names[] = {
        [ATTEMPT_REFUSED] = "refused", [ATTEMPT_UNSENT] = "unsent",
        [ATTEMPT_LOST] = "lost",       [ATTEMPT_FAILED] = "failed",
        [ATTEMPT_CUT] = "cut",
    };

    return names[end];
}

enum outcome
outcome_of_attempt(enum attempt_end end)
{
    if (end == ATTEMPT_REFUSED || end == ATTEMPT_UNSENT) {
        return OUTCOME_NOT_RUN;
    }
    return OUTCOME_UNKNOWN;
}

bool
outcome_allows_retry(enum attempt_end end, bool repeatable)
{
    if (outcome_of_attempt(end) == OUTCOME_NOT_RUN) {
        return true;
    }
    return repeatable && end != ATTEMPT_CUT;
}

bool
outcome_costs_budget(enum attempt_end end)
{
    return outcome_of_attempt(end) != OUTCOME_NOT_RUN;
}

enum outcome
outcome_of_refusal(enum refuse_reason reason)
{
    if (reason == REFUSE_KEY_IN_PROGRESS || reason == REFUSE_KEY_EXPIRED) {
        return OUTCOME_UNKNOWN;
    }
    return OUTCOME_NOT_RUN;
}

bool
outcome_refusal_is_local(enum refuse_reason reason)
{
    switch (reason) {
    case REFUSE_OVER_BOUND:
    case REFUSE_FULL:
    case REFUSE_QUEUE_FULL:
    case REFUSE_LEAVING:
    case REFUSE_ENDPOINT_DOWN:
    case REFUSE_NOT_RECEIVED:
        return true;
    case REFUSE_DEADLINE:
    case REFUSE_QUARANTINED:
    case REFUSE_LOG_DOWN:
    case REFUSE_KEY_CONFLICT:
    case REFUSE_KEY_IN_PROGRESS:
    case REFUSE_KEY_EXPIRED:
    case REFUSE_BAD_REQUEST:
    case REFUSE_REASON_END:
        return false;
    }
    return false;
}

int
outcome_refusal_status(enum refuse_reason reason)
{
    switch (reason) {
    case REFUSE_KEY_CONFLICT:
        return 422;
    case REFUSE_KEY_IN_PROGRESS:
        return 409;
    case REFUSE_KEY_EXPIRED:
        return 410;
    case REFUSE_BAD_REQUEST:
        return 400;
    case REFUSE_DEADLINE:
        return 504;
    default:
        return 503;
    }
}
