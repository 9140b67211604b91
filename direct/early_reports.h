/// Reports of peers about endpoints whose entries this router has not received
/// yet.
///
/// A router that starts is linked, and told what holds, a moment before it
/// receives the endpoints. The reports are kept until the endpoint is known.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"

/// Reports that are kept at most; further ones are dropped.
#define EARLY_REPORTS_MAX 2048
/// Time for which a report is kept.
#define EARLY_REPORTS_MS 10000

struct early_reports;

/// The caller frees with early_reports_free().
struct early_reports *early_reports_new(const struct clock *clock);
void early_reports_free(struct early_reports *reports);

/// An endpoint states a rate.
void early_reports_add_rate(struct early_reports *reports,
                            const struct message_rate *rate);

/// An endpoint refuses connections.
void early_reports_add_down(struct early_reports *reports, uint64_t endpoint);

/// Called for each report; true if the endpoint is known, so that the report
/// is not needed any more. `rate` is NULL for one that refuses connections.
typedef bool early_reports_apply_fn(void *ctx, uint64_t endpoint,
                                    const struct message_rate *rate);

/// Passes the reports to `apply`.
void early_reports_apply(struct early_reports *reports,
                         early_reports_apply_fn *apply, void *ctx);
