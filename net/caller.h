/// HTTP/1.1 server for callers: receives complete requests, sends responses.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/clock.h"

struct caller;
struct caller_server;
struct counters;
struct evbuffer;
struct event_base;
struct http1;
struct memory;

/// A caller that does not read is disconnected when its unsent output exceeds
/// this, or less when memory is short.
#define CALLER_OUTPUT_BYTES_MAX (8 * 1024 * 1024)

struct caller_limits {
    size_t head_bytes_max;
    size_t body_bytes_max;
    int64_t head_timeout_ms; ///< first byte to end of the request
    int64_t idle_timeout_ms; ///< between requests
};

struct caller_server_options {
    struct event_base *base;
    const struct clock *clock;
    struct address address;
    struct caller_limits limits;
    /// A complete request was received; the response may be sent later.
    void (*request)(void *ctx, struct caller *caller);
    /// The caller disconnected before the end of the response; `user` is the
    /// argument of caller_set_user().
    void (*disconnected)(void *ctx, void *user);
    /// Account of the caller whose request head has been received, to choose
    /// the request to refuse when memory is short; 0: not known. May be NULL.
    uint64_t (*account)(void *ctx, const struct caller *caller);
    struct memory *memory;     ///< NULL: not accounted and not limited
    struct counters *counters; ///< may be NULL
    /// For each connection; 0: as the kernel chooses.
    int receive_buffer_bytes;
    void *ctx;
};

/// NULL with `err` set if the address cannot be bound.
struct caller_server *
caller_server_new(const struct caller_server_options *options,
                  struct err *err);

/// Closes all connections without calling `disconnected`.
void caller_server_free(struct caller_server *server);
void caller_server_set_limits(struct caller_server *server,
                              const struct caller_limits *limits);

/// Connections above `max` are accepted only if one that is idle or stalled
/// can be closed for them; 0: no limit.
void caller_server_set_connections_max(struct caller_server *server,
                                       size_t max);

/// Disconnects callers that take nothing of complete responses until there is
/// room for so many bytes of buffered responses; false if it does not suffice.
bool caller_server_make_response_room(struct caller_server *server,
                                      size_t bytes);
struct address caller_server_address(const struct caller_server *server);

/// From now on each connection is closed after its response.
void caller_server_drain(struct caller_server *server);

/// Stops listening and closes idle connections; the others are closed after
/// their current response.
void caller_server_close_idle(struct caller_server *server);
size_t caller_server_connections(const struct caller_server *server);

/// The current request: its head, its body (owned by the connection, may be
/// drained) and when its first byte was received.
const struct http1 *caller_request_head(const struct caller *caller);
struct evbuffer *caller_request_body(const struct caller *caller);
int64_t caller_started_ms(const struct caller *caller);
void caller_set_user(struct caller *caller, void *user);

/// Sends a complete response. `fields` are header lines with their line ends,
/// without Content-Length or Connection. `body` is drained and may be NULL.
void caller_reply(struct caller *caller, int status, struct str fields,
                  struct evbuffer *body);

/// Sends a response in parts; its length need not be known.
void caller_send_head(struct caller *caller, int status, struct str fields);
void caller_send_data(struct caller *caller, const char *bytes, size_t len);
void caller_end_response(struct caller *caller);

/// Closes the connection so that the caller detects an incomplete response.
void caller_abort(struct caller *caller);
