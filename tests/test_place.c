/// Tests of the decisions of a direct router, each under the load pattern that
/// it is made for. Bounds: cap_factor * mean + 3 for loads, the latency
/// objective, and a share of the tokens that could be cached.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <CUnit/CUnit.h>

#include "core/eject.h"
#include "core/sse.h"
#include "core/timing.h"
#include "core/place.h"
#include "core/prefix.h"
#include "measure/pool.h"
#include "suites.h"

#define ENDPOINTS 18
#define CONTEXTS 46
#define CONTEXT_TOKENS 10000
#define REQUEST_TOKENS 1300
#define CACHE_TOKENS 570000
#define SLOTS 64
#define RUN_STEPS 60
#define CAP_FACTOR 2
#define CAP_SLACK 3
/// Processor time to scan an event of SSE_EVENT_BYTES_MAX.
#define LONG_EVENT_CPU_MAX (CLOCKS_PER_SEC / 5)

/// Endpoints of a router with exact, immediate knowledge of every load, in
/// steps of equal length.
struct fleet {
    struct random_seeded seeded;
    struct random_source random;
    struct prefix_estimate *caches[ENDPOINTS];
    uint32_t load[ENDPOINTS];
    uint32_t ends[ENDPOINTS][RUN_STEPS];
    bool out[ENDPOINTS];
    double fetch_tokens_per_ms;
    size_t step;
    uint64_t shared_tokens;
    uint64_t found_tokens; ///< cached at the endpoint, or fetched
    uint64_t placed;
    uint64_t over_cap;
};

static void
fleet_init(struct fleet *fleet)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->seeded.state = 7;
    fleet->random = random_seeded_interface(&fleet->seeded);
    for (size_t i = 0; i < ENDPOINTS; i++) {
        fleet->caches[i] = prefix_estimate_new(CACHE_TOKENS);
    }
}

static void
fleet_free(struct fleet *fleet)
{
    for (size_t i = 0; i < ENDPOINTS; i++) {
        prefix_estimate_free(fleet->caches[i]);
    }
}

static void
fleet_step(struct fleet *fleet)
{
    fleet->step++;
    for (size_t i = 0; i < ENDPOINTS; i++) {
        uint32_t *ends = &fleet->ends[i][fleet->step % RUN_STEPS];

        fleet->load[i] -= *ends;
        *ends = 0;
    }
}

static double
mean_load(const struct fleet *fleet)
{
    double sum = 0;
    size_t count = 0;

    for (size_t i = 0; i < ENDPOINTS; i++) {
        sum += fleet->out[i] ? 0 : fleet->load[i];
        count += fleet->out[i] ? 0 : 1;
    }
    return sum / (double)count;
}

/// Places a request that needs `context`; returns the endpoint that runs it.
static size_t
fleet_place(struct fleet *fleet, uint64_t context)
{
    const struct prefix prefix = {
        .parts = {{context % 3, 512},
                  {1000 + context, CONTEXT_TOKENS},
                  {1000000 + fleet->placed, REQUEST_TOKENS}},
        .count = 3,
    };
    struct place_candidate candidates[ENDPOINTS];
    const struct place_request request = {
        .random = &fleet->random,
        .has_prompt = true,
        .affinity = prefix_affinity(&prefix),
        .prompt_tokens = prefix_tokens(&prefix),
        .shared_tokens = prefix_shared_tokens(&prefix),
        .prefill_tokens_per_ms = 50,
        .fetch_tokens_per_ms = fleet->fetch_tokens_per_ms,
        .cap_factor = CAP_FACTOR,
        .cap_slack = CAP_SLACK,
    };
    struct place_choice choice;
    double mean = mean_load(fleet);

    for (size_t i = 0; i < ENDPOINTS; i++) {
        candidates[i] = (struct place_candidate){
            .hash = 0x9e3779b97f4a7c15u * (i + 1),
            .usable = !fleet->out[i],
            .sends_contexts = true,
            .same_zone = i % 3 == 0,
            .zone = i % 3,
            .load = fleet->load[i],
            .slots = SLOTS,
            .cached_tokens = prefix_estimate_match(fleet->caches[i], &prefix),
        };
    }
    CU_ASSERT_FATAL(place_choose(&request, candidates, ENDPOINTS, &choice));
    CU_ASSERT(!fleet->out[choice.index]);
    fleet->shared_tokens += CONTEXT_TOKENS;
    fleet->found_tokens +=
        candidates[choice.index].cached_tokens + choice.fetched_tokens >=
                CONTEXT_TOKENS
            ? CONTEXT_TOKENS
            : 0;
    fleet->over_cap +=
        fleet->load[choice.index] + 1 > CAP_FACTOR * mean + CAP_SLACK ? 1 : 0;
    prefix_estimate_add(fleet->caches[choice.index], &prefix);
    fleet->load[choice.index]++;
    fleet->ends[choice.index][(fleet->step + RUN_STEPS - 1) % RUN_STEPS]++;
    fleet->placed++;
    return choice.index;
}

