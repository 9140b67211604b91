/// Takes a failing endpoint out of the choice, by what its answers show.
///
/// Load pattern: an endpoint that fails fast looks idle and draws the whole
/// traffic; one that fails a part of its requests looks healthy; of many that
/// crash together each router would have to find each. Failures in a row and
/// a refused connection eject at once, a share of failures after enough
/// samples. It comes back with little at first: one request at a time until
/// one ends well.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Failures in a row. Where all endpoints of the pool fail at times, more are
/// needed: at one in seven, five in a row by chance are one in 17,000.
#define EJECT_CONSECUTIVE_MAX 3
#define EJECT_CONSECUTIVE_MAX_FAILING_POOL 5
#define EJECT_FAILING_POOL_SHARE 0.08
/// Weight of the newest sample in the share of failures.
#define EJECT_SAMPLE_WEIGHT 0.08
/// Failures above the pool's own share that eject: three standard deviations
/// of that weighted share at one in seven. And the samples needed.
#define EJECT_FAILURE_SHARE_MARGIN 0.22
#define EJECT_SAMPLES_MIN 8
#define EJECT_DURATION_MIN_MS 800
#define EJECT_DURATION_MAX_MS 4000

struct eject {
    uint32_t consecutive_failures;
    uint32_t samples;
    double failure_share;
    int64_t ejected_until_ms; ///< 0: not ejected
    int64_t next_duration_ms;
    bool trial; ///< back, but not proved yet
};

void eject_init(struct eject *eject);

/// An answer that shows a sound endpoint. True if it had been on trial.
bool eject_success(struct eject *eject);

/// A failure that is the endpoint's. `pool_share` is the share of failures
/// over the whole pool. True if the endpoint is ejected by it.
bool eject_failure(struct eject *eject, int64_t now_ms, double pool_share);

/// The endpoint takes no connections: it is ejected at once. False if it was
/// out already.
bool eject_connect_failure(struct eject *eject, int64_t now_ms);

/// A peer says that the endpoint is down. What fails for a peer may work from
/// here: it is tried with one request at a time until one ends well.
void eject_begin_trial(struct eject *eject);

/// True while nothing should be sent there; `in_flight` bounds the trial.
bool eject_is_blocked(const struct eject *eject, int64_t now_ms,
                      uint32_t in_flight);
