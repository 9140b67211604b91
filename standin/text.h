/// The answers of stand-in endpoints: a function of the request, so that a
/// caller can tell whether an answer is its own and whole.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

/// Longest token text with its end.
#define TEXT_TOKEN_BYTES 24

/// The seed of the answer to a request body.
uint64_t text_seed(struct str body);

/// Writes token `index` of the answer with this seed.
void text_token(uint64_t seed, size_t index, char out[TEXT_TOKEN_BYTES]);
