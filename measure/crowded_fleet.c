#include "crowded_fleet.h"

#include <math.h>
#include <stdlib.h>

#include "core/xmalloc.h"
#include "crowded_state.h"
#include "direct/endpoints.h"
#include "direct/mesh.h"

#define DURATION_MS 15000
#define WARM_UP_MS 5000
#define SAMPLE_MS 50
#define REQUESTS_PER_S 9.0 ///< for each endpoint
#define CACHED_MAX 40      ///< contexts that an endpoint caches
#define CONTEXT_TOKENS_MIN 2000
#define CONTEXT_TOKENS_MAX 10500
#define QUESTION_TOKENS 400
#define RETURNING_SHARE 0.5 ///< of requests: the next ones of a session
#define OUTPUT_TOKENS_MEAN 300
#define EVENT_TOKENS 8
/// Duration of an engine step, which grows with the running requests.
#define STEP_US 3500
#define STEP_US_PER_RUNNING 35
#define CHUNK_TOKENS 1536 ///< most prompt tokens in a step
#define SLOW_PERIOD_MS 600
#define SLOW_SHARE 0.15 ///< of the time
#define SLOW_FACTOR 2.5
/// Objectives of a stream.
#define FIRST_EVENT_MS 800
#define GAP_MS 300
#define PLACED_DELAY_MS 50 ///< until peers know of a placement
#define PLACED_RING 65536

static uint32_t
uniform(struct crowded *fleet, uint32_t bound)
{
    return (uint32_t)random_below(&fleet->load, bound);
}

static void
add_link(struct router *routers, uint32_t a, uint32_t b)
{
    for (size_t i = 0; i < routers[a].link_count; i++) {
        if (routers[a].links[i] == b) {
            return;
        }
    }
    if (a == b || routers[a].link_count == LINKS_MAX ||
        routers[b].link_count == LINKS_MAX) {
        return;
    }
    routers[a].links[routers[a].link_count++] = b;
    routers[b].links[routers[b].link_count++] = a;
}

static void
link_routers(struct crowded *fleet)
{
    size_t count = fleet->options.routers;

    for (uint32_t i = 0; i < count; i++) {
        if (count <= MESH_FULL_ROUTERS_MAX) {
            for (uint32_t j = 0; j < i; j++) {
                add_link(fleet->routers, i, j);
            }
            continue;
        }
        for (size_t j = 0; j < MESH_DIALED_MAX; j++) {
            add_link(fleet->routers, i, uniform(fleet, (uint32_t)count));
        }
    }
}

static void
init_routers(struct crowded *fleet)
{
    size_t count = fleet->options.routers;
    double sum = 0;

    for (size_t i = 0; i < count; i++) {
        fleet->routers[i].views =
            xcalloc(fleet->options.endpoints, sizeof(struct view));
        fleet->routers[i].sessions = xcalloc(SESSIONS, sizeof(uint16_t));
        sum += 0.5 + random_unit(&fleet->load);
        fleet->router_weights[i] = sum;
    }
    for (size_t i = 0; i < count; i++) {
        fleet->router_weights[i] /= sum;
    }
    link_routers(fleet);
    for (size_t i = 0; i < count; i++) {
        struct router *router = &fleet->routers[i];

        router->reports_ms = MESH_REPORT_MS + MESH_REPORT_MS_PER_PEER *
                                                  (int64_t)router->link_count;
        router->report_ms = uniform(fleet, (uint32_t)router->reports_ms);
    }
}

static void
init_prompts(struct crowded *fleet)
{
    double sum = 0;

    for (size_t i = 0; i < CONTEXTS; i++) {
        fleet->context_tokens[i] =
            CONTEXT_TOKENS_MIN +
            uniform(fleet, CONTEXT_TOKENS_MAX - CONTEXT_TOKENS_MIN);
        sum += 1 / pow(1.0 + (double)i, 0.7);
        fleet->context_weights[i] = sum;
    }
    for (size_t i = 0; i < CONTEXTS; i++) {
        fleet->context_weights[i] /= sum;
    }
    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        for (size_t j = 0; j < CONTEXTS; j++) {
            fleet->engines[i].used_ms[j] = -1;
        }
    }
}

