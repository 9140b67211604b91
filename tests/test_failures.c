#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>

#include "harness.h"
#include "suites.h"

static const struct harness_options default_options = {
    .engines = 2,
    .services = 2,
    .routers = 2,
    .slots = 16,
    .decode_us = 5000,
    .work_us = 1000,
};

static bool
run_has_started(void *ctx)
{
    struct harness *harness = ctx;

    return harness_agent_counter(harness, COUNTER_RUNS) > 0;
}

/// A link stops passing bytes, without a close, after `bytes` in one
/// direction. The response must still be complete, and the request must run
/// only once.
static void
check_link_blackhole(size_t bytes, bool from_target)
{
    struct harness_options options = default_options;
    struct harness harness;
    struct harness_call call;
    char *body = harness_chat_body("silent", 300, true);

    options.engines = 1;
    options.services = 0;
    options.routers = 1;
    options.relays = true;
    harness_start(&harness, &options);
    relay_blackhole_after(harness.relays[0], bytes, from_target);
    harness_call(&harness, 0, &call, "POST", "/v1/chat/completions", NULL,
                 body);
    CU_ASSERT(harness_wait(&harness, harness_call_ended, &call, 12000));
    CU_ASSERT(call.status == 200);
    CU_ASSERT(call.result == HTTP_CALL_COMPLETE);
    CU_ASSERT(harness_is_expected_response(&call, body, 300, true));
    CU_ASSERT(harness_agent_counter(&harness, COUNTER_RUNS) == 1);
    CU_ASSERT(relay_connections(harness.relays[0]) >= 2);
    harness_call_free(&call);
    free(body);
    harness_stop(&harness);
}

static void
test_link_blackhole_at_each_phase(void)
{
    // Byte counts within, towards the agent: hello, proof, offer; from the
    // agent: hello, proof, accept, head, data.
    static const size_t to_agent[] = {10, 90, 130, 200, 300};
    static const size_t from_agent[] = {10, 90, 150, 250, 400, 2000, 9000};

    for (size_t i = 0; i < sizeof(to_agent) / sizeof(to_agent[0]); i++) {
        check_link_blackhole(to_agent[i], false);
    }
    for (size_t i = 0; i < sizeof(from_agent) / sizeof(from_agent[0]); i++) {
        check_link_blackhole(from_agent[i], true);
    }
}

static void
test_idle_blackholed_link_is_not_used(void)
{
    struct harness_options options = default_options;
    struct harness harness;
    struct harness_call call;

    options.engines = 0;
    options.services = 1;
    options.routers = 1;
    options.relays = true;
    harness_start(&harness, &options);
    harness_call_and_wait(&harness, 0, &call, "POST", "/orders", NULL, "{}");
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    relay_blackhole(harness.relays[0]);
    harness_run_for(&harness, 1200);
    harness_call_and_wait(&harness, 0, &call, "POST", "/orders", NULL, "{}");
    CU_ASSERT(call.status == 200);
    CU_ASSERT(service_runs(harness.services[0]) == 2);
    harness_call_free(&call);
    harness_stop(&harness);
}

static void
test_agent_crash_yields_unknown_outcome(void)
{
    struct harness_options options = default_options;
    struct harness harness;
    struct harness_call call;

    options.engines = 0;
    options.services = 1;
    options.work_us = 500000;
    harness_start(&harness, &options);
    harness_call(&harness, 0, &call, "POST", "/orders", NULL, "{}");
    CU_ASSERT(harness_wait(&harness, run_has_started, &harness, 3000));
    harness_run_for(&harness, 50);
    harness_crash_agent(&harness, 0);
    harness_start_agent(&harness, 0);
    CU_ASSERT(harness_wait(&harness, harness_call_ended, &call, 10000));
    CU_ASSERT(call.status == 502);
    CU_ASSERT(!strcmp(call.outcome, "unknown"));
    CU_ASSERT(service_runs(harness.services[0]) == 1);
    harness_call_free(&call);
    harness_stop(&harness);
}

static void
test_agent_crash_keeps_claims(void)
{
    struct harness_options options = default_options;
    struct harness harness;
    struct harness_call call;

    options.engines = 0;
    options.services = 1;
    harness_start(&harness, &options);
    harness_call_and_wait(&harness, 0, &call, "POST", "/keyed", "k", "{}");
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    harness_run_for(&harness, 100);
    harness_crash_agent(&harness, 0);
    harness_start_agent(&harness, 0);
    harness_run_for(&harness, 1500);
    harness_call_and_wait(&harness, 1, &call, "POST", "/keyed", "k", "{}");
    CU_ASSERT(call.status == 200);
    CU_ASSERT(!strcmp(call.replayed, "true"));
    CU_ASSERT(service_runs(harness.services[0]) == 1);
    harness_call_free(&call);
    harness_stop(&harness);
}

