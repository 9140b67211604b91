#include <stdbool.h>

#include "relay.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "core/pack.h"
#include "core/position.h"
#include "core/readers.h"
#include "mesh_private.h"
#include "net/log.h"

#define LOG_MODULE "relay"

/// Values that are longer are sent compressed.
#define PACK_BYTES_MIN 1024
/// Of a compressed value in one message.
#define PART_BYTES ((size_t)MESSAGE_BYTES_MAX / 2)

/// Records of a topic that are sent to a peer which can read the store itself.
/// Many peers request a record at once: a larger one would fill the link of
/// the router that has read it.
#define SMALL_BYTES_MAX (16 * 1024)
/// Time in which a router that could not read a large record itself requests
/// records of any size.
#define ANY_SIZE_MS 5000

/// Peers of MESSAGE_VERSION_POSITIONS send and receive era and offset in one
/// number, and use no later era than these.
#define NUMBER_OFFSETS (UINT64_C(1) << 40)
#define NUMBER_ERAS (UINT64_C(1) << 23)

static bool
takes_eras(const struct link *link)
{
    return link_version(link) >= MESSAGE_VERSION_ERAS;
}

/// True if a position of this era reaches the peer as such, and not as an
/// offset.
static bool
takes_era(const struct link *link, struct position_era era)
{
    return takes_eras(link) ||
           (link_version(link) >= MESSAGE_VERSION_POSITIONS &&
            era.resets == 0 && era.number < NUMBER_ERAS);
}

static struct message_position
encode_position(const struct link *link, struct position position)
{
    uint64_t offset = (uint64_t)position.offset;

    if (takes_eras(link)) {
        return (struct message_position){
            .has_era = true,
            .resets = position.era.resets,
            .era = position.era.number,
            .number = offset,
        };
    }
    return (struct message_position){
        .number = takes_era(link, position.era)
                      ? position.era.number * NUMBER_OFFSETS + offset
                      : offset,
    };
}

/// True if the peer states an offset whose era is not known.
static bool
is_offset(const struct link *link, struct message_position position)
{
    return !position.has_era &&
           (link_version(link) < MESSAGE_VERSION_POSITIONS ||
            position.number < NUMBER_OFFSETS);
}

/// An offset is taken as of the era of this router's records.
static struct position
decode_position(const struct mesh *mesh, const struct link *link,
                enum record_topic topic, struct message_position position)
{
    if (position.has_era) {
        return (struct position){{position.resets, position.era},
                                 (int64_t)position.number};
    }
    if (is_offset(link, position)) {
        return (struct position){records_end(mesh->options.records, topic).era,
                                 (int64_t)position.number};
    }
    return (struct position){{0, position.number / NUMBER_OFFSETS},
                             (int64_t)(position.number % NUMBER_OFFSETS)};
}

static void
send_position(struct link *link, enum message_type type,
              enum record_topic topic, struct position position)
{
    link_send(link, &(struct message){
                        .type = type,
                        .position.topic = (uint32_t)topic,
                        .position.position = encode_position(link, position),
                    });
}

static void
send_topic_ends(struct mesh *mesh, struct link *link)
{
    struct message message = {.type = MESSAGE_KNOWN};
    int64_t version = mesh->options.configuration_version(mesh->options.ctx);

    for (size_t i = 0; i < RECORDS_TOPIC_COUNT; i++) {
        message.known.ends[i] = encode_position(
            link, records_end(mesh->options.records, (enum record_topic)i));
    }
    message.known.reads_store =
        mesh->role != READERS_IDLE &&
        mesh->options.store_answers(mesh->options.ctx, RECORDS_ENDPOINTS);
    link_send(link, &message);
    if (takes_eras(link) && version >= 0 &&
        records_keep(mesh->options.records, RECORDS_CONFIGURATION)) {
        link_send(link, &(struct message){
                            .type = MESSAGE_KEPT,
                            .kept.version = (uint64_t)version,
                        });
    }
}

void
mesh_send_topic_ends(struct mesh *mesh)
{
    struct peer *peer;

    mesh->ends_changed = false;
    LL_FOREACH(mesh->peers, peer)
    {
        send_topic_ends(mesh, peer->link);
    }
}

