/// Log appends per second and added latency of bookings with three agents on
/// one log.
#include "measure.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "core/xmalloc.h"
#include "dandelionvalve/claim.h"
#include "timeline.h"

#define AGENTS 3
#define APPEND_DELAY_US 5000
#define READ_DELAY_US 1000
#define DURATION_S 10
#define RUN_US 20000
#define APPENDS_PER_S_LIMIT 300

enum event_type {
    EVENT_BOOKING,
    EVENT_LOGGED,   ///< the log has stored the record
    EVENT_APPENDED, ///< the agent receives the answer of its append
    EVENT_READ,
    EVENT_RUN_ENDED,
    EVENT_TICK,
};

struct booking {
    char key[24];
    int64_t started_us;
    struct agent *agent;
};

struct agent {
    struct bench *bench;
    struct claims *claims;
    char *pending; ///< record of the append in progress
    int index;
};

struct bench {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct timeline *events;
    struct agent agents[AGENTS];
    char **log;
    int64_t log_end; ///< offset of the next record
    double *waits_ms;
    size_t runs;
    double bookings_per_s;
    size_t booking_count;
    struct booking *bookings;
};

static void
add_event(struct bench *bench, int64_t delay_us, int type, int agent,
          void *data)
{
    timeline_add(bench->events, (struct timed_event){
                                    .at_us = bench->manual.now_us + delay_us,
                                    .type = type,
                                    .a = agent,
                                    .data = data,
                                });
}

static void
on_append(void *ctx, struct str record)
{
    struct agent *agent = ctx;

    agent->pending = str_dup(record);
    add_event(agent->bench, APPEND_DELAY_US, EVENT_LOGGED, agent->index, NULL);
}

static void
on_decided(void *ctx, void *request, const struct claim_decision *decision)
{
    struct agent *agent = ctx;
    struct booking *booking = request;
    struct bench *bench = agent->bench;

    if (decision->verdict == CLAIM_RUN) {
        bench->waits_ms[bench->runs++] =
            (double)(bench->manual.now_us - booking->started_us) / 1000;
        add_event(bench, RUN_US, EVENT_RUN_ENDED, agent->index, booking);
    }
}

static void
read_log(struct bench *bench, struct agent *agent)
{
    while (claim_next_offset(agent->claims) < bench->log_end) {
        int64_t offset = claim_next_offset(agent->claims);

        claim_apply_record(agent->claims, offset, bench->manual.now_us / 1000,
                           str_from(bench->log[offset]));
    }
    claim_caught_up(agent->claims, bench->manual.now_us / 1000);
}

static void
append_to_log(struct bench *bench, struct agent *agent)
{
    bench->log =
        xrealloc(bench->log, (size_t)(bench->log_end + 1) * sizeof(char *));
    bench->log[bench->log_end++] = agent->pending;
    add_event(bench, READ_DELAY_US, EVENT_APPENDED, agent->index,
              (void *)(intptr_t)(bench->log_end - 1));
    for (int i = 0; i < AGENTS; i++) {
        add_event(bench, READ_DELAY_US, EVENT_READ, i, NULL);
    }
}

static void
start_booking(struct bench *bench, size_t number)
{
    struct booking *booking = &bench->bookings[number];
    struct agent *agent = &bench->agents[number % AGENTS];
    struct claim_request request = {.hash = 1, .run_limit_ms = 10000};

    snprintf(booking->key, sizeof(booking->key), "a/%zu", number);
    booking->started_us = bench->manual.now_us;
    booking->agent = agent;
    request.key = str_from(booking->key);
    request.request = booking;
    claim_begin(agent->claims, &request);
}

static void
handle(struct bench *bench, const struct timed_event *event)
{
    static const struct claim_answer answer = {
        .status = 200,
        .content_type = STR_LITERAL("application/json"),
        .body = STR_LITERAL("{\"number\":1,\"key\":\"a booking's key\"}"),
        .body_kept = true,
    };
    struct agent *agent = &bench->agents[event->a];

    switch ((enum event_type)event->type) {
    case EVENT_BOOKING:
        start_booking(bench, (size_t)(uintptr_t)event->data);
        return;
    case EVENT_LOGGED:
        append_to_log(bench, agent);
        return;
    case EVENT_APPENDED:
        claim_appended(agent->claims, CLAIM_APPEND_OK,
                       (int64_t)(intptr_t)event->data);
        return;
    case EVENT_READ:
        read_log(bench, agent);
        return;
    case EVENT_RUN_ENDED:
        claim_finish(agent->claims, event->data, &answer);
        return;
    case EVENT_TICK:
        for (int i = 0; i < AGENTS; i++) {
            claim_tick(bench->agents[i].claims);
        }
        if (bench->manual.now_us < (DURATION_S + 1) * 1000000LL) {
            add_event(bench, 10000, EVENT_TICK, 0, NULL);
        }
        return;
    }
}

