#include "request.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "core/xmalloc.h"
#include "dandelionvalve/quarantine.h"
#include "dandelionvalve/retry.h"
#include "filter.h"
#include "net/http.h"
#include "net/log.h"
#include "peer.h"
#include "router_state.h"

#define LOG_MODULE "request"
#define OUTCOME_HEADER "Dandelionvalve-Outcome"
#define REQUEST_HEADER "Dandelionvalve-Request"
#define HINT_HEADER "Dandelionvalve-Hint"
#define INLINE_BODY_BYTES 65536
#define BODY_PART_BYTES 65536
#define ACK_BYTES 65536
#define GAPS_MAX 3
#define MIN_RETRY_AFTER_MS 1000
#define ID_HEX_BYTES 33

static void end_attempt(struct request *request, enum attempt_end end,
                        const char *reason);

static void
format_id(const struct request *request, char hex[ID_HEX_BYTES])
{
    hex_encode(request->id.bytes, sizeof(request->id.bytes), hex);
}

static struct route *
pool_route(const struct request *request)
{
    return router_pool(request->router, request->policy.pool_name);
}

static struct attempt_id
attempt_id(const struct request *request)
{
    return (struct attempt_id){request->id, request->attempt};
}

static void
end_in_flight(struct request *request)
{
    if (request->in_flight) {
        request->in_flight = false;
        route_end(pool_route(request));
    }
}

static void
detach_peer(struct request *request)
{
    end_in_flight(request);
    if (request->peer != NULL) {
        peer_remove_request(request->peer);
        request->peer = NULL;
    }
    if (request->has_answer) {
        answer_destroy(&request->answer);
        request->has_answer = false;
    }
}

static void
clear_tried(struct request *request)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        free(request->tried[i]);
    }
    request->tried_count = 0;
}

static void
request_free(struct request *request)
{
    detach_peer(request);
    router_remove(request->router, request);
    if (request->timer != NULL) {
        event_free(request->timer);
    }
    if (request->close_event != NULL) {
        event_free(request->close_event);
    }
    clear_tried(request);
    free(request->policy.route_name);
    free(request->policy.pool_name);
    free(request->policy.account_name);
    free(request);
}

/// Returns the connection to evhttp; its close no longer affects the request.
static struct evhttp_request *
detach_http(struct request *request)
{
    struct evhttp_request *http = request->http;

    request->http = NULL;
    if (request->close_event != NULL) {
        event_del(request->close_event);
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(http), NULL,
                                  NULL);
    return http;
}

static void
on_unsent_closed(struct evhttp_connection *connection, void *ctx)
{
    (void)connection;
    router_adjust_unsent(ctx, -1);
}

static void
on_sent(struct evhttp_request *http, void *ctx)
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(http), NULL,
                                  NULL);
    router_adjust_unsent(ctx, -1);
}

/// Like detach_http(), before a complete answer: counts the answer as unsent
/// until its last byte is written, which a draining router waits for.
static struct evhttp_request *
detach_http_for_reply(struct request *request)
{
    struct evhttp_request *http = detach_http(request);

    router_adjust_unsent(request->router, 1);
    evhttp_connection_set_closecb(evhttp_request_get_connection(http),
                                  on_unsent_closed, request->router);
    evhttp_request_set_on_complete_cb(http, on_sent, request->router);
    return http;
}

static void
add_common_headers(const struct request *request, struct evkeyvalq *headers,
                   enum outcome outcome)
{
    char id[ID_HEX_BYTES];

    format_id(request, id);
    evhttp_add_header(headers, OUTCOME_HEADER, outcome_name(outcome));
    evhttp_add_header(headers, REQUEST_HEADER, id);
    if (router_is_draining(request->router)) {
        evhttp_add_header(headers, "Connection", "close");
    }
}

