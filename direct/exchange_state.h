/// State of a request, shared by the files that handle it.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/sse.h"
#include "core/wire.h"

struct caller;
struct catalog;
struct catalog_route;
struct channel;
struct direct;
struct endpoint;
struct evbuffer;
struct event;

#define EXCHANGE_ID_BYTES 128
/// Endpoints that are tried for one request at most, unreachable ones
/// included.
#define EXCHANGE_OFFERS_MAX 16

struct exchange {
    struct direct *direct;
    struct caller *caller; ///< NULL once the caller has left
    struct catalog *catalog;
    const struct catalog_route *route;
    struct str account;
    struct request_facts facts; ///< views, valid while there is a caller
    char id[EXCHANGE_ID_BYTES];
    struct str service;
    uint32_t priority;
    bool has_priority;
    uint64_t fingerprint;
    int64_t started_ms;
    int64_t expires_ms; ///< on the clock: caller's deadline or route's timeout

    uint64_t build; ///< that began the stream; 0: none yet
    struct {
        uint64_t mark; ///< of builds_written(); 0: not held
        int64_t until_ms;
    } hold;          ///< of the first event
    uint64_t stream; ///< of a resumable route: see core/builds.h
    /// Number of the read of the log of streams that it waits for; 0: none.
    uint64_t awaited_read;
    struct {
        uint64_t number;    ///< of the question to the peers; 0: none waits
        const char *reason; ///< of the refusal if they do not know the stream
    } find;
    struct endpoint *endpoint;
    struct channel *channel;
    uint64_t tried[EXCHANGE_OFFERS_MAX];
    size_t offers;     ///< endpoints chosen so far
    size_t deliveries; ///< endpoints that may have received it
    size_t runs;       ///< endpoints that may have run it
    int64_t offered_ms;
    int64_t progress_ms;   ///< of a stream: when an event was complete
    double backlog_tokens; ///< its part of the endpoint's backlog
    double held_tokens;    ///< its part of the endpoint's footprint
    uint32_t uncached_tokens;
    bool delay_recorded;       ///< counted for this attempt
    bool answer_recorded;      ///< as begun, for this attempt
    bool stalled;              ///< counted as a failure of this attempt
    bool waits_for_deployment; ///< for configuration and entries

    int status;
    bool not_executed;
    bool is_stream;
    bool has_events;           ///< a stream that does not state another type
    bool ends_with_connection; ///< neither length nor chunks
    bool response_started;     ///< the head has been sent to the caller
    struct evbuffer *fields;
    struct evbuffer *body;
    struct sse_buffer events;
    struct sse_scan scan;
    size_t buffered_bytes; ///< its part of the router's buffered answers
    int64_t first_ms;
    int64_t event_ms;     ///< of a stream: when the last event ended; 0: none
    int64_t pause_max_ms; ///< longest time between two events; -1: none
    struct event *timer;
};

/// Answers with an error status and ends the exchange. 503 and 429 are allowed
/// only if the request has not run and will not. A `retry_after_ms` below 0
/// sends no Retry-After.
void exchange_refuse(struct exchange *exchange, int status,
                     int64_t retry_after_ms, const char *reason);

/// Answers 503 with Retry-After, or 502 if the request may have run.
void exchange_refuse_not_run(struct exchange *exchange, const char *reason);

/// The same for a caller that has no chance before `earliest_ms` from now.
void exchange_refuse_until(struct exchange *exchange, int64_t earliest_ms,
                           const char *reason);

/// The Retry-After of such an answer.
int64_t exchange_retry_after_ms(const struct exchange *exchange,
                                const struct random_source *random,
                                int64_t earliest_ms);

/// Sends an admitted request to an endpoint, or refuses it. A service that has
/// been chosen stays.
void exchange_place(struct exchange *exchange);

/// Current time on the router's clock.
int64_t exchange_now(const struct exchange *exchange);

/// True if the request may run more than once.
bool exchange_is_repeatable(const struct exchange *exchange);

/// Field lines of the answer; valid until they are changed.
struct str exchange_fields(struct exchange *exchange);

/// Sets the timer to the stall time-out or the time limit, whichever is first.
void exchange_arm_timer(struct exchange *exchange);

/// Sends the rest of a complete answer and ends the exchange.
void exchange_finish(struct exchange *exchange);

/// Closes the caller's connection, so that the partial answer is seen as
/// incomplete, and ends the exchange.
void exchange_abort_response(struct exchange *exchange, const char *reason);

/// Ends the exchange without an answer.
void exchange_free(struct exchange *exchange);
