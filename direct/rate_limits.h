/// Applies the rates that endpoints state in their answers (core/rate_limit):
/// records what this router is told by them and by its peers, and decides
/// whether it may send to such an endpoint.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/message.h"

struct channel;
struct early_reports;
struct endpoint;
struct endpoints;
struct rate_limits;
struct senders;

struct rate_limits_options {
    const struct clock *clock;
    struct counters *counters;
    const struct senders *senders;
    struct early_reports *early; ///< keeps reports on unknown endpoints
};

/// The caller frees with rate_limits_free().
struct rate_limits *rate_limits_new(const struct rate_limits_options *options);
void rate_limits_free(struct rate_limits *limits);

/// Time until this router may send a request to the endpoint; 0: now.
int64_t rate_limits_wait_ms(const struct rate_limits *limits,
                            const struct endpoint *endpoint);

/// A request is being sent to the endpoint.
void rate_limits_count_send(struct rate_limits *limits,
                            struct endpoint *endpoint);

/// The endpoint has answered a request on the channel.
void rate_limits_answered(struct rate_limits *limits,
                          struct endpoint *endpoint,
                          const struct channel *channel, int status,
                          const struct answer_facts *answer);

/// A peer reports what endpoints state. With `relays`, it is passed on.
void rate_limits_receive(struct rate_limits *limits,
                         struct endpoints *endpoints,
                         const struct message_rate *items, size_t count,
                         bool relays);

/// Writes the rates that peers do not know yet; returns their number. Those
/// beyond `max` are left for the next call.
size_t rate_limits_collect(struct rate_limits *limits,
                           struct endpoints *endpoints,
                           struct message_rate *items, size_t max);

/// Writes the rates that a peer which has just been linked is to know, from
/// `next` on, which is set to the endpoint behind the last one; NULL: all are
/// written.
size_t rate_limits_collect_known(const struct rate_limits *limits,
                                 const struct endpoint **next,
                                 struct message_rate *items, size_t max);
