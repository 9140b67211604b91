/// One caller's request within a router, from its arrival to its answer.
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

/// Size of a problem detail in bytes, with its NUL; longer ones are cut.
#define REQUEST_DETAIL_BYTES 200

enum request_state {
    REQUEST_NEW,
    REQUEST_CONNECTING, ///< waiting for the link to its agent
    REQUEST_OFFERED,    ///< offer sent to the agent
    REQUEST_ACCEPTED,   ///< admitted by the agent
    REQUEST_ANSWERING,  ///< head of the answer sent to the caller
};

/// Policy from the configuration at the request's arrival; copied, since the
/// configuration may change while the request is in flight.
struct request_policy {
    char *route_name;
    char *pool_name;
    char *account_name;
    uint32_t account_weight;
    bool repeatable;
    bool cut_on_disconnect;
    uint32_t priority;
    int64_t deadline_ms; ///< on the router's clock
    uint32_t first_byte_ms;
    uint32_t idle_ms;
    uint32_t attempts_max;
};

struct request {
    struct router *router;
    struct request_id id;
    struct evhttp_request *http; ///< NULL once detached from the caller
    enum request_state state;
    struct event *timer;
    struct event *close_event; ///< EV_CLOSED on the caller's connection

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
    bool account_counted; ///< counted by router_count_account()
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

/// Runs the filter chain on a new request and dispatches it.
void request_start(struct router *router, struct evhttp_request *http);

/// Starts to watch for the caller closing its connection; evhttp does not
/// detect that, since it does not read while an answer is due. Called from the
/// router's tick, as most requests end before it is needed.
void request_watch_close(struct request *request);

/// Chooses an endpoint and offers the request to its agent.
void request_dispatch(struct request *request);

/// The link to the request's agent is ready.
void request_link_ready(struct request *request);

/// The agent could not be reached, or its link broke and was not reopened.
void request_link_lost(struct request *request);

/// Handles a message from the request's agent.
void request_message(struct request *request, const struct message *message);

/// Answers with problem+json and ends the request.
void request_refuse(struct request *request, int status, enum outcome outcome,
                    const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/// Frees the request without an answer; for router_free().
void request_discard(struct request *request);

/// The caller has closed its connection: cancels the attempt at the agent and
/// frees the request.
void request_abandon(struct request *request);
