/// Splits a stream of events into whole ones, so that a stream that broke off
/// in the middle of an event can go on at another endpoint.
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "dandelionvalve/str.h"

#define SSE_ID_BYTES_MAX 64

struct sse_buffer {
    char *bytes;
    size_t len;
    size_t size;
    size_t taken; ///< bytes at the start that were handed out
    char last_id[SSE_ID_BYTES_MAX];
    size_t last_id_len;
};

void sse_buffer_init(struct sse_buffer *buffer);
void sse_buffer_destroy(struct sse_buffer *buffer);
void sse_buffer_append(struct sse_buffer *buffer, const char *bytes,
                       size_t len);

/// Whole events that have come since the last call, or all bytes. The result
/// lives until the next call.
const char *sse_buffer_take(struct sse_buffer *buffer, bool all, size_t *len);

/// The id of the last whole event that was taken; empty before the first.
struct str sse_buffer_last_id(const struct sse_buffer *buffer);

/// Drops bytes of an event that is not whole.
void sse_buffer_discard_partial(struct sse_buffer *buffer);
