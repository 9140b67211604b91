/// Controller that stores claims on the platform's log. Keys are split into
/// shards with one stream each; a stream is opened on the first use of one of
/// its keys.
#pragma once

#include "dandelionvalve/claim.h"
#include "dandelionvalve/counter.h"

struct claimlog;
struct event_base;
struct platform;

struct claimlog_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct platform *platform;
    struct counters *counters;
    struct str environment;
    uint32_t shards;
    int64_t window_ms;
    void (*decided)(void *ctx, void *request,
                    const struct claim_decision *decision);
    void *ctx;
};

/// The caller frees with claimlog_free().
struct claimlog *claimlog_new(const struct claimlog_options *options);
void claimlog_free(struct claimlog *claimlog);

void claimlog_set_window(struct claimlog *claimlog, int64_t window_ms);

/// Call the functions of claim.h for the shard of the key.
void claimlog_begin(struct claimlog *claimlog,
                    const struct claim_request *request);
void claimlog_withdraw(struct claimlog *claimlog, struct str key,
                       const void *request);
void claimlog_finish(struct claimlog *claimlog, struct str key,
                     const void *request, const struct claim_answer *answer);
void claimlog_release(struct claimlog *claimlog, struct str key,
                      const void *request);
