#include "pool.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "core/timing.h"
#include "core/place.h"
#include "core/shed.h"
#include "core/xmalloc.h"
#include "dandelionvalve/clock.h"

#define LOAD_CAP_FACTOR 2
#define CAP_SLACK_REQUESTS 3
/// Endpoints tried per attempt.
#define OFFERS_MAX 3

struct request {
    size_t router;
    size_t endpoint;
    int64_t arrived_ms; ///< time of the first attempt
    int64_t offered_ms;
    int64_t ends_ms;     ///< end of the run
    int64_t retry_at_ms; ///< time of the retry after a refusal
    bool is_retry;
    bool delay_counted; ///< by the shedding controller
    struct request *prev;
    struct request *next;
};

struct pool {
    const struct pool_options *options;
    struct pool_result *result;
    struct random_seeded seeded;
    struct random_source random;
    struct shed sheds[POOL_ROUTERS_MAX];
    uint32_t in_flight[POOL_ROUTERS_MAX][POOL_ENDPOINTS_MAX];
    uint32_t reported_in_flight[POOL_ROUTERS_MAX][POOL_ENDPOINTS_MAX];
    struct request *running[POOL_ENDPOINTS_MAX];
    struct request *waiting[POOL_ENDPOINTS_MAX];
    size_t running_count[POOL_ENDPOINTS_MAX];
    size_t waiting_count[POOL_ENDPOINTS_MAX];
    struct request *retrying;
    int64_t now_ms;
};

struct pool_options
pool_plain_service(uint64_t seed, size_t routers, double load)
{
    struct pool_options options = {
        .seed = seed,
        .routers = routers,
        .endpoints = 3,
        .slots = 6,
        .queue = 24,
        .run_mean_ms = 60,
        .objective_ms = 300,
        .deadline_ms = 1500,
        .duration_ms = 20000,
        .report_interval_ms = 430,
    };

    options.requests_per_s = load * pool_capacity_per_s(&options);
    return options;
}

double
pool_capacity_per_s(const struct pool_options *options)
{
    return 1000.0 * (double)(options->slots * options->endpoints) /
           (double)options->run_mean_ms;
}

static void
run_request(struct pool *pool, struct request *request)
{
    size_t at = request->endpoint;
    uint64_t spread_ms = 2 * (uint64_t)pool->options->run_mean_ms;

    request->ends_ms =
        pool->now_ms + 1 + (int64_t)random_below(&pool->random, spread_ms);
    DL_APPEND(pool->running[at], request);
    pool->running_count[at]++;
}

/// False if all slots are busy and the queue is full.
static bool
endpoint_accepts(struct pool *pool, struct request *request)
{
    size_t at = request->endpoint;

    if (pool->running_count[at] < pool->options->slots) {
        run_request(pool, request);
        return true;
    }
    if (pool->waiting_count[at] < pool->options->queue) {
        DL_APPEND(pool->waiting[at], request);
        pool->waiting_count[at]++;
        return true;
    }
    return false;
}

/// False if no endpoint is left that has not been tried.
static bool
choose(struct pool *pool, size_t router, const bool *tried, size_t *at)
{
    const struct pool_options *options = pool->options;
    const struct place_request request = {
        .random = &pool->random,
        .cap_factor = LOAD_CAP_FACTOR,
        .cap_slack = CAP_SLACK_REQUESTS,
        .routers = options->routers,
    };
    struct place_candidate candidates[POOL_ENDPOINTS_MAX];
    struct place_choice choice;

    for (size_t i = 0; i < options->endpoints; i++) {
        candidates[i] = (struct place_candidate){
            .hash = i + 1,
            .usable = !tried[i],
            .same_zone = router % options->endpoints == i,
            .slots = (uint32_t)options->slots,
            .load = pool->in_flight[router][i],
        };
        for (size_t j = 0; options->peer_loads && j < options->routers; j++) {
            candidates[i].load +=
                j != router ? pool->reported_in_flight[j][i] : 0;
        }
    }
    if (!place_choose(&request, candidates, options->endpoints, &choice)) {
        return false;
    }
    *at = choice.index;
    return true;
}

/// The caller sends the request again once, after Retry-After.
static void
retry_or_refuse(struct pool *pool, struct request *request)
{
    int64_t left_ms =
        request->arrived_ms + pool->options->deadline_ms - pool->now_ms;

    if (request->is_retry) {
        pool->result->refused++;
        free(request);
        return;
    }
    request->is_retry = true;
    request->retry_at_ms =
        pool->now_ms + timing_retry_after_ms(&pool->random, left_ms);
    DL_APPEND(pool->retrying, request);
}

static void
offer(struct pool *pool, struct request *request)
{
    struct shed *shed = &pool->sheds[request->router];
    bool tried[POOL_ENDPOINTS_MAX] = {false};

    if (pool->options->shedding &&
        shed_refuses(shed, &pool->random, 0, request->is_retry)) {
        retry_or_refuse(pool, request);
        return;
    }
    for (size_t i = 0; i < OFFERS_MAX; i++) {
        if (!choose(pool, request->router, tried, &request->endpoint)) {
            break;
        }
        pool->result->offers++;
        request->offered_ms = pool->now_ms;
        if (endpoint_accepts(pool, request)) {
            pool->in_flight[request->router][request->endpoint]++;
            return;
        }
        tried[request->endpoint] = true;
        pool->result->offers_refused++;
        shed_add_full(shed, pool->options->objective_ms);
    }
    retry_or_refuse(pool, request);
}

