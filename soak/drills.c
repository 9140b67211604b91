#include <stdio.h>

#include "soak.h"

#define DRILL_GAP_MIN_MS 500
#define DRILL_GAP_SPREAD_MS 3000
#define COPY_AGE_MIN_MS 500
#define COPY_AGE_SPREAD_MS 3500
#define AWAY_MIN_MS 200
#define AWAY_SPREAD_MS 1300
/// Between records that the copy lacks.
#define RENEWAL_MS 60
/// Until a drill that goes back to the same copy as the one before.
#define SERIES_SPREAD_MS 800
/// Endpoints that live have written their entries again after about 2 s.
#define REWRITE_SPREAD_MS 1700

static int64_t
drill_random(struct soak *soak, int64_t bound)
{
    return (int64_t)random_below(&soak->drill.random, (uint64_t)bound);
}

void
soak_set_store_fault(struct soak *soak, enum keyed_store_fault fault)
{
    soak->store_fault = fault;
    if (!soak->drill.is_away) {
        keyed_store_set_fault(soak->store, fault);
    }
}

static void
plan_drill(struct soak *soak, int64_t now_ms)
{
    struct soak_drill *drill = &soak->drill;
    bool is_series = drill->count > 0 && drill_random(soak, 4) == 0;
    int64_t gap_ms =
        DRILL_GAP_MIN_MS + drill_random(soak, DRILL_GAP_SPREAD_MS);
    int64_t age_ms = COPY_AGE_MIN_MS + drill_random(soak, COPY_AGE_SPREAD_MS);

    drill->copy_ms = is_series ? 0 : now_ms + gap_ms;
    drill->away_ms = is_series ? now_ms + drill_random(soak, SERIES_SPREAD_MS)
                               : drill->copy_ms + age_ms;
    drill->back_ms =
        drill->away_ms + AWAY_MIN_MS + drill_random(soak, AWAY_SPREAD_MS);
}

/// Half of the copies are of one topic; the others keep their records.
static void
make_copy(struct soak *soak)
{
    static const char *const topics[] = {
        NULL, NULL, KEYED_STORE_TOPIC_OPERATOR, KEYED_STORE_TOPIC_ENDPOINTS};

    keyed_store_copy(soak->store, topics[drill_random(soak, 4)]);
    soak->drill.copy_ms = 0;
}

static void
come_back(struct soak *soak, int64_t now_ms)
{
    struct soak_drill *drill = &soak->drill;

    keyed_store_restore(soak->store);
    drill->is_away = false;
    drill->count++;
    keyed_store_set_fault(soak->store, soak->store_fault);
    printf("%lld store back, era %lld\n", (long long)now_ms,
           (long long)keyed_store_era(soak->store));
    drill->rewrite_ms = now_ms + drill_random(soak, REWRITE_SPREAD_MS);
    for (size_t i = 0; i < SOAK_ORIGINS_ALL; i++) {
        soak->origins[i].rewrite_ms =
            now_ms + drill_random(soak, REWRITE_SPREAD_MS);
    }
}

static void
write_again(struct soak *soak, int64_t now_ms)
{
    struct soak_drill *drill = &soak->drill;

    if (drill->rewrite_ms != 0 && now_ms >= drill->rewrite_ms) {
        drill->rewrite_ms = 0;
        keyed_store_put(soak->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                        str_from(soak->configuration));
        soak_write_evacuation(soak);
    }
    for (size_t i = 0; i < SOAK_ORIGINS_ALL; i++) {
        struct soak_origin *origin = &soak->origins[i];

        if (origin->rewrite_ms == 0 || now_ms < origin->rewrite_ms) {
            continue;
        }
        origin->rewrite_ms = 0;
        if (origin_is_up(origin->origin)) {
            soak_write_entry(soak, origin, origin->state);
        }
    }
}

static bool
is_complete(const struct soak *soak)
{
    bool complete = !soak->drill.is_away && soak->drill.rewrite_ms == 0;

    for (size_t i = 0; i < SOAK_ORIGINS_ALL; i++) {
        complete = complete && soak->origins[i].rewrite_ms == 0;
    }
    return complete;
}

/// The operator and an endpoint write what they wrote before, so that more is
/// lost than is written again.
static void
renew(struct soak *soak, int64_t now_ms)
{
    struct soak_drill *drill = &soak->drill;
    struct soak_origin *origin;

    if (drill->copy_ms != 0 || now_ms < drill->renewal_ms) {
        return;
    }
    drill->renewal_ms = now_ms + RENEWAL_MS;
    origin = &soak->origins[drill->renewals++ % SOAK_ORIGINS_ALL];
    keyed_store_put(soak->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                    str_from(soak->configuration));
    if (origin_is_up(origin->origin)) {
        soak_write_entry(soak, origin, origin->state);
    }
}

void
soak_drill(struct soak *soak)
{
    struct soak_drill *drill = &soak->drill;
    int64_t now_ms = soak_now();

    if (drill->away_ms == 0) {
        plan_drill(soak, now_ms);
    }
    if (drill->copy_ms != 0 && now_ms >= drill->copy_ms) {
        make_copy(soak);
    }
    if (!drill->is_away && now_ms >= drill->away_ms) {
        drill->is_away = true;
        keyed_store_set_fault(soak->store, KEYED_STORE_AWAY);
        printf("%lld store away\n", (long long)now_ms);
    }
    if (drill->is_away && now_ms >= drill->back_ms) {
        come_back(soak, now_ms);
        plan_drill(soak, now_ms);
    }
    if (!drill->is_away) {
        write_again(soak, now_ms);
    }
    if (is_complete(soak)) {
        renew(soak, now_ms);
    }
    if (!is_complete(soak)) {
        soak->store_faulted_ms = now_ms;
    }
}

void
soak_end_drill(struct soak *soak)
{
    int64_t now_ms = soak_now();

    if (soak->drill.is_away) {
        come_back(soak, now_ms);
    }
    write_again(soak, INT64_MAX);
    soak_publish_change(soak);
    soak->store_faulted_ms = now_ms;
}
