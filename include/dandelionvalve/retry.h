/// Retry budget: a share of the traffic, not a count for each request.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

/// Time slots of the sliding window.
#define RETRY_BUCKETS 10

struct retry_options {
    const struct clock *clock;
    int64_t window_ms;
    int64_t budget_percent;
    int64_t slack; ///< retries per window in addition to that share
};

/// Counts of first attempts and retries over the last window.
struct retry_budget {
    struct retry_options options;
    uint32_t requests[RETRY_BUCKETS];
    uint32_t retries[RETRY_BUCKETS];
    int64_t current; ///< number of the latest time slot
};

void retry_init(struct retry_budget *budget,
                const struct retry_options *options);

/// Changes the window and the share; the counts are kept.
void retry_set_options(struct retry_budget *budget,
                       const struct retry_options *options);

/// Counts a caller's request.
void retry_count_request(struct retry_budget *budget);

/// Takes one retry from the budget; false if the budget is exhausted.
bool retry_take(struct retry_budget *budget);
