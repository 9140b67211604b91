/// HTTP server of a daemon's admin address: /healthz, /readyz, /metrics,
/// /status and /explain.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/counter.h"
#include "net/address.h"

struct admin;
struct event_base;

struct admin_options {
    struct event_base *base;
    struct address address;
    const struct counters *counters;
    /// True while the daemon should get traffic; else *why is the reason.
    bool (*is_ready)(void *ctx, const char **why);
    /// The daemon's state as JSON for operators; freed by the caller.
    char *(*status)(void *ctx);
    /// Further metrics as text, freed by the caller; may be NULL.
    char *(*metrics)(void *ctx);
    /// The answer to GET /explain as JSON, freed by the caller. `query` is the
    /// part of the URI after the question mark. NULL: no such path.
    char *(*explain)(void *ctx, const char *query, int *status);
    void *ctx;
};

/// NULL with `err` set if the address cannot be bound.
struct admin *admin_new(const struct admin_options *options, struct err *err);
void admin_free(struct admin *admin);
struct address admin_address(const struct admin *admin);
