/// Links between the routers of a deployment. Each router passes on the
/// records that it has read from the store, and reports its requests in flight
/// and the requests that crash their endpoints.
///
/// A router that the store refuses, or that cannot reach it, receives the
/// records from a peer. Records carry their offsets, so that a peer with newer
/// ones can be found and no record is replaced by an older one.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/readers.h"
#include "core/records.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/message.h"
#include "net/address.h"
#include "net/link.h"

struct event_base;
struct mesh;

/// Interval of reports to the peers. It grows with their number, so that the
/// load of receiving the reports of all peers is bounded.
#define MESH_REPORT_MS 250
#define MESH_REPORT_MS_PER_PEER 6
/// Time that a topic may lag behind a peer's while the store answers. Then the
/// records are requested from the peer: a working store completes a waiting
/// read sooner.
#define MESH_BEHIND_GRACE_MS 250
/// Time-out of a request for records; then it is sent again, to another peer
/// if several have the records.
#define MESH_REQUEST_TIMEOUT_MS 600
/// A report of a peer of version 1 expires after two intervals plus this
/// margin.
#define MESH_REPORT_MARGIN_MS 400
/// Up to this number of routers the mesh is full. In a larger deployment each
/// router dials a few, chosen by hash, and records are relayed to the others:
/// in a full mesh the traffic would grow with the square of the routers.
#define MESH_FULL_ROUTERS_MAX 40
#define MESH_DIALED_MAX 10
/// Number of links at which a router accepts no more.
#define MESH_ACCEPTED_MAX 80

struct mesh_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct counters *counters;
    struct memory *memory;
    const char *name;
    uint64_t incarnation;
    struct address address; ///< where links are accepted
    const struct link_keys *keys;
    struct records *records;
    /// Writes the loads of the endpoints to report; returns their number.
    size_t (*collect_loads)(void *ctx, struct message_load *items, size_t max);
    /// A peer has reported its requests in flight. `peer` identifies its
    /// process.
    void (*loads)(void *ctx, uint64_t peer, const struct message_load *items,
                  size_t count);
    /// Writes the sums of the accounts to report; returns their number.
    size_t (*collect_shares)(void *ctx, struct message_share *items,
                             size_t max);
    /// A peer has reported its sums of accounts.
    void (*shares)(void *ctx, uint64_t peer, const struct message_share *items,
                   size_t count);
    /// A peer has placed a prompt that the endpoint caches.
    void (*placement)(void *ctx, const struct message_placed *placed);
    /// A peer reports that an endpoint fails its requests, or with `is_down`
    /// accepts no connections.
    void (*endpoint_failed)(void *ctx, uint64_t endpoint, bool is_down);
    void (*strike)(void *ctx, uint64_t fingerprint, uint32_t crash_id);
    /// Writes the stated rates that peers do not know yet; returns their
    /// number. Called at each tick.
    size_t (*collect_rates)(void *ctx, struct message_rate *items, size_t max);
    /// Likewise for the loads that busy endpoints state.
    size_t (*collect_busy)(void *ctx, struct message_busy *items, size_t max);
    void (*busy)(void *ctx, const struct message_busy *items, size_t count);
    /// A peer reports the rates that endpoints state in their answers.
    void (*rates)(void *ctx, const struct message_rate *items, size_t count);
    /// A link to a peer is ready; it may have just started.
    void (*peer_ready)(void *ctx, struct link *link);
    /// A peer reports a request that an endpoint crashed with.
    void (*blame)(void *ctx, const struct message_blame *blame);
    /// A peer reports that answers to prompts with these parts have begun.
    void (*answered)(void *ctx, const uint64_t *parts, size_t count);
    /// A peer requests all contexts that this router has stored; answered by
    /// mesh_send_contexts() within the callback.
    void (*contexts_requested)(void *ctx, struct link *link);
    /// A peer has sent contexts; `count` 0 marks the end of its list.
    void (*contexts)(void *ctx, const struct message_context *items,
                     size_t count);
    /// A peer has sent all its records of a topic.
    void (*caught_up)(void *ctx, enum record_topic topic);
    /// The records of a topic are too large for peers: read them once from the
    /// store, or call mesh_fetch_failed().
    void (*fetch)(void *ctx, enum record_topic topic);
    /// The store has answered again at this time, after it had failed for all
    /// routers.
    void (*recovered)(void *ctx, int64_t at_ms);
    /// A peer has sent a batch of streams to be written to the log; answered
    /// by mesh_send_streams_written().
    void (*streams)(void *ctx, uint64_t peer, uint64_t number,
                    struct str batch);
    void (*streams_written)(void *ctx, uint64_t peer, uint64_t number,
                            bool done);
    /// A peer asks which builds have begun streams (answered by
    /// mesh_send_found()), or has answered so.
    void (*find_streams)(void *ctx, uint64_t peer, uint64_t number,
                         struct str ids);
    void (*found_streams)(void *ctx, uint64_t number, struct str batch);
    /// The last link to a peer has been lost.
    void (*peer_lost)(void *ctx, uint64_t peer);
    /// Version of the configuration in force; -1: none.
    int64_t (*configuration_version)(void *ctx);
    /// True while the store answers reads of the topic.
    bool (*store_answers)(void *ctx, enum record_topic topic);
    void *ctx;
};

