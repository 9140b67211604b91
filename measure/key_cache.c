#include "key_cache.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "core/xmalloc.h"

struct held {
    uint64_t key;
    struct held *prev;
    struct held *next;
    UT_hash_handle hh;
};

struct key_cache {
    size_t keys_max;
    struct held *by_key;
    struct held *by_use;
};

struct key_cache *
key_cache_new(size_t keys_max)
{
    struct key_cache *cache = xcalloc(1, sizeof(*cache));

    cache->keys_max = keys_max;
    return cache;
}

static void
drop(struct key_cache *cache, struct held *held)
{
    HASH_DEL(cache->by_key, held);
    DL_DELETE(cache->by_use, held);
    free(held);
}

void
key_cache_clear(struct key_cache *cache)
{
    while (cache->by_use != NULL) {
        drop(cache, cache->by_use);
    }
}

void
key_cache_free(struct key_cache *cache)
{
    key_cache_clear(cache);
    free(cache);
}

bool
key_cache_use(struct key_cache *cache, uint64_t key)
{
    struct held *held;
    bool hit;

    HASH_FIND(hh, cache->by_key, &key, sizeof(key), held);
    hit = held != NULL;
    if (!hit) {
        held = xcalloc(1, sizeof(*held));
        held->key = key;
        HASH_ADD(hh, cache->by_key, key, sizeof(held->key), held);
    }
    else {
        DL_DELETE(cache->by_use, held);
    }
    DL_APPEND(cache->by_use, held);
    if (HASH_COUNT(cache->by_key) > cache->keys_max) {
        drop(cache, cache->by_use);
    }
    return hit;
}
