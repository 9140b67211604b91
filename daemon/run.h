/// The runs of one agent. A run is one offer from admission through claim and
/// endpoint call to the answer's acknowledgement by the router.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/message.h"

struct claimlog;
struct http_client;
struct event_base;
struct gate;
struct link;
struct quarantine;
struct runs;

struct runs_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct counters *counters;
    struct gate *gate;
    struct http_client *endpoint;
    struct claimlog *claimlog;
    struct quarantine *quarantine;
    size_t window_bytes; ///< unacknowledged answer bytes that pause the call
    size_t body_bytes_max;
    /// Time that a router has to resume its runs after its link was lost.
    int64_t reconnect_timeout_ms;
    /// A request got a strike, since the endpoint crashed while running it.
    void (*strike_added)(void *ctx, uint64_t fingerprint, uint32_t crash_id);
    /// A call failed for a reason other than the request's deadline.
    void (*endpoint_failed)(void *ctx);
    /// A call ended with a complete answer.
    void (*endpoint_succeeded)(void *ctx);
    void *ctx;
};

/// The caller frees with runs_free(), which cancels all runs.
struct runs *runs_new(const struct runs_options *options);
void runs_free(struct runs *runs);

/// Handle messages from routers.
void runs_offer(struct runs *runs, struct link *link,
                const struct message_offer *offer);
void runs_body(struct runs *runs, const struct attempt_id *id, uint64_t offset,
               struct str bytes);
void runs_ack(struct runs *runs, const struct attempt_id *id, uint64_t offset,
              bool finished);
void runs_cancel(struct runs *runs, const struct attempt_id *id);
void runs_resume(struct runs *runs, struct link *link,
                 const struct attempt_id *id, uint64_t offset, bool need_head);

/// The link has closed; its runs wait `reconnect_timeout_ms` for a resume.
void runs_link_lost(struct runs *runs, const struct link *link);

/// Callbacks for the gate and the claim log; `request` is the run.
void runs_admitted(void *ctx, void *request);
void runs_dropped(void *ctx, void *request, enum refuse_reason reason,
                  uint32_t retry_after_ms);
struct claim_decision;
void runs_claimed(void *ctx, void *request,
                  const struct claim_decision *decision);

/// Frees expired tombstones and abandons runs whose router did not reconnect.
void runs_tick(struct runs *runs);

/// Admitted runs that have not ended.
size_t runs_active(const struct runs *runs);

/// True if a run or its unacknowledged answer uses this link.
bool runs_use_link(const struct runs *runs, const struct link *link);

/// Ended runs with a linked router that has not acknowledged the answer.
size_t runs_unacknowledged(const struct runs *runs);
