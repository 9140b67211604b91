/// Token bucket that limits a rate of bytes.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

struct bucket {
    const struct clock *clock;
    double bytes_per_s;
    double burst_bytes;
    double tokens; ///< bytes available; negative after bucket_charge()
    int64_t refilled_us;
};

/// Starts with `burst_bytes` tokens.
void bucket_init(struct bucket *bucket, const struct clock *clock,
                 double bytes_per_s, double burst_bytes);

/// Takes the tokens if there are enough; false without effect otherwise.
bool bucket_take(struct bucket *bucket, double bytes);

/// Takes the tokens even if there are too few; the balance turns negative.
void bucket_charge(struct bucket *bucket, double bytes);
