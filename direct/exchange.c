#include "exchange.h"

#include <stdlib.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "core/catalog.h"
#include "core/timing.h"
#include "core/xmalloc.h"
#include "dandelionvalve/outcome.h"
#include "dandelionvalve/quarantine.h"
#include "dandelionvalve/retry.h"
#include "admission.h"
#include "attempt.h"
#include "blame.h"
#include "direct_state.h"
#include "dispatch.h"
#include "endpoints.h"
#include "exchange_state.h"
#include "net/caller.h"
#include "net/channel.h"
#include "net/log.h"
#include "net/timer.h"
#include "streams.h"

#define LOG_MODULE "exchange"

/// Least delay after which callers of endpoints that are all evacuated are to
/// retry, and the range over which the delays are spread.
#define EVACUATED_WAIT_MS 1000
#define EVACUATED_SPREAD_MS 3000

int64_t
exchange_now(const struct exchange *exchange)
{
    return clock_ms(direct_clock(exchange->direct));
}

bool
exchange_is_repeatable(const struct exchange *exchange)
{
    return exchange->route->kind == ROUTE_IDEMPOTENT ||
           exchange->route->kind == ROUTE_RESUMABLE;
}

void
exchange_free(struct exchange *exchange)
{
    if (exchange->channel != NULL) {
        channel_cancel(exchange->channel);
    }
    attempt_release_endpoint(exchange);
    if (exchange->caller != NULL) {
        caller_set_user(exchange->caller, NULL);
    }
    direct_remove_exchange(exchange->direct, exchange);
    event_free(exchange->timer);
    evbuffer_free(exchange->fields);
    attempt_release_buffered(exchange);
    evbuffer_free(exchange->body);
    sse_buffer_destroy(&exchange->events);
    catalog_unref(exchange->catalog);
    free(exchange);
}

struct str
exchange_fields(struct exchange *exchange)
{
    return (struct str){
        (const char *)evbuffer_pullup(exchange->fields, -1),
        evbuffer_get_length(exchange->fields),
    };
}

static void
log_end(const struct exchange *exchange, int status, const char *outcome,
        const char *reason)
{
    const struct endpoint *endpoint = exchange->endpoint;
    int64_t now_ms = exchange_now(exchange);

    LOG_INFO(
        "event=answer id=%s route=" STR_FMT " account=" STR_FMT
        " version=%lld status=%d outcome=%s reason=\"%s\" endpoint=" STR_FMT
        " offers=%zu deliveries=%zu first_ms=%lld total_ms=%lld "
        "left_ms=%lld pause_max_ms=%lld",
        exchange->id,
        STR_ARG(exchange->route != NULL ? exchange->route->name
                                        : (struct str){0}),
        STR_ARG(exchange->account),
        exchange->catalog != NULL
            ? (long long)catalog_version(exchange->catalog)
            : -1,
        status, outcome, reason,
        STR_ARG(endpoint != NULL ? endpoint->id : (struct str){0}),
        exchange->offers, exchange->deliveries,
        (long long)(exchange->first_ms > 0
                        ? exchange->first_ms - exchange->started_ms
                        : -1),
        (long long)(now_ms - exchange->started_ms),
        (long long)(exchange->expires_ms - now_ms),
        (long long)exchange->pause_max_ms);
}

void
exchange_refuse(struct exchange *exchange, int status, int64_t retry_after_ms,
                const char *reason)
{
    struct caller *caller = exchange->caller;
    struct counters *counters = direct_counters(exchange->direct);
    bool not_run = exchange->runs == 0;

    counter_add(counters,
                status < 500 ? COUNTER_REJECTED
                : not_run    ? COUNTER_NOT_RUN
                             : COUNTER_UNKNOWN,
                1);
    log_end(exchange, status, not_run ? "not-run" : "unknown", reason);
    if (exchange->channel != NULL) {
        channel_cancel(exchange->channel);
        exchange->channel = NULL;
    }
    exchange->caller = NULL;
    evbuffer_drain(exchange->fields, evbuffer_get_length(exchange->fields));
    if (retry_after_ms >= 0) {
        evbuffer_add_printf(exchange->fields, "Retry-After: %lld.%03lld\r\n",
                            (long long)(retry_after_ms / 1000),
                            (long long)(retry_after_ms % 1000));
    }
    caller_reply(caller, status, exchange_fields(exchange), NULL);
    exchange_free(exchange);
}

/// Time until an endpoint may take the request. Callers whose endpoints are
/// all in evacuated zones return spread over some time: the zones come back
/// for all at once, and cold.
static int64_t
unusable_ms(const struct exchange *exchange,
            const struct random_source *random)
{
    const struct endpoints *endpoints = direct_endpoints(exchange->direct);

    if (endpoints_are_evacuated(endpoints, exchange->service)) {
        return EVACUATED_WAIT_MS +
               (int64_t)random_below(random, EVACUATED_SPREAD_MS);
    }
    return endpoints_held_ms(endpoints, exchange->service);
}