static void
count_outcome(struct request *request, enum outcome outcome)
{
    static const enum counter_id ids[] = {
        [OUTCOME_DONE] = COUNTER_DONE,
        [OUTCOME_NOT_RUN] = COUNTER_NOT_RUN,
        [OUTCOME_UNKNOWN] = COUNTER_UNKNOWN,
    };

    counter_add(router_counters(request->router), ids[outcome], 1);
}

static void
log_end(const struct request *request, const char *outcome, const char *reason)
{
    char id[ID_HEX_BYTES];

    if (!log_enabled(LOG_LEVEL_INFO)) {
        return;
    }
    format_id(request, id);
    LOG_INFO(
        "event=end request=%s account=%s route=%s outcome=%s "
        "attempts=%u refusals=%zu reason=\"%s\"",
        id,
        request->policy.account_name != NULL ? request->policy.account_name
                                             : "-",
        request->policy.route_name != NULL ? request->policy.route_name : "-",
        outcome, request->attempt, request->tried_count, reason);
}

void
request_refuse(struct request *request, int status, enum outcome outcome,
               const char *fmt, ...)
{
    char detail[REQUEST_DETAIL_BYTES];
    char seconds[16];
    char id[ID_HEX_BYTES];
    struct evhttp_request *http;
    struct evkeyvalq *headers;
    json_t *json;
    char *text;
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(detail, sizeof(detail), fmt, ap);
    va_end(ap);
    format_id(request, id);
    http = detach_http_for_reply(request);
    headers = evhttp_request_get_output_headers(http);
    add_common_headers(request, headers, outcome);
    if (request->retry_after_ms > 0) {
        snprintf(seconds, sizeof(seconds), "%u",
                 (request->retry_after_ms + 999) / 1000);
        evhttp_add_header(headers, "Retry-After", seconds);
    }
    json = json_pack("{s:s, s:s, s:i, s:s, s:s, s:s}", "type", "about:blank",
                     "title", http_reason(status), "status", status, "detail",
                     detail, "outcome", outcome_name(outcome), "request", id);
    text = json != NULL ? json_dumps(json, JSON_COMPACT) : NULL;
    json_decref(json);
    count_outcome(request, outcome);
    if (status >= 400 && status < 500) {
        counter_add(router_counters(request->router), COUNTER_REJECTED, 1);
    }
    log_end(request, outcome_name(outcome), detail);
    http_reply(http, status, "application/problem+json",
               str_from(text != NULL ? text : "{}"));
    free(text);
    request_free(request);
}

/// Resets the caller's connection, so that an incomplete answer cannot look
/// like a complete one.
static void
abort_reply(struct request *request, const char *reason)
{
    static const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    struct evhttp_request *http = detach_http(request);
    struct evhttp_connection *connection = evhttp_request_get_connection(http);
    int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));

    counter_add(router_counters(request->router), COUNTER_ANSWERS_BROKEN, 1);
    count_outcome(request, OUTCOME_UNKNOWN);
    log_end(request, "broken", reason);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    evhttp_connection_free(connection);
    request_free(request);
}

static void
send_cancel(struct request *request)
{
    const struct message message = {
        .type = MESSAGE_CANCEL,
        .cancel =
            {
                .id = attempt_id(request),
                .in_flight = route_in_flight(pool_route(request)) -
                             (request->in_flight ? 1 : 0),
            },
    };

    if (request->peer != NULL && request->state >= REQUEST_OFFERED) {
        peer_send(request->peer, &message);
    }
}

void
request_discard(struct request *request)
{
    detach_http(request);
    request_free(request);
}

void
request_abandon(struct request *request)
{
    counter_add(router_counters(request->router), COUNTER_CALLERS_GONE, 1);
    log_end(request, "gone", "the caller closed its connection");
    send_cancel(request);
    request_free(request);
}

static void
on_http_closed(struct evhttp_connection *connection, void *ctx)
{
    struct request *request = ctx;
    struct evhttp_request *http = request->http;

    evhttp_connection_set_closecb(connection, NULL, NULL);
    request->http = NULL;
    // evhttp no longer owns the request if the connection failed.
    if (evhttp_request_get_connection(http) == NULL) {
        evhttp_request_free(http);
    }
    request_abandon(request);
}

