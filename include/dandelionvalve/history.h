/// The configuration versions of one environment, computed from the records of
/// a log stream in offset order. Every reader comes to the same result.
///
/// Records age out of the log. A reader that starts after the first record
/// cannot validate a change, since the version that was in force is missing:
/// it is unanchored and stores the records until it reads a snapshot. A
/// snapshot holds the version that was in force after all records up to
/// `seen`; it is valid for every reader that has read all records above
/// `seen`.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/conf.h"
#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

/// The version before the first accepted change.
#define HISTORY_NO_VERSION (-1)

enum history_kind {
    HISTORY_CHANGE,   ///< a new document, based on version `base`
    HISTORY_SNAPSHOT, ///< the version in force, repeated before it ages out
};

/// One record of the stream. A parsed record owns its strings.
struct history_record {
    enum history_kind kind;
    struct str environment;
    struct str document;
    struct str nonce;
    struct str author;
    int64_t base;    ///< version this change was made on
    int64_t version; ///< HISTORY_SNAPSHOT: the version of the document
    int64_t seen;    ///< HISTORY_SNAPSHOT: last offset applied by its writer
};

enum history_verdict {
    HISTORY_ACCEPTED,
    HISTORY_LOST_RACE,         ///< based on a version no longer in force
    HISTORY_BAD_DOCUMENT,      ///< the document is not valid
    HISTORY_REPEATED,          ///< does not change the version
    HISTORY_OTHER_ENVIRONMENT, ///< belongs to another environment
    HISTORY_MALFORMED,
    HISTORY_UNANCHORED, ///< stored until a snapshot is read
};

struct history;

/// `environment` is copied. The caller frees with history_free().
struct history *history_new(struct str environment);
void history_free(struct history *history);

/// Sets the offset of the first record that the log still holds. Call it
/// before history_apply() and whenever a read shows that records were missed.
void history_set_log_start(struct history *history, int64_t first_offset);

/// Applies the record at `offset`; an offset that is not above the last one is
/// HISTORY_REPEATED. `err` is set if the record was rejected.
enum history_verdict history_apply(struct history *history, int64_t offset,
                                   struct str record, struct err *err);

/// Installs a version received from a peer while the log cannot be read. Older
/// versions are ignored; false with `err` set if the document is not valid.
bool history_adopt(struct history *history, int64_t version,
                   struct str document, struct err *err);

/// The version in force, or HISTORY_NO_VERSION.
int64_t history_version(const struct history *history);

/// The parsed document in force, or NULL; valid until the next change.
const struct conf *history_conf(const struct history *history);

/// The text of the document in force; valid until the next change.
struct str history_document(const struct history *history);

/// The offset of the first record that a new reader needs. A new snapshot must
/// be in the log before this record ages out.
int64_t history_anchor_offset(const struct history *history);

/// The offset of the last record applied, or -1.
int64_t history_last_offset(const struct history *history);

/// True if the version in force was read from the log rather than received
/// from a peer, so that this reader may write a snapshot.
bool history_may_write_snapshot(const struct history *history);

/// The snapshot record to append now; the caller frees .data with free().
struct str history_snapshot_format(const struct history *history,
                                   struct str nonce, struct str author);

/// The JSON text of a record, empty if a string is not UTF-8; the caller frees
/// .data with free().
struct str history_record_format(const struct history_record *record);

/// Parses a record's JSON; false with `err` set if it is malformed. The caller
/// frees the strings with history_record_destroy().
bool history_record_parse(struct str text, struct history_record *record,
                          struct err *err);
void history_record_destroy(struct history_record *record);

const char *history_verdict_name(enum history_verdict verdict);
