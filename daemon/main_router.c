/// dvrouter: the router daemon.
#include <stdlib.h>

#include <unistd.h>

#include <event2/event.h>

#include "core/toml.h"
#include "program.h"
#include "router.h"

static void
on_drained(void *ctx)
{
    event_base_loopbreak(ctx);
}

static void
on_terminate(void *ctx)
{
    router_drain(ctx);
}

static int
run(const struct program *program, const struct settings_router *settings)
{
    struct event_base *base = program_event_base();
    struct err err = {0};
    const struct router_options options = {
        .base = base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .settings = settings,
        .incarnation = program_incarnation(),
        .drained = on_drained,
        .ctx = base,
    };
    struct router *router = router_new(&options, &err);
    int status = EXIT_SUCCESS;

    if (router == NULL) {
        status = program_fail(program, &err);
    }
    else {
        program_run(base, on_terminate, router);
        router_free(router);
    }
    event_base_free(base);
    return status;
}

int
main(int argc, const char **argv)
{
    struct program program = {.name = "dvrouter"};
    struct settings_router settings;
    struct toml_doc *doc;
    struct err err = {0};
    int status;

    if (!program_parse(&program, argc, argv, &status)) {
        return status;
    }
    if (!settings_read_router(program.config, &settings, &doc, &err)) {
        status = program_fail(&program, &err);
        goto out;
    }
    status = EXIT_SUCCESS;
    if (!program.check_only) {
        log_start(settings.common.log_level, STDERR_FILENO);
        status = run(&program, &settings);
        log_stop();
    }
    toml_free(doc);
out:
    program_destroy(&program);
    return status;
}
