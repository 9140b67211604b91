#include "configuration.h"

#include <stdlib.h>

#include <event2/event.h>

#include "core/xmalloc.h"
#include "net/log.h"
#include "net/platform.h"

#define LOG_MODULE "configuration"
#define POLL_WAIT_MS 10000
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 3000
#define PAGE_RECORDS 100

// A snapshot is appended at a random age of the anchor record, between these
// shares of the retention, so that only one or two of many daemons append it.
#define SNAPSHOT_AGE_MIN_SHARE 0.5
#define SNAPSHOT_AGE_MAX_SHARE 0.8

struct configuration {
    struct configuration_options options;
    struct history *history;
    struct str stream;
    struct event *timer;
    bool caught_up;
    bool refreshing;
    int64_t current_at_ms; ///< start of the last read that reached the end
    int64_t poll_begun_ms;
    int64_t refresh_begun_ms;
    bool log_down;
    int64_t retry_ms;
    double snapshot_age_share;
    int64_t snapshot_anchor;
    int64_t anchor_read_ms; ///< time at which `anchor_age_ms` was read
    int64_t anchor_age_ms;
    int64_t anchor_offset;
};

struct str
configuration_stream(struct str environment)
{
    return str_from(xasprintf("conf." STR_FMT, STR_ARG(environment)));
}

static void start_poll(struct configuration *configuration);

static void
schedule_poll(struct configuration *configuration, int64_t delay_ms)
{
    const struct timeval delay = {
        .tv_sec = delay_ms / 1000,
        .tv_usec = delay_ms % 1000 * 1000,
    };

    event_add(configuration->timer, &delay);
}

static void
report_change(struct configuration *configuration, const char *source)
{
    const struct configuration_options *options = &configuration->options;
    int64_t version = history_version(configuration->history);

    counter_add(options->counters, COUNTER_CONF_ACCEPTED, 1);
    counter_set(options->counters, COUNTER_CONF_VERSION, (uint64_t)version);
    LOG_INFO("event=configuration-in-force version=%lld source=%s",
             (long long)version, source);
    options->changed(options->ctx, history_conf(configuration->history),
                     version);
}

static void
apply_record(struct configuration *configuration,
             const struct platform_record *record)
{
    struct err err = {0};
    enum history_verdict verdict = history_apply(
        configuration->history, record->offset, record->data, &err);

    if (verdict == HISTORY_LOST_RACE || verdict == HISTORY_BAD_DOCUMENT ||
        verdict == HISTORY_MALFORMED) {
        counter_add(configuration->options.counters, COUNTER_CONF_REJECTED, 1);
        LOG_WARNING("event=configuration-rejected offset=%lld verdict=%s "
                    "reason=\"%s\"",
                    (long long)record->offset, history_verdict_name(verdict),
                    err.message);
    }
}

/// Stores the age of the anchor record, from which a new reader can start.
static void
set_anchor_age(struct configuration *configuration,
               const struct platform_page *page)
{
    int64_t anchor = history_anchor_offset(configuration->history);

    for (size_t i = 0; i < page->count; i++) {
        if (page->records[i].offset >= anchor &&
            configuration->anchor_offset < anchor) {
            configuration->anchor_offset = anchor;
            configuration->anchor_age_ms =
                page->now_ms - page->records[i].time_ms;
            configuration->anchor_read_ms =
                clock_ms(configuration->options.clock);
        }
    }
}

static void
on_snapshot_appended(void *ctx, enum platform_status status, int64_t offset)
{
    struct configuration *configuration = ctx;

    LOG_INFO("event=configuration-snapshot-appended status=%d offset=%lld",
             (int)status, (long long)offset);
    if (status != PLATFORM_OK) {
        configuration->snapshot_anchor = -1;
    }
}

static void
write_snapshot_if_due(struct configuration *configuration,
                      int64_t retention_ms)
{
    const struct configuration_options *options = &configuration->options;
    int64_t anchor = configuration->anchor_offset;
    int64_t age = configuration->anchor_age_ms + clock_ms(options->clock) -
                  configuration->anchor_read_ms;
    char nonce[33];
    uint64_t random[2];
    struct str record;

    if (anchor < 0 || configuration->snapshot_anchor == anchor ||
        !history_may_write_snapshot(configuration->history) ||
        (double)age <
            configuration->snapshot_age_share * (double)retention_ms) {
        return;
    }
    random[0] = random_next(options->random);
    random[1] = random_next(options->random);
    hex_encode(random, sizeof(random), nonce);
    record = history_snapshot_format(configuration->history, str_from(nonce),
                                     str_from(options->name));
    configuration->snapshot_anchor = anchor;
    platform_append(options->platform, configuration->stream, record,
                    on_snapshot_appended, configuration);
    free((char *)record.data);
}

