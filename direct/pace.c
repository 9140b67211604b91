#include "pace.h"

#include "core/pause.h"
#include "core/speed.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange_state.h"
#include "net/log.h"

#define LOG_MODULE "pace"

/// Counts a figure that is ignored. Endpoints send many answers a second, so
/// each cause is logged once for an endpoint.
static void
report_fault(struct exchange *exchange, enum speed_fault fault)
{
    static const enum counter_id counters[] = {
        [SPEED_OUT_OF_RANGE] = COUNTER_SPEED_OUT_OF_RANGE,
        [SPEED_MISSING] = COUNTER_SPEED_MISSING,
        [SPEED_CONTRADICTED] = COUNTER_SPEED_CONTRADICTED,
    };
    struct endpoint *endpoint = exchange->endpoint;

    counter_add(direct_counters(exchange->direct), counters[fault], 1);
    if (endpoint->speed.logged[fault]) {
        return;
    }
    endpoint->speed.logged[fault] = true;
    LOG_WARNING("event=speed-ignored endpoint=" STR_FMT " service=" STR_FMT
                " cause=%s stated=%.2f gaps=%.2f id=%s",
                STR_ARG(endpoint->id), STR_ARG(endpoint->service),
                speed_fault_name(fault), endpoint->speed.stated,
                endpoint->speed.gaps, exchange->id);
}

void
pace_record_answer(struct exchange *exchange, const struct answer_facts *facts)
{
    struct speed *speed = &exchange->endpoint->speed;

    if (facts->has_work_percent) {
        speed_add_stated(speed, facts->work_percent, exchange_now(exchange));
    }
    else if (facts->work_percent_invalid) {
        report_fault(exchange, SPEED_OUT_OF_RANGE);
    }
    else if (facts->has_load && speed->has_stated) {
        report_fault(exchange, SPEED_MISSING);
    }
}

/// Learns from a gap of the endpoint's own speed. A gap that may contain
/// prefill says nothing about it. Several events that arrive at once were
/// delayed on their way or by this process.
static void
learn_gap(struct exchange *exchange, int64_t gap_ms, int64_t now_ms)
{
    struct endpoint *endpoint = exchange->endpoint;
    double usual_ms = endpoint->gaps.usual_ms;
    double backlog_ms = endpoint_backlog_tokens(endpoint, now_ms) /
                        direct_prefill_tokens_per_ms(exchange->direct);

    if (usual_ms > 0 && backlog_ms <= PAUSE_USUAL_BACKLOG_MS &&
        speed_add_gap(&endpoint->speed, (double)gap_ms / usual_ms, now_ms)) {
        report_fault(exchange, SPEED_CONTRADICTED);
    }
    pause_add_gap(&endpoint->gaps, (double)gap_ms, backlog_ms,
                  speed_slow_down(&endpoint->speed, now_ms));
}

void
pace_record_events(struct exchange *exchange, uint64_t events_before)
{
    int64_t now_ms = exchange_now(exchange);
    int64_t gap_ms = now_ms - exchange->event_ms;

    // A caller also waits while a broken stream is resumed at another
    // endpoint, so that time counts as a pause.
    if (exchange->event_ms > 0 && gap_ms > exchange->pause_max_ms) {
        exchange->pause_max_ms = gap_ms;
    }
    if (events_before > 0 && exchange->scan.events == events_before + 1) {
        learn_gap(exchange, gap_ms, now_ms);
    }
    exchange->event_ms = now_ms;
}

int64_t
pace_usual_ms(const struct exchange *exchange)
{
    int64_t now_ms = exchange_now(exchange);
    double slow_down = speed_slow_down(&exchange->endpoint->speed, now_ms);

    return (int64_t)((double)(now_ms - exchange->offered_ms) / slow_down);
}
