#include "dandelionvalve/quarantine.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

struct struck {
    uint64_t fingerprint;
    uint32_t deaths[QUARANTINE_DEATHS_MAX];
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

static struct struck *
add(struct quarantine *quarantine, uint64_t fingerprint)
{
    struct struck *struck;

    if (HASH_COUNT(quarantine->by_fingerprint) >=
            quarantine->options.requests_max &&
        quarantine->by_age != NULL) {
        forget(quarantine, quarantine->by_age);
    }
    struck = xcalloc(1, sizeof(*struck));
    struck->fingerprint = fingerprint;
    HASH_ADD(hh, quarantine->by_fingerprint, fingerprint,
             sizeof(struck->fingerprint), struck);
    DL_APPEND(quarantine->by_age, struck);
    return struck;
}

static bool
knows_death(const struct struck *struck, uint32_t death)
{
    for (uint32_t i = 0; i < struck->strikes; i++) {
        if (struck->deaths[i] == death) {
            return true;
        }
    }
    return false;
}

bool
quarantine_strike(struct quarantine *quarantine, uint64_t fingerprint,
                  uint32_t death)
{
    struct struck *struck;

    drop_old(quarantine);
    struck = find(quarantine, fingerprint);
    if (struck == NULL) {
        struck = add(quarantine, fingerprint);
    }
    if (knows_death(struck, death) ||
        struck->strikes == QUARANTINE_DEATHS_MAX) {
        return false;
    }
    struck->deaths[struck->strikes++] = death;
    struck->until_ms =
        clock_ms(quarantine->options.clock) + quarantine->options.hold_ms;
    DL_DELETE(quarantine->by_age, struck);
    DL_APPEND(quarantine->by_age, struck);
    return true;
}

uint32_t
quarantine_strikes(const struct quarantine *quarantine, uint64_t fingerprint)
{
    const struct struck *struck = find(quarantine, fingerprint);

    return struck != NULL ? struck->strikes : 0;
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
quarantine_count(const struct quarantine *quarantine)
{
    return HASH_COUNT(quarantine->by_fingerprint);
}
