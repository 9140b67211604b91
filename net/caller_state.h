/// State of callers' connections, private to the files that implement them.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "accept.h"
#include "caller.h"
#include "charge.h"
#include "core/memory.h"
#include "dandelionvalve/counter.h"
#include "http1.h"
#include "input.h"

struct bufferevent;
struct event;
struct evconnlistener;

enum caller_state {
    CALLER_READING,
    CALLER_PROCESSING, ///< complete request, no response yet
    CALLER_RESPONDING, ///< the response head is sent
    CALLER_CLOSING,    ///< sends the last bytes, then lingers
};

struct caller {
    struct caller_server *server;
    struct bufferevent *bufferevent;
    struct http1 http;
    enum caller_state state;
    struct evbuffer *body;
    struct event *timer;
    void *user;
    int64_t started_ms;
    int64_t timer_started_ms;
    int64_t timer_ms;
    int64_t idle_timeout_ms; ///< that the last answer was based on
    int64_t progress_ms;     ///< bytes were last received, or a request ended
    size_t requests;         ///< received complete on this connection
    struct input_deferral deferral;
    struct memory_holding connection; ///< fixed part
    struct memory_holding request;    ///< head, body and unread input
    struct charge output;
    uint64_t account; ///< of the current request, see caller_account()
    bool account_known;
    bool chunked;
    bool close_after_response;
    bool body_too_large;
    bool output_overflow; ///< backlog above caller_output_max()
    bool is_closed;
    struct caller *prev;
    struct caller *next;
};

struct caller_server {
    struct caller_server_options options;
    struct evconnlistener *listener;
    struct accept_pause accept_pause;
    struct caller *callers;
    struct caller *closed;
    struct event *free_closed_event;
    struct address address;
    size_t connections;
    size_t connections_max; ///< 0: no limit
    unsigned refusals;      ///< spreads the times of Retry-After
    bool draining;
};

/// Counts one event, if the server has counters.
void caller_count(const struct caller_server *server, enum counter_id counter);

/// Charges what the connection holds of its request now.
void caller_update_charge(struct caller *caller);

/// Makes room for `len` received bytes of a request, if need be by refusing
/// requests that are not complete. False if this one is to be refused.
bool caller_make_room(struct caller *caller, size_t len);

/// Makes room for a connection by closing one that is not in use. False if
/// there is none.
bool caller_make_descriptor_room(struct caller_server *server);

/// Bytes of unsent output above which the caller is disconnected.
size_t caller_output_max(const struct caller *caller);

/// Logs and counts a caller that is disconnected for its unread output.
void caller_report_too_slow(const struct caller *caller);

/// Answers an incomplete request with 503.
void caller_refuse_incomplete(struct caller *caller);

/// Closes the connection and reports it.
void caller_disconnect(struct caller *caller);
