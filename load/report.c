#include "report.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <jansson.h>
#include <uthash.h>

#include "core/xmalloc.h"
#include "daemon/settings.h"
#include "fetch.h"

struct key_runs {
    char *key;
    int64_t runs;
    UT_hash_handle hh;
};

void
report_add_latency(struct report *report, double first_byte_ms,
                   double total_ms)
{
    if ((report->latency_count & (report->latency_count + 1)) == 0) {
        size_t capacity = 2 * (report->latency_count + 1);

        report->latencies_ms =
            xrealloc(report->latencies_ms, capacity * sizeof(double));
        report->first_byte_ms =
            xrealloc(report->first_byte_ms, capacity * sizeof(double));
    }
    report->latencies_ms[report->latency_count] = total_ms;
    report->first_byte_ms[report->latency_count++] = first_byte_ms;
}

void
report_add_not_run(struct report *report, const char *key)
{
    report->not_run_keys =
        xrealloc(report->not_run_keys,
                 (report->not_run_key_count + 1) * sizeof(char *));
    report->not_run_keys[report->not_run_key_count++] = xstrdup(key);
}

static void
add_key_runs(struct key_runs **key_counts, const json_t *json)
{
    const char *key;
    json_t *value;

    json_object_foreach((json_t *)json, key, value)
    {
        struct key_runs *runs;

        HASH_FIND_STR(*key_counts, key, runs);
        if (runs == NULL) {
            runs = xcalloc(1, sizeof(*runs));
            runs->key = xstrdup(key);
            HASH_ADD_KEYPTR(hh, *key_counts, runs->key, strlen(runs->key),
                            runs);
        }
        runs->runs += json_integer_value(value);
    }
}

static void
collect_services(struct report *report, struct event_base *base,
                 const struct settings_load *settings)
{
    struct key_runs *key_counts = NULL;
    struct key_runs *runs, *next;

    for (size_t i = 0; i < settings->service_count; i++) {
        struct str body;
        json_t *json;

        if (!fetch_get(base, settings->services[i], "/keys", &body)) {
            fprintf(stderr,
                    "cannot read /keys of " STR_FMT
                    "; its runs are not checked\n",
                    STR_ARG(settings->services[i]));
            continue;
        }
        json = json_loadb(body.data, body.len, 0, NULL);
        add_key_runs(&key_counts, json);
        json_decref(json);
        free((char *)body.data);
    }
    for (size_t i = 0; i < report->not_run_key_count; i++) {
        HASH_FIND_STR(key_counts, report->not_run_keys[i], runs);
        report->false_not_run += runs != NULL;
    }
    HASH_ITER(hh, key_counts, runs, next)
    {
        report->keys_run_twice += runs->runs > 1 ? 1 : 0;
        HASH_DEL(key_counts, runs);
        free(runs->key);
        free(runs);
    }
}

static void
collect_engines(struct report *report, struct event_base *base,
                const struct settings_load *settings)
{
    double max_started = 0;
    double total_started = 0;

    for (size_t i = 0; i < settings->engine_count; i++) {
        struct str body;
        json_t *json;
        double started;

        if (!fetch_get(base, settings->engines[i], "/ledger", &body)) {
            fprintf(stderr,
                    "cannot read /ledger of " STR_FMT
                    "; its requests are not counted\n",
                    STR_ARG(settings->engines[i]));
            continue;
        }
        json = json_loadb(body.data, body.len, 0, NULL);
        started = (double)json_integer_value(json_object_get(json, "started"));
        report->prompt_tokens += (uint64_t)json_integer_value(
            json_object_get(json, "prompt_tokens"));
        report->cached_tokens += (uint64_t)json_integer_value(
            json_object_get(json, "cached_tokens"));
        max_started = started > max_started ? started : max_started;
        total_started += started;
        json_decref(json);
        free((char *)body.data);
    }
    if (total_started > 0) {
        report->skew =
            max_started * (double)settings->engine_count / total_started;
    }
}

static double
metric_value(struct str text, const char *name)
{
    const char *found = memmem(text.data, text.len, name, strlen(name));

    return found != NULL ? strtod(found + strlen(name), NULL) : 0;
}

