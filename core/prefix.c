#include "prefix.h"

#include <stdbool.h>
#include <stdlib.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

/// Limits the memory of a router, whatever the sizes of the parts.
#define ENTRIES_MAX 1024
/// Start value of the keys of reported parts.
#define REPORTED_SEED UINT64_C(0x5bd1e995a17c0d2f)

struct entry {
    uint64_t key; ///< hash of the part and those before it, or of it alone
    uint32_t tokens;
    bool is_shareable; ///< with other requests
    struct entry *prev;
    struct entry *next;
    UT_hash_handle hh;
};

struct prefix_estimate {
    uint64_t tokens_max;
    uint64_t tokens;
    struct entry *entries;
    struct entry *by_use; ///< least recently used first
};

static uint64_t
chain_hash(uint64_t previous, uint64_t id)
{
    uint64_t mixed = (previous ^ id) * UINT64_C(0x9e3779b97f4a7c15);

    return mixed ^ (mixed >> 29) ^ (previous << 7);
}

struct prefix_estimate *
prefix_estimate_new(uint64_t tokens_max)
{
    struct prefix_estimate *estimate = xcalloc(1, sizeof(*estimate));

    estimate->tokens_max = tokens_max;
    return estimate;
}

static void
evict(struct prefix_estimate *estimate, struct entry *entry)
{
    HASH_DEL(estimate->entries, entry);
    DL_DELETE(estimate->by_use, entry);
    estimate->tokens -= entry->tokens;
    free(entry);
}

void
prefix_estimate_clear(struct prefix_estimate *estimate)
{
    while (estimate->by_use != NULL) {
        evict(estimate, estimate->by_use);
    }
}

void
prefix_estimate_free(struct prefix_estimate *estimate)
{
    if (estimate != NULL) {
        prefix_estimate_clear(estimate);
        free(estimate);
    }
}

/// Key of a part that the endpoint has reported. It differs from the key of
/// the same part at the start of a prompt.
static uint64_t
reported_key(uint64_t id)
{
    return chain_hash(REPORTED_SEED, id);
}

static struct entry *
find(const struct prefix_estimate *estimate, uint64_t key)
{
    struct entry *entry;

    HASH_FIND(hh, estimate->entries, &key, sizeof(key), entry);
    return entry;
}

uint32_t
prefix_estimate_match(const struct prefix_estimate *estimate,
                      const struct prefix *prefix)
{
    uint64_t chain = 0;
    uint32_t tokens = 0;

    for (size_t i = 0; i < prefix->count; i++) {
        chain = chain_hash(chain, prefix->parts[i].id);
        if (find(estimate, chain) == NULL &&
            find(estimate, reported_key(prefix->parts[i].id)) == NULL) {
            break;
        }
        tokens += prefix->parts[i].tokens;
    }
    return tokens;
}

static void
touch_or_add(struct prefix_estimate *estimate, uint64_t key, uint32_t tokens,
             bool is_shareable)
{
    struct entry *entry = find(estimate, key);

    if (entry != NULL) {
        entry->is_shareable = entry->is_shareable || is_shareable;
        DL_DELETE(estimate->by_use, entry);
        DL_APPEND(estimate->by_use, entry);
        return;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->key = key;
    entry->tokens = tokens;
    entry->is_shareable = is_shareable;
    HASH_ADD(hh, estimate->entries, key, sizeof(entry->key), entry);
    DL_APPEND(estimate->by_use, entry);
    estimate->tokens += tokens;
}

static void
evict_excess(struct prefix_estimate *estimate)
{
    while (estimate->by_use != NULL &&
           (estimate->tokens > estimate->tokens_max ||
            HASH_COUNT(estimate->entries) > ENTRIES_MAX)) {
        evict(estimate, estimate->by_use);
    }
}

void
prefix_estimate_add(struct prefix_estimate *estimate,
                    const struct prefix *prefix)
{
    uint64_t chain = 0;

    for (size_t i = 0; i < prefix->count; i++) {
        chain = chain_hash(chain, prefix->parts[i].id);
        touch_or_add(estimate, chain, prefix->parts[i].tokens,
                     i + 1 < prefix->count);
    }
    evict_excess(estimate);
}

uint64_t
prefix_estimate_add_reported(struct prefix_estimate *estimate, uint64_t id,
                             uint32_t tokens)
{
    uint64_t key = reported_key(id);

    touch_or_add(estimate, key, tokens, true);
    evict_excess(estimate);
    return key;
}

void
prefix_estimate_import(struct prefix_estimate *estimate, uint64_t key,
                       uint32_t tokens)
{
    if (find(estimate, key) == NULL) {
        touch_or_add(estimate, key, tokens, true);
        evict_excess(estimate);
    }
}

void
prefix_estimate_each(const struct prefix_estimate *estimate,
                     void (*visit)(void *ctx, uint64_t key, uint32_t tokens),
                     void *ctx)
{
    const struct entry *entry;

    DL_FOREACH(estimate->by_use, entry)
    {
        if (entry->is_shareable) {
            visit(ctx, entry->key, entry->tokens);
        }
    }
}

uint64_t
prefix_estimate_tokens(const struct prefix_estimate *estimate)
{
    return estimate->tokens;
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
