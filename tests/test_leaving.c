/// Endpoints that state in their answers that they leave, or that they take no
/// requests for a time.
#include <stdio.h>
#include <stdlib.h>

#include <CUnit/CUnit.h>

#include "direct_harness.h"
#include "suites.h"

static void
start(struct direct_harness *harness, size_t origins)
{
    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = 1,
                                      .origins = origins,
                                      .events = 8,
                                      .work_us = 3000,
                                  });
}

/// An endpoint whose answers state that it leaves gets no request afterwards,
/// though its entry says that it is ready: plain answers, refusals and the
/// heads of streams.
static void
test_leaving_endpoint(void)
{
    static const struct {
        const char *path;
        enum origin_fault fault;
    } cases[] = {
        {"/look/", ORIGIN_OK},
        {"/look/", ORIGIN_SHEDS},
        {"/look/", ORIGIN_FAILS},
        {"/stream/draft/", ORIGIN_OK},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct direct_harness harness;

        start(&harness, 2);
        origin_set_fault(harness.origins[0], cases[i].fault);
        origin_set_leaving(harness.origins[0]);
        for (int j = 0; j < 60; j++) {
            struct direct_call call = {0};
            char id[16];

            snprintf(id, sizeof(id), "id-%d", j);
            direct_call_do(&harness, 0, &call, "POST", cases[i].path, id, NULL,
                           "x");
            CU_ASSERT(call.status == 200);
            direct_call_free(&call);
            if (j == 30) {
                // A later record of the same incarnation does not undo it.
                direct_harness_put_entry(&harness, "e-0", harness.origins[0],
                                         "models", "ready");
                direct_harness_run(&harness, 200);
            }
        }
        CU_ASSERT(origin_requests(harness.origins[0]) == 1);
        direct_harness_stop(&harness);
    }
}

/// The only endpoint of a service leaves: requests are refused at once, and
/// its next incarnation gets them.
static void
test_leaving_ends_with_incarnation(void)
{
    static const int statuses[] = {200, 503, 200};
    struct direct_harness harness;

    start(&harness, 1);
    origin_set_leaving(harness.origins[0]);
    for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
        struct direct_call call = {0};
        char id[16];

        snprintf(id, sizeof(id), "id-%zu", i);
        if (i == 2) {
            direct_harness_put_restarted(&harness, "e-0", harness.origins[0]);
            direct_harness_run(&harness, 200);
        }
        direct_call_do(&harness, 0, &call, "GET", "/look/", id, NULL, NULL);
        CU_ASSERT(call.status == statuses[i]);
        CU_ASSERT((call.status == 503) == (call.retry_after[0] != '\0'));
        direct_call_free(&call);
    }
    CU_ASSERT(origin_requests(harness.origins[0]) == 2);
    direct_harness_stop(&harness);
}

/// Writes the entry of endpoint 0 as of the process that was born then.
static void
put_born(struct direct_harness *harness, int64_t born_ms)
{
    direct_entry_put(harness->store,
                     &(struct direct_entry){
                         .id = "e-0",
                         .service = "models",
                         .address = origin_address(harness->origins[0]),
                         .born_ms = born_ms,
                     });
    direct_harness_run(harness, 200);
}

static void
remove_entry(struct direct_harness *harness)
{
    direct_harness_put_entry(harness, "e-0", harness->origins[0], "models",
                             NULL);
    direct_harness_run(harness, 200);
}

static void
expect_statuses(struct direct_harness *harness, const char *path, int count,
                int status)
{
    for (int i = 0; i < count; i++) {
        struct direct_call call = {0};
        char id[24];

        snprintf(id, sizeof(id), "id-%d", i);
        direct_call_do(harness, 0, &call, "POST", path, id, NULL, "x");
        CU_ASSERT(call.status == status);
        direct_call_free(&call);
    }
}

