#include "dandelionvalve/gossip.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <sodium.h>
#include <utlist.h>

#include "xmalloc.h"

#define MAC_BYTES 32
#define PART_BYTES_MAX 900
#define DOCUMENT_BYTES_MAX (16 * 1024 * 1024)
#define UPDATES_MAX 4096
#define UPDATE_BYTES_MAX 100
#define BURST_S 1.0
#define SAME_ZONE_PROBABILITY 0.7
#define PUSH_FANOUT 5
#define FETCH_RETRY_MS 1000
/// Time without progress after which a fetch goes to another peer.
#define FETCH_STALLED_MS 500
#define FETCH_ABANDON_MS 5000
#define DATAGRAM_UPDATES_MAX 64

enum datagram_type {
    DATAGRAM_UPDATES = 1,
    DATAGRAM_REQUEST,
    DATAGRAM_PART,
};

enum update_type {
    UPDATE_STATE,
    UPDATE_STRIKE,
};

/// A state or strike, sent until send_count reaches sends_per_update().
struct update {
    enum update_type type;
    struct str name;
    uint64_t number; ///< incarnation or fingerprint
    uint32_t value;  ///< state or crash id
    uint32_t send_count;
    struct update *prev;
    struct update *next;
};

/// A document that is being fetched from a peer.
struct fetch {
    int64_t version;
    char *data;
    size_t total;
    size_t received;
    int64_t requested_ms;
    int64_t progress_ms;
    struct str address;
};

struct gossip {
    struct gossip_options options;
    struct bucket bucket;
    struct gossip_peer *peers;
    size_t peer_count;
    struct update *updates; ///< newest first
    size_t update_count;
    bool may_exceed_budget; ///< set while updates are pushed
    int64_t next_ms;
    struct fetch fetch;
    struct gossip_counts counts;
    msgpack_zone zone;
};

struct gossip *
gossip_new(const struct gossip_options *options)
{
    struct gossip *gossip = xcalloc(1, sizeof(*gossip));

    gossip->options = *options;
    gossip->fetch.version = -1;
    bucket_init(&gossip->bucket, options->clock, options->bytes_per_s,
                options->bytes_per_s * BURST_S);
    gossip->next_ms =
        clock_ms(options->clock) +
        (int64_t)random_below(options->random, GOSSIP_INTERVAL_MS);
    if (!msgpack_zone_init(&gossip->zone, 4096)) {
        BUG("out of memory");
    }
    return gossip;
}

static void
update_free(struct gossip *gossip, struct update *update)
{
    DL_DELETE(gossip->updates, update);
    gossip->update_count--;
    free((char *)update->name.data);
    free(update);
}

static void
free_peers(struct gossip *gossip)
{
    for (size_t i = 0; i < gossip->peer_count; i++) {
        free((char *)gossip->peers[i].name.data);
        free((char *)gossip->peers[i].zone.data);
        free((char *)gossip->peers[i].address.data);
    }
    free(gossip->peers);
    gossip->peers = NULL;
    gossip->peer_count = 0;
}

static void
drop_fetch(struct gossip *gossip)
{
    free(gossip->fetch.data);
    free((char *)gossip->fetch.address.data);
    gossip->fetch = (struct fetch){.version = -1};
}

void
gossip_free(struct gossip *gossip)
{
    if (gossip == NULL) {
        return;
    }
    while (gossip->updates != NULL) {
        update_free(gossip, gossip->updates);
    }
    free_peers(gossip);
    drop_fetch(gossip);
    msgpack_zone_destroy(&gossip->zone);
    free(gossip);
}

void
gossip_set_peers(struct gossip *gossip, const struct gossip_peer *peers,
                 size_t count)
{
    free_peers(gossip);
    gossip->peers = xcalloc(count, sizeof(*gossip->peers));
    for (size_t i = 0; i < count; i++) {
        if (str_equal(peers[i].name, gossip->options.name) ||
            peers[i].address.len == 0) {
            continue;
        }
        gossip->peers[gossip->peer_count++] = (struct gossip_peer){
            .name = str_copy(peers[i].name),
            .zone = str_copy(peers[i].zone),
            .address = str_copy(peers[i].address),
        };
    }
}

static struct update *
find_update(const struct gossip *gossip, enum update_type type,
            struct str name, uint64_t number, uint32_t value)
{
    struct update *update;

