/// Authenticated connection between two daemons: length-prefixed MessagePack
/// frames, sent after both ends have proved that they hold a shared key.
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
/// TCP and IP headers, added to the byte count of each control frame.
#define LINK_HEADER_BYTES 52
#define LINK_OUTPUT_BYTES_MAX (64 * 1024 * 1024)

struct event_base;
struct link;
struct memory;

/// Shared keys: this end proves the first one, a peer may prove any of them.
struct link_keys {
    unsigned char keys[LINK_KEYS_MAX][LINK_KEY_BYTES];
    size_t count;
};

/// Options shared by the links of a process; must outlive them.
struct link_options {
    struct event_base *base;
    const struct clock *clock;
    const struct random_source *random;
    struct counters *counters;
    const char *name;
    const char *role;      ///< own role in the handshake
    const char *peer_role; ///< a peer with another role is rejected
    uint64_t incarnation;
    /// Highest version of the messages; 0: MESSAGE_VERSION. A link uses the
    /// lower one of both ends.
    uint32_t version;
    const struct link_keys *keys;
    int64_t heartbeat_interval_ms; ///< idle time before a ping while busy
    int64_t receive_timeout_ms;    ///< no input while busy
    int64_t probe_timeout_ms;      ///< no input after link_probe()
    int64_t handshake_timeout_ms;  ///< from connecting to both proofs
    struct memory *memory;         ///< NULL: the output is not accounted
    size_t output_bytes_max;       ///< a longer output backlog closes the link
    int64_t tick_ms;               ///< interval of these checks; 0: 100
    /// The handshake is complete.
    void (*ready)(void *ctx, struct link *link);
    /// A message was received; the callback may close the link.
    void (*message)(void *ctx, struct link *link,
                    const struct message *message);
    /// The link failed for the reason in `err` and is freed afterwards.
    void (*closed)(void *ctx, struct link *link, const struct err *err);
    /// The output backlog has been written.
    void (*output_written)(void *ctx, struct link *link);
    void *ctx;
};

/// Starts to connect; the callbacks report the result. The link frees itself
/// after `closed`. `version` 0: that of the options. Builds that know version
/// 1 only close a link that offers a higher one: connect again with the
/// version that link_version() returns in `closed`.
struct link *link_connect(const struct link_options *options,
                          const struct address *address, uint32_t version);

/// Takes over an accepted socket.
struct link *link_accept(const struct link_options *options, int fd,
                         const struct sockaddr *peer);

/// Closes without calling `closed`; may be called from callbacks.
void link_close(struct link *link);

/// Sends a message; dropped if the link is not ready.
void link_send(struct link *link, const struct message *message);

bool link_is_ready(const struct link *link);

/// True after link_close() and during the `closed` callback.
bool link_is_closing(const struct link *link);

/// While a link is busy, it sends heartbeats and is closed after
/// receive_timeout_ms without received bytes.
void link_set_busy(struct link *link, bool busy);

/// Sends a ping and closes the link if nothing is received within
/// probe_timeout_ms. Does nothing if bytes were received within the last
/// second.
void link_probe(struct link *link);

size_t link_output_bytes(const struct link *link);
struct str link_peer_name(const struct link *link);
uint64_t link_peer_incarnation(const struct link *link);
const char *link_peer_address(const struct link *link);

/// The lower one of the versions that both ends have stated; 0: the peer has
/// stated none yet.
uint32_t link_version(const struct link *link);

/// Data of the link's owner.
void link_set_user(struct link *link, void *user);
void *link_user(const struct link *link);
