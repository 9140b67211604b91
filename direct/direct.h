/// A router that calls endpoints itself, without an agent beside each. Its
/// state comes from the platform's store and from the other routers.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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

/// What a router asks of the client of the platform's store.
struct direct_store {
    /// Starts to read; `caught_up` is direct_topic_caught_up() of the router.
    void *(*start)(void *ctx, struct direct *direct, struct records *records);
    void (*stop)(void *store);
    /// Tells other routers where this one takes links.
    void (*announce)(void *store, struct str key, struct str value);
    bool (*is_reachable)(const void *store, enum record_topic topic);
    bool (*is_failing)(const void *store, enum record_topic topic);
    /// Peers read the topic for this router, or no longer do.
    void (*set_reading)(void *store, enum record_topic topic, bool reading);
    /// Peers tell of what reads of the topic miss, or no longer do.
    void (*set_long_wait)(void *store, enum record_topic topic,
                          bool long_wait);
    void *ctx;
};

struct direct_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    const struct settings_direct *settings; ///< must outlive the router
    const struct wire *wire;
    const struct direct_store *store;
    struct counters *counters;
    uint64_t incarnation;
    /// All work is done after direct_drain().
    void (*drained)(void *ctx);
    void *ctx;
};

/// NULL with `err` set if an address cannot be bound.
struct direct *direct_new(const struct direct_options *options,
                          struct err *err);
void direct_free(struct direct *direct);

/// Fails readiness at once and ends when the last answer is out.
void direct_drain(struct direct *direct);

/// The settings file has changed; what can be taken without a restart is.
void direct_reload(struct direct *direct,
                   const struct settings_direct *settings);

/// A topic has been read to its end, after `outage_ms` without the store.
void direct_topic_caught_up(struct direct *direct, enum record_topic topic,
                            int64_t outage_ms);

/// The store answers again, before what it says is taken: entries that are
/// missing from it may have lapsed meanwhile.
void direct_store_recovered(struct direct *direct);

/// New records of a topic have been read.
void direct_records_read(struct direct *direct, enum record_topic topic);

bool direct_is_ready(const struct direct *direct);
struct address direct_callers_address(const struct direct *direct);
struct address direct_ready_address(const struct direct *direct);
