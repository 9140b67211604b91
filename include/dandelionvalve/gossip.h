/// Gossip of control messages between daemons: one small datagram at a time to
/// a random peer, newest updates first, within a budget of bytes per second.
///
/// A daemon forwards each update that is new to it. A daemon that cannot read
/// the platform's log fetches configuration documents from peers, in parts.
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
/// IP and UDP headers, counted against the budget for each datagram.
#define GOSSIP_HEADER_BYTES 28
/// Time between two datagrams of gossip_tick().
#define GOSSIP_INTERVAL_MS 1000

struct gossip;

/// Another daemon that datagrams can be sent to.
struct gossip_peer {
    struct str name;
    struct str zone;
    struct str address; ///< in the format of `send`
};

/// Pointers and strings must be valid until gossip_free().
struct gossip_options {
    const struct clock *clock;
    const struct random_source *random;
    struct str name;
    struct str zone;
    uint64_t incarnation;
    /// The first key signs, any of them verifies.
    const unsigned char (*keys)[GOSSIP_KEY_BYTES];
    size_t key_count;
    double bytes_per_s;
    /// Sends one datagram, valid during the call.
    void (*send)(void *ctx, struct str address, struct str datagram);
    /// A member's state was received; true if it is new.
    bool (*state_received)(void *ctx, struct str name, uint64_t incarnation,
                           enum agent_state state);
    /// A strike was received; true if it is new.
    bool (*strike_received)(void *ctx, uint64_t fingerprint,
                            uint32_t crash_id);
    /// An authentic datagram of this daemon was received.
    void (*datagram_received)(void *ctx, struct str name);
    /// The version in force here, -1 if there is none, and its document.
    int64_t (*version)(void *ctx);
    struct str (*document)(void *ctx);
    /// True if documents have to be fetched from peers, since the log cannot
    /// be read.
    bool (*needs_document)(void *ctx);
    /// A document was fetched, valid during the call; true if it was applied.
    bool (*apply_document)(void *ctx, int64_t version, struct str document);
    void *ctx;
};

struct gossip_counts {
    uint64_t bytes_in;           ///< with IP and UDP headers
    uint64_t datagram_bytes_out; ///< with IP and UDP headers
    uint64_t sent;               ///< datagrams
    uint64_t over_budget;        ///< messages not sent for lack of budget
    uint64_t rejected;           ///< malformed or unauthenticated datagrams
};

/// The options are copied. The caller frees with gossip_free().
struct gossip *gossip_new(const struct gossip_options *options);
void gossip_free(struct gossip *gossip);

/// Sets the daemons that datagrams are sent to; the strings are copied.
void gossip_set_peers(struct gossip *gossip, const struct gossip_peer *peers,
                      size_t count);

/// Sends a state or strike of this daemon, or one that it has received, to
/// several peers at once.
void gossip_announce_state(struct gossip *gossip, struct str name,
                           uint64_t incarnation, enum agent_state state);
void gossip_announce_strike(struct gossip *gossip, uint64_t fingerprint,
                            uint32_t crash_id);

/// Handles a datagram that was received from `address`.
void gossip_receive(struct gossip *gossip, struct str address,
                    struct str datagram);

/// Charges bytes of other control messages, such as heartbeats, to the budget.
void gossip_charge_budget(struct gossip *gossip, size_t bytes);

/// Takes bytes for another control message from the budget; false if it is
/// spent.
bool gossip_take_budget(struct gossip *gossip, size_t bytes);

/// Sends what is due; call it several times per second.
void gossip_tick(struct gossip *gossip);

struct gossip_counts gossip_totals(const struct gossip *gossip);
