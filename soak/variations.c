#include <stdio.h>

#include "soak.h"

#define LOAD_CHANGE_MS 200
#define EVACUATION_FIRST_MS 1500
#define EVACUATED_MIN_MS 6000
#define EVACUATION_PAUSE_MS 500
#define COLD_PAUSE_MS 500
/// The endpoint that states rates, and for how long at least.
#define RATED_ORIGIN 1
#define RATE_MIN_MS 5000
/// Endpoints write their entries again and again.
#define ENTRY_INTERVAL_MS 1200

/// Varies the load that endpoints report. Routers must ignore a fourth figure
/// that is missing or malformed.
static void
vary_loads(struct soak *soak, int64_t now_ms)
{
    static const char *const loads[] = {
        NULL,
        "1,0,8",
        "1,0,8,",
        "1,0,8,100",
        "1,0,8,250",
        "1,0,8,0",
        "1,0,8,-1",
        "1,0,8,1e9",
        "1,0,8,1000000000",
        "1,0,8,99999999999999999999999",
        "1,0,8,slow",
        "1,0,8,100,7",
    };

    if (now_ms < soak->next_loads_ms) {
        return;
    }
    soak->next_loads_ms = now_ms + LOAD_CHANGE_MS;
    for (size_t i = 0; i < SOAK_ORIGINS_ALL; i++) {
        size_t number = random_below(&soak->other_random,
                                     sizeof(loads) / sizeof(loads[0]));

        origin_set_load(soak->origins[i].origin, loads[number]);
    }
}

void
soak_write_evacuation(struct soak *soak)
{
    keyed_store_put(soak->store, KEYED_STORE_TOPIC_OPERATOR,
                    "evacuate/" SOAK_ZONE,
                    str_from(soak->evacuated_ms != 0 ? "{}" : ""));
}

/// The zone is evacuated for longer than routers may take to notice, and then
/// taken back; the last evacuation may last until the end.
static void
vary_evacuation(struct soak *soak, int64_t now_ms)
{
    bool begins = soak->evacuated_ms == 0;
    uint64_t spread_ms = random_below(&soak->other_random, 2000);

    if (soak->next_evacuation_ms == 0) {
        soak->next_evacuation_ms =
            now_ms + EVACUATION_FIRST_MS + (int64_t)spread_ms;
    }
    if (now_ms < soak->next_evacuation_ms) {
        return;
    }
    printf("%lld evacuation of " SOAK_ZONE " %s\n", (long long)now_ms,
           begins ? "begins" : "ends");
    soak->evacuated_ms = begins ? now_ms : 0;
    soak_write_evacuation(soak);
    soak->evacuations += begins ? 1 : 0;
    soak->next_evacuation_ms =
        now_ms + (int64_t)spread_ms +
        (begins ? EVACUATED_MIN_MS : EVACUATION_PAUSE_MS);
}

static void
renew_entry(struct soak *soak, struct soak_origin *origin)
{
    origin->entries++;
    origin->next_entry_ms = soak_now() + ENTRY_INTERVAL_MS;
    soak_write_entry(soak, origin, "ready");
}

static void
become_cold(struct soak *soak, struct soak_origin *origin)
{
    origin->cold_end_ms = soak_now() + SOAK_COLD_START_MS;
    soak->cold_starts++;
    renew_entry(soak, origin);
}

static void
on_back(void *ctx, struct origin *stand_in)
{
    struct soak_origin *origin = ctx;

    (void)stand_in;
    origin->incarnation++;
    become_cold(origin->soak, origin);
}

/// Endpoints restart, or become cold while they run.
static void
vary_cold(struct soak *soak, int64_t now_ms)
{
    for (size_t i = SOAK_ORIGINS; i < SOAK_ORIGINS_COLD_END; i++) {
        struct soak_origin *origin = &soak->origins[i];
        uint64_t spread_ms = random_below(&soak->other_random, 3000);
        bool first = origin->next_cold_ms == 0;

        if (now_ms >= origin->next_entry_ms && origin_is_up(origin->origin)) {
            renew_entry(soak, origin);
        }
        if (now_ms < origin->next_cold_ms) {
            continue;
        }
        origin->next_cold_ms =
            now_ms + SOAK_COLD_START_MS + COLD_PAUSE_MS + (int64_t)spread_ms;
        if (first) {
            continue;
        }
        origin->cold_from_ms = now_ms;
        origin->restarted = random_below(&soak->other_random, 2) == 0;
        printf("%lld %s %s\n", (long long)now_ms, origin->id,
               origin->restarted ? "restarts" : "becomes cold");
        if (!origin->restarted) {
            become_cold(soak, origin);
            continue;
        }
        origin_set_crash(origin->origin,
                         &(struct origin_crash_options){
                             .away_ms = 300 + (int64_t)(spread_ms / 4),
                             .back = on_back,
                             .ctx = origin,
                         });
        origin_crash(origin->origin);
    }
}

/// One endpoint at a time states a rate for a spell; values that are none,
/// too.
static void
vary_rates(struct soak *soak, int64_t now_ms)
{
    static const struct {
        const char *fields;
        double per_s; ///< negative: not a rate
    } rates[] = {
        {"Server-Limit: 1\r\n", 1},      {"Server-Limit: 2.5\r\n", 2.5},
        {"server-limit: 5\r\n", 5},      {"Server-Limit: 0\r\n", 0},
        {"Server-Limit: often\r\n", -1}, {"Server-Limit: 1e-9\r\n", -1},
    };
    struct soak_origin *origin = &soak->origins[RATED_ORIGIN];
    size_t number;

    if (origin->rate_incarnation != origin->incarnation) {
        origin->rate_from_ms = 0;
    }
    if (soak->verifying) {
        origin_set_fields(origin->origin, NULL);
        origin->rate_from_ms = 0;
        return;
    }
    if (now_ms < soak->next_rate_ms) {
        return;
    }
    number =
        random_below(&soak->rate_random, 1 + sizeof(rates) / sizeof(rates[0]));
    soak->next_rate_ms =
        now_ms + RATE_MIN_MS + (int64_t)random_below(&soak->rate_random, 4000);
    origin->rate_from_ms = 0;
    if (number >= sizeof(rates) / sizeof(rates[0])) {
        origin_set_fields(origin->origin, NULL);
        return;
    }
    origin_set_fields(origin->origin, rates[number].fields);
    if (rates[number].per_s >= 0) {
        origin->rate_from_ms = now_ms;
        origin->rate_per_s = rates[number].per_s;
        origin->rate_incarnation = origin->incarnation;
        origin->rated_next = 0;
        soak->rates++;
    }
}

void
soak_vary(struct soak *soak)
{
    int64_t now_ms = soak_now();

    vary_loads(soak, now_ms);
    vary_evacuation(soak, now_ms);
    vary_cold(soak, now_ms);
    vary_rates(soak, now_ms);
}
