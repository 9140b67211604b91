/// Randomized soak test: router processes, stand-ins for the store and the
/// endpoints, and injected faults. Checks invariants from the responses that
/// callers receive and the requests that endpoints have run.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "dandelionvalve/clock.h"
#include "net/address.h"
#include "net/channel.h"
#include "standin/keyed_store.h"
#include "standin/origin.h"
#include "standin/relay.h"

#define SOAK_ROUTERS 4
#define SOAK_ORIGINS 4
#define SOAK_EVENTS 12
#define SOAK_GRACE_MS 4000
#define SOAK_LEDGER_MAX 60000

struct event;
struct event_base;
struct soak_call;

/// A router process and the relay between it and the store.
struct soak_router {
    char name[16];
    char settings_file[256];
    struct address callers;
    struct address ready;
    struct address links;
    struct relay *store;
    struct channel_pool *pool;
    pid_t pid; ///< 0: not running
    bool paused;
    bool terminating;
    bool killed;
    int64_t resume_ms;
    int64_t restart_ms;
    int64_t sigterm_ms;
    int64_t disrupted_ms; ///< last kill, pause, resumption or start
    unsigned settings_version;
};

/// An endpoint and the relay in front of it.
struct soak_origin {
    char id[24];
    const char *service;
    struct origin *origin;
    struct relay *relay;
    int64_t fault_end_ms; ///< 0: no fault
    int64_t faulted_ms;
    unsigned incarnation;
};

struct soak {
    struct event_base *base;
    const char *program; ///< executable of a router
    const char *dir;     ///< of settings and logs
    struct random_seeded seeded;
    struct random_source random;
    /// For what is not a fault: the faults of a seed do not depend on it.
    struct random_seeded other_seeded;
    struct random_source other_random;
    int64_t next_loads_ms;
    struct keyed_store *store;
    int64_t store_fault_end_ms;
    struct soak_router routers[SOAK_ROUTERS];
    struct soak_origin origins[SOAK_ORIGINS];
    int64_t version;
    int64_t next_fault_ms;
    bool verifying; ///< faults are over, requests must succeed
    char *refused_ids[SOAK_LEDGER_MAX]; ///< must not have run
    size_t refused_count;
    char *at_most_once_ids[SOAK_LEDGER_MAX]; ///< must not run twice
    size_t at_most_once_count;
    uint64_t calls;
    uint64_t served;
    uint64_t verify_calls;
    uint64_t verify_served;
    uint64_t faults;
    uint64_t in_flight;
    uint64_t violations;
};

int64_t soak_now(void);

/// Reports a violated invariant.
void soak_violation(struct soak *soak, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/// fleet.c: starts the processes and stand-ins; restarts and resumes routers.
void soak_start(struct soak *soak);
void soak_stop(struct soak *soak);
void soak_supervise(struct soak *soak);
void soak_signal(struct soak *soak, struct soak_router *router, int number);
void soak_write_settings(struct soak *soak, struct soak_router *router);
void soak_write_entry(struct soak *soak, const struct soak_origin *origin,
                      const char *state);
void soak_publish_configuration(struct soak *soak);
void soak_replace_origin(struct soak *soak, struct soak_origin *origin);

/// faults.c: injects the next fault when it is due; ends faults that are over.
void soak_inject_fault(struct soak *soak);
void soak_end_faults(struct soak *soak, bool all);

/// variations.c: changes what endpoints and the operator publish, also after
/// the faults have ended.
void soak_vary(struct soak *soak);

/// callers.c: sends a request; checks at the end which requests have run.
void soak_call_start(struct soak *soak);
void soak_check_ledgers(struct soak *soak);
