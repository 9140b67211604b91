/// The endpoints that a router may send to: their entries in the store, their
/// load, and their health as seen in their answers.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "core/eject.h"
#include "core/footprint.h"
#include "core/hold.h"
#include "core/pause.h"
#include "core/place.h"
#include "core/prefix.h"
#include "core/rate_limit.h"
#include "core/stated_load.h"
#include "core/speed.h"
#include "core/warmup.h"
#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "net/address.h"

struct candidates;
struct channel_pool;
struct cold;
struct evacuation;
struct event_base;
struct memory;
struct rate_limits;

/// How long an entry may be missing after a store outage before the endpoint
/// is removed. Healthy endpoints have renewed their entries two seconds after
/// the outage; an endpoint whose entry is removed right after it must be out
/// of use within two seconds.
#define ENDPOINTS_LAPSE_GRACE_MS 1800
/// Time for which an endpoint is remembered after its entry was removed: its
/// answers hold for the whole incarnation, and the entry may come back.
#define ENDPOINTS_REMEMBER_MS 60000
/// Time after which a write of an entry that got no answer is no longer
/// executed.
#define ENDPOINTS_LATE_ENTRY_MS 10000
/// Age at which a load reported by a peer expires.
#define ENDPOINTS_PEER_LOAD_MS 3000

/// Age at which the unreported load of an endpoint expires.
#define ENDPOINTS_UNREPORTED_LOAD_MS 2000
/// Weight of one answer in the unreported load. The average smooths the error
/// that peers' reports are older than the load stated in the answer.
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
    struct str version; ///< of its software
    uint64_t build;     ///< see core/builds.h
    uint64_t zone_hash;
    struct address address;
    uint64_t hash;
    enum endpoint_state state;
    bool is_leaving; ///< as its answers state, whatever its entry says
    uint32_t slots;
    int64_t incarnation;
    int64_t sequence; ///< of its last entry
    struct channel_pool *pool;
    struct eject eject;
    struct hold hold; ///< as its last rejections state
    struct warmup warmup;
    bool is_logged_cold;
    enum warmup_source logged_cold_source;
    struct rate_limit rate_limit;   ///< as its answers state
    struct stated_load stated_load; ///< used beyond a full mesh
    bool is_logged_rate_invalid;
    struct prefix_estimate *cache;
    uint32_t in_flight;          ///< own requests
    struct footprint footprint;  ///< of own requests
    struct speed speed;          ///< as stated and as gaps show
    struct pause_gaps gaps;      ///< between events of own streams
    double backlog_tokens;       ///< own prompt tokens not prefilled yet
    uint32_t reported_in_flight; ///< last value sent to peers
    struct endpoint_peer_load peers[ENDPOINT_PEERS_MAX];
    size_t peer_count;
    double unreported_load; ///< smoothed requests there that no router reports
    double stated_excess;   ///< in the last answer, beyond the reports
    int64_t unreported_ms;  ///< time of the last answer that stated a load
    int64_t renewed_ms;     ///< of the last entry of this incarnation
    int64_t removed_ms;     ///< 0: not removed
    bool removed_before_restore; ///< of the store: its copy may have the entry
    int64_t lapse_at_ms; ///< when a missing entry expires; 0: not missing
    size_t references;
    UT_hash_handle hh;      ///< in the endpoints, or the removed ones
    UT_hash_handle by_hash; ///< key in messages between routers
};

struct endpoints;

struct endpoints_options {
    struct event_base *base;
    const struct clock *clock;
    struct str zone; ///< own availability zone
    struct cold *cold;
    struct rate_limits *rate_limits;
    const struct evacuation *evacuation;
    struct memory *memory;
};

/// The caller frees with endpoints_free().
struct endpoints *endpoints_new(const struct endpoints_options *options);
void endpoints_free(struct endpoints *endpoints);

/// Adds or updates the endpoint of an entry. One that returns in the same
/// incarnation is bound by what it has stated before. Entries that arrive
/// late, behind later ones, are ignored. `cache_tokens_max` is the capacity of
/// an endpoint's prefix cache.
void endpoints_update(struct endpoints *endpoints, struct str id,
                      const struct endpoint_facts *facts,
                      uint64_t cache_tokens_max);

/// Removes the endpoint of a removed entry. Until `lapse_at_ms` on the clock
/// the entry may be renewed, and a ready endpoint stays in use.
void endpoints_remove(struct endpoints *endpoints, struct str id,
                      int64_t lapse_at_ms);

