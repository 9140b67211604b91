/// Explains where a request would go now, and why, without sending it. The
/// decisions are those of direct/dispatch; no state changes.
#pragma once

/// Answers a query with the parameters `host`, `path`, and optionally
/// `account` (a name), `prompt` (ID:TOKENS,...) and `deadline_ms`. `ctx` is a
/// struct direct. Returns JSON, freed by the caller, and sets the HTTP status
/// if it is an error.
char *explain_request(void *ctx, const char *query, int *status);
