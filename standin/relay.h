/// A TCP relay that can swallow its connections for good while new ones work.
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

/// All open connections go silent; nothing is closed.
void relay_blackhole(struct relay *relay);

/// The next connection goes silent after so many bytes towards the target
/// (or from it, if `from_target`).
void relay_blackhole_after(struct relay *relay, size_t bytes,
                           bool from_target);

/// All open connections are reset at both ends.
void relay_reset(struct relay *relay);

/// Nothing is passed on for so long; then all of it.
void relay_delay(struct relay *relay, int64_t ms);

/// Drops all bytes of a direction until it is set anew.
void relay_drop(struct relay *relay, bool to_target, bool from_target);

/// Connections that were opened through the relay.
size_t relay_connections(const struct relay *relay);
