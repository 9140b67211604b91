/// Load bound, offers per request and cache hit ratio, compared with the
/// baselines.
#include "measure.h"

#include <inttypes.h>

#include "fleet.h"

#define CHURN_REUSE_MIN 0.8
#define STEADY_REUSE_MIN 0.9
#define HOPS_MAX 1.5

static const char *const policy_names[] = {
    [FLEET_PRODUCT] = "ours",           [FLEET_OMNISCIENT] = "omniscient",
    [FLEET_HASH] = "hash-only",         [FLEET_TWO_CHOICES] = "two-choices",
    [FLEET_STALE_MEAN] = "mean-5s-old",
};

static const char *const scenario_names[] = {
    [FLEET_STEADY] = "steady",     [FLEET_HERD] = "herd",
    [FLEET_HOT_KEY] = "hot-key",   [FLEET_CHURN] = "churn",
    [FLEET_DISAGREE] = "disagree", [FLEET_OUTAGE] = "outage",
};

static struct fleet_options
base_options(const struct measure_options *options, size_t engines,
             enum fleet_scenario scenario)
{
    return (struct fleet_options){
        .scenario = scenario,
        .seed = options->seed,
        .bound_multiple = 1.25,
        .engines = engines,
        .routers = 6,
        .mean_load = 6,
        .keys = 400 * engines,
        .cache_keys = 600,
        .hints = true,
        .retry_percent = 10,
        .attempts_max = 3,
        .duration_us = scenario == FLEET_HERD ? 3000000 : 180 * 1000000LL,
    };
}

static void
print_row(const struct measure_options *options,
          const struct fleet_options *run, const struct fleet_result *result,
          double omniscient_reuse)
{
    double over = 100 * (double)result->over_bound /
                  (double)(result->admissions > 0 ? result->admissions : 1);
    double reuse_of_omniscient =
        omniscient_reuse > 0 ? 100 * result->reuse / omniscient_reuse : 100;

    printf("%-9s %3zu %3zu %5.2f %-12s %8" PRIu64
           " %8.3f %7.2f %6.2f %7.1f %7.1f %6.2f %8.1f\n",
           scenario_names[run->scenario], run->engines, run->routers,
           run->bound_multiple, policy_names[run->policy], result->admissions,
           over, result->worst_ratio, result->hops, 100 * result->reuse,
           reuse_of_omniscient, result->skew, result->mean_wait_ms);
    if (options->csv != NULL) {
        fprintf(options->csv,
                "%s,%zu,%zu,%.2f,%s,%" PRIu64 ",%.5f,%.3f,%.3f,%.4f,%.4f,"
                "%.3f,%.2f\n",
                scenario_names[run->scenario], run->engines, run->routers,
                run->bound_multiple, policy_names[run->policy],
                result->admissions, over, result->worst_ratio, result->hops,
                result->reuse, reuse_of_omniscient, result->skew,
                result->mean_wait_ms);
    }
}

static void
print_header(const struct measure_options *options)
{
    printf("seed %" PRIu64 "\n", options->seed);
    printf("%-9s %3s %3s %5s %-12s %8s %8s %7s %6s %7s %7s %6s %8s\n",
           "scenario", "eng", "rtr", "mult", "policy", "admitted", "over%",
           "worst", "hops", "reuse%", "of-omn%", "skew", "wait-ms");
    if (options->csv != NULL) {
        fprintf(options->csv,
                "scenario,engines,routers,multiple,policy,admissions,"
                "over_percent,worst_ratio,hops,reuse,of_omniscient,skew,"
                "wait_ms\n");
    }
}

/// Runs all policies. Returns the number of targets missed by FLEET_PRODUCT.
static int
compare(const struct measure_options *options, struct fleet_options run)
{
    struct fleet_result results[FLEET_STALE_MEAN + 1];
    double reuse_of_omniscient;
    double reuse_min =
        run.scenario == FLEET_CHURN ? CHURN_REUSE_MIN : STEADY_REUSE_MIN;
    int missed = 0;

    for (int policy = 0; policy <= FLEET_STALE_MEAN; policy++) {
        run.policy = (enum fleet_policy)policy;
        results[policy] = fleet_run(&run);
    }
    for (int policy = 0; policy <= FLEET_STALE_MEAN; policy++) {
        run.policy = (enum fleet_policy)policy;
        print_row(options, &run, &results[policy],
                  results[FLEET_OMNISCIENT].reuse);
    }
    reuse_of_omniscient =
        results[FLEET_PRODUCT].reuse / results[FLEET_OMNISCIENT].reuse;
    if (run.scenario != FLEET_HERD && reuse_of_omniscient < reuse_min) {
        printf("  missed: reuse %.1f%% of omniscient, wanted %.0f%%\n",
               100 * reuse_of_omniscient, 100 * reuse_min);
        missed++;
    }
    if (results[FLEET_PRODUCT].over_bound * 1000 >
        results[FLEET_PRODUCT].admissions) {
        printf("  missed: more than 0.1%% of admissions over the bound\n");
        missed++;
    }
    if (run.scenario != FLEET_HOT_KEY &&
        results[FLEET_PRODUCT].hops > HOPS_MAX) {
        printf("  missed: %.2f hops, wanted %.1f\n",
               results[FLEET_PRODUCT].hops, HOPS_MAX);
        missed++;
    }
    return missed;
}

int
measure_routing(const struct measure_options *options)
{
    static const double multiples[] = {1.25, 1.5, 2};
    static const size_t sizes[] = {20, 10};
    int missed = 0;

    print_header(options);
    for (size_t s = 0; s < 2; s++) {
        for (int scenario = 0; scenario <= FLEET_DISAGREE; scenario++) {
            for (size_t m = 0; m < 3; m++) {
                struct fleet_options run = base_options(
                    options, sizes[s], (enum fleet_scenario)scenario);

                run.bound_multiple = multiples[m];
                missed += compare(options, run);
            }
        }
    }
    printf("targets missed: %d\n", missed);
    return missed;
}

int
measure_scale(const struct measure_options *options)
{
    static const size_t routers[] = {6, 20, 60};
    int missed = 0;

    print_header(options);
    for (size_t i = 0; i < sizeof(routers) / sizeof(routers[0]); i++) {
        struct fleet_options run = base_options(options, 20, FLEET_STEADY);

        run.routers = routers[i];
        missed += compare(options, run);
    }
    printf("targets missed: %d\n", missed);
    return missed;
}
