/// Replays load patterns of the store's readers: hundreds of routers with a
/// few links each, loss of the readers, an outage, a partition.
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/readers.h"
#include "core/xmalloc.h"
#include "dandelionvalve/clock.h"
#include "suites.h"

#define FLEET_MAX 300
#define LINKS_DIALED 10
#define TICK_MS 100
/// Operators' limit from the acknowledgement of a change until it is in force,
/// at this size.
#define IN_FORCE_MS 4000

struct router {
    struct readers *readers;
    uint64_t id;
    bool dead;
    bool paused;
    bool refused; ///< the store does not answer it
    size_t side;  ///< of a partition
    enum readers_role role;
    int64_t reading_ms; ///< in sum
    struct {
        struct message_beat beats[64];
        size_t count;
    } inbox;
};

struct fleet {
    struct random_seeded seeded;
    struct random_source random;
    struct router routers[FLEET_MAX];
    bool linked[FLEET_MAX][FLEET_MAX];
    size_t count;
    int64_t now_ms;
    bool cut; ///< links between the sides are cut
};

static bool
are_linked(const struct fleet *fleet, size_t a, size_t b)
{
    return fleet->linked[a][b] && !fleet->routers[a].dead &&
           !fleet->routers[b].dead &&
           (!fleet->cut || fleet->routers[a].side == fleet->routers[b].side);
}

static struct fleet *
fleet_new(size_t count, uint64_t seed)
{
    struct fleet *fleet = xcalloc(1, sizeof(*fleet));

    fleet->seeded = (struct random_seeded){.state = seed};
    fleet->random = random_seeded_interface(&fleet->seeded);
    fleet->count = count;
    fleet->now_ms = 1000000;
    for (size_t i = 0; i < count; i++) {
        fleet->routers[i].id = random_next(&fleet->random);
        fleet->routers[i].readers = readers_new(fleet->routers[i].id);
        for (size_t j = 0; j < LINKS_DIALED; j++) {
            size_t to = random_below(&fleet->random, count);

            fleet->linked[i][to] = fleet->linked[to][i] = to != i;
        }
    }
    return fleet;
}

static void
fleet_free(struct fleet *fleet)
{
    for (size_t i = 0; i < fleet->count; i++) {
        readers_free(fleet->routers[i].readers);
    }
    free(fleet);
}

static void
send(struct fleet *fleet, size_t from, const struct message_beat *beat)
{
    for (size_t i = 0; i < fleet->count; i++) {
        struct router *to = &fleet->routers[i];

        if (are_linked(fleet, from, i) && to->inbox.count < 64) {
            to->inbox.beats[to->inbox.count++] = *beat;
        }
    }
}

static struct readers_view
view_of(const struct fleet *fleet, size_t index, int64_t age_ms)
{
    struct readers_view view = {
        .now_ms = fleet->now_ms,
        .age_ms = age_ms,
        .has_targets = true,
    };

    for (size_t i = 0; i < fleet->count; i++) {
        view.lower_ids +=
            are_linked(fleet, index, i) &&
                    fleet->routers[i].id < fleet->routers[index].id
                ? 1
                : 0;
    }
    return view;
}

static void
tick_router(struct fleet *fleet, size_t index, int64_t age_ms)
{
    struct router *router = &fleet->routers[index];
    struct readers_view view = view_of(fleet, index, age_ms);
    struct message_beat beats[READERS_TRACKED_MAX];
    struct message_beat own;
    bool urgent;
    size_t count;

    for (size_t i = 0; i < router->inbox.count; i++) {
        readers_receive(router->readers, &router->inbox.beats[i],
                        fleet->now_ms, &urgent);
    }
    router->inbox.count = 0;
    router->role = readers_update(router->readers, &view);
    router->reading_ms += router->role != READERS_IDLE ? TICK_MS : 0;
    if (readers_next_beat(router->readers,
                          router->role != READERS_IDLE && !router->refused,
                          fleet->now_ms, &own)) {
        send(fleet, index, &own);
    }
    count = readers_take_forwards(router->readers, fleet->now_ms, beats);
    for (size_t i = 0; i < count; i++) {
        send(fleet, index, &beats[i]);
    }
}

