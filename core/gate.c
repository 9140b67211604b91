#include "dandelionvalve/gate.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "decay.h"
#include "xmalloc.h"

#define PRIORITIES 10
// Time constant of the decaying counts.
#define RATE_WINDOW_MS 10000.0
#define RETRY_AFTER_MIN_MS 1000.0
#define RETRY_AFTER_MAX_MS 300000.0
#define DROP_SCAN_INTERVAL_MS 20
#define BOUND_STALL_MS 100
#define PURGE_INTERVAL_MS 1000
// Decayed count of served requests below which an idle account is removed.
#define IDLE_SERVED_MAX 0.05

// Headroom is the difference between the mean load and the bound.
// Largest share of it that the drift margin may take.
#define DRIFT_HEADROOM_SHARE 0.9

// Share of it that lost endpoints may take before the weight reported by the
// routers replaces the listed one.
#define LOST_WEIGHT_HEADROOM_SHARE 0.75

struct waiting {
    struct gate_request request;
    int64_t since_ms; ///< when it was queued
    struct waiting *prev;
    struct waiting *next;
};

/// An account with waiting requests or a recent admission.
struct account {
    struct str name;
    uint32_t weight;
    struct decaying_count served;
    size_t count; ///< waiting requests
    struct waiting *queues[PRIORITIES];
    struct account *prev;
    struct account *next;
    UT_hash_handle hh;
};

struct router {
    struct str name;
    uint32_t in_flight;
    uint32_t pool_weight; ///< 0: not reported
    int64_t reported_ms;
    UT_hash_handle hh;
};

struct gate {
    struct gate_options options;
    enum agent_state state;
    uint64_t total_weight;
    uint64_t reported_weight; ///< largest of the routers' reports, or 0
    uint32_t own_weight;
    uint32_t running;
    struct router *routers;
    uint64_t in_flight_sum;
    double in_flight_time_sum; ///< sum of in_flight * reported_ms
    struct account *accounts;
    struct account *active; ///< accounts with waiting requests
    int64_t next_purge_ms;
    size_t queued;
    size_t queued_bytes;
    struct decaying_count ended;
    struct decaying_count refused;
    int64_t next_drop_scan_ms;
    int64_t last_admitted_ms; ///< when a waiting request was last admitted
};

struct gate *
gate_new(const struct gate_options *options)
{
    struct gate *gate = xcalloc(1, sizeof(*gate));

    gate->options = *options;
    gate->state = AGENT_READY;
    gate->total_weight = 1;
    gate->own_weight = 1;
    return gate;
}

static void
account_free(struct gate *gate, struct account *account)
{
    HASH_DEL(gate->accounts, account);
    free((char *)account->name.data);
    free(account);
}

/// Called when the account has no waiting request left. It stays in
/// `accounts`, so that its recent admissions still count.
static void
account_deactivate(struct gate *gate, struct account *account)
{
    DL_DELETE(gate->active, account);
}

static void
unlink_waiting(struct gate *gate, struct account *account,
               struct waiting *waiting)
{
    DL_DELETE(account->queues[waiting->request.priority], waiting);
    account->count--;
    gate->queued--;
    gate->queued_bytes -= waiting->request.bytes;
    free(waiting);
}

static void
drop_queue(struct gate *gate)
{
    struct account *account, *next;

    HASH_ITER(hh, gate->accounts, account, next)
    {
        for (size_t p = 0; p < PRIORITIES; p++) {
            while (account->queues[p] != NULL) {
                unlink_waiting(gate, account, account->queues[p]);
            }
        }
        account_free(gate, account);
    }
    gate->active = NULL;
}

static void
router_remove(struct gate *gate, struct router *router)
{
    gate->in_flight_sum -= router->in_flight;
    gate->in_flight_time_sum -=
        (double)router->in_flight * (double)router->reported_ms;
    HASH_DEL(gate->routers, router);
    free((char *)router->name.data);
    free(router);
}

void
gate_free(struct gate *gate)
{
    if (gate == NULL) {
        return;
    }
    drop_queue(gate);
    while (gate->routers != NULL) {
        router_remove(gate, gate->routers);
    }
    free(gate);
}

