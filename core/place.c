#include "place.h"

#include <math.h>

/// Cost of the way to another zone, in ms; breaks ties between equal loads.
#define CROSS_ZONE_MS 4.0
/// Spread of a random part, so that routers do not all choose alike.
#define JITTER_MS 3.0

static uint64_t
mix(uint64_t a, uint64_t b)
{
    uint64_t x = a ^ (b * UINT64_C(0xbf58476d1ce4e5b9));

    x ^= x >> 30;
    x *= UINT64_C(0x94d049bb133111eb);
    return x ^ (x >> 31);
}

static double
mean_load(const struct place_candidate *candidates, size_t count,
          size_t *usable)
{
    double sum = 0;

    *usable = 0;
    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable) {
            sum += candidates[i].load;
            (*usable)++;
        }
    }
    return *usable > 0 ? sum / (double)*usable : 0;
}

/// The first two usable endpoints in the prompt's rendezvous order.
static void
find_homes(const struct place_request *request,
           const struct place_candidate *candidates, size_t count,
           size_t homes[2])
{
    uint64_t best[2] = {0, 0};

    homes[0] = homes[1] = SIZE_MAX;
    for (size_t i = 0; i < count; i++) {
        uint64_t score = mix(request->affinity, candidates[i].hash);

        if (!candidates[i].usable) {
            continue;
        }
        if (homes[0] == SIZE_MAX || score > best[0]) {
            homes[1] = homes[0];
            best[1] = best[0];
            homes[0] = i;
            best[0] = score;
        }
        else if (homes[1] == SIZE_MAX || score > best[1]) {
            homes[1] = i;
            best[1] = score;
        }
    }
}

static double
prompt_ms(const struct place_request *request,
          const struct place_candidate *candidate, bool is_home)
{
    double cached = candidate->cached_tokens;
    double uncached;

    if (!request->has_prompt) {
        return 0;
    }
    if (is_home && cached < PLACE_HOME_BELIEF * request->prompt_tokens) {
        cached = PLACE_HOME_BELIEF * request->prompt_tokens;
    }
    uncached = fmax(0, request->prompt_tokens - cached);
    return (candidate->backlog_tokens + uncached) / request->tokens_per_ms;
}

/// Requests beyond the slots wait their turn: each such costs a whole run.
static double
load_ms(const struct place_candidate *candidate)
{
    double over = (double)candidate->load - candidate->slots + 1;

    return PLACE_LOAD_MS * candidate->load +
           (over > 0 ? 20 * PLACE_LOAD_MS * over : 0);
}

bool
place_choose(const struct place_request *request,
             const struct place_candidate *candidates, size_t count,
             struct place_choice *choice)
{
    size_t homes[2] = {SIZE_MAX, SIZE_MAX};
    bool best_fits = false;
    bool found = false;
    double cap;

    *choice = (struct place_choice){0};
    choice->mean_load = mean_load(candidates, count, &choice->usable);
    cap = PLACE_CAP_SHARE *
          (request->cap_factor * choice->mean_load + request->cap_slack);
    if (request->has_prompt) {
        find_homes(request, candidates, count, homes);
    }
    for (size_t i = 0; i < count; i++) {
        const struct place_candidate *candidate = &candidates[i];
        bool is_home = i == homes[0];
        bool fits = candidate->load + 1 <= cap || candidate->load == 0;
        double first, cost;

        if (!candidate->usable) {
            continue;
        }
        first = prompt_ms(request, candidate, is_home);
        cost = first + load_ms(candidate) +
               (candidate->same_zone ? 0 : CROSS_ZONE_MS) +
               (i == homes[1] ? -JITTER_MS : 0) +
               JITTER_MS * random_unit(request->random);
        if (found && (best_fits > fits ||
                      (best_fits == fits && cost >= choice->cost_ms))) {
            continue;
        }
        found = true;
        best_fits = fits;
        choice->index = i;
        choice->cost_ms = cost;
        choice->first_ms = first;
        choice->reason = !fits                        ? PLACE_FULL
                         : candidate->cached_tokens > 0 ? PLACE_CACHED
                         : is_home                    ? PLACE_HOME
                                                      : PLACE_LIGHTEST;
    }
    return found;
}

const char *
place_reason_name(enum place_reason reason)
{
    static const char *const names[] = {
        [PLACE_CACHED] = "cached",
        [PLACE_HOME] = "home",
        [PLACE_LIGHTEST] = "lightest",
        [PLACE_FULL] = "full",
    };

    return names[reason];
}
