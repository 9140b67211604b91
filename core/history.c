#include "dandelionvalve/history.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "xmalloc.h"

#define HASH_BYTES 32
#define HASH_HEX_BYTES (2 * HASH_BYTES + 1)

#define PENDING_RECORDS_MAX 4096

struct pending {
    int64_t offset;
    struct str text;
};

struct history {
    struct str environment;
    int64_t last_offset;
    int64_t version;
    int64_t anchor_offset;
    bool anchored;
    bool version_from_log;
    struct str document;
    struct conf *conf;
    struct pending *pending;
    size_t pending_count;
};

static void
hash_document(struct str document, char hex[HASH_HEX_BYTES])
{
    unsigned char hash[HASH_BYTES];

    crypto_generichash(hash, sizeof(hash),
                       (const unsigned char *)document.data, document.len,
                       NULL, 0);
    hex_encode(hash, sizeof(hash), hex);
}

struct history *
history_new(struct str environment)
{
    struct history *history = xcalloc(1, sizeof(*history));

    history->environment = str_copy(environment);
    history->last_offset = -1;
    history->version = HISTORY_NO_VERSION;
    history->anchored = true;
    return history;
}

static void
drop_pending(struct history *history)
{
    for (size_t i = 0; i < history->pending_count; i++) {
        free((char *)history->pending[i].text.data);
    }
    free(history->pending);
    history->pending = NULL;
    history->pending_count = 0;
}

void
history_free(struct history *history)
{
    if (history == NULL) {
        return;
    }
    drop_pending(history);
    conf_free(history->conf);
    free((char *)history->document.data);
    free((char *)history->environment.data);
    free(history);
}

static bool
set_version(struct history *history, int64_t version, struct str document,
            struct err *err)
{
    struct conf *conf;
    struct str copy;

    conf = conf_parse(document, "document", err);
    if (conf == NULL) {
        return false;
    }
    copy = str_copy(document);
    conf_free(history->conf);
    free((char *)history->document.data);
    history->conf = conf;
    history->document = copy;
    history->version = version;
    return true;
}

static enum history_verdict
apply_change(struct history *history, int64_t offset,
             const struct history_record *record, struct err *err)
{
    if (record->base != history->version) {
        err_set(err, ERR_CONFLICT, "fold", NULL,
                "record %lld is based on version %lld, but %lld is in force",
                (long long)offset, (long long)record->base,
                (long long)history->version);
        return HISTORY_LOST_RACE;
    }
    if (!set_version(history, offset, record->document, err)) {
        return HISTORY_BAD_DOCUMENT;
    }
    history->version_from_log = true;
    return HISTORY_ACCEPTED;
}

static enum history_verdict
apply_snapshot(struct history *history, const struct history_record *record)
{
    // The carried version may be older than the one in force if a change
    // landed between the writer's last read and its append.
    if (record->version <= history->version &&
        record->seen + 1 > history->anchor_offset) {
        history->anchor_offset = record->seen + 1;
    }
    history->version_from_log =
        history->version_from_log || record->version == history->version;
    return HISTORY_REPEATED;
}

static enum history_verdict
apply_anchored(struct history *history, int64_t offset, struct str text,
               struct err *err)
{
    struct history_record record;
    enum history_verdict verdict;

    if (offset <= history->version) {
        return HISTORY_REPEATED;
    }
    if (!history_record_parse(text, &record, err)) {
        return HISTORY_MALFORMED;
    }
    if (!str_equal(record.environment, history->environment)) {
        verdict = HISTORY_OTHER_ENVIRONMENT;
    }
    else if (record.kind == HISTORY_CHANGE) {
        verdict = apply_change(history, offset, &record, err);
    }
    else {
        verdict = apply_snapshot(history, &record);
    }
    history_record_destroy(&record);
    return verdict;
}

static void
apply_pending(struct history *history, int64_t after)
{
    for (size_t i = 0; i < history->pending_count; i++) {
        struct pending *pending = &history->pending[i];
        struct err ignored = {0};

        if (pending->offset > after) {
            apply_anchored(history, pending->offset, pending->text, &ignored);
        }
    }
    drop_pending(history);
}