void
exchange_refuse_not_run(struct exchange *exchange, const char *reason)
{
    exchange_refuse_until(exchange, 0, reason);
}

int64_t
exchange_retry_after_ms(const struct exchange *exchange,
                        const struct random_source *random,
                        int64_t earliest_ms)
{
    int64_t remaining_ms = exchange->expires_ms - exchange_now(exchange);

    return unusable_ms(exchange, random) +
           timing_retry_after_from_ms(random, remaining_ms, earliest_ms);
}

void
exchange_refuse_until(struct exchange *exchange, int64_t earliest_ms,
                      const char *reason)
{
    if (exchange->runs > 0) {
        exchange_refuse(exchange, 502, -1, reason);
        return;
    }
    exchange_refuse(exchange, 503,
                    exchange_retry_after_ms(exchange,
                                            direct_random(exchange->direct),
                                            earliest_ms),
                    reason);
}

void
exchange_abort_response(struct exchange *exchange, const char *reason)
{
    struct caller *caller = exchange->caller;

    counter_add(direct_counters(exchange->direct), COUNTER_ANSWERS_BROKEN, 1);
    log_end(exchange, exchange->status, "broken", reason);
    exchange->caller = NULL;
    caller_set_user(caller, NULL);
    caller_abort(caller);
    exchange_free(exchange);
}

void
exchange_finish(struct exchange *exchange)
{
    struct caller *caller = exchange->caller;
    int64_t now_ms = exchange_now(exchange);

    if (exchange->first_ms == 0) {
        exchange->first_ms = now_ms;
        attempt_record_delay(exchange);
    }
    if (exchange->status < 500) {
        quarantine_clear(direct_quarantine(exchange->direct),
                         exchange->fingerprint);
    }
    if (exchange->response_started) {
        streams_record_end(exchange);
    }
    counter_add(direct_counters(exchange->direct), COUNTER_DONE, 1);
    direct_record_latency(exchange->direct, exchange->route->kind,
                          exchange->first_ms - exchange->started_ms,
                          now_ms - exchange->started_ms);
    log_end(exchange, exchange->status, "done", "");
    exchange->caller = NULL;
    caller_set_user(caller, NULL);
    if (exchange->response_started) {
        caller_end_response(caller);
    }
    else {
        caller_reply(caller, exchange->status, exchange_fields(exchange),
                     exchange->body);
    }
    exchange_free(exchange);
}

/// Time without progress after which the attempt is taken as stalled.
static int64_t
silence_timeout_ms(const struct exchange *exchange)
{
    return timing_silence_timeout_ms(&(struct timing_silence_inputs){
        .has_started = exchange->response_started,
        .is_stream = exchange->route->kind == ROUTE_STREAM ||
                     exchange->route->kind == ROUTE_RESUMABLE,
        .objective_ms = exchange->route->objective_ms,
        .gap_target_ms = exchange->route->event_gap_target_ms,
        .prefill_ms =
            (int64_t)(exchange->uncached_tokens /
                      direct_prefill_tokens_per_ms(exchange->direct)),
    });
}

/// The endpoint could answer from then on. The request may have been held back
/// by a pause of this process.
static int64_t
silent_since_ms(const struct exchange *exchange)
{
    int64_t written_ms = channel_written_ms(exchange->channel);

    return written_ms > exchange->progress_ms ? written_ms
                                              : exchange->progress_ms;
}

void
exchange_arm_timer(struct exchange *exchange)
{
    int64_t now_ms = exchange_now(exchange);
    int64_t at_ms = exchange->expires_ms;

    if (exchange->channel != NULL && !exchange->stalled &&
        silent_since_ms(exchange) + silence_timeout_ms(exchange) < at_ms) {
        at_ms = silent_since_ms(exchange) + silence_timeout_ms(exchange);
    }
    timer_start(exchange->timer, at_ms > now_ms ? at_ms - now_ms : 0);
}

static void
handle_timeout(struct exchange *exchange)
{
    if (exchange->endpoint != NULL && !exchange->stalled) {
        attempt_record_failure(exchange,
                               "no complete answer within the time limit");
    }
    if (exchange->caller == NULL) {
        exchange_free(exchange);
    }
    else if (exchange->response_started) {
        exchange_abort_response(exchange, "time limit");
    }
    else {
        exchange_refuse(exchange, 504, -1, "time limit");
    }
}

