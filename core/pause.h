/// Predicts how long the streams of an endpoint pause between two events.
///
/// Load pattern: long prompts arrive at endpoints where many streams run.
/// Prompts are prefilled in the steps that also produce the streams' tokens,
/// so a backlog of prompts delays the next event of each stream.
#pragma once

#include <stdint.h>

/// Weight of the newest sample in the moving average of gaps.
#define PAUSE_SAMPLE_WEIGHT 0.05
/// A longer gap is a stall of the endpoint or of this process.
#define PAUSE_GAP_MAX_MS 1000.0
/// Gaps count as usual up to this backlog, in milliseconds of prefill.
#define PAUSE_USUAL_BACKLOG_MS 5.0
/// Gaps count as usual up to this slow-down.
#define PAUSE_USUAL_SLOW_DOWN 1.2
/// A prediction assumes this slow-down at least: the endpoint may become slow
/// before it has prefilled the backlog.
#define PAUSE_SLOW_DOWN_MIN 1.6
/// Cost of each millisecond over the target. It is above the weight of prefill
/// in a placement, since a pause delays every stream at the endpoint.
#define PAUSE_COST_WEIGHT 4.0
/// Streams at which half of that cost applies.
#define PAUSE_HALF_COST_STREAMS 4.0

/// The usual gap between two events of a stream at one endpoint, without
/// prefill. Zero-initialise before use.
struct pause_gaps {
    double usual_ms; ///< 0: no sample yet
};

/// Adds a gap. `backlog_ms` is the time to prefill the endpoint's backlog.
void pause_add_gap(struct pause_gaps *gaps, double gap_ms, double backlog_ms,
                   double slow_down);

struct pause_inputs {
    double target_ms;    ///< longest gap of a stream in time; 0: not set
    double usual_gap_ms; ///< 0: unknown
    double backlog_ms;   ///< time to prefill the backlog at the usual speed
    double prefill_ms;   ///< time to prefill the new prompt
    double slow_down;    ///< 1: work takes as long as usual
    uint32_t streams;    ///< running at the endpoint
};

/// The longest pause with a backlog of `backlog_ms`.
double pause_predict_ms(const struct pause_inputs *inputs, double backlog_ms);

/// Cost of the pauses beyond the target that the new prompt causes; 0 without
/// a target.
double pause_cost_ms(const struct pause_inputs *inputs);
