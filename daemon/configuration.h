/// Controller that reads the configuration stream of one environment.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/conf.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/history.h"

struct configuration;
struct event_base;
struct platform;

struct configuration_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct platform *platform;
    struct counters *counters;
    struct str environment;
    const char *name; ///< of this daemon; the author of its snapshots
    /// A new version is in force. The previous `conf` is freed.
    void (*changed)(void *ctx, const struct conf *conf, int64_t version);
    void *ctx;
};

/// Starts to read the stream; the caller frees with configuration_free().
struct configuration *
configuration_new(const struct configuration_options *options);
void configuration_free(struct configuration *configuration);

/// The document in force, or NULL before the first one.
const struct conf *
configuration_conf(const struct configuration *configuration);
int64_t configuration_version(const struct configuration *configuration);
struct str configuration_document(const struct configuration *configuration);

/// True once the stream has been read to its end.
bool configuration_is_current(const struct configuration *configuration);

/// True if the last poll of the log failed.
bool configuration_log_is_down(const struct configuration *configuration);

/// Milliseconds since the start of the last read that reached the stream's
/// end; INT64_MAX if none did.
int64_t configuration_read_age_ms(const struct configuration *configuration);

/// Reads the stream at once, in parallel to the long poll.
void configuration_refresh(struct configuration *configuration);

/// Applies a version received from a peer; false if it is invalid.
bool configuration_adopt(struct configuration *configuration, int64_t version,
                         struct str document);

/// The name of an environment's stream; the caller frees .data.
struct str configuration_stream(struct str environment);