/// Handles an endpoint without progress: counts a failure, and retries a
/// repeatable request at another endpoint.
static void
handle_stall(struct exchange *exchange)
{
    bool may_retry =
        exchange_is_repeatable(exchange) && exchange->caller != NULL &&
        exchange->offers < EXCHANGE_OFFERS_MAX &&
        exchange->deliveries < exchange->route->endpoints_max &&
        !blame_holds(exchange->direct, &exchange->facts.prefix, exchange->id,
                     false) &&
        endpoints_ready_count(direct_endpoints(exchange->direct),
                              exchange->service, exchange->build) > 1;

    exchange->stalled = true;
    attempt_record_failure(exchange, "silent");
    if (!may_retry || !retry_take(direct_retry_budget(exchange->direct,
                                                      exchange->service))) {
        exchange_arm_timer(exchange);
        return;
    }
    counter_add(direct_counters(exchange->direct), COUNTER_RETRIES, 1);
    LOG_INFO("event=attempt-failed id=%s endpoint=" STR_FMT
             " reason=silent silent_ms=%lld answering=%d",
             exchange->id, STR_ARG(exchange->endpoint->id),
             (long long)(exchange_now(exchange) - silent_since_ms(exchange)),
             exchange->response_started);
    channel_cancel(exchange->channel);
    exchange->channel = NULL;
    attempt_reset(exchange);
    dispatch_request(exchange);
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct exchange *exchange = ctx;
    int64_t now_ms = exchange_now(exchange);

    (void)fd;
    (void)events;
    // A request whose time is over is not sent on a new connection.
    if (exchange->channel != NULL &&
        (now_ms < exchange->expires_ms ||
         channel_was_sent(exchange->channel)) &&
        channel_defer_timeout(exchange->channel)) {
        timer_start(exchange->timer, 0);
        return;
    }
    if (exchange->waits_for_deployment) {
        exchange_refuse_not_run(exchange,
                                "configuration or endpoints not received yet");
    }
    else if (exchange->awaited_read > 0 || exchange->find.number > 0) {
        streams_give_up(exchange);
    }
    else if (now_ms >= exchange->expires_ms) {
        handle_timeout(exchange);
    }
    else if (exchange->channel != NULL && !exchange->stalled &&
             now_ms - silent_since_ms(exchange) >=
                 silence_timeout_ms(exchange)) {
        handle_stall(exchange);
    }
    else {
        exchange_arm_timer(exchange);
    }
}

void
exchange_place(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;

    if (exchange->service.len == 0) {
        exchange->service = catalog_pick_target(
            exchange->route, random_unit(direct_random(direct)));
    }
    exchange->has_priority = exchange->facts.prefix.count > 0;
    retry_count_request(direct_retry_budget(direct, exchange->service));
    if (!dispatch_try_shed(exchange)) {
        dispatch_request(exchange);
    }
}

static void
admit(struct exchange *exchange)
{
    if (admission_filter(exchange) && streams_filter(exchange)) {
        exchange_place(exchange);
    }
}

void
exchange_start(struct direct *direct, struct caller *caller)
{
    struct exchange *exchange = xcalloc(1, sizeof(*exchange));
    int64_t wait_ms;

    exchange->direct = direct;
    exchange->caller = caller;
    exchange->started_ms = caller_started_ms(caller);
    exchange->pause_max_ms = -1;
    exchange->fields = evbuffer_new();
    exchange->body = evbuffer_new();
    exchange->timer =
        event_new(direct_base(direct), -1, 0, on_timer, exchange);
    sse_buffer_init(&exchange->events);
    caller_set_user(caller, exchange);
    direct_add_exchange(direct, exchange);
    counter_add(direct_counters(direct), COUNTER_REQUESTS, 1);
    if (!admission_parse(exchange)) {
        return;
    }
    if (direct_has_deployment(direct)) {
        admit(exchange);
        return;
    }
    wait_ms = timing_startup_wait_ms(
        direct_age_ms(direct), exchange->expires_ms - exchange_now(exchange));
    if (wait_ms == 0) {
        exchange_refuse_not_run(exchange,
                                "configuration or endpoints not received yet");
        return;
    }
    exchange->waits_for_deployment = true;
    timer_start(exchange->timer, wait_ms);
}

void
exchange_resume(struct exchange *exchange)
{
    if (exchange->waits_for_deployment) {
        exchange->waits_for_deployment = false;
        event_del(exchange->timer);
        admit(exchange);
    }
}

void
exchange_caller_left(struct exchange *exchange)
{
    counter_add(direct_counters(exchange->direct), COUNTER_CALLERS_GONE, 1);
    log_end(exchange, exchange->status, "caller-gone", "caller left");
    exchange->caller = NULL;
    if (exchange->channel != NULL &&
        exchange->route->kind == ROUTE_AT_MOST_ONCE &&
        channel_was_sent(exchange->channel)) {
        // The request may be running and must not be cut off: let it finish,
        // and drop its answer.
        return;
    }
    exchange_free(exchange);
}

void
exchange_discard(struct exchange *exchange)
{
    exchange->caller = NULL;
    exchange_free(exchange);
}
