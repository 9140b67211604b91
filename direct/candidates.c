#include "candidates.h"

#include <stdlib.h>

#include "core/spread.h"
#include "core/xmalloc.h"
#include "endpoints.h"

/// Share of a service's endpoints that may be ejected at once. If more fail,
/// the cause is not in the endpoints, and all stay in use.
#define EJECTED_PERCENT_MAX 50
/// Share of a service's endpoints that requests which may run only once avoid,
/// ejected ones included. The others must have room for what they take over.
#define AVOIDED_PERCENT_MAX 20
/// Excess of an endpoint's failure share over the least one at which it gets
/// no repeats: more than a single failure adds.
#define REPEAT_FAILURE_MARGIN 0.1

/// Scratch arrays of endpoints_choose(), allocated once.
struct candidates {
    struct place_candidate candidates[CANDIDATES_MAX];
    struct endpoint *endpoints[CANDIDATES_MAX];
    bool ejected[CANDIDATES_MAX];
    bool avoided[CANDIDATES_MAX];
    bool takes_requests[CANDIDATES_MAX];
    bool fits[CANDIDATES_MAX];
    enum candidate_exclusion exclusions[CANDIDATES_MAX];
    size_t count;
    int64_t now_ms;
};

struct candidates *
candidates_new(void)
{
    return xcalloc(1, sizeof(struct candidates));
}

void
candidates_free(struct candidates *candidates)
{
    free(candidates);
}

size_t
candidates_count(const struct candidates *candidates)
{
    return candidates->count;
}

struct candidate_view
candidates_view(const struct candidates *candidates, size_t index)
{
    return (struct candidate_view){
        .endpoint = candidates->endpoints[index],
        .figures = &candidates->candidates[index],
        .exclusion = candidates->exclusions[index],
    };
}

const char *
candidate_exclusion_name(enum candidate_exclusion exclusion)
{
    static const char *const names[] = {
        [CANDIDATE_USABLE] = "none",
        [CANDIDATE_DRAINING] = "draining",
        [CANDIDATE_LEAVING] = "leaving",
        [CANDIDATE_HELD] = "held",
        [CANDIDATE_EVACUATED] = "evacuated",
        [CANDIDATE_COLD] = "cold",
        [CANDIDATE_TRIED] = "tried",
        [CANDIDATE_OTHER_BUILD] = "other build",
        [CANDIDATE_EJECTED] = "ejected",
        [CANDIDATE_ON_TRIAL] = "on trial",
        [CANDIDATE_FAILING] = "failing",
        [CANDIDATE_FULL] = "full",
        [CANDIDATE_QUEUEING] = "queueing",
        [CANDIDATE_RATE_LIMITED] = "rate limited",
    };

    return names[exclusion];
}

static void
exclude_one(struct candidates *set, size_t i,
            enum candidate_exclusion exclusion)
{
    if (set->candidates[i].usable) {
        set->candidates[i].usable = false;
        set->exclusions[i] = exclusion;
    }
}

/// Why no request goes there, whatever the request is.
static enum candidate_exclusion
standing_exclusion(const struct endpoints *endpoints,
                   const struct endpoint *endpoint)
{
    static const enum candidate_exclusion exclusions[] = {
        [ENDPOINT_UNBLOCKED] = CANDIDATE_USABLE,
        [ENDPOINT_NOT_READY] = CANDIDATE_DRAINING,
        [ENDPOINT_EVACUATED] = CANDIDATE_EVACUATED,
        [ENDPOINT_HELD] = CANDIDATE_HELD,
        [ENDPOINT_COLD] = CANDIDATE_COLD,
        [ENDPOINT_RATE_LIMITED] = CANDIDATE_RATE_LIMITED,
    };
    enum candidate_exclusion exclusion =
        exclusions[endpoints_block(endpoints, endpoint)];

    return exclusion == CANDIDATE_DRAINING && endpoint->is_leaving
               ? CANDIDATE_LEAVING
               : exclusion;
}

static bool
was_tried(const struct endpoints_query *query, uint64_t hash)
{
    for (size_t i = 0; i < query->tried_count; i++) {
        if (query->tried[i] == hash) {
            return true;
        }
    }
    return false;
}

