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
#define NEWS_MAX 4096
#define NEWS_BYTES_MAX 100
#define BURST_SECONDS 1.0
#define SAME_ZONE_SHARE 0.7
#define URGENT_PEERS 5
#define FETCH_RETRY_MS 1000
#define FETCH_STALLED_MS 500
#define FETCH_GIVE_UP_MS 5000
#define ELEMENTS_MAX 64

enum datagram_type {
    DATAGRAM_NEWS = 1,
    DATAGRAM_ASK,
    DATAGRAM_PART,
};

enum news_type {
    NEWS_WORD,
    NEWS_STRIKE,
};

/// A rumour that is sent on until it has gone out often enough.
struct news {
    enum news_type type;
    struct str name;
    uint64_t number; ///< incarnation or fingerprint
    uint32_t value;  ///< state or death
    uint32_t sends;
    struct news *prev;
    struct news *next;
};

/// A document that is being fetched from a peer.
struct fetch {
    int64_t version;
    char *data;
    size_t total;
    size_t received;
    int64_t asked_ms;
    int64_t progress_ms;
    struct str address;
};

struct gossip {
    struct gossip_options options;
    struct bucket bucket;
    struct gossip_peer *peers;
    size_t peer_count;
    struct news *news; ///< newest first
    size_t news_count;
    bool urgent; ///< the budget may be exceeded for now
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
                options->bytes_per_s * BURST_SECONDS);
    gossip->next_ms =
        clock_ms(options->clock) +
        (int64_t)random_below(options->random, GOSSIP_INTERVAL_MS);
    if (!msgpack_zone_init(&gossip->zone, 4096)) {
        BUG("out of memory");
    }
    return gossip;
}

static void
news_free(struct gossip *gossip, struct news *news)
{
    DL_DELETE(gossip->news, news);
    gossip->news_count--;
    free((char *)news->name.data);
    free(news);
}

static void
drop_peers(struct gossip *gossip)
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
    while (gossip->news != NULL) {
        news_free(gossip, gossip->news);
    }
    drop_peers(gossip);
    drop_fetch(gossip);
    msgpack_zone_destroy(&gossip->zone);
    free(gossip);
}

void
gossip_set_peers(struct gossip *gossip, const struct gossip_peer *peers,
                 size_t count)
{
    drop_peers(gossip);
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

static struct news *
find_news(const struct gossip *gossip, enum news_type type, struct str name,
          uint64_t number, uint32_t value)
{
    struct news *news;

    DL_FOREACH(gossip->news, news)
    {
        bool same = type == NEWS_WORD
                        ? str_equal(news->name, name)
                        : news->number == number && news->value == value;

        if (news->type == type && same) {
            return news;
        }
    }
    return NULL;
}

static void
add_news(struct gossip *gossip, enum news_type type, struct str name,
         uint64_t number, uint32_t value)
{
    struct news *news = find_news(gossip, type, name, number, value);

    if (news != NULL) {
        news_free(gossip, news);
    }
    else if (gossip->news_count == NEWS_MAX) {
        news_free(gossip, gossip->news->prev);
    }
    news = xcalloc(1, sizeof(*news));
    news->type = type;
    news->name = str_copy(name);
    news->number = number;
    news->value = value;
    DL_PREPEND(gossip->news, news);
    gossip->news_count++;
}

static void
pack_str(msgpack_packer *packer, struct str s)
{
    msgpack_pack_bin(packer, s.len);
    msgpack_pack_bin_body(packer, s.data, s.len);
}

static void
pack_head(const struct gossip *gossip, msgpack_packer *packer, size_t fields,
          enum datagram_type type)
{
    msgpack_pack_array(packer, 2 + fields);
    msgpack_pack_uint64(packer, type);
    pack_str(packer, gossip->options.name);
}

/// Signs and sends; the budget was asked before.
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
    // Strikes do not wait: they go into debt, which later messages pay back.
    if (gossip->urgent &&
        gossip->bucket.tokens > -gossip->bucket.burst_bytes) {
        bucket_charge(&gossip->bucket, bytes);
        return true;
    }
    gossip->counts.held++;
    return false;
}

/// How often a rumour must go out so that all hear of it.
static uint32_t
sends_wanted(const struct gossip *gossip)
{
    return 2 + (uint32_t)(2 * log2((double)gossip->peer_count + 1));
}

static void
pack_news_item(msgpack_packer *packer, const struct news *news)
{
    msgpack_pack_array(packer, 4);
    msgpack_pack_uint64(packer, news->type);
    pack_str(packer, news->name);
    msgpack_pack_uint64(packer, news->number);
    msgpack_pack_uint64(packer, news->value);
}

