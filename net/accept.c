#include "accept.h"

#include <string.h>

#include <event2/event.h>
#include <event2/listener.h>

#include "dandelionvalve/counter.h"
#include "log.h"
#include "timer.h"

#define LOG_MODULE "accept"

/// Connections that end meanwhile make descriptors available.
#define PAUSE_MS 50

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct accept_pause *pause = ctx;

    (void)fd;
    (void)events;
    evconnlistener_enable(pause->listener);
}

void
accept_pause_init(struct accept_pause *pause, struct event_base *base,
                  struct evconnlistener *listener)
{
    pause->listener = listener;
    pause->timer = event_new(base, -1, 0, on_timer, pause);
}

void
accept_pause_destroy(struct accept_pause *pause)
{
    if (pause->timer != NULL) {
        event_free(pause->timer);
        pause->timer = NULL;
    }
}

void
accept_pause_begin(struct accept_pause *pause, struct counters *counters)
{
    int error = EVUTIL_SOCKET_ERROR();

    evconnlistener_disable(pause->listener);
    timer_start(pause->timer, PAUSE_MS);
    if (counters != NULL) {
        counter_add(counters, COUNTER_ACCEPT_FAILED, 1);
    }
    LOG_WARNING("event=accept-failed detail=\"%s\" pause_ms=%d",
                strerror(error), PAUSE_MS);
}