    DL_FOREACH(gossip->updates, update)
    {
        bool same = type == UPDATE_STATE
                        ? str_equal(update->name, name)
                        : update->number == number && update->value == value;

        if (update->type == type && same) {
            return update;
        }
    }
    return NULL;
}

static void
add_update(struct gossip *gossip, enum update_type type, struct str name,
           uint64_t number, uint32_t value)
{
    struct update *update = find_update(gossip, type, name, number, value);

    if (update != NULL) {
        update_free(gossip, update);
    }
    else if (gossip->update_count == UPDATES_MAX) {
        update_free(gossip, gossip->updates->prev);
    }
    update = xcalloc(1, sizeof(*update));
    update->type = type;
    update->name = str_copy(name);
    update->number = number;
    update->value = value;
    DL_PREPEND(gossip->updates, update);
    gossip->update_count++;
}

static void
pack_str(msgpack_packer *packer, struct str s)
{
    msgpack_pack_bin(packer, s.len);
    msgpack_pack_bin_body(packer, s.data, s.len);
}

static void
pack_header(const struct gossip *gossip, msgpack_packer *packer, size_t fields,
            enum datagram_type type)
{
    msgpack_pack_array(packer, 2 + fields);
    msgpack_pack_uint64(packer, type);
    pack_str(packer, gossip->options.name);
}

/// Signs and sends a datagram that take_budget() has allowed.
static void
send_signed(struct gossip *gossip, struct str address, msgpack_sbuffer *body)
{
    unsigned char mac[MAC_BYTES];
    struct str datagram;

    crypto_auth(mac, (const unsigned char *)body->data, body->size,
                gossip->options.keys[0]);
    msgpack_sbuffer_write(body, (const char *)mac, sizeof(mac));
    datagram = (struct str){body->data, body->size};
    gossip->counts.sent++;
    gossip->counts.datagram_bytes_out += datagram.len + GOSSIP_HEADER_BYTES;
    gossip->options.send(gossip->options.ctx, address, datagram);
}

static bool
take_budget(struct gossip *gossip, size_t body_bytes)
{
    double bytes = (double)(body_bytes + MAC_BYTES + GOSSIP_HEADER_BYTES);

    if (bucket_take(&gossip->bucket, bytes)) {
        return true;
    }
    // Pushed updates do not wait: the budget may go into debt by one burst,
    // which later messages pay back.
    if (gossip->may_exceed_budget &&
        gossip->bucket.tokens > -gossip->bucket.burst_bytes) {
        bucket_charge(&gossip->bucket, bytes);
        return true;
    }
    gossip->counts.over_budget++;
    return false;
}

/// Number of times that an update is sent, so that it reaches all daemons.
static uint32_t
sends_per_update(const struct gossip *gossip)
{
    return 2 + (uint32_t)(2 * log2((double)gossip->peer_count + 1));
}

static void
pack_update(msgpack_packer *packer, const struct update *update)
{
    msgpack_pack_array(packer, 4);
    msgpack_pack_uint64(packer, update->type);
    pack_str(packer, update->name);
    msgpack_pack_uint64(packer, update->number);
    msgpack_pack_uint64(packer, update->value);
}

/// Number of updates that fit into one datagram, newest first.
static size_t
count_fitting(const struct gossip *gossip)
{
    size_t room = GOSSIP_DATAGRAM_BYTES_MAX - MAC_BYTES - 200;
    size_t count = 0;
    const struct update *update;

    DL_FOREACH(gossip->updates, update)
    {
        size_t bytes = update->name.len + 24;

        if (bytes > room || count == DATAGRAM_UPDATES_MAX) {
            break;
        }
        room -= bytes;
        count++;
    }
    return count;
}

/// Counts a send of the first `sent` updates; frees those sent often enough.
static void
count_sent(struct gossip *gossip, size_t sent)
{
    uint32_t sends_max = sends_per_update(gossip);
    struct update *update, *next;

    DL_FOREACH_SAFE(gossip->updates, update, next)
    {
        if (sent-- == 0) {
            return;
        }
        if (++update->send_count >= sends_max) {
            update_free(gossip, update);
        }
    }
}

