#include "exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "core/catalog.h"
#include "core/patience.h"
#include "core/xmalloc.h"
#include "dandelionvalve/outcome.h"
#include "dandelionvalve/quarantine.h"
#include "dandelionvalve/retry.h"
#include "admission.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange_state.h"
#include "net/caller.h"
#include "net/channel.h"
#include "net/http1.h"
#include "net/log.h"
#include "net/timer.h"
#include "services.h"
#include "daemon/settings.h"

#define LOG_MODULE "exchange"

/// An answer that is not a stream is passed on when it is whole; longer ones
/// are cut off.
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)
/// A request with less time left is not offered: its answer would be late.
#define LEFT_MIN_MS 10

static void dispatch(struct exchange *exchange);

static int64_t
now_of(const struct exchange *exchange)
{
    return clock_ms(direct_clock(exchange->direct));
}

static bool
is_repeatable(const struct exchange *exchange)
{
    return exchange->route->kind == ROUTE_IDEMPOTENT ||
           exchange->route->kind == ROUTE_RESUMABLE;
}

/// What the endpoint no longer has to read of this prompt.
static void
settle_backlog(struct exchange *exchange)
{
    struct endpoint *endpoint = exchange->endpoint;

    endpoint->backlog_tokens -= exchange->backlog_tokens;
    if (endpoint->backlog_tokens < 0) {
        endpoint->backlog_tokens = 0;
    }
    exchange->backlog_tokens = 0;
}

static void
leave_endpoint(struct exchange *exchange)
{
    if (exchange->endpoint == NULL) {
        return;
    }
    settle_backlog(exchange);
    exchange->endpoint->in_flight--;
    endpoint_unref(exchange->endpoint);
    exchange->endpoint = NULL;
    exchange->channel = NULL;
}

static void
free_exchange(struct exchange *exchange)
{
    if (exchange->channel != NULL) {
        channel_cancel(exchange->channel);
    }
    leave_endpoint(exchange);
    if (exchange->caller != NULL) {
        caller_set_user(exchange->caller, NULL);
    }
    direct_remove(exchange->direct, exchange);
    event_free(exchange->timer);
    evbuffer_free(exchange->fields);
    evbuffer_free(exchange->body);
    events_destroy(&exchange->events);
    catalog_unref(exchange->catalog);
    free(exchange);
}

static struct str
fields_of(struct exchange *exchange)
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
    int64_t now_ms = now_of(exchange);

    LOG_INFO(
        "event=answer id=%s route=" STR_FMT " account=" STR_FMT
        " version=%lld status=%d outcome=%s reason=\"%s\" endpoint=" STR_FMT
        " offers=%zu arrivals=%zu first_ms=%lld total_ms=%lld "
        "left_ms=%lld",
        exchange->id,
        STR_ARG(exchange->route != NULL ? exchange->route->name
                                        : (struct str){0}),
        STR_ARG(exchange->account),
        exchange->catalog != NULL
            ? (long long)catalog_version(exchange->catalog)
            : -1,
        status, outcome, reason,
        STR_ARG(endpoint != NULL ? endpoint->id : (struct str){0}),
        exchange->offers, exchange->arrivals,
        (long long)(exchange->first_ms > 0
                        ? exchange->first_ms - exchange->started_ms
                        : -1),
        (long long)(now_ms - exchange->started_ms),
        (long long)(exchange->limit_ms - now_ms));
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
    caller_reply(caller, status, fields_of(exchange), NULL);
    free_exchange(exchange);
}

void
exchange_refuse_not_run(struct exchange *exchange, const char *reason)
{
    const struct random_source *random = direct_random(exchange->direct);

    if (exchange->runs > 0) {
        exchange_refuse(exchange, 502, -1, reason);
        return;
    }
    exchange_refuse(
        exchange, 503,
        patience_retry_after_ms(random, exchange->limit_ms - now_of(exchange)),
        reason);
}

/// The answer can be neither completed nor replaced.
static void
break_off(struct exchange *exchange, const char *reason)
{
    struct caller *caller = exchange->caller;

    counter_add(direct_counters(exchange->direct), COUNTER_BROKEN, 1);
    log_end(exchange, exchange->status, "broken", reason);
    exchange->caller = NULL;
    caller_set_user(caller, NULL);
    caller_abort(caller);
    free_exchange(exchange);
}