static void
start(struct bench *bench, const struct measure_options *options)
{
    int64_t at_us = 0;

    bench->clock = manual_clock_interface(&bench->manual);
    bench->seeded.state = options->seed;
    bench->random = random_seeded_interface(&bench->seeded);
    bench->events = timeline_new();
    bench->booking_count = (size_t)(bench->bookings_per_s * DURATION_S);
    bench->bookings = xcalloc(bench->booking_count, sizeof(*bench->bookings));
    bench->waits_ms = xcalloc(bench->booking_count, sizeof(*bench->waits_ms));
    for (int i = 0; i < AGENTS; i++) {
        const struct claim_options claims = {
            .clock = &bench->clock,
            .random = &bench->random,
            .window_ms = 3600000,
            .wait_ms = 5000,
            .append_interval_ms = 10,
            .batch_max = 500,
            .answer_bytes_max = 8192,
            .append = on_append,
            .decided = on_decided,
            .ctx = &bench->agents[i],
        };

        bench->agents[i].bench = bench;
        bench->agents[i].index = i;
        bench->agents[i].claims = claims_new(&claims);
        claim_set_log_start(bench->agents[i].claims, 0, 86400000);
        claim_caught_up(bench->agents[i].claims, 0);
    }
    for (size_t i = 0; i < bench->booking_count; i++) {
        at_us += (int64_t)(-log(1 - random_unit(&bench->random)) * 1e6 /
                           bench->bookings_per_s);
        add_event(bench, at_us, EVENT_BOOKING, 0, (void *)(uintptr_t)i);
    }
    add_event(bench, 0, EVENT_TICK, 0, NULL);
}

static uint64_t
stop(struct bench *bench)
{
    uint64_t appends = 0;

    for (int i = 0; i < AGENTS; i++) {
        appends += claim_totals(bench->agents[i].claims).appends;
        claims_free(bench->agents[i].claims);
    }
    for (int64_t i = 0; i < bench->log_end; i++) {
        free(bench->log[i]);
    }
    free(bench->log);
    free(bench->bookings);
    free(bench->waits_ms);
    timeline_free(bench->events);
    return appends;
}

static int
measure_rate(const struct measure_options *options, double bookings_per_s)
{
    struct bench bench = {.bookings_per_s = bookings_per_s};
    struct timed_event event;
    double appends_per_s, p50, p95;
    size_t runs;

    start(&bench, options);
    while (timeline_next(bench.events, &event)) {
        bench.manual.now_us = event.at_us;
        handle(&bench, &event);
    }
    gsl_sort(bench.waits_ms, 1, bench.runs);
    p50 = gsl_stats_quantile_from_sorted_data(bench.waits_ms, 1, bench.runs,
                                              0.5);
    p95 = gsl_stats_quantile_from_sorted_data(bench.waits_ms, 1, bench.runs,
                                              0.95);
    runs = bench.runs;
    appends_per_s = (double)stop(&bench) / DURATION_S;
    printf("%8.0f %8zu %10.1f %10.1f %10.1f\n", bookings_per_s, runs,
           appends_per_s, p50, p95);
    if (options->csv != NULL) {
        fprintf(options->csv, "%.0f,%zu,%.1f,%.2f,%.2f\n", bookings_per_s,
                runs, appends_per_s, p50, p95);
    }
    return (appends_per_s >= APPENDS_PER_S_LIMIT) +
           (runs != (size_t)(bookings_per_s * DURATION_S));
}

int
measure_claims(const struct measure_options *options)
{
    static const double booking_rates[] = {10, 100, 2000};
    int missed = 0;

    printf("three agents, append %d ms, read %d ms; seed %llu\n",
           APPEND_DELAY_US / 1000, READ_DELAY_US / 1000,
           (unsigned long long)options->seed);
    printf("%8s %8s %10s %10s %10s\n", "per-s", "run", "appends/s", "wait-p50",
           "wait-p95");
    if (options->csv != NULL) {
        fprintf(options->csv,
                "bookings_per_s,run,appends_per_s,wait_p50_ms,wait_p95_ms\n");
    }
    for (size_t i = 0; i < 3; i++) {
        missed += measure_rate(options, booking_rates[i]);
    }
    printf("targets missed: %d\n", missed);
    return missed;
}