/// Makes the marked candidates unusable, unless more than `percent_max` of all
/// endpoints that take requests are marked, or no other one is left.
static void
exclude(struct candidates *set, size_t count, const bool *marked,
        int percent_max)
{
    struct place_candidate *candidates = set->candidates;
    size_t marked_count = 0;
    size_t ready = 0;
    size_t left = 0;

    for (size_t i = 0; i < count; i++) {
        ready += set->takes_requests[i] ? 1 : 0;
        marked_count += set->takes_requests[i] && marked[i] ? 1 : 0;
        left += candidates[i].usable && !marked[i] ? 1 : 0;
    }
    if (left == 0 || 100 * marked_count > (size_t)percent_max * ready) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (marked[i]) {
            exclude_one(set, i,
                        set->now_ms < set->endpoints[i]->eject.ejected_until_ms
                            ? CANDIDATE_EJECTED
                            : CANDIDATE_ON_TRIAL);
        }
    }
}

static double
least_failure_share(const struct candidates *set, size_t count)
{
    double least = 1;

    for (size_t i = 0; i < count; i++) {
        const struct eject *eject = &set->endpoints[i]->eject;

        if (set->candidates[i].usable && !set->ejected[i] && !eject->trial &&
            eject->failure_share < least) {
            least = eject->failure_share;
        }
    }
    return least;
}

/// Restricts a repeat to endpoints that are neither ejected nor on trial and
/// that fail little, if there are any. Those that fail at once have the least
/// load and would get it otherwise.
static void
exclude_failing(struct candidates *set, size_t count)
{
    struct place_candidate *candidates = set->candidates;
    double share_max = least_failure_share(set, count) + REPEAT_FAILURE_MARGIN;
    bool *fits = set->fits;
    size_t fitting = 0;

    for (size_t i = 0; i < count; i++) {
        const struct eject *eject = &set->endpoints[i]->eject;

        fits[i] = !set->ejected[i] && !eject->trial &&
                  eject->failure_share <= share_max;
        fitting += candidates[i].usable && fits[i] ? 1 : 0;
    }
    for (size_t i = 0; i < count && fitting > 0; i++) {
        if (!fits[i]) {
            exclude_one(set, i, CANDIDATE_FAILING);
        }
    }
}

/// Mean tokens of a request of the service, as placed by this router.
static double
mean_request_tokens(struct endpoint *const *endpoints, size_t count)
{
    double sum = 0;
    size_t known = 0;

    for (size_t i = 0; i < count; i++) {
        sum += endpoints[i]->footprint.mean_tokens;
        known += endpoints[i]->footprint.mean_tokens > 0 ? 1 : 0;
    }
    return known > 0 ? sum / (double)known : 0;
}

/// Makes the candidates unusable whose memory the request would fill, while
/// another one is usable. Peers report no tokens, so that their requests count
/// as mean ones.
static void
exclude_full(struct candidates *set, const struct endpoints_query *query,
             size_t count, int64_t now_ms)
{
    struct place_candidate *candidates = set->candidates;
    struct endpoint **all = set->endpoints;
    size_t fitting = 0;
    double mean;

    if (query->tokens <= 0 || query->capacity_tokens <= 0) {
        return;
    }
    mean = mean_request_tokens(all, count);
    for (size_t i = 0; i < count; i++) {
        double others = endpoint_load(all[i], now_ms) - all[i]->in_flight;

        set->fits[i] =
            footprint_fits(all[i]->footprint.held_tokens + mean * others,
                           query->tokens, query->capacity_tokens);
        fitting += candidates[i].usable && set->fits[i] ? 1 : 0;
    }
    for (size_t i = 0; i < count && fitting > 0; i++) {
        if (!set->fits[i]) {
            exclude_one(set, i, CANDIDATE_FULL);
        }
    }
}

/// Makes the candidates unusable whose slots are taken, while the stated rates
/// of others leave them with all the work: the requests would wait there until
/// load shedding has noticed. True if there are any.
static bool
exclude_queueing(struct candidates *set, size_t count)
{
    bool any_limited = false;
    bool any_queueing = false;

    for (size_t i = 0; i < count; i++) {
        any_limited =
            any_limited || set->exclusions[i] == CANDIDATE_RATE_LIMITED;
    }
    for (size_t i = 0; i < count && any_limited; i++) {
        if (set->candidates[i].usable &&
            place_has_queue(&set->candidates[i])) {
            exclude_one(set, i, CANDIDATE_QUEUEING);
            any_queueing = true;
        }
    }
    return any_queueing;
}

/// Presumes the mean gap where none has been learned yet.
static void
fill_unknown_gaps(struct place_candidate *candidates, size_t count)
{
    double sum = 0;
    size_t known = 0;

    for (size_t i = 0; i < count; i++) {
        sum += candidates[i].usual_gap_ms;
        known += candidates[i].usual_gap_ms > 0 ? 1 : 0;
    }
    for (size_t i = 0; i < count && known > 0; i++) {
        if (candidates[i].usual_gap_ms == 0) {
            candidates[i].usual_gap_ms = sum / (double)known;
        }
    }
}

