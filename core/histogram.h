/// Latency histograms, with output as Prometheus text.
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/// Buckets by upper bound in ms; the last one has no bound.
#define HISTOGRAM_BUCKETS 14

/// Zero-initialise before use.
struct histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t count;
    uint64_t sum_ms;
};

void histogram_add(struct histogram *histogram, int64_t ms);

/// Writes buckets, sum and count; `label` is one label pair without braces.
void histogram_print(const struct histogram *histogram, const char *name,
                     const char *label, FILE *out);
