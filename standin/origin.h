/// Stand-in for an endpoint on the platform: answers plain calls and event
/// streams, injects faults and records the ids of the requests it has run.
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
    ORIGIN_SHEDS,           ///< 503 with Dandelionvalve-Not-Executed, not run
    ORIGIN_FAILS,           ///< signed 500 after the run
    ORIGIN_BUSY,            ///< 503 without Dandelionvalve-Not-Executed, run
    ORIGIN_HANGS,           ///< runs, never answers
    ORIGIN_RESETS,          ///< runs, resets the connection without an answer
    ORIGIN_TRUNCATES,       ///< closes the connection within the body
    ORIGIN_UNFRAMED,        ///< a body delimited by the connection's end
    ORIGIN_UNFRAMED_RESET,  ///< the same, ended by a reset
    ORIGIN_HEAD_CUT,        ///< closes the connection within a field line
    ORIGIN_HEAD_CUT_LINE,   ///< the same, behind the last one of the head
    ORIGIN_ANSWERS_TWICE,   ///< a second answer follows the first
    ORIGIN_STALE_ANSWER,    ///< an answer with another request id comes first
    ORIGIN_INVALID_HTTP,    ///< bytes that are not HTTP
    ORIGIN_UNSIGNED,        ///< a 200 without the server signature
    ORIGIN_CONTENT_ENCODED, ///< a 200 with Content-Encoding
    ORIGIN_MISDIRECTED,     ///< 421 without a run: the address was reassigned
    ORIGIN_EARLY_ANSWER,    ///< 400 before the body, which is still read
    ORIGIN_RESETS_IN_EVENT, ///< resets a stream within an event, once
    ORIGIN_TRICKLES,        ///< a stream's later half is a byte now and then
    // Streams with another end:
    ORIGIN_STREAM_EMPTY,           ///< no event
    ORIGIN_STREAM_UNFRAMED,        ///< delimited by the connection's end
    ORIGIN_STREAM_UNFRAMED_CRLF,   ///< the same, lines end with CR LF
    ORIGIN_STREAM_UNFRAMED_CLOSED, ///< the same, closed within an event
    ORIGIN_STREAM_UNFRAMED_NONE,   ///< the same, closed before an event
    ORIGIN_STREAM_UNFRAMED_RESET,  ///< the same, reset between two events
    ORIGIN_STREAM_CHUNKS_CUT,      ///< the last chunk comes within an event
    ORIGIN_STREAM_LENGTH_CUT,      ///< its length ends within an event
    ORIGIN_UNFRAMED_KEPT, ///< like ORIGIN_UNFRAMED, Connection: keep-alive
    ORIGIN_OTHER_TYPE,    ///< a 200 with JSON, also where a stream is expected
    ORIGIN_SHEDS_AGAIN,   ///< sheds one request, and repeats that answer when
                          ///< it runs the next one of the connection
    // Bytes without end, until the connection is closed:
    ORIGIN_ENDLESS_FIELD,     ///< a field value
    ORIGIN_ENDLESS_FIELDS,    ///< field lines
    ORIGIN_ENDLESS_INTERIM,   ///< interim answers (100)
    ORIGIN_ENDLESS_STALE,     ///< answers with another request id
    ORIGIN_ENDLESS_BODY,      ///< a body without a length
    ORIGIN_ENDLESS_ERROR,     ///< a chunked body of a 500
    ORIGIN_ENDLESS_EXTENSION, ///< a chunk extension
    ORIGIN_ENDLESS_TRAILER,   ///< trailer lines
    ORIGIN_ENDLESS_EXCESS,    ///< bytes behind a complete answer
    ORIGIN_ENDLESS_EVENT,     ///< a line of an event
    ORIGIN_FAULT_COUNT,
};

/// What crashes an endpoint, and for how long it is away.
struct origin_crash_options {
    /// Id of a part in a request's prompt: the endpoint sends the head of the
    /// answer and crashes before the first event. NULL: none. Not copied.
    const char *part;
    int64_t away_ms; ///< connections are refused meanwhile
    /// The endpoint accepts connections again; may be NULL.
    void (*back)(void *ctx, struct origin *origin);
    void *ctx;
};

struct origin_options {
    struct event_base *base;
    struct address address;
    const char *name; ///< id in its entry in the store
    int64_t work_us;  ///< time before an answer and between events
    size_t events;    ///< events of a stream
    /// A request with this id was received, run or not; may be NULL.
    void (*received)(void *ctx, const char *id);
    void *ctx;
    /// Prompt tokens of running requests above which the endpoint crashes; 0:
    /// no limit.
    int64_t memory_tokens;
};

struct origin *origin_new(const struct origin_options *options,
                          struct err *err);
void origin_free(struct origin *origin);
struct address origin_address(const struct origin *origin);
void origin_set_fault(struct origin *origin, enum origin_fault fault);

/// Sets the fault that takes effect with the first request that resumes a
/// stream.
void origin_set_resume_fault(struct origin *origin, enum origin_fault fault);

/// The options are copied.
void origin_set_crash(struct origin *origin,
                      const struct origin_crash_options *options);

/// Crashes: closes all connections, and accepts none for `away_ms`.
void origin_crash(struct origin *origin);

/// Crashes, and whether the endpoint accepts connections now.
uint64_t origin_crashes(const struct origin *origin);
bool origin_is_up(const struct origin *origin);

/// Sets the Dandelionvalve-Instance-Load value of streamed answers; NULL: no
/// such field. The text is not copied.
void origin_set_load(struct origin *origin, const char *load);

/// Returns the numbers of calls (see net/http_client.h) in answers that are no
/// streams.
void origin_set_call_echo(struct origin *origin);

/// Adds these field lines to rejections with 503; NULL: none. Not copied.
void origin_set_rejection_fields(struct origin *origin, const char *fields);

/// Adds these field lines to all complete answers and streams from now on;
/// NULL: none. Not copied.
void origin_set_fields(struct origin *origin, const char *fields);

/// Sets the time before an answer and between events.
void origin_set_work(struct origin *origin, int64_t work_us);

/// Adds "Server-Leaving: 1" to all answers from now on.
void origin_set_leaving(struct origin *origin);

/// Sets the rows that /v1/kv-list returns, as JSON; NULL: none. Not copied.
void origin_set_contexts(struct origin *origin, const char *rows);

/// Queries of /v1/kv-list received.
uint64_t origin_contexts_queries(const struct origin *origin);

/// Requests received, run or not.
uint64_t origin_requests(const struct origin *origin);

/// Requests run, requests running now, requests whose connection closed while
/// they ran, and connections accepted.
uint64_t origin_runs(const struct origin *origin);
size_t origin_running(const struct origin *origin);
uint64_t origin_cancelled(const struct origin *origin);
uint64_t origin_connections(const struct origin *origin);

/// Bytes sent under the endless faults.
uint64_t origin_endless_bytes(const struct origin *origin);

/// Runs of requests with this id.
uint64_t origin_runs_of(const struct origin *origin, const char *id);

/// A header field of the last request received; empty if absent.
const char *origin_last_field(struct origin *origin, const char *name);
size_t origin_last_body_bytes(const struct origin *origin);
