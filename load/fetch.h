/// Simple HTTP calls of the load tool that run the loop until they are done.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/str.h"

struct event_base;

/// GETs a path of an address; the body goes to *body, which the caller frees.
bool fetch_get(struct event_base *base, struct str address, const char *path,
               struct str *body);
