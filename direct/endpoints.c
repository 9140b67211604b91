#include "endpoints.h"

#include <stdlib.h>
#include <string.h>

#include "candidates.h"
#include "cold.h"
#include "core/builds.h"
#include "core/evacuation.h"
#include "core/xmalloc.h"
#include "net/channel.h"
#include "net/log.h"
#include "rate_limits.h"

#define LOG_MODULE "endpoints"

#define RESPONSE_HEAD_BYTES_MAX 32768
struct endpoints {
    struct endpoints_options options;
    struct endpoint *all;
    struct endpoint *by_hash;
    struct endpoint *removed; ///< and remembered, by id
    struct candidates *candidates;
};

struct endpoints *
endpoints_new(const struct endpoints_options *options)
{
    struct endpoints *endpoints = xcalloc(1, sizeof(*endpoints));

    endpoints->options = *options;
    endpoints->options.zone = str_copy(options->zone);
    endpoints->candidates = candidates_new();
    return endpoints;
}

struct endpoint *
endpoint_ref(struct endpoint *endpoint)
{
    endpoint->references++;
    return endpoint;
}

void
endpoint_unref(struct endpoint *endpoint)
{
    if (--endpoint->references > 0) {
        return;
    }
    channel_pool_free(endpoint->pool);
    prefix_estimate_free(endpoint->cache);
    free((char *)endpoint->id.data);
    free((char *)endpoint->service.data);
    free((char *)endpoint->zone.data);
    free((char *)endpoint->version.data);
    free(endpoint);
}

static struct endpoint *
find_removed(const struct endpoints *endpoints, struct str id)
{
    struct endpoint *endpoint;

    HASH_FIND(hh, endpoints->removed, id.data, id.len, endpoint);
    return endpoint;
}

static void
forget_removed(struct endpoints *endpoints, struct endpoint *endpoint)
{
    HASH_DEL(endpoints->removed, endpoint);
    endpoint_unref(endpoint);
}

static void
insert_endpoint(struct endpoints *endpoints, struct endpoint *endpoint)
{
    HASH_ADD_KEYPTR(hh, endpoints->all, endpoint->id.data, endpoint->id.len,
                    endpoint);
    HASH_ADD(by_hash, endpoints->by_hash, hash, sizeof(endpoint->hash),
             endpoint);
}

/// Takes an endpoint out of use and remembers it.
static void
remove_endpoint(struct endpoints *endpoints, struct endpoint *endpoint,
                const char *reason)
{
    LOG_INFO("event=endpoint-removed endpoint=" STR_FMT " service=" STR_FMT
             " address=%s:%u in_flight=%u reason=%s",
             STR_ARG(endpoint->id), STR_ARG(endpoint->service),
             endpoint->address.ip, endpoint->address.port, endpoint->in_flight,
             reason);
    HASH_DEL(endpoints->all, endpoint);
    HASH_DELETE(by_hash, endpoints->by_hash, endpoint);
    endpoint->lapse_at_ms = 0;
    endpoint->removed_ms = clock_ms(endpoints->options.clock);
    HASH_ADD_KEYPTR(hh, endpoints->removed, endpoint->id.data,
                    endpoint->id.len, endpoint);
}

void
endpoints_free(struct endpoints *endpoints)
{
    struct endpoint *endpoint, *next;

    if (endpoints == NULL) {
        return;
    }
    HASH_ITER(hh, endpoints->all, endpoint, next)
    {
        HASH_DEL(endpoints->all, endpoint);
        HASH_DELETE(by_hash, endpoints->by_hash, endpoint);
        endpoint_unref(endpoint);
    }
    HASH_ITER(hh, endpoints->removed, endpoint, next)
    {
        forget_removed(endpoints, endpoint);
    }
    candidates_free(endpoints->candidates);
    free((char *)endpoints->options.zone.data);
    free(endpoints);
}

