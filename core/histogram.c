#include "histogram.h"

static const int64_t bounds_ms[HISTOGRAM_BUCKETS - 1] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

void
histogram_add(struct histogram *histogram, int64_t ms)
{
    size_t bucket = 0;

    while (bucket < HISTOGRAM_BUCKETS - 1 && ms > bounds_ms[bucket]) {
        bucket++;
    }
    histogram->counts[bucket]++;
    histogram->count++;
    histogram->sum_ms += ms > 0 ? (uint64_t)ms : 0;
}

void
histogram_print(const struct histogram *histogram, const char *name,
                const char *label, FILE *out)
{
    uint64_t below = 0;

    for (size_t i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
        below += histogram->counts[i];
        fprintf(out, "%s_bucket{%s,le=\"%lld\"} %llu\n", name, label,
                (long long)bounds_ms[i], (unsigned long long)below);
    }
    fprintf(out, "%s_bucket{%s,le=\"+Inf\"} %llu\n", name, label,
            (unsigned long long)histogram->count);
    fprintf(out, "%s_sum{%s} %llu\n%s_count{%s} %llu\n", name, label,
            (unsigned long long)histogram->sum_ms, name, label,
            (unsigned long long)histogram->count);
}
