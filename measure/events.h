/// A queue of timed events for measurements in one process.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct events;

/// What happens at a time; the fields are the measurement's.
struct timed_event {
    int64_t at_us;
    uint64_t order; ///< set by events_add(): ties go in order of adding
    int type;
    int a;
    int b;
    void *data;
};

struct events *events_new(void);
void events_free(struct events *events);
void events_add(struct events *events, struct timed_event event);

/// Takes the next event; false if there is none.
bool events_next(struct events *events, struct timed_event *event);
