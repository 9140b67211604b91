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
/// Endpoints that faults.c disturbs, then those that become cold, then those
/// that end when their memory is exceeded.
#define SOAK_ORIGINS 4
#define SOAK_ORIGINS_COLD_END 6
#define SOAK_ORIGINS_ALL 8
#define SOAK_COLD_START_MS 4000
/// Low enough that not every router may send to a cold endpoint.
#define SOAK_COLD_PER_S 4.0
#define SOAK_COLD_FACTOR 1.5
#define SOAK_COLD_SLACK 5.0
/// More than the requests that a cold endpoint may receive in a second.
#define SOAK_COLD_COUNTED 16
/// More than the requests that an endpoint with a stated rate may receive in
/// the window of its bound.
#define SOAK_RATE_COUNTED 64
#define SOAK_EVENTS 12
#define SOAK_GRACE_MS 4000
/// Less than one of the long answers.
#define SOAK_MEMORY_MB 16
#define SOAK_CLIENTS 32
/// Memory of an endpoint, as the configuration states it.
#define SOAK_MEMORY_TOKENS 100000
#define SOAK_LEDGER_MAX 60000
/// The zone of the last endpoint, which is evacuated.
#define SOAK_ZONE "y"

struct caller_server;
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
    int64_t cut_ms;       ///< last moment at which the store was cut off
    int64_t frozen_ms;    ///< last pause or resumption
    bool over_memory;     ///< reported
    bool cut;             ///< until the relay forwards again
    unsigned settings_version;
};

/// An endpoint and the relay in front of it.
struct soak_origin {
    struct soak *soak;
    char id[24];
    const char *service;
    const char *zone;
    const char *state;  ///< in its entry; "": none
    int64_t rewrite_ms; ///< writes its entry again after a drill; 0: it has
    struct origin *origin;
    struct relay *relay;  ///< NULL: reached directly
    int64_t cold_from_ms; ///< became cold, or stopped before
    int64_t cold_end_ms;
    bool restarted; ///< when it last became cold
    int64_t next_cold_ms;
    int64_t next_entry_ms;
    unsigned entries; ///< written again; routers ignore an equal one
    int64_t counted[SOAK_COLD_COUNTED]; ///< last requests while cold
    size_t counted_next;
    int64_t fault_end_ms; ///< 0: no fault
    int64_t faulted_ms;
    unsigned incarnation;
    int64_t rate_from_ms; ///< states a rate since then; 0: none
    double rate_per_s;
    unsigned rate_incarnation;
    int64_t rated[SOAK_RATE_COUNTED]; ///< last requests under the rate
    size_t rated_next;
};

/// The store goes back to a copy of itself.
struct soak_drill {
    struct random_seeded seeded;
    struct random_source random; ///< nothing else of a seed depends on it
    int64_t copy_ms;             ///< 0: the copy has been made
    int64_t away_ms;             ///< 0: no drill is planned
    int64_t back_ms;
    int64_t renewal_ms;
    size_t renewals;
    int64_t rewrite_ms; ///< of the operator's records; 0: they are written
    bool is_away;
    uint64_t count;
};

/// A client outside the limits.
struct soak_client {
    int fd; ///< -1: not connected
    bool sent;
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
    /// For the rates, so that nothing else of a seed depends on them.
    struct random_seeded rate_seeded;
    struct random_source rate_random;
    int64_t next_rate_ms;
    uint64_t rates;
    uint64_t rate_requests; ///< received under a rate and counted
    int64_t next_loads_ms;
    int64_t next_evacuation_ms;
    int64_t evacuated_ms; ///< 0: the last zone is not evacuated
    uint64_t evacuations;
    struct soak_client clients[SOAK_CLIENTS];
    struct caller_server *bulk; ///< endpoint with long answers
    int64_t next_client_ms;
    uint64_t bulk_answers;
    long peak_kb; ///< of any router
    uint64_t cold_starts;
    uint64_t cold_requests;   ///< received by cold endpoints and counted
    int64_t store_faulted_ms; ///< last moment of a fault
    struct keyed_store *store;
    enum keyed_store_fault store_fault;
    int64_t store_fault_end_ms;
    struct soak_drill drill;
    char *configuration; ///< last published
    struct soak_router routers[SOAK_ROUTERS];
    struct soak_origin origins[SOAK_ORIGINS_ALL];
    int64_t version;
    int64_t next_fault_ms;
    bool verifying; ///< faults are over, requests must succeed
    unsigned char call_routers[SOAK_LEDGER_MAX]; ///< by the call's number
    char *refused_ids[SOAK_LEDGER_MAX];          ///< must not have run
    size_t refused_count;
    char *at_most_once_ids[SOAK_LEDGER_MAX]; ///< must not run twice
    size_t at_most_once_count;
    uint64_t calls;
    uint64_t served;
    uint64_t verify_calls;
    uint64_t verify_served;
    size_t added_calls;
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
/// `state` is not copied.
void soak_write_entry(struct soak *soak, struct soak_origin *origin,
                      const char *state);
void soak_publish_configuration(struct soak *soak);
/// Whether the last published configuration has the route "/added/".
bool soak_has_added(const struct soak *soak);
/// Publishes one that differs in that route.
void soak_publish_change(struct soak *soak);
void soak_write_evacuation(struct soak *soak);
void soak_replace_origin(struct soak *soak, struct soak_origin *origin);

/// faults.c: injects the next fault when it is due; ends faults that are over.
void soak_inject_fault(struct soak *soak);
void soak_end_faults(struct soak *soak, bool all);

/// drills.c: the store is away and comes back from a copy; what the operator
/// and the endpoints wrote is written again.
void soak_drill(struct soak *soak);
void soak_end_drill(struct soak *soak);
/// Sets the fault of the store while it is not away.
void soak_set_store_fault(struct soak *soak, enum keyed_store_fault fault);

/// variations.c: changes what endpoints and the operator publish, also after
/// the faults have ended.
void soak_vary(struct soak *soak);

/// crowd.c: clients outside the limits; checks the processes' memory.
void soak_crowd_start(struct soak *soak);
void soak_crowd_stop(struct soak *soak);
void soak_crowd_change(struct soak *soak);

/// received.c: checks a request that an endpoint has received.
void soak_check_received(void *origin, const char *id);

/// callers.c: sends a request; checks at the end which requests have run.
void soak_call_start(struct soak *soak);
/// The same to endpoints that become cold, and to those with little memory.
void soak_other_calls_start(struct soak *soak);
void soak_check_ledgers(struct soak *soak);
