/// Estimates how much longer than usual work takes at an endpoint now.
///
/// Load pattern: endpoints share their machines and become slow for periods of
/// some 600 ms, many times a minute. The endpoint states its speed in its
/// answers. The gaps of its streams show it too, but with the noise of other
/// requests and of the network. Without a statement the estimate is 1.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// A statement counts for less with its age, and no longer after this time:
/// the length of a slow period.
#define SPEED_EXPIRY_MS 600
/// Weight of the gaps where no statement is recent.
#define SPEED_GAP_WEIGHT 0.5
/// Weight of the newest gap in their average.
#define SPEED_GAP_SAMPLE_WEIGHT 0.3
/// A longer gap, relative to the usual one, has another cause.
#define SPEED_GAP_RATIO_MAX 5.0
/// Bounds of the estimate. A speed above the usual would attract all requests
/// to an endpoint that states a wrong one.
#define SPEED_SLOW_DOWN_MIN 1.0
#define SPEED_SLOW_DOWN_MAX 10.0
/// A statement is contradicted by this many consecutive gaps of this ratio
/// within this time after it.
#define SPEED_CONTRADICTIONS 5
#define SPEED_CONTRADICTION_RATIO 2.0
#define SPEED_CONTRADICTION_AGE_MS 100
/// Statements up to this slow-down can be contradicted.
#define SPEED_CONTRADICTED_MAX 1.2

enum speed_fault {
    SPEED_OUT_OF_RANGE, ///< no number, or outside the limits
    SPEED_MISSING,      ///< missing where one was stated before
    SPEED_CONTRADICTED, ///< the usual speed, while gaps are long
    SPEED_FAULT_COUNT,
};

/// Zero-initialise before use.
struct speed {
    bool has_stated; ///< at any time
    bool is_contradicted;
    double stated; ///< slow-down
    int64_t stated_ms;
    double gaps;    ///< average of gaps relative to the usual one
    int64_t gap_ms; ///< time of the last one; 0: none
    uint32_t contradictions;
    bool logged[SPEED_FAULT_COUNT];
};

/// Adds a statement; 100 percent: work takes as long as usual.
void speed_add_stated(struct speed *speed, uint32_t percent, int64_t now_ms);

/// Adds a gap of a stream, relative to the usual gap. True if the statements
/// are ignored from now on, since gaps contradict them.
bool speed_add_gap(struct speed *speed, double ratio, int64_t now_ms);

/// The estimate; 1: work takes as long as usual.
double speed_slow_down(const struct speed *speed, int64_t now_ms);

const char *speed_fault_name(enum speed_fault fault);
