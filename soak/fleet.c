#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "core/xmalloc.h"
#include "process.h"
#include "soak.h"
#include "standin/platform_document.h"
#include "standin/ports.h"

#define KEY "6b1d9c0e5f2a48b7c3d41e6f8a90b2c47d5e6f1a2b3c4d5e6f708192a3b4c5d6"
#define RESTART_MS 150
#define WORK_US 4000
#define AWAY_MS 300
#define HEAD_BYTES_MAX 65536

void
soak_write_settings(struct soak *soak, struct soak_router *router)
{
    struct address store = relay_address(router->store);
    char other[512] = "";
    FILE *out = fopen(router->settings_file, "w");

    if (out == NULL) {
        BUG("%s: %s", router->settings_file, strerror(errno));
    }
    for (size_t i = 0; i < SOAK_ROUTERS && i < 3; i++) {
        const struct address *links = &soak->routers[i].links;

        snprintf(other + strlen(other), sizeof(other) - strlen(other),
                 "%s\"%s:%u\"", i > 0 ? ", " : "", links->ip, links->port);
    }
    fprintf(out,
            "name = \"%s\"\nzone = \"z\"\nlog_level = \"info\"\n"
            "store = \"%s:%u\"\ncallers = \"%s:%u\"\nready = \"%s:%u\"\n"
            "[links]\naddress = \"%s:%u\"\nkeys = [\"" KEY "\"]\n"
            "seeds = [%s]\n[bounds]\ngrace_s = %.1f\nretry_ratio = 0.2\n"
            "retry_slack = %u\ncold_rate_factor = %.1f\n"
            "cold_slack = %.1f\n[memory]\nlimit_mb = %d\n",
            router->name, store.ip, store.port, router->callers.ip,
            router->callers.port, router->ready.ip, router->ready.port,
            router->links.ip, router->links.port, other,
            SOAK_GRACE_MS / 1000.0, 40 + router->settings_version,
            SOAK_COLD_FACTOR, SOAK_COLD_SLACK, SOAK_MEMORY_MB);
    fclose(out);
}

static void
start_router(struct soak *soak, struct soak_router *router)
{
    char log_file[300];

    snprintf(log_file, sizeof(log_file), "%s/%s.log", soak->dir, router->name);
    router->pid = process_start(&(struct process_options){
        .program = soak->program,
        .config = router->settings_file,
        .log_file = log_file,
    });
    printf("%lld start of %s as process %ld\n", (long long)soak_now(),
           router->name, (long)router->pid);
    router->paused = router->terminating = router->killed = false;
    router->over_memory = false;
    router->disrupted_ms = soak_now();
}

void
soak_write_entry(struct soak *soak, struct soak_origin *origin,
                 const char *state)
{
    struct address address = origin->relay != NULL
                                 ? relay_address(origin->relay)
                                 : origin_address(origin->origin);
    int64_t cold_ms = origin->cold_end_ms - soak_now();
    char text[300];

    origin->state = state;
    snprintf(text, sizeof(text),
             "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
             "\"slots\":8,\"state\":\"%s\",\"seq\":%u,\"born\":%u,"
             "\"cold_left_ms\":%lld}",
             origin->service, address.ip, address.port, origin->zone, state,
             origin->entries + 1, origin->incarnation,
             (long long)(cold_ms > 0 ? cold_ms : 0));
    keyed_store_put(soak->store, KEYED_STORE_TOPIC_ENDPOINTS, origin->id,
                    str_from(state[0] != '\0' ? text : ""));
}

/// The endpoint has ended since its requests exceeded its memory.
static void
on_back(void *ctx, struct origin *stand_in)
{
    struct soak_origin *origin = ctx;

    (void)stand_in;
    printf("%lld %s ended: memory\n", (long long)soak_now(), origin->id);
    origin->incarnation++;
    soak_write_entry(origin->soak, origin, "ready");
}

