#include "pace.h"

#include "core/pause.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange_state.h"

/// Adds the gap to the endpoint's usual one. Several events that arrive at
/// once were delayed on their way or by this process.
static void
learn_gap(struct exchange *exchange, int64_t gap_ms, int64_t now_ms)
{
    struct endpoint *endpoint = exchange->endpoint;
    double backlog_ms = endpoint_backlog_tokens(endpoint, now_ms) /
                        direct_prefill_tokens_per_ms(exchange->direct);

    pause_add_gap(&endpoint->gaps, (double)gap_ms, backlog_ms, 1);
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
