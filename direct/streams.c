#include "streams.h"

#include <stdlib.h>

#include <event2/event.h>

#include "attempt.h"
#include "core/builds.h"
#include "core/catalog.h"
#include "direct_private.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange.h"
#include "exchange_state.h"
#include "mesh.h"
#include "net/log.h"
#include "net/timer.h"
#include "stream_batches.h"
#include "stream_finds.h"

#define LOG_MODULE "streams"

/// Time that a client may take to come back behind the time-out of its route,
/// and by which the builds seen are late.
#define LIFETIME_MARGIN_MS 3000
/// Until a configuration is received.
#define LIFETIME_DEFAULT_MS 60000
/// Longest wait of a take-up for the log.
#define READ_WAIT_MS 500
/// Longest wait of a take-up for the peers.
#define FIND_WAIT_MS 150
/// Longest wait of a first event until its stream is in the log.
#define FIRST_EVENT_HOLD_MS 150
#define HELD_CHECK_MS 25
/// Interval at which the builds of all endpoints are seen again.
#define SEE_MS 1000

static uint64_t
own_id(void *ctx)
{
    const struct direct *direct = ctx;

    return direct->mesh != NULL ? mesh_id(direct->mesh) : 0;
}

static size_t
stream_writers(void *ctx, uint64_t *ids, size_t max)
{
    const struct direct *direct = ctx;

    return direct->mesh != NULL ? mesh_stream_writers(direct->mesh, ids, max)
                                : 0;
}

static size_t
router_count(void *ctx)
{
    const struct direct *direct = ctx;

    return direct->mesh != NULL ? mesh_fleet_size(direct->mesh) : 1;
}

static void
send_batch(void *ctx, uint64_t peer, uint64_t number, struct str batch)
{
    const struct direct *direct = ctx;

    mesh_send_streams(direct->mesh, peer, number, batch);
}

static void
reply_to_batch(void *ctx, uint64_t peer, uint64_t number, bool done)
{
    const struct direct *direct = ctx;

    mesh_send_streams_written(direct->mesh, peer, number, done);
}

static size_t
ask_peers(void *ctx, uint64_t number, struct str ids)
{
    const struct direct *direct = ctx;

    return direct->mesh != NULL ? mesh_find_streams(direct->mesh, number, ids)
                                : 0;
}

static void
reply_found(void *ctx, uint64_t peer, uint64_t number, struct str batch)
{
    const struct direct *direct = ctx;

    mesh_send_found(direct->mesh, peer, number, batch);
}

static void
copy_to_peers(void *ctx, struct str batch)
{
    const struct direct *direct = ctx;

    if (direct->mesh != NULL) {
        mesh_copy_streams(direct->mesh, batch);
    }
}

static void
append_batch(void *ctx, struct str batch)
{
    struct direct *direct = ctx;
    const struct direct_store *store = direct->options.store;

    if (store->append_streams == NULL) {
        stream_batches_appended(direct->streams.batches, false);
        return;
    }
    store->append_streams(direct->store, batch);
}

static void on_found(void *ctx, uint64_t number, bool ended);

static void
start_held(const struct direct *direct)
{
    if (!event_pending(direct->streams.held, EV_TIMEOUT, NULL)) {
        timer_start(direct->streams.held, HELD_CHECK_MS);
    }
}

/// Passes on the first events that were held, as far as their streams are in
/// the log or have waited long enough.
static void
release_held(void *ctx)
{
    const struct direct *direct = ctx;
    struct exchange_entry *entry, *next;
    bool any = false;

    HASH_ITER(hh, direct->exchanges, entry, next)
    {
        struct exchange *exchange = entry->exchange;

        if (exchange->hold.mark > 0 && !exchange->response_started) {
            any = true;
            attempt_release(exchange);
        }
    }
    if (any) {
        start_held(direct);
    }
}

static void
on_held(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    release_held(ctx);
}

