/// How long to wait for an endpoint, and when a caller should come back.
///
/// Load patterns: endpoints that hang or go dark while others idle; crowds
/// that are refused in the same second and must not return in one wave.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Silence beyond these multiples of the stated aims is no longer load.
#define TIMING_OBJECTIVE_PERCENT 120
#define TIMING_GAP_PERCENT 200
/// Shortest silence that is acted upon.
#define TIMING_SILENCE_MIN_MS 250
/// A refusal for want of an endpoint is worth a second try after the time in
/// which a failing endpoint is noticed, spread so that a crowd spreads too.
#define TIMING_RETRY_AFTER_MIN_MS 100
#define TIMING_RETRY_AFTER_JITTER_MS 500
/// Callers honour a Retry-After up to this part of the time they have left.
#define TIMING_REMAINING_DIVISOR 3

struct timing_silence_inputs {
    bool has_started; ///< events have come
    bool is_stream;
    int64_t objective_ms;
    int64_t gap_target_ms; ///< 0: none stated
    int64_t prefill_ms;    ///< predicted for the prompt
};

/// A process that has just started knows the deployment within this time if
/// the store or a peer answers.
#define TIMING_STARTUP_WAIT_MAX_MS 500
/// After this age it does not count as just started: what is not known by
/// then is not about to be.
#define TIMING_STARTUP_MS 2000

/// How long a request may wait for a process of this age to know the
/// deployment, in ms; 0: it is refused at once.
///
/// Load pattern: all processes start together, and callers with them.
int64_t timing_startup_wait_ms(int64_t uptime_ms, int64_t remaining_ms);

/// Silence after which another endpoint is the better choice, in ms.
int64_t timing_silence_timeout_ms(const struct timing_silence_inputs *inputs);

/// What of its objective a request needs at the least to be in time.
#define TIMING_NEEDED_PERCENT 50
/// Weight of a caller that states less than the usual time, in percent: most
/// such callers have tried before.
#define TIMING_TYPICAL_WEIGHT_PERCENT 1

/// The time that callers of a route begin with, given what the next one
/// states. `typical_ms` is 0 at first.
int64_t timing_typical_deadline_ms(int64_t typical_ms, int64_t deadline_ms);

/// True if so much of the usual time has passed that the objective cannot be
/// met.
bool timing_is_late(int64_t typical_ms, int64_t deadline_ms,
                    int64_t objective_ms);

/// What a refused caller is told, in ms; `remaining_ms` is the time it has.
int64_t timing_retry_after_ms(const struct random_source *random,
                              int64_t remaining_ms);
