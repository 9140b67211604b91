/// Error struct, which names the step and the peer at which an error occurred.
#pragma once

#include <stdbool.h>

enum err_code {
    ERR_NONE,
    ERR_INPUT,
    ERR_IO,
    ERR_PROTOCOL,
    ERR_AUTH,
    ERR_TIMEOUT,
    ERR_LIMIT,
    ERR_CONFLICT,
    ERR_UNAVAILABLE,
};

/// Zero-initialise before use. Owns nothing.
struct err {
    enum err_code code;
    char step[32];
    char peer[64];
    char message[320];
};

/// Sets the error unless one is set already; texts are copied and truncated.
/// `err` and `peer` may be NULL. Returns false, so that callers can return its
/// result.
bool err_set(struct err *err, enum err_code code, const char *step,
             const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/// The short name of a code, for logs.
const char *err_code_name(enum err_code code);
