#include "dandelionvalve/message.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "xmalloc.h"

#define NESTING_MAX 2
#define POSITION_ELEMENTS 3
#define ELEMENTS_MAX (3 * MESSAGE_LOADS_MAX)

#define TAG_FIXINT_MAX 0x7f
#define TAG_FIXARRAY 0x90
#define TAG_FALSE 0xc2
#define TAG_TRUE 0xc3
#define TAG_BIN8 0xc4
#define TAG_BIN16 0xc5
#define TAG_BIN32 0xc6
#define TAG_UINT8 0xcc
#define TAG_UINT16 0xcd
#define TAG_UINT32 0xce
#define TAG_UINT64 0xcf
#define TAG_ARRAY16 0xdc
#define TAG_ARRAY32 0xdd

struct message_codec {
    msgpack_sbuffer out;
    msgpack_packer packer;
    msgpack_zone zone;
};

/// Iterates over the elements of a decoded array. After an error all further
/// reads fail.
struct cursor {
    const msgpack_object *next;
    const msgpack_object *end;
    msgpack_zone *zone; ///< for items that are not views of the frame
    bool failed;
};

struct message_codec *
message_codec_new(void)
{
    struct message_codec *codec = xcalloc(1, sizeof(*codec));

    msgpack_sbuffer_init(&codec->out);
    msgpack_packer_init(&codec->packer, &codec->out, msgpack_sbuffer_write);
    if (!msgpack_zone_init(&codec->zone, 8192)) {
        BUG("out of memory");
    }
    return codec;
}

void
message_codec_free(struct message_codec *codec)
{
    if (codec == NULL) {
        return;
    }
    msgpack_zone_destroy(&codec->zone);
    msgpack_sbuffer_destroy(&codec->out);
    free(codec);
}

static void
put_str(msgpack_packer *packer, struct str s)
{
    msgpack_pack_bin(packer, s.len);
    msgpack_pack_bin_body(packer, s.data, s.len);
}

static void
put_uint(msgpack_packer *packer, uint64_t value)
{
    msgpack_pack_uint64(packer, value);
}

static void
put_bool(msgpack_packer *packer, bool value)
{
    if (value) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

static void
put_position(msgpack_packer *packer, const struct message_position *position)
{
    if (!position->has_era) {
        put_uint(packer, position->number);
        return;
    }
    msgpack_pack_array(packer, POSITION_ELEMENTS);
    put_uint(packer, position->resets);
    put_uint(packer, position->era);
    put_uint(packer, position->number);
}

static void
put_id(msgpack_packer *packer, const struct attempt_id *id)
{
    put_str(packer, (struct str){(const char *)id->request.bytes,
                                 sizeof(id->request.bytes)});
    put_uint(packer, id->attempt);
}

static void
put_load(msgpack_packer *packer, const struct load_report *load)
{
    put_uint(packer, load->incarnation);
    put_uint(packer, load->state);
    put_uint(packer, load->running);
    put_uint(packer, load->queued);
    put_uint(packer, load->slots);
    put_uint(packer, load->bound);
}

static void
put_headers(msgpack_packer *packer, const struct message_header *headers,
            size_t count)
{
    msgpack_pack_array(packer, 2 * count);
    for (size_t i = 0; i < count; i++) {
        put_str(packer, headers[i].name);
        put_str(packer, headers[i].value);
    }
}

static void
put_offer(msgpack_packer *packer, const struct message_offer *offer)
{
    put_id(packer, &offer->id);
    put_uint(packer, offer->in_flight);
    put_uint(packer, offer->pool_weight);
    put_str(packer, offer->account);
    put_uint(packer, offer->account_weight);
    put_uint(packer, offer->priority);
    put_str(packer, offer->route);
    put_str(packer, offer->key);
    put_bool(packer, offer->repeatable);
    put_bool(packer, offer->may_wait);
    put_bool(packer, offer->cut_on_disconnect);
    put_uint(packer, offer->fingerprint);
    put_uint(packer, offer->deadline_ms);
    put_uint(packer, offer->first_byte_ms);
    put_uint(packer, offer->idle_ms);
    put_str(packer, offer->method);
    put_str(packer, offer->uri);
    put_headers(packer, offer->headers, offer->header_count);
    put_uint(packer, offer->body_bytes);
    put_str(packer, offer->body);
}

static size_t
field_count(enum message_type type)
{
    static const size_t counts[MESSAGE_TYPE_END] = {
        [MESSAGE_HELLO] = 5,
        [MESSAGE_PROOF] = 1,
        [MESSAGE_OFFER] = 21,
        [MESSAGE_BODY] = 4,
        [MESSAGE_ACCEPT] = 8,
        [MESSAGE_REFUSE] = 10,
        [MESSAGE_HEAD] = 4,
        [MESSAGE_DATA] = 4,
        [MESSAGE_END] = 10,
        [MESSAGE_FAIL] = 10,
        [MESSAGE_ACK] = 5,
        [MESSAGE_CANCEL] = 3,
        [MESSAGE_RESUME] = 4,
        [MESSAGE_IN_FLIGHT] = 2,
        [MESSAGE_STATE] = 6,
        [MESSAGE_ROUTER] = 1,
        [MESSAGE_LOADS] = 1,
        [MESSAGE_KNOWN] = 4,
        [MESSAGE_WANT] = 2,
        [MESSAGE_RECORD] = 5,
        [MESSAGE_REACHED] = 2,
        [MESSAGE_STRIKE] = 2,
        [MESSAGE_PLACED] = 1,
        [MESSAGE_DOWN] = 1,
        [MESSAGE_WANT_CONTEXTS] = 0,
        [MESSAGE_CONTEXTS] = 1,
        [MESSAGE_BEATS] = 1,
        [MESSAGE_WANT_SMALL] = 2,
        [MESSAGE_OVERSIZE] = 2,
        [MESSAGE_PACKED] = 5,
        [MESSAGE_BLAMES] = 1,
        [MESSAGE_ANSWERED] = 1,
        [MESSAGE_LISTING] = 2,
        [MESSAGE_SHARES] = 1,
        [MESSAGE_FAILING] = 1,
        [MESSAGE_RATES] = 1,
        [MESSAGE_BUSY] = 1,
        [MESSAGE_KEPT] = 1,
        [MESSAGE_PACKED_PART] = 1,
        [MESSAGE_STREAMS] = 2,
        [MESSAGE_STREAMS_WRITTEN] = 2,
        [MESSAGE_FIND_STREAMS] = 2,
        [MESSAGE_FOUND_STREAMS] = 2,
    };

    return counts[type];
}

static void
put_loads(msgpack_packer *packer, const struct message_load *items,
          size_t count)
{
    msgpack_pack_array(packer, 3 * count);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].endpoint);
        put_uint(packer, items[i].in_flight);
        put_uint(packer, items[i].backlog_tokens);
    }
}