static size_t
draw(struct crowded *fleet, const double *weights, size_t count)
{
    double at = random_unit(&fleet->load);
    size_t i = 0;

    while (i + 1 < count && weights[i] < at) {
        i++;
    }
    return i;
}

static struct prompt
draw_prompt(struct crowded *fleet)
{
    struct prompt prompt = {0};
    bool returning = random_unit(&fleet->load) < RETURNING_SHARE;
    uint32_t back = 1 + uniform(fleet, SESSIONS / 2);

    prompt.context = (uint32_t)draw(fleet, fleet->context_weights, CONTEXTS);
    prompt.session = (uint32_t)(fleet->session_count % SESSIONS);
    if (returning && back < fleet->session_count) {
        prompt.returning = true;
        prompt.session = (uint32_t)((fleet->session_count - back) % SESSIONS);
        prompt.context = fleet->session_contexts[prompt.session];
    }
    else {
        fleet->session_count++;
        fleet->session_contexts[prompt.session] = (uint16_t)prompt.context;
        fleet->session_endpoints[prompt.session] = 0;
        for (size_t i = 0; i < fleet->options.routers; i++) {
            fleet->routers[i].sessions[prompt.session] = 0;
        }
    }
    prompt.shared = fleet->context_tokens[prompt.context] +
                    (prompt.returning ? HISTORY_TOKENS : 0);
    prompt.tokens = prompt.shared + QUESTION_TOKENS;
    return prompt;
}

/// Caches the context in place of the least recently used one. The routers'
/// estimates evict it as the endpoint does.
static void
cache_context(struct crowded *fleet, size_t e, size_t context)
{
    struct engine *engine = &fleet->engines[e];
    size_t oldest = context;

    if (engine->used_ms[context] < 0 && ++engine->cached > CACHED_MAX) {
        for (size_t i = 0; i < CONTEXTS; i++) {
            if (engine->used_ms[i] >= 0 &&
                (oldest == context ||
                 engine->used_ms[i] < engine->used_ms[oldest])) {
                oldest = i;
            }
        }
        engine->used_ms[oldest] = -1;
        engine->cached--;
        for (size_t i = 0; i < fleet->options.routers; i++) {
            fleet->routers[i].views[e].caches[oldest] = false;
        }
    }
    engine->used_ms[context] = fleet->now_ms;
}

static void
note_placed(struct crowded *fleet, size_t router, size_t e,
            const struct prompt *prompt)
{
    fleet->placed[fleet->placed_tail++ % PLACED_RING] = (struct placed){
        .due_ms = fleet->now_ms + PLACED_DELAY_MS,
        .router = (uint32_t)router,
        .endpoint = (uint16_t)e,
        .context = (uint16_t)prompt->context,
        .session = (uint16_t)prompt->session,
    };
    fleet->routers[router].views[e].caches[prompt->context] = true;
    fleet->routers[router].sessions[prompt->session] = (uint16_t)(e + 1);
}

static void
deliver_placed(struct crowded *fleet)
{
    while (fleet->placed_head < fleet->placed_tail) {
        const struct placed *placed =
            &fleet->placed[fleet->placed_head % PLACED_RING];
        const struct router *from = &fleet->routers[placed->router];

        if (placed->due_ms > fleet->now_ms) {
            return;
        }
        for (size_t i = 0; i < from->link_count; i++) {
            struct router *to = &fleet->routers[from->links[i]];

            to->views[placed->endpoint].caches[placed->context] = true;
            to->sessions[placed->session] = (uint16_t)(placed->endpoint + 1);
        }
        fleet->placed_head++;
    }
}

static double
true_mean(const struct crowded *fleet)
{
    double sum = 0;

    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        sum += (double)fleet->engines[i].count;
    }
    return sum / (double)fleet->options.endpoints;
}

