#include "timeline.h"

#include <stdlib.h>

#include "core/xmalloc.h"

struct timeline {
    struct timed_event *heap;
    size_t count;
    size_t capacity;
    uint64_t next_sequence;
};

struct timeline *
timeline_new(void)
{
    return xcalloc(1, sizeof(struct timeline));
}

void
timeline_free(struct timeline *events)
{
    free(events->heap);
    free(events);
}

static bool
before(const struct timed_event *a, const struct timed_event *b)
{
    return a->at_us < b->at_us ||
           (a->at_us == b->at_us && a->sequence < b->sequence);
}

static void
swap(struct timed_event *a, struct timed_event *b)
{
    struct timed_event copy = *a;

    *a = *b;
    *b = copy;
}

void
timeline_add(struct timeline *events, struct timed_event event)
{
    size_t i = events->count++;

    if (events->count > events->capacity) {
        events->capacity = events->capacity > 0 ? 2 * events->capacity : 1024;
        events->heap =
            xrealloc(events->heap, events->capacity * sizeof(*events->heap));
    }
    event.sequence = events->next_sequence++;
    events->heap[i] = event;
    while (i > 0 && before(&events->heap[i], &events->heap[(i - 1) / 2])) {
        swap(&events->heap[i], &events->heap[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
}

static void
sift_down(struct timeline *events)
{
    size_t i = 0;

    for (;;) {
        size_t least = i;

        for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++) {
            if (child < events->count &&
                before(&events->heap[child], &events->heap[least])) {
                least = child;
            }
        }
        if (least == i) {
            return;
        }
        swap(&events->heap[i], &events->heap[least]);
        i = least;
    }
}

bool
timeline_next(struct timeline *events, struct timed_event *event)
{
    if (events->count == 0) {
        return false;
    }
    *event = events->heap[0];
    events->heap[0] = events->heap[--events->count];
    sift_down(events);
    return true;
}
