/// Which keys an engine's cache holds: a least recently used set.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct key_cache;

struct key_cache *key_cache_new(size_t keys_max);
void key_cache_free(struct key_cache *cache);

/// True if the key was held; holds it from now on.
bool key_cache_use(struct key_cache *cache, uint64_t key);
void key_cache_clear(struct key_cache *cache);
