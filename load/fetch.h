/// Blocking HTTP calls of the load tool: each runs the event loop until the
/// call has ended.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/str.h"

struct event_base;

/// Sends a GET request. True if the response was complete; the caller then
/// frees body->data.
bool fetch_get(struct event_base *base, struct str address, const char *path,
               struct str *body);
