/// Load of model endpoints that many routers choose at the same time from old
/// reports of each other. No network; the choice is place_choose().
#include "measure.h"

#include <inttypes.h>
#include <math.h>

#include "crowded_fleet.h"

static const struct {
    const char *name;
    enum crowded_way way;
} ways[] = {
    {"complete", CROWDED_COMPLETE}, {"least", CROWDED_LEAST},
    {"place", CROWDED_PLACE},       {"decay", CROWDED_DECAY},
    {"few", CROWDED_FEW},           {"free", CROWDED_FREE},
    {"own", CROWDED_OWN},           {"subset", CROWDED_SUBSET},
    {"homes", CROWDED_HOMES},       {"guess", CROWDED_GUESS},
    {"even", CROWDED_EVEN},
};

static void
measure_way(const struct measure_options *options, size_t routers,
            size_t endpoints, size_t way)
{
    const struct crowded_options fleet = {
        .seed = options->seed,
        .routers = routers,
        .endpoints = endpoints,
        .way = ways[way].way,
    };
    struct crowded_result result;

    crowded_run(&fleet, &result);
    printf("%7zu %9zu %-9s %6.3f %9.3f %10.0f %7.4f %7.2f %7" PRIu64 "\n",
           routers, endpoints, ways[way].name, result.variation,
           result.uneven_share,
           (double)result.again_tokens / (double)result.requests,
           (double)result.late / (double)result.requests, result.mean_load,
           result.over_cap);
    fflush(stdout);
    if (options->csv != NULL) {
        fprintf(options->csv, "%zu,%zu,%s,%.4f,%.4f,%" PRIu64 ",%.5f\n",
                routers, endpoints, ways[way].name, result.variation,
                result.uneven_share, result.again_tokens,
                (double)result.late / (double)result.requests);
    }
}

int
measure_evenness(const struct measure_options *options)
{
    static const size_t scales[][2] = {
        {4, 38}, {30, 46}, {100, 150}, {300, 300}, {350, 600}};

    printf("model endpoints of 64 slots, 9 requests a second each, slow "
           "periods; seed %" PRIu64 "\n"
           "cv: variation coefficient of the endpoints' loads; uneven: share "
           "of time with one over 1.5 and another under 0.5 times the mean; "
           "again: shared tokens prefilled, per request; late: share of "
           "requests; over: placements over the cap by true loads\n",
           options->seed);
    printf("%7s %9s %-9s %6s %9s %10s %7s %7s %7s\n", "routers", "endpoints",
           "way", "cv", "uneven", "again", "late", "load", "over");
    if (options->csv != NULL) {
        fprintf(options->csv,
                "routers,endpoints,way,cv,uneven,again_tokens,late\n");
    }
    for (size_t i = 0; i < sizeof(scales) / sizeof(scales[0]); i++) {
        for (size_t j = 0; j < sizeof(ways) / sizeof(ways[0]); j++) {
            measure_way(options, scales[i][0], scales[i][1], j);
        }
    }
    return 0;
}
