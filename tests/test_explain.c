/// Explanations of a router's choice.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <jansson.h>

#include "core/admission.h"
#include "core/eject.h"
#include "core/shed.h"
#include "direct/direct_state.h"
#include "direct/endpoints.h"
#include "direct/explain.h"
#include "direct/services.h"
#include "direct_harness.h"
#include "net/http_client.h"
#include "suites.h"

#define QUERY                                                                 \
    "host=h.example&path=/stream/draft/x&account=acme&prompt=a:900,b:9"

static json_t *
ask(struct direct_harness *harness, const char *query, int status_expected)
{
    int status = 200;
    char *text = explain_request(harness->routers[0], query, &status);
    json_t *json = json_loads(text, 0, NULL);

    CU_ASSERT(status == status_expected);
    CU_ASSERT_FATAL(json != NULL);
    free(text);
    return json;
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));

    return text != NULL ? text : "";
}

static const char *
out_of(const json_t *json, const char *id)
{
    const json_t *candidate;
    size_t i;

    json_array_foreach(json_object_get(json, "candidates"), i, candidate)
    {
        if (strcmp(text_of(candidate, "id"), id) == 0) {
            return text_of(candidate, "out");
        }
    }
    return "absent";
}

/// Guards against an explanation by other rules than the request's, and
/// against one that changes what later requests meet.
static void
test_next_request_goes_there(void)
{
    static const char *const ids[] = {"e-0", "e-1", "e-2"};
    struct direct_harness harness;
    struct direct_call call = {0};
    struct counters before;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1,
                                       .origins = 3,
                                       .events = 2,
                                       .work_us = 1000,
                                   });
    for (size_t i = 0; i < 3; i++) {
        struct endpoint *blocked = endpoints_find(
            direct_endpoints(harness.routers[0]), str_from(ids[i]));
        json_t *json, *again;
        size_t chosen = 0;

        blocked->eject.ejected_until_ms = INT64_MAX;
        before = harness.counters[0];
        json = ask(&harness, QUERY, 200);
        again = ask(&harness, QUERY, 200);
        CU_ASSERT(strcmp(text_of(json, "chosen"), text_of(again, "chosen")) ==
                  0);
        CU_ASSERT(memcmp(&before, &harness.counters[0], sizeof(before)) == 0);
        CU_ASSERT(strcmp(out_of(json, ids[i]), "ejected") == 0);
        CU_ASSERT(strcmp(text_of(json, "route"), "draft") == 0);
        CU_ASSERT(strcmp(text_of(json, "service"), "models") == 0);
        CU_ASSERT(
            strcmp(text_of(json_object_get(json, "admission"), "verdict"),
                   "admitted") == 0);
        while (chosen < 2 &&
               strcmp(ids[chosen], text_of(json, "chosen")) != 0) {
            chosen++;
        }
        CU_ASSERT(chosen != i);
        {
            uint64_t runs = origin_runs(harness.origins[chosen]);

            direct_call_do(&harness, 0, &call, "POST", "/stream/draft/x",
                           ids[i], "Dandelionvalve-Prefix-Hash: a:900,b:9\r\n",
                           "x");
            direct_call_free(&call);
            CU_ASSERT(origin_runs(harness.origins[chosen]) == runs + 1);
        }
        blocked->eject.ejected_until_ms = 0;
        json_decref(json);
        json_decref(again);
    }
    direct_harness_stop(&harness);
}

/// Guards against an overload that is not reported, and against questions that
/// count as demand.
static void
test_shedding(void)
{
    struct direct_harness harness;
    struct shed *shed;
    const json_t *admission;
    json_t *json;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1, .origins = 1});
    shed = services_shed(direct_services(harness.routers[0]),
                         STR_LITERAL("models"), 1);
    shed->refused_share = 0.5;
    json = ask(&harness, QUERY "&deadline_ms=1000", 200);
    admission = json_object_get(json, "admission");
    CU_ASSERT(strcmp(text_of(admission, "verdict"), "overload") == 0);
    CU_ASSERT(json_number_value(json_object_get(admission, "refused_share")) ==
              0.5);
    CU_ASSERT(json_number_value(json_object_get(admission, "retry_after_ms")) >
              0);
    CU_ASSERT(!shed->has_requests);
    json_decref(json);
    direct_harness_stop(&harness);
}

/// Guards against a copy that shares state with the original: what is decided
/// on it must not change the decisions on later requests.
static void
test_copy_counts_nothing(void)
{
    struct manual_clock manual = {0};
    const struct clock clock = manual_clock_interface(&manual);
    struct random_seeded seeds[2] = {{1}, {1}};
    struct random_source random[2];
    struct admission *twins[2];
    struct admission_request request = {
        .service = STR_LITERAL("models"),
        .route = STR_LITERAL("chat"),
        .prompt_tokens = 100,
        .shed_share = 0.4,
    };

    for (size_t i = 0; i < 2; i++) {
        random[i] = random_seeded_interface(&seeds[i]);
        twins[i] = admission_new(&(struct admission_options){
            .clock = &clock, .random = &random[i]});
    }
    for (int i = 0; i < 300; i++) {
        struct admission_verdict verdicts[2], copied;
        struct random_seeded other = {7};
        struct random_source other_random = random_seeded_interface(&other);
        struct admission *copy =
            admission_copy(twins[0], &request, &other_random);

        request.account = i % 3 == 0 ? STR_LITERAL("a") : STR_LITERAL("b");
        manual.now_us += 7000;
        admission_decide(copy, &request, &copied);
        admission_free(copy);
        admission_decide(twins[0], &request, &verdicts[0]);
        admission_decide(twins[1], &request, &verdicts[1]);
        CU_ASSERT(verdicts[0].reason == verdicts[1].reason);
        CU_ASSERT(verdicts[0].refused_share == verdicts[1].refused_share);
        CU_ASSERT(verdicts[0].account_share == verdicts[1].account_share);
        CU_ASSERT(verdicts[0].wait_ms == verdicts[1].wait_ms);
        CU_ASSERT(copied.refused_share == verdicts[0].refused_share);
        CU_ASSERT(copied.wait_ms == verdicts[0].wait_ms);
    }
    admission_free(twins[0]);
    admission_free(twins[1]);
}

