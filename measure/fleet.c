#include "fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <utlist.h>

#include "core/xmalloc.h"
#include "dandelionvalve/breaker.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/gate.h"
#include "dandelionvalve/members.h"
#include "dandelionvalve/retry.h"
#include "dandelionvalve/route.h"
#include "timeline.h"
#include "key_cache.h"

#define SERVICE_MEAN_US 2000000.0
#define NETWORK_DELAY_MIN_US 300
#define NETWORK_DELAY_SPREAD_US 1200
#define ZIPF_EXPONENT 0.9
#define SLOTS 100000
#define QUEUE_MAX 100000
#define TICK_US 50000
#define REPORTS_PER_TICK_MAX 2
#define REPORT_AGE_MIN_US 100000
#define REPORT_REPEAT_US 1000000 ///< of an unchanged number
#define STALE_MEAN_INTERVAL_US 5000000
#define DEADLINE_MS 60000
#define HERD_REQUESTS_PER_ENGINE 1000
#define FAILURE_DELAY_US 50000
#define CHURN_PERIOD_US 60000000.0 ///< churn of 10% of the engines
#define REPLACE_DELAY_US 15000000  ///< from the start of a drain
#define RESTART_DELAY_US 2000000
#define LIST_CHANGE_INTERVAL_US 10000000
#define CHURN_EVENTS_PER_DRAIN 3
#define ENGINES_MAX 256

enum event_type {
    EVENT_ARRIVE,
    EVENT_OFFER,
    EVENT_REPLY,
    EVENT_END,
    EVENT_END_RECEIVED,
    EVENT_LOST,
    EVENT_FAILURE,
    EVENT_IN_FLIGHT_REPORT,
    EVENT_STATE,
    EVENT_TICK,
    EVENT_CHURN,
    EVENT_RESTART,
    EVENT_STALE_MEAN,
    EVENT_ENDPOINT_LISTS,
};

struct request {
    struct fleet *fleet;
    size_t router;
    size_t key;
    size_t engine;
    char *tried[ROUTE_TRIED_MAX];
    size_t tried_count;
    struct route_choice choice;
    int64_t arrived_us;
    bool running;   ///< in the in-flight count of its router
    bool executing; ///< the engine runs it
    size_t runs;    ///< admitted attempts
    uint64_t epoch; ///< epoch of the engine at the admission
    struct request *prev;
    struct request *next;
    int64_t reply_us; ///< arrival of the last reply; the end follows it
    // The reply in transit.
    bool accepted;
    enum refuse_reason reason;
    struct load_report load;
};

struct engine {
    struct fleet *fleet;
    size_t index;
    char name[16];
    uint64_t seed;
    struct gate *gate;
    struct breaker breaker;
    struct key_cache *cache;
    uint64_t incarnation;
    uint32_t running;
    uint64_t admissions;
    uint64_t epoch; ///< incremented at each crash and replacement
    bool failing;   ///< fails every request
};

struct router {
    struct fleet *fleet;
    size_t index;
    char name[16];
    struct route *route;
    struct members *members;
    struct retry_budget budget;
    int64_t reported_us[ENGINES_MAX]; ///< time of the last report
    uint32_t reported_in_flight[ENGINES_MAX];
    size_t next_engine; ///< where the next round of reports starts
};

struct fleet {
    struct fleet_options options;
    struct fleet_result result;
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    gsl_rng *rng;
    gsl_ran_discrete_t *zipf;
    struct timeline *events;
    struct engine *engines;
    struct router *routers;
    uint64_t running;
    double stale_mean;
    int64_t *hints; ///< by key: engine of the last answer, or -1
    uint64_t measured_requests;
    uint64_t measured_cache_hits;
    uint64_t offers;
    uint64_t churns;
    double wait_us;
    struct request *requests;
};

static void
add_event(struct fleet *fleet, int64_t delay_us, enum event_type type, int a,
          int b, void *data)
{
    timeline_add(fleet->events, (struct timed_event){
                                    .at_us = fleet->manual.now_us + delay_us,
                                    .type = (int)type,
                                    .a = a,
                                    .b = b,
                                    .data = data,
                                });
}

static int64_t
network_delay(struct fleet *fleet)
{
    return NETWORK_DELAY_MIN_US +
           (int64_t)random_below(&fleet->random, NETWORK_DELAY_SPREAD_US);
}

