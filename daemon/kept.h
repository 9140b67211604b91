/// An answer that an agent keeps until its router has acknowledged it: the
/// head, the bytes from the acknowledged offset on, and the hash of the whole.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/message.h"

struct evbuffer;
struct XXH64_state_s;

/// Zero-initialise, then kept_start().
struct kept {
    bool has_head;
    int status;
    struct message_header *headers;
    size_t header_count;
    char *header_block;
    struct evbuffer *bytes; ///< from `first` to `end`; NULL before the start
    uint64_t first;
    uint64_t end;
    struct XXH64_state_s *hash;
};

void kept_start(struct kept *kept);

/// Frees what it holds; it may be started again.
void kept_destroy(struct kept *kept);

/// Copies the head.
void kept_set_head(struct kept *kept, int status,
                   const struct message_header *headers, size_t count);

/// Adds bytes at the end; if nobody will ask for them they are only counted.
void kept_add(struct kept *kept, struct str bytes, bool keep);

/// Drops what the router has; false if the offset is not within the answer.
bool kept_acknowledge(struct kept *kept, uint64_t offset);

/// True if the answer can be resumed at the offset.
bool kept_can_resume(const struct kept *kept, uint64_t offset);

/// Copies bytes from the offset on, at most `size`; returns how many.
size_t kept_copy(const struct kept *kept, uint64_t offset, char *out,
                 size_t size);

/// The hash of all bytes that were added.
uint64_t kept_hash(const struct kept *kept);
