/// Control messages between daemons: one small datagram at a time to a random
/// member, newest news first, within a budget of bytes.
///
/// News spread as rumours: what is new to a receiver it sends on. Documents
/// are fetched in parts by those that cannot read the platform's log.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/bucket.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/err.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/str.h"

#define GOSSIP_KEY_BYTES 32
#define GOSSIP_DATAGRAM_BYTES_MAX 1200
/// IP and UDP headers, counted for each datagram.
#define GOSSIP_HEADER_BYTES 28
#define GOSSIP_INTERVAL_MS 1000

struct gossip;

/// Another daemon that datagrams can be sent to.
struct gossip_peer {
    struct str name;
    struct str zone;
    struct str address; ///< as the sender's `send` understands it
};

struct gossip_options {
    const struct clock *clock;
    const struct random_source *random;
    struct str name;
    struct str zone;
    uint64_t incarnation;
    const unsigned char (*keys)[GOSSIP_KEY_BYTES]; ///< first signs, any opens
    size_t key_count;
    double bytes_per_s;
    /// Sends one datagram.
    void (*send)(void *ctx, struct str address, struct str datagram);
    /// A member's word was heard; true if it was news.
    bool (*state_received)(void *ctx, struct str name, uint64_t incarnation,
                           enum agent_state state);
    /// A strike was heard; true if it was news.
    bool (*strike_received)(void *ctx, uint64_t fingerprint,
                            uint32_t crash_id);
    /// A datagram came from this daemon: it is alive.
    void (*datagram_received)(void *ctx, struct str name);
    /// The version in force here and its document.
    int64_t (*version)(void *ctx);
    struct str (*document)(void *ctx);
    /// True if documents must come from peers, since the log cannot be read.
    bool (*needs_document)(void *ctx);
    /// A whole document was fetched; true if it was taken.
    bool (*apply_document)(void *ctx, int64_t version, struct str document);
    void *ctx;
};

struct gossip_counts {
    uint64_t bytes_in;
    uint64_t datagram_bytes_out;
    uint64_t sent;
    uint64_t over_budget; ///< datagrams that the budget held back
    uint64_t rejected;    ///< datagrams that were not authentic or well formed
};

/// The caller frees with gossip_free().
struct gossip *gossip_new(const struct gossip_options *options);
void gossip_free(struct gossip *gossip);

/// The daemons that may be sent to; the strings are copied.
void gossip_set_peers(struct gossip *gossip, const struct gossip_peer *peers,
                      size_t count);

/// News of this daemon, or of what it has seen.
void gossip_announce_state(struct gossip *gossip, struct str name,
                           uint64_t incarnation, enum agent_state state);
void gossip_announce_strike(struct gossip *gossip, uint64_t fingerprint,
                            uint32_t crash_id);

/// A datagram has come.
void gossip_receive(struct gossip *gossip, struct str address,
                    struct str datagram);

/// Counts control bytes of other kinds, such as heartbeats, into the budget.
void gossip_charge_budget(struct gossip *gossip, size_t bytes);

/// Takes bytes for another kind of control message from the budget.
bool gossip_take_budget(struct gossip *gossip, size_t bytes);

/// Sends what is due; call it several times a second.
void gossip_tick(struct gossip *gossip);

struct gossip_counts gossip_totals(const struct gossip *gossip);
