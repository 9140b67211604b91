#include "dandelionvalve/breaker.h"

void
breaker_init(struct breaker *breaker, const struct breaker_options *options)
{
    *breaker = (struct breaker){
        .options = *options,
        .next_open_ms = options->open_min_ms,
    };
}

void
breaker_success(struct breaker *breaker)
{
    breaker->failures = 0;
    breaker->next_open_ms = breaker->options.open_min_ms;
    breaker->open_until_ms = 0;
}

void
breaker_failure(struct breaker *breaker)
{
    // Runs that were under way when it opened tell nothing new.
    if (breaker_is_open(breaker)) {
        return;
    }
    breaker->failures++;
    if (breaker->failures < breaker->options.failures_max) {
        return;
    }
    breaker->open_until_ms =
        clock_ms(breaker->options.clock) + breaker->next_open_ms;
    breaker->next_open_ms *= 2;
    if (breaker->next_open_ms > breaker->options.open_max_ms) {
        breaker->next_open_ms = breaker->options.open_max_ms;
    }
}

bool
breaker_is_open(const struct breaker *breaker)
{
    return clock_ms(breaker->options.clock) < breaker->open_until_ms;
}