static void
put_contexts(msgpack_packer *packer, const struct message_context *items,
             size_t count)
{
    msgpack_pack_array(packer, 3 * count);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].endpoint);
        put_uint(packer, items[i].key);
        put_uint(packer, items[i].tokens);
    }
}

static void
put_beats(msgpack_packer *packer, const struct message_beat *items,
          size_t count)
{
    msgpack_pack_array(packer, 4 * count);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].id);
        put_uint(packer, items[i].beat);
        put_bool(packer, items[i].reads);
        put_uint(packer, items[i].recovered_age_ms);
    }
}

static void
put_shares(msgpack_packer *packer, const struct message_share *items,
           size_t count)
{
    msgpack_pack_array(packer, 5 * count);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].group);
        put_uint(packer, items[i].account);
        put_uint(packer, items[i].offered_milli);
        put_uint(packer, items[i].admitted_milli);
        put_uint(packer, items[i].admitted_tokens);
    }
}

static void
put_rates(msgpack_packer *packer, const struct message_rate *items,
          size_t count)
{
    msgpack_pack_array(packer, 5 * count);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].endpoint);
        put_uint(packer, items[i].incarnation);
        put_bool(packer, items[i].holds);
        put_uint(packer, items[i].milli_per_s);
        put_uint(packer, items[i].age_ms);
    }
}

static void
put_busy(msgpack_packer *packer, const struct message_busy *items,
         size_t count)
{
    msgpack_pack_array(packer, 4 * count);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].endpoint);
        put_uint(packer, items[i].incarnation);
        put_uint(packer, items[i].load);
        put_uint(packer, items[i].age_ms);
    }
}

static void
put_blames(msgpack_packer *packer, const struct message_blame *items,
           size_t count)
{
    size_t numbers = 0;

    for (size_t i = 0; i < count; i++) {
        numbers += 4 + items[i].part_count;
    }
    msgpack_pack_array(packer, numbers);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].crash_id);
        put_uint(packer, items[i].age_ms);
        put_bool(packer, items[i].begun);
        put_uint(packer, items[i].part_count);
        for (size_t j = 0; j < items[i].part_count; j++) {
            put_uint(packer, items[i].parts[j]);
        }
    }
}

static void
put_answered(msgpack_packer *packer, const uint64_t *parts, size_t count)
{
    msgpack_pack_array(packer, count);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, parts[i]);
    }
}

static void
put_placed(msgpack_packer *packer, const struct message_placed *items,
           size_t count)
{
    size_t numbers = 0;

    for (size_t i = 0; i < count; i++) {
        numbers += 2 + 2 * items[i].count;
    }
    msgpack_pack_array(packer, numbers);
    for (size_t i = 0; i < count; i++) {
        put_uint(packer, items[i].endpoint);
        put_uint(packer, items[i].count);
        for (size_t j = 0; j < items[i].count; j++) {
            put_uint(packer, items[i].parts[j].id);
            put_uint(packer, items[i].parts[j].tokens);
        }
    }
}

/// Encodes the messages by which routers pass on records and streams.
static void
put_relay_fields(msgpack_packer *packer, const struct message *m)
{
    switch (m->type) {
    case MESSAGE_KNOWN:
        for (size_t i = 0; i < MESSAGE_TOPIC_COUNT; i++) {
            put_position(packer, &m->known.ends[i]);
        }
        put_bool(packer, m->known.reads_store);
        return;
    case MESSAGE_KEPT:
        put_uint(packer, m->kept.version);
        return;
    case MESSAGE_PACKED_PART:
        put_str(packer, m->packed_part.bytes);
        return;
    case MESSAGE_FIND_STREAMS:
        put_uint(packer, m->find_streams.number);
        put_str(packer, m->find_streams.ids);
        return;
    case MESSAGE_STREAMS:
    case MESSAGE_FOUND_STREAMS:
        put_uint(packer, m->streams.number);
        put_str(packer, m->streams.batch);
        return;
    case MESSAGE_STREAMS_WRITTEN:
        put_uint(packer, m->streams_written.number);
        put_bool(packer, m->streams_written.done);
        return;
    case MESSAGE_WANT:
    case MESSAGE_WANT_SMALL:
    case MESSAGE_OVERSIZE:
    case MESSAGE_LISTING:
    case MESSAGE_REACHED:
        put_uint(packer, m->position.topic);
        put_position(packer, &m->position.position);
        return;
    case MESSAGE_RECORD:
        put_uint(packer, m->record.topic);
        put_position(packer, &m->record.position);
        put_bool(packer, m->record.removed);
        put_str(packer, m->record.key);
        put_str(packer, m->record.value);
        return;
    case MESSAGE_PACKED:
        put_uint(packer, m->packed.topic);
        put_position(packer, &m->packed.position);
        put_str(packer, m->packed.key);
        put_str(packer, m->packed.value);
        put_uint(packer, m->packed.value_bytes);
        return;
    default:
        BUG("message type %d", (int)m->type);
    }
}

