/// The endpoints that a router may send to, by what their entries say and
/// what their answers show.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "core/eject.h"
#include "core/place.h"
#include "core/prefix.h"
#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "net/address.h"

struct channel_pool;
struct event_base;

/// How long after the store's return an entry that lapsed meanwhile may be
/// missing before the endpoint is taken as gone. Sound endpoints are back
/// after two seconds; an entry that is removed right after the return must
/// not be used for two seconds more.
#define ENDPOINTS_LAPSE_GRACE_MS 1800
/// A load that peers told of is believed for this long.
#define ENDPOINTS_PEER_LOAD_MS 3000

/// Hidden load that no answer has shown for this long is taken as gone.
#define ENDPOINTS_UNREPORTED_LOAD_MS 2000
/// Weight of one answer's statement in the hidden load: routers' reports are
/// older than the statement.
#define ENDPOINTS_UNREPORTED_LOAD_WEIGHT 0.3

/// What one peer has in flight at an endpoint.
struct endpoint_peer_load {
    uint64_t peer;
    uint32_t in_flight;
    uint32_t backlog_tokens;
    int64_t reported_ms;
};

#define ENDPOINT_PEERS_MAX 64

struct endpoint {
    struct str id;
    struct str service;
    struct str zone;
    uint64_t zone_hash;
    struct address address;
    uint64_t hash;
    enum endpoint_state state;
    uint32_t slots;
    int64_t incarnation;
    struct channel_pool *pool;
    struct eject eject;
    struct prefix_belief *cache;
    uint32_t in_flight;          ///< own requests
    double backlog_tokens;       ///< own prompts that it has yet to read
    uint32_t reported_in_flight; ///< what peers were last told
    struct endpoint_peer_load peers[ENDPOINT_PEERS_MAX];
    size_t peer_count;
    double unreported_load; ///< runs there that no router tells of
    int64_t unreported_ms;  ///< when an answer last showed it
    bool removed;
    int64_t lapse_at_ms; ///< when a missing entry means gone; 0: not missing
    size_t references;
    UT_hash_handle hh;
    UT_hash_handle by_hash; ///< as peers name it
};

struct endpoints;

struct endpoints_options {
    struct event_base *base;
    const struct clock *clock;
    struct str zone; ///< own availability zone
};

/// The caller frees with endpoints_free().
struct endpoints *endpoints_new(const struct endpoints_options *options);
void endpoints_free(struct endpoints *endpoints);

/// An entry was written. `cache_tokens_max` is the service's.
void endpoints_update(struct endpoints *endpoints, struct str id,
                      const struct endpoint_facts *facts,
                      uint64_t cache_tokens_max);

/// An entry was removed. Up to `lapse_at_ms` on the clock it may be back, and
/// a ready endpoint stays in use.
void endpoints_remove(struct endpoints *endpoints, struct str id,
                      int64_t lapse_at_ms);

/// Takes out the lapsed ones whose time is over.
void endpoints_tick(struct endpoints *endpoints);

struct endpoint *endpoints_find(struct endpoints *endpoints, struct str id);
struct endpoint *endpoints_find_hash(struct endpoints *endpoints,
                                     uint64_t hash);
size_t endpoints_count(const struct endpoints *endpoints);

/// The first endpoint; the following ones by `hh.next`.
struct endpoint *endpoints_first(struct endpoints *endpoints);

/// What a request asks of the choice beside place_request.
struct endpoints_query {
    struct str service;
    const struct prefix *prefix;
    const uint64_t *tried; ///< hashes of endpoints that are out
    size_t tried_count;
};

struct endpoints_choice {
    struct endpoint *endpoint;
    struct endpoint *source; ///< keeps more of the prompt; NULL: none
    struct place_choice place;
};

/// Chooses an endpoint; false if none is usable.
bool endpoints_choose(struct endpoints *endpoints,
                      const struct endpoints_query *query,
                      const struct place_request *request,
                      struct endpoints_choice *choice);

/// Endpoints of the service that are ready, ejected ones included.
size_t endpoints_ready_count(const struct endpoints *endpoints,
                             struct str service);

/// Mean share of failures over the service's endpoints.
double endpoints_failure_share(const struct endpoints *endpoints,
                               struct str service);

/// In-flight requests of all routers, as far as they are known.
uint32_t endpoint_load(const struct endpoint *endpoint, int64_t now_ms);

/// The endpoint says in an answer how many requests it holds. What the routers
/// do not know of is work for callers that have left, which some endpoints
/// finish, and that of routers which are not linked.
void endpoint_note_stated_load(struct endpoint *endpoint, uint32_t stated,
                               int64_t now_ms);

/// Milliseconds since a peer last told of its load there; -1: never.
int64_t endpoint_report_age_ms(const struct endpoint *endpoint,
                               int64_t now_ms);

void endpoint_set_peer_load(struct endpoint *endpoint, uint64_t peer,
                            uint32_t in_flight, uint32_t backlog_tokens,
                            int64_t now_ms);

/// Keeps the endpoint's memory valid; each request in flight holds one.
struct endpoint *endpoint_ref(struct endpoint *endpoint);
void endpoint_unref(struct endpoint *endpoint);
