/// How long an endpoint that turns requests away gets none.
///
/// Load pattern: an endpoint has more work than it can queue, and states with
/// a rejection when it takes requests again. Requests that reach it before
/// cost it work, and their callers time.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// A longer time is a fault of the endpoint: its requests would wait for the
/// end of the incarnation.
#define HOLD_MAX_MS (3600 * 1000)

struct hold {
    int64_t until_ms;
};

/// Extends the hold to `wait_ms` from now; the latest end stands. False if the
/// time is invalid, or an earlier hold ends later.
bool hold_extend(struct hold *hold, int64_t now_ms, int64_t wait_ms);

/// Time until the hold ends; 0: there is none.
int64_t hold_left_ms(const struct hold *hold, int64_t now_ms);
