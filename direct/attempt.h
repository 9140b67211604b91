/// One attempt to run a request at an endpoint, and its result.
#pragma once

#include "dandelionvalve/outcome.h"

struct endpoints_choice;
struct exchange;

/// Sends the request to the chosen endpoint.
void attempt_start(struct exchange *exchange,
                   const struct endpoints_choice *choice);

/// Handles an attempt without a complete answer: retries at another endpoint,
/// or ends the exchange.
void attempt_failed(struct exchange *exchange, enum attempt_end end,
                    const char *reason);

/// Passes on the events that were held, if the stream may begin.
void attempt_release(struct exchange *exchange);

/// Counts a failure against the endpoint of the attempt.
void attempt_record_failure(struct exchange *exchange, const char *reason);

/// Passes the delay of this attempt's answer to load shedding, once.
void attempt_record_delay(struct exchange *exchange);

/// Removes the answer of this request from the router's buffered bytes.
void attempt_release_buffered(struct exchange *exchange);

/// Discards the partial answer and releases the endpoint before a retry.
void attempt_reset(struct exchange *exchange);

/// Removes the request from the endpoint's load and drops the reference.
void attempt_release_endpoint(struct exchange *exchange);
