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
        .filled_us = clock_us(clock),
    };
}

static void
fill(struct bucket *bucket)
{
    int64_t now = clock_us(bucket->clock);

    bucket->tokens +=
        (double)(now - bucket->filled_us) / 1e6 * bucket->bytes_per_s;
    if (bucket->tokens > bucket->burst_bytes) {
        bucket->tokens = bucket->burst_bytes;
    }
    bucket->filled_us = now;
}

bool
bucket_take(struct bucket *bucket, double bytes)
{
    fill(bucket);
    if (bucket->tokens < bytes) {
        return false;
    }
    bucket->tokens -= bytes;
    return true;
}

void
bucket_charge(struct bucket *bucket, double bytes)
{
    fill(bucket);
    bucket->tokens -= bytes;
}
