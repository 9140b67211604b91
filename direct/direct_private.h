/// State of a direct router, private to the files that implement it.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "core/catalog.h"
#include "core/histogram.h"
#include "core/records.h"
#include "blame.h"
#include "direct.h"

struct admin;
struct builds;
struct caller;
struct caller_server;
struct cold;
struct contexts;
struct endpoints;
struct evacuation;
struct event;
struct exchange;
struct memory;
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
    struct senders *senders;
    struct cold *cold;
    struct early_reports *early_reports;
    struct rate_limits *rate_limits;
    struct evacuation *evacuation;
    struct endpoints *endpoints;
    struct caller_server *callers;
    struct admin *ready;
    struct admin *metrics;
    struct mesh *mesh;
    struct contexts *contexts;
    struct quarantine *quarantine;
    struct blame blame;
    struct services *services;
    struct {
        struct builds *builds;
        uint64_t reads; ///< of the log, begun
        bool is_reading;
        struct stream_batches *batches;
        struct stream_finds *finds;
        struct event *held; ///< when streams that wait for the log go on
        int64_t seen_ms;    ///< when all endpoints were last seen
        uint64_t dropped;   ///< streams, as last logged
    } streams;
    struct exchange_entry *exchanges;
    struct event *tick;
    bool has_configuration; ///< its topic, with the evacuated zones
    bool has_endpoints;
    bool has_all_endpoints; ///< not only those of the first page
    bool waiting_resumed;   ///< waiting requests have been dispatched
    int64_t started_ms;
    bool was_ready;
    int64_t last_tick_ms;
    int64_t store_recovered_ms; ///< end of the last store outage; 0: none yet
    int64_t restored_ms; ///< when the last restore was seen; 0: none yet
    bool draining;
    int64_t drain_ms; ///< when draining began
    double prefill_tokens_per_ms;
    struct memory *memory;
    struct histogram first[ROUTE_KINDS]; ///< ms to the first byte of an answer
    struct histogram total[ROUTE_KINDS]; ///< ms to the end of an answer
};

/// Applies a record that this router or a peer has read.
void direct_apply_record(void *ctx, const struct record *record);

/// Ends the evacuations whose records are still missing after a restore.
void direct_end_lapsed_evacuations(struct direct *direct);

/// The store was restored from an older copy; called before the first record
/// of the new era is applied.
void direct_restored(void *ctx, struct position_era era);

/// Compares the version of a stored configuration with that of another one; 0
/// for other records, and if the stored one was rejected.
int direct_compare_versions(void *ctx, const struct record *a,
                            const struct record *b);

/// Sets the bounds on memory and descriptors that the settings state.
void limits_apply(struct direct *direct);

/// Account of a caller, to choose the request to refuse when memory is short.
uint64_t limits_account(void *ctx, const struct caller *caller);

/// Accepts links from other routers and dials them; does nothing and returns
/// true if no links are configured. False with `err` set if the address cannot
/// be bound.
bool peers_start(struct direct *direct, struct err *err);

/// Publishes the address where this router accepts links.
void peers_announce(struct direct *direct);

/// Applies what peers have reported about endpoints that this router did not
/// know. Call after a change of the endpoints or of the configuration.
void peers_apply_early_reports(struct direct *direct);

/// Serves readiness, status and metrics; NULL with `err` set if the address
/// cannot be bound.
struct admin *metrics_listen(struct direct *direct,
                             const struct address *address, struct err *err);