static void
note_failure(struct exchange *exchange, const char *reason)
{
    struct endpoint *endpoint = exchange->endpoint;
    double share = endpoints_failure_share(direct_endpoints(exchange->direct),
                                           endpoint->service);

    if (eject_failure(&endpoint->eject, now_of(exchange), share)) {
        LOG_WARNING("event=endpoint-ejected endpoint=" STR_FMT
                    " service=" STR_FMT " reason=\"%s\" share=%.2f "
                    "pool_share=%.2f samples=%u until_ms=%lld id=%s",
                    STR_ARG(endpoint->id), STR_ARG(endpoint->service), reason,
                    endpoint->eject.share, share, endpoint->eject.samples,
                    (long long)(endpoint->eject.until_ms - now_of(exchange)),
                    exchange->id);
    }
}

/// A refused connection says more than a failed request: nobody is there.
static void
note_down(struct exchange *exchange, const char *reason)
{
    struct endpoint *endpoint = exchange->endpoint;

    if (!eject_down(&endpoint->eject, now_of(exchange))) {
        return;
    }
    LOG_WARNING("event=endpoint-ejected endpoint=" STR_FMT " service=" STR_FMT
                " reason=\"%s\" until_ms=%lld id=%s",
                STR_ARG(endpoint->id), STR_ARG(endpoint->service), reason,
                (long long)(endpoint->eject.until_ms - now_of(exchange)),
                exchange->id);
    direct_note_down(exchange->direct, endpoint);
}

static void
note_success(struct exchange *exchange)
{
    struct endpoint *endpoint = exchange->endpoint;

    if (eject_success(&endpoint->eject)) {
        LOG_INFO("event=endpoint-back endpoint=" STR_FMT " service=" STR_FMT
                 " id=%s",
                 STR_ARG(endpoint->id), STR_ARG(endpoint->service),
                 exchange->id);
    }
}

/// Forgets what the last endpoint said, so that another can be asked.
static void
forget_attempt(struct exchange *exchange)
{
    leave_endpoint(exchange);
    exchange->status = 0;
    exchange->not_executed = false;
    evbuffer_drain(exchange->body, evbuffer_get_length(exchange->body));
    if (!exchange->answering) {
        evbuffer_drain(exchange->fields,
                       evbuffer_get_length(exchange->fields));
    }
    events_forget_partial(&exchange->events);
}

/// Sends the request to another endpoint if that is allowed; true if it did
/// or if the exchange has ended.
static bool
try_again(struct exchange *exchange, enum attempt_end end)
{
    bool paid = end != ATTEMPT_UNSENT;
    bool allowed =
        outcome_allows_retry(end, is_repeatable(exchange)) ||
        (end == ATTEMPT_CUT && exchange->route->kind == ROUTE_RESUMABLE);

    if (!allowed || exchange->offers >= EXCHANGE_OFFERS_MAX ||
        exchange->arrivals >= exchange->route->endpoints_max ||
        exchange->limit_ms - now_of(exchange) < LEFT_MIN_MS) {
        return false;
    }
    if (paid &&
        !retry_take(direct_budget(exchange->direct, exchange->service))) {
        counter_add(direct_counters(exchange->direct), COUNTER_RETRY_DENIED,
                    1);
        return false;
    }
    if (paid) {
        counter_add(direct_counters(exchange->direct), COUNTER_RETRIES, 1);
    }
    forget_attempt(exchange);
    dispatch(exchange);
    return true;
}

