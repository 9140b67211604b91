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
