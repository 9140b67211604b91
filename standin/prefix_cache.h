/// The prefix cache of a stand-in engine: blocks of prompt text with a least
/// recently used order in limited memory.
#pragma once

#include <stddef.h>

#include "dandelionvalve/str.h"

struct prefix_cache;

/// The caller frees with prefix_cache_free().
struct prefix_cache *prefix_cache_new(size_t tokens_max);
void prefix_cache_free(struct prefix_cache *cache);

/// Counts the tokens of the prompt's longest cached prefix, then keeps the
/// whole prompt.
size_t prefix_cache_use(struct prefix_cache *cache, struct str prompt);

/// Like prefix_cache_use() without keeping anything.
size_t prefix_cache_match(const struct prefix_cache *cache, struct str prompt);

/// Tokens of a text, by its length.
size_t prefix_cache_tokens(struct str text);

/// Forgets all, as a restart does.
void prefix_cache_clear(struct prefix_cache *cache);
