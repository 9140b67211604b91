#include "hold.h"

bool
hold_extend(struct hold *hold, int64_t now_ms, int64_t wait_ms)
{
    if (wait_ms <= 0 || wait_ms > HOLD_MAX_MS ||
        now_ms + wait_ms <= hold->until_ms) {
        return false;
    }
    hold->until_ms = now_ms + wait_ms;
    return true;
}

int64_t
hold_left_ms(const struct hold *hold, int64_t now_ms)
{
    return hold->until_ms > now_ms ? hold->until_ms - now_ms : 0;
}
