#include "prefix.h"

#include <stdbool.h>
#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

/// Keeps a router's memory bounded whatever the parts' sizes.
#define ENTRIES_MAX 1024
#define STATED_SEED UINT64_C(0x5bd1e995a17c0d2f)

struct entry {
    uint64_t key; ///< of the part behind those before it, or of the part alone
    uint32_t tokens;
    bool is_shared; ///< with other requests
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

/// Key of a part that the endpoint has stated by itself. Mixed, so that it
/// differs from the key of the same part as a prompt's first.
static uint64_t
stated_key(uint64_t id)
{
    return chain_hash(STATED_SEED, id);
}

static struct entry *
find(const struct prefix_belief *cache, uint64_t key)
{
    struct entry *entry;

    HASH_FIND(hh, cache->entries, &key, sizeof(key), entry);
    return entry;
}

uint32_t
prefix_belief_find(const struct prefix_belief *cache,
                   const struct prefix *prefix)
{
    uint64_t chain = 0;
    uint32_t tokens = 0;

    for (size_t i = 0; i < prefix->count; i++) {
        chain = chain_hash(chain, prefix->parts[i].id);
        if (find(cache, chain) == NULL &&
            find(cache, stated_key(prefix->parts[i].id)) == NULL) {
            break;
        }
        tokens += prefix->parts[i].tokens;
    }
    return tokens;
}

static void
note(struct prefix_belief *cache, uint64_t key, uint32_t tokens,
     bool is_shared)
{
    struct entry *entry = find(cache, key);

    if (entry != NULL) {
        entry->is_shared = entry->is_shared || is_shared;
        DL_DELETE(cache->oldest, entry);
        DL_APPEND(cache->oldest, entry);
        return;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->key = key;
    entry->tokens = tokens;
    entry->is_shared = is_shared;
    HASH_ADD(hh, cache->entries, key, sizeof(entry->key), entry);
    DL_APPEND(cache->oldest, entry);
    cache->tokens += tokens;
}

static void
limit(struct prefix_belief *cache)
{
    while (cache->oldest != NULL &&
           (cache->tokens > cache->tokens_max ||
            HASH_COUNT(cache->entries) > ENTRIES_MAX)) {
        evict(cache, cache->oldest);
    }
}

void
prefix_belief_note(struct prefix_belief *cache, const struct prefix *prefix)
{
    uint64_t chain = 0;

    for (size_t i = 0; i < prefix->count; i++) {
        chain = chain_hash(chain, prefix->parts[i].id);
        note(cache, chain, prefix->parts[i].tokens, i + 1 < prefix->count);
    }
    limit(cache);
}

uint64_t
prefix_belief_note_part(struct prefix_belief *cache, uint64_t id,
                        uint32_t tokens)
{
    uint64_t key = stated_key(id);

    note(cache, key, tokens, true);
    limit(cache);
    return key;
}

void
prefix_belief_restore(struct prefix_belief *cache, uint64_t key,
                      uint32_t tokens)
{
    if (find(cache, key) == NULL) {
        note(cache, key, tokens, true);
        limit(cache);
    }
}

void
prefix_belief_each(const struct prefix_belief *cache,
                   void (*take)(void *ctx, uint64_t key, uint32_t tokens),
                   void *ctx)
{
    const struct entry *entry;

    DL_FOREACH(cache->oldest, entry)
    {
        if (entry->is_shared) {
            take(ctx, entry->key, entry->tokens);
        }
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
