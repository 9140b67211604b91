/// The state of an endpoint at this moment and its use in placement.
#include <CUnit/CUnit.h>

#include "core/footprint.h"
#include "core/pause.h"
#include "core/place.h"
#include "core/speed.h"
#include "suites.h"

#define CANDIDATES 8
#define PLACEMENTS 2000
#define USUAL_GAP_MS 40

/// Load pattern: a long prompt between a backlogged endpoint with running
/// streams, which has a part of it cached, and others.
static const struct place_request long_prompt = {
    .has_prompt = true,
    .affinity = 77,
    .prompt_tokens = 6000,
    .shared_tokens = 3000,
    .prefill_tokens_per_ms = 50,
    .cap_factor = 2,
    .cap_slack = 8,
};

static const struct place_candidate backlogged = {
    .hash = 31,
    .usable = true,
    .slots = 64,
    .load = 20,
    .backlog_tokens = 8000,
    .cached_tokens = 3000,
    .usual_gap_ms = USUAL_GAP_MS,
};

static const struct place_candidate without_backlog = {
    .hash = 37,
    .usable = true,
    .slots = 64,
    .load = 20,
    .usual_gap_ms = USUAL_GAP_MS,
};

static size_t
choose_of_two(const struct place_request *request,
              const struct place_candidate *first,
              const struct place_candidate *second)
{
    struct random_seeded seeded = {1};
    struct random_source random = random_seeded_interface(&seeded);
    const struct place_candidate candidates[] = {*first, *second};
    struct place_request seeded_request = *request;
    struct place_choice choice;

    seeded_request.random = &random;
    CU_ASSERT_FATAL(place_choose(&seeded_request, candidates, 2, &choice));
    return choice.index;
}

/// Guards against a long prompt that is prefilled behind a backlog while many
/// streams run: each of them pauses longer than its target.
static void
test_long_prompt_avoids_backlog(void)
{
    struct place_request request = long_prompt;

    CU_ASSERT(choose_of_two(&request, &backlogged, &without_backlog) == 0);
    request.gap_target_ms = 300;
    CU_ASSERT(choose_of_two(&request, &backlogged, &without_backlog) == 1);
}

/// No stream runs at an idle endpoint, and a short prompt adds no pause: both
/// stay where the prompt is cached.
static void
test_pause_without_victims(void)
{
    struct place_request request = long_prompt;
    struct place_candidate candidate = backlogged;

    request.gap_target_ms = 300;
    candidate.load = 0;
    candidate.backlog_tokens = 1000;
    CU_ASSERT(choose_of_two(&request, &candidate, &without_backlog) == 0);
    request.prompt_tokens = 3050;
    CU_ASSERT(choose_of_two(&request, &backlogged, &without_backlog) == 0);
}

/// Gaps that contain prefill or a stall must not raise the usual gap.
static void
test_usual_gap(void)
{
    struct pause_gaps gaps = {0};

    for (int i = 0; i < 200; i++) {
        pause_add_gap(&gaps, 38 + i % 5, 0, 1);
        pause_add_gap(&gaps, 200, 100, 1);
        pause_add_gap(&gaps, 100, 0, 2.5);
        pause_add_gap(&gaps, 5000, 0, 1);
        pause_add_gap(&gaps, -3, 0, 1);
    }
    CU_ASSERT_DOUBLE_EQUAL(gaps.usual_ms, 40, 2);
}

/// A stated slow-down must not outlive the slow period, and must be replaced
/// by a newer statement at once.
static void
test_stated_speed(void)
{
    struct speed speed = {0};

    CU_ASSERT(speed_slow_down(&speed, 1000) == 1);
    speed_add_stated(&speed, 250, 1000);
    CU_ASSERT_DOUBLE_EQUAL(speed_slow_down(&speed, 1000), 2.5, 0.01);
    CU_ASSERT_DOUBLE_EQUAL(speed_slow_down(&speed, 1300), 1.75, 0.01);
    CU_ASSERT(speed_slow_down(&speed, 1600) == 1);
    speed_add_stated(&speed, 250, 2000);
    speed_add_stated(&speed, 100, 2010);
    CU_ASSERT(speed_slow_down(&speed, 2010) == 1);
    // A speed above the usual attracts no requests, and a wrong one does not
    // exclude the endpoint for good.
    speed_add_stated(&speed, 10, 3000);
    CU_ASSERT(speed_slow_down(&speed, 3000) == 1);
    speed_add_stated(&speed, 5000, 3000);
    CU_ASSERT(speed_slow_down(&speed, 3000) == SPEED_SLOW_DOWN_MAX);
}

/// Gaps alone change nothing where no endpoint states a speed; an endpoint
/// that states 100 while its gaps are long is detected and reported once.
static void
test_gaps_contradict(void)
{
    struct speed silent = {0};
    struct speed speed = {0};
    int found = 0;

    for (int64_t ms = 1000; ms < 1400; ms += 20) {
        CU_ASSERT(!speed_add_gap(&silent, 2.5, ms));
        speed_add_stated(&speed, 100, ms);
        found += speed_add_gap(&speed, 2.5, ms) ? 1 : 0;
    }
    CU_ASSERT(speed_slow_down(&silent, 1400) == 1);
    CU_ASSERT(found == 1);
    CU_ASSERT(speed_slow_down(&speed, 1400) > 1.5);
    CU_ASSERT(!speed_add_gap(&speed, 1.1, 1410));
    CU_ASSERT(speed_slow_down(&speed, 1410) < 1.1);
}