/// The endpoint has given no whole answer.
static void
attempt_failed(struct exchange *exchange, enum attempt_end end,
               const char *reason)
{
    if (exchange->caller == NULL) {
        free_exchange(exchange);
        return;
    }
    if (exchange->answering) {
        end = ATTEMPT_CUT;
    }
    LOG_INFO("event=attempt-failed id=%s endpoint=" STR_FMT
             " end=%s reason=\"%s\" after_ms=%lld status=%d",
             exchange->id, STR_ARG(exchange->endpoint->id),
             outcome_attempt_name(end), reason,
             (long long)(now_of(exchange) - exchange->offered_ms),
             exchange->status);
    if (try_again(exchange, end)) {
        return;
    }
    if (exchange->answering) {
        break_off(exchange, reason);
    }
    else if (exchange->runs == 0) {
        exchange_refuse_not_run(exchange, reason);
    }
    else {
        exchange_refuse(exchange, 502, -1, reason);
    }
}

static enum channel_verdict
on_head(void *ctx, const struct http1 *head)
{
    struct exchange *exchange = ctx;
    struct answer_facts facts;
    int status = http1_status(head);

    direct_wire(exchange->direct)->read_answer(head, &facts);
    if (facts.id.len == 0) {
        return CHANNEL_REJECT;
    }
    if (!str_equal_c(facts.id, exchange->id)) {
        counter_add(direct_counters(exchange->direct), COUNTER_ANSWER_DROPPED,
                    1);
        LOG_INFO("event=answer-dropped id=%s other=" STR_FMT
                 " detail=\"answers another request\"",
                 exchange->id, STR_ARG(facts.id));
        return CHANNEL_SKIP;
    }
    if (status >= 200 && status < 300 &&
        (facts.signature.len == 0 || facts.is_encoded)) {
        return CHANNEL_REJECT;
    }
    if (facts.has_load) {
        endpoint_note_held(exchange->endpoint, facts.running + facts.waiting,
                           now_of(exchange));
    }
    exchange->status = status;
    exchange->not_executed = facts.not_executed;
    exchange->progress_ms = now_of(exchange);
    exchange->is_stream =
        status == 200 && (exchange->route->kind == ROUTE_STREAM ||
                          exchange->route->kind == ROUTE_RESUMABLE);
    if (!exchange->answering) {
        direct_wire(exchange->direct)->write_answer(head, exchange->fields);
    }
    if (exchange->is_stream && !exchange->not_executed &&
        exchange->backlog_tokens > 0) {
        direct_note_reading(exchange->direct, exchange->unread_tokens,
                            now_of(exchange) - exchange->offered_ms);
        settle_backlog(exchange);
    }
    return CHANNEL_TAKE;
}

static struct shed *
shed_of(const struct exchange *exchange)
{
    return services_shed(direct_services(exchange->direct), exchange->service,
                         exchange->priority);
}

/// The answer has begun.
static void
note_delay(struct exchange *exchange)
{
    if (!exchange->delay_noted) {
        exchange->delay_noted = true;
        shed_note(shed_of(exchange), now_of(exchange) - exchange->offered_ms,
                  exchange->route->objective_ms);
    }
}

void
exchange_note_pending(struct exchange *exchange, bool ignore)
{
    if (exchange->channel == NULL || exchange->answering ||
        now_of(exchange) - exchange->offered_ms <
            exchange->route->objective_ms) {
        return;
    }
    if (ignore) {
        exchange->delay_noted = true;
    }
    note_delay(exchange);
}

/// Passes on what is whole of a stream. The head waits for the first event,
/// so that a failure before it can still be answered.
static void
pass_events(struct exchange *exchange, bool all)
{
    size_t len;
    const char *bytes = events_take(&exchange->events, all, &len);

    if (len == 0 || exchange->caller == NULL) {
        return;
    }
    if (!exchange->answering) {
        exchange->answering = true;
        exchange->first_ms = now_of(exchange);
        note_delay(exchange);
        caller_start(exchange->caller, exchange->status, fields_of(exchange));
    }
    caller_data(exchange->caller, bytes, len);
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    struct exchange *exchange = ctx;

    exchange->progress_ms = now_of(exchange);
    if (exchange->caller == NULL) {
        return;
    }
    if (exchange->is_stream) {
        events_add(&exchange->events, bytes, len);
        pass_events(exchange, exchange->route->kind != ROUTE_RESUMABLE);
        return;
    }
    if (evbuffer_get_length(exchange->body) + len <= ANSWER_BYTES_MAX) {
        evbuffer_add(exchange->body, bytes, len);
    }
    else {
        LOG_WARNING("event=answer-too-long id=%s limit=%d", exchange->id,
                    ANSWER_BYTES_MAX);
        channel_cancel(exchange->channel);
        exchange->channel = NULL;
        attempt_failed(exchange, ATTEMPT_FAILED, "answer too long");
    }
}

