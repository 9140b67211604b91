/// Builds: software versions of a service's endpoints. A stream may go on only
/// at the build that began it, also when a client takes it up at another
/// router. Routers tell each other which build began a stream by batches in a
/// log.
///
/// Load pattern: while a release runs, two builds serve a service side by
/// side; endpoints and routers crash, and clients take up their streams at any
/// router, also after all routers were restarted.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

/// Streams that are remembered at most; the oldest make room.
#define BUILDS_STREAMS_MAX 50000
/// Streams that wait to be written to the log at most; further ones are
/// dropped.
#define BUILDS_PENDING_MAX 20000
/// Streams in one copy of those that wait.
#define BUILDS_COPY_STREAMS_MAX 500
/// Streams in one batch.
#define BUILDS_BATCH_STREAMS_MAX 2000
/// Of the id of a stream in a batch.
#define BUILDS_ID_BYTES 8
/// Difference between the wall clocks of two routers that is tolerated.
#define BUILDS_CLOCK_SKEW_MS 5000

struct builds;

struct builds_options {
    const struct clock *clock;
    const struct clock *wall_clock; ///< Unix time
    /// Time after its first event in which a client may take up a stream.
    int64_t lifetime_ms;
};

struct builds_stream {
    uint64_t service;
    uint64_t build;
};

/// Whether a stream of which nothing is known may go on.
enum builds_verdict {
    BUILDS_GO_ON,
    BUILDS_NONE_SEEN,    ///< no endpoint of the service
    BUILDS_SEVERAL_SEEN, ///< within the lifetime of a stream
    BUILDS_OTHER_LOGGED, ///< other routers have seen another one
    BUILDS_TOO_YOUNG,    ///< it has replaced another one within the lifetime
};

/// The caller frees with builds_free(). The clocks must outlive it.
struct builds *builds_new(const struct builds_options *options);
void builds_free(struct builds *builds);

/// Applies to what is recorded from now on.
void builds_set_lifetime(struct builds *builds, int64_t lifetime_ms);

uint64_t builds_service_hash(struct str service);

/// Identifies a build of a service; never 0.
uint64_t builds_hash(struct str service, struct str version);

/// Identifies a stream by the id of the request that brought its first event.
uint64_t builds_stream_hash(struct str request_id);

/// An endpoint of the build is in use. `started_ms` is its start in Unix time;
/// 0: not known.
void builds_see(struct builds *builds, uint64_t service, uint64_t build,
                int64_t started_ms);

/// An event of the stream is passed on. It is written to the log if another
/// router may refuse it as unknown, or once one may. True if it waits for that
/// since this call.
bool builds_record(struct builds *builds, uint64_t stream, uint64_t service,
                   uint64_t build);

/// The stream was passed on to its end. Forgets it if no other router has to
/// know it.
void builds_record_end(struct builds *builds, uint64_t stream);

/// Batches that were written to the log have been lost: their streams are
/// written again as far as this router began them or read of them.
void builds_share_again(struct builds *builds);

/// Writes the id of a stream, of BUILDS_ID_BYTES, as builds_known() reads it.
void builds_put_id(unsigned char *out, uint64_t stream);

/// A batch of those of the streams that are known, for builds_apply() of
/// another router; false if none is. The caller frees `.data`.
bool builds_known(const struct builds *builds, struct str ids,
                  struct str *batch);

/// A batch of the streams that wait to be written and were not in such a copy
/// yet, for builds_apply() of other routers; false if there is none. The
/// caller frees `.data`.
bool builds_take_copy(struct builds *builds, struct str *batch);

/// The build that began the stream; false if it is not known.
bool builds_find(const struct builds *builds, uint64_t stream,
                 struct builds_stream *found);

/// Whether a stream of the service that is not known may go on, and at which
/// build. The log must have been read to its end since the client asked.
enum builds_verdict builds_judge_unknown(const struct builds *builds,
                                         uint64_t service, uint64_t *build);
const char *builds_verdict_text(enum builds_verdict verdict);

/// Forgets what has expired.
void builds_tick(struct builds *builds);

/// The next batch to be written to the log, which holds all builds that are
/// seen of a service; false if there is nothing to write. The caller frees
/// `.data`, and reports by builds_batch_written() before it takes the next.
bool builds_take_batch(struct builds *builds, struct str *batch);

/// With `done` false the batch is written again with a later one.
void builds_batch_written(struct builds *builds, bool done);

/// Number of streams that were ever put in the queue to be written, and of
/// those that have left it.
uint64_t builds_queued(const struct builds *builds);
uint64_t builds_written(const struct builds *builds);

/// Applies a batch of another router and takes its streams over, to be written
/// to the log; false with `err` set if it is malformed.
bool builds_adopt(struct builds *builds, struct str batch, struct err *err);

/// Applies a batch of the log; false with `err` set if it is malformed.
bool builds_apply(struct builds *builds, struct str batch, struct err *err);

size_t builds_stream_count(const struct builds *builds);
size_t builds_pending_count(const struct builds *builds);
/// Streams that were not written for lack of room.
uint64_t builds_dropped_count(const struct builds *builds);
