/// Tests of placement by estimated loads.
#include <CUnit/CUnit.h>

#include "core/place.h"
#include "core/spread.h"
#include "suites.h"

/// An endpoint that a router has not heard from must not look idle: all
/// routers would prefer it, and prefill there what others have cached.
static void
test_unheard_endpoint_is_not_idle(void)
{
    struct place_candidate candidates[] = {
        {.usable = true, .stated_age_ms = -1},
        {.usable = true, .reported_load = 3, .stated_age_ms = -1},
        {.usable = true,
         .own_load = 1,
         .reported_load = 1,
         .stated_excess = 11,
         .stated_age_ms = 0},
        {.usable = true,
         .own_load = 2,
         .reported_load = 2,
         .stated_excess = -9,
         .stated_age_ms = 0},
    };

    spread_estimate(candidates, 4, 0.1);
    CU_ASSERT(candidates[0].load > 0);
    CU_ASSERT(candidates[1].load > 20 && candidates[1].load <= 30);
    CU_ASSERT(candidates[2].load == 12);
    CU_ASSERT(candidates[3].load == 2);
    for (size_t i = 0; i < 4; i++) {
        candidates[i].stated_age_ms = -1;
    }
    spread_estimate(candidates, 4, 1);
    CU_ASSERT(candidates[0].load == 0 && candidates[1].load == 3);
}

/// A session whose endpoint is unknown goes where its shared context is
/// cached. It was placed at a presumed home, which prefilled the context.
static void
test_unknown_session_keeps_context(void)
{
    struct random_seeded seeded = {.state = 5};
    struct random_source random = random_seeded_interface(&seeded);
    struct place_request request = {
        .random = &random,
        .has_prompt = true,
        .even_load = true,
        .prompt_tokens = 7400,
        .shared_tokens = 6900,
        .prefill_tokens_per_ms = 90,
        .cap_factor = 2,
        .cap_slack = 3,
    };
    struct place_candidate candidates[10] = {0};
    struct place_choice choice;

    for (size_t i = 0; i < 10; i++) {
        candidates[i].hash = 31 * (i + 1);
        candidates[i].usable = true;
        candidates[i].slots = 64;
    }
    candidates[4].cached_tokens = 6000;
    for (request.affinity = 1; request.affinity <= 50; request.affinity++) {
        CU_ASSERT(place_choose(&request, candidates, 10, &choice));
        CU_ASSERT(choice.index == 4);
    }
}

void
suite_spread(void)
{
    CU_pSuite suite = CU_add_suite("spread", NULL, NULL);

    CU_add_test(suite, "unheard endpoint is not idle",
                test_unheard_endpoint_is_not_idle);
    CU_add_test(suite, "unknown session keeps context",
                test_unknown_session_keeps_context);
}