/// Encodes the messages between routers.
static void
put_router_fields(msgpack_packer *packer, const struct message *m)
{
    switch (m->type) {
    case MESSAGE_ROUTER:
        put_str(packer, m->router.address);
        return;
    case MESSAGE_LOADS:
        put_loads(packer, m->loads.items, m->loads.count);
        return;
    case MESSAGE_PLACED:
        put_placed(packer, m->placed.items, m->placed.count);
        return;
    case MESSAGE_WANT_CONTEXTS:
        return;
    case MESSAGE_CONTEXTS:
        put_contexts(packer, m->contexts.items, m->contexts.count);
        return;
    case MESSAGE_BEATS:
        put_beats(packer, m->beats.items, m->beats.count);
        return;
    case MESSAGE_SHARES:
        put_shares(packer, m->shares.items, m->shares.count);
        return;
    case MESSAGE_RATES:
        put_rates(packer, m->rates.items, m->rates.count);
        return;
    case MESSAGE_BUSY:
        put_busy(packer, m->busy.items, m->busy.count);
        return;
    case MESSAGE_BLAMES:
        put_blames(packer, m->blames.items, m->blames.count);
        return;
    case MESSAGE_ANSWERED:
        put_answered(packer, m->answered.parts, m->answered.count);
        return;
    case MESSAGE_DOWN:
    case MESSAGE_FAILING:
        put_uint(packer, m->down.endpoint);
        return;
    case MESSAGE_STRIKE:
        put_uint(packer, m->strike.fingerprint);
        put_uint(packer, m->strike.crash_id);
        return;
    default:
        put_relay_fields(packer, m);
    }
}

static void
put_fields(msgpack_packer *packer, const struct message *m)
{
    switch (m->type) {
    case MESSAGE_HELLO:
        put_uint(packer, m->hello.version);
        put_str(packer, m->hello.name);
        put_str(packer, m->hello.role);
        put_uint(packer, m->hello.incarnation);
        put_str(packer, m->hello.nonce);
        return;
    case MESSAGE_PROOF:
        put_str(packer, m->proof.mac);
        return;
    case MESSAGE_OFFER:
        put_offer(packer, &m->offer);
        return;
    case MESSAGE_BODY:
    case MESSAGE_DATA:
        put_id(packer, &m->part.id);
        put_uint(packer, m->part.offset);
        put_str(packer, m->part.bytes);
        return;
    case MESSAGE_ACCEPT:
        put_id(packer, &m->accept.id);
        put_load(packer, &m->accept.load);
        return;
    case MESSAGE_REFUSE:
        put_id(packer, &m->refuse.id);
        put_uint(packer, m->refuse.reason);
        put_uint(packer, m->refuse.retry_after_ms);
        put_load(packer, &m->refuse.load);
        return;
    case MESSAGE_HEAD:
        put_id(packer, &m->head.id);
        put_uint(packer, m->head.status);
        put_headers(packer, m->head.headers, m->head.header_count);
        return;
    case MESSAGE_END:
        put_id(packer, &m->end.id);
        put_uint(packer, m->end.total_bytes);
        put_uint(packer, m->end.hash);
        put_load(packer, &m->end.load);
        return;
    case MESSAGE_FAIL:
        put_id(packer, &m->fail.id);
        put_uint(packer, m->fail.reason);
        put_uint(packer, m->fail.crash_id);
        put_load(packer, &m->fail.load);
        return;
    case MESSAGE_ACK:
        put_id(packer, &m->ack.id);
        put_uint(packer, m->ack.offset);
        put_bool(packer, m->ack.finished);
        put_uint(packer, m->ack.in_flight);
        return;
    case MESSAGE_CANCEL:
        put_id(packer, &m->cancel.id);
        put_uint(packer, m->cancel.in_flight);
        return;
    case MESSAGE_RESUME:
        put_id(packer, &m->resume.id);
        put_uint(packer, m->resume.offset);
        put_bool(packer, m->resume.need_head);
        return;
    case MESSAGE_IN_FLIGHT:
        put_uint(packer, m->in_flight.in_flight);
        put_uint(packer, m->in_flight.pool_weight);
        return;
    case MESSAGE_STATE:
        put_load(packer, &m->state.load);
        return;
    case MESSAGE_PING:
    case MESSAGE_PONG:
        return;
    default:
        put_router_fields(packer, m);
    }
}

struct str
message_encode(struct message_codec *codec, const struct message *message)
{
    msgpack_sbuffer_clear(&codec->out);
    msgpack_pack_array(&codec->packer, 1 + field_count(message->type));
    put_uint(&codec->packer, message->type);
    put_fields(&codec->packer, message);
    return (struct str){codec->out.data, codec->out.size};
}