/// A long prompt must not wait for a slow endpoint while an equal one works at
/// its usual speed, and the prediction of its first event covers the slow one.
static void
test_slow_endpoint_is_avoided(void)
{
    struct place_candidate slow = without_backlog;
    struct random_seeded seeded = {1};
    struct random_source random = random_seeded_interface(&seeded);
    struct place_request request = long_prompt;
    struct place_choice choice;

    slow.hash = 31;
    slow.slow_down = 2.5;
    slow.cached_tokens = 1000;
    CU_ASSERT(choose_of_two(&request, &slow, &without_backlog) == 1);
    request.random = &random;
    CU_ASSERT(place_choose(&request, &slow, 1, &choice));
    CU_ASSERT_DOUBLE_EQUAL(choice.predicted_prefill_ms, 2.5 * 3000 / 50, 0.1);
    // The only endpoint of two that has no work.
    request.has_prompt = false;
    slow.load = 0;
    CU_ASSERT(choose_of_two(&request, &slow, &without_backlog) == 0);
}

/// Estimates of 0, above the maximum or without any bound must not make a
/// request look empty or endless.
static void
test_expected_output_is_bounded(void)
{
    static const struct {
        struct footprint_output output;
        double tokens;
    } cases[] = {
        {{true, 300, 800}, 300},
        {{true, 0, 800}, FOOTPRINT_OUTPUT_TOKENS_MIN},
        {{true, UINT32_MAX, 800}, 800},
        {{true, UINT32_MAX, 0}, FOOTPRINT_OUTPUT_TOKENS_MAX},
        {{true, 300, 8}, 8},
        {{false, 0, 800}, 400},
        {{false, 0, 0}, 0},
    };
    const struct footprint_lengths none = {0};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT(footprint_expect_output(&none, &cases[i].output) ==
                  cases[i].tokens);
    }
}

/// Where half of the answers are much longer than estimated and half are much
/// shorter, the mean request needs more than its estimate says.
static void
test_output_factor_is_learned(void)
{
    const struct footprint_output output = {true, 320, 100000};
    struct footprint_lengths lengths = {0};

    for (int i = 0; i < 1000; i++) {
        footprint_add_answer(&lengths, &output, i % 2 == 0 ? 160 : 10);
    }
    // Events of 8 tokens: 1280 or 80 against 320.
    CU_ASSERT_DOUBLE_EQUAL(footprint_expect_output(&lengths, &output),
                           (1280 + 80) / 2.0, 70);
}

static struct place_candidate
random_candidate(const struct random_source *random, size_t index)
{
    return (struct place_candidate){
        .hash = 0x9e3779b97f4a7c15u * (index + 1),
        .usable = true,
        .slots = 64,
        .load = (uint32_t)(20 * random_unit(random)),
        .backlog_tokens = 3000 * random_unit(random),
        .cached_tokens = index % 3 == 0 ? 3000 : 0,
    };
}

/// Deployments without a target, or with a generous one at ordinary load, must
/// be served exactly as without the prediction.
static void
test_generous_target_changes_nothing(void)
{
    static const double targets_ms[] = {0, 600, 800};
    struct random_seeded load_seed = {7};
    struct random_source load_random = random_seeded_interface(&load_seed);

    for (size_t i = 0; i < PLACEMENTS; i++) {
        struct place_candidate candidates[CANDIDATES];
        struct place_choice choices[3];

        for (size_t j = 0; j < CANDIDATES; j++) {
            candidates[j] = random_candidate(&load_random, j);
        }
        for (size_t j = 0; j < 3; j++) {
            struct random_seeded seeded = {i + 1};
            struct random_source random = random_seeded_interface(&seeded);
            struct place_request request = long_prompt;

            request.random = &random;
            request.gap_target_ms = targets_ms[j];
            for (size_t k = 0; k < CANDIDATES; k++) {
                candidates[k].usual_gap_ms = j > 0 ? USUAL_GAP_MS : 0;
            }
            CU_ASSERT_FATAL(
                place_choose(&request, candidates, CANDIDATES, &choices[j]));
            CU_ASSERT(choices[j].index == choices[0].index &&
                      choices[j].cost_ms == choices[0].cost_ms);
        }
    }
}

void
suite_pace(void)
{
    CU_pSuite suite = CU_add_suite("pace", NULL, NULL);

    CU_add_test(suite, "long prompt avoids backlog",
                test_long_prompt_avoids_backlog);
    CU_add_test(suite, "pause without victims", test_pause_without_victims);
    CU_add_test(suite, "usual gap", test_usual_gap);
    CU_add_test(suite, "stated speed", test_stated_speed);
    CU_add_test(suite, "gaps contradict", test_gaps_contradict);
    CU_add_test(suite, "slow endpoint is avoided",
                test_slow_endpoint_is_avoided);
    CU_add_test(suite, "expected output is bounded",
                test_expected_output_is_bounded);
    CU_add_test(suite, "output factor is learned",
                test_output_factor_is_learned);
    CU_add_test(suite, "generous target changes nothing",
                test_generous_target_changes_nothing);
}