static void
finish(struct exchange *exchange)
{
    struct caller *caller = exchange->caller;
    int64_t now_ms = now_of(exchange);

    if (exchange->first_ms == 0) {
        exchange->first_ms = now_ms;
        note_delay(exchange);
    }
    if (exchange->status < 500) {
        quarantine_clear(direct_quarantine(exchange->direct),
                         exchange->fingerprint);
    }
    counter_add(direct_counters(exchange->direct), COUNTER_DONE, 1);
    direct_note_latency(exchange->direct, exchange->route->kind,
                        exchange->first_ms - exchange->started_ms,
                        now_ms - exchange->started_ms);
    log_end(exchange, exchange->status, "done", "");
    exchange->caller = NULL;
    caller_set_user(caller, NULL);
    if (exchange->answering) {
        caller_finish(caller);
    }
    else {
        caller_reply(caller, exchange->status, fields_of(exchange),
                     exchange->body);
    }
    free_exchange(exchange);
}

/// The answer is whole; decides whether it is the caller's.
static void
take_answer(struct exchange *exchange)
{
    int status = exchange->status;

    if (exchange->not_executed) {
        exchange->runs--;
        if (status == 421) {
            // Another endpoint has the address: this one was never asked.
            exchange->arrivals--;
            note_failure(exchange, "address of another endpoint");
        }
        else {
            shed_note_full(shed_of(exchange), exchange->route->objective_ms);
        }
        attempt_failed(exchange, ATTEMPT_REFUSED, "refused by the endpoint");
        return;
    }
    if (exchange->is_stream) {
        note_success(exchange);
        pass_events(exchange, true);
        if (exchange->caller == NULL) {
            free_exchange(exchange);
            return;
        }
        finish(exchange);
        return;
    }
    if (status >= 500 || status == 429 || status == 408) {
        note_failure(exchange, "answered with a failure");
        if (exchange->caller != NULL && is_repeatable(exchange) &&
            !exchange->answering && try_again(exchange, ATTEMPT_FAILED)) {
            return;
        }
        if (status == 503 || status == 429 || status == 408) {
            // Passed on, it would promise that nothing has run.
            exchange->status = 0;
            attempt_failed(exchange, ATTEMPT_FAILED,
                           "refusal without a promise");
            return;
        }
    }
    else {
        note_success(exchange);
    }
    if (exchange->caller == NULL) {
        free_exchange(exchange);
        return;
    }
    if (exchange->answering) {
        // A continued stream cannot become a failure half way.
        break_off(exchange, "refused to continue");
        return;
    }
    finish(exchange);
}

/// Names one crash of an endpoint, the same on all routers that see it.
static uint32_t
death_of(const struct endpoint *endpoint, int64_t now_ms)
{
    return (uint32_t)endpoint->hash ^ (uint32_t)endpoint->incarnation ^
           (uint32_t)(now_ms / 2000);
}

static void
on_end(void *ctx, enum channel_end end, const char *detail)
{
    struct exchange *exchange = ctx;

    exchange->channel = NULL;
    switch (end) {
    case CHANNEL_COMPLETE:
        take_answer(exchange);
        return;
    case CHANNEL_UNSENT:
        exchange->arrivals--;
        exchange->runs--;
        note_down(exchange, detail);
        attempt_failed(exchange, ATTEMPT_UNSENT, detail);
        return;
    case CHANNEL_LOST:
        note_failure(exchange, detail);
        direct_strike(exchange->direct, exchange->fingerprint,
                      death_of(exchange->endpoint, now_of(exchange)));
        attempt_failed(exchange, ATTEMPT_LOST, detail);
        return;
    case CHANNEL_GARBLED:
        note_failure(exchange, detail);
        attempt_failed(exchange, ATTEMPT_LOST, detail);
        return;
    }
}

