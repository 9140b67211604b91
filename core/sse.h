/// Buffer that splits a stream of server-sent events into complete events, so
/// that a stream that ends within an event can be resumed at another endpoint.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

#define SSE_ID_BYTES_MAX 64
/// An event that is longer is not one: the endpoint sends bytes without end.
#define SSE_EVENT_BYTES_MAX (256 * 1024)

/// Finds the ends of events in a stream that is passed on unchanged.
/// Zero-initialise before use.
struct sse_scan {
    uint64_t events;   ///< complete ones
    size_t open_bytes; ///< since the last complete event
    bool line_has_bytes;
};

/// Scans received bytes; true if an event is complete in them.
bool sse_scan_bytes(struct sse_scan *scan, const char *bytes, size_t len);

struct sse_buffer {
    char *bytes;
    size_t len;
    size_t size;
    size_t taken;      ///< bytes at the start that sse_buffer_take() returned
    size_t scanned;    ///< bytes in which the ends of events were looked for
    size_t line_start; ///< of the line that `scanned` ends in
    char last_id[SSE_ID_BYTES_MAX];
    size_t last_id_len;
};

void sse_buffer_init(struct sse_buffer *buffer);
void sse_buffer_destroy(struct sse_buffer *buffer);

/// Copies the bytes.
void sse_buffer_append(struct sse_buffer *buffer, const char *bytes,
                       size_t len);

/// The complete events received since the last call, or all bytes if `all`.
/// The result is valid until the next call.
const char *sse_buffer_take(struct sse_buffer *buffer, bool all, size_t *len);

/// The id of the last complete event; empty if there was none. Valid until the
/// next call of sse_buffer_take().
struct str sse_buffer_last_id(const struct sse_buffer *buffer);

/// Drops the bytes of an incomplete event.
void sse_buffer_discard_partial(struct sse_buffer *buffer);
