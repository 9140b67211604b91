#include "catalog.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "xmalloc.h"

#define ROUTE_KEY_BYTES_MAX 2048

/// A route that several versions may contain.
struct shared_route {
    size_t references;
    struct catalog_route route;
    struct str key; ///< host and prefix, concatenated
    struct catalog_digest digest;
};

struct route_entry {
    struct shared_route *shared;
    UT_hash_handle hh;        ///< by key
    UT_hash_handle by_digest; ///< if is_indexed
    bool is_indexed;
};

struct service_entry {
    struct catalog_service service;
    UT_hash_handle hh;
};

struct account_entry {
    struct catalog_account account;
    struct account_entry *next;
};

struct key_entry {
    struct str key;
    const struct catalog_account *account;
    UT_hash_handle hh;
};

struct catalog {
    size_t references;
    int64_t version;
    struct catalog_limits limits;
    struct route_entry *routes;
    struct route_entry *routes_by_digest;
    size_t reused_routes;
    struct service_entry *services;
    struct account_entry *accounts;
    struct key_entry *keys;
};

struct catalog *
catalog_new(int64_t version)
{
    struct catalog *catalog = xcalloc(1, sizeof(*catalog));

    catalog->references = 1;
    catalog->version = version;
    return catalog;
}

struct catalog *
catalog_ref(struct catalog *catalog)
{
    catalog->references++;
    return catalog;
}

static void
unref_route(struct shared_route *shared)
{
    struct catalog_route *route = &shared->route;

    if (--shared->references > 0) {
        return;
    }
    free((char *)route->name.data);
    free((char *)route->host.data);
    free((char *)route->prefix.data);
    for (size_t i = 0; i < route->target_count; i++) {
        free((char *)route->targets[i].service.data);
    }
    free((char *)shared->key.data);
    free(shared);
}

static void
remove_route(struct catalog *catalog, struct route_entry *entry)
{
    if (entry->is_indexed) {
        HASH_DELETE(by_digest, catalog->routes_by_digest, entry);
    }
    HASH_DEL(catalog->routes, entry);
    unref_route(entry->shared);
    free(entry);
}

static void
free_entries(struct catalog *catalog)
{
    struct route_entry *route, *next_route;
    struct service_entry *service, *next_service;
    struct key_entry *key, *next_key;

    HASH_ITER(hh, catalog->routes, route, next_route)
    {
        remove_route(catalog, route);
    }
    HASH_ITER(hh, catalog->services, service, next_service)
    {
        HASH_DEL(catalog->services, service);
        free((char *)service->service.name.data);
        free(service);
    }
    HASH_ITER(hh, catalog->keys, key, next_key)
    {
        HASH_DEL(catalog->keys, key);
        free((char *)key->key.data);
        free(key);
    }
    while (catalog->accounts != NULL) {
        struct account_entry *account = catalog->accounts;

        catalog->accounts = account->next;
        free((char *)account->account.name.data);
        free(account);
    }
}

void
catalog_unref(struct catalog *catalog)
{
    if (catalog == NULL || --catalog->references > 0) {
        return;
    }
    free_entries(catalog);
    free(catalog);
}

void
catalog_set_limits(struct catalog *catalog,
                   const struct catalog_limits *limits)
{
    catalog->limits = *limits;
}

/// Writes host in lower case, without port, and prefix to `out`; an empty
/// string if they are longer than ROUTE_KEY_BYTES_MAX.
static struct str
route_key(char *out, struct str host, struct str prefix)
{
    const char *colon = memchr(host.data, ':', host.len);
    size_t host_len = colon != NULL ? (size_t)(colon - host.data) : host.len;

    if (host_len + prefix.len > ROUTE_KEY_BYTES_MAX) {
        return (struct str){0};
    }
    for (size_t i = 0; i < host_len; i++) {
        out[i] = (char)tolower((unsigned char)host.data[i]);
    }
    if (prefix.len > 0) {
        memcpy(out + host_len, prefix.data, prefix.len);
    }
    return (struct str){out, host_len + prefix.len};
}

/// Adds a route and takes over one reference; one with the same host and
/// prefix is replaced.
static void
insert_route(struct catalog *catalog, struct shared_route *shared)
{
    struct route_entry *entry = xcalloc(1, sizeof(*entry));
    struct route_entry *old;

    entry->shared = shared;
    HASH_FIND(hh, catalog->routes, shared->key.data, shared->key.len, old);
    if (old != NULL) {
        remove_route(catalog, old);
    }
    HASH_ADD_KEYPTR(hh, catalog->routes, shared->key.data, shared->key.len,
                    entry);
    if (shared->digest.low == 0 && shared->digest.high == 0) {
        return;
    }
    HASH_FIND(by_digest, catalog->routes_by_digest, &shared->digest,
              sizeof(shared->digest), old);
    if (old == NULL) {
        entry->is_indexed = true;
        HASH_ADD_KEYPTR(by_digest, catalog->routes_by_digest, &shared->digest,
                        sizeof(shared->digest), entry);
    }
}

void
catalog_add_route(struct catalog *catalog, const struct catalog_route *route,
                  const struct catalog_digest *digest)
{
    struct shared_route *shared = xcalloc(1, sizeof(*shared));
    char buffer[ROUTE_KEY_BYTES_MAX];

    shared->references = 1;
    shared->route = *route;
    shared->route.name = str_copy(route->name);
    shared->route.host = str_copy(route->host);
    shared->route.prefix = str_copy(route->prefix);
    for (size_t i = 0; i < route->target_count; i++) {
        shared->route.targets[i].service = str_copy(route->targets[i].service);
    }
    shared->key = str_copy(route_key(buffer, route->host, route->prefix));
    if (digest != NULL) {
        shared->digest = *digest;
    }
    insert_route(catalog, shared);
}