/// How long the endpoint may be silent before another is asked.
static int64_t
silence_ms(const struct exchange *exchange)
{
    return patience_silence_ms(&(struct patience_inputs){
        .answering = exchange->answering,
        .is_stream = exchange->route->kind == ROUTE_STREAM ||
                     exchange->route->kind == ROUTE_RESUMABLE,
        .objective_ms = exchange->route->objective_ms,
        .pause_ms = exchange->route->pause_ms,
        .reading_ms = (int64_t)(exchange->unread_tokens /
                                direct_tokens_per_ms(exchange->direct)),
    });
}

static void
arm_timer(struct exchange *exchange)
{
    int64_t now_ms = now_of(exchange);
    int64_t at_ms = exchange->limit_ms;

    if (exchange->channel != NULL && !exchange->stalled &&
        exchange->progress_ms + silence_ms(exchange) < at_ms) {
        at_ms = exchange->progress_ms + silence_ms(exchange);
    }
    timer_start(exchange->timer, at_ms > now_ms ? at_ms - now_ms : 0);
}

static void
time_out(struct exchange *exchange)
{
    if (exchange->endpoint != NULL && !exchange->stalled) {
        note_failure(exchange, "no whole answer in time");
    }
    if (exchange->caller == NULL) {
        free_exchange(exchange);
    }
    else if (exchange->answering) {
        break_off(exchange, "time limit");
    }
    else {
        exchange_refuse(exchange, 504, -1, "time limit");
    }
}

/// The endpoint has been silent for too long: counts against it, and what
/// may be repeated is asked of another.
static void
stall(struct exchange *exchange)
{
    bool may_move = is_repeatable(exchange) && exchange->caller != NULL &&
                    exchange->arrivals < exchange->route->endpoints_max &&
                    endpoints_ready(direct_endpoints(exchange->direct),
                                    exchange->service) > 1;

    exchange->stalled = true;
    note_failure(exchange, "silent");
    if (!may_move ||
        !retry_take(direct_budget(exchange->direct, exchange->service))) {
        arm_timer(exchange);
        return;
    }
    counter_add(direct_counters(exchange->direct), COUNTER_RETRIES, 1);
    LOG_INFO("event=attempt-failed id=%s endpoint=" STR_FMT
             " reason=silent silent_ms=%lld answering=%d",
             exchange->id, STR_ARG(exchange->endpoint->id),
             (long long)(now_of(exchange) - exchange->progress_ms),
             exchange->answering);
    channel_cancel(exchange->channel);
    exchange->channel = NULL;
    forget_attempt(exchange);
    dispatch(exchange);
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct exchange *exchange = ctx;
    int64_t now_ms = now_of(exchange);

    (void)fd;
    (void)events;
    if (exchange->waits_for_knowledge) {
        exchange_refuse_not_run(exchange,
                                "nothing is known of the deployment yet");
    }
    else if (now_ms >= exchange->limit_ms) {
        time_out(exchange);
    }
    else if (exchange->channel != NULL && !exchange->stalled &&
             now_ms - exchange->progress_ms >= silence_ms(exchange)) {
        stall(exchange);
    }
    else {
        arm_timer(exchange);
    }
}

static bool
choose(struct exchange *exchange, struct endpoints_choice *choice)
{
    struct direct *direct = exchange->direct;
    const struct catalog_service *service =
        catalog_find_service(exchange->catalog, exchange->service);
    const struct endpoints_query query = {
        .service = exchange->service,
        .prefix = &exchange->facts.prefix,
        .tried = exchange->tried,
        .tried_count = exchange->offers,
    };
    const struct place_request request = {
        .random = direct_random(direct),
        .has_prompt = exchange->facts.prefix.count > 0,
        .affinity = prefix_affinity(&exchange->facts.prefix),
        .prompt_tokens = prefix_tokens(&exchange->facts.prefix),
        .shared_tokens = prefix_shared_tokens(&exchange->facts.prefix),
        .tokens_per_ms = direct_tokens_per_ms(direct),
        .fetched_tokens_per_ms =
            service != NULL ? service->fetched_tokens_per_ms : 0,
        .cap_factor = direct_settings(direct)->cap_factor,
        .cap_slack = 3,
        .routers = direct_routers(direct),
    };

    return endpoints_choose(direct_endpoints(direct), &query, &request,
                            choice);
}

