/// Admission control of one endpoint: the load bound, the queue and the shares
/// of the client accounts. The agent owns one gate.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/str.h"

/// Defaults of `drift_margin` and `report_max_age_ms`.
#define GATE_DRIFT_MARGIN 1.75
#define GATE_REPORT_MAX_AGE_MS 3000

struct gate;

struct gate_options {
    const struct clock *clock;
    const struct random_source *random;
    uint32_t slots;        ///< requests that the endpoint runs at once
    uint64_t incarnation;  ///< copied into gate_load_report()
    double bound_multiple; ///< load bound as a multiple of the pool's mean
    /// Allowance for reports that are out of date: this many times
    /// sqrt(requests * age in seconds) is subtracted from the reported sum.
    double drift_margin;
    int64_t report_max_age_ms; ///< age at which a router's report is dropped
    size_t queue_requests_max;
    size_t queue_bytes_max;
    /// Called when a waiting request is admitted; it counts as running.
    void (*admitted)(void *ctx, void *request);
    /// Called when a waiting request is dropped: its deadline has passed, the
    /// queue is full and its account has more than its share of it, or the
    /// bound has blocked the queue so long that the router should try another
    /// endpoint.
    void (*dropped)(void *ctx, void *request, enum refuse_reason reason,
                    uint32_t retry_after_ms);
    void *ctx;
};

struct gate_request {
    struct str account;
    uint32_t account_weight;
    uint32_t priority; ///< 0 to 9, higher first within an account
    size_t bytes;
    int64_t deadline_ms; ///< on the gate's clock
    bool may_wait;       ///< may be queued
    void *request;       ///< owned by the caller; passed to the callbacks
};

enum gate_verdict {
    GATE_ADMITTED,
    GATE_QUEUED,
    GATE_REFUSED,
};

struct gate_decision {
    enum gate_verdict verdict;
    enum refuse_reason reason; ///< GATE_REFUSED only
    uint32_t retry_after_ms;   ///< REFUSE_QUEUE_FULL only, else 0
};

/// The caller frees with gate_free().
struct gate *gate_new(const struct gate_options *options);

/// Waiting requests are discarded without a callback.
void gate_free(struct gate *gate);

/// Replaces these options; waiting requests stay queued.
void gate_set_options(struct gate *gate, double bound_multiple,
                      size_t queue_requests_max, size_t queue_bytes_max);

/// Sets the sum of the pool's weights and this endpoint's own weight.
void gate_set_pool(struct gate *gate, uint64_t total_weight,
                   uint32_t own_weight);

void gate_set_state(struct gate *gate, enum agent_state state);
enum agent_state gate_state(const struct gate *gate);

/// Stores how many requests a router has in flight in the pool. May call
/// `admitted`, as a higher number raises the bound.
void gate_set_router_in_flight(struct gate *gate, struct str router,
                               uint32_t in_flight);

/// Stores the total weight of the endpoints that a router can use; ignored if
/// the router has not reported an in-flight count. Routers detect failed
/// endpoints before they leave the endpoint list. gate_tick() takes the
/// largest weight reported, but never more than that of gate_set_pool().
void gate_set_router_pool_weight(struct gate *gate, struct str router,
                                 uint32_t pool_weight);

/// Removes the reports of a router.
void gate_remove_router(struct gate *gate, struct str router);

/// Admits, queues or refuses a request. The account's name is copied.
struct gate_decision gate_offer(struct gate *gate,
                                const struct gate_request *request);

/// Releases the slot of a running request; may call `admitted`.
void gate_request_ended(struct gate *gate);

/// Removes a request from the queue; false if it is not queued.
bool gate_withdraw(struct gate *gate, const void *request);

/// Removes expired reports, admits waiting requests up to the bound and drops
/// those that should not wait longer. Call it about every 20 ms.
void gate_tick(struct gate *gate);

struct load_report gate_load_report(const struct gate *gate);

/// Requests in flight in the pool: the sum of the routers' reports, at least
/// the requests running here.
uint64_t gate_pool_in_flight(const struct gate *gate);

/// The number of running requests that the bound allows now, at least 1.
uint32_t gate_bound(const struct gate *gate);
