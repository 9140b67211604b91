/// Prefix cache of a stand-in engine: a limited number of blocks of prompt
/// text with least-recently-used eviction.
#pragma once

#include <stddef.h>

#include "dandelionvalve/str.h"

struct prefix_cache;

/// The caller frees with prefix_cache_free().
struct prefix_cache *prefix_cache_new(size_t tokens_max);
void prefix_cache_free(struct prefix_cache *cache);

/// Returns the number of tokens in the prompt's longest cached prefix, then
/// caches all full blocks of the prompt.
size_t prefix_cache_use(struct prefix_cache *cache, struct str prompt);

/// Like prefix_cache_use(), but leaves the cache unchanged.
size_t prefix_cache_match(const struct prefix_cache *cache, struct str prompt);

/// Number of tokens in a text, computed from its length.
size_t prefix_cache_tokens(struct str text);

/// Evicts all blocks, as an engine restart does.
void prefix_cache_clear(struct prefix_cache *cache);
