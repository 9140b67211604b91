#include "place.h"

#include <math.h>

#include "pause.h"

/// Cost of a request to another zone; breaks ties between equal loads.
#define CROSS_ZONE_COST_MS 2.0
/// Range of a random cost, so that routers do not all choose alike.
#define COST_JITTER_MS 1.0
/// Zones whose best fetch sources are compared.
#define ZONES_MAX 8

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

bool
place_has_queue(const struct place_candidate *candidate)
{
    return candidate->slots > 0 && candidate->load >= candidate->slots;
}

/// Finds the first usable endpoints in the prompt's rendezvous order.
static void
find_homes(const struct place_request *request,
           const struct place_candidate *candidates, size_t count,
           size_t homes[PLACE_HOMES_MAX])
{
    uint64_t best[PLACE_HOMES_MAX] = {0};

    for (size_t i = 0; i < PLACE_HOMES_MAX; i++) {
        homes[i] = SIZE_MAX;
    }
    for (size_t i = 0; i < count; i++) {
        uint64_t score = mix(request->affinity, candidates[i].hash);
        size_t at = PLACE_HOMES_MAX;

        if (!candidates[i].usable) {
            continue;
        }
        while (at > 0 && (homes[at - 1] == SIZE_MAX || score > best[at - 1])) {
            at--;
        }
        if (at == PLACE_HOMES_MAX) {
            continue;
        }
        for (size_t j = PLACE_HOMES_MAX - 1; j > at; j--) {
            homes[j] = homes[j - 1];
            best[j] = best[j - 1];
        }
        homes[at] = i;
        best[at] = score;
    }
}

/// True if a usable endpoint is recorded to have the shared parts of the
/// prompt cached. With `even_load`, half of the tokens are enough: a session
/// whose endpoint is unknown goes where its other parts are cached.
static bool
is_cached_anywhere(const struct place_request *request,
                   const struct place_candidate *candidates, size_t count)
{
    uint32_t enough = request->even_load ? request->shared_tokens / 2
                                         : request->shared_tokens;

    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable && candidates[i].cached_tokens >= enough) {
            return true;
        }
    }
    return false;
}

/// Tokens of the prompt that the endpoint has to prefill.
static double
uncached_tokens(const struct place_request *request,
                const struct place_candidate *candidate, size_t home)
{
    static const double presumed_shares[PLACE_HOMES_MAX] = {1.0, 0.6, 0.3};
    double cached = candidate->cached_tokens;

    if (home < PLACE_HOMES_MAX &&
        cached < presumed_shares[home] * request->shared_tokens) {
        cached = presumed_shares[home] * request->shared_tokens;
    }
    return fmax(0, request->prompt_tokens - cached);
}

static size_t
home_rank(const size_t homes[PLACE_HOMES_MAX], size_t index)
{
    size_t home = 0;

    while (home < PLACE_HOMES_MAX && homes[home] != index) {
        home++;
    }
    return home;
}

/// How much longer than usual work takes there.
static double
slow_down_of(const struct place_candidate *candidate)
{
    return candidate->slow_down > 0 ? candidate->slow_down : 1;
}

/// A request beyond the slots waits until another one has run, so each adds
/// the cost of 20 requests in flight.
static double
load_cost_ms(const struct place_candidate *candidate)
{
    double over = (double)candidate->load - candidate->slots + 1;

    return PLACE_IN_FLIGHT_COST_MS * candidate->load +
           (slow_down_of(candidate) - 1) * PLACE_IN_FLIGHT_COST_MS *
               (candidate->load + 1) +
           (over > 0 ? 20 * PLACE_IN_FLIGHT_COST_MS * over : 0);
}

/// With `even_load`, prompts leave the endpoint of a short history sooner.
static double
even_load_cost_ms(const struct place_request *request,
                  const struct place_candidate *candidate)
{
    return request->even_load ? PLACE_EVEN_LOAD_COST_MS * candidate->load : 0;
}

static double
cap_share(size_t routers)
{
    double others = routers > PLACE_CAP_SHARE_ROUTERS
                        ? (double)(routers - PLACE_CAP_SHARE_ROUTERS)
                        : 0;

    return fmax(PLACE_CAP_SHARE_MIN,
                PLACE_CAP_SHARE - PLACE_CAP_SHARE_PER_ROUTER * others);
}

static enum place_reason
reason_of(const struct place_candidate *candidate, bool fits, size_t home)
{
    if (!fits) {
        return PLACE_FULL;
    }
    if (candidate->cached_tokens > 0) {
        return PLACE_CACHED;
    }
    return home == 0 ? PLACE_HOME : PLACE_LIGHTEST;
}

static double
fetch_ms(const struct place_request *request,
         const struct place_candidate *from, const struct place_candidate *to,
         uint32_t tokens)
{
    double ms =
        PLACE_FETCH_SETUP_MS + (double)tokens / request->fetch_tokens_per_ms;

    return from->zone == to->zone ? ms : PLACE_FETCH_CROSS_ZONE_FACTOR * ms;
}

/// For each zone, the candidate that has most of the prompt cached.
struct sources {
    size_t index[ZONES_MAX];
    size_t count;
};

static void
find_sources(const struct place_request *request,
             const struct place_candidate *candidates, size_t count,
             struct sources *sources)
{
    sources->count = 0;
    if (!request->has_prompt || request->fetch_tokens_per_ms <= 0) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        const struct place_candidate *from = &candidates[i];
        size_t at = 0;

        if (!from->sends_contexts || from->cached_tokens == 0) {
            continue;
        }
        while (at < sources->count &&
               candidates[sources->index[at]].zone != from->zone) {
            at++;
        }
        if (at == ZONES_MAX) {
            continue;
        }
        if (at == sources->count) {
            sources->count++;
            sources->index[at] = i;
        }
        else if (from->cached_tokens >
                 candidates[sources->index[at]].cached_tokens) {
            sources->index[at] = i;
        }
    }
}

