/// Latency histograms, shown as Prometheus text.
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/// Upper bounds of the buckets in ms; a last one takes the rest.
#define HISTOGRAM_BUCKETS 14

/// Zero-initialise before use.
struct histogram {
    uint64_t counts[HISTOGRAM_BUCKETS];
    uint64_t count;
    uint64_t sum_ms;
};

void histogram_add(struct histogram *histogram, int64_t ms);

/// Writes the buckets; `label` is one label pair without braces.
void histogram_print(const struct histogram *histogram, const char *name,
                     const char *label, FILE *out);
