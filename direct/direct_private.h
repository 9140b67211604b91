/// The router's own state, shared by the files that make it up.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "core/catalog.h"
#include "core/histogram.h"
#include "core/records.h"
#include "direct.h"

struct admin;
struct caller_server;
struct contexts;
struct endpoints;
struct event;
struct exchange;
struct mesh;
struct quarantine;
struct services;

#define ROUTE_KINDS (ROUTE_RESUMABLE + 1)

struct exchange_entry {
    struct exchange *exchange;
    UT_hash_handle hh;
};

struct direct {
    struct direct_options options;
    struct settings_direct settings; ///< as of the last reload
    char *name;
    struct records *records;
    void *store;
    struct catalog *catalog;
    struct endpoints *endpoints;
    struct caller_server *callers;
    struct admin *ready;
    struct admin *metrics;
    struct mesh *mesh;
    struct contexts *contexts;
    struct quarantine *quarantine;
    struct services *services;
    struct exchange_entry *exchanges;
    struct event *tick;
    bool has_endpoints;
    bool waiting_resumed; ///< requests that waited for knowledge have gone on
    int64_t started_ms;
    bool was_ready;
    int64_t last_tick_ms;
    int64_t
        store_recovered_ms; ///< when the store last came back; 0: never away
    bool draining;
    int64_t drain_ms; ///< when draining began
    double prefill_tokens_per_ms;
    struct histogram first[ROUTE_KINDS]; ///< to the first byte of an answer
    struct histogram total[ROUTE_KINDS];
};

/// A record has been read, by this router or a peer.
void direct_apply_record(void *ctx, const struct record *record);

/// Takes links from other routers and dials them; true if links are not set
/// up at all. False with `err` set if the address cannot be bound.
bool peers_start(struct direct *direct, struct err *err);

/// Tells where other routers find this one.
void peers_announce(struct direct *direct);

/// Serves readiness, status and metrics; NULL with `err` set if the address
/// cannot be bound.
struct admin *metrics_listen(struct direct *direct,
                             const struct address *address, struct err *err);
