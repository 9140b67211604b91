/// A configuration as the operator writes it to the platform's store: streams,
/// look-ups and bookings of one account.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// `key` is the keys of the account, a quoted comma between two; `added` adds
/// the route "/added/"; `timeout_ms` is that of plain calls, `idle_ms` that of
/// idle connections. The caller frees with free().
char *platform_document(int64_t version, const char *key, bool added,
                        int timeout_ms, int idle_ms);