void
relay_peer_ready(struct mesh *mesh, struct link *link)
{
    send_topic_ends(mesh, link);
}

void
relay_peer_lost(struct mesh *mesh, uint64_t id)
{
    readers_remove(mesh->readers, id);
}

/// The peer whose end of the topic is highest; rotates among equal ones.
static struct peer *
most_advanced_peer(struct mesh *mesh, size_t topic)
{
    struct peer *peer, *best = NULL;
    size_t equal = 0;

    mesh->round_robin++;
    LL_FOREACH(mesh->peers, peer)
    {
        int order = best == NULL ? 1
                                 : position_compare(peer->ends[topic],
                                                    best->ends[topic]);

        if (order > 0) {
            best = peer;
            equal = 1;
        }
        else if (order == 0) {
            equal++;
        }
    }
    if (equal < 2) {
        return best;
    }
    equal = mesh->round_robin % equal;
    LL_FOREACH(mesh->peers, peer)
    {
        if (position_compare(peer->ends[topic], best->ends[topic]) == 0 &&
            equal-- == 0) {
            return peer;
        }
    }
    return best;
}

static void
request_records(struct mesh *mesh, size_t index)
{
    enum record_topic topic = (enum record_topic)index;
    struct relay_topic *state = &mesh->topics[index];
    int64_t now_ms = mesh_now_ms(mesh);
    struct position end = records_end(mesh->options.records, topic);
    struct peer *peer = most_advanced_peer(mesh, index);
    bool any_size;

    if (peer == NULL || position_compare(peer->ends[index], end) <= 0) {
        state->behind_since_ms = 0;
        return;
    }
    if (state->behind_since_ms == 0) {
        state->behind_since_ms = now_ms;
    }
    if ((mesh->options.store_answers(mesh->options.ctx, topic) &&
         now_ms - state->behind_since_ms < MESH_BEHIND_GRACE_MS) ||
        (state->requested_ms != 0 &&
         now_ms - state->requested_ms < MESH_REQUEST_TIMEOUT_MS)) {
        return;
    }
    any_size = now_ms < state->any_size_until_ms || !mesh_is_current(peer) ||
               readers_active(mesh->readers, now_ms) == 0;
    state->requested_ms = now_ms;
    state->behind_since_ms = 0;
    send_position(peer->link, any_size ? MESSAGE_WANT : MESSAGE_WANT_SMALL,
                  topic, end);
}

/// Routers that do not answer are given up: the removal of their records is
/// not used.
static bool
uses_removals(enum record_topic topic)
{
    return topic != RECORDS_ROUTERS;
}

/// Uses an end that a peer states as an offset. It may be one of before a
/// restore that this router has not seen: where the store states eras it is
/// read in place of the peer, as long as it answers.
static void
use_offset(struct mesh *mesh, struct peer *peer, enum record_topic topic,
           struct position end)
{
    struct relay_topic *state = &mesh->topics[topic];
    struct position known = records_end(mesh->options.records, topic);
    bool is_new = position_compare(end, state->offered) > 0;

    peer->ends[topic] = (struct position){0};
    // Their era is not known once there are two.
    if (mesh->restored) {
        return;
    }
    if (known.era.number == 0 || !uses_removals(topic)) {
        peer->ends[topic] = end;
        return;
    }
    if (is_new && position_compare(end, known) > 0 &&
        !mesh->options.store_answers(mesh->options.ctx, topic)) {
        state->offered = end;
        mesh->options.fetch(mesh->options.ctx, topic);
    }
}

static void
handle_known(struct mesh *mesh, struct link *link,
             const struct message *message)
{
    struct peer *peer = mesh_find_peer(mesh, link);

    if (peer == NULL) {
        return;
    }
    peer->sends_offsets = false;
    for (size_t i = 0; i < RECORDS_TOPIC_COUNT; i++) {
        enum record_topic topic = (enum record_topic)i;
        const struct message_position number = message->known.ends[i];
        struct position end = decode_position(mesh, link, topic, number);

        peer->offered[i] = end;
        if (is_offset(link, number)) {
            peer->sends_offsets = peer->sends_offsets || number.number > 0;
            use_offset(mesh, peer, topic, end);
        }
        else {
            peer->ends[i] = end;
        }
    }
    peer->reads_endpoints = message->known.reads_store;
    peer->ends_reported_ms = mesh_now_ms(mesh);
    for (size_t i = 0; i < RECORDS_TOPIC_COUNT; i++) {
        request_records(mesh, i);
    }
}

