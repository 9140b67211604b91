/// Keeps a request that crashes its endpoint away from the other endpoints.
///
/// When an endpoint dies, each request that it was running gets a strike. A
/// struck request runs only where no other struck one runs, so that the next
/// death tells them apart; at the limit it is refused. A success clears it.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

struct quarantine;

enum quarantine_verdict {
    QUARANTINE_CLEAR,
    QUARANTINE_ALONE, ///< run it only where no other struck request runs
    QUARANTINE_REFUSE,
};

struct quarantine_options {
    const struct clock *clock;
    uint32_t strikes_max;
    int64_t hold_ms;     ///< a strike is forgotten after this time
    size_t requests_max; ///< fingerprints kept; the oldest go first
};

/// News of a fingerprint for other daemons.
struct quarantine_news {
    uint64_t fingerprint;
    uint32_t strikes;
};

/// The caller frees with quarantine_free().
struct quarantine *quarantine_new(const struct quarantine_options *options);
void quarantine_free(struct quarantine *quarantine);

void quarantine_set_options(struct quarantine *quarantine,
                            uint32_t strikes_max, int64_t hold_ms);

/// An endpoint died while it ran this request. Returns its strikes.
uint32_t quarantine_strike(struct quarantine *quarantine,
                           uint64_t fingerprint);

/// Another daemon knows of this many strikes; the higher number wins. True
/// if that was news.
bool quarantine_learn(struct quarantine *quarantine, uint64_t fingerprint,
                      uint32_t strikes);

/// The request has ended well.
void quarantine_clear(struct quarantine *quarantine, uint64_t fingerprint);

enum quarantine_verdict quarantine_check(struct quarantine *quarantine,
                                         uint64_t fingerprint);

/// The newest news, at most `max`; returns how many.
size_t quarantine_newest(const struct quarantine *quarantine,
                         struct quarantine_news *news, size_t max);

size_t quarantine_count(const struct quarantine *quarantine);
