#include "probe.h"

#include <stdlib.h>

#include <event2/event.h>

#include "core/xmalloc.h"
#include "net/http_client.h"
#include "net/http1.h"

#define PROBE_PATH "/health"
#define TIMEOUT_MS 1000
#define FAILED_INTERVAL_MS 500
/// One small call a second to a healthy endpoint.
#define HEALTHY_INTERVAL_MS 1000
/// Optional answer header; its value changes with each start of the endpoint.
#define INCARNATION_HEADER "Endpoint-Incarnation"
#define HEADER_BYTES_MAX 16384

struct probe {
    struct probe_options options;
    struct http_client *endpoint;
    struct http_call *call;
    struct event *timer;
    bool healthy;
    bool has_incarnation; ///< an earlier answer had the header
    uint64_t incarnation; ///< hash of the last value
    bool restarted;       ///< this answer has another value
};

static void
start_timer(struct probe *probe, int64_t delay_ms)
{
    const struct timeval delay = {
        .tv_sec = delay_ms / 1000,
        .tv_usec = delay_ms % 1000 * 1000,
    };

    event_add(probe->timer, &delay);
}

static void
report(struct probe *probe, enum probe_result result)
{
    probe->call = NULL;
    event_del(probe->timer);
    start_timer(probe, result == PROBE_FAILED ? FAILED_INTERVAL_MS
                                              : HEALTHY_INTERVAL_MS);
    probe->options.probed(probe->options.ctx, result);
}

static void
check_incarnation(struct probe *probe, struct str text)
{
    uint64_t incarnation = str_hash(text, 0);

    probe->restarted =
        probe->has_incarnation && incarnation != probe->incarnation;
    probe->has_incarnation = true;
    probe->incarnation = incarnation;
}

static void
on_head(void *ctx, int status, const struct message_header *headers,
        size_t count)
{
    struct probe *probe = ctx;

    for (size_t i = 0; i < count; i++) {
        if (str_equal_nocase(headers[i].name, INCARNATION_HEADER)) {
            check_incarnation(probe, headers[i].value);
        }
    }
    // Any status but 503 counts as healthy.
    probe->healthy = status != 503;
}

static void
on_end(void *ctx, enum http_call_result end)
{
    struct probe *probe = ctx;

    if (end != HTTP_CALL_COMPLETE || !probe->healthy) {
        report(probe, PROBE_FAILED);
    }
    else {
        report(probe, probe->restarted ? PROBE_RESTARTED : PROBE_HEALTHY);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct probe *probe = ctx;

    (void)fd;
    (void)events;
    if (probe->call == NULL) {
        probe_now(probe);
        return;
    }
    http_call_cancel(probe->call);
    report(probe, PROBE_FAILED);
}

struct probe *
probe_new(const struct probe_options *options)
{
    struct probe *probe = xcalloc(1, sizeof(*probe));
    const struct http_client_options endpoint = {
        .base = options->base,
        .address = options->endpoint,
        .header_bytes_max = HEADER_BYTES_MAX,
    };

    probe->options = *options;
    probe->endpoint = http_client_new(&endpoint);
    probe->timer = event_new(options->base, -1, 0, on_timer, probe);
    if (probe->timer == NULL) {
        BUG("out of memory");
    }
    probe_now(probe);
    return probe;
}

void
probe_free(struct probe *probe)
{
    if (probe == NULL) {
        return;
    }
    http_client_free(probe->endpoint);
    event_free(probe->timer);
    free(probe);
}

void
probe_now(struct probe *probe)
{
    const struct http_call_options call = {
        .method = STR_LITERAL("GET"),
        .uri = STR_LITERAL(PROBE_PATH),
        .body = STR_LITERAL(""),
        .fresh_connection = true,
        .accepts_unframed = true,
        .head = on_head,
        .end = on_end,
        .ctx = probe,
    };

    if (probe->call != NULL) {
        return;
    }
    probe->healthy = false;
    probe->restarted = false;
    probe->call = http_call(probe->endpoint, &call);
    start_timer(probe, probe->call != NULL ? TIMEOUT_MS : FAILED_INTERVAL_MS);
}
