/// The newest record of each key of each topic, received from the platform's
/// store or from a peer. An older record never replaces a newer one.
///
/// The position alone does not decide between two versions of a document: the
/// copy from which the store was restored may hold an older one than that in
/// force, which stands until a newer version comes.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"
#include "position.h"

enum record_topic {
    RECORDS_CONFIGURATION,
    RECORDS_ENDPOINTS,
    RECORDS_ROUTERS,
    RECORDS_TOPIC_COUNT,
};

/// Who lists a topic; listings of both may overlap.
enum records_source {
    RECORDS_FROM_STORE,
    RECORDS_FROM_PEER,
    RECORDS_SOURCE_COUNT,
};

struct record {
    enum record_topic topic;
    struct str key;
    struct position position; ///< rises with each write
    enum records_source source;
    bool removed;
    struct str value;
};

struct records;

struct records_options {
    /// Called when a key's value changes or the key is removed. The strings
    /// are valid until the next call that changes the records.
    void (*changed)(void *ctx, const struct record *record);
    /// The store was restored from an older copy: records of a new era follow.
    /// May be NULL.
    void (*restored)(void *ctx, struct position_era era);
    /// Compares the versions of the stored value of a key and of another one:
    /// negative if the stored one is older, 0 if they have none. May be NULL.
    int (*compare_versions)(void *ctx, const struct record *a,
                            const struct record *b);
    void *ctx;
};

/// The caller frees with records_free().
struct records *records_new(const struct records_options *options);
void records_free(struct records *records);

/// Stores a record if it is newer than the stored one; copies the strings. A
/// peer's record of a key that is not stored has to be newer than the last
/// complete listing. True if the value changed.
bool records_apply(struct records *records, const struct record *record);

/// Sets the position before which all records of the topic were received. A
/// lower one than the stored one is ignored.
void records_set_end(struct records *records, enum record_topic topic,
                     struct position end);

/// Number of records that were not applied since a newer one was stored.
uint64_t records_ignored(const struct records *records,
                         enum record_topic topic);
struct position records_end(const struct records *records,
                            enum record_topic topic);

/// True if the log has an older version of a stored document of the topic.
bool records_keep(const struct records *records, enum record_topic topic);

/// Starts a complete listing of a topic, whose records are passed to
/// records_apply(). records_list_end() removes the keys that were not listed
/// and whose position is below `end`.
void records_list_begin(struct records *records, enum record_topic topic,
                        enum records_source source);
void records_list_end(struct records *records, enum record_topic topic,
                      enum records_source source, struct position end);

/// Like records_set_end(), for records that were received without the removals
/// of keys that are not stored.
void records_skip_to(struct records *records, enum record_topic topic,
                     struct position end);

/// The position from which on the removals of all keys are stored. Before it
/// they may be missing: a listing has no removed keys, and old removals are
/// evicted.
struct position records_removals_from(const struct records *records,
                                      enum record_topic topic);

/// Calls `callback` for each record of the topic from this position on,
/// including removed ones that are still stored.
void records_each_since(const struct records *records, enum record_topic topic,
                        struct position position,
                        void (*callback)(void *ctx,
                                         const struct record *record),
                        void *ctx);

const char *record_topic_name(enum record_topic topic);
