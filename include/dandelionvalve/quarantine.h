/// Keeps a request that crashes its endpoint away from the other endpoints.
///
/// When an endpoint dies, each request that it was running gets a strike. A
/// struck request runs only where no other struck one runs, so that the next
/// death tells them apart; at the limit it is refused. A success clears it.
///
/// A strike names the death that it is for, so that strikes by daemons that
/// have not heard of each other add up, and one death counts once.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

struct quarantine;

enum quarantine_verdict {
    QUARANTINE_CLEAR,
    QUARANTINE_ISOLATE, ///< run it only where no other struck request runs
    QUARANTINE_REFUSE,
};

struct quarantine_options {
    const struct clock *clock;
    uint32_t strikes_max;
    int64_t hold_ms;     ///< a strike is forgotten after this time
    size_t requests_max; ///< fingerprints kept; the oldest go first
};

#define QUARANTINE_CRASHES_MAX 8

/// The caller frees with quarantine_free().
struct quarantine *quarantine_new(const struct quarantine_options *options);
void quarantine_free(struct quarantine *quarantine);

void quarantine_set_options(struct quarantine *quarantine,
                            uint32_t strikes_max, int64_t hold_ms);

/// The endpoint's death `death` struck this request, seen here or told by
/// another daemon. True if that was news.
bool quarantine_strike(struct quarantine *quarantine, uint64_t fingerprint,
                       uint32_t crash_id);

/// Deaths that have struck the request.
uint32_t quarantine_strikes(const struct quarantine *quarantine,
                            uint64_t fingerprint);

/// The request has ended well.
void quarantine_clear(struct quarantine *quarantine, uint64_t fingerprint);

enum quarantine_verdict quarantine_check(struct quarantine *quarantine,
                                         uint64_t fingerprint);

size_t quarantine_count(const struct quarantine *quarantine);