/// An endpoint that turns a request away for a time gets no other one before
/// its end; the other endpoint serves all.
static void
test_endpoint_turns_requests_away(void)
{
    struct direct_harness harness;

    start(&harness, 2);
    origin_set_fault(harness.origins[0], ORIGIN_SHEDS);
    origin_set_rejection_fields(harness.origins[0], "Retry-After: 60\r\n");
    expect_statuses(&harness, "/look/", 60, 200);
    CU_ASSERT(origin_requests(harness.origins[0]) == 1);
    direct_harness_stop(&harness);
    start(&harness, 2);
    origin_set_fault(harness.origins[0], ORIGIN_SHEDS);
    origin_set_rejection_fields(harness.origins[0], "Retry-After: 0.1\r\n");
    expect_statuses(&harness, "/look/", 60, 200);
    direct_harness_run(&harness, 150);
    origin_set_fault(harness.origins[0], ORIGIN_OK);
    expect_statuses(&harness, "/look/", 60, 200);
    CU_ASSERT(origin_runs(harness.origins[0]) > 0);
    direct_harness_stop(&harness);
}

/// The only endpoint of a service turns requests away: others are refused at
/// once, until when it takes them again.
static void
test_all_endpoints_turn_requests_away(void)
{
    struct direct_harness harness;
    struct direct_call call = {0};

    start(&harness, 2);
    origin_set_fault(harness.orders, ORIGIN_SHEDS);
    origin_set_rejection_fields(harness.orders, "Retry-After: 60\r\n");
    expect_statuses(&harness, "/book/", 3, 503);
    CU_ASSERT(origin_requests(harness.orders) == 1);
    direct_call_do(&harness, 0, &call, "POST", "/book/", "id-9", NULL, "x");
    CU_ASSERT(call.status == 503 && atof(call.retry_after) > 30);
    direct_call_free(&call);
    direct_harness_stop(&harness);
}

/// A time that is none, or too long, holds nothing.
static void
test_invalid_retry_after(void)
{
    static const char *const fields[] = {
        "Retry-After: soon\r\n",
        "Retry-After: -1\r\n",
        "Retry-After: 1e9\r\n",
        "Retry-After: 99999999999999\r\n",
        "Retry-After: 1.2.3\r\n",
        "Retry-After: .\r\n",
        "Retry-After: 4000\r\n",
        "Retry-After:\r\n",
        "Retry-After: 2\r\nRetry-After: 3\r\n",
    };
    struct direct_harness harness;

    start(&harness, 2);
    origin_set_fault(harness.orders, ORIGIN_SHEDS);
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
        origin_set_rejection_fields(harness.orders, fields[i]);
        expect_statuses(&harness, "/book/", 1, 503);
        CU_ASSERT(origin_requests(harness.orders) == i + 1);
    }
    direct_harness_stop(&harness);
}

