#include "rate_limits.h"

#include <stdlib.h>

#include "core/rate_limit.h"
#include "core/xmalloc.h"
#include "early_reports.h"
#include "endpoints.h"
#include "net/channel.h"
#include "net/log.h"
#include "senders.h"

#define LOG_MODULE "rate-limits"

/// Statuses from this one on do not show that a statement has ended: they may
/// come from a process before the endpoint.
#define FAILURE_STATUS_MIN 500

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

static struct rate_limit_place
place_of(const struct rate_limits *limits, const struct endpoint *endpoint)
{
    struct rate_limit_place place = {
        .standing_wait_ms = senders_standing_wait_ms(limits->options.senders),
    };

    place.rank =
        senders_rank(limits->options.senders, endpoint->hash, &place.routers);
    return place;
}

static void
log_change(const struct rate_limits *limits, const struct endpoint *endpoint,
           enum rate_limit_change change, double before_per_s,
           const char *source)
{
    static const char *const events[] = {
        [RATE_LIMIT_BEGUN] = "rate-limit-begun",
        [RATE_LIMIT_CHANGED] = "rate-limit-changed",
        [RATE_LIMIT_ENDED] = "rate-limit-ended",
    };
    const struct rate_limit *limit = &endpoint->rate_limit;
    struct rate_limit_place place;
    struct sender_plan plan;

    if (change == RATE_LIMIT_UNCHANGED) {
        return;
    }
    place = place_of(limits, endpoint);
    plan = rate_limit_plan(limit, place.routers);
    LOG_INFO("event=%s endpoint=" STR_FMT " service=" STR_FMT
             " incarnation=%lld source=%s per_s=%.3f before_per_s=%.3f "
             "held_ms=%lld sent=%llu in_flight=%u rank=%zu routers=%zu "
             "senders=%zu sender_per_s=%.3f",
             events[change], STR_ARG(endpoint->id), STR_ARG(endpoint->service),
             (long long)endpoint->incarnation, source, limit->per_s,
             before_per_s,
             (long long)(clock_ms(limits->options.clock) - limit->begun_ms),
             (unsigned long long)limit->sent, endpoint->in_flight, place.rank,
             place.routers, plan.senders, plan.per_s);
}

int64_t
rate_limits_wait_ms(const struct rate_limits *limits,
                    const struct endpoint *endpoint)
{
    struct rate_limit_place place;

    if (!endpoint->rate_limit.holds) {
        return 0;
    }
    place = place_of(limits, endpoint);
    return rate_limit_wait_ms(&endpoint->rate_limit, &place,
                              clock_ms(limits->options.clock));
}

void
rate_limits_count_send(struct rate_limits *limits, struct endpoint *endpoint)
{
    rate_limit_take(&endpoint->rate_limit, clock_ms(limits->options.clock));
    if (endpoint->rate_limit.holds) {
        counter_add(limits->options.counters, COUNTER_RATE_LIMITED_SENT, 1);
    }
}

void
rate_limits_answered(struct rate_limits *limits, struct endpoint *endpoint,
                     const struct channel *channel, int status,
                     const struct answer_facts *answer)
{
    const struct rate_limit_statement statement = {
        .is_stated = answer->has_rate_limit,
        .per_s = answer->rate_limit_per_s,
        .at_ms = clock_ms(limits->options.clock),
        .sent_ms = channel_written_ms(channel),
    };
    double before_per_s = endpoint->rate_limit.per_s;

    if (answer->rate_limit_invalid) {
        note_invalid(limits, endpoint, answer);
        return;
    }
    if (!answer->has_rate_limit && status >= FAILURE_STATUS_MIN) {
        return;
    }
    endpoint->is_logged_rate_invalid = false;
    log_change(limits, endpoint,
               rate_limit_answered(&endpoint->rate_limit, &statement),
               before_per_s, "answer");
}

void
rate_limits_receive(struct rate_limits *limits, struct endpoints *endpoints,
                    const struct message_rate *items, size_t count,
                    bool relays)
{
    int64_t now_ms = clock_ms(limits->options.clock);

    for (size_t i = 0; i < count; i++) {
        const struct message_rate *item = &items[i];
        struct endpoint *endpoint =
            endpoints_find_hash(endpoints, item->endpoint);
        const struct rate_limit_statement statement = {
            .is_stated = item->holds,
            .per_s = item->milli_per_s / 1000.0,
            .at_ms = now_ms - item->age_ms,
        };
        double before_per_s;

        if (endpoint == NULL ||
            (uint64_t)endpoint->incarnation != item->incarnation) {
            early_reports_add_rate(limits->options.early, item);
            continue;
        }
        before_per_s = endpoint->rate_limit.per_s;
        log_change(limits, endpoint,
                   rate_limit_reported(&endpoint->rate_limit, now_ms,
                                       &statement, relays),
                   before_per_s, "peer");
    }
}

static struct message_rate
describe(const struct endpoint *endpoint, int64_t now_ms)
{
    const struct rate_limit *limit = &endpoint->rate_limit;

    return (struct message_rate){
        .endpoint = endpoint->hash,
        .incarnation = (uint64_t)endpoint->incarnation,
        .holds = limit->holds,
        .milli_per_s = (uint32_t)(limit->per_s * 1000 + 0.5),
        .age_ms = (uint32_t)(now_ms - limit->confirmed_ms),
    };
}

size_t
rate_limits_collect(struct rate_limits *limits, struct endpoints *endpoints,
                    struct message_rate *items, size_t max)
{
    int64_t now_ms = clock_ms(limits->options.clock);
    struct endpoint *endpoint;
    size_t count = 0;

    for (endpoint = endpoints_first(endpoints);
         endpoint != NULL && count < max; endpoint = endpoint->hh.next) {
        if (rate_limit_take_report(&endpoint->rate_limit, now_ms)) {
            items[count++] = describe(endpoint, now_ms);
        }
    }
    return count;
}

size_t
rate_limits_collect_known(const struct rate_limits *limits,
                          const struct endpoint **next,
                          struct message_rate *items, size_t max)
{
    int64_t now_ms = clock_ms(limits->options.clock);
    size_t count = 0;

    while (*next != NULL && count < max) {
        if (rate_limit_is_known(&(*next)->rate_limit, now_ms)) {
            items[count++] = describe(*next, now_ms);
        }
        *next = (*next)->hh.next;
    }
    return count;
}