static void
test_lost_response_to_keyed_request(void)
{
    struct harness harness;
    struct harness_call call;

    harness_start(&harness, &default_options);
    service_set_lose_answers(harness.services[0], true);
    service_set_lose_answers(harness.services[1], true);
    harness_call_and_wait(&harness, 0, &call, "POST", "/keyed", "k", "{}");
    CU_ASSERT(call.status == 502);
    CU_ASSERT(!strcmp(call.outcome, "unknown"));
    harness_call_free(&call);
    service_set_lose_answers(harness.services[0], false);
    service_set_lose_answers(harness.services[1], false);
    harness_run_for(&harness, 1000);
    harness_call_and_wait(&harness, 1, &call, "POST", "/keyed", "k", "{}");
    CU_ASSERT(!strcmp(call.outcome, "unknown"));
    CU_ASSERT(service_runs_of_key(harness.services[0], "k") +
                  service_runs_of_key(harness.services[1], "k") ==
              1);
    harness_call_free(&call);
    harness_stop(&harness);
}

static void
test_keyed_requests_refused_while_log_is_down(void)
{
    struct harness harness;
    struct harness_call call;

    harness_start(&harness, &default_options);
    platform_log_set_fault(harness.log, PLATFORM_LOG_REFUSE);
    harness_call_and_wait(&harness, 0, &call, "POST", "/keyed", "k", "{}");
    CU_ASSERT(call.status == 503);
    CU_ASSERT(!strcmp(call.outcome, "not-run"));
    harness_call_free(&call);
    harness_call_and_wait(&harness, 0, &call, "POST", "/orders", NULL, "{}");
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    CU_ASSERT(service_runs_of_key(harness.services[0], "k") == 0);
    CU_ASSERT(service_runs_of_key(harness.services[1], "k") == 0);
    platform_log_set_fault(harness.log, PLATFORM_LOG_OK);
    harness_run_for(&harness, 500);
    harness_call_and_wait(&harness, 0, &call, "POST", "/keyed", "k", "{}");
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    harness_stop(&harness);
}

static bool
third_router_is_ready(void *ctx)
{
    return router_is_ready(((struct harness *)ctx)->routers[2]);
}

static void
test_router_starts_while_log_is_down(void)
{
    struct harness harness;
    struct harness_call call;

    harness_start(&harness, &default_options);
    platform_log_set_fault(harness.log, PLATFORM_LOG_REFUSE);
    harness_run_for(&harness, 500);
    harness_add_router(&harness);
    CU_ASSERT(!third_router_is_ready(&harness));
    harness_publish_vms(&harness, NULL);
    // Time limit for a configuration to be applied without the log.
    CU_ASSERT(harness_wait(&harness, third_router_is_ready, &harness, 13000));
    harness_call_and_wait(&harness, 2, &call, "POST", "/orders", NULL, "{}");
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    harness_stop(&harness);
}

static void
test_lost_append_response_runs_once(void)
{
    struct harness harness;
    struct harness_call call;

    harness_start(&harness, &default_options);
    platform_log_set_fault(harness.log, PLATFORM_LOG_LOSE_ANSWER);
    harness_call_and_wait(&harness, 0, &call, "POST", "/keyed", "k", "{}");
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    CU_ASSERT(service_runs_of_key(harness.services[0], "k") +
                  service_runs_of_key(harness.services[1], "k") ==
              1);
    harness_stop(&harness);
}

static void
test_crashing_request_is_quarantined(void)
{
    struct harness_options options = default_options;
    struct harness harness;
    struct harness_call call;
    uint64_t crashes = 0;
    char *good = harness_chat_body("good", 3, false);
    const char *bad = "{\"model\":\"test-model\",\"messages\":[{\"role\":"
                      "\"user\",\"content\":\"please-crash\"}]}";

    options.engines = 4;
    harness_start(&harness, &options);
    for (size_t i = 0; i < 10; i++) {
        harness_call_and_wait(&harness, i % 2, &call, "POST",
                              "/v1/chat/completions", NULL, bad);
        CU_ASSERT(call.status != 200);
        harness_call_free(&call);
        harness_run_for(&harness, 100);
    }
    for (size_t i = 0; i < options.engines; i++) {
        crashes += engine_ledger(harness.engines[i])->crashes;
    }
    CU_ASSERT(crashes >= 1);
    // Quarantine takes two crashes; one more may occur while the strikes are
    // being sent to the other router.
    CU_ASSERT(crashes <= 3);
    harness_run_for(&harness, 1000);
    harness_call_and_wait(&harness, 0, &call, "POST", "/v1/chat/completions",
                          NULL, good);
    CU_ASSERT(call.status == 200);
    harness_call_free(&call);
    free(good);
    harness_stop(&harness);
}

