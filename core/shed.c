#include "shed.h"

#include <math.h>
#include <stdlib.h>

/// A share below this one is none.
#define SHARE_MIN 0.01
/// Of a request's objective in the mean.
#define OBJECTIVE_WEIGHT 0.1
/// Without any request the share falls to this part of itself a step.
#define IDLE_PART 0.5
/// Growth of the admitted share while requests come and none is admitted.
#define BLIND_GROWTH_PER_S 1.5

static void
add(struct shed *shed, double delay, int64_t objective_ms)
{
    double weight = shed->objective_ms > 0 ? OBJECTIVE_WEIGHT : 1;

    // With more samples than room, the latest ones count.
    shed->samples[shed->count++ % SHED_SAMPLES_MAX] =
        (float)fmin(delay, SHED_DELAY_MAX);
    shed->objective_ms += weight * ((double)objective_ms - shed->objective_ms);
}

void
shed_note(struct shed *shed, int64_t delay_ms, int64_t objective_ms)
{
    if (objective_ms > 0) {
        add(shed, (double)delay_ms / (double)objective_ms, objective_ms);
    }
}

void
shed_note_full(struct shed *shed, int64_t objective_ms)
{
    if (objective_ms > 0) {
        add(shed, SHED_DELAY_MAX, objective_ms);
    }
}

static int
compare(const void *a, const void *b)
{
    float left = *(const float *)a;
    float right = *(const float *)b;

    return left < right ? -1 : left > right;
}

static double
quantile(struct shed *shed)
{
    size_t count =
        shed->count < SHED_SAMPLES_MAX ? shed->count : SHED_SAMPLES_MAX;

    qsort(shed->samples, count, sizeof(shed->samples[0]), compare);
    return shed->samples[(size_t)(SHED_QUANTILE * (double)(count - 1))];
}

static bool
is_due(const struct shed *shed, int64_t passed_ms)
{
    size_t samples = shed->share > 0 ? SHED_SAMPLES_MIN : SHED_START_SAMPLES;
    int64_t longest_ms = shed->share > 0 ? SHED_STEP_MAX_MS : SHED_START_MS;

    return passed_ms >= longest_ms ||
           (passed_ms >= SHED_STEP_MS && shed->count >= samples);
}

/// The admitted share by what the samples show.
static double
admitted_share(struct shed *shed, int64_t passed_ms)
{
    double delay = quantile(shed);
    double pace = delay < SHED_IDLE ? SHED_IDLE_FACTOR : 1;
    double change = pace * SHED_INTEGRAL * (delay - SHED_TARGET) *
                        (double)passed_ms / shed->objective_ms +
                    SHED_PROPORTIONAL * (delay - shed->delay);
    double weight = fmin(1, (double)shed->count / SHED_SAMPLES_MIN);
    bool starts = delay > SHED_TARGET && shed->count >= SHED_START_SAMPLES;

    shed->delay = delay;
    if (shed->share == 0 && !starts) {
        return 1;
    }
    return (1 - shed->share) * exp(-weight * change);
}

bool
shed_update(struct shed *shed, int64_t now_ms)
{
    int64_t passed_ms = now_ms - shed->since_ms;
    double before = shed->share;

    if (!is_due(shed, passed_ms)) {
        return false;
    }
    // A process that stood still has not measured for that long.
    if (passed_ms > SHED_STEP_MAX_MS) {
        passed_ms = SHED_STEP_MAX_MS;
    }
    if (shed->count > 0) {
        shed->share = 1 - admitted_share(shed, passed_ms);
    }
    else if (shed->asked) {
        // Nothing is admitted that would show the delay.
        shed->share = 1 - (1 - shed->share) * exp(BLIND_GROWTH_PER_S *
                                                  (double)passed_ms / 1000);
    }
    else {
        shed->share *= IDLE_PART;
        shed->delay = 0;
    }
    shed->since_ms = now_ms;
    shed->count = 0;
    shed->asked = false;
    shed->share = fmin(shed->share, SHED_SHARE_MAX);
    if (shed->share < SHARE_MIN) {
        shed->share = 0;
    }
    return shed->share != before;
}

bool
shed_refuses(struct shed *shed, const struct random_source *random,
             double share_min, bool is_late)
{
    double share =
        fmax(shed->share, share_min) * (is_late ? SHED_LATE_FACTOR : 1);

    shed->asked = true;
    return share > 0 && random_unit(random) < fmin(share, SHED_SHARE_MAX);
}
