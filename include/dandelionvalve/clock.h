/// Interfaces of the clock and the random source, which tests replace.
#pragma once

#include <stdint.h>
#include <time.h>

/// Monotonic clock, or one of Unix time; `ctx` is owned by the caller.
struct clock {
    struct timespec (*now)(void *ctx);
    void *ctx;
};

/// Milliseconds on the clock.
int64_t clock_ms(const struct clock *clock);

/// Microseconds on the clock.
int64_t clock_us(const struct clock *clock);

/// The machine's monotonic clock.
extern const struct clock clock_monotonic;

/// The machine's clock of Unix time, which may be set.
extern const struct clock clock_realtime;

/// The state of a clock that a test or a measurement sets; microseconds.
struct manual_clock {
    int64_t now_us;
};

/// A clock that returns the time in `manual`, which must outlive it.
struct clock manual_clock_interface(struct manual_clock *manual);

/// A source of uniformly distributed 64-bit numbers; `ctx` is owned by the
/// caller.
struct random_source {
    uint64_t (*next)(void *ctx);
    void *ctx;
};

uint64_t random_next(const struct random_source *random);

/// Uniform in [0, bound); 0 if bound is 0.
uint64_t random_below(const struct random_source *random, uint64_t bound);

/// Uniform in [0, 1).
double random_unit(const struct random_source *random);

/// The system's cryptographic random source.
extern const struct random_source random_system;

/// The state of a seeded generator, which returns the same numbers on every
/// machine.
struct random_seeded {
    uint64_t state;
};

/// A source that uses the state in `seeded`, which must outlive it.
struct random_source random_seeded_interface(struct random_seeded *seeded);
