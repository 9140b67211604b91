/// Connections from callers: whole requests in, answers out.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/clock.h"

struct caller;
struct caller_server;
struct evbuffer;
struct event_base;
struct http1;

/// A caller that does not read is cut off at this backlog.
#define CALLER_OUTPUT_BYTES_MAX (8 * 1024 * 1024)

/// What a caller may send, and how long it may take.
struct caller_limits {
    size_t head_bytes_max;
    size_t body_bytes_max;
    int64_t head_timeout_ms;
    int64_t idle_timeout_ms;
};

struct caller_server_options {
    struct event_base *base;
    const struct clock *clock;
    struct address address;
    struct caller_limits limits;
    /// A whole request has come; the callee answers now or later.
    void (*request)(void *ctx, struct caller *caller);
    /// The caller has left before its answer was whole; `user` is what
    /// caller_set_user() gave.
    void (*disconnected)(void *ctx, void *user);
    void *ctx;
};

/// NULL with `err` set if the address cannot be bound.
struct caller_server *
caller_server_new(const struct caller_server_options *options,
                  struct err *err);

/// Closes all connections without callbacks.
void caller_server_free(struct caller_server *server);
void caller_server_set_limits(struct caller_server *server,
                              const struct caller_limits *limits);
struct address caller_server_address(const struct caller_server *server);

/// From now on each answer ends its connection.
void caller_server_drain(struct caller_server *server);

/// Takes no new connections and closes the idle ones; the others close with
/// the answer that is on its way.
void caller_server_close_idle(struct caller_server *server);
size_t caller_server_connections(const struct caller_server *server);

/// The request: its head, its body (owned by the caller connection, may be
/// drained), when its first byte came, and from where.
const struct http1 *caller_request_head(const struct caller *caller);
struct evbuffer *caller_request_body(const struct caller *caller);
int64_t caller_started_ms(const struct caller *caller);
void caller_set_user(struct caller *caller, void *user);

/// A whole answer; `fields` are field lines with their line ends, without
/// framing. `body` is drained and may be NULL.
void caller_reply(struct caller *caller, int status, struct str fields,
                  struct evbuffer *body);

/// An answer whose length is not known yet.
void caller_send_head(struct caller *caller, int status, struct str fields);
void caller_send_data(struct caller *caller, const char *bytes, size_t len);
void caller_end_response(struct caller *caller);

/// Ends the connection so that the caller sees that the answer is not whole.
void caller_abort(struct caller *caller);
