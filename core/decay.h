/// A count that decays exponentially; its value divided by the time constant
/// is a rate.
#pragma once

#include <stdint.h>

/// Zero-initialise before use.
struct decaying_count {
    double value;
    int64_t updated_ms;
};

/// The value at this time; `window_ms` is the time constant.
double decay_value(const struct decaying_count *count, int64_t now_ms,
                   double window_ms);

/// Adds to the value at this time, and returns it.
double decay_add(struct decaying_count *count, int64_t now_ms,
                 double window_ms, double amount);
