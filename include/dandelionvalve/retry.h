/// The retry budget: a share of the traffic, not a count for each request.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

#define RETRY_BUCKETS 10

struct retry_options {
    const struct clock *clock;
    int64_t window_ms;
    int64_t budget_percent;
    int64_t slack; ///< retries of a window above that share
};

/// Counts of first attempts and retries over the last window.
struct retry_budget {
    struct retry_options options;
    uint32_t requests[RETRY_BUCKETS];
    uint32_t retries[RETRY_BUCKETS];
    int64_t current;
};

void retry_init(struct retry_budget *budget,
                const struct retry_options *options);

/// Changes window and share; counts are kept.
void retry_set_options(struct retry_budget *budget,
                       const struct retry_options *options);

/// Counts a caller's request.
void retry_count_request(struct retry_budget *budget);

/// Takes one retry from the budget; false if it is spent.
bool retry_take(struct retry_budget *budget);
