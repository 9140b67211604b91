/// Structured logging through log4c: one line of `key=value` pairs for each
/// event. Each source file defines LOG_MODULE.
#pragma once

#include <stdbool.h>

enum log_level {
    LOG_LEVEL_ERROR,
    LOG_LEVEL_WARNING,
    LOG_LEVEL_INFO,
    LOG_LEVEL_DEBUG,
};

#define LOG_ERROR(...) log_line(LOG_LEVEL_ERROR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARNING(...) log_line(LOG_LEVEL_WARNING, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_line(LOG_LEVEL_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DEBUG(...) log_line(LOG_LEVEL_DEBUG, LOG_MODULE, __VA_ARGS__)

/// Starts logging to a file descriptor. Lines are buffered until log_flush();
/// errors and warnings are written at once. Writing never blocks: lines above
/// the rate limit, or above the buffer size if the reader is too slow, are
/// dropped, and their number is logged.
void log_start(enum log_level level, int fd);
void log_stop(void);
void log_flush(void);

/// Parses "error", "warning", "info" or "debug".
bool log_parse_level(const char *name, enum log_level *level);

bool log_enabled(enum log_level level);
void log_line(enum log_level level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
