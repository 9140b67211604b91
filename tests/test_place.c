/// The decisions of a direct router, each against the load pattern that it
/// answers. Bounds are the stated ones: cap_factor x mean + 3 for loads, a
/// latency objective, a share of the tokens that could be found cached.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/eject.h"
#include "core/sse.h"
#include "core/timing.h"
#include "core/place.h"
#include "core/prefix.h"
#include "measure/pool.h"
#include "suites.h"

#define ENDPOINTS 18
#define SUBJECTS 46
#define SUBJECT_TOKENS 10000
#define OWN_TOKENS 1300
#define MEMORY_TOKENS 570000
#define SLOTS 64
#define RUN_STEPS 60
#define CAP_FACTOR 2
#define CAP_SLACK 3

/// Endpoints as one omniscient router sees them, in steps of equal length.
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
    uint64_t found_tokens; ///< kept there, or fetched
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
        fleet->caches[i] = prefix_estimate_new(MEMORY_TOKENS);
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
mean_of(const struct fleet *fleet)
{
    double sum = 0;
    size_t count = 0;

    for (size_t i = 0; i < ENDPOINTS; i++) {
        sum += fleet->out[i] ? 0 : fleet->load[i];
        count += fleet->out[i] ? 0 : 1;
    }
    return sum / (double)count;
}

/// Places a request about `subject`; the place is where it runs.
static size_t
fleet_place(struct fleet *fleet, uint64_t subject)
{
    const struct prefix prefix = {
        .parts = {{subject % 3, 512},
                  {1000 + subject, SUBJECT_TOKENS},
                  {1000000 + fleet->placed, OWN_TOKENS}},
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
    double mean = mean_of(fleet);

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
    fleet->shared_tokens += SUBJECT_TOKENS;
    fleet->found_tokens +=
        candidates[choice.index].cached_tokens + choice.fetched_tokens >=
                SUBJECT_TOKENS
            ? SUBJECT_TOKENS
            : 0;
    fleet->over_cap +=
        fleet->load[choice.index] + 1 > CAP_FACTOR * mean + CAP_SLACK ? 1 : 0;
    prefix_estimate_add(fleet->caches[choice.index], &prefix);
    fleet->load[choice.index]++;
    fleet->ends[choice.index][(fleet->step + RUN_STEPS - 1) % RUN_STEPS]++;
    fleet->placed++;
    return choice.index;
}

/// Load pattern: chats that return, evenly over their subjects.
static void
test_steady_reuse(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    for (int i = 0; i < 4000; i++) {
        fleet_place(&fleet, random_below(&fleet.random, SUBJECTS));
        fleet_place(&fleet, random_below(&fleet.random, SUBJECTS));
        fleet_step(&fleet);
    }
    CU_ASSERT(fleet.found_tokens * 100 >= fleet.shared_tokens * 90);
    CU_ASSERT(fleet.over_cap * 100 <= fleet.placed * 3);
    fleet_free(&fleet);
}

/// Load pattern: one subject gets two thirds of the traffic.
static void
test_hot_subject(void)
{
    struct fleet fleet;

    fleet_init(&fleet);
    for (int i = 0; i < 3000; i++) {
        for (int j = 0; j < 3; j++) {
            fleet_place(&fleet,
                        j < 2 ? 5 : random_below(&fleet.random, SUBJECTS));
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
            fleet_place(&fleet, random_below(&fleet.random, SUBJECTS));
        }
        fleet_step(&fleet);
    }
    CU_ASSERT(fleet.over_cap * 100 <= fleet.placed * 3);
    CU_ASSERT(fleet.found_tokens * 100 >= fleet.shared_tokens * 80);
    fleet_free(&fleet);
}

/// Load pattern: everybody comes back in the same second, nothing is cached.
static void
test_herd(void)
{
    struct fleet fleet;
    uint32_t most = 0;
    double mean;

    fleet_init(&fleet);
    for (int i = 0; i < 500; i++) {
        fleet_place(&fleet, random_below(&fleet.random, SUBJECTS));
    }
    mean = mean_of(&fleet);
    for (size_t i = 0; i < ENDPOINTS; i++) {
        most = fleet.load[i] > most ? fleet.load[i] : most;
    }
    CU_ASSERT(most <= CAP_FACTOR * mean + CAP_SLACK);
    fleet_free(&fleet);
}

/// Empty endpoints are added: chats stay where they are kept.
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
        fleet_place(&fleet, random_below(&fleet.random, SUBJECTS));
        fleet_step(&fleet);
    }
    CU_ASSERT(fleet.found_tokens * 100 >= fleet.shared_tokens * 95);
    fleet_free(&fleet);
}

