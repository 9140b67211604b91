/// A configuration document as an operator writes it to the platform's store:
/// routes for streams, look-ups and bookings, and one client account.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// `api_keys` is one API key, or several separated by `","` with the quotes;
/// `added_route` adds the route "/added/"; `timeout_ms` applies to look-ups
/// and bookings, `idle_ms` to idle connections. The caller frees with free().
char *platform_document(int64_t version, const char *api_keys,
                        bool added_route, int timeout_ms, int idle_ms);
