/// What the parts of a direct router that handle a request share of it.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/events.h"
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
/// Endpoints that one request is offered to at most, unreachable ones
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
    int64_t expires_ms; ///< on the clock: deadline or the route's timeout

    struct endpoint *endpoint;
    struct channel *channel;
    uint64_t tried[EXCHANGE_OFFERS_MAX];
    size_t offers;     ///< endpoints chosen so far
    size_t deliveries; ///< endpoints that may have got it
    size_t runs;       ///< endpoints that may have run it
    int64_t offered_ms;
    int64_t progress_ms;   ///< last sign of the endpoint
    double backlog_tokens; ///< its share of the endpoint's
    uint32_t uncached_tokens;
    bool delay_recorded;       ///< this attempt's delay has been counted
    bool stalled;              ///< this attempt's silence has been counted
    bool waits_for_deployment; ///< the process has just started

    int status;
    bool not_executed;
    bool is_stream;
    bool response_started; ///< the head has gone to the caller
    struct evbuffer *fields;
    struct evbuffer *body;
    struct events events;
    int64_t first_ms;
    struct event *timer;
};

/// An answer of the router's own, which ends the exchange. 503 and 429 only if
/// the request has not run and will not. `retry_after_ms` below 0: not said.
void exchange_refuse(struct exchange *exchange, int status,
                     int64_t retry_after_ms, const char *reason);

/// 503 with a time to come back, or 502 if the request may have run.
void exchange_refuse_not_run(struct exchange *exchange, const char *reason);

/// On the router's clock.
int64_t exchange_now(const struct exchange *exchange);

/// True if the request may run more than once.
bool exchange_is_repeatable(const struct exchange *exchange);

/// Field lines of the answer; valid until they are changed.
struct str exchange_fields(struct exchange *exchange);

/// Sets the timer to what is due next: silence or the time limit.
void exchange_arm_timer(struct exchange *exchange);

/// The answer is whole: passes it on and ends the exchange.
void exchange_finish(struct exchange *exchange);

/// The answer can be neither completed nor replaced: ends the connection.
void exchange_abort_response(struct exchange *exchange, const char *reason);

/// Ends the exchange without a word.
void exchange_free(struct exchange *exchange);
