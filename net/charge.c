#include "charge.h"

#include <event2/buffer.h>

#include "dandelionvalve/clock.h"

static void
on_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *ctx)
{
    struct charge *charge = ctx;

    if (info->n_deleted > 0 || info->orig_size == 0) {
        charge->progress_ms = clock_ms(charge->clock);
    }
    memory_hold(&charge->holding, charge->holding.kind,
                memory_of_buffer(evbuffer_get_length(buffer)));
}

void
charge_start(struct charge *charge, struct memory *memory,
             enum memory_kind kind, struct evbuffer *buffer,
             const struct clock *clock)
{
    *charge = (struct charge){
        .holding = {.memory = memory, .kind = kind},
        .clock = clock,
        .buffer = buffer,
    };
    if (memory != NULL) {
        charge->entry = evbuffer_add_cb(buffer, on_changed, charge);
    }
}

void
charge_stop(struct charge *charge)
{
    if (charge->entry == NULL) {
        return;
    }
    evbuffer_remove_cb_entry(charge->buffer, charge->entry);
    charge->entry = NULL;
    memory_hold(&charge->holding, charge->holding.kind, 0);
}