static const msgpack_object *
next_element(struct cursor *cursor, msgpack_object_type type)
{
    const msgpack_object *object = cursor->next;

    if (cursor->failed || object == cursor->end || object->type != type) {
        cursor->failed = true;
        return NULL;
    }
    cursor->next++;
    return object;
}

static uint64_t
get_uint(struct cursor *cursor, uint64_t max)
{
    const msgpack_object *o =
        next_element(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER);

    if (o == NULL || o->via.u64 > max) {
        cursor->failed = true;
        return 0;
    }
    return o->via.u64;
}

static uint32_t
get_u32(struct cursor *cursor)
{
    return (uint32_t)get_uint(cursor, UINT32_MAX);
}

static bool
get_bool(struct cursor *cursor)
{
    const msgpack_object *object =
        next_element(cursor, MSGPACK_OBJECT_BOOLEAN);

    return object != NULL && object->via.boolean;
}

static struct str
get_str(struct cursor *cursor)
{
    const msgpack_object *object = next_element(cursor, MSGPACK_OBJECT_BIN);

    if (object == NULL) {
        return STR_LITERAL("");
    }
    return (struct str){object->via.bin.ptr, object->via.bin.size};
}

static struct attempt_id
get_id(struct cursor *cursor)
{
    struct attempt_id id = {0};
    struct str bytes = get_str(cursor);

    if (bytes.len != sizeof(id.request.bytes)) {
        cursor->failed = true;
        return id;
    }
    memcpy(id.request.bytes, bytes.data, bytes.len);
    id.attempt = get_u32(cursor);
    return id;
}

static struct load_report
get_load(struct cursor *cursor)
{
    struct load_report load;

    load.incarnation = get_uint(cursor, UINT64_MAX);
    load.state = (enum agent_state)get_uint(cursor, AGENT_ENDPOINT_DOWN);
    load.running = get_u32(cursor);
    load.queued = get_u32(cursor);
    load.slots = get_u32(cursor);
    load.bound = get_u32(cursor);
    return load;
}

/// Begins to read an array of at most `max` groups of `width` elements.
/// Returns the number of groups, or 0 with the cursor failed.
static size_t
begin_groups(struct cursor *cursor, size_t width, size_t max,
             struct cursor *fields)
{
    const msgpack_object *array = next_element(cursor, MSGPACK_OBJECT_ARRAY);

    *fields = (struct cursor){0};
    if (array == NULL || array->via.array.size % width != 0 ||
        array->via.array.size > width * max) {
        cursor->failed = true;
        return 0;
    }
    fields->next = array->via.array.ptr;
    fields->end = fields->next + array->via.array.size;
    return array->via.array.size / width;
}

/// Allocates memory that is valid as long as the message; NULL with the cursor
/// failed.
static void *
allocate(struct cursor *cursor, size_t bytes)
{
    void *room = msgpack_zone_malloc(cursor->zone, bytes);

    cursor->failed = cursor->failed || room == NULL;
    return room;
}

static size_t
get_headers(struct cursor *cursor, struct message_header *headers)
{
    struct cursor items;
    size_t count = begin_groups(cursor, 2, MESSAGE_HEADERS_MAX, &items);

    for (size_t i = 0; i < count; i++) {
        headers[i].name = get_str(&items);
        headers[i].value = get_str(&items);
    }
    cursor->failed = cursor->failed || items.failed;
    return count;
}

static void
get_offer(struct cursor *cursor, struct message_offer *offer)
{
    offer->id = get_id(cursor);
    offer->in_flight = get_u32(cursor);
    offer->pool_weight = get_u32(cursor);
    offer->account = get_str(cursor);
    offer->account_weight = get_u32(cursor);
    offer->priority = get_u32(cursor);
    offer->route = get_str(cursor);
    offer->key = get_str(cursor);
    offer->repeatable = get_bool(cursor);
    offer->may_wait = get_bool(cursor);
    offer->cut_on_disconnect = get_bool(cursor);
    offer->fingerprint = get_uint(cursor, UINT64_MAX);
    offer->deadline_ms = get_u32(cursor);
    offer->first_byte_ms = get_u32(cursor);
    offer->idle_ms = get_u32(cursor);
    offer->method = get_str(cursor);
    offer->uri = get_str(cursor);
    offer->header_count = get_headers(cursor, offer->headers);
    offer->body_bytes = get_uint(cursor, UINT64_MAX);
    offer->body = get_str(cursor);
    if (offer->body.len > 0 && offer->body.len != offer->body_bytes) {
        cursor->failed = true;
    }
}

static void
get_loads(struct cursor *cursor, struct message *m)
{
    struct cursor fields;
    size_t count = begin_groups(cursor, 3, MESSAGE_LOADS_MAX, &fields);
    struct message_load *items =
        allocate(cursor, (count + 1) * sizeof(*items));

    for (size_t i = 0; i < count && items != NULL; i++) {
        items[i].endpoint = get_uint(&fields, UINT64_MAX);
        items[i].in_flight = get_u32(&fields);
        items[i].backlog_tokens = get_u32(&fields);
    }
    cursor->failed = cursor->failed || fields.failed;
    m->loads.items = items;
    m->loads.count = count;
}

static void
get_contexts(struct cursor *cursor, struct message *m)
{
    struct cursor fields;
    size_t count = begin_groups(cursor, 3, MESSAGE_CONTEXTS_MAX, &fields);
    struct message_context *items =
        allocate(cursor, (count + 1) * sizeof(*items));

    for (size_t i = 0; i < count && items != NULL; i++) {
        items[i].endpoint = get_uint(&fields, UINT64_MAX);
        items[i].key = get_uint(&fields, UINT64_MAX);
        items[i].tokens = get_u32(&fields);
    }
    cursor->failed = cursor->failed || fields.failed;
    m->contexts.items = items;
    m->contexts.count = count;
}

