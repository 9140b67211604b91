/// What the parts of a direct router ask of it.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"

struct direct;
struct endpoint;
struct endpoints;
struct event_base;
struct exchange;
struct quarantine;
struct retry_budget;
struct services;
struct settings_direct;

/// The configuration in force, or NULL before one is known.
struct catalog *direct_catalog(const struct direct *direct);
struct endpoints *direct_endpoints(const struct direct *direct);

/// True once configuration and endpoints are known.
bool direct_has_deployment(const struct direct *direct);

/// Milliseconds since the start.
int64_t direct_age_ms(const struct direct *direct);
const struct clock *direct_clock(const struct direct *direct);
const struct random_source *direct_random(const struct direct *direct);
const struct wire *direct_wire(const struct direct *direct);
struct counters *direct_counters(const struct direct *direct);
struct event_base *direct_base(const struct direct *direct);
const struct settings_direct *direct_settings(const struct direct *direct);
struct quarantine *direct_quarantine(const struct direct *direct);

/// The retry budget of a service, made if it is new.
struct retry_budget *direct_retry_budget(struct direct *direct,
                                         struct str service);

struct services *direct_services(const struct direct *direct);

/// The endpoint begins to keep what this prompt shares with others.
void direct_share_placement(struct direct *direct,
                            const struct endpoint *endpoint,
                            const struct prefix *prefix);

/// The endpoint takes no connections: told to the peers.
void direct_report_unreachable(struct direct *direct,
                               const struct endpoint *endpoint);

/// A request crashed its endpoint: counted here and told to the peers.
void direct_record_strike(struct direct *direct, uint64_t fingerprint,
                          uint32_t death);

/// Routers of the deployment, this one included, as far as they are linked.
size_t direct_router_count(const struct direct *direct);

/// Reading speed of a service's endpoints, learned from answers.
double direct_prefill_tokens_per_ms(const struct direct *direct);
void direct_record_prefill(struct direct *direct, uint32_t tokens, int64_t ms);

void direct_add_exchange(struct direct *direct, struct exchange *exchange);
void direct_remove_exchange(struct direct *direct, struct exchange *exchange);

/// Milliseconds from a request's first byte to the first byte and to the end
/// of its answer, by the kind of its route.
void direct_record_latency(struct direct *direct, enum route_kind kind,
                           int64_t first_ms, int64_t total_ms);
