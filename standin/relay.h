/// TCP relay for fault injection: discards, delays or resets traffic.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "net/address.h"

struct event_base;
struct relay;

struct relay *relay_new(struct event_base *base, const struct address *target);
void relay_free(struct relay *relay);
struct address relay_address(const struct relay *relay);

/// Discards all further bytes of the open connections without closing them;
/// new connections are not affected.
void relay_blackhole(struct relay *relay);

/// Blackholes the next connection after this number of bytes towards the
/// target (or from it, if `from_target`).
void relay_blackhole_after(struct relay *relay, size_t bytes,
                           bool from_target);

/// Resets both ends of all open connections.
void relay_reset(struct relay *relay);

/// Stops forwarding on the open connections for this time; the delayed bytes
/// follow afterwards.
void relay_delay(struct relay *relay, int64_t ms);

/// Sets for each direction whether all bytes are discarded.
void relay_drop(struct relay *relay, bool to_target, bool from_target);

/// Connections accepted so far.
size_t relay_connections(const struct relay *relay);
