/// Time-outs that expire while the process does nothing else, although what
/// they wait for has arrived.
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "direct_harness.h"
#include "net/http1.h"
#include "net/loop.h"
#include "platform/store.h"
#include "standin/ports.h"
#include "suites.h"

/// The plain routes of the harness: "book" may run once and is served by the
/// paused endpoint alone, "look" is repeatable and served by two.
#define TIMEOUT_MS 800
/// 120% of the routes' objective of 300 ms.
#define SILENCE_MS 360
#define PAUSE_MARGIN_MS 100
#define WAIT_MS 2000
/// Of a call to the store that does not wait for records.
#define STORE_TIMEOUT_MS 1500
#define FOLLOWED_TOPICS 2
#define ATTEMPTS_MAX 60
#define HELD_REQUESTS 6
/// Of the event loop after a pause.
#define PASSES 4

/// An endpoint outside the event loop, so that it can answer while the loop
/// is blocked.
struct outside {
    struct direct_harness *harness;
    struct address address;
    int listener;
    int fd; ///< the connection with the request; -1: none
    char id[32];
    char request[4096];
    size_t request_len;
};

static void
outside_listen(struct outside *outside)
{
    struct address address = ports_any();

    *outside = (struct outside){.fd = -1};
    outside->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    CU_ASSERT_FATAL(bind(outside->listener,
                         (const struct sockaddr *)&address.storage,
                         (socklen_t)address.len) == 0);
    CU_ASSERT_FATAL(listen(outside->listener, 8) == 0);
    address_of_socket(outside->listener, &outside->address);
}

static void
outside_start(struct outside *outside, struct direct_harness *harness,
              const char *service)
{
    outside_listen(outside);
    outside->harness = harness;
    direct_entry_put(harness->store, &(struct direct_entry){
                                         .id = "outside",
                                         .service = service,
                                         .address = outside->address,
                                         .born_ms = 1,
                                     });
    direct_harness_run(harness, 500);
}

static void
outside_stop(struct outside *outside)
{
    if (outside->fd >= 0) {
        close(outside->fd);
    }
    close(outside->listener);
}

static void
drop_connection(struct outside *outside)
{
    close(outside->fd);
    outside->fd = -1;
    outside->request_len = 0;
    memset(outside->request, 0, sizeof(outside->request));
}

/// Takes a request; true once it is complete. A query of contexts is dropped.
static bool
outside_has_request(void *ctx)
{
    struct outside *outside = ctx;
    ssize_t len;

    if (outside->fd < 0) {
        outside->fd = accept4(outside->listener, NULL, NULL, SOCK_NONBLOCK);
    }
    if (outside->fd < 0) {
        return false;
    }
    len = recv(outside->fd, outside->request + outside->request_len,
               sizeof(outside->request) - 1 - outside->request_len, 0);
    if (len > 0) {
        outside->request_len += (size_t)len;
    }
    if (len == 0 || strstr(outside->request, "GET /v1/") != NULL) {
        drop_connection(outside);
    }
    return strstr(outside->request, "\r\n\r\n") != NULL;
}

static void
outside_answer(struct outside *outside, const char *id, const char *rest)
{
    char text[512];
    int len = snprintf(text, sizeof(text),
                       "HTTP/1.1 200 OK\r\nDandelionvalve-Request-Id: %s\r\n"
                       "Dandelionvalve-Server-Signature: s\r\n%s",
                       id, rest);

    CU_ASSERT(send(outside->fd, text, (size_t)len, MSG_NOSIGNAL) == len);
}

static void
start(struct direct_harness *harness)
{
    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = 1,
                                      .origins = 1,
                                      .events = 8,
                                      .work_us = 3000,
                                  });
}

static void
block(int64_t ms)
{
    usleep((useconds_t)((ms + PAUSE_MARGIN_MS) * 1000));
}

/// Starts calls until the outside endpoint has received one.
static void
call_outside(struct outside *outside, struct direct_call *call,
             const char *method, const char *path)
{
    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        snprintf(outside->id, sizeof(outside->id), "id-%d", i);
        direct_call_start(outside->harness, 0, call, method, path, outside->id,
                          NULL, NULL);
        while (!outside_has_request(outside) && !call->ended) {
            direct_harness_run(outside->harness, 1);
        }
        if (!call->ended) {
            return;
        }
        direct_call_free(call);
    }
    CU_FAIL_FATAL("the endpoint is not chosen");
}

/// The answer arrived within the time limit, and the caller got 504.
static void
check_answer_at_time_limit(const char *rest, bool closes)
{
    struct direct_harness harness;
    struct direct_call call = {0};
    struct outside outside;

    start(&harness);
    direct_harness_put_entry(&harness, "o-0", harness.orders, "orders", NULL);
    outside_start(&outside, &harness, "orders");
    call_outside(&outside, &call, "POST", "/book/");
    outside_answer(&outside, outside.id, rest);
    if (closes) {
        drop_connection(&outside);
    }
    block(TIMEOUT_MS);
    CU_ASSERT(
        direct_harness_wait(&harness, direct_call_ended, &call, WAIT_MS));
    CU_ASSERT(call.status == 200);
    CU_ASSERT_STRING_EQUAL(call.body, "ok");
    direct_call_free(&call);
    outside_stop(&outside);
    direct_harness_stop(&harness);
}

