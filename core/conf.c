#include "dandelionvalve/conf.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <uthash.h>

#include "toml.h"
#include "xmalloc.h"

#define DAY_MS (24 * 3600 * 1000LL)
#define POOLS_MAX 1000
#define ROUTES_MAX 1000
#define ACCOUNTS_MAX 200000
#define REQUEST_BODY_BYTES_MAX (16 * 1024 * 1024LL)

struct account_entry {
    unsigned char key_hash[CONF_KEY_HASH_BYTES];
    const struct conf_account *account;
    UT_hash_handle hh;
};

struct conf_index {
    struct toml_doc *doc;
    struct account_entry *entries;
    struct account_entry *by_key_hash;
};

static bool
is_name(struct str name)
{
    if (name.len == 0 || name.len > 64) {
        return false;
    }
    for (size_t i = 0; i < name.len; i++) {
        char c = name.data[i];
        bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        bool digit = c >= '0' && c <= '9';

        if (!letter && !digit && c != '-' && c != '_' && c != '.') {
            return false;
        }
    }
    return true;
}

static void
read_name(struct toml_table *table, const char *key, struct str *name,
          struct err *err)
{
    toml_require(table, key, err);
    toml_get_string(table, key, name, err);
    if (err->code == ERR_NONE && !is_name(*name)) {
        toml_error(table, key, err,
                   "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
}

static struct str *
read_strings(struct toml_table *table, const char *key, size_t *count,
             struct err *err)
{
    struct str *strings;

    *count = toml_string_count(table, key, err);
    if (*count == 0) {
        return NULL;
    }
    strings = xcalloc(*count, sizeof(*strings));
    for (size_t i = 0; i < *count; i++) {
        strings[i] = toml_string_at(table, key, i);
    }
    return strings;
}

static int
read_choice(struct toml_table *table, const char *key,
            const char *const *choices, int current, struct err *err)
{
    struct str text = {0};
    char names[128] = "";

    toml_get_string(table, key, &text, err);
    if (text.data == NULL) {
        return current;
    }
    for (int i = 0; choices[i] != NULL; i++) {
        if (str_equal_c(text, choices[i])) {
            return i;
        }
        strncat(names, i > 0 ? ", " : "", sizeof(names) - strlen(names) - 1);
        strncat(names, choices[i], sizeof(names) - strlen(names) - 1);
    }
    toml_error(table, key, err, "must be one of %s", names);
    return current;
}

static void
read_placement(struct toml_table *table, struct conf_placement *placement,
               struct err *err)
{
    *placement = (struct conf_placement){
        .role = STR_LITERAL("serve"),
        .out_share_max = 0.1,
        .load_interval_ms = 1000,
    };
    if (table == NULL) {
        return;
    }
    placement->models =
        read_strings(table, "models", &placement->model_count, err);
    placement->adapters =
        read_strings(table, "adapters", &placement->adapter_count, err);
    toml_get_string(table, "role", &placement->role, err);
    toml_get_double(table, "out_share_max", 0.001, 1.0,
                    &placement->out_share_max, err);
    toml_get_int(table, "load_interval_ms", 1, DAY_MS,
                 &placement->load_interval_ms, err);
    toml_get_bool(table, "checks_fencing", &placement->checks_fencing, err);
}

static void
read_pool(struct toml_table *table, struct conf_pool *pool, struct err *err)
{
    static const char *const kinds[] = {"model", "service", NULL};

    *pool = (struct conf_pool){
        .bound_multiple = 1.25,
        .queue_requests = 256,
        .queue_bytes = 32 * 1024 * 1024,
        .import_bytes_per_s = 1e9,
        .prefill_tokens_per_s = 5000,
        .kv_bytes_per_token = 100000,
    };
    read_name(table, "name", &pool->name, err);
    toml_require(table, "kind", err);
    pool->kind =
        (enum conf_pool_kind)read_choice(table, "kind", kinds, 0, err);
    toml_get_double(table, "bound_multiple", 1.01, 100, &pool->bound_multiple,
                    err);
    toml_get_int(table, "queue_requests", 0, 1000000, &pool->queue_requests,
                 err);
    toml_get_int(table, "queue_bytes", 0, 1LL << 32, &pool->queue_bytes, err);
    toml_get_double(table, "import_bytes_per_s", 1, 1e12,
                    &pool->import_bytes_per_s, err);
    toml_get_double(table, "prefill_tokens_per_s", 1, 1e9,
                    &pool->prefill_tokens_per_s, err);
    toml_get_double(table, "kv_bytes_per_token", 1, 1e9,
                    &pool->kv_bytes_per_token, err);
    read_placement(toml_subtable(table, "placement", err), &pool->placement,
                   err);
    if (err->code == ERR_NONE && pool->kind == CONF_POOL_MODEL &&
        pool->placement.model_count == 0) {
        toml_error(table, "name", err, "a model pool needs placement.models");
    }
}

static void
read_pools(struct conf *conf, struct toml_table *root, struct err *err)
{
    size_t count = toml_table_count(root, "pool", err);

    if (count == 0 || count > POOLS_MAX) {
        toml_error(root, "pool", err, "needs 1 to %d entries", POOLS_MAX);
        return;
    }
    conf->pools = xcalloc(count, sizeof(*conf->pools));
    for (size_t i = 0; i < count; i++) {
        struct toml_table *table = toml_table_at(root, "pool", i);

        read_pool(table, &conf->pools[i], err);
        if (err->code == ERR_NONE &&
            conf_find_pool(conf, conf->pools[i].name) != NULL) {
            toml_error(table, "name", err, "stands twice");
        }
        conf->pool_count = i + 1;
    }
}

static bool
is_path(struct str path)
{
    return path.len > 0 && path.len <= 1024 && path.data[0] == '/';
}

static void
read_route_limits(struct toml_table *table, struct conf_route *route,
                  struct err *err)
{
    toml_get_int(table, "body_bytes_max", 0, REQUEST_BODY_BYTES_MAX,
                 &route->body_bytes_max, err);
    toml_get_int(table, "deadline_ms", 1, DAY_MS, &route->deadline_ms, err);
    toml_get_int(table, "first_byte_ms", 1, DAY_MS, &route->first_byte_ms,
                 err);
    toml_get_int(table, "idle_ms", 1, DAY_MS, &route->idle_ms, err);
    toml_get_int(table, "priority", 0, 9, &route->priority, err);
}

static void
read_route(const struct conf *conf, struct toml_table *table,
           struct conf_route *route, struct err *err)
{
    static const char *const affinities[] = {"none", "chat", "prefix", NULL};
    struct str pool = {0};

    *route = (struct conf_route){
        .prefix_bytes = 4096,
        .cut_on_disconnect = true,
        .body_bytes_max = 1024 * 1024,
        .deadline_ms = 120000,
        .first_byte_ms = 60000,
        .idle_ms = 30000,
        .priority = 5,
    };
    read_name(table, "name", &route->name, err);
    toml_require(table, "path", err);
    toml_get_string(table, "path", &route->path, err);
    if (err->code == ERR_NONE && !is_path(route->path)) {
        toml_error(table, "path", err, "must start with '/'");
    }
    route->methods = read_strings(table, "methods", &route->method_count, err);
    toml_require(table, "pool", err);
    toml_get_string(table, "pool", &pool, err);
    route->pool = conf_find_pool(conf, pool);
    if (err->code == ERR_NONE && route->pool == NULL) {
        toml_error(table, "pool", err, "no pool has the name '" STR_FMT "'",
                   STR_ARG(pool));
    }
    route->affinity =
        (enum conf_affinity)read_choice(table, "affinity", affinities, 0, err);
    toml_get_int(table, "prefix_bytes", 1, 1 << 20, &route->prefix_bytes, err);
    toml_require(table, "repeatable", err);
    toml_get_bool(table, "repeatable", &route->repeatable, err);
    toml_get_bool(table, "key_required", &route->key_required, err);
    toml_get_bool(table, "cut_on_disconnect", &route->cut_on_disconnect, err);
    read_route_limits(table, route, err);
}

static void
read_routes(struct conf *conf, struct toml_table *root, struct err *err)
{
    size_t count = toml_table_count(root, "route", err);

    if (count == 0 || count > ROUTES_MAX) {
        toml_error(root, "route", err, "needs 1 to %d entries", ROUTES_MAX);
        return;
    }
    conf->routes = xcalloc(count, sizeof(*conf->routes));
    conf->route_count = count;
    for (size_t i = 0; i < count; i++) {
        struct toml_table *table = toml_table_at(root, "route", i);

        read_route(conf, table, &conf->routes[i], err);
        for (size_t j = 0; j < i && err->code == ERR_NONE; j++) {
            if (str_equal(conf->routes[j].name, conf->routes[i].name)) {
                toml_error(table, "name", err, "stands twice");
            }
        }
    }
}

static void
read_account(struct toml_table *table, struct conf_account *account,
             struct err *err)
{
    struct str hash = {0};

    *account = (struct conf_account){
        .weight = 1,
        .in_flight_max = 1000000,
        .priority_max = 9,
    };
    read_name(table, "name", &account->name, err);
    toml_require(table, "key_hash", err);
    toml_get_string(table, "key_hash", &hash, err);
    if (err->code == ERR_NONE &&
        !hex_decode(hash, account->key_hash, sizeof(account->key_hash))) {
        toml_error(table, "key_hash", err, "must be %d hex digits",
                   2 * CONF_KEY_HASH_BYTES);
    }
    toml_get_int(table, "weight", 1, 1000, &account->weight, err);
    toml_get_int(table, "in_flight_max", 1, 1000000, &account->in_flight_max,
                 err);
    toml_get_int(table, "priority_max", 0, 9, &account->priority_max, err);
}

static void
index_account(struct conf *conf, struct toml_table *table, size_t i,
              struct err *err)
{
    struct conf_index *index = conf->index;
    struct account_entry *entry = &index->entries[i];
    struct account_entry *same;

    memcpy(entry->key_hash, conf->accounts[i].key_hash,
           sizeof(entry->key_hash));
    entry->account = &conf->accounts[i];
    HASH_FIND(hh, index->by_key_hash, entry->key_hash, sizeof(entry->key_hash),
              same);
    if (same != NULL) {
        toml_error(table, "key_hash", err,
                   "is the same as that of account '" STR_FMT "'",
                   STR_ARG(same->account->name));
        return;
    }
    HASH_ADD(hh, index->by_key_hash, key_hash, sizeof(entry->key_hash), entry);
}

static void
read_accounts(struct conf *conf, struct toml_table *root, struct err *err)
{
    size_t count = toml_table_count(root, "account", err);

    if (count == 0 || count > ACCOUNTS_MAX) {
        toml_error(root, "account", err, "needs 1 to %d entries",
                   ACCOUNTS_MAX);
        return;
    }
    conf->accounts = xcalloc(count, sizeof(*conf->accounts));
    conf->account_count = count;
    conf->index->entries = xcalloc(count, sizeof(*conf->index->entries));
    for (size_t i = 0; i < count && err->code == ERR_NONE; i++) {
        struct toml_table *table = toml_table_at(root, "account", i);

        read_account(table, &conf->accounts[i], err);
        if (err->code == ERR_NONE) {
            index_account(conf, table, i, err);
        }
    }
}

static void
read_policies(struct conf *conf, struct toml_table *root, struct err *err)
{
    struct toml_table *table;

    conf->retry = (struct conf_retry){
        .attempts_max = 3, .budget_percent = 10, .window_ms = 10000};
    conf->quarantine =
        (struct conf_quarantine){.strikes = 2, .hold_ms = 600000};
    conf->claims = (struct conf_claims){.window_ms = DAY_MS};
    table = toml_subtable(root, "retry", err);
    if (table != NULL) {
        toml_get_int(table, "attempts_max", 1, 10, &conf->retry.attempts_max,
                     err);
        toml_get_int(table, "budget_percent", 0, 100,
                     &conf->retry.budget_percent, err);
        toml_get_int(table, "window_ms", 100, 600000, &conf->retry.window_ms,
                     err);
    }
    table = toml_subtable(root, "quarantine", err);
    if (table != NULL) {
        toml_get_int(table, "strikes", 1, 10, &conf->quarantine.strikes, err);
        toml_get_int(table, "hold_ms", 1000, DAY_MS, &conf->quarantine.hold_ms,
                     err);
    }
    table = toml_subtable(root, "claims", err);
    if (table != NULL) {
        toml_get_int(table, "window_ms", 1000, 30 * DAY_MS,
                     &conf->claims.window_ms, err);
    }
    table = toml_subtable(root, "drain", err);
    if (table != NULL) {
        conf->drain.endpoints =
            read_strings(table, "endpoints", &conf->drain.endpoint_count, err);
    }
}

struct conf *
conf_parse(struct str text, const char *file, struct err *err)
{
    struct conf *conf = NULL;
    struct toml_doc *doc = toml_parse(text, file, err);
    struct toml_table *root;

    if (doc == NULL) {
        return NULL;
    }
    conf = xcalloc(1, sizeof(*conf));
    conf->index = xcalloc(1, sizeof(*conf->index));
    conf->index->doc = doc;
    root = toml_root(doc);
    read_pools(conf, root, err);
    if (err->code == ERR_NONE) {
        read_routes(conf, root, err);
    }
    if (err->code == ERR_NONE) {
        read_accounts(conf, root, err);
    }
    if (err->code == ERR_NONE) {
        read_policies(conf, root, err);
    }
    if (err->code == ERR_NONE) {
        toml_check_unknown(doc, err);
    }
    if (err->code != ERR_NONE) {
        conf_free(conf);
        return NULL;
    }
    return conf;
}

void
conf_free(struct conf *conf)
{
    if (conf == NULL) {
        return;
    }
    for (size_t i = 0; i < conf->pool_count; i++) {
        free(conf->pools[i].placement.models);
        free(conf->pools[i].placement.adapters);
    }
    for (size_t i = 0; i < conf->route_count; i++) {
        free(conf->routes[i].methods);
    }
    free(conf->pools);
    free(conf->routes);
    free(conf->accounts);
    free(conf->drain.endpoints);
    HASH_CLEAR(hh, conf->index->by_key_hash);
    free(conf->index->entries);
    toml_free(conf->index->doc);
    free(conf->index);
    free(conf);
}

const struct conf_pool *
conf_find_pool(const struct conf *conf, struct str name)
{
    for (size_t i = 0; i < conf->pool_count; i++) {
        if (str_equal(conf->pools[i].name, name)) {
            return &conf->pools[i];
        }
    }
    return NULL;
}

static bool
path_matches(struct str pattern, struct str path)
{
    size_t len = pattern.len;

    if (len >= 2 && pattern.data[len - 1] == '*' &&
        pattern.data[len - 2] == '/') {
        return path.len >= len - 1 &&
               !memcmp(pattern.data, path.data, len - 1);
    }
    return str_equal(pattern, path);
}

static bool
method_matches(const struct conf_route *route, struct str method)
{
    if (route->method_count == 0) {
        return true;
    }
    for (size_t i = 0; i < route->method_count; i++) {
        if (str_equal(route->methods[i], method)) {
            return true;
        }
    }
    return false;
}

const struct conf_route *
conf_next_route(const struct conf *conf, struct str method, struct str path,
                size_t *position, bool *path_matched)
{
    while (*position < conf->route_count) {
        const struct conf_route *route = &conf->routes[(*position)++];

        if (!path_matches(route->path, path)) {
            continue;
        }
        *path_matched = true;
        if (method_matches(route, method)) {
            return route;
        }
    }
    return NULL;
}

void
conf_hash_key(struct str api_key, unsigned char hash[CONF_KEY_HASH_BYTES])
{
    crypto_generichash(hash, CONF_KEY_HASH_BYTES,
                       (const unsigned char *)api_key.data, api_key.len, NULL,
                       0);
}

const struct conf_account *
conf_find_account(const struct conf *conf, struct str api_key)
{
    unsigned char hash[CONF_KEY_HASH_BYTES];
    struct account_entry *entry;

    conf_hash_key(api_key, hash);
    HASH_FIND(hh, conf->index->by_key_hash, hash, sizeof(hash), entry);
    return entry != NULL ? entry->account : NULL;
}

bool
conf_pool_has_model(const struct conf_pool *pool, struct str model)
{
    for (size_t i = 0; i < pool->placement.model_count; i++) {
        if (str_equal(pool->placement.models[i], model)) {
            return true;
        }
    }
    return false;
}

bool
conf_is_drained(const struct conf *conf, struct str endpoint)
{
    for (size_t i = 0; i < conf->drain.endpoint_count; i++) {
        if (str_equal(conf->drain.endpoints[i], endpoint)) {
            return true;
        }
    }
    return false;
}
