/// dvsoak: randomized soak test of direct routers. Exits with 1 if an
/// invariant was violated.
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <popt.h>
#include <sodium.h>

#include "core/xmalloc.h"
#include "net/loop.h"
#include "soak.h"

#define TICK_MS 10
#define WARM_UP_MS 2000
/// After the last fault: time to recover, then time in which requests must
/// succeed.
#define RECOVERY_MS 9000
#define VERIFY_MS 3000
/// Share of the requests after recovery that must be served.
#define VERIFY_SERVED_PERCENT 98

struct phases {
    struct soak *soak;
    int64_t started_ms;
    int64_t faults_ms;
    size_t calls_per_tick;
    bool faults_ended;
};

int64_t
soak_now(void)
{
    return clock_ms(&clock_monotonic);
}

void
soak_violation(struct soak *soak, const char *fmt, ...)
{
    va_list ap;

    soak->violations++;
    printf("%lld VIOLATION ", (long long)soak_now());
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
    printf("\n");
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    struct phases *phases = ctx;
    struct soak *soak = phases->soak;
    int64_t passed_ms = soak_now() - phases->started_ms;
    int64_t end_ms = WARM_UP_MS + phases->faults_ms;

    (void)fd;
    (void)events;
    soak_supervise(soak);
    soak_vary(soak);
    soak_crowd_change(soak);
    if (passed_ms < WARM_UP_MS) {
        return;
    }
    if (passed_ms < end_ms) {
        soak_inject_fault(soak);
        soak_end_faults(soak, false);
        soak_drill(soak);
    }
    else if (!phases->faults_ended) {
        soak_end_faults(soak, true);
        soak_end_drill(soak);
        phases->faults_ended = true;
    }
    soak->verifying = passed_ms >= end_ms + RECOVERY_MS;
    if (passed_ms >= end_ms + RECOVERY_MS + VERIFY_MS) {
        if (soak->in_flight == 0 ||
            passed_ms >= end_ms + RECOVERY_MS + 3 * VERIFY_MS) {
            event_base_loopbreak(soak->base);
        }
        return;
    }
    for (size_t i = 0; i < phases->calls_per_tick; i++) {
        soak_call_start(soak);
    }
    soak_other_calls_start(soak);
}

static uint64_t
memory_ends(const struct soak *soak)
{
    uint64_t ends = 0;

    for (size_t i = SOAK_ORIGINS_COLD_END; i < SOAK_ORIGINS_ALL; i++) {
        ends += origin_crashes(soak->origins[i].origin);
    }
    return ends;
}

static void
check_results(struct soak *soak, long seed)
{
    if (soak->in_flight > 0) {
        soak_violation(soak, "%llu requests have not ended",
                       (unsigned long long)soak->in_flight);
    }
    if (soak->verify_calls == 0 ||
        soak->verify_served * 100 <
            soak->verify_calls * VERIFY_SERVED_PERCENT) {
        soak_violation(
            soak, "after the faults, only %llu of %llu requests were served",
            (unsigned long long)soak->verify_served,
            (unsigned long long)soak->verify_calls);
    }
    soak_check_ledgers(soak);
    printf(
        "soak: seed %ld faults %llu calls %llu served %llu refused %zu "
        "calm %llu of %llu evacuations %llu cold starts %llu requests %llu "
        "rates %llu requests %llu drills %llu "
        "long answers %llu peak %ld kB ended by memory %llu violations %llu\n",
        seed, (unsigned long long)soak->faults,
        (unsigned long long)soak->calls, (unsigned long long)soak->served,
        soak->refused_count, (unsigned long long)soak->verify_served,
        (unsigned long long)soak->verify_calls,
        (unsigned long long)soak->evacuations,
        (unsigned long long)soak->cold_starts,
        (unsigned long long)soak->cold_requests,
        (unsigned long long)soak->rates,
        (unsigned long long)soak->rate_requests,
        (unsigned long long)soak->drill.count,
        (unsigned long long)soak->bulk_answers, soak->peak_kb,
        (unsigned long long)memory_ends(soak),
        (unsigned long long)soak->violations);
}

static bool
run(const char *program, const char *dir, long seed, long seconds)
{
    static const struct timeval tick = {.tv_usec = TICK_MS * 1000};
    struct soak *soak = xcalloc(1, sizeof(*soak));
    struct phases phases = {
        .soak = soak,
        .started_ms = soak_now(),
        .faults_ms = 1000 * (int64_t)seconds,
        .calls_per_tick = 2,
    };
    struct event *event;
    bool ok;

    soak->base = event_base_new();
    soak->program = program;
    soak->dir = dir;
    soak->seeded.state = (uint64_t)seed;
    soak->random = random_seeded_interface(&soak->seeded);
    soak->other_seeded.state = ~(uint64_t)seed;
    soak->other_random = random_seeded_interface(&soak->other_seeded);
    soak->rate_seeded.state = (uint64_t)seed ^ UINT64_C(0x5bd1e995);
    soak->rate_random = random_seeded_interface(&soak->rate_seeded);
    soak->drill.seeded.state = (uint64_t)seed ^ UINT64_C(0x9e3779b9);
    soak->drill.random = random_seeded_interface(&soak->drill.seeded);
    soak_start(soak);
    soak_crowd_start(soak);
    event = event_new(soak->base, -1, EV_PERSIST, on_tick, &phases);
    event_add(event, &tick);
    event_base_dispatch(soak->base);
    check_results(soak, seed);
    event_free(event);
    ok = soak->violations == 0;
    soak_crowd_stop(soak);
    soak_stop(soak);
    loop_free(soak->base);
    free(soak);
    return ok;
}

int
main(int argc, const char **argv)
{
    char *program = NULL;
    char *dir = NULL;
    int seed = 1;
    int seconds = 10;
    const struct poptOption options[] = {
        {"router", 0, POPT_ARG_STRING, &program, 0, "executable of a router",
         "FILE"},
        {"dir", 0, POPT_ARG_STRING, &dir, 0, "directory for settings and logs",
         "DIR"},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of the faults and the load",
         "N"},
        {"seconds", 0, POPT_ARG_INT, &seconds, 0, "duration of the faults",
         "N"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("dvsoak", argc, argv, options, 0);
    int result = poptGetNextOpt(context);
    int status = 2;

    if (result < -1 || program == NULL || dir == NULL || sodium_init() < 0) {
        fprintf(stderr, "dvsoak: --router FILE and --dir DIR are needed; see "
                        "--help\n");
        goto out;
    }
    signal(SIGPIPE, SIG_IGN);
    // In a build with a sanitizer, memory that was freed must not count.
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 0);
    status = run(program, dir, seed, seconds) ? 0 : 1;
out:
    poptFreeContext(context);
    free(program);
    free(dir);
    return status;
}
