#include "dandelionvalve/quarantine.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

#define HOLD_GROWTH 4
#define FAILED_TRIALS_MAX 5

struct entry {
    uint64_t fingerprint;
    uint32_t crash_ids[QUARANTINE_CRASHES_MAX];
    uint32_t strikes;
    uint32_t failed_trials;
    int64_t held_until_ms; ///< at the limit: refused until then
    bool on_trial;         ///< let through after a hold, outcome unknown
    int64_t expires_ms;
    struct entry *prev;
    struct entry *next;
    UT_hash_handle hh;
};

struct quarantine {
    struct quarantine_options options;
    struct entry *by_fingerprint;
    struct entry *by_expiry; ///< first to expire first
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
    DL_DELETE(quarantine->by_expiry, entry);
    free(entry);
}

void
quarantine_free(struct quarantine *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    while (quarantine->by_expiry != NULL) {
        remove_entry(quarantine, quarantine->by_expiry);
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

/// Inserts the entry behind those that expire before it. Most expire last.
static void
insert_by_expiry(struct quarantine *quarantine, struct entry *entry)
{
    struct entry *head = quarantine->by_expiry;
    struct entry *before = head != NULL ? head->prev : NULL;

    while (before != NULL && before->expires_ms > entry->expires_ms) {
        before = before == head ? NULL : before->prev;
    }
    if (before == NULL) {
        DL_PREPEND(quarantine->by_expiry, entry);
    }
    else {
        DL_APPEND_ELEM(quarantine->by_expiry, before, entry);
    }
}

/// The hold grows with each crash after a hold, which confirms the cause. It
/// does not with further ones at its start: many endpoints may crash together
/// for another reason while they run equal requests.
static int64_t
hold_ms(const struct quarantine *quarantine, const struct entry *entry)
{
    int64_t ms = quarantine->options.hold_ms;

    for (uint32_t i = 0; i < entry->failed_trials; i++) {
        ms *= HOLD_GROWTH;
    }
    return ms;
}

/// True if the strike comes from a request that this or another daemon has let
/// through after a hold.
static bool
is_failed_trial(const struct quarantine *quarantine, const struct entry *entry)
{
    return entry->strikes >= quarantine->options.strikes_max &&
           (entry->on_trial ||
            clock_ms(quarantine->options.clock) >= entry->held_until_ms);
}

/// Adds the id of a crash; the oldest one makes room.
static void
add_crash_id(struct entry *entry, uint32_t crash_id)
{
    if (entry->strikes == QUARANTINE_CRASHES_MAX) {
        memmove(entry->crash_ids, entry->crash_ids + 1,
                sizeof(entry->crash_ids) - sizeof(entry->crash_ids[0]));
        entry->strikes--;
    }
    entry->crash_ids[entry->strikes++] = crash_id;
}

/// Sets the times of an entry after a strike or the start of a trial. After a
/// hold, the strikes are kept for as long again.
static void
set_times(struct quarantine *quarantine, struct entry *entry)
{
    int64_t now_ms = clock_ms(quarantine->options.clock);
    int64_t duration_ms = hold_ms(quarantine, entry);

    entry->expires_ms = now_ms + duration_ms;
    if (entry->strikes >= quarantine->options.strikes_max) {
        entry->held_until_ms = now_ms + duration_ms;
        entry->expires_ms += duration_ms;
    }
    DL_DELETE(quarantine->by_expiry, entry);
    insert_by_expiry(quarantine, entry);
}

static void
drop_expired(struct quarantine *quarantine)
{
    int64_t now_ms = clock_ms(quarantine->options.clock);

    while (quarantine->by_expiry != NULL &&
           quarantine->by_expiry->expires_ms <= now_ms) {
        remove_entry(quarantine, quarantine->by_expiry);
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
        quarantine->by_expiry != NULL) {
        remove_entry(quarantine, quarantine->by_expiry);
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->fingerprint = fingerprint;
    HASH_ADD(hh, quarantine->by_fingerprint, fingerprint,
             sizeof(entry->fingerprint), entry);
    DL_APPEND(quarantine->by_expiry, entry);
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
    if (has_crash(entry, crash_id)) {
        return false;
    }
    if (is_failed_trial(quarantine, entry) &&
        entry->failed_trials < FAILED_TRIALS_MAX) {
        entry->failed_trials++;
    }
    add_crash_id(entry, crash_id);
    entry->on_trial = false;
    set_times(quarantine, entry);
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

    if (entry != NULL && (entry->on_trial ||
                          entry->strikes < quarantine->options.strikes_max)) {
        remove_entry(quarantine, entry);
    }
}

enum quarantine_verdict
quarantine_check(struct quarantine *quarantine, uint64_t fingerprint)
{
    struct entry *entry;

    drop_expired(quarantine);
    entry = find(quarantine, fingerprint);
    if (entry == NULL) {
        return QUARANTINE_CLEAR;
    }
    if (entry->strikes < quarantine->options.strikes_max) {
        return QUARANTINE_ISOLATE;
    }
    if (clock_ms(quarantine->options.clock) < entry->held_until_ms) {
        return QUARANTINE_REFUSE;
    }
    entry->on_trial = true;
    set_times(quarantine, entry);
    return QUARANTINE_ISOLATE;
}

size_t
quarantine_count(const struct quarantine *quarantine)
{
    return HASH_COUNT(quarantine->by_fingerprint);
}
