/// Time-outs for endpoints, and the Retry-After delay of refused callers.
///
/// Load patterns: endpoints that hang or become unreachable while others are
/// idle; many callers that are refused in the same second and must not retry
/// at the same time.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Time-outs as percentages of the route's objective for the first event and
/// of its target gap between events: longer silence is not caused by load.
#define TIMING_OBJECTIVE_PERCENT 120
#define TIMING_GAP_PERCENT 200
/// Shortest time-out.
#define TIMING_SILENCE_MIN_MS 250
/// Least Retry-After delay, the time in which a failing endpoint is detected;
/// and the range of the jitter that spreads the retries of many callers.
#define TIMING_RETRY_AFTER_MIN_MS 100
#define TIMING_RETRY_AFTER_JITTER_MS 500
/// Callers honour a Retry-After delay of up to their remaining time divided by
/// this.
#define TIMING_REMAINING_DIVISOR 3

struct timing_silence_inputs {
    bool has_started; ///< events of the answer were received
    bool is_stream;
    int64_t objective_ms;
    int64_t gap_target_ms; ///< 0: not set for the route
    int64_t prefill_ms;    ///< predicted prefill time of the prompt
};

/// A process that has just started receives the deployment's endpoints within
/// this time if the store or a peer answers.
#define TIMING_STARTUP_WAIT_MAX_MS 500
/// Uptime after which requests no longer wait: what was not received by then
/// is not expected soon.
#define TIMING_STARTUP_MS 2000

/// Time that a request may wait until a process that has run for `uptime_ms`
/// has received the deployment's endpoints, in ms; 0: it is refused at once.
///
/// Load pattern: all routers and their callers start at the same time.
int64_t timing_startup_wait_ms(int64_t uptime_ms, int64_t remaining_ms);

/// Silence after which a request is offered to another endpoint, in ms.
int64_t timing_silence_timeout_ms(const struct timing_silence_inputs *inputs);

/// Least share of its objective that a request needs to be in time.
#define TIMING_NEEDED_PERCENT 50
/// Weight of a deadline below the typical one in its moving average: most
/// callers with such a deadline have tried before.
#define TIMING_TYPICAL_WEIGHT_PERCENT 1

/// Updates the typical deadline of first attempts on a route with the deadline
/// of the next request; `typical_ms` is 0 at first.
int64_t timing_typical_deadline_ms(int64_t typical_ms, int64_t deadline_ms);

/// True if the caller has used so much of the typical deadline before this
/// request that the objective cannot be met.
bool timing_is_late(int64_t typical_ms, int64_t deadline_ms,
                    int64_t objective_ms);

/// True if the caller has used part of the typical deadline before, which
/// indicates that it was refused and has returned.
bool timing_is_returning(int64_t typical_ms, int64_t deadline_ms);

/// Retry-After delay for a refused caller, in ms; `remaining_ms` is the time
/// until its deadline.
int64_t timing_retry_after_ms(const struct random_source *random,
                              int64_t remaining_ms);

/// The same for a caller that has no chance before `earliest_ms`. At most half
/// of the time that callers honour is used up by it: the rest spreads them.
int64_t timing_retry_after_from_ms(const struct random_source *random,
                                   int64_t remaining_ms, int64_t earliest_ms);
