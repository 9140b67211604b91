#include <stdio.h>

#include "soak.h"

/// Bound of the platform (evacuate_ms).
#define EVACUATE_MS 5000
/// A relay in front of an endpoint delays requests for less than this.
#define ENDPOINT_DELAY_MS 800
/// Bound on the requests to an endpoint with a stated rate, over all routers.
#define RATE_WINDOW_MS 4000
#define RATE_FACTOR 1.5
#define RATE_SLACK 5
/// Time in which routers learn the rate, from the first answer that states it.
#define RATE_KNOWN_MS 3000
/// A restart or a freeze excuses a router until it has been told again.
#define RATE_EXCUSED_MS 3000
/// Time in which a router learns from its entry that a running endpoint has
/// become cold.
#define ENTRY_MS 1500

/// NULL: not a request of callers.c.
static struct soak_router *
router_of(struct soak *soak, const char *id)
{
    unsigned long long number;

    if (sscanf(id, "c-%llu", &number) != 1 || number >= soak->calls ||
        number >= SOAK_LEDGER_MAX) {
        return NULL;
    }
    return &soak->routers[soak->call_routers[number]];
}

static int64_t
later(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

/// The last moment at which the router may have missed what the store has. A
/// router that has started has listed the evacuated zones before it is ready.
static int64_t
disturbed_ms(const struct soak *soak, const struct soak_router *router)
{
    return later(later(router->frozen_ms, router->cut_ms),
                 soak->store_faulted_ms);
}

static void
check_evacuation(const struct soak_origin *origin,
                 const struct soak_router *router, const char *id)
{
    struct soak *soak = origin->soak;
    int64_t now_ms = soak_now();
    int64_t passed_ms = now_ms - soak->evacuated_ms;

    if (soak->evacuated_ms == 0 ||
        !str_equal_c(str_from(origin->zone), SOAK_ZONE)) {
        return;
    }
    if (passed_ms <= EVACUATE_MS || router == NULL || router->cut ||
        now_ms - disturbed_ms(soak, router) <= EVACUATE_MS ||
        now_ms - origin->faulted_ms <= ENDPOINT_DELAY_MS) {
        return;
    }
    soak_violation(soak, "%s: %s sent it to %s, evacuated %lld ms ago", id,
                   router->name, origin->id, (long long)passed_ms);
}

/// True if the router may not know that the endpoint is cold, within the
/// limits that docs/design/warmup.md states. A restart shows by connections
/// that are refused or lost, also to a router that is cut off from the store;
/// that a running endpoint has become cold shows only by its entry.
static bool
may_not_know(const struct soak_origin *origin,
             const struct soak_router *router)
{
    int64_t missed_ms = later(router->cut_ms, origin->soak->store_faulted_ms);

    if (router == NULL || router->paused ||
        router->frozen_ms >= origin->cold_from_ms) {
        return true;
    }
    return !origin->restarted &&
           (router->cut || missed_ms >= origin->cold_from_ms - EVACUATE_MS ||
            soak_now() - origin->cold_from_ms <= ENTRY_MS);
}

static void
check_cold(struct soak_origin *origin, const struct soak_router *router,
           const char *id)
{
    static const double bound =
        SOAK_COLD_PER_S * SOAK_COLD_FACTOR + SOAK_COLD_SLACK;
    int64_t now_ms = soak_now();
    size_t count = 0;

    if (now_ms >= origin->cold_end_ms || may_not_know(origin, router)) {
        return;
    }
    origin->soak->cold_requests++;
    origin->counted[origin->counted_next++ % SOAK_COLD_COUNTED] = now_ms;
    for (size_t i = 0; i < SOAK_COLD_COUNTED; i++) {
        count += now_ms - origin->counted[i] < 1000 ? 1 : 0;
    }
    if ((double)count > bound) {
        soak_violation(origin->soak,
                       "%s: %s received %zu requests in 1 s, cold for %lld "
                       "ms, the last from %s",
                       id, origin->id, count,
                       (long long)(now_ms - origin->cold_from_ms),
                       router->name);
    }
}

/// From a while after the begin, routers that were not disturbed keep the rate
/// together.
static void
check_rate(struct soak_origin *origin, const struct soak_router *router,
           const char *id)
{
    double bound =
        origin->rate_per_s * RATE_WINDOW_MS / 1000 * RATE_FACTOR + RATE_SLACK;
    int64_t now_ms = soak_now();
    size_t first = origin->rated_next > SOAK_RATE_COUNTED
                       ? origin->rated_next - SOAK_RATE_COUNTED
                       : 0;
    size_t count = 0;

    if (origin->rate_from_ms == 0 ||
        origin->rate_incarnation != origin->incarnation ||
        now_ms - origin->rate_from_ms < RATE_KNOWN_MS || router == NULL ||
        router->paused || now_ms - router->disrupted_ms < RATE_EXCUSED_MS ||
        now_ms - router->frozen_ms < RATE_EXCUSED_MS ||
        now_ms - origin->faulted_ms < RATE_WINDOW_MS + ENDPOINT_DELAY_MS) {
        return;
    }
    origin->soak->rate_requests++;
    origin->rated[origin->rated_next++ % SOAK_RATE_COUNTED] = now_ms;
    for (size_t i = first; i < origin->rated_next; i++) {
        count += now_ms - origin->rated[i % SOAK_RATE_COUNTED] < RATE_WINDOW_MS
                     ? 1
                     : 0;
    }
    if ((double)count > bound) {
        soak_violation(origin->soak,
                       "%s: %s received %zu requests in 4 s, states %.1f a "
                       "second for %lld ms, the last from %s",
                       id, origin->id, count, origin->rate_per_s,
                       (long long)(now_ms - origin->rate_from_ms),
                       router->name);
    }
}

void
soak_check_received(void *ctx, const char *id)
{
    struct soak_origin *origin = ctx;

    check_evacuation(origin, router_of(origin->soak, id), id);
    check_cold(origin, router_of(origin->soak, id), id);
    check_rate(origin, router_of(origin->soak, id), id);
}
