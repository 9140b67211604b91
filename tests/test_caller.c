/// Callers' connections whose time-outs expire while the process is busy and
/// bytes that arrive meanwhile are not yet read.
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "core/memory.h"
#include "core/xmalloc.h"
#include "net/caller.h"
#include "suites.h"

#define IDLE_TIMEOUT_MS 300
#define HEAD_TIMEOUT_MS 300
/// Longer than what remains of a time-out when the process becomes busy.
#define BUSY_MS 400
#define RUN_STEP_US 5000
/// What a bufferevent reads at once.
#define READ_BYTES 4096
#define BODY_BYTES_MAX 1000000
#define RUN_MS 100

static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

static const char chunked[] = "POST /a HTTP/1.1\r\nHost: h\r\n"
                              "Transfer-Encoding: chunked\r\n\r\ne00\r\n";

struct fixture {
    struct event_base *base;
    struct caller_server *server;
    int client;
    struct event *sender;
    bool streams;             ///< requests are answered by a stream
    struct caller *streaming; ///< the last one
    size_t requests;
    char received[4096];
    size_t received_len;
    bool closed;
};

static void
on_request(void *ctx, struct caller *caller)
{
    struct fixture *fixture = ctx;

    fixture->requests++;
    if (fixture->streams) {
        fixture->streaming = caller;
        caller_send_head(caller, 200, (struct str){0});
        return;
    }
    caller_reply(caller, 200, (struct str){0}, NULL);
}

static void
on_disconnected(void *ctx, void *user)
{
    (void)ctx;
    (void)user;
}

static void
start_with(struct fixture *fixture, struct memory *memory)
{
    struct err err = {0};
    struct caller_server_options options = {
        .clock = &clock_monotonic,
        .limits = {4096, 4096, HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS},
        .request = on_request,
        .disconnected = on_disconnected,
        .memory = memory,
        .ctx = fixture,
    };
    struct address address;

    *fixture = (struct fixture){.base = event_base_new()};
    options.base = fixture->base;
    CU_ASSERT_FATAL(
        address_parse(str_from("127.0.0.1:0"), &options.address, &err));
    fixture->server = caller_server_new(&options, &err);
    CU_ASSERT_FATAL(fixture->server != NULL);
    address = caller_server_address(fixture->server);
    fixture->client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_FATAL(connect(fixture->client,
                            (const struct sockaddr *)&address.storage,
                            (socklen_t)address.len) == 0);
}

static void
start(struct fixture *fixture)
{
    start_with(fixture, NULL);
}

static void
stop(struct fixture *fixture)
{
    close(fixture->client);
    caller_server_free(fixture->server);
    event_base_loop(fixture->base, EVLOOP_NONBLOCK);
    event_base_free(fixture->base);
}

static void
receive(struct fixture *fixture)
{
    ssize_t len = recv(
        fixture->client, fixture->received + fixture->received_len,
        sizeof(fixture->received) - 1 - fixture->received_len, MSG_DONTWAIT);

    if (len > 0) {
        fixture->received_len += (size_t)len;
    }
    fixture->closed = fixture->closed || len == 0;
}

static void
run(struct fixture *fixture, int64_t ms)
{
    int64_t end_ms = clock_ms(&clock_monotonic) + ms;

    while (clock_ms(&clock_monotonic) < end_ms) {
        event_base_loop(fixture->base, EVLOOP_NONBLOCK);
        receive(fixture);
        usleep(RUN_STEP_US);
    }
}

static void
send_bytes(struct fixture *fixture, const char *bytes, size_t len)
{
    CU_ASSERT(send(fixture->client, bytes, len, MSG_NOSIGNAL) == (ssize_t)len);
}

static size_t
count_answers(const struct fixture *fixture)
{
    size_t count = 0;

    for (const char *at = fixture->received;
         (at = strstr(at, "HTTP/1.1 200")) != NULL; at++) {
        count++;
    }
    return count;
}

/// Issue 24: a router that took over a configuration closed the connection as
/// idle, with the next request unread.
static void
test_request_during_idle_timeout(void)
{
    struct fixture fixture;

    start(&fixture);
    send_bytes(&fixture, request, strlen(request));
    run(&fixture, IDLE_TIMEOUT_MS / 3);
    CU_ASSERT(fixture.requests == 1);
    send_bytes(&fixture, request, strlen(request));
    usleep(BUSY_MS * 1000);
    run(&fixture, IDLE_TIMEOUT_MS / 3);
    CU_ASSERT(fixture.requests == 2);
    CU_ASSERT(count_answers(&fixture) == 2);
    CU_ASSERT(!fixture.closed);
    stop(&fixture);
}

