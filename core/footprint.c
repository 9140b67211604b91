#include "footprint.h"

#include <math.h>

/// The estimate, bounded by the maximum.
static double
bounded_hint(const struct footprint_output *output)
{
    double max = output->max > 0 ? output->max : FOOTPRINT_OUTPUT_TOKENS_MAX;

    return fmin(fmax(output->hint, FOOTPRINT_OUTPUT_TOKENS_MIN), max);
}

void
footprint_add_answer(struct footprint_lengths *lengths,
                     const struct footprint_output *output, uint64_t events)
{
    double log_ratio;
    double weight;
    double ratio;

    if (!output->has_hint || events == 0) {
        return;
    }
    lengths->samples += lengths->samples < UINT32_MAX ? 1 : 0;
    weight = fmax(1.0 / lengths->samples, FOOTPRINT_ANSWER_WEIGHT);
    log_ratio = log((double)events / bounded_hint(output));
    lengths->log_ratio += weight * (log_ratio - lengths->log_ratio);
    ratio = fmin(exp(log_ratio - lengths->log_ratio), FOOTPRINT_RATIO_MAX);
    lengths->factor += weight * (ratio - lengths->factor);
}

double
footprint_expect_output(const struct footprint_lengths *lengths,
                        const struct footprint_output *output)
{
    double max = output->max > 0 ? output->max : FOOTPRINT_OUTPUT_TOKENS_MAX;
    double factor = fmin(fmax(lengths->factor, 1), FOOTPRINT_FACTOR_MAX);

    return output->has_hint ? fmin(factor * bounded_hint(output), max)
                            : output->max / 2.0;
}

void
footprint_add(struct footprint *footprint, double tokens)
{
    footprint->held_tokens += tokens;
    footprint->mean_tokens =
        footprint->mean_tokens == 0
            ? tokens
            : footprint->mean_tokens +
                  FOOTPRINT_MEAN_WEIGHT * (tokens - footprint->mean_tokens);
}

void
footprint_remove(struct footprint *footprint, double tokens)
{
    footprint->held_tokens = fmax(0, footprint->held_tokens - tokens);
}

bool
footprint_fits(double held_tokens, double tokens, double capacity)
{
    return held_tokens + tokens <= FOOTPRINT_SHARE_MAX * capacity;
}
