#include <signal.h>
#include <stdio.h>

#include "soak.h"

#define FAULT_GAP_MIN_MS 80
#define FAULT_GAP_SPREAD_MS 700
#define FAULT_DURATION_SPREAD_MS 1500

static int64_t
random_less_than(struct soak *soak, int64_t bound)
{
    return (int64_t)random_below(&soak->random, (uint64_t)bound);
}

static struct soak_router *
random_router(struct soak *soak)
{
    return &soak->routers[random_less_than(soak, SOAK_ROUTERS)];
}

static struct soak_origin *
random_origin(struct soak *soak)
{
    return &soak->origins[random_less_than(soak, SOAK_ORIGINS)];
}

static void
fault_process(struct soak *soak)
{
    struct soak_router *router = random_router(soak);

    switch (random_less_than(soak, 5)) {
    case 0:
        soak_signal(soak, router, SIGKILL);
        return;
    case 1:
        router->resume_ms = soak_now() + 200 +
                            random_less_than(soak, FAULT_DURATION_SPREAD_MS);
        soak_signal(soak, router, SIGSTOP);
        return;
    case 2:
    case 3:
        soak_signal(soak, router, SIGTERM);
        return;
    default:
        router->settings_version++;
        soak_write_settings(soak, router);
        // Half of the changes of the file are made without a signal.
        if (random_less_than(soak, 2) == 0) {
            soak_signal(soak, router, SIGHUP);
        }
    }
}

static void
fault_store(struct soak *soak)
{
    static const enum keyed_store_fault faults[] = {
        KEYED_STORE_BUSY, KEYED_STORE_NO_ANSWER, KEYED_STORE_LOSE_ANSWER};
    int64_t kind = random_less_than(soak, 4);

    if (kind == 3) {
        keyed_store_compact(soak->store, KEYED_STORE_TOPIC_OPERATOR);
        keyed_store_compact(soak->store, KEYED_STORE_TOPIC_ENDPOINTS);
        return;
    }
    soak_set_store_fault(soak, faults[kind]);
    soak->store_fault_end_ms =
        soak_now() + 300 + random_less_than(soak, FAULT_DURATION_SPREAD_MS);
}

static void
fault_store_link(struct soak *soak)
{
    struct soak_router *router = random_router(soak);
    struct relay *relay = router->store;
    int64_t delay_ms;

    router->cut_ms = soak_now();
    switch (random_less_than(soak, 4)) {
    case 0:
        relay_reset(relay);
        return;
    case 1:
        relay_blackhole(relay);
        return;
    case 2:
        relay_drop(relay, random_less_than(soak, 2) == 0, true);
        router->cut = true;
        return;
    default:
        delay_ms = 100 + random_less_than(soak, FAULT_DURATION_SPREAD_MS);
        relay_delay(relay, delay_ms);
        router->cut_ms += delay_ms;
    }
}

/// Excludes faults whose response looks like a refusal by the router.
static enum origin_fault
random_origin_fault(struct soak *soak)
{
    return random_less_than(soak, 6) == 0
               ? ORIGIN_RESETS_IN_EVENT
               : (enum origin_fault)(
                     1 + random_less_than(soak, ORIGIN_MISDIRECTED));
}

static void
fault_origin(struct soak *soak)
{
    struct soak_origin *origin = random_origin(soak);
    int64_t now_ms = soak_now();

    origin->faulted_ms = now_ms;
    switch (random_less_than(soak, 6)) {
    case 0:
        relay_reset(origin->relay);
        return;
    case 1:
        relay_blackhole(origin->relay);
        return;
    case 2:
        relay_delay(origin->relay, 100 + random_less_than(soak, 600));
        return;
    case 3:
        soak_replace_origin(soak, origin);
        return;
    default:
        origin_set_fault(origin->origin, random_origin_fault(soak));
        origin->fault_end_ms =
            now_ms + 200 + random_less_than(soak, FAULT_DURATION_SPREAD_MS);
    }
}

static void
fault_operator(struct soak *soak)
{
    int64_t changes = 1 + random_less_than(soak, 4);

    for (int64_t i = 0; i < changes; i++) {
        soak_publish_configuration(soak);
    }
    if (random_less_than(soak, 3) == 0) {
        struct soak_origin *origin =
            &soak->origins[1 + random_less_than(soak, SOAK_ORIGINS - 1)];

        soak_write_entry(soak, origin, "draining");
        origin->fault_end_ms =
            soak_now() + 500 +
            random_less_than(soak, FAULT_DURATION_SPREAD_MS);
    }
}

void
soak_inject_fault(struct soak *soak)
{
    static void (*const kinds[])(struct soak *) = {
        fault_process, fault_process, fault_store,   fault_store_link,
        fault_origin,  fault_origin,  fault_operator};
    int64_t now_ms = soak_now();

    if (soak->verifying || now_ms < soak->next_fault_ms) {
        return;
    }
    soak->next_fault_ms = now_ms + FAULT_GAP_MIN_MS +
                          random_less_than(soak, FAULT_GAP_SPREAD_MS);
    soak->faults++;
    kinds[random_less_than(soak, (int64_t)(sizeof(kinds) / sizeof(kinds[0])))](
        soak);
}

void
soak_end_faults(struct soak *soak, bool all)
{
    int64_t now_ms = soak_now();

    if (soak->store_fault_end_ms != 0) {
        soak->store_faulted_ms = now_ms;
    }
    if (all || (soak->store_fault_end_ms != 0 &&
                now_ms >= soak->store_fault_end_ms)) {
        soak_set_store_fault(soak, KEYED_STORE_OK);
        soak->store_fault_end_ms = 0;
    }
    for (size_t i = 0; i < SOAK_ORIGINS; i++) {
        struct soak_origin *origin = &soak->origins[i];

        if (all ||
            (origin->fault_end_ms != 0 && now_ms >= origin->fault_end_ms)) {
            origin_set_fault(origin->origin, ORIGIN_OK);
            soak_write_entry(soak, origin, "ready");
            origin->fault_end_ms = 0;
        }
    }
    for (size_t i = 0; i < SOAK_ROUTERS; i++) {
        struct soak_router *router = &soak->routers[i];

        // With a probability of 1/64 at each check, the relay stops dropping
        // bytes.
        if (all || random_less_than(soak, 64) == 0) {
            relay_drop(router->store, false, false);
            router->cut_ms = router->cut ? now_ms : router->cut_ms;
            router->cut = false;
        }
    }
}
