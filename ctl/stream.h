/// Blocking access to the configuration stream of one environment: each call
/// runs the event loop until it is done.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/history.h"
#include "net/platform.h"

struct event_base;
struct stream;

/// A record of the stream and its verdict. Repeated records, those of other
/// environments and those that cannot be parsed are left out.
struct stream_version {
    int64_t version;
    int64_t time_ms;
    char *author;
    char *nonce;
    struct str document;
    enum history_verdict verdict;
};

struct stream_options {
    struct event_base *base;
    struct platform *platform;
    const struct random_source *random;
    struct str environment;
    struct str author;
    int64_t search_ms; ///< how long to search for an append without response
};

enum stream_result {
    STREAM_IN_FORCE,
    STREAM_LOST_RACE,
    STREAM_NOT_DONE, ///< the log has not executed the append
    STREAM_UNKNOWN,  ///< no response, and not found in the stream
};

/// Free with stream_free().
struct stream *stream_new(const struct stream_options *options);
void stream_free(struct stream *stream);

/// Reads to the end of the stream. False with `err` set if the log cannot be
/// read.
bool stream_read(struct stream *stream, struct err *err);

const struct history *stream_history(const struct stream *stream);
const struct stream_version *stream_versions(const struct stream *stream,
                                             size_t *count);

/// Appends the document as a change of the version in force; stream_read()
/// must have succeeded before. Sets *version to that of the new record if it
/// is found in the stream.
enum stream_result stream_publish(struct stream *stream, struct str document,
                                  int64_t *version);