/// Endpoints are replaced one after the other; those that leave still give
/// away their contexts. Returns the share of shared tokens that need not be
/// read meanwhile.
static double
found_through_release(double fetch_tokens_per_ms)
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
        fleet_place(&fleet, random_below(&fleet.random, SUBJECTS));
        fleet_step(&fleet);
    }
    share = (double)fleet.found_tokens / (double)fleet.shared_tokens;
    fleet_free(&fleet);
    return share;
}

/// Load pattern: a release. Four fifths of the contexts are to be reused
/// through churn.
static void
test_release_hands_contexts_on(void)
{
    CU_ASSERT(found_through_release(0) < 0.9);
    CU_ASSERT(found_through_release(2500) >= 0.98);
}

/// Fetching pays for long contexts, from a sound endpoint, rather within the
/// zone of the one that fetches.
static void
test_source_of_a_context(void)
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

/// Two routers that know nothing of each other's placements still place a
/// new subject at the same endpoint.
static void
test_routers_agree(void)
{
    size_t agreed = 0;

    for (uint64_t subject = 0; subject < 200; subject++) {
        struct fleet a, b;

        fleet_init(&a);
        fleet_init(&b);
        b.seeded.state = 99;
        agreed += fleet_place(&a, subject) == fleet_place(&b, subject) ? 1 : 0;
        fleet_free(&a);
        fleet_free(&b);
    }
    CU_ASSERT(agreed == 200);
}

/// Share of offers that endpoints refuse for want of room.
static double
plain_shed_share(bool with_peers)
{
    const struct pool_options options = {
        .seed = 17,
        .routers = 31,
        .endpoints = 3,
        .slots = 6,
        .queue = 24,
        .work_ms = 60,
        .objective_ms = 300,
        .deadline_ms = 1500,
        .per_s = 210,
        .run_ms = 30000,
        .report_ms = 430,
        .with_peers = with_peers,
    };
    struct pool_result result;

    pool_run(&options, &result);
    return (double)result.shed / (double)result.sent;
}

/// Load pattern: a burst of short calls from many routers, two thirds of what
/// the endpoints can do. Peers' numbers are older than a call lasts: with
/// them all routers go to the endpoint that was free a moment ago.
static void
test_plain_burst(void)
{
    double own = plain_shed_share(false);
    double peers = plain_shed_share(true);

    CU_ASSERT(own < 0.002);
    CU_ASSERT(peers > 10 * own);
}

/// Load pattern: long requests about short shared contexts. An endpoint that
/// keeps the context is chosen, not one that keeps just its first part.
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
    // A part counts only behind the parts that it came after.
    CU_ASSERT(prefix_estimate_match(cache, &c) == 0);
    prefix_estimate_add(cache, &b);
    CU_ASSERT(prefix_estimate_tokens(cache) == 900);
    prefix_estimate_add(cache, &d);
    CU_ASSERT(prefix_estimate_tokens(cache) <= 1000);
    // The second part of a was used least recently.
    CU_ASSERT(prefix_estimate_match(cache, &a) == 300);
    CU_ASSERT(prefix_estimate_match(cache, &b) == 600);
    prefix_estimate_clear(cache);
    // A part that the endpoint states counts wherever it stands in a prompt.
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

