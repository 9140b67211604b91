/// Checks that the parts of one attempt's answer are complete and in order.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/message.h"

struct XXH64_state_s;

enum answer_verdict {
    ANSWER_ACCEPT, ///< the part is the next one
    ANSWER_DROP,   ///< duplicate, late or of another attempt: ignore, count
    ANSWER_GAP,    ///< parts are missing: request them from next_offset on
    ANSWER_BROKEN, ///< length or hash is wrong: the answer is not usable
};

/// The state of one answer. Initialise with answer_init().
struct answer {
    struct attempt_id id;
    bool has_head;
    bool ended;
    uint64_t next_offset;
    struct XXH64_state_s *hash;
};

void answer_init(struct answer *answer, const struct attempt_id *id);
void answer_destroy(struct answer *answer);

/// Checks the head of an answer.
enum answer_verdict answer_head(struct answer *answer,
                                const struct attempt_id *id);

/// Checks a part of the body; `offset` is in bytes from the body's start.
enum answer_verdict answer_data(struct answer *answer,
                                const struct attempt_id *id, uint64_t offset,
                                struct str bytes);

/// Checks the end of an answer; ANSWER_ACCEPT only if the length in bytes and
/// the XXH64 hash of the body match.
enum answer_verdict answer_end(struct answer *answer,
                               const struct attempt_id *id,
                               uint64_t total_bytes, uint64_t hash);