static struct endpoint *
add_endpoint(struct endpoints *endpoints, struct str id,
             const struct endpoint_facts *facts, const struct address *address,
             uint64_t cache_tokens_max)
{
    struct endpoint *endpoint = xcalloc(1, sizeof(*endpoint));

    endpoint->id = str_copy(id);
    endpoint->hash = str_hash(id, 0);
    endpoint->service = str_copy(facts->service);
    endpoint->zone = str_copy(facts->zone);
    endpoint->version = str_copy(facts->version);
    endpoint->build = builds_hash(facts->service, facts->version);
    endpoint->zone_hash = str_hash(facts->zone, 0);
    endpoint->address = *address;
    endpoint->state = facts->state;
    endpoint->slots = facts->slots;
    endpoint->incarnation = facts->incarnation;
    endpoint->references = 1;
    endpoint->cache = prefix_estimate_new(cache_tokens_max);
    eject_init(&endpoint->eject);
    endpoint->pool = channel_pool_new(&(struct channel_pool_options){
        .base = endpoints->options.base,
        .clock = endpoints->options.clock,
        .address = *address,
        .connect_timeout_ms = CHANNEL_CONNECT_TIMEOUT_MS,
        .head_bytes_max = RESPONSE_HEAD_BYTES_MAX,
        .memory = endpoints->options.memory,
        .memory_kind = MEMORY_ENDPOINTS,
    });
    insert_endpoint(endpoints, endpoint);
    LOG_INFO("event=endpoint-added endpoint=" STR_FMT " service=" STR_FMT
             " address=%s:%u zone=" STR_FMT " software=\"" STR_FMT
             "\" slots=%u state=%s",
             STR_ARG(id), STR_ARG(facts->service), address->ip, address->port,
             STR_ARG(facts->zone), STR_ARG(facts->version), facts->slots,
             facts->state == ENDPOINT_READY ? "ready" : "draining");
    return endpoint;
}

/// Port 0 is valid in settings only, where the kernel assigns one.
static bool
parse_endpoint_address(struct str text, struct address *address,
                       struct err *err)
{
    if (!address_parse(text, address, err)) {
        return false;
    }
    if (address->port == 0) {
        return err_set(err, ERR_INPUT, "address", NULL,
                       "'" STR_FMT "' has no port", STR_ARG(text));
    }
    return true;
}

/// True for an entry that was written before the last one: of an earlier
/// incarnation, or with a lower number. A clock of the endpoint that was set
/// back also gives an earlier incarnation: its entries hold once the time for
/// late ones is over.
static bool
is_late_entry(const struct endpoints *endpoints,
              const struct endpoint *endpoint,
              const struct endpoint_facts *facts)
{
    if (endpoint == NULL) {
        return false;
    }
    if (facts->incarnation == endpoint->incarnation) {
        return facts->sequence > 0 &&
               (facts->sequence < endpoint->sequence ||
                (endpoint->removed_before_restore &&
                 facts->sequence == endpoint->sequence));
    }
    return facts->incarnation < endpoint->incarnation &&
           clock_ms(endpoints->options.clock) - endpoint->renewed_ms <
               ENDPOINTS_LATE_ENTRY_MS;
}

static bool
is_same_process(const struct endpoint *endpoint,
                const struct endpoint_facts *facts,
                const struct address *address)
{
    return endpoint->incarnation == facts->incarnation &&
           str_equal(endpoint->service, facts->service) &&
           str_equal(endpoint->version, facts->version) &&
           strcmp(endpoint->address.ip, address->ip) == 0 &&
           endpoint->address.port == address->port;
}

/// Takes a removed endpoint into use again. Its answers hold for the whole
/// incarnation.
static void
return_endpoint(struct endpoints *endpoints, struct endpoint *endpoint)
{
    LOG_INFO(
        "event=endpoint-returned endpoint=" STR_FMT " service=" STR_FMT
        " incarnation=%lld missing_ms=%lld leaving=%d held_ms=%lld "
        "rate_limited=%d in_flight=%u",
        STR_ARG(endpoint->id), STR_ARG(endpoint->service),
        (long long)endpoint->incarnation,
        (long long)(clock_ms(endpoints->options.clock) - endpoint->removed_ms),
        endpoint->is_leaving,
        (long long)hold_left_ms(&endpoint->hold,
                                clock_ms(endpoints->options.clock)),
        endpoint->rate_limit.holds, endpoint->in_flight);
    HASH_DEL(endpoints->removed, endpoint);
    endpoint->removed_ms = 0;
    endpoint->removed_before_restore = false;
    insert_endpoint(endpoints, endpoint);
}