static void
test_first_request_during_idle_timeout(void)
{
    struct fixture fixture;

    start(&fixture);
    run(&fixture, IDLE_TIMEOUT_MS / 3);
    send_bytes(&fixture, request, strlen(request));
    usleep(BUSY_MS * 1000);
    run(&fixture, IDLE_TIMEOUT_MS / 3);
    CU_ASSERT(count_answers(&fixture) == 1);
    stop(&fixture);
}

/// The rest of a request arrives before its time-out and is read after it.
static void
test_rest_during_head_timeout(void)
{
    struct fixture fixture;

    start(&fixture);
    send_bytes(&fixture, request, 10);
    run(&fixture, HEAD_TIMEOUT_MS / 3);
    send_bytes(&fixture, request + 10, strlen(request) - 10);
    usleep(BUSY_MS * 1000);
    run(&fixture, HEAD_TIMEOUT_MS / 3);
    CU_ASSERT(fixture.requests == 1);
    CU_ASSERT(count_answers(&fixture) == 1);
    stop(&fixture);
}

/// A router that stops closes idle connections; one with a request that waits
/// in the socket is not idle.
static void
test_request_during_close_idle(void)
{
    struct fixture fixture;

    start(&fixture);
    run(&fixture, IDLE_TIMEOUT_MS / 6);
    caller_server_drain(fixture.server);
    send_bytes(&fixture, request, strlen(request));
    usleep(RUN_STEP_US);
    caller_server_close_idle(fixture.server);
    run(&fixture, IDLE_TIMEOUT_MS / 3);
    CU_ASSERT(fixture.requests == 1);
    CU_ASSERT(count_answers(&fixture) == 1);
    stop(&fixture);
}

/// A configuration with a shorter time-out came between head and end.
static void
test_stated_idle_time_is_kept(void)
{
    struct caller_limits limits = {4096, 4096, HEAD_TIMEOUT_MS, 2000};
    struct fixture fixture;

    start(&fixture);
    fixture.streams = true;
    caller_server_set_limits(fixture.server, &limits);
    send_bytes(&fixture, request, strlen(request));
    run(&fixture, RUN_MS);
    CU_ASSERT(strstr(fixture.received, "\r\nKeep-Alive: timeout=1\r\n") !=
              NULL);
    limits.idle_timeout_ms = IDLE_TIMEOUT_MS;
    caller_server_set_limits(fixture.server, &limits);
    caller_end_response(fixture.streaming);
    run(&fixture, IDLE_TIMEOUT_MS * 2);
    CU_ASSERT(!fixture.closed);
    stop(&fixture);
}

/// Connections without input still time out.
static void
test_timeouts_without_input(void)
{
    struct fixture fixture;

    start(&fixture);
    run(&fixture, IDLE_TIMEOUT_MS * 2);
    CU_ASSERT(fixture.closed);
    stop(&fixture);
    start(&fixture);
    send_bytes(&fixture, request, 10);
    run(&fixture, HEAD_TIMEOUT_MS * 2);
    CU_ASSERT(strstr(fixture.received, "HTTP/1.1 408") != NULL);
    stop(&fixture);
}

/// Sends a chunk with one byte of body in each pass of the event loop.
static void
send_chunk(evutil_socket_t fd, short events, void *ctx)
{
    const struct timeval next_pass = {0};
    struct fixture *fixture = ctx;
    char chunk[READ_BYTES];

    (void)fd;
    (void)events;
    memset(chunk, 'x', sizeof(chunk));
    memcpy(chunk, "1;", 2);
    memcpy(chunk + sizeof(chunk) - 5, "\r\na\r\n", 5);
    send(fixture->client, chunk, sizeof(chunk), MSG_NOSIGNAL | MSG_DONTWAIT);
    event_add(fixture->sender, &next_pass);
}

/// Some bytes are always unread, and no limit counts chunk extensions.
static void
test_head_timeout_under_endless_bytes(void)
{
    static const char head[] = "POST /a HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
    const struct caller_limits limits = {4096, BODY_BYTES_MAX, HEAD_TIMEOUT_MS,
                                         IDLE_TIMEOUT_MS};
    const struct timeval limit = {.tv_usec = HEAD_TIMEOUT_MS * 3 * 1000};
    struct fixture fixture;

    start(&fixture);
    fixture.sender = event_new(fixture.base, -1, 0, send_chunk, &fixture);
    caller_server_set_limits(fixture.server, &limits);
    send_bytes(&fixture, head, strlen(head));
    send_chunk(-1, 0, &fixture);
    event_base_loopexit(fixture.base, &limit);
    event_base_dispatch(fixture.base);
    receive(&fixture);
    CU_ASSERT(strstr(fixture.received, "HTTP/1.1 408") != NULL);
    event_free(fixture.sender);
    stop(&fixture);
}

