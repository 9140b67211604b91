#include "input.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/ioctl.h>

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
    deferral->until_bytes = 0;
    return false;
}
