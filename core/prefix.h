/// What a router believes that an endpoint keeps of earlier prompts.
///
/// Load pattern: chats that return. A prompt is a chain of parts; a part is
/// reused only if all parts before it are there too. The belief comes from
/// placements, since reports come late; least recently used parts yield, as
/// they do at the endpoint.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// Parts of one prompt; further ones are taken as never cached.
#define PREFIX_PARTS_MAX 16

struct prefix_part {
    uint64_t id;
    uint32_t tokens;
};

/// A prompt in order.
struct prefix {
    struct prefix_part parts[PREFIX_PARTS_MAX];
    size_t count;
};

struct prefix_estimate;

/// `tokens_max` is the endpoint's memory. The caller frees with
/// prefix_estimate_free().
struct prefix_estimate *prefix_estimate_new(uint64_t tokens_max);
void prefix_estimate_free(struct prefix_estimate *estimate);

/// Forgets everything: the endpoint has started anew.
void prefix_estimate_clear(struct prefix_estimate *estimate);

/// Tokens at the start of the prompt that need not be read again.
uint32_t prefix_estimate_match(const struct prefix_estimate *estimate,
                               const struct prefix *prefix);

/// The endpoint reads this prompt.
void prefix_estimate_add(struct prefix_estimate *estimate,
                         const struct prefix *prefix);

/// The endpoint has stated that it keeps this part, whatever came before it.
/// Returns its key.
uint64_t prefix_estimate_add_reported(struct prefix_estimate *estimate,
                                      uint64_t id, uint32_t tokens);

/// Takes over what another router believes; an entry that is known keeps its
/// age.
void prefix_estimate_import(struct prefix_estimate *estimate, uint64_t key,
                            uint32_t tokens);

/// All parts that requests share, the least recently used first.
void prefix_estimate_each(const struct prefix_estimate *estimate,
                          void (*take)(void *ctx, uint64_t key,
                                       uint32_t tokens),
                          void *ctx);

uint64_t prefix_estimate_tokens(const struct prefix_estimate *estimate);

uint32_t prefix_tokens(const struct prefix *prefix);

/// Tokens of all parts but the last.
uint32_t prefix_shared_tokens(const struct prefix *prefix);

/// What prompts must have in common to be placed together: all parts but the
/// last, which belongs to the request or its session.
uint64_t prefix_affinity(const struct prefix *prefix);
