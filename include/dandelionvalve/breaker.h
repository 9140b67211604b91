/// Circuit breaker of one endpoint: runs that are lost one after the other
/// take it out of use for a while, whatever its health check says. Without
/// it, an endpoint that fails fast looks idle and draws the whole traffic.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

#define BREAKER_FAILURES_MAX 3
#define BREAKER_OPEN_MIN_MS 1000
#define BREAKER_OPEN_MAX_MS 30000

struct breaker_options {
    const struct clock *clock;
    uint32_t failures_max; ///< lost runs in a row that open it
    int64_t open_min_ms;
    int64_t open_max_ms;
};

struct breaker {
    struct breaker_options options;
    uint32_t failures;
    int64_t next_open_ms; ///< how long it opens next time
    int64_t open_until_ms;
};

void breaker_init(struct breaker *breaker,
                  const struct breaker_options *options);

/// A run has ended well: closes it.
void breaker_success(struct breaker *breaker);

/// A run was lost. After the first opening a single loss opens it again, for
/// twice the time.
void breaker_failure(struct breaker *breaker);

bool breaker_is_open(const struct breaker *breaker);