/// Load pattern: returning chats, evenly spread over the contexts.
static void
test_steady_reuse(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    for (int i = 0; i < 4000; i++) {
        fleet_place(&fleet, random_below(&fleet.random, CONTEXTS));
        fleet_place(&fleet, random_below(&fleet.random, CONTEXTS));
        fleet_step(&fleet);
    }
    CU_ASSERT(fleet.found_tokens * 100 >= fleet.shared_tokens * 90);
    CU_ASSERT(fleet.over_cap * 100 <= fleet.placed * 3);
    fleet_free(&fleet);
}

/// Load pattern: two thirds of the traffic need the same context.
static void
test_hot_context(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    for (int i = 0; i < 3000; i++) {
        for (int j = 0; j < 3; j++) {
            fleet_place(&fleet,
                        j < 2 ? 5 : random_below(&fleet.random, CONTEXTS));
        }
        fleet_step(&fleet);
    }
    CU_ASSERT(fleet.over_cap * 100 <= fleet.placed * 3);
    CU_ASSERT(fleet.found_tokens * 100 >= fleet.shared_tokens * 90);
    fleet_free(&fleet);
}

/// Load pattern: a third of the endpoints crash at the peak.
static void
test_crash_at_peak(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    for (int i = 0; i < 4000; i++) {
        if (i == 2000) {
            for (size_t j = 0; j < ENDPOINTS / 3; j++) {
                fleet.out[j] = true;
            }
            fleet.placed = fleet.over_cap = 0;
            fleet.found_tokens = fleet.shared_tokens = 0;
        }
        for (int j = 0; j < 4; j++) {
            fleet_place(&fleet, random_below(&fleet.random, CONTEXTS));
        }
        fleet_step(&fleet);
    }
    CU_ASSERT(fleet.over_cap * 100 <= fleet.placed * 3);
    CU_ASSERT(fleet.found_tokens * 100 >= fleet.shared_tokens * 80);
    fleet_free(&fleet);
}

/// Load pattern: all callers return in the same second and nothing is cached.
static void
test_simultaneous_return(void)
{
    struct fleet fleet;
    uint32_t most = 0;
    double mean;

    fleet_init(&fleet);
    for (int i = 0; i < 500; i++) {
        fleet_place(&fleet, random_below(&fleet.random, CONTEXTS));
    }
    mean = mean_load(&fleet);
    for (size_t i = 0; i < ENDPOINTS; i++) {
        most = fleet.load[i] > most ? fleet.load[i] : most;
    }
    CU_ASSERT(most <= CAP_FACTOR * mean + CAP_SLACK);
    fleet_free(&fleet);
}

/// Load pattern: endpoints without cached contexts are added. Chats stay where
/// their contexts are cached.
static void
test_scale_out_keeps_chats(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    for (size_t i = 12; i < ENDPOINTS; i++) {
        fleet.out[i] = true;
    }
    for (int i = 0; i < 4000; i++) {
        if (i == 2000) {
            for (size_t j = 12; j < ENDPOINTS; j++) {
                fleet.out[j] = false;
            }
            fleet.found_tokens = fleet.shared_tokens = 0;
        }
        fleet_place(&fleet, random_below(&fleet.random, CONTEXTS));
        fleet_step(&fleet);
    }
    CU_ASSERT(fleet.found_tokens * 100 >= fleet.shared_tokens * 95);
    fleet_free(&fleet);
}

