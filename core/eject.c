#include "eject.h"

void
eject_init(struct eject *eject)
{
    *eject = (struct eject){.next_duration_ms = EJECT_DURATION_MIN_MS};
}

static void
add_sample(struct eject *eject, double failed)
{
    eject->failure_share +=
        EJECT_SAMPLE_WEIGHT * (failed - eject->failure_share);
    if (eject->samples < UINT32_MAX) {
        eject->samples++;
    }
}

static void
begin_ejection(struct eject *eject, int64_t now_ms)
{
    eject->ejected_until_ms = now_ms + eject->next_duration_ms;
    eject->next_duration_ms =
        2 * eject->next_duration_ms < EJECT_DURATION_MAX_MS
            ? 2 * eject->next_duration_ms
            : EJECT_DURATION_MAX_MS;
    eject->trial = true;
    eject->trial_since_ms = eject->ejected_until_ms;
    eject->consecutive_failures = 0;
}

bool
eject_success(struct eject *eject)
{
    bool trial_passed = eject->trial;

    add_sample(eject, 0);
    eject->consecutive_failures = 0;
    if (trial_passed) {
        eject->trial = false;
        eject->ejected_until_ms = 0;
        eject->failure_share = 0;
        eject->samples = 0;
    }
    else if (eject->samples > 4 * EJECT_SAMPLES_MIN) {
        eject->next_duration_ms = EJECT_DURATION_MIN_MS;
    }
    return trial_passed;
}

bool
eject_failure(struct eject *eject, int64_t now_ms, double pool_share)
{
    uint32_t consecutive_max = pool_share > EJECT_FAILING_POOL_SHARE
                                   ? EJECT_CONSECUTIVE_MAX_FAILING_POOL
                                   : EJECT_CONSECUTIVE_MAX;

    add_sample(eject, 1);
    eject->consecutive_failures++;
    if (now_ms < eject->ejected_until_ms) {
        return false;
    }
    if (!eject->trial && eject->consecutive_failures < consecutive_max &&
        (eject->samples < EJECT_SAMPLES_MIN ||
         eject->failure_share < pool_share + EJECT_FAILURE_SHARE_MARGIN)) {
        return false;
    }
    begin_ejection(eject, now_ms);
    return true;
}

bool
eject_connect_failure(struct eject *eject, int64_t now_ms)
{
    add_sample(eject, 1);
    if (now_ms < eject->ejected_until_ms) {
        return false;
    }
    begin_ejection(eject, now_ms);
    return true;
}

void
eject_begin_trial(struct eject *eject, int64_t now_ms)
{
    if (!eject->trial) {
        eject->trial = true;
        eject->trial_since_ms = now_ms;
    }
}

bool
eject_spares_once(const struct eject *eject, int64_t now_ms)
{
    return eject->trial &&
           now_ms < eject->trial_since_ms + EJECT_SPARE_ONCE_MS;
}

bool
eject_is_blocked(const struct eject *eject, int64_t now_ms, uint32_t in_flight)
{
    return now_ms < eject->ejected_until_ms || (eject->trial && in_flight > 0);
}