static bool
uses_gate(const struct fleet *fleet)
{
    return fleet->options.policy == FLEET_PRODUCT;
}

/// Number of engines that accept requests.
static size_t
ready_engines(const struct fleet *fleet)
{
    size_t ready = 0;

    for (size_t i = 0; i < fleet->options.engines; i++) {
        ready += gate_state(fleet->engines[i].gate) == AGENT_READY;
    }
    return ready;
}

static void
check_bound(struct fleet *fleet, const struct engine *engine)
{
    double mean = (double)fleet->running / (double)fleet->options.engines;
    double bound = ceil(fleet->options.bound_multiple * mean);

    fleet->result.admissions++;
    if ((double)engine->running <= (bound < 1 ? 1 : bound)) {
        return;
    }
    fleet->result.over_bound++;
    if ((double)engine->running / mean > fleet->result.worst_ratio) {
        fleet->result.worst_ratio = (double)engine->running / mean;
    }
}

static void
admit(struct fleet *fleet, struct request *request)
{
    struct engine *engine = &fleet->engines[request->engine];
    bool cached = key_cache_use(engine->cache, request->key);
    double service = -SERVICE_MEAN_US * log(1 - random_unit(&fleet->random));
    bool after_warm_up =
        fleet->manual.now_us >= fleet->options.duration_us / 3 ||
        fleet->options.scenario == FLEET_HERD;

    request->executing = true;
    request->runs++;
    request->epoch = engine->epoch;
    engine->running++;
    engine->admissions++;
    fleet->running++;
    check_bound(fleet, engine);
    fleet->measured_requests += after_warm_up;
    fleet->measured_cache_hits += after_warm_up && cached;
    fleet->wait_us += (double)(fleet->manual.now_us - request->arrived_us);
    add_event(fleet, engine->failing ? FAILURE_DELAY_US : (int64_t)service,
              engine->failing ? EVENT_FAILURE : EVENT_END,
              (int)request->engine, (int)engine->epoch, request);
}

static void
reply(struct fleet *fleet, struct request *request, bool accepted,
      enum refuse_reason reason)
{
    request->accepted = accepted;
    request->reason = reason;
    request->load = gate_load_report(fleet->engines[request->engine].gate);
    request->reply_us = fleet->manual.now_us + network_delay(fleet);
    add_event(fleet, request->reply_us - fleet->manual.now_us, EVENT_REPLY, 0,
              0, request);
}

static void
on_admitted(void *ctx, void *data)
{
    struct engine *engine = ctx;

    admit(engine->fleet, data);
    reply(engine->fleet, data, true, 0);
}

static void
on_dropped(void *ctx, void *data, enum refuse_reason reason,
           uint32_t retry_after_ms)
{
    struct engine *engine = ctx;

    (void)retry_after_ms;
    reply(engine->fleet, data, false, reason);
}

static void
on_offer(struct fleet *fleet, struct request *request, uint32_t in_flight)
{
    struct engine *engine = &fleet->engines[request->engine];
    const struct gate_request offer = {
        .account = STR_LITERAL("account"),
        .account_weight = 1,
        .deadline_ms = clock_ms(&fleet->clock) + DEADLINE_MS,
        .may_wait = request->choice.may_wait,
        .request = request,
    };
    struct gate_decision decision;

    gate_set_router_in_flight(engine->gate,
                              str_from(fleet->routers[request->router].name),
                              in_flight);
    gate_set_router_pool_weight(
        engine->gate, str_from(fleet->routers[request->router].name),
        route_usable_weight(fleet->routers[request->router].route));
    decision = gate_offer(engine->gate, &offer);
    if (decision.verdict == GATE_QUEUED) {
        fleet->result.queued++;
        return;
    }
    if (decision.verdict == GATE_ADMITTED) {
        admit(fleet, request);
    }
    reply(fleet, request, decision.verdict == GATE_ADMITTED, decision.reason);
}

static void
clear_tried(struct request *request)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        free(request->tried[i]);
    }
    request->tried_count = 0;
}

/// Called at the end of the run only: pending events refer to requests.
static void
request_free(struct request *request)
{
    clear_tried(request);
    DL_DELETE(request->fleet->requests, request);
    free(request);
}