/// NULL with `err` set if the address cannot be bound.
struct mesh *mesh_new(const struct mesh_options *options, struct err *err);
void mesh_free(struct mesh *mesh);

/// Adds an address where another router may accept links.
void mesh_add(struct mesh *mesh, const struct address *address);

/// Queues a placement, which the next tick sends to the peers.
void mesh_queue_placement(struct mesh *mesh,
                          const struct message_placed *placed);

/// Reports to all peers that an endpoint accepts no connections.
void mesh_send_down(struct mesh *mesh, uint64_t endpoint);

/// The same to one peer.
void mesh_send_down_to(struct link *link, uint64_t endpoint);

/// Reports to all peers that an endpoint fails its requests.
void mesh_send_failing(struct mesh *mesh, uint64_t endpoint);

/// Reports to all peers that a request has crashed its endpoint.
void mesh_send_strike(struct mesh *mesh, uint64_t fingerprint,
                      uint32_t crash_id);

/// Queues evidence against parts of prompts, which the next tick sends to the
/// peers.
void mesh_queue_blame(struct mesh *mesh, const struct message_blame *blame);

/// Sends evidence to one peer, if it supports that.
void mesh_send_blames(struct mesh *mesh, const struct link *link,
                      const struct message_blame *items, size_t count);

/// Sends stated rates, MESSAGE_RATES_MAX at most, to one peer, if it supports
/// that.
void mesh_send_rates(struct link *link, const struct message_rate *items,
                     size_t count);

/// Queues blamed parts that have been answered, likewise.
void mesh_queue_answered(struct mesh *mesh, const uint64_t *parts,
                         size_t count);

/// Requests all contexts from one peer, chosen at random; false if no peer is
/// linked.
bool mesh_request_contexts(struct mesh *mesh);

/// Sends contexts, MESSAGE_CONTEXTS_MAX at most, to one peer, or to all if
/// `link` is NULL.
void mesh_send_contexts(struct mesh *mesh, struct link *link,
                        const struct message_context *items, size_t count);

/// True if this router ranks among the first `count` of all known routers,
/// linked or not, in the rendezvous hash of `key`. Divides work between them.
bool mesh_is_ranked_among(const struct mesh *mesh, uint64_t key, size_t count);

/// Rank of this router, from 0, in the rendezvous hash of `key` among the
/// routers that have traffic; `routers` is set to their number. In a large
/// deployment, and while this router has had traffic for a short time only,
/// all known ones count: it cannot tell which of the others have.
size_t mesh_rank(const struct mesh *mesh, uint64_t key, size_t *routers);

/// True if the deployment is too large for a full mesh: what a peer reports is
/// passed on to the others.
bool mesh_relays_reports(const struct mesh *mesh);

/// Sends the end of each topic to all peers at once, ahead of the next report.
void mesh_send_topic_ends(struct mesh *mesh);

/// How this router reads the store from now on.
enum readers_role mesh_update_role(struct mesh *mesh);

/// This router shuts down and no longer reads for others.
void mesh_set_draining(struct mesh *mesh);

/// The store answers this router again after a failure.
void mesh_store_recovered(struct mesh *mesh);

/// Identifies this process to its peers.
uint64_t mesh_id(const struct mesh *mesh);

/// Writes the ids of the peers that write streams for others; returns their
/// number.
size_t mesh_stream_writers(const struct mesh *mesh, uint64_t *ids, size_t max);

/// Sends a batch of streams to a peer, or the answer to one of its batches;
/// does nothing if it is not linked.
void mesh_send_streams(struct mesh *mesh, uint64_t peer, uint64_t number,
                       struct str batch);
void mesh_send_streams_written(struct mesh *mesh, uint64_t peer,
                               uint64_t number, bool done);

/// Asks all peers which builds have begun these streams; returns the number of
/// those that will answer.
size_t mesh_find_streams(struct mesh *mesh, uint64_t number, struct str ids);
/// Answers a peer; does nothing if it is not linked.
void mesh_send_found(struct mesh *mesh, uint64_t peer, uint64_t number,
                     struct str batch);

/// Sends streams to some peers, others than the time before, which keep them.
void mesh_copy_streams(struct mesh *mesh, struct str batch);

/// The store was restored from an older copy: offsets of peers that send no
/// positions are ignored from now on.
void mesh_note_restore(struct mesh *mesh);

/// The store has not sent the records that `fetch` was called for.
void mesh_fetch_failed(struct mesh *mesh, enum record_topic topic);

/// Number of routers that are linked now; a router with two links counts once.
size_t mesh_linked_count(const struct mesh *mesh);

/// Number of routers that are known, linked or not, this one included.
size_t mesh_known_count(const struct mesh *mesh);

/// Highest number of routers, this one included, within about the last 30 s:
/// linked ones in a full mesh, known ones in a larger deployment.
size_t mesh_fleet_size(const struct mesh *mesh);
