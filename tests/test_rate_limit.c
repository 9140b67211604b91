/// Endpoints that state in their answers how many requests a second they take
/// from all routers: the decisions of core/rate_limit.c in simulated time, and
/// what several routers send together.
#include <stdio.h>
#include <stdlib.h>

#include <CUnit/CUnit.h>

#include "core/rate_limit.h"
#include "dandelionvalve/message.h"
#include "direct/direct_state.h"
#include "direct/endpoints.h"
#include "direct/rate_limits.h"
#include "direct_harness.h"
#include "sliding.h"
#include "suites.h"

#define RATE_PER_S 2
#define RATE_FIELD "Server-Limit: 2\r\n"
/// What an endpoint takes in any 4 s: 1.5 times its rate, and 5 requests.
#define WINDOW_MS 4000
#define BOUND (WINDOW_MS / 1000 * RATE_PER_S * 3 / 2 + 5)
/// Time from the first statement in which routers may learn of it.
#define LEARN_MS 3000
#define SETTLE_MS 400

#define ROUTERS_MAX 103
#define BEGIN_MS 50000

/// `count` routers of rank 0 and following, each of which counts `routers`,
/// send whenever they may. With `answers`, an answer confirms the rate each
/// second.
static void
run_routers(double per_s, size_t routers, size_t count, bool answers,
            int64_t ms, struct sliding *sends)
{
    static struct rate_limit limits[ROUTERS_MAX];

    sliding_reset(sends, WINDOW_MS);
    for (size_t i = 0; i < count; i++) {
        limits[i] = (struct rate_limit){0};
        rate_limit_answered(
            &limits[i], &(struct rate_limit_statement){true, per_s, BEGIN_MS,
                                                       BEGIN_MS - 50});
    }
    for (int64_t now_ms = BEGIN_MS; now_ms < BEGIN_MS + ms; now_ms += 5) {
        for (size_t i = 0; i < count; i++) {
            const struct rate_limit_place place = {i, routers, 0};

            if (answers && now_ms % 1000 == 0) {
                rate_limit_answered(&limits[i],
                                    &(struct rate_limit_statement){
                                        true, per_s, now_ms, now_ms - 50});
            }
            if (rate_limit_wait_ms(&limits[i], &place, now_ms) == 0) {
                rate_limit_take(&limits[i], now_ms);
                sliding_add(sends, now_ms);
            }
        }
    }
}

/// Routers with more work than they may send use most of the rate and stay
/// within the bound, whether one has all the traffic or more than a hundred
/// have: up to three tenths of the rate are left for routers that do not know
/// of the others. Two of these more than planned stay within the bound.
static void
test_sum_of_routers(void)
{
    static const double rates[] = {0.5, 1, 1.2, 2, 5.1, 40};
    static const size_t routers[] = {1, 4, 31, ROUTERS_MAX};
    static struct sliding sends;

    for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
        for (size_t j = 0; j < sizeof(routers) / sizeof(routers[0]); j++) {
            double bound = rates[i] * 6 + 5;
            struct rate_limit limit = {.holds = true, .per_s = rates[i]};
            size_t senders = rate_limit_plan(&limit, routers[j]).senders;

            run_routers(rates[i], routers[j], routers[j], true, 60000, &sends);
            CU_ASSERT((double)sends.most <= bound);
            // Each sender begins one interval after the statement.
            CU_ASSERT((double)(sends.count + senders) >= 0.7 * 60 * rates[i]);
            run_routers(rates[i], senders + 2, senders + 2, true, 60000,
                        &sends);
            CU_ASSERT((double)sends.most <= bound);
        }
    }
}

/// Zero is a rate: the endpoint still gets a request now and then, since only
/// an answer can end it.
static void
test_rate_of_zero(void)
{
    static struct sliding sends;

    run_routers(0, 31, 31, true, 120000, &sends);
    CU_ASSERT(sends.count >= 2 && sends.count <= 13);
    CU_ASSERT(sends.most <= 5);
}