bool
catalog_reuse_route(struct catalog *catalog, const struct catalog *before,
                    const struct catalog_digest *digest)
{
    struct route_entry *entry;

    HASH_FIND(by_digest, before->routes_by_digest, digest, sizeof(*digest),
              entry);
    if (entry == NULL) {
        return false;
    }
    entry->shared->references++;
    insert_route(catalog, entry->shared);
    catalog->reused_routes++;
    return true;
}

void
catalog_add_service(struct catalog *catalog,
                    const struct catalog_service *service)
{
    struct service_entry *entry;

    if (catalog_find_service(catalog, service->name) != NULL) {
        return;
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->service = *service;
    entry->service.name = str_copy(service->name);
    HASH_ADD_KEYPTR(hh, catalog->services, entry->service.name.data,
                    entry->service.name.len, entry);
}

static void
tighten_gap_target(struct catalog *catalog, struct str name, int64_t target_ms)
{
    struct service_entry *entry;

    HASH_FIND(hh, catalog->services, name.data, name.len, entry);
    if (entry != NULL && (entry->service.gap_target_ms == 0 ||
                          target_ms < entry->service.gap_target_ms)) {
        entry->service.gap_target_ms = target_ms;
    }
}

void
catalog_set_gap_targets(struct catalog *catalog)
{
    const struct route_entry *entry;

    for (entry = catalog->routes; entry != NULL; entry = entry->hh.next) {
        const struct catalog_route *route = &entry->shared->route;

        if ((route->kind != ROUTE_STREAM && route->kind != ROUTE_RESUMABLE) ||
            route->event_gap_target_ms <= 0) {
            continue;
        }
        for (size_t i = 0; i < route->target_count; i++) {
            tighten_gap_target(catalog, route->targets[i].service,
                               route->event_gap_target_ms);
        }
    }
}

void
catalog_add_account(struct catalog *catalog,
                    const struct catalog_account *account,
                    const struct str *keys, size_t key_count)
{
    struct account_entry *entry = xcalloc(1, sizeof(*entry));

    entry->account = *account;
    entry->account.name = str_copy(account->name);
    entry->next = catalog->accounts;
    catalog->accounts = entry;
    for (size_t i = 0; i < key_count; i++) {
        struct key_entry *key;

        if (keys[i].len == 0 ||
            catalog_find_account(catalog, keys[i]) != NULL) {
            continue;
        }
        key = xcalloc(1, sizeof(*key));
        key->key = str_copy(keys[i]);
        key->account = &entry->account;
        HASH_ADD_KEYPTR(hh, catalog->keys, key->key.data, key->key.len, key);
    }
}

int64_t
catalog_version(const struct catalog *catalog)
{
    return catalog->version;
}

const struct catalog_limits *
catalog_limits(const struct catalog *catalog)
{
    return &catalog->limits;
}

size_t
catalog_route_count(const struct catalog *catalog)
{
    return HASH_COUNT(catalog->routes);
}

size_t
catalog_reused_route_count(const struct catalog *catalog)
{
    return catalog->reused_routes;
}

bool
catalog_has_accounts(const struct catalog *catalog)
{
    return catalog->accounts != NULL;
}

const struct catalog_route *
catalog_find_route(const struct catalog *catalog, struct str host,
                   struct str path)
{
    char buffer[ROUTE_KEY_BYTES_MAX];
    size_t len = path.len;

    // Every prefix ends with a slash, so only those lengths can match.
    while (len > 0) {
        struct route_entry *entry;
        struct str key;

        while (len > 0 && path.data[len - 1] != '/') {
            len--;
        }
        if (len == 0) {
            break;
        }
        key = route_key(buffer, host, (struct str){path.data, len});
        if (key.data != NULL) {
            HASH_FIND(hh, catalog->routes, key.data, key.len, entry);
            if (entry != NULL) {
                return &entry->shared->route;
            }
        }
        len--;
    }
    return NULL;
}

const struct catalog_service *
catalog_find_service(const struct catalog *catalog, struct str name)
{
    struct service_entry *entry;

    HASH_FIND(hh, catalog->services, name.data, name.len, entry);
    return entry != NULL ? &entry->service : NULL;
}

const struct catalog_account *
catalog_find_account(const struct catalog *catalog, struct str key)
{
    struct key_entry *entry;

    HASH_FIND(hh, catalog->keys, key.data, key.len, entry);
    return entry != NULL ? entry->account : NULL;
}

const struct catalog_account *
catalog_find_account_named(const struct catalog *catalog, struct str name)
{
    const struct account_entry *entry = catalog->accounts;

    while (entry != NULL && !str_equal(entry->account.name, name)) {
        entry = entry->next;
    }
    return entry != NULL ? &entry->account : NULL;
}

int64_t
catalog_resumable_timeout_ms(const struct catalog *catalog)
{
    const struct route_entry *entry;
    int64_t longest_ms = 0;

    for (entry = catalog->routes; entry != NULL; entry = entry->hh.next) {
        const struct catalog_route *route = &entry->shared->route;

        if (route->kind == ROUTE_RESUMABLE && route->timeout_ms > longest_ms) {
            longest_ms = route->timeout_ms;
        }
    }
    return longest_ms;
}

struct str
catalog_pick_target(const struct catalog_route *route, double draw)
{
    uint64_t sum = 0;
    double remaining;

    for (size_t i = 0; i < route->target_count; i++) {
        sum += route->targets[i].weight;
    }
    remaining = draw * (double)sum;
    for (size_t i = 0; i < route->target_count; i++) {
        remaining -= route->targets[i].weight;
        if (remaining < 0) {
            return route->targets[i].service;
        }
    }
    return route->target_count > 0 ? route->targets[0].service
                                   : (struct str){0};
}
