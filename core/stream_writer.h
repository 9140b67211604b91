/// Chooses the router that writes the streams of others to the log.
///
/// Load pattern: a release runs, and power fails for all routers at once. What
/// they have not written is unknown to those that start after it, and its
/// take-ups are refused. The log takes one append at a time, and calls are
/// billed: by itself each router may append a few times a second only. Through
/// one of them that appends for all its peers, a stream is written within some
/// milliseconds, by fewer calls.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// Interval of the appends of a router that is linked to all others.
#define STREAM_WRITER_INTERVAL_MS 20
/// For so long a router that has failed to write does not do it for others.
#define STREAM_WRITER_AVOID_MS 3000

struct stream_writer {
    uint64_t avoided; ///< router that has failed; 0: none
    int64_t avoided_until_ms;
};

struct stream_writer_choice {
    uint64_t id;         ///< the lowest one; that of the own router: itself
    int64_t interval_ms; ///< of its batches; 0: it stands in for another one
};

/// `peers` are the ids of `count` linked routers out of `routers`.
struct stream_writer_choice
stream_writer_choose(const struct stream_writer *writer, uint64_t own,
                     const uint64_t *peers, size_t count, size_t routers,
                     int64_t now_ms);

/// The router has not written a batch in time.
void stream_writer_avoid(struct stream_writer *writer, uint64_t id,
                         int64_t now_ms);
