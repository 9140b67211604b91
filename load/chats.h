/// Simulated chats that are continued turn by turn. Each belongs to a client
/// account and sends an archive, which many chats share as their first
/// message, and a user message that grows with each turn.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

struct chats;

struct chats_options {
    uint64_t seed;
    size_t chats;
    size_t archives;
    size_t accounts;
    size_t prompt_bytes; ///< length of an archive
    size_t max_tokens;
    double zipf_exponent;
    struct str model;
    int stream;
};

/// The caller frees with chats_free().
struct chats *chats_new(const struct chats_options *options);
void chats_free(struct chats *chats);

/// Draws the next chat to continue from a Zipf distribution.
size_t chats_draw(struct chats *chats);

size_t chats_account(const struct chats *chats, size_t chat);

/// The hint in the last answer to this chat, or NULL.
const char *chats_hint(const struct chats *chats, size_t chat);
void chats_set_hint(struct chats *chats, size_t chat, struct str hint);

/// Writes the chat's id, at most `size` bytes.
void chats_id(size_t chat, char *out, size_t size);

/// The JSON request body of the chat's next turn; the caller frees .data.
struct str chats_body(struct chats *chats, size_t chat);

/// A random number below `bound` from the seeded generator.
uint64_t chats_random(struct chats *chats, uint64_t bound);
