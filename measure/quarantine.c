/// Engine crashes caused by a request that crashes every engine that runs it
/// and is sent once per second through each router, and other requests that
/// are lost or refused.
#include "measure.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core/xmalloc.h"
#include "dandelionvalve/quarantine.h"
#include "timeline.h"

#define ENGINES 20
#define ROUTERS 6
#define DURATION_S 60
#define RESTART_DELAY_US 5000000
#define SERVICE_US 2000000
#define OTHER_REQUESTS_PER_S 100
#define STRIKE_DELAY_MAX_US 100000 ///< to other daemons
#define CRASHING_FINGERPRINT 0

enum event_type {
    EVENT_CRASHING_REQUEST,
    EVENT_OTHER_REQUEST,
    EVENT_END,
    EVENT_CRASH,
    EVENT_RESTART,
    EVENT_STRIKE_RECEIVED,
};

struct run {
    uint64_t fingerprint;
    int engine;
    int router;
    bool isolated; ///< the request had a strike when it started
    uint64_t epoch;
};

struct engine {
    struct quarantine *quarantine;
    bool up;
    uint64_t epoch; ///< incremented at each crash
    int isolated_runs;
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
    uint64_t other_requests;
    uint64_t refused;
    uint64_t lost;
    uint64_t next_fingerprint;
};

struct strike {
    uint64_t fingerprint;
    uint32_t crash_id;
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

/// The agent and the router of the request record the strike at once, all
/// daemons within STRIKE_DELAY_MAX_US.
static void
record_strike(struct bench *bench, const struct run *run, uint32_t crash_id)
{
    quarantine_strike(bench->engines[run->engine].quarantine, run->fingerprint,
                      crash_id);
    quarantine_strike(bench->routers[run->router], run->fingerprint, crash_id);
    for (int i = 0; i < ENGINES + ROUTERS; i++) {
        struct strike *received = xcalloc(1, sizeof(*received));

        received->fingerprint = run->fingerprint;
        received->crash_id = crash_id;
        add_event(bench,
                  (int64_t)random_below(&bench->random, STRIKE_DELAY_MAX_US),
                  EVENT_STRIKE_RECEIVED, i, 0, received);
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
        record_strike(bench, engine->runs[i], (uint32_t)bench->crashes);
        bench->lost += engine->runs[i]->fingerprint != CRASHING_FINGERPRINT;
        free(engine->runs[i]);
    }
    engine->run_count = 0;
    engine->isolated_runs = 0;
    add_event(bench, RESTART_DELAY_US, EVENT_RESTART, index, 0, NULL);
}

/// True if the engine has started the request.
static bool
offer(struct bench *bench, int index, int router, uint64_t fingerprint)
{
    struct engine *engine = &bench->engines[index];
    enum quarantine_verdict verdict =
        quarantine_check(engine->quarantine, fingerprint);
    struct run *run;

    if (bench->enabled &&
        (verdict == QUARANTINE_REFUSE ||
         (verdict == QUARANTINE_ISOLATE && engine->isolated_runs > 0))) {
        return false;
    }
    run = xcalloc(1, sizeof(*run));
    run->fingerprint = fingerprint;
    run->engine = index;
    run->router = router;
    run->isolated = verdict == QUARANTINE_ISOLATE;
    run->epoch = engine->epoch;
    engine->isolated_runs += run->isolated;
    engine->runs[engine->run_count++] = run;
    if (fingerprint == CRASHING_FINGERPRINT) {
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

    bench->other_requests += fingerprint != CRASHING_FINGERPRINT;
    if (bench->enabled && quarantine_check(bench->routers[router],
                                           fingerprint) == QUARANTINE_REFUSE) {
        bench->refused += fingerprint != CRASHING_FINGERPRINT;
        return;
    }
    for (int i = 0; i < ENGINES; i++) {
        int at = (index + i) % ENGINES;

        if (bench->engines[at].up && bench->engines[at].run_count < 4096 &&
            offer(bench, at, router, fingerprint)) {
            return;
        }
    }
    bench->refused += fingerprint != CRASHING_FINGERPRINT;
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
        engine->isolated_runs -= run->isolated;
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
    struct strike *received = event->data;

    switch ((enum event_type)event->type) {
    case EVENT_CRASHING_REQUEST:
        send_request(bench, event->a, CRASHING_FINGERPRINT);
        add_event(bench, 1000000, EVENT_CRASHING_REQUEST, event->a, 0, NULL);
        return;
    case EVENT_OTHER_REQUEST:
        // Callers send lost requests again: only 500 fingerprints.
        send_request(bench, (int)random_below(&bench->random, ROUTERS),
                     1 + random_below(&bench->random, 500));
        add_event(bench, 1000000 / OTHER_REQUESTS_PER_S, EVENT_OTHER_REQUEST,
                  0, 0, NULL);
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
    case EVENT_STRIKE_RECEIVED:
        quarantine_strike(event->a < ENGINES
                              ? engine->quarantine
                              : bench->routers[event->a - ENGINES],
                          received->fingerprint, received->crash_id);
        free(received);
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
        struct quarantine *created = quarantine_new(&quarantine);

        if (i < ENGINES) {
            bench->engines[i].quarantine = created;
            bench->engines[i].up = true;
        }
        else {
            bench->routers[i - ENGINES] = created;
        }
    }
    for (int i = 0; i < ROUTERS; i++) {
        add_event(bench, 5000000 + i * 1000000 / ROUTERS,
                  EVENT_CRASHING_REQUEST, i, 0, NULL);
    }
    add_event(bench, 0, EVENT_OTHER_REQUEST, 0, 0, NULL);
    while (timeline_next(bench->events, &event) &&
           event.at_us < DURATION_S * 1000000LL) {
        bench->manual.now_us = event.at_us;
        handle(bench, &event);
    }
    while (timeline_next(bench->events, &event)) {
        if (event.type == EVENT_STRIKE_RECEIVED) {
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

    printf("%d engines, %d routers, one crashing request/s through each "
           "router for %d s, %d other requests/s; seed %" PRIu64 "\n",
           ENGINES, ROUTERS, DURATION_S - 5, OTHER_REQUESTS_PER_S,
           options->seed);
    printf("%-12s %10s %10s %10s %10s\n", "quarantine", "crashes", "innocents",
           "lost", "refused");
    if (options->csv != NULL) {
        fprintf(options->csv, "quarantine,crashes,innocents,lost,refused\n");
    }
    for (int enabled = 0; enabled < 2; enabled++) {
        run(options, enabled != 0, &bench);
        printf("%-12s %10" PRIu64 " %10" PRIu64 " %10" PRIu64 " %10" PRIu64
               "\n",
               enabled ? "on" : "off", bench.crashes, bench.other_requests,
               bench.lost, bench.refused);
        if (options->csv != NULL) {
            fprintf(options->csv,
                    "%d,%" PRIu64 ",%" PRIu64 ",%" PRIu64 ",%" PRIu64 "\n",
                    enabled, bench.crashes, bench.other_requests, bench.lost,
                    bench.refused);
        }
        crashes = bench.crashes;
    }
    // Two strikes, and one crash more while the strikes are in transit.
    printf("targets missed (at most 3 crashes): %d\n", crashes > 3);
    return crashes > 3;
}
