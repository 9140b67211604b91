#include "spread.h"

#include <math.h>

#include "place.h"

/// Mean reported load of the usable candidates.
static double
mean_reported(const struct place_candidate *candidates, size_t count)
{
    double sum = 0;
    size_t usable = 0;

    for (size_t i = 0; i < count; i++) {
        if (candidates[i].usable) {
            sum += candidates[i].reported_load;
            usable++;
        }
    }
    return usable > 0 ? sum / (double)usable : 0;
}

/// Expected requests of the unknown routers: the posterior mean of a
/// gamma-distributed load if `reported` is a Poisson sample of `known_share`
/// of it. `mean` is the mean of all such samples.
static double
unknown_load(double known_share, double mean, double reported)
{
    if (mean <= 0) {
        return 0;
    }
    return (1 - known_share) * (SPREAD_SHAPE + reported) /
           (known_share * (SPREAD_SHAPE / mean + 1));
}

/// Weight of the load that the candidate's last answer stated.
static double
stated_weight(const struct place_candidate *candidate)
{
    return candidate->stated_age_ms < 0
               ? 0
               : exp(-(double)candidate->stated_age_ms / SPREAD_DECAY_MS);
}

void
spread_estimate(struct place_candidate *candidates, size_t count,
                double known_share)
{
    double mean = mean_reported(candidates, count);

    for (size_t i = 0; i < count; i++) {
        struct place_candidate *candidate = &candidates[i];
        double unknown =
            unknown_load(known_share, mean, candidate->reported_load);

        unknown +=
            stated_weight(candidate) * (candidate->stated_excess - unknown);
        unknown =
            fmax(candidate->own_load, candidate->reported_load + unknown);
        candidate->load = (uint32_t)lround(fmin(unknown, UINT32_MAX));
    }
}
