/// A pause after a failed accept(): the connection stays in the backlog, and
/// the failure would be repeated at once, without end.
#pragma once

struct counters;
struct event;
struct event_base;
struct evconnlistener;

struct accept_pause {
    struct event *timer;
    struct evconnlistener *listener;
};

/// The listener must outlive the pause.
void accept_pause_init(struct accept_pause *pause, struct event_base *base,
                       struct evconnlistener *listener);
void accept_pause_destroy(struct accept_pause *pause);

/// Call it from the listener's error callback. `counters` may be NULL.
void accept_pause_begin(struct accept_pause *pause, struct counters *counters);
