/// Checks of a request before it is dispatched: well-formed head, route,
/// account, quarantine.
#pragma once

#include <stdbool.h>

struct exchange;

/// Parses the head and sets the time limit; false if the request was refused.
bool admission_parse(struct exchange *exchange);

/// Checks route, account and quarantine in this order; false if one of them
/// refused the request. Needs a received configuration.
bool admission_filter(struct exchange *exchange);
