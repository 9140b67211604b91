/// Endpoints lost to a request that crashes each one that runs it, sent again
/// every second through all routers, and innocents refused beside it.
#include "measure.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core/xmalloc.h"
#include "dandelionvalve/quarantine.h"
#include "timeline.h"

#define ENGINES 20
#define ROUTERS 6
#define SECONDS 60
#define RESTART_US 5000000
#define SERVICE_US 2000000
#define INNOCENTS_PER_S 100
#define SPREAD_US 100000 ///< until another daemon hears of a strike, at most
#define BAD 0

enum event_type {
    EVENT_BAD,
    EVENT_INNOCENT,
    EVENT_END,
    EVENT_CRASH,
    EVENT_RESTART,
    EVENT_HEAR,
};

struct run {
    uint64_t fingerprint;
    int engine;
    int router;
    bool struck;
    uint64_t epoch;
};

struct engine {
    struct quarantine *quarantine;
    bool up;
    uint64_t epoch;
    int struck;
    struct run *runs[4096];
    size_t run_count;
};

struct bench {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct timeline *events;
    bool enabled;
    struct engine engines[ENGINES];
    struct quarantine *routers[ROUTERS];
    uint64_t crashes;
    uint64_t innocents;
    uint64_t refused;
    uint64_t lost;
    uint64_t next_fingerprint;
};

struct strike {
    uint64_t fingerprint;
    uint32_t death;
};

static void
add_event(struct bench *bench, int64_t delay_us, int type, int a, int b,
          void *data)
{
    timeline_add(bench->events, (struct timed_event){
                                    .at_us = bench->manual.now_us + delay_us,
                                    .type = type,
                                    .a = a,
                                    .b = b,
                                    .data = data,
                                });
}

/// The agent tells its router at once; the others hear it by and by.
static void
strike(struct bench *bench, const struct run *run, uint32_t death)
{
    quarantine_strike(bench->engines[run->engine].quarantine, run->fingerprint,
                      death);
    quarantine_strike(bench->routers[run->router], run->fingerprint, death);
    for (int i = 0; i < ENGINES + ROUTERS; i++) {
        struct strike *news = xcalloc(1, sizeof(*news));

        news->fingerprint = run->fingerprint;
        news->death = death;
        add_event(bench, (int64_t)random_below(&bench->random, SPREAD_US),
                  EVENT_HEAR, i, 0, news);
    }
}

static void
crash(struct bench *bench, int index)
{
    struct engine *engine = &bench->engines[index];

    bench->crashes++;
    engine->up = false;
    engine->epoch++;
    for (size_t i = 0; i < engine->run_count; i++) {
        strike(bench, engine->runs[i], (uint32_t)bench->crashes);
        bench->lost += engine->runs[i]->fingerprint != BAD;
        free(engine->runs[i]);
    }
    engine->run_count = 0;
    engine->struck = 0;
    add_event(bench, RESTART_US, EVENT_RESTART, index, 0, NULL);
}

/// True if the engine ran it.
static bool
offer(struct bench *bench, int index, int router, uint64_t fingerprint)
{
    struct engine *engine = &bench->engines[index];
    enum quarantine_verdict verdict =
        quarantine_check(engine->quarantine, fingerprint);
    struct run *run;

    if (bench->enabled &&
        (verdict == QUARANTINE_REFUSE ||
         (verdict == QUARANTINE_ISOLATE && engine->struck > 0))) {
        return false;
    }
    run = xcalloc(1, sizeof(*run));
    run->fingerprint = fingerprint;
    run->engine = index;
    run->router = router;
    run->struck = verdict == QUARANTINE_ISOLATE;
    run->epoch = engine->epoch;
    engine->struck += run->struck;
    engine->runs[engine->run_count++] = run;
    if (fingerprint == BAD) {
        add_event(bench, 1000, EVENT_CRASH, index, (int)engine->epoch, NULL);
    }
    else {
        add_event(bench, SERVICE_US, EVENT_END, index, (int)engine->epoch,
                  (void *)(uintptr_t)fingerprint);
    }
    return true;
}

static void
send_request(struct bench *bench, int router, uint64_t fingerprint)
{
    int index = (int)random_below(&bench->random, ENGINES);

    bench->innocents += fingerprint != BAD;
    if (bench->enabled && quarantine_check(bench->routers[router],
                                           fingerprint) == QUARANTINE_REFUSE) {
        bench->refused += fingerprint != BAD;
        return;
    }
    for (int i = 0; i < ENGINES; i++) {
        int at = (index + i) % ENGINES;

        if (bench->engines[at].up && bench->engines[at].run_count < 4096 &&
            offer(bench, at, router, fingerprint)) {
            return;
        }
    }
    bench->refused += fingerprint != BAD;
}

