/// The filters that a request passes before it is dispatched: what it says of
/// itself, its route, its account, the quarantine.
#pragma once

#include <stdbool.h>

struct exchange;

/// What the request says of itself; false if it was answered.
bool admission_parse(struct exchange *exchange);

/// The filters in order; false if one has answered. The deployment is known.
bool admission_filter(struct exchange *exchange);
