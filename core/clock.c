#include "dandelionvalve/clock.h"

#include <stddef.h>

#include <sodium.h>

int64_t
clock_us(const struct clock *clock)
{
    struct timespec now = clock->now(clock->ctx);

    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
clock_ms(const struct clock *clock)
{
    return clock_us(clock) / 1000;
}

static struct timespec
monotonic_now(void *ctx)
{
    struct timespec now;

    (void)ctx;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now;
}

const struct clock clock_monotonic = {.now = monotonic_now};

static struct timespec
realtime_now(void *ctx)
{
    struct timespec now;

    (void)ctx;
    clock_gettime(CLOCK_REALTIME, &now);
    return now;
}

const struct clock clock_realtime = {.now = realtime_now};

static struct timespec
manual_now(void *ctx)
{
    const struct manual_clock *manual = ctx;

    return (struct timespec){
        .tv_sec = manual->now_us / 1000000,
        .tv_nsec = manual->now_us % 1000000 * 1000,
    };
}

struct clock
manual_clock_interface(struct manual_clock *manual)
{
    return (struct clock){.now = manual_now, .ctx = manual};
}

uint64_t
random_next(const struct random_source *random)
{
    return random->next(random->ctx);
}

uint64_t
random_below(const struct random_source *random, uint64_t bound)
{
    return bound == 0 ? 0 : random_next(random) % bound;
}

double
random_unit(const struct random_source *random)
{
    return (double)(random_next(random) >> 11) / 9007199254740992.0;
}

static uint64_t
system_next(void *ctx)
{
    uint64_t value;

    (void)ctx;
    randombytes_buf(&value, sizeof(value));
    return value;
}

const struct random_source random_system = {.next = system_next};

// SplitMix64: one addition and a mixing function, full period.
static uint64_t
seeded_next(void *ctx)
{
    struct random_seeded *seeded = ctx;
    uint64_t z = seeded->state += 0x9e3779b97f4a7c15U;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
}

struct random_source
random_seeded_interface(struct random_seeded *seeded)
{
    return (struct random_source){.next = seeded_next, .ctx = seeded};
}