/// Replaces endpoints one after the other; contexts can still be fetched from
/// those that leave. Returns the share of shared tokens that need no prefill
/// meanwhile.
static double
reuse_during_release(double fetch_tokens_per_ms)
{
    struct fleet fleet;
    double share;

    fleet_init(&fleet);
    fleet.fetch_tokens_per_ms = fetch_tokens_per_ms;
    for (size_t i = ENDPOINTS / 2; i < ENDPOINTS; i++) {
        fleet.out[i] = true;
    }
    for (size_t i = 0; i < 2000 + 40 * ENDPOINTS / 2; i++) {
        if (i >= 2000 && (i - 2000) % 40 == 0) {
            size_t replaced = (i - 2000) / 40;

            fleet.out[replaced] = true;
            fleet.out[ENDPOINTS / 2 + replaced] = false;
        }
        if (i == 2000) {
            fleet.found_tokens = fleet.shared_tokens = 0;
        }
        fleet_place(&fleet, random_below(&fleet.random, CONTEXTS));
        fleet_step(&fleet);
    }
    share = (double)fleet.found_tokens / (double)fleet.shared_tokens;
    fleet_free(&fleet);
    return share;
}

/// Load pattern: a release. At least 80 % of the contexts must be reused while
/// endpoints are replaced. The test requires 98 % with fetching, and checks
/// that the pattern yields less than 90 % without it.
static void
test_release_fetches_contexts(void)
{
    CU_ASSERT(reuse_during_release(0) < 0.9);
    CU_ASSERT(reuse_during_release(2500) >= 0.98);
}

/// Long contexts are fetched from an endpoint that can send them, preferably
/// one in the zone of the endpoint that fetches; short ones are not fetched.
static void
test_fetch_source(void)
{
    struct random_seeded seeded = {1};
    struct random_source random = random_seeded_interface(&seeded);
    struct place_request request = {
        .random = &random,
        .has_prompt = true,
        .affinity = 77,
        .prompt_tokens = 9100,
        .shared_tokens = 9000,
        .prefill_tokens_per_ms = 50,
        .fetch_tokens_per_ms = 2500,
        .cap_factor = 2,
        .cap_slack = 3,
    };
    struct place_candidate candidates[] = {
        {.hash = 31, .usable = true, .slots = 8, .zone = 1},
        {.hash = 37, .sends_contexts = true, .cached_tokens = 9000, .zone = 2},
        {.hash = 41, .sends_contexts = true, .cached_tokens = 9000, .zone = 1},
        {.hash = 43,
         .sends_contexts = false,
         .cached_tokens = 9100,
         .zone = 1},
    };
    struct place_choice choice;

    CU_ASSERT(place_choose(&request, candidates, 4, &choice));
    CU_ASSERT(choice.index == 0 && choice.source == 2);
    CU_ASSERT(choice.fetched_tokens == 9000);
    CU_ASSERT(choice.predicted_prefill_ms < 20);
    request.fetch_tokens_per_ms = 0;
    CU_ASSERT(place_choose(&request, candidates, 4, &choice));
    CU_ASSERT(choice.source == PLACE_NO_SOURCE);
    request.fetch_tokens_per_ms = 2500;
    candidates[1].cached_tokens = candidates[2].cached_tokens = 400;
    CU_ASSERT(place_choose(&request, candidates, 4, &choice));
    CU_ASSERT(choice.source == PLACE_NO_SOURCE);
    CU_ASSERT(choice.fetched_tokens == 0);
}

/// Two routers without reports of each other's placements place a new context
/// at the same endpoint.
static void
test_routers_agree(void)
{
    size_t agreed = 0;

    for (uint64_t context = 0; context < 200; context++) {
        struct fleet a, b;

        fleet_init(&a);
        fleet_init(&b);
        b.seeded.state = 99;
        agreed += fleet_place(&a, context) == fleet_place(&b, context) ? 1 : 0;
        fleet_free(&a);
        fleet_free(&b);
    }
    CU_ASSERT(agreed == 200);
}

