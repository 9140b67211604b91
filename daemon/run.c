#include "run.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <uthash.h>

#include "claimlog.h"
#include "core/sse.h"
#include "core/xmalloc.h"
#include "dandelionvalve/claim.h"
#include "dandelionvalve/gate.h"
#include "dandelionvalve/quarantine.h"
#include "answer_buffer.h"
#include "net/http1.h"
#include "net/http_client.h"
#include "net/link.h"
#include "net/log.h"

#define LOG_MODULE "run"
#define PART_BYTES_MAX 32768
#define CLAIM_ANSWER_BYTES_MAX 8192
#define TOMBSTONE_MS 60000
/// Runs lost within this time of each other count as one endpoint crash.
#define CRASH_GROUP_MS 100
#define REPLAYED_HEADER "Dandelionvalve-Replayed"

enum run_state {
    RUN_QUEUED,
    RUN_RECEIVING_BODY, ///< admitted, body not complete
    RUN_CLAIMING,       ///< waiting for its claim
    RUN_RUNNING,        ///< sent to the endpoint
    RUN_ENDED,          ///< answer not acknowledged
    RUN_TOMBSTONE,      ///< only the id kept, for a late resume
};

struct run {
    struct runs *runs;
    struct attempt_id id;
    enum run_state state;
    struct link *link;
    struct str router;
    struct message_offer offer;
    char *offer_strings;
    struct str key;
    char *body;
    uint64_t body_received;
    bool isolated; ///< has strikes, so no other run with strikes may start
    bool paused;   ///< reading from the endpoint stopped; window is full
    struct http_call *call;
    struct event *timer;
    int64_t deadline_ms;
    int64_t last_activity_ms;
    int64_t link_lost_ms; ///< time of the link's loss, or 0
    int64_t tombstone_expiry_ms;
    struct answer_buffer answer;
    bool has_events; ///< the answer is a stream of events
    struct sse_scan scan;
    struct evbuffer *claim_body;
    bool failed;
    enum fail_reason fail_reason;
    uint32_t crash_id; ///< the endpoint's crash that ended the run, or 0
    UT_hash_handle hh;
};

struct runs {
    struct runs_options options;
    struct run *by_id;
    size_t active;
    size_t isolated_count;
    uint32_t crash_id;
    int64_t crash_ms;
};

struct runs *
runs_new(const struct runs_options *options)
{
    struct runs *runs = xcalloc(1, sizeof(*runs));

    runs->options = *options;
    return runs;
}

static void
free_answer(struct run *run)
{
    answer_buffer_destroy(&run->answer);
    if (run->claim_body != NULL) {
        evbuffer_free(run->claim_body);
        run->claim_body = NULL;
    }
}

static void
free_request(struct run *run)
{
    free(run->offer_strings);
    free(run->body);
    free((char *)run->key.data);
    run->offer_strings = NULL;
    run->body = NULL;
    run->key = (struct str){0};
}

/// Allows another run with strikes to start.
static void
end_isolation(struct run *run)
{
    if (run->isolated) {
        run->runs->isolated_count--;
        run->isolated = false;
    }
}

static void
run_free(struct run *run)
{
    end_isolation(run);
    HASH_DEL(run->runs->by_id, run);
    if (run->timer != NULL) {
        event_free(run->timer);
    }
    free_answer(run);
    free_request(run);
    free((char *)run->router.data);
    free(run);
}

void
runs_free(struct runs *runs)
{
    struct run *run, *next;

    if (runs == NULL) {
        return;
    }
    HASH_ITER(hh, runs->by_id, run, next)
    {
        if (run->call != NULL) {
            http_call_cancel(run->call);
        }
        run_free(run);
    }
    free(runs);
}

static struct run *
find_run(const struct runs *runs, const struct attempt_id *id)
{
    struct run *run;

    HASH_FIND(hh, runs->by_id, id, sizeof(*id), run);
    return run;
}