static void
on_caller_closed(evutil_socket_t fd, short events, void *ctx)
{
    struct request *request = ctx;

    (void)fd;
    (void)events;
    evhttp_connection_free(evhttp_request_get_connection(request->http));
}

static void
on_deadline(evutil_socket_t fd, short events, void *ctx)
{
    struct request *request = ctx;

    (void)fd;
    (void)events;
    send_cancel(request);
    if (request->state == REQUEST_ANSWERING) {
        abort_reply(request,
                    "the deadline passed before the answer was complete");
        return;
    }
    request_refuse(request, 504,
                   request->state == REQUEST_CONNECTING ||
                           request->state == REQUEST_NEW
                       ? OUTCOME_NOT_RUN
                       : OUTCOME_UNKNOWN,
                   "the deadline passed before an answer began");
}

void
request_watch_close(struct request *request)
{
    struct evhttp_connection *connection;
    int fd;

    if (request->close_event != NULL || request->http == NULL) {
        return;
    }
    connection = evhttp_request_get_connection(request->http);
    fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    request->close_event = event_new(router_base(request->router), fd,
                                     EV_CLOSED, on_caller_closed, request);
    if (request->close_event != NULL) {
        event_add(request->close_event, NULL);
    }
}

static void
start_deadline(struct request *request)
{
    int64_t left =
        request->policy.deadline_ms - clock_ms(router_clock(request->router));
    const struct timeval delay = {
        .tv_sec = left / 1000,
        .tv_usec = left % 1000 * 1000,
    };

    request->timer =
        event_new(router_base(request->router), -1, 0, on_deadline, request);
    if (request->timer == NULL) {
        BUG("out of memory");
    }
    event_add(request->timer, &delay);
}

static void
make_id(struct request *request)
{
    const struct random_source *random = router_random(request->router);
    uint64_t words[2] = {random_next(random), random_next(random)};

    memcpy(request->id.bytes, words, sizeof(request->id.bytes));
}

void
request_start(struct router *router, struct evhttp_request *http)
{
    struct request *request = xcalloc(1, sizeof(*request));

    request->router = router;
    request->http = http;
    request->method =
        str_from(http_method_name(evhttp_request_get_command(http)));
    request->uri = str_from(evhttp_request_get_uri(http));
    request->body = http_body(http);
    make_id(request);
    counter_add(router_counters(router), COUNTER_REQUESTS, 1);
    router_add(router, request);
    evhttp_connection_set_closecb(evhttp_request_get_connection(http),
                                  on_http_closed, request);
    if (router_conf(router) == NULL) {
        request->retry_after_ms = MIN_RETRY_AFTER_MS;
        request_refuse(request, 503, OUTCOME_NOT_RUN,
                       "the router has no configuration yet");
        return;
    }
    if (filter_run(request) == FILTER_ANSWERED) {
        return;
    }
    request->account_counted = true;
    router_count_account(router, request->policy.account_name);
    start_deadline(request);
    retry_count_request(router_retry_budget(router));
    request_dispatch(request);
}

static void
fill_route_request(const struct request *request, struct route_request *out)
{
    *out = (struct route_request){
        .key_hash = request->key_hash,
        .has_key = request->has_key_hash,
        .hint = request->hint,
        .tried_count = request->tried_count,
    };
    for (size_t i = 0; i < request->tried_count; i++) {
        out->tried[i] = str_from(request->tried[i]);
    }
}

static void
log_choice(const struct request *request)
{
    char id[ID_HEX_BYTES];

    if (!log_enabled(LOG_LEVEL_INFO)) {
        return;
    }
    format_id(request, id);
    LOG_INFO("event=route request=%s account=%s route=%s pool=%s "
             "endpoint=" STR_FMT " reason=%s candidates=%zu attempt=%u",
             id, request->policy.account_name, request->policy.route_name,
             request->policy.pool_name, STR_ARG(request->choice.endpoint),
             route_reason_name(request->choice.reason),
             request->choice.candidates, request->attempt);
}

