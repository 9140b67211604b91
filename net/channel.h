/// Connections to one HTTP server, each with one request at a time, kept for
/// later requests while they are sound.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/clock.h"

struct channel;
struct channel_pool;
struct evbuffer;
struct event_base;
struct http1;

/// Time for the TCP handshake; a lost opening packet is sent again only after
/// a second, so another server is the better choice.
#define CHANNEL_CONNECT_TIMEOUT_MS 400
/// Unacknowledged bytes for this long end a connection (TCP_USER_TIMEOUT).
#define CHANNEL_USER_TIMEOUT_MS 2000
/// Idle time without a Keep-Alive field; servers commonly allow 5 s.
#define CHANNEL_IDLE_DEFAULT_MS 3500
/// Idle time up to which a connection serves a request that may run once: the
/// server may have dropped it without a word.
#define CHANNEL_AT_MOST_ONCE_IDLE_MS 900
/// The share of the server's own idle time that is used, in percent.
#define CHANNEL_KEEP_ALIVE_PERCENT 75

enum channel_end {
    CHANNEL_COMPLETE,  ///< the answer is whole
    CHANNEL_UNSENT,    ///< no byte of the request left: it cannot have run
    CHANNEL_LOST,      ///< reset, closed or silent before the answer was whole
    CHANNEL_MALFORMED, ///< bytes that are no answer to this request
};

enum channel_verdict {
    CHANNEL_ACCEPT,
    CHANNEL_SKIP,   ///< answers an earlier request: read on
    CHANNEL_REJECT, ///< no proper answer: ends with CHANNEL_MALFORMED
};

struct channel_handler {
    enum channel_verdict (*head)(void *ctx, const struct http1 *head);
    void (*data)(void *ctx, const char *bytes, size_t len);
    /// The channel must not be used any more.
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
};

/// The caller frees with channel_pool_free().
struct channel_pool *
channel_pool_new(const struct channel_pool_options *options);

/// Ends running requests without a callback.
void channel_pool_free(struct channel_pool *pool);

/// What a request asks of its connection.
struct channel_request {
    struct evbuffer *bytes; ///< head and body; drained
    bool at_most_once;      ///< not on a connection that may be dead
    bool no_body;           ///< the answer has none (HEAD)
};

/// Sends on an idle connection or a new one. NULL if no connection can be
/// had; the handler is then not called.
struct channel *channel_send(struct channel_pool *pool,
                             const struct channel_request *request,
                             const struct channel_handler *handler);

/// Closes the connection without a callback: the server drops the request.
void channel_cancel(struct channel *channel);

/// Lets the answer come and drops it, so that the connection stays of use.
void channel_discard_response(struct channel *channel);

/// True once bytes of the request may have left.
bool channel_was_sent(const struct channel *channel);

size_t channel_pool_connections(const struct channel_pool *pool);
size_t channel_pool_connections_total(const struct channel_pool *pool);
