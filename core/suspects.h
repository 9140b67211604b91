/// Finds the part of a prompt that crashes the endpoints which begin to answer
/// it, and holds the requests that contain it.
///
/// Load pattern: requests that are never alike share one part and crash one
/// endpoint after the other; sound requests share their other parts. Each
/// crash is evidence against all shared parts of the request that it ended; an
/// answer that has begun is evidence for all parts of its request. A part with
/// enough evidence against it is held together with its companions, the parts
/// that were present at each of its crashes: a request that lacks one of them
/// passes, and its answer or crash tells them apart.
///
/// Crashes that come at the same moment count once: a loss of power or a reset
/// of connections ends many requests that share a part.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"
#include "prefix.h"

/// Weight of a crash for a request whose answer had begun, and for one that
/// may only have waited at the endpoint.
#define SUSPECTS_WEIGHT_BEGUN 2
#define SUSPECTS_WEIGHT_WAITING 1
/// Weight at which a part is held: three crashes under answers that had begun.
#define SUSPECTS_HOLD_WEIGHT 6
/// The same for a part that was answered within SUSPECTS_ANSWERED_MS before.
#define SUSPECTS_HOLD_WEIGHT_ANSWERED 12
#define SUSPECTS_ANSWERED_MS 60000
/// A part that was answered this shortly before a crash is not blamed for it.
#define SUSPECTS_IMMUNE_MS 2000
/// Crashes of a part that are closer than this count once.
#define SUSPECTS_SPACING_MS 250
/// Evidence that is older no longer counts.
#define SUSPECTS_EVIDENCE_MS 600000
/// A part is held for this long, and longer after each crash that shows the
/// hold to be right. In the first two holds one request is let through as a
/// trial after a third of the time.
#define SUSPECTS_HOLD_MS 60000
#define SUSPECTS_HOLD_SECOND_MS 120000
#define SUSPECTS_HOLD_MAX_MS 3600000
#define SUSPECTS_TRIAL_DIVISOR 3
/// A crash that comes so long after the begin of a hold was no request that
/// was on its way when it began.
#define SUSPECTS_CONFIRM_MS 10000
/// Interval of announcements that a blamed part was answered here.
#define SUSPECTS_ANNOUNCE_MS 500

struct suspects;

struct suspects_options {
    const struct clock *clock;
    size_t parts_max; ///< the least recently used parts are evicted
};

enum suspects_verdict {
    SUSPECTS_CLEAR,
    SUSPECTS_HELD,
    SUSPECTS_TRIAL, ///< let through although a part is held
};

/// The caller frees with suspects_free().
struct suspects *suspects_new(const struct suspects_options *options);
void suspects_free(struct suspects *suspects);

/// Adds the evidence of a crash, which this router or a peer has observed.
/// True if it is new: then it is to be forwarded. `answered` receives the
/// parts, MESSAGE_PARTS_MAX at most, that peers are to be told have been
/// answered here; `answered_count` their number.
bool suspects_blame(struct suspects *suspects,
                    const struct message_blame *blame, uint64_t *answered,
                    size_t *answered_count);

/// An answer to a prompt with these parts has begun; `is_local` unless a peer
/// reports it. `cleared` receives the parts, `count` at most, that were
/// blamed; returns their number. Peers are to be told of these.
size_t suspects_answered(struct suspects *suspects, const uint64_t *parts,
                         size_t count, bool is_local, uint64_t *cleared);

/// Whether a request may reach an endpoint. `may_try` is true on the one
/// router that tries held parts. `part` receives the held part.
enum suspects_verdict suspects_check(struct suspects *suspects,
                                     const uint64_t *parts, size_t count,
                                     bool may_try, uint64_t *part);

/// Calls back with the evidence against each held part, for a peer that may
/// lack it.
void suspects_each_held(struct suspects *suspects,
                        void (*visit)(void *ctx,
                                      const struct message_blame *blame),
                        void *ctx);

/// Weight of the evidence against a part; 0 if it is not blamed.
uint32_t suspects_weight(const struct suspects *suspects, uint64_t part);

/// Number of parts that are held now.
size_t suspects_held_count(struct suspects *suspects);

/// Writes the ids of the parts that requests share, all but the last,
/// MESSAGE_PARTS_MAX at most; returns their number.
size_t suspects_shared_parts(const struct prefix *prefix, uint64_t *parts);
