/// A model of the routers that read the store: a change is acknowledged while
/// the store answers some of them no more. All orders of these events are
/// played.
#include <CUnit/CUnit.h>

#include "core/long_poll.h"
#include "core/readers.h"
#include "dandelionvalve/clock.h"
#include "suites.h"

#define ROUTERS 7
#define STEP_MS 10
#define TICK_MS 100
/// From the start until two routers read.
#define SETTLE_MS 3000
/// One way, between two routers and to the store.
#define LINK_MS 20
/// The end of a topic, the request for records and the records.
#define RELAY_MS (3 * LINK_MS)
#define STANDBY_WAIT_MS 20000
#define RETRY_MS 100
#define ANSWER_MAX_AGE_MS 1000
/// Operators' limit from the acknowledgement of a change until it is in force.
#define IN_FORCE_MS 2000
/// A version that the store does not have yet.
#define NEVER INT64_MAX

struct router {
    struct readers *readers;
    enum readers_role role;
    int64_t phase_ms; ///< of its ticks
    bool answered;
    int64_t answered_ms;
    bool failing;
    bool in_call;
    struct long_poll poll;
    int64_t sent_ms;
    int64_t wait_ms;
    int64_t check_ms;  ///< of the call, or when the next one begins
    int64_t record_ms; ///< when the change arrives; NEVER: not yet
    struct message_beat beats[256];
    int64_t arrivals_ms[256];
    size_t first;
    size_t count;
};

struct fleet {
    struct router routers[ROUTERS];
    int64_t now_ms;
    int64_t acked_ms;
    int64_t silent_ms[ROUTERS]; ///< from then on the store is silent to it
};

static bool
is_silent(const struct fleet *fleet, size_t index, int64_t at_ms)
{
    return at_ms >= fleet->silent_ms[index];
}

static void
send_beat(struct fleet *fleet, size_t from, const struct message_beat *beat)
{
    for (size_t i = 0; i < ROUTERS; i++) {
        struct router *to = &fleet->routers[i];

        if (i != from && to->count < 256) {
            size_t at = (to->first + to->count++) % 256;

            to->beats[at] = *beat;
            to->arrivals_ms[at] = fleet->now_ms + LINK_MS;
        }
    }
}

static void
begin_call(struct fleet *fleet, struct router *router)
{
    bool waits = router->answered && !router->failing;

    router->wait_ms = !waits ? 0
                      : router->role == READERS_STANDBY
                          ? STANDBY_WAIT_MS
                          : LONG_POLL_SHORT_WAIT_MS;
    router->in_call = true;
    router->sent_ms = fleet->now_ms;
    router->check_ms =
        fleet->now_ms +
        long_poll_begin(&router->poll, router->wait_ms, fleet->now_ms);
}

/// When the answer to the call in progress arrives; NEVER: it is lost.
static int64_t
answer_at(const struct fleet *fleet, size_t index)
{
    const struct router *router = &fleet->routers[index];
    int64_t asked_ms = router->sent_ms + LINK_MS;
    int64_t said_ms = asked_ms + router->wait_ms;

    if (router->record_ms > fleet->now_ms && fleet->acked_ms < said_ms) {
        said_ms = fleet->acked_ms > asked_ms ? fleet->acked_ms : asked_ms;
    }
    return is_silent(fleet, index, said_ms) ? NEVER : said_ms + LINK_MS;
}

static void
end_call(struct fleet *fleet, size_t index)
{
    struct router *router = &fleet->routers[index];

    router->answered = true;
    router->answered_ms = fleet->now_ms;
    router->failing = false;
    if (fleet->now_ms - LINK_MS >= fleet->acked_ms) {
        for (size_t i = 0; i < ROUTERS; i++) {
            int64_t at_ms = fleet->now_ms + (i == index ? 0 : RELAY_MS);

            if (fleet->routers[i].record_ms > at_ms) {
                fleet->routers[i].record_ms = at_ms;
            }
        }
    }
    begin_call(fleet, router);
}

