#include "dandelionvalve/orders.h"

#include <stdlib.h>

#include "xmalloc.h"

struct wanted {
    enum order_action action;
    struct str name;
    bool done;
};

struct orders {
    struct orders_options options;
    int64_t version;
    struct wanted *wanted;
    size_t count;
    int64_t start_ms; ///< when the stagger delay ends
    int64_t retry_ms;
    int64_t backoff_ms;
    bool in_progress;
    size_t current;
};

struct orders *
orders_new(const struct orders_options *options)
{
    struct orders *orders = xcalloc(1, sizeof(*orders));

    orders->options = *options;
    orders->version = -1;
    orders->backoff_ms = options->backoff_min_ms;
    return orders;
}

static void
free_wanted(struct wanted *wanted, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        free((char *)wanted[i].name.data);
    }
    free(wanted);
}

void
orders_free(struct orders *orders)
{
    if (orders == NULL) {
        return;
    }
    free_wanted(orders->wanted, orders->count);
    free(orders);
}

static bool
was_done(const struct wanted *wanted, size_t count, enum order_action action,
         struct str name)
{
    for (size_t i = 0; i < count; i++) {
        if (wanted[i].done && wanted[i].action == action &&
            str_equal(wanted[i].name, name)) {
            return true;
        }
    }
    return false;
}

static void
add_wanted(struct orders *orders, const struct wanted *previous,
           size_t previous_count, enum order_action action, struct str name)
{
    orders->wanted[orders->count++] = (struct wanted){
        .action = action,
        .name = str_copy(name),
        .done = was_done(previous, previous_count, action, name),
    };
}

/// Delay from the time when a version comes into force until this endpoint may
/// load, in ms: the pool loads in groups as large as the share that may be out
/// of service at once.
static int64_t
stagger_delay_ms(const struct conf_placement *placement, size_t rank,
                 size_t pool_size)
{
    size_t group = (size_t)(placement->out_share_max * (double)pool_size);

    if (group == 0) {
        group = 1;
    }
    return (int64_t)(rank / group) * placement->load_interval_ms;
}

void
orders_set_wanted(struct orders *orders, int64_t version,
                  const struct conf_placement *placement, size_t rank,
                  size_t pool_size)
{
    struct wanted *previous = orders->wanted;
    size_t previous_count = orders->count;

    if (version <= orders->version) {
        return;
    }
    orders->version = version;
    orders->count = 0;
    orders->wanted =
        xcalloc(placement->model_count + placement->adapter_count + 1,
                sizeof(*orders->wanted));
    for (size_t i = 0; i < placement->model_count; i++) {
        add_wanted(orders, previous, previous_count, ORDER_LOAD_MODEL,
                   placement->models[i]);
    }
    for (size_t i = 0; i < placement->adapter_count; i++) {
        add_wanted(orders, previous, previous_count, ORDER_LOAD_ADAPTER,
                   placement->adapters[i]);
    }
    add_wanted(orders, previous, previous_count, ORDER_SET_ROLE,
               placement->role);
    free_wanted(previous, previous_count);
    orders->start_ms = clock_ms(orders->options.clock) +
                       stagger_delay_ms(placement, rank, pool_size);
    orders->retry_ms = 0;
    orders->backoff_ms = orders->options.backoff_min_ms;
    // An order in progress belongs to the old version; its result is ignored.
    orders->current = SIZE_MAX;
}

void
orders_reset_loaded(struct orders *orders)
{
    for (size_t i = 0; i < orders->count; i++) {
        orders->wanted[i].done = false;
    }
}

static size_t
first_pending(const struct orders *orders)
{
    for (size_t i = 0; i < orders->count; i++) {
        if (!orders->wanted[i].done) {
            return i;
        }
    }
    return SIZE_MAX;
}

bool
orders_due(const struct orders *orders, struct order *order)
{
    int64_t now_ms = clock_ms(orders->options.clock);
    size_t pending = first_pending(orders);

    if (orders->in_progress || pending == SIZE_MAX ||
        now_ms < orders->start_ms || now_ms < orders->retry_ms) {
        return false;
    }
    *order = (struct order){
        .action = orders->wanted[pending].action,
        .name = orders->wanted[pending].name,
        .fence = orders->version,
    };
    return true;
}

void
orders_begin(struct orders *orders)
{
    INVARIANT(!orders->in_progress);
    orders->in_progress = true;
    orders->current = first_pending(orders);
}

static void
back_off(struct orders *orders, int64_t wait_min_ms)
{
    int64_t wait_ms = orders->backoff_ms / 2 +
                      (int64_t)random_below(orders->options.random,
                                            (uint64_t)orders->backoff_ms);

    orders->retry_ms = clock_ms(orders->options.clock) +
                       (wait_ms > wait_min_ms ? wait_ms : wait_min_ms);
    orders->backoff_ms *= 2;
    if (orders->backoff_ms > orders->options.backoff_max_ms) {
        orders->backoff_ms = orders->options.backoff_max_ms;
    }
}

void
orders_end(struct orders *orders, enum order_result result,
           int64_t retry_after_ms)
{
    INVARIANT(orders->in_progress);
    orders->in_progress = false;
    if (orders->current == SIZE_MAX) {
        return;
    }
    switch (result) {
    case ORDER_DONE:
        orders->wanted[orders->current].done = true;
        orders->backoff_ms = orders->options.backoff_min_ms;
        return;
    case ORDER_STALE:
        // A newer version exists and will be read from the log.
        orders->retry_ms = INT64_MAX;
        return;
    case ORDER_RATE_LIMITED:
        back_off(orders, retry_after_ms);
        return;
    case ORDER_FAILED:
        back_off(orders, 0);
        return;
    }
}

bool
orders_are_done(const struct orders *orders)
{
    return first_pending(orders) == SIZE_MAX;
}

const char *
order_action_name(enum order_action action)
{
    static const char *const names[] = {
        [ORDER_LOAD_MODEL] = "load-model",
        [ORDER_LOAD_ADAPTER] = "load-adapter",
        [ORDER_SET_ROLE] = "set-role",
    };

    return names[action];
}
