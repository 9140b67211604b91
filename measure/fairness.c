/// Waits of nine accounts while the tenth sends 20 times its rate, in ended
/// requests.
#include "measure.h"

#include <stdlib.h>
#include <string.h>

#include "core/xmalloc.h"
#include "dandelionvalve/gate.h"

#define ACCOUNTS 10
#define SLOTS 8
#define ROUNDS 20000
#define SURGE_MULTIPLE 20
#define RATIO_MAX 1.5

struct waiter {
    int account;
    int64_t ends_at_arrival; ///< requests ended before its arrival
};

struct bench {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct gate *gate;
    int64_t ended_requests;
    double wait_ends[ACCOUNTS];
    int64_t served[ACCOUNTS];
    int64_t shed[ACCOUNTS];
};

static void
serve(struct bench *bench, struct waiter *waiter)
{
    bench->wait_ends[waiter->account] +=
        (double)(bench->ended_requests - waiter->ends_at_arrival);
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
    waiter->ends_at_arrival = bench->ended_requests;
    decision = gate_offer(bench->gate, &request);
    if (decision.verdict == GATE_ADMITTED) {
        serve(bench, waiter);
    }
    else if (decision.verdict == GATE_REFUSED) {
        bench->shed[account]++;
        free(waiter);
    }
}

/// Each running request ends with probability 1 / SLOTS per round: with all
/// slots busy, one request ends per round on average.
static void
end_random_requests(struct bench *bench)
{
    uint32_t running = gate_load_report(bench->gate).running;

    for (uint32_t i = 0; i < running; i++) {
        if (random_unit(&bench->random) < 1.0 / SLOTS) {
            bench->ended_requests++;
            gate_request_ended(bench->gate);
        }
    }
}

/// Mean wait of the other accounts, in ended requests; sets the share of their
/// requests that was refused or dropped.
static double
run(const struct measure_options *options, double load, int surge_multiple,
    double *shed_share)
{
    struct bench bench = {.seeded = {options->seed}};
    const struct gate_options gate = {
        .clock = &bench.clock,
        .random = &bench.random,
        .slots = SLOTS,
        .bound_multiple = 1.25,
        .queue_requests_max = 256,
        .queue_bytes_max = 1 << 20,
        .report_max_age_ms = 3600000,
        .admitted = on_admitted,
        .dropped = on_dropped,
        .ctx = &bench,
    };
    double wait_ends = 0;
    int64_t served = 0;
    int64_t shed = 0;

    bench.clock = manual_clock_interface(&bench.manual);
    bench.random = random_seeded_interface(&bench.seeded);
    bench.gate = gate_new(&gate);
    gate_set_router_in_flight(bench.gate, STR_LITERAL("r"), 1000000);
    for (int round = 0; round < ROUNDS; round++) {
        for (int account = 0; account < ACCOUNTS; account++) {
            int times = account == 0 ? surge_multiple : 1;

            for (int i = 0; i < times; i++) {
                if (random_unit(&bench.random) < load / ACCOUNTS) {
                    offer(&bench, account);
                }
            }
        }
        end_random_requests(&bench);
        bench.manual.now_us += 1000;
    }
    for (int account = 1; account < ACCOUNTS; account++) {
        wait_ends += bench.wait_ends[account];
        served += bench.served[account];
        shed += bench.shed[account];
    }
    gate_free(bench.gate);
    *shed_share = (double)shed / (double)(served + shed);
    return wait_ends / (double)served;
}

int
measure_fairness(const struct measure_options *options)
{
    static const double loads[] = {0.6, 0.9, 0.95};
    int missed = 0;

    printf("ten accounts on %d slots, one at %dx its rate; waits in ended "
           "requests; seed %llu\n",
           SLOTS, SURGE_MULTIPLE, (unsigned long long)options->seed);
    printf("%6s %10s %10s %8s %8s\n", "load", "wait", "with-surge", "ratio",
           "shed%");
    if (options->csv != NULL) {
        fprintf(options->csv, "load,wait,wait_with_surge,ratio,shed\n");
    }
    for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
        double shed;
        double before = run(options, loads[i], 1, &shed);
        double after = run(options, loads[i], SURGE_MULTIPLE, &shed);
        double ratio = after / before;

        printf("%6.2f %10.2f %10.2f %8.2f %8.2f\n", loads[i], before, after,
               ratio, 100 * shed);
        if (options->csv != NULL) {
            fprintf(options->csv, "%.2f,%.3f,%.3f,%.3f,%.4f\n", loads[i],
                    before, after, ratio, shed);
        }
        missed += ratio > RATIO_MAX;
    }
    printf("targets missed (ratio at most %.1f): %d\n", RATIO_MAX, missed);
    return missed;
}
