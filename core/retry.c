#include "dandelionvalve/retry.h"

#include <stddef.h>

void
retry_init(struct retry_budget *budget, const struct retry_options *options)
{
    *budget = (struct retry_budget){.options = *options};
}

void
retry_set_options(struct retry_budget *budget,
                  const struct retry_options *options)
{
    budget->options = *options;
}

static size_t
advance(struct retry_budget *budget)
{
    int64_t bucket_ms = budget->options.window_ms / RETRY_BUCKETS;
    int64_t bucket =
        clock_ms(budget->options.clock) / (bucket_ms > 0 ? bucket_ms : 1);
    int64_t passed = bucket - budget->current;

    if (passed < 0 || passed > RETRY_BUCKETS) {
        passed = RETRY_BUCKETS;
    }
    for (int64_t i = 0; i < passed; i++) {
        size_t stale = (size_t)((bucket - i) % RETRY_BUCKETS);

        budget->requests[stale] = 0;
        budget->retries[stale] = 0;
    }
    budget->current = bucket;
    return (size_t)(bucket % RETRY_BUCKETS);
}

void
retry_count_request(struct retry_budget *budget)
{
    budget->requests[advance(budget)]++;
}

bool
retry_take(struct retry_budget *budget)
{
    size_t bucket = advance(budget);
    uint64_t requests = 0;
    uint64_t retries = 0;

    for (size_t i = 0; i < RETRY_BUCKETS; i++) {
        requests += budget->requests[i];
        retries += budget->retries[i];
    }
    if ((retries + 1) * 100 >
        requests * (uint64_t)budget->options.budget_percent +
            100 * (uint64_t)budget->options.slack) {
        return false;
    }
    budget->retries[bucket]++;
    return true;
}
