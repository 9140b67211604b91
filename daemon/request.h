/// One caller's request on its way through a router.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/answer.h"
#include "dandelionvalve/conf.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/outcome.h"
#include "dandelionvalve/route.h"

#include <uthash.h>

struct event;
struct evhttp_request;
struct peer;
struct router;

/// Longest problem detail, in bytes with its end.
#define REQUEST_DETAIL_BYTES 200

enum request_state {
    REQUEST_NEW,
    REQUEST_CONNECTING, ///< waits for the link to its agent
    REQUEST_OFFERED,    ///< the agent has the offer
    REQUEST_ACCEPTED,   ///< the gate has admitted it
    REQUEST_ANSWERING,  ///< the head of the answer has gone to the caller
};

/// What the configuration said of the request when it came; copied, since
/// the configuration may change while it is in flight.
struct request_policy {
    char *route_name;
    char *pool_name;
    char *account_name;
    uint32_t account_weight;
    bool repeatable;
    bool cut_on_disconnect;
    uint32_t priority;
    int64_t deadline_ms; ///< on the clock
    uint32_t first_byte_ms;
    uint32_t idle_ms;
    uint32_t attempts_max;
};

struct request {
    struct router *router;
    struct request_id id;
    struct evhttp_request *http; ///< NULL once the caller has gone
    enum request_state state;
    struct event *timer;
    struct event *close_event; ///< sees the caller close its connection

    struct request_policy policy;
    struct str method;
    struct str uri;
    struct str key;
    struct str hint;
    struct str body;
    uint64_t fingerprint;
    uint64_t key_hash;
    bool has_key_hash;
    const struct conf_route *route;     ///< within the filter chain only
    const struct conf_account *account; ///< within the filter chain only

    uint32_t attempt;
    uint32_t possible_runs; ///< attempts that may have run
    struct peer *peer;
    uint64_t peer_incarnation;
    struct route_choice choice;
    bool in_flight;
    bool account_counted; ///< in the account's number of requests
    char *tried[ROUTE_TRIED_MAX];
    size_t tried_count;
    uint32_t retry_after_ms;
    enum refuse_reason last_refusal;

    struct answer answer;
    bool has_answer;
    uint64_t acknowledged;
    size_t gaps;
    UT_hash_handle hh;
};

/// Takes a request from evhttp and sends it through the filter chain.
void request_start(struct router *router, struct evhttp_request *http);

/// Watches for the caller's leaving: evhttp does not read while an answer is
/// due, so it would not see it. Most requests end before they need this.
void request_watch_close(struct request *request);

/// Chooses an endpoint and offers the request to its agent.
void request_dispatch(struct request *request);

/// The link to the request's agent is ready.
void request_link_ready(struct request *request);

/// The link to the agent broke and could not be opened anew.
void request_link_lost(struct request *request);

/// A message of the request's agent.
void request_message(struct request *request, const struct message *message);

/// Answers with problem+json and ends the request.
void request_refuse(struct request *request, int status, enum outcome outcome,
                    const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/// Frees the request without a word; the router is going away.
void request_discard(struct request *request);

/// The caller has gone: cancels what may be cut and ends the request.
void request_abandon(struct request *request);
