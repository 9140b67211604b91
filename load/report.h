/// Measurements of a load run.
#pragma once

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "dandelionvalve/str.h"

struct event_base;
struct settings_load;

struct report {
    uint64_t requests;
    uint64_t done;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t broken;
    uint64_t wrong; ///< incomplete answers and answers to another request
    uint64_t bookings;
    uint64_t resends;
    uint64_t resends_same;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    double *latencies_ms;
    double *first_byte_ms;
    size_t latency_count;
    double seconds;
    uint64_t keys_run_twice;
    char **not_run_keys; ///< sent once and refused as not-run
    size_t not_run_key_count;
    uint64_t false_not_run; ///< of these, keys that a service has run
    double skew;            ///< requests of the busiest engine over the mean
    double control_bytes_before;
    double control_bytes_per_s;
};

void report_add_latency(struct report *report, double first_byte_ms,
                        double total_ms);

/// Records a key whose only request was refused as not-run.
void report_add_not_run(struct report *report, const char *key);

/// Reads the routers' counters of control traffic before the run.
void report_start(struct report *report, struct event_base *base,
                  const struct settings_load *settings);

/// Reads the engines' ledgers, the services' keys and the routers' metrics.
void report_collect(struct report *report, struct event_base *base,
                    const struct settings_load *settings);

void report_print(struct report *report, FILE *out);

/// Writes the figures as name,value lines.
void report_write_csv(const struct report *report, FILE *out);
void report_destroy(struct report *report);
