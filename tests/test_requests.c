#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/event.h>

#include "core/xmalloc.h"
#include "harness.h"
#include "suites.h"

#define CONCURRENT_CALLS 40
#define HEARTBEAT_BYTES_MAX 100
#define IDLE_MS 500
#define IDLE_TIMEOUT_MS 10000

static const struct harness_options default_options = {
    .engines = 3,
    .services = 2,
    .routers = 2,
    .slots = 16,
    .decode_us = 2000,
    .work_us = 1000,
};

static void
test_streamed_and_unstreamed_responses(void)
{
    struct harness harness;
    struct harness_call call;

    harness_start(&harness, &default_options);
    for (int stream = 0; stream < 2; stream++) {
        char *body = harness_chat_body("one", 10, stream);

        harness_call_and_wait(&harness, (size_t)stream, &call, "POST",
                              "/v1/chat/completions", NULL, body);
        CU_ASSERT(call.status == 200);
        CU_ASSERT(call.result == HTTP_CALL_COMPLETE);
        CU_ASSERT(!strcmp(call.outcome, "done"));
        CU_ASSERT(call.hint[0] != '\0');
        CU_ASSERT(harness_is_expected_response(&call, body, 10, stream));
        harness_call_free(&call);
        free(body);
    }
    CU_ASSERT(harness_router_counter(&harness, COUNTER_DONE) == 2);
    harness_stop(&harness);
}

static bool
all_ended(void *ctx)
{
    struct harness_call *calls = ctx;

    for (size_t i = 0; i < CONCURRENT_CALLS; i++) {
        if (!calls[i].ended) {
            return false;
        }
    }
    return true;
}

static void
test_concurrent_responses_are_not_mixed_up(void)
{
    static struct harness_call calls[CONCURRENT_CALLS];
    struct harness harness;
    char *bodies[CONCURRENT_CALLS];
    char name[16];

    harness_start(&harness, &default_options);
    for (size_t i = 0; i < CONCURRENT_CALLS; i++) {
        snprintf(name, sizeof(name), "chat-%zu", i % 7);
        bodies[i] = harness_chat_body(name, 5 + i, i % 2 == 0);
        harness_call(&harness, i % 2, &calls[i], "POST",
                     "/v1/chat/completions", NULL, bodies[i]);
    }
    CU_ASSERT(harness_wait(&harness, all_ended, calls, 20000));
    for (size_t i = 0; i < CONCURRENT_CALLS; i++) {
        CU_ASSERT(calls[i].status == 200);
        CU_ASSERT(harness_is_expected_response(&calls[i], bodies[i], 5 + i,
                                               i % 2 == 0));
        harness_call_free(&calls[i]);
        free(bodies[i]);
    }
    harness_stop(&harness);
}

static void
test_invalid_requests(void)
{
    static const struct {
        const char *method, *path, *key, *body;
        int status;
    } cases[] = {
        {"POST", "/v1/chat/completions", NULL, "{", 400},
        {"POST", "/v1/chat/completions", NULL, "{}", 400},
        {"POST", "/v1/chat/completions", NULL, "{\"model\":\"none\"}", 404},
        {"POST", "/nowhere", NULL, "", 404},
        {"GET", "/orders", NULL, NULL, 405},
        {"POST", "/keyed", NULL, "{}", 400},
        {"POST", "/keyed", "k",
         "0123456789012345678901234567890123456789012345678901234567890123456"
         "7890123456789012345678901234567890123456789012345678901234567890123"
         "4567890123456789012345678901234567890123456789012345678901234567890"
         "1234567890123456789012345678901234567890123456789012345678901234567"
         "8901234567890123456789012345678901234567890123456789012345678901234"
         "5678901234567890123456789012345678901234567890123456789012345678901"
         "2345678901234567890123456789012345678901234567890123456789012345678"
         "9012345678901234567890123456789012345678901234567890123456789012345"
         "6789012345678901234567890123456789012345678901234567890123456789012"
         "3456789012345678901234567890123456789012345678901234567890123456789"
         "0123456789012345678901234567890123456789012345678901234567890123456"
         "7890123456789012345678901234567890123456789012345678901234567890123"
         "4567890123456789012345678901234567890123456789012345678901234567890"
         "1234567890123456789012345678901234567890123456789012345678901234567"
         "8901234567890123456789012345678901234567890123456789012345678901234",
         413},
    };
    struct harness harness;
    struct harness_call call;

    harness_start(&harness, &default_options);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        harness_call_and_wait(&harness, 0, &call, cases[i].method,
                              cases[i].path, cases[i].key, cases[i].body);
        CU_ASSERT(call.status == cases[i].status);
        CU_ASSERT(!strcmp(call.outcome, "not-run"));
        CU_ASSERT(strstr(harness_response_body(&call), "\"detail\"") != NULL);
        harness_call_free(&call);
    }
    CU_ASSERT(harness_agent_counter(&harness, COUNTER_RUNS) == 0);
    harness_stop(&harness);
}

