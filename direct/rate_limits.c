#include "rate_limits.h"

#include <stdlib.h>

#include "core/rate_limit.h"
#include "core/xmalloc.h"
#include "endpoints.h"
#include "net/log.h"

#define LOG_MODULE "rate-limits"

struct rate_limits {
    struct rate_limits_options options;
};

struct rate_limits *
rate_limits_new(const struct rate_limits_options *options)
{
    struct rate_limits *limits = xcalloc(1, sizeof(*limits));

    limits->options = *options;
    return limits;
}

void
rate_limits_free(struct rate_limits *limits)
{
    free(limits);
}

/// An invalid value neither begins nor ends a limit.
static void
note_invalid(const struct rate_limits *limits, struct endpoint *endpoint,
             const struct answer_facts *answer)
{
    counter_add(limits->options.counters, COUNTER_RATE_LIMITS_IGNORED, 1);
    if (endpoint->is_logged_rate_invalid) {
        return;
    }
    endpoint->is_logged_rate_invalid = true;
    LOG_WARNING("event=rate-limit-ignored endpoint=" STR_FMT
                " service=" STR_FMT " value=\"" STR_FMT "\" max_per_s=%.0f "
                "detail=\"not one decimal number in range\"",
                STR_ARG(endpoint->id), STR_ARG(endpoint->service),
                STR_ARG(answer->rate_limit_text), RATE_LIMIT_MAX_PER_S);
}

static void
log_change(const struct endpoint *endpoint, enum rate_limit_change change,
           double before_per_s, int64_t now_ms)
{
    static const char *const events[] = {
        [RATE_LIMIT_BEGUN] = "rate-limit-begun",
        [RATE_LIMIT_CHANGED] = "rate-limit-changed",
        [RATE_LIMIT_ENDED] = "rate-limit-ended",
    };
    const struct rate_limit *limit = &endpoint->rate_limit;

    LOG_INFO("event=%s endpoint=" STR_FMT " service=" STR_FMT
             " incarnation=%lld per_s=%.3f before_per_s=%.3f held_ms=%lld "
             "sent=%llu in_flight=%u",
             events[change], STR_ARG(endpoint->id), STR_ARG(endpoint->service),
             (long long)endpoint->incarnation, limit->per_s, before_per_s,
             (long long)(now_ms - limit->begun_ms),
             (unsigned long long)limit->sent, endpoint->in_flight);
}

void
rate_limits_answered(struct rate_limits *limits, struct endpoint *endpoint,
                     const struct answer_facts *answer)
{
    int64_t now_ms = clock_ms(limits->options.clock);
    double before_per_s = endpoint->rate_limit.per_s;
    enum rate_limit_change change;

    if (answer->rate_limit_invalid) {
        note_invalid(limits, endpoint, answer);
        return;
    }
    endpoint->is_logged_rate_invalid = false;
    change =
        rate_limit_answered(&endpoint->rate_limit, now_ms,
                            answer->has_rate_limit, answer->rate_limit_per_s);
    if (change != RATE_LIMIT_UNCHANGED) {
        log_change(endpoint, change, before_per_s, now_ms);
    }
}

void
rate_limits_count_send(struct rate_limits *limits, struct endpoint *endpoint)
{
    rate_limit_take(&endpoint->rate_limit);
    if (endpoint->rate_limit.holds) {
        counter_add(limits->options.counters, COUNTER_RATE_LIMITED_SENT, 1);
    }
}
