#pragma once

struct event_base;

/// Runs the event loop once more and frees the base. A connection that was
/// closed with a deferred callback pending is freed only by the loop.
void loop_free(struct event_base *base);