static struct str
address_of(const struct endpoint *source, char text[ADDRESS_TEXT_BYTES])
{
    if (source == NULL) {
        return (struct str){0};
    }
    address_format((const struct sockaddr *)&source->address.storage, text);
    return str_from(text);
}

static void
send_request(struct exchange *exchange, struct endpoint *endpoint,
             const struct endpoint *source)
{
    const struct http1 *head = caller_head(exchange->caller);
    struct evbuffer *body = caller_body(exchange->caller);
    size_t body_bytes = evbuffer_get_length(body);
    char source_text[ADDRESS_TEXT_BYTES];
    const struct forward_facts facts = {
        .deadline_ms = exchange->limit_ms - now_of(exchange),
        .instance = endpoint->id,
        .account = exchange->account,
        .last_event_id = events_last_id(&exchange->events),
        .context_source = address_of(source, source_text),
        .priority = exchange->priority > 9 ? 9 : exchange->priority,
        .has_priority = exchange->has_priority,
        .body_bytes = body_bytes,
        .has_body = body_bytes > 0 ||
                    http1_count(head, "Content-Length") > 0 ||
                    http1_count(head, "Transfer-Encoding") > 0,
    };
    const struct channel_handler handler = {on_head, on_data, on_end,
                                            exchange};
    struct evbuffer *out = evbuffer_new();
    const struct channel_request request = {
        .bytes = out,
        .once = !is_repeatable(exchange),
        .no_body = head->parser.method == HTTP_HEAD,
    };

    direct_wire(exchange->direct)->write_request(head, &facts, out);
    if (body_bytes > 0) {
        evbuffer_add(out, evbuffer_pullup(body, -1), body_bytes);
    }
    exchange->channel = channel_send(endpoint->pool, &request, &handler);
    evbuffer_free(out);
}

static void
offer(struct exchange *exchange, const struct endpoints_choice *choice)
{
    struct endpoint *endpoint = choice->endpoint;
    const struct endpoint *source = choice->source;
    const struct place_choice *place = &choice->place;
    uint32_t prompt = prefix_tokens(&exchange->facts.prefix);
    uint32_t cached =
        prefix_belief_find(endpoint->cache, &exchange->facts.prefix);

    exchange->tried[exchange->offers++] = endpoint->hash;
    exchange->endpoint = endpoint_ref(endpoint);
    endpoint->in_flight++;
    exchange->unread_tokens = prompt - cached - place->fetched_tokens;
    exchange->backlog_tokens = exchange->unread_tokens;
    endpoint->backlog_tokens += exchange->backlog_tokens;
    prefix_belief_note(endpoint->cache, &exchange->facts.prefix);
    if (cached < prefix_shared_tokens(&exchange->facts.prefix)) {
        direct_note_placed(exchange->direct, endpoint,
                           &exchange->facts.prefix);
    }
    exchange->arrivals++;
    exchange->runs++;
    exchange->stalled = false;
    exchange->delay_noted = exchange->answering;
    exchange->offered_ms = now_of(exchange);
    exchange->progress_ms = exchange->offered_ms;
    LOG_INFO("event=offer id=%s route=" STR_FMT " endpoint=" STR_FMT
             " reason=%s context=%08x load=%u mean=%.1f usable=%zu cached=%u "
             "unread=%u source=" STR_FMT " fetched=%u "
             "predicted_ms=%.0f left_ms=%lld version=%lld offer=%zu",
             exchange->id, STR_ARG(exchange->route->name),
             STR_ARG(endpoint->id), place_reason_name(place->reason),
             (uint32_t)prefix_affinity(&exchange->facts.prefix),
             endpoint->in_flight, place->mean_load, place->usable, cached,
             exchange->unread_tokens,
             STR_ARG(source != NULL ? source->id : (struct str){0}),
             place->fetched_tokens, place->first_ms,
             (long long)(exchange->limit_ms - exchange->offered_ms),
             (long long)catalog_version(exchange->catalog), exchange->offers);
    counter_add(direct_counters(exchange->direct), COUNTER_OFFERS, 1);
    send_request(exchange, endpoint, source);
    if (exchange->channel == NULL) {
        on_end(exchange, CHANNEL_UNSENT, "no connection");
        return;
    }
    arm_timer(exchange);
}