/// The store was restored from an older copy, which may have the last entries
/// of endpoints that have been removed since.
void endpoints_note_restore(struct endpoints *endpoints);

/// Removes the endpoints whose missing entries have expired, and forgets those
/// that were removed long ago.
void endpoints_tick(struct endpoints *endpoints);

/// The options given at the start, with an own copy of the zone.
const struct endpoints_options *
endpoints_options(const struct endpoints *endpoints);

/// The scratch memory of endpoints_choose().
struct candidates *endpoints_candidates(struct endpoints *endpoints);

struct endpoint *endpoints_find(struct endpoints *endpoints, struct str id);
struct endpoint *endpoints_find_hash(struct endpoints *endpoints,
                                     uint64_t hash);
size_t endpoints_count(const struct endpoints *endpoints);

/// Takes the endpoint out of use for the time that a rejection states.
void endpoint_note_retry_after(struct endpoint *endpoint, int64_t now_ms,
                               int64_t wait_ms);

/// If all ready endpoints of the service are blocked: the time until the first
/// one takes a request of this router. Otherwise 0. Those in evacuated zones
/// are left out.
int64_t endpoints_held_ms(const struct endpoints *endpoints,
                          struct str service);

/// The first endpoint; the following ones by `hh.next`.
struct endpoint *endpoints_first(struct endpoints *endpoints);

/// An answer of the endpoint states that it leaves: it gets no new requests
/// until it has another incarnation.
void endpoint_note_leaving(struct endpoint *endpoint);

/// True if the endpoint takes new requests, by its entry and its answers.
bool endpoint_is_ready(const struct endpoint *endpoint);

/// Why an endpoint gets no request of this router now, whatever the request.
enum endpoint_block {
    ENDPOINT_UNBLOCKED,
    ENDPOINT_NOT_READY,
    ENDPOINT_EVACUATED, ///< its zone is
    ENDPOINT_HELD,      ///< it turns requests away
    ENDPOINT_COLD,
    ENDPOINT_RATE_LIMITED, ///< it states a rate
};

/// If several apply, the one that lasts longest.
enum endpoint_block endpoints_block(const struct endpoints *endpoints,
                                    const struct endpoint *endpoint);

/// True if all ready endpoints of the service are in evacuated zones, and
/// there is one.
bool endpoints_are_evacuated(const struct endpoints *endpoints,
                             struct str service);

/// If all ready endpoints of the service are blocked: why the first one is
/// that takes a request of this router. Those in evacuated zones are left out.
enum endpoint_block
endpoints_block_of_service(const struct endpoints *endpoints,
                           struct str service);

/// A request is being sent to the endpoint.
void endpoints_count_send(struct endpoints *endpoints,
                          struct endpoint *endpoint);

/// Marks the endpoints of a zone whose evacuation has ended as cold; returns
/// their number.
size_t endpoints_return(struct endpoints *endpoints, struct str zone);

/// Number of ready endpoints of the service that are allowed, ejected ones
/// included; those of other builds are left out unless `build` is 0.
size_t endpoints_ready_count(const struct endpoints *endpoints,
                             struct str service, uint64_t build);

/// Mean failure share of the service's endpoints.
double endpoints_failure_share(const struct endpoints *endpoints,
                               struct str service);

/// In-flight requests of all routers by their reports.
uint32_t endpoint_reported_load(const struct endpoint *endpoint,
                                int64_t now_ms);

/// In-flight requests of all routers by their reports, plus the unreported
/// load.
uint32_t endpoint_load(const struct endpoint *endpoint, int64_t now_ms);

/// Prompt tokens that the endpoint has still to prefill, of all routers.
double endpoint_backlog_tokens(const struct endpoint *endpoint,
                               int64_t now_ms);

/// Updates the unreported load from the number of requests that the endpoint
/// states in an answer. Unreported requests are those of callers that have
/// left, which some endpoints finish, and those of routers without a link.
void endpoint_note_stated_load(struct endpoint *endpoint, uint32_t stated,
                               int64_t now_ms);

/// Milliseconds since a peer last reported its load there; -1: never.
int64_t endpoint_report_age_ms(const struct endpoint *endpoint,
                               int64_t now_ms);

void endpoint_set_peer_load(struct endpoint *endpoint, uint64_t peer,
                            uint32_t in_flight, uint32_t backlog_tokens,
                            int64_t now_ms);

/// Takes a reference; each request in flight holds one.
struct endpoint *endpoint_ref(struct endpoint *endpoint);
void endpoint_unref(struct endpoint *endpoint);