static void
start_origin(struct soak *soak, struct soak_origin *origin)
{
    bool is_small = origin >= soak->origins + SOAK_ORIGINS_COLD_END;
    struct err err = {0};
    struct address address;

    origin->origin = origin_new(
        &(struct origin_options){
            .base = soak->base,
            .address = ports_unused(),
            .name = origin->id,
            .work_us = WORK_US,
            .events = SOAK_EVENTS,
            .memory_tokens = is_small ? SOAK_MEMORY_TOKENS : 0,
            .received = soak_check_received,
            .ctx = origin,
        },
        &err);
    if (origin->origin == NULL) {
        BUG("%s", err.message);
    }
    if (is_small) {
        origin_set_crash(origin->origin, &(struct origin_crash_options){
                                             .away_ms = AWAY_MS,
                                             .back = on_back,
                                             .ctx = origin,
                                         });
    }
    if (origin < soak->origins + SOAK_ORIGINS) {
        address = origin_address(origin->origin);
        origin->relay = relay_new(soak->base, &address);
    }
    soak_write_entry(soak, origin, "ready");
}

/// Replaces an endpoint: the same identity at a new address with a new
/// incarnation. The stand-in is kept with its counts of runs, since no
/// connections of callers remain on it.
void
soak_replace_origin(struct soak *soak, struct soak_origin *origin)
{
    struct address address = origin_address(origin->origin);

    origin->incarnation++;
    relay_reset(origin->relay);
    relay_free(origin->relay);
    origin->relay = relay_new(soak->base, &address);
    soak_write_entry(soak, origin, "ready");
}

/// Adds the services of endpoints that become cold, that have long answers,
/// and that have little memory.
static char *
add_services(const char *document)
{
    static const char routes[] = "\"routes\":[";
    static const char services[] = "\"services\":[";
    const char *route = strstr(document, routes) + strlen(routes);
    const char *service = strstr(route, services) + strlen(services);

    return xasprintf(
        "%.*s{\"name\":\"warm\",\"host\":\"h.example\",\"path_prefix\":"
        "\"/warm/\",\"kind\":\"idempotent\",\"timeout_ms\":800,\"slo_ms\":"
        "300,\"service\":\"warming\",\"max_attempts\":2},"
        "{\"name\":\"bulk\",\"host\":\"h.example\",\"path_prefix\":"
        "\"/bulk/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"slo_ms\":"
        "500,\"service\":\"bulk\",\"max_attempts\":1},"
        "{\"name\":\"large\",\"host\":\"h.example\",\"path_prefix\":"
        "\"/stream/large/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
        "\"slo_ms\":500,\"service\":\"small\",\"max_attempts\":2,"
        "\"resumable\":true,\"gap_target_ms\":400},"
        "%.*s{\"name\":\"warming\",\"max_conns\":100,\"cold_start_s\":%.1f,"
        "\"cold_per_s\":%.1f},{\"name\":\"bulk\",\"max_conns\":100},"
        "{\"name\":\"small\",\"max_conns\":100,\"engine\":{\"slots\":8,"
        "\"kv_capacity\":%d,\"kv_token_bytes\":18432,"
        "\"link_mbps\":370000.0}},%s",
        (int)(route - document), document, (int)(service - route), route,
        SOAK_COLD_START_MS / 1000.0, SOAK_COLD_PER_S, SOAK_MEMORY_TOKENS,
        service);
}

bool
soak_has_added(const struct soak *soak)
{
    return soak->version % 3 == 0;
}

static void
publish(struct soak *soak)
{
    char *text = platform_document(
        soak->version, soak->version % 2 == 0 ? "key" : "key\",\"second",
        soak_has_added(soak), 800, 15000);

    free(soak->configuration);
    soak->configuration = add_services(text);
    keyed_store_put(soak->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                    str_from(soak->configuration));
    free(text);
}

void
soak_publish_configuration(struct soak *soak)
{
    soak->version += 1 + (int64_t)random_below(&soak->random, 5);
    publish(soak);
}

void
soak_publish_change(struct soak *soak)
{
    bool added = soak_has_added(soak);

    while (soak_has_added(soak) == added) {
        soak->version++;
    }
    publish(soak);
}

static const char *
service_of(size_t origin)
{
    if (origin == 0) {
        return "orders";
    }
    if (origin < SOAK_ORIGINS) {
        return "models";
    }
    return origin < SOAK_ORIGINS_COLD_END ? "warming" : "small";
}