static void
run(struct fleet *fleet, int64_t ms, int64_t age_ms)
{
    int64_t end_ms = fleet->now_ms + ms;

    while (fleet->now_ms < end_ms) {
        fleet->now_ms += TICK_MS;
        age_ms += TICK_MS;
        for (size_t i = 0; i < fleet->count; i++) {
            if (!fleet->routers[i].dead && !fleet->routers[i].paused) {
                tick_router(fleet, i, age_ms);
            }
        }
    }
}

/// Routers that read, of one side or of both (`side` SIZE_MAX), and are
/// answered.
static size_t
count_readers(const struct fleet *fleet, size_t side)
{
    size_t count = 0;

    for (size_t i = 0; i < fleet->count; i++) {
        const struct router *router = &fleet->routers[i];

        count += !router->dead && !router->paused && !router->refused &&
                         router->role != READERS_IDLE &&
                         (side == SIZE_MAX || side == router->side)
                     ? 1
                     : 0;
    }
    return count;
}

static int64_t
total_reading_ms(const struct fleet *fleet)
{
    int64_t sum = 0;

    for (size_t i = 0; i < fleet->count; i++) {
        sum += fleet->routers[i].reading_ms;
    }
    return sum;
}

/// All routers start together: two read, and hardly another one begins.
static void
test_start_together(void)
{
    static const size_t sizes[] = {1, 2, 4, 31, 103, 300};

    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        struct fleet *fleet = fleet_new(sizes[i], 7 + i);
        size_t wanted = sizes[i] < READERS_COUNT ? sizes[i] : READERS_COUNT;

        run(fleet, 10000, 0);
        CU_ASSERT(count_readers(fleet, SIZE_MAX) == wanted);
        // A third of the routers read all day when only neighbours counted.
        CU_ASSERT(total_reading_ms(fleet) <
                  (int64_t)wanted * 10000 + 500 * (int64_t)sizes[i]);
        fleet_free(fleet);
    }
}

/// The readers stop without a word: others read within the time in which a
/// change must be in force.
static void
test_readers_lost(void)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        struct fleet *fleet = fleet_new(103, seed);
        int64_t lost_ms;

        run(fleet, 5000, 0);
        for (size_t i = 0; i < fleet->count; i++) {
            fleet->routers[i].dead = fleet->routers[i].role != READERS_IDLE;
        }
        lost_ms = fleet->now_ms;
        while (count_readers(fleet, SIZE_MAX) == 0 &&
               fleet->now_ms - lost_ms < IN_FORCE_MS) {
            run(fleet, TICK_MS, 5000);
        }
        CU_ASSERT(fleet->now_ms - lost_ms <= IN_FORCE_MS / 2);
        run(fleet, 3000, 5000);
        CU_ASSERT(count_readers(fleet, SIZE_MAX) == READERS_COUNT);
        fleet_free(fleet);
    }
}

/// The store refuses some routers, the readers among them: others take over.
static void
test_readers_refused(void)
{
    struct fleet *fleet = fleet_new(103, 3);

    run(fleet, 5000, 0);
    for (size_t i = 0; i < fleet->count; i++) {
        fleet->routers[i].refused =
            fleet->routers[i].role != READERS_IDLE || i % 2 == 0;
    }
    run(fleet, IN_FORCE_MS / 2, 5000);
    CU_ASSERT(count_readers(fleet, SIZE_MAX) >= 1);
    run(fleet, 3000, 5000);
    CU_ASSERT(count_readers(fleet, SIZE_MAX) >= READERS_COUNT);
    fleet_free(fleet);
}

/// The store answers nobody: candidates begin one after the other, and when
/// it is back two remain.
static void
test_outage(void)
{
    struct fleet *fleet = fleet_new(103, 4);
    int64_t before;

    run(fleet, 5000, 0);
    before = total_reading_ms(fleet);
    for (size_t i = 0; i < fleet->count; i++) {
        fleet->routers[i].refused = true;
    }
    run(fleet, 1000, 5000);
    // Half of the routers would be 51,500 ms.
    CU_ASSERT(total_reading_ms(fleet) - before < 51500 / 2);
    run(fleet, 9000, 5000);
    for (size_t i = 0; i < fleet->count; i++) {
        fleet->routers[i].refused = false;
    }
    run(fleet, 2000, 5000);
    CU_ASSERT(count_readers(fleet, SIZE_MAX) == READERS_COUNT);
    fleet_free(fleet);
}

