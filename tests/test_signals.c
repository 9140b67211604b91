/// Signals that come before a program's handlers are installed, or after its
/// loop has ended (soak seed 90412).
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#include <CUnit/CUnit.h>
#include <event2/event.h>

#include "daemon/program.h"
#include "soak/process.h"
#include "suites.h"

struct run {
    struct event_base *base;
    int terminated;
    int hangups;
};

static void
on_terminate(void *ctx)
{
    struct run *run = ctx;

    run->terminated++;
    event_base_loopexit(run->base, NULL);
}

static void
on_hangup(void *ctx)
{
    ((struct run *)ctx)->hangups++;
}

static bool
is_pending(int number)
{
    sigset_t pending;

    sigpending(&pending);
    return sigismember(&pending, number) == 1;
}

/// Takes a pending signal and restores the mask that tests run with.
static void
discard_pending(int number)
{
    const struct timespec now = {0};
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, number);
    CU_ASSERT(sigtimedwait(&set, NULL, &now) == number);
}

static void
unblock_all(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigprocmask(SIG_SETMASK, &set, NULL);
}

static void
test_signals_at_start_and_end(void)
{
    const char *argv[] = {"test", "--config", "file", NULL};
    struct program program = {.name = "test"};
    struct run run = {0};
    struct event *hangup;
    int status;

    CU_ASSERT_FATAL(program_parse(&program, 3, argv, &status));
    // The process is still there: both are pending.
    raise(SIGTERM);
    raise(SIGHUP);
    CU_ASSERT_FATAL(is_pending(SIGTERM) && is_pending(SIGHUP));
    run.base = program_event_base();
    hangup = program_watch_hangup(run.base, on_hangup, &run);
    program_run(run.base, on_terminate, &run);
    CU_ASSERT(run.terminated == 1);
    CU_ASSERT(run.hangups == 1);
    raise(SIGTERM);
    CU_ASSERT(is_pending(SIGTERM));
    discard_pending(SIGTERM);
    event_free(hangup);
    event_base_free(run.base);
    program_destroy(&program);
    unblock_all();
}

/// A program that only checks its settings, or reports bad arguments, ends by
/// a signal as usual.
static void
test_signals_of_checks(void)
{
    const char *check[] = {"test", "--config", "file", "--check", NULL};
    const char *bad[] = {"test", "surplus", NULL};
    struct program program = {.name = "test"};
    sigset_t mask;
    int status;

    CU_ASSERT(program_parse(&program, 4, check, &status));
    sigprocmask(SIG_SETMASK, NULL, &mask);
    CU_ASSERT(sigismember(&mask, SIGTERM) == 0);
    program_destroy(&program);
    CU_ASSERT(!program_parse(&program, 2, bad, &status));
    sigprocmask(SIG_SETMASK, NULL, &mask);
    CU_ASSERT(sigismember(&mask, SIGTERM) == 0);
}

/// A router that gets SIGTERM right after its start, before its first line of
/// code, ends by itself (soak seed 90412 in CI).
static void
test_signal_before_first_line(void)
{
    for (int i = 0; i < 10; i++) {
        pid_t pid = process_start(&(struct process_options){
            .program = ROUTER_PROGRAM,
            .config = "missing.toml",
            .log_file = "/dev/null",
        });
        int status;

        kill(pid, SIGTERM);
        CU_ASSERT_FATAL(waitpid(pid, &status, 0) == pid);
        CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == EXIT_BAD_INPUT);
    }
}

void
suite_signals(void)
{
    CU_pSuite suite = CU_add_suite("signals", NULL, NULL);

    CU_add_test(suite, "signals at start and end",
                test_signals_at_start_and_end);
    CU_add_test(suite, "signals of checks", test_signals_of_checks);
    CU_add_test(suite, "signal before first line",
                test_signal_before_first_line);
}