static void
get_beats(struct cursor *cursor, struct message *m)
{
    struct cursor fields;
    size_t count = begin_groups(cursor, 4, MESSAGE_BEATS_MAX, &fields);
    struct message_beat *items =
        allocate(cursor, (count + 1) * sizeof(*items));

    for (size_t i = 0; i < count && items != NULL; i++) {
        items[i].id = get_uint(&fields, UINT64_MAX);
        items[i].beat = get_u32(&fields);
        items[i].reads = get_bool(&fields);
        items[i].recovered_age_ms = get_u32(&fields);
    }
    cursor->failed = cursor->failed || fields.failed;
    m->beats.items = items;
    m->beats.count = count;
}

static void
get_shares(struct cursor *cursor, struct message *m)
{
    struct cursor fields;
    size_t count = begin_groups(cursor, 5, MESSAGE_SHARES_MAX, &fields);
    struct message_share *items =
        allocate(cursor, (count + 1) * sizeof(*items));

    for (size_t i = 0; i < count && items != NULL; i++) {
        items[i].group = get_uint(&fields, UINT64_MAX);
        items[i].account = get_uint(&fields, UINT64_MAX);
        items[i].offered_milli = get_u32(&fields);
        items[i].admitted_milli = get_u32(&fields);
        items[i].admitted_tokens = get_u32(&fields);
    }
    cursor->failed = cursor->failed || fields.failed;
    m->shares.items = items;
    m->shares.count = count;
}

static void
get_rates(struct cursor *cursor, struct message *m)
{
    struct cursor fields;
    size_t count = begin_groups(cursor, 5, MESSAGE_RATES_MAX, &fields);
    struct message_rate *items =
        allocate(cursor, (count + 1) * sizeof(*items));

    for (size_t i = 0; i < count && items != NULL; i++) {
        items[i].endpoint = get_uint(&fields, UINT64_MAX);
        items[i].incarnation = get_uint(&fields, UINT64_MAX);
        items[i].holds = get_bool(&fields);
        items[i].milli_per_s = get_u32(&fields);
        items[i].age_ms = get_u32(&fields);
    }
    cursor->failed = cursor->failed || fields.failed;
    m->rates.items = items;
    m->rates.count = count;
}

static void
get_busy(struct cursor *cursor, struct message *m)
{
    struct cursor fields;
    size_t count = begin_groups(cursor, 4, MESSAGE_BUSY_MAX, &fields);
    struct message_busy *items =
        allocate(cursor, (count + 1) * sizeof(*items));

    for (size_t i = 0; i < count && items != NULL; i++) {
        items[i].endpoint = get_uint(&fields, UINT64_MAX);
        items[i].incarnation = get_uint(&fields, UINT64_MAX);
        items[i].load = get_u32(&fields);
        items[i].age_ms = get_u32(&fields);
    }
    cursor->failed = cursor->failed || fields.failed;
    m->busy.items = items;
    m->busy.count = count;
}

/// Enters an array whose items have different lengths.
static bool
begin_items(struct cursor *cursor, struct cursor *fields)
{
    const msgpack_object *array = next_element(cursor, MSGPACK_OBJECT_ARRAY);

    if (array == NULL) {
        cursor->failed = true;
        return false;
    }
    fields->next = array->via.array.ptr;
    fields->end = fields->next + array->via.array.size;
    fields->failed = false;
    return true;
}

static void
get_blames(struct cursor *cursor, struct message *m)
{
    struct message_blame *items =
        allocate(cursor, MESSAGE_BLAMES_MAX * sizeof(*items));
    struct cursor fields;
    size_t count = 0;

    if (items == NULL || !begin_items(cursor, &fields)) {
        return;
    }
    while (!fields.failed && fields.next != fields.end &&
           count < MESSAGE_BLAMES_MAX) {
        struct message_blame *item = &items[count++];

        item->crash_id = get_u32(&fields);
        item->age_ms = get_u32(&fields);
        item->begun = get_bool(&fields);
        item->part_count = get_uint(&fields, MESSAGE_PARTS_MAX);
        for (size_t i = 0; i < item->part_count; i++) {
            item->parts[i] = get_uint(&fields, UINT64_MAX);
        }
    }
    cursor->failed =
        cursor->failed || fields.failed || fields.next != fields.end;
    m->blames.items = items;
    m->blames.count = count;
}

static void
get_answered(struct cursor *cursor, struct message *m)
{
    struct cursor fields;
    size_t count = begin_groups(cursor, 1, MESSAGE_ANSWERED_MAX, &fields);
    uint64_t *parts = allocate(cursor, (count + 1) * sizeof(*parts));

    for (size_t i = 0; i < count && parts != NULL; i++) {
        parts[i] = get_uint(&fields, UINT64_MAX);
    }
    cursor->failed = cursor->failed || fields.failed;
    m->answered.parts = parts;
    m->answered.count = count;
}