static void
send_if_linked(struct link *link, const struct message *message)
{
    if (link != NULL) {
        link_send(link, message);
    }
}

static void
send_refuse(struct runs *runs, struct link *link, const struct attempt_id *id,
            enum refuse_reason reason, uint32_t retry_after_ms)
{
    const struct message message = {
        .type = MESSAGE_REFUSE,
        .refuse =
            {
                .id = *id,
                .reason = reason,
                .retry_after_ms = retry_after_ms,
                .load = gate_load_report(runs->options.gate),
            },
    };

    counter_add(runs->options.counters, COUNTER_REFUSALS, 1);
    send_if_linked(link, &message);
}

static void
log_decision(const struct run *run, const char *decision, const char *reason)
{
    struct load_report load;
    char id[33];

    if (!log_enabled(LOG_LEVEL_INFO)) {
        return;
    }
    load = gate_load_report(run->runs->options.gate);
    hex_encode(run->id.request.bytes, sizeof(run->id.request.bytes), id);
    LOG_INFO("event=%s request=%s attempt=%u account=" STR_FMT
             " route=" STR_FMT " router=" STR_FMT
             " reason=%s running=%u bound=%u",
             decision, id, run->id.attempt, STR_ARG(run->offer.account),
             STR_ARG(run->offer.route), STR_ARG(run->router), reason,
             load.running, load.bound);
}

/// Releases an admitted run's place in the gate.
static void
release_slot(struct run *run)
{
    struct runs *runs = run->runs;

    runs->active--;
    end_isolation(run);
    gate_request_ended(runs->options.gate);
}

/// Frees all but the id. A late resume then gets unknown-outcome; without the
/// id it would get not-received.
static void
make_tombstone(struct run *run)
{
    run->state = RUN_TOMBSTONE;
    run->tombstone_expiry_ms = run->deadline_ms + TOMBSTONE_MS;
    if (run->timer != NULL) {
        event_free(run->timer);
        run->timer = NULL;
    }
    free_answer(run);
    free_request(run);
}

/// Refuses an admitted run of which no byte was sent to the endpoint.
static void
refuse_admitted(struct run *run, enum refuse_reason reason)
{
    log_decision(run, "refuse", refuse_reason_name(reason));
    release_slot(run);
    send_refuse(run->runs, run->link, &run->id, reason, 0);
    run_free(run);
}

/// True if no router will request the answer of this run.
static bool
is_abandoned(const struct run *run)
{
    return run->link == NULL && run->link_lost_ms == 0;
}

static void
send_end(struct run *run)
{
    struct message message = {.type = MESSAGE_END};

    if (run->failed) {
        message.type = MESSAGE_FAIL;
        message.fail.id = run->id;
        message.fail.reason = run->fail_reason;
        message.fail.crash_id = run->crash_id;
        message.fail.load = gate_load_report(run->runs->options.gate);
    }
    else {
        message.end.id = run->id;
        message.end.total_bytes = run->answer.end_offset;
        message.end.hash = answer_buffer_hash(&run->answer);
        message.end.load = gate_load_report(run->runs->options.gate);
    }
    send_if_linked(run->link, &message);
}

/// Ends a run. Its answer is stored until the router acknowledges it.
static void
end_run(struct run *run)
{
    run->state = RUN_ENDED;
    run->call = NULL;
    event_del(run->timer);
    release_slot(run);
    send_end(run);
    if (is_abandoned(run)) {
        make_tombstone(run);
    }
}

static void
finish_claim(struct run *run, int status)
{
    struct runs *runs = run->runs;
    struct claim_answer answer = {.status = status};

    if (run->key.len == 0) {
        return;
    }
    if (status != 0) {
        answer.body_kept = run->answer.end_offset <= CLAIM_ANSWER_BYTES_MAX;
        answer.body.len = evbuffer_get_length(run->claim_body);
        answer.body.data = (char *)evbuffer_pullup(run->claim_body, -1);
        for (size_t i = 0; i < run->answer.header_count; i++) {
            if (run->answer.headers[i].name.len == 12 &&
                !strncasecmp(run->answer.headers[i].name.data, "Content-Type",
                             12)) {
                answer.content_type = run->answer.headers[i].value;
            }
        }
    }
    claimlog_finish(runs->options.claimlog, run->key, run, &answer);
}

