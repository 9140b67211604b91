/// Ends of endpoints' answers on the path through router and agent: bodies
/// without a length, streams that end within an event.
#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>

#include "core/xmalloc.h"
#include "harness.h"
#include "standin/origin.h"
#include "standin/ports.h"
#include "suites.h"

#define EVENTS 8
#define READY_MS 5000

static const char document[] =
    "[[pool]]\nname = \"plain\"\nkind = \"service\"\n"
    "[[route]]\nname = \"stream\"\npath = \"/stream\"\n"
    "methods = [\"POST\"]\npool = \"plain\"\nrepeatable = false\n"
    "[[route]]\nname = \"orders\"\npath = \"/orders\"\n"
    "methods = [\"POST\"]\npool = \"plain\"\nrepeatable = false\n"
    "[[route]]\nname = \"look\"\npath = \"/look\"\n"
    "methods = [\"POST\"]\npool = \"plain\"\nrepeatable = true\n";

struct fixture {
    struct harness harness;
    struct origin *origin;
    size_t calls;
};

static bool
serves(void *ctx)
{
    struct fixture *fixture = ctx;
    struct harness_call call;
    bool done;

    harness_call_and_wait(&fixture->harness, 0, &call, "POST", "/orders", NULL,
                          "first");
    done = call.status == 200;
    harness_call_free(&call);
    harness_run_for(&fixture->harness, 20);
    return done;
}

/// Starts a router and an agent whose endpoint is an origin.
static void
start(struct fixture *fixture)
{
    struct harness *harness = &fixture->harness;
    struct err err = {0};

    fixture->calls = 0;
    harness_start(harness, &(struct harness_options){
                               .services = 1,
                               .routers = 1,
                               .slots = 16,
                               .document = document,
                           });
    fixture->origin = origin_new(
        &(struct origin_options){
            .base = harness->base,
            .address = ports_any(),
            .name = "o-0",
            .work_us = 3000,
            .events = EVENTS,
        },
        &err);
    INVARIANT(fixture->origin != NULL);
    harness_crash_agent(harness, 0);
    harness->agent_settings[0].endpoint = origin_address(fixture->origin);
    harness_start_agent(harness, 0);
    CU_ASSERT(harness_wait(harness, serves, fixture, READY_MS));
}

static void
stop(struct fixture *fixture)
{
    // The agent closes its connections to the origin first.
    harness_crash_agent(&fixture->harness, 0);
    origin_free(fixture->origin);
    harness_stop(&fixture->harness);
}

/// Each call has another body, so that none is quarantined.
static void
call_with_fault(struct fixture *fixture, enum origin_fault fault,
                const char *path, struct harness_call *call)
{
    char body[32];

    snprintf(body, sizeof(body), "body %04zu", fixture->calls++);
    origin_set_fault(fixture->origin, fault);
    harness_call_and_wait(&fixture->harness, 0, call, "POST", path, NULL,
                          body);
    origin_set_fault(fixture->origin, ORIGIN_OK);
}

static bool
ends_with(const char *text, const char *end)
{
    size_t len = strlen(text), end_len = strlen(end);

    return len >= end_len && !strcmp(text + len - end_len, end);
}

/// A body without a length that the connection's end delimits is complete, and
/// its connection is not used again, also where connections are reused.
static void
test_unframed_answers(void)
{
    static const enum origin_fault faults[] = {ORIGIN_UNFRAMED,
                                               ORIGIN_UNFRAMED_KEPT};
    static const char *const paths[] = {"/orders", "/look"};
    struct fixture fixture;
    struct harness_call call;
    uint64_t connections;

    start(&fixture);
    connections = origin_connections(fixture.origin);
    for (size_t i = 0; i < 20; i++) {
        call_with_fault(&fixture, faults[i % 2], paths[i / 2 % 2], &call);
        CU_ASSERT(call.status == 200 && call.result == HTTP_CALL_COMPLETE);
        CU_ASSERT(ends_with(harness_response_body(&call), ", 9 bytes"));
        harness_call_free(&call);
    }
    CU_ASSERT(origin_connections(fixture.origin) >= connections + 20);
    CU_ASSERT(harness_agent_counter(&fixture.harness, COUNTER_STRIKES) == 0);
    stop(&fixture);
}

/// An endpoint repeats a refusal when it runs the next request of the
/// connection: no caller gets it as the answer to its own request, which may
/// have run. Connections are used again only if answers name their call.
static void
check_repeated_refusal(bool echoes_calls)
{
    struct fixture fixture;
    struct harness_call call;
    uint64_t connections;
    int rejected = 0;

    start(&fixture);
    if (echoes_calls) {
        origin_set_call_echo(fixture.origin);
    }
    origin_set_fault(fixture.origin, ORIGIN_SHEDS_AGAIN);
    connections = origin_connections(fixture.origin);
    for (int i = 0; i < 4; i++) {
        uint64_t runs = origin_runs(fixture.origin);
        char body[32];

        snprintf(body, sizeof(body), "body %04d", i);
        harness_call_and_wait(&fixture.harness, 0, &call, "POST", "/look",
                              NULL, body);
        if (origin_runs(fixture.origin) > runs) {
            CU_ASSERT(call.status == 200 || call.status == 502);
        }
        if (call.status == 200) {
            CU_ASSERT(ends_with(harness_response_body(&call), ", 9 bytes"));
        }
        CU_ASSERT(i < 2 || call.status == 200);
        rejected += call.status == 502;
        harness_call_free(&call);
    }
    connections = origin_connections(fixture.origin) - connections;
    CU_ASSERT(echoes_calls ? connections < 4 : connections >= 4);
    // The repeated refusal arrives only where the connection is used again.
    CU_ASSERT(rejected == (echoes_calls ? 1 : 0));
    stop(&fixture);
}

