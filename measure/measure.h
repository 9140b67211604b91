/// The measurements of dvmeasure.
#pragma once

#include <stdint.h>
#include <stdio.h>

struct measure_options {
    uint64_t seed;
    FILE *csv; ///< NULL: no CSV
};

/// Each prints a table to standard output and its rows as CSV. Returns 0 if
/// all targets are met.
int measure_routing(const struct measure_options *options);
int measure_scale(const struct measure_options *options);
int measure_evenness(const struct measure_options *options);
int measure_fairness(const struct measure_options *options);
int measure_retries(const struct measure_options *options);
int measure_quarantine(const struct measure_options *options);
int measure_crowd(const struct measure_options *options);
int measure_claims(const struct measure_options *options);
int measure_control(const struct measure_options *options);
int measure_hop(const struct measure_options *options);
int measure_overload(const struct measure_options *options);
int measure_slopes(const struct measure_options *options);
