#include "answer_buffer.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <xxhash.h>

#include "core/xmalloc.h"

void
answer_buffer_init(struct answer_buffer *buffer)
{
    buffer->bytes = evbuffer_new();
    buffer->hash = XXH64_createState();
    if (buffer->bytes == NULL || buffer->hash == NULL) {
        BUG("out of memory");
    }
    XXH64_reset(buffer->hash, 0);
}

void
answer_buffer_destroy(struct answer_buffer *buffer)
{
    if (buffer->bytes != NULL) {
        evbuffer_free(buffer->bytes);
    }
    XXH64_freeState(buffer->hash);
    free(buffer->headers);
    free(buffer->header_block);
    *buffer = (struct answer_buffer){0};
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
answer_buffer_set_head(struct answer_buffer *buffer, int status,
                       const struct message_header *headers, size_t count)
{
    size_t bytes = 0;
    char *next;

    for (size_t i = 0; i < count; i++) {
        bytes += headers[i].name.len + headers[i].value.len;
    }
    buffer->headers = xcalloc(count, sizeof(*headers));
    buffer->header_block = xmalloc(bytes);
    buffer->header_count = count;
    buffer->status = status;
    buffer->has_head = true;
    next = buffer->header_block;
    for (size_t i = 0; i < count; i++) {
        buffer->headers[i].name = copy_into(&next, headers[i].name);
        buffer->headers[i].value = copy_into(&next, headers[i].value);
    }
}

void
answer_buffer_append(struct answer_buffer *buffer, struct str bytes, bool keep)
{
    XXH64_update(buffer->hash, bytes.data, bytes.len);
    buffer->end_offset += bytes.len;
    if (keep) {
        evbuffer_add(buffer->bytes, bytes.data, bytes.len);
        return;
    }
    evbuffer_drain(buffer->bytes, evbuffer_get_length(buffer->bytes));
    buffer->first_offset = buffer->end_offset;
}

bool
answer_buffer_can_resume(const struct answer_buffer *buffer, uint64_t offset)
{
    return buffer->bytes != NULL && offset >= buffer->first_offset &&
           offset <= buffer->end_offset;
}

bool
answer_buffer_acknowledge(struct answer_buffer *buffer, uint64_t offset)
{
    if (!answer_buffer_can_resume(buffer, offset)) {
        return false;
    }
    evbuffer_drain(buffer->bytes, offset - buffer->first_offset);
    buffer->first_offset = offset;
    return true;
}

size_t
answer_buffer_copy(const struct answer_buffer *buffer, uint64_t offset,
                   char *out, size_t size)
{
    struct evbuffer_ptr position;
    size_t left = buffer->end_offset - offset;

    if (left == 0) {
        return 0;
    }
    evbuffer_ptr_set(buffer->bytes, &position, offset - buffer->first_offset,
                     EVBUFFER_PTR_SET);
    return (size_t)evbuffer_copyout_from(buffer->bytes, &position, out,
                                         left < size ? left : size);
}

uint64_t
answer_buffer_hash(const struct answer_buffer *buffer)
{
    return XXH64_digest(buffer->hash);
}
