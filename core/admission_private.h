/// The state of core/admission.
#pragma once

#include <uthash.h>

#include "admission.h"
#include "decay.h"

/// Sums over the window.
struct sums {
    double offered;
    double admitted;
    double tokens; ///< of the admitted prompts
};

struct peer_sums {
    uint64_t peer;
    struct sums sums;
    int64_t received_ms;
    struct peer_sums *next;
};

/// An account's requests to one service with one priority.
struct account {
    uint64_t hash;
    struct str name; ///< empty until this router has a request of it
    struct decaying_count offered;
    struct decaying_count admitted;
    struct decaying_count tokens;
    struct decaying_count considered; ///< requests that are not late
    struct decaying_count preferred;  ///< returning and large ones of them
    struct decaying_count preferred_refused;
    struct peer_sums *peers;
    struct sums all; ///< own and peers' sums, as of the last level
    double demand;   ///< offered, weighted by the cost
    uint64_t refused[ADMISSION_REASON_END];
    int64_t used_ms;
    UT_hash_handle hh;
};

/// The accounts that share the capacity left to a service and priority.
struct group {
    uint64_t hash;
    struct str service; ///< empty until this router has a request of it
    uint32_t priority;
    struct account *accounts;
    double refused_share; ///< by core/shed
    double level;         ///< demand up to which requests are admitted
    double demand;        ///< of all accounts
    size_t active;        ///< accounts with a demand
    int64_t level_ms;     ///< when it was computed
    bool level_valid;
    int64_t used_ms;
    UT_hash_handle hh;
};

struct route {
    struct str name;
    double large_tokens; ///< estimate of the quantile
    int64_t used_ms;
    UT_hash_handle hh;
};

struct admission {
    struct admission_options options;
    struct group *groups;
    struct route *routes;
    size_t account_count;
    int64_t received_ms; ///< of the last report; -1: none
    int64_t next_tick_ms;
};

/// Identifies the group of accounts that the request belongs to.
uint64_t admission_group_hash(const struct admission_request *request);