/// Requests the configuration that the peer has kept, if it is newer: the end
/// of the topic does not show it.
static void
handle_kept(struct mesh *mesh, struct link *link,
            const struct message *message)
{
    struct relay_topic *state = &mesh->topics[RECORDS_CONFIGURATION];
    int64_t now_ms = mesh_now_ms(mesh);
    int64_t version = mesh->options.configuration_version(mesh->options.ctx);

    if ((int64_t)message->kept.version <= version ||
        (state->kept_requested_ms != 0 &&
         now_ms - state->kept_requested_ms < MESH_REQUEST_TIMEOUT_MS)) {
        return;
    }
    state->kept_requested_ms = now_ms;
    LOG_INFO("event=configuration-requested peer=" STR_FMT
             " version=%lld in_force=%lld detail=\"the log has an older one\"",
             STR_ARG(link_peer_name(link)), (long long)message->kept.version,
             (long long)version);
    send_position(link, MESSAGE_WANT, RECORDS_CONFIGURATION,
                  (struct position){0});
}

static bool
is_packed(const struct peer *peer, const struct record *record)
{
    return mesh_is_current(peer) && !record->removed &&
           record->value.len >= PACK_BYTES_MIN;
}

/// The compressed value of a record. The last one is kept, since many peers
/// request the same record.
static struct str
packed_value(struct mesh *mesh, const struct record *record)
{
    if (mesh->packed.value.data == NULL ||
        mesh->packed.topic != record->topic ||
        position_compare(mesh->packed.position, record->position) != 0) {
        free((char *)mesh->packed.value.data);
        mesh->packed.topic = record->topic;
        mesh->packed.position = record->position;
        mesh->packed.value = pack_compress(record->value);
    }
    return mesh->packed.value;
}

static bool
takes_listings(const struct peer *peer)
{
    return link_version(peer->link) >= MESSAGE_VERSION_LISTINGS;
}

/// Records of a topic on their way to a peer.
struct transfer {
    struct mesh *mesh;
    const struct peer *peer;
    bool is_listing; ///< without the removed keys
    size_t bytes;
};

/// A listing has no removed keys. Offsets of several eras cannot be told
/// apart.
static bool
is_sent(const struct transfer *transfer, const struct record *record)
{
    struct position end =
        records_end(transfer->mesh->options.records, record->topic);

    return (!transfer->is_listing || !record->removed) &&
           (takes_era(transfer->peer->link, record->position.era) ||
            position_compare_eras(record->position.era, end.era) == 0);
}

static void
add_bytes(void *ctx, const struct record *record)
{
    struct transfer *transfer = ctx;

    if (!is_sent(transfer, record)) {
        return;
    }
    transfer->bytes += is_packed(transfer->peer, record)
                           ? packed_value(transfer->mesh, record).len
                           : record->value.len;
}

static void
send_packed(const struct transfer *transfer, const struct record *record)
{
    struct link *link = transfer->peer->link;
    struct str value = packed_value(transfer->mesh, record);

    while (takes_eras(link) && value.len > PART_BYTES) {
        link_send(link, &(struct message){
                            .type = MESSAGE_PACKED_PART,
                            .packed_part.bytes = {value.data, PART_BYTES},
                        });
        value = (struct str){value.data + PART_BYTES, value.len - PART_BYTES};
    }
    link_send(link,
              &(struct message){
                  .type = MESSAGE_PACKED,
                  .packed.topic = (uint32_t)record->topic,
                  .packed.position = encode_position(link, record->position),
                  .packed.key = record->key,
                  .packed.value = value,
                  .packed.value_bytes = record->value.len,
              });
}