/// Guards against a wrong reason, and against a choice that is explained where
/// no endpoint takes requests.
static void
test_reasons(void)
{
    struct direct_harness harness;
    struct endpoint *endpoint[3];
    json_t *json;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1, .origins = 3});
    for (size_t i = 0; i < 3; i++) {
        static const char *const ids[] = {"e-0", "e-1", "e-2"};

        endpoint[i] = endpoints_find(direct_endpoints(harness.routers[0]),
                                     str_from(ids[i]));
    }
    endpoint_note_leaving(endpoint[0]);
    endpoint_note_retry_after(endpoint[1], clock_ms(&clock_monotonic), 20000);
    json = ask(&harness, QUERY, 200);
    CU_ASSERT(strcmp(out_of(json, "e-0"), "leaving") == 0);
    CU_ASSERT(strcmp(out_of(json, "e-1"), "held") == 0);
    CU_ASSERT(strcmp(out_of(json, "e-2"), "none") == 0);
    CU_ASSERT(strcmp(text_of(json, "chosen"), "e-2") == 0);
    json_decref(json);
    endpoint[2]->state = ENDPOINT_DRAINING;
    json = ask(&harness, QUERY, 200);
    CU_ASSERT(strcmp(out_of(json, "e-2"), "draining") == 0);
    CU_ASSERT(json_is_null(json_object_get(json, "chosen")));
    CU_ASSERT(strcmp(text_of(json, "refusal"), "no endpoint is usable") == 0);
    json_decref(json);
    direct_harness_stop(&harness);
}

struct answer {
    char text[16384];
    size_t len;
    bool ended;
};

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct answer *answer = ctx;
    int len = evbuffer_remove(data, answer->text + answer->len,
                              sizeof(answer->text) - 1 - answer->len);

    answer->len += len > 0 ? (size_t)len : 0;
}

static void
on_end(void *ctx, enum http_call_result end)
{
    struct answer *answer = ctx;

    answer->ended = end == HTTP_CALL_COMPLETE;
}

static bool
has_ended(void *ctx)
{
    return ((struct answer *)ctx)->ended;
}

/// Guards against an answer that is not served on the readiness address, and
/// against parameters that are not decoded.
static void
test_served_by_http(void)
{
    struct direct_harness harness;
    struct answer answer = {0};
    const struct http_call_options call = {
        .method = STR_LITERAL("GET"),
        .uri = STR_LITERAL("/explain?host=h.example&path=%2Flook%2F"
                           "&account=acme"),
        .body = STR_LITERAL(""),
        .data = on_data,
        .end = on_end,
        .ctx = &answer,
    };
    struct http_client *admin;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1, .origins = 1});
    admin = http_client_new(&(struct http_client_options){
        .base = harness.base,
        .address = direct_ready_address(harness.routers[0]),
        .header_bytes_max = 8192,
    });
    CU_ASSERT_FATAL(http_call(admin, &call) != NULL);
    CU_ASSERT(direct_harness_wait(&harness, has_ended, &answer, 2000));
    CU_ASSERT(strstr(answer.text, "\"route\":\"look\"") != NULL);
    CU_ASSERT(strstr(answer.text, "\"chosen\":\"e-0\"") != NULL);
    http_client_free(admin);
    direct_harness_stop(&harness);
}

/// Guards against answers for another request than the one asked for, and
/// against a key in an error message.
static void
test_errors(void)
{
    static const struct {
        const char *query;
        int status;
    } cases[] = {
        {"host=other.example&path=/look/", 404},
        {"host=h.example&path=/none", 404},
        {"host=h.example&path=/look/&account=key", 404},
        {"host=h.example&path=/look/", 400},
        {"host=h.example&path=/look/&api_key=key", 400},
        {"host=h.example&path=/look/&account=acme&prompt=a", 400},
        {"host=h.example&path=/look/&account=acme&deadline_ms=0", 400},
        {"path=/look/", 400},
    };
    struct direct_harness harness;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1, .origins = 1});
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        json_t *json = ask(&harness, cases[i].query, cases[i].status);

        CU_ASSERT(strlen(text_of(json, "error")) > 0);
        CU_ASSERT(strstr(text_of(json, "error"), "key") == NULL);
        json_decref(json);
    }
    direct_harness_stop(&harness);
}

void
suite_explain(void)
{
    CU_pSuite suite = CU_add_suite("explain", NULL, NULL);

    CU_add_test(suite, "next request goes there",
                test_next_request_goes_there);
    CU_add_test(suite, "reasons", test_reasons);
    CU_add_test(suite, "served by HTTP", test_served_by_http);
    CU_add_test(suite, "shedding", test_shedding);
    CU_add_test(suite, "copy counts nothing", test_copy_counts_nothing);
    CU_add_test(suite, "errors", test_errors);
}
