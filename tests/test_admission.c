/// Tests of admission by account under the load patterns that it is made for,
/// compared with core/shed alone. Callers and endpoints are simulated; the
/// decisions and the Retry-After delays are those of core/.
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/admission.h"
#include "core/shed.h"
#include "core/timing.h"
#include "suites.h"

#define SEED 3
/// Largest difference to core/shed alone in a share of all requests.
#define SLACK 0.04
#define ROUTERS 8
#define ACCOUNTS 12
#define CAPACITY_PER_S 400.0
#define RUN_MS 60
#define OBJECTIVE_MS 300
#define DEADLINE_MS 1500
#define REPORT_MS 300
#define DURATION_MS 20000
/// The load begins at the start; decisions are counted from then on.
#define COUNT_FROM_MS 5000
#define PENDING_MAX 16384
#define RETRIES_MAX 10
#define SHORT_TOKENS 1000
#define LONG_TOKENS 10000

/// A load of all accounts, and what is different about account 0.
struct load {
    double per_s; ///< requests a second of each account
    double first_factor;
    bool first_ignores_retry_after; ///< and repeats until it is admitted
    bool first_abandons;            ///< leaves soon; the endpoint goes on
    bool first_is_urgent;           ///< priority 0 instead of 1
    int64_t halved_ms; ///< when half of the endpoints fail; 0: never
    bool first_long; ///< most of its prompts are long, nearly all others short
    bool no_links;
    bool one_router;      ///< account 0 uses one router only
    int64_t objective_ms; ///< 0: OBJECTIVE_MS
    uint64_t seed;
};

struct outcome {
    uint64_t requests; ///< of callers
    uint64_t in_time;  ///< begun within the objective of an attempt
};

struct result {
    struct outcome accounts[ACCOUNTS];
    uint64_t decisions, refused;
    uint64_t large, large_admitted, all, all_admitted; ///< first attempts
    uint64_t returning, returning_admitted;
};

struct call {
    size_t account;
    size_t router;
    uint32_t tokens;
    int64_t started_ms;
    int64_t due_ms; ///< its next attempt, or the start of its answer
    int64_t offered_ms;
    int attempts;
};

struct simulation {
    const struct load *load;
    int64_t objective_ms;
    bool shares;
    struct manual_clock time;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct admission *admissions[ROUTERS];
    struct shed sheds[ROUTERS][2];
    int64_t typical_ms;
    struct call waiting[PENDING_MAX]; ///< for their next attempt
    size_t waiting_count;
    struct call running[PENDING_MAX]; ///< in the order of their starts
    size_t first_running, running_count;
    double free_ms; ///< when the endpoints can begin another request
    struct result result;
};

/// A tenth of the prompts is long.
static uint32_t
draw_tokens(struct simulation *s, size_t account)
{
    double share = !s->load->first_long ? 0.08 : account == 0 ? 0.9 : 0.01;

    return random_unit(&s->random) < share ? LONG_TOKENS : SHORT_TOKENS;
}

static uint32_t
priority_of(const struct simulation *s, const struct call *call)
{
    return call->account == 0 && s->load->first_is_urgent ? 0 : 1;
}

static int64_t
left_ms(const struct call *call, int64_t now_ms)
{
    return call->started_ms + DEADLINE_MS - now_ms;
}

static bool
is_late(const struct simulation *s, const struct call *call, int64_t now_ms)
{
    return timing_is_late(s->typical_ms, left_ms(call, now_ms),
                          s->objective_ms);
}

