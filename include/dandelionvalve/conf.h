/// The configuration document: one TOML text, validated as a whole. It does
/// not name its environment, so that trial and production run the same text.
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

/// What the endpoints of a pool should have loaded, and the pace of loading.
struct conf_placement {
    struct str *models;
    size_t model_count;
    struct str *adapters;
    size_t adapter_count;
    struct str role;
    double out_share_max;     ///< largest share of the pool that loads at once
    int64_t load_interval_ms; ///< between two groups of endpoints
    bool checks_fencing;
};

struct conf_pool {
    struct str name;
    enum conf_pool_kind kind;
    double bound_multiple; ///< load bound as a multiple of the pool's mean
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
    int64_t prefix_bytes;   ///< longest prefix hashed for affinity
    bool repeatable;        ///< idempotent
    bool key_required;      ///< requests need an idempotency key
    bool cut_on_disconnect; ///< cancel repeatable runs if the caller is gone
    int64_t body_bytes_max;
    int64_t deadline_ms;   ///< from the request's arrival
    int64_t first_byte_ms; ///< time-out until the first byte of the answer
    int64_t idle_ms;       ///< time-out between two parts of the answer
    int64_t priority;      ///< 0 to 9, higher first
};

struct conf_account {
    struct str name;
    unsigned char key_hash[CONF_KEY_HASH_BYTES]; ///< of the API key
    int64_t weight;        ///< of its share of an endpoint
    int64_t in_flight_max; ///< requests of the account at one router
    int64_t priority_max;  ///< higher priorities are lowered to this
};

struct conf_retry {
    int64_t attempts_max;
    int64_t budget_percent; ///< retries per 100 requests of the window
    int64_t window_ms;
};

struct conf_quarantine {
    int64_t strikes; ///< number at which a request is refused
    int64_t hold_ms; ///< time for which it is refused
};

struct conf_claims {
    int64_t window_ms; ///< time for which an idempotency key is stored
};

/// Endpoints drained by operators.
struct conf_drain {
    struct str *endpoints;
    size_t endpoint_count;
};

/// A valid document. It owns all that it points to until conf_free().
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

/// Parses and validates a document; NULL with `err` naming file, line and key.
/// `file` is used in errors only. The caller frees with conf_free().
struct conf *conf_parse(struct str text, const char *file, struct err *err);
void conf_free(struct conf *conf);

/// The pool with this name, or NULL.
const struct conf_pool *conf_find_pool(const struct conf *conf,
                                       struct str name);

/// The next route for method and path from `*position` on, or NULL. Start with
/// *position 0 and *path_matched false; `*path_matched` is set if a route has
/// the path, whatever its methods.
const struct conf_route *conf_next_route(const struct conf *conf,
                                         struct str method, struct str path,
                                         size_t *position, bool *path_matched);

/// The account with this API key, or NULL.
const struct conf_account *conf_find_account(const struct conf *conf,
                                             struct str api_key);

/// The hash of an API key as written in documents in hex.
void conf_hash_key(struct str api_key,
                   unsigned char hash[CONF_KEY_HASH_BYTES]);

bool conf_pool_has_model(const struct conf_pool *pool, struct str model);

/// True if operators are draining this endpoint.
bool conf_is_drained(const struct conf *conf, struct str endpoint);