static void
end_run(struct bench *bench, struct engine *engine, uint64_t fingerprint)
{
    for (size_t i = 0; i < engine->run_count; i++) {
        struct run *run = engine->runs[i];

        if (run->fingerprint != fingerprint) {
            continue;
        }
        quarantine_clear(engine->quarantine, fingerprint);
        quarantine_clear(bench->routers[run->router], fingerprint);
        engine->struck -= run->struck;
        engine->runs[i] = engine->runs[--engine->run_count];
        free(run);
        return;
    }
}

static void
handle(struct bench *bench, const struct timed_event *event)
{
    struct engine *engine =
        event->a < ENGINES ? &bench->engines[event->a] : NULL;
    struct strike *news = event->data;

    switch ((enum event_type)event->type) {
    case EVENT_BAD:
        send_request(bench, event->a, BAD);
        add_event(bench, 1000000, EVENT_BAD, event->a, 0, NULL);
        return;
    case EVENT_INNOCENT:
        // Callers of lost requests send them again: few distinct ones.
        send_request(bench, (int)random_below(&bench->random, ROUTERS),
                     1 + random_below(&bench->random, 500));
        add_event(bench, 1000000 / INNOCENTS_PER_S, EVENT_INNOCENT, 0, 0,
                  NULL);
        return;
    case EVENT_END:
        if ((uint64_t)event->b == engine->epoch) {
            end_run(bench, engine, (uint64_t)(uintptr_t)event->data);
        }
        return;
    case EVENT_CRASH:
        if ((uint64_t)event->b == engine->epoch) {
            crash(bench, event->a);
        }
        return;
    case EVENT_RESTART:
        engine->up = true;
        return;
    case EVENT_HEAR:
        quarantine_strike(event->a < ENGINES
                              ? engine->quarantine
                              : bench->routers[event->a - ENGINES],
                          news->fingerprint, news->death);
        free(news);
        return;
    }
}

static void
run(const struct measure_options *options, bool enabled, struct bench *bench)
{
    struct timed_event event;

    memset(bench, 0, sizeof(*bench));
    bench->enabled = enabled;
    bench->seeded.state = options->seed;
    bench->clock = manual_clock_interface(&bench->manual);
    bench->random = random_seeded_interface(&bench->seeded);
    bench->events = timeline_new();
    for (int i = 0; i < ENGINES + ROUTERS; i++) {
        const struct quarantine_options quarantine = {
            .clock = &bench->clock,
            .strikes_max = 2,
            .hold_ms = 600000,
            .requests_max = 10000,
        };
        struct quarantine *made = quarantine_new(&quarantine);

        if (i < ENGINES) {
            bench->engines[i].quarantine = made;
            bench->engines[i].up = true;
        }
        else {
            bench->routers[i - ENGINES] = made;
        }
    }
    for (int i = 0; i < ROUTERS; i++) {
        add_event(bench, 5000000 + i * 1000000 / ROUTERS, EVENT_BAD, i, 0,
                  NULL);
    }
    add_event(bench, 0, EVENT_INNOCENT, 0, 0, NULL);
    while (timeline_next(bench->events, &event) &&
           event.at_us < SECONDS * 1000000LL) {
        bench->manual.now_us = event.at_us;
        handle(bench, &event);
    }
    while (timeline_next(bench->events, &event)) {
        if (event.type == EVENT_HEAR) {
            free(event.data);
        }
    }
    for (int i = 0; i < ENGINES; i++) {
        for (size_t j = 0; j < bench->engines[i].run_count; j++) {
            free(bench->engines[i].runs[j]);
        }
        quarantine_free(bench->engines[i].quarantine);
    }
    for (int i = 0; i < ROUTERS; i++) {
        quarantine_free(bench->routers[i]);
    }
    timeline_free(bench->events);
}

int
measure_quarantine(const struct measure_options *options)
{
    static struct bench bench;
    uint64_t crashes = 0;

    printf("%d engines, %d routers, a crashing request a second through each "
           "router for %d s, %d other requests/s; seed %" PRIu64 "\n",
           ENGINES, ROUTERS, SECONDS - 5, INNOCENTS_PER_S, options->seed);
    printf("%-12s %10s %10s %10s %10s\n", "quarantine", "crashes", "innocents",
           "lost", "refused");
    if (options->csv != NULL) {
        fprintf(options->csv, "quarantine,crashes,innocents,lost,refused\n");
    }
    for (int enabled = 0; enabled < 2; enabled++) {
        run(options, enabled != 0, &bench);
        printf("%-12s %10" PRIu64 " %10" PRIu64 " %10" PRIu64 " %10" PRIu64
               "\n",
               enabled ? "on" : "off", bench.crashes, bench.innocents,
               bench.lost, bench.refused);
        if (options->csv != NULL) {
            fprintf(options->csv,
                    "%d,%" PRIu64 ",%" PRIu64 ",%" PRIu64 ",%" PRIu64 "\n",
                    enabled, bench.crashes, bench.innocents, bench.lost,
                    bench.refused);
        }
        crashes = bench.crashes;
    }
    // Two, and one more while the strikes are still spreading.
    printf("targets missed (at most 3 crashes): %d\n", crashes > 3);
    return crashes > 3;
}