/// The store executed the write of an entry late, after the entry had been
/// removed: the leaving endpoint was used again, and what it had been sent was
/// lost at its end.
static void
test_late_entry_of_leaving_endpoint(void)
{
    struct direct_harness harness;
    uint64_t before;

    start(&harness, 2);
    origin_set_leaving(harness.origins[0]);
    expect_statuses(&harness, "/look/", 20, 200);
    CU_ASSERT(origin_requests(harness.origins[0]) == 1);
    remove_entry(&harness);
    put_born(&harness, 1);
    expect_statuses(&harness, "/look/", 30, 200);
    CU_ASSERT(origin_requests(harness.origins[0]) == 1);
    // The next process of the endpoint is used.
    put_born(&harness, 2);
    expect_statuses(&harness, "/look/", 30, 200);
    before = origin_requests(harness.origins[0]);
    CU_ASSERT(before == 2);
    // An entry of the first process that arrives now changes nothing.
    put_born(&harness, 1);
    expect_statuses(&harness, "/look/", 30, 200);
    CU_ASSERT(origin_requests(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

static void
put_state(struct direct_harness *harness, const char *state, int64_t sequence)
{
    direct_entry_put(harness->store,
                     &(struct direct_entry){
                         .id = "e-0",
                         .service = "models",
                         .address = origin_address(harness->origins[0]),
                         .state = state,
                         .born_ms = 1,
                         .sequence = sequence,
                     });
    direct_harness_run(harness, 200);
}

/// The store executed the write of a ready entry late, after the one that says
/// that the endpoint drains, or after the removal of that: it was used again.
static void
test_late_entry_of_draining_endpoint(void)
{
    for (int removed = 0; removed < 2; removed++) {
        struct direct_harness harness;

        start(&harness, 2);
        put_state(&harness, "draining", 7);
        if (removed == 1) {
            remove_entry(&harness);
        }
        put_state(&harness, "ready", 6);
        expect_statuses(&harness, "/look/", 30, 200);
        CU_ASSERT(origin_requests(harness.origins[0]) == 0);
        // It drains no more.
        put_state(&harness, "ready", 8);
        expect_statuses(&harness, "/look/", 30, 200);
        CU_ASSERT(origin_requests(harness.origins[0]) > 0);
        direct_harness_stop(&harness);
    }
}

/// The answer that states the leaving arrives after the entry was removed, and
/// the late entry behind it.
static void
test_leaving_stated_after_removal(void)
{
    struct direct_harness harness;
    struct direct_call calls[4] = {0};
    uint64_t before;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1,
                                       .origins = 2,
                                       .work_us = 300000,
                                   });
    origin_set_leaving(harness.origins[0]);
    for (size_t i = 0; i < 4; i++) {
        char id[16];

        snprintf(id, sizeof(id), "id-%zu", i);
        direct_call_start(&harness, 0, &calls[i], "GET", "/look/", id, NULL,
                          NULL);
    }
    direct_harness_run(&harness, 50);
    before = origin_requests(harness.origins[0]);
    CU_ASSERT(before > 0);
    remove_entry(&harness);
    for (size_t i = 0; i < 4; i++) {
        CU_ASSERT(
            direct_harness_wait(&harness, direct_call_ended, &calls[i], 3000));
        direct_call_free(&calls[i]);
    }
    put_born(&harness, 1);
    origin_set_work(harness.origins[0], 3000);
    origin_set_work(harness.origins[1], 3000);
    expect_statuses(&harness, "/look/", 30, 200);
    CU_ASSERT(origin_requests(harness.origins[0]) == before);
    direct_harness_stop(&harness);
}

/// The entry of an endpoint that turns requests away lapses and returns: the
/// time that it has stated went with the entry.
static void
test_hold_outlasts_entry(void)
{
    struct direct_harness harness;

    start(&harness, 2);
    origin_set_fault(harness.origins[0], ORIGIN_SHEDS);
    origin_set_rejection_fields(harness.origins[0], "Retry-After: 60\r\n");
    expect_statuses(&harness, "/look/", 20, 200);
    CU_ASSERT(origin_requests(harness.origins[0]) == 1);
    remove_entry(&harness);
    put_born(&harness, 1);
    expect_statuses(&harness, "/look/", 30, 200);
    CU_ASSERT(origin_requests(harness.origins[0]) == 1);
    direct_harness_stop(&harness);
}

void
suite_leaving(void)
{
    CU_pSuite suite = CU_add_suite("leaving", NULL, NULL);

    CU_add_test(suite, "leaving endpoint", test_leaving_endpoint);
    CU_add_test(suite, "leaving ends with the incarnation",
                test_leaving_ends_with_incarnation);
    CU_add_test(suite, "late entry of leaving endpoint",
                test_late_entry_of_leaving_endpoint);
    CU_add_test(suite, "late entry of draining endpoint",
                test_late_entry_of_draining_endpoint);
    CU_add_test(suite, "leaving stated after removal",
                test_leaving_stated_after_removal);
    CU_add_test(suite, "hold outlasts the entry", test_hold_outlasts_entry);
    CU_add_test(suite, "endpoint turns requests away",
                test_endpoint_turns_requests_away);
    CU_add_test(suite, "all endpoints turn requests away",
                test_all_endpoints_turn_requests_away);
    CU_add_test(suite, "invalid Retry-After", test_invalid_retry_after);
}
