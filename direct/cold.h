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
struct senders;

struct cold_options {
    const struct clock *clock;
    struct counters *counters;
    const struct senders *senders;
    /// The limits of the service's endpoints.
    struct warmup_limits (*limits)(void *ctx, struct str service);
    void *ctx;
};

/// The caller frees with cold_free().
struct cold *cold_new(const struct cold_options *options);
void cold_free(struct cold *cold);

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

/// A connection to the endpoint was refused, here or at a peer, or with
/// `refused` false lost here.
void cold_suspect(struct cold *cold, struct endpoint *endpoint, bool refused);

/// True if a router that has just been linked is to be told that connections
/// to the endpoint were refused.
bool cold_is_to_be_told(const struct cold *cold,
                        const struct endpoint *endpoint);

/// The endpoint has answered a request on the channel. `answer` may state that
/// it is cold; NULL: part of a stream.
void cold_answered(struct cold *cold, struct endpoint *endpoint,
                   const struct channel *channel,
                   const struct answer_facts *answer);

/// Logs that the endpoint has become warm, once.
void cold_check_end(struct cold *cold, struct endpoint *endpoint);
