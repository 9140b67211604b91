#include "claimlog.h"

#include <stdlib.h>

#include <event2/event.h>

#include "core/xmalloc.h"
#include "net/log.h"
#include "net/platform.h"

#define LOG_MODULE "claimlog"
#define CLAIM_WAIT_MS 5000
#define APPEND_INTERVAL_MS 10
#define BATCH_MAX 500
#define ANSWER_BYTES_MAX 8192
#define PAGE_RECORDS 1000
#define POLL_WAIT_MS 5000
#define READ_RETRY_MS 200
#define TICK_MS 10

struct shard {
    struct claimlog *claimlog;
    struct claims *claims;
    struct str stream;
    struct event *read_timer;
    struct event *tick_timer;
    bool caught_up;
};

struct claimlog {
    struct claimlog_options options;
    struct shard *shards;
};

static void
on_appended(void *ctx, enum platform_status status, int64_t offset)
{
    static const enum claim_append_status statuses[] = {
        [PLATFORM_OK] = CLAIM_APPEND_OK,
        [PLATFORM_NOT_EXECUTED] = CLAIM_APPEND_REFUSED,
        [PLATFORM_UNKNOWN] = CLAIM_APPEND_UNKNOWN,
    };
    struct shard *shard = ctx;

    claim_appended(shard->claims, statuses[status], offset);
}

static void
append(void *ctx, struct str record)
{
    struct shard *shard = ctx;
    const struct claimlog_options *options = &shard->claimlog->options;

    counter_add(options->counters, COUNTER_CLAIM_APPENDS, 1);
    platform_append(options->platform, shard->stream, record, on_appended,
                    shard);
}

static void
decided(void *ctx, void *request, const struct claim_decision *decision)
{
    struct shard *shard = ctx;
    const struct claimlog_options *options = &shard->claimlog->options;

    options->decided(options->ctx, request, decision);
}

static void
schedule_read(struct shard *shard, int64_t delay_ms)
{
    const struct timeval delay = {.tv_usec = delay_ms * 1000};

    event_add(shard->read_timer, &delay);
}

static void
on_page(void *ctx, const struct platform_page *page)
{
    struct shard *shard = ctx;

    if (page == NULL) {
        schedule_read(shard, READ_RETRY_MS);
        return;
    }
    claim_set_log_start(shard->claims, page->first, page->retention_ms);
    for (size_t i = 0; i < page->count; i++) {
        claim_apply_record(shard->claims, page->records[i].offset,
                           page->records[i].time_ms, page->records[i].data);
    }
    shard->caught_up = claim_next_offset(shard->claims) >= page->end;
    if (shard->caught_up) {
        claim_caught_up(shard->claims, page->now_ms);
    }
    claim_tick(shard->claims);
    schedule_read(shard, 0);
}

static void
on_read_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct shard *shard = ctx;

    (void)fd;
    (void)events;
    platform_read(shard->claimlog->options.platform, shard->stream,
                  claim_next_offset(shard->claims), PAGE_RECORDS,
                  shard->caught_up ? POLL_WAIT_MS : 0, on_page, shard);
}

static void
on_tick(evutil_socket_t fd, short events, void *ctx)
{
    struct shard *shard = ctx;

    (void)fd;
    (void)events;
    claim_tick(shard->claims);
}

static void
shard_open(struct claimlog *claimlog, struct shard *shard, size_t index)
{
    static const struct timeval tick = {.tv_usec = TICK_MS * 1000};
    const struct claimlog_options *options = &claimlog->options;
    const struct claim_options claims = {
        .clock = options->clock,
        .random = options->random,
        .window_ms = options->window_ms,
        .wait_ms = CLAIM_WAIT_MS,
        .append_interval_ms = APPEND_INTERVAL_MS,
        .batch_max = BATCH_MAX,
        .answer_bytes_max = ANSWER_BYTES_MAX,
        .append = append,
        .decided = decided,
        .ctx = shard,
    };

    shard->claimlog = claimlog;
    shard->claims = claims_new(&claims);
    shard->stream = str_from(xasprintf("claims." STR_FMT ".%zu",
                                       STR_ARG(options->environment), index));
    shard->read_timer = event_new(options->base, -1, 0, on_read_timer, shard);
    shard->tick_timer =
        event_new(options->base, -1, EV_PERSIST, on_tick, shard);
    if (shard->read_timer == NULL || shard->tick_timer == NULL) {
        BUG("out of memory");
    }
    event_add(shard->tick_timer, &tick);
    schedule_read(shard, 0);
    LOG_INFO("event=claims-shard-open stream=" STR_FMT,
             STR_ARG(shard->stream));
}

static struct shard *
shard_of(struct claimlog *claimlog, struct str key)
{
    size_t index = str_hash(key, 0) % claimlog->options.shards;
    struct shard *shard = &claimlog->shards[index];

    if (shard->claims == NULL) {
        shard_open(claimlog, shard, index);
    }
    return shard;
}

struct claimlog *
claimlog_new(const struct claimlog_options *options)
{
    struct claimlog *claimlog = xcalloc(1, sizeof(*claimlog));

    claimlog->options = *options;
    claimlog->shards = xcalloc(options->shards, sizeof(*claimlog->shards));
    return claimlog;
}

void
claimlog_free(struct claimlog *claimlog)
{
    if (claimlog == NULL) {
        return;
    }
    for (size_t i = 0; i < claimlog->options.shards; i++) {
        struct shard *shard = &claimlog->shards[i];

        if (shard->claims != NULL) {
            event_free(shard->read_timer);
            event_free(shard->tick_timer);
            claims_free(shard->claims);
            free((char *)shard->stream.data);
        }
    }
    free(claimlog->shards);
    free(claimlog);
}

void
claimlog_set_window(struct claimlog *claimlog, int64_t window_ms)
{
    claimlog->options.window_ms = window_ms;
    for (size_t i = 0; i < claimlog->options.shards; i++) {
        if (claimlog->shards[i].claims != NULL) {
            claims_set_window(claimlog->shards[i].claims, window_ms);
        }
    }
}

void
claimlog_begin(struct claimlog *claimlog, const struct claim_request *request)
{
    counter_add(claimlog->options.counters, COUNTER_CLAIMS, 1);
    claim_begin(shard_of(claimlog, request->key)->claims, request);
}

void
claimlog_withdraw(struct claimlog *claimlog, struct str key,
                  const void *request)
{
    claim_withdraw(shard_of(claimlog, key)->claims, request);
}

void
claimlog_finish(struct claimlog *claimlog, struct str key, const void *request,
                const struct claim_answer *answer)
{
    claim_finish(shard_of(claimlog, key)->claims, request, answer);
}

void
claimlog_release(struct claimlog *claimlog, struct str key,
                 const void *request)
{
    claim_release(shard_of(claimlog, key)->claims, request);
}
