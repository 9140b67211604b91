#include "dandelionvalve/route.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

struct endpoint {
    struct str name;
    uint64_t seed;
    uint32_t weight;
    enum member_use use;
    bool has_report;
    struct load_report load;
    int64_t reported_ms;
    uint32_t reported_in_flight;
    int64_t refused_until_ms;
    double score;
};

/// An overflow placement; the list is in order of last use.
struct placement {
    uint64_t key_hash;
    struct endpoint *endpoint;
    struct placement *prev;
    struct placement *next;
    UT_hash_handle hh;
};

struct route {
    struct route_options options;
    struct endpoint **endpoints;
    size_t count;
    struct placement *placements;
    struct placement *by_use; ///< least recently used first
    size_t placement_count;
    uint32_t in_flight;
    size_t rotation;         ///< see route_rotated_name()
    struct endpoint **order; ///< filled by order_candidates()
};

struct route *
route_new(const struct route_options *options)
{
    struct route *route = xcalloc(1, sizeof(*route));

    route->options = *options;
    return route;
}

static void
remove_placement(struct route *route, struct placement *placement)
{
    HASH_DEL(route->placements, placement);
    DL_DELETE(route->by_use, placement);
    route->placement_count--;
    free(placement);
}

static void
remove_placements_of(struct route *route, const struct endpoint *endpoint)
{
    struct placement *placement, *next;

    DL_FOREACH_SAFE(route->by_use, placement, next)
    {
        if (placement->endpoint == endpoint) {
            remove_placement(route, placement);
        }
    }
}

static void
endpoint_free(struct endpoint *endpoint)
{
    free((char *)endpoint->name.data);
    free(endpoint);
}

void
route_free(struct route *route)
{
    if (route == NULL) {
        return;
    }
    while (route->by_use != NULL) {
        remove_placement(route, route->by_use);
    }
    for (size_t i = 0; i < route->count; i++) {
        endpoint_free(route->endpoints[i]);
    }
    free(route->endpoints);
    free(route->order);
    free(route);
}

static struct endpoint *
find(const struct route *route, struct str name)
{
    for (size_t i = 0; i < route->count; i++) {
        if (str_equal(route->endpoints[i]->name, name)) {
            return route->endpoints[i];
        }
    }
    return NULL;
}

void
route_add(struct route *route, const struct route_endpoint_options *options)
{
    struct endpoint *endpoint = find(route, options->name);

    if (endpoint != NULL) {
        endpoint->weight = options->weight;
        return;
    }
    endpoint = xcalloc(1, sizeof(*endpoint));
    endpoint->name = str_copy(options->name);
    endpoint->seed = str_hash(options->name, 0);
    endpoint->weight = options->weight;
    endpoint->use = MEMBER_USABLE;
    route->count++;
    route->endpoints =
        xrealloc(route->endpoints, route->count * sizeof(struct endpoint *));
    route->endpoints[route->count - 1] = endpoint;
    route->order =
        xrealloc(route->order, route->count * sizeof(struct endpoint *));
}

void
route_remove(struct route *route, struct str name)
{
    for (size_t i = 0; i < route->count; i++) {
        struct endpoint *endpoint = route->endpoints[i];

        if (!str_equal(endpoint->name, name)) {
            continue;
        }
        remove_placements_of(route, endpoint);
        route->endpoints[i] = route->endpoints[--route->count];
        endpoint_free(endpoint);
        return;
    }
}

bool
route_has(const struct route *route, struct str endpoint)
{
    return find(route, endpoint) != NULL;
}

size_t
route_count(const struct route *route)
{
    return route->count;
}

struct str
route_rotated_name(struct route *route, size_t place)
{
    if (place == 0) {
        route->rotation++;
    }
    return route->endpoints[(route->rotation + place) % route->count]->name;
}

void
route_set_use(struct route *route, struct str name, enum member_use use)
{
    struct endpoint *endpoint = find(route, name);

    if (endpoint != NULL) {
        endpoint->use = use;
    }
}

void
route_record_load(struct route *route, struct str name,
                  const struct load_report *load)
{
    struct endpoint *endpoint = find(route, name);

    if (endpoint == NULL) {
        return;
    }
    endpoint->load = *load;
    endpoint->has_report = true;
    endpoint->reported_ms = clock_ms(route->options.clock);
    endpoint->reported_in_flight = route->in_flight;
    if (load->running < load->bound && load->running < load->slots &&
        load->queued == 0) {
        endpoint->refused_until_ms = 0;
    }
}

void
route_record_refusal(struct route *route, struct str name)
{
    struct endpoint *endpoint = find(route, name);

    if (endpoint != NULL) {
        endpoint->refused_until_ms =
            clock_ms(route->options.clock) + route->options.refusal_backoff_ms;
    }
}

