/// Small valid configuration documents for tests.
#pragma once

#include "dandelionvalve/history.h"

/// A document whose only pool has this name; the caller frees .data.
struct str document_named(const char *pool);

/// A change record; the caller frees .data.
struct str document_change(const char *pool, int64_t base, const char *nonce);