/// Share of offers that endpoints refuse because their queue is full.
static double
plain_shed_share(bool with_peers)
{
    const struct pool_options options = {
        .seed = 17,
        .routers = 31,
        .endpoints = 3,
        .slots = 6,
        .queue = 24,
        .run_mean_ms = 60,
        .objective_ms = 300,
        .deadline_ms = 1500,
        .requests_per_s = 210,
        .duration_ms = 30000,
        .report_interval_ms = 430,
        .peer_loads = with_peers,
    };
    struct pool_result result;

    pool_run(&options, &result);
    return (double)result.offers_refused / (double)result.offers;
}

/// Load pattern: a burst of short calls from many routers at two thirds of the
/// endpoints' capacity. Load reports of peers are older than a call lasts: a
/// choice by them sends all routers to the endpoint that was free before.
static void
test_plain_burst(void)
{
    double own = plain_shed_share(false);
    double peers = plain_shed_share(true);

    CU_ASSERT(own < 0.002);
    CU_ASSERT(peers > 10 * own);
}

/// Load pattern: long requests with short shared contexts. The endpoint that
/// has the whole context cached is chosen, not one that has its first part.
static void
test_long_requests(void)
{
    struct random_seeded seeded = {1};
    struct random_source random = random_seeded_interface(&seeded);
    const struct place_request request = {
        .random = &random,
        .has_prompt = true,
        .affinity = 77,
        .prompt_tokens = 512 + 3000 + 9000,
        .shared_tokens = 512 + 3000,
        .prefill_tokens_per_ms = 50,
        .cap_factor = 2,
        .cap_slack = 3,
    };
    struct place_choice choice;

    for (uint64_t hash = 1; hash < 200; hash++) {
        const struct place_candidate candidates[] = {
            {.hash = hash * 31, .usable = true, .slots = 8},
            {.hash = hash * 37,
             .usable = true,
             .slots = 8,
             .load = 2,
             .cached_tokens = 512 + 3000},
            {.hash = hash * 41,
             .usable = true,
             .slots = 8,
             .cached_tokens = 512},
        };

        CU_ASSERT(place_choose(&request, candidates, 3, &choice));
        CU_ASSERT(choice.index == 1);
    }
}

static void
test_nothing_usable(void)
{
    struct random_seeded seeded = {1};
    struct random_source random = random_seeded_interface(&seeded);
    const struct place_request request = {.random = &random, .cap_factor = 2};
    const struct place_candidate candidate = {.usable = false};
    struct place_choice choice;

    CU_ASSERT(!place_choose(&request, &candidate, 1, &choice));
    CU_ASSERT(!place_choose(&request, NULL, 0, &choice));
}

static void
test_prefix_estimate(void)
{
    struct prefix_estimate *cache = prefix_estimate_new(1000);
    const struct prefix a = {.parts = {{1, 300}, {2, 300}}, .count = 2};
    const struct prefix b = {.parts = {{1, 300}, {3, 300}}, .count = 2};
    const struct prefix c = {.parts = {{2, 300}}, .count = 1};
    const struct prefix d = {.parts = {{4, 400}}, .count = 1};

    CU_ASSERT(prefix_estimate_match(cache, &a) == 0);
    prefix_estimate_add(cache, &a);
    CU_ASSERT(prefix_estimate_match(cache, &a) == 600);
    CU_ASSERT(prefix_estimate_match(cache, &b) == 300);
    // A part matches only after the parts that preceded it.
    CU_ASSERT(prefix_estimate_match(cache, &c) == 0);
    prefix_estimate_add(cache, &b);
    CU_ASSERT(prefix_estimate_tokens(cache) == 900);
    prefix_estimate_add(cache, &d);
    CU_ASSERT(prefix_estimate_tokens(cache) <= 1000);
    // The second part of a was used least recently.
    CU_ASSERT(prefix_estimate_match(cache, &a) == 300);
    CU_ASSERT(prefix_estimate_match(cache, &b) == 600);
    prefix_estimate_clear(cache);
    // A part that the endpoint has reported matches at any position.
    prefix_estimate_add_reported(cache, 2, 300);
    CU_ASSERT(prefix_estimate_match(cache, &c) == 300);
    CU_ASSERT(prefix_estimate_match(cache, &a) == 0);
    prefix_estimate_add_reported(cache, 1, 300);
    CU_ASSERT(prefix_estimate_match(cache, &a) == 600);
    prefix_estimate_clear(cache);
    CU_ASSERT(prefix_estimate_tokens(cache) == 0);
    prefix_estimate_free(cache);
    CU_ASSERT(prefix_affinity(&a) == prefix_affinity(&b));
}

