/// Ends of answers: bodies without a length, streams that end within an event.
#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/sse.h"
#include "direct_harness.h"
#include "suites.h"

#define EVENTS 8
#define WORK_US 5000
/// Time limit of the routes of streams, and some time to notice it.
#define STREAM_MS 9000

static const char *const stream_paths[] = {"/stream/chat/", "/stream/draft/"};

static const enum origin_fault cut_faults[] = {
    ORIGIN_STREAM_UNFRAMED_CLOSED,
    ORIGIN_STREAM_CHUNKS_CUT,
    ORIGIN_STREAM_LENGTH_CUT,
};

#define CUT_FAULTS (sizeof(cut_faults) / sizeof(cut_faults[0]))

static void
start(struct direct_harness *harness, size_t origins, enum origin_fault fault)
{
    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = 1,
                                      .origins = origins,
                                      .events = EVENTS,
                                      .work_us = WORK_US,
                                  });
    origin_set_fault(harness->origins[0], fault);
    origin_set_fault(harness->orders, fault);
}

static void
format_stream(char *text, size_t size, const char *id, const char *line_end)
{
    size_t len = 0;

    for (int i = 1; i <= EVENTS; i++) {
        len +=
            (size_t)snprintf(text + len, size - len, "id: %d%sdata: %s/%d%s%s",
                             i, line_end, id, i, line_end, line_end);
    }
}

/// Scans a stream that ends with `text`; true if it ends within an event.
static bool
ends_within_event(const char *text)
{
    struct sse_scan scan = {0};

    sse_scan_bytes(&scan, "id: 1\ndata: a\n\n", 15);
    sse_scan_bytes(&scan, text, strlen(text));
    return scan.open_bytes > 0;
}

/// Only an empty line ends an event; further empty lines begin none.
static void
test_ends_of_events(void)
{
    CU_ASSERT(!ends_within_event(""));
    CU_ASSERT(!ends_within_event("id: 2\ndata: b\n\n"));
    CU_ASSERT(!ends_within_event("id: 2\r\ndata: b\r\n\r\n"));
    CU_ASSERT(!ends_within_event("\n\n"));
    CU_ASSERT(!ends_within_event("\r\n"));
    CU_ASSERT(!ends_within_event(": comment\n\n"));
    CU_ASSERT(ends_within_event("i"));
    CU_ASSERT(ends_within_event("id: 2\ndata: b"));
    CU_ASSERT(ends_within_event("id: 2\ndata: b\n"));
    CU_ASSERT(ends_within_event("id: 2\r\ndata: b\r\n"));
    CU_ASSERT(ends_within_event("id: 2\r\ndata: b\r\n\r"));
    CU_ASSERT(ends_within_event("id: 2\n\nid: 3\n"));
}

/// A body without a length that the connection's end delimits is passed on
/// whole, and its connection is not used again.
static void
test_unframed_answers(void)
{
    static const char *const paths[] = {"/book/", "/look/"};
    struct direct_harness harness;

    for (size_t i = 0; i < 4; i++) {
        const struct origin *origin;
        uint64_t connections;

        start(&harness, 1, i < 2 ? ORIGIN_UNFRAMED : ORIGIN_UNFRAMED_KEPT);
        origin = i % 2 == 0 ? harness.orders : harness.origins[0];
        connections = origin_connections(origin);
        for (int j = 0; j < 5; j++) {
            struct direct_call call = {0};
            char id[16], expected[64];

            snprintf(id, sizeof(id), "id-%d", j);
            snprintf(expected, sizeof(expected), "answer to %s, 1 bytes", id);
            direct_call_do(&harness, 0, &call, "POST", paths[i % 2], id, NULL,
                           "b");
            CU_ASSERT(call.end == CHANNEL_COMPLETE && call.status == 200);
            CU_ASSERT_STRING_EQUAL(call.body, expected);
            CU_ASSERT(origin_runs_of(origin, id) == 1);
            direct_call_free(&call);
        }
        CU_ASSERT(origin_connections(origin) >= connections + 4);
        CU_ASSERT(counter_get(&harness.counters[0], COUNTER_DONE) == 5);
        direct_harness_stop(&harness);
    }
}

