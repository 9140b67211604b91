#include "dandelionvalve/bucket.h"

void
bucket_init(struct bucket *bucket, const struct clock *clock,
            double bytes_per_s, double burst_bytes)
{
    *bucket = (struct bucket){
        .clock = clock,
        .bytes_per_s = bytes_per_s,
        .burst_bytes = burst_bytes,
        .tokens = burst_bytes,
        .refilled_us = clock_us(clock),
    };
}

static void
refill(struct bucket *bucket)
{
    int64_t now = clock_us(bucket->clock);

    bucket->tokens +=
        (double)(now - bucket->refilled_us) / 1e6 * bucket->bytes_per_s;
    if (bucket->tokens > bucket->burst_bytes) {
        bucket->tokens = bucket->burst_bytes;
    }
    bucket->refilled_us = now;
}

bool
bucket_take(struct bucket *bucket, double bytes)
{
    refill(bucket);
    if (bucket->tokens < bytes) {
        return false;
    }
    bucket->tokens -= bytes;
    return true;
}

void
bucket_charge(struct bucket *bucket, double bytes)
{
    refill(bucket);
    bucket->tokens -= bytes;
}
