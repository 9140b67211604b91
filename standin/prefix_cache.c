#include "prefix_cache.h"

#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "core/xmalloc.h"

#define TOKEN_BYTES 4
#define BLOCK_TOKENS 16
#define BLOCK_BYTES (BLOCK_TOKENS * TOKEN_BYTES)

struct block {
    uint64_t hash; ///< of the prefix that ends with this block
    struct block *prev;
    struct block *next;
    UT_hash_handle hh;
};

struct prefix_cache {
    size_t blocks_max;
    struct block *blocks;
    struct block *lru; ///< all blocks, least recently used first
};

struct prefix_cache *
prefix_cache_new(size_t tokens_max)
{
    struct prefix_cache *cache = xcalloc(1, sizeof(*cache));

    cache->blocks_max = tokens_max / BLOCK_TOKENS;
    return cache;
}

static void
block_free(struct prefix_cache *cache, struct block *block)
{
    HASH_DEL(cache->blocks, block);
    DL_DELETE(cache->lru, block);
    free(block);
}

void
prefix_cache_clear(struct prefix_cache *cache)
{
    while (cache->lru != NULL) {
        block_free(cache, cache->lru);
    }
}

void
prefix_cache_free(struct prefix_cache *cache)
{
    if (cache == NULL) {
        return;
    }
    prefix_cache_clear(cache);
    free(cache);
}

static struct block *
find_block(const struct prefix_cache *cache, uint64_t hash)
{
    struct block *block;

    HASH_FIND(hh, cache->blocks, &hash, sizeof(hash), block);
    return block;
}

static void
insert_or_touch(struct prefix_cache *cache, uint64_t hash)
{
    struct block *block = find_block(cache, hash);

    if (block == NULL) {
        block = xcalloc(1, sizeof(*block));
        block->hash = hash;
        HASH_ADD(hh, cache->blocks, hash, sizeof(block->hash), block);
    }
    else {
        DL_DELETE(cache->lru, block);
    }
    DL_APPEND(cache->lru, block);
    while (HASH_COUNT(cache->blocks) > cache->blocks_max) {
        block_free(cache, cache->lru);
    }
}

static uint64_t
next_hash(uint64_t hash, struct str prompt, size_t offset)
{
    return str_hash((struct str){prompt.data + offset, BLOCK_BYTES}, hash);
}

size_t
prefix_cache_match(const struct prefix_cache *cache, struct str prompt)
{
    uint64_t hash = 0;
    size_t offset = 0;

    while (offset + BLOCK_BYTES <= prompt.len) {
        hash = next_hash(hash, prompt, offset);
        if (find_block(cache, hash) == NULL) {
            break;
        }
        offset += BLOCK_BYTES;
    }
    return offset / TOKEN_BYTES;
}

size_t
prefix_cache_use(struct prefix_cache *cache, struct str prompt)
{
    size_t matched = prefix_cache_match(cache, prompt);
    uint64_t hash = 0;

    for (size_t offset = 0; offset + BLOCK_BYTES <= prompt.len;
         offset += BLOCK_BYTES) {
        hash = next_hash(hash, prompt, offset);
        insert_or_touch(cache, hash);
    }
    return matched;
}

size_t
prefix_cache_tokens(struct str text)
{
    return (text.len + TOKEN_BYTES - 1) / TOKEN_BYTES;
}
