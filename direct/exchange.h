/// One caller's request on its way to an endpoint and back.
#pragma once

#include <stdbool.h>
#include <stddef.h>

struct caller;
struct direct;
struct exchange;

/// Takes a whole request; answers it now or later.
void exchange_start(struct direct *direct, struct caller *caller);

/// The deployment is known now: a request that has waited for that goes on.
void exchange_resume(struct exchange *exchange);

/// The caller has left: what may be cut is cancelled at its endpoint.
void exchange_caller_left(struct exchange *exchange);

/// Counts an answer that has not begun within the objective, once for each
/// endpoint that was asked. `ignore`: the wait was the router's own.
void exchange_record_pending(struct exchange *exchange, bool ignore);

/// Frees without a word; the router is going away.
void exchange_discard(struct exchange *exchange);
