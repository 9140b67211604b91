/// Access to the state of a direct router for the files that handle requests.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/catalog.h"
#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"

struct cold;
struct direct;
struct endpoint;
struct endpoints;
struct event_base;
struct exchange;
struct quarantine;
struct rate_limits;
struct retry_budget;
struct services;
struct settings_direct;

/// The configuration in force; NULL until one is received.
struct catalog *direct_catalog(const struct direct *direct);
struct endpoints *direct_endpoints(const struct direct *direct);
struct cold *direct_cold(const struct direct *direct);
struct rate_limits *direct_rate_limits(const struct direct *direct);

/// True once configuration and endpoints have been received.
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

/// The retry budget of a service, created on first use.
struct retry_budget *direct_retry_budget(struct direct *direct,
                                         struct str service);

struct services *direct_services(const struct direct *direct);

/// Reports to the peers that the endpoint is caching the shared parts of this
/// prompt.
void direct_share_placement(struct direct *direct,
                            const struct endpoint *endpoint,
                            const struct prefix *prefix);

/// Reports to the peers that the endpoint accepts no connections.
/// An endpoint states its load; the other routers are told if it is busy and
/// they cannot know.
void direct_share_stated_load(struct direct *direct, struct endpoint *endpoint,
                              uint32_t load);

void direct_report_down(struct direct *direct,
                        const struct endpoint *endpoint);

/// Reports to the peers that the endpoint fails its requests.
void direct_report_failing(struct direct *direct,
                           const struct endpoint *endpoint);

/// Counts a crash of an endpoint against the request that it ran, and reports
/// it to the peers.
void direct_record_strike(struct direct *direct, uint64_t fingerprint,
                          uint32_t crash_id);

/// Number of routers of the deployment, this one included, but no less than a
/// minimum that is assumed while links are set up.
size_t direct_router_count(const struct direct *direct);

/// Share of the routers whose requests in flight are reported to this one,
/// itself included.
double direct_known_share(const struct direct *direct);

/// Prefill speed of the endpoints, averaged over the samples of answers.
double direct_prefill_tokens_per_ms(const struct direct *direct);
void direct_record_prefill(struct direct *direct, uint32_t tokens, int64_t ms);

/// Charges bytes of an answer that is buffered, if need be by disconnecting
/// callers that do not read; false if there is no room. Bytes that must be
/// kept are charged also beyond the limit.
bool direct_charge_buffered(struct direct *direct, size_t bytes,
                            bool must_keep);
void direct_release_buffered(struct direct *direct, size_t bytes);

void direct_add_exchange(struct direct *direct, struct exchange *exchange);
void direct_remove_exchange(struct direct *direct, struct exchange *exchange);

/// Records the milliseconds from a request's first byte to the first byte and
/// to the end of its answer.
void direct_record_latency(struct direct *direct, enum route_kind kind,
                           int64_t first_ms, int64_t total_ms);