static void
send_record(void *ctx, const struct record *record)
{
    const struct transfer *transfer = ctx;

    if (!is_sent(transfer, record)) {
        return;
    }
    if (is_packed(transfer->peer, record)) {
        send_packed(transfer, record);
        return;
    }
    link_send(transfer->peer->link,
              &(struct message){
                  .type = MESSAGE_RECORD,
                  .record.topic = (uint32_t)record->topic,
                  .record.position =
                      encode_position(transfer->peer->link, record->position),
                  .record.removed = record->removed,
                  .record.key = record->key,
                  .record.value = record->value,
              });
}

/// Sends the records from the requested offset on, or a listing if the
/// requester may know keys whose removal is not stored here.
static void
send_records(struct mesh *mesh, const struct link *link,
             const struct message *request)
{
    const struct records *records = mesh->options.records;
    enum record_topic topic = (enum record_topic)request->position.topic;
    struct position from =
        decode_position(mesh, link, topic, request->position.position);
    bool is_complete =
        !uses_removals(topic) ||
        position_compare(from, records_removals_from(records, topic)) >= 0;
    struct transfer transfer = {
        .mesh = mesh,
        .peer = mesh_find_peer(mesh, link),
    };

    if (transfer.peer == NULL) {
        return;
    }
    transfer.is_listing = !is_complete && takes_listings(transfer.peer);
    if (transfer.is_listing) {
        from = (struct position){0};
    }
    records_each_since(records, topic, from, add_bytes, &transfer);
    if (request->type == MESSAGE_WANT_SMALL &&
        (transfer.bytes > SMALL_BYTES_MAX ||
         (!is_complete && !transfer.is_listing))) {
        send_position(transfer.peer->link, MESSAGE_OVERSIZE, topic, from);
        return;
    }
    if (transfer.is_listing) {
        send_position(transfer.peer->link, MESSAGE_LISTING, topic,
                      records_end(records, topic));
    }
    records_each_since(records, topic, from, send_record, &transfer);
    send_position(transfer.peer->link, MESSAGE_REACHED, topic,
                  records_end(records, topic));
}

static void
handle_packed_part(struct mesh *mesh, const struct link *link,
                   const struct message *message)
{
    struct peer *peer = mesh_find_peer(mesh, link);
    struct str bytes = message->packed_part.bytes;

    if (peer == NULL) {
        return;
    }
    if (peer->parts == NULL) {
        peer->parts = evbuffer_new();
    }
    if (evbuffer_get_length(peer->parts) + bytes.len <= PACK_BYTES_MAX) {
        evbuffer_add(peer->parts, bytes.data, bytes.len);
    }
}

/// The compressed value with the parts that came before it, which are drained
/// when it has been used.
static struct str
join_parts(const struct peer *peer, struct str last)
{
    if (peer == NULL || peer->parts == NULL) {
        return last;
    }
    evbuffer_add(peer->parts, last.data, last.len);
    return (struct str){(const char *)evbuffer_pullup(peer->parts, -1),
                        evbuffer_get_length(peer->parts)};
}

static void
handle_packed(struct mesh *mesh, const struct link *link,
              const struct message *message)
{
    struct peer *peer = mesh_find_peer(mesh, link);
    struct str packed = join_parts(peer, message->packed.value);
    struct str value = {0};

    if (!pack_expand(packed, message->packed.value_bytes, &value)) {
        LOG_WARNING(
            "event=record-rejected peer=" STR_FMT " topic=%s "
            "offset=%llu detail=\"cannot expand %zu bytes to %llu\"",
            STR_ARG(link_peer_name(link)),
            record_topic_name((enum record_topic)message->packed.topic),
            (unsigned long long)message->packed.position.number, packed.len,
            (unsigned long long)message->packed.value_bytes);
        goto out;
    }
    records_apply(mesh->options.records,
                  &(struct record){
                      .topic = (enum record_topic)message->packed.topic,
                      .key = message->packed.key,
                      .position = decode_position(
                          mesh, link, (enum record_topic)message->packed.topic,
                          message->packed.position),
                      .source = RECORDS_FROM_PEER,
                      .value = value,
                  });
out:
    free((char *)value.data);
    if (peer != NULL && peer->parts != NULL) {
        evbuffer_free(peer->parts);
        peer->parts = NULL;
    }
}