/// Load pattern: an endpoint that fails fast attracts all traffic.
static void
test_eject_fails_fast(void)
{
    struct eject eject;
    int failures = 0;

    eject_init(&eject);
    for (int64_t now_ms = 1; now_ms < 2000; now_ms++) {
        if (!eject_is_blocked(&eject, now_ms, 0)) {
            eject_failure(&eject, now_ms, 0);
            failures++;
        }
    }
    CU_ASSERT(failures <= 5);
}

/// Load pattern: an endpoint fails 40 % of its requests, at random.
static void
test_eject_fails_in_part(void)
{
    struct random_seeded seeded = {3};
    struct random_source random = random_seeded_interface(&seeded);
    struct eject eject;
    int sent = 0;

    eject_init(&eject);
    for (int64_t now_ms = 1; now_ms <= 6000; now_ms += 10) {
        if (eject_is_blocked(&eject, now_ms, 0)) {
            continue;
        }
        sent++;
        if (random_unit(&random) < 0.4) {
            eject_failure(&eject, now_ms, 0.02);
        }
        else {
            eject_success(&eject);
        }
    }
    CU_ASSERT(sent < 300);
}

/// An endpoint that fails 14 % of its requests, as all others do, stays in
/// use.
static void
test_eject_keeps_healthy(void)
{
    struct random_seeded seeded = {5};
    struct random_source random = random_seeded_interface(&seeded);
    struct eject eject;
    int sent = 0;

    eject_init(&eject);
    for (int64_t now_ms = 1; now_ms <= 10000; now_ms += 10) {
        if (eject_is_blocked(&eject, now_ms, 0)) {
            continue;
        }
        sent++;
        if (random_unit(&random) < 0.14) {
            eject_failure(&eject, now_ms, 0.14);
        }
        else {
            eject_success(&eject);
        }
    }
    CU_ASSERT(sent > 800);
}

/// After its ejection time an endpoint gets one trial request at a time.
static void
test_eject_trial(void)
{
    struct eject eject;

    eject_init(&eject);
    for (int i = 0; i < EJECT_CONSECUTIVE_MAX; i++) {
        eject_failure(&eject, 1, 0);
    }
    CU_ASSERT(eject_is_blocked(&eject, 2, 0));
    CU_ASSERT(!eject_is_blocked(&eject, 1 + EJECT_DURATION_MIN_MS, 0));
    CU_ASSERT(eject_is_blocked(&eject, 1 + EJECT_DURATION_MIN_MS, 1));
    CU_ASSERT(eject_success(&eject));
    CU_ASSERT(!eject_is_blocked(&eject, 1 + EJECT_DURATION_MIN_MS, 5));
}

/// Load pattern: many endpoints crash together. A refused connection ejects
/// an endpoint at once; a peer's report only limits it to trial requests.
static void
test_eject_down(void)
{
    struct eject eject;

    eject_init(&eject);
    CU_ASSERT(eject_connect_failure(&eject, 1));
    CU_ASSERT(eject_is_blocked(&eject, 2, 0));
    CU_ASSERT(!eject_connect_failure(&eject, 3));
    eject_init(&eject);
    eject_begin_trial(&eject, 1);
    CU_ASSERT(!eject_is_blocked(&eject, 2, 0));
    CU_ASSERT(eject_is_blocked(&eject, 2, 1));
    eject_success(&eject);
    CU_ASSERT(!eject_is_blocked(&eject, 2, 1));
}

#define FAILING_ROUTERS 25
#define FAILING_REQUESTS 4000

