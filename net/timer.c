#include "timer.h"

#include <event2/event.h>

void
timer_start(struct event *event, int64_t ms)
{
    const struct timeval delay = {
        .tv_sec = ms > 0 ? ms / 1000 : 0,
        .tv_usec = ms > 0 ? (suseconds_t)(ms % 1000 * 1000) : 0,
    };

    event_add(event, &delay);
}