/// What a candidate saves by fetching a context.
struct saving {
    size_t source; ///< PLACE_NO_SOURCE: fetching saves too little
    uint32_t tokens;
    double prefill_ms; ///< prefill time saved
    double fetch_ms;   ///< transfer time spent instead
};

static struct saving
find_best_saving(const struct place_request *request,
                 const struct place_candidate *candidates,
                 const struct sources *sources,
                 const struct place_candidate *to)
{
    struct saving best = {.source = PLACE_NO_SOURCE};

    for (size_t i = 0; i < sources->count; i++) {
        const struct place_candidate *from = &candidates[sources->index[i]];
        struct saving saving = {.source = sources->index[i]};

        if (from->cached_tokens <= to->cached_tokens) {
            continue;
        }
        saving.tokens = from->cached_tokens - to->cached_tokens;
        saving.prefill_ms =
            slow_down_of(to) * saving.tokens / request->prefill_tokens_per_ms;
        saving.fetch_ms = fetch_ms(request, from, to, saving.tokens);
        if (saving.prefill_ms >= PLACE_FETCH_SPEEDUP_MIN * saving.fetch_ms &&
            saving.prefill_ms - saving.fetch_ms >
                best.prefill_ms - best.fetch_ms) {
            best = saving;
        }
    }
    return best;
}

static void
predict_pause(const struct place_request *request,
              const struct place_candidate *candidate, double prefill_ms,
              double backlog_ms, struct place_choice *choice)
{
    double slow_down = slow_down_of(candidate);
    const struct pause_inputs inputs = {
        .target_ms = request->gap_target_ms,
        .usual_gap_ms = candidate->usual_gap_ms,
        .backlog_ms = backlog_ms / slow_down,
        .prefill_ms = prefill_ms / slow_down,
        .slow_down = slow_down,
        .streams = candidate->load,
    };

    choice->predicted_pause_ms =
        pause_predict_ms(&inputs, inputs.backlog_ms + inputs.prefill_ms);
    choice->cost.pause_ms = pause_cost_ms(&inputs);
    choice->cost_ms += choice->cost.pause_ms;
}

static void
predict(const struct place_request *request,
        const struct place_candidate *candidate, size_t home,
        const struct saving *saving, struct place_choice *choice)
{
    struct place_cost *cost = &choice->cost;
    double prefill_ms = 0;
    double backlog_ms = 0;

    if (request->has_prompt) {
        double slow_down = slow_down_of(candidate);

        prefill_ms =
            fmax(0, slow_down * uncached_tokens(request, candidate, home) /
                            request->prefill_tokens_per_ms -
                        saving->prefill_ms);
        backlog_ms = slow_down * candidate->backlog_tokens /
                     request->prefill_tokens_per_ms;
    }
    choice->predicted_prefill_ms = prefill_ms + saving->fetch_ms + backlog_ms;
    *cost = (struct place_cost){
        .prefill_ms = PLACE_PREFILL_WEIGHT * prefill_ms,
        .fetch_ms = PLACE_FETCH_WEIGHT * saving->fetch_ms,
        .backlog_ms = backlog_ms,
        .load_ms = load_cost_ms(candidate),
        .zone_ms = candidate->same_zone || !request->has_prompt
                       ? 0
                       : CROSS_ZONE_COST_MS,
        .jitter_ms = COST_JITTER_MS * random_unit(request->random),
    };
    choice->cost_ms = cost->prefill_ms + cost->fetch_ms + cost->backlog_ms +
                      cost->load_ms + cost->zone_ms + cost->jitter_ms;
    predict_pause(request, candidate, prefill_ms, backlog_ms, choice);
    choice->source = saving->source;
    choice->fetched_tokens = saving->tokens;
}

bool
place_choose(const struct place_request *request,
             const struct place_candidate *candidates, size_t count,
             struct place_choice *choice)
{
    size_t homes[PLACE_HOMES_MAX] = {SIZE_MAX, SIZE_MAX, SIZE_MAX};
    struct sources sources;
    bool best_fits = false;
    bool found = false;
    double cap;

    *choice = (struct place_choice){.source = PLACE_NO_SOURCE};
    choice->mean_load = mean_load(candidates, count, &choice->usable);
    cap = cap_share(request->routers) *
          (request->cap_factor * choice->mean_load + request->cap_slack);
    if (request->has_prompt &&
        !is_cached_anywhere(request, candidates, count)) {
        find_homes(request, candidates, count, homes);
    }
    find_sources(request, candidates, count, &sources);
    for (size_t i = 0; i < count; i++) {
        const struct place_candidate *candidate = &candidates[i];
        struct saving saving;
        size_t home = home_rank(homes, i);
        bool fits = candidate->load + 1 <= cap || candidate->load == 0;
        struct place_choice here = *choice;

        if (!candidate->usable) {
            continue;
        }
        saving = find_best_saving(request, candidates, &sources, candidate);
        predict(request, candidate, home, &saving, &here);
        here.cost.even_load_ms = even_load_cost_ms(request, candidate);
        here.cost.rate_ms = candidate->rate_limited ? -PLACE_RATE_BONUS_MS : 0;
        here.cost_ms += here.cost.even_load_ms + here.cost.rate_ms;
        here.index = i;
        here.load = candidate->load;
        here.reason = reason_of(candidate, fits, home);
        if (request->considered != NULL) {
            request->considered[i] = here;
        }
        if (found && (best_fits > fits || (best_fits == fits &&
                                           here.cost_ms >= choice->cost_ms))) {
            continue;
        }
        found = true;
        best_fits = fits;
        *choice = here;
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
