#include "key_cache.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "core/xmalloc.h"

struct entry {
    uint64_t key;
    struct entry *prev;
    struct entry *next;
    UT_hash_handle hh;
};

struct key_cache {
    size_t keys_max;
    struct entry *by_key;
    struct entry *oldest_first;
};

struct key_cache *
key_cache_new(size_t keys_max)
{
    struct key_cache *cache = xcalloc(1, sizeof(*cache));

    cache->keys_max = keys_max;
    return cache;
}

static void
evict(struct key_cache *cache, struct entry *entry)
{
    HASH_DEL(cache->by_key, entry);
    DL_DELETE(cache->oldest_first, entry);
    free(entry);
}

void
key_cache_clear(struct key_cache *cache)
{
    while (cache->oldest_first != NULL) {
        evict(cache, cache->oldest_first);
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
    struct entry *entry;
    bool hit;

    HASH_FIND(hh, cache->by_key, &key, sizeof(key), entry);
    hit = entry != NULL;
    if (!hit) {
        entry = xcalloc(1, sizeof(*entry));
        entry->key = key;
        HASH_ADD(hh, cache->by_key, key, sizeof(entry->key), entry);
    }
    else {
        DL_DELETE(cache->oldest_first, entry);
    }
    DL_APPEND(cache->oldest_first, entry);
    if (HASH_COUNT(cache->by_key) > cache->keys_max) {
        evict(cache, cache->oldest_first);
    }
    return hit;
}