static void
fail_run(struct run *run, enum fail_reason reason)
{
    log_decision(run, "fail", fail_reason_name(reason));
    finish_claim(run, 0);
    run->failed = true;
    run->fail_reason = reason;
    end_run(run);
}

static void
send_head(struct run *run)
{
    const struct answer_buffer *answer = &run->answer;
    struct message message = {.type = MESSAGE_HEAD};

    message.head.id = run->id;
    message.head.status = (uint32_t)answer->status;
    message.head.header_count = answer->header_count;
    memcpy(message.head.headers, answer->headers,
           answer->header_count * sizeof(*answer->headers));
    send_if_linked(run->link, &message);
}

static void
set_timer(struct run *run)
{
    int64_t limit =
        run->answer.has_head ? run->offer.idle_ms : run->offer.first_byte_ms;
    int64_t due = run->deadline_ms;
    int64_t wait;
    struct timeval delay;

    // A paused endpoint is not idle.
    if (run->state == RUN_RUNNING && !run->paused &&
        run->last_activity_ms + limit < due) {
        due = run->last_activity_ms + limit;
    }
    wait = due - clock_ms(run->runs->options.clock);
    wait = wait > 0 ? wait : 0;
    delay.tv_sec = wait / 1000;
    delay.tv_usec = wait % 1000 * 1000;
    event_add(run->timer, &delay);
}

/// Pauses or resumes reading of the endpoint's answer.
static void
set_paused(struct run *run, bool paused)
{
    if (run->call == NULL || run->paused == paused) {
        return;
    }
    run->paused = paused;
    run->last_activity_ms = clock_ms(run->runs->options.clock);
    http_call_pause(run->call, paused);
    set_timer(run);
}

static bool
has_event_type(const struct message_header *headers, size_t count)
{
    static const char type[] = "text/event-stream";

    for (size_t i = 0; i < count; i++) {
        struct str value = headers[i].value;

        if (str_equal_nocase(headers[i].name, "Content-Type")) {
            return value.len >= sizeof(type) - 1 &&
                   !strncasecmp(value.data, type, sizeof(type) - 1);
        }
    }
    return false;
}

static void
on_head(void *ctx, int status, const struct message_header *headers,
        size_t count)
{
    struct run *run = ctx;

    run->last_activity_ms = clock_ms(run->runs->options.clock);
    run->has_events = has_event_type(headers, count);
    answer_buffer_set_head(&run->answer, status, headers, count);
    send_head(run);
}

static void
send_part(struct run *run, uint64_t offset, struct str bytes)
{
    const struct message message = {
        .type = MESSAGE_DATA,
        .part = {.id = run->id, .offset = offset, .bytes = bytes},
    };

    send_if_linked(run->link, &message);
}

/// Sends bytes of the answer to the router and buffers them until they are
/// acknowledged.
static void
forward_answer(struct run *run, struct str bytes)
{
    if (run->claim_body != NULL &&
        run->answer.end_offset + bytes.len <= CLAIM_ANSWER_BYTES_MAX) {
        evbuffer_add(run->claim_body, bytes.data, bytes.len);
    }
    send_part(run, run->answer.end_offset, bytes);
    answer_buffer_append(&run->answer, bytes, !is_abandoned(run));
}

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct run *run = ctx;
    size_t left = evbuffer_get_length(data);

    run->last_activity_ms = clock_ms(run->runs->options.clock);
    while (left > 0) {
        size_t len = left < PART_BYTES_MAX ? left : PART_BYTES_MAX;
        struct str bytes = {(char *)evbuffer_pullup(data, (ev_ssize_t)len),
                            len};

        if (run->has_events) {
            sse_scan_bytes(&run->scan, bytes.data, bytes.len);
        }
        forward_answer(run, bytes);
        evbuffer_drain(data, len);
        left -= len;
    }
    if (run->answer.end_offset - run->answer.first_offset >
        run->runs->options.window_bytes) {
        set_paused(run, true);
    }
}

