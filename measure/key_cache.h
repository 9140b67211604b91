/// Set of keys with LRU eviction: a model of an engine's prefix cache.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct key_cache;

struct key_cache *key_cache_new(size_t keys_max);
void key_cache_free(struct key_cache *cache);

/// Inserts the key or marks it as recently used. True if it was present.
bool key_cache_use(struct key_cache *cache, uint64_t key);
void key_cache_clear(struct key_cache *cache);
