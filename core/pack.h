/// Compression of large records that routers send to each other.
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "dandelionvalve/str.h"

/// Largest value that pack_expand() produces.
#define PACK_BYTES_MAX (8 * 1024 * 1024)

/// Compresses a value; the caller frees `.data`.
struct str pack_compress(struct str value);

/// Expands a compressed value of `bytes` bytes; the caller frees `.data`.
/// False if the input is malformed or expands to another length.
bool pack_expand(struct str packed, size_t bytes, struct str *value);