/// Blank lines before a request are allowed and are no part of it.
static void
test_idle_timeout_under_blank_lines(void)
{
    struct fixture fixture;
    int64_t end_ms = clock_ms(&clock_monotonic) + IDLE_TIMEOUT_MS * 2;

    start(&fixture);
    while (clock_ms(&clock_monotonic) < end_ms) {
        send(fixture.client, "\r\n", 2, MSG_NOSIGNAL);
        run(&fixture, IDLE_TIMEOUT_MS / 6);
    }
    CU_ASSERT(caller_server_connections(fixture.server) == 0);
    stop(&fixture);
}

/// Issue 24: callers were not told the idle time-out, and requests on
/// connections that had been idle for as long crossed the close.
static void
test_stated_idle_time(void)
{
    struct fixture fixture;
    struct caller_limits limits = {4096, 4096, HEAD_TIMEOUT_MS, 15000};

    start(&fixture);
    caller_server_set_limits(fixture.server, &limits);
    send_bytes(&fixture, request, strlen(request));
    run(&fixture, RUN_MS);
    CU_ASSERT(strstr(fixture.received, "\r\nKeep-Alive: timeout=12\r\n") !=
              NULL);
    stop(&fixture);
    start(&fixture);
    caller_server_set_limits(fixture.server, &limits);
    caller_server_drain(fixture.server);
    send_bytes(&fixture, request, strlen(request));
    run(&fixture, RUN_MS);
    CU_ASSERT(strstr(fixture.received, "\r\nConnection: close\r\n") != NULL);
    CU_ASSERT(strstr(fixture.received, "Keep-Alive") == NULL);
    stop(&fixture);
}

/// What was received of a request is freed with the refusal, not when the
/// client closes: it may never do so.
static void
test_refused_for_memory(void)
{
    struct memory *memory =
        memory_new(&(struct memory_options){.limit_bytes = 16000});
    struct fixture fixture;
    char body[3000];

    memset(body, 'b', sizeof(body));
    start_with(&fixture, memory);
    send_bytes(&fixture, chunked, strlen(chunked));
    run(&fixture, RUN_MS);
    CU_ASSERT(fixture.received_len == 0);
    CU_ASSERT(memory_held(memory, MEMORY_READING) > 0);
    send_bytes(&fixture, body, sizeof(body));
    run(&fixture, RUN_MS);
    CU_ASSERT(strstr(fixture.received, "HTTP/1.1 503") == fixture.received);
    CU_ASSERT(strstr(fixture.received, "\r\nRetry-After: 1.") != NULL);
    CU_ASSERT(strstr(fixture.received, "\r\nConnection: close\r\n") != NULL);
    CU_ASSERT(memory_held(memory, MEMORY_READING) == 0);
    CU_ASSERT(memory_held(memory, MEMORY_REQUESTS) == 0);
    stop(&fixture);
    CU_ASSERT(memory_held_total(memory) == 0);
    memory_free(memory);
}

/// A request that was passed on gets its response, however short memory is.
static void
test_passed_on_is_kept(void)
{
    struct memory *memory =
        memory_new(&(struct memory_options){.limit_bytes = 1000000});
    struct fixture fixture;

    start_with(&fixture, memory);
    fixture.streams = true;
    send_bytes(&fixture, request, strlen(request));
    run(&fixture, RUN_MS);
    CU_ASSERT_FATAL(fixture.streaming != NULL);
    memory_set_limit(memory, 0);
    for (int i = 0; i < 3; i++) {
        caller_send_data(fixture.streaming, "event", 5);
        run(&fixture, RUN_MS);
    }
    caller_end_response(fixture.streaming);
    run(&fixture, RUN_MS);
    CU_ASSERT(strstr(fixture.received, "\r\n0\r\n\r\n") != NULL);
    CU_ASSERT(!fixture.closed);
    stop(&fixture);
    memory_free(memory);
}

void
suite_caller(void)
{
    CU_pSuite suite = CU_add_suite("caller", NULL, NULL);

    CU_add_test(suite, "a request that arrives in a pause is not cut as idle",
                test_request_during_idle_timeout);
    CU_add_test(suite, "nor the first request of a connection",
                test_first_request_during_idle_timeout);
    CU_add_test(suite, "the rest of a request arrives in a pause",
                test_rest_during_head_timeout);
    CU_add_test(suite, "a request in the socket when idle ones are closed",
                test_request_during_close_idle);
    CU_add_test(suite, "endless bytes do not put off the head time-out",
                test_head_timeout_under_endless_bytes);
    CU_add_test(suite, "blank lines do not put off the idle time-out",
                test_idle_timeout_under_blank_lines);
    CU_add_test(suite, "the idle time that callers may use is stated",
                test_stated_idle_time);
    CU_add_test(suite, "the stated idle time outlasts a change of the limits",
                test_stated_idle_time_is_kept);
    CU_add_test(suite, "connections without input time out",
                test_timeouts_without_input);
    CU_add_test(suite, "an incomplete request yields when memory is short",
                test_refused_for_memory);
    CU_add_test(suite, "a request that was passed on is kept",
                test_passed_on_is_kept);
}
