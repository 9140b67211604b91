/// The rate of requests that an endpoint states in its answers: what it takes
/// from all routers together, for as long as it states one.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// A higher stated rate limits no router, and is taken as a fault.
#define RATE_LIMIT_MAX_PER_S 1e6

/// State of one endpoint at one router. Zero-initialise before use.
struct rate_limit {
    bool holds;
    double per_s;     ///< as last stated; 0 is a valid rate
    int64_t begun_ms; ///< since when it holds
    uint64_t sent;    ///< requests of this router since then
};

enum rate_limit_change {
    RATE_LIMIT_UNCHANGED,
    RATE_LIMIT_BEGUN,
    RATE_LIMIT_CHANGED, ///< another rate
    RATE_LIMIT_ENDED,
};

/// An answer of the endpoint states this rate, or none.
enum rate_limit_change rate_limit_answered(struct rate_limit *limit,
                                           int64_t now_ms, bool is_stated,
                                           double per_s);

/// Counts a request.
void rate_limit_take(struct rate_limit *limit);
