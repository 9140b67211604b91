/// A router that sends requests to endpoints directly, without an agent beside
/// each. It receives configuration and entries of endpoints from the
/// platform's store and from the other routers.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "core/readers.h"
#include "core/records.h"
#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "net/address.h"
#include "net/link.h"
#include "daemon/settings.h"

struct direct;
struct event_base;
struct exchange;
struct memory;

/// Interface to the client of the platform's store.
struct direct_store {
    /// Starts to read all topics into `records`. Reports by
    /// direct_topic_caught_up(), direct_store_recovered() and
    /// direct_records_read().
    void *(*start)(void *ctx, struct direct *direct, struct records *records);
    void (*stop)(void *store);
    /// Publishes the address where this router accepts links.
    void (*announce)(void *store, struct str key, struct str value);
    bool (*is_reachable)(const void *store, enum record_topic topic);
    bool (*is_failing)(const void *store, enum record_topic topic);
    /// Sets whether and how this router reads the store for all.
    void (*set_role)(void *store, enum readers_role role);
    /// Reads the new records of a topic once, without a wait; reports a
    /// failure by direct_fetch_failed().
    void (*fetch)(void *store, enum record_topic topic);
    /// Peers have sent newer records than a read in progress begins at.
    void (*catch_up)(void *store, enum record_topic topic);
    /// The store was restored from an older copy.
    void (*restored)(void *store, struct position_era era);
    /// Appends a batch, which is copied, to the log of streams, one at a time;
    /// reports by direct_streams_appended().
    void (*append_streams)(void *store, struct str batch);
    /// Reads the new records of that log to its end, once and without a wait;
    /// reports by direct_apply_streams() and direct_streams_read().
    void (*read_streams)(void *store);
    /// Prints metrics of the calls to the store.
    void (*print)(const void *store, FILE *out);
    void *ctx;
};

struct direct_options {
    struct event_base *base;
    const struct clock *clock;
    const struct clock *wall_clock; ///< Unix time
    const struct random_source *random;
    const struct settings_direct *settings; ///< must outlive the router
    const struct wire *wire;
    const struct direct_store *store;
    struct counters *counters;
    uint64_t incarnation;
    /// The router has drained after direct_drain(), or its grace time is over.
    void (*drained)(void *ctx);
    void *ctx;
};

/// NULL with `err` set if an address cannot be bound.
struct direct *direct_new(const struct direct_options *options,
                          struct err *err);
void direct_free(struct direct *direct);

/// Fails readiness at once. `drained` is called when the last answer has been
/// sent, or shortly before the end of the grace time.
void direct_drain(struct direct *direct);

/// Applies changed settings, except those that need a restart.
void direct_reload(struct direct *direct,
                   const struct settings_direct *settings);

/// A topic has been read to its end, `outage_ms` after its reads began to
/// fail; 0: they have not failed.
void direct_topic_caught_up(struct direct *direct, enum record_topic topic,
                            int64_t outage_ms);

/// Part of a topic has been listed; the rest follows. Requests are served with
/// the endpoints that are known by then.
void direct_topic_partly_listed(struct direct *direct,
                                enum record_topic topic);

/// The store answers again; called before its records are applied, since
/// entries that are missing from it may have lapsed in the outage.
void direct_store_recovered(struct direct *direct);

/// The read that `fetch` began has failed.
void direct_fetch_failed(struct direct *direct, enum record_topic topic);

/// New records of a topic have been read.
void direct_records_read(struct direct *direct, enum record_topic topic);

/// The batch of streams that was to be appended is in the log, or is not.
void direct_streams_appended(struct direct *direct, bool done);

/// A record of the log of streams has been read.
void direct_apply_streams(struct direct *direct, struct str batch);

/// The log of streams has been read to its end, or the read has failed.
void direct_streams_read(struct direct *direct, bool at_end);

/// The account of what the process holds for clients and peers.
struct memory *direct_memory(const struct direct *direct);

bool direct_is_ready(const struct direct *direct);
struct address direct_callers_address(const struct direct *direct);
struct address direct_ready_address(const struct direct *direct);
