/// Stand-in for an endpoint on the platform: answers plain calls and streams
/// of events, and misbehaves on demand. Its ledger says what it has run.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "net/address.h"

struct event_base;
struct origin;

enum origin_fault {
    ORIGIN_OK,
    ORIGIN_SHEDS,           ///< 503 that says the request was not run
    ORIGIN_FAILS,           ///< 500 of its own, run
    ORIGIN_BUSY,            ///< 503 without saying that it was not run
    ORIGIN_HANGS,           ///< runs and never answers
    ORIGIN_RESETS,          ///< runs and resets instead of an answer
    ORIGIN_TRUNCATES,       ///< ends in the middle of the body
    ORIGIN_UNFRAMED,        ///< a body that lasts until the connection ends
    ORIGIN_UNFRAMED_RESET,  ///< the same, but reset on the way
    ORIGIN_ANSWERS_TWICE,   ///< a second answer after the first
    ORIGIN_STALE_ANSWER,    ///< an answer to another request comes first
    ORIGIN_INVALID_HTTP,    ///< bytes that are no answer
    ORIGIN_UNSIGNED,        ///< a success without its signature
    ORIGIN_CONTENT_ENCODED, ///< a success with a content encoding
    ORIGIN_MISDIRECTED,     ///< 421: another endpoint has the address now
    ORIGIN_EARLY_ANSWER,    ///< answers 400 before the body is in, reads on
    ORIGIN_RESETS_IN_EVENT, ///< stops in the middle of an event, once
};

struct origin_options {
    struct event_base *base;
    struct address address;
    const char *name; ///< its identity in its entry
    int64_t work_us;  ///< before the answer, or between events
    size_t events;    ///< of a stream
};

struct origin *origin_new(const struct origin_options *options,
                          struct err *err);
void origin_free(struct origin *origin);
struct address origin_address(const struct origin *origin);
void origin_set_fault(struct origin *origin, enum origin_fault fault);

/// From now on its answers state this load, as a text of the platform; NULL:
/// none.
void origin_set_load(struct origin *origin, const char *load);

/// What it states that it keeps, as the platform's rows; NULL: nothing. And
/// how often it was asked.
void origin_set_contexts(struct origin *origin, const char *rows);
uint64_t origin_contexts_queries(const struct origin *origin);

/// Requests that it began to run; those that it runs now; those whose
/// connection closed while it ran them; connections accepted.
uint64_t origin_runs(const struct origin *origin);
size_t origin_running(const struct origin *origin);
uint64_t origin_cancelled(const struct origin *origin);
uint64_t origin_connections(const struct origin *origin);

/// Runs of the request with this id.
uint64_t origin_runs_of(const struct origin *origin, const char *id);

/// A field of the last request that arrived; empty if absent.
const char *origin_last_field(struct origin *origin, const char *name);
size_t origin_last_body_bytes(const struct origin *origin);