/// Reported: an endpoint closes within the head of its answer, and callers get
/// a 200 with an empty body.
static void
test_head_cut_looks_complete(void)
{
    static const enum origin_fault faults[] = {ORIGIN_HEAD_CUT,
                                               ORIGIN_HEAD_CUT_LINE};
    static const struct {
        const char *path;
        int status;
    } cases[] = {{"/book/", 502}, {"/look/", 502}, {"/stream/chat/", 502}};

    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        struct direct_harness harness;

        start(&harness, 1, faults[i]);
        for (size_t j = 0; j < sizeof(cases) / sizeof(cases[0]); j++) {
            struct direct_call call = {0};
            char id[16];

            snprintf(id, sizeof(id), "cut-%zu", j);
            direct_call_do(&harness, 0, &call, "POST", cases[j].path, id, NULL,
                           "b");
            CU_ASSERT(call.end == CHANNEL_COMPLETE);
            CU_ASSERT(call.status == cases[j].status);
            CU_ASSERT(call.signature[0] == '\0');
            direct_call_free(&call);
        }
        direct_harness_stop(&harness);
    }
}

/// A stream without length and chunks that ends after an event is complete,
/// and its connection is not used again.
static void
test_unframed_streams(void)
{
    static const enum origin_fault faults[] = {ORIGIN_STREAM_UNFRAMED,
                                               ORIGIN_STREAM_UNFRAMED_CRLF};

    for (size_t i = 0; i < 2; i++) {
        struct direct_harness harness;
        char expected[512];
        uint64_t connections;

        start(&harness, 1, faults[i]);
        connections = origin_connections(harness.origins[0]);
        format_stream(expected, sizeof(expected), "id",
                      faults[i] == ORIGIN_STREAM_UNFRAMED ? "\n" : "\r\n");
        for (size_t j = 0; j < 6; j++) {
            struct direct_call call = {0};

            direct_call_do(&harness, 0, &call, "POST", stream_paths[j % 2],
                           "id", NULL, "x");
            CU_ASSERT(call.end == CHANNEL_COMPLETE && call.status == 200);
            CU_ASSERT_STRING_EQUAL(call.body, expected);
            direct_call_free(&call);
        }
        CU_ASSERT(origin_runs(harness.origins[0]) == 6);
        CU_ASSERT(origin_connections(harness.origins[0]) >= connections + 5);
        CU_ASSERT(counter_get(&harness.counters[0], COUNTER_DONE) == 6);
        direct_harness_stop(&harness);
    }
}

/// A stream without events ends within none.
static void
test_empty_streams(void)
{
    struct direct_harness harness;

    start(&harness, 1, ORIGIN_STREAM_EMPTY);
    for (size_t i = 0; i < 2; i++) {
        struct direct_call call = {0};

        direct_call_do(&harness, 0, &call, "POST", stream_paths[i], "id", NULL,
                       "x");
        CU_ASSERT(call.end == CHANNEL_COMPLETE && call.status == 200);
        CU_ASSERT(call.body_len == 0);
        direct_call_free(&call);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == 2);
    direct_harness_stop(&harness);
}

/// An answer that is no stream of events has none that could be incomplete.
static void
test_other_type_on_streaming_route(void)
{
    struct direct_harness harness;

    start(&harness, 1, ORIGIN_OTHER_TYPE);
    for (size_t i = 0; i < 2; i++) {
        struct direct_call call = {0};

        direct_call_do(&harness, 0, &call, "POST", stream_paths[i], "id", NULL,
                       "x");
        CU_ASSERT(call.end == CHANNEL_COMPLETE && call.status == 200);
        CU_ASSERT_STRING_EQUAL(call.body, "{}");
        direct_call_free(&call);
    }
    CU_ASSERT(origin_runs(harness.origins[0]) == 2);
    direct_harness_stop(&harness);
}

