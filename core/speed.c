#include "speed.h"

#include <math.h>

void
speed_add_stated(struct speed *speed, uint32_t percent, int64_t now_ms)
{
    speed->has_stated = true;
    speed->stated =
        fmin(fmax(percent / 100.0, SPEED_SLOW_DOWN_MIN), SPEED_SLOW_DOWN_MAX);
    speed->stated_ms = now_ms;
}

/// Weight of a figure by its age: 1 if new, 0 after SPEED_EXPIRY_MS.
static double
freshness(int64_t figure_ms, int64_t now_ms)
{
    double age_ms = fmax(0, (double)(now_ms - figure_ms));

    return fmax(0, 1 - age_ms / SPEED_EXPIRY_MS);
}

static bool
count_contradiction(struct speed *speed, double ratio, int64_t now_ms)
{
    if (ratio < SPEED_CONTRADICTION_RATIO) {
        speed->contradictions = 0;
        speed->is_contradicted = false;
        return false;
    }
    if (!speed->has_stated || speed->stated > SPEED_CONTRADICTED_MAX ||
        now_ms - speed->stated_ms > SPEED_CONTRADICTION_AGE_MS) {
        return false;
    }
    speed->contradictions++;
    if (speed->is_contradicted ||
        speed->contradictions < SPEED_CONTRADICTIONS) {
        return false;
    }
    speed->is_contradicted = true;
    return true;
}

bool
speed_add_gap(struct speed *speed, double ratio, int64_t now_ms)
{
    double bounded = fmin(fmax(ratio, 1), SPEED_GAP_RATIO_MAX);

    if (freshness(speed->gap_ms, now_ms) == 0) {
        speed->gaps = bounded;
    }
    speed->gaps += SPEED_GAP_SAMPLE_WEIGHT * (bounded - speed->gaps);
    speed->gap_ms = now_ms;
    return count_contradiction(speed, ratio, now_ms);
}

double
speed_slow_down(const struct speed *speed, int64_t now_ms)
{
    double stated_weight;
    double gap_weight;

    if (!speed->has_stated) {
        return 1;
    }
    stated_weight =
        speed->is_contradicted ? 0 : freshness(speed->stated_ms, now_ms);
    gap_weight = (1 - stated_weight) * SPEED_GAP_WEIGHT *
                 freshness(speed->gap_ms, now_ms);
    return 1 + stated_weight * (speed->stated - 1) +
           gap_weight * (speed->gaps - 1);
}

const char *
speed_fault_name(enum speed_fault fault)
{
    static const char *const names[] = {
        [SPEED_OUT_OF_RANGE] = "out-of-range",
        [SPEED_MISSING] = "missing",
        [SPEED_CONTRADICTED] = "contradicted",
    };

    return names[fault];
}
