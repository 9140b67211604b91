#include "records.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "xmalloc.h"

/// Removed keys kept per topic so that peers receive the removal; the oldest
/// are evicted.
#define REMOVED_RECORDS_MAX 2000

struct entry {
    struct record record;
    bool is_kept; ///< the log has an older version
    bool listed[RECORDS_SOURCE_COUNT];
    UT_hash_handle hh;
};

struct topic {
    struct entry *entries;
    struct position end;
    size_t removed;
    struct position removals_from;
    uint64_t ignored;
};

struct records {
    struct records_options options;
    struct position_era era; ///< latest of any record
    bool has_era;            ///< a record or an end has been received
    struct topic topics[RECORDS_TOPIC_COUNT];
};

struct records *
records_new(const struct records_options *options)
{
    struct records *records = xcalloc(1, sizeof(*records));

    records->options = *options;
    return records;
}

static void
entry_free(struct topic *topic, struct entry *entry)
{
    HASH_DEL(topic->entries, entry);
    topic->removed -= entry->record.removed ? 1 : 0;
    free((char *)entry->record.key.data);
    free((char *)entry->record.value.data);
    free(entry);
}

void
records_free(struct records *records)
{
    if (records == NULL) {
        return;
    }
    for (size_t i = 0; i < RECORDS_TOPIC_COUNT; i++) {
        struct entry *entry, *next;

        HASH_ITER(hh, records->topics[i].entries, entry, next)
        {
            entry_free(&records->topics[i], entry);
        }
    }
    free(records);
}

static bool
is_before(struct position a, struct position b)
{
    return position_compare(a, b) < 0;
}

static struct position
position_after(struct position position)
{
    position.offset++;
    return position;
}

static void
evict_oldest_removed(struct topic *topic)
{
    struct entry *entry, *next, *oldest = NULL;

    if (topic->removed <= REMOVED_RECORDS_MAX) {
        return;
    }
    HASH_ITER(hh, topic->entries, entry, next)
    {
        if (entry->record.removed &&
            (oldest == NULL ||
             is_before(entry->record.position, oldest->record.position))) {
            oldest = entry;
        }
    }
    if (oldest != NULL) {
        if (!is_before(oldest->record.position, topic->removals_from)) {
            topic->removals_from = position_after(oldest->record.position);
        }
        entry_free(topic, oldest);
    }
}

static void
raise_position(struct entry *entry, struct position position)
{
    if (is_before(entry->record.position, position)) {
        entry->record.position = position;
    }
}

static void
entry_update(struct topic *topic, struct entry *entry,
             const struct record *record)
{
    free((char *)entry->record.value.data);
    topic->removed -= entry->record.removed ? 1 : 0;
    topic->removed += record->removed ? 1 : 0;
    raise_position(entry, record->position);
    entry->record.removed = record->removed;
    entry->record.value = (struct str){0};
    if (!record->removed) {
        entry->record.value = str_copy(record->value);
    }
}

static void
observe_era(struct records *records, struct position_era era)
{
    // A store that begins to state its era has not gone back.
    bool went_back = records->has_era && (records->era.number > 0 ||
                                          era.resets > records->era.resets);

    records->has_era = true;
    if (position_compare_eras(era, records->era) <= 0) {
        return;
    }
    records->era = era;
    if (went_back && records->options.restored != NULL) {
        records->options.restored(records->options.ctx, era);
    }
}

/// True if the log has had the record before the stored one.
static bool
is_earlier(const struct entry *entry, const struct record *record)
{
    return !entry->is_kept &&
           position_compare_eras(record->position.era,
                                 entry->record.position.era) == 0 &&
           is_before(record->position, entry->record.position);
}

/// Compares the versions of the two; 0: their positions decide.
static int
compare_versions(const struct records *records, const struct entry *entry,
                 const struct record *record)
{
    const struct record *stored = &entry->record;

    if (records->options.compare_versions == NULL || stored->removed ||
        record->removed || is_earlier(entry, record) ||
        str_equal(stored->value, record->value)) {
        return 0;
    }
    return records->options.compare_versions(records->options.ctx, stored,
                                             record);
}

/// True if the record does not replace the stored one.
static bool
is_superseded(const struct records *records, struct entry *entry,
              const struct record *record)
{
    const struct record *stored = &entry->record;
    int age = position_compare(stored->position, record->position);
    int order = compare_versions(records, entry, record);

    if (order == 0) {
        entry->is_kept = entry->is_kept && age >= 0;
        return age >= 0;
    }
    // The log has the one with the later position.
    entry->is_kept = order > 0 ? entry->is_kept || age <= 0 : age >= 0;
    return order > 0;
}

