#include "rate_limit.h"

enum rate_limit_change
rate_limit_answered(struct rate_limit *limit, int64_t now_ms, bool is_stated,
                    double per_s)
{
    if (!is_stated) {
        if (!limit->holds) {
            return RATE_LIMIT_UNCHANGED;
        }
        limit->holds = false;
        return RATE_LIMIT_ENDED;
    }
    if (!limit->holds) {
        *limit = (struct rate_limit){
            .holds = true,
            .per_s = per_s,
            .begun_ms = now_ms,
        };
        return RATE_LIMIT_BEGUN;
    }
    if (limit->per_s == per_s) {
        return RATE_LIMIT_UNCHANGED;
    }
    limit->per_s = per_s;
    return RATE_LIMIT_CHANGED;
}

void
rate_limit_take(struct rate_limit *limit)
{
    limit->sent++;
}