/// Load pattern: an endpoint that fails fast draws the whole traffic.
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

/// Load pattern: an endpoint that fails four of ten, at random.
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

/// A sound endpoint whose requests fail one in seven stays in use.
static void
test_eject_keeps_sound(void)
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

/// After its time an ejected endpoint is tried with one request at a time.
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
/// at once; a peer's word puts on trial only.
static void
test_eject_down(void)
{
    struct eject eject;

    eject_init(&eject);
    CU_ASSERT(eject_connect_failure(&eject, 1));
    CU_ASSERT(eject_is_blocked(&eject, 2, 0));
    CU_ASSERT(!eject_connect_failure(&eject, 3));
    eject_init(&eject);
    eject_begin_trial(&eject);
    CU_ASSERT(!eject_is_blocked(&eject, 2, 0));
    CU_ASSERT(eject_is_blocked(&eject, 2, 1));
    eject_success(&eject);
    CU_ASSERT(!eject_is_blocked(&eject, 2, 1));
}

/// Load pattern: a crowd that is refused in the same second.
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
    // What a caller cannot honour is not said.
    CU_ASSERT(timing_retry_after_ms(&random, 600) <= 200);
    CU_ASSERT(timing_retry_after_ms(&random, 0) == 0);
}

static void
feed(struct sse_buffer *events, const char *text)
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
    feed(&events, "id: 1\ndata: a\n\nid: 2\nda");
    bytes = sse_buffer_take(&events, false, &len);
    CU_ASSERT(len == 15 && !memcmp(bytes, "id: 1\ndata: a\n\n", len));
    CU_ASSERT(str_equal_c(sse_buffer_last_id(&events), "1"));
    feed(&events, "ta: b\r\n\r");
    sse_buffer_take(&events, false, &len);
    CU_ASSERT(len == 0);
    feed(&events, "\n");
    bytes = sse_buffer_take(&events, false, &len);
    CU_ASSERT(len == 17 && !memcmp(bytes, "id: 2\ndata: b\r\n\r\n", len));
    CU_ASSERT(str_equal_c(sse_buffer_last_id(&events), "2"));
    feed(&events, "id: 3\nda");
    sse_buffer_take(&events, false, &len);
    sse_buffer_discard_partial(&events);
    feed(&events, "id: 3\ndata: c\n\n");
    bytes = sse_buffer_take(&events, true, &len);
    CU_ASSERT(len == 15 && !memcmp(bytes, "id: 3\ndata: c\n\n", len));
    sse_buffer_destroy(&events);
}

void
suite_place(void)
{
    CU_pSuite suite = CU_add_suite("place", NULL, NULL);

    CU_add_test(suite, "steady reuse", test_steady_reuse);
    CU_add_test(suite, "hot subject", test_hot_subject);
    CU_add_test(suite, "crash at the peak", test_crash_at_peak);
    CU_add_test(suite, "herd", test_herd);
    CU_add_test(suite, "scale out keeps chats", test_scale_out_keeps_chats);
    CU_add_test(suite, "release hands contexts on",
                test_release_hands_contexts_on);
    CU_add_test(suite, "source of a context", test_source_of_a_context);
    CU_add_test(suite, "routers agree", test_routers_agree);
    CU_add_test(suite, "plain burst", test_plain_burst);
    CU_add_test(suite, "long requests", test_long_requests);
    CU_add_test(suite, "nothing usable", test_nothing_usable);
    CU_add_test(suite, "prefix estimate", test_prefix_estimate);
    CU_add_test(suite, "eject: fails fast", test_eject_fails_fast);
    CU_add_test(suite, "eject: fails in part", test_eject_fails_in_part);
    CU_add_test(suite, "eject: keeps sound ones", test_eject_keeps_sound);
    CU_add_test(suite, "eject: trial", test_eject_trial);
    CU_add_test(suite, "eject: down", test_eject_down);
    CU_add_test(suite, "retry-after spreads", test_retry_after_spreads);
    CU_add_test(suite, "events", test_events);
}