static void
place_request(struct crowded *fleet)
{
    struct prompt prompt = draw_prompt(fleet);
    size_t router = draw(fleet, fleet->router_weights, fleet->options.routers);
    double output = -log(1 - random_unit(&fleet->load)) * OUTPUT_TOKENS_MEAN;
    size_t e = crowded_choose(fleet, router, &prompt);
    struct engine *engine = &fleet->engines[e];
    struct view *view = &fleet->routers[router].views[e];
    uint32_t cached = crowded_true_cached(fleet, &prompt, e);
    bool counts = fleet->now_ms >= WARM_UP_MS;
    struct call call = {
        .router = (uint32_t)router,
        .tokens_left = 1 + (uint32_t)output,
        .prefill_left = prompt.tokens - cached,
        .prompt_uncached = prompt.tokens - fleet->candidates[e].cached_tokens,
        .arrived_us = fleet->now_ms * 1000,
    };

    if (engine->count == ACTIVE_MAX) {
        fleet->result->late++;
        return;
    }
    fleet->result->requests += counts;
    fleet->result->again_tokens += counts ? prompt.shared - cached : 0;
    fleet->result->over_cap +=
        counts &&
        (double)engine->count + 1 > CAP_FACTOR * true_mean(fleet) + CAP_SLACK;
    engine->calls[engine->count++] = call;
    view->own++;
    view->own_backlog += call.prompt_uncached;
    cache_context(fleet, e, prompt.context);
    fleet->session_endpoints[prompt.session] = (uint16_t)(e + 1);
    note_placed(fleet, router, e, &prompt);
}

/// The router learns the endpoint's load from the head of the answer, as in
/// endpoint_note_stated_load().
static void
start_answer(struct crowded *fleet, size_t e, struct call *call)
{
    struct view *view = &fleet->routers[call->router].views[e];
    double excess = (double)fleet->engines[e].count - view->own - view->peers;

    call->started = true;
    view->own_backlog -= call->prompt_uncached;
    view->unreported += (float)(ENDPOINTS_UNREPORTED_LOAD_WEIGHT *
                                (excess - view->unreported));
    if (view->unreported < 0) {
        view->unreported = 0;
    }
    view->unreported_ms = (int32_t)fleet->now_ms;
    view->stated_excess = (float)excess;
    view->answered = true;
}

/// True if the request has ended.
static bool
add_token(struct crowded *fleet, size_t e, struct call *call, int64_t now_us)
{
    int64_t since_us = call->started ? call->event_us : call->arrived_us;
    int64_t limit_ms = call->started ? GAP_MS : FIRST_EVENT_MS;

    call->tokens_left--;
    if (++call->event_tokens % EVENT_TOKENS == 0 || call->tokens_left == 0) {
        call->late = call->late || now_us - since_us > limit_ms * 1000;
        call->event_us = now_us;
        if (!call->started) {
            start_answer(fleet, e, call);
        }
    }
    if (call->tokens_left > 0) {
        return false;
    }
    fleet->routers[call->router].views[e].own--;
    fleet->result->late +=
        call->late && call->arrived_us >= (int64_t)WARM_UP_MS * 1000;
    return true;
}

static void
run_step(struct crowded *fleet, size_t e)
{
    struct engine *engine = &fleet->engines[e];
    double slow = fleet->now_ms < engine->slow_until_ms ? SLOW_FACTOR : 1;
    int64_t now_us = engine->step_ends_us;
    uint32_t chunk = 0;
    size_t running = 0, kept = 0;

    for (size_t i = 0; i < engine->count; i++) {
        struct call *call = &engine->calls[i];
        bool ended = false;

        if (kept < SLOTS && call->prefill_left > 0 && chunk == 0) {
            chunk = call->prefill_left < CHUNK_TOKENS ? call->prefill_left
                                                      : CHUNK_TOKENS;
            call->prefill_left -= chunk;
        }
        else if (kept < SLOTS && call->prefill_left == 0) {
            running++;
            ended = add_token(fleet, e, call, now_us);
        }
        if (!ended) {
            engine->calls[kept++] = *call;
        }
    }
    engine->count = kept;
    engine->step_ends_us +=
        (int64_t)(slow * (STEP_US + STEP_US_PER_RUNNING * (double)running +
                          1000 * chunk / PREFILL_TOKENS_PER_MS));
}

