#include "xmalloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
check(void *ptr)
{
    if (ptr == NULL) {
        fputs("out of memory\n", stderr);
        abort();
    }
    return ptr;
}

void *
xmalloc(size_t size)
{
    return check(malloc(size > 0 ? size : 1));
}

void *
xcalloc(size_t count, size_t size)
{
    return check(calloc(count > 0 ? count : 1, size > 0 ? size : 1));
}

void *
xrealloc(void *ptr, size_t size)
{
    return check(realloc(ptr, size > 0 ? size : 1));
}

char *
xstrdup(const char *text)
{
    return check(strdup(text));
}

char *
xstrndup(const char *text, size_t len)
{
    char *copy = xmalloc(len + 1);

    if (len > 0) {
        memcpy(copy, text, len);
    }
    copy[len] = '\0';
    return copy;
}

char *
xasprintf(const char *fmt, ...)
{
    char *text = NULL;
    va_list ap;

    va_start(ap, fmt);
    if (vasprintf(&text, fmt, ap) < 0) {
        text = NULL;
    }
    va_end(ap);
    return check(text);
}

void
bug_abort(const char *file, int line, const char *fmt, ...)
{
    va_list ap;

    fprintf(stderr, "%s:%d: BUG: ", file, line);
    va_start(ap, fmt);
    vfprintf(stderr, fmt, ap);
    va_end(ap);
    fputc('\n', stderr);
    abort();
}
