/// The links of a router to its agents, one for each agent.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/message.h"
#include "net/link.h"

struct peer;
struct peers;

enum peer_state {
    PEER_CLOSED,
    PEER_CONNECTING,
    PEER_READY,
};

struct peers_options {
    /// The callbacks in it are ignored; peers_new() sets its own.
    struct link_options link;
    /// Time to reopen a broken link before the peer counts as unreachable.
    int64_t reopen_timeout_ms;
    int64_t reopen_interval_ms;
    void (*ready)(void *ctx, struct peer *peer);
    void (*message)(void *ctx, struct peer *peer,
                    const struct message *message);
    /// The link broke. It is reopened if requests use it.
    void (*broken)(void *ctx, struct peer *peer);
    /// No link could be opened, or the broken one not reopened in time.
    void (*unreachable)(void *ctx, struct peer *peer);
    void *ctx;
};

/// The caller frees with peers_free().
struct peers *peers_new(const struct peers_options *options);
void peers_free(struct peers *peers);

/// The peer of this name, created if there is none; updates its address.
struct peer *peers_get(struct peers *peers, struct str name,
                       struct str address);
struct peer *peers_find(const struct peers *peers, struct str name);
void peers_remove(struct peers *peers, struct str name);
void peers_each(struct peers *peers,
                void (*callback)(void *ctx, struct peer *peer), void *ctx);

/// Opens a link, or checks the existing one with link_check().
void peer_open(struct peer *peer);

/// Sends if the link is ready, else drops the message.
void peer_send(struct peer *peer, const struct message *message);

/// Counts the requests that use the peer. While there are any, its link is
/// checked for silence and reopened if it breaks.
void peer_add_request(struct peer *peer);
void peer_remove_request(struct peer *peer);

enum peer_state peer_state(const struct peer *peer);
struct str peer_name(const struct peer *peer);
uint64_t peer_incarnation(const struct peer *peer);

/// The router's number of requests in flight that was last sent to the peer,
/// and the time of that message in milliseconds on the link options' clock.
void peer_set_in_flight_sent(struct peer *peer, uint32_t in_flight);
int64_t peer_in_flight_sent_ms(const struct peer *peer);
uint32_t peer_in_flight_sent(const struct peer *peer);