/// Calls until one has reached the endpoint whose streams break. Each answer
/// must be the whole stream, and that call must run twice.
static void
check_resumed(enum origin_fault fault)
{
    struct direct_harness harness;
    struct direct_call call = {0};
    char expected[512];
    uint64_t calls = 0;

    start(&harness, 2, fault);
    format_stream(expected, sizeof(expected), "id", "\n");
    while (origin_runs(harness.origins[0]) == 0 && calls < 60) {
        direct_call_do(&harness, 0, &call, "POST", "/stream/chat/", "id", NULL,
                       "x");
        CU_ASSERT(call.status == 200 && call.end == CHANNEL_COMPLETE);
        CU_ASSERT_STRING_EQUAL(call.body, expected);
        direct_call_free(&call);
        calls++;
    }
    CU_ASSERT(direct_harness_runs(&harness) == calls + 1);
    CU_ASSERT_STRING_EQUAL(
        origin_last_field(harness.origins[1], "Last-Event-Id"), "4");
    direct_harness_stop(&harness);
}

/// A stream that may not be resumed runs once, and the caller sees that its
/// answer is incomplete.
static void
check_aborted(enum origin_fault fault)
{
    struct direct_harness harness;
    struct direct_call call = {0};

    start(&harness, 1, fault);
    direct_call_do(&harness, 0, &call, "POST", "/stream/draft/", "id", NULL,
                   "x");
    CU_ASSERT(call.end != CHANNEL_COMPLETE);
    CU_ASSERT(origin_runs(harness.origins[0]) == 1);
    CU_ASSERT(counter_get(&harness.counters[0], COUNTER_DONE) == 0);
    CU_ASSERT(counter_get(&harness.counters[0], COUNTER_ANSWERS_BROKEN) == 1);
    direct_call_free(&call);
    direct_harness_stop(&harness);
}

/// Nothing of the answer was sent yet: the caller gets a status that promises
/// nothing.
static void
check_aborted_early(enum origin_fault fault)
{
    struct direct_harness harness;
    struct direct_call call = {0};

    start(&harness, 1, fault);
    direct_call_do(&harness, 0, &call, "POST", "/stream/draft/", "id", NULL,
                   "x");
    CU_ASSERT(call.end == CHANNEL_COMPLETE && call.status == 502);
    CU_ASSERT(origin_runs(harness.origins[0]) == 1);
    direct_call_free(&call);
    direct_harness_stop(&harness);
}

/// A reset is not the end of a body, not even after a complete event.
static void
test_reset_of_unframed_stream(void)
{
    check_resumed(ORIGIN_STREAM_UNFRAMED_RESET);
    check_aborted(ORIGIN_STREAM_UNFRAMED_RESET);
}

static void
test_stream_ends_within_event(void)
{
    for (size_t i = 0; i < CUT_FAULTS; i++) {
        check_resumed(cut_faults[i]);
        check_aborted(cut_faults[i]);
    }
}

/// The caller of a resumable stream gets none of the partial event if no
/// endpoint continues the stream.
static void
test_partial_event_is_not_sent(void)
{
    for (size_t i = 0; i < CUT_FAULTS; i++) {
        struct direct_harness harness;
        struct direct_call call = {0};

        start(&harness, 1, cut_faults[i]);
        direct_call_do(&harness, 0, &call, "POST", "/stream/chat/", "id", NULL,
                       "x");
        CU_ASSERT(call.end != CHANNEL_COMPLETE);
        CU_ASSERT(call.body_len == 0 ||
                  !strcmp(call.body + call.body_len - 2, "\n\n"));
        direct_call_free(&call);
        direct_harness_stop(&harness);
    }
}

