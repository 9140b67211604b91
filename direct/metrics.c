/// Readiness, status, counters and latency histograms of a router.
#include <stdio.h>
#include <stdlib.h>

#include "core/xmalloc.h"
#include "daemon/admin.h"
#include "direct_private.h"
#include "direct_state.h"
#include "endpoints.h"
#include "mesh.h"

static bool
is_ready(void *ctx, const char **why)
{
    const struct direct *direct = ctx;

    *why = direct->draining           ? "draining\n"
           : direct->catalog == NULL  ? "no configuration yet\n"
           : !direct->knows_endpoints ? "no endpoints yet\n"
                                      : "ok\n";
    return direct_is_ready(direct);
}

static char *
status_of(void *ctx)
{
    const struct direct *direct = ctx;

    return xasprintf(
        "{\"version\":%lld,\"endpoints\":%zu,\"requests\":%u,"
        "\"draining\":%s}\n",
        direct->catalog != NULL ? (long long)catalog_version(direct->catalog)
                                : -1,
        endpoints_count(direct->endpoints), HASH_COUNT(direct->exchanges),
        direct->draining ? "true" : "false");
}

static char *
metrics_of(void *ctx)
{
    static const char *const labels[KINDS] = {
        [ROUTE_IDEMPOTENT] = "kind=\"idempotent\"",
        [ROUTE_ONCE] = "kind=\"once\"",
        [ROUTE_STREAM] = "kind=\"stream\"",
        [ROUTE_RESUMABLE] = "kind=\"resumable\"",
    };
    const struct direct *direct = ctx;
    const struct endpoint *endpoint;
    int64_t now_ms = clock_ms(direct->options.clock);
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);

    if (out == NULL) {
        return xstrdup("");
    }
    for (size_t i = 0; i < KINDS; i++) {
        histogram_print(&direct->first[i], "first_byte_ms", labels[i], out);
        histogram_print(&direct->total[i], "answer_ms", labels[i], out);
    }
    for (endpoint = endpoints_first(direct->endpoints); endpoint != NULL;
         endpoint = endpoint->hh.next) {
        fprintf(out,
                "endpoint_in_flight{endpoint=\"" STR_FMT "\"} %u\n"
                "endpoint_ejected{endpoint=\"" STR_FMT "\"} %d\n",
                STR_ARG(endpoint->id), endpoint->in_flight,
                STR_ARG(endpoint->id),
                eject_is_out(&endpoint->eject, now_ms, 0));
    }
    fprintf(out, "routers_linked %zu\nconfiguration_known %d\n",
            direct->mesh != NULL ? mesh_count(direct->mesh) : 0,
            direct->catalog != NULL);
    fclose(out);
    return text;
}

struct admin *
metrics_listen(struct direct *direct, const struct address *address,
               struct err *err)
{
    const struct admin_options options = {
        .base = direct->options.base,
        .address = *address,
        .counters = direct->options.counters,
        .is_ready = is_ready,
        .status = status_of,
        .metrics = metrics_of,
        .ctx = direct,
    };

    return admin_new(&options, err);
}

void
direct_note_latency(struct direct *direct, enum route_kind kind,
                    int64_t first_ms, int64_t total_ms)
{
    histogram_add(&direct->first[kind], first_ms);
    histogram_add(&direct->total[kind], total_ms);
}
