/// Checks that the parts of one attempt's answer are whole and in order.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/message.h"

struct XXH64_state_s;

enum answer_verdict {
    ANSWER_ACCEPT, ///< the part is the next one
    ANSWER_DROP,   ///< late, doubled or out of order: ignore and count
    ANSWER_GAP,    ///< parts are missing: ask for them from next_offset on
    ANSWER_BROKEN, ///< the answer can no longer be completed
};

/// One answer in the making. Initialise with answer_init().
struct answer {
    struct attempt_id id;
    bool has_head;
    bool ended;
    uint64_t next_offset;
    struct XXH64_state_s *hash;
};

void answer_init(struct answer *answer, const struct attempt_id *id);
void answer_destroy(struct answer *answer);

enum answer_verdict answer_head(struct answer *answer,
                                const struct attempt_id *id);
enum answer_verdict answer_data(struct answer *answer,
                                const struct attempt_id *id, uint64_t offset,
                                struct str bytes);

/// ANSWER_ACCEPT only if count and hash prove that the answer is whole.
enum answer_verdict answer_end(struct answer *answer,
                               const struct attempt_id *id,
                               uint64_t total_bytes, uint64_t hash);
