/// Applies the rates that endpoints state in their answers (core/rate_limit).
#pragma once

#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"

struct endpoint;
struct rate_limits;

struct rate_limits_options {
    const struct clock *clock;
    struct counters *counters;
};

/// The caller frees with rate_limits_free().
struct rate_limits *rate_limits_new(const struct rate_limits_options *options);
void rate_limits_free(struct rate_limits *limits);

/// The endpoint has answered a request.
void rate_limits_answered(struct rate_limits *limits,
                          struct endpoint *endpoint,
                          const struct answer_facts *answer);

/// A request is being sent to the endpoint.
void rate_limits_count_send(struct rate_limits *limits,
                            struct endpoint *endpoint);