static bool
send_updates(struct gossip *gossip, const struct gossip_peer *peer)
{
    size_t count = count_fitting(gossip);
    const struct update *update;
    msgpack_sbuffer body;
    msgpack_packer packer;
    size_t packed = 0;
    bool sent = false;

    msgpack_sbuffer_init(&body);
    msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
    pack_header(gossip, &packer, 3, DATAGRAM_UPDATES);
    msgpack_pack_uint64(&packer, gossip->options.incarnation);
    msgpack_pack_int64(&packer, gossip->options.version(gossip->options.ctx));
    msgpack_pack_array(&packer, count);
    DL_FOREACH(gossip->updates, update)
    {
        if (packed++ == count) {
            break;
        }
        pack_update(&packer, update);
    }
    if (take_budget(gossip, body.size)) {
        send_signed(gossip, peer->address, &body);
        count_sent(gossip, count);
        sent = true;
    }
    msgpack_sbuffer_destroy(&body);
    return sent;
}

static const struct gossip_peer *
choose_peer(const struct gossip *gossip)
{
    const struct random_source *random = gossip->options.random;
    bool same_zone = random_unit(random) < SAME_ZONE_PROBABILITY;
    size_t start;

    if (gossip->peer_count == 0) {
        return NULL;
    }
    start = random_below(random, gossip->peer_count);
    for (size_t i = 0; same_zone && i < gossip->peer_count; i++) {
        const struct gossip_peer *peer =
            &gossip->peers[(start + i) % gossip->peer_count];

        if (str_equal(peer->zone, gossip->options.zone)) {
            return peer;
        }
    }
    return &gossip->peers[start];
}

/// Sends the updates to a few peers at once; each daemon to which they are new
/// does the same. A delay of a second costs refused requests, or lets a
/// request crash another endpoint.
static void
push_updates(struct gossip *gossip)
{
    gossip->may_exceed_budget = true;
    for (size_t i = 0; i < PUSH_FANOUT; i++) {
        const struct gossip_peer *peer = choose_peer(gossip);

        if (peer != NULL) {
            send_updates(gossip, peer);
        }
    }
    gossip->may_exceed_budget = false;
}

void
gossip_announce_state(struct gossip *gossip, struct str name,
                      uint64_t incarnation, enum agent_state state)
{
    add_update(gossip, UPDATE_STATE, name, incarnation, state);
    push_updates(gossip);
}

void
gossip_announce_strike(struct gossip *gossip, uint64_t fingerprint,
                       uint32_t crash_id)
{
    add_update(gossip, UPDATE_STRIKE, STR_LITERAL(""), fingerprint, crash_id);
    push_updates(gossip);
}

static void
send_request(struct gossip *gossip)
{
    struct fetch *fetch = &gossip->fetch;
    msgpack_sbuffer body;
    msgpack_packer packer;

    fetch->requested_ms = clock_ms(gossip->options.clock);
    msgpack_sbuffer_init(&body);
    msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
    pack_header(gossip, &packer, 2, DATAGRAM_REQUEST);
    msgpack_pack_int64(&packer, fetch->version);
    msgpack_pack_uint64(&packer, fetch->received);
    if (take_budget(gossip, body.size)) {
        send_signed(gossip, fetch->address, &body);
    }
    msgpack_sbuffer_destroy(&body);
}

static void
send_part(struct gossip *gossip, struct str address, int64_t version,
          uint64_t offset)
{
    struct str document = gossip->options.document(gossip->options.ctx);
    msgpack_sbuffer body;
    msgpack_packer packer;
    size_t len;

    if (version != gossip->options.version(gossip->options.ctx) ||
        offset >= document.len) {
        return;
    }
    len = document.len - offset;
    if (len > PART_BYTES_MAX) {
        len = PART_BYTES_MAX;
    }
    msgpack_sbuffer_init(&body);
    msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
    pack_header(gossip, &packer, 4, DATAGRAM_PART);
    msgpack_pack_int64(&packer, version);
    msgpack_pack_uint64(&packer, document.len);
    msgpack_pack_uint64(&packer, offset);
    pack_str(&packer, (struct str){document.data + offset, len});
    if (take_budget(gossip, body.size)) {
        send_signed(gossip, address, &body);
    }
    msgpack_sbuffer_destroy(&body);
}

/// Continues a stalled fetch from another peer that has the version.
static void
resume_fetch_from(struct gossip *gossip, struct str address)
{
    struct fetch *fetch = &gossip->fetch;
    int64_t now_ms = clock_ms(gossip->options.clock);

    if (now_ms - fetch->progress_ms < FETCH_STALLED_MS ||
        now_ms - fetch->requested_ms < FETCH_STALLED_MS) {
        return;
    }
    free((char *)fetch->address.data);
    fetch->address = str_copy(address);
    send_request(gossip);
}

