/// Schedules the orders that an endpoint gets: which one is next, and when.
///
/// The configuration states what an endpoint should have loaded; its version
/// is the fencing number of the orders. Loads are staggered by the endpoint's
/// rank in its pool, so that at most a configured share of the pool loads at
/// once, and are retried with back-off if the weight store or the endpoint
/// requires it. No order is sent with a number below the highest one seen.
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

/// One order. The name is valid until the next call of orders_set_wanted().
struct order {
    enum order_action action;
    struct str name;
    int64_t fence;
};

enum order_result {
    ORDER_DONE,
    ORDER_STALE,        ///< the endpoint has received a higher number
    ORDER_RATE_LIMITED, ///< retry after the given time
    ORDER_FAILED,       ///< refused or lost; orders are idempotent
};

struct orders_options {
    const struct clock *clock;
    const struct random_source *random;
    int64_t backoff_min_ms;
    int64_t backoff_max_ms;
};

/// The options are copied. The caller frees with orders_free().
struct orders *orders_new(const struct orders_options *options);
void orders_free(struct orders *orders);

/// Sets what the endpoint should have loaded; the strings are copied. `rank`
/// is its index among the `pool_size` endpoints of its pool. A version that is
/// not higher than the last one is ignored.
void orders_set_wanted(struct orders *orders, int64_t version,
                       const struct conf_placement *placement, size_t rank,
                       size_t pool_size);

/// The endpoint has restarted and has nothing loaded.
void orders_reset_loaded(struct orders *orders);

/// Returns the order that is due now; false if there is none or one is in
/// progress.
bool orders_due(const struct orders *orders, struct order *order);

/// The due order is being sent.
void orders_begin(struct orders *orders);

/// The order in progress has ended; `retry_after_ms` is used with
/// ORDER_RATE_LIMITED.
void orders_end(struct orders *orders, enum order_result result,
                int64_t retry_after_ms);

/// True once everything wanted is loaded.
bool orders_are_done(const struct orders *orders);

const char *order_action_name(enum order_action action);