static void
get_placed(struct cursor *cursor, struct message *m)
{
    struct message_placed *items =
        allocate(cursor, MESSAGE_PLACED_MAX * sizeof(*items));
    struct cursor fields;
    size_t count = 0;

    if (items == NULL || !begin_items(cursor, &fields)) {
        return;
    }
    while (!fields.failed && fields.next != fields.end &&
           count < MESSAGE_PLACED_MAX) {
        struct message_placed *item = &items[count++];

        item->endpoint = get_uint(&fields, UINT64_MAX);
        item->count = get_uint(&fields, MESSAGE_PLACED_PARTS_MAX);
        for (size_t i = 0; i < item->count; i++) {
            item->parts[i].id = get_uint(&fields, UINT64_MAX);
            item->parts[i].tokens = get_u32(&fields);
        }
    }
    cursor->failed =
        cursor->failed || fields.failed || fields.next != fields.end;
    m->placed.items = items;
    m->placed.count = count;
}

static struct message_position
get_position(struct cursor *cursor)
{
    struct message_position position = {0};
    const msgpack_object *object = cursor->next;
    struct cursor fields = {.zone = cursor->zone};

    if (cursor->failed || object == cursor->end ||
        object->type != MSGPACK_OBJECT_ARRAY) {
        position.number = get_uint(cursor, INT64_MAX);
        return position;
    }
    cursor->next++;
    fields.next = object->via.array.ptr;
    fields.end = fields.next + object->via.array.size;
    position.has_era = true;
    position.resets = get_u32(&fields);
    position.era = get_uint(&fields, UINT64_MAX);
    position.number = get_uint(&fields, INT64_MAX);
    cursor->failed =
        cursor->failed || fields.failed || fields.next != fields.end;
    return position;
}

static void
get_relay_fields(struct cursor *cursor, struct message *m)
{
    switch (m->type) {
    case MESSAGE_KNOWN:
        for (size_t i = 0; i < MESSAGE_TOPIC_COUNT; i++) {
            m->known.ends[i] = get_position(cursor);
        }
        m->known.reads_store = get_bool(cursor);
        return;
    case MESSAGE_KEPT:
        m->kept.version = get_uint(cursor, INT64_MAX);
        return;
    case MESSAGE_PACKED_PART:
        m->packed_part.bytes = get_str(cursor);
        return;
    case MESSAGE_FIND_STREAMS:
        m->find_streams.number = get_uint(cursor, UINT64_MAX);
        m->find_streams.ids = get_str(cursor);
        cursor->failed =
            cursor->failed ||
            m->find_streams.ids.len % MESSAGE_FIND_ID_BYTES != 0 ||
            m->find_streams.ids.len > MESSAGE_FIND_MAX * MESSAGE_FIND_ID_BYTES;
        return;
    case MESSAGE_STREAMS:
    case MESSAGE_FOUND_STREAMS:
        m->streams.number = get_uint(cursor, UINT64_MAX);
        m->streams.batch = get_str(cursor);
        return;
    case MESSAGE_STREAMS_WRITTEN:
        m->streams_written.number = get_uint(cursor, UINT64_MAX);
        m->streams_written.done = get_bool(cursor);
        return;
    case MESSAGE_WANT:
    case MESSAGE_WANT_SMALL:
    case MESSAGE_OVERSIZE:
    case MESSAGE_LISTING:
    case MESSAGE_REACHED:
        m->position.topic =
            (uint32_t)get_uint(cursor, MESSAGE_TOPIC_COUNT - 1);
        m->position.position = get_position(cursor);
        return;
    case MESSAGE_RECORD:
        m->record.topic = (uint32_t)get_uint(cursor, MESSAGE_TOPIC_COUNT - 1);
        m->record.position = get_position(cursor);
        m->record.removed = get_bool(cursor);
        m->record.key = get_str(cursor);
        m->record.value = get_str(cursor);
        return;
    case MESSAGE_PACKED:
        m->packed.topic = (uint32_t)get_uint(cursor, MESSAGE_TOPIC_COUNT - 1);
        m->packed.position = get_position(cursor);
        m->packed.key = get_str(cursor);
        m->packed.value = get_str(cursor);
        m->packed.value_bytes = get_uint(cursor, UINT64_MAX);
        return;
    default:
        cursor->failed = true;
    }
}

static void
get_router_fields(struct cursor *cursor, struct message *m)
{
    switch (m->type) {
    case MESSAGE_ROUTER:
        m->router.address = get_str(cursor);
        return;
    case MESSAGE_LOADS:
        get_loads(cursor, m);
        return;
    case MESSAGE_PLACED:
        get_placed(cursor, m);
        return;
    case MESSAGE_WANT_CONTEXTS:
        return;
    case MESSAGE_CONTEXTS:
        get_contexts(cursor, m);
        return;
    case MESSAGE_BEATS:
        get_beats(cursor, m);
        return;
    case MESSAGE_SHARES:
        get_shares(cursor, m);
        return;
    case MESSAGE_RATES:
        get_rates(cursor, m);
        return;
    case MESSAGE_BUSY:
        get_busy(cursor, m);
        return;
    case MESSAGE_BLAMES:
        get_blames(cursor, m);
        return;
    case MESSAGE_ANSWERED:
        get_answered(cursor, m);
        return;
    case MESSAGE_DOWN:
    case MESSAGE_FAILING:
        m->down.endpoint = get_uint(cursor, UINT64_MAX);
        return;
    case MESSAGE_STRIKE:
        m->strike.fingerprint = get_uint(cursor, UINT64_MAX);
        m->strike.crash_id = get_u32(cursor);
        return;
    default:
        get_relay_fields(cursor, m);
    }
}