static size_t
engine_index(const struct fleet *fleet, struct str name)
{
    for (size_t i = 0; i < fleet->options.engines; i++) {
        if (str_equal_c(name, fleet->engines[i].name)) {
            return i;
        }
    }
    BUG("unknown engine");
}

static void
fill_route_request(const struct fleet *fleet, const struct request *request,
                   struct route_request *out)
{
    int64_t hint = fleet->hints[request->key];

    *out = (struct route_request){
        .key_hash = str_hash(
            (struct str){(const char *)&request->key, sizeof(request->key)},
            0),
        .has_key = true,
        .tried_count = request->tried_count,
    };
    if (fleet->options.hints && hint >= 0) {
        out->hint = str_from(fleet->engines[hint].name);
    }
    for (size_t i = 0; i < request->tried_count; i++) {
        out->tried[i] = str_from(request->tried[i]);
    }
}

/// Updates the router's in-flight count.
static void
set_running(struct fleet *fleet, struct request *request, bool running)
{
    struct route *route = fleet->routers[request->router].route;

    if (request->running == running) {
        return;
    }
    request->running = running;
    if (running) {
        route_begin(route);
    }
    else {
        route_end(route);
    }
}

static void
dispatch(struct fleet *fleet, struct request *request)
{
    struct router *router = &fleet->routers[request->router];
    struct route_request route_request;
    size_t engine;

    fill_route_request(fleet, request, &route_request);
    if (request->tried_count == ROUTE_TRIED_MAX ||
        !route_pick(router->route, &route_request, &request->choice)) {
        fleet->result.refused++;
        set_running(fleet, request, false);
        return;
    }
    engine = engine_index(fleet, request->choice.endpoint);
    request->engine = engine;
    fleet->offers++;
    router->reported_us[engine] = fleet->manual.now_us;
    router->reported_in_flight[engine] = route_in_flight(router->route);
    add_event(fleet, network_delay(fleet), EVENT_OFFER,
              (int)route_in_flight(router->route), 0, request);
}

static uint64_t
rendezvous(const struct engine *engine, size_t key)
{
    return str_hash((struct str){(const char *)&key, sizeof(key)},
                    engine->seed);
}

static bool
is_ready(const struct engine *engine)
{
    return gate_state(engine->gate) == AGENT_READY;
}

/// The highest-scored engine whose load with this request is within the bound;
/// without one, the highest-scored engine.
static size_t
first_below_bound(const struct fleet *fleet, size_t key, double bound)
{
    size_t best = SIZE_MAX;
    size_t home = SIZE_MAX;

    for (size_t i = 0; i < fleet->options.engines; i++) {
        const struct engine *engine = &fleet->engines[i];
        uint64_t score = rendezvous(engine, key);

        if (!is_ready(engine)) {
            continue;
        }
        if (home == SIZE_MAX ||
            score > rendezvous(&fleet->engines[home], key)) {
            home = i;
        }
        if ((double)engine->running + 1 <= bound &&
            (best == SIZE_MAX ||
             score > rendezvous(&fleet->engines[best], key))) {
            best = i;
        }
    }
    return best != SIZE_MAX ? best : home;
}

static size_t
two_choices(struct fleet *fleet)
{
    size_t a = random_below(&fleet->random, fleet->options.engines);
    size_t b = random_below(&fleet->random, fleet->options.engines);

    while (!is_ready(&fleet->engines[a])) {
        a = (a + 1) % fleet->options.engines;
    }
    if (!is_ready(&fleet->engines[b])) {
        b = a;
    }
    return fleet->engines[a].running <= fleet->engines[b].running ? a : b;
}

/// The baselines use current loads, except for the stale mean.
static size_t
choose_baseline(struct fleet *fleet, size_t key)
{
    double mean = (double)(fleet->running + 1) / (double)ready_engines(fleet);

    switch (fleet->options.policy) {
    case FLEET_OMNISCIENT:
        return first_below_bound(
            fleet, key, fmax(1, ceil(fleet->options.bound_multiple * mean)));
    case FLEET_STALE_MEAN:
        return first_below_bound(
            fleet, key,
            fmax(1, ceil(fleet->options.bound_multiple * fleet->stale_mean)));
    case FLEET_TWO_CHOICES:
        return two_choices(fleet);
    default:
        return first_below_bound(fleet, key, INFINITY);
    }
}

