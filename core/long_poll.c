#include "long_poll.h"

int64_t
long_poll_begin(struct long_poll *poll, int64_t wait_ms, int64_t now_ms)
{
    *poll = (struct long_poll){
        .deadline_ms = now_ms + wait_ms + LONG_POLL_TIMEOUT_MS,
    };
    return wait_ms + LONG_POLL_LATE_MS;
}

void
long_poll_progress(struct long_poll *poll)
{
    poll->progressed = true;
    poll->is_late = false;
}

void
long_poll_end(struct long_poll *poll)
{
    *poll = (struct long_poll){0};
}

int64_t
long_poll_check(struct long_poll *poll, int64_t now_ms)
{
    int64_t left_ms = poll->deadline_ms - now_ms;

    if (left_ms <= 0) {
        return 0;
    }
    poll->is_late = !poll->progressed;
    poll->progressed = false;
    return left_ms < LONG_POLL_LATE_MS ? left_ms : LONG_POLL_LATE_MS;
}
