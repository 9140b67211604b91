#include "stream.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/event.h>

#include "core/xmalloc.h"
#include "daemon/configuration.h"

#define PAGE_RECORDS 100
#define NONCE_BYTES 16
#define POLL_INTERVAL_MS 200

struct stream {
    struct stream_options options;
    struct history *history;
    struct str name;
    struct stream_version *versions;
    size_t count;
    bool read_failed;
    bool at_end;
    enum platform_status append_status;
    int64_t append_offset;
};

struct stream *
stream_new(const struct stream_options *options)
{
    struct stream *stream = xcalloc(1, sizeof(*stream));

    stream->options = *options;
    stream->history = history_new(options->environment);
    stream->name = configuration_stream(options->environment);
    return stream;
}

void
stream_free(struct stream *stream)
{
    if (stream == NULL) {
        return;
    }
    for (size_t i = 0; i < stream->count; i++) {
        free(stream->versions[i].author);
        free(stream->versions[i].nonce);
        free((char *)stream->versions[i].document.data);
    }
    free(stream->versions);
    history_free(stream->history);
    free((char *)stream->name.data);
    free(stream);
}

static void
add_version(struct stream *stream, const struct platform_record *source,
            enum history_verdict verdict)
{
    struct history_record record;
    struct err ignored = {0};

    if (!history_record_parse(source->data, &record, &ignored)) {
        return;
    }
    stream->versions = xrealloc(
        stream->versions, (stream->count + 1) * sizeof(*stream->versions));
    stream->versions[stream->count++] = (struct stream_version){
        .version =
            record.kind == HISTORY_SNAPSHOT ? record.version : source->offset,
        .time_ms = source->time_ms,
        .author = str_dup(record.author),
        .nonce = str_dup(record.nonce),
        .document = str_copy(record.document),
        .verdict = verdict,
    };
    history_record_destroy(&record);
}

static void
on_page(void *ctx, const struct platform_page *page)
{
    struct stream *stream = ctx;

    stream->read_failed = page == NULL;
    if (page != NULL) {
        history_set_log_start(stream->history, page->first);
        for (size_t i = 0; i < page->count; i++) {
            const struct platform_record *record = &page->records[i];
            struct err ignored = {0};
            enum history_verdict verdict = history_apply(
                stream->history, record->offset, record->data, &ignored);

            if (verdict != HISTORY_REPEATED &&
                verdict != HISTORY_OTHER_ENVIRONMENT) {
                add_version(stream, record, verdict);
            }
        }
        stream->at_end = history_last_offset(stream->history) + 1 >= page->end;
    }
    event_base_loopbreak(stream->options.base);
}

bool
stream_read(struct stream *stream, struct err *err)
{
    do {
        platform_read(stream->options.platform, stream->name,
                      history_last_offset(stream->history) + 1, PAGE_RECORDS,
                      0, on_page, stream);
        event_base_dispatch(stream->options.base);
        if (stream->read_failed) {
            return err_set(err, ERR_UNAVAILABLE, "read", "platform",
                           "the platform's log cannot be read");
        }
    } while (!stream->at_end);
    return true;
}

const struct history *
stream_history(const struct stream *stream)
{
    return stream->history;
}

const struct stream_version *
stream_versions(const struct stream *stream, size_t *count)
{
    *count = stream->count;
    return stream->versions;
}

static void
on_appended(void *ctx, enum platform_status status, int64_t offset)
{
    struct stream *stream = ctx;

    stream->append_status = status;
    stream->append_offset = offset;
    event_base_loopbreak(stream->options.base);
}

static const struct stream_version *
find_nonce(const struct stream *stream, const char *nonce)
{
    for (size_t i = 0; i < stream->count; i++) {
        if (!strcmp(stream->versions[i].nonce, nonce)) {
            return &stream->versions[i];
        }
    }
    return NULL;
}

/// Reads the stream until the record is found or search_ms have passed.
static const struct stream_version *
find_appended(struct stream *stream, const char *nonce)
{
    static const struct timespec interval = {
        .tv_nsec = POLL_INTERVAL_MS * 1000000L,
    };
    int64_t tries = stream->options.search_ms / POLL_INTERVAL_MS;
    const struct stream_version *found = NULL;

    for (int64_t i = 0; i <= tries && found == NULL; i++) {
        struct err ignored = {0};

        if (stream_read(stream, &ignored)) {
            found = find_nonce(stream, nonce);
        }
        if (found == NULL) {
            nanosleep(&interval, NULL);
        }
    }
    return found;
}

enum stream_result
stream_publish(struct stream *stream, struct str document, int64_t *version)
{
    uint64_t random[NONCE_BYTES / sizeof(uint64_t)];
    char nonce[2 * NONCE_BYTES + 1];
    struct history_record record = {
        .kind = HISTORY_CHANGE,
        .environment = stream->options.environment,
        .document = document,
        .author = stream->options.author,
        .base = history_version(stream->history),
    };
    const struct stream_version *found;
    struct str text;

    random[0] = random_next(stream->options.random);
    random[1] = random_next(stream->options.random);
    hex_encode(random, sizeof(random), nonce);
    record.nonce = str_from(nonce);
    text = history_record_format(&record);
    platform_append(stream->options.platform, stream->name, text, on_appended,
                    stream);
    event_base_dispatch(stream->options.base);
    free((char *)text.data);
    if (stream->append_status == PLATFORM_NOT_EXECUTED) {
        return STREAM_NOT_DONE;
    }
    found = find_appended(stream, nonce);
    if (found == NULL) {
        return STREAM_UNKNOWN;
    }
    *version = found->version;
    return found->verdict == HISTORY_ACCEPTED ? STREAM_IN_FORCE
                                              : STREAM_LOST_RACE;
}
