/// Readiness, status, counters and latency histograms of a router.
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "cold.h"
#include "core/evacuation.h"
#include "core/memory.h"
#include "core/xmalloc.h"
#include "daemon/admin.h"
#include "direct_private.h"
#include "direct_state.h"
#include "endpoints.h"
#include "explain.h"
#include "mesh.h"
#include "services.h"

static bool
is_ready(void *ctx, const char **why)
{
    const struct direct *direct = ctx;

    *why = direct->draining ? "draining\n"
           : direct->catalog == NULL || !direct->has_configuration
               ? "no configuration yet\n"
           : !direct->has_endpoints ? "no endpoints yet\n"
                                    : "ok\n";
    return direct_is_ready(direct);
}

/// Why an endpoint receives no requests, or fewer than others.
static const char *
trouble_of(const struct direct *direct, const struct endpoint *endpoint,
           int64_t now_ms)
{
    if (evacuation_covers(direct->evacuation, endpoint->zone)) {
        return "evacuated";
    }
    if (endpoint->state == ENDPOINT_DRAINING) {
        return "draining";
    }
    if (endpoint->is_leaving) {
        return "leaving";
    }
    if (hold_left_ms(&endpoint->hold, now_ms) > 0) {
        return "held";
    }
    if (endpoint->lapse_at_ms > 0) {
        return "lapsed";
    }
    if (now_ms < endpoint->eject.ejected_until_ms) {
        return "ejected";
    }
    if (cold_is_limited(direct->cold, endpoint)) {
        return "cold";
    }
    if (endpoint->rate_limit.holds) {
        return "rate limited";
    }
    return endpoint->eject.trial ? "on trial" : "none";
}

static json_t *
status_of_endpoint(const struct direct *direct,
                   const struct endpoint *endpoint, int64_t now_ms)
{
    return json_pack(
        "{s:s%,s:s%,s:s%,s:s,s:i,s:i,s:f}", "id", endpoint->id.data,
        endpoint->id.len, "service", endpoint->service.data,
        endpoint->service.len, "zone", endpoint->zone.data, endpoint->zone.len,
        "trouble", trouble_of(direct, endpoint, now_ms), "in_flight",
        (int)endpoint->in_flight, "load", (int)endpoint_load(endpoint, now_ms),
        "failure_share", endpoint->eject.failure_share);
}

static bool
store_answers(const struct direct *direct, enum record_topic topic)
{
    return direct->store != NULL &&
           direct->options.store->is_reachable(direct->store, topic);
}

static char *
status_of(void *ctx)
{
    const struct direct *direct = ctx;
    const struct endpoint *endpoint;
    int64_t now_ms = clock_ms(direct->options.clock);
    json_t *endpoints = json_array();
    json_t *root;
    char *text;

    for (endpoint = endpoints_first(direct->endpoints); endpoint != NULL;
         endpoint = endpoint->hh.next) {
        json_array_append_new(endpoints,
                              status_of_endpoint(direct, endpoint, now_ms));
    }
    root = json_pack(
        "{s:I,s:b,s:b,s:i,s:i,s:{s:b,s:b},s:o}", "version",
        direct->catalog != NULL ? (json_int_t)catalog_version(direct->catalog)
                                : (json_int_t)-1,
        "ready", direct_is_ready(direct), "draining", direct->draining,
        "requests", (int)HASH_COUNT(direct->exchanges), "routers_linked",
        (int)(direct->mesh != NULL ? mesh_linked_count(direct->mesh) : 0),
        "store_answers", "configuration",
        store_answers(direct, RECORDS_CONFIGURATION), "endpoints",
        store_answers(direct, RECORDS_ENDPOINTS), "endpoints", endpoints);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text != NULL ? text : xstrdup("{}");
}

