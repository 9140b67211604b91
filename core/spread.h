/// Estimates the loads of endpoints from incomplete and old figures.
///
/// Load pattern: hundreds of routers choose among the same endpoints at the
/// same time. Each knows its own requests, the last reports of some peers, and
/// what recent answers of some endpoints stated. An endpoint that a router has
/// not heard from is presumed to have a share of the unknown routers' requests
/// and is not taken for idle. Otherwise prompts are placed where nothing is
/// known, and their shared parts are prefilled again.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// Time in which the weight of the load that an answer states decays to 1/e.
#define SPREAD_DECAY_MS 1000.0
/// Shape of the gamma distribution that endpoints' loads are presumed to have.
/// Small values trust the known share; 6, 2 and 0.5 gave 2.5, 2 and 1.2 times
/// the variation of loads behind 300 routers.
#define SPREAD_SHAPE 0.1

struct place_candidate;

/// Replaces the load of each candidate by its estimate, which is at least its
/// reported load if no answer states less. `known_share` is the share of the
/// routers whose requests in flight are known, above 0 and at most 1.
void spread_estimate(struct place_candidate *candidates, size_t count,
                     double known_share);