static void
handle_listing(struct mesh *mesh, const struct link *link,
               enum record_topic topic)
{
    struct peer *peer = mesh_find_peer(mesh, link);

    if (peer == NULL) {
        return;
    }
    peer->lists[topic] = true;
    mesh->topics[topic].lister = peer->id;
    records_list_begin(mesh->options.records, topic, RECORDS_FROM_PEER);
}

static void
handle_reached(struct mesh *mesh, struct link *link, enum record_topic topic,
               struct position position)
{
    struct records *records = mesh->options.records;
    struct peer *peer = mesh_find_peer(mesh, link);
    struct position before = records_end(records, topic);
    bool is_listing;

    if (peer == NULL) {
        return;
    }
    is_listing = peer->lists[topic];
    peer->lists[topic] = false;
    if (is_listing && mesh->topics[topic].lister != peer->id) {
        // The listing of another peer has begun meanwhile.
        return;
    }
    LOG_INFO("event=records-from-peer peer=" STR_FMT " topic=%s before=%lld "
             "offset=%lld era_before=%llu era=%llu listing=%d",
             STR_ARG(link_peer_name(link)), record_topic_name(topic),
             (long long)before.offset, (long long)position.offset,
             (unsigned long long)before.era.number,
             (unsigned long long)position.era.number, is_listing);
    if (is_listing) {
        records_list_end(records, topic, RECORDS_FROM_PEER, position);
    }
    else if (takes_listings(peer)) {
        records_set_end(records, topic, position);
    }
    else {
        records_skip_to(records, topic, position);
    }
    mesh->topics[topic].requested_ms = 0;
    if (position_compare(records_end(records, topic), before) > 0) {
        mesh->ends_changed = true;
    }
    mesh->options.caught_up(mesh->options.ctx, topic);
}

void
mesh_note_restore(struct mesh *mesh)
{
    struct peer *peer;

    mesh->restored = true;
    LL_FOREACH(mesh->peers, peer)
    {
        if (peer->sends_offsets) {
            memset(peer->ends, 0, sizeof(peer->ends));
        }
    }
}

void
mesh_fetch_failed(struct mesh *mesh, enum record_topic topic)
{
    struct relay_topic *state = &mesh->topics[topic];
    struct peer *peer;

    LL_FOREACH(mesh->peers, peer)
    {
        if (peer->sends_offsets && !mesh->restored) {
            peer->ends[topic] = peer->offered[topic];
        }
    }
    state->any_size_until_ms = mesh_now_ms(mesh) + ANY_SIZE_MS;
    state->requested_ms = 0;
    request_records(mesh, topic);
}

static void
send_beats(struct mesh *mesh, const struct message_beat *items, size_t count,
           const struct link *except)
{
    const struct message message = {
        .type = MESSAGE_BEATS,
        .beats.items = items,
        .beats.count = count,
    };
    struct peer *peer;

    LL_FOREACH(mesh->peers, peer)
    {
        if (peer->link != except && mesh_is_current(peer)) {
            link_send(peer->link, &message);
        }
    }
}

static void
forward_beats(struct mesh *mesh, const struct link *from)
{
    struct message_beat beats[READERS_TRACKED_MAX];
    size_t count =
        readers_take_forwards(mesh->readers, mesh_now_ms(mesh), beats);

    if (count > 0) {
        send_beats(mesh, beats, count, from);
    }
}

static void
handle_beats(struct mesh *mesh, struct link *link,
             const struct message *message)
{
    int64_t recovered_ms = readers_recovered_ms(mesh->readers);
    bool any_urgent = false;

    for (size_t i = 0; i < message->beats.count; i++) {
        bool urgent;

        readers_receive(mesh->readers, &message->beats.items[i],
                        mesh_now_ms(mesh), &urgent);
        any_urgent = any_urgent || urgent;
    }
    if (readers_recovered_ms(mesh->readers) != recovered_ms) {
        mesh->options.recovered(mesh->options.ctx,
                                readers_recovered_ms(mesh->readers));
    }
    if (any_urgent) {
        forward_beats(mesh, link);
    }
}

