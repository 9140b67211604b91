/// An answer that an agent stores until its router has acknowledged it: the
/// head, the bytes that are not acknowledged, and a hash of all bytes.
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
    struct evbuffer *bytes; ///< NULL before answer_buffer_init()
    uint64_t first_offset;  ///< of the first byte in `bytes`
    uint64_t end_offset;    ///< of the next byte to append
    struct XXH64_state_s *hash;
};

void answer_buffer_init(struct answer_buffer *buffer);

/// Frees the content; answer_buffer_init() may be called again.
void answer_buffer_destroy(struct answer_buffer *buffer);

/// Copies the head.
void answer_buffer_set_head(struct answer_buffer *buffer, int status,
                            const struct message_header *headers,
                            size_t count);

/// Appends bytes. With `keep` false they are counted and hashed but not
/// stored, and stored ones are dropped.
void answer_buffer_append(struct answer_buffer *buffer, struct str bytes,
                          bool keep);

/// Drops the bytes before the offset; false if the offset is not stored.
bool answer_buffer_acknowledge(struct answer_buffer *buffer, uint64_t offset);

/// True if all bytes from the offset on are stored.
bool answer_buffer_can_resume(const struct answer_buffer *buffer,
                              uint64_t offset);

/// Copies bytes from the offset on, at most `size`; returns how many.
size_t answer_buffer_copy(const struct answer_buffer *buffer, uint64_t offset,
                          char *out, size_t size);

/// The hash of all bytes that were appended.
uint64_t answer_buffer_hash(const struct answer_buffer *buffer);
