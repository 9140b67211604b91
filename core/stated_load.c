#include "stated_load.h"

static void
note(struct stated_load *stated, uint32_t load, int64_t at_ms)
{
    stated->load = load;
    stated->at_ms = at_ms;
}

void
stated_load_answered(struct stated_load *stated, uint32_t load, uint32_t slots,
                     int64_t now_ms)
{
    bool is_busy =
        slots > 0 && load >= (slots + STATED_LOAD_SLOTS_DIVISOR - 1) /
                                 STATED_LOAD_SLOTS_DIVISOR;

    note(stated, is_busy ? load : 0, now_ms);
    stated->report_due = is_busy;
}

void
stated_load_reported(struct stated_load *stated, uint32_t load, int64_t at_ms,
                     int64_t now_ms)
{
    if (at_ms <= stated->at_ms || now_ms - at_ms >= STATED_LOAD_HOLD_MS) {
        return;
    }
    note(stated, load, at_ms);
    stated->report_due = true;
}

bool
stated_load_take_report(struct stated_load *stated, int64_t now_ms,
                        int64_t interval_ms)
{
    if (!stated->report_due || now_ms - stated->reported_ms < interval_ms) {
        return false;
    }
    stated->report_due = false;
    stated->reported_ms = now_ms;
    return stated_load_now(stated, now_ms) > 0;
}

uint32_t
stated_load_now(const struct stated_load *stated, int64_t now_ms)
{
    return now_ms - stated->at_ms < STATED_LOAD_HOLD_MS ? stated->load : 0;
}
