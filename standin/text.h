/// Text of the stand-ins' answers. It is derived from the request body, so
/// that a caller can verify that an answer is complete and belongs to its
/// request.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

/// Size of the buffer for a token, with the terminating NUL.
#define TEXT_TOKEN_BYTES 24

/// Seed of the answer to a request with this body.
uint64_t text_seed(struct str body);

/// Writes token `index` of the answer with this seed.
void text_token(uint64_t seed, size_t index, char out[TEXT_TOKEN_BYTES]);