static double
control_bytes(struct event_base *base, const struct settings_load *settings)
{
    double bytes = 0;

    for (size_t i = 0; i < settings->admin_count; i++) {
        struct str body;

        if (!fetch_get(base, settings->admins[i], "/metrics", &body)) {
            continue;
        }
        bytes += metric_value(body, "control_bytes_total{direction=\"in\"} ");
        bytes += metric_value(body, "control_bytes_total{direction=\"out\"} ");
        free((char *)body.data);
    }
    return bytes;
}

void
report_start(struct report *report, struct event_base *base,
             const struct settings_load *settings)
{
    report->control_bytes_before = control_bytes(base, settings);
}

static void
collect_routers(struct report *report, struct event_base *base,
                const struct settings_load *settings)
{
    double bytes =
        control_bytes(base, settings) - report->control_bytes_before;

    if (report->seconds > 0 && settings->admin_count > 0) {
        report->control_bytes_per_s =
            bytes / report->seconds / (double)settings->admin_count;
    }
}

void
report_collect(struct report *report, struct event_base *base,
               const struct settings_load *settings)
{
    collect_engines(report, base, settings);
    collect_services(report, base, settings);
    collect_routers(report, base, settings);
}

static double
quantile(double *values, size_t count, double q)
{
    if (count == 0) {
        return 0;
    }
    gsl_sort(values, 1, count);
    return gsl_stats_quantile_from_sorted_data(values, 1, count, q);
}

static double
cache_reuse(const struct report *report)
{
    return report->prompt_tokens > 0
               ? (double)report->cached_tokens / (double)report->prompt_tokens
               : 0;
}

void
report_print(struct report *report, FILE *out)
{
    size_t count = report->latency_count;

    fprintf(out,
            "requests %" PRIu64 " in %.1f s: done %" PRIu64
            ", not-run %" PRIu64 ", unknown %" PRIu64 ", broken %" PRIu64
            ", wrong %" PRIu64 "\n",
            report->requests, report->seconds, report->done, report->not_run,
            report->unknown, report->broken, report->wrong);
    fprintf(out,
            "first byte p50 %.1f ms, p95 %.1f ms; whole p50 %.1f ms, p95 "
            "%.1f ms\n",
            quantile(report->first_byte_ms, count, 0.5),
            quantile(report->first_byte_ms, count, 0.95),
            quantile(report->latencies_ms, count, 0.5),
            quantile(report->latencies_ms, count, 0.95));
    fprintf(out, "cache reuse: %.1f%% of %" PRIu64 " prompt tokens\n",
            100 * cache_reuse(report), report->prompt_tokens);
    fprintf(out, "skew: busiest engine served %.2f x the mean\n",
            report->skew);
    fprintf(out, "control traffic: %.0f bytes/s a router\n",
            report->control_bytes_per_s);
    fprintf(out,
            "bookings %" PRIu64 ", re-sends %" PRIu64 " (same answer %" PRIu64
            "), keys run twice %" PRIu64
            ", told not-run %zu, of these run %" PRIu64 "\n",
            report->bookings, report->resends, report->resends_same,
            report->keys_run_twice, report->not_run_key_count,
            report->false_not_run);
}

void
report_write_csv(const struct report *report, FILE *out)
{
    fprintf(out, "name,value\n");
    fprintf(out, "requests,%" PRIu64 "\n", report->requests);
    fprintf(out, "done,%" PRIu64 "\n", report->done);
    fprintf(out, "not_run,%" PRIu64 "\n", report->not_run);
    fprintf(out, "unknown,%" PRIu64 "\n", report->unknown);
    fprintf(out, "broken,%" PRIu64 "\n", report->broken);
    fprintf(out, "wrong,%" PRIu64 "\n", report->wrong);
    fprintf(out, "cache_reuse,%.4f\n", cache_reuse(report));
    fprintf(out, "skew,%.4f\n", report->skew);
    fprintf(out, "control_bytes_per_s,%.1f\n", report->control_bytes_per_s);
    fprintf(out, "keys_run_twice,%" PRIu64 "\n", report->keys_run_twice);
}

void
report_destroy(struct report *report)
{
    for (size_t i = 0; i < report->not_run_key_count; i++) {
        free(report->not_run_keys[i]);
    }
    free(report->not_run_keys);
    free(report->latencies_ms);
    free(report->first_byte_ms);
}
