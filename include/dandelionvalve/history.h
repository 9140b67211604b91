/// The history of one environment's configuration, folded from the records
/// of a log stream in offset order. Every reader comes to the same result.
///
/// Records age out of the log. A reader that starts after the first record
/// cannot judge a change, since it does not know the version that was in
/// force; it keeps what it reads until a carry tells it. A carry names the
/// version that was in force after all records up to `seen`, so it can be
/// used by every reader that has read all records above `seen`.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/conf.h"
#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

/// No version: nothing has been published yet.
#define HISTORY_NO_VERSION (-1)

enum history_kind {
    HISTORY_CHANGE,   ///< a new document on top of the base version
    HISTORY_SNAPSHOT, ///< the version in force, appended again before
                      ///< retention
};

/// One record of the stream. The strings belong to the record.
struct history_record {
    enum history_kind kind;
    struct str environment;
    struct str document;
    struct str nonce;
    struct str author;
    int64_t base;    ///< version this change was made on
    int64_t version; ///< HISTORY_SNAPSHOT: the version that is carried
    int64_t seen;    ///< HISTORY_SNAPSHOT: last offset folded by its writer
};

enum history_verdict {
    HISTORY_ACCEPTED,
    HISTORY_LOST_RACE,
    HISTORY_BAD_DOCUMENT,
    HISTORY_REPEATED,
    HISTORY_OTHER_ENVIRONMENT,
    HISTORY_MALFORMED,
    HISTORY_UNANCHORED, ///< kept until a carry tells the version in force
};

/// What the fold has come to.
struct history;

/// `environment` is copied. The caller frees with history_free().
struct history *history_new(struct str environment);
void history_free(struct history *history);

/// Tells the offset of the first record that the log still holds. Call it
/// before history_apply() and whenever a read shows that records were missed.
void history_set_log_start(struct history *history, int64_t first_offset);

/// Applies the record at `offset`; offsets must rise, an offset that is not
/// above the last one is HISTORY_REPEATED. `err` tells why it was rejected.
enum history_verdict history_apply(struct history *history, int64_t offset,
                                   struct str record, struct err *err);

/// Takes over a version that a peer hands on while the log cannot be read.
/// Older versions are ignored; false with `err` if the document is bad.
bool history_adopt(struct history *history, int64_t version,
                   struct str document, struct err *err);

/// The version in force, or HISTORY_NO_VERSION.
int64_t history_version(const struct history *history);

/// The checked document in force, or NULL; valid until the next change.
const struct conf *history_conf(const struct history *history);
struct str history_document(const struct history *history);

/// The record from which on a new reader can fold the history. A new carry
/// must be in the log before this record ages out.
int64_t history_anchor_offset(const struct history *history);

/// The offset up to which the log was folded, or -1.
int64_t history_last_offset(const struct history *history);

/// True if the version was folded from the log rather than handed on by a
/// peer, so that this reader may write a carry.
bool history_may_write_snapshot(const struct history *history);

/// The carry record to append now; the caller frees .data with free().
struct str history_snapshot_format(const struct history *history,
                                   struct str nonce, struct str author);

/// The JSON text of a record; the caller frees .data with free().
struct str history_record_format(const struct history_record *record);

/// Reads a record's JSON; free it with history_record_destroy().
bool history_record_parse(struct str text, struct history_record *record,
                          struct err *err);
void history_record_destroy(struct history_record *record);

const char *history_verdict_name(enum history_verdict verdict);