/// No router has got an answer for a while: those that are no senders try the
/// endpoint in turn, and no crowd of them at once.
static void
test_routers_take_turns_without_answers(void)
{
    static struct sliding sends;
    struct rate_limit limit = {0};
    const struct rate_limit_place last = {30, 31, 0};

    run_routers(1, 31, 31, false, 120000, &sends);
    CU_ASSERT(sends.most <= 11);
    rate_limit_answered(
        &limit, &(struct rate_limit_statement){true, 1, BEGIN_MS, BEGIN_MS});
    CU_ASSERT(
        rate_limit_wait_ms(&limit, &last, BEGIN_MS + RATE_LIMIT_STALE_MS) > 0);
    CU_ASSERT(rate_limit_wait_ms(&limit, &last,
                                 BEGIN_MS + RATE_LIMIT_STALE_MS +
                                     30 * RATE_LIMIT_TRY_MS) == 0);
    rate_limit_take(&limit,
                    BEGIN_MS + RATE_LIMIT_STALE_MS + 30 * RATE_LIMIT_TRY_MS);
    CU_ASSERT(rate_limit_wait_ms(&limit, &last,
                                 BEGIN_MS + RATE_LIMIT_STALE_MS +
                                     60 * RATE_LIMIT_TRY_MS) > 0);
}

/// An answer that was on its way when a rate was stated neither ends nor
/// raises it; one that lowers it applies at once.
static void
test_answers_overtake_each_other(void)
{
    struct rate_limit limit = {0};

    CU_ASSERT(rate_limit_answered(
                  &limit, &(struct rate_limit_statement){
                              true, 2, 1000, 900}) == RATE_LIMIT_BEGUN);
    CU_ASSERT(rate_limit_answered(
                  &limit, &(struct rate_limit_statement){
                              false, 0, 1050, 950}) == RATE_LIMIT_UNCHANGED);
    CU_ASSERT(rate_limit_answered(
                  &limit, &(struct rate_limit_statement){
                              true, 3, 1060, 960}) == RATE_LIMIT_UNCHANGED);
    CU_ASSERT(limit.holds && limit.per_s == 2);
    CU_ASSERT(rate_limit_answered(
                  &limit, &(struct rate_limit_statement){
                              true, 1, 1070, 960}) == RATE_LIMIT_CHANGED);
    CU_ASSERT(limit.per_s == 1);
    CU_ASSERT(rate_limit_answered(
                  &limit, &(struct rate_limit_statement){
                              true, 4, 1200, 1080}) == RATE_LIMIT_CHANGED);
    CU_ASSERT(rate_limit_answered(
                  &limit, &(struct rate_limit_statement){
                              false, 0, 1400, 1300}) == RATE_LIMIT_ENDED);
    CU_ASSERT(!limit.holds);
}

/// The newest answer of all routers applies. Beyond a full mesh, a report is
/// passed on once; a rate that goes on is reported at intervals only.
static void
test_reports_of_peers(void)
{
    struct rate_limit limit = {0};
    const struct rate_limit_statement stated = {true, 2, 1000, 0};
    const struct rate_limit_statement later = {true, 2, 3000, 0};
    const struct rate_limit_statement ended = {false, 0, 4000, 0};

    CU_ASSERT(!rate_limit_is_known(&limit, 1000));
    CU_ASSERT(rate_limit_reported(&limit, 1100, &stated, true) ==
              RATE_LIMIT_BEGUN);
    CU_ASSERT(rate_limit_take_report(&limit, 1100));
    CU_ASSERT(!rate_limit_take_report(&limit, 1100));
    CU_ASSERT(rate_limit_reported(&limit, 3100, &later, true) ==
              RATE_LIMIT_UNCHANGED);
    CU_ASSERT(!rate_limit_take_report(&limit, 3100));
    CU_ASSERT(rate_limit_reported(&limit, 4100, &ended, false) ==
              RATE_LIMIT_ENDED);
    CU_ASSERT(!rate_limit_take_report(&limit, 4100));
    CU_ASSERT(rate_limit_reported(&limit, 4200, &later, true) ==
              RATE_LIMIT_UNCHANGED);
    CU_ASSERT(!limit.holds);
    CU_ASSERT(rate_limit_is_known(&limit, 5000));
    CU_ASSERT(!rate_limit_is_known(&limit, 4000 + RATE_LIMIT_ENDED_MS));
}