void
soak_start(struct soak *soak)
{
    struct err err = {0};

    soak->store = keyed_store_new(
        &(struct keyed_store_options){
            .base = soak->base,
            .clock = &clock_monotonic,
            .address = ports_any(),
        },
        &err);
    if (soak->store == NULL) {
        BUG("%s", err.message);
    }
    keyed_store_set_era(soak->store, 1);
    soak_publish_configuration(soak);
    for (size_t i = 0; i < SOAK_ORIGINS_ALL; i++) {
        struct soak_origin *origin = &soak->origins[i];

        snprintf(origin->id, sizeof(origin->id), "e-%zu", i);
        origin->soak = soak;
        origin->service = service_of(i);
        origin->zone = i == SOAK_ORIGINS - 1 ? SOAK_ZONE : "z";
        start_origin(soak, origin);
    }
    for (size_t i = 0; i < SOAK_ROUTERS; i++) {
        struct soak_router *router = &soak->routers[i];
        struct address address = keyed_store_address(soak->store);

        snprintf(router->name, sizeof(router->name), "router-%zu", i);
        snprintf(router->settings_file, sizeof(router->settings_file),
                 "%s/%s.toml", soak->dir, router->name);
        router->callers = ports_unused();
        router->ready = ports_unused();
        router->links = ports_unused();
        router->store = relay_new(soak->base, &address);
        router->pool = channel_pool_new(&(struct channel_pool_options){
            .base = soak->base,
            .clock = &clock_monotonic,
            .address = router->callers,
            .connect_timeout_ms = 1000,
            .head_bytes_max = HEAD_BYTES_MAX,
        });
    }
    for (size_t i = 0; i < SOAK_ROUTERS; i++) {
        soak_write_settings(soak, &soak->routers[i]);
        start_router(soak, &soak->routers[i]);
    }
}

void
soak_stop(struct soak *soak)
{
    for (size_t i = 0; i < SOAK_ROUTERS; i++) {
        struct soak_router *router = &soak->routers[i];

        if (router->pid > 0) {
            kill(router->pid, SIGKILL);
            waitpid(router->pid, NULL, 0);
        }
        channel_pool_free(router->pool);
        relay_free(router->store);
    }
    for (size_t i = 0; i < SOAK_ORIGINS_ALL; i++) {
        if (soak->origins[i].relay != NULL) {
            relay_free(soak->origins[i].relay);
        }
        origin_free(soak->origins[i].origin);
    }
    keyed_store_free(soak->store);
    free(soak->configuration);
}

void
soak_signal(struct soak *soak, struct soak_router *router, int number)
{
    if (router->pid == 0 || kill(router->pid, number) != 0) {
        return;
    }
    printf("%lld signal %d to %s\n", (long long)soak_now(), number,
           router->name);
    if (number == SIGTERM && !router->terminating) {
        router->terminating = true;
        router->sigterm_ms = soak_now();
    }
    if (number == SIGSTOP || number == SIGCONT) {
        router->frozen_ms = soak_now();
    }
    if (number == SIGKILL || number == SIGSTOP || number == SIGCONT) {
        router->disrupted_ms = soak_now();
    }
    router->killed = router->killed || number == SIGKILL;
    router->paused =
        number == SIGSTOP || (router->paused && number != SIGCONT);
    (void)soak;
}

/// A process that was not killed must exit only after SIGTERM, with status 0
/// and within the grace period.
static void
handle_exit(struct soak *soak, struct soak_router *router, int status)
{
    int64_t took_ms = soak_now() - router->sigterm_ms;

    if (router->terminating && !router->killed) {
        if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
            soak_violation(soak,
                           "%s: exited with wait status %d after SIGTERM",
                           router->name, status);
        }
        if (took_ms > SOAK_GRACE_MS &&
            router->disrupted_ms < router->sigterm_ms) {
            soak_violation(soak, "%s: took %lld ms to exit after SIGTERM",
                           router->name, (long long)took_ms);
        }
    }
    else if (!router->killed) {
        soak_violation(soak, "%s: exited by itself with wait status %d",
                       router->name, status);
    }
    router->pid = 0;
    router->restart_ms = soak_now() + RESTART_MS;
}

void
soak_supervise(struct soak *soak)
{
    int64_t now_ms = soak_now();

    for (size_t i = 0; i < SOAK_ROUTERS; i++) {
        struct soak_router *router = &soak->routers[i];
        int status;

        if (router->pid == 0) {
            if (now_ms >= router->restart_ms) {
                start_router(soak, router);
            }
            continue;
        }
        if (router->paused && now_ms >= router->resume_ms) {
            soak_signal(soak, router, SIGCONT);
        }
        if (waitpid(router->pid, &status, WNOHANG) == router->pid) {
            handle_exit(soak, router, status);
        }
    }
}
