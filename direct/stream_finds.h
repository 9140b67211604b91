/// Questions to peers about streams that neither this router nor the log
/// knows.
///
/// Load pattern: the store is away, or lacks the last batches, while many
/// clients take up their streams at any router: what one router knows is not
/// refused by another. The streams of all that wait share a question.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

struct builds;
struct event_base;
struct stream_finds;

struct stream_finds_options {
    struct event_base *base;
    struct builds *builds;
    /// Returns the number of peers that will answer.
    size_t (*ask)(void *ctx, uint64_t number, struct str ids);
    void (*reply)(void *ctx, uint64_t peer, uint64_t number, struct str batch);
    /// Streams of the question may be known now. `ended`: no further answer
    /// to it is to come.
    void (*answered)(void *ctx, uint64_t number, bool ended);
    void *ctx;
};

/// The caller frees with stream_finds_free().
struct stream_finds *
stream_finds_new(const struct stream_finds_options *options);
void stream_finds_free(struct stream_finds *finds);

/// Asks for a stream with the next question, soon. Returns its number, never
/// 0.
uint64_t stream_finds_add(struct stream_finds *finds, uint64_t stream);

/// A peer asks, or has answered.
void stream_finds_receive(struct stream_finds *finds, uint64_t peer,
                          uint64_t number, struct str ids);
void stream_finds_answered(struct stream_finds *finds, uint64_t number,
                           struct str batch);
