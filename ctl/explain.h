/// Prints where a running router would send a request, and why.
#pragma once

#include <stdbool.h>

#include "dandelionvalve/err.h"

/// A request; members that are NULL are left out.
struct explain_options {
    const char *router; ///< its metrics or readiness address
    const char *host;
    const char *path;
    const char *account; ///< its name, not a key
    const char *prompt;  ///< ID:TOKENS,...
    const char *deadline_ms;
    bool as_json;
};

/// Asks the router and prints a table or JSON. False with `err` set: ERR_INPUT
/// if the router does not know the route or account, or the options are wrong.
bool explain_print(const struct explain_options *options, struct err *err);