/// Sends raw bytes to the router and stores the response in `out`.
static void
raw_exchange(struct harness *harness, const char *text, char *out, size_t size)
{
    struct address address = router_callers_address(harness->routers[0]);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ssize_t len;

    memset(out, 0, size);
    CU_ASSERT(connect(fd, (struct sockaddr *)&address.storage, address.len) ==
              0);
    CU_ASSERT(send(fd, text, strlen(text), 0) == (ssize_t)strlen(text));
    harness_run_for(harness, 200);
    len = recv(fd, out, size - 1, MSG_DONTWAIT);
    (void)len;
    close(fd);
    harness_run_for(harness, 50);
}

static void
test_malformed_http(void)
{
    struct harness harness;
    struct harness_call call;
    char answer[2000];
    char *long_header = xmalloc(8192);
    char *text;
    char *body = harness_chat_body("after", 3, false);

    harness_start(&harness, &default_options);
    raw_exchange(&harness, "GET /status/1 HTTP/1.1\r\nHost: x\r\n\r\n", answer,
                 sizeof(answer));
    CU_ASSERT(strstr(answer, "401") != NULL);
    raw_exchange(&harness,
                 "GET /status/1 HTTP/1.1\r\nHost: x\r\n"
                 "Authorization: Bearer wrong\r\n\r\n",
                 answer, sizeof(answer));
    CU_ASSERT(strstr(answer, "401") != NULL);
    CU_ASSERT(strstr(answer, "not known") != NULL);
    memset(long_header, 'x', 8191);
    long_header[8191] = '\0';
    text = xasprintf("GET / HTTP/1.1\r\nX: %s\r\n\r\n", long_header);
    raw_exchange(&harness, text, answer, sizeof(answer));
    CU_ASSERT(strstr(answer, "HTTP/1.1 4") != NULL || answer[0] == '\0');
    free(text);
    raw_exchange(&harness, "nonsense\r\n\r\n", answer, sizeof(answer));
    raw_exchange(&harness, "POST /orders HTTP/1.1\r\nContent-Length: 99\r\n",
                 answer, sizeof(answer));
    CU_ASSERT(answer[0] == '\0');
    // Other callers are served as before.
    harness_call_and_wait(&harness, 0, &call, "POST", "/v1/chat/completions",
                          NULL, body);
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    free(body);
    free(long_header);
    harness_stop(&harness);
}

static bool
has_running(void *ctx)
{
    struct harness *harness = ctx;

    return engine_ledger(harness->engines[0])->running > 0;
}

static bool
has_cancelled(void *ctx)
{
    struct harness *harness = ctx;

    return engine_ledger(harness->engines[0])->cancelled == 1;
}

static void
test_caller_disconnect_cancels_run(void)
{
    struct harness harness;
    struct harness_call call;
    struct harness_options options = default_options;
    char *body = harness_chat_body("gone", 100000, true);

    options.engines = 1;
    harness_start(&harness, &options);
    harness_call(&harness, 0, &call, "POST", "/v1/chat/completions", NULL,
                 body);
    CU_ASSERT(harness_wait(&harness, has_running, &harness, 5000));
    http_call_cancel(call.call);
    CU_ASSERT(harness_wait(&harness, has_cancelled, &harness, 5000));
    harness_call_free(&call);
    free(body);
    harness_stop(&harness);
}

/// Connects a caller that requests a long response and does not read it.
static int
start_slow_caller(struct harness *harness, const char *body)
{
    struct address address = router_callers_address(harness->routers[0]);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int small = 65536;
    char *text = xasprintf("POST /v1/chat/completions HTTP/1.1\r\n"
                           "Host: x\r\nAuthorization: Bearer " HARNESS_KEY
                           "\r\nContent-Length: %zu\r\n\r\n%s",
                           strlen(body), body);

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    CU_ASSERT(connect(fd, (struct sockaddr *)&address.storage, address.len) ==
              0);
    CU_ASSERT(send(fd, text, strlen(text), 0) == (ssize_t)strlen(text));
    free(text);
    return fd;
}

/// Reads to the end of the chunked response; returns its length, or 0 if it is
/// truncated.
static size_t
read_to_end(struct harness *harness, int fd)
{
    static const char end[] = "0\r\n\r\n";
    static char buffer[65536];
    size_t total = 0;
    size_t matched = 0;

    for (int idle = 0; idle < 200;) {
        ssize_t len = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

        for (ssize_t i = 0; i < len; i++) {
            matched =
                buffer[i] == end[matched] ? matched + 1 : buffer[i] == end[0];
            if (matched == sizeof(end) - 1) {
                return total + (size_t)len;
            }
        }
        total += len > 0 ? (size_t)len : 0;
        idle = len > 0 ? 0 : idle + 1;
        harness_run_for(harness, len > 0 ? 0 : 10);
    }
    return 0;
}

/// Runs until the link has carried only heartbeats for IDLE_MS; false after
/// IDLE_TIMEOUT_MS.
static bool
wait_until_link_is_idle(struct harness *harness)
{
    for (int64_t waited_ms = 0; waited_ms < IDLE_TIMEOUT_MS;
         waited_ms += IDLE_MS) {
        uint64_t before =
            harness_router_counter(harness, COUNTER_LINK_BYTES_IN);

        harness_run_for(harness, IDLE_MS);
        if (harness_router_counter(harness, COUNTER_LINK_BYTES_IN) - before <
            HEARTBEAT_BYTES_MAX) {
            return true;
        }
    }
    return false;
}

