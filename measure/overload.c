/// Plain services above the capacity of their endpoints, with and without load
/// shedding at the routers.
#include "measure.h"

#include <inttypes.h>

#include "pool.h"

/// Minimum share of the capacity that is answered in time under overload.
#define IN_TIME_MIN 0.70
/// Maximum share of refused requests at two thirds of the capacity.
#define REFUSED_MAX 0.005

/// Maximum share of refused requests from 1.5 s after an excess.
#define REFUSED_AFTER_EXCESS_MAX 0.05

static bool
measure_load(const struct measure_options *options, size_t routers,
             double load, bool shedding)
{
    struct pool_options pool =
        pool_plain_service(options->seed, routers, load);
    struct pool_result result;
    double requests, servable, in_time, refused;
    bool missed;

    pool.shedding = shedding;
    pool_run(&pool, &result);
    requests = (double)result.requests;
    servable = load < 1 ? requests : requests / load;
    in_time = (double)result.in_time / servable;
    refused = (double)result.refused / requests;
    missed = shedding &&
             (in_time < IN_TIME_MIN || (load < 0.7 && refused > REFUSED_MAX));
    printf("%7zu %5.2f %-9s %8.3f %8.3f %8.3f %9.3f %9.3f%s\n", routers, load,
           shedding ? "shedding" : "none", in_time,
           (double)result.late / requests, refused,
           result.retries > 0
               ? (double)result.retries_answered / (double)result.retries
               : 0,
           result.offers > 0
               ? (double)result.offers_refused / (double)result.offers
               : 0,
           missed ? "  missed" : "");
    if (options->csv != NULL) {
        fprintf(options->csv, "%zu,%.2f,%d,%.4f,%.4f,%.4f\n", routers, load,
                shedding, in_time, (double)result.late / requests, refused);
    }
    return missed;
}

/// Refusals after an excess of 4 s. The first 1.5 s after its end are not
/// counted, because callers may retry in this time after their Retry-After.
static bool
measure_recovery(const struct measure_options *options, size_t routers)
{
    struct pool_options pool = pool_plain_service(options->seed, routers, 0.5);
    struct pool_result whole, before;

    pool.shedding = true;
    pool.excess_per_s = 3 * pool_capacity_per_s(&pool);
    pool.excess_from_ms = 4000;
    pool.excess_until_ms = 8000;
    pool.duration_ms = 9500;
    pool_run(&pool, &before);
    pool.duration_ms = 14000;
    pool_run(&pool, &whole);
    printf("%zu routers, 3.5 times the capacity for 4 s: refused from "
           "1.5 s after its end: %" PRIu64 " of %" PRIu64 "\n",
           routers, whole.refused - before.refused,
           whole.requests - before.requests);
    return (double)(whole.refused - before.refused) >
           REFUSED_AFTER_EXCESS_MAX *
               (double)(whole.requests - before.requests);
}

int
measure_overload(const struct measure_options *options)
{
    static const size_t routers[] = {4, 31};
    static const double loads[] = {0.66, 1.2, 2, 5};
    int missed = 0;

    printf(
        "three plain endpoints of 6 slots, 60 ms per call, objective 300 ms; "
        "seed %" PRIu64 "\n"
        "in-time: share of the servable requests; returned: share of the "
        "retries that "
        "were answered; full: share of the offers that an endpoint refused\n",
        options->seed);
    printf("%7s %5s %-9s %8s %8s %8s %9s %9s\n", "routers", "load", "way",
           "in-time", "late", "refused", "returned", "full");
    if (options->csv != NULL) {
        fprintf(options->csv, "routers,load,shedding,in_time,late,refused\n");
    }
    for (size_t i = 0; i < sizeof(routers) / sizeof(routers[0]); i++) {
        for (size_t j = 0; j < sizeof(loads) / sizeof(loads[0]); j++) {
            missed += measure_load(options, routers[i], loads[j], false);
            missed += measure_load(options, routers[i], loads[j], true);
        }
    }
    for (size_t i = 0; i < sizeof(routers) / sizeof(routers[0]); i++) {
        missed += measure_recovery(options, routers[i]);
    }
    printf("targets missed (in time at least %.2f of the servable requests, "
           "refused at most %.3f below capacity): %d\n",
           IN_TIME_MIN, REFUSED_MAX, missed);
    return missed;
}