void
streams_start(struct direct *direct)
{
    direct->streams.builds = builds_new(&(struct builds_options){
        .clock = direct->options.clock,
        .wall_clock = direct->options.wall_clock,
        .lifetime_ms = LIFETIME_DEFAULT_MS,
    });
    direct->streams.held =
        event_new(direct->options.base, -1, 0, on_held, direct);
    direct->streams.batches =
        stream_batches_new(&(struct stream_batches_options){
            .base = direct->options.base,
            .clock = direct->options.clock,
            .builds = direct->streams.builds,
            .own_id = own_id,
            .peers = stream_writers,
            .router_count = router_count,
            .send = send_batch,
            .reply = reply_to_batch,
            .append = append_batch,
            .copy = copy_to_peers,
            .ended = release_held,
            .ctx = direct,
        });
    direct->streams.finds = stream_finds_new(&(struct stream_finds_options){
        .base = direct->options.base,
        .builds = direct->streams.builds,
        .ask = ask_peers,
        .reply = reply_found,
        .answered = on_found,
        .ctx = direct,
    });
}

void
streams_stop(struct direct *direct)
{
    stream_finds_free(direct->streams.finds);
    stream_batches_free(direct->streams.batches);
    event_free(direct->streams.held);
    builds_free(direct->streams.builds);
}

void
streams_set_catalog(struct direct *direct)
{
    builds_set_lifetime(direct->streams.builds,
                        catalog_resumable_timeout_ms(direct->catalog) +
                            LIFETIME_MARGIN_MS);
}

void
streams_note_restore(struct direct *direct)
{
    builds_share_again(direct->streams.builds);
}

void
streams_see(struct direct *direct, const struct endpoint *endpoint)
{
    builds_see(direct->streams.builds, builds_service_hash(endpoint->service),
               endpoint->build, endpoint->incarnation);
}

static void
see_all(struct direct *direct, int64_t now_ms)
{
    const struct endpoint *endpoint;

    direct->streams.seen_ms = now_ms;
    for (endpoint = endpoints_first(direct->endpoints); endpoint != NULL;
         endpoint = endpoint->hh.next) {
        streams_see(direct, endpoint);
    }
}

static void
begin_read(struct direct *direct)
{
    const struct direct_store *store = direct->options.store;

    direct->streams.reads++;
    direct->streams.is_reading = true;
    if (store->read_streams == NULL) {
        direct_streams_read(direct, false);
        return;
    }
    store->read_streams(direct->store);
}

static void
log_dropped(struct direct *direct)
{
    uint64_t dropped = builds_dropped_count(direct->streams.builds);
    uint64_t more = dropped - direct->streams.dropped;

    if (more > 0) {
        direct->streams.dropped = dropped;
        counter_add(direct->options.counters, COUNTER_STREAMS_DROPPED, more);
        LOG_WARNING("event=streams-dropped streams=%llu pending=%zu "
                    "detail=\"the log takes no batches\"",
                    (unsigned long long)more,
                    builds_pending_count(direct->streams.builds));
    }
}

void
streams_tick(struct direct *direct)
{
    int64_t now_ms = clock_ms(direct->options.clock);

    if (now_ms - direct->streams.seen_ms >= SEE_MS) {
        see_all(direct, now_ms);
        builds_tick(direct->streams.builds);
    }
    if (direct->streams.reads == 0 &&
        builds_stream_count(direct->streams.builds) > 0) {
        // Other routers may know of builds that are out of use by now.
        begin_read(direct);
    }
    stream_batches_flush(direct->streams.batches);
    log_dropped(direct);
}

void
direct_streams_appended(struct direct *direct, bool done)
{
    counter_add(direct->options.counters,
                done ? COUNTER_STREAM_BATCHES : COUNTER_STREAM_BATCHES_FAILED,
                1);
    if (!done) {
        LOG_WARNING("event=streams-append-failed pending=%zu",
                    builds_pending_count(direct->streams.builds));
    }
    stream_batches_appended(direct->streams.batches, done);
}

void
direct_apply_streams(struct direct *direct, struct str batch)
{
    struct err err = {0};

    if (!builds_apply(direct->streams.builds, batch, &err)) {
        LOG_WARNING("event=streams-rejected detail=\"%s\"", err.message);
    }
}