static size_t
count_items(const struct gossip *gossip)
{
    size_t room = GOSSIP_DATAGRAM_BYTES_MAX - MAC_BYTES - 200;
    size_t count = 0;
    const struct news *news;

    DL_FOREACH(gossip->news, news)
    {
        size_t bytes = news->name.len + 24;

        if (bytes > room || count == ELEMENTS_MAX) {
            break;
        }
        room -= bytes;
        count++;
    }
    return count;
}

static void
retire_news(struct gossip *gossip, size_t sent)
{
    uint32_t wanted = sends_wanted(gossip);
    struct news *news, *next;

    DL_FOREACH_SAFE(gossip->news, news, next)
    {
        if (sent-- == 0) {
            return;
        }
        if (++news->sends >= wanted) {
            news_free(gossip, news);
        }
    }
}

static bool
send_news(struct gossip *gossip, const struct gossip_peer *peer)
{
    size_t count = count_items(gossip);
    const struct news *news;
    msgpack_sbuffer body;
    msgpack_packer packer;
    size_t packed = 0;
    bool sent = false;

    msgpack_sbuffer_init(&body);
    msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
    pack_head(gossip, &packer, 3, DATAGRAM_NEWS);
    msgpack_pack_uint64(&packer, gossip->options.incarnation);
    msgpack_pack_int64(&packer, gossip->options.version(gossip->options.ctx));
    msgpack_pack_array(&packer, count);
    DL_FOREACH(gossip->news, news)
    {
        if (packed++ == count) {
            break;
        }
        pack_news_item(&packer, news);
    }
    if (take_budget(gossip, body.size)) {
        send_signed(gossip, peer->address, &body);
        retire_news(gossip, count);
        sent = true;
    }
    msgpack_sbuffer_destroy(&body);
    return sent;
}

static const struct gossip_peer *
choose_peer(const struct gossip *gossip)
{
    const struct random_source *random = gossip->options.random;
    bool same_zone = random_unit(random) < SAME_ZONE_SHARE;
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

/// Sends news to a few peers at once, and each daemon to which they are new
/// does the same: a second that they take costs refusals, or an endpoint.
static void
push(struct gossip *gossip)
{
    gossip->urgent = true;
    for (size_t i = 0; i < URGENT_PEERS; i++) {
        const struct gossip_peer *peer = choose_peer(gossip);

        if (peer != NULL) {
            send_news(gossip, peer);
        }
    }
    gossip->urgent = false;
}

void
gossip_tell_word(struct gossip *gossip, struct str name, uint64_t incarnation,
                 enum agent_state state)
{
    add_news(gossip, NEWS_WORD, name, incarnation, state);
    push(gossip);
}

void
gossip_tell_strike(struct gossip *gossip, uint64_t fingerprint, uint32_t death)
{
    add_news(gossip, NEWS_STRIKE, STR_LITERAL(""), fingerprint, death);
    push(gossip);
}

static void
send_ask(struct gossip *gossip)
{
    struct fetch *fetch = &gossip->fetch;
    msgpack_sbuffer body;
    msgpack_packer packer;

    fetch->asked_ms = clock_ms(gossip->options.clock);
    msgpack_sbuffer_init(&body);
    msgpack_packer_init(&packer, &body, msgpack_sbuffer_write);
    pack_head(gossip, &packer, 2, DATAGRAM_ASK);
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
    pack_head(gossip, &packer, 4, DATAGRAM_PART);
    msgpack_pack_int64(&packer, version);
    msgpack_pack_uint64(&packer, document.len);
    msgpack_pack_uint64(&packer, offset);
    pack_str(&packer, (struct str){document.data + offset, len});
    if (take_budget(gossip, body.size)) {
        send_signed(gossip, address, &body);
    }
    msgpack_sbuffer_destroy(&body);
}

/// A fetch that has stalled goes on from another peer with the version.
static void
switch_fetch(struct gossip *gossip, struct str address)
{
    struct fetch *fetch = &gossip->fetch;
    int64_t now = clock_ms(gossip->options.clock);

    if (now - fetch->progress_ms < FETCH_STALLED_MS ||
        now - fetch->asked_ms < FETCH_STALLED_MS) {
        return;
    }
    free((char *)fetch->address.data);
    fetch->address = str_copy(address);
    send_ask(gossip);
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
        switch_fetch(gossip, address);
        return;
    }
    drop_fetch(gossip);
    fetch->version = version;
    fetch->address = str_copy(address);
    fetch->progress_ms = clock_ms(gossip->options.clock);
    send_ask(gossip);
}

