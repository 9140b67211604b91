#include "sse.h"

#include <stdlib.h>
#include <string.h>

#include "xmalloc.h"

bool
sse_scan_bytes(struct sse_scan *scan, const char *bytes, size_t len)
{
    uint64_t before = scan->events;

    for (size_t i = 0; i < len; i++) {
        scan->open_bytes++;
        if (bytes[i] == '\n') {
            if (!scan->line_has_bytes) {
                scan->events++;
                scan->open_bytes = 0;
            }
            scan->line_has_bytes = false;
        }
        else if (bytes[i] != '\r') {
            scan->line_has_bytes = true;
        }
    }
    return scan->events > before;
}

void
sse_buffer_init(struct sse_buffer *buffer)
{
    *buffer = (struct sse_buffer){0};
}

void
sse_buffer_destroy(struct sse_buffer *buffer)
{
    free(buffer->bytes);
    buffer->bytes = NULL;
}

static void
discard_taken(struct sse_buffer *buffer)
{
    if (buffer->taken > 0) {
        buffer->len -= buffer->taken;
        memmove(buffer->bytes, buffer->bytes + buffer->taken, buffer->len);
        buffer->scanned -= buffer->taken;
        buffer->line_start -= buffer->taken;
        buffer->taken = 0;
    }
}

void
sse_buffer_append(struct sse_buffer *buffer, const char *bytes, size_t len)
{
    discard_taken(buffer);
    if (buffer->len + len > buffer->size) {
        buffer->size = 2 * (buffer->len + len);
        buffer->bytes = xrealloc(buffer->bytes, buffer->size);
    }
    memcpy(buffer->bytes + buffer->len, bytes, len);
    buffer->len += len;
}

static void
parse_line(struct sse_buffer *buffer, const char *line, size_t len)
{
    if (len > 0 && line[len - 1] == '\r') {
        len--;
    }
    if (len < 3 || memcmp(line, "id:", 3) != 0) {
        return;
    }
    line += 3;
    len -= 3;
    while (len > 0 && *line == ' ') {
        line++;
        len--;
    }
    if (len > 0 && len < SSE_ID_BYTES_MAX) {
        memcpy(buffer->last_id, line, len);
        buffer->last_id_len = len;
    }
}

/// The length of the complete events; stores the last id among them.
static size_t
complete_bytes(struct sse_buffer *buffer)
{
    size_t complete = 0;
    size_t start = buffer->line_start;

    for (size_t at = buffer->scanned; at < buffer->len; at++) {
        bool is_blank;

        if (buffer->bytes[at] != '\n') {
            continue;
        }
        is_blank =
            at == start || (at == start + 1 && buffer->bytes[start] == '\r');
        if (is_blank) {
            for (size_t from = complete; from < start;) {
                const char *line = buffer->bytes + from;
                const char *end = memchr(line, '\n', start - from);
                size_t len = end != NULL ? (size_t)(end - line) : start - from;

                parse_line(buffer, line, len);
                from += len + 1;
            }
            complete = at + 1;
        }
        start = at + 1;
    }
    buffer->scanned = buffer->len;
    buffer->line_start = start;
    return complete;
}

const char *
sse_buffer_take(struct sse_buffer *buffer, bool all, size_t *len)
{
    discard_taken(buffer);
    *len = complete_bytes(buffer);
    if (all) {
        *len = buffer->len;
        buffer->line_start = buffer->len;
    }
    buffer->taken = *len;
    return buffer->bytes;
}

struct str
sse_buffer_last_id(const struct sse_buffer *buffer)
{
    return (struct str){buffer->last_id, buffer->last_id_len};
}

void
sse_buffer_discard_partial(struct sse_buffer *buffer)
{
    buffer->len = 0;
    buffer->taken = 0;
    buffer->scanned = 0;
    buffer->line_start = 0;
}
