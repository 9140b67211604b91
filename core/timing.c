#include "timing.h"

/// Used if the route sets no target gap between events.
#define GAP_TARGET_DEFAULT_MS 1000

int64_t
timing_silence_timeout_ms(const struct timing_silence_inputs *inputs)
{
    int64_t gap_target_ms = inputs->gap_target_ms > 0 ? inputs->gap_target_ms
                                                      : GAP_TARGET_DEFAULT_MS;
    int64_t silence_ms;

    if (inputs->has_started) {
        silence_ms = gap_target_ms * TIMING_GAP_PERCENT / 100;
    }
    else {
        silence_ms = inputs->objective_ms * TIMING_OBJECTIVE_PERCENT / 100 +
                     2 * inputs->prefill_ms;
    }
    return silence_ms < TIMING_SILENCE_MIN_MS ? TIMING_SILENCE_MIN_MS
                                              : silence_ms;
}

int64_t
timing_startup_wait_ms(int64_t uptime_ms, int64_t remaining_ms)
{
    int64_t wait_max_ms = remaining_ms / TIMING_REMAINING_DIVISOR;

    if (uptime_ms >= TIMING_STARTUP_MS || wait_max_ms <= 0) {
        return 0;
    }
    return wait_max_ms < TIMING_STARTUP_WAIT_MAX_MS
               ? wait_max_ms
               : TIMING_STARTUP_WAIT_MAX_MS;
}

int64_t
timing_typical_deadline_ms(int64_t typical_ms, int64_t deadline_ms)
{
    if (deadline_ms >= typical_ms) {
        return deadline_ms;
    }
    return typical_ms -
           (typical_ms - deadline_ms) * TIMING_TYPICAL_WEIGHT_PERCENT / 100;
}

bool
timing_is_late(int64_t typical_ms, int64_t deadline_ms, int64_t objective_ms)
{
    return typical_ms - deadline_ms >
           objective_ms * (100 - TIMING_NEEDED_PERCENT) / 100;
}

bool
timing_is_returning(int64_t typical_ms, int64_t deadline_ms)
{
    return typical_ms - deadline_ms >= TIMING_RETRY_AFTER_MIN_MS;
}

int64_t
timing_retry_after_ms(const struct random_source *random, int64_t remaining_ms)
{
    return timing_retry_after_from_ms(random, remaining_ms, 0);
}

int64_t
timing_retry_after_from_ms(const struct random_source *random,
                           int64_t remaining_ms, int64_t earliest_ms)
{
    int64_t wait_max_ms = remaining_ms / TIMING_REMAINING_DIVISOR;
    int64_t jitter_ms = TIMING_RETRY_AFTER_JITTER_MS;
    int64_t from_ms =
        earliest_ms < wait_max_ms / 2 ? earliest_ms : wait_max_ms / 2;

    if (wait_max_ms <= TIMING_RETRY_AFTER_MIN_MS) {
        return wait_max_ms > 0 ? wait_max_ms : 0;
    }
    if (from_ms < TIMING_RETRY_AFTER_MIN_MS) {
        from_ms = TIMING_RETRY_AFTER_MIN_MS;
    }
    if (jitter_ms > wait_max_ms - from_ms) {
        jitter_ms = wait_max_ms - from_ms;
    }
    return from_ms + (int64_t)random_below(random, (uint64_t)jitter_ms + 1);
}
