/// Circuit breaker of one endpoint: consecutive failed runs exclude it for
/// some time, whatever its health check reports. Without it, an endpoint that
/// fails fast has little load and attracts all traffic.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

#define BREAKER_FAILURES_MAX 3
#define BREAKER_OPEN_MIN_MS 1000
#define BREAKER_OPEN_MAX_MS 30000

struct breaker_options {
    const struct clock *clock;
    uint32_t failures_max; ///< consecutive failures that open it
    int64_t open_min_ms;   ///< duration of the first opening
    int64_t open_max_ms;
};

/// Initialise with breaker_init(); owns nothing.
struct breaker {
    struct breaker_options options;
    uint32_t failures;    ///< consecutive
    int64_t next_open_ms; ///< how long it opens next time
    int64_t open_until_ms;
};

void breaker_init(struct breaker *breaker,
                  const struct breaker_options *options);

/// Counts a successful run and closes the breaker.
void breaker_success(struct breaker *breaker);

/// Counts a failed run. Until the next success, each failure after an opening
/// opens the breaker again, for twice the time.
void breaker_failure(struct breaker *breaker);

bool breaker_is_open(const struct breaker *breaker);
