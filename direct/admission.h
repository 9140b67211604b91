/// Checks of a request before it is dispatched: well-formed head, route,
/// account, quarantine.
#pragma once

#include <stdbool.h>

struct catalog_account;
struct exchange;

/// Parses the head and sets the time limit; false if the request was refused.
bool admission_parse(struct exchange *exchange);

/// Sets account and priority; false if the route needs an account and there is
/// none. `account` may be NULL.
bool admission_set_account(struct exchange *exchange,
                           const struct catalog_account *account);

/// Sets the time until which the route and the caller wait.
void admission_set_expiry(struct exchange *exchange);

/// Checks route, account and quarantine in this order; false if one of them
/// refused the request. Needs a received configuration.
bool admission_filter(struct exchange *exchange);