static void
on_arrive(struct fleet *fleet, size_t key)
{
    struct request *request = xcalloc(1, sizeof(*request));

    request->fleet = fleet;
    DL_APPEND(fleet->requests, request);
    request->key = key;
    request->router = random_below(&fleet->random, fleet->options.routers);
    request->arrived_us = fleet->manual.now_us;
    fleet->result.requests++;
    if (uses_gate(fleet)) {
        retry_count_request(&fleet->routers[request->router].budget);
        dispatch(fleet, request);
        return;
    }
    if (ready_engines(fleet) == 0) {
        fleet->result.refused++;
        return;
    }
    fleet->offers++;
    request->engine = choose_baseline(fleet, key);
    admit(fleet, request);
}

static void
record_load_report(struct router *router, const struct engine *engine,
                   const struct load_report *load)
{
    struct str name = str_from(engine->name);

    members_update_state(router->members, name, load->incarnation,
                         load->state);
    members_mark_reachable(router->members, name);
    route_record_load(router->route, name, load);
}

static void
on_reply(struct fleet *fleet, struct request *request)
{
    struct router *router = &fleet->routers[request->router];
    struct engine *engine = &fleet->engines[request->engine];
    struct route_request route_request;

    record_load_report(router, engine, &request->load);
    if (request->accepted) {
        set_running(fleet, request, true);
        fill_route_request(fleet, request, &route_request);
        route_record_placement(router->route, &route_request,
                               str_from(engine->name), request->choice.reason);
        fleet->hints[request->key] = (int64_t)request->engine;
        return;
    }
    if (request->reason == REFUSE_OVER_BOUND ||
        request->reason == REFUSE_FULL ||
        request->reason == REFUSE_QUEUE_FULL) {
        route_record_refusal(router->route, str_from(engine->name));
    }
    if (request->reason == REFUSE_OVER_BOUND && request->choice.may_wait) {
        clear_tried(request);
    }
    else if (request->tried_count < ROUTE_TRIED_MAX) {
        request->tried[request->tried_count++] = xstrdup(engine->name);
    }
    dispatch(fleet, request);
}

static void
on_end(struct fleet *fleet, struct request *request, size_t index,
       uint64_t epoch)
{
    struct engine *engine = &fleet->engines[index];

    if (!request->executing || epoch != request->epoch ||
        index != request->engine) {
        return;
    }
    if (fleet->manual.now_us < request->reply_us) {
        add_event(fleet, request->reply_us - fleet->manual.now_us + 1,
                  EVENT_END, (int)index, (int)epoch, request);
        return;
    }
    request->executing = false;
    engine->running--;
    fleet->running--;
    if (!uses_gate(fleet)) {
        return;
    }
    gate_request_ended(engine->gate);
    request->load = gate_load_report(engine->gate);
    add_event(fleet, network_delay(fleet), EVENT_END_RECEIVED, 0, 0, request);
}

/// The agent has reported a lost run. Retries within the attempt limit and the
/// retry budget.
static void
on_lost(struct fleet *fleet, struct request *request)
{
    struct router *router = &fleet->routers[request->router];

    set_running(fleet, request, false);
    if (request->runs >= fleet->options.attempts_max) {
        fleet->result.lost++;
        return;
    }
    if (!retry_take(&router->budget)) {
        fleet->result.lost++;
        fleet->result.retries_denied++;
        return;
    }
    dispatch(fleet, request);
}

static void
send_state(struct fleet *fleet, const struct engine *engine)
{
    for (size_t i = 0; i < fleet->options.routers; i++) {
        add_event(fleet, network_delay(fleet), EVENT_STATE, (int)i,
                  (int)engine->index, NULL);
    }
}

static void
update_state(struct engine *engine)
{
    struct fleet *fleet = engine->fleet;
    enum agent_state state =
        breaker_is_open(&engine->breaker) ? AGENT_ENDPOINT_DOWN : AGENT_READY;

    if (engine->failing && gate_state(engine->gate) != state) {
        gate_set_state(engine->gate, state);
        send_state(fleet, engine);
    }
}

