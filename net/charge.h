/// Charges the content of a buffer to the account of memory, whoever fills or
/// drains it.
#pragma once

#include <stdint.h>

#include "core/memory.h"

struct clock;
struct evbuffer;
struct evbuffer_cb_entry;

struct charge {
    struct memory_holding holding;
    const struct clock *clock;
    struct evbuffer *buffer;
    struct evbuffer_cb_entry *entry;
    int64_t progress_ms; ///< when bytes were drained, or the first ones added
};

/// Charges what the buffer holds from now on; `memory` NULL: nothing.
void charge_start(struct charge *charge, struct memory *memory,
                  enum memory_kind kind, struct evbuffer *buffer,
                  const struct clock *clock);

/// Releases all. Call it before the buffer is freed; may be repeated.
void charge_stop(struct charge *charge);
