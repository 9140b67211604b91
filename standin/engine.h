/// Stand-in for a model engine: continuous batching, a prefix cache, load
/// reports that are up to a second old, and injected faults.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/err.h"
#include "net/address.h"

struct engine;
struct event_base;

enum engine_fault {
    ENGINE_OK,
    ENGINE_CRASH, ///< closes all connections, restarts after restart_ms
    ENGINE_HANG,  ///< accepts connections, does not answer calls
    ENGINE_SLOW,  ///< prefill and decoding take ten times as long
};

struct engine_options {
    struct event_base *base;
    const struct clock *clock;
    struct str name;
    struct address address;
    int64_t slots;
    int64_t prefill_us_per_token;
    int64_t decode_us_per_token;
    int64_t cache_tokens;
    int64_t restart_ms;
    bool checks_fencing;
    int64_t weight_loads_per_s; ///< rate limit of the weight store; 0: none
};

/// Counters of what the engine has run, for the checks of tests.
struct engine_ledger {
    uint64_t started;
    uint64_t finished;
    uint64_t cancelled;
    uint64_t crashes;
    uint64_t prompt_tokens;
    uint64_t cached_tokens;
    uint32_t running;
    uint32_t running_max;
    uint64_t orders;
    uint64_t orders_refused;
    uint64_t orders_below_fence; ///< accepted with a fence below the highest
};

struct engine *engine_new(const struct engine_options *options,
                          struct err *err);
void engine_free(struct engine *engine);
struct address engine_address(const struct engine *engine);
void engine_set_fault(struct engine *engine, enum engine_fault fault);
const struct engine_ledger *engine_ledger(const struct engine *engine);
