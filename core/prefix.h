/// A router's estimate of the content of an endpoint's prefix cache.
///
/// Load pattern: returning chats. A prompt is a sequence of parts; a cached
/// part is reused only if all parts before it are cached too. The estimate is
/// updated at each placement, since reports arrive late; the least recently
/// used parts are evicted, as they are at the endpoint.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// Parts of one prompt; further ones are treated as not cached.
#define PREFIX_PARTS_MAX 16

struct prefix_part {
    uint64_t id; ///< hash of its identifier
    uint32_t tokens;
};

/// The parts of a prompt, in order.
struct prefix {
    struct prefix_part parts[PREFIX_PARTS_MAX];
    size_t count;
};

struct prefix_estimate;

/// `tokens_max` is the capacity of the endpoint's cache. The caller frees with
/// prefix_estimate_free().
struct prefix_estimate *prefix_estimate_new(uint64_t tokens_max);
void prefix_estimate_free(struct prefix_estimate *estimate);

/// Removes all parts: the endpoint has restarted.
void prefix_estimate_clear(struct prefix_estimate *estimate);

/// Tokens at the start of the prompt that are estimated to be cached.
uint32_t prefix_estimate_match(const struct prefix_estimate *estimate,
                               const struct prefix *prefix);

/// Adds the parts of a prompt that the endpoint prefills.
void prefix_estimate_add(struct prefix_estimate *estimate,
                         const struct prefix *prefix);

/// Adds a part that the endpoint has reported as cached; it matches at any
/// position of a prompt. Returns its key.
uint64_t prefix_estimate_add_reported(struct prefix_estimate *estimate,
                                      uint64_t id, uint32_t tokens);

/// Adds a part from another router's estimate; an existing entry keeps its
/// position in the order of use.
void prefix_estimate_import(struct prefix_estimate *estimate, uint64_t key,
                            uint32_t tokens);

/// Calls back for each part that requests share, least recently used first.
void prefix_estimate_each(const struct prefix_estimate *estimate,
                          void (*visit)(void *ctx, uint64_t key,
                                        uint32_t tokens),
                          void *ctx);

uint64_t prefix_estimate_tokens(const struct prefix_estimate *estimate);

uint32_t prefix_tokens(const struct prefix *prefix);

/// Tokens of all parts but the last.
uint32_t prefix_shared_tokens(const struct prefix *prefix);

/// Key of prompts that are placed together: a hash of all parts but the last,
/// which is private to the request or its session.
uint64_t prefix_affinity(const struct prefix *prefix);