static void
get_fields(struct cursor *cursor, struct message *m)
{
    switch (m->type) {
    case MESSAGE_HELLO:
        m->hello.version = get_u32(cursor);
        m->hello.name = get_str(cursor);
        m->hello.role = get_str(cursor);
        m->hello.incarnation = get_uint(cursor, UINT64_MAX);
        m->hello.nonce = get_str(cursor);
        return;
    case MESSAGE_PROOF:
        m->proof.mac = get_str(cursor);
        return;
    case MESSAGE_OFFER:
        get_offer(cursor, &m->offer);
        return;
    case MESSAGE_BODY:
    case MESSAGE_DATA:
        m->part.id = get_id(cursor);
        m->part.offset = get_uint(cursor, UINT64_MAX);
        m->part.bytes = get_str(cursor);
        return;
    case MESSAGE_ACCEPT:
        m->accept.id = get_id(cursor);
        m->accept.load = get_load(cursor);
        return;
    case MESSAGE_REFUSE:
        m->refuse.id = get_id(cursor);
        m->refuse.reason =
            (enum refuse_reason)get_uint(cursor, REFUSE_REASON_END - 1);
        m->refuse.retry_after_ms = get_u32(cursor);
        m->refuse.load = get_load(cursor);
        return;
    case MESSAGE_HEAD:
        m->head.id = get_id(cursor);
        m->head.status = (uint32_t)get_uint(cursor, 999);
        m->head.header_count = get_headers(cursor, m->head.headers);
        return;
    case MESSAGE_END:
        m->end.id = get_id(cursor);
        m->end.total_bytes = get_uint(cursor, UINT64_MAX);
        m->end.hash = get_uint(cursor, UINT64_MAX);
        m->end.load = get_load(cursor);
        return;
    case MESSAGE_FAIL:
        m->fail.id = get_id(cursor);
        m->fail.reason =
            (enum fail_reason)get_uint(cursor, FAIL_REASON_END - 1);
        m->fail.crash_id = get_u32(cursor);
        m->fail.load = get_load(cursor);
        return;
    case MESSAGE_ACK:
        m->ack.id = get_id(cursor);
        m->ack.offset = get_uint(cursor, UINT64_MAX);
        m->ack.finished = get_bool(cursor);
        m->ack.in_flight = get_u32(cursor);
        return;
    case MESSAGE_CANCEL:
        m->cancel.id = get_id(cursor);
        m->cancel.in_flight = get_u32(cursor);
        return;
    case MESSAGE_RESUME:
        m->resume.id = get_id(cursor);
        m->resume.offset = get_uint(cursor, UINT64_MAX);
        m->resume.need_head = get_bool(cursor);
        return;
    case MESSAGE_IN_FLIGHT:
        m->in_flight.in_flight = get_u32(cursor);
        m->in_flight.pool_weight = get_u32(cursor);
        return;
    case MESSAGE_STATE:
        m->state.load = get_load(cursor);
        return;
    case MESSAGE_PING:
    case MESSAGE_PONG:
        return;
    default:
        get_router_fields(cursor, m);
    }
}

/// Reads a big-endian number of `width` bytes; false past the end.
static bool
read_number(const unsigned char **at, const unsigned char *end, size_t width,
            uint64_t *number)
{
    if ((size_t)(end - *at) < width) {
        return false;
    }
    *number = 0;
    for (size_t i = 0; i < width; i++) {
        *number = *number << 8 | *(*at)++;
    }
    return true;
}

static bool skip_value(const unsigned char **at, const unsigned char *end,
                       size_t depth);

static bool
skip_array(const unsigned char **at, const unsigned char *end, size_t depth,
           uint64_t count)
{
    if (depth == NESTING_MAX || count > ELEMENTS_MAX) {
        return false;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!skip_value(at, end, depth + 1)) {
            return false;
        }
    }
    return true;
}

static bool
skip_bytes(const unsigned char **at, const unsigned char *end, size_t width)
{
    uint64_t len;

    if (!read_number(at, end, width, &len) || len > (uint64_t)(end - *at)) {
        return false;
    }
    *at += len;
    return true;
}

/// Skips a value; false if it is truncated, too large or of a type that
/// messages do not use. The library allocates for the length of an array
/// before it reads the elements, so this check comes first.
static bool
skip_value(const unsigned char **at, const unsigned char *end, size_t depth)
{
    uint64_t number = 0;
    unsigned char tag;

    if (*at == end) {
        return false;
    }
    tag = *(*at)++;
    if (tag <= TAG_FIXINT_MAX || tag == TAG_FALSE || tag == TAG_TRUE) {
        return true;
    }
    if (tag >= TAG_FIXARRAY && tag < TAG_FIXARRAY + 16) {
        return skip_array(at, end, depth, tag - TAG_FIXARRAY);
    }
    switch (tag) {
    case TAG_UINT8:
    case TAG_UINT16:
    case TAG_UINT32:
    case TAG_UINT64:
        return read_number(at, end, (size_t)1 << (tag - TAG_UINT8), &number);
    case TAG_BIN8:
    case TAG_BIN16:
    case TAG_BIN32:
        return skip_bytes(at, end, (size_t)1 << (tag - TAG_BIN8));
    case TAG_ARRAY16:
    case TAG_ARRAY32:
        return read_number(at, end, (size_t)2 << (tag - TAG_ARRAY16),
                           &number) &&
               skip_array(at, end, depth, number);
    default:
        return false;
    }
}

bool
message_decode(struct message_codec *codec, struct str bytes,
               struct message *message, struct err *err)
{
    msgpack_object object;
    struct cursor cursor = {0};
    size_t offset = 0;
    const unsigned char *at = (const unsigned char *)bytes.data;

