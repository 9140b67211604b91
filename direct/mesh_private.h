/// State of the links between routers, private to the files that implement
/// them.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mesh.h"
#include "net/accept.h"

struct evbuffer;
struct evconnlistener;
struct event;
struct readers;

/// An address where another router accepts links.
struct target {
    char text[ADDRESS_TEXT_BYTES];
    struct address address;
    struct link *link; ///< dialed by this router, in any state
    int64_t dial_ms;   ///< when to dial next
    int64_t backoff_ms;
    int64_t last_seen_ms; ///< when last linked or announced
    uint64_t rank;        ///< dialing order; lower values first
    uint32_t version;     ///< to offer; 0: the highest
    struct target *next;
};

/// A link that has completed its handshake.
struct peer {
    struct link *link;
    char address[ADDRESS_TEXT_BYTES]; ///< where the peer accepts links
    uint64_t id;
    struct position ends[RECORDS_TOPIC_COUNT];
    int64_t traffic_ms;       ///< when linked, or when it last reported a load
    int64_t ends_reported_ms; ///< when `ends` was last received
    bool sends_offsets;       ///< without eras, in place of positions
    struct position offered[RECORDS_TOPIC_COUNT]; ///< ends as received
    bool reads_endpoints;            ///< as a peer of version 1 states
    bool lists[RECORDS_TOPIC_COUNT]; ///< its listing has not ended
    struct evbuffer *parts; ///< of the next compressed record; NULL: none
    struct peer *next;
};

/// How far the records of a topic are behind those of a peer.
struct relay_topic {
    int64_t behind_since_ms; ///< 0: not behind
    int64_t requested_ms;    ///< 0: no request pending
    /// Until then records are requested from peers whatever their size, since
    /// the store has failed to send them.
    int64_t any_size_until_ms;
    struct position offered;   ///< highest offset that was verified
    int64_t kept_requested_ms; ///< of a kept record; 0: never
    uint64_t lister;           ///< peer whose listing began last; 0: none
};

struct mesh {
    struct mesh_options options;
    struct link_options link_options;
    struct evconnlistener *listener;
    struct accept_pause accept_pause;
    struct event *tick;
    struct target *targets;
    struct peer *peers;
    size_t peer_count;
    size_t fleet_size;
    int64_t fleet_size_ms;
    int64_t started_ms;
    int64_t next_report_ms;
    uint64_t id; ///< of this process, as peers compute it
    struct relay_topic topics[RECORDS_TOPIC_COUNT];
    bool restored;     ///< the store was, since the start of this process
    bool ends_changed; ///< peers have not been sent the present ends
    struct {
        enum record_topic topic;
        struct position position;
        struct str value;
    } packed; ///< the record that was compressed last
    struct readers *readers;
    enum readers_role role;
    bool draining;
    size_t round_robin; ///< selects one of equal peers for a request
    size_t copies;      ///< of streams that were sent, to some peers each
    struct message_load loads[MESSAGE_LOADS_MAX];
    struct message_share shares[MESSAGE_SHARES_MAX];
    struct message_placed placed[MESSAGE_PLACED_MAX]; ///< to be sent
    size_t placed_count;
    struct message_blame blames[MESSAGE_BLAMES_MAX]; ///< to be sent
    int64_t blamed_ms[MESSAGE_BLAMES_MAX];           ///< when queued
    size_t blame_count;
    uint64_t answered[MESSAGE_ANSWERED_MAX]; ///< to be sent
    size_t answered_count;
    char own_address[ADDRESS_TEXT_BYTES];
    uint64_t own_hash;  ///< of `own_address`
    uint64_t rank_seed; ///< differs between routers
    struct {
        int64_t begun_ms; ///< of the present traffic of this router; 0: none
        int64_t last_ms;  ///< of the last load reported
    } traffic;
    uint64_t *rivals; ///< hashes of the others that mesh_rank() counts
    size_t rival_count;
    size_t rival_max;
    struct message_rate rates[MESSAGE_RATES_MAX];
    struct message_busy busy[MESSAGE_BUSY_MAX];
};

int64_t mesh_now_ms(const struct mesh *mesh);

/// Interval of the reports to peers.
int64_t mesh_report_interval_ms(const struct mesh *mesh);

void mesh_peer_free(struct peer *peer);

/// NULL if the link has not completed its handshake.
struct peer *mesh_find_peer(const struct mesh *mesh, const struct link *link);

/// True if the peer supports the messages of MESSAGE_VERSION_BEATS.
bool mesh_is_current(const struct peer *peer);

/// Sends the message to all peers whose links have at least this version.
void mesh_broadcast(struct mesh *mesh, const struct message *message,
                    uint32_t version_min);

/// Sends the loads of the endpoints and the sums of the accounts.
void mesh_send_reports(struct mesh *mesh);

/// Sends what is queued for the peers.
void mesh_flush(struct mesh *mesh);
