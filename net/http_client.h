/// HTTP client for one server, through evhttp.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/message.h"

/// The call field of endpoints.
#define HTTP_CLIENT_CALL_FIELD "Dandelionvalve-Call-Id"

struct evbuffer;
struct event_base;
struct http_client;
struct http_call;

enum http_call_result {
    HTTP_CALL_COMPLETE,    ///< complete response
    HTTP_CALL_UNSENT,      ///< no byte of the request was sent
    HTTP_CALL_NO_RESPONSE, ///< sent, but no response head was received
    HTTP_CALL_INCOMPLETE,  ///< truncated; see accepts_unframed
};

struct http_client_options {
    struct event_base *base;
    struct address address;
    size_t idle_connections_max;
    /// Field of a request with a number for the call, which a server may
    /// return in its answers. The connections of one that does are used again;
    /// one that does not gets each call on a new connection, where no late
    /// copy of an earlier answer can be taken as the answer to this call.
    /// NULL: all connections are used again.
    const char *call_field;
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
    /// For a call that must not be repeated: a new connection, since the
    /// server may close an idle one while the request is sent, and the outcome
    /// would be unknown.
    bool fresh_connection;
    /// A response with neither length nor chunks is complete when the server
    /// closes the connection. Otherwise it is incomplete, since a crash of the
    /// server may look the same.
    bool accepts_unframed;
    void (*head)(void *ctx, int status, const struct message_header *headers,
                 size_t header_count);
    void (*data)(void *ctx, struct evbuffer *data);
    void (*end)(void *ctx, enum http_call_result result);
    void *ctx;
};

struct http_client *http_client_new(const struct http_client_options *options);

/// Cancels all calls without calling `end`.
void http_client_free(struct http_client *client);

/// NULL if the method is unknown or the request cannot be started.
struct http_call *http_call(struct http_client *client,
                            const struct http_call_options *call);

/// Closes the call's connection and frees the call, without calling `end`.
void http_call_cancel(struct http_call *call);

/// Pauses or resumes reading of the response.
void http_call_pause(struct http_call *call, bool paused);