static bool
is_router_header(struct str name)
{
    static const char *const names[] = {
        "Authorization",
        "X-Api-Key",
        "Content-Length",
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (name.len == strlen(names[i]) &&
            !strncasecmp(name.data, names[i], name.len)) {
            return true;
        }
    }
    return false;
}

/// Copies the caller's headers for the endpoint, without its API key, and
/// adds the priority that applies.
static size_t
copy_headers(const struct request *request, struct message_header *headers)
{
    size_t count =
        http_copy_headers(evhttp_request_get_input_headers(request->http),
                          headers, MESSAGE_HEADERS_MAX - 1);
    size_t forwarded = 0;

    for (size_t i = 0; i < count; i++) {
        if (!is_router_header(headers[i].name)) {
            headers[forwarded++] = headers[i];
        }
    }
    headers[forwarded].name = STR_LITERAL("Dandelionvalve-Priority");
    headers[forwarded].value.data = &"0123456789"[request->policy.priority];
    headers[forwarded].value.len = 1;
    return forwarded + 1;
}

static void
send_offer(struct request *request)
{
    struct message message = {.type = MESSAGE_OFFER};
    struct message_offer *offer = &message.offer;
    const struct request_policy *policy = &request->policy;
    int64_t left =
        policy->deadline_ms - clock_ms(router_clock(request->router));

    request->state = REQUEST_OFFERED;
    request->peer_incarnation = peer_incarnation(request->peer);
    offer->id = attempt_id(request);
    offer->in_flight = route_in_flight(pool_route(request));
    offer->pool_weight = route_usable_weight(pool_route(request));
    offer->account = str_from(policy->account_name);
    offer->account_weight = policy->account_weight;
    offer->priority = policy->priority;
    offer->route = str_from(policy->route_name);
    offer->key = request->key;
    offer->repeatable = policy->repeatable;
    offer->may_wait = request->choice.may_wait;
    offer->cut_on_disconnect = policy->cut_on_disconnect;
    offer->fingerprint = request->fingerprint;
    offer->deadline_ms = (uint32_t)(left > 0 ? left : 1);
    offer->first_byte_ms = policy->first_byte_ms;
    offer->idle_ms = policy->idle_ms;
    offer->method = request->method;
    offer->uri = request->uri;
    offer->header_count = copy_headers(request, offer->headers);
    offer->body_bytes = request->body.len;
    if (request->body.len <= INLINE_BODY_BYTES) {
        offer->body = request->body;
    }
    counter_add(router_counters(request->router), COUNTER_OFFERS, 1);
    peer_set_in_flight_sent(request->peer, offer->in_flight);
    peer_send(request->peer, &message);
}

void
request_link_ready(struct request *request)
{
    struct message message = {.type = MESSAGE_RESUME};

    if (request->state == REQUEST_CONNECTING) {
        send_offer(request);
        return;
    }
    if (request->state < REQUEST_OFFERED) {
        return;
    }
    if (request->peer_incarnation != peer_incarnation(request->peer)) {
        end_attempt(request, ATTEMPT_LOST,
                    "the agent restarted while it handled the request");
        return;
    }
    counter_add(router_counters(request->router), COUNTER_RESUMED, 1);
    message.resume.id = attempt_id(request);
    message.resume.offset = request->answer.next_offset;
    message.resume.need_head = !request->answer.has_head;
    peer_send(request->peer, &message);
}

void
request_link_lost(struct request *request)
{
    end_attempt(request,
                request->state == REQUEST_CONNECTING ? ATTEMPT_UNSENT
                                                     : ATTEMPT_LOST,
                "the agent cannot be reached");
}

