/// The account of memory and the choice of requests to refuse and connections
/// to close, with many clients outside the limits and without a network.
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <sys/wait.h>

#include "core/eviction.h"
#include "core/memory.h"
#include "suites.h"

#define LIMIT_BYTES 1000000
#define CLIENTS 60
#define STEPS 2000 ///< of 1 ms
#define PIECE_BYTES 4096

static void
test_balance(void)
{
    struct memory *memory =
        memory_new(&(struct memory_options){.limit_bytes = LIMIT_BYTES});
    struct memory_holding holding = {.memory = memory};

    CU_ASSERT(memory_charge(memory, MEMORY_READING, 400000));
    CU_ASSERT(!memory_charge(memory, MEMORY_READING, 100000));
    // Requests must not take the room of the responses.
    CU_ASSERT(memory_charge(memory, MEMORY_BUFFERED, 400000));
    memory_charge_held(memory, MEMORY_REQUESTS, 200000);
    CU_ASSERT(memory_room(memory, MEMORY_READING) == 0);
    CU_ASSERT(memory_room(memory, MEMORY_RESPONSES) == 50000);
    memory_hold(&holding, MEMORY_READING, 5000);
    memory_hold(&holding, MEMORY_REQUESTS, 7000);
    CU_ASSERT(memory_held(memory, MEMORY_READING) == 400000);
    CU_ASSERT(memory_held(memory, MEMORY_REQUESTS) == 207000);
    memory_hold(&holding, MEMORY_REQUESTS, 0);
    CU_ASSERT(memory_held_total(memory) == LIMIT_BYTES);
    memory_release(memory, MEMORY_READING, 400000);
    memory_release(memory, MEMORY_BUFFERED, 400000);
    memory_release(memory, MEMORY_REQUESTS, 200000);
    CU_ASSERT(memory_held_total(memory) == 0);
    memory_free(memory);
    CU_ASSERT(memory_charge(NULL, MEMORY_READING, SIZE_MAX));
}

/// The process must abort: a balance that is off would hide a leak.
static bool
aborts(void (*run)(struct memory *memory))
{
    pid_t pid = fork();
    int status = 0;

    if (pid == 0) {
        close(STDERR_FILENO);
        run(memory_new(&(struct memory_options){.limit_bytes = LIMIT_BYTES}));
        _exit(0);
    }
    waitpid(pid, &status, 0);
    return WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT;
}

static void
release_too_much(struct memory *memory)
{
    memory_charge_held(memory, MEMORY_LINKS, 1);
    memory_release(memory, MEMORY_LINKS, 2);
}

static void
release_too_little(struct memory *memory)
{
    memory_charge_held(memory, MEMORY_LINKS, 1);
    memory_free(memory);
}

static void
test_wrong_balance(void)
{
    CU_ASSERT(aborts(release_too_much));
    CU_ASSERT(aborts(release_too_little));
}

/// The crowd's bodies stop short of their end. Ordinary requests arrive, and
/// must never be refused; the held bytes stay within the share.
static void
test_stopped_bodies_yield(void)
{
    struct eviction_body bodies[CLIENTS + 1] = {0};
    size_t held = 0;
    size_t ordinary_refused = 0;

    bodies[CLIENTS] = (struct eviction_body){.account = 2};
    for (int64_t now_ms = 0; now_ms < STEPS; now_ms++) {
        size_t sender = (size_t)(now_ms * 7) % CLIENTS;

        // Half of the crowd has stopped, the other half goes on.
        sender = now_ms > STEPS / 2 ? sender / 2 : sender;
        bodies[sender].account = 1;
        bodies[sender].held_bytes += 10 * PIECE_BYTES;
        bodies[sender].progress_ms = now_ms;
        held += 10 * PIECE_BYTES;
        bodies[CLIENTS].held_bytes = PIECE_BYTES;
        bodies[CLIENTS].progress_ms = now_ms - now_ms % 100;
        while (held > LIMIT_BYTES) {
            size_t chosen = eviction_choose_body(bodies, CLIENTS + 1);

            CU_ASSERT_FATAL(chosen != EVICTION_NONE);
            ordinary_refused += chosen == CLIENTS;
            held -= bodies[chosen].held_bytes;
            bodies[chosen].held_bytes = 0;
        }
    }
    CU_ASSERT(ordinary_refused == 0);
    CU_ASSERT(held <= LIMIT_BYTES);
    CU_ASSERT(eviction_choose_body(bodies, 0) == EVICTION_NONE);
}

/// Within the account that holds most, the stalled one is refused and not the
/// one that is about to be complete.
static void
test_account_and_progress(void)
{
    const struct eviction_body bodies[] = {
        {1, 900, 500}, {1, 800, 100}, {2, 700, 0}, {1, 50, 0}};

    CU_ASSERT(eviction_choose_body(bodies, 4) == 1);
}

static void
test_connections_yield(void)
{
    struct eviction_connection all[] = {
        {EVICTION_BUSY, 0},           {EVICTION_TRANSFERRING, 900},
        {EVICTION_TRANSFERRING, 700}, {EVICTION_IDLE, 600},
        {EVICTION_UNUSED, 950},       {EVICTION_UNUSED, 940},
    };

    CU_ASSERT(eviction_choose_connection(all, 6, 1000) == 5);
    CU_ASSERT(eviction_choose_connection(all, 4, 1000) == 3);
    CU_ASSERT(eviction_choose_connection(all, 3, 1000) == 2);
    // Requests that are processed or still arrive are left alone.
    CU_ASSERT(eviction_choose_connection(all, 2, 1000) == EVICTION_NONE);
}

void
suite_memory(void)
{
    CU_pSuite suite = CU_add_suite("memory", NULL, NULL);

    CU_add_test(suite, "balance", test_balance);
    CU_add_test(suite, "wrong balance", test_wrong_balance);
    CU_add_test(suite, "stopped bodies yield", test_stopped_bodies_yield);
    CU_add_test(suite, "account and progress", test_account_and_progress);
    CU_add_test(suite, "connections yield", test_connections_yield);
}
