/// At-most-once execution of keyed requests: claims on one stream of the
/// platform's append-only log, folded in offset order.
///
/// The first unreleased claim of a key in offset order is the one that may
/// run. A claim never lapses. An append without an answer is repeated with
/// the same nonce, which is harmless; a request that gave up waiting releases
/// its nonce, which then never runs, even if its claim lands later.
///
/// All times are the platform's, as the log gives them with its records, so
/// that every reader drops an old key at the same record. The window is at
/// most WINDOW_RETENTION_SHARE of the retention: whatever a reader cannot
/// judge because earlier records have aged out is then outside the window
/// itself.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/str.h"

struct claims;

enum claim_verdict {
    CLAIM_RUN,         ///< this request may run, and no other of its key
    CLAIM_REPLAY,      ///< it has run: here is its answer
    CLAIM_IN_PROGRESS, ///< another request of its key may be running
    CLAIM_UNKNOWN,     ///< another may have run, and its outcome is lost
    CLAIM_CONFLICT,    ///< the key stands for a request with another hash
    CLAIM_EXPIRED,     ///< the key is older than the window
    CLAIM_LOG_DOWN,    ///< no claim could be made: not run
};

/// A short answer that is kept for re-sends.
struct claim_answer {
    int status;
    struct str content_type;
    struct str body;
    bool body_kept; ///< false if the body was too long to be kept
};

struct claim_decision {
    enum claim_verdict verdict;
    struct claim_answer answer; ///< CLAIM_REPLAY; valid within the callback
};

struct claim_options {
    const struct clock *clock;
    const struct random_source *random;
    int64_t window_ms;          ///< how long a key is remembered
    int64_t wait_ms;            ///< how long a request waits for its claim
    int64_t append_interval_ms; ///< least time between two appends
    size_t batch_max;           ///< claims and outcomes in one append
    size_t answer_bytes_max;    ///< longer answers are not kept
    /// Starts one append; its end is told by claim_appended(). Never called
    /// while another is under way.
    void (*append)(void *ctx, struct str record);
    /// Called once for each claim_begin() that was not withdrawn.
    void (*decided)(void *ctx, void *request,
                    const struct claim_decision *decision);
    void *ctx;
};

struct claim_request {
    struct str key;       ///< with the client account's name
    uint64_t hash;        ///< of method, path and body
    int64_t run_limit_ms; ///< after this long without outcome it is unknown
    void *request;        ///< the caller's; handed to `decided`
};

enum claim_append_status {
    CLAIM_APPEND_OK,
    CLAIM_APPEND_REFUSED,
    CLAIM_APPEND_UNKNOWN,
};

struct claim_counts {
    uint64_t appends;
    uint64_t claims;
    size_t entries;
    size_t waiting;
};

/// The caller frees with claims_free(); waiting requests are not decided.
struct claims *claims_new(const struct claim_options *options);
void claims_free(struct claims *claims);

void claims_set_window(struct claims *claims, int64_t window_ms);

/// Asks for the right to run. `decided` may be called at once.
void claim_begin(struct claims *claims, const struct claim_request *request);

/// The request is gone; its claim is released unless it was decided.
void claim_withdraw(struct claims *claims, const void *request);

/// The run of a request that was decided CLAIM_RUN has ended with this
/// answer; status 0 if its outcome is unknown.
void claim_finish(struct claims *claims, const void *request,
                  const struct claim_answer *answer);

/// A request that was decided CLAIM_RUN was certainly not run: its key is
/// free again.
void claim_release(struct claims *claims, const void *request);

/// Events from the log.
void claim_appended(struct claims *claims, enum claim_append_status status,
                    int64_t offset);

/// The first record that the log holds. If records were missed, the fold
/// starts anew.
void claim_set_log_start(struct claims *claims, int64_t first_offset,
                         int64_t retention_ms);
void claim_apply_record(struct claims *claims, int64_t offset, int64_t time_ms,
                        struct str record);

/// All records that the log holds at this time have been folded.
void claim_caught_up(struct claims *claims, int64_t time_ms);

/// The offset to read from next.
int64_t claim_next_offset(const struct claims *claims);

void claim_tick(struct claims *claims);

struct claim_counts claim_totals(const struct claims *claims);

/// Milliseconds since 1970 of a key that is a version 7 UUID, else -1.
int64_t claim_key_time_ms(struct str key);

const char *claim_verdict_name(enum claim_verdict verdict);
