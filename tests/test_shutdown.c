#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "harness.h"
#include "suites.h"

#define STREAMS 200
#define TOKENS 100

static struct harness_call calls[STREAMS];
static char *bodies[STREAMS];

static bool
all_ended(void *ctx)
{
    (void)ctx;
    for (size_t i = 0; i < STREAMS; i++) {
        if (!calls[i].ended) {
            return false;
        }
    }
    return true;
}

static bool
all_started(void *ctx)
{
    (void)ctx;
    for (size_t i = 0; i < STREAMS; i++) {
        if (calls[i].status == 0) {
            return false;
        }
    }
    return true;
}

static void
start_streams(struct harness *harness)
{
    char name[16];

    for (size_t i = 0; i < STREAMS; i++) {
        snprintf(name, sizeof(name), "chat-%zu", i);
        bodies[i] = harness_chat_body(name, TOKENS, true);
        harness_call(harness, 0, &calls[i], "POST", "/v1/chat/completions",
                     NULL, bodies[i]);
    }
    CU_ASSERT(harness_wait(harness, all_started, NULL, 15000));
}

static void
check_streams(void)
{
    for (size_t i = 0; i < STREAMS; i++) {
        CU_ASSERT(calls[i].status == 200);
        CU_ASSERT(calls[i].result == HTTP_CALL_COMPLETE);
        CU_ASSERT(
            harness_is_expected_response(&calls[i], bodies[i], TOKENS, true));
        harness_call_free(&calls[i]);
        free(bodies[i]);
    }
}

static const struct harness_options default_options = {
    .engines = 4,
    .routers = 2,
    .slots = 64,
    .decode_us = 20000,
};

static bool
router_is_drained(void *ctx)
{
    return ((struct harness *)ctx)->router_drained[0];
}

static bool
agent_is_drained(void *ctx)
{
    return ((struct harness *)ctx)->agent_drained[0];
}

static void
test_router_drain_completes_streams(void)
{
    struct harness harness;

    harness_start(&harness, &default_options);
    start_streams(&harness);
    router_drain(harness.routers[0]);
    CU_ASSERT(!harness.router_drained[0]);
    CU_ASSERT(harness_wait(&harness, all_ended, NULL, 20000));
    CU_ASSERT(harness_wait(&harness, router_is_drained, &harness, 5000));
    check_streams();
    harness_stop(&harness);
}

static void
test_agent_drain_completes_streams(void)
{
    struct harness harness;
    struct harness_call call;
    char *body = harness_chat_body("new", 3, false);
    uint64_t runs;

    harness_start(&harness, &default_options);
    start_streams(&harness);
    agent_drain(harness.agents[0]);
    runs = counter_get(agent_counters(harness.agents[0]), COUNTER_RUNS);
    for (int i = 0; i < 10; i++) {
        harness_call_and_wait(&harness, 1, &call, "POST",
                              "/v1/chat/completions", NULL, body);
        CU_ASSERT(call.status == 200);
        CU_ASSERT(strcmp(call.hint, "models-0") != 0);
        harness_call_free(&call);
    }
    CU_ASSERT(harness_wait(&harness, all_ended, NULL, 20000));
    CU_ASSERT(harness_wait(&harness, agent_is_drained, &harness, 5000));
    CU_ASSERT(counter_get(agent_counters(harness.agents[0]), COUNTER_RUNS) ==
              runs);
    check_streams();
    free(body);
    harness_stop(&harness);
}

static void
test_leaving_vm_gets_no_requests(void)
{
    struct harness harness;
    struct harness_call call;
    char *body = harness_chat_body("one", 2, false);

    harness_start(&harness, &default_options);
    harness_publish_vms(&harness, "models-1");
    harness_run_for(&harness, 3000);
    for (int i = 0; i < 20; i++) {
        harness_call_and_wait(&harness, i % 2, &call, "POST",
                              "/v1/chat/completions", NULL, body);
        CU_ASSERT(call.status == 200);
        CU_ASSERT(strcmp(call.hint, "models-1") != 0);
        harness_call_free(&call);
    }
    free(body);
    harness_stop(&harness);
}

static void
test_endpoints_drained_by_configuration(void)
{
    struct harness_options options = default_options;
    struct harness harness;
    struct harness_call call;
    char *body = harness_chat_body("one", 2, false);

    options.publish_vms_late = true;
    options.document =
        "[[pool]]\nname = \"models\"\nkind = \"model\"\n"
        "[pool.placement]\nmodels = [\"test-model\"]\n"
        "[[route]]\nname = \"chat\"\npath = \"/v1/chat/completions\"\n"
        "pool = \"models\"\nrepeatable = true\n"
        "[drain]\nendpoints = [\"models-0\", \"models-2\", \"models-3\"]\n";
    options.decode_us = 1000;
    harness_start(&harness, &options);
    for (int i = 0; i < 20; i++) {
        harness_call_and_wait(&harness, i % 2, &call, "POST",
                              "/v1/chat/completions", NULL, body);
        CU_ASSERT(call.status == 200);
        harness_call_free(&call);
    }
    CU_ASSERT(counter_get(agent_counters(harness.agents[1]), COUNTER_RUNS) ==
              20);
    free(body);
    harness_stop(&harness);
}

void
suite_shutdown(void)
{
    CU_pSuite suite = CU_add_suite("shutdown", NULL, NULL);

    CU_add_test(suite, "router drain completes streams",
                test_router_drain_completes_streams);
    CU_add_test(suite, "agent drain completes streams",
                test_agent_drain_completes_streams);
    CU_add_test(suite, "leaving VM gets no requests",
                test_leaving_vm_gets_no_requests);
    CU_add_test(suite, "endpoints drained by configuration",
                test_endpoints_drained_by_configuration);
}