/// A random id of the current endpoint crash; see CRASH_GROUP_MS.
static uint32_t
current_crash_id(struct runs *runs)
{
    int64_t now = clock_ms(runs->options.clock);

    if (runs->crash_id == 0 || now - runs->crash_ms >= CRASH_GROUP_MS) {
        runs->crash_id = (uint32_t)random_next(runs->options.random) | 1;
    }
    runs->crash_ms = now;
    return runs->crash_id;
}

/// Records a strike, since a run that lost its endpoint may have crashed it.
static void
add_strike(struct run *run)
{
    struct runs *runs = run->runs;
    uint64_t fingerprint = run->offer.fingerprint;

    run->crash_id = current_crash_id(runs);
    quarantine_strike(runs->options.quarantine, fingerprint, run->crash_id);
    counter_add(runs->options.counters, COUNTER_ENDPOINT_LOST, 1);
    counter_add(runs->options.counters, COUNTER_STRIKES, 1);
    LOG_WARNING("event=strike fingerprint=%016llx strikes=%u account=" STR_FMT
                " route=" STR_FMT,
                (unsigned long long)fingerprint,
                quarantine_strikes(runs->options.quarantine, fingerprint),
                STR_ARG(run->offer.account), STR_ARG(run->offer.route));
    runs->options.strike_added(runs->options.ctx, fingerprint, run->crash_id);
}

static void
on_end(void *ctx, enum http_call_result end)
{
    struct run *run = ctx;
    struct runs *runs = run->runs;

    run->call = NULL;
    if (end == HTTP_CALL_COMPLETE && run->scan.open_bytes > 0) {
        // The stream ends within an event.
        end = HTTP_CALL_INCOMPLETE;
    }
    if (end == HTTP_CALL_UNSENT) {
        if (run->key.len > 0) {
            claimlog_release(runs->options.claimlog, run->key, run);
        }
        refuse_admitted(run, REFUSE_ENDPOINT_DOWN);
        runs->options.endpoint_failed(runs->options.ctx);
        return;
    }
    if (end != HTTP_CALL_COMPLETE) {
        add_strike(run);
        fail_run(run, end == HTTP_CALL_NO_RESPONSE ? FAIL_ENDPOINT_LOST
                                                   : FAIL_INCOMPLETE);
        runs->options.endpoint_failed(runs->options.ctx);
        return;
    }
    runs->options.endpoint_succeeded(runs->options.ctx);
    if (run->isolated) {
        quarantine_clear(runs->options.quarantine, run->offer.fingerprint);
    }
    finish_claim(run, run->answer.status);
    end_run(run);
}

