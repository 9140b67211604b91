/// Waiting of quiet accounts while one account sends twenty times its rate,
/// counted in service slots.
#include "measure.h"

#include <stdlib.h>
#include <string.h>

#include "core/xmalloc.h"
#include "dandelionvalve/gate.h"

#define ACCOUNTS 10
#define SLOTS 8
#define ROUNDS 20000
#define SURGE 20
#define RATIO_TARGET 1.5

struct waiter {
    int account;
    int64_t since; ///< ends that had happened when it came
};

struct bench {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct gate *gate;
    int64_t ends;
    double waited[ACCOUNTS];
    int64_t served[ACCOUNTS];
    int64_t shed[ACCOUNTS];
};

static void
serve(struct bench *bench, struct waiter *waiter)
{
    bench->waited[waiter->account] += (double)(bench->ends - waiter->since);
    bench->served[waiter->account]++;
    free(waiter);
}

static void
on_admitted(void *ctx, void *request)
{
    serve(ctx, request);
}

static void
on_dropped(void *ctx, void *request, enum refuse_reason reason,
           uint32_t retry_after_ms)
{
    struct bench *bench = ctx;
    struct waiter *waiter = request;

    (void)reason;
    (void)retry_after_ms;
    bench->shed[waiter->account]++;
    free(waiter);
}

static void
offer(struct bench *bench, int account)
{
    char name[16];
    struct waiter *waiter = xcalloc(1, sizeof(*waiter));
    struct gate_request request = {
        .account_weight = 1,
        .priority = 5,
        .deadline_ms = 3600000,
        .may_wait = true,
        .request = waiter,
    };
    struct gate_decision decision;

    snprintf(name, sizeof(name), "account-%d", account);
    request.account = str_from(name);
    waiter->account = account;
    waiter->since = bench->ends;
    decision = gate_offer(bench->gate, &request);
    if (decision.verdict == GATE_ADMITTED) {
        serve(bench, waiter);
    }
    else if (decision.verdict == GATE_REFUSED) {
        bench->shed[account]++;
        free(waiter);
    }
}

/// Mean wait of the quiet accounts, in ends of other requests.
static double
run(const struct measure_options *options, int surge, double *shed_quiet)
{
    struct bench bench = {.seeded = {options->seed}};
    const struct gate_options gate = {
        .clock = &bench.clock,
        .random = &bench.random,
        .slots = SLOTS,
        .bound_multiple = 1.25,
        .queue_requests_max = 256,
        .queue_bytes_max = 1 << 20,
        .router_silent_ms = 3600000,
        .admitted = on_admitted,
        .dropped = on_dropped,
        .ctx = &bench,
    };
    double waited = 0;
    int64_t served = 0;
    int64_t shed = 0;

    bench.clock = manual_clock_interface(&bench.manual);
    bench.random = random_seeded_interface(&bench.seeded);
    bench.gate = gate_new(&gate);
    gate_router_count(bench.gate, STR_LITERAL("r"), 1000000);
    // Nine in ten slots are asked for without the surge.
    for (int round = 0; round < ROUNDS; round++) {
        for (int account = 0; account < ACCOUNTS; account++) {
            int times = account == 0 ? surge : 1;

            for (int i = 0; i < times; i++) {
                if (random_unit(&bench.random) < 0.09) {
                    offer(&bench, account);
                }
            }
        }
        if (gate_load(bench.gate).running > 0) {
            bench.ends++;
            gate_end(bench.gate);
        }
    }
    for (int account = 1; account < ACCOUNTS; account++) {
        waited += bench.waited[account];
        served += bench.served[account];
        shed += bench.shed[account];
    }
    gate_free(bench.gate);
    *shed_quiet = (double)shed / (double)(served + shed);
    return waited / (double)served;
}

int
measure_fairness(const struct measure_options *options)
{
    double shed_before, shed_after;
    double before = run(options, 1, &shed_before);
    double after = run(options, SURGE, &shed_after);
    double ratio = after / before;

    printf("ten accounts on %d slots, seed %llu\n", SLOTS,
           (unsigned long long)options->seed);
    printf("quiet accounts wait %.2f slots without a surge, %.2f with one "
           "account at %dx: ratio %.2f (wanted: at most %.1f)\n",
           before, after, SURGE, ratio, RATIO_TARGET);
    printf("quiet accounts shed: %.2f%% without, %.2f%% with\n",
           100 * shed_before, 100 * shed_after);
    if (options->csv != NULL) {
        fprintf(options->csv,
                "wait_before,wait_after,ratio,shed_before,shed_after\n"
                "%.3f,%.3f,%.3f,%.4f,%.4f\n",
                before, after, ratio, shed_before, shed_after);
    }
    return ratio > RATIO_TARGET;
}