static void
start(struct direct_harness *harness, size_t routers, size_t origins)
{
    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = routers,
                                      .origins = origins,
                                      .events = 2,
                                      .work_us = 1000,
                                  });
    for (size_t i = 0; i < routers; i++) {
        direct_harness_stop_router(harness, i);
        harness->settings[i].settle_ms = SETTLE_MS;
    }
    for (size_t i = 0; i < routers; i++) {
        direct_harness_start_router(harness, i);
    }
    direct_harness_run(harness, 2000);
}

/// The highest number of requests that endpoint 0 receives in a window of the
/// bound.
static size_t
most_in_a_window(struct direct_harness *harness, int64_t ms)
{
    return direct_most_received(harness, harness->options.routers, WINDOW_MS,
                                2, ms);
}

/// Four routers send an endpoint more in 4 s than it states that it takes from
/// all of them, while another endpoint has room.
static void
test_stated_rate_exceeded_by_the_fleet(void)
{
    struct direct_harness harness;
    uint64_t most;

    start(&harness, 4, 2);
    origin_set_fields(harness.origins[0], RATE_FIELD);
    most_in_a_window(&harness, LEARN_MS);
    most = most_in_a_window(&harness, WINDOW_MS + 1000);
    CU_ASSERT(most <= BOUND);
    CU_ASSERT(most > 0);
    direct_harness_stop(&harness);
}

/// True if all of more calls than the bound allows are served by the only
/// endpoint, one right after the other.
static bool
is_unlimited(struct direct_harness *harness)
{
    bool all_served = true;

    for (size_t i = 0; i < 2 * BOUND; i++) {
        all_served = direct_call_once(harness, i % harness->options.routers,
                                      "/look/") == 200 &&
                     all_served;
    }
    return all_served;
}

static bool
is_limited_at_first(void *ctx)
{
    const struct direct_harness *harness = ctx;

    return counter_get(&harness->counters[0], COUNTER_RATE_LIMITED_SENT) > 0;
}

/// Routers that have got no answer of the endpoint keep the rate that a peer
/// was told, also one that is started meanwhile. The endpoint is the only one:
/// what it does not take is refused at once, and has not run.
static void
test_stated_rate_known_from_peers(void)
{
    struct direct_harness harness;
    struct direct_call call = {0};
    int64_t before_ms;
    uint64_t before;

    start(&harness, 3, 1);
    origin_set_fields(harness.origins[0], RATE_FIELD);
    CU_ASSERT(direct_call_once(&harness, 0, "/look/") == 200);
    direct_harness_run(&harness, 300);
    before = origin_requests(harness.origins[0]);
    direct_call_once(&harness, 1, "/look/");
    direct_call_once(&harness, 2, "/look/");
    CU_ASSERT(origin_requests(harness.origins[0]) == before);
    direct_harness_stop_router(&harness, 1);
    direct_harness_start_router(&harness, 1);
    direct_harness_run(&harness, 2000);
    CU_ASSERT(most_in_a_window(&harness, WINDOW_MS) <= BOUND);
    CU_ASSERT(is_limited_at_first(&harness));
    before_ms = clock_ms(&clock_monotonic);
    for (int i = 0; i < 8 && call.status != 503; i++) {
        char id[24];

        snprintf(id, sizeof(id), "refused-%d", i);
        direct_call_free(&call);
        direct_call_do(&harness, 0, &call, "POST", "/look/", id, NULL, "x");
    }
    CU_ASSERT(call.status == 503);
    CU_ASSERT(atof(call.retry_after) > 0);
    CU_ASSERT(clock_ms(&clock_monotonic) - before_ms < 500);
    CU_ASSERT(counter_get(&harness.counters[0], COUNTER_RATE_LIMITED_REFUSED) >
              0);
    direct_call_free(&call);
    direct_harness_stop(&harness);
}

