/// Limits what a router sends to a cold endpoint: one that has just started,
/// or has lost its caches, and crashes at a rate well above the stated one.
///
/// Load pattern: an endpoint comes back during traffic, and tens of routers
/// choose it at the same moment, since it has no load yet. Therefore only a
/// few of them send to it (core/senders). See docs/design/warmup.md.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "senders.h"

/// A suspicion that no answer confirms or refutes ends after this time: the
/// endpoint's entry has stated its state several times since.
#define WARMUP_SUSPECT_MAX_MS 60000
/// Entries that reach a router later than this after the endpoint was lost
/// were written after its return: they are written every 1.2 s, and take some
/// seconds when the store is slow.
#define WARMUP_ENTRY_LAG_MS 5000
/// An answer may have been on its way when the endpoint was lost. Later ones
/// show that the process has not ended.
#define WARMUP_IN_TRANSIT_MS 1000
/// Bound on the time that an endpoint states; a longer one is a fault.
#define WARMUP_LEFT_MAX_MS (3600 * 1000)

/// How a service's endpoints start. No request limit with `per_s` 0.
struct warmup_limits {
    int64_t start_ms; ///< an endpoint is cold for so long after its start
    double per_s;     ///< requests that a cold endpoint takes
    double rate_factor;
    double slack; ///< bound in any second: per_s * rate_factor + slack
};

struct sender_plan warmup_make_plan(const struct warmup_limits *limits);

/// How a router has learned that an endpoint is cold.
enum warmup_source {
    WARMUP_ENTRY,      ///< its entry in the store
    WARMUP_ANSWER,     ///< an answer
    WARMUP_RESTART,    ///< its connections were refused or lost before
    WARMUP_EVACUATION, ///< the evacuation of its zone has ended
};

const char *warmup_source_name(enum warmup_source source);

/// State of one endpoint at one router. Zero-initialise before use.
struct warmup {
    int64_t until_ms;
    int64_t begun_ms; ///< when it became cold
    /// When its connections were refused or lost, so that it may have started
    /// again; 0: not since it last answered.
    int64_t suspected_ms;
    /// Its connections were refused, here or at a peer, since it was last
    /// known to be warm.
    bool refused;
    double sent_ms; ///< when this router last sent a request
    enum warmup_source source;
};

/// True if the endpoint is cold or may be. Requests that are counted by
/// warmup_take() do not change the result.
bool warmup_is_cold(const struct warmup *warmup, int64_t now_ms);

/// Time until it is warm; 0: it is.
int64_t warmup_left_ms(const struct warmup *warmup, int64_t now_ms);

/// The endpoint is cold for `left_ms` from now; the latest end applies. False
/// if nothing changes.
bool warmup_extend(struct warmup *warmup, int64_t now_ms, int64_t left_ms,
                   enum warmup_source source);

/// A connection was refused, or with `refused` false lost: the endpoint may
/// start again at any moment. False if this was known.
bool warmup_suspect(struct warmup *warmup, int64_t now_ms, bool refused);

/// True if a router that starts now is to be told that connections were
/// refused: the endpoint's entry may still be the one from before.
bool warmup_entry_may_be_old(const struct warmup *warmup, int64_t now_ms);

/// The endpoint has answered a request that was sent at `sent_ms`, on a
/// connection that was made at `connected_ms`. A connection made after the
/// suspicion may lead to a new process, which is cold for `start_ms`; an
/// earlier one would have ended with the process. True if the suspicion has
/// ended.
bool warmup_answered(struct warmup *warmup, int64_t now_ms,
                     int64_t connected_ms, int64_t sent_ms, int64_t start_ms);

/// The endpoint's entry has been written again. True if that ends the
/// suspicion; the endpoint is then cold for `start_ms`, since the entry does
/// not tell when a process that this router has not reached was started.
bool warmup_renewed(struct warmup *warmup, int64_t now_ms, int64_t start_ms);

/// Time until this router may send the next request; 0: now.
int64_t warmup_wait_ms(const struct warmup *warmup,
                       const struct sender_plan *plan, int64_t now_ms);

/// Counts a request. It is not given back if the request does not run.
void warmup_take(struct warmup *warmup, int64_t now_ms);
