#include "senders.h"

#include <stdlib.h>

#include "core/senders.h"
#include "core/xmalloc.h"

/// Wait that is stated to callers while this router does not know when it will
/// be linked to enough others.
#define UNLINKED_WAIT_MS 1000

struct senders {
    struct senders_options options;
    struct sender_standing standing;
};

struct senders *
senders_new(const struct senders_options *options)
{
    struct senders *senders = xcalloc(1, sizeof(*senders));

    senders->options = *options;
    return senders;
}

void
senders_free(struct senders *senders)
{
    free(senders);
}

void
senders_update_standing(struct senders *senders, size_t known, size_t linked,
                        size_t links_enough)
{
    sender_standing_update(&senders->standing,
                           clock_ms(senders->options.clock), known, linked,
                           links_enough);
}

int64_t
senders_standing_wait_ms(const struct senders *senders)
{
    int64_t wait_ms = sender_standing_wait_ms(
        &senders->standing, clock_ms(senders->options.clock),
        senders->options.settle_ms(senders->options.ctx));

    return wait_ms < 0 ? UNLINKED_WAIT_MS : wait_ms;
}

size_t
senders_rank(const struct senders *senders, uint64_t endpoint, size_t *routers)
{
    return senders->options.rank(senders->options.ctx, endpoint, routers);
}

bool
senders_include(const struct senders *senders, uint64_t endpoint, size_t count)
{
    return senders->options.is_among(senders->options.ctx, endpoint, count);
}
