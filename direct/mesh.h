/// Links between the routers of a deployment. Each passes on what it has read
/// of the store, tells what it has in flight, and which requests crash their
/// endpoints.
///
/// A router that the store refuses, or that is cut off from it, takes the
/// records from a peer; records name their offsets, so that whoever is ahead
/// can be asked and nothing goes back.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/records.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/message.h"
#include "net/address.h"
#include "net/link.h"

struct event_base;
struct mesh;

/// Time between reports to the peers; grows with their number, so that the
/// reports of all stay a bounded load for each.
#define MESH_REPORT_MS 250
#define MESH_REPORT_MS_PER_PEER 6
/// A topic that a peer knows further for this long is asked for, also while
/// the store seems to answer: its answer to a waiting read comes sooner.
#define MESH_BEHIND_GRACE_MS 250
/// An answer to a request for records that has not come by then is asked of
/// another peer.
#define MESH_REQUEST_TIMEOUT_MS 600
/// Routers that read the entries of endpoints for all: calls to the store are
/// priced, and one of the two may be cut off.
#define MESH_READERS 2
/// A report is believed for two intervals and this much more.
#define MESH_REPORT_MARGIN_MS 400
/// Up to so many routers all link with all. In a larger deployment each dials
/// a few, chosen by hash, and records reach the others by relay: what all tell
/// all would grow with the square.
#define MESH_FULL_ROUTERS_MAX 40
#define MESH_DIALED_MAX 10
/// Links that a router takes from others at most.
#define MESH_ACCEPTED_MAX 80

struct mesh_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct counters *counters;
    const char *name;
    uint64_t incarnation;
    struct address address; ///< where links are taken
    const struct link_keys *keys;
    struct records *records;
    /// Endpoints' loads to report; returns how many were written.
    size_t (*collect_loads)(void *ctx, struct message_load *items, size_t max);
    /// What a peer has in flight. `peer` names its process.
    void (*loads)(void *ctx, uint64_t peer, const struct message_load *items,
                  size_t count);
    /// An endpoint keeps a context that a peer has sent there.
    void (*placement)(void *ctx, const struct message_placed *placed);
    /// A peer says that an endpoint takes no connections.
    void (*unreachable)(void *ctx, uint64_t endpoint);
    void (*strike)(void *ctx, uint64_t fingerprint, uint32_t death);
    /// A peer asks for all contexts that this router knows of; answered by
    /// mesh_send_contexts(), at once.
    void (*contexts_requested)(void *ctx, struct link *link);
    /// A peer tells of contexts; none: it has told all.
    void (*contexts)(void *ctx, const struct message_context *items,
                     size_t count);
    /// A peer has passed on all records of a topic.
    void (*caught_up)(void *ctx, enum record_topic topic);
    /// True while the store answers reads of the topic.
    bool (*store_answers)(void *ctx, enum record_topic topic);
    void *ctx;
};

/// NULL with `err` set if the address cannot be bound.
struct mesh *mesh_new(const struct mesh_options *options, struct err *err);
void mesh_free(struct mesh *mesh);

/// Another router may be reached there.
void mesh_add(struct mesh *mesh, const struct address *address);

/// Tells the peers with the next tick that an endpoint keeps a context.
void mesh_queue_placement(struct mesh *mesh,
                          const struct message_placed *placed);

/// Tells all peers that an endpoint takes no connections.
void mesh_send_unreachable(struct mesh *mesh, uint64_t endpoint);

/// Tells all peers that a request crashed its endpoint.
void mesh_send_strike(struct mesh *mesh, uint64_t fingerprint, uint32_t death);

/// Asks one peer for all contexts that it knows of; false if there is none.
bool mesh_request_contexts(struct mesh *mesh);

/// Sends contexts, MESSAGE_CONTEXTS_MAX at most, to one peer, or to all if
/// `link` is NULL.
void mesh_send_contexts(struct mesh *mesh, struct link *link,
                        const struct message_context *items, size_t count);

/// True if this router is one of the first `count` in the order of all known
/// routers, linked or not, for what `key` names: work is shared by it.
bool mesh_is_ranked_among(const struct mesh *mesh, uint64_t key, size_t count);

/// Tells the peers at once how far the topics are known.
void mesh_send_topic_ends(struct mesh *mesh);

/// Linked routers that read the entries of endpoints and are answered.
size_t mesh_reader_count(const struct mesh *mesh);

/// True unless enough routers before this one read for all.
bool mesh_should_read(const struct mesh *mesh);

/// Routers that are linked now.
size_t mesh_linked_count(const struct mesh *mesh);

/// The most routers, this one included, that were linked at one time of late.
size_t mesh_fleet_size(const struct mesh *mesh);
