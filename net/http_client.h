/// HTTP calls to the endpoint beside an agent, through evhttp.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/message.h"

struct evbuffer;
struct event_base;
struct http_client;
struct http_call;

enum http_call_result {
    HTTP_CALL_COMPLETE,    ///< the answer is complete by its own framing
    HTTP_CALL_UNSENT,      ///< no byte of the request left
    HTTP_CALL_NO_RESPONSE, ///< sent, but no head of an answer came
    HTTP_CALL_INCOMPLETE,  ///< the answer broke off, or has no framing
};

struct http_client_options {
    struct event_base *base;
    struct address address;
    size_t idle_connections_max;
    size_t header_bytes_max;
    int connect_timeout_s;
};

/// Callbacks of one call. `head` and `data` may be NULL; `end` is the last
/// one, and the call is freed after it.
struct http_call_options {
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
    void (*end)(void *ctx, enum http_call_result result);
    void *ctx;
};

struct http_client *http_client_new(const struct http_client_options *options);

/// Cancels all calls without calling back.
void http_client_free(struct http_client *client);

/// NULL if the method is unknown.
struct http_call *http_call(struct http_client *client,
                            const struct http_call_options *call);

/// Closes the call's connection without calling back; frees the call.
void http_call_cancel(struct http_call *call);

/// Stops or resumes reading of the answer.
void http_call_pause(struct http_call *call, bool paused);