/// An endpoint whose streams end within an event is ejected: it receives
/// fewer requests than the other one.
static void
test_endpoint_that_cuts_streams(void)
{
    for (size_t i = 0; i < CUT_FAULTS; i++) {
        struct direct_harness harness;

        start(&harness, 2, cut_faults[i]);
        for (int j = 0; j < 30; j++) {
            struct direct_call call = {0};
            char id[16];

            snprintf(id, sizeof(id), "id-%d", j);
            direct_call_do(&harness, 0, &call, "POST", "/stream/draft/", id,
                           NULL, "x");
            direct_call_free(&call);
        }
        if (origin_runs(harness.origins[0]) > 8) {
            printf("fault %d: %d of 30 requests\n", (int)cut_faults[i],
                   (int)origin_runs(harness.origins[0]));
            CU_FAIL("the endpoint was not ejected");
        }
        direct_harness_stop(&harness);
    }
}

/// An answer of another type does not continue a stream.
static void
test_other_type_after_events(void)
{
    struct direct_harness harness;
    bool broken = false;

    start(&harness, 2, ORIGIN_STREAM_CHUNKS_CUT);
    origin_set_fault(harness.origins[1], ORIGIN_OTHER_TYPE);
    for (int i = 0; i < 60 && !broken; i++) {
        struct direct_call call = {0};

        direct_call_do(&harness, 0, &call, "POST", "/stream/chat/", "id", NULL,
                       "x");
        broken = origin_runs(harness.origins[0]) > 0;
        CU_ASSERT((call.end == CHANNEL_COMPLETE) == !broken);
        CU_ASSERT(!broken || strstr(call.body, "{}") == NULL);
        direct_call_free(&call);
    }
    CU_ASSERT(broken);
    direct_harness_stop(&harness);
}

/// A stream breaks off after four of its events, and the endpoint that it goes
/// on at has `fault`: the caller gets these events and nothing else, and the
/// stream does not look complete.
static void
check_fault_after_events(enum origin_fault fault)
{
    struct direct_harness harness;
    struct direct_call call = {0};
    char whole[512];

    start(&harness, 2, ORIGIN_STREAM_CHUNKS_CUT);
    origin_set_fault(harness.origins[1], ORIGIN_STREAM_CHUNKS_CUT);
    origin_set_resume_fault(harness.origins[0], fault);
    origin_set_resume_fault(harness.origins[1], fault);
    format_stream(whole, sizeof(whole), "id", "\n");
    direct_call_start(&harness, 0, &call, "POST", "/stream/chat/", "id", NULL,
                      "x");
    CU_ASSERT(
        direct_harness_wait(&harness, direct_call_ended, &call, STREAM_MS));
    // The stream was resumed at an endpoint with the fault.
    CU_ASSERT(origin_requests(harness.origins[0]) > 0 &&
              origin_requests(harness.origins[1]) > 0);
    if (call.end == CHANNEL_COMPLETE || call.body_len != strlen(whole) / 2 ||
        strncmp(call.body, whole, call.body_len) != 0) {
        printf("fault %d: end %d body \"%s\"\n", (int)fault, (int)call.end,
               call.body);
        CU_FAIL("the stream has other bytes, or looks complete");
    }
    direct_call_free(&call);
    direct_harness_stop(&harness);
}

/// Reported: the text of an error, or its head, in the middle of a stream.
static void
test_error_after_events(void)
{
    static const enum origin_fault faults[] = {
        ORIGIN_SHEDS,         ORIGIN_FAILS,           ORIGIN_BUSY,
        ORIGIN_RESETS,        ORIGIN_INVALID_HTTP,    ORIGIN_UNSIGNED,
        ORIGIN_MISDIRECTED,   ORIGIN_CONTENT_ENCODED, ORIGIN_EARLY_ANSWER,
        ORIGIN_ENDLESS_ERROR,
    };

    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        check_fault_after_events(faults[i]);
    }
}