/// Applies a page. The state is current as of the start of the read.
static void
apply_page(struct configuration *configuration,
           const struct platform_page *page, int64_t read_begun_ms)
{
    int64_t before = history_version(configuration->history);

    history_set_log_start(configuration->history, page->first);
    for (size_t i = 0; i < page->count; i++) {
        apply_record(configuration, &page->records[i]);
    }
    set_anchor_age(configuration, page);
    if (history_version(configuration->history) != before) {
        report_change(configuration, "log");
    }
    if (history_last_offset(configuration->history) + 1 >= page->end) {
        configuration->caught_up = true;
        configuration->current_at_ms = read_begun_ms;
    }
    write_snapshot_if_due(configuration, page->retention_ms);
}

static void
on_poll_page(void *ctx, const struct platform_page *page)
{
    struct configuration *configuration = ctx;

    configuration->log_down = page == NULL;
    if (page == NULL) {
        schedule_poll(
            configuration,
            configuration->retry_ms / 2 +
                (int64_t)random_below(configuration->options.random,
                                      (uint64_t)configuration->retry_ms));
        configuration->retry_ms *= 2;
        if (configuration->retry_ms > RETRY_MAX_MS) {
            configuration->retry_ms = RETRY_MAX_MS;
        }
        return;
    }
    configuration->retry_ms = RETRY_MIN_MS;
    apply_page(configuration, page, configuration->poll_begun_ms);
    schedule_poll(configuration, 0);
}

static void
on_refresh_page(void *ctx, const struct platform_page *page)
{
    struct configuration *configuration = ctx;

    configuration->refreshing = false;
    if (page != NULL) {
        apply_page(configuration, page, configuration->refresh_begun_ms);
    }
}

int64_t
configuration_read_age_ms(const struct configuration *configuration)
{
    if (!configuration->caught_up) {
        return INT64_MAX;
    }
    return clock_ms(configuration->options.clock) -
           configuration->current_at_ms;
}

void
configuration_refresh(struct configuration *configuration)
{
    if (configuration->refreshing) {
        return;
    }
    configuration->refreshing = true;
    configuration->refresh_begun_ms = clock_ms(configuration->options.clock);
    platform_read(configuration->options.platform, configuration->stream,
                  history_last_offset(configuration->history) + 1,
                  PAGE_RECORDS, 0, on_refresh_page, configuration);
}

static void
start_poll(struct configuration *configuration)
{
    int64_t from = history_last_offset(configuration->history) + 1;
    int64_t wait_ms = configuration->caught_up ? POLL_WAIT_MS : 0;

    configuration->poll_begun_ms = clock_ms(configuration->options.clock);
    platform_read(configuration->options.platform, configuration->stream, from,
                  PAGE_RECORDS, wait_ms, on_poll_page, configuration);
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    start_poll(ctx);
}

struct configuration *
configuration_new(const struct configuration_options *options)
{
    struct configuration *configuration = xcalloc(1, sizeof(*configuration));

    configuration->options = *options;
    configuration->history = history_new(options->environment);
    configuration->stream = configuration_stream(options->environment);
    configuration->retry_ms = RETRY_MIN_MS;
    configuration->anchor_offset = -1;
    configuration->snapshot_anchor = -1;
    configuration->snapshot_age_share =
        SNAPSHOT_AGE_MIN_SHARE +
        (SNAPSHOT_AGE_MAX_SHARE - SNAPSHOT_AGE_MIN_SHARE) *
            random_unit(options->random);
    configuration->timer =
        event_new(options->base, -1, 0, on_timer, configuration);
    if (configuration->timer == NULL) {
        BUG("out of memory");
    }
    schedule_poll(configuration, 0);
    return configuration;
}

void
configuration_free(struct configuration *configuration)
{
    if (configuration == NULL) {
        return;
    }
    event_free(configuration->timer);
    history_free(configuration->history);
    free((char *)configuration->stream.data);
    free(configuration);
}

const struct conf *
configuration_conf(const struct configuration *configuration)
{
    return history_conf(configuration->history);
}

int64_t
configuration_version(const struct configuration *configuration)
{
    return history_version(configuration->history);
}

struct str
configuration_document(const struct configuration *configuration)
{
    return history_document(configuration->history);
}

bool
configuration_is_current(const struct configuration *configuration)
{
    return configuration->caught_up;
}

bool
configuration_log_is_down(const struct configuration *configuration)
{
    return configuration->log_down;
}

bool
configuration_adopt(struct configuration *configuration, int64_t version,
                    struct str document)
{
    int64_t before = history_version(configuration->history);
    struct err err = {0};

    if (!history_adopt(configuration->history, version, document, &err)) {
        LOG_WARNING("event=configuration-rejected source=peer reason=\"%s\"",
                    err.message);
        return false;
    }
    if (history_version(configuration->history) != before) {
        report_change(configuration, "peer");
    }
    return true;
}