static void
take_part(struct gossip *gossip, struct str address, int64_t version,
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
        send_ask(gossip);
        return;
    }
    gossip->options.adopt(gossip->options.ctx, version,
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

/// Versions may be -1, so they come with either integer type.
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
take_news_item(struct gossip *gossip, const msgpack_object *item)
{
    const struct gossip_options *options = &gossip->options;
    uint64_t type, number, value;
    struct str name;

    if (item->type != MSGPACK_OBJECT_ARRAY || !get_uint(item, 0, &type) ||
        !get_str(item, 1, &name) || !get_uint(item, 2, &number) ||
        !get_uint(item, 3, &value)) {
        return false;
    }
    if (type == NEWS_WORD && value <= AGENT_ENDPOINT_DOWN) {
        if (options->word(options->ctx, name, number,
                          (enum agent_state)value)) {
            gossip_tell_word(gossip, name, number, (enum agent_state)value);
        }
        return true;
    }
    if (type == NEWS_STRIKE && value <= UINT32_MAX) {
        if (options->strike(options->ctx, number, (uint32_t)value)) {
            gossip_tell_strike(gossip, number, (uint32_t)value);
        }
        return true;
    }
    return false;
}

static bool
take_news(struct gossip *gossip, struct str address,
          const msgpack_object *array)
{
    const msgpack_object *items = field(array, 4, MSGPACK_OBJECT_ARRAY);
    int64_t version;

    if (items == NULL || !get_version(array, 3, &version)) {
        return false;
    }
    for (size_t i = 0; i < items->via.array.size; i++) {
        if (!take_news_item(gossip, &items->via.array.ptr[i])) {
            return false;
        }
    }
    start_fetch(gossip, address, version);
    // Whoever is behind hears at once from where it can catch up.
    if (version < gossip->options.version(gossip->options.ctx)) {
        const struct gossip_peer behind = {.address = address};

        send_news(gossip, &behind);
    }
    return true;
}

static bool
take_datagram(struct gossip *gossip, struct str address,
              const msgpack_object *array)
{
    uint64_t type, total, offset;
    struct str name, bytes;
    int64_t version;

    if (array->type != MSGPACK_OBJECT_ARRAY || !get_uint(array, 0, &type) ||
        !get_str(array, 1, &name)) {
        return false;
    }
    gossip->options.heard(gossip->options.ctx, name);
    switch (type) {
    case DATAGRAM_NEWS:
        return take_news(gossip, address, array);
    case DATAGRAM_ASK:
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
        take_part(gossip, address, version, total, offset, bytes);
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
    // Only holders of the key get as far as the decoder, so the lengths that
    // a datagram claims are its sender's own.
    msgpack_zone_clear(&gossip->zone);
    if (!is_authentic(gossip, datagram) ||
        msgpack_unpack(datagram.data, datagram.len - MAC_BYTES, &offset,
                       &gossip->zone, &object) != MSGPACK_UNPACK_SUCCESS ||
        !take_datagram(gossip, address, &object)) {
        gossip->counts.bad++;
    }
}

void
gossip_charge(struct gossip *gossip, size_t bytes)
{
    bucket_charge(&gossip->bucket, (double)bytes);
}

bool
gossip_take(struct gossip *gossip, size_t bytes)
{
    if (bucket_take(&gossip->bucket, (double)bytes)) {
        return true;
    }
    gossip->counts.held++;
    return false;
}

static void
repeat_ask(struct gossip *gossip)
{
    struct fetch *fetch = &gossip->fetch;
    int64_t now = clock_ms(gossip->options.clock);

    if (fetch->version < 0 || now - fetch->asked_ms < FETCH_RETRY_MS) {
        return;
    }
    if (fetch->version <= gossip->options.version(gossip->options.ctx)) {
        drop_fetch(gossip);
        return;
    }
    if (now - fetch->progress_ms >= FETCH_GIVE_UP_MS) {
        // The peer is gone or has a newer version; its news start anew.
        drop_fetch(gossip);
        return;
    }
    send_ask(gossip);
}

void
gossip_tick(struct gossip *gossip)
{
    int64_t now = clock_ms(gossip->options.clock);
    const struct gossip_peer *peer;

    repeat_ask(gossip);
    if (now < gossip->next_ms) {
        return;
    }
    peer = choose_peer(gossip);
    if (peer != NULL && send_news(gossip, peer)) {
        gossip->next_ms = now + GOSSIP_INTERVAL_MS;
    }
}

struct gossip_counts
gossip_totals(const struct gossip *gossip)
{
    return gossip->counts;
}
