#include "patience.h"

/// Pause that is taken where the route states none.
#define PAUSE_DEFAULT_MS 1000

int64_t
patience_silence_ms(const struct patience_inputs *inputs)
{
    int64_t pause_ms =
        inputs->pause_ms > 0 ? inputs->pause_ms : PAUSE_DEFAULT_MS;
    int64_t silence_ms;

    if (inputs->answering) {
        silence_ms = pause_ms * PATIENCE_PAUSE_PERCENT / 100;
    }
    else {
        silence_ms = inputs->objective_ms * PATIENCE_OBJECTIVE_PERCENT / 100 +
                     2 * inputs->reading_ms;
    }
    return silence_ms < PATIENCE_SILENCE_MIN_MS ? PATIENCE_SILENCE_MIN_MS
                                                : silence_ms;
}

int64_t
patience_knowledge_ms(int64_t age_ms, int64_t left_ms)
{
    int64_t longest_ms = left_ms / PATIENCE_LEFT_PART;

    if (age_ms >= PATIENCE_START_MS || longest_ms <= 0) {
        return 0;
    }
    return longest_ms < PATIENCE_KNOWLEDGE_MS ? longest_ms
                                              : PATIENCE_KNOWLEDGE_MS;
}

int64_t
patience_usual_ms(int64_t usual_ms, int64_t stated_ms)
{
    if (stated_ms >= usual_ms) {
        return stated_ms;
    }
    return usual_ms -
           (usual_ms - stated_ms) * PATIENCE_USUAL_WEIGHT_PERCENT / 100;
}

bool
patience_is_late(int64_t usual_ms, int64_t stated_ms, int64_t objective_ms)
{
    return usual_ms - stated_ms >
           objective_ms * (100 - PATIENCE_NEEDED_PERCENT) / 100;
}

int64_t
patience_retry_after_ms(const struct random_source *random, int64_t left_ms)
{
    int64_t longest_ms = left_ms / PATIENCE_LEFT_PART;
    int64_t spread_ms = PATIENCE_RETRY_SPREAD_MS;

    if (longest_ms <= PATIENCE_RETRY_MIN_MS) {
        return longest_ms > 0 ? longest_ms : 0;
    }
    if (spread_ms > longest_ms - PATIENCE_RETRY_MIN_MS) {
        spread_ms = longest_ms - PATIENCE_RETRY_MIN_MS;
    }
    return PATIENCE_RETRY_MIN_MS +
           (int64_t)random_below(random, (uint64_t)spread_ms + 1);
}
