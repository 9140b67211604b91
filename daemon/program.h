/// Common parts of all programs: command line, signals, event loop.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/err.h"

struct event;
struct event_base;

#define EXIT_BAD_INPUT 2

struct program {
    const char *name;
    const char *summary;
    char *config;
    bool check_only;
};

/// Parses the command line. False if the program should end with *status.
/// Otherwise, unless only the settings are checked, SIGTERM, SIGINT and SIGHUP
/// stay blocked until program_run(): they act then.
bool program_parse(struct program *program, int argc, const char **argv,
                   int *status);
void program_destroy(struct program *program);

/// Reports an input error on standard error and returns EXIT_BAD_INPUT.
int program_fail(const struct program *program, const struct err *err);

/// Runs the loop until event_base_loopbreak(); `terminate` is called on
/// the first SIGTERM or SIGINT. A further SIGINT ends the loop at once, a
/// further SIGTERM has no effect, also after the loop has ended.
void program_run(struct event_base *base, void (*terminate)(void *ctx),
                 void *ctx);

/// Calls back on SIGHUP, which otherwise ends the process. The caller frees
/// with event_free().
struct event *program_watch_hangup(struct event_base *base,
                                   void (*callback)(void *ctx), void *ctx);

/// An event base that merges the epoll changes of one loop iteration; the
/// caller frees with event_base_free().
struct event_base *program_event_base(void);

/// The wall-clock time in microseconds; higher at each start on one VM.
uint64_t program_incarnation(void);