/// The entry lapses and returns in the same incarnation: the rate that the
/// endpoint had stated went with the entry.
static void
test_stated_rate_outlasts_entry(void)
{
    const struct str id = STR_LITERAL("e-0");
    struct direct_harness harness;
    const struct endpoint *endpoint;

    start(&harness, 1, 1);
    origin_set_fields(harness.origins[0], RATE_FIELD);
    CU_ASSERT(direct_call_once(&harness, 0, "/look/") == 200);
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             NULL);
    direct_harness_run(&harness, 200);
    direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                             "ready");
    direct_harness_run(&harness, 200);
    endpoint = endpoints_find(direct_endpoints(harness.routers[0]), id);
    CU_ASSERT_FATAL(endpoint != NULL);
    CU_ASSERT(endpoint->rate_limit.holds);
    direct_harness_stop(&harness);
}

/// The statement ends with an answer at one router; all send without a limit
/// then. So they do to the next incarnation of an endpoint.
static void
test_stated_rate_ends(void)
{
    for (int restarted = 0; restarted < 2; restarted++) {
        struct direct_harness harness;

        start(&harness, 3, 1);
        origin_set_fields(harness.origins[0], RATE_FIELD);
        direct_call_once(&harness, 0, "/look/");
        direct_harness_run(&harness, 300);
        CU_ASSERT(!is_unlimited(&harness));
        origin_set_fields(harness.origins[0], NULL);
        if (restarted) {
            direct_harness_put_restarted(&harness, "e-0", harness.origins[0]);
            direct_harness_run(&harness, 500);
        }
        else {
            most_in_a_window(&harness, 2500);
        }
        CU_ASSERT(is_unlimited(&harness));
        direct_harness_stop(&harness);
    }
}

/// A router that starts is told of a rate when it is linked, which may be
/// before it has received the endpoint's entry.
static void
test_rate_told_before_the_entry(void)
{
    struct direct_harness harness;
    const struct message_rate rate = {
        .endpoint = str_hash(STR_LITERAL("late"), 0),
        .incarnation = 1,
        .holds = true,
        .milli_per_s = 1000 * RATE_PER_S,
    };
    const struct endpoint *endpoint;

    start(&harness, 1, 1);
    rate_limits_receive(direct_rate_limits(harness.routers[0]),
                        direct_endpoints(harness.routers[0]), &rate, 1, false);
    direct_entry_put(harness.store,
                     &(struct direct_entry){
                         .id = "late",
                         .service = "models",
                         .address = origin_address(harness.origins[0]),
                         .born_ms = 1,
                     });
    direct_harness_run(&harness, 700);
    endpoint = endpoints_find(direct_endpoints(harness.routers[0]),
                              STR_LITERAL("late"));
    CU_ASSERT_FATAL(endpoint != NULL);
    CU_ASSERT(endpoint->rate_limit.holds);
    direct_harness_stop(&harness);
}

/// Requests that an endpoint processes at once, by its entry.
#define SLOTS 8
#define BURIED_CALLS (SLOTS + 12)

static bool
call_has_ended(void *ctx)
{
    return ((const struct direct_call *)ctx)->ended;
}