static void
test_slow_caller_does_not_block_others(void)
{
    struct harness harness;
    struct harness_call fast;
    struct harness_options options = default_options;
    char *long_body = harness_chat_body("slow", 100000, true);
    char *short_body = harness_chat_body("fast", 5, true);
    int fd;

    options.engines = 1;
    options.decode_us = 0;
    harness_start(&harness, &options);
    fd = start_slow_caller(&harness, long_body);
    harness_run_for(&harness, 4000);
    // Flow control has stopped the agent: it has sent what the window and the
    // socket buffers hold, less than half of the response. Heartbeats
    // continue. The kernel probes a closed TCP window at growing intervals and
    // may then accept some more bytes.
    CU_ASSERT(wait_until_link_is_idle(&harness));
    CU_ASSERT(harness_router_counter(&harness, COUNTER_LINK_BYTES_IN) <
              1500000);
    harness_call_and_wait(&harness, 0, &fast, "POST", "/v1/chat/completions",
                          NULL, short_body);
    CU_ASSERT(fast.status == 200);
    CU_ASSERT(read_to_end(&harness, fd) > 5000000);
    close(fd);
    harness_call_free(&fast);
    free(long_body);
    free(short_body);
    harness_stop(&harness);
}

static void
test_large_body_is_sent_after_offer(void)
{
    struct harness harness;
    struct harness_call call;
    char *content = xmalloc(300001);
    char *body;

    memset(content, 'a', 300000);
    content[300000] = '\0';
    body = xasprintf("{\"model\":\"test-model\",\"max_tokens\":3,"
                     "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                     content);
    harness_start(&harness, &default_options);
    harness_call_and_wait(&harness, 0, &call, "POST", "/v1/chat/completions",
                          NULL, body);
    CU_ASSERT(call.status == 200);
    CU_ASSERT(harness_is_expected_response(&call, body, 3, false));
    harness_call_free(&call);
    free(body);
    free(content);
    harness_stop(&harness);
}

static void
test_key_runs_once_across_routers(void)
{
    struct harness harness;
    struct harness_call first, again, other;

    harness_start(&harness, &default_options);
    harness_call_and_wait(&harness, 0, &first, "POST", "/keyed", "key-1",
                          "{\"a\":1}");
    CU_ASSERT(first.status == 200);
    harness_call_and_wait(&harness, 1, &again, "POST", "/keyed", "key-1",
                          "{\"a\":1}");
    CU_ASSERT(again.status == 200);
    CU_ASSERT(!strcmp(again.replayed, "true"));
    CU_ASSERT(
        !strcmp(harness_response_body(&first), harness_response_body(&again)));
    harness_call_and_wait(&harness, 1, &other, "POST", "/keyed", "key-1",
                          "{\"a\":2}");
    CU_ASSERT(other.status == 422);
    CU_ASSERT(!strcmp(other.outcome, "not-run"));
    CU_ASSERT(service_runs(harness.services[0]) +
                  service_runs(harness.services[1]) ==
              1);
    harness_call_free(&first);
    harness_call_free(&again);
    harness_call_free(&other);
    harness_stop(&harness);
}

static void
test_new_configuration_is_applied(void)
{
    struct harness harness;
    struct harness_call call;

    harness_start(&harness, &default_options);
    harness_publish_document(
        &harness,
        "[[pool]]\nname = \"plain\"\nkind = \"service\"\n"
        "[[route]]\nname = \"new\"\npath = \"/new\"\npool = \"plain\"\n"
        "repeatable = true\n",
        0);
    harness_run_for(&harness, 300);
    harness_call_and_wait(&harness, 1, &call, "GET", "/new", NULL, NULL);
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    harness_call_and_wait(&harness, 0, &call, "POST", "/orders", NULL, "{}");
    CU_ASSERT(call.status == 404);
    harness_call_free(&call);
    harness_stop(&harness);
}

void
suite_requests(void)
{
    CU_pSuite suite = CU_add_suite("requests", NULL, NULL);

    CU_add_test(suite, "streamed and unstreamed responses",
                test_streamed_and_unstreamed_responses);
    CU_add_test(suite, "concurrent responses are not mixed up",
                test_concurrent_responses_are_not_mixed_up);
    CU_add_test(suite, "invalid requests", test_invalid_requests);
    CU_add_test(suite, "malformed HTTP", test_malformed_http);
    CU_add_test(suite, "caller disconnect cancels the run",
                test_caller_disconnect_cancels_run);
    CU_add_test(suite, "slow caller does not block others",
                test_slow_caller_does_not_block_others);
    CU_add_test(suite, "large body is sent after the offer",
                test_large_body_is_sent_after_offer);
    CU_add_test(suite, "key runs once across routers",
                test_key_runs_once_across_routers);
    CU_add_test(suite, "new configuration is applied",
                test_new_configuration_is_applied);
}