/// Decides on an attempt; `earliest_ms` is for the Retry-After delay.
static bool
refuses(struct simulation *s, const struct call *call, int64_t now_ms,
        int64_t *earliest_ms)
{
    static const char *const names[ACCOUNTS] = {"a", "b", "c", "d", "e", "f",
                                                "g", "h", "i", "j", "k", "l"};
    uint32_t priority = priority_of(s, call);
    struct shed *shed = &s->sheds[call->router][priority];
    double share_min =
        priority > 0 ? s->sheds[call->router][0].refused_share : 0;
    struct admission_verdict verdict;

    s->typical_ms =
        timing_typical_deadline_ms(s->typical_ms, left_ms(call, now_ms));
    if (!s->shares) {
        return shed_refuses(shed, &s->random, share_min,
                            is_late(s, call, now_ms));
    }
    admission_decide(s->admissions[call->router],
                     &(struct admission_request){
                         .service = STR_LITERAL("service"),
                         .account = str_from(names[call->account]),
                         .route = STR_LITERAL("route"),
                         .priority = priority,
                         .prompt_tokens = call->tokens,
                         .shed_share = shed_share(shed, share_min),
                         .is_late = is_late(s, call, now_ms),
                         .is_returning = timing_is_returning(
                             s->typical_ms, left_ms(call, now_ms)),
                     },
                     &verdict);
    *earliest_ms = verdict.wait_ms;
    return verdict.reason != ADMISSION_ADMITTED;
}

static void
count(struct simulation *s, const struct call *call, bool late, bool refused)
{
    struct result *result = &s->result;

    result->decisions++;
    result->refused += refused ? 1 : 0;
    if (call->attempts > 0) {
        result->returning += late ? 0 : 1;
        result->returning_admitted += refused || late ? 0 : 1;
        return;
    }
    result->accounts[call->account].requests++;
    result->all++;
    result->all_admitted += refused ? 0 : 1;
    if (call->tokens == LONG_TOKENS) {
        result->large++;
        result->large_admitted += refused ? 0 : 1;
    }
}

static void
repeat(struct simulation *s, struct call *call, int64_t now_ms,
       int64_t earliest_ms)
{
    bool ignores = call->account == 0 && s->load->first_ignores_retry_after;

    if (call->attempts++ >= (ignores ? RETRIES_MAX : 1) ||
        s->waiting_count == PENDING_MAX) {
        return;
    }
    call->due_ms = now_ms + (ignores ? 50
                                     : timing_retry_after_from_ms(
                                           &s->random, left_ms(call, now_ms),
                                           earliest_ms));
    if (call->due_ms < call->started_ms + DEADLINE_MS) {
        s->waiting[s->waiting_count++] = *call;
    }
}

static void
attempt(struct simulation *s, struct call call, int64_t now_ms)
{
    bool halved = s->load->halved_ms > 0 && now_ms >= s->load->halved_ms;
    int64_t earliest_ms = 0;
    bool refused;

    if (s->load->one_router && call.account == 0) {
        call.router = 0;
    }
    else {
        call.router = random_below(&s->random, ROUTERS);
    }
    refused = refuses(s, &call, now_ms, &earliest_ms);
    if (now_ms >= COUNT_FROM_MS) {
        count(s, &call, is_late(s, &call, now_ms), refused);
    }
    if (refused) {
        repeat(s, &call, now_ms, earliest_ms);
        return;
    }
    if (s->free_ms < (double)now_ms) {
        s->free_ms = (double)now_ms;
    }
    s->free_ms += 1000 / CAPACITY_PER_S * (halved ? 2 : 1);
    call.offered_ms = now_ms;
    call.due_ms = (int64_t)s->free_ms + RUN_MS;
    CU_ASSERT_FATAL(s->running_count < PENDING_MAX);
    s->running[(s->first_running + s->running_count++) % PENDING_MAX] = call;
}

static void
begin_answers(struct simulation *s, int64_t now_ms)
{
    while (s->running_count > 0 &&
           s->running[s->first_running].due_ms <= now_ms) {
        const struct call *call = &s->running[s->first_running];
        bool left = call->account == 0 && s->load->first_abandons;

        s->first_running = (s->first_running + 1) % PENDING_MAX;
        s->running_count--;
        shed_add_delay(&s->sheds[call->router][priority_of(s, call)],
                       now_ms - call->offered_ms, s->objective_ms);
        if (call->started_ms >= COUNT_FROM_MS && !left &&
            now_ms - call->offered_ms <= s->objective_ms) {
            s->result.accounts[call->account].in_time++;
        }
    }
}