void
gate_set_options(struct gate *gate, double bound_multiple,
                 size_t queue_requests_max, size_t queue_bytes_max)
{
    gate->options.bound_multiple = bound_multiple;
    gate->options.queue_requests_max = queue_requests_max;
    gate->options.queue_bytes_max = queue_bytes_max;
}

void
gate_set_pool(struct gate *gate, uint64_t total_weight, uint32_t own_weight)
{
    gate->total_weight = total_weight > 0 ? total_weight : 1;
    gate->own_weight = own_weight;
}

void
gate_set_state(struct gate *gate, enum agent_state state)
{
    gate->state = state;
}

enum agent_state
gate_state(const struct gate *gate)
{
    return gate->state;
}

static int64_t
now_ms(const struct gate *gate)
{
    return clock_ms(gate->options.clock);
}

static struct router *
find_router(const struct gate *gate, struct str name)
{
    struct router *router;

    HASH_FIND(hh, gate->routers, name.data, name.len, router);
    return router;
}

void
gate_remove_router(struct gate *gate, struct str name)
{
    struct router *router = find_router(gate, name);

    if (router != NULL) {
        router_remove(gate, router);
    }
}

uint64_t
gate_pool_in_flight(const struct gate *gate)
{
    return gate->in_flight_sum > gate->running ? gate->in_flight_sum
                                               : gate->running;
}

/// Mean age of the routers' reports, weighted by their in-flight counts.
static double
report_mean_age_ms(const struct gate *gate)
{
    double age;

    if (gate->in_flight_sum == 0) {
        return 0;
    }
    age = (double)now_ms(gate) -
          gate->in_flight_time_sum / (double)gate->in_flight_sum;
    return age > 0 ? age : 0;
}

/// The weight used for the bound. Routers always disagree about a few
/// endpoints, so a loss that the headroom can absorb is ignored. After a
/// larger loss the endpoint list is out of date, and a bound based on it would
/// throttle the remaining endpoints.
static double
pool_weight(const struct gate *gate)
{
    double headroom = 1 - 1 / gate->options.bound_multiple;
    double listed = (double)gate->total_weight;
    double reported = (double)gate->reported_weight;
    double weight = listed;

    if (reported > 0 &&
        reported < listed * (1 - LOST_WEIGHT_HEADROOM_SHARE * headroom)) {
        weight = reported;
    }
    return weight > gate->own_weight ? weight : (double)gate->own_weight;
}

uint32_t
gate_bound(const struct gate *gate)
{
    double share = (double)gate->own_weight / pool_weight(gate);
    double sum = (double)gate_pool_in_flight(gate);
    double drift = gate->options.drift_margin *
                   sqrt(sum * report_mean_age_ms(gate) / 1000);
    double drift_max =
        DRIFT_HEADROOM_SHARE * (1 - 1 / gate->options.bound_multiple) * sum;
    double bound;

    // The margin must leave headroom: otherwise the load of an evenly loaded
    // pool could not increase while requests wait.
    if (drift > drift_max) {
        drift = drift_max;
    }
    bound = ceil(gate->options.bound_multiple * (sum - drift) * share);
    if (bound < 1) {
        return 1;
    }
    return bound < UINT32_MAX ? (uint32_t)bound : UINT32_MAX;
}

static uint32_t
running_limit(const struct gate *gate)
{
    uint32_t bound = gate_bound(gate);

    return bound < gate->options.slots ? bound : gate->options.slots;
}

static double
add(const struct gate *gate, struct decaying_count *count, double amount)
{
    return decay_add(count, now_ms(gate), RATE_WINDOW_MS, amount);
}