static void
test_hung_engine_gets_no_requests(void)
{
    struct harness harness;
    struct harness_call call;
    char *body = harness_chat_body("hung", 3, false);
    size_t hung = 0;

    harness_start(&harness, &default_options);
    harness_call_and_wait(&harness, 0, &call, "POST", "/v1/chat/completions",
                          NULL, body);
    hung = (size_t)(call.hint[strlen(call.hint) - 1] - '0');
    harness_call_free(&call);
    engine_set_fault(harness.engines[hung], ENGINE_HANG);
    // The first call waits for its first-byte time-out and is then retried on
    // another engine if the retry budget allows it; later calls are sent to
    // another engine at once.
    harness_call_and_wait(&harness, 0, &call, "POST", "/v1/chat/completions",
                          NULL, body);
    harness_call_free(&call);
    harness_run_for(&harness, 1500);
    harness_call_and_wait(&harness, 0, &call, "POST", "/v1/chat/completions",
                          NULL, body);
    CU_ASSERT(call.status == 200);
    CU_ASSERT((size_t)(call.hint[strlen(call.hint) - 1] - '0') != hung);
    harness_call_free(&call);
    engine_set_fault(harness.engines[hung], ENGINE_OK);
    free(body);
    harness_stop(&harness);
}

static void
test_peer_without_shared_key(void)
{
    struct harness harness;
    struct harness_call call;
    struct address address;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    const char garbage[] = "\xff\xff\xff\xff garbage";

    harness_start(&harness, &default_options);
    address = agent_links_address(harness.agents[0]);
    CU_ASSERT(connect(fd, (struct sockaddr *)&address.storage, address.len) ==
              0);
    CU_ASSERT(send(fd, garbage, sizeof(garbage), 0) ==
              (ssize_t)sizeof(garbage));
    harness_run_for(&harness, 200);
    CU_ASSERT(harness_agent_counter(&harness, COUNTER_LINK_BAD_FRAMES) == 1);
    close(fd);
    memset(harness.agent_settings[2].common.keys.keys[0], 8, LINK_KEY_BYTES);
    memset(harness.agent_settings[3].common.keys.keys[0], 8, LINK_KEY_BYTES);
    harness_call_and_wait(&harness, 0, &call, "POST", "/orders", NULL, "{}");
    CU_ASSERT(call.status == 503);
    CU_ASSERT(!strcmp(call.outcome, "not-run"));
    CU_ASSERT(harness_agent_counter(&harness, COUNTER_LINK_AUTH_FAILED) +
                  harness_router_counter(&harness, COUNTER_LINK_AUTH_FAILED) >
              0);
    harness_call_free(&call);
    harness_stop(&harness);
}

void
suite_failures(void)
{
    CU_pSuite suite = CU_add_suite("failures", NULL, NULL);

    CU_add_test(suite, "link blackhole at each phase",
                test_link_blackhole_at_each_phase);
    CU_add_test(suite, "idle blackholed link is not used",
                test_idle_blackholed_link_is_not_used);
    CU_add_test(suite, "agent crash yields unknown outcome",
                test_agent_crash_yields_unknown_outcome);
    CU_add_test(suite, "agent crash keeps claims",
                test_agent_crash_keeps_claims);
    CU_add_test(suite, "lost response to a keyed request",
                test_lost_response_to_keyed_request);
    CU_add_test(suite, "keyed requests are refused while the log is down",
                test_keyed_requests_refused_while_log_is_down);
    CU_add_test(suite, "router starts while the log is down",
                test_router_starts_while_log_is_down);
    CU_add_test(suite, "lost append response runs once",
                test_lost_append_response_runs_once);
    CU_add_test(suite, "crashing request is quarantined",
                test_crashing_request_is_quarantined);
    CU_add_test(suite, "hung engine gets no requests",
                test_hung_engine_gets_no_requests);
    CU_add_test(suite, "peer without the shared key",
                test_peer_without_shared_key);
}
