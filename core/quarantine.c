#include "dandelionvalve/quarantine.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

struct struck {
    uint64_t fingerprint;
    uint32_t strikes;
    int64_t until_ms;
    struct struck *prev;
    struct struck *next;
    UT_hash_handle hh;
};

struct quarantine {
    struct quarantine_options options;
    struct struck *by_fingerprint;
    struct struck *by_age;
};

struct quarantine *
quarantine_new(const struct quarantine_options *options)
{
    struct quarantine *quarantine = xcalloc(1, sizeof(*quarantine));

    quarantine->options = *options;
    return quarantine;
}

static void
forget(struct quarantine *quarantine, struct struck *struck)
{
    HASH_DEL(quarantine->by_fingerprint, struck);
    DL_DELETE(quarantine->by_age, struck);
    free(struck);
}

void
quarantine_free(struct quarantine *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    while (quarantine->by_age != NULL) {
        forget(quarantine, quarantine->by_age);
    }
    free(quarantine);
}

void
quarantine_set_options(struct quarantine *quarantine, uint32_t strikes_max,
                       int64_t hold_ms)
{
    quarantine->options.strikes_max = strikes_max;
    quarantine->options.hold_ms = hold_ms;
}

static void
drop_old(struct quarantine *quarantine)
{
    int64_t now = clock_ms(quarantine->options.clock);

    while (quarantine->by_age != NULL && quarantine->by_age->until_ms <= now) {
        forget(quarantine, quarantine->by_age);
    }
}

static struct struck *
find(const struct quarantine *quarantine, uint64_t fingerprint)
{
    struct struck *struck;

    HASH_FIND(hh, quarantine->by_fingerprint, &fingerprint,
              sizeof(fingerprint), struck);
    return struck;
}

static void
set(struct quarantine *quarantine, uint64_t fingerprint, uint32_t strikes)
{
    struct struck *struck = find(quarantine, fingerprint);

    if (struck != NULL) {
        forget(quarantine, struck);
    }
    else if (HASH_COUNT(quarantine->by_fingerprint) >=
                 quarantine->options.requests_max &&
             quarantine->by_age != NULL) {
        forget(quarantine, quarantine->by_age);
    }
    struck = xcalloc(1, sizeof(*struck));
    struck->fingerprint = fingerprint;
    struck->strikes = strikes;
    struck->until_ms =
        clock_ms(quarantine->options.clock) + quarantine->options.hold_ms;
    HASH_ADD(hh, quarantine->by_fingerprint, fingerprint,
             sizeof(struck->fingerprint), struck);
    DL_APPEND(quarantine->by_age, struck);
}

uint32_t
quarantine_strike(struct quarantine *quarantine, uint64_t fingerprint)
{
    const struct struck *struck;
    uint32_t strikes;

    drop_old(quarantine);
    struck = find(quarantine, fingerprint);
    strikes = struck != NULL ? struck->strikes + 1 : 1;
    set(quarantine, fingerprint, strikes);
    return strikes;
}

bool
quarantine_learn(struct quarantine *quarantine, uint64_t fingerprint,
                 uint32_t strikes)
{
    const struct struck *struck;

    drop_old(quarantine);
    struck = find(quarantine, fingerprint);
    if (struck != NULL && struck->strikes >= strikes) {
        return false;
    }
    set(quarantine, fingerprint, strikes);
    return true;
}

void
quarantine_clear(struct quarantine *quarantine, uint64_t fingerprint)
{
    struct struck *struck = find(quarantine, fingerprint);

    if (struck != NULL && struck->strikes < quarantine->options.strikes_max) {
        forget(quarantine, struck);
    }
}

enum quarantine_verdict
quarantine_check(struct quarantine *quarantine, uint64_t fingerprint)
{
    const struct struck *struck;

    drop_old(quarantine);
    struck = find(quarantine, fingerprint);
    if (struck == NULL) {
        return QUARANTINE_CLEAR;
    }
    return struck->strikes < quarantine->options.strikes_max
               ? QUARANTINE_ALONE
               : QUARANTINE_REFUSE;
}

size_t
quarantine_newest(const struct quarantine *quarantine,
                  struct quarantine_news *news, size_t max)
{
    const struct struck *struck = quarantine->by_age;
    size_t count = 0;

    // The list's head links back to its tail.
    if (struck == NULL) {
        return 0;
    }
    for (struck = struck->prev; count < max; struck = struck->prev) {
        news[count++] =
            (struct quarantine_news){struck->fingerprint, struck->strikes};
        if (struck == quarantine->by_age) {
            break;
        }
    }
    return count;
}

size_t
quarantine_count(const struct quarantine *quarantine)
{
    return HASH_COUNT(quarantine->by_fingerprint);
}
