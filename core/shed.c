#include "shed.h"

#include <math.h>
#include <stdlib.h>

/// A smaller refused share is set to 0.
#define REFUSED_SHARE_MIN 0.01
/// Weight of a request's objective in their moving average.
#define OBJECTIVE_WEIGHT 0.1
/// Factor of the refused share in a step without requests.
#define IDLE_DECAY 0.5
/// Growth rate of the admitted share while requests are received and there are
/// no samples.
#define NO_SAMPLE_GROWTH_PER_S 1.5

static void
add_sample(struct shed *shed, double delay, int64_t objective_ms)
{
    double weight = shed->objective_ms > 0 ? OBJECTIVE_WEIGHT : 1;

    // The latest samples replace the oldest ones.
    shed->samples[shed->count++ % SHED_SAMPLES_MAX] =
        (float)fmin(delay, SHED_DELAY_MAX);
    shed->objective_ms += weight * ((double)objective_ms - shed->objective_ms);
}

void
shed_add_delay(struct shed *shed, int64_t delay_ms, int64_t objective_ms)
{
    if (objective_ms > 0) {
        add_sample(shed, (double)delay_ms / (double)objective_ms,
                   objective_ms);
    }
}

void
shed_add_full(struct shed *shed, int64_t objective_ms)
{
    if (objective_ms > 0) {
        add_sample(shed, SHED_DELAY_MAX, objective_ms);
    }
}

static int
compare_floats(const void *a, const void *b)
{
    float left = *(const float *)a;
    float right = *(const float *)b;

    return left < right ? -1 : left > right;
}

static double
delay_quantile(struct shed *shed)
{
    size_t count =
        shed->count < SHED_SAMPLES_MAX ? shed->count : SHED_SAMPLES_MAX;

    qsort(shed->samples, count, sizeof(shed->samples[0]), compare_floats);
    return shed->samples[(size_t)(SHED_QUANTILE * (double)(count - 1))];
}

static bool
is_step_due(const struct shed *shed, int64_t elapsed_ms)
{
    size_t samples =
        shed->refused_share > 0 ? SHED_SAMPLES_MIN : SHED_START_SAMPLES_MIN;
    int64_t step_max_ms =
        shed->refused_share > 0 ? SHED_STEP_MAX_MS : SHED_START_MAX_MS;

    return elapsed_ms >= step_max_ms ||
           (elapsed_ms >= SHED_STEP_MIN_MS && shed->count >= samples);
}

/// Returns the admitted share that follows from the samples of the step.
static double
admitted_share(struct shed *shed, int64_t elapsed_ms)
{
    double delay = delay_quantile(shed);
    double gain_factor = delay < SHED_IDLE_DELAY ? SHED_IDLE_GAIN_FACTOR : 1;
    double change = gain_factor * SHED_INTEGRAL_GAIN *
                        (delay - SHED_TARGET_DELAY) * (double)elapsed_ms /
                        shed->objective_ms +
                    SHED_PROPORTIONAL_GAIN * (delay - shed->delay);
    double weight = fmin(1, (double)shed->count / SHED_SAMPLES_MIN);
    bool may_start =
        delay > SHED_TARGET_DELAY && shed->count >= SHED_START_SAMPLES_MIN;

    shed->delay = delay;
    if (shed->refused_share == 0 && !may_start) {
        return 1;
    }
    return (1 - shed->refused_share) * exp(-weight * change);
}

bool
shed_update(struct shed *shed, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - shed->step_start_ms;
    double old_share = shed->refused_share;

    if (!is_step_due(shed, elapsed_ms)) {
        return false;
    }
    // A process that was stopped has no samples of that time.
    if (elapsed_ms > SHED_STEP_MAX_MS) {
        elapsed_ms = SHED_STEP_MAX_MS;
    }
    if (shed->count > 0) {
        shed->refused_share = 1 - admitted_share(shed, elapsed_ms);
    }
    else if (shed->has_requests) {
        // No request was admitted, so the delay is unknown.
        shed->refused_share =
            1 - (1 - shed->refused_share) *
                    exp(NO_SAMPLE_GROWTH_PER_S * (double)elapsed_ms / 1000);
    }
    else {
        shed->refused_share *= IDLE_DECAY;
        shed->delay = 0;
    }
    shed->step_start_ms = now_ms;
    shed->count = 0;
    shed->has_requests = false;
    shed->refused_share = fmin(shed->refused_share, SHED_SHARE_MAX);
    if (shed->refused_share < REFUSED_SHARE_MIN) {
        shed->refused_share = 0;
    }
    return shed->refused_share != old_share;
}

double
shed_share(struct shed *shed, double share_min)
{
    shed->has_requests = true;
    return fmin(fmax(shed->refused_share, share_min), SHED_SHARE_MAX);
}

double
shed_late_share(double share)
{
    return fmin(share * SHED_LATE_FACTOR, SHED_SHARE_MAX);
}

double
shed_refused_share(struct shed *shed, double share_min, bool is_late)
{
    double share = shed_share(shed, share_min);

    return is_late ? shed_late_share(share) : share;
}

bool
shed_refuses(struct shed *shed, const struct random_source *random,
             double share_min, bool is_late)
{
    double share = shed_refused_share(shed, share_min, is_late);

    return share > 0 && random_unit(random) < share;
}
