/// The configuration document: one TOML text, checked wholly. It does not name
/// its environment, so that trial and production run the very same text.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

#define CONF_KEY_HASH_BYTES 32

enum conf_pool_kind {
    CONF_POOL_MODEL,
    CONF_POOL_SERVICE,
};

enum conf_affinity {
    CONF_AFFINITY_NONE,
    CONF_AFFINITY_CHAT,
    CONF_AFFINITY_PREFIX,
};

/// What an endpoint of a pool should have loaded, and how loads are paced.
struct conf_placement {
    struct str *models;
    size_t model_count;
    struct str *adapters;
    size_t adapter_count;
    struct str role;
    double out_share_max;
    int64_t load_interval_ms;
    bool checks_fencing;
};

struct conf_pool {
    struct str name;
    enum conf_pool_kind kind;
    double bound_multiple;
    int64_t queue_requests;
    int64_t queue_bytes;
    double import_bytes_per_s;
    double prefill_tokens_per_s;
    double kv_bytes_per_token;
    struct conf_placement placement;
};

struct conf_route {
    struct str name;
    struct str path; ///< exact, or a prefix if it ends in "/*"
    struct str *methods;
    size_t method_count;
    const struct conf_pool *pool;
    enum conf_affinity affinity;
    int64_t prefix_bytes;
    bool repeatable;
    bool key_required;
    bool cut_on_disconnect;
    int64_t body_bytes_max;
    int64_t deadline_ms;
    int64_t first_byte_ms;
    int64_t idle_ms;
    int64_t priority;
};

struct conf_account {
    struct str name;
    unsigned char key_hash[CONF_KEY_HASH_BYTES];
    int64_t weight;
    int64_t in_flight_max;
    int64_t priority_max;
};

struct conf_retry {
    int64_t attempts_max;
    int64_t budget_percent;
    int64_t window_ms;
};

struct conf_quarantine {
    int64_t strikes;
    int64_t hold_ms;
};

struct conf_claims {
    int64_t window_ms;
};

struct conf_drain {
    struct str *endpoints;
    size_t endpoint_count;
};

/// A checked document. Everything in it lives until conf_free().
struct conf {
    struct conf_pool *pools;
    size_t pool_count;
    struct conf_route *routes;
    size_t route_count;
    struct conf_account *accounts;
    size_t account_count;
    struct conf_retry retry;
    struct conf_quarantine quarantine;
    struct conf_claims claims;
    struct conf_drain drain;
    struct conf_index *index;
};

/// Parses and checks a document; NULL with `err` naming file, line and key.
/// The caller frees with conf_free().
struct conf *conf_parse(struct str text, const char *file, struct err *err);
void conf_free(struct conf *conf);

const struct conf_pool *conf_find_pool(const struct conf *conf,
                                       struct str name);

/// The first route for method and path, from `*position` on; NULL at the end.
/// Start with *position 0; `*path_matched` turns true if any route has the
/// path.
const struct conf_route *conf_next_route(const struct conf *conf,
                                         struct str method, struct str path,
                                         size_t *position, bool *path_matched);

/// The account whose API key this is, or NULL.
const struct conf_account *conf_find_account(const struct conf *conf,
                                             struct str api_key);

/// The hash of an API key as it stands in documents.
void conf_hash_key(struct str api_key,
                   unsigned char hash[CONF_KEY_HASH_BYTES]);

/// True if the model is among the pool's.
bool conf_pool_has_model(const struct conf_pool *pool, struct str model);

/// True if operators drain this endpoint.
bool conf_is_drained(const struct conf *conf, struct str endpoint);
