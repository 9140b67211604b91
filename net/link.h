/// One connection between a router and an agent: length-prefixed MessagePack
/// frames, both ends prove a shared key before anything else.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/message.h"

#define LINK_KEY_BYTES 32
#define LINK_KEYS_MAX 4

#define LINK_HEARTBEAT_INTERVAL_MS 1000
#define LINK_RECEIVE_TIMEOUT_MS 3000
#define LINK_PROBE_TIMEOUT_MS 500
#define LINK_HANDSHAKE_TIMEOUT_MS 1500
/// TCP and IP headers, counted for each control frame.
#define LINK_HEADER_BYTES 52
#define LINK_OUTPUT_BYTES_MAX (64 * 1024 * 1024)

struct event_base;
struct link;

/// Shared keys: the first proves this end, any of them proves the peer.
struct link_keys {
    unsigned char keys[LINK_KEYS_MAX][LINK_KEY_BYTES];
    size_t count;
};

/// What all links of a process have in common; must outlive its links.
struct link_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct counters *counters;
    const char *name;
    const char *role;      ///< own role in the handshake
    const char *peer_role; ///< the only role that is let in
    uint64_t incarnation;
    const struct link_keys *keys;
    int64_t heartbeat_interval_ms; ///< idle time before a heartbeat while busy
    int64_t receive_timeout_ms;    ///< silence while busy that ends the link
    int64_t probe_timeout_ms;      ///< silence after link_probe() that ends it
    int64_t handshake_timeout_ms;  ///< time for both proofs
    size_t output_bytes_max;       ///< output backlog that ends the link
    int64_t tick_ms;               ///< between checks of these times; 0: 100
    /// Both ends have proved the key.
    void (*ready)(void *ctx, struct link *link);
    /// A message; the link may be closed by the callee.
    void (*message)(void *ctx, struct link *link,
                    const struct message *message);
    /// The link has ended for the reason in `err` and is freed afterwards.
    void (*closed)(void *ctx, struct link *link, const struct err *err);
    /// The output backlog has been written.
    void (*output_written)(void *ctx, struct link *link);
    void *ctx;
};

/// Starts to connect; the result is told by the callbacks. The link frees
/// itself after `closed`.
struct link *link_connect(const struct link_options *options,
                          const struct address *address);

/// Takes over an accepted socket.
struct link *link_accept(const struct link_options *options, int fd,
                         const struct sockaddr *peer);

/// Closes without calling `closed`; safe within callbacks.
void link_close(struct link *link);

/// Sends a message; dropped if the link is not ready.
void link_send(struct link *link, const struct message *message);

bool link_is_ready(const struct link *link);

/// True once link_close() was called or `closed` is being reported.
bool link_is_closing(const struct link *link);

/// While busy, heartbeats are sent and silence ends the link.
void link_set_busy(struct link *link, bool busy);

/// Asks for a sign of life unless the link was heard of just now.
void link_probe(struct link *link);

size_t link_output_bytes(const struct link *link);
struct str link_peer_name(const struct link *link);
uint64_t link_peer_incarnation(const struct link *link);
const char *link_peer_address(const struct link *link);

/// A place for the owner's data.
void link_set_user(struct link *link, void *user);
void *link_user(const struct link *link);