/// The fleet is cut in two: each side reads for itself.
static void
test_partition(void)
{
    struct fleet *fleet = fleet_new(103, 5);

    for (size_t i = 0; i < fleet->count; i++) {
        fleet->routers[i].side = i % 5 == 0;
    }
    run(fleet, 5000, 0);
    fleet->cut = true;
    run(fleet, IN_FORCE_MS - 500, 5000);
    CU_ASSERT(count_readers(fleet, 0) >= READERS_COUNT);
    CU_ASSERT(count_readers(fleet, 1) >= READERS_COUNT);
    fleet->cut = false;
    run(fleet, 3000, 5000);
    CU_ASSERT(count_readers(fleet, SIZE_MAX) == READERS_COUNT);
    fleet_free(fleet);
}

/// A router that was paused holds beats of readers that have stopped since.
/// Forwarded late, they hold nobody back: a newer beat is known.
static void
test_stale_beats(void)
{
    struct readers *readers = readers_new(50);
    struct message_beat beat = {.id = 1, .beat = 7, .reads = true};
    struct readers_view view = {.now_ms = 10000, .age_ms = 5000};
    bool urgent;

    CU_ASSERT(readers_receive(readers, &beat, 10000, &urgent) && urgent);
    beat = (struct message_beat){.id = 2, .beat = 3, .reads = true};
    CU_ASSERT(readers_receive(readers, &beat, 10000, &urgent) && urgent);
    CU_ASSERT(readers_update(readers, &view) == READERS_IDLE);
    beat = (struct message_beat){.id = 2, .beat = 4, .reads = false};
    CU_ASSERT(readers_receive(readers, &beat, 10100, &urgent) && urgent);
    beat = (struct message_beat){.id = 2, .beat = 3, .reads = true};
    CU_ASSERT(!readers_receive(readers, &beat, 10200, &urgent));
    view.now_ms = 10200;
    CU_ASSERT(readers_update(readers, &view) == READERS_STANDBY);
    view.now_ms = 10000 + READERS_EXPIRY_MS;
    CU_ASSERT(readers_update(readers, &view) == READERS_PRIMARY);
    // Both have stopped; a router that was frozen for a while passes their
    // last beats on when it wakes.
    beat = (struct message_beat){.id = 1, .beat = 7, .reads = true};
    CU_ASSERT(!readers_receive(readers, &beat, view.now_ms, &urgent));
    CU_ASSERT(readers_update(readers, &view) == READERS_PRIMARY);
    readers_free(readers);
}

/// All routers learn when the store has recovered, however many links away:
/// entries that lapsed in the outage are held until then.
static void
test_recovery_is_passed_on(void)
{
    struct fleet *fleet = fleet_new(103, 6);
    struct message_beat beat;
    int64_t recovered_ms;
    size_t first = 0;

    run(fleet, 5000, 0);
    while (fleet->routers[first].role == READERS_IDLE) {
        first++;
    }
    recovered_ms = fleet->now_ms;
    readers_set_recovered(fleet->routers[first].readers, recovered_ms);
    readers_make_beat(fleet->routers[first].readers, true, recovered_ms,
                      &beat);
    send(fleet, first, &beat);
    run(fleet, 600, 5000);
    for (size_t i = 0; i < fleet->count; i++) {
        int64_t known = readers_recovered_ms(fleet->routers[i].readers);

        // The emulator delivers at the next tick.
        CU_ASSERT(known >= recovered_ms &&
                  known <= recovered_ms + 5 * TICK_MS);
    }
    fleet_free(fleet);
}

void
suite_readers(void)
{
    CU_pSuite suite = CU_add_suite("readers", NULL, NULL);

    CU_add_test(suite, "start together", test_start_together);
    CU_add_test(suite, "readers lost", test_readers_lost);
    CU_add_test(suite, "readers refused", test_readers_refused);
    CU_add_test(suite, "outage", test_outage);
    CU_add_test(suite, "partition", test_partition);
    CU_add_test(suite, "stale beats", test_stale_beats);
    CU_add_test(suite, "recovery is passed on", test_recovery_is_passed_on);
}