/// Starts many calls at once; returns how many are refused since no slot is
/// free. Endpoint 0 states a rate, or not.
static size_t
count_refused_for_slots(const char *fields)
{
    struct direct_call calls[BURIED_CALLS] = {0};
    struct direct_harness harness;
    size_t refused = 0;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1,
                                       .origins = 2,
                                       .work_us = 250000,
                                   });
    harness.settings[0].settle_ms = 0;
    direct_harness_stop_router(&harness, 0);
    direct_harness_start_router(&harness, 0);
    direct_harness_run(&harness, 1000);
    origin_set_fields(harness.origins[0], fields);
    for (int i = 0; i < 8; i++) {
        direct_call_once(&harness, 0, "/look/");
    }
    for (size_t i = 0; i < BURIED_CALLS; i++) {
        char id[24];

        snprintf(id, sizeof(id), "buried-%zu", i);
        direct_call_start(&harness, 0, &calls[i], "POST", "/look/", id, NULL,
                          "x");
    }
    for (size_t i = 0; i < BURIED_CALLS; i++) {
        CU_ASSERT(
            direct_harness_wait(&harness, call_has_ended, &calls[i], 5000));
        refused += calls[i].status == 503 ? 1 : 0;
        direct_call_free(&calls[i]);
    }
    // These refusals come at once: a request that has been placed gets none.
    CU_ASSERT(counter_get(&harness.counters[0],
                          COUNTER_RATE_LIMITED_REFUSED) >= refused);
    direct_harness_stop(&harness);
    return refused;
}

/// An endpoint without a rate gets the requests of all that state one, and
/// they wait behind its slots until they are late.
static void
test_other_endpoint_buried(void)
{
    CU_ASSERT(count_refused_for_slots(NULL) == 0);
    CU_ASSERT(count_refused_for_slots("Server-Limit: 0.5\r\n") >=
              BURIED_CALLS - SLOTS - 4);
}

#define MANY (MESSAGE_RATES_MAX + 20)

/// A router that is linked learns all rates that hold, also if they are more
/// than one message has room for.
static void
test_more_rates_than_a_message_holds(void)
{
    struct direct_harness harness;
    struct endpoint *endpoint;
    size_t holding = 0, told = 0;

    start(&harness, 2, 1);
    direct_harness_stop_router(&harness, 1);
    for (int i = 0; i < MANY; i++) {
        char id[16];

        snprintf(id, sizeof(id), "many-%d", i);
        direct_entry_put(harness.store,
                         &(struct direct_entry){
                             .id = id,
                             .service = "models",
                             .address = origin_address(harness.origins[0]),
                             .born_ms = 1,
                         });
    }
    direct_harness_run(&harness, 1000);
    for (endpoint = endpoints_first(direct_endpoints(harness.routers[0]));
         endpoint != NULL; endpoint = endpoint->hh.next) {
        rate_limit_answered(&endpoint->rate_limit,
                            &(struct rate_limit_statement){
                                true, RATE_PER_S, clock_ms(&clock_monotonic),
                                clock_ms(&clock_monotonic)});
        endpoint->rate_limit.report_due = false;
        holding++;
    }
    direct_harness_start_router(&harness, 1);
    direct_harness_run(&harness, 1500);
    for (endpoint = endpoints_first(direct_endpoints(harness.routers[1]));
         endpoint != NULL; endpoint = endpoint->hh.next) {
        told += endpoint->rate_limit.holds ? 1 : 0;
    }
    CU_ASSERT(holding > MESSAGE_RATES_MAX);
    CU_ASSERT(told == holding);
    direct_harness_stop(&harness);
}

#define SLOW_CALLS 12
#define SLOW_ROUNDS 6

static bool
all_ended(void *ctx)
{
    struct direct_call *calls = ctx;

    for (size_t i = 0; i < SLOW_CALLS; i++) {
        if (!calls[i].ended) {
            return false;
        }
    }
    return true;
}

