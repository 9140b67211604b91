#include "pack.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>
#include <zlib.h>

#include "xmalloc.h"

/// Hash of the value, in front of the compressed bytes: the library's own
/// checksum lets some changes of short values pass.
#define HASH_BYTES sizeof(XXH64_canonical_t)

static XXH64_canonical_t
hash_of(struct str value)
{
    XXH64_canonical_t hash;

    XXH64_canonicalFromHash(&hash, XXH64(value.data, value.len, 0));
    return hash;
}

struct str
pack_compress(struct str value)
{
    uLongf len = compressBound((uLong)value.len);
    char *packed = xmalloc(HASH_BYTES + len);
    XXH64_canonical_t hash = hash_of(value);

    memcpy(packed, &hash, HASH_BYTES);
    // Fails only if the buffer is too small, and compressBound() prevents it.
    if (compress2((Bytef *)packed + HASH_BYTES, &len,
                  (const Bytef *)value.data, (uLong)value.len,
                  Z_BEST_SPEED) != Z_OK) {
        BUG("cannot compress %zu bytes", value.len);
    }
    return (struct str){packed, HASH_BYTES + len};
}

bool
pack_expand(struct str packed, size_t bytes, struct str *value)
{
    uLongf len = (uLongf)bytes;
    XXH64_canonical_t hash;
    char *expanded;

    if (bytes > PACK_BYTES_MAX || packed.len < HASH_BYTES) {
        return false;
    }
    expanded = xmalloc(bytes + 1);
    if (uncompress((Bytef *)expanded, &len,
                   (const Bytef *)packed.data + HASH_BYTES,
                   (uLong)(packed.len - HASH_BYTES)) != Z_OK ||
        len != bytes) {
        goto fail;
    }
    hash = hash_of((struct str){expanded, bytes});
    if (memcmp(&hash, packed.data, HASH_BYTES) != 0) {
        goto fail;
    }
    *value = (struct str){expanded, bytes};
    return true;
fail:
    free(expanded);
    return false;
}
