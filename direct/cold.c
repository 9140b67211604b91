#include "cold.h"

#include <stdlib.h>

#include "core/xmalloc.h"
#include "endpoints.h"
#include "net/channel.h"
#include "net/log.h"
#include "senders.h"

#define LOG_MODULE "cold"

struct cold {
    struct cold_options options;
};

struct cold *
cold_new(const struct cold_options *options)
{
    struct cold *cold = xcalloc(1, sizeof(*cold));

    cold->options = *options;
    return cold;
}

void
cold_free(struct cold *cold)
{
    free(cold);
}

static struct warmup_limits
limits_of(const struct cold *cold, const struct endpoint *endpoint)
{
    return cold->options.limits(cold->options.ctx, endpoint->service);
}

bool
cold_is_limited(const struct cold *cold, const struct endpoint *endpoint)
{
    return warmup_is_cold(&endpoint->warmup, clock_ms(cold->options.clock)) &&
           limits_of(cold, endpoint).per_s > 0;
}

int64_t
cold_wait_ms(const struct cold *cold, const struct endpoint *endpoint)
{
    int64_t now_ms = clock_ms(cold->options.clock);
    int64_t left_ms = warmup_left_ms(&endpoint->warmup, now_ms);
    struct warmup_limits limits;
    struct sender_plan plan;
    int64_t wait_ms, standing_ms;

    if (left_ms == 0) {
        return 0;
    }
    limits = limits_of(cold, endpoint);
    if (limits.per_s <= 0) {
        return 0;
    }
    plan = warmup_make_plan(&limits);
    if (!senders_include(cold->options.senders, endpoint->hash,
                         plan.senders)) {
        return left_ms;
    }
    standing_ms = senders_standing_wait_ms(cold->options.senders);
    wait_ms = warmup_wait_ms(&endpoint->warmup, &plan, now_ms);
    wait_ms = standing_ms > wait_ms ? standing_ms : wait_ms;
    return wait_ms < left_ms ? wait_ms : left_ms;
}

void
cold_count_send(struct cold *cold, struct endpoint *endpoint)
{
    warmup_take(&endpoint->warmup, clock_ms(cold->options.clock));
    if (cold_is_limited(cold, endpoint)) {
        counter_add(cold->options.counters, COUNTER_COLD_SENT, 1);
    }
}

/// Logs that the endpoint has become cold, or is known to be by another
/// source.
static void
log_begin(const struct cold *cold, struct endpoint *endpoint)
{
    struct warmup_limits limits = limits_of(cold, endpoint);
    struct sender_plan plan = warmup_make_plan(&limits);
    int64_t now_ms = clock_ms(cold->options.clock);

    if (limits.per_s <= 0 ||
        (endpoint->is_logged_cold &&
         endpoint->logged_cold_source == endpoint->warmup.source)) {
        return;
    }
    endpoint->is_logged_cold = true;
    endpoint->logged_cold_source = endpoint->warmup.source;
    LOG_INFO(
        "event=endpoint-cold endpoint=" STR_FMT " service=" STR_FMT
        " incarnation=%lld source=%s left_ms=%lld in_flight=%u "
        "senders=%zu sender=%d per_s=%.2f",
        STR_ARG(endpoint->id), STR_ARG(endpoint->service),
        (long long)endpoint->incarnation,
        warmup_source_name(endpoint->warmup.source),
        (long long)warmup_left_ms(&endpoint->warmup, now_ms),
        endpoint->in_flight, plan.senders,
        senders_include(cold->options.senders, endpoint->hash, plan.senders),
        plan.per_s);
}

void
cold_extend(struct cold *cold, struct endpoint *endpoint, int64_t left_ms,
            enum warmup_source source)
{
    if (left_ms < 0) {
        left_ms = limits_of(cold, endpoint).start_ms;
    }
    if (warmup_extend(&endpoint->warmup, clock_ms(cold->options.clock),
                      left_ms, source)) {
        log_begin(cold, endpoint);
    }
}

void
cold_entry_renewed(struct cold *cold, struct endpoint *endpoint,
                   int64_t left_ms)
{
    if (warmup_renewed(&endpoint->warmup, clock_ms(cold->options.clock),
                       limits_of(cold, endpoint).start_ms)) {
        log_begin(cold, endpoint);
    }
    if (left_ms > 0) {
        cold_extend(cold, endpoint, left_ms, WARMUP_ENTRY);
    }
}

void
cold_suspect(struct cold *cold, struct endpoint *endpoint, bool refused)
{
    // Endpoints of other services are not cold after a start.
    if (limits_of(cold, endpoint).start_ms > 0 &&
        warmup_suspect(&endpoint->warmup, clock_ms(cold->options.clock),
                       refused)) {
        log_begin(cold, endpoint);
    }
}

bool
cold_is_to_be_told(const struct cold *cold, const struct endpoint *endpoint)
{
    return warmup_entry_may_be_old(&endpoint->warmup,
                                   clock_ms(cold->options.clock));
}

void
cold_answered(struct cold *cold, struct endpoint *endpoint,
              const struct channel *channel, const struct answer_facts *answer)
{
    int64_t now_ms = clock_ms(cold->options.clock);
    bool is_stated = answer != NULL && answer->has_cold;
    int64_t start_ms = is_stated ? answer->cold_ms : -1;

    if (endpoint->warmup.suspected_ms != 0) {
        if (start_ms < 0) {
            start_ms = limits_of(cold, endpoint).start_ms;
        }
        warmup_answered(&endpoint->warmup, now_ms,
                        channel_connected_ms(channel),
                        channel_written_ms(channel), start_ms);
    }
    if (is_stated && answer->cold_ms > 0) {
        cold_extend(cold, endpoint, answer->cold_ms, WARMUP_ANSWER);
    }
}

void
cold_check_end(struct cold *cold, struct endpoint *endpoint)
{
    if (!endpoint->is_logged_cold ||
        warmup_is_cold(&endpoint->warmup, clock_ms(cold->options.clock))) {
        return;
    }
    endpoint->is_logged_cold = false;
    LOG_INFO("event=endpoint-warm endpoint=" STR_FMT " service=" STR_FMT
             " incarnation=%lld source=%s in_flight=%u",
             STR_ARG(endpoint->id), STR_ARG(endpoint->service),
             (long long)endpoint->incarnation,
             warmup_source_name(endpoint->warmup.source), endpoint->in_flight);
}