void
endpoints_update(struct endpoints *endpoints, struct str id,
                 const struct endpoint_facts *facts, uint64_t cache_tokens_max)
{
    struct endpoint *endpoint = endpoints_find(endpoints, id);
    struct endpoint *removed = find_removed(endpoints, id);
    const struct endpoint *known = endpoint != NULL ? endpoint : removed;
    struct warmup warmup = {0};
    struct address address;
    struct err err = {0};

    if (!parse_endpoint_address(facts->address, &address, &err)) {
        LOG_WARNING("event=endpoint-rejected endpoint=" STR_FMT
                    " detail=\"%s\"",
                    STR_ARG(id), err.message);
        if (endpoint != NULL) {
            remove_endpoint(endpoints, endpoint, "invalid-address");
        }
        return;
    }
    if (is_late_entry(endpoints, known, facts)) {
        LOG_INFO("event=endpoint-entry-late endpoint=" STR_FMT
                 " service=" STR_FMT " incarnation=%lld sequence=%lld "
                 "last_incarnation=%lld last_sequence=%lld "
                 "detail=\"ignored: written before the last one\"",
                 STR_ARG(id), STR_ARG(facts->service),
                 (long long)facts->incarnation, (long long)facts->sequence,
                 (long long)known->incarnation, (long long)known->sequence);
        return;
    }
    if (endpoint == NULL && removed != NULL &&
        is_same_process(removed, facts, &address)) {
        return_endpoint(endpoints, removed);
        endpoint = removed;
    }
    else if (removed != NULL) {
        forget_removed(endpoints, removed);
    }
    if (endpoint != NULL && !is_same_process(endpoint, facts, &address)) {
        // An entry of the process before may have been delivered late.
        warmup = endpoint->warmup;
        remove_endpoint(endpoints, endpoint, "restarted");
        forget_removed(endpoints, endpoint);
        endpoint = NULL;
    }
    if (endpoint == NULL) {
        endpoint =
            add_endpoint(endpoints, id, facts, &address, cache_tokens_max);
        endpoint->warmup = warmup;
        endpoint->sequence = facts->sequence;
        endpoint->renewed_ms = clock_ms(endpoints->options.clock);
        cold_entry_renewed(endpoints->options.cold, endpoint, facts->cold_ms);
        return;
    }
    if (endpoint->state != facts->state) {
        LOG_INFO("event=endpoint-state endpoint=" STR_FMT " service=" STR_FMT
                 " state=%s in_flight=%u",
                 STR_ARG(id), STR_ARG(endpoint->service),
                 facts->state == ENDPOINT_READY ? "ready" : "draining",
                 endpoint->in_flight);
    }
    endpoint->state = facts->state;
    endpoint->slots = facts->slots;
    endpoint->sequence = facts->sequence;
    endpoint->renewed_ms = clock_ms(endpoints->options.clock);
    endpoint->lapse_at_ms = 0;
    cold_entry_renewed(endpoints->options.cold, endpoint, facts->cold_ms);
}

void
endpoints_remove(struct endpoints *endpoints, struct str id,
                 int64_t lapse_at_ms)
{
    struct endpoint *endpoint = endpoints_find(endpoints, id);

    if (endpoint == NULL) {
        return;
    }
    if (endpoint_is_ready(endpoint) &&
        lapse_at_ms > clock_ms(endpoints->options.clock)) {
        endpoint->lapse_at_ms = lapse_at_ms;
        LOG_INFO(
            "event=endpoint-lapsed endpoint=" STR_FMT " wait_ms=%lld",
            STR_ARG(id),
            (long long)(lapse_at_ms - clock_ms(endpoints->options.clock)));
        return;
    }
    remove_endpoint(endpoints, endpoint, "removed");
}