static void
test_answer_at_time_limit(void)
{
    check_answer_at_time_limit("Content-Length: 2\r\n\r\nok", false);
}

/// An answer without a length is complete when its connection ends.
static void
test_unframed_answer_at_time_limit(void)
{
    check_answer_at_time_limit("\r\nok", true);
}

/// The endpoint had answered, and the request was sent to another one.
static void
test_answer_at_silence_timeout(void)
{
    struct direct_harness harness;
    struct direct_call call = {0};
    struct outside outside;

    start(&harness);
    outside_start(&outside, &harness, "models");
    call_outside(&outside, &call, "GET", "/look/");
    outside_answer(&outside, outside.id, "Content-Length: 2\r\n\r\nok");
    block(SILENCE_MS);
    CU_ASSERT(
        direct_harness_wait(&harness, direct_call_ended, &call, WAIT_MS));
    CU_ASSERT(call.status == 200);
    CU_ASSERT_STRING_EQUAL(call.body, "ok");
    CU_ASSERT(origin_runs_of(harness.origins[0], outside.id) == 0);
    CU_ASSERT(counter_get(&harness.counters[0], COUNTER_RETRIES) == 0);
    direct_call_free(&call);
    outside_stop(&outside);
    direct_harness_stop(&harness);
}

/// The router was paused between choosing the endpoint and writing the
/// request, and took the endpoint as silent.
static void
test_request_held_back(void)
{
    struct direct_harness harness;
    struct direct_call call = {0};

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1,
                                       .origins = 2,
                                       .events = 8,
                                       .work_us = 3000,
                                   });
    // On new connections first, then on idle ones.
    for (uint64_t i = 0; i < HELD_REQUESTS; i++) {
        char id[16];

        snprintf(id, sizeof(id), "id-%d", (int)i);
        direct_call_start(&harness, 0, &call, "GET", "/look/", id, NULL, NULL);
        while (counter_get(&harness.counters[0], COUNTER_OFFERS) <= i) {
            event_base_loop(harness.base, EVLOOP_ONCE);
        }
        block(SILENCE_MS);
        CU_ASSERT(
            direct_harness_wait(&harness, direct_call_ended, &call, WAIT_MS));
        CU_ASSERT(call.status == 200);
        CU_ASSERT(origin_runs_of(harness.origins[0], id) +
                      origin_runs_of(harness.origins[1], id) ==
                  1);
        direct_call_free(&call);
        CU_ASSERT_FATAL(counter_get(&harness.counters[0], COUNTER_OFFERS) ==
                        i + 1);
    }
    CU_ASSERT(counter_get(&harness.counters[0], COUNTER_RETRIES) == 0);
    direct_harness_stop(&harness);
}

/// A request on a connection of its own, without a router.
struct sending {
    struct event_base *base;
    struct channel_pool *pool;
    const char *end; ///< detail of the end; NULL: not ended
};

static void
on_end(void *ctx, enum channel_end end, const char *detail)
{
    (void)end;
    ((struct sending *)ctx)->end = detail;
}