static void
advance_call(struct fleet *fleet, size_t index)
{
    struct router *router = &fleet->routers[index];
    int64_t check_ms;

    if (router->role == READERS_IDLE) {
        return;
    }
    if (!router->in_call) {
        if (fleet->now_ms >= router->check_ms) {
            begin_call(fleet, router);
        }
        return;
    }
    if (fleet->now_ms >= answer_at(fleet, index)) {
        end_call(fleet, index);
    }
    else if (fleet->now_ms >= router->check_ms) {
        check_ms = long_poll_check(&router->poll, fleet->now_ms);
        router->in_call = check_ms > 0;
        router->failing = router->failing || check_ms == 0;
        router->check_ms =
            fleet->now_ms + (check_ms > 0 ? check_ms : RETRY_MS);
    }
}

static void
set_role(struct fleet *fleet, struct router *router, enum readers_role role)
{
    enum readers_role before = router->role;

    if (role == before) {
        return;
    }
    router->role = role;
    if ((before == READERS_IDLE || before == READERS_STANDBY) &&
        fleet->now_ms - router->answered_ms > ANSWER_MAX_AGE_MS) {
        router->answered = false;
    }
    if (role == READERS_IDLE) {
        router->in_call = false;
        router->failing = false;
        long_poll_end(&router->poll);
    }
    else if (before == READERS_IDLE || before == READERS_STANDBY) {
        begin_call(fleet, router);
    }
}

static void
tick(struct fleet *fleet, size_t index)
{
    struct router *router = &fleet->routers[index];
    struct message_beat beats[READERS_TRACKED_MAX];
    size_t count;
    bool reads;

    set_role(fleet, router,
             readers_update(router->readers, &(struct readers_view){
                                                 .now_ms = fleet->now_ms,
                                                 .age_ms = fleet->now_ms,
                                                 .has_targets = true,
                                                 .lower_ids = index,
                                             }));
    reads = router->role != READERS_IDLE && router->answered &&
            !router->failing && !router->poll.is_late;
    if (readers_next_beat(router->readers, reads, fleet->now_ms, &beats[0])) {
        send_beat(fleet, index, &beats[0]);
    }
    count = readers_take_forwards(router->readers, fleet->now_ms, beats);
    for (size_t i = 0; i < count; i++) {
        send_beat(fleet, index, &beats[i]);
    }
}

static void
advance(struct fleet *fleet, size_t index)
{
    struct router *router = &fleet->routers[index];
    bool urgent;

    while (router->count > 0 &&
           router->arrivals_ms[router->first] <= fleet->now_ms) {
        readers_receive(router->readers, &router->beats[router->first],
                        fleet->now_ms, &urgent);
        router->first = (router->first + 1) % 256;
        router->count--;
    }
    if (fleet->now_ms % TICK_MS == router->phase_ms) {
        tick(fleet, index);
    }
    advance_call(fleet, index);
}

struct outage {
    unsigned silent; ///< bits by router
    unsigned later;  ///< those of them to which it is silent later
    int64_t begun_ms;
    int64_t later_ms; ///< after `begun_ms`
    int64_t acked_ms;
    int64_t phase_ms; ///< between the ticks of two routers
};

/// Time from the acknowledgement until the last router that the store answers
/// has the change.
static int64_t
play(const struct outage *outage)
{
    struct fleet fleet = {.acked_ms = outage->acked_ms};
    int64_t last_ms = 0;

    for (size_t i = 0; i < ROUTERS; i++) {
        fleet.routers[i].readers = readers_new(i + 1);
        fleet.routers[i].phase_ms =
            ((int64_t)i * outage->phase_ms) % TICK_MS / STEP_MS * STEP_MS;
        fleet.routers[i].record_ms = NEVER;
        fleet.silent_ms[i] = (outage->silent >> i & 1) == 0 ? NEVER
                             : (outage->later >> i & 1) == 0
                                 ? outage->begun_ms
                                 : outage->begun_ms + outage->later_ms;
    }
    while (fleet.now_ms < outage->acked_ms + 2 * IN_FORCE_MS) {
        fleet.now_ms += STEP_MS;
        for (size_t i = 0; i < ROUTERS; i++) {
            advance(&fleet, i);
        }
    }
    for (size_t i = 0; i < ROUTERS; i++) {
        readers_free(fleet.routers[i].readers);
        if (fleet.silent_ms[i] == NEVER &&
            fleet.routers[i].record_ms > last_ms) {
            last_ms = fleet.routers[i].record_ms;
        }
    }
    return last_ms == NEVER ? NEVER : last_ms - outage->acked_ms;
}