static void
run_engines(struct crowded *fleet)
{
    const double slow_per_ms = SLOW_SHARE / (1 - SLOW_SHARE) / SLOW_PERIOD_MS;

    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        struct engine *engine = &fleet->engines[i];
        bool begins = random_unit(&fleet->load) < slow_per_ms;

        if (begins && fleet->now_ms >= engine->slow_until_ms) {
            engine->slow_until_ms = fleet->now_ms + SLOW_PERIOD_MS;
        }
        while (engine->step_ends_us <= fleet->now_ms * 1000) {
            run_step(fleet, i);
        }
    }
}

static void
send_reports(struct crowded *fleet)
{
    for (size_t i = 0; i < fleet->options.routers; i++) {
        struct router *router = &fleet->routers[i];

        if (fleet->now_ms < router->report_ms) {
            continue;
        }
        router->report_ms += router->reports_ms;
        for (size_t e = 0; e < fleet->options.endpoints; e++) {
            struct view *view = &router->views[e];

            if (view->own == view->reported &&
                view->own_backlog == view->reported_backlog) {
                continue;
            }
            for (size_t j = 0; j < router->link_count; j++) {
                struct view *to = &fleet->routers[router->links[j]].views[e];

                to->peers += view->own - view->reported;
                to->peers_backlog +=
                    view->own_backlog - view->reported_backlog;
            }
            view->reported = view->own;
            view->reported_backlog = view->own_backlog;
        }
    }
}

static void
sample(struct crowded *fleet)
{
    double mean = true_mean(fleet);
    double square = 0;
    bool over = false, under = false;

    for (size_t i = 0; i < fleet->options.endpoints; i++) {
        double load = (double)fleet->engines[i].count;

        square += (load - mean) * (load - mean);
        over = over || load > 1.5 * mean;
        under = under || load < 0.5 * mean;
    }
    fleet->samples++;
    fleet->result->mean_load += mean;
    fleet->result->variation +=
        sqrt(square / (double)fleet->options.endpoints) / mean;
    fleet->result->uneven_share += over && under;
}

static void
step(struct crowded *fleet)
{
    double rate = REQUESTS_PER_S * (double)fleet->options.endpoints / 1000;

    run_engines(fleet);
    deliver_placed(fleet);
    send_reports(fleet);
    while (fleet->next_request_ms < (double)(fleet->now_ms + 1)) {
        place_request(fleet);
        fleet->next_request_ms -= log(1 - random_unit(&fleet->load)) / rate;
    }
    if (fleet->now_ms >= WARM_UP_MS && fleet->now_ms % SAMPLE_MS == 0) {
        sample(fleet);
    }
}

void
crowded_run(const struct crowded_options *options,
            struct crowded_result *result)
{
    struct crowded fleet = {
        .options = *options,
        .load_seed.state = options->seed,
        .choice_seed.state = options->seed + 1000,
        .engines = xcalloc(options->endpoints, sizeof(struct engine)),
        .routers = xcalloc(options->routers, sizeof(struct router)),
        .router_weights = xcalloc(options->routers, sizeof(double)),
        .placed = xcalloc(PLACED_RING, sizeof(struct placed)),
        .candidates =
            xcalloc(options->endpoints, sizeof(struct place_candidate)),
        .result = result,
    };

    *result = (struct crowded_result){0};
    fleet.load = random_seeded_interface(&fleet.load_seed);
    fleet.choice = random_seeded_interface(&fleet.choice_seed);
    init_routers(&fleet);
    init_prompts(&fleet);
    for (; fleet.now_ms < DURATION_MS; fleet.now_ms++) {
        step(&fleet);
    }
    result->variation /= fleet.samples;
    result->uneven_share /= fleet.samples;
    result->mean_load /= fleet.samples;
    for (size_t i = 0; i < options->routers; i++) {
        free(fleet.routers[i].views);
        free(fleet.routers[i].sessions);
    }
    free(fleet.engines);
    free(fleet.routers);
    free(fleet.router_weights);
    free(fleet.placed);
    free(fleet.candidates);
}
