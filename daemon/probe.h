/// Health checks of the endpoint: periodic probes, at a shorter interval while
/// it fails, and one at once on probe_now().
#pragma once

#include <stdbool.h>

#include "net/address.h"

struct event_base;
struct probe;

enum probe_result {
    PROBE_FAILED,
    PROBE_HEALTHY,
    PROBE_RESTARTED, ///< healthy, but restarted since the last answer
};

struct probe_options {
    struct event_base *base;
    struct address endpoint;
    /// Called with the result of each probe.
    void (*probed)(void *ctx, enum probe_result result);
    void *ctx;
};

/// Probes once at the start. The caller frees with probe_free().
struct probe *probe_new(const struct probe_options *options);
void probe_free(struct probe *probe);

/// Probes at once unless a probe is in progress.
void probe_now(struct probe *probe);
