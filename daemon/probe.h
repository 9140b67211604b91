/// Asks the endpoint for a sign of life after a failure and until it answers.
#pragma once

#include <stdbool.h>

#include "net/address.h"

struct event_base;
struct probe;

struct probe_options {
    struct event_base *base;
    struct address endpoint;
    /// The result of each probe.
    void (*probed)(void *ctx, bool alive);
    void *ctx;
};

/// Probes once at the start. The caller frees with probe_free().
struct probe *probe_new(const struct probe_options *options);
void probe_free(struct probe *probe);

/// Probes at once unless a probe is under way.
void probe_now(struct probe *probe);
