/// Quarantine of requests that crash their endpoint.
///
/// When an endpoint crashes, each request that it was running gets a strike. A
/// request with strikes runs only where no other such request runs, so that
/// the next crash identifies the cause; at the limit it is held: refused for a
/// time. Then it is let through once, and held for longer if that crashes
/// again, since it may come back for as long as its caller lives. A success
/// clears its strikes.
///
/// A strike carries the id of the crash, so that strikes of different crashes
/// that several daemons detect add up, and one crash counts once.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

struct quarantine;

enum quarantine_verdict {
    QUARANTINE_CLEAR,   ///< no strikes
    QUARANTINE_ISOLATE, ///< run it only where no other with strikes runs
    QUARANTINE_REFUSE,  ///< it has reached the limit of strikes
};

struct quarantine_options {
    const struct clock *clock;
    uint32_t strikes_max;
    /// Time from the last strike until all strikes below the limit expire, and
    /// of the first hold.
    int64_t hold_ms;
    size_t requests_max; ///< those that expire first are evicted
};

/// Crashes recorded for one request; further ones replace the oldest.
#define QUARANTINE_CRASHES_MAX 8

/// The options are copied. The caller frees with quarantine_free().
struct quarantine *quarantine_new(const struct quarantine_options *options);
void quarantine_free(struct quarantine *quarantine);

/// Applies to later strikes and checks.
void quarantine_set_options(struct quarantine *quarantine,
                            uint32_t strikes_max, int64_t hold_ms);

/// Adds a strike for a crash that this or another daemon has detected. False
/// if it is known already.
bool quarantine_strike(struct quarantine *quarantine, uint64_t fingerprint,
                       uint32_t crash_id);

/// Number of crashes recorded for the request.
uint32_t quarantine_strikes(const struct quarantine *quarantine,
                            uint64_t fingerprint);

/// Clears the strikes of a request that has succeeded, unless it is held: that
/// success was begun before.
void quarantine_clear(struct quarantine *quarantine, uint64_t fingerprint);

/// Takes the request as let through if its hold has ended.
enum quarantine_verdict quarantine_check(struct quarantine *quarantine,
                                         uint64_t fingerprint);

/// Number of requests with strikes.
size_t quarantine_count(const struct quarantine *quarantine);
