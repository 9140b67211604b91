#include "dandelionvalve/answer.h"

#include <xxhash.h>

#include "xmalloc.h"

void
answer_init(struct answer *answer, const struct attempt_id *id)
{
    *answer = (struct answer){.id = *id, .hash = XXH64_createState()};
    if (answer->hash == NULL) {
        BUG("out of memory");
    }
    XXH64_reset(answer->hash, 0);
}

void
answer_destroy(struct answer *answer)
{
    XXH64_freeState(answer->hash);
    answer->hash = NULL;
}

static bool
is_current(const struct answer *answer, const struct attempt_id *id)
{
    return !answer->ended && id->attempt == answer->id.attempt &&
           request_id_equal(&id->request, &answer->id.request);
}

enum answer_verdict
answer_head(struct answer *answer, const struct attempt_id *id)
{
    if (!is_current(answer, id) || answer->has_head) {
        return ANSWER_DROP;
    }
    answer->has_head = true;
    return ANSWER_ACCEPT;
}

enum answer_verdict
answer_data(struct answer *answer, const struct attempt_id *id,
            uint64_t offset, struct str bytes)
{
    if (!is_current(answer, id) || offset < answer->next_offset) {
        return ANSWER_DROP;
    }
    if (!answer->has_head || offset > answer->next_offset) {
        return ANSWER_GAP;
    }
    XXH64_update(answer->hash, bytes.data, bytes.len);
    answer->next_offset += bytes.len;
    return ANSWER_ACCEPT;
}

enum answer_verdict
answer_end(struct answer *answer, const struct attempt_id *id,
           uint64_t total_bytes, uint64_t hash)
{
    if (!is_current(answer, id)) {
        return ANSWER_DROP;
    }
    if (!answer->has_head || total_bytes > answer->next_offset) {
        return ANSWER_GAP;
    }
    if (total_bytes != answer->next_offset ||
        hash != XXH64_digest(answer->hash)) {
        return ANSWER_BROKEN;
    }
    answer->ended = true;
    return ANSWER_ACCEPT;
}
