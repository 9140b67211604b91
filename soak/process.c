#include "process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/xmalloc.h"

#define DESCRIPTORS_MAX 1024

static void
execute(const struct process_options *options)
{
    int fd = open(options->log_file, O_WRONLY | O_CREAT | O_APPEND, 0644);

    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    for (int i = STDERR_FILENO + 1; i < DESCRIPTORS_MAX; i++) {
        close(i);
    }
    if (options->sanitizer_options != NULL) {
        setenv("ASAN_OPTIONS", options->sanitizer_options, 1);
    }
    execl(options->program, options->program, "--config", options->config,
          (char *)NULL);
    _exit(127);
}

pid_t
process_start(const struct process_options *options)
{
    sigset_t blocked, before;
    pid_t pid;

    sigemptyset(&blocked);
    sigaddset(&blocked, SIGTERM);
    sigaddset(&blocked, SIGINT);
    sigaddset(&blocked, SIGHUP);
    // The child inherits the mask, also across execl().
    sigprocmask(SIG_BLOCK, &blocked, &before);
    pid = fork();
    if (pid == 0) {
        execute(options);
    }
    sigprocmask(SIG_SETMASK, &before, NULL);
    if (pid < 0) {
        BUG("fork: %s", strerror(errno));
    }
    return pid;
}

long
process_peak_kb(pid_t pid)
{
    char line[256];
    long kb = -1;
    FILE *in;

    snprintf(line, sizeof(line), "/proc/%ld/status", (long)pid);
    in = fopen(line, "r");
    while (in != NULL && fgets(line, sizeof(line), in) != NULL) {
        if (sscanf(line, "VmHWM: %ld kB", &kb) == 1) {
            break;
        }
    }
    if (in != NULL) {
        fclose(in);
    }
    return kb;
}