bool
records_apply(struct records *records, const struct record *record)
{
    struct topic *topic = &records->topics[record->topic];
    struct entry *entry;
    bool same;

    observe_era(records, record->position.era);
    HASH_FIND(hh, topic->entries, record->key.data, record->key.len, entry);
    if (entry != NULL) {
        // A record of an earlier era says nothing of the present one.
        if (position_compare_eras(record->position.era,
                                  entry->record.position.era) >= 0) {
            entry->listed[record->source] = true;
        }
        if (is_superseded(records, entry, record)) {
            topic->ignored += position_compare(record->position,
                                               entry->record.position) != 0;
            raise_position(entry, record->position);
            return false;
        }
    }
    else if (record->source == RECORDS_FROM_PEER &&
             is_before(record->position, topic->removals_from)) {
        // All keys of before are stored: this one was removed.
        topic->ignored++;
        return false;
    }
    else {
        entry = xcalloc(1, sizeof(*entry));
        entry->record.topic = record->topic;
        entry->record.key = str_copy(record->key);
        entry->record.position.offset = -1;
        entry->listed[record->source] = true;
        HASH_ADD_KEYPTR(hh, topic->entries, entry->record.key.data,
                        entry->record.key.len, entry);
    }
    same = entry->record.position.offset >= 0 && !record->removed &&
           !entry->record.removed &&
           str_equal(entry->record.value, record->value);
    if (same) {
        raise_position(entry, record->position);
        return false;
    }
    entry_update(topic, entry, record);
    records->options.changed(records->options.ctx, &entry->record);
    evict_oldest_removed(topic);
    return true;
}

void
records_set_end(struct records *records, enum record_topic topic,
                struct position end)
{
    observe_era(records, end.era);
    if (is_before(records->topics[topic].end, end)) {
        records->topics[topic].end = end;
    }
}

struct position
records_end(const struct records *records, enum record_topic topic)
{
    return records->topics[topic].end;
}

bool
records_keep(const struct records *records, enum record_topic topic)
{
    const struct entry *entry = records->topics[topic].entries;

    while (entry != NULL && !entry->is_kept) {
        entry = entry->hh.next;
    }
    return entry != NULL;
}

uint64_t
records_ignored(const struct records *records, enum record_topic topic)
{
    return records->topics[topic].ignored;
}

void
records_skip_to(struct records *records, enum record_topic topic,
                struct position end)
{
    struct topic *state = &records->topics[topic];

    observe_era(records, end.era);
    if (is_before(state->end, end)) {
        state->end = end;
        state->removals_from = end;
    }
}

struct position
records_removals_from(const struct records *records, enum record_topic topic)
{
    return records->topics[topic].removals_from;
}

void
records_list_begin(struct records *records, enum record_topic topic,
                   enum records_source source)
{
    struct entry *entry, *next;

    HASH_ITER(hh, records->topics[topic].entries, entry, next)
    {
        entry->listed[source] = false;
    }
}

/// Of a key that a listing up to `end` lacks: the last one before `end` that
/// exists, as what is written at `end` is newer.
static struct position
removal_position(struct position stored, struct position end)
{
    const struct position last = {end.era, end.offset - 1};

    return end.offset > 0 && is_before(stored, last) ? last
                                                     : position_after(stored);
}

void
records_list_end(struct records *records, enum record_topic topic,
                 enum records_source source, struct position end)
{
    struct entry *entry, *next;

    HASH_ITER(hh, records->topics[topic].entries, entry, next)
    {
        struct record removal = entry->record;

        if (entry->listed[source] || entry->record.removed ||
            !is_before(entry->record.position, end)) {
            continue;
        }
        removal.removed = true;
        removal.position = removal_position(removal.position, end);
        removal.value = (struct str){0};
        records_apply(records, &removal);
    }
    records_skip_to(records, topic, end);
}

void
records_each_since(const struct records *records, enum record_topic topic,
                   struct position position,
                   void (*callback)(void *ctx, const struct record *record),
                   void *ctx)
{
    const struct entry *entry;

    for (entry = records->topics[topic].entries; entry != NULL;
         entry = entry->hh.next) {
        if (!is_before(entry->record.position, position)) {
            callback(ctx, &entry->record);
        }
    }
}

const char *
record_topic_name(enum record_topic topic)
{
    static const char *const names[] = {
        [RECORDS_CONFIGURATION] = "configuration",
        [RECORDS_ENDPOINTS] = "endpoints",
        [RECORDS_ROUTERS] = "routers",
    };

    return names[topic];
}