static void
report(struct simulation *s)
{
    struct message_share items[2 * ACCOUNTS];

    for (size_t i = 0; i < ROUTERS; i++) {
        size_t n = admission_collect(s->admissions[i], items, 2 * ACCOUNTS);

        for (size_t j = 0; j < ROUTERS; j++) {
            if (j != i) {
                admission_receive(s->admissions[j], i, items, n);
            }
        }
    }
}

static void
step(struct simulation *s, int64_t now_ms)
{
    for (size_t a = 0; a < ACCOUNTS; a++) {
        double per_s =
            s->load->per_s *
            (a == 0 && s->load->first_factor > 0 ? s->load->first_factor : 1);

        // No account has more than a request in a millisecond.
        if (random_unit(&s->random) < per_s / 1000) {
            attempt(s,
                    (struct call){
                        .account = a,
                        .started_ms = now_ms,
                        .tokens = draw_tokens(s, a),
                    },
                    now_ms);
        }
    }
    for (size_t i = 0; i < s->waiting_count;) {
        struct call call = s->waiting[i];

        if (call.due_ms > now_ms) {
            i++;
            continue;
        }
        s->waiting[i] = s->waiting[--s->waiting_count];
        attempt(s, call, now_ms);
    }
    begin_answers(s, now_ms);
    for (size_t i = 0; i < ROUTERS; i++) {
        shed_update(&s->sheds[i][0], now_ms);
        shed_update(&s->sheds[i][1], now_ms);
    }
    if (!s->load->no_links && now_ms % REPORT_MS == 0) {
        report(s);
    }
}

static struct result
replay(const struct load *load, bool shares)
{
    static struct simulation s;

    memset(&s, 0, sizeof(s));
    s.load = load;
    s.shares = shares;
    s.clock = manual_clock_interface(&s.time);
    s.objective_ms =
        load->objective_ms > 0 ? load->objective_ms : OBJECTIVE_MS;
    s.seeded = (struct random_seeded){load->seed};
    s.random = random_seeded_interface(&s.seeded);
    for (size_t i = 0; i < ROUTERS; i++) {
        s.admissions[i] =
            admission_new(&(struct admission_options){&s.clock, &s.random});
    }
    for (int64_t now_ms = 1; now_ms <= DURATION_MS; now_ms++) {
        s.time.now_us = now_ms * 1000;
        step(&s, now_ms);
    }
    for (size_t i = 0; i < ROUTERS; i++) {
        admission_free(s.admissions[i]);
    }
    return s.result;
}

/// In-time answers as a share of the requests of accounts `from` to the last.
static double
served(const struct result *result, size_t from)
{
    uint64_t requests = 0, in_time = 0;

    for (size_t a = from; a < ACCOUNTS; a++) {
        requests += result->accounts[a].requests;
        in_time += result->accounts[a].in_time;
    }
    return (double)in_time / (double)requests;
}

static double
ratio(uint64_t part, uint64_t whole)
{
    return (double)part / (double)whole;
}

/// Replays a load with core/shed alone and with shares. Both refuse about as
/// many requests and answer about as many in time, and large prompts are
/// admitted at least half as often as all.
static void
compare(struct load load, struct result *shed, struct result *shares)
{
    load.seed = SEED;
    *shed = replay(&load, false);
    *shares = replay(&load, true);
    CU_ASSERT_DOUBLE_EQUAL(ratio(shares->refused, shares->decisions),
                           ratio(shed->refused, shed->decisions), SLACK);
    CU_ASSERT(served(shares, 0) > served(shed, 0) - SLACK);
    CU_ASSERT(2 * ratio(shares->large_admitted, shares->large) >=
              ratio(shares->all_admitted, shares->all));
}

/// A load below the capacity is refused by neither.
static void
test_below_capacity(void)
{
    struct result shed, shares;

    compare((struct load){.per_s = 20}, &shed, &shares);
    CU_ASSERT(shares.refused == 0);
}

/// Load pattern: a burst of all accounts. None gets much less than the others.
static void
test_burst(void)
{
    struct result shed, shares;

    compare((struct load){.per_s = 80}, &shed, &shares);
    for (size_t a = 0; a < ACCOUNTS; a++) {
        CU_ASSERT(
            ratio(shares.accounts[a].in_time, shares.accounts[a].requests) >
            0.8 * served(&shares, 0));
    }
}