static void
refuse_no_endpoint(struct request *request)
{
    if (request->retry_after_ms < MIN_RETRY_AFTER_MS) {
        request->retry_after_ms =
            MIN_RETRY_AFTER_MS +
            (uint32_t)random_below(router_random(request->router),
                                   MIN_RETRY_AFTER_MS);
    }
    request_refuse(request, 503, OUTCOME_NOT_RUN,
                   request->tried_count > 0
                       ? "no endpoint has capacity; the last refusal was %s"
                       : "no endpoint is available%s",
                   request->tried_count > 0
                       ? refuse_reason_name(request->last_refusal)
                       : "");
}

void
request_dispatch(struct request *request)
{
    struct route *route = pool_route(request);
    struct route_request wanted;
    struct attempt_id id;

    fill_route_request(request, &wanted);
    if (!route_pick(route, &wanted, &request->choice)) {
        refuse_no_endpoint(request);
        return;
    }
    request->attempt++;
    request->peer = router_peer(request->router, request->choice.endpoint);
    INVARIANT(request->peer != NULL);
    log_choice(request);
    id = attempt_id(request);
    answer_init(&request->answer, &id);
    request->has_answer = true;
    request->gaps = 0;
    request->acknowledged = 0;
    peer_add_request(request->peer);
    if (peer_state(request->peer) == PEER_READY) {
        send_offer(request);
        return;
    }
    request->state = REQUEST_CONNECTING;
    peer_open(request->peer);
}

static void
add_tried(struct request *request)
{
    if (request->tried_count < ROUTE_TRIED_MAX) {
        request->tried[request->tried_count++] =
            str_dup(peer_name(request->peer));
    }
}

static bool
may_retry(struct request *request, enum attempt_end end)
{
    struct router *router = request->router;

    if (!outcome_allows_retry(end, request->policy.repeatable) ||
        request->tried_count >= ROUTE_TRIED_MAX) {
        return false;
    }
    if (!outcome_costs_budget(end)) {
        return true;
    }
    if (request->possible_runs >= request->policy.attempts_max) {
        return false;
    }
    if (!retry_take(router_retry_budget(router))) {
        counter_add(router_counters(router), COUNTER_RETRY_DENIED, 1);
        return false;
    }
    counter_add(router_counters(router), COUNTER_RETRIES, 1);
    return true;
}

/// Ends an attempt that has no complete answer: retries if allowed, else
/// answers with the known outcome.
static void
end_attempt(struct request *request, enum attempt_end end, const char *reason)
{
    if (request->state == REQUEST_ANSWERING) {
        detach_peer(request);
        abort_reply(request, reason);
        return;
    }
    if (outcome_costs_budget(end)) {
        request->possible_runs++;
    }
    add_tried(request);
    detach_peer(request);
    if (may_retry(request, end)) {
        request->state = REQUEST_NEW;
        request_dispatch(request);
        return;
    }
    if (outcome_of_attempt(end) == OUTCOME_NOT_RUN) {
        refuse_no_endpoint(request);
        return;
    }
    request_refuse(request, 502, OUTCOME_UNKNOWN, "%s", reason);
}

static void
handle_accept(struct request *request, const struct load_report *load)
{
    static const enum counter_id counters[] = {
        [ROUTE_HINT] = COUNTER_HINTED,
        [ROUTE_PLACED] = COUNTER_PLACED,
        [ROUTE_HOME] = COUNTER_HOME,
        [ROUTE_OVERFLOW] = COUNTER_OVERFLOWED,
        [ROUTE_LEAST_LOADED] = COUNTER_OVERFLOWED,
        [ROUTE_WAIT] = COUNTER_WAITED,
    };
    struct route *route = pool_route(request);
    struct route_request wanted;
    struct message message = {.type = MESSAGE_BODY};

    (void)load;
    if (request->state != REQUEST_OFFERED) {
        return;
    }
    request->state = REQUEST_ACCEPTED;
    request->in_flight = true;
    route_begin(route);
    fill_route_request(request, &wanted);
    route_record_placement(route, &wanted, peer_name(request->peer),
                           request->choice.reason);
    counter_add(router_counters(request->router),
                counters[request->choice.reason], 1);
    if (request->body.len <= INLINE_BODY_BYTES) {
        return;
    }
    for (size_t offset = 0; offset < request->body.len;
         offset += BODY_PART_BYTES) {
        size_t left = request->body.len - offset;

        message.part.id = attempt_id(request);
        message.part.offset = offset;
        message.part.bytes.data = request->body.data + offset;
        message.part.bytes.len =
            left < BODY_PART_BYTES ? left : BODY_PART_BYTES;
        peer_send(request->peer, &message);
    }
}

