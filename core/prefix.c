#include "prefix.h"

#include <stdbool.h>
#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

/// Keeps a router's memory bounded whatever the parts' sizes.
#define ENTRIES_MAX 1024

struct entry {
    uint64_t chain; ///< hash of this part and all before it
    uint32_t tokens;
    struct entry *prev;
    struct entry *next;
    UT_hash_handle hh;
};

struct prefix_belief {
    uint64_t tokens_max;
    uint64_t tokens;
    struct entry *entries;
    struct entry *oldest;
};

static uint64_t
chain_hash(uint64_t before, uint64_t id)
{
    uint64_t mixed = (before ^ id) * UINT64_C(0x9e3779b97f4a7c15);

    return mixed ^ (mixed >> 29) ^ (before << 7);
}

struct prefix_belief *
prefix_belief_new(uint64_t tokens_max)
{
    struct prefix_belief *cache = xcalloc(1, sizeof(*cache));

    cache->tokens_max = tokens_max;
    return cache;
}

static void
evict(struct prefix_belief *cache, struct entry *entry)
{
    HASH_DEL(cache->entries, entry);
    DL_DELETE(cache->oldest, entry);
    cache->tokens -= entry->tokens;
    free(entry);
}

void
prefix_belief_clear(struct prefix_belief *cache)
{
    while (cache->oldest != NULL) {
        evict(cache, cache->oldest);
    }
}

void
prefix_belief_free(struct prefix_belief *cache)
{
    if (cache != NULL) {
        prefix_belief_clear(cache);
        free(cache);
    }
}

uint32_t
prefix_belief_find(const struct prefix_belief *cache,
                   const struct prefix *prefix)
{
    uint64_t chain = 0;
    uint32_t tokens = 0;

    for (size_t i = 0; i < prefix->count; i++) {
        struct entry *entry;

        chain = chain_hash(chain, prefix->parts[i].id);
        HASH_FIND(hh, cache->entries, &chain, sizeof(chain), entry);
        if (entry == NULL) {
            break;
        }
        tokens += prefix->parts[i].tokens;
    }
    return tokens;
}

static void
note(struct prefix_belief *cache, uint64_t chain, uint32_t tokens)
{
    struct entry *entry;

    HASH_FIND(hh, cache->entries, &chain, sizeof(chain), entry);
    if (entry != NULL) {
        DL_DELETE(cache->oldest, entry);
        DL_APPEND(cache->oldest, entry);
        return;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->chain = chain;
    entry->tokens = tokens;
    HASH_ADD(hh, cache->entries, chain, sizeof(entry->chain), entry);
    DL_APPEND(cache->oldest, entry);
    cache->tokens += tokens;
}

void
prefix_belief_note(struct prefix_belief *cache, const struct prefix *prefix)
{
    uint64_t chain = 0;

    for (size_t i = 0; i < prefix->count; i++) {
        chain = chain_hash(chain, prefix->parts[i].id);
        note(cache, chain, prefix->parts[i].tokens);
    }
    while (cache->oldest != NULL &&
           (cache->tokens > cache->tokens_max ||
            HASH_COUNT(cache->entries) > ENTRIES_MAX)) {
        evict(cache, cache->oldest);
    }
}

uint64_t
prefix_belief_tokens(const struct prefix_belief *cache)
{
    return cache->tokens;
}

uint32_t
prefix_tokens(const struct prefix *prefix)
{
    uint32_t tokens = 0;

    for (size_t i = 0; i < prefix->count; i++) {
        tokens += prefix->parts[i].tokens;
    }
    return tokens;
}

uint32_t
prefix_shared_tokens(const struct prefix *prefix)
{
    return prefix->count > 0 ? prefix_tokens(prefix) -
                                   prefix->parts[prefix->count - 1].tokens
                             : 0;
}

uint64_t
prefix_affinity(const struct prefix *prefix)
{
    size_t shared = prefix->count > 1 ? prefix->count - 1 : prefix->count;
    uint64_t chain = 0;

    for (size_t i = 0; i < shared; i++) {
        chain = chain_hash(chain, prefix->parts[i].id);
    }
    return chain;
}
