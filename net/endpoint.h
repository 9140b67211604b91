/// HTTP calls to the endpoint beside an agent, through evhttp.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/message.h"

struct evbuffer;
struct event_base;
struct endpoint;
struct endpoint_call;

enum endpoint_end {
    ENDPOINT_WHOLE,      ///< the answer is complete by its own framing
    ENDPOINT_UNSENT,     ///< no byte of the request left
    ENDPOINT_LOST,       ///< sent, but no head of an answer came
    ENDPOINT_INCOMPLETE, ///< the answer broke off, or has no framing
};

struct endpoint_options {
    struct event_base *base;
    struct address address;
    size_t idle_connections_max;
    size_t header_bytes_max;
    int connect_timeout_s;
};

/// Callbacks of one call. `head` and `data` may be NULL; `end` is the last
/// one, and the call is freed after it.
struct endpoint_call_options {
    struct str method;
    struct str uri;
    const struct message_header *headers;
    size_t header_count;
    struct str body;
    /// A call that must not be repeated gets a connection of its own, so that
    /// an idle connection closed by the endpoint cannot make it unknown.
    bool fresh_connection;
    void (*head)(void *ctx, int status, const struct message_header *headers,
                 size_t header_count);
    void (*data)(void *ctx, struct evbuffer *data);
    void (*end)(void *ctx, enum endpoint_end end);
    void *ctx;
};

struct endpoint *endpoint_new(const struct endpoint_options *options);

/// Cancels all calls without calling back.
void endpoint_free(struct endpoint *endpoint);

/// NULL if the method is unknown.
struct endpoint_call *endpoint_call(struct endpoint *endpoint,
                                    const struct endpoint_call_options *call);

/// Closes the call's connection without calling back; frees the call.
void endpoint_cancel(struct endpoint_call *call);

/// Stops or resumes reading of the answer.
void endpoint_pause(struct endpoint_call *call, bool paused);