/// Dispatches again after the request has waited too long at an agent's load
/// bound. Endpoints tried before are candidates again, as loads have changed.
static void
reroute(struct request *request)
{
    clear_tried(request);
    detach_peer(request);
    request->state = REQUEST_NEW;
    request_dispatch(request);
}

static void
handle_refuse(struct request *request, enum refuse_reason reason,
              uint32_t retry_after_ms)
{
    if (request->state == REQUEST_ANSWERING) {
        end_attempt(request, ATTEMPT_REFUSED, refuse_reason_name(reason));
        return;
    }
    request->last_refusal = reason;
    counter_add(router_counters(request->router), COUNTER_REFUSALS, 1);
    if (retry_after_ms > request->retry_after_ms) {
        request->retry_after_ms = retry_after_ms;
    }
    if (reason == REFUSE_OVER_BOUND || reason == REFUSE_FULL ||
        reason == REFUSE_QUEUE_FULL) {
        route_record_refusal(pool_route(request), peer_name(request->peer));
    }
    if (reason == REFUSE_OVER_BOUND && request->choice.may_wait) {
        reroute(request);
        return;
    }
    if (!outcome_refusal_is_local(reason) ||
        (request->choice.may_wait && reason == REFUSE_QUEUE_FULL)) {
        detach_peer(request);
        request_refuse(request, outcome_refusal_status(reason),
                       outcome_of_refusal(reason), "the agent refused: %s",
                       refuse_reason_name(reason));
        return;
    }
    end_attempt(request, ATTEMPT_REFUSED, refuse_reason_name(reason));
}

static bool
is_sent_for_head(struct str name)
{
    return name.len != 14 || strncasecmp(name.data, "Content-Length", 14) != 0;
}

static void
start_reply(struct request *request, const struct message_head *head)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(request->http);

    for (size_t i = 0; i < head->header_count; i++) {
        char *name = str_dup(head->headers[i].name);
        char *value = str_dup(head->headers[i].value);

        // An answer to HEAD has no body, so its Content-Length is dropped.
        if (is_sent_for_head(head->headers[i].name) ||
            evhttp_request_get_command(request->http) != EVHTTP_REQ_HEAD) {
            evhttp_add_header(headers, name, value);
        }
        free(name);
        free(value);
    }
    add_common_headers(request, headers, OUTCOME_DONE);
    if (request->has_key_hash) {
        char *hint = str_dup(peer_name(request->peer));

        evhttp_add_header(headers, HINT_HEADER, hint);
        free(hint);
    }
    evhttp_send_reply_start(request->http, (int)head->status,
                            http_reason((int)head->status));
}

static void
handle_head(struct request *request, const struct message_head *head)
{
    if (answer_head(&request->answer, &head->id) != ANSWER_ACCEPT) {
        counter_add(router_counters(request->router), COUNTER_ANSWER_DROPPED,
                    1);
        return;
    }
    request->state = REQUEST_ANSWERING;
    start_reply(request, head);
}

static void
send_ack(struct request *request, bool finished)
{
    const struct message message = {
        .type = MESSAGE_ACK,
        .ack =
            {
                .id = attempt_id(request),
                .offset = request->answer.next_offset,
                .finished = finished,
                .in_flight = route_in_flight(pool_route(request)),
            },
    };

    request->acknowledged = request->answer.next_offset;
    peer_set_in_flight_sent(request->peer, message.ack.in_flight);
    peer_send(request->peer, &message);
}

