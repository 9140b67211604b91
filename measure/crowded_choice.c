#include "crowded_state.h"

#include <math.h>

#include "core/spread.h"
#include "direct/endpoints.h"

/// Time in which the weight of a reported load decays to 1/e.
#define DECAY_MS 500.0
#define SUBSET_ENDPOINTS 8

static uint32_t
cached_tokens(const struct crowded *fleet, const struct prompt *prompt,
              bool has_context, bool has_session)
{
    if (!has_context) {
        return 0;
    }
    return fleet->context_tokens[prompt->context] +
           (prompt->returning && has_session ? HISTORY_TOKENS : 0);
}

uint32_t
crowded_true_cached(const struct crowded *fleet, const struct prompt *prompt,
                    size_t e)
{
    return cached_tokens(fleet, prompt,
                         fleet->engines[e].used_ms[prompt->context] >= 0,
                         fleet->session_endpoints[prompt->session] == e + 1);
}

static uint32_t
true_backlog(const struct engine *engine)
{
    uint32_t sum = 0;

    for (size_t i = 0; i < engine->count; i++) {
        sum += engine->calls[i].prefill_left;
    }
    return sum;
}

static uint32_t
known_load(const struct crowded *fleet, const struct view *view)
{
    uint32_t load = view->own + view->peers;

    if (fleet->now_ms - view->unreported_ms < ENDPOINTS_UNREPORTED_LOAD_MS) {
        load += (uint32_t)view->unreported;
    }
    return load;
}

static void
fill_candidates(struct crowded *fleet, const struct router *router,
                const struct prompt *prompt)
{
    bool complete = fleet->options.way == CROWDED_COMPLETE;

    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        const struct view *view = &router->views[i];

        fleet->candidates[i] = (struct place_candidate){
            .hash = (i + 1) * UINT64_C(0x9e3779b97f4a7c15),
            .usable = true,
            .same_zone = true,
            .load = complete ? (uint32_t)fleet->engines[i].count
                             : known_load(fleet, view),
            .slots = SLOTS,
            .own_load = view->own,
            .reported_load = view->own + view->peers,
            .stated_excess = view->stated_excess,
            .stated_age_ms =
                view->answered ? fleet->now_ms - view->unreported_ms : -1,
            .backlog_tokens = complete
                                  ? true_backlog(&fleet->engines[i])
                                  : view->own_backlog + view->peers_backlog,
            .cached_tokens =
                complete ? crowded_true_cached(fleet, prompt, i)
                         : cached_tokens(
                               fleet, prompt, view->caches[prompt->context],
                               router->sessions[prompt->session] == i + 1),
        };
    }
}

static double
mean_candidate_load(const struct crowded *fleet)
{
    double sum = 0;

    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        sum += fleet->candidates[i].load;
    }
    return sum / (double)fleet->options.endpoints;
}

/// The candidates that have most of the prompt cached, as far as they are
/// below the cap; returns their number.
static size_t
find_cached(const struct crowded *fleet, uint16_t *pool)
{
    double cap = PLACE_CAP_SHARE_MIN *
                 (CAP_FACTOR * mean_candidate_load(fleet) + CAP_SLACK);
    uint32_t most = 0;
    size_t count = 0;

    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        const struct place_candidate *candidate = &fleet->candidates[i];

        if (candidate->load + 1 > cap || candidate->cached_tokens < most) {
            continue;
        }
        if (candidate->cached_tokens > most) {
            most = candidate->cached_tokens;
            count = 0;
        }
        pool[count++] = (uint16_t)i;
    }
    return most > 0 ? count : 0;
}

static void
keep_only(struct crowded *fleet, const uint16_t *pool, size_t count)
{
    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        fleet->candidates[i].usable = false;
    }
    for (size_t i = 0; i < count; i++) {
        fleet->candidates[pool[i]].usable = true;
    }
}

static void
keep_few(struct crowded *fleet, uint16_t *pool, size_t count)
{
    size_t few = fleet->options.routers <= 10 ? 4 : 2;

    for (size_t i = 0; i < few && i < count; i++) {
        size_t j = i + random_below(&fleet->choice, count - i);
        uint16_t swapped = pool[i];

        pool[i] = pool[j];
        pool[j] = swapped;
    }
    keep_only(fleet, pool, count < few ? count : few);
}

static void
keep_by_free_capacity(struct crowded *fleet, uint16_t *pool, size_t count)
{
    double cap = CAP_FACTOR * mean_candidate_load(fleet) + CAP_SLACK;
    double sum = 0, at;

    for (size_t i = 0; i < count; i++) {
        sum += cap - fleet->candidates[pool[i]].load;
    }
    at = sum * random_unit(&fleet->choice);
    for (size_t i = 0; i < count; i++) {
        at -= cap - fleet->candidates[pool[i]].load;
        if (at < 0 || i + 1 == count) {
            keep_only(fleet, &pool[i], 1);
            return;
        }
    }
}