/// A failing engine loses one request; its agent reports this to the router.
static void
on_failure(struct fleet *fleet, struct request *request)
{
    struct engine *engine = &fleet->engines[request->engine];

    request->executing = false;
    engine->running--;
    fleet->running--;
    if (!uses_gate(fleet)) {
        return;
    }
    if (fleet->options.breaker) {
        breaker_failure(&engine->breaker);
        update_state(engine);
    }
    gate_request_ended(engine->gate);
    add_event(fleet, network_delay(fleet), EVENT_LOST, 0, 0, request);
}

/// Ends all requests of an engine as lost; its agent reports them to the
/// routers.
static void
fail_running(struct fleet *fleet, struct engine *engine)
{
    struct request *request;

    DL_FOREACH(fleet->requests, request)
    {
        int64_t delay = network_delay(fleet);

        if (!request->executing || request->engine != engine->index) {
            continue;
        }
        request->executing = false;
        engine->running--;
        fleet->running--;
        if (!uses_gate(fleet)) {
            continue;
        }
        gate_request_ended(engine->gate);
        if (fleet->manual.now_us + delay <= request->reply_us) {
            delay = request->reply_us - fleet->manual.now_us + 1;
        }
        add_event(fleet, delay, EVENT_LOST, 0, 0, request);
    }
}

static void
on_end_received(struct fleet *fleet, struct request *request)
{
    struct router *router = &fleet->routers[request->router];
    size_t engine = request->engine;

    record_load_report(router, &fleet->engines[engine], &request->load);
    set_running(fleet, request, false);
    router->reported_us[engine] = fleet->manual.now_us;
    router->reported_in_flight[engine] = route_in_flight(router->route);
    add_event(fleet, network_delay(fleet), EVENT_IN_FLIGHT_REPORT,
              (int)router->index, (int)engine,
              (void *)(uintptr_t)router->reported_in_flight[engine]);
}

/// Sends the in-flight number to engines whose last report is old, at most
/// REPORTS_PER_TICK_MAX per tick.
static void
report_in_flight(struct fleet *fleet, struct router *router)
{
    uint32_t in_flight = route_in_flight(router->route);
    size_t sent = 0;

    router->next_engine++;
    for (size_t i = 0;
         i < fleet->options.engines && sent < REPORTS_PER_TICK_MAX; i++) {
        size_t engine = (router->next_engine + i) % fleet->options.engines;

        int64_t age_us = fleet->manual.now_us - router->reported_us[engine];

        if (age_us < REPORT_AGE_MIN_US ||
            (router->reported_in_flight[engine] == in_flight &&
             (in_flight == 0 || age_us < REPORT_REPEAT_US))) {
            continue;
        }
        router->reported_us[engine] = fleet->manual.now_us;
        router->reported_in_flight[engine] = in_flight;
        fleet->result.in_flight_reports++;
        sent++;
        add_event(fleet, network_delay(fleet), EVENT_IN_FLIGHT_REPORT,
                  (int)router->index, (int)engine,
                  (void *)(uintptr_t)in_flight);
    }
}

static void
on_tick(struct fleet *fleet)
{
    for (size_t i = 0; i < fleet->options.engines; i++) {
        if (fleet->options.breaker) {
            update_state(&fleet->engines[i]);
        }
        gate_tick(fleet->engines[i].gate);
    }
    for (size_t i = 0; i < fleet->options.routers; i++) {
        members_tick(fleet->routers[i].members);
        report_in_flight(fleet, &fleet->routers[i]);
    }
    if (fleet->manual.now_us < fleet->options.duration_us) {
        add_event(fleet, TICK_US, EVENT_TICK, 0, 0, NULL);
    }
}

/// Drains or crashes one random engine.
static void
on_churn(struct fleet *fleet)
{
    struct engine *engine =
        &fleet->engines[random_below(&fleet->random, fleet->options.engines)];
    bool leaves = fleet->churns++ % CHURN_EVENTS_PER_DRAIN == 0;

    add_event(fleet,
              (int64_t)(CHURN_PERIOD_US * 10 / (double)fleet->options.engines),
              EVENT_CHURN, 0, 0, NULL);
    if (!is_ready(engine)) {
        return;
    }
    if (leaves) {
        gate_set_state(engine->gate, AGENT_LEAVING);
    }
    else {
        gate_set_state(engine->gate, AGENT_ENDPOINT_DOWN);
        fail_running(fleet, engine);
        engine->epoch++;
        key_cache_clear(engine->cache);
    }
    send_state(fleet, engine);
    add_event(fleet, leaves ? REPLACE_DELAY_US : RESTART_DELAY_US,
              EVENT_RESTART, (int)engine->index, leaves, NULL);
}

