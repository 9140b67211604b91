/// Starts a program as a child process.
#pragma once

#include <sys/types.h>

struct process_options {
    const char *program;  ///< executable
    const char *config;   ///< settings file
    const char *log_file; ///< appended to: standard output and errors
    /// Options of AddressSanitizer for this process instead of the inherited
    /// ones; NULL: none. Without effect in other builds.
    const char *sanitizer_options;
};

/// Starts the program with all other descriptors closed. SIGTERM, SIGINT and
/// SIGHUP are blocked in it: before its first line of code they would end it
/// without its doing, afterwards it unblocks them itself. Aborts if no process
/// can be started.
pid_t process_start(const struct process_options *options);

/// The peak of the process's memory; -1: it has just ended.
long process_peak_kb(pid_t pid);