/// Requests that may run only once and are lost to an endpoint that fails all
/// of them, at many routers that send it one request in 50 ms in turn.
static int
count_lost(bool is_shared)
{
    struct random_seeded seeded = {5};
    struct random_source random = random_seeded_interface(&seeded);
    struct eject ejects[FAILING_ROUTERS];
    int lost = 0;

    for (size_t i = 0; i < FAILING_ROUTERS; i++) {
        eject_init(&ejects[i]);
    }
    for (int i = 0; i < FAILING_REQUESTS; i++) {
        struct eject *eject = &ejects[random_below(&random, FAILING_ROUTERS)];
        int64_t now_ms = 1 + 2 * i;
        bool at_most_once = random_unit(&random) < 0.4;

        if (eject_is_blocked(eject, now_ms, 0) ||
            (is_shared && at_most_once && eject_spares_once(eject, now_ms))) {
            continue;
        }
        lost += at_most_once;
        if (!eject_failure(eject, now_ms, 0) || !is_shared) {
            continue;
        }
        for (size_t j = 0; j < FAILING_ROUTERS; j++) {
            eject_begin_trial(&ejects[j], now_ms);
        }
    }
    return lost;
}

/// Load pattern: an endpoint fails all requests while its entry says that it
/// is ready. Guards against each router losing requests to learn the same.
static void
test_eject_is_shared(void)
{
    int alone = count_lost(false);
    int shared = count_lost(true);

    CU_ASSERT(alone > 50);
    CU_ASSERT(3 * shared < alone);
}

/// A router that has only requests which may run once ends a trial with one of
/// them, after a time.
static void
test_eject_spares_once(void)
{
    struct eject eject;

    eject_init(&eject);
    CU_ASSERT(!eject_spares_once(&eject, 1));
    eject_begin_trial(&eject, 10);
    CU_ASSERT(eject_spares_once(&eject, 10));
    CU_ASSERT(eject_spares_once(&eject, 9 + EJECT_SPARE_ONCE_MS));
    eject_begin_trial(&eject, 9 + EJECT_SPARE_ONCE_MS);
    CU_ASSERT(!eject_spares_once(&eject, 10 + EJECT_SPARE_ONCE_MS));
    eject_success(&eject);
    CU_ASSERT(!eject_spares_once(&eject, 20));
}

/// Load pattern: many callers are refused in the same second.
static void
test_retry_after_spreads(void)
{
    struct random_seeded seeded = {11};
    struct random_source random = random_seeded_interface(&seeded);
    int buckets[6] = {0};

    for (int i = 0; i < 6000; i++) {
        int64_t ms = timing_retry_after_ms(&random, 15000);

        CU_ASSERT(ms >= TIMING_RETRY_AFTER_MIN_MS &&
                  ms <= TIMING_RETRY_AFTER_MIN_MS +
                            TIMING_RETRY_AFTER_JITTER_MS);
        buckets[(ms - TIMING_RETRY_AFTER_MIN_MS) * 6 /
                (TIMING_RETRY_AFTER_JITTER_MS + 1)]++;
    }
    for (int i = 0; i < 6; i++) {
        CU_ASSERT(buckets[i] > 800 && buckets[i] < 1200);
    }
    // Callers do not honour more than a third of their remaining time.
    CU_ASSERT(timing_retry_after_ms(&random, 600) <= 200);
    CU_ASSERT(timing_retry_after_ms(&random, 0) == 0);
}

static void
append_text(struct sse_buffer *events, const char *text)
{
    sse_buffer_append(events, text, strlen(text));
}

static void
test_events(void)
{
    struct sse_buffer events;
    const char *bytes;
    size_t len;

    sse_buffer_init(&events);
    append_text(&events, "id: 1\ndata: a\n\nid: 2\nda");
    bytes = sse_buffer_take(&events, false, &len);
    CU_ASSERT(len == 15 && !memcmp(bytes, "id: 1\ndata: a\n\n", len));
    CU_ASSERT(str_equal_c(sse_buffer_last_id(&events), "1"));
    append_text(&events, "ta: b\r\n\r");
    sse_buffer_take(&events, false, &len);
    CU_ASSERT(len == 0);
    append_text(&events, "\n");
    bytes = sse_buffer_take(&events, false, &len);
    CU_ASSERT(len == 17 && !memcmp(bytes, "id: 2\ndata: b\r\n\r\n", len));
    CU_ASSERT(str_equal_c(sse_buffer_last_id(&events), "2"));
    append_text(&events, "id: 3\nda");
    sse_buffer_take(&events, false, &len);
    sse_buffer_discard_partial(&events);
    append_text(&events, "id: 3\ndata: c\n\n");
    bytes = sse_buffer_take(&events, true, &len);
    CU_ASSERT(len == 15 && !memcmp(bytes, "id: 3\ndata: c\n\n", len));
    sse_buffer_destroy(&events);
}

