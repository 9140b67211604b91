/// Stand-in for a model engine: continuous batching, a prefix cache, lagging
/// load reports, and failures on demand.
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
    ENGINE_CRASH, ///< closes everything and is started anew after a while
    ENGINE_HANG,  ///< takes connections, but answers nothing
    ENGINE_SLOW,  ///< ten times slower
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
    int64_t weight_loads_per_s; ///< of the weight store; 0 for no limit
};

/// What the engine has really run; tests judge by it.
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
    uint64_t orders_below_fence; ///< taken below the highest number seen
};

struct engine *engine_new(const struct engine_options *options,
                          struct err *err);
void engine_free(struct engine *engine);
struct address engine_address(const struct engine *engine);
void engine_set_fault(struct engine *engine, enum engine_fault fault);
const struct engine_ledger *engine_ledger(const struct engine *engine);
