#include "decay.h"

#include <math.h>

double
decay_value(const struct decaying_count *count, int64_t now_ms,
            double window_ms)
{
    return count->value *
           exp(-(double)(now_ms - count->updated_ms) / window_ms);
}

double
decay_add(struct decaying_count *count, int64_t now_ms, double window_ms,
          double amount)
{
    count->value = decay_value(count, now_ms, window_ms) + amount;
    count->updated_ms = now_ms;
    return count->value;
}