static void
keep_pending(struct history *history, int64_t offset, struct str text)
{
    if (history->pending_count == PENDING_RECORDS_MAX) {
        free((char *)history->pending[0].text.data);
        history->pending_count--;
        memmove(history->pending, history->pending + 1,
                history->pending_count * sizeof(*history->pending));
        // A dropped record is as good as one that has aged out.
        history->anchor_offset = history->pending[0].offset;
    }
    history->pending =
        xrealloc(history->pending,
                 (history->pending_count + 1) * sizeof(*history->pending));
    history->pending[history->pending_count++] =
        (struct pending){offset, str_copy(text)};
}

static enum history_verdict
apply_unanchored(struct history *history, int64_t offset, struct str text,
                 struct err *err)
{
    struct history_record record;
    bool usable;

    if (!history_record_parse(text, &record, err)) {
        return HISTORY_MALFORMED;
    }
    usable = record.kind == HISTORY_SNAPSHOT &&
             str_equal(record.environment, history->environment) &&
             record.seen + 1 >= history->anchor_offset &&
             record.version > history->version &&
             set_version(history, record.version, record.document, err);
    if (usable) {
        history->anchored = true;
        history->version_from_log = true;
        history->anchor_offset = record.seen + 1;
        apply_pending(history, record.seen);
    }
    history_record_destroy(&record);
    if (!usable) {
        keep_pending(history, offset, text);
    }
    return usable ? HISTORY_ACCEPTED : HISTORY_UNANCHORED;
}

void
history_set_log_start(struct history *history, int64_t first_offset)
{
    if (first_offset <= history->last_offset + 1) {
        return;
    }
    // Records were missed. Any of them may have changed the version, so the
    // apply_anchored stands still until the next carry; what is in force stays
    // so.
    history->anchored = false;
    history->anchor_offset = first_offset;
    history->last_offset = first_offset - 1;
    drop_pending(history);
}

enum history_verdict
history_apply(struct history *history, int64_t offset, struct str text,
              struct err *err)
{
    if (offset <= history->last_offset) {
        return HISTORY_REPEATED;
    }
    history->last_offset = offset;
    if (!history->anchored) {
        return apply_unanchored(history, offset, text, err);
    }
    return apply_anchored(history, offset, text, err);
}

bool
history_adopt(struct history *history, int64_t version, struct str document,
              struct err *err)
{
    if (version <= history->version) {
        return true;
    }
    if (!set_version(history, version, document, err)) {
        return false;
    }
    history->version_from_log = false;
    if (!history->anchored && version + 1 >= history->anchor_offset) {
        history->anchored = true;
        apply_pending(history, version);
    }
    return true;
}

int64_t
history_version(const struct history *history)
{
    return history->version;
}

const struct conf *
history_conf(const struct history *history)
{
    return history->conf;
}

struct str
history_document(const struct history *history)
{
    return history->document;
}

int64_t
history_anchor_offset(const struct history *history)
{
    return history->anchor_offset;
}

int64_t
history_last_offset(const struct history *history)
{
    return history->last_offset;
}

bool
history_may_write_snapshot(const struct history *history)
{
    return history->anchored && history->version_from_log &&
           history->last_offset >= history->version;
}

struct str
history_snapshot_format(const struct history *history, struct str nonce,
                        struct str author)
{
    const struct history_record record = {
        .kind = HISTORY_SNAPSHOT,
        .environment = history->environment,
        .document = history->document,
        .nonce = nonce,
        .author = author,
        .version = history->version,
        .seen = history->last_offset,
    };

    return history_record_format(&record);
}

