/// Chooses the routers that read the platform's store for all.
///
/// Load pattern: hundreds of routers, each linked to a few others, and a store
/// that bills every call. The two routers with the lowest ids read. Each sends
/// a beat, which every router forwards to its peers once, so that routers
/// without a link to them know that they read. A router reads itself while it
/// receives beats of fewer than two routers with lower ids. Candidates begin
/// one after the other, in an order of which each router knows its part, so
/// that the loss of the readers does not make all routers call the store in
/// the same second.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/message.h"

struct readers;

/// Routers that read for all; two, since one may be cut off from the store.
#define READERS_COUNT 2
/// Interval of beats.
#define READERS_BEAT_MS 400
/// A reader without a new beat for this long no longer counts: two beats and
/// the time that they take over three links.
#define READERS_EXPIRY_MS 1300
/// Pause after which the third candidate begins to read; each further doubling
/// of the position doubles it.
#define READERS_STAGGER_MS 300
/// After the start, time in which links are set up and beats come in.
#define READERS_START_HOLD_MS 500
/// Readers that a router keeps track of; at most MESSAGE_BEATS_MAX.
#define READERS_TRACKED_MAX 8

enum readers_role {
    READERS_IDLE,       ///< peers send the records
    READERS_PRIMARY,    ///< reads, with short waits that show an outage early
    READERS_STANDBY,    ///< reads beside a primary, with long waits
    READERS_SUBSTITUTE, ///< reads after ranked candidates failed to
};

/// The situation of a router at one moment.
struct readers_view {
    int64_t now_ms;
    int64_t age_ms;   ///< of the process
    bool has_targets; ///< other routers are known
    size_t lower_ids; ///< of those, peers with lower ids
    size_t others;    ///< peers that read and send no beats
};

struct readers *readers_new(uint64_t own_id);
void readers_free(struct readers *readers);

/// Processes a received beat; true if it is new and is to be forwarded.
/// `urgent` is set if it changes who reads, or reports a recovery: then
/// forwarding must not wait.
bool readers_receive(struct readers *readers, const struct message_beat *beat,
                     int64_t now_ms, bool *urgent);

/// The link of a reader has closed: it counts again upon its next beat.
void readers_remove(struct readers *readers, uint64_t id);

/// The role of this router from now on.
enum readers_role readers_update(struct readers *readers,
                                 const struct readers_view *view);

/// Writes the next beat of this router; false if none is due. A change of
/// `reads` is due at once.
bool readers_next_beat(struct readers *readers, bool reads, int64_t now_ms,
                       struct message_beat *beat);

/// Writes a beat of this router that is sent ahead of its time.
void readers_make_beat(struct readers *readers, bool reads, int64_t now_ms,
                       struct message_beat *beat);

/// Writes the beats that were received and not yet forwarded,
/// READERS_TRACKED_MAX at most; returns their number.
size_t readers_take_forwards(struct readers *readers, int64_t now_ms,
                             struct message_beat *beats);

/// The store answers again, as this router has found out itself.
void readers_set_recovered(struct readers *readers, int64_t now_ms);

/// When the store answered again as far as received; 0: no recent failure.
int64_t readers_recovered_ms(const struct readers *readers);

/// Number of other routers that are known to read.
size_t readers_active(const struct readers *readers, int64_t now_ms);

const char *readers_role_name(enum readers_role role);