static void
sending_send(struct sending *sending)
{
    struct evbuffer *bytes = evbuffer_new();
    const struct channel_handler handler = {.end = on_end, .ctx = sending};
    const struct channel_request request = {.bytes = bytes,
                                            .at_most_once = true};

    sending->end = NULL;
    evbuffer_add_printf(bytes, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CU_ASSERT_FATAL(channel_send(sending->pool, &request, &handler) != NULL);
    evbuffer_free(bytes);
}

static void
sending_start(struct sending *sending, const struct outside *outside)
{
    *sending = (struct sending){.base = event_base_new()};
    sending->pool = channel_pool_new(&(struct channel_pool_options){
        .base = sending->base,
        .clock = &clock_monotonic,
        .address = outside->address,
        .connect_timeout_ms = CHANNEL_CONNECT_TIMEOUT_MS,
        .head_bytes_max = 4096,
    });
    sending_send(sending);
}

static void
sending_run_after_pause(struct sending *sending)
{
    for (int i = 0; i < PASSES; i++) {
        event_base_loop(sending->base, EVLOOP_NONBLOCK);
    }
}

static void
sending_stop(struct sending *sending)
{
    channel_pool_free(sending->pool);
    loop_free(sending->base);
}

/// The endpoint was ejected as unreachable, for all routers, although it had
/// accepted the connection.
static void
test_handshake_at_connect_timeout(void)
{
    struct outside outside;
    struct sending sending;

    outside_listen(&outside);
    sending_start(&sending, &outside);
    block(CHANNEL_CONNECT_TIMEOUT_MS);
    sending_run_after_pause(&sending);
    CU_ASSERT(outside_has_request(&outside));
    CU_ASSERT(sending.end == NULL);
    sending_stop(&sending);
    outside_stop(&outside);
}

/// An endpoint whose queue of connections is full does not take one.
static void
test_no_handshake_at_connect_timeout(void)
{
    struct outside outside;
    struct sending sending;
    int queued;

    outside_listen(&outside);
    CU_ASSERT_FATAL(listen(outside.listener, 0) == 0);
    queued = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_FATAL(connect(queued,
                            (const struct sockaddr *)&outside.address.storage,
                            (socklen_t)outside.address.len) == 0);
    sending_start(&sending, &outside);
    block(CHANNEL_CONNECT_TIMEOUT_MS);
    sending_run_after_pause(&sending);
    CU_ASSERT_FATAL(sending.end != NULL);
    CU_ASSERT_STRING_EQUAL(sending.end, "connect timeout");
    close(queued);
    sending_stop(&sending);
    outside_stop(&outside);
}

/// A request that may run once was lost on a connection that the endpoint had
/// closed, and could not be sent again.
static void
test_closed_connection_is_not_reused(void)
{
    struct outside outside;
    struct sending sending;

    outside_listen(&outside);
    sending_start(&sending, &outside);
    while (!outside_has_request(&outside)) {
        event_base_loop(sending.base, EVLOOP_NONBLOCK);
    }
    outside_answer(&outside, "id", "Content-Length: 2\r\n\r\nok");
    while (sending.end == NULL) {
        event_base_loop(sending.base, EVLOOP_NONBLOCK);
    }
    CU_ASSERT(channel_pool_connections(sending.pool) == 1);
    drop_connection(&outside);
    sending_send(&sending);
    sending_run_after_pause(&sending);
    CU_ASSERT(sending.end == NULL);
    CU_ASSERT(outside_has_request(&outside));
    sending_stop(&sending);
    outside_stop(&outside);
}

static void
on_changed(void *ctx, const struct record *record)
{
    (void)ctx;
    (void)record;
}

static void
on_caught_up(void *ctx, enum record_topic topic, int64_t outage_ms)
{
    (void)topic;
    (void)outage_ms;
    ++*(int *)ctx;
}

/// Both lists of the store were answered; the router counted an outage and
/// read again only after a delay.
static void
test_store_answer_at_timeout(void)
{
    static const char page[] = "HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n"
                               "{\"end\":0,\"items\":[],\"more_pages\":false}";
    struct outside outside;
    struct counters counters = {0};
    int caught_up = 0;
    struct event_base *base = event_base_new();
    struct records *records =
        records_new(&(struct records_options){.changed = on_changed});
    struct store *store;
    int fds[FOLLOWED_TOPICS];

    outside_listen(&outside);
    store = store_new(&(struct store_options){
        .base = base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .address = outside.address,
        .settle_ms = 3000,
        .counters = &counters,
        .records = records,
        .caught_up = on_caught_up,
        .ctx = &caught_up,
    });
    for (size_t i = 0; i < FOLLOWED_TOPICS; i++) {
        char request[1024];

        fds[i] = -1;
        while (fds[i] < 0) {
            event_base_loop(base, EVLOOP_NONBLOCK);
            fds[i] = accept(outside.listener, NULL, NULL);
        }
        while (recv(fds[i], request, sizeof(request), MSG_DONTWAIT) <= 0) {
            event_base_loop(base, EVLOOP_NONBLOCK);
        }
    }
    for (size_t i = 0; i < FOLLOWED_TOPICS; i++) {
        CU_ASSERT(send(fds[i], page, strlen(page), MSG_NOSIGNAL) ==
                  (ssize_t)strlen(page));
    }
    block(STORE_TIMEOUT_MS);
    for (int i = 0; i < PASSES; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    CU_ASSERT(counter_get(&counters, COUNTER_LOG_FAILURES) == 0);
    CU_ASSERT(caught_up == FOLLOWED_TOPICS);
    for (size_t i = 0; i < FOLLOWED_TOPICS; i++) {
        close(fds[i]);
    }
    store_free(store);
    records_free(records);
    outside_stop(&outside);
    loop_free(base);
}

void
suite_pause(void)
{
    CU_pSuite suite = CU_add_suite("pause", NULL, NULL);

    CU_add_test(suite, "an answer that has arrived is not a 504",
                test_answer_at_time_limit);
    CU_add_test(suite, "an endpoint that has answered is not silent",
                test_answer_at_silence_timeout);
    CU_add_test(suite, "an endpoint that has accepted is not unreachable",
                test_handshake_at_connect_timeout);
    CU_add_test(suite, "an endpoint that does not accept is unreachable",
                test_no_handshake_at_connect_timeout);
    CU_add_test(suite, "an endpoint is not silent before it was asked",
                test_request_held_back);
    CU_add_test(suite, "a store that has answered is not failing",
                test_store_answer_at_timeout);
    CU_add_test(suite, "a connection that was closed meanwhile is not reused",
                test_closed_connection_is_not_reused);
    CU_add_test(suite, "an answer whose end has arrived is not a 504",
                test_unframed_answer_at_time_limit);
}
