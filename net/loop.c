#include "loop.h"

#include <event2/event.h>

void
loop_free(struct event_base *base)
{
    event_base_loop(base, EVLOOP_NONBLOCK);
    event_base_free(base);
}
