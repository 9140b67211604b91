/// One offer of a request to an endpoint, and what comes of it.
#pragma once

#include "dandelionvalve/outcome.h"

struct endpoints_choice;
struct exchange;

/// Sends the request to the chosen endpoint.
void attempt_start(struct exchange *exchange,
                   const struct endpoints_choice *choice);

/// The endpoint has given no whole answer: tries another, or ends the
/// exchange.
void attempt_failed(struct exchange *exchange, enum attempt_end end,
                    const char *reason);

/// Counts a failure against the endpoint that was asked.
void attempt_record_failure(struct exchange *exchange, const char *reason);

/// The answer has begun.
void attempt_record_delay(struct exchange *exchange);

/// Forgets what the last endpoint said, so that another can be asked.
void attempt_reset(struct exchange *exchange);

/// The endpoint has nothing more to do with the request.
void attempt_release_endpoint(struct exchange *exchange);