static void
start_fetch(struct gossip *gossip, struct str address, int64_t version)
{
    struct fetch *fetch = &gossip->fetch;

    if (version <= gossip->options.version(gossip->options.ctx) ||
        version < fetch->version ||
        !gossip->options.needs_document(gossip->options.ctx)) {
        return;
    }
    if (version == fetch->version) {
        resume_fetch_from(gossip, address);
        return;
    }
    drop_fetch(gossip);
    fetch->version = version;
    fetch->address = str_copy(address);
    fetch->progress_ms = clock_ms(gossip->options.clock);
    send_request(gossip);
}

static void
handle_part(struct gossip *gossip, struct str address, int64_t version,
            uint64_t total, uint64_t offset, struct str bytes)
{
    struct fetch *fetch = &gossip->fetch;

    (void)address;
    if (version != fetch->version || offset != fetch->received ||
        total > DOCUMENT_BYTES_MAX || bytes.len > total - offset ||
        bytes.len == 0 || (fetch->data != NULL && total != fetch->total)) {
        return;
    }
    if (fetch->data == NULL) {
        fetch->data = xmalloc(total);
        fetch->total = total;
    }
    memcpy(fetch->data + offset, bytes.data, bytes.len);
    fetch->received += bytes.len;
    fetch->progress_ms = clock_ms(gossip->options.clock);
    if (fetch->received < fetch->total) {
        send_request(gossip);
        return;
    }
    gossip->options.apply_document(gossip->options.ctx, version,
                                   (struct str){fetch->data, fetch->total});
    drop_fetch(gossip);
}

static const msgpack_object *
field(const msgpack_object *array, size_t index, msgpack_object_type type)
{
    const msgpack_object *object;

    if (index >= array->via.array.size) {
        return NULL;
    }
    object = &array->via.array.ptr[index];
    return object->type == type ? object : NULL;
}

static bool
get_uint(const msgpack_object *array, size_t index, uint64_t *value)
{
    const msgpack_object *object =
        field(array, index, MSGPACK_OBJECT_POSITIVE_INTEGER);

    *value = object != NULL ? object->via.u64 : 0;
    return object != NULL;
}

/// A version may be -1 and so has either integer type.
static bool
get_version(const msgpack_object *array, size_t index, int64_t *value)
{
    const msgpack_object *object;
    uint64_t positive;

    if (get_uint(array, index, &positive) && positive <= INT64_MAX) {
        *value = (int64_t)positive;
        return true;
    }
    object = field(array, index, MSGPACK_OBJECT_NEGATIVE_INTEGER);
    *value = object != NULL ? object->via.i64 : -1;
    return object != NULL;
}

static bool
get_str(const msgpack_object *array, size_t index, struct str *value)
{
    const msgpack_object *object = field(array, index, MSGPACK_OBJECT_BIN);

    *value = object != NULL
                 ? (struct str){object->via.bin.ptr, object->via.bin.size}
                 : STR_LITERAL("");
    return object != NULL;
}

static bool
handle_update(struct gossip *gossip, const msgpack_object *item)
{
    const struct gossip_options *options = &gossip->options;
    uint64_t type, number, value;
    struct str name;

    if (item->type != MSGPACK_OBJECT_ARRAY || !get_uint(item, 0, &type) ||
        !get_str(item, 1, &name) || !get_uint(item, 2, &number) ||
        !get_uint(item, 3, &value)) {
        return false;
    }
    if (type == UPDATE_STATE && value <= AGENT_ENDPOINT_DOWN) {
        if (options->state_received(options->ctx, name, number,
                                    (enum agent_state)value)) {
            gossip_announce_state(gossip, name, number,
                                  (enum agent_state)value);
        }
        return true;
    }
    if (type == UPDATE_STRIKE && value <= UINT32_MAX) {
        if (options->strike_received(options->ctx, number, (uint32_t)value)) {
            gossip_announce_strike(gossip, number, (uint32_t)value);
        }
        return true;
    }
    return false;
}

static bool
handle_updates(struct gossip *gossip, struct str address,
               const msgpack_object *array)
{
    const msgpack_object *items = field(array, 4, MSGPACK_OBJECT_ARRAY);
    int64_t version;

    if (items == NULL || !get_version(array, 3, &version)) {
        return false;
    }
    for (size_t i = 0; i < items->via.array.size; i++) {
        if (!handle_update(gossip, &items->via.array.ptr[i])) {
            return false;
        }
    }
    start_fetch(gossip, address, version);
    // A peer with an older version receives the current one at once, and can
    // fetch it from here.
    if (version < gossip->options.version(gossip->options.ctx)) {
        const struct gossip_peer behind = {.address = address};

        send_updates(gossip, &behind);
    }
    return true;
}