bool
relay_message(struct mesh *mesh, struct link *link,
              const struct message *message)
{
    switch (message->type) {
    case MESSAGE_KNOWN:
        handle_known(mesh, link, message);
        return true;
    case MESSAGE_KEPT:
        handle_kept(mesh, link, message);
        return true;
    case MESSAGE_WANT:
    case MESSAGE_WANT_SMALL:
        send_records(mesh, link, message);
        return true;
    case MESSAGE_OVERSIZE:
        mesh->options.fetch(mesh->options.ctx,
                            (enum record_topic)message->position.topic);
        return true;
    case MESSAGE_LISTING:
        handle_listing(mesh, link, (enum record_topic)message->position.topic);
        return true;
    case MESSAGE_RECORD:
        records_apply(
            mesh->options.records,
            &(struct record){
                .topic = (enum record_topic)message->record.topic,
                .key = message->record.key,
                .position = decode_position(
                    mesh, link, (enum record_topic)message->record.topic,
                    message->record.position),
                .source = RECORDS_FROM_PEER,
                .removed = message->record.removed,
                .value = message->record.value,
            });
        return true;
    case MESSAGE_PACKED_PART:
        handle_packed_part(mesh, link, message);
        return true;
    case MESSAGE_PACKED:
        handle_packed(mesh, link, message);
        return true;
    case MESSAGE_REACHED:
        handle_reached(
            mesh, link, (enum record_topic)message->position.topic,
            decode_position(mesh, link,
                            (enum record_topic)message->position.topic,
                            message->position.position));
        return true;
    case MESSAGE_BEATS:
        handle_beats(mesh, link, message);
        return true;
    default:
        return false;
    }
}

/// True while this router reads the store for others.
static bool
reads_for_all(const struct mesh *mesh)
{
    return mesh->role != READERS_IDLE && !mesh->draining &&
           mesh->options.store_answers(mesh->options.ctx,
                                       RECORDS_CONFIGURATION) &&
           mesh->options.store_answers(mesh->options.ctx, RECORDS_ENDPOINTS);
}

void
mesh_store_recovered(struct mesh *mesh)
{
    int64_t now_ms = mesh_now_ms(mesh);
    struct message_beat beat;

    // While others read, the failure was not one of the store.
    if (readers_active(mesh->readers, now_ms) > 0) {
        return;
    }
    readers_set_recovered(mesh->readers, now_ms);
    readers_make_beat(mesh->readers, reads_for_all(mesh), now_ms, &beat);
    send_beats(mesh, &beat, 1, NULL);
}

void
relay_tick(struct mesh *mesh)
{
    struct message_beat beat;

    if (readers_next_beat(mesh->readers, reads_for_all(mesh),
                          mesh_now_ms(mesh), &beat)) {
        send_beats(mesh, &beat, 1, NULL);
    }
    forward_beats(mesh, NULL);
    if (mesh->ends_changed) {
        mesh_send_topic_ends(mesh);
    }
    for (size_t i = 0; i < RECORDS_TOPIC_COUNT; i++) {
        request_records(mesh, i);
    }
}

/// Peers of version 1 that read and are answered.
static size_t
count_reading_others(const struct mesh *mesh)
{
    const struct peer *peer;
    size_t count = 0;

    LL_FOREACH(mesh->peers, peer)
    {
        if (!mesh_is_current(peer) && peer->reads_endpoints &&
            mesh_now_ms(mesh) - peer->ends_reported_ms <
                2 * mesh_report_interval_ms(mesh) + MESH_REPORT_MARGIN_MS) {
            count++;
        }
    }
    return count;
}

enum readers_role
mesh_update_role(struct mesh *mesh)
{
    struct readers_view view = {
        .now_ms = mesh_now_ms(mesh),
        .age_ms = mesh_now_ms(mesh) - mesh->started_ms,
        .has_targets = mesh->targets != NULL,
        .others = count_reading_others(mesh),
    };
    const struct peer *peer;

    LL_FOREACH(mesh->peers, peer)
    {
        view.lower_ids += mesh_is_current(peer) && peer->id < mesh->id ? 1 : 0;
    }
    mesh->role = readers_update(mesh->readers, &view);
    return mesh->role;
}
