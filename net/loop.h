/// The end of an event loop.
#pragma once

struct event_base;

/// Frees the base. Connections that were closed while a callback of theirs was
/// deferred are freed by the loop, so that it runs once more before.
void loop_free(struct event_base *base);
