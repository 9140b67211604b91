/// Applies the limits of core/warmup to the endpoints: records how this router
/// has learned that an endpoint is cold, and decides whether it may send to
/// it.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/warmup.h"
#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"

struct channel;
struct cold;
struct endpoint;

struct cold_options {
    const struct clock *clock;
    struct counters *counters;
    /// The limits of the service's endpoints.
    struct warmup_limits (*limits)(void *ctx, struct str service);
    /// True if this router is among the first `senders` for the endpoint.
    bool (*is_sender)(void *ctx, uint64_t endpoint, size_t senders);
    /// Time for which this router must have been linked to the others.
    int64_t (*settle_ms)(void *ctx);
    void *ctx;
};

/// The caller frees with cold_free().
struct cold *cold_new(const struct cold_options *options);
void cold_free(struct cold *cold);

/// Call every 100 ms; see warmup_standing_update().
void cold_update_standing(struct cold *cold, size_t known, size_t linked,
                          size_t links_enough);

/// True if the number of requests to this endpoint is limited now.
bool cold_is_limited(const struct cold *cold, const struct endpoint *endpoint);

/// Time until this router may send a request to the endpoint; 0: now.
int64_t cold_wait_ms(const struct cold *cold, const struct endpoint *endpoint);

/// A request is being sent to the endpoint.
void cold_count_send(struct cold *cold, struct endpoint *endpoint);

/// The endpoint is cold for `left_ms` from now, its service's start time if
/// negative.
void cold_extend(struct cold *cold, struct endpoint *endpoint, int64_t left_ms,
                 enum warmup_source source);

/// The endpoint's entry was written again, and states `left_ms`.
void cold_entry_renewed(struct cold *cold, struct endpoint *endpoint,
                        int64_t left_ms);

/// A connection to the endpoint was refused or lost, here or at a peer.
void cold_suspect(struct cold *cold, struct endpoint *endpoint);

/// The endpoint has answered a request on the channel. `answer` may state that
/// it is cold; NULL: part of a stream.
void cold_answered(struct cold *cold, struct endpoint *endpoint,
                   const struct channel *channel,
                   const struct answer_facts *answer);

/// Logs that the endpoint has become warm, once.
void cold_check_end(struct cold *cold, struct endpoint *endpoint);
