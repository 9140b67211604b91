/// The links of a router to the agents that it uses, one for each agent.
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
    /// All but the callbacks, which the peers set themselves.
    struct link_options link;
    /// How long a broken link is opened anew before its requests are lost.
    int64_t reopen_timeout_ms;
    int64_t reopen_interval_ms;
    void (*ready)(void *ctx, struct peer *peer);
    void (*message)(void *ctx, struct peer *peer,
                    const struct message *message);
    /// The link broke; it is being opened anew.
    void (*broken)(void *ctx, struct peer *peer);
    /// The peer could not be reached.
    void (*unreachable)(void *ctx, struct peer *peer);
    void *ctx;
};

/// The caller frees with peers_free().
struct peers *peers_new(const struct peers_options *options);
void peers_free(struct peers *peers);

/// The peer of this name, made known if it is new. The address may change.
struct peer *peers_get(struct peers *peers, struct str name,
                       struct str address);
struct peer *peers_find(const struct peers *peers, struct str name);
void peers_remove(struct peers *peers, struct str name);
void peers_each(struct peers *peers,
                void (*callback)(void *ctx, struct peer *peer), void *ctx);

/// Opens a link unless there is one.
void peer_open(struct peer *peer);

/// Sends if the link is ready, else drops the message.
void peer_send(struct peer *peer, const struct message *message);

/// Counts a request on the peer, so that its link is watched for silence.
void peer_add_request(struct peer *peer);
void peer_remove_request(struct peer *peer);

enum peer_state peer_state(const struct peer *peer);
struct str peer_name(const struct peer *peer);
uint64_t peer_incarnation(const struct peer *peer);

/// When a message with the router's number of requests last went out, in
/// milliseconds on the clock, and what the number was.
void peer_set_in_flight_sent(struct peer *peer, uint32_t in_flight);
int64_t peer_in_flight_sent_ms(const struct peer *peer);
uint32_t peer_in_flight_sent(const struct peer *peer);
