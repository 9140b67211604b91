#include "eject.h"

void
eject_init(struct eject *eject)
{
    *eject = (struct eject){.next_ms = EJECT_FIRST_MS};
}

static void
add_sample(struct eject *eject, double failed)
{
    eject->share += EJECT_SAMPLE_WEIGHT * (failed - eject->share);
    if (eject->samples < UINT32_MAX) {
        eject->samples++;
    }
}

static void
put_out(struct eject *eject, int64_t now_ms)
{
    eject->until_ms = now_ms + eject->next_ms;
    eject->next_ms = 2 * eject->next_ms < EJECT_LONGEST_MS ? 2 * eject->next_ms
                                                           : EJECT_LONGEST_MS;
    eject->trial = true;
    eject->row = 0;
}

bool
eject_success(struct eject *eject)
{
    bool proved = eject->trial;

    add_sample(eject, 0);
    eject->row = 0;
    if (proved) {
        eject->trial = false;
        eject->until_ms = 0;
        eject->share = 0;
        eject->samples = 0;
    }
    else if (eject->samples > 4 * EJECT_SAMPLES_MIN) {
        eject->next_ms = EJECT_FIRST_MS;
    }
    return proved;
}

bool
eject_failure(struct eject *eject, int64_t now_ms, double pool_share)
{
    uint32_t row_max = pool_share > EJECT_FAILING_POOL_SHARE
                           ? EJECT_ROW_MAX_FAILING_POOL
                           : EJECT_ROW_MAX;

    add_sample(eject, 1);
    eject->row++;
    if (now_ms < eject->until_ms) {
        return false;
    }
    if (!eject->trial && eject->row < row_max &&
        (eject->samples < EJECT_SAMPLES_MIN ||
         eject->share < pool_share + EJECT_SHARE_MARGIN)) {
        return false;
    }
    put_out(eject, now_ms);
    return true;
}

bool
eject_down(struct eject *eject, int64_t now_ms)
{
    add_sample(eject, 1);
    if (now_ms < eject->until_ms) {
        return false;
    }
    put_out(eject, now_ms);
    return true;
}

void
eject_doubt(struct eject *eject)
{
    eject->trial = true;
}

bool
eject_is_out(const struct eject *eject, int64_t now_ms, uint32_t in_flight)
{
    return now_ms < eject->until_ms || (eject->trial && in_flight > 0);
}
