/// Splits a stream of events into whole ones, so that a stream that broke off
/// in the middle of an event can go on at another endpoint.
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "dandelionvalve/str.h"

#define EVENTS_ID_BYTES_MAX 64

struct events {
    char *bytes;
    size_t len;
    size_t size;
    size_t taken; ///< bytes at the start that were handed out
    char last_id[EVENTS_ID_BYTES_MAX];
    size_t last_id_len;
};

void events_init(struct events *events);
void events_destroy(struct events *events);
void events_add(struct events *events, const char *bytes, size_t len);

/// Whole events that have come since the last call, or all bytes. The result
/// lives until the next call.
const char *events_take(struct events *events, bool all, size_t *len);

/// The id of the last whole event that was taken; empty before the first.
struct str events_last_id(const struct events *events);

/// Drops bytes of an event that is not whole.
void events_forget_partial(struct events *events);