static void
end_request(struct pool *pool, struct request *request)
{
    const struct pool_options *options = pool->options;
    struct pool_result *result = pool->result;
    int64_t total_ms = pool->now_ms - request->arrived_ms;

    pool->in_flight[request->router][request->endpoint]--;
    if (!request->delay_counted) {
        shed_add_delay(&pool->sheds[request->router],
                       pool->now_ms - request->offered_ms,
                       options->objective_ms);
    }
    result->runs++;
    result->in_time += total_ms <= options->objective_ms ? 1 : 0;
    result->late +=
        total_ms > options->objective_ms && total_ms <= options->deadline_ms
            ? 1
            : 0;
    result->expired += total_ms > options->deadline_ms ? 1 : 0;
    result->retries_answered +=
        request->is_retry && total_ms <= options->deadline_ms ? 1 : 0;
    free(request);
}

static void
end_runs(struct pool *pool, size_t at)
{
    struct request *request, *next;

    DL_FOREACH_SAFE(pool->running[at], request, next)
    {
        if (request->ends_ms > pool->now_ms) {
            continue;
        }
        DL_DELETE(pool->running[at], request);
        pool->running_count[at]--;
        end_request(pool, request);
        if (pool->waiting[at] != NULL) {
            struct request *first = pool->waiting[at];

            DL_DELETE(pool->waiting[at], first);
            pool->waiting_count[at]--;
            run_request(pool, first);
        }
    }
}

static void
count_pending_delays(struct pool *pool, struct request *list)
{
    int64_t objective_ms = pool->options->objective_ms;
    struct request *request;

    DL_FOREACH(list, request)
    {
        int64_t age_ms = pool->now_ms - request->offered_ms;

        if (!request->delay_counted && age_ms >= objective_ms) {
            request->delay_counted = true;
            shed_add_delay(&pool->sheds[request->router], age_ms,
                           objective_ms);
        }
    }
}

static void
tick(struct pool *pool)
{
    for (size_t at = 0; at < pool->options->endpoints; at++) {
        count_pending_delays(pool, pool->running[at]);
        count_pending_delays(pool, pool->waiting[at]);
    }
    for (size_t router = 0; router < pool->options->routers; router++) {
        shed_update(&pool->sheds[router], pool->now_ms);
    }
}

static void
send_due_retries(struct pool *pool)
{
    struct request *request, *next;

    DL_FOREACH_SAFE(pool->retrying, request, next)
    {
        if (request->retry_at_ms <= pool->now_ms) {
            DL_DELETE(pool->retrying, request);
            pool->result->retries++;
            request->router =
                random_below(&pool->random, pool->options->routers);
            offer(pool, request);
        }
    }
}

static void
send_new_request(struct pool *pool)
{
    struct request *request = xcalloc(1, sizeof(*request));

    request->router = random_below(&pool->random, pool->options->routers);
    request->arrived_ms = pool->now_ms;
    pool->result->requests++;
    offer(pool, request);
}

static void
free_all(struct request **list)
{
    struct request *request, *next;

    DL_FOREACH_SAFE(*list, request, next)
    {
        DL_DELETE(*list, request);
        free(request);
    }
}

static double
rate_at(const struct pool_options *options, int64_t now_ms)
{
    bool excess =
        now_ms >= options->excess_from_ms && now_ms < options->excess_until_ms;

    return options->requests_per_s + (excess ? options->excess_per_s : 0);
}

void
pool_run(const struct pool_options *options, struct pool_result *result)
{
    struct pool *pool = xcalloc(1, sizeof(*pool));

    *result = (struct pool_result){0};
    pool->options = options;
    pool->result = result;
    pool->seeded.state = options->seed;
    pool->random = random_seeded_interface(&pool->seeded);
    for (pool->now_ms = 1; pool->now_ms < options->duration_ms;
         pool->now_ms++) {
        double due = rate_at(options, pool->now_ms) / 1000;
        size_t whole = (size_t)due;

        for (size_t at = 0; at < options->endpoints; at++) {
            end_runs(pool, at);
        }
        if (pool->now_ms % options->report_interval_ms == 0) {
            memcpy(pool->reported_in_flight, pool->in_flight,
                   sizeof(pool->reported_in_flight));
        }
        if (pool->now_ms % SHED_STEP_MIN_MS == 0) {
            tick(pool);
        }
        send_due_retries(pool);
        for (size_t i = 0; i < whole; i++) {
            send_new_request(pool);
        }
        if (random_unit(&pool->random) < due - (double)whole) {
            send_new_request(pool);
        }
    }
    for (size_t at = 0; at < options->endpoints; at++) {
        free_all(&pool->running[at]);
        free_all(&pool->waiting[at]);
    }
    free_all(&pool->retrying);
    free(pool);
}