struct str
history_record_format(const struct history_record *record)
{
    char hash[HASH_HEX_BYTES];
    const char *kind = record->kind == HISTORY_SNAPSHOT ? "carry" : "change";
    json_t *json;
    char *text;

    hash_document(record->document, hash);
    json = json_pack(
        "{s:s, s:s%, s:s%, s:s, s:s%, s:s%, s:I, s:I, s:I}", "kind", kind,
        "environment", record->environment.data, record->environment.len,
        "document", record->document.data, record->document.len, "hash", hash,
        "nonce", record->nonce.data, record->nonce.len, "author",
        record->author.data, record->author.len, "base",
        (json_int_t)record->base, "version", (json_int_t)record->version,
        "seen", (json_int_t)record->seen);
    text = json != NULL ? json_dumps(json, JSON_COMPACT) : NULL;
    json_decref(json);
    return text != NULL ? str_from(text) : (struct str){xstrdup(""), 0};
}

static struct str
copy_field(const json_t *json, const char *key)
{
    const json_t *value = json_object_get(json, key);

    return str_copy(
        (struct str){json_string_value(value), json_string_length(value)});
}

static bool
has_fields(const json_t *json, const char **missing)
{
    static const char *const strings[] = {"kind", "environment", "document",
                                          "hash", "nonce",       "author"};
    static const char *const integers[] = {"base", "version", "seen"};

    for (size_t i = 0; i < sizeof(strings) / sizeof(strings[0]); i++) {
        *missing = strings[i];
        if (!json_is_string(json_object_get(json, strings[i]))) {
            return false;
        }
    }
    for (size_t i = 0; i < sizeof(integers) / sizeof(integers[0]); i++) {
        *missing = integers[i];
        if (!json_is_integer(json_object_get(json, integers[i]))) {
            return false;
        }
    }
    return true;
}

static bool
hash_matches(const json_t *json, struct str document)
{
    char hash[HASH_HEX_BYTES];

    hash_document(document, hash);
    return !strcmp(hash, json_string_value(json_object_get(json, "hash")));
}

bool
history_record_parse(struct str text, struct history_record *record,
                     struct err *err)
{
    json_t *json = json_loadb(text.data, text.len, JSON_ALLOW_NUL, NULL);
    const char *missing = "";
    const char *kind;
    bool ok = false;

    *record = (struct history_record){0};
    if (!has_fields(json, &missing)) {
        err_set(err, ERR_INPUT, "record", NULL,
                "configuration record without a valid '%s'", missing);
        goto out;
    }
    kind = json_string_value(json_object_get(json, "kind"));
    if (strcmp(kind, "change") != 0 && strcmp(kind, "carry") != 0) {
        err_set(err, ERR_INPUT, "record", NULL,
                "configuration record of unknown kind '%.32s'", kind);
        goto out;
    }
    record->kind = !strcmp(kind, "carry") ? HISTORY_SNAPSHOT : HISTORY_CHANGE;
    record->environment = copy_field(json, "environment");
    record->document = copy_field(json, "document");
    record->nonce = copy_field(json, "nonce");
    record->author = copy_field(json, "author");
    record->base = json_integer_value(json_object_get(json, "base"));
    record->version = json_integer_value(json_object_get(json, "version"));
    record->seen = json_integer_value(json_object_get(json, "seen"));
    ok = hash_matches(json, record->document);
    if (!ok) {
        err_set(err, ERR_INPUT, "record", NULL,
                "configuration record whose hash is not its document's");
        history_record_destroy(record);
    }
out:
    json_decref(json);
    return ok;
}

void
history_record_destroy(struct history_record *record)
{
    free((char *)record->environment.data);
    free((char *)record->document.data);
    free((char *)record->nonce.data);
    free((char *)record->author.data);
    *record = (struct history_record){0};
}

const char *
history_verdict_name(enum history_verdict verdict)
{
    static const char *const names[] = {
        [HISTORY_ACCEPTED] = "accepted",
        [HISTORY_LOST_RACE] = "lost-race",
        [HISTORY_BAD_DOCUMENT] = "bad-document",
        [HISTORY_REPEATED] = "repeated",
        [HISTORY_OTHER_ENVIRONMENT] = "other-environment",
        [HISTORY_MALFORMED] = "malformed",
        [HISTORY_UNANCHORED] = "unanchored",
    };

    return names[verdict];
}
