/// Attempts per request while half of the endpoints fail every request, with
/// and without the retry budget and the circuit breaker.
#include "measure.h"

#include <inttypes.h>

#include "fleet.h"

#define ATTEMPTS_MAX 1.1

static double
run(const struct measure_options *options, const char *name,
    int64_t retry_percent, size_t attempts_max, bool breaker)
{
    const struct fleet_options fleet = {
        .policy = FLEET_PRODUCT,
        .scenario = FLEET_OUTAGE,
        .seed = options->seed,
        .bound_multiple = 1.25,
        .engines = 20,
        .routers = 6,
        .mean_load = 6,
        .keys = 8000,
        .cache_keys = 600,
        .hints = true,
        .retry_percent = retry_percent,
        .attempts_max = attempts_max,
        .breaker = breaker,
        .duration_us = 120 * 1000000LL,
    };
    struct fleet_result result = fleet_run(&fleet);
    double requests = (double)result.requests;
    double attempts = (double)result.admissions / requests;

    printf("%-24s %9" PRIu64 " %9.3f %9.3f %8.1f %9" PRIu64 "\n", name,
           result.requests, attempts, result.hops,
           100 * (double)result.lost / requests, result.retries_denied);
    if (options->csv != NULL) {
        fprintf(options->csv, "%s,%" PRIu64 ",%.4f,%.4f,%.4f,%" PRIu64 "\n",
                name, result.requests, attempts, result.hops,
                (double)result.lost / requests, result.retries_denied);
    }
    return attempts;
}

int
measure_retries(const struct measure_options *options)
{
    double budget;

    printf("ten of twenty endpoints lose each request after 50 ms; seed "
           "%" PRIu64 "\n",
           options->seed);
    printf("%-24s %9s %9s %9s %8s %9s\n", "way", "requests", "attempts",
           "offers", "lost%", "denied");
    if (options->csv != NULL) {
        fprintf(options->csv, "way,requests,attempts,offers,lost,denied\n");
    }
    run(options, "no retry, no breaker", 0, 1, false);
    run(options, "budget 10%, no breaker", 10, 3, false);
    run(options, "3 each, no breaker", 100000, 3, false);
    run(options, "10 each, no breaker", 100000, 10, false);
    run(options, "3 each, breaker", 100000, 3, true);
    budget = run(options, "budget 10%, breaker", 10, 3, true);
    printf("targets missed (attempts at most %.1f with the budget): %d\n",
           ATTEMPTS_MAX, budget > ATTEMPTS_MAX);
    return budget > ATTEMPTS_MAX;
}