static void
dispatch(struct exchange *exchange)
{
    struct endpoints_choice choice;
    bool found = choose(exchange, &choice);

    if (!found && exchange->offers > 0 && exchange->runs == 0 &&
        exchange->offers < EXCHANGE_OFFERS_MAX) {
        // All were unreachable: the first may be back.
        exchange->tried[0] = 0;
        found = choose(exchange, &choice);
    }
    if (found) {
        offer(exchange, &choice);
    }
    else if (exchange->answering) {
        break_off(exchange, "no endpoint to continue at");
    }
    else {
        exchange_refuse_not_run(exchange, "no endpoint is usable");
    }
}

/// Refuses the request if the service is overloaded and it is one of those
/// that have to go. A caller that goes on with a stream is not one.
static bool
shed(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;
    struct shed *shed = shed_of(exchange);
    bool is_late = services_is_late(
        direct_services(direct), exchange->route->name,
        exchange->facts.deadline_ms, exchange->route->objective_ms);

    double share_min = services_urgent_share(
        direct_services(direct), exchange->service, exchange->priority);

    if (exchange->facts.last_event_id.len > 0 ||
        !shed_refuses(shed, direct_random(direct), share_min, is_late)) {
        return false;
    }
    LOG_INFO("event=shed id=%s service=" STR_FMT " priority=%u share=%.2f "
             "share_min=%.2f delay=%.2f late=%d deadline_ms=%lld",
             exchange->id, STR_ARG(exchange->service), exchange->priority,
             shed->share, share_min, shed->delay, is_late,
             (long long)exchange->facts.deadline_ms);
    counter_add(direct_counters(direct), COUNTER_SHED, 1);
    exchange_refuse_not_run(exchange, "the service is overloaded");
    return true;
}

static void
go_on(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;

    if (!admission_filter(exchange)) {
        return;
    }
    exchange->service = catalog_pick_target(
        exchange->route, random_unit(direct_random(direct)));
    exchange->has_priority = exchange->facts.prefix.count > 0;
    retry_count_request(direct_budget(direct, exchange->service));
    if (!shed(exchange)) {
        dispatch(exchange);
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
    exchange->fields = evbuffer_new();
    exchange->body = evbuffer_new();
    exchange->timer =
        event_new(direct_base(direct), -1, 0, on_timer, exchange);
    events_init(&exchange->events);
    caller_set_user(caller, exchange);
    direct_add(direct, exchange);
    counter_add(direct_counters(direct), COUNTER_REQUESTS, 1);
    if (!admission_read(exchange)) {
        return;
    }
    if (direct_knows_deployment(direct)) {
        go_on(exchange);
        return;
    }
    wait_ms = patience_knowledge_ms(direct_age_ms(direct),
                                    exchange->limit_ms - now_of(exchange));
    if (wait_ms == 0) {
        exchange_refuse_not_run(exchange,
                                "nothing is known of the deployment yet");
        return;
    }
    exchange->waits_for_knowledge = true;
    timer_start(exchange->timer, wait_ms);
}

void
exchange_resume(struct exchange *exchange)
{
    if (exchange->waits_for_knowledge) {
        exchange->waits_for_knowledge = false;
        event_del(exchange->timer);
        go_on(exchange);
    }
}

void
exchange_abandon(struct exchange *exchange)
{
    counter_add(direct_counters(exchange->direct), COUNTER_GONE, 1);
    log_end(exchange, exchange->status, "caller-gone", "caller left");
    exchange->caller = NULL;
    if (exchange->channel != NULL && exchange->route->kind == ROUTE_ONCE &&
        channel_was_sent(exchange->channel)) {
        // It may have begun: it is left to finish, and its answer dropped.
        return;
    }
    free_exchange(exchange);
}

void
exchange_forget(struct exchange *exchange)
{
    exchange->caller = NULL;
    free_exchange(exchange);
}