// Spreads the retries of refused requests evenly over twice the time that the
// endpoint needs for its backlog, so that they do not arrive all at once.
static uint32_t
retry_after_ms(struct gate *gate)
{
    double backlog;
    double rate_per_ms;
    double wait;

    backlog = (double)gate->queued + add(gate, &gate->refused, 0) + 1;
    rate_per_ms = add(gate, &gate->ended, 0) / RATE_WINDOW_MS;
    if (rate_per_ms < (double)gate->options.slots / RATE_WINDOW_MS) {
        rate_per_ms = (double)gate->options.slots / RATE_WINDOW_MS;
    }
    wait = 2 * backlog / rate_per_ms;
    if (wait < RETRY_AFTER_MIN_MS) {
        wait = RETRY_AFTER_MIN_MS;
    }
    if (wait > RETRY_AFTER_MAX_MS) {
        wait = RETRY_AFTER_MAX_MS;
    }
    wait = RETRY_AFTER_MIN_MS + wait * random_unit(gate->options.random);
    return (uint32_t)wait;
}

static struct gate_decision
refuse(struct gate *gate, enum refuse_reason reason)
{
    struct gate_decision decision = {GATE_REFUSED, reason, 0};

    if (reason == REFUSE_QUEUE_FULL) {
        add(gate, &gate->refused, 1);
        decision.retry_after_ms = retry_after_ms(gate);
    }
    return decision;
}

static struct account *
find_account(const struct gate *gate, struct str name)
{
    struct account *account;

    HASH_FIND(hh, gate->accounts, name.data, name.len, account);
    return account;
}

static struct account *
get_account(struct gate *gate, const struct gate_request *request)
{
    struct account *account = find_account(gate, request->account);

    if (account == NULL) {
        account = xcalloc(1, sizeof(*account));
        account->name = str_copy(request->account);
        HASH_ADD_KEYPTR(hh, gate->accounts, account->name.data,
                        account->name.len, account);
    }
    account->weight =
        request->account_weight > 0 ? request->account_weight : 1;
    return account;
}

static double
queue_share(const struct account *account)
{
    return (double)account->count / account->weight;
}

static struct account *
largest_account(const struct gate *gate)
{
    struct account *largest = gate->active;
    struct account *account;

    DL_FOREACH(gate->active, account)
    {
        if (queue_share(account) > queue_share(largest)) {
            largest = account;
        }
    }
    return largest;
}

static bool
queue_has_room(const struct gate *gate, size_t bytes)
{
    return gate->queued < gate->options.queue_requests_max &&
           gate->queued_bytes + bytes <= gate->options.queue_bytes_max;
}

static struct waiting *
newest_of_lowest_priority(const struct account *account)
{
    for (size_t p = 0; p < PRIORITIES; p++) {
        if (account->queues[p] != NULL) {
            return account->queues[p]->prev;
        }
    }
    return NULL;
}

/// Drops the newest request of the lowest priority of the account with the
/// largest share of the queue; false if that is no more than the requesting
/// account's share would be.
static bool
shed_from_largest(struct gate *gate, const struct gate_request *request)
{
    struct account *requester = find_account(gate, request->account);
    struct account *largest = largest_account(gate);
    double own = (requester != NULL ? (double)requester->count : 0) + 1;
    struct waiting *victim;
    void *dropped;

    if (largest == NULL || largest == requester ||
        queue_share(largest) <=
            own /
                (request->account_weight > 0 ? request->account_weight : 1)) {
        return false;
    }
    victim = newest_of_lowest_priority(largest);
    dropped = victim->request.request;
    unlink_waiting(gate, largest, victim);
    if (largest->count == 0) {
        account_deactivate(gate, largest);
    }
    gate->options.dropped(gate->options.ctx, dropped, REFUSE_QUEUE_FULL,
                          refuse(gate, REFUSE_QUEUE_FULL).retry_after_ms);
    return true;
}

static struct gate_decision
enqueue(struct gate *gate, const struct gate_request *request)
{
    struct account *account;
    struct waiting *waiting;

    while (!queue_has_room(gate, request->bytes)) {
        if (!shed_from_largest(gate, request)) {
            return refuse(gate, REFUSE_QUEUE_FULL);
        }
    }
    account = get_account(gate, request);
    if (account->count == 0) {
        DL_APPEND(gate->active, account);
    }
    waiting = xcalloc(1, sizeof(*waiting));
    waiting->request = *request;
    waiting->since_ms = now_ms(gate);
    waiting->request.account = account->name;
    if (waiting->request.priority >= PRIORITIES) {
        waiting->request.priority = PRIORITIES - 1;
    }
    DL_APPEND(account->queues[waiting->request.priority], waiting);
    account->count++;
    gate->queued++;
    gate->queued_bytes += request->bytes;
    return (struct gate_decision){.verdict = GATE_QUEUED};
}

