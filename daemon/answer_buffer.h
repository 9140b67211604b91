/// An answer that an agent keeps until its router has acknowledged it: the
/// head, the bytes from the acknowledged offset on, and the hash of the whole.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/message.h"

struct evbuffer;
struct XXH64_state_s;

/// Zero-initialise, then answer_buffer_init().
struct answer_buffer {
    bool has_head;
    int status;
    struct message_header *headers;
    size_t header_count;
    char *header_block;
    struct evbuffer
        *bytes; ///< from `first_offset` to `end_offset`; NULL before the start
    uint64_t first_offset;
    uint64_t end_offset;
    struct XXH64_state_s *hash;
};

void answer_buffer_init(struct answer_buffer *buffer);

/// Frees what it holds; it may be started again.
void answer_buffer_destroy(struct answer_buffer *buffer);

/// Copies the head.
void answer_buffer_set_head(struct answer_buffer *buffer, int status,
                            const struct message_header *headers,
                            size_t count);

/// Adds bytes at the end; if nobody will ask for them they are only counted.
void answer_buffer_append(struct answer_buffer *buffer, struct str bytes,
                          bool keep);

/// Drops what the router has; false if the offset is not within the answer.
bool answer_buffer_acknowledge(struct answer_buffer *buffer, uint64_t offset);

/// True if the answer can be resumed at the offset.
bool answer_buffer_can_resume(const struct answer_buffer *buffer,
                              uint64_t offset);

/// Copies bytes from the offset on, at most `size`; returns how many.
size_t answer_buffer_copy(const struct answer_buffer *buffer, uint64_t offset,
                          char *out, size_t size);

/// The hash of all bytes that were added.
uint64_t answer_buffer_hash(const struct answer_buffer *buffer);
