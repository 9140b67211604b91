#include "program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <event2/event.h>
#include <popt.h>
#include <sodium.h>

#include "core/xmalloc.h"
#include "version.h"

struct signals {
    struct event_base *base;
    void (*terminate)(void *ctx);
    void *ctx;
    bool terminating;
};

/// SIGTERM, SIGINT and SIGHUP, which are blocked except while their handlers
/// are installed: by default they end the process, also one that has just been
/// started or has drained.
static void
handled_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
    sigaddset(set, SIGHUP);
}

static void
block_signals(bool block)
{
    sigset_t set;

    handled_signals(&set);
    sigprocmask(block ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL);
}

bool
program_parse(struct program *program, int argc, const char **argv,
              int *status)
{
    int version = 0;
    int check = 0;
    char *config = NULL;
    const struct poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &config, 0, "settings file", "FILE"},
        {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit",
         NULL},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", NULL},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context;
    int result;
    bool proceed = false;

    block_signals(true);
    context = poptGetContext(program->name, argc, argv, options, 0);
    result = poptGetNextOpt(context);
    *status = EXIT_BAD_INPUT;
    if (result < -1) {
        fprintf(stderr, "%s: %s: %s\n", program->name,
                poptBadOption(context, 0), poptStrerror(result));
    }
    else if (poptPeekArg(context) != NULL) {
        fprintf(stderr, "%s: unexpected argument '%s'\n", program->name,
                poptPeekArg(context));
    }
    else if (version) {
        printf("%s %s\n", program->name, VERSION);
        *status = EXIT_SUCCESS;
    }
    else if (config == NULL) {
        fprintf(stderr, "%s: --config FILE is needed; see --help\n",
                program->name);
    }
    else {
        program->config = config;
        program->check_only = check != 0;
        config = NULL;
        proceed = true;
    }
    free(config);
    poptFreeContext(context);
    if (!proceed || program->check_only) {
        block_signals(false);
    }
    if (proceed && sodium_init() < 0) {
        BUG("libsodium cannot be initialised");
    }
    return proceed;
}

void
program_destroy(struct program *program)
{
    free(program->config);
    program->config = NULL;
}

int
program_fail(const struct program *program, const struct err *err)
{
    fprintf(stderr, "%s: %s\n", program->name, err->message);
    return EXIT_BAD_INPUT;
}

static void
on_signal(evutil_socket_t number, short events, void *ctx)
{
    struct signals *signals = ctx;

    (void)events;
    if (signals->terminating) {
        // SIGTERM may be sent repeatedly; that must not cut off requests.
        if (number == SIGINT) {
            event_base_loopbreak(signals->base);
        }
        return;
    }
    signals->terminating = true;
    signals->terminate(signals->ctx);
}

void
program_run(struct event_base *base, void (*terminate)(void *ctx), void *ctx)
{
    struct signals signals = {base, terminate, ctx, false};
    struct event *term = evsignal_new(base, SIGTERM, on_signal, &signals);
    struct event *interrupt = evsignal_new(base, SIGINT, on_signal, &signals);

    if (term == NULL || interrupt == NULL) {
        BUG("out of memory");
    }
    signal(SIGPIPE, SIG_IGN);
    event_add(term, NULL);
    event_add(interrupt, NULL);
    block_signals(false);
    event_base_dispatch(base);
    block_signals(true);
    event_free(term);
    event_free(interrupt);
}

struct hangup {
    void (*callback)(void *ctx);
    void *ctx;
};

static void
on_hangup(evutil_socket_t number, short events, void *ctx)
{
    const struct hangup *hangup = ctx;

    (void)number;
    (void)events;
    hangup->callback(hangup->ctx);
}

struct event *
program_watch_hangup(struct event_base *base, void (*callback)(void *ctx),
                     void *ctx)
{
    static struct hangup hangup;
    struct event *event = evsignal_new(base, SIGHUP, on_hangup, &hangup);

    if (event == NULL) {
        BUG("out of memory");
    }
    hangup = (struct hangup){callback, ctx};
    event_add(event, NULL);
    return event;
}

uint64_t
program_incarnation(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

struct event_base *
program_event_base(void)
{
    struct event_config *config = event_config_new();
    struct event_base *base;

    if (config == NULL) {
        BUG("out of memory");
    }
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
    base = event_base_new_with_config(config);
    event_config_free(config);
    if (base == NULL) {
        BUG("out of memory");
    }
    return base;
}
