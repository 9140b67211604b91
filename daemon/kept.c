#include "kept.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <xxhash.h>

#include "core/xmalloc.h"

void
kept_start(struct kept *kept)
{
    kept->bytes = evbuffer_new();
    kept->hash = XXH64_createState();
    if (kept->bytes == NULL || kept->hash == NULL) {
        BUG("out of memory");
    }
    XXH64_reset(kept->hash, 0);
}

void
kept_destroy(struct kept *kept)
{
    if (kept->bytes != NULL) {
        evbuffer_free(kept->bytes);
    }
    XXH64_freeState(kept->hash);
    free(kept->headers);
    free(kept->header_block);
    *kept = (struct kept){0};
}

static struct str
copy_into(char **next, struct str s)
{
    struct str copy = {*next, s.len};

    memcpy(*next, s.data, s.len);
    *next += s.len;
    return copy;
}

void
kept_set_head(struct kept *kept, int status,
              const struct message_header *headers, size_t count)
{
    size_t bytes = 0;
    char *next;

    for (size_t i = 0; i < count; i++) {
        bytes += headers[i].name.len + headers[i].value.len;
    }
    kept->headers = xcalloc(count, sizeof(*headers));
    kept->header_block = xmalloc(bytes);
    kept->header_count = count;
    kept->status = status;
    kept->has_head = true;
    next = kept->header_block;
    for (size_t i = 0; i < count; i++) {
        kept->headers[i].name = copy_into(&next, headers[i].name);
        kept->headers[i].value = copy_into(&next, headers[i].value);
    }
}

void
kept_add(struct kept *kept, struct str bytes, bool keep)
{
    XXH64_update(kept->hash, bytes.data, bytes.len);
    kept->end += bytes.len;
    if (keep) {
        evbuffer_add(kept->bytes, bytes.data, bytes.len);
        return;
    }
    evbuffer_drain(kept->bytes, evbuffer_get_length(kept->bytes));
    kept->first = kept->end;
}

bool
kept_can_resume(const struct kept *kept, uint64_t offset)
{
    return kept->bytes != NULL && offset >= kept->first && offset <= kept->end;
}

bool
kept_acknowledge(struct kept *kept, uint64_t offset)
{
    if (!kept_can_resume(kept, offset)) {
        return false;
    }
    evbuffer_drain(kept->bytes, offset - kept->first);
    kept->first = offset;
    return true;
}

size_t
kept_copy(const struct kept *kept, uint64_t offset, char *out, size_t size)
{
    struct evbuffer_ptr position;
    size_t left = kept->end - offset;

    if (left == 0) {
        return 0;
    }
    evbuffer_ptr_set(kept->bytes, &position, offset - kept->first,
                     EVBUFFER_PTR_SET);
    return (size_t)evbuffer_copyout_from(kept->bytes, &position, out,
                                         left < size ? left : size);
}

uint64_t
kept_hash(const struct kept *kept)
{
    return XXH64_digest(kept->hash);
}
