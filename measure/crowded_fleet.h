/// Simulates model endpoints behind many routers in steps of 1 ms. Each router
/// knows its own requests, its peers' last reports and the loads that answers
/// state.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// How a router chooses an endpoint.
enum crowded_way {
    CROWDED_COMPLETE, ///< place_choose() with the true, current state
    CROWDED_LEAST,    ///< least load by the last reports
    CROWDED_PLACE,    ///< place_choose()
    CROWDED_DECAY,    ///< reported loads approach their mean with their age
    CROWDED_FEW,      ///< best of few that have most of the prompt cached
    CROWDED_FREE,     ///< random by free capacity, of those
    CROWDED_OWN,      ///< own requests stand for those of unknown routers
    CROWDED_SUBSET,   ///< few endpoints for each router, of those
    CROWDED_HOMES,    ///< even_load without estimated loads
    CROWDED_GUESS,    ///< estimated loads without even_load
    CROWDED_EVEN,     ///< even_load and estimated loads
};

struct crowded_options {
    uint64_t seed;
    size_t routers;
    size_t endpoints;
    enum crowded_way way;
};

struct crowded_result {
    uint64_t requests;
    uint64_t late;         ///< first event or a gap over the objective
    uint64_t again_tokens; ///< shared tokens prefilled
    uint64_t over_cap;     ///< placements over the cap by the true loads
    double variation;      ///< mean coefficient of variation of the loads
    double uneven_share;   ///< share of time
    double mean_load;
};

void crowded_run(const struct crowded_options *options,
                 struct crowded_result *result);
