/// Processor time that a direct router adds to a call: caller, router and
/// endpoint run in one process, compared with caller and endpoint alone.
#include "measure.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "core/xmalloc.h"
#include "net/channel.h"
#include "tests/direct_harness.h"

#define CALLERS 16
#define CALLS 8000
#define STREAMS 600
#define STREAM_EVENTS 200
#define WARM_UP_CALLS 500

struct bench;

struct hop_caller {
    struct bench *bench;
    struct channel_pool *pool;
};

struct bench {
    struct direct_harness harness;
    struct hop_caller callers[CALLERS];
    const char *path;
    size_t calls_left; ///< calls to start
    size_t running;
    size_t failed;
    uint64_t serial;
};

static void start_call(struct hop_caller *caller);

static enum channel_verdict
on_head(void *ctx, const struct http1 *head)
{
    (void)ctx;
    (void)head;
    return CHANNEL_ACCEPT;
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    (void)ctx;
    (void)bytes;
    (void)len;
}

static void
on_end(void *ctx, enum channel_end end, const char *detail)
{
    struct hop_caller *caller = ctx;
    struct bench *bench = caller->bench;

    (void)detail;
    bench->running--;
    bench->failed += end == CHANNEL_COMPLETE ? 0 : 1;
    if (bench->calls_left > 0) {
        start_call(caller);
    }
}

static void
start_call(struct hop_caller *caller)
{
    struct bench *bench = caller->bench;
    const struct channel_handler handler = {on_head, on_data, on_end, caller};
    struct evbuffer *out = evbuffer_new();
    const struct channel_request request = {.bytes = out};

    bench->calls_left--;
    bench->running++;
    evbuffer_add_printf(out,
                        "POST %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Dandelionvalve-Request-Id: h%llu\r\n"
                        "Authorization: Bearer key\r\n"
                        "Content-Length: 1\r\n\r\nx",
                        bench->path, (unsigned long long)bench->serial++);
    if (channel_send(caller->pool, &request, &handler) == NULL) {
        on_end(caller, CHANNEL_UNSENT, "no connection");
    }
    evbuffer_free(out);
}

/// Processor time per call, in us.
static double
run(struct bench *bench, struct address address, const char *path,
    size_t calls)
{
    clock_t before;

    bench->path = path;
    bench->calls_left = calls;
    for (size_t i = 0; i < CALLERS; i++) {
        bench->callers[i].bench = bench;
        bench->callers[i].pool =
            channel_pool_new(&(struct channel_pool_options){
                .base = bench->harness.base,
                .clock = &clock_monotonic,
                .address = address,
                .connect_timeout_ms = CHANNEL_CONNECT_TIMEOUT_MS,
                .head_bytes_max = 8192,
            });
    }
    before = clock();
    for (size_t i = 0; i < CALLERS; i++) {
        start_call(&bench->callers[i]);
    }
    while (bench->running > 0) {
        event_base_loop(bench->harness.base, EVLOOP_ONCE);
    }
    before = clock() - before;
    for (size_t i = 0; i < CALLERS; i++) {
        channel_pool_free(bench->callers[i].pool);
    }
    return (double)before / CLOCKS_PER_SEC * 1e6 / (double)calls;
}

/// Returns the processor time per call that the router adds, in us.
static double
compare(struct bench *bench, const char *name, const char *path, size_t calls)
{
    struct address router = direct_callers_address(bench->harness.routers[0]);
    struct address origin = origin_address(bench->harness.origins[0]);
    double direct, through;

    run(bench, router, path, WARM_UP_CALLS);
    direct = run(bench, origin, path, calls);
    through = run(bench, router, path, calls);
    printf("%-22s direct %7.1f us, through %7.1f us, ratio %.2f\n", name,
           direct, through, through / direct);
    return through - direct;
}

int
measure_hop(const struct measure_options *options)
{
    struct bench *bench = xcalloc(1, sizeof(*bench));
    double added_us;
    size_t failed;

    (void)options;
    direct_harness_start(&bench->harness, &(struct direct_harness_options){
                                              .routers = 1,
                                              .origins = 1,
                                              .events = STREAM_EVENTS,
                                          });
    printf("processor time per call, through a direct router and directly to "
           "the endpoint; %d callers\n",
           CALLERS);
    compare(bench, "short plain calls", "/look/", CALLS);
    added_us =
        compare(bench, "streams of 200 events", "/stream/chat/", STREAMS);
    printf("added for each event of a stream: %.2f us\n",
           added_us / STREAM_EVENTS);
    failed = bench->failed;
    direct_harness_stop(&bench->harness);
    free(bench);
    printf("calls that failed: %zu\n", failed);
    return failed > 0;
}
