/// Admission of requests to an overloaded service by account.
///
/// Load patterns: a burst of all accounts; one account at many times its usual
/// rate; callers that ignore Retry-After or abandon requests; a part of the
/// endpoints is gone at the peak. core/shed decides which share of the
/// requests is refused. This module decides which ones, so that the accounts
/// of one priority get equal shares: what an account asks for beyond a level,
/// equal for all, is refused. The level follows from what the accounts have
/// recently asked for at all routers, as each reports it to its peers.
///
/// A request of a long prompt counts for more than one of a short prompt.
/// Within an account, callers that were refused before are preferred to new
/// ones, and prompts that are long for their route are admitted at least as
/// often as ADMISSION_LARGE_FACTOR states. Other requests of the account are
/// refused more often in return.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/str.h"

/// Time constant of the sums.
#define ADMISSION_WINDOW_MS 3000.0
/// Age at which a peer's sums are dropped. They decay until then.
#define ADMISSION_REPORT_MAX_AGE_MS 3000
/// Refused share of returning callers as a factor of their account's.
#define ADMISSION_RETURNING_FACTOR 0.5
/// Large prompts are admitted at least this much as often as all requests. The
/// requirement is 0.5; the rest is for the error of the quantile.
#define ADMISSION_LARGE_FACTOR 0.6
/// Quantile of a route's prompts above which one is large.
#define ADMISSION_LARGE_QUANTILE 0.9

enum admission_reason {
    ADMISSION_ADMITTED,
    ADMISSION_OVER_SHARE, ///< its account asks for more than an equal part
    ADMISSION_OVERLOAD, ///< refusing accounts over their shares is not enough
    ADMISSION_LATE,     ///< it can no longer meet its objective
    ADMISSION_DEADLINE, ///< it cannot begin before its deadline
    ADMISSION_REASON_END,
};

struct admission;

struct admission_options {
    const struct clock *clock;
    const struct random_source *random;
};

struct admission_request {
    struct str service;
    struct str account; ///< empty on public routes
    struct str route;
    uint32_t priority; ///< 0 is the highest
    uint32_t prompt_tokens;
    /// The share of all requests to be refused, by shed_share().
    double shed_share;
    bool is_late;
    bool is_returning; ///< its caller was refused before
};

struct admission_verdict {
    enum admission_reason reason;
    double refused_share; ///< of requests like this one
    double account_share; ///< of what all accounts of the priority ask for
    double equal_share;   ///< what an equal part would be
    /// Time after which the account would be within the level if it asked for
    /// nothing.
    int64_t wait_ms;
};

/// The caller frees with admission_free(). Clock and random source must
/// outlive it.
struct admission *admission_new(const struct admission_options *options);
void admission_free(struct admission *admission);

/// A copy of what decides on this request, to find the decision without
/// counting the request. The caller frees with admission_free().
struct admission *admission_copy(const struct admission *admission,
                                 const struct admission_request *request,
                                 const struct random_source *random);

/// Decides on a request and counts it.
void admission_decide(struct admission *admission,
                      const struct admission_request *request,
                      struct admission_verdict *verdict);

/// True if the request is to be refused since its answer is predicted to begin
/// `predicted_ms` from now, `left_ms` before its deadline or later. Few are
/// admitted all the same, so that a wrong prediction is corrected.
bool admission_misses_deadline(struct admission *admission,
                               const struct admission_request *request,
                               double predicted_ms, int64_t left_ms);

/// Writes what this router reports to its peers; returns the number of items.
size_t admission_collect(struct admission *admission,
                         struct message_share *items, size_t max);

/// Replaces the sums of a peer for the accounts in its report.
void admission_receive(struct admission *admission, uint64_t peer,
                       const struct message_share *items, size_t count);

/// Age of the last report of a peer; -1: there is none.
int64_t admission_report_age_ms(const struct admission *admission);

/// Writes refusals, shares and the age of reports as metrics.
void admission_print(const struct admission *admission, FILE *out);

/// Frees what is out of use. Call it about every 100 ms.
void admission_tick(struct admission *admission);

const char *admission_reason_name(enum admission_reason reason);