/// Acknowledges the answer only once it is written to the caller, so that a
/// slow caller pauses the agent.
static void
on_caller_drained(struct evhttp_connection *connection, void *ctx)
{
    struct request *request = ctx;

    (void)connection;
    if (request->peer != NULL &&
        request->answer.next_offset - request->acknowledged >= ACK_BYTES) {
        send_ack(request, false);
    }
}

/// Requests missing parts of the answer from the agent, at most GAPS_MAX
/// times.
static void
request_missing(struct request *request)
{
    struct message message = {.type = MESSAGE_RESUME};

    counter_add(router_counters(request->router), COUNTER_ANSWER_DROPPED, 1);
    if (++request->gaps > GAPS_MAX) {
        end_attempt(request, ATTEMPT_FAILED,
                    "parts of the answer are missing");
        return;
    }
    message.resume.id = attempt_id(request);
    message.resume.offset = request->answer.next_offset;
    message.resume.need_head = !request->answer.has_head;
    peer_send(request->peer, &message);
}

static void
handle_data(struct request *request, const struct attempt_id *id,
            uint64_t offset, struct str bytes)
{
    enum answer_verdict verdict =
        answer_data(&request->answer, id, offset, bytes);
    struct evbuffer *chunk;

    if (verdict == ANSWER_GAP) {
        request_missing(request);
        return;
    }
    if (verdict != ANSWER_ACCEPT) {
        counter_add(router_counters(request->router), COUNTER_ANSWER_DROPPED,
                    1);
        return;
    }
    chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data, bytes.len);
    evhttp_send_reply_chunk_with_cb(request->http, chunk, on_caller_drained,
                                    request);
    evbuffer_free(chunk);
}

static void
handle_end(struct request *request, const struct message *message)
{
    enum answer_verdict verdict =
        answer_end(&request->answer, &message->end.id,
                   message->end.total_bytes, message->end.hash);
    struct evhttp_request *http;

    if (verdict == ANSWER_GAP) {
        request_missing(request);
        return;
    }
    if (verdict == ANSWER_BROKEN) {
        end_attempt(request, ATTEMPT_FAILED,
                    "the answer does not match its hash");
        return;
    }
    if (verdict == ANSWER_DROP) {
        return;
    }
    end_in_flight(request);
    send_ack(request, true);
    quarantine_clear(router_quarantine(request->router), request->fingerprint);
    count_outcome(request, OUTCOME_DONE);
    log_end(request, "done", "the answer is complete");
    http = detach_http_for_reply(request);
    evhttp_send_reply_end(http);
    request_free(request);
}

static void
handle_fail(struct request *request, enum fail_reason reason,
            uint32_t crash_id)
{
    // The agent stores a failed run until it is acknowledged.
    end_in_flight(request);
    send_ack(request, true);
    if (crash_id != 0) {
        router_add_strike(request->router, request->fingerprint, crash_id);
    }
    if (reason == FAIL_ANSWER_NOT_KEPT &&
        request->state != REQUEST_ANSWERING) {
        detach_peer(request);
        request_refuse(request, 409, OUTCOME_DONE,
                       "the request has run, but its answer was too long to "
                       "be stored");
        return;
    }
    end_attempt(request, ATTEMPT_FAILED, fail_reason_name(reason));
}

void
request_message(struct request *request, const struct message *message)
{
    switch (message->type) {
    case MESSAGE_ACCEPT:
        handle_accept(request, &message->accept.load);
        return;
    case MESSAGE_REFUSE:
        handle_refuse(request, message->refuse.reason,
                      message->refuse.retry_after_ms);
        return;
    case MESSAGE_HEAD:
        handle_head(request, &message->head);
        return;
    case MESSAGE_DATA:
        handle_data(request, &message->part.id, message->part.offset,
                    message->part.bytes);
        return;
    case MESSAGE_END:
        handle_end(request, message);
        return;
    case MESSAGE_FAIL:
        handle_fail(request, message->fail.reason, message->fail.crash_id);
        return;
    default:
        return;
    }
}
