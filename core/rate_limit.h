/// The rate of requests that an endpoint states in its answers: what it takes
/// from all routers together, for as long as it states one.
///
/// Load pattern: an endpoint in need states a rate that is a small part of
/// what tens of routers send it. Its answers reach the routers that send to it
/// only, one after the other; a router that sends nothing does not learn when
/// the statement ends. The rate is divided among few routers that have traffic
/// (core/senders). Routers report to each other what they have been told. If
/// no router has got an answer for a while, the others try one request in
/// turn.
///
/// See docs/design/rate-limit.md.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "senders.h"

/// In any window an endpoint tolerates the stated rate times the factor, and
/// the slack.
#define RATE_LIMIT_WINDOW_S 4
#define RATE_LIMIT_FACTOR 1.5
#define RATE_LIMIT_SLACK 5
/// A higher stated rate limits no router, and is taken as a fault.
#define RATE_LIMIT_MAX_PER_S 1e6
/// A lower stated rate, zero included, counts as this one: only an answer
/// shows that the statement has ended.
#define RATE_LIMIT_MIN_PER_S 0.1
/// A statement that no answer has confirmed for this long, at any router, may
/// have ended.
#define RATE_LIMIT_STALE_MS 15000
/// Interval between two requests that try an endpoint with such a statement,
/// over all routers.
#define RATE_LIMIT_TRY_MS 2000
/// Interval of reports to the peers that a statement still holds.
#define RATE_LIMIT_RENEW_MS 5000
/// Time for which peers are still told that a statement has ended.
#define RATE_LIMIT_ENDED_MS 60000

/// State of one endpoint at one router. Zero-initialise before use.
struct rate_limit {
    bool holds;
    bool has_held;
    double per_s;         ///< as last stated; 0 is a valid rate
    int64_t begun_ms;     ///< since when it holds
    int64_t changed_ms;   ///< since when it holds with this rate, or has ended
    int64_t confirmed_ms; ///< of the last answer, here or at a peer; 0: none
    int64_t reported_ms;  ///< when peers were last told, or told this router
    int64_t sent_ms;      ///< when this router last sent a request; 0: not yet
    uint64_t sent;        ///< requests of this router since `begun_ms`
    bool report_due;      ///< peers do not know the present state
};

enum rate_limit_change {
    RATE_LIMIT_UNCHANGED,
    RATE_LIMIT_BEGUN,
    RATE_LIMIT_CHANGED, ///< another rate
    RATE_LIMIT_ENDED,
};

/// An answer of the endpoint, or a peer's report of one.
struct rate_limit_statement {
    bool is_stated;
    double per_s;
    int64_t at_ms; ///< when the answer arrived
    /// When its request was sent. An answer that was on its way does not raise
    /// or end what a later one states.
    int64_t sent_ms;
};

enum rate_limit_change
rate_limit_answered(struct rate_limit *limit,
                    const struct rate_limit_statement *statement);

/// A peer has been told; the newest answer of all routers applies. With
/// `relays`, this router passes the report on.
enum rate_limit_change
rate_limit_reported(struct rate_limit *limit, int64_t now_ms,
                    const struct rate_limit_statement *statement, bool relays);

/// This router among all that may send to the endpoint.
struct rate_limit_place {
    size_t rank;              ///< in the endpoint's rendezvous order
    size_t routers;           ///< that have traffic, this one included
    int64_t standing_wait_ms; ///< 0: the others know of this router
};

struct sender_plan rate_limit_plan(const struct rate_limit *limit,
                                   size_t routers);

/// Time until this router may send the next request; 0: now. A router that is
/// none of the senders gets the time in which the endpoint takes one request:
/// callers that come back reach other routers.
int64_t rate_limit_wait_ms(const struct rate_limit *limit,
                           const struct rate_limit_place *place,
                           int64_t now_ms);

/// Counts a request. It is not given back if the request does not run.
void rate_limit_take(struct rate_limit *limit, int64_t now_ms);

/// True if peers are to be told the state now; counts as told.
bool rate_limit_take_report(struct rate_limit *limit, int64_t now_ms);

/// True if a peer that has just been linked is to be told the state.
bool rate_limit_is_known(const struct rate_limit *limit, int64_t now_ms);
