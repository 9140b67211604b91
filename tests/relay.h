/// A TCP relay that can swallow its connections for good while new ones work.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "net/address.h"

struct event_base;
struct relay;

struct relay *relay_new(struct event_base *base, const struct address *target);
void relay_free(struct relay *relay);
struct address relay_address(const struct relay *relay);

/// All open connections go silent; nothing is closed.
void relay_swallow(struct relay *relay);

/// The next connection goes silent after so many bytes towards the target
/// (or from it, if `from_target`).
void relay_swallow_after(struct relay *relay, size_t bytes, bool from_target);

/// Connections that were opened through the relay.
size_t relay_connections(const struct relay *relay);
