/// A queue of timed events for measurements in one process.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct timeline;

/// What happens at a time; the fields are the measurement's.
struct timed_event {
    int64_t at_us;
    uint64_t
        sequence; ///< set by timeline_add(): ties go in sequence of adding
    int type;
    int a;
    int b;
    void *data;
};

struct timeline *timeline_new(void);
void timeline_free(struct timeline *events);
void timeline_add(struct timeline *events, struct timed_event event);

/// Takes the next event; false if there is none.
bool timeline_next(struct timeline *events, struct timed_event *event);