static void
count_served(struct gate *gate, struct account *account)
{
    add(gate, &account->served, 1);
}

struct gate_decision
gate_offer(struct gate *gate, const struct gate_request *request)
{
    if (gate->state == AGENT_LEAVING) {
        return refuse(gate, REFUSE_LEAVING);
    }
    if (gate->state == AGENT_ENDPOINT_DOWN) {
        return refuse(gate, REFUSE_ENDPOINT_DOWN);
    }
    if (request->deadline_ms <= now_ms(gate)) {
        return refuse(gate, REFUSE_DEADLINE);
    }
    if (gate->queued == 0 && gate->running < running_limit(gate)) {
        count_served(gate, get_account(gate, request));
        gate->running++;
        return (struct gate_decision){.verdict = GATE_ADMITTED};
    }
    if (request->may_wait) {
        return enqueue(gate, request);
    }
    return refuse(gate, gate->running < gate->options.slots ? REFUSE_OVER_BOUND
                                                            : REFUSE_FULL);
}

static struct waiting *
oldest_of_highest_priority(const struct account *account)
{
    for (size_t p = PRIORITIES; p-- > 0;) {
        if (account->queues[p] != NULL) {
            return account->queues[p];
        }
    }
    return NULL;
}

/// Recent admissions of an account, divided by its weight.
static double
served_share(const struct gate *gate, const struct account *account)
{
    return decay_value(&account->served, now_ms(gate), RATE_WINDOW_MS) /
           account->weight;
}

static struct account *
next_account(const struct gate *gate)
{
    struct account *first = gate->active;
    struct account *account;

    DL_FOREACH(gate->active, account)
    {
        if (served_share(gate, account) < served_share(gate, first)) {
            first = account;
        }
    }
    return first;
}

// Weighted fair sharing: admits from the account with the fewest recent
// admissions for its weight. An account below its share waits little behind
// the surge of another; over the window all waiting accounts get their shares.
static void
admit_next(struct gate *gate)
{
    struct account *account = next_account(gate);
    struct waiting *waiting = oldest_of_highest_priority(account);
    void *request = waiting->request.request;

    count_served(gate, account);
    unlink_waiting(gate, account, waiting);
    if (account->count == 0) {
        account_deactivate(gate, account);
    }
    gate->running++;
    gate->last_admitted_ms = now_ms(gate);
    gate->options.admitted(gate->options.ctx, request);
}

/// Removes idle accounts whose recent admissions have decayed.
static void
purge_accounts(struct gate *gate)
{
    struct account *account, *next;

    if (now_ms(gate) < gate->next_purge_ms) {
        return;
    }
    gate->next_purge_ms = now_ms(gate) + PURGE_INTERVAL_MS;
    HASH_ITER(hh, gate->accounts, account, next)
    {
        if (account->count == 0 &&
            served_share(gate, account) * account->weight < IDLE_SERVED_MAX) {
            account_free(gate, account);
        }
    }
}

static void
admit_waiting(struct gate *gate)
{
    while (gate->queued > 0 && gate->running < running_limit(gate) &&
           gate->state != AGENT_ENDPOINT_DOWN) {
        admit_next(gate);
    }
}

void
gate_set_router_in_flight(struct gate *gate, struct str name,
                          uint32_t in_flight)
{
    struct router *router = find_router(gate, name);

    if (router == NULL) {
        router = xcalloc(1, sizeof(*router));
        router->name = str_copy(name);
        HASH_ADD_KEYPTR(hh, gate->routers, router->name.data, router->name.len,
                        router);
    }
    gate->in_flight_sum -= router->in_flight;
    gate->in_flight_time_sum -=
        (double)router->in_flight * (double)router->reported_ms;
    router->in_flight = in_flight;
    router->reported_ms = now_ms(gate);
    gate->in_flight_sum += router->in_flight;
    gate->in_flight_time_sum +=
        (double)router->in_flight * (double)router->reported_ms;
    // A higher number raises the bound.
    admit_waiting(gate);
}

