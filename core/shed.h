/// Load shedding: refuses a share of the requests of an overloaded service.
///
/// Load pattern: more requests than the endpoints of a service can serve, for
/// some time. Queues at the endpoints would fill until every answer is late;
/// refusing the excess at once keeps the admitted requests within their
/// objective. Each of many routers receives a part of the traffic, so each
/// refuses with a probability that follows the delay of its own answers (a
/// proportional-integral controller, as in RFC 8033).
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Delay beyond which requests are refused. Delays are multiples of the
/// request's objective; the rest of the objective is for the transfer to the
/// caller and for the variance of single answers.
#define SHED_TARGET_DELAY 0.45
/// Quantile of the delays that the controller uses: a service is not taken as
/// overloaded because a minority of its endpoints hangs.
#define SHED_QUANTILE 0.4
/// Longer delays count as this one.
#define SHED_DELAY_MAX 2.0
/// The admitted share changes exponentially. Gain for each unit of delay
/// beyond the target, in the time of one objective: the effect shows after
/// about that time.
#define SHED_INTEGRAL_GAIN 0.3
/// Below this delay no requests are queued; the integral gain is multiplied by
/// SHED_IDLE_GAIN_FACTOR, so that the admitted share grows faster.
#define SHED_IDLE_DELAY 0.3
#define SHED_IDLE_GAIN_FACTOR 4.0
/// Gain for each unit by which the delay has changed since the last step.
#define SHED_PROPORTIONAL_GAIN 0.7
/// Some requests are always admitted, so that the end of the overload is
/// detected and no kind of request starves.
#define SHED_SHARE_MAX 0.97
/// Factor by which late requests are refused more often: a request that was
/// refused before can no longer be answered in time and takes the place of one
/// that can.
#define SHED_LATE_FACTOR 10.0
/// A step ends after SHED_STEP_MIN_MS with enough samples, else after
/// SHED_STEP_MAX_MS.
#define SHED_SAMPLES_MIN 4
#define SHED_STEP_MIN_MS 100
#define SHED_STEP_MAX_MS 300
/// The same for the step that starts shedding: a few slow answers are not an
/// overload.
#define SHED_START_SAMPLES_MIN 6
#define SHED_START_MAX_MS 1000
#define SHED_SAMPLES_MAX 64

/// Controller of one service and priority. Zero-initialise before use.
struct shed {
    double refused_share; ///< share of requests that are refused, 0 to 1
    double delay;         ///< of the last step, as a multiple of the objective
    double objective_ms;  ///< moving average of the objectives of requests
    float samples[SHED_SAMPLES_MAX];
    size_t count;      ///< samples of this step; may exceed SHED_SAMPLES_MAX
    bool has_requests; ///< requests were received in this step
    int64_t step_start_ms;
};

/// Adds a sample: an answer began `delay_ms` after its request was offered, or
/// has not begun after that time. Ignored if `objective_ms` is 0.
void shed_add_delay(struct shed *shed, int64_t delay_ms, int64_t objective_ms);

/// Adds the longest delay as a sample: an endpoint refused a request because
/// it was full. Ignored if `objective_ms` is 0.
void shed_add_full(struct shed *shed, int64_t objective_ms);

/// Ends a step if it is due; true if the refused share has changed.
bool shed_update(struct shed *shed, int64_t now_ms);

/// A request was received; returns the share of such requests to be refused.
/// `share_min` is the refused share of higher priorities: lower ones are
/// refused at least as often.
double shed_share(struct shed *shed, double share_min);

/// The share to be refused of requests that can no longer meet their
/// objective, if `share` of the others is refused.
double shed_late_share(double share);

/// The share to be refused of requests like this one.
double shed_refused_share(struct shed *shed, double share_min, bool is_late);

/// True if this request is to be refused: a random choice by these shares.
bool shed_refuses(struct shed *shed, const struct random_source *random,
                  double share_min, bool is_late);