static void engine_start(struct engine *engine);

static void
on_restart(struct fleet *fleet, struct engine *engine, bool left)
{
    if (left) {
        // After the drain, a new process replaces the engine and its agent.
        fail_running(fleet, engine);
        engine->epoch++;
        gate_free(engine->gate);
        key_cache_clear(engine->cache);
        engine_start(engine);
    }
    else {
        gate_set_state(engine->gate, AGENT_READY);
    }
    send_state(fleet, engine);
}

static void
engine_start(struct engine *engine)
{
    struct fleet *fleet = engine->fleet;
    const struct gate_options gate = {
        .clock = &fleet->clock,
        .random = &fleet->random,
        .slots = SLOTS,
        .incarnation = ++engine->incarnation,
        .bound_multiple = fleet->options.bound_multiple,
        .drift_margin = GATE_DRIFT_MARGIN,
        .report_max_age_ms = GATE_REPORT_MAX_AGE_MS,
        .queue_requests_max = QUEUE_MAX,
        .queue_bytes_max = SIZE_MAX / 2,
        .admitted = on_admitted,
        .dropped = on_dropped,
        .ctx = engine,
    };
    const struct breaker_options breaker = {
        .clock = &fleet->clock,
        .failures_max = BREAKER_FAILURES_MAX,
        .open_min_ms = BREAKER_OPEN_MIN_MS,
        .open_max_ms = BREAKER_OPEN_MAX_MS,
    };

    engine->gate = gate_new(&gate);
    breaker_init(&engine->breaker, &breaker);
    gate_set_pool(engine->gate, fleet->options.engines, 1);
}

static void
on_changed(void *ctx, const struct member *member)
{
    struct router *router = ctx;

    route_set_use(router->route, member->info.name, member->use);
}

static void
on_removed(void *ctx, const struct member *member)
{
    struct router *router = ctx;

    route_remove(router->route, member->info.name);
}

static void
on_probe(void *ctx, const struct member *member)
{
    (void)ctx;
    (void)member;
}

static void
apply_engine_list(struct fleet *fleet, struct router *router)
{
    struct member_info infos[ENGINES_MAX];

    for (size_t i = 0; i < fleet->options.engines; i++) {
        infos[i] = (struct member_info){
            .name = str_from(fleet->engines[i].name),
            .role = MEMBER_AGENT,
            .pool = STR_LITERAL("pool"),
            .weight = 1,
        };
    }
    members_apply_list(router->members, infos, fleet->options.engines);
}

static void
router_start(struct fleet *fleet, struct router *router, size_t index)
{
    const struct route_options route = {
        .clock = &fleet->clock,
        .random = &fleet->random,
        .refusal_backoff_ms = ROUTE_REFUSAL_BACKOFF_MS,
        .report_max_age_ms = ROUTE_REPORT_MAX_AGE_MS,
        .placements_max = ROUTE_PLACEMENTS_MAX,
        .rendezvous_places = ROUTE_RENDEZVOUS_PLACES,
        .refusals_max = ROUTE_REFUSALS_MAX,
    };
    const struct members_options members = {
        .clock = &fleet->clock,
        .silent_ms = 30000,
        .hold_ms = 60000,
        .probe_ms = 1000,
        .changed = on_changed,
        .removed = on_removed,
        .probe = on_probe,
        .ctx = router,
    };

    const struct retry_options retry = {
        .clock = &fleet->clock,
        .window_ms = 10000,
        .budget_percent = fleet->options.retry_percent,
    };

    router->fleet = fleet;
    router->index = index;
    snprintf(router->name, sizeof(router->name), "router-%zu", index);
    router->route = route_new(&route);
    router->members = members_new(&members);
    retry_init(&router->budget, &retry);
    for (size_t i = 0; i < fleet->options.engines; i++) {
        const struct route_endpoint_options endpoint = {
            .name = str_from(fleet->engines[i].name),
            .weight = 1,
        };

        route_add(router->route, &endpoint);
    }
    apply_engine_list(fleet, router);
}

