/// Allocation that aborts when out of memory, and assertions.
#pragma once

#include <stddef.h>

/// Like malloc(), never NULL; the caller frees with free().
void *xmalloc(size_t size);

/// Like calloc(), never NULL; the caller frees with free().
void *xcalloc(size_t count, size_t size);

/// Like realloc(), never NULL; the caller frees with free().
void *xrealloc(void *ptr, size_t size);

/// Like strdup(), never NULL; the caller frees with free().
char *xstrdup(const char *text);

/// Like strndup(), never NULL; the caller frees with free().
char *xstrndup(const char *text, size_t len);

/// Like asprintf(), never NULL; the caller frees with free().
char *xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/// Prints the position and a message, and aborts.
#define BUG(...) bug_abort(__FILE__, __LINE__, __VA_ARGS__)

/// Aborts with a message if the condition is false; also in release builds.
#define INVARIANT(cond)                                                       \
    do {                                                                      \
        if (!(cond)) {                                                        \
            BUG("invariant does not hold: %s", #cond);                        \
        }                                                                     \
    } while (0)

_Noreturn void bug_abort(const char *file, int line, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
