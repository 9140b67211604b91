/// The highest number of events in any window of a length.
#pragma once

#include <stddef.h>
#include <stdint.h>

#define SLIDING_MAX 16384

/// Zero-initialise but for `length_ms`.
struct sliding {
    int64_t length_ms;
    int64_t at_ms[SLIDING_MAX];
    size_t count;
    size_t first; ///< of the present window
    size_t most;
};

/// Removes all events.
void sliding_reset(struct sliding *sliding, int64_t length_ms);

/// Adds an event; times do not decrease.
void sliding_add(struct sliding *sliding, int64_t at_ms);