void
endpoints_note_restore(struct endpoints *endpoints)
{
    struct endpoint *endpoint;

    for (endpoint = endpoints->removed; endpoint != NULL;
         endpoint = endpoint->hh.next) {
        endpoint->removed_before_restore = true;
    }
}

void
endpoints_tick(struct endpoints *endpoints)
{
    int64_t now_ms = clock_ms(endpoints->options.clock);
    struct endpoint *endpoint, *next;

    HASH_ITER(hh, endpoints->all, endpoint, next)
    {
        cold_check_end(endpoints->options.cold, endpoint);
        if (endpoint->lapse_at_ms > 0 && now_ms >= endpoint->lapse_at_ms) {
            remove_endpoint(endpoints, endpoint, "lapsed");
        }
    }
    HASH_ITER(hh, endpoints->removed, endpoint, next)
    {
        if (now_ms - endpoint->removed_ms >= ENDPOINTS_REMEMBER_MS &&
            hold_left_ms(&endpoint->hold, now_ms) == 0) {
            forget_removed(endpoints, endpoint);
        }
    }
}

struct endpoint *
endpoints_find(struct endpoints *endpoints, struct str id)
{
    struct endpoint *endpoint;

    HASH_FIND(hh, endpoints->all, id.data, id.len, endpoint);
    return endpoint;
}

struct endpoint *
endpoints_find_hash(struct endpoints *endpoints, uint64_t hash)
{
    struct endpoint *endpoint;

    HASH_FIND(by_hash, endpoints->by_hash, &hash, sizeof(hash), endpoint);
    return endpoint;
}

const struct endpoints_options *
endpoints_options(const struct endpoints *endpoints)
{
    return &endpoints->options;
}

struct candidates *
endpoints_candidates(struct endpoints *endpoints)
{
    return endpoints->candidates;
}

size_t
endpoints_count(const struct endpoints *endpoints)
{
    return HASH_COUNT(endpoints->all);
}

struct endpoint *
endpoints_first(struct endpoints *endpoints)
{
    return endpoints->all;
}

bool
endpoint_is_ready(const struct endpoint *endpoint)
{
    return endpoint->state == ENDPOINT_READY && !endpoint->is_leaving;
}

void
endpoint_note_leaving(struct endpoint *endpoint)
{
    if (endpoint->is_leaving) {
        return;
    }
    endpoint->is_leaving = true;
    LOG_INFO("event=endpoint-leaving endpoint=" STR_FMT " service=" STR_FMT
             " incarnation=%lld state=%s in_flight=%u source=answer",
             STR_ARG(endpoint->id), STR_ARG(endpoint->service),
             (long long)endpoint->incarnation,
             endpoint->state == ENDPOINT_READY ? "ready" : "draining",
             endpoint->in_flight);
}

void
endpoint_note_retry_after(struct endpoint *endpoint, int64_t now_ms,
                          int64_t wait_ms)
{
    if (wait_ms < 0 || wait_ms > HOLD_MAX_MS) {
        LOG_WARNING("event=retry-after-ignored endpoint=" STR_FMT
                    " service=" STR_FMT " wait_ms=%lld max_ms=%d",
                    STR_ARG(endpoint->id), STR_ARG(endpoint->service),
                    (long long)wait_ms, HOLD_MAX_MS);
        return;
    }
    if (hold_extend(&endpoint->hold, now_ms, wait_ms)) {
        LOG_INFO("event=endpoint-held endpoint=" STR_FMT " service=" STR_FMT
                 " incarnation=%lld wait_ms=%lld in_flight=%u",
                 STR_ARG(endpoint->id), STR_ARG(endpoint->service),
                 (long long)endpoint->incarnation, (long long)wait_ms,
                 endpoint->in_flight);
    }
}

static bool
is_evacuated(const struct endpoints *endpoints,
             const struct endpoint *endpoint)
{
    return evacuation_covers(endpoints->options.evacuation, endpoint->zone);
}

