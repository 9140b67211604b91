/// dvstandin: runs stand-ins for the platform, the engines and the services of
/// a deployment in one process.
#include <stdio.h>
#include <stdlib.h>

#include <unistd.h>

#include <arpa/inet.h>
#include <event2/event.h>

#include "core/toml.h"
#include "core/xmalloc.h"
#include "daemon/program.h"
#include "daemon/settings.h"
#include "engine.h"
#include "platform_log.h"
#include "service.h"

#define ENGINE_RESTART_MS 2000

struct standin {
    struct event_base *base;
    struct platform_log *log;
    struct engine **engines;
    size_t engine_count;
    struct service **services;
    size_t service_count;
    char **names;
    size_t name_count;
};

/// The address of member `index` of a group: the first address plus `index`.
static struct address
member_address(const struct address *first, int64_t index)
{
    struct address address = *first;
    struct sockaddr_in *v4 = (void *)&address.storage;

    v4->sin_addr.s_addr = htonl(ntohl(v4->sin_addr.s_addr) + (uint32_t)index);
    inet_ntop(AF_INET, &v4->sin_addr, address.ip, sizeof(address.ip));
    return address;
}

static const char *
member_name(struct standin *standin, struct str prefix, int64_t index)
{
    char *name =
        xasprintf(STR_FMT "-%lld", STR_ARG(prefix), (long long)index + 1);

    standin->names =
        xrealloc(standin->names, (standin->name_count + 1) * sizeof(char *));
    standin->names[standin->name_count++] = name;
    return name;
}

static bool
add_engine(struct standin *standin, const struct settings_standin_group *group,
           int64_t index, struct err *err)
{
    const struct engine_options options = {
        .base = standin->base,
        .clock = &clock_monotonic,
        .name = str_from(member_name(standin, group->prefix, index)),
        .address = member_address(&group->first, index),
        .slots = group->slots,
        .prefill_us_per_token = group->prefill_us_per_token,
        .decode_us_per_token = group->decode_us_per_token,
        .cache_tokens = group->cache_tokens,
        .restart_ms = ENGINE_RESTART_MS,
        .checks_fencing = group->checks_fencing,
    };

    standin->engines = xrealloc(standin->engines, (standin->engine_count + 1) *
                                                      sizeof(struct engine *));
    standin->engines[standin->engine_count] = engine_new(&options, err);
    return standin->engines[standin->engine_count++] != NULL;
}

static bool
add_service(struct standin *standin,
            const struct settings_standin_group *group, int64_t index,
            struct err *err)
{
    const struct service_options options = {
        .base = standin->base,
        .name = str_from(member_name(standin, group->prefix, index)),
        .address = member_address(&group->first, index),
        .work_us = group->decode_us_per_token,
    };

    standin->services =
        xrealloc(standin->services,
                 (standin->service_count + 1) * sizeof(struct service *));
    standin->services[standin->service_count] = service_new(&options, err);
    return standin->services[standin->service_count++] != NULL;
}

static bool
add_groups(struct standin *standin, const struct settings_standin *settings,
           struct err *err)
{
    for (size_t i = 0; i < settings->group_count; i++) {
        const struct settings_standin_group *group = &settings->groups[i];
        bool engine = str_equal_c(group->kind, "engine");

        for (int64_t j = 0; j < group->count; j++) {
            if (engine ? !add_engine(standin, group, j, err)
                       : !add_service(standin, group, j, err)) {
                return false;
            }
        }
    }
    return true;
}

static void
on_terminate(void *ctx)
{
    event_base_loopbreak(ctx);
}

static void
standin_destroy(struct standin *standin)
{
    for (size_t i = 0; i < standin->engine_count; i++) {
        engine_free(standin->engines[i]);
    }
    for (size_t i = 0; i < standin->service_count; i++) {
        service_free(standin->services[i]);
    }
    for (size_t i = 0; i < standin->name_count; i++) {
        free(standin->names[i]);
    }
    free(standin->engines);
    free(standin->services);
    free(standin->names);
    platform_log_free(standin->log);
    event_base_free(standin->base);
}

static int64_t
wall_offset_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000 -
           clock_ms(&clock_monotonic);
}

static int
run(const struct program *program, const struct settings_standin *settings)
{
    struct standin standin = {.base = event_base_new()};
    struct err err = {0};
    const struct platform_log_options log = {
        .base = standin.base,
        .clock = &clock_monotonic,
        .address = settings->platform,
        .wall_offset_ms = wall_offset_ms(),
        .retention_ms = settings->retention_ms,
        .append_delay_ms = settings->append_delay_ms,
        .appends_per_s = settings->appends_per_s,
        .list_lag_ms = settings->list_lag_ms,
        .vms = settings->vms,
    };
    int status = EXIT_SUCCESS;

    standin.log = platform_log_new(&log, &err);
    if (standin.log == NULL || !add_groups(&standin, settings, &err)) {
        status = program_fail(program, &err);
    }
    else {
        printf("ready\n");
        fflush(stdout);
        program_run(standin.base, on_terminate, standin.base);
    }
    standin_destroy(&standin);
    return status;
}

int
main(int argc, const char **argv)
{
    struct program program = {.name = "dvstandin"};
    struct settings_standin settings;
    struct toml_doc *doc;
    struct err err = {0};
    int status;

    if (!program_parse(&program, argc, argv, &status)) {
        return status;
    }
    if (!settings_read_standin(program.config, &settings, &doc, &err)) {
        status = program_fail(&program, &err);
        goto out;
    }
    status = EXIT_SUCCESS;
    if (!program.check_only) {
        log_start(settings.log_level, STDERR_FILENO);
        status = run(&program, &settings);
        log_stop();
    }
    free(settings.groups);
    toml_free(doc);
out:
    program_destroy(&program);
    return status;
}
