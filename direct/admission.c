#include "admission.h"

#include <stdio.h>

#include <event2/buffer.h>
#include <xxhash.h>

#include "core/catalog.h"
#include "core/xmalloc.h"
#include "dandelionvalve/quarantine.h"
#include "blame.h"
#include "direct_state.h"
#include "exchange_state.h"
#include "net/caller.h"

/// Time limit of a request that states no deadline, until its route is known.
#define TIMEOUT_DEFAULT_MS 1000

bool
admission_set_account(struct exchange *exchange,
                      const struct catalog_account *account)
{
    exchange->priority = exchange->route->priority;
    if (!catalog_has_accounts(exchange->catalog)) {
        return true;
    }
    if (account != NULL) {
        exchange->account = account->name;
        if (account->has_priority) {
            exchange->priority = account->priority;
        }
    }
    if (exchange->route->is_public) {
        exchange->account = (struct str){0};
        return true;
    }
    return account != NULL;
}

static bool
authenticate(struct exchange *exchange)
{
    struct str key = exchange->facts.api_key;

    return admission_set_account(
        exchange,
        key.len > 0 ? catalog_find_account(exchange->catalog, key) : NULL);
}

/// Like str_hash() of the whole body, without a contiguous copy of it.
static uint64_t
hash_body(struct evbuffer *body, uint64_t seed)
{
    XXH64_state_t *state = XXH64_createState();
    struct evbuffer_ptr at;
    struct evbuffer_iovec piece;
    uint64_t hash;

    if (state == NULL) {
        BUG("out of memory");
    }
    XXH64_reset(state, seed);
    evbuffer_ptr_set(body, &at, 0, EVBUFFER_PTR_SET);
    while (evbuffer_peek(body, -1, &at, &piece, 1) > 0 && piece.iov_len > 0) {
        XXH64_update(state, piece.iov_base, piece.iov_len);
        if (evbuffer_ptr_set(body, &at, piece.iov_len, EVBUFFER_PTR_ADD) !=
            0) {
            break;
        }
    }
    hash = XXH64_digest(state);
    XXH64_freeState(state);
    return hash;
}

static uint64_t
fingerprint_request(const struct exchange *exchange)
{
    uint64_t hash = str_hash(exchange->facts.path, 1);

    hash = str_hash(exchange->account, hash);
    return hash_body(caller_request_body(exchange->caller), hash);
}

void
admission_set_expiry(struct exchange *exchange)
{
    int64_t wait_ms = exchange->route->timeout_ms;

    if (exchange->facts.deadline_ms > 0 &&
        exchange->facts.deadline_ms < wait_ms) {
        wait_ms = exchange->facts.deadline_ms;
    }
    exchange->expires_ms = exchange->started_ms + wait_ms;
}

bool
admission_parse(struct exchange *exchange)
{
    struct err err = {0};

    exchange->expires_ms = exchange->started_ms + TIMEOUT_DEFAULT_MS;
    if (!direct_wire(exchange->direct)
             ->read_request(caller_request_head(exchange->caller),
                            &exchange->facts, &err)) {
        exchange_refuse(exchange, 400, -1, err.message);
        return false;
    }
    if (exchange->facts.id.len >= sizeof(exchange->id)) {
        exchange_refuse(exchange, 400, -1, "the request id is too long");
        return false;
    }
    snprintf(exchange->id, sizeof(exchange->id), STR_FMT,
             STR_ARG(exchange->facts.id));
    if (exchange->facts.deadline_ms > 0) {
        exchange->expires_ms =
            exchange->started_ms + exchange->facts.deadline_ms;
    }
    return true;
}

bool
admission_filter(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;

    exchange->catalog = catalog_ref(direct_catalog(direct));
    exchange->route = catalog_find_route(
        exchange->catalog, exchange->facts.host, exchange->facts.path);
    if (exchange->route == NULL) {
        exchange_refuse(exchange, 404, -1, "no route");
        return false;
    }
    admission_set_expiry(exchange);
    if (!authenticate(exchange)) {
        exchange_refuse(exchange, 401, -1, "unknown key");
        return false;
    }
    exchange->fingerprint = fingerprint_request(exchange);
    if (quarantine_check(direct_quarantine(direct), exchange->fingerprint) ==
        QUARANTINE_REFUSE) {
        counter_add(direct_counters(direct), COUNTER_QUARANTINED, 1);
        exchange_refuse_not_run(exchange,
                                "the request has crashed several endpoints");
        return false;
    }
    if (blame_holds(direct, &exchange->facts.prefix, exchange->id, true)) {
        counter_add(direct_counters(direct), COUNTER_QUARANTINED, 1);
        exchange_refuse_not_run(
            exchange, "a part of the prompt has crashed several endpoints");
        return false;
    }
    return true;
}