/// The block that lasts longest, and the time until its end; without an end
/// for a zone or an entry.
static enum endpoint_block
find_block(const struct endpoints *endpoints, const struct endpoint *endpoint,
           int64_t *wait_ms)
{
    const struct endpoints_options *options = &endpoints->options;
    const struct {
        enum endpoint_block block;
        int64_t wait_ms;
    } blocks[] = {
        {ENDPOINT_HELD,
         hold_left_ms(&endpoint->hold, clock_ms(options->clock))},
        {ENDPOINT_COLD, cold_wait_ms(options->cold, endpoint)},
        {ENDPOINT_RATE_LIMITED,
         rate_limits_wait_ms(options->rate_limits, endpoint)},
    };
    enum endpoint_block longest = ENDPOINT_UNBLOCKED;

    *wait_ms = 0;
    if (!endpoint_is_ready(endpoint)) {
        return ENDPOINT_NOT_READY;
    }
    if (is_evacuated(endpoints, endpoint)) {
        return ENDPOINT_EVACUATED;
    }
    for (size_t i = 0; i < sizeof(blocks) / sizeof(blocks[0]); i++) {
        if (blocks[i].wait_ms > *wait_ms) {
            *wait_ms = blocks[i].wait_ms;
            longest = blocks[i].block;
        }
    }
    return longest;
}

enum endpoint_block
endpoints_block(const struct endpoints *endpoints,
                const struct endpoint *endpoint)
{
    int64_t wait_ms;

    return find_block(endpoints, endpoint, &wait_ms);
}

/// The block of the service's endpoint that takes a request first.
static enum endpoint_block
find_first_block(const struct endpoints *endpoints, struct str service,
                 int64_t *least_ms)
{
    const struct endpoint *endpoint;
    enum endpoint_block first = ENDPOINT_UNBLOCKED;

    *least_ms = 0;
    for (endpoint = endpoints->all; endpoint != NULL;
         endpoint = endpoint->hh.next) {
        enum endpoint_block block;
        int64_t wait_ms;

        if (!str_equal(endpoint->service, service)) {
            continue;
        }
        block = find_block(endpoints, endpoint, &wait_ms);
        if (block == ENDPOINT_NOT_READY || block == ENDPOINT_EVACUATED) {
            continue;
        }
        if (block == ENDPOINT_UNBLOCKED) {
            *least_ms = 0;
            return block;
        }
        if (first == ENDPOINT_UNBLOCKED || wait_ms < *least_ms) {
            first = block;
            *least_ms = wait_ms;
        }
    }
    return first;
}

enum endpoint_block
endpoints_block_of_service(const struct endpoints *endpoints,
                           struct str service)
{
    int64_t least_ms;

    return find_first_block(endpoints, service, &least_ms);
}

void
endpoints_count_send(struct endpoints *endpoints, struct endpoint *endpoint)
{
    cold_count_send(endpoints->options.cold, endpoint);
    rate_limits_count_send(endpoints->options.rate_limits, endpoint);
}

size_t
endpoints_return(struct endpoints *endpoints, struct str zone)
{
    struct endpoint *endpoint;
    size_t count = 0;

    for (endpoint = endpoints->all; endpoint != NULL;
         endpoint = endpoint->hh.next) {
        if (str_equal(endpoint->zone, zone)) {
            cold_extend(endpoints->options.cold, endpoint, -1,
                        WARMUP_EVACUATION);
            count++;
        }
    }
    return count;
}

bool
endpoints_are_evacuated(const struct endpoints *endpoints, struct str service)
{
    const struct endpoint *endpoint;
    bool found = false;

    for (endpoint = endpoints->all; endpoint != NULL;
         endpoint = endpoint->hh.next) {
        if (!endpoint_is_ready(endpoint) ||
            !str_equal(endpoint->service, service)) {
            continue;
        }
        if (!is_evacuated(endpoints, endpoint)) {
            return false;
        }
        found = true;
    }
    return found;
}

int64_t
endpoints_held_ms(const struct endpoints *endpoints, struct str service)
{
    int64_t least_ms;

    find_first_block(endpoints, service, &least_ms);
    return least_ms;
}

