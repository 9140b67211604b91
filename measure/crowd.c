/// Retries of 50,000 callers that all arrive within one second and follow the
/// Retry-After of a full gate, compared with a fixed Retry-After of 1 s.
#include "measure.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>

#include "core/xmalloc.h"
#include "dandelionvalve/gate.h"
#include "timeline.h"

#define CALLERS 50000
#define GATES 20
#define SLOTS 32
#define SERVICE_US 2000000.0
#define DURATION_MAX_S 3600
#define TICK_US 20000

enum event_type {
    EVENT_ARRIVE,
    EVENT_END,
    EVENT_TICK,
};

struct bench {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct timeline *events;
    struct gate *gates[GATES];
    bool by_backlog; ///< Retry-After of the gate; else 1 s as the baseline
    uint32_t arrivals[DURATION_MAX_S + 1];
    uint64_t refusals;
    uint64_t served;
    int64_t last_us;
};

static void
add_event(struct bench *bench, int64_t delay_us, int type, int gate)
{
    timeline_add(bench->events, (struct timed_event){
                                    .at_us = bench->manual.now_us + delay_us,
                                    .type = type,
                                    .a = gate,
                                });
}

static void
serve(struct bench *bench, int gate)
{
    double service = -SERVICE_US * log(1 - random_unit(&bench->random));

    bench->served++;
    bench->last_us = bench->manual.now_us;
    add_event(bench, (int64_t)service, EVENT_END, gate);
}

struct waiter {
    struct bench *bench;
    int gate;
};

static void
on_admitted(void *ctx, void *request)
{
    struct waiter *waiter = request;

    serve(ctx, waiter->gate);
    free(waiter);
}

static void
schedule_retry(struct bench *bench, int gate, uint32_t retry_after_ms)
{
    bench->refusals++;
    add_event(bench,
              bench->by_backlog ? (int64_t)retry_after_ms * 1000 : 1000000,
              EVENT_ARRIVE, gate);
}

static void
on_dropped(void *ctx, void *request, enum refuse_reason reason,
           uint32_t retry_after_ms)
{
    struct waiter *waiter = request;

    (void)reason;
    schedule_retry(ctx, waiter->gate, retry_after_ms);
    free(waiter);
}

static void
arrive(struct bench *bench, int gate)
{
    struct waiter *waiter = xcalloc(1, sizeof(*waiter));
    const struct gate_request request = {
        .account = STR_LITERAL("account"),
        .account_weight = 1,
        .deadline_ms = INT64_MAX,
        .may_wait = true,
        .request = waiter,
    };
    struct gate_decision decision;

    waiter->bench = bench;
    waiter->gate = gate;
    bench->arrivals[bench->manual.now_us / 1000000]++;
    decision = gate_offer(bench->gates[gate], &request);
    if (decision.verdict == GATE_QUEUED) {
        return;
    }
    free(waiter);
    if (decision.verdict == GATE_ADMITTED) {
        serve(bench, gate);
    }
    else {
        schedule_retry(bench, gate, decision.retry_after_ms);
    }
}

static void
start(struct bench *bench, const struct measure_options *options)
{
    bench->seeded.state = options->seed;
    bench->clock = manual_clock_interface(&bench->manual);
    bench->random = random_seeded_interface(&bench->seeded);
    bench->events = timeline_new();
    for (int i = 0; i < GATES; i++) {
        const struct gate_options gate = {
            .clock = &bench->clock,
            .random = &bench->random,
            .slots = SLOTS,
            .bound_multiple = 1.25,
            .report_max_age_ms = INT64_MAX / 2,
            .queue_requests_max = 256,
            .queue_bytes_max = SIZE_MAX / 2,
            .admitted = on_admitted,
            .dropped = on_dropped,
            .ctx = bench,
        };

        bench->gates[i] = gate_new(&gate);
        gate_set_router_in_flight(bench->gates[i], STR_LITERAL("r"), 1000000);
    }
    for (int i = 0; i < CALLERS; i++) {
        add_event(bench, (int64_t)random_below(&bench->random, 1000000),
                  EVENT_ARRIVE, i % GATES);
    }
    add_event(bench, TICK_US, EVENT_TICK, 0);
}

static void
handle(struct bench *bench, const struct timed_event *event)
{
    switch ((enum event_type)event->type) {
    case EVENT_ARRIVE:
        arrive(bench, event->a);
        return;
    case EVENT_END:
        gate_request_ended(bench->gates[event->a]);
        return;
    case EVENT_TICK:
        for (int i = 0; i < GATES; i++) {
            gate_tick(bench->gates[i]);
        }
        add_event(bench, TICK_US, EVENT_TICK, 0);
        return;
    }
}

static void
run(const struct measure_options *options, const char *name, bool by_backlog)
{
    static struct bench bench;
    struct timed_event event;
    uint32_t peak = 0;

    bench = (struct bench){.by_backlog = by_backlog};
    start(&bench, options);
    while (bench.served < CALLERS && timeline_next(bench.events, &event) &&
           event.at_us < DURATION_MAX_S * 1000000LL) {
        bench.manual.now_us = event.at_us;
        handle(&bench, &event);
    }
    for (int i = 2; i <= DURATION_MAX_S; i++) {
        peak = bench.arrivals[i] > peak ? bench.arrivals[i] : peak;
    }
    printf("%-22s %10u %10" PRIu64 " %12.2f %10.0f\n", name, peak,
           bench.served, (double)bench.refusals / CALLERS,
           (double)bench.last_us / 1e6);
    if (options->csv != NULL) {
        fprintf(options->csv, "%s,%u,%" PRIu64 ",%.3f,%.0f\n", name, peak,
                bench.served, (double)bench.refusals / CALLERS,
                (double)bench.last_us / 1e6);
    }
    for (int i = 0; i < GATES; i++) {
        gate_free(bench.gates[i]);
    }
    timeline_free(bench.events);
}

int
measure_crowd(const struct measure_options *options)
{
    printf("%d callers arrive within 1 s at %d endpoints that complete %.0f "
           "requests/s in total; seed %" PRIu64 "\n",
           CALLERS, GATES, GATES * SLOTS / (SERVICE_US / 1e6), options->seed);
    printf("%-22s %10s %10s %12s %10s\n", "Retry-After", "peak/s", "served",
           "refusals", "last-s");
    if (options->csv != NULL) {
        fprintf(options->csv,
                "retry_after,peak_per_s,served,refusals_each,last_s\n");
    }
    run(options, "always 1 s", false);
    run(options, "by backlog, spread", true);
    return 0;
}