static char *
metrics_of(void *ctx)
{
    static const char *const labels[ROUTE_KINDS] = {
        [ROUTE_IDEMPOTENT] = "kind=\"idempotent\"",
        [ROUTE_AT_MOST_ONCE] = "kind=\"once\"",
        [ROUTE_STREAM] = "kind=\"stream\"",
        [ROUTE_RESUMABLE] = "kind=\"resumable\"",
    };
    const struct direct *direct = ctx;
    const struct endpoint *endpoint;
    uint32_t stated;
    int64_t now_ms = clock_ms(direct->options.clock);
    size_t cold = 0;
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);

    if (out == NULL) {
        return xstrdup("");
    }
    for (size_t i = 0; i < ROUTE_KINDS; i++) {
        histogram_print(&direct->first[i], "first_byte_ms", labels[i], out);
        histogram_print(&direct->total[i], "answer_ms", labels[i], out);
    }
    for (endpoint = endpoints_first(direct->endpoints); endpoint != NULL;
         endpoint = endpoint->hh.next) {
        cold += cold_is_limited(direct->cold, endpoint) ? 1 : 0;
        fprintf(out,
                "endpoint_in_flight{endpoint=\"" STR_FMT "\"} %u\n"
                "endpoint_ejected{endpoint=\"" STR_FMT "\"} %d\n",
                STR_ARG(endpoint->id), endpoint->in_flight,
                STR_ARG(endpoint->id),
                eject_is_blocked(&endpoint->eject, now_ms, 0));
        if (endpoint->rate_limit.holds) {
            fprintf(out,
                    "endpoint_rate_limit{endpoint=\"" STR_FMT "\"} %.3f\n",
                    STR_ARG(endpoint->id), endpoint->rate_limit.per_s);
        }
        stated = stated_load_now(&endpoint->stated_load, now_ms);
        if (stated > 0) {
            fprintf(out, "endpoint_stated_load{endpoint=\"" STR_FMT "\"} %u\n",
                    STR_ARG(endpoint->id), stated);
        }
        if (endpoint->footprint.held_tokens > 0) {
            fprintf(out,
                    "endpoint_held_tokens{endpoint=\"" STR_FMT "\"} %.0f\n",
                    STR_ARG(endpoint->id), endpoint->footprint.held_tokens);
        }
        if (endpoint->speed.has_stated) {
            fprintf(out, "endpoint_slow_down{endpoint=\"" STR_FMT "\"} %.2f\n",
                    STR_ARG(endpoint->id),
                    speed_slow_down(&endpoint->speed, now_ms));
        }
        if (endpoint->gaps.usual_ms > 0) {
            fprintf(out,
                    "endpoint_usual_gap_ms{endpoint=\"" STR_FMT "\"} %.1f\n",
                    STR_ARG(endpoint->id), endpoint->gaps.usual_ms);
        }
    }
    services_print(direct->services, out);
    if (direct->store != NULL) {
        direct->options.store->print(direct->store, out);
    }
    fprintf(out, "endpoints_cold %zu\nzones_evacuated %zu\n", cold,
            evacuation_count(direct->evacuation));
    for (size_t i = 0; i < MEMORY_KINDS; i++) {
        enum memory_kind kind = (enum memory_kind)i;

        fprintf(out, "memory_held_bytes{kind=\"%s\"} %zu\n",
                memory_kind_name(kind), memory_held(direct->memory, kind));
    }
    fprintf(out, "memory_limit_bytes %zu\n", memory_limit(direct->memory));
    fprintf(out, "prompt_parts_held %zu\n",
            suspects_held_count(direct->blame.suspects));
    fprintf(out, "even_load %d\nload_known_share %.3f\n",
            direct->settings.even_load, direct_known_share(direct));
    fprintf(out, "routers_linked %zu\nconfiguration_known %d\n",
            direct->mesh != NULL ? mesh_linked_count(direct->mesh) : 0,
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
        .explain = explain_request,
        .ctx = direct,
    };

    return admin_new(&options, err);
}

void
direct_record_latency(struct direct *direct, enum route_kind kind,
                      int64_t first_ms, int64_t total_ms)
{
    histogram_add(&direct->first[kind], first_ms);
    histogram_add(&direct->total[kind], total_ms);
}
