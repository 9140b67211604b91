#include "dandelionvalve/err.h"

#include <stdarg.h>
#include <stdio.h>

bool
err_set(struct err *err, enum err_code code, const char *step,
        const char *peer, const char *fmt, ...)
{
    va_list ap;

    if (err == NULL || err->code != ERR_NONE) {
        return false;
    }
    err->code = code;
    snprintf(err->step, sizeof(err->step), "%s", step);
    snprintf(err->peer, sizeof(err->peer), "%s", peer != NULL ? peer : "");
    va_start(ap, fmt);
    vsnprintf(err->message, sizeof(err->message), fmt, ap);
    va_end(ap);
    return false;
}

const char *
err_code_name(enum err_code code)
{
    static const char *const names[] = {
        [ERR_NONE] = "none",
        [ERR_INPUT] = "input",
        [ERR_IO] = "io",
        [ERR_PROTOCOL] = "protocol",
        [ERR_AUTH] = "auth",
        [ERR_TIMEOUT] = "timeout",
        [ERR_LIMIT] = "limit",
        [ERR_CONFLICT] = "conflict",
        [ERR_UNAVAILABLE] = "unavailable",
    };

    return names[code];
}
