#include "pack.h"

#include <stdlib.h>

#include <zlib.h>

#include "xmalloc.h"

struct str
pack_compress(struct str value)
{
    uLongf len = compressBound((uLong)value.len);
    char *packed = xmalloc(len);

    // Fails only if the buffer is too small, and compressBound() prevents it.
    if (compress2((Bytef *)packed, &len, (const Bytef *)value.data,
                  (uLong)value.len, Z_BEST_SPEED) != Z_OK) {
        BUG("cannot compress %zu bytes", value.len);
    }
    return (struct str){packed, len};
}

bool
pack_expand(struct str packed, size_t bytes, struct str *value)
{
    uLongf len = (uLongf)bytes;
    char *expanded;

    if (bytes > PACK_BYTES_MAX) {
        return false;
    }
    expanded = xmalloc(bytes + 1);
    if (uncompress((Bytef *)expanded, &len, (const Bytef *)packed.data,
                   (uLong)packed.len) != Z_OK ||
        len != bytes) {
        free(expanded);
        return false;
    }
    *value = (struct str){expanded, bytes};
    return true;
}
