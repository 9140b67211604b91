/// Pool of HTTP/1.1 client connections to one server. A connection carries one
/// request at a time and is reused while it is idle.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "core/memory.h"
#include "dandelionvalve/clock.h"

struct channel;
struct channel_pool;
struct evbuffer;
struct event_base;
struct http1;

/// A lost SYN is retransmitted only after 1 s; trying another server is
/// faster than waiting for it.
#define CHANNEL_CONNECT_TIMEOUT_MS 400
/// TCP_USER_TIMEOUT: closes a connection whose bytes are not acknowledged.
#define CHANNEL_USER_TIMEOUT_MS 2000
/// Idle time-out if the server sends no Keep-Alive field; servers commonly
/// allow 5 s.
#define CHANNEL_IDLE_DEFAULT_MS 3500
/// Longest idle time of a connection that is reused for an at-most-once
/// request: the server may already be closing an older one.
#define CHANNEL_AT_MOST_ONCE_IDLE_MS 900
/// Share of the server's Keep-Alive time-out after which the client closes.
#define CHANNEL_KEEP_ALIVE_PERCENT 75

enum channel_end {
    CHANNEL_COMPLETE,  ///< complete response
    CHANNEL_UNSENT,    ///< no byte of the request was sent: it cannot have run
    CHANNEL_LOST,      ///< reset, closed or timed out before the end
    CHANNEL_MALFORMED, ///< invalid HTTP, or CHANNEL_REJECT
};

enum channel_verdict {
    CHANNEL_ACCEPT,
    CHANNEL_SKIP,   ///< response to an earlier request: read the next one
    CHANNEL_REJECT, ///< invalid response: ends with CHANNEL_MALFORMED
};

struct channel_handler {
    enum channel_verdict (*head)(void *ctx, const struct http1 *head);
    void (*data)(void *ctx, const char *bytes, size_t len);
    /// The last callback; the channel must not be used afterwards.
    void (*end)(void *ctx, enum channel_end end, const char *detail);
    void *ctx;
};

struct channel_pool_options {
    struct event_base *base;
    const struct clock *clock;
    struct address address;
    size_t connections_max; ///< 0: no limit
    int64_t connect_timeout_ms;
    size_t head_bytes_max;
    struct memory *memory; ///< NULL: the output is not accounted
    enum memory_kind memory_kind;
};

/// The caller frees with channel_pool_free().
struct channel_pool *
channel_pool_new(const struct channel_pool_options *options);

/// Cancels requests in flight without calling their handlers.
void channel_pool_free(struct channel_pool *pool);

struct channel_request {
    struct evbuffer *bytes; ///< head and body; drained by channel_send()
    bool at_most_once;      ///< only on a new or recently used connection
    bool fresh;             ///< only on a new connection
    bool no_body;           ///< the response has no body (HEAD)
};

/// Sends on an idle connection or a new one. NULL if no connection is
/// available; the handler is not called then.
struct channel *channel_send(struct channel_pool *pool,
                             const struct channel_request *request,
                             const struct channel_handler *handler);

/// Closes the connection without calling the handler, so that the server
/// cancels the request.
void channel_cancel(struct channel *channel);

/// Reads the response and discards it, so that the connection can be reused.
void channel_discard_response(struct channel *channel);

/// True once bytes of the request may have been sent.
bool channel_was_sent(const struct channel *channel);

/// Called when a time-out of the user has expired: true if bytes that have
/// arrived are to be read first, or the request is to be sent on a connection
/// that was made; the time-out is to be checked again in the next pass of the
/// event loop.
bool channel_defer_timeout(struct channel *channel);

/// When the first bytes of the request were passed to the socket; 0: not yet.
int64_t channel_written_ms(const struct channel *channel);

/// When the connection was made, maybe for an earlier request; 0: not yet.
int64_t channel_connected_ms(const struct channel *channel);

size_t channel_pool_connections(const struct channel_pool *pool);
size_t channel_pool_connections_total(const struct channel_pool *pool);