static void
record_placement(struct route *route, uint64_t key_hash,
                 struct endpoint *endpoint)
{
    struct placement *placement;

    HASH_FIND(hh, route->placements, &key_hash, sizeof(key_hash), placement);
    if (placement != NULL) {
        placement->endpoint = endpoint;
        DL_DELETE(route->by_use, placement);
        DL_APPEND(route->by_use, placement);
        return;
    }
    if (route->placement_count >= route->options.placements_max) {
        if (route->by_use == NULL) {
            return;
        }
        remove_placement(route, route->by_use);
    }
    placement = xcalloc(1, sizeof(*placement));
    placement->key_hash = key_hash;
    placement->endpoint = endpoint;
    HASH_ADD(hh, route->placements, key_hash, sizeof(placement->key_hash),
             placement);
    DL_APPEND(route->by_use, placement);
    route->placement_count++;
}

void
route_record_placement(struct route *route,
                       const struct route_request *request, struct str name,
                       enum route_reason reason)
{
    struct endpoint *endpoint = find(route, name);
    struct placement *placement;

    if (endpoint == NULL || !request->has_key) {
        return;
    }
    if (reason != ROUTE_HOME) {
        record_placement(route, request->key_hash, endpoint);
        return;
    }
    HASH_FIND(hh, route->placements, &request->key_hash,
              sizeof(request->key_hash), placement);
    if (placement != NULL) {
        remove_placement(route, placement);
    }
}

// Weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1) from
// the hash of endpoint and key. An endpoint that joins or leaves moves only
// the keys for which it has the highest score.
static double
rendezvous_score(const struct endpoint *endpoint, uint64_t key_hash)
{
    uint64_t mixed =
        str_hash((struct str){(const char *)&key_hash, sizeof(key_hash)},
                 endpoint->seed);
    double u = ((double)(mixed >> 11) + 0.5) / 9007199254740992.0;

    return -(double)endpoint->weight / log(u);
}

static bool
was_tried(const struct route_request *request, struct str name)
{
    for (size_t i = 0; i < request->tried_count; i++) {
        if (str_equal(request->tried[i], name)) {
            return true;
        }
    }
    return false;
}

static bool
is_candidate(const struct route_request *request,
             const struct endpoint *endpoint)
{
    return endpoint->use != MEMBER_UNUSABLE &&
           !was_tried(request, endpoint->name);
}

/// True if the last report shows the endpoint at its bound. The bound is
/// assumed to have grown in proportion to this router's requests in flight.
static bool
is_reported_full(const struct route *route, const struct endpoint *endpoint,
                 int64_t now_ms)
{
    double growth;

    if (!endpoint->has_report ||
        now_ms - endpoint->reported_ms >= route->options.report_max_age_ms) {
        return false;
    }
    growth = (double)(route->in_flight + 1) /
             (double)(endpoint->reported_in_flight + 1);
    if (growth < 1) {
        growth = 1;
    }
    return endpoint->load.running >= growth * endpoint->load.bound;
}

static bool
has_room(const struct route *route, const struct endpoint *endpoint,
         int64_t now_ms)
{
    if (is_reported_full(route, endpoint, now_ms)) {
        return false;
    }
    return endpoint->refused_until_ms <= now_ms;
}

/// Fills route->order with the candidates: the best by score first, as many as
/// rendezvous_places, then the others in no order.
static size_t
order_candidates(struct route *route, const struct route_request *request)
{
    size_t count = 0;
    size_t places;

    for (size_t i = 0; i < route->count; i++) {
        struct endpoint *endpoint = route->endpoints[i];

        if (!is_candidate(request, endpoint)) {
            continue;
        }
        endpoint->score =
            endpoint->use == MEMBER_OVERFLOW ? 0
            : request->has_key
                ? rendezvous_score(endpoint, request->key_hash)
                : random_unit(route->options.random) * endpoint->weight;
        route->order[count++] = endpoint;
    }
    places = count < route->options.rendezvous_places
                 ? count
                 : route->options.rendezvous_places;
    for (size_t i = 0; i < places; i++) {
        size_t best = i;

        for (size_t j = i + 1; j < count; j++) {
            if (route->order[j]->score > route->order[best]->score) {
                best = j;
            }
        }
        struct endpoint *swap = route->order[i];
        route->order[i] = route->order[best];
        route->order[best] = swap;
    }
    return count;
}

static double
reported_load(const struct endpoint *endpoint)
{
    if (!endpoint->has_report) {
        return 0;
    }
    return (double)(endpoint->load.running + endpoint->load.queued) /
           endpoint->weight;
}

