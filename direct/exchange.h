/// One request of a caller, from its arrival to the end of its answer.
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct caller;
struct direct;
struct exchange;

/// Starts to handle a complete request; the answer may be sent later.
void exchange_start(struct direct *direct, struct caller *caller);

/// Dispatches a request that has waited for configuration and endpoints.
void exchange_resume(struct exchange *exchange);

/// Handles a caller that has disconnected. A request that may run only once
/// and has been sent is left to finish; any other is cancelled at its
/// endpoint.
void exchange_caller_left(struct exchange *exchange);

/// Counts an answer that has not begun within the objective, once per attempt.
/// `ignore`: the router itself was stalled, and the attempt is not counted.
void exchange_record_pending(struct exchange *exchange, bool ignore);

/// Frees the exchange without an answer, when the router is freed.
void exchange_discard(struct exchange *exchange);
