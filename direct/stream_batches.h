/// Batches of streams: sent to the router that writes them for its peers, or
/// appended to the log of the store. See core/stream_writer.h.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/str.h"

struct builds;
struct event_base;
struct stream_batches;

struct stream_batches_options {
    struct event_base *base;
    const struct clock *clock;
    struct builds *builds;
    /// The id of this router, and those of its peers that write for others.
    uint64_t (*own_id)(void *ctx);
    size_t (*peers)(void *ctx, uint64_t *ids, size_t max);
    size_t (*router_count)(void *ctx);
    void (*send)(void *ctx, uint64_t peer, uint64_t number, struct str batch);
    void (*reply)(void *ctx, uint64_t peer, uint64_t number, bool done);
    /// Appends to the log; reported by stream_batches_appended().
    void (*append)(void *ctx, struct str batch);
    /// Sends streams that wait to be written to a few peers, which keep them.
    void (*copy)(void *ctx, struct str batch);
    /// A batch was written, or was not.
    void (*ended)(void *ctx);
    void *ctx;
};

/// The caller frees with stream_batches_free().
struct stream_batches *
stream_batches_new(const struct stream_batches_options *options);
void stream_batches_free(struct stream_batches *batches);

/// Sends or appends what is due. Called at each tick, and when streams wait.
void stream_batches_flush(struct stream_batches *batches);

/// True if a stream that begins now is likely to be in the log at once.
bool stream_batches_is_prompt(const struct stream_batches *batches);

void stream_batches_appended(struct stream_batches *batches, bool done);
void stream_batches_receive(struct stream_batches *batches, uint64_t peer,
                            uint64_t number, struct str batch);
void stream_batches_replied(struct stream_batches *batches, uint64_t peer,
                            uint64_t number, bool done);
void stream_batches_peer_lost(struct stream_batches *batches, uint64_t peer);
