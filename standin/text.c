#include "text.h"

#include <inttypes.h>
#include <stdio.h>

#define BODY_HASH_SEED 77

uint64_t
text_seed(struct str body)
{
    return str_hash(body, BODY_HASH_SEED);
}

void
text_token(uint64_t seed, size_t index, char out[TEXT_TOKEN_BYTES])
{
    uint64_t word =
        str_hash((struct str){(const char *)&index, sizeof(index)}, seed);

    snprintf(out, TEXT_TOKEN_BYTES, "%08" PRIx64 " ", word >> 32);
}
