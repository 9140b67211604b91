/// Exchanges the evidence about parts of prompts that crash endpoints between
/// the requests of this router and its peers.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/suspects.h"
#include "dandelionvalve/bucket.h"

struct direct;
struct link;
struct prefix;

#define BLAME_PARTS_TEXT_BYTES (MESSAGE_PARTS_MAX * 9 + 1)

struct blame {
    struct suspects *suspects;
    /// Limit the reports that are sent to peers: about requests whose answer
    /// had begun, those that only waited, and reports of peers.
    struct bucket begun_sends;
    struct bucket waiting_sends;
    struct bucket forwards;
};

void blame_init(struct direct *direct);
void blame_destroy(struct direct *direct);

/// The parts as comma-separated hexadecimal hashes.
const char *blame_format_parts(const uint64_t *parts, size_t count,
                               char text[BLAME_PARTS_TEXT_BYTES]);

/// An endpoint crashed with a request of this router; `begun` if its answer
/// had begun.
void blame_record_crash(struct direct *direct, const struct prefix *prefix,
                        uint32_t crash_id, bool begun);

/// An endpoint has answered a request of this router.
void blame_record_answer(struct direct *direct, const struct prefix *prefix);

/// True if the request must not reach an endpoint; `may_try` if it may be the
/// trial of a held part.
bool blame_holds(struct direct *direct, const struct prefix *prefix,
                 const char *request_id, bool may_try);

/// Handle the messages of peers, and a peer that may lack the evidence.
void blame_receive(struct direct *direct, const struct message_blame *blame);
void blame_receive_answered(struct direct *direct, const uint64_t *parts,
                            size_t count);
void blame_send_held(struct direct *direct, struct link *link);
