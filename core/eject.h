/// Outlier ejection: excludes a failing endpoint from load balancing for a
/// limited time.
///
/// An endpoint that fails fast has little load and would attract all traffic;
/// one that fails a part of its requests passes health checks; when many crash
/// together, each router would have to detect each. Consecutive failures and a
/// refused connection eject at once, a high share of failures after enough
/// samples. After the ejection an endpoint is on trial: it receives one
/// request at a time until one succeeds.
///
/// With many routers, each would lose some requests before it ejects the
/// endpoint.
/// An ejection is therefore reported to the peers, which start a trial, and
/// for a while only requests that may be repeated elsewhere are tried.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Consecutive failures that eject. A pool whose endpoints all fail at times
/// needs more: at a failure share of 1/7, five in a row happen by chance once
/// in 17,000.
#define EJECT_CONSECUTIVE_MAX 3
#define EJECT_CONSECUTIVE_MAX_FAILING_POOL 5
/// Failure share of a pool above which the higher limit applies.
#define EJECT_FAILING_POOL_SHARE 0.08
/// Weight of the newest sample in the moving average of failures.
#define EJECT_SAMPLE_WEIGHT 0.08
/// Excess over the pool's failure share that ejects, three standard deviations
/// of the moving average at a share of 1/7; and the samples needed.
#define EJECT_FAILURE_SHARE_MARGIN 0.22
#define EJECT_SAMPLES_MIN 8
#define EJECT_DURATION_MIN_MS 800
#define EJECT_DURATION_MAX_MS 4000
/// Time of a trial in which requests that may run only once go elsewhere. It
/// is bounded, since a router may have no others.
#define EJECT_SPARE_ONCE_MS 1500

struct eject {
    uint32_t consecutive_failures;
    uint32_t samples;
    double failure_share;
    int64_t ejected_until_ms; ///< 0: not ejected
    int64_t next_duration_ms;
    bool trial; ///< one request at a time until one succeeds
    int64_t trial_since_ms;
};

void eject_init(struct eject *eject);

/// Counts an answer of a working endpoint. True if it ends a trial.
bool eject_success(struct eject *eject);

/// Counts a failure caused by the endpoint. `pool_share` is the failure share
/// of the whole pool. True if this ejects the endpoint.
bool eject_failure(struct eject *eject, int64_t now_ms, double pool_share);

/// The endpoint refused a connection: it is ejected at once. False if it was
/// ejected already.
bool eject_connect_failure(struct eject *eject, int64_t now_ms);

/// A peer reports that the endpoint is down or fails. It may work from here,
/// so this only starts a trial.
void eject_begin_trial(struct eject *eject, int64_t now_ms);

/// True while only requests that may be repeated are used for a trial.
bool eject_spares_once(const struct eject *eject, int64_t now_ms);

/// True while no request should be sent to the endpoint: it is ejected, or on
/// trial with a request in flight.
bool eject_is_blocked(const struct eject *eject, int64_t now_ms,
                      uint32_t in_flight);
