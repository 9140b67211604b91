/// Chooses the caller to refuse or disconnect when memory or descriptors are
/// short.
///
/// Load pattern: many clients send bodies that they do not complete, or open
/// connections that they do not use, while ordinary callers send short
/// requests. A request that was passed on to an endpoint is no candidate.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define EVICTION_NONE SIZE_MAX
/// A caller inside the limits sends a request without pauses. One that has
/// sent nothing for this long in the middle of it is stalled.
#define EVICTION_STALLED_MS 200

/// A request that is being read.
struct eviction_body {
    uint64_t account; ///< 0: not known
    size_t held_bytes;
    int64_t progress_ms; ///< when bytes were last received
};

/// The body that has made no progress for the longest time, of the account of
/// the connection that holds most. Bodies that are much shorter than that
/// connection's are passed over: to refuse them frees little. Index, or
/// EVICTION_NONE if there is no body.
size_t eviction_choose_body(const struct eviction_body *bodies, size_t count);

/// State of a connection, in the order in which connections are closed.
enum eviction_state {
    EVICTION_ENDING,       ///< its last answer has been sent
    EVICTION_UNUSED,       ///< no request yet
    EVICTION_IDLE,         ///< between requests
    EVICTION_TRANSFERRING, ///< within a request, or a complete response
    EVICTION_BUSY,         ///< a request is processed: must stay
};

const char *eviction_state_name(enum eviction_state state);

struct eviction_connection {
    enum eviction_state state;
    int64_t progress_ms;
};

/// The connection to close for a new one: of the best state that there is, the
/// one without progress for the longest time; within a transfer only after
/// EVICTION_STALLED_MS. Index, or EVICTION_NONE if none may be closed.
size_t eviction_choose_connection(const struct eviction_connection *all,
                                  size_t count, int64_t now_ms);