static uint64_t
subset_score(const struct crowded *fleet, size_t router, size_t e)
{
    struct random_seeded seeded = {.state =
                                       router * UINT64_C(0xbf58476d1ce4e5b9) ^
                                       fleet->candidates[e].hash};
    struct random_source source = random_seeded_interface(&seeded);

    return random_next(&source);
}

static void
keep_subset(struct crowded *fleet, size_t router, uint16_t *pool, size_t count)
{
    size_t kept = 0;

    for (; kept < SUBSET_ENDPOINTS && kept < count; kept++) {
        for (size_t j = kept + 1; j < count; j++) {
            if (subset_score(fleet, router, pool[j]) >
                subset_score(fleet, router, pool[kept])) {
                uint16_t swapped = pool[j];

                pool[j] = pool[kept];
                pool[kept] = swapped;
            }
        }
    }
    keep_only(fleet, pool, kept);
}

/// Peers report at random times, so their reports are half an interval old.
static void
decay_loads(struct crowded *fleet, const struct router *router)
{
    double weight = exp(-(double)router->reports_ms / 2 / DECAY_MS);
    double sum = 0;
    size_t count = fleet->options.endpoints;

    for (size_t i = 0; i < count; i++) {
        sum += fleet->candidates[i].load - router->views[i].own;
    }
    for (size_t i = 0; i < count; i++) {
        double peers = fleet->candidates[i].load - router->views[i].own;

        fleet->candidates[i].load =
            router->views[i].own +
            (uint32_t)(weight * peers + (1 - weight) * sum / (double)count +
                       0.5);
    }
}

/// Routers receive alike requests, so each unknown one is taken to have as
/// many requests at an endpoint as this one.
static void
multiply_own(struct crowded *fleet, const struct router *router)
{
    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        fleet->candidates[i].load +=
            router->views[i].own *
            (uint32_t)(fleet->options.routers - 1 - router->link_count);
    }
}

static size_t
choose_least(const struct crowded *fleet)
{
    size_t least = random_below(&fleet->choice, fleet->options.endpoints);

    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        if (fleet->candidates[i].load < fleet->candidates[least].load) {
            least = i;
        }
    }
    return least;
}

static void
prepare(struct crowded *fleet, size_t router)
{
    uint16_t pool[1024];
    size_t count = find_cached(fleet, pool);

    if (fleet->options.way == CROWDED_DECAY) {
        decay_loads(fleet, &fleet->routers[router]);
    }
    else if (fleet->options.way == CROWDED_OWN) {
        multiply_own(fleet, &fleet->routers[router]);
    }
    else if (count == 0) {
        return;
    }
    else if (fleet->options.way == CROWDED_FEW) {
        keep_few(fleet, pool, count);
    }
    else if (fleet->options.way == CROWDED_FREE) {
        keep_by_free_capacity(fleet, pool, count);
    }
    else if (fleet->options.way == CROWDED_SUBSET) {
        keep_subset(fleet, router, pool, count);
    }
}

size_t
crowded_choose(struct crowded *fleet, size_t router,
               const struct prompt *prompt)
{
    const struct place_request request = {
        .random = &fleet->choice,
        .has_prompt = true,
        .even_load = fleet->options.way == CROWDED_EVEN ||
                     fleet->options.way == CROWDED_HOMES,
        .known_share = (double)(fleet->routers[router].link_count + 1) /
                       (double)fleet->options.routers,
        .affinity = (prompt->context + 1) * UINT64_C(0x94d049bb133111eb) +
                    (prompt->returning ? prompt->session + 1 : 0),
        .prompt_tokens = prompt->tokens,
        .shared_tokens = prompt->shared,
        .prefill_tokens_per_ms = PREFILL_TOKENS_PER_MS,
        .cap_factor = CAP_FACTOR,
        .cap_slack = CAP_SLACK,
        .routers = fleet->options.routers,
    };
    struct place_choice choice;

    fill_candidates(fleet, &fleet->routers[router], prompt);
    if (fleet->options.way == CROWDED_LEAST) {
        return choose_least(fleet);
    }
    prepare(fleet, router);
    if (fleet->options.way == CROWDED_EVEN ||
        fleet->options.way == CROWDED_GUESS) {
        spread_estimate(fleet->candidates, fleet->options.endpoints,
                        request.known_share);
    }
    place_choose(&request, fleet->candidates, fleet->options.endpoints,
                 &choice);
    return choice.index;
}