/// Each router lacks a random 10% of the engines.
static void
on_endpoint_lists(struct fleet *fleet)
{
    for (size_t i = 0; i < fleet->options.routers; i++) {
        struct route *route = fleet->routers[i].route;

        for (size_t j = 0; j < fleet->options.engines; j++) {
            bool missing = random_below(&fleet->random, 10) == 0;

            route_set_use(route, str_from(fleet->engines[j].name),
                          missing ? MEMBER_UNUSABLE : MEMBER_USABLE);
        }
    }
    add_event(fleet, LIST_CHANGE_INTERVAL_US, EVENT_ENDPOINT_LISTS, 0, 0,
              NULL);
}

static size_t
random_key(struct fleet *fleet)
{
    if (fleet->options.scenario == FLEET_HOT_KEY &&
        random_below(&fleet->random, 2) == 0) {
        return 0;
    }
    return gsl_ran_discrete(fleet->rng, fleet->zipf);
}

static void
schedule_arrival(struct fleet *fleet)
{
    double rate = fleet->options.mean_load * (double)fleet->options.engines /
                  SERVICE_MEAN_US;
    double wait = -log(1 - random_unit(&fleet->random)) / rate;

    if (fleet->options.scenario == FLEET_HERD ||
        fleet->manual.now_us >= fleet->options.duration_us) {
        return;
    }
    add_event(fleet, (int64_t)wait, EVENT_ARRIVE, (int)random_key(fleet), 1,
              NULL);
}

static void
schedule_reconnections(struct fleet *fleet)
{
    size_t count = HERD_REQUESTS_PER_ENGINE * fleet->options.engines;

    for (size_t i = 0; i < count; i++) {
        add_event(fleet, (int64_t)random_below(&fleet->random, 1000000),
                  EVENT_ARRIVE, (int)random_key(fleet), 0, NULL);
    }
}

static void
handle(struct fleet *fleet, const struct timed_event *event)
{
    struct router *router;

    switch ((enum event_type)event->type) {
    case EVENT_ARRIVE:
        on_arrive(fleet, (size_t)event->a);
        if (event->b) {
            schedule_arrival(fleet);
        }
        return;
    case EVENT_OFFER:
        on_offer(fleet, event->data, (uint32_t)event->a);
        return;
    case EVENT_REPLY:
        on_reply(fleet, event->data);
        return;
    case EVENT_END:
        on_end(fleet, event->data, (size_t)event->a, (uint64_t)event->b);
        return;
    case EVENT_END_RECEIVED:
        on_end_received(fleet, event->data);
        return;
    case EVENT_LOST:
        on_lost(fleet, event->data);
        return;
    case EVENT_FAILURE:
        on_failure(fleet, event->data);
        return;
    case EVENT_IN_FLIGHT_REPORT:
        gate_set_router_in_flight(fleet->engines[event->b].gate,
                                  str_from(fleet->routers[event->a].name),
                                  (uint32_t)(uintptr_t)event->data);
        gate_set_router_pool_weight(
            fleet->engines[event->b].gate,
            str_from(fleet->routers[event->a].name),
            route_usable_weight(fleet->routers[event->a].route));
        return;
    case EVENT_STATE: {
        struct load_report load =
            gate_load_report(fleet->engines[event->b].gate);

        router = &fleet->routers[event->a];
        record_load_report(router, &fleet->engines[event->b], &load);
        return;
    }
    case EVENT_TICK:
        on_tick(fleet);
        return;
    case EVENT_CHURN:
        on_churn(fleet);
        return;
    case EVENT_RESTART:
        on_restart(fleet, &fleet->engines[event->a], event->b != 0);
        return;
    case EVENT_STALE_MEAN:
        fleet->stale_mean =
            (double)fleet->running / (double)fleet->options.engines;
        add_event(fleet, STALE_MEAN_INTERVAL_US, EVENT_STALE_MEAN, 0, 0, NULL);
        return;
    case EVENT_ENDPOINT_LISTS:
        on_endpoint_lists(fleet);
        return;
    }
}

