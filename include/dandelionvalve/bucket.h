/// A token bucket of bytes.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

struct bucket {
    const struct clock *clock;
    double bytes_per_s;
    double burst_bytes;
    double tokens;
    int64_t refilled_us;
};

/// Starts full.
void bucket_init(struct bucket *bucket, const struct clock *clock,
                 double bytes_per_s, double burst_bytes);

/// Takes the bytes if they are there.
bool bucket_take(struct bucket *bucket, double bytes);

/// Takes the bytes even if they are not there; later takes wait for them.
void bucket_charge(struct bucket *bucket, double bytes);
