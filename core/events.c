#include "events.h"

#include <stdlib.h>
#include <string.h>

#include "xmalloc.h"

void
events_init(struct events *events)
{
    *events = (struct events){0};
}

void
events_destroy(struct events *events)
{
    free(events->bytes);
    events->bytes = NULL;
}

static void
drop_taken(struct events *events)
{
    if (events->taken > 0) {
        events->len -= events->taken;
        memmove(events->bytes, events->bytes + events->taken, events->len);
        events->taken = 0;
    }
}

void
events_add(struct events *events, const char *bytes, size_t len)
{
    drop_taken(events);
    if (events->len + len > events->size) {
        events->size = 2 * (events->len + len);
        events->bytes = xrealloc(events->bytes, events->size);
    }
    memcpy(events->bytes + events->len, bytes, len);
    events->len += len;
}

static void
read_line(struct events *events, const char *line, size_t len)
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
    if (len > 0 && len < EVENTS_ID_BYTES_MAX) {
        memcpy(events->last_id, line, len);
        events->last_id_len = len;
    }
}

/// The end of the last whole event; notes the ids on the way.
static size_t
whole_bytes(struct events *events)
{
    size_t whole = 0;
    size_t start = 0;

    for (size_t at = 0; at < events->len; at++) {
        bool is_blank;

        if (events->bytes[at] != '\n') {
            continue;
        }
        is_blank =
            at == start || (at == start + 1 && events->bytes[start] == '\r');
        if (is_blank) {
            for (size_t from = whole; from < start;) {
                const char *line = events->bytes + from;
                const char *end = memchr(line, '\n', start - from);
                size_t len = end != NULL ? (size_t)(end - line) : start - from;

                read_line(events, line, len);
                from += len + 1;
            }
            whole = at + 1;
        }
        start = at + 1;
    }
    return whole;
}

const char *
events_take(struct events *events, bool all, size_t *len)
{
    drop_taken(events);
    *len = whole_bytes(events);
    if (all) {
        *len = events->len;
    }
    events->taken = *len;
    return events->bytes;
}

struct str
events_last_id(const struct events *events)
{
    return (struct str){events->last_id, events->last_id_len};
}

void
events_forget_partial(struct events *events)
{
    events->len = 0;
    events->taken = 0;
}