static void
log_take_up(const struct exchange *exchange, const char *source)
{
    LOG_INFO("event=take-up id=%s first=" STR_FMT " service=" STR_FMT
             " after_event=\"" STR_FMT "\" build=%016llx source=%s",
             exchange->id, STR_ARG(exchange->facts.resumes),
             STR_ARG(exchange->service),
             STR_ARG(exchange->facts.last_event_id),
             (unsigned long long)exchange->build, source);
}

static void
refuse(struct exchange *exchange, const char *reason)
{
    counter_add(direct_counters(exchange->direct), COUNTER_TAKE_UPS_REFUSED,
                1);
    LOG_INFO("event=take-up-refused id=%s first=" STR_FMT " service=" STR_FMT,
             exchange->id, STR_ARG(exchange->facts.resumes),
             STR_ARG(exchange->service));
    exchange_refuse_not_run(exchange, reason);
}

/// Binds the request to the build that began its stream; false if none of the
/// route's services is that of the stream.
static bool
bind_build(struct exchange *exchange, const struct builds_stream *stream)
{
    const struct catalog_route *route = exchange->route;

    for (size_t i = 0; i < route->target_count; i++) {
        struct str service = route->targets[i].service;

        if (builds_service_hash(service) == stream->service) {
            exchange->service = service;
            exchange->build = stream->build;
            return true;
        }
    }
    return false;
}

/// True if the stream is known and the request goes on. Otherwise `ended` is
/// set if it has been refused.
static bool
go_on_known(struct exchange *exchange, const char *source, bool *ended)
{
    struct builds_stream stream;

    *ended = false;
    if (!builds_find(exchange->direct->streams.builds, exchange->stream,
                     &stream)) {
        return false;
    }
    if (!bind_build(exchange, &stream)) {
        *ended = true;
        refuse(exchange, "the route does not lead to the stream's service");
        return false;
    }
    counter_add(direct_counters(exchange->direct), COUNTER_TAKE_UPS_KNOWN, 1);
    log_take_up(exchange, source);
    return true;
}

/// Longest wait of the exchange, which has a time limit of its own.
static void
start_wait(const struct exchange *exchange, int64_t max_ms)
{
    int64_t wait_ms = exchange->expires_ms - exchange_now(exchange);

    timer_start(exchange->timer, wait_ms < max_ms ? wait_ms : max_ms);
}

/// Asks the peers for the stream before it is refused.
static void
find_or_refuse(struct exchange *exchange, const char *reason)
{
    exchange->find.reason = reason;
    exchange->find.number =
        stream_finds_add(exchange->direct->streams.finds, exchange->stream);
    start_wait(exchange, FIND_WAIT_MS);
}

/// True if a stream that is not known goes on.
static bool
go_on_unknown(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;
    enum builds_verdict verdict;

    exchange->service = catalog_pick_target(
        exchange->route, random_unit(direct_random(direct)));
    if (!direct->has_all_endpoints) {
        find_or_refuse(exchange, "the stream is not known, and the endpoints "
                                 "have not all been received yet");
        return false;
    }
    verdict = builds_judge_unknown(direct->streams.builds,
                                   builds_service_hash(exchange->service),
                                   &exchange->build);
    if (verdict != BUILDS_GO_ON) {
        find_or_refuse(exchange, builds_verdict_text(verdict));
        return false;
    }
    counter_add(direct_counters(direct), COUNTER_TAKE_UPS_UNKNOWN, 1);
    log_take_up(exchange, "only-build");
    return true;
}

bool
streams_filter(struct exchange *exchange)
{
    const struct request_facts *facts = &exchange->facts;
    struct direct *direct = exchange->direct;
    bool ended;

    if (exchange->route->kind != ROUTE_RESUMABLE) {
        return true;
    }
    exchange->stream = builds_stream_hash(
        facts->resumes.len > 0 ? facts->resumes : facts->id);
    if (facts->resumes.len == 0 && facts->last_event_id.len == 0) {
        return true;
    }
    if (go_on_known(exchange, "memory", &ended) || ended) {
        return !ended;
    }
    // A read that is under way may have passed the end of the log before the
    // client asked.
    exchange->awaited_read = direct->streams.reads + 1;
    start_wait(exchange, READ_WAIT_MS);
    if (!direct->streams.is_reading) {
        begin_read(direct);
    }
    return false;
}