/// Load pattern: one account at 7 and at 20 times the rate of the others,
/// which all together ask for less than the capacity. They are answered, also
/// by routers without links or if one router has all requests of the large
/// account.
static void
test_one_account_surges(void)
{
    struct result shed, shares;

    compare((struct load){.per_s = 25, .first_factor = 7}, &shed, &shares);
    CU_ASSERT(served(&shed, 1) < 0.9);
    CU_ASSERT(served(&shares, 1) > 0.95);
    compare((struct load){.per_s = 25, .first_factor = 20}, &shed, &shares);
    CU_ASSERT(served(&shed, 1) < 0.6);
    CU_ASSERT(served(&shares, 1) > 0.95);
    CU_ASSERT(served(&shares, 0) - served(&shed, 0) > -SLACK);
    compare((struct load){.per_s = 25, .first_factor = 20, .no_links = true},
            &shed, &shares);
    CU_ASSERT(served(&shares, 1) > 0.95);
    compare((struct load){.per_s = 25, .first_factor = 20, .one_router = true},
            &shed, &shares);
    CU_ASSERT(served(&shares, 1) > 0.95);
}

/// Load pattern: the callers of a large account ignore Retry-After and retry
/// at once. They must not get more than otherwise.
static void
test_retry_after_ignored(void)
{
    struct load load = {
        .per_s = 25,
        .first_factor = 20,
        .first_ignores_retry_after = true,
        .seed = SEED,
    };
    struct result shed = replay(&load, false);
    struct result shares = replay(&load, true);

    // More are refused than by core/shed alone, which answers ever more of
    // the repeated ones instead of the others.
    CU_ASSERT(served(&shed, 1) < 0.3);
    CU_ASSERT(served(&shares, 1) > 0.95);
    CU_ASSERT(served(&shares, 0) > served(&shed, 0) - SLACK);
}

/// Load pattern: the callers of a large account disconnect soon, and the
/// endpoints continue to process their requests.
static void
test_abandoned_requests(void)
{
    struct result shed, shares;

    compare(
        (struct load){.per_s = 30, .first_factor = 7, .first_abandons = true},
        &shed, &shares);
    CU_ASSERT(served(&shed, 1) < 0.75);
    CU_ASSERT(served(&shares, 1) > 0.9);
}

/// Load pattern: half of the endpoints are gone at the peak.
static void
test_endpoints_gone(void)
{
    struct result shed, shares;

    compare((struct load){.per_s = 30, .halved_ms = 8000}, &shed, &shares);
    for (size_t a = 0; a < ACCOUNTS; a++) {
        CU_ASSERT(
            ratio(shares.accounts[a].in_time, shares.accounts[a].requests) >
            0.8 * served(&shares, 0));
    }
}

/// Load pattern: one account has a higher priority. It goes first, as with
/// core/shed alone.
static void
test_urgent_account(void)
{
    struct result shed, shares;

    compare((struct load){.per_s = 60, .first_is_urgent = true}, &shed,
            &shares);
    CU_ASSERT(served(&shares, 1) < 0.6);
    CU_ASSERT(ratio(shares.accounts[0].in_time, shares.accounts[0].requests) >
              0.85);
}

/// One account sends nearly all of the large prompts: it is charged for them,
/// but they do not starve.
static void
test_account_with_large_prompts(void)
{
    struct result shed, shares;

    compare((struct load){.per_s = 60, .first_long = true}, &shed, &shares);
    CU_ASSERT(ratio(shares.accounts[0].in_time, shares.accounts[0].requests) <
              0.8 * served(&shares, 1));
}

/// Callers that were refused before go ahead of new ones while they can be in
/// time: the objective leaves time for a second attempt.
static void
test_returning_callers(void)
{
    struct load load = {.per_s = 80, .objective_ms = 1000, .seed = SEED};
    struct result shed = replay(&load, false);
    struct result shares = replay(&load, true);

    CU_ASSERT(ratio(shed.returning_admitted, shed.returning) <
              1.2 * ratio(shed.all_admitted, shed.all));
    CU_ASSERT(ratio(shares.returning_admitted, shares.returning) >
              2 * ratio(shares.all_admitted, shares.all));
    CU_ASSERT_DOUBLE_EQUAL(ratio(shares.refused, shares.decisions),
                           ratio(shed.refused, shed.decisions), SLACK);
}