/// An endpoint that a stream goes on at crashes behind the head of its answer,
/// which has no length.
static void
test_no_events_after_events(void)
{
    check_fault_after_events(ORIGIN_STREAM_UNFRAMED_NONE);
}

/// Sends one request again and again to endpoints with this fault; returns how
/// often it was held as one that crashes endpoints.
static uint64_t
count_held(enum origin_fault fault)
{
    struct direct_harness harness;
    uint64_t held;

    start(&harness, 4, fault);
    for (size_t i = 1; i < 4; i++) {
        origin_set_fault(harness.origins[i], fault);
    }
    for (int i = 0; i < 30; i++) {
        struct direct_call call = {0};
        char id[16];

        snprintf(id, sizeof(id), "id-%d", i);
        direct_call_do(&harness, 0, &call, "POST", "/stream/draft/", id, NULL,
                       "poison");
        direct_call_free(&call);
    }
    held = counter_get(&harness.counters[0], COUNTER_QUARANTINED);
    direct_harness_stop(&harness);
    return held;
}

/// A connection that is closed within an event of a stream without a length
/// may be a crash; the last chunk or the end of a length is sent by an
/// endpoint that lives.
static void
test_crash_within_unframed_stream(void)
{
    CU_ASSERT(count_held(ORIGIN_STREAM_UNFRAMED_CLOSED) > 0);
    CU_ASSERT(count_held(ORIGIN_STREAM_UNFRAMED_NONE) > 0);
    CU_ASSERT(count_held(ORIGIN_STREAM_CHUNKS_CUT) == 0);
    CU_ASSERT(count_held(ORIGIN_STREAM_UNFRAMED) == 0);
}

/// An endpoint that crashes behind the head of a stream without a length looks
/// as if the stream were empty and complete.
static void
test_unframed_stream_without_events(void)
{
    struct direct_harness harness;
    uint64_t calls = 0;

    check_aborted_early(ORIGIN_STREAM_UNFRAMED_NONE);
    start(&harness, 2, ORIGIN_STREAM_UNFRAMED_NONE);
    while (origin_runs(harness.origins[0]) == 0 && calls < 60) {
        struct direct_call call = {0};

        direct_call_do(&harness, 0, &call, "POST", "/stream/chat/", "id", NULL,
                       "x");
        CU_ASSERT(call.status == 200 && call.end == CHANNEL_COMPLETE);
        CU_ASSERT(call.body_len > 0);
        direct_call_free(&call);
        calls++;
    }
    CU_ASSERT(direct_harness_runs(&harness) == calls + 1);
    direct_harness_stop(&harness);
}

void
suite_endings(void)
{
    CU_pSuite suite = CU_add_suite("endings", NULL, NULL);

    CU_add_test(suite, "ends of events", test_ends_of_events);
    CU_add_test(suite, "unframed answers", test_unframed_answers);
    CU_add_test(suite, "head cut looks complete",
                test_head_cut_looks_complete);
    CU_add_test(suite, "unframed streams", test_unframed_streams);
    CU_add_test(suite, "empty streams", test_empty_streams);
    CU_add_test(suite, "other type on a streaming route",
                test_other_type_on_streaming_route);
    CU_add_test(suite, "reset of an unframed stream",
                test_reset_of_unframed_stream);
    CU_add_test(suite, "unframed stream without events",
                test_unframed_stream_without_events);
    CU_add_test(suite, "stream ends within an event",
                test_stream_ends_within_event);
    CU_add_test(suite, "partial event is not sent",
                test_partial_event_is_not_sent);
    CU_add_test(suite, "endpoint that cuts streams",
                test_endpoint_that_cuts_streams);
    CU_add_test(suite, "other type after events",
                test_other_type_after_events);
    CU_add_test(suite, "error after events", test_error_after_events);
    CU_add_test(suite, "no events after events", test_no_events_after_events);
    CU_add_test(suite, "crash within an unframed stream",
                test_crash_within_unframed_stream);
}
