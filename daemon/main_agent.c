/// dvagent: the agent daemon.
#include <stdlib.h>

#include <unistd.h>

#include <event2/event.h>

#include "core/toml.h"
#include "program.h"
#include "agent.h"

static void
on_drained(void *ctx)
{
    event_base_loopbreak(ctx);
}

static void
on_terminate(void *ctx)
{
    agent_drain(ctx);
}

static int
run(const struct program *program, const struct settings_agent *settings)
{
    struct event_base *base = program_event_base();
    struct err err = {0};
    const struct agent_options options = {
        .base = base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .settings = settings,
        .incarnation = program_incarnation(),
        .drained = on_drained,
        .ctx = base,
    };
    struct agent *agent = agent_new(&options, &err);
    int status = EXIT_SUCCESS;

    if (agent == NULL) {
        status = program_fail(program, &err);
    }
    else {
        program_run(base, on_terminate, agent);
        agent_free(agent);
    }
    event_base_free(base);
    return status;
}

int
main(int argc, const char **argv)
{
    struct program program = {.name = "dvagent"};
    struct settings_agent settings;
    struct toml_doc *doc;
    struct err err = {0};
    int status;

    if (!program_parse(&program, argc, argv, &status)) {
        return status;
    }
    if (!settings_read_agent(program.config, &settings, &doc, &err)) {
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