/// Returns how many calls are refused as overload while all answers are late.
static uint64_t
count_shed(const char *fields)
{
    struct direct_harness harness;
    uint64_t shed;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1,
                                       .origins = 1,
                                       .work_us = 600000,
                                   });
    harness.settings[0].settle_ms = 0;
    direct_harness_stop_router(&harness, 0);
    direct_harness_start_router(&harness, 0);
    direct_harness_run(&harness, 1000);
    origin_set_fields(harness.origins[0], fields);
    direct_call_once(&harness, 0, "/look/");
    for (size_t round = 0; round < SLOW_ROUNDS; round++) {
        struct direct_call calls[SLOW_CALLS] = {0};

        for (size_t i = 0; i < SLOW_CALLS; i++) {
            char id[24];

            snprintf(id, sizeof(id), "slow-%zu-%zu", round, i);
            direct_call_start(&harness, 0, &calls[i], "POST", "/look/", id,
                              NULL, "x");
            direct_harness_run(&harness, 5);
        }
        CU_ASSERT(direct_harness_wait(&harness, all_ended, calls, 5000));
        for (size_t i = 0; i < SLOW_CALLS; i++) {
            direct_call_free(&calls[i]);
        }
    }
    shed = counter_get(&harness.counters[0], COUNTER_SHED);
    direct_harness_stop(&harness);
    return shed;
}

/// Answers of endpoints that state a rate do not count for the overload of the
/// service: they hid that of the other endpoints.
static void
test_overload_hidden_by_limited_endpoints(void)
{
    CU_ASSERT(count_shed(NULL) > 0);
    CU_ASSERT(count_shed("Server-Limit: 100000\r\n") == 0);
}

/// A value that is not one decimal number in range limits nothing.
static void
test_odd_stated_rates(void)
{
    static const char *const fields[] = {
        "Server-Limit: two\r\n",
        "Server-Limit:\r\n",
        "Server-Limit: -1\r\n",
        "Server-Limit: nan\r\n",
        "Server-Limit: inf\r\n",
        "Server-Limit: 1e-9\r\n",
        "Server-Limit: 1000000000\r\n",
        "Server-Limit: 0x2\r\n",
        "Server-Limit: 1.2.3\r\n",
        "Server-Limit: 0.0000000000000001\r\n",
        "Server-Limit: 2\r\nserver-limit: 3\r\n",
    };
    const size_t count = sizeof(fields) / sizeof(fields[0]);
    struct direct_harness harness;

    start(&harness, 1, 1);
    for (size_t i = 0; i < count; i++) {
        origin_set_fields(harness.origins[0], fields[i]);
        for (size_t j = 0; j < 3; j++) {
            CU_ASSERT(direct_call_once(&harness, 0, "/look/") == 200);
        }
    }
    CU_ASSERT(origin_requests(harness.origins[0]) == 3 * count);
    CU_ASSERT(harness.counters[0].values[COUNTER_RATE_LIMITS_IGNORED] ==
              3 * count);
    direct_harness_stop(&harness);
}

void
suite_rate_limit(void)
{
    CU_pSuite suite = CU_add_suite("rate-limit", NULL, NULL);

    CU_add_test(suite, "sum of routers", test_sum_of_routers);
    CU_add_test(suite, "rate of zero", test_rate_of_zero);
    CU_add_test(suite, "routers take turns without answers",
                test_routers_take_turns_without_answers);
    CU_add_test(suite, "answers overtake each other",
                test_answers_overtake_each_other);
    CU_add_test(suite, "reports of peers", test_reports_of_peers);
    CU_add_test(suite, "stated rate exceeded by the fleet",
                test_stated_rate_exceeded_by_the_fleet);
    CU_add_test(suite, "stated rate known from peers",
                test_stated_rate_known_from_peers);
    CU_add_test(suite, "stated rate ends", test_stated_rate_ends);
    CU_add_test(suite, "overload hidden by limited endpoints",
                test_overload_hidden_by_limited_endpoints);
    CU_add_test(suite, "more rates than a message holds",
                test_more_rates_than_a_message_holds);
    CU_add_test(suite, "rate told before the entry",
                test_rate_told_before_the_entry);
    CU_add_test(suite, "stated rate outlasts the entry",
                test_stated_rate_outlasts_entry);
    CU_add_test(suite, "other endpoint buried", test_other_endpoint_buried);
    CU_add_test(suite, "odd stated rates", test_odd_stated_rates);
}