uint32_t
endpoint_reported_load(const struct endpoint *endpoint, int64_t now_ms)
{
    uint32_t load = endpoint->in_flight;

    for (size_t i = 0; i < endpoint->peer_count; i++) {
        if (now_ms - endpoint->peers[i].reported_ms < ENDPOINTS_PEER_LOAD_MS) {
            load += endpoint->peers[i].in_flight;
        }
    }
    return load;
}

uint32_t
endpoint_load(const struct endpoint *endpoint, int64_t now_ms)
{
    uint32_t load = endpoint_reported_load(endpoint, now_ms);
    uint32_t stated;

    if (now_ms - endpoint->unreported_ms < ENDPOINTS_UNREPORTED_LOAD_MS) {
        load += (uint32_t)endpoint->unreported_load;
    }
    stated = stated_load_now(&endpoint->stated_load, now_ms);
    return stated > load ? stated : load;
}

void
endpoint_note_stated_load(struct endpoint *endpoint, uint32_t stated,
                          int64_t now_ms)
{
    double excess = (double)stated - endpoint_reported_load(endpoint, now_ms);

    endpoint->stated_excess = excess;
    endpoint->unreported_load += ENDPOINTS_UNREPORTED_LOAD_WEIGHT *
                                 (excess - endpoint->unreported_load);
    if (endpoint->unreported_load < 0) {
        endpoint->unreported_load = 0;
    }
    endpoint->unreported_ms = now_ms;
}

int64_t
endpoint_report_age_ms(const struct endpoint *endpoint, int64_t now_ms)
{
    int64_t newest_ms = INT64_MIN;

    for (size_t i = 0; i < endpoint->peer_count; i++) {
        if (endpoint->peers[i].reported_ms > newest_ms) {
            newest_ms = endpoint->peers[i].reported_ms;
        }
    }
    return newest_ms == INT64_MIN ? -1 : now_ms - newest_ms;
}

double
endpoint_backlog_tokens(const struct endpoint *endpoint, int64_t now_ms)
{
    double tokens = endpoint->backlog_tokens;

    for (size_t i = 0; i < endpoint->peer_count; i++) {
        if (now_ms - endpoint->peers[i].reported_ms < ENDPOINTS_PEER_LOAD_MS) {
            tokens += endpoint->peers[i].backlog_tokens;
        }
    }
    return tokens;
}

void
endpoint_set_peer_load(struct endpoint *endpoint, uint64_t peer,
                       uint32_t in_flight, uint32_t backlog_tokens,
                       int64_t now_ms)
{
    size_t i = 0;

    while (i < endpoint->peer_count && endpoint->peers[i].peer != peer) {
        i++;
    }
    if (i == ENDPOINT_PEERS_MAX) {
        return;
    }
    if (i == endpoint->peer_count) {
        endpoint->peer_count++;
    }
    endpoint->peers[i] = (struct endpoint_peer_load){
        .peer = peer,
        .in_flight = in_flight,
        .backlog_tokens = backlog_tokens,
        .reported_ms = now_ms,
    };
}

size_t
endpoints_ready_count(const struct endpoints *endpoints, struct str service,
                      uint64_t build)
{
    const struct endpoint *endpoint;
    size_t count = 0;

    for (endpoint = endpoints->all; endpoint != NULL;
         endpoint = endpoint->hh.next) {
        enum endpoint_block block = endpoints_block(endpoints, endpoint);

        if (str_equal(endpoint->service, service) &&
            (build == 0 || endpoint->build == build) &&
            (block == ENDPOINT_UNBLOCKED || block == ENDPOINT_HELD)) {
            count++;
        }
    }
    return count;
}

double
endpoints_failure_share(const struct endpoints *endpoints, struct str service)
{
    const struct endpoint *endpoint;
    double sum = 0;
    size_t count = 0;

    for (endpoint = endpoints->all; endpoint != NULL;
         endpoint = endpoint->hh.next) {
        if (str_equal(endpoint->service, service)) {
            sum += endpoint->eject.failure_share;
            count++;
        }
    }
    return count > 0 ? sum / (double)count : 0;
}