void
gate_set_router_pool_weight(struct gate *gate, struct str name,
                            uint32_t weight)
{
    struct router *router = find_router(gate, name);

    if (router != NULL) {
        router->pool_weight = weight;
    }
}

void
gate_request_ended(struct gate *gate)
{
    INVARIANT(gate->running > 0);
    gate->running--;
    add(gate, &gate->ended, 1);
    admit_waiting(gate);
}

static bool
withdraw_from(struct gate *gate, struct account *account, const void *request)
{
    for (size_t p = 0; p < PRIORITIES; p++) {
        struct waiting *waiting;

        DL_FOREACH(account->queues[p], waiting)
        {
            if (waiting->request.request == request) {
                unlink_waiting(gate, account, waiting);
                return true;
            }
        }
    }
    return false;
}

bool
gate_withdraw(struct gate *gate, const void *request)
{
    struct account *account;

    DL_FOREACH(gate->active, account)
    {
        if (withdraw_from(gate, account, request)) {
            if (account->count == 0) {
                account_deactivate(gate, account);
            }
            return true;
        }
    }
    return false;
}

/// The reason to drop a waiting request, or REFUSE_REASON_END to keep it.
static enum refuse_reason
drop_reason(const struct gate *gate, const struct waiting *waiting,
            int64_t now)
{
    if (waiting->request.deadline_ms <= now) {
        return REFUSE_DEADLINE;
    }
    // The endpoint has free slots, but the bound has admitted nothing for some
    // time: another endpoint may be idle, so the router should choose again.
    if (gate->running < gate->options.slots &&
        now - waiting->since_ms >= BOUND_STALL_MS &&
        now - gate->last_admitted_ms >= BOUND_STALL_MS) {
        return REFUSE_OVER_BOUND;
    }
    return REFUSE_REASON_END;
}

static struct waiting *
first_to_drop(const struct gate *gate, const struct account *account,
              int64_t now, enum refuse_reason *reason)
{
    for (size_t p = 0; p < PRIORITIES; p++) {
        struct waiting *waiting;

        DL_FOREACH(account->queues[p], waiting)
        {
            *reason = drop_reason(gate, waiting, now);
            if (*reason != REFUSE_REASON_END) {
                return waiting;
            }
        }
    }
    return NULL;
}

static void
drop_waiting(struct gate *gate)
{
    int64_t now = now_ms(gate);
    struct account *account, *next;

    if (now < gate->next_drop_scan_ms) {
        return;
    }
    gate->next_drop_scan_ms = now + DROP_SCAN_INTERVAL_MS;
    DL_FOREACH_SAFE(gate->active, account, next)
    {
        enum refuse_reason reason;
        struct waiting *waiting = first_to_drop(gate, account, now, &reason);

        while (waiting != NULL) {
            void *request = waiting->request.request;

            unlink_waiting(gate, account, waiting);
            gate->options.dropped(gate->options.ctx, request, reason, 0);
            waiting = first_to_drop(gate, account, now, &reason);
        }
        if (account->count == 0) {
            account_deactivate(gate, account);
        }
    }
}

/// Removes reports that are too old and finds the largest pool weight among
/// the others.
static void
update_router_reports(struct gate *gate)
{
    int64_t oldest = now_ms(gate) - gate->options.report_max_age_ms;
    struct router *router, *next;

    gate->reported_weight = 0;
    HASH_ITER(hh, gate->routers, router, next)
    {
        if (router->reported_ms < oldest) {
            router_remove(gate, router);
        }
        else if (router->pool_weight > gate->reported_weight) {
            gate->reported_weight = router->pool_weight;
        }
    }
}

void
gate_tick(struct gate *gate)
{
    update_router_reports(gate);
    admit_waiting(gate);
    drop_waiting(gate);
    purge_accounts(gate);
}

struct load_report
gate_load_report(const struct gate *gate)
{
    return (struct load_report){
        .incarnation = gate->options.incarnation,
        .state = gate->state,
        .running = gate->running,
        .queued = (uint32_t)gate->queued,
        .slots = gate->options.slots,
        .bound = gate_bound(gate),
    };
}
