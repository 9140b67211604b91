/// The newest record of each key, by topic, whoever it was heard from: the
/// platform's store or a peer. A record never gives way to an older one.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

enum record_topic {
    RECORDS_CONFIGURATION,
    RECORDS_ENDPOINTS,
    RECORDS_ROUTERS,
    RECORDS_TOPIC_COUNT,
};

struct record {
    enum record_topic topic;
    struct str key;
    int64_t offset; ///< position in the topic; rises with each write
    bool removed;
    struct str value;
};

struct records;

struct records_options {
    /// A record is newer than what was known. The views live until the next
    /// call that changes the records.
    void (*changed)(void *ctx, const struct record *record);
    void *ctx;
};

/// The caller frees with records_free().
struct records *records_new(const struct records_options *options);
void records_free(struct records *records);

/// True if the record was news.
bool records_apply(struct records *records, const struct record *record);

/// All records of the topic before this offset are known.
void records_set_end(struct records *records, enum record_topic topic,
                     int64_t end);
int64_t records_end(const struct records *records, enum record_topic topic);

/// A whole listing begins: keys that it does not name and that are older
/// than `end` are removed by records_list_end().
void records_list_begin(struct records *records, enum record_topic topic);
void records_list_end(struct records *records, enum record_topic topic,
                      int64_t end);

/// Calls back with each record of the topic from this offset on, removed ones
/// included as long as they are remembered.
void records_each_since(
    const struct records *records, enum record_topic topic, int64_t offset,
    void (*callback)(void *ctx, const struct record *record), void *ctx);

const char *record_topic_name(enum record_topic topic);
