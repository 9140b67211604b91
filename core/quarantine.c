#include "dandelionvalve/quarantine.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

struct entry {
    uint64_t fingerprint;
    uint32_t crash_ids[QUARANTINE_CRASHES_MAX];
    uint32_t strikes;
    int64_t expires_ms;
    struct entry *prev;
    struct entry *next;
    UT_hash_handle hh;
};

struct quarantine {
    struct quarantine_options options;
    struct entry *by_fingerprint;
    struct entry *by_last_strike; ///< oldest first
};

struct quarantine *
quarantine_new(const struct quarantine_options *options)
{
    struct quarantine *quarantine = xcalloc(1, sizeof(*quarantine));

    quarantine->options = *options;
    return quarantine;
}

static void
remove_entry(struct quarantine *quarantine, struct entry *entry)
{
    HASH_DEL(quarantine->by_fingerprint, entry);
    DL_DELETE(quarantine->by_last_strike, entry);
    free(entry);
}

void
quarantine_free(struct quarantine *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    while (quarantine->by_last_strike != NULL) {
        remove_entry(quarantine, quarantine->by_last_strike);
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
drop_expired(struct quarantine *quarantine)
{
    int64_t now_ms = clock_ms(quarantine->options.clock);

    while (quarantine->by_last_strike != NULL &&
           quarantine->by_last_strike->expires_ms <= now_ms) {
        remove_entry(quarantine, quarantine->by_last_strike);
    }
}

static struct entry *
find(const struct quarantine *quarantine, uint64_t fingerprint)
{
    struct entry *entry;

    HASH_FIND(hh, quarantine->by_fingerprint, &fingerprint,
              sizeof(fingerprint), entry);
    return entry;
}

static struct entry *
add_entry(struct quarantine *quarantine, uint64_t fingerprint)
{
    struct entry *entry;

    if (HASH_COUNT(quarantine->by_fingerprint) >=
            quarantine->options.requests_max &&
        quarantine->by_last_strike != NULL) {
        remove_entry(quarantine, quarantine->by_last_strike);
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->fingerprint = fingerprint;
    HASH_ADD(hh, quarantine->by_fingerprint, fingerprint,
             sizeof(entry->fingerprint), entry);
    DL_APPEND(quarantine->by_last_strike, entry);
    return entry;
}

static bool
has_crash(const struct entry *entry, uint32_t crash_id)
{
    for (uint32_t i = 0; i < entry->strikes; i++) {
        if (entry->crash_ids[i] == crash_id) {
            return true;
        }
    }
    return false;
}

bool
quarantine_strike(struct quarantine *quarantine, uint64_t fingerprint,
                  uint32_t crash_id)
{
    struct entry *entry;

    drop_expired(quarantine);
    entry = find(quarantine, fingerprint);
    if (entry == NULL) {
        entry = add_entry(quarantine, fingerprint);
    }
    if (has_crash(entry, crash_id) ||
        entry->strikes == QUARANTINE_CRASHES_MAX) {
        return false;
    }
    entry->crash_ids[entry->strikes++] = crash_id;
    entry->expires_ms =
        clock_ms(quarantine->options.clock) + quarantine->options.hold_ms;
    DL_DELETE(quarantine->by_last_strike, entry);
    DL_APPEND(quarantine->by_last_strike, entry);
    return true;
}

uint32_t
quarantine_strikes(const struct quarantine *quarantine, uint64_t fingerprint)
{
    const struct entry *entry = find(quarantine, fingerprint);

    return entry != NULL ? entry->strikes : 0;
}

void
quarantine_clear(struct quarantine *quarantine, uint64_t fingerprint)
{
    struct entry *entry = find(quarantine, fingerprint);

    if (entry != NULL && entry->strikes < quarantine->options.strikes_max) {
        remove_entry(quarantine, entry);
    }
}

enum quarantine_verdict
quarantine_check(struct quarantine *quarantine, uint64_t fingerprint)
{
    const struct entry *entry;

    drop_expired(quarantine);
    entry = find(quarantine, fingerprint);
    if (entry == NULL) {
        return QUARANTINE_CLEAR;
    }
    return entry->strikes < quarantine->options.strikes_max
               ? QUARANTINE_ISOLATE
               : QUARANTINE_REFUSE;
}

size_t
quarantine_count(const struct quarantine *quarantine)
{
    return HASH_COUNT(quarantine->by_fingerprint);
}