static void
cancel_call(struct run *run)
{
    if (run->call != NULL) {
        http_call_cancel(run->call);
        run->call = NULL;
        counter_add(run->runs->options.counters, COUNTER_CANCELLED, 1);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct run *run = ctx;
    int64_t now = clock_ms(run->runs->options.clock);
    enum fail_reason reason;

    (void)fd;
    (void)events;
    if (run->state == RUN_RECEIVING_BODY) {
        refuse_admitted(run, REFUSE_DEADLINE);
        return;
    }
    if (run->state == RUN_CLAIMING) {
        claimlog_withdraw(run->runs->options.claimlog, run->key, run);
        refuse_admitted(run, REFUSE_DEADLINE);
        return;
    }
    if (run->state != RUN_RUNNING) {
        return;
    }
    reason =
        run->answer.has_head ? FAIL_IDLE_TIMEOUT : FAIL_FIRST_BYTE_TIMEOUT;
    if (now >= run->deadline_ms) {
        reason = FAIL_DEADLINE;
    }
    else if (now - run->last_activity_ms < (run->answer.has_head
                                                ? run->offer.idle_ms
                                                : run->offer.first_byte_ms)) {
        set_timer(run);
        return;
    }
    counter_add(run->runs->options.counters, COUNTER_TIMED_OUT, 1);
    cancel_call(run);
    fail_run(run, reason);
    if (reason != FAIL_DEADLINE) {
        run->runs->options.endpoint_failed(run->runs->options.ctx);
    }
}

static void
start_call(struct run *run)
{
    struct runs *runs = run->runs;
    const struct http_call_options call = {
        .method = run->offer.method,
        .uri = run->offer.uri,
        .headers = run->offer.headers,
        .header_count = run->offer.header_count,
        .body = {run->body, run->offer.body_bytes},
        .fresh_connection = !run->offer.repeatable,
        .accepts_unframed = true,
        .head = on_head,
        .data = on_data,
        .end = on_end,
        .ctx = run,
    };

    run->state = RUN_RUNNING;
    run->last_activity_ms = clock_ms(runs->options.clock);
    answer_buffer_init(&run->answer);
    if (run->key.len > 0) {
        run->claim_body = evbuffer_new();
    }
    counter_add(runs->options.counters, COUNTER_RUNS, 1);
    run->call = http_call(runs->options.endpoint, &call);
    if (run->call == NULL) {
        on_end(run, HTTP_CALL_UNSENT);
        return;
    }
    set_timer(run);
}

/// Continues an admitted run whose body is complete: a run with a key claims
/// it first.
static void
claim_or_start(struct run *run)
{
    struct claim_request request = {
        .key = run->key,
        .run_limit_ms = run->offer.deadline_ms,
        .request = run,
    };

    if (run->key.len == 0) {
        start_call(run);
        return;
    }
    run->state = RUN_CLAIMING;
    request.hash = run->offer.fingerprint;
    set_timer(run);
    claimlog_begin(run->runs->options.claimlog, &request);
}

static void
replay_answer(struct run *run, const struct claim_answer *answer)
{
    char length[24];
    const struct message_header headers[] = {
        {STR_LITERAL(REPLAYED_HEADER), STR_LITERAL("true")},
        {STR_LITERAL("Content-Type"), answer->content_type},
        {STR_LITERAL("Content-Length"), {length, 0}},
    };
    struct message_header copy[3];

    counter_add(run->runs->options.counters, COUNTER_CLAIM_REPLAYED, 1);
    snprintf(length, sizeof(length), "%zu", answer->body.len);
    memcpy(copy, headers, sizeof(copy));
    copy[2].value.len = strlen(length);
    answer_buffer_init(&run->answer);
    answer_buffer_set_head(&run->answer, answer->status, copy, 3);
    send_head(run);
    if (answer->body.len > 0) {
        forward_answer(run, answer->body);
    }
    end_run(run);
}

void
runs_claimed(void *ctx, void *request, const struct claim_decision *decision)
{
    static const enum refuse_reason reasons[] = {
        [CLAIM_IN_PROGRESS] = REFUSE_KEY_IN_PROGRESS,
        [CLAIM_CONFLICT] = REFUSE_KEY_CONFLICT,
        [CLAIM_EXPIRED] = REFUSE_KEY_EXPIRED,
        [CLAIM_LOG_DOWN] = REFUSE_LOG_DOWN,
    };
    struct run *run = request;

    (void)ctx;
    log_decision(run, "claim", claim_verdict_name(decision->verdict));
    switch (decision->verdict) {
    case CLAIM_RUN:
        start_call(run);
        return;
    case CLAIM_REPLAY:
        if (decision->answer.body_kept) {
            replay_answer(run, &decision->answer);
            return;
        }
        run->failed = true;
        run->fail_reason = FAIL_ANSWER_NOT_KEPT;
        end_run(run);
        return;
    case CLAIM_UNKNOWN:
        run->failed = true;
        run->fail_reason = FAIL_UNKNOWN_OUTCOME;
        end_run(run);
        return;
    default:
        refuse_admitted(run, reasons[decision->verdict]);
    }
}

static void
accept_run(struct run *run)
{
    struct message message = {.type = MESSAGE_ACCEPT};

    counter_add(run->runs->options.counters, COUNTER_ADMITTED, 1);
    log_decision(run, "admit", "room");
    run->runs->active++;
    message.accept.id = run->id;
    message.accept.load = gate_load_report(run->runs->options.gate);
    send_if_linked(run->link, &message);
    if (run->body_received == run->offer.body_bytes) {
        claim_or_start(run);
        return;
    }
    run->state = RUN_RECEIVING_BODY;
    set_timer(run);
}

void
runs_admitted(void *ctx, void *request)
{
    (void)ctx;
    accept_run(request);
}

void
runs_dropped(void *ctx, void *request, enum refuse_reason reason,
             uint32_t retry_after_ms)
{
    struct run *run = request;

    (void)ctx;
    log_decision(run, "refuse", refuse_reason_name(reason));
    send_refuse(run->runs, run->link, &run->id, reason, retry_after_ms);
    run_free(run);
}

static struct str
copy_into(char **next, struct str s)
{
    struct str copy = {*next, s.len};

    if (s.len > 0) {
        memcpy(*next, s.data, s.len);
    }
    *next += s.len;
    return copy;
}

/// Copies the offer; its strings go into one allocation.
static void
copy_offer(struct run *run, const struct message_offer *offer)
{
    struct message_offer *copy = &run->offer;
    size_t bytes = offer->account.len + offer->route.len + offer->key.len +
                   offer->method.len + offer->uri.len;
    char *next;

    for (size_t i = 0; i < offer->header_count; i++) {
        bytes += offer->headers[i].name.len + offer->headers[i].value.len;
    }
    run->offer_strings = xmalloc(bytes);
    next = run->offer_strings;
    *copy = *offer;
    copy->account = copy_into(&next, offer->account);
    copy->route = copy_into(&next, offer->route);
    copy->key = copy_into(&next, offer->key);
    copy->method = copy_into(&next, offer->method);
    copy->uri = copy_into(&next, offer->uri);
    for (size_t i = 0; i < offer->header_count; i++) {
        copy->headers[i].name = copy_into(&next, offer->headers[i].name);
        copy->headers[i].value = copy_into(&next, offer->headers[i].value);
    }
    run->body = xmalloc(offer->body_bytes);
    memcpy(run->body, offer->body.data, offer->body.len);
    run->body_received = offer->body.len;
    copy->body = (struct str){0};
}

static struct run *
run_new(struct runs *runs, struct link *link,
        const struct message_offer *offer)
{
    struct run *run = xcalloc(1, sizeof(*run));

    run->runs = runs;
    run->id = offer->id;
    run->link = link;
    run->router = str_copy(link_peer_name(link));
    copy_offer(run, offer);
    if (offer->key.len > 0) {
        run->key =
            str_from(xasprintf(STR_FMT "/" STR_FMT, STR_ARG(offer->account),
                               STR_ARG(offer->key)));
    }
    run->deadline_ms = clock_ms(runs->options.clock) + offer->deadline_ms;
    run->timer = event_new(runs->options.base, -1, 0, on_timer, run);
    if (run->timer == NULL) {
        BUG("out of memory");
    }
    HASH_ADD(hh, runs->by_id, id, sizeof(run->id), run);
    return run;
}

static bool
quarantine_blocks(struct run *run)
{
    struct runs *runs = run->runs;
    enum quarantine_verdict verdict =
        quarantine_check(runs->options.quarantine, run->offer.fingerprint);

    if (verdict == QUARANTINE_CLEAR) {
        return false;
    }
    if (verdict == QUARANTINE_REFUSE || runs->isolated_count > 0) {
        counter_add(runs->options.counters, COUNTER_QUARANTINED, 1);
        return true;
    }
    run->isolated = true;
    runs->isolated_count++;
    return false;
}

void
runs_offer(struct runs *runs, struct link *link,
           const struct message_offer *offer)
{
    struct gate_request request = {
        .account = offer->account,
        .account_weight = offer->account_weight,
        .priority = offer->priority,
        .bytes = offer->body_bytes,
        .deadline_ms = clock_ms(runs->options.clock) + offer->deadline_ms,
        .may_wait = offer->may_wait,
    };
    struct gate_decision decision;
    struct run *run;

    gate_set_router_in_flight(runs->options.gate, link_peer_name(link),
                              offer->in_flight);
    gate_set_router_pool_weight(runs->options.gate, link_peer_name(link),
                                offer->pool_weight);
    if (find_run(runs, &offer->id) != NULL) {
        counter_add(runs->options.counters, COUNTER_ANSWER_DROPPED, 1);
        return;
    }
    if (offer->body_bytes > runs->options.body_bytes_max) {
        send_refuse(runs, link, &offer->id, REFUSE_BAD_REQUEST, 0);
        return;
    }
    run = run_new(runs, link, offer);
    if (quarantine_blocks(run)) {
        runs_dropped(runs, run, REFUSE_QUARANTINED, 0);
        return;
    }
    request.request = run;
    decision = gate_offer(runs->options.gate, &request);
    if (decision.verdict == GATE_REFUSED) {
        runs_dropped(runs, run, decision.reason, decision.retry_after_ms);
        return;
    }
    if (decision.verdict == GATE_QUEUED) {
        counter_add(runs->options.counters, COUNTER_QUEUED, 1);
        log_decision(run, "queue", "no-room");
        return;
    }
    accept_run(run);
}

void
runs_body(struct runs *runs, const struct attempt_id *id, uint64_t offset,
          struct str bytes)
{
    struct run *run = find_run(runs, id);

    if (run == NULL || run->state != RUN_RECEIVING_BODY ||
        offset != run->body_received ||
        bytes.len > run->offer.body_bytes - offset) {
        counter_add(runs->options.counters, COUNTER_ANSWER_DROPPED, 1);
        return;
    }
    memcpy(run->body + offset, bytes.data, bytes.len);
    run->body_received += bytes.len;
    if (run->body_received == run->offer.body_bytes) {
        claim_or_start(run);
    }
}

void
runs_ack(struct runs *runs, const struct attempt_id *id, uint64_t offset,
         bool finished)
{
    struct run *run = find_run(runs, id);

    if (run == NULL) {
        return;
    }
    if (finished && run->state == RUN_ENDED) {
        run_free(run);
        return;
    }
    if (answer_buffer_acknowledge(&run->answer, offset) &&
        run->answer.end_offset - offset <= runs->options.window_bytes / 2) {
        set_paused(run, false);
    }
}

/// Handles the loss of a caller or its router. A run not yet sent to the
/// endpoint is dropped. One that was sent is cancelled if its route allows
/// that and it has no key; otherwise it completes.
static void
abandon(struct run *run)
{
    struct runs *runs = run->runs;

    run->link = NULL;
    run->link_lost_ms = 0;
    switch (run->state) {
    case RUN_QUEUED:
        gate_withdraw(runs->options.gate, run);
        run_free(run);
        return;
    case RUN_CLAIMING:
        claimlog_withdraw(runs->options.claimlog, run->key, run);
        release_slot(run);
        make_tombstone(run);
        return;
    case RUN_RECEIVING_BODY:
        release_slot(run);
        make_tombstone(run);
        return;
    case RUN_RUNNING:
        if (run->offer.cut_on_disconnect && run->key.len == 0) {
            cancel_call(run);
            release_slot(run);
            make_tombstone(run);
        }
        else {
            set_paused(run, false);
        }
        return;
    case RUN_ENDED:
        make_tombstone(run);
        return;
    case RUN_TOMBSTONE:
        return;
    }
}

void
runs_cancel(struct runs *runs, const struct attempt_id *id)
{
    struct run *run = find_run(runs, id);

    if (run != NULL) {
        abandon(run);
    }
}

static void
send_buffered(struct run *run, uint64_t offset)
{
    char *copy = xmalloc(PART_BYTES_MAX);
    size_t len =
        answer_buffer_copy(&run->answer, offset, copy, PART_BYTES_MAX);

    while (len > 0) {
        send_part(run, offset, (struct str){copy, len});
        offset += len;
        len = answer_buffer_copy(&run->answer, offset, copy, PART_BYTES_MAX);
    }
    free(copy);
}

static void
send_unknown_outcome(struct runs *runs, struct link *link,
                     const struct attempt_id *id)
{
    const struct message message = {
        .type = MESSAGE_FAIL,
        .fail =
            {
                .id = *id,
                .reason = FAIL_UNKNOWN_OUTCOME,
                .load = gate_load_report(runs->options.gate),
            },
    };

    link_send(link, &message);
}

void
runs_resume(struct runs *runs, struct link *link, const struct attempt_id *id,
            uint64_t offset, bool need_head)
{
    struct run *run = find_run(runs, id);
    struct message accept = {.type = MESSAGE_ACCEPT};

    counter_add(runs->options.counters, COUNTER_RESUMED, 1);
    if (run == NULL) {
        send_refuse(runs, link, id, REFUSE_NOT_RECEIVED, 0);
        return;
    }
    if (run->state == RUN_TOMBSTONE) {
        send_unknown_outcome(runs, link, id);
        return;
    }
    run->link = link;
    run->link_lost_ms = 0;
    if (run->state == RUN_QUEUED) {
        return;
    }
    if (run->state == RUN_RECEIVING_BODY) {
        // Parts of the body may be lost with the old link. The endpoint has
        // received nothing.
        refuse_admitted(run, REFUSE_NOT_RECEIVED);
        return;
    }
    accept.accept.id = run->id;
    accept.accept.load = gate_load_report(runs->options.gate);
    link_send(link, &accept);
    if (run->answer.has_head && need_head) {
        send_head(run);
    }
    if (answer_buffer_can_resume(&run->answer, offset)) {
        send_buffered(run, offset);
    }
    if (run->state == RUN_ENDED) {
        send_end(run);
    }
}

void
runs_link_lost(struct runs *runs, const struct link *link)
{
    int64_t now = clock_ms(runs->options.clock);
    struct run *run, *next;

    HASH_ITER(hh, runs->by_id, run, next)
    {
        if (run->link == link) {
            run->link = NULL;
            run->link_lost_ms = now;
        }
    }
}

void
runs_tick(struct runs *runs)
{
    int64_t now = clock_ms(runs->options.clock);
    struct run *run, *next;

    HASH_ITER(hh, runs->by_id, run, next)
    {
        if (run->state == RUN_TOMBSTONE && now >= run->tombstone_expiry_ms) {
            run_free(run);
        }
        else if (run->link_lost_ms > 0 &&
                 now - run->link_lost_ms >=
                     runs->options.reconnect_timeout_ms) {
            abandon(run);
        }
    }
}

size_t
runs_active(const struct runs *runs)
{
    return runs->active;
}

bool
runs_use_link(const struct runs *runs, const struct link *link)
{
    const struct run *run;

    for (run = runs->by_id; run != NULL; run = run->hh.next) {
        if (run->link == link && run->state != RUN_TOMBSTONE) {
            return true;
        }
    }
    return false;
}

size_t
runs_unacknowledged(const struct runs *runs)
{
    const struct run *run;
    size_t count = 0;

    for (run = runs->by_id; run != NULL; run = run->hh.next) {
        count += run->state == RUN_ENDED && run->link_lost_ms == 0 &&
                 run->link != NULL;
    }
    return count;
}
