/// Admission at one endpoint: the load bound, the queue and the shares of the
/// client accounts. The agent owns one gate.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/str.h"

#define GATE_DRIFT_MARGIN 1.75
#define GATE_REPORT_MAX_AGE_MS 3000

struct gate;

struct gate_options {
    const struct clock *clock;
    const struct random_source *random;
    uint32_t slots; ///< requests that the endpoint runs at once
    uint64_t incarnation;
    double bound_multiple;
    /// The true mean may have fallen since the routers told their numbers:
    /// this many times sqrt(requests * age in seconds) are taken off.
    double drift_margin;
    int64_t report_max_age_ms; ///< age at which a router's number is dropped
    size_t queue_requests_max;
    size_t queue_bytes_max;
    /// Called when a waiting request is admitted; it counts as running.
    void (*admitted)(void *ctx, void *request);
    /// Called when a waiting request is dropped: its deadline has passed, the
    /// queue is full and its account holds more of it than its share, or the
    /// bound holds it back so long that another endpoint should be tried.
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
    bool may_wait;
    void *request; ///< the caller's; handed to the callbacks
};

enum gate_verdict {
    GATE_ADMITTED,
    GATE_QUEUED,
    GATE_REFUSED,
};

struct gate_decision {
    enum gate_verdict verdict;
    enum refuse_reason reason;
    uint32_t retry_after_ms;
};

/// The caller frees with gate_free(); waiting requests are dropped silently.
struct gate *gate_new(const struct gate_options *options);
void gate_free(struct gate *gate);

void gate_set_options(struct gate *gate, double bound_multiple,
                      size_t queue_requests_max, size_t queue_bytes_max);

/// The sum of the pool's weights and this endpoint's own weight.
void gate_set_pool(struct gate *gate, uint64_t total_weight,
                   uint32_t own_weight);

void gate_set_state(struct gate *gate, enum agent_state state);
enum agent_state gate_state(const struct gate *gate);

/// Notes how many requests a router has in flight in the pool.
void gate_set_router_in_flight(struct gate *gate, struct str router,
                               uint32_t in_flight);

/// Notes the weight of the pool's endpoints that a router can use. Routers
/// see failed endpoints before the list does; the largest weight that one of
/// them tells counts, but not more than gate_set_pool() says.
void gate_set_router_pool_weight(struct gate *gate, struct str router,
                                 uint32_t pool_weight);
void gate_remove_router(struct gate *gate, struct str router);

struct gate_decision gate_offer(struct gate *gate,
                                const struct gate_request *request);

/// A running request has ended; may call `admitted` for waiting ones.
void gate_request_ended(struct gate *gate);

/// Takes a request out of the queue; false if it does not wait.
bool gate_withdraw(struct gate *gate, const void *request);

/// Drops what has expired and admits what has room.
void gate_tick(struct gate *gate);

struct load_report gate_load_report(const struct gate *gate);

/// Requests in flight in the pool by the routers' numbers.
uint64_t gate_pool_in_flight(const struct gate *gate);

/// The load that the bound allows at this moment, at least 1.
uint32_t gate_bound(const struct gate *gate);
