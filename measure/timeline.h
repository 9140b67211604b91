/// Priority queue of timed events for discrete-event simulations.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct timeline;

/// An event. The measurement defines type, a, b and data.
struct timed_event {
    int64_t at_us;
    uint64_t sequence; ///< set by timeline_add(); breaks ties
    int type;
    int a;
    int b;
    void *data;
};

struct timeline *timeline_new(void);
void timeline_free(struct timeline *events);
void timeline_add(struct timeline *events, struct timed_event event);

/// Removes the earliest event. False if the queue is empty.
bool timeline_next(struct timeline *events, struct timed_event *event);
