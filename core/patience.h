/// How long to wait for an endpoint, and when a caller should come back.
///
/// Load patterns: endpoints that hang or go dark while others idle; crowds
/// that are refused in the same second and must not return in one wave.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Silence beyond these multiples of the stated aims is no longer load.
#define PATIENCE_OBJECTIVE_PERCENT 120
#define PATIENCE_PAUSE_PERCENT 200
/// Shortest silence that is acted upon.
#define PATIENCE_SILENCE_MIN_MS 250
/// A refusal for want of an endpoint is worth a second try after the time in
/// which a failing endpoint is noticed, spread so that a crowd spreads too.
#define PATIENCE_RETRY_MIN_MS 100
#define PATIENCE_RETRY_SPREAD_MS 500
/// Callers honour a Retry-After up to this part of the time they have left.
#define PATIENCE_LEFT_PART 3

struct patience_inputs {
    bool answering; ///< events have come
    bool is_stream;
    int64_t objective_ms;
    int64_t pause_ms;   ///< 0: none stated
    int64_t reading_ms; ///< predicted for the prompt
};

/// A process that has just started knows the deployment within this time if
/// the store or a peer answers.
#define PATIENCE_KNOWLEDGE_MS 500
/// After this age it does not count as just started: what is not known by
/// then is not about to be.
#define PATIENCE_START_MS 2000

/// How long a request may wait for a process of this age to know the
/// deployment, in ms; 0: it is refused at once.
///
/// Load pattern: all processes start together, and callers with them.
int64_t patience_knowledge_ms(int64_t age_ms, int64_t left_ms);

/// Silence after which another endpoint is the better choice, in ms.
int64_t patience_silence_ms(const struct patience_inputs *inputs);

/// What of its objective a request needs at the least to be in time.
#define PATIENCE_NEEDED_PERCENT 50
/// Weight of a caller that states less than the usual time, in percent: most
/// such callers have tried before.
#define PATIENCE_USUAL_WEIGHT_PERCENT 1

/// The time that callers of a route begin with, given what the next one
/// states. `usual_ms` is 0 at first.
int64_t patience_usual_ms(int64_t usual_ms, int64_t stated_ms);

/// True if so much of the usual time has passed that the objective cannot be
/// met.
bool patience_is_late(int64_t usual_ms, int64_t stated_ms,
                      int64_t objective_ms);

/// What a refused caller is told, in ms; `left_ms` is the time it has.
int64_t patience_retry_after_ms(const struct random_source *random,
                                int64_t left_ms);