static void
fleet_start(struct fleet *fleet)
{
    const struct fleet_options *options = &fleet->options;
    double *weights = xcalloc(options->keys, sizeof(*weights));

    fleet->clock = manual_clock_interface(&fleet->manual);
    fleet->seeded.state = options->seed;
    fleet->random = random_seeded_interface(&fleet->seeded);
    fleet->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(fleet->rng, options->seed);
    for (size_t i = 0; i < options->keys; i++) {
        weights[i] = pow((double)i + 1, -ZIPF_EXPONENT);
    }
    fleet->zipf = gsl_ran_discrete_preproc(options->keys, weights);
    free(weights);
    fleet->events = timeline_new();
    fleet->hints = xcalloc(options->keys, sizeof(*fleet->hints));
    for (size_t i = 0; i < options->keys; i++) {
        fleet->hints[i] = -1;
    }
    fleet->engines = xcalloc(options->engines, sizeof(*fleet->engines));
    for (size_t i = 0; i < options->engines; i++) {
        struct engine *engine = &fleet->engines[i];

        engine->fleet = fleet;
        engine->index = i;
        engine->seed = options->seed * 1000 + i;
        snprintf(engine->name, sizeof(engine->name), "engine-%zu", i);
        engine->cache = key_cache_new(options->cache_keys);
        engine->failing = options->scenario == FLEET_OUTAGE && i % 2 == 0;
        engine_start(engine);
    }
    fleet->routers = xcalloc(options->routers, sizeof(*fleet->routers));
    for (size_t i = 0; i < options->routers; i++) {
        router_start(fleet, &fleet->routers[i], i);
    }
}

static void
fleet_schedule(struct fleet *fleet)
{
    add_event(fleet, TICK_US, EVENT_TICK, 0, 0, NULL);
    add_event(fleet, STALE_MEAN_INTERVAL_US, EVENT_STALE_MEAN, 0, 0, NULL);
    if (fleet->options.scenario == FLEET_HERD) {
        schedule_reconnections(fleet);
    }
    else {
        schedule_arrival(fleet);
    }
    if (fleet->options.scenario == FLEET_CHURN) {
        add_event(fleet, 5000000, EVENT_CHURN, 0, 0, NULL);
    }
    if (fleet->options.scenario == FLEET_DISAGREE && uses_gate(fleet)) {
        add_event(fleet, 0, EVENT_ENDPOINT_LISTS, 0, 0, NULL);
    }
}

static void
fleet_stop(struct fleet *fleet)
{
    while (fleet->requests != NULL) {
        request_free(fleet->requests);
    }
    for (size_t i = 0; i < fleet->options.engines; i++) {
        gate_free(fleet->engines[i].gate);
        key_cache_free(fleet->engines[i].cache);
    }
    for (size_t i = 0; i < fleet->options.routers; i++) {
        members_free(fleet->routers[i].members);
        route_free(fleet->routers[i].route);
    }
    timeline_free(fleet->events);
    gsl_ran_discrete_free(fleet->zipf);
    gsl_rng_free(fleet->rng);
    free(fleet->hints);
    free(fleet->engines);
    free(fleet->routers);
}

static void
finish_result(struct fleet *fleet)
{
    struct fleet_result *result = &fleet->result;
    double busiest = 0;

    for (size_t i = 0; i < fleet->options.engines; i++) {
        double admissions = (double)fleet->engines[i].admissions;

        busiest = admissions > busiest ? admissions : busiest;
    }
    result->skew = busiest * (double)fleet->options.engines /
                   (double)(result->admissions > 0 ? result->admissions : 1);
    result->hops = (double)fleet->offers / (double)result->requests;
    result->queued /= (double)result->requests;
    result->mean_wait_ms = fleet->wait_us / 1000 / (double)result->admissions;
    result->reuse = fleet->measured_requests > 0
                        ? (double)fleet->measured_cache_hits /
                              (double)fleet->measured_requests
                        : 0;
}

struct fleet_result
fleet_run(const struct fleet_options *options)
{
    struct fleet fleet = {.options = *options};
    struct timed_event event;

    INVARIANT(options->engines <= ENGINES_MAX);
    fleet_start(&fleet);
    fleet_schedule(&fleet);
    while (timeline_next(fleet.events, &event)) {
        // The results cover the time in which requests arrive, not the end
        // of the last answers.
        if (event.at_us > options->duration_us) {
            timeline_add(fleet.events, event);
            break;
        }
        fleet.manual.now_us = event.at_us;
        handle(&fleet, &event);
    }
    finish_result(&fleet);
    fleet_stop(&fleet);
    return fleet.result;
}
