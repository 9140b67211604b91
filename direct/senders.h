/// This router among those that send to endpoints which take few requests from
/// all routers (core/senders).
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"

struct senders;

struct senders_options {
    const struct clock *clock;
    /// True if this router is among the first `count` for the endpoint.
    bool (*is_among)(void *ctx, uint64_t endpoint, size_t count);
    /// Rank of this router among those with traffic, and their number.
    size_t (*rank)(void *ctx, uint64_t endpoint, size_t *routers);
    /// Time for which this router must have been linked to the others.
    int64_t (*settle_ms)(void *ctx);
    void *ctx;
};

/// The caller frees with senders_free().
struct senders *senders_new(const struct senders_options *options);
void senders_free(struct senders *senders);

/// Call every 100 ms; see sender_standing_update().
void senders_update_standing(struct senders *senders, size_t known,
                             size_t linked, size_t links_enough);

/// Time until this router may send to such endpoints; 0: now.
int64_t senders_standing_wait_ms(const struct senders *senders);

/// Rank of this router for the endpoint, from 0, among the routers that have
/// traffic; `routers` is set to their number.
size_t senders_rank(const struct senders *senders, uint64_t endpoint,
                    size_t *routers);

/// True if this router is among the first `count` for the endpoint.
bool senders_include(const struct senders *senders, uint64_t endpoint,
                     size_t count);