    msgpack_zone_clear(&codec->zone);
    if (!skip_value(&at, at + bytes.len, 0) ||
        msgpack_unpack(bytes.data, bytes.len, &offset, &codec->zone,
                       &object) != MSGPACK_UNPACK_SUCCESS ||
        offset != bytes.len) {
        return err_set(err, ERR_PROTOCOL, "decode", NULL,
                       "frame of %zu bytes is not one MessagePack value",
                       bytes.len);
    }
    if (object.type != MSGPACK_OBJECT_ARRAY || object.via.array.size == 0) {
        return err_set(err, ERR_PROTOCOL, "decode", NULL,
                       "frame is not an array");
    }
    cursor.next = object.via.array.ptr;
    cursor.end = cursor.next + object.via.array.size;
    cursor.zone = &codec->zone;
    message->type = (enum message_type)get_uint(&cursor, MESSAGE_TYPE_END - 1);
    if (cursor.failed || message->type < MESSAGE_HELLO) {
        return err_set(err, ERR_PROTOCOL, "decode", NULL,
                       "frame has an unknown message type");
    }
    get_fields(&cursor, message);
    if (cursor.failed || cursor.next != cursor.end) {
        return err_set(err, ERR_PROTOCOL, "decode", NULL,
                       "frame %s has missing, surplus or invalid fields",
                       message_type_name(message->type));
    }
    return true;
}

const char *
message_type_name(enum message_type type)
{
    static const char *const names[MESSAGE_TYPE_END] = {
        [MESSAGE_HELLO] = "hello",
        [MESSAGE_PROOF] = "proof",
        [MESSAGE_OFFER] = "offer",
        [MESSAGE_BODY] = "body",
        [MESSAGE_ACCEPT] = "accept",
        [MESSAGE_REFUSE] = "refuse",
        [MESSAGE_HEAD] = "head",
        [MESSAGE_DATA] = "data",
        [MESSAGE_END] = "end",
        [MESSAGE_FAIL] = "fail",
        [MESSAGE_ACK] = "ack",
        [MESSAGE_CANCEL] = "cancel",
        [MESSAGE_RESUME] = "resume",
        [MESSAGE_PING] = "ping",
        [MESSAGE_PONG] = "pong",
        [MESSAGE_IN_FLIGHT] = "in-flight",
        [MESSAGE_STATE] = "state",
        [MESSAGE_ROUTER] = "router",
        [MESSAGE_LOADS] = "loads",
        [MESSAGE_KNOWN] = "known",
        [MESSAGE_WANT] = "want",
        [MESSAGE_RECORD] = "record",
        [MESSAGE_REACHED] = "reached",
        [MESSAGE_STRIKE] = "strike",
        [MESSAGE_WANT_CONTEXTS] = "want-contexts",
        [MESSAGE_CONTEXTS] = "contexts",
        [MESSAGE_PLACED] = "placed",
        [MESSAGE_DOWN] = "down",
        [MESSAGE_BEATS] = "beats",
        [MESSAGE_WANT_SMALL] = "want-small",
        [MESSAGE_OVERSIZE] = "oversize",
        [MESSAGE_PACKED] = "packed",
        [MESSAGE_BLAMES] = "blames",
        [MESSAGE_ANSWERED] = "answered",
        [MESSAGE_LISTING] = "listing",
        [MESSAGE_SHARES] = "shares",
        [MESSAGE_FAILING] = "failing",
        [MESSAGE_RATES] = "rates",
        [MESSAGE_BUSY] = "busy",
        [MESSAGE_KEPT] = "kept",
        [MESSAGE_PACKED_PART] = "packed-part",
        [MESSAGE_STREAMS] = "streams",
        [MESSAGE_STREAMS_WRITTEN] = "streams-written",
        [MESSAGE_FIND_STREAMS] = "find-streams",
        [MESSAGE_FOUND_STREAMS] = "found-streams",
    };

    return names[type];
}

const char *
refuse_reason_name(enum refuse_reason reason)
{
    static const char *const names[REFUSE_REASON_END] = {
        [REFUSE_OVER_BOUND] = "over-bound",
        [REFUSE_FULL] = "full",
        [REFUSE_QUEUE_FULL] = "queue-full",
        [REFUSE_LEAVING] = "leaving",
        [REFUSE_DEADLINE] = "deadline",
        [REFUSE_QUARANTINED] = "quarantined",
        [REFUSE_ENDPOINT_DOWN] = "endpoint-down",
        [REFUSE_LOG_DOWN] = "log-down",
        [REFUSE_KEY_CONFLICT] = "key-conflict",
        [REFUSE_KEY_IN_PROGRESS] = "key-in-progress",
        [REFUSE_KEY_EXPIRED] = "key-expired",
        [REFUSE_BAD_REQUEST] = "bad-request",
        [REFUSE_NOT_RECEIVED] = "not-received",
    };

    return names[reason];
}

const char *
fail_reason_name(enum fail_reason reason)
{
    static const char *const names[FAIL_REASON_END] = {
        [FAIL_ENDPOINT_LOST] = "endpoint-lost",
        [FAIL_FIRST_BYTE_TIMEOUT] = "first-byte-timeout",
        [FAIL_IDLE_TIMEOUT] = "idle-timeout",
        [FAIL_DEADLINE] = "deadline",
        [FAIL_INCOMPLETE] = "incomplete",
        [FAIL_UNKNOWN_OUTCOME] = "unknown-outcome",
        [FAIL_ANSWER_NOT_KEPT] = "answer-not-kept",
    };

    return names[reason];
}

bool
request_id_equal(const struct request_id *a, const struct request_id *b)
{
    return !memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}
