/// The number of requests that a busy endpoint states it has, of all routers.
///
/// Load pattern: beyond a full mesh a router knows the requests of its peers
/// only, a part of all. An endpoint that gets the work of many others holds
/// several times its slots, and each router sees a few of these requests and
/// goes on sending. The endpoint states its load in its answers, of which each
/// router gets few: the others are told of those.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// An endpoint is busy if it has this part of its slots in requests, or more.
#define STATED_LOAD_SLOTS_DIVISOR 2
/// A statement is used for this long.
#define STATED_LOAD_HOLD_MS 2000
/// Least interval of reports on one endpoint, to the peers and onwards.
#define STATED_LOAD_RENEW_MS 500

/// State of one endpoint at one router. Zero-initialise before use.
struct stated_load {
    uint32_t load;
    int64_t at_ms;       ///< of the answer that states it, here or at a peer
    int64_t reported_ms; ///< when peers were last told
    bool report_due;
};

/// An answer states the load of an endpoint with `slots`; 0: not known.
void stated_load_answered(struct stated_load *stated, uint32_t load,
                          uint32_t slots, int64_t now_ms);

/// A peer has been told at `at_ms`; the newest answer of all routers applies,
/// and is passed on.
void stated_load_reported(struct stated_load *stated, uint32_t load,
                          int64_t at_ms, int64_t now_ms);

/// True if peers are to be told now, and were last told `interval_ms` ago or
/// earlier; counts as told.
bool stated_load_take_report(struct stated_load *stated, int64_t now_ms,
                             int64_t interval_ms);

/// The load that is stated at present; 0: none.
uint32_t stated_load_now(const struct stated_load *stated, int64_t now_ms);