/// The longest time over all sets of silent routers of this size, all moments
/// of the acknowledgement within a read, and outages that began up to 3 s
/// before it.
static int64_t
longest(int size)
{
    static const int64_t leads_ms[] = {0, 50, 300, 700, 1200, 2000, 3000};
    static const int64_t phases_ms[] = {0, 30, 70};
    int64_t worst_ms = 0;

    for (unsigned silent = 0; silent < 1U << ROUTERS; silent++) {
        if (__builtin_popcount(silent) != size) {
            continue;
        }
        for (size_t i = 0; i < 7 * 3; i++) {
            for (int64_t at_ms = 0; at_ms < 800; at_ms += 40) {
                int64_t begun_ms = SETTLE_MS + at_ms;
                int64_t ms = play(&(struct outage){
                    .silent = silent,
                    .begun_ms = begun_ms,
                    .acked_ms = begun_ms + leads_ms[i % 7] + STEP_MS,
                    .phase_ms = phases_ms[i / 7],
                });

                worst_ms = ms > worst_ms ? ms : worst_ms;
            }
        }
    }
    return worst_ms;
}

/// The same for outages of two parts: the store is silent to some routers
/// first, and to the others of the set while these are replaced. The change is
/// acknowledged up to 1.5 s after the second part began.
static int64_t
longest_in_two_parts(int size)
{
    int64_t worst_ms = 0;

    for (unsigned silent = 0; silent < 1U << ROUTERS; silent++) {
        // Those with the highest ids hardly read.
        if (__builtin_popcount(silent) != size || silent >= 1U << 5) {
            continue;
        }
        for (unsigned later = silent; later > 0;
             later = (later - 1) & silent) {
            for (int64_t gap_ms = 100; gap_ms <= 2000; gap_ms += 100) {
                for (int64_t lead_ms = -100; lead_ms <= 1500; lead_ms += 200) {
                    int64_t ms = play(&(struct outage){
                        .silent = silent,
                        .later = later,
                        .begun_ms = SETTLE_MS + gap_ms * 37 % 500,
                        .later_ms = gap_ms,
                        .acked_ms =
                            SETTLE_MS + gap_ms * 37 % 500 + gap_ms + lead_ms,
                        .phase_ms = 30,
                    });

                    worst_ms = ms > worst_ms ? ms : worst_ms;
                }
            }
        }
    }
    return worst_ms;
}

/// Routers went on with a revoked key for up to 2.8 s while the store gave no
/// answer to the two that read it for all.
static void
test_change_while_readers_get_no_answer(void)
{
    for (int size = 0; size <= 4; size++) {
        CU_ASSERT(longest(size) <= IN_FORCE_MS);
    }
}

/// The store falls silent to the readers one after the other.
static void
test_change_while_readers_are_replaced(void)
{
    for (int size = 2; size <= 3; size++) {
        CU_ASSERT(longest_in_two_parts(size) <= IN_FORCE_MS);
    }
}

void
suite_reader_cut(void)
{
    CU_pSuite suite = CU_add_suite("reader cut", NULL, NULL);

    CU_add_test(suite, "change while readers get no answer",
                test_change_while_readers_get_no_answer);
    CU_add_test(suite, "change while readers are replaced",
                test_change_while_readers_are_replaced);
}
