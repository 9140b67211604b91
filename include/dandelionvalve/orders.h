/// Which orders an endpoint should get next, and when.
///
/// The configuration says what an endpoint should have loaded. Its fencing
/// number is the configuration's version. Loads are staggered by the
/// endpoint's rank in its pool, so that at most a set share of the pool is
/// loading at once, and backed off when the weight store or the endpoint says
/// so. An order below the highest number ever seen is never given.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/conf.h"
#include "dandelionvalve/str.h"

struct orders;

enum order_action {
    ORDER_LOAD_MODEL,
    ORDER_LOAD_ADAPTER,
    ORDER_SET_ROLE,
};

/// One order. The name lives until the next call of orders_set_wanted().
struct order {
    enum order_action action;
    struct str name;
    int64_t fence;
};

enum order_result {
    ORDER_DONE,
    ORDER_STALE,        ///< the endpoint has seen a higher number
    ORDER_RATE_LIMITED, ///< rate-limited: try again after the given time
    ORDER_FAILED,       ///< refused or lost; orders may be repeated
};

struct orders_options {
    const struct clock *clock;
    const struct random_source *random;
    int64_t backoff_min_ms;
    int64_t backoff_max_ms;
};

/// The caller frees with orders_free().
struct orders *orders_new(const struct orders_options *options);
void orders_free(struct orders *orders);

/// A version is in force. `rank` is the endpoint's place among the `pool_size`
/// endpoints of its pool. An older version than the last one is ignored.
void orders_set_wanted(struct orders *orders, int64_t version,
                       const struct conf_placement *placement, size_t rank,
                       size_t pool_size);

/// The endpoint was started anew and has nothing loaded.
void orders_reset_loaded(struct orders *orders);

/// The order that is due now; false if there is none or one is under way.
bool orders_due(const struct orders *orders, struct order *order);

/// The due order is being given.
void orders_begin(struct orders *orders);

/// How the order under way has ended; `retry_after_ms` goes with
/// ORDER_RATE_LIMITED.
void orders_end(struct orders *orders, enum order_result result,
                int64_t retry_after_ms);

/// True once everything wanted is loaded.
bool orders_are_done(const struct orders *orders);

const char *order_action_name(enum order_action action);