static void
end_wait(struct exchange *exchange, bool at_end)
{
    bool ended;

    exchange->awaited_read = 0;
    event_del(exchange->timer);
    if (!at_end) {
        find_or_refuse(exchange, "the stream is not known, and the log of "
                                 "streams cannot be read");
        return;
    }
    if (go_on_known(exchange, "log", &ended) ||
        (!ended && go_on_unknown(exchange))) {
        exchange_place(exchange);
    }
}

/// Goes on with a stream that is known by now. `at_end`: refuses it otherwise.
static void
end_find(struct exchange *exchange, bool at_end)
{
    struct builds_stream stream;
    bool ended;

    if (!at_end && !builds_find(exchange->direct->streams.builds,
                                exchange->stream, &stream)) {
        return;
    }
    exchange->find.number = 0;
    event_del(exchange->timer);
    if (go_on_known(exchange, "peer", &ended)) {
        exchange_place(exchange);
    }
    else if (!ended) {
        refuse(exchange, exchange->find.reason);
    }
}

static void
on_found(void *ctx, uint64_t number, bool ended)
{
    const struct direct *direct = ctx;
    struct exchange_entry *entry, *next;

    HASH_ITER(hh, direct->exchanges, entry, next)
    {
        if (entry->exchange->find.number == number) {
            end_find(entry->exchange, ended);
        }
    }
}

void
direct_streams_read(struct direct *direct, bool at_end)
{
    struct exchange_entry *entry, *next;
    bool any_waits = false;

    direct->streams.is_reading = false;
    if (!at_end) {
        LOG_WARNING("event=streams-read-failed read=%llu",
                    (unsigned long long)direct->streams.reads);
    }
    HASH_ITER(hh, direct->exchanges, entry, next)
    {
        uint64_t awaited = entry->exchange->awaited_read;

        if (awaited > direct->streams.reads) {
            any_waits = true;
        }
        else if (awaited > 0) {
            end_wait(entry->exchange, at_end);
        }
    }
    if (any_waits) {
        begin_read(direct);
    }
}

void
streams_give_up(struct exchange *exchange)
{
    if (exchange->find.number > 0) {
        end_find(exchange, true);
        return;
    }
    exchange->awaited_read = 0;
    find_or_refuse(exchange, "the stream is not known, and the log of streams "
                             "was not read in time");
}

bool
streams_may_begin(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;
    const struct builds *builds = direct->streams.builds;

    if (exchange->route->kind != ROUTE_RESUMABLE) {
        return true;
    }
    if (exchange->hold.mark == 0) {
        bool queued =
            builds_record(direct->streams.builds, exchange->stream,
                          builds_service_hash(exchange->endpoint->service),
                          exchange->endpoint->build);

        if (!queued || !stream_batches_is_prompt(direct->streams.batches)) {
            return true;
        }
        // What is in the log binds the stream.
        exchange->build = exchange->endpoint->build;
        exchange->hold.mark = builds_queued(builds);
        exchange->hold.until_ms = exchange_now(exchange) + FIRST_EVENT_HOLD_MS;
        stream_batches_flush(direct->streams.batches);
        start_held(direct);
    }
    return builds_written(builds) >= exchange->hold.mark ||
           exchange_now(exchange) >= exchange->hold.until_ms;
}

void
streams_record(struct exchange *exchange)
{
    if (exchange->route->kind == ROUTE_RESUMABLE) {
        builds_record(exchange->direct->streams.builds, exchange->stream,
                      builds_service_hash(exchange->endpoint->service),
                      exchange->endpoint->build);
    }
}

void
streams_record_end(const struct exchange *exchange)
{
    if (exchange->route->kind == ROUTE_RESUMABLE) {
        builds_record_end(exchange->direct->streams.builds, exchange->stream);
    }
}