/// An event that does not end and comes in small pieces takes time linear in
/// its length; else it holds up all other callers of the router.
static void
test_long_event(void)
{
    struct sse_buffer events;
    clock_t started = clock();
    size_t len;

    sse_buffer_init(&events);
    for (size_t sent = 0; sent < SSE_EVENT_BYTES_MAX; sent += 8) {
        append_text(&events, "dddddddd");
        sse_buffer_take(&events, false, &len);
        CU_ASSERT_FATAL(len == 0);
    }
    append_text(&events, "\n\n");
    sse_buffer_take(&events, false, &len);
    CU_ASSERT(len == SSE_EVENT_BYTES_MAX + 2);
    CU_ASSERT(clock() - started < LONG_EVENT_CPU_MAX);
    sse_buffer_destroy(&events);
}

/// Load pattern: some endpoints take few requests, the others get the rest and
/// have the contexts. What the former take is used first.
static void
test_room_of_limited_endpoints_unused(void)
{
    const struct place_request request = {
        .random = &random_system,
        .has_prompt = true,
        .prompt_tokens = 3000,
        .shared_tokens = 2000,
        .prefill_tokens_per_ms = 50,
        .cap_factor = CAP_FACTOR,
        .cap_slack = CAP_SLACK,
    };
    struct place_candidate candidates[] = {
        {.hash = 1, .usable = true, .slots = SLOTS, .rate_limited = true},
        {.hash = 2, .usable = true, .slots = SLOTS, .cached_tokens = 2000},
    };
    struct place_choice choice;

    CU_ASSERT(place_choose(&request, candidates, 2, &choice));
    CU_ASSERT(choice.index == 0);
    candidates[0].usable = false;
    CU_ASSERT(place_choose(&request, candidates, 2, &choice));
    CU_ASSERT(choice.index == 1);
}

void
suite_place(void)
{
    CU_pSuite suite = CU_add_suite("place", NULL, NULL);

    CU_add_test(suite, "room of limited endpoints unused",
                test_room_of_limited_endpoints_unused);
    CU_add_test(suite, "steady reuse", test_steady_reuse);
    CU_add_test(suite, "hot context", test_hot_context);
    CU_add_test(suite, "crash at the peak", test_crash_at_peak);
    CU_add_test(suite, "simultaneous return", test_simultaneous_return);
    CU_add_test(suite, "scale out keeps chats", test_scale_out_keeps_chats);
    CU_add_test(suite, "release fetches contexts",
                test_release_fetches_contexts);
    CU_add_test(suite, "fetch source", test_fetch_source);
    CU_add_test(suite, "routers agree", test_routers_agree);
    CU_add_test(suite, "plain burst", test_plain_burst);
    CU_add_test(suite, "long requests", test_long_requests);
    CU_add_test(suite, "nothing usable", test_nothing_usable);
    CU_add_test(suite, "prefix estimate", test_prefix_estimate);
    CU_add_test(suite, "eject: fails fast", test_eject_fails_fast);
    CU_add_test(suite, "eject: fails in part", test_eject_fails_in_part);
    CU_add_test(suite, "eject: keeps healthy ones", test_eject_keeps_healthy);
    CU_add_test(suite, "eject: trial", test_eject_trial);
    CU_add_test(suite, "eject: down", test_eject_down);
    CU_add_test(suite, "ejection is shared", test_eject_is_shared);
    CU_add_test(suite, "trials spare requests that run once",
                test_eject_spares_once);
    CU_add_test(suite, "retry-after spreads", test_retry_after_spreads);
    CU_add_test(suite, "events", test_events);
    CU_add_test(suite, "long event in small pieces", test_long_event);
}
