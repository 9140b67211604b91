/// Divides the requests that an endpoint takes in a time among few routers.
///
/// Load pattern: the rate is too low to be divided evenly among tens of
/// routers: each router's share would be less than one request, and a burst of
/// one from each is already too much. Therefore only a few routers send, the
/// first ones in the endpoint's rendezvous order, and each at a share of the
/// rate. No message is needed for a request.
///
/// Routers may disagree about who the others are. A router is known to the
/// others when it has been linked to more than half of the routers that it
/// knows for a settle time, and only then it sends. See
/// docs/design/warmup.md.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Routers that do not know of each other yet may send in addition to the
/// planned senders. The bound has room for this many of them, but for no more
/// than there are planned ones.
#define SENDERS_EXTRA 2
/// Interval between two updates above which the process was frozen: what it
/// knows of the other routers is outdated.
#define SENDERS_FROZEN_MS 1000
/// A router that is no longer known may be partitioned instead of stopped: the
/// highest number of known routers is kept for this time.
#define SENDERS_KNOWN_HOLD_MS 600000

/// Who sends to an endpoint, and how much.
struct sender_plan {
    size_t senders; ///< routers
    double per_s;   ///< of each, with a burst of one; 0: nothing
};

/// `bound` requests may be sent in any `window_s` by all routers, of which
/// there are `routers`; `per_s` is the rate to reach.
struct sender_plan sender_plan_make(double per_s, double window_s,
                                    double bound, size_t routers);

/// Whether the other routers know of this one. Zero-initialise before use.
struct sender_standing {
    int64_t since_ms; ///< the condition holds since then
    int64_t updated_ms;
    bool holds;
    size_t most_known;
    int64_t most_known_ms;
};

/// Call often, at least several times in SENDERS_FROZEN_MS. `known` and
/// `linked` are numbers of routers, this one included. With `links_enough` >
/// 0, that many linked ones suffice: in a large deployment a router has links
/// to a few others only.
void sender_standing_update(struct sender_standing *standing, int64_t now_ms,
                            size_t known, size_t linked, size_t links_enough);

/// Time until this router may send; 0: now. -1: not before it is linked to
/// more routers.
int64_t sender_standing_wait_ms(const struct sender_standing *standing,
                                int64_t now_ms, int64_t settle_ms);
