/// Refuses a share of the requests of a service that answers too late.
///
/// Load pattern: more requests than the endpoints of a service can serve, for
/// as long as the excess lasts. Queues at the endpoints would fill until every
/// answer is late; refusing the excess at once keeps those that are taken
/// within their objective. Many routers see a part of the traffic each, so
/// that each refuses with a probability, which follows the delay that its own
/// answers show (a proportional integral controller, as in RFC 8033).
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Delays are multiples of the request's objective. Beyond this one requests
/// are refused: the rest of the objective is for the way to the caller and
/// for the spread of single answers.
#define SHED_TARGET_DELAY 0.45
/// The delay that counts is this quantile: endpoints that hang, as long as
/// they are fewer than the sound ones, do not make a service overloaded.
#define SHED_QUANTILE 0.4
/// Longer delays say no more.
#define SHED_DELAY_MAX 2.0
/// The admitted share changes exponentially: in the time of an objective,
/// since the effect shows after about that time, for each unit of delay beyond
/// the target, and for each unit by which the delay has changed.
#define SHED_INTEGRAL_GAIN 0.3
/// Below this delay nothing waits, and the share grows faster.
#define SHED_IDLE_DELAY 0.3
#define SHED_IDLE_GAIN_FACTOR 4.0
#define SHED_PROPORTIONAL_GAIN 0.7
/// Some are always admitted, so that the end of the overload shows, and no
/// kind of request starves.
#define SHED_SHARE_MAX 0.97
/// A request that was refused before can no longer be in time, and takes the
/// place of one that can: it is refused so many times as often.
#define SHED_LATE_FACTOR 10.0
/// A step needs so many samples, or this time.
#define SHED_SAMPLES_MIN 4
#define SHED_STEP_MIN_MS 100
#define SHED_STEP_MAX_MS 300
/// Refusing starts only upon so many samples, collected for this time at most:
/// a few slow answers are no overload.
#define SHED_START_SAMPLES_MIN 6
#define SHED_START_MAX_MS 1000
#define SHED_SAMPLES_MAX 64

/// Zero-initialise before use. One for each service and urgency.
struct shed {
    double refused_share; ///< of requests that are refused, 0 to 1
    double delay;         ///< of the last step
    double objective_ms;  ///< mean of late
    float samples[SHED_SAMPLES_MAX];
    size_t count;      ///< samples of this step; may exceed SHED_SAMPLES_MAX
    bool has_requests; ///< requests have come in this step
    int64_t step_start_ms; ///< start of this step
};

/// An answer began `delay_ms` after its request was offered, or has not begun
/// after that time.
void shed_add_delay(struct shed *shed, int64_t delay_ms, int64_t objective_ms);

/// An endpoint had no room for a request.
void shed_add_full(struct shed *shed, int64_t objective_ms);

/// Ends a step if it is due; true if the share has changed.
bool shed_update(struct shed *shed, int64_t now_ms);

/// True if this request is one of the share. `share_min` is the share of what
/// is more urgent: less urgent requests are refused at least as often.
/// `is_late`: the request cannot meet its objective any more.
bool shed_refuses(struct shed *shed, const struct random_source *random,
                  double share_min, bool is_late);