/// Sums that a router with few requests learns from a peer.
static void
test_age_of_sums(void)
{
    const struct message_share items[] = {
        {.account = str_hash(STR_LITERAL("large"), 0),
         .offered_milli = 900000},
        {.account = str_hash(STR_LITERAL("small"), 0), .offered_milli = 50000},
    };
    struct message_share shares[2] = {items[0], items[1]};
    struct admission_request request = {
        .service = STR_LITERAL("service"),
        .account = STR_LITERAL("large"),
        .route = STR_LITERAL("route"),
        .shed_share = 0.5,
    };
    struct random_seeded seeded = {SEED};
    struct random_source random = random_seeded_interface(&seeded);
    struct manual_clock time = {.now_us = 1000000};
    struct clock clock = manual_clock_interface(&time);
    struct admission *admission =
        admission_new(&(struct admission_options){&clock, &random});
    struct admission_verdict verdict;

    shares[0].group = shares[1].group = str_hash(request.service, 0);
    CU_ASSERT(admission_report_age_ms(admission) == -1);
    admission_receive(admission, 1, shares, 2);
    admission_decide(admission, &request, &verdict);
    CU_ASSERT_DOUBLE_EQUAL(verdict.account_share, 0.95, 0.01);
    CU_ASSERT_DOUBLE_EQUAL(verdict.refused_share, 0.53, 0.02);
    CU_ASSERT(verdict.wait_ms > 2000);
    request.account = STR_LITERAL("small");
    admission_decide(admission, &request, &verdict);
    CU_ASSERT(verdict.refused_share == 0 && verdict.wait_ms == 0);
    // A late request is refused before others even within the share.
    request.is_late = true;
    admission_decide(admission, &request, &verdict);
    CU_ASSERT(verdict.refused_share == SHED_SHARE_MAX);
    request.is_late = false;
    // Old sums are dropped: the own requests are few and equal.
    time.now_us += (ADMISSION_REPORT_MAX_AGE_MS + 1) * 1000;
    admission_decide(admission, &request, &verdict);
    CU_ASSERT(verdict.account_share > 0.5);
    CU_ASSERT(admission_collect(admission, shares, 2) == 2);
    admission_free(admission);
}

/// Requests that cannot begin in time are refused, but for some that correct a
/// wrong prediction.
static void
test_deadline(void)
{
    const struct admission_request request = {
        .service = STR_LITERAL("service"), .account = STR_LITERAL("a")};
    struct random_seeded seeded = {SEED};
    struct random_source random = random_seeded_interface(&seeded);
    struct admission *admission =
        admission_new(&(struct admission_options){&clock_monotonic, &random});
    int refused = 0;

    for (int i = 0; i < 1000; i++) {
        CU_ASSERT(!admission_misses_deadline(admission, &request, 99, 100));
        refused +=
            admission_misses_deadline(admission, &request, 100, 100) ? 1 : 0;
    }
    CU_ASSERT(refused > 900 && refused < 1000);
    admission_free(admission);
}

void
suite_admission(void)
{
    CU_pSuite suite = CU_add_suite("admission", NULL, NULL);

    CU_add_test(suite, "below capacity", test_below_capacity);
    CU_add_test(suite, "burst", test_burst);
    CU_add_test(suite, "one account surges", test_one_account_surges);
    CU_add_test(suite, "Retry-After ignored", test_retry_after_ignored);
    CU_add_test(suite, "abandoned requests", test_abandoned_requests);
    CU_add_test(suite, "endpoints gone", test_endpoints_gone);
    CU_add_test(suite, "urgent account", test_urgent_account);
    CU_add_test(suite, "account with large prompts",
                test_account_with_large_prompts);
    CU_add_test(suite, "returning callers", test_returning_callers);
    CU_add_test(suite, "age of sums", test_age_of_sums);
    CU_add_test(suite, "deadline", test_deadline);
}