static void
test_repeated_refusal(void)
{
    check_repeated_refusal(false);
    check_repeated_refusal(true);
}

/// A health answer without a length does not make the endpoint unusable.
static void
test_unframed_health_answer(void)
{
    struct fixture fixture;
    struct harness_call call;

    start(&fixture);
    origin_set_fault(fixture.origin, ORIGIN_UNFRAMED);
    harness_run_for(&fixture.harness, 1500);
    call_with_fault(&fixture, ORIGIN_OK, "/orders", &call);
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    stop(&fixture);
}

static void
test_unframed_streams(void)
{
    static const enum origin_fault faults[] = {ORIGIN_STREAM_UNFRAMED,
                                               ORIGIN_STREAM_UNFRAMED_CRLF};
    struct fixture fixture;
    struct harness_call call;

    start(&fixture);
    for (int i = 0; i < 4; i++) {
        call_with_fault(&fixture, faults[i % 2], "/stream", &call);
        CU_ASSERT(call.status == 200 && call.result == HTTP_CALL_COMPLETE);
        CU_ASSERT(ends_with(harness_response_body(&call),
                            i % 2 == 0 ? "/8\n\n" : "/8\r\n\r\n"));
        harness_call_free(&call);
    }
    CU_ASSERT(harness_agent_counter(&fixture.harness, COUNTER_STRIKES) == 0);
    stop(&fixture);
}

static void
test_complete_streams(void)
{
    static const enum origin_fault faults[] = {ORIGIN_OK, ORIGIN_STREAM_EMPTY,
                                               ORIGIN_OTHER_TYPE};
    struct fixture fixture;
    struct harness_call call;

    start(&fixture);
    for (int i = 0; i < 3; i++) {
        call_with_fault(&fixture, faults[i], "/stream", &call);
        CU_ASSERT(call.status == 200 && call.result == HTTP_CALL_COMPLETE);
        harness_call_free(&call);
    }
    CU_ASSERT(harness_agent_counter(&fixture.harness, COUNTER_STRIKES) == 0);
    stop(&fixture);
}

/// A reset, or an end before the length, is not the end of a body.
static void
test_reset_of_unframed_answer(void)
{
    static const struct {
        enum origin_fault fault;
        const char *path;
    } cases[] = {
        {ORIGIN_UNFRAMED_RESET, "/orders"},
        {ORIGIN_TRUNCATES, "/orders"},
        {ORIGIN_HEAD_CUT, "/orders"},
        {ORIGIN_HEAD_CUT_LINE, "/orders"},
        {ORIGIN_STREAM_UNFRAMED_RESET, "/stream"},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct fixture fixture;
        struct harness_call call;

        start(&fixture);
        call_with_fault(&fixture, cases[i].fault, cases[i].path, &call);
        CU_ASSERT(call.result != HTTP_CALL_COMPLETE || call.status == 502);
        harness_call_free(&call);
        CU_ASSERT(harness_router_counter(&fixture.harness, COUNTER_UNKNOWN) ==
                  1);
        stop(&fixture);
    }
}

/// A stream that ends within an event is not passed on as complete, and counts
/// as a failure of the endpoint: the third in a row makes it unusable.
static void
test_stream_ends_within_event(void)
{
    static const enum origin_fault faults[] = {
        ORIGIN_STREAM_UNFRAMED_CLOSED,
        ORIGIN_STREAM_CHUNKS_CUT,
        ORIGIN_STREAM_LENGTH_CUT,
    };
    struct fixture fixture;
    struct harness_call call;

    start(&fixture);
    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        call_with_fault(&fixture, faults[i], "/stream", &call);
        CU_ASSERT(call.result != HTTP_CALL_COMPLETE);
        harness_call_free(&call);
    }
    CU_ASSERT(
        harness_router_counter(&fixture.harness, COUNTER_ANSWERS_BROKEN) == 3);
    call_with_fault(&fixture, ORIGIN_OK, "/orders", &call);
    CU_ASSERT(call.status == 503 && !strcmp(call.outcome, "not-run"));
    harness_call_free(&call);
    stop(&fixture);
}

void
suite_agent_endings(void)
{
    CU_pSuite suite = CU_add_suite("agent endings", NULL, NULL);

    CU_add_test(suite, "complete streams", test_complete_streams);
    CU_add_test(suite, "reset of an unframed answer",
                test_reset_of_unframed_answer);
    CU_add_test(suite, "unframed answers", test_unframed_answers);
    CU_add_test(suite, "repeated refusal", test_repeated_refusal);
    CU_add_test(suite, "unframed health answer", test_unframed_health_answer);
    CU_add_test(suite, "unframed streams", test_unframed_streams);
    CU_add_test(suite, "stream ends within an event",
                test_stream_ends_within_event);
}
