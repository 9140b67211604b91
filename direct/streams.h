/// Take-ups: a client that has lost its answer asks for the rest of a stream,
/// at any router. It may go on only at the build that began it, which routers
/// tell each other by a log of the store; see core/builds.h.
#pragma once

#include <stdbool.h>

struct direct;
struct endpoint;
struct exchange;

void streams_start(struct direct *direct);
void streams_stop(struct direct *direct);

/// Applies the routes of a new configuration.
void streams_set_catalog(struct direct *direct);

/// An entry of the endpoint has been read.
void streams_see(struct direct *direct, const struct endpoint *endpoint);

/// The store was restored from an older copy, which lacks the last batches.
void streams_note_restore(struct direct *direct);

/// Writes and forgets what is due.
void streams_tick(struct direct *direct);

/// Finds the build that began the stream which the request takes up. False if
/// the exchange waits for a read of the log or for peers, or has ended.
/// exchange_place() goes on with one that has waited.
bool streams_filter(struct exchange *exchange);

/// The log was not read, or the peers have not answered, within the time
/// limit.
void streams_give_up(struct exchange *exchange);

/// True if the first event of a stream may be passed on. Otherwise it is held
/// until the stream is in the log: attempt_release() follows.
bool streams_may_begin(struct exchange *exchange);

/// The first event of a stream is passed on.
void streams_record(struct exchange *exchange);

/// The stream has been passed on to its end.
void streams_record_end(const struct exchange *exchange);