static bool
handle_datagram(struct gossip *gossip, struct str address,
                const msgpack_object *array)
{
    uint64_t type, total, offset;
    struct str name, bytes;
    int64_t version;

    if (array->type != MSGPACK_OBJECT_ARRAY || !get_uint(array, 0, &type) ||
        !get_str(array, 1, &name)) {
        return false;
    }
    gossip->options.datagram_received(gossip->options.ctx, name);
    switch (type) {
    case DATAGRAM_UPDATES:
        return handle_updates(gossip, address, array);
    case DATAGRAM_REQUEST:
        if (!get_version(array, 2, &version) || !get_uint(array, 3, &offset)) {
            return false;
        }
        send_part(gossip, address, version, offset);
        return true;
    case DATAGRAM_PART:
        if (!get_version(array, 2, &version) || !get_uint(array, 3, &total) ||
            !get_uint(array, 4, &offset) || !get_str(array, 5, &bytes) ||
            offset > total) {
            return false;
        }
        handle_part(gossip, address, version, total, offset, bytes);
        return true;
    default:
        return false;
    }
}

static bool
is_authentic(const struct gossip *gossip, struct str datagram)
{
    const unsigned char *data = (const unsigned char *)datagram.data;

    if (datagram.len <= MAC_BYTES ||
        datagram.len > GOSSIP_DATAGRAM_BYTES_MAX) {
        return false;
    }
    for (size_t i = 0; i < gossip->options.key_count; i++) {
        if (crypto_auth_verify(data + datagram.len - MAC_BYTES, data,
                               datagram.len - MAC_BYTES,
                               gossip->options.keys[i]) == 0) {
            return true;
        }
    }
    return false;
}

void
gossip_receive(struct gossip *gossip, struct str address, struct str datagram)
{
    msgpack_object object;
    size_t offset = 0;

    gossip->counts.bytes_in += datagram.len + GOSSIP_HEADER_BYTES;
    bucket_charge(&gossip->bucket,
                  (double)(datagram.len + GOSSIP_HEADER_BYTES));
    // The decoder allocates for the lengths in a datagram, so only datagrams
    // of holders of the key are decoded.
    msgpack_zone_clear(&gossip->zone);
    if (!is_authentic(gossip, datagram) ||
        msgpack_unpack(datagram.data, datagram.len - MAC_BYTES, &offset,
                       &gossip->zone, &object) != MSGPACK_UNPACK_SUCCESS ||
        !handle_datagram(gossip, address, &object)) {
        gossip->counts.rejected++;
    }
}

void
gossip_charge_budget(struct gossip *gossip, size_t bytes)
{
    bucket_charge(&gossip->bucket, (double)bytes);
}

bool
gossip_take_budget(struct gossip *gossip, size_t bytes)
{
    if (bucket_take(&gossip->bucket, (double)bytes)) {
        return true;
    }
    gossip->counts.over_budget++;
    return false;
}

static void
retry_fetch(struct gossip *gossip)
{
    struct fetch *fetch = &gossip->fetch;
    int64_t now_ms = clock_ms(gossip->options.clock);

    if (fetch->version < 0 || now_ms - fetch->requested_ms < FETCH_RETRY_MS) {
        return;
    }
    if (fetch->version <= gossip->options.version(gossip->options.ctx)) {
        drop_fetch(gossip);
        return;
    }
    if (now_ms - fetch->progress_ms >= FETCH_ABANDON_MS) {
        // The peer is gone or has a newer version; the next datagram that
        // announces a version starts another fetch.
        drop_fetch(gossip);
        return;
    }
    send_request(gossip);
}

void
gossip_tick(struct gossip *gossip)
{
    int64_t now_ms = clock_ms(gossip->options.clock);
    const struct gossip_peer *peer;

    retry_fetch(gossip);
    if (now_ms < gossip->next_ms) {
        return;
    }
    peer = choose_peer(gossip);
    if (peer != NULL && send_updates(gossip, peer)) {
        gossip->next_ms = now_ms + GOSSIP_INTERVAL_MS;
    }
}

struct gossip_counts
gossip_totals(const struct gossip *gossip)
{
    return gossip->counts;
}
