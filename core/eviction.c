#include "eviction.h"

/// Bodies that hold less than this part of the longest one are passed over.
#define SHORT_DIVISOR 8

size_t
eviction_choose_body(const struct eviction_body *bodies, size_t count)
{
    size_t largest = EVICTION_NONE;
    size_t chosen = EVICTION_NONE;

    for (size_t i = 0; i < count; i++) {
        if (bodies[i].held_bytes > 0 &&
            (largest == EVICTION_NONE ||
             bodies[i].held_bytes > bodies[largest].held_bytes)) {
            largest = i;
        }
    }
    for (size_t i = 0; i < count && largest != EVICTION_NONE; i++) {
        if (bodies[i].account != bodies[largest].account ||
            bodies[i].held_bytes <
                bodies[largest].held_bytes / SHORT_DIVISOR) {
            continue;
        }
        if (chosen == EVICTION_NONE ||
            bodies[i].progress_ms < bodies[chosen].progress_ms ||
            (bodies[i].progress_ms == bodies[chosen].progress_ms &&
             bodies[i].held_bytes > bodies[chosen].held_bytes)) {
            chosen = i;
        }
    }
    return chosen;
}

const char *
eviction_state_name(enum eviction_state state)
{
    static const char *const names[] = {
        [EVICTION_ENDING] = "ending", [EVICTION_UNUSED] = "unused",
        [EVICTION_IDLE] = "idle",     [EVICTION_TRANSFERRING] = "transferring",
        [EVICTION_BUSY] = "busy",
    };

    return names[state];
}

static bool
may_be_closed(const struct eviction_connection *connection, int64_t now_ms)
{
    return connection->state < EVICTION_TRANSFERRING ||
           (connection->state == EVICTION_TRANSFERRING &&
            now_ms - connection->progress_ms >= EVICTION_STALLED_MS);
}

size_t
eviction_choose_connection(const struct eviction_connection *all, size_t count,
                           int64_t now_ms)
{
    size_t chosen = EVICTION_NONE;

    for (size_t i = 0; i < count; i++) {
        if (!may_be_closed(&all[i], now_ms)) {
            continue;
        }
        if (chosen == EVICTION_NONE || all[i].state < all[chosen].state ||
            (all[i].state == all[chosen].state &&
             all[i].progress_ms < all[chosen].progress_ms)) {
            chosen = i;
        }
    }
    return chosen;
}