/// Lists the service's endpoints with their figures, before those that the
/// request does not use are made unusable; returns their number.
static size_t
list_candidates(struct candidates *set, struct endpoints *endpoints,
                const struct endpoints_query *query, bool has_prompt)
{
    const struct endpoints_options *options = endpoints_options(endpoints);
    int64_t now_ms = set->now_ms;
    struct endpoint *endpoint;
    size_t count = 0;

    for (endpoint = endpoints_first(endpoints);
         endpoint != NULL && count < CANDIDATES_MAX;
         endpoint = endpoint->hh.next) {
        if (!str_equal(endpoint->service, query->service)) {
            continue;
        }
        set->endpoints[count] = endpoint;
        set->ejected[count] =
            eject_is_blocked(&endpoint->eject, now_ms, endpoint->in_flight);
        set->avoided[count] = set->ejected[count] ||
                              (query->at_most_once && query->spares_trials &&
                               eject_spares_once(&endpoint->eject, now_ms));
        set->exclusions[count] = standing_exclusion(endpoints, endpoint);
        set->takes_requests[count] =
            set->exclusions[count] == CANDIDATE_USABLE;
        if (set->takes_requests[count] && was_tried(query, endpoint->hash)) {
            set->exclusions[count] = CANDIDATE_TRIED;
        }
        else if (set->takes_requests[count] && query->build != 0 &&
                 endpoint->build != query->build) {
            set->exclusions[count] = CANDIDATE_OTHER_BUILD;
        }
        set->candidates[count] = (struct place_candidate){
            .hash = endpoint->hash,
            .usable = set->exclusions[count] == CANDIDATE_USABLE,
            // A draining endpoint still serves its contexts to others, and so
            // does one that states a rate: the transfer is no request, and the
            // others would have to prefill its prompts.
            .sends_contexts = !set->ejected[count],
            .rate_limited = endpoint->rate_limit.holds,
            .same_zone = str_equal(endpoint->zone, options->zone),
            .zone = endpoint->zone_hash,
            // A plain call ends before peers report it. Their outdated loads
            // would make all routers choose the same endpoint.
            .load = has_prompt ? endpoint_load(endpoint, now_ms)
                               : endpoint->in_flight,
            .slots = endpoint->slots,
            .backlog_tokens = endpoint_backlog_tokens(endpoint, now_ms),
            .own_load = endpoint->in_flight,
            .reported_load = endpoint_reported_load(endpoint, now_ms),
            .stated_excess = endpoint->stated_excess,
            .stated_age_ms = endpoint->unreported_ms > 0
                                 ? now_ms - endpoint->unreported_ms
                                 : -1,
            .cached_tokens =
                prefix_estimate_match(endpoint->cache, query->prefix),
            .usual_gap_ms = endpoint->gaps.usual_ms,
            .slow_down = speed_slow_down(&endpoint->speed, now_ms),
        };
        count++;
    }
    return count;
}

bool
endpoints_choose(struct endpoints *endpoints,
                 const struct endpoints_query *query,
                 const struct place_request *request,
                 struct endpoints_choice *choice)
{
    struct candidates *set = endpoints_candidates(endpoints);
    const struct endpoints_options *options = endpoints_options(endpoints);
    struct place_candidate *candidates = set->candidates;
    size_t count;

    set->now_ms = clock_ms(options->clock);
    count = list_candidates(set, endpoints, query, request->has_prompt);
    set->count = count;
    exclude(set, count, set->avoided, AVOIDED_PERCENT_MAX);
    exclude(set, count, set->ejected, EJECTED_PERCENT_MAX);
    if (query->is_repeat) {
        exclude_failing(set, count);
    }
    exclude_full(set, query, count, set->now_ms);
    *choice = (struct endpoints_choice){0};
    choice->is_queueing =
        query->may_be_refused && exclude_queueing(set, count);
    fill_unknown_gaps(candidates, count);
    if (request->even_load) {
        spread_estimate(candidates, count, request->known_share);
    }
    if (!place_choose(request, candidates, count, &choice->place)) {
        return false;
    }
    choice->endpoint = set->endpoints[choice->place.index];
    if (choice->place.source != PLACE_NO_SOURCE) {
        choice->source = set->endpoints[choice->place.source];
    }
    return true;
}
