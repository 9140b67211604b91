#include "sliding.h"

#include "core/xmalloc.h"

void
sliding_reset(struct sliding *sliding, int64_t length_ms)
{
    sliding->length_ms = length_ms;
    sliding->count = 0;
    sliding->first = 0;
    sliding->most = 0;
}

void
sliding_add(struct sliding *sliding, int64_t at_ms)
{
    size_t within;

    INVARIANT(sliding->count < SLIDING_MAX);
    sliding->at_ms[sliding->count++] = at_ms;
    while (at_ms - sliding->at_ms[sliding->first] >= sliding->length_ms) {
        sliding->first++;
    }
    within = sliding->count - sliding->first;
    sliding->most = within > sliding->most ? within : sliding->most;
}