static struct endpoint *
least_loaded(const struct route *route, size_t count, int64_t now_ms)
{
    struct endpoint *best = NULL;

    for (size_t i = 0; i < count; i++) {
        struct endpoint *endpoint = route->order[i];

        if (!has_room(route, endpoint, now_ms)) {
            continue;
        }
        if (best == NULL || reported_load(endpoint) < reported_load(best)) {
            best = endpoint;
        }
    }
    return best;
}

static bool
choose(struct route_choice *choice, const struct endpoint *endpoint,
       enum route_reason reason, size_t candidates)
{
    *choice = (struct route_choice){
        .endpoint = endpoint->name,
        .reason = reason,
        .candidates = candidates,
        .may_wait = reason == ROUTE_WAIT,
    };
    return true;
}

/// Chooses the usable endpoint with the least reported load, tried or not.
static bool
choose_queue(const struct route *route, struct route_choice *choice)
{
    const struct endpoint *best = NULL;
    size_t count = 0;

    for (size_t i = 0; i < route->count; i++) {
        const struct endpoint *endpoint = route->endpoints[i];

        if (endpoint->use == MEMBER_UNUSABLE) {
            continue;
        }
        count++;
        if (best == NULL || reported_load(endpoint) < reported_load(best)) {
            best = endpoint;
        }
    }
    return best != NULL && choose(choice, best, ROUTE_WAIT, count);
}

static struct endpoint *
placed_endpoint(const struct route *route, const struct route_request *request)
{
    struct placement *placement;

    if (!request->has_key) {
        return NULL;
    }
    HASH_FIND(hh, route->placements, &request->key_hash,
              sizeof(request->key_hash), placement);
    return placement != NULL ? placement->endpoint : NULL;
}

static bool
is_available(const struct route *route, const struct route_request *request,
             const struct endpoint *endpoint, int64_t now_ms)
{
    return endpoint != NULL && is_candidate(request, endpoint) &&
           has_room(route, endpoint, now_ms);
}

bool
route_pick(struct route *route, const struct route_request *request,
           struct route_choice *choice)
{
    int64_t now_ms = clock_ms(route->options.clock);
    size_t count = order_candidates(route, request);
    struct endpoint *endpoint;

    if (count == 0 || request->tried_count >= route->options.refusals_max) {
        return choose_queue(route, choice);
    }
    if (request->hint.len > 0) {
        endpoint = find(route, request->hint);
        if (is_available(route, request, endpoint, now_ms)) {
            return choose(choice, endpoint, ROUTE_HINT, count);
        }
    }
    endpoint = placed_endpoint(route, request);
    if (is_available(route, request, endpoint, now_ms)) {
        return choose(choice, endpoint, ROUTE_PLACED, count);
    }
    for (size_t i = 0; i < count && i < route->options.rendezvous_places;
         i++) {
        if (has_room(route, route->order[i], now_ms) &&
            route->order[i]->use == MEMBER_USABLE) {
            bool home = i == 0 && request->tried_count == 0;

            return choose(choice, route->order[i],
                          home ? ROUTE_HOME : ROUTE_OVERFLOW, count);
        }
    }
    endpoint = least_loaded(route, count, now_ms);
    if (endpoint != NULL) {
        return choose(choice, endpoint, ROUTE_LEAST_LOADED, count);
    }
    return choose_queue(route, choice);
}

void
route_begin(struct route *route)
{
    route->in_flight++;
}

void
route_end(struct route *route)
{
    INVARIANT(route->in_flight > 0);
    route->in_flight--;
}

uint32_t
route_in_flight(const struct route *route)
{
    return route->in_flight;
}

uint32_t
route_usable_weight(const struct route *route)
{
    uint32_t weight = 0;

    for (size_t i = 0; i < route->count; i++) {
        if (route->endpoints[i]->use != MEMBER_UNUSABLE) {
            weight += route->endpoints[i]->weight;
        }
    }
    return weight;
}

struct str
route_home(const struct route *route, uint64_t key_hash)
{
    const struct endpoint *best = NULL;
    double best_score = 0;

    for (size_t i = 0; i < route->count; i++) {
        double score = rendezvous_score(route->endpoints[i], key_hash);

        if (best == NULL || score > best_score) {
            best = route->endpoints[i];
            best_score = score;
        }
    }
    return best != NULL ? best->name : STR_LITERAL("");
}

const char *
route_reason_name(enum route_reason reason)
{
    static const char *const names[] = {
        [ROUTE_HINT] = "hint",
        [ROUTE_PLACED] = "placed",
        [ROUTE_HOME] = "home",
        [ROUTE_OVERFLOW] = "overflow",
        [ROUTE_LEAST_LOADED] = "least-loaded",
        [ROUTE_WAIT] = "wait",
    };

    return names[reason];
}
