#include "input.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <poll.h>
#include <sys/ioctl.h>

/// Passes of the event loop in which the end of a connection is reported.
#define END_PASSES_MAX 8

size_t
input_unread(struct bufferevent *bufferevent)
{
    size_t buffered = evbuffer_get_length(bufferevent_get_input(bufferevent));
    int waiting = 0;

    if (ioctl(bufferevent_getfd(bufferevent), FIONREAD, &waiting) < 0) {
        return buffered;
    }
    return buffered + (size_t)waiting;
}

static bool
has_ended(struct bufferevent *bufferevent)
{
    struct pollfd socket = {
        .fd = bufferevent_getfd(bufferevent),
        .events = POLLRDHUP,
    };

    return poll(&socket, 1, 0) > 0;
}

bool
input_defer_timeout(struct input_deferral *deferral,
                    struct bufferevent *bufferevent)
{
    size_t unread = input_unread(bufferevent);

    if (deferral->until_bytes == 0 && unread > 0) {
        deferral->until_bytes = deferral->read_bytes + unread;
    }
    if (unread > 0 && deferral->read_bytes < deferral->until_bytes) {
        return true;
    }
    if (unread == 0 && deferral->end_passes < END_PASSES_MAX &&
        has_ended(bufferevent)) {
        deferral->end_passes++;
        return true;
    }
    deferral->until_bytes = 0;
    return false;
}
