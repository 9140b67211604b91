/// At-most-once execution of requests with idempotency keys, by claims on one
/// stream of the platform's append-only log. Every process applies the records
/// in offset order.
///
/// The first unreleased claim of a key in offset order may run. A claim is in
/// force until it is released or the window ends. An append without a response
/// is repeated with the same nonce, which is idempotent; a request that stops
/// waiting releases its nonce, which then never runs, even if its claim is
/// appended later.
///
/// All times are the platform's, taken from the records, so that every reader
/// drops an old key at the same record. The window is at most 0.45 of the
/// log's retention: keys whose earlier records have aged out of the log are
/// then outside the window as well.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/str.h"

struct claims;

enum claim_verdict {
    CLAIM_RUN,         ///< this request may run, and no other of its key
    CLAIM_REPLAY,      ///< a request of its key has run; its answer is stored
    CLAIM_IN_PROGRESS, ///< another request of its key may be running
    CLAIM_UNKNOWN,     ///< another may have run; its outcome is unknown
    CLAIM_CONFLICT,    ///< the key was used for a request with another hash
    CLAIM_EXPIRED,     ///< the time in the key is outside the window
    CLAIM_LOG_DOWN,    ///< no claim was made in time; not run
};

/// A short answer that is stored for repeated requests.
struct claim_answer {
    int status;
    struct str content_type;
    struct str body;
    bool body_kept; ///< false if the body was too long or not UTF-8
};

struct claim_decision {
    enum claim_verdict verdict;
    struct claim_answer answer; ///< CLAIM_REPLAY; valid within the callback
};

struct claim_options {
    const struct clock *clock;
    const struct random_source *random;
    int64_t window_ms;          ///< time for which a key is stored
    int64_t wait_ms;            ///< time-out of a request's wait for a claim
    int64_t append_interval_ms; ///< least time between two appends
    size_t batch_max;           ///< claims, outcomes and releases per append
    size_t answer_bytes_max;    ///< longer bodies are not stored
    /// Starts one append; the caller reports its result by claim_appended().
    /// Not called while an append is in progress. `record` is valid within the
    /// call.
    void (*append)(void *ctx, struct str record);
    /// Called once for each claim_begin() that is not withdrawn.
    void (*decided)(void *ctx, void *request,
                    const struct claim_decision *decision);
    void *ctx;
};

struct claim_request {
    struct str key;       ///< prefixed with the client account's name; copied
    uint64_t hash;        ///< of method, path and body
    int64_t run_limit_ms; ///< time after which a missing outcome is unknown
    void *request;        ///< owned by the caller; passed to `decided`
};

enum claim_append_status {
    CLAIM_APPEND_OK,
    CLAIM_APPEND_REFUSED, ///< certainly not appended
    CLAIM_APPEND_UNKNOWN, ///< may have been appended, or may still be
};

struct claim_counts {
    uint64_t appends; ///< started
    uint64_t claims;  ///< in started appends
    size_t entries;   ///< keys stored now
    size_t waiting;   ///< requests that wait for a claim now
};

/// The caller frees with claims_free().
struct claims *claims_new(const struct claim_options *options);

/// Waiting requests are discarded without a callback.
void claims_free(struct claims *claims);

/// Sets `window_ms` of the options for new claims.
void claims_set_window(struct claims *claims, int64_t window_ms);

/// Requests a claim. `decided` may be called before this returns.
void claim_begin(struct claims *claims, const struct claim_request *request);

/// Removes a waiting request and releases its claim, if there may be one. No
/// effect on a decided request.
void claim_withdraw(struct claims *claims, const void *request);

/// Stores the answer of a request that was decided CLAIM_RUN; status 0 if its
/// outcome is unknown. The answer is copied.
void claim_finish(struct claims *claims, const void *request,
                  const struct claim_answer *answer);

/// Releases the claim of a request that was decided CLAIM_RUN and certainly
/// not run: its key may be claimed again.
void claim_release(struct claims *claims, const void *request);

/// The result of an append; `offset` is valid for CLAIM_APPEND_OK.
void claim_appended(struct claims *claims, enum claim_append_status status,
                    int64_t offset);

/// Sets the offset of the log's first record and its retention. If records
/// were missed, all stored keys are dropped and reading starts at
/// `first_offset`.
void claim_set_log_start(struct claims *claims, int64_t first_offset,
                         int64_t retention_ms);

/// Applies a record; `time_ms` is the platform's time of its append. Offsets
/// below claim_next_offset() are ignored.
void claim_apply_record(struct claims *claims, int64_t offset, int64_t time_ms,
                        struct str record);

/// All records up to the platform's time `time_ms` have been applied.
void claim_caught_up(struct claims *claims, int64_t time_ms);

/// The offset to read from next.
int64_t claim_next_offset(const struct claims *claims);

/// Decides requests that have waited too long and starts an append if due.
void claim_tick(struct claims *claims);

struct claim_counts claim_totals(const struct claims *claims);

/// Milliseconds since 1970 of a key that is a version 7 UUID, else -1.
int64_t claim_key_time_ms(struct str key);

const char *claim_verdict_name(enum claim_verdict verdict);
