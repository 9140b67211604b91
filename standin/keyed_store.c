#include "keyed_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>
#include <utlist.h>

#include "core/xmalloc.h"
#include "net/caller.h"
#include "net/http1.h"

#define TOPICS_MAX 8
#define RECORDS_MAX 20000
#define POLL_MS 5
#define PAGE_DEFAULT 500

struct record {
    struct str key;
    struct str value; ///< all bytes of the record if it has no key
    bool has_key;
};

struct topic {
    char *name;
    struct record *records;
    size_t count;
    size_t first;            ///< oldest offset after compaction
    size_t pages_to_restore; ///< 0: no restore
    struct {
        size_t count;
        size_t first;
    } copied;
    size_t sent; ///< records in the last answer that had any
    bool busy;
};

/// A long-poll read without an answer yet.
struct pending_read {
    struct keyed_store *store;
    struct caller *caller;
    struct topic *topic;
    size_t from;
    int64_t until_ms;
    struct pending_read *prev;
    struct pending_read *next;
};

struct keyed_store {
    struct keyed_store_options options;
    struct caller_server *server;
    struct topic topics[TOPICS_MAX];
    size_t topic_count;
    struct pending_read *pending_reads;
    struct event *poll;
    enum keyed_store_fault fault;
    uint64_t calls;
    int64_t era; ///< 0: answers carry none
    const char *era_text;
    size_t page_records;
    bool has_copy;
    bool keeps_reads;
    char *copied_topic; ///< NULL: all topics
};

static struct topic *
get_topic(struct keyed_store *store, const char *name)
{
    for (size_t i = 0; i < store->topic_count; i++) {
        if (!strcmp(store->topics[i].name, name)) {
            return &store->topics[i];
        }
    }
    INVARIANT(store->topic_count < TOPICS_MAX);
    store->topics[store->topic_count] = (struct topic){
        .name = xstrdup(name),
        .records = xcalloc(RECORDS_MAX, sizeof(struct record)),
    };
    return &store->topics[store->topic_count++];
}

static int64_t
append(struct topic *topic, const struct record *record)
{
    INVARIANT(topic->count < RECORDS_MAX);
    topic->records[topic->count] = (struct record){
        .key = str_copy(record->key),
        .value = str_copy(record->value),
        .has_key = record->has_key,
    };
    return (int64_t)topic->count++;
}

/// Drops the records from offset `count` on.
static void
drop_records(struct topic *topic, size_t count)
{
    while (topic->count > count) {
        struct record *record = &topic->records[--topic->count];

        free((char *)record->key.data);
        free((char *)record->value.data);
    }
}

static void
add_big_endian(struct evbuffer *out, uint64_t number, size_t width)
{
    for (size_t i = width; i > 0; i--) {
        unsigned char byte = (unsigned char)(number >> (8 * (i - 1)));

        evbuffer_add(out, &byte, 1);
    }
}

/// Takes `body`, which may be NULL.
static void
reply(const struct keyed_store *store, struct caller *caller, int status,
      struct evbuffer *body)
{
    char number[24] = "";
    const char *text = store->era_text != NULL ? store->era_text : number;
    char fields[256] = "";

    if (store->era != 0) {
        snprintf(number, sizeof(number), "%lld", (long long)store->era);
    }
    if (text[0] != '\0') {
        snprintf(fields, sizeof(fields), "Store-Era: %s\r\n", text);
    }
    caller_reply(caller, status, str_from(fields), body);
    if (body != NULL) {
        evbuffer_free(body);
    }
}

static void
reply_gone(const struct keyed_store *store, struct caller *caller,
           const struct topic *topic)
{
    struct evbuffer *body = evbuffer_new();

    evbuffer_add_printf(body, "{\"first\":%zu}", topic->first);
    reply(store, caller, 410, body);
}

static void
send_records(struct pending_read *pending_read)
{
    struct keyed_store *store = pending_read->store;
    struct topic *topic = pending_read->topic;
    struct evbuffer *body = evbuffer_new();
    size_t from = pending_read->from;
    size_t to = store->fault == KEYED_STORE_NO_RECORDS ? from : topic->count;

    if (store->fault == KEYED_STORE_REPEAT_ANSWER) {
        to = from;
        from -= topic->sent;
        store->fault = KEYED_STORE_OK;
    }
    else if (to > from) {
        topic->sent = to - from;
    }
    add_big_endian(body, topic->count, 8);
    add_big_endian(body, topic->first, 8);
    for (size_t i = from; i < to; i++) {
        const struct record *record = &topic->records[i];

        add_big_endian(body,
                       (record->has_key ? 1 + record->key.len : 0) +
                           record->value.len,
                       4);
        if (record->has_key) {
            add_big_endian(body, record->key.len, 1);
            evbuffer_add(body, record->key.data, record->key.len);
        }
        evbuffer_add(body, record->value.data, record->value.len);
    }
    DL_DELETE(pending_read->store->pending_reads, pending_read);
    reply(pending_read->store, pending_read->caller, 200, body);
    free(pending_read);
}

static bool
is_newest(const struct topic *topic, size_t index)
{
    const struct record *record = &topic->records[index];

    for (size_t i = index + 1; i < topic->count; i++) {
        if (topic->records[i].has_key &&
            str_equal(topic->records[i].key, record->key)) {
            return false;
        }
    }
    return record->has_key && record->value.len > 0;
}

struct listed {
    const struct record *record;
};

static int
order_of(struct str a, struct str b)
{
    int order = memcmp(a.data, b.data, a.len < b.len ? a.len : b.len);

    return order != 0 ? order : (a.len > b.len) - (a.len < b.len);
}

static int
compare_keys(const void *a, const void *b)
{
    const struct listed *left = a, *right = b;

    return order_of(left->record->key, right->record->key);
}

/// Bytes that are no text are written as they are.
static void
add_key(struct evbuffer *out, struct str key)
{
    for (size_t i = 0; i < key.len; i++) {
        unsigned char byte = (unsigned char)key.data[i];

        if (byte < ' ' || byte == '"' || byte == '\\') {
            evbuffer_add_printf(out, "\\u%04x", byte);
        }
        else {
            evbuffer_add(out, &byte, 1);
        }
    }
}

static void
add_item(struct evbuffer *out, const struct topic *topic,
         const struct record *record)
{
    size_t size = sodium_base64_ENCODED_LEN(record->value.len,
                                            sodium_base64_VARIANT_ORIGINAL);
    char *encoded = xmalloc(size);

    sodium_bin2base64(encoded, size, (const unsigned char *)record->value.data,
                      record->value.len, sodium_base64_VARIANT_ORIGINAL);
    evbuffer_add_printf(out, "{\"key\":\"");
    add_key(out, record->key);
    evbuffer_add_printf(out, "\",\"value\":\"%s\",\"offset\":%td}", encoded,
                        record - topic->records);
    free(encoded);
}

/// Sends the newest records with keys above `after`, a page at most.
static void
send_newest(struct keyed_store *store, struct caller *caller,
            struct topic *topic, const char *after)
{
    struct listed *newest = xcalloc(topic->count + 1, sizeof(*newest));
    struct evbuffer *body = evbuffer_new();
    size_t count = 0;
    size_t sent = 0;

    for (size_t i = 0; i < topic->count; i++) {
        if (is_newest(topic, i) &&
            (after == NULL ||
             order_of(topic->records[i].key, str_from(after)) > 0)) {
            newest[count++].record = &topic->records[i];
        }
    }
    qsort(newest, count, sizeof(*newest), compare_keys);
    evbuffer_add_printf(body, "{\"items\":[");
    while (sent < count && sent < store->page_records) {
        evbuffer_add_printf(body, sent > 0 ? "," : "");
        add_item(body, topic, newest[sent++].record);
    }
    evbuffer_add_printf(body, "],\"more_pages\":%s,\"end\":%zu}",
                        sent < count ? "true" : "false", topic->count);
    free(newest);
    reply(store, caller, 200, body);
    if (topic->pages_to_restore > 0 && --topic->pages_to_restore == 0) {
        keyed_store_restore(store);
    }
}

static void
confirm_append(struct keyed_store *store, struct caller *caller,
               const struct topic *topic)
{
    if (store->fault != KEYED_STORE_LOSE_ANSWER) {
        struct evbuffer *body = evbuffer_new();

        evbuffer_add_printf(body, "{\"offset\":%zu,\"end\":%zu}",
                            topic->count - 1, topic->count);
        reply(store, caller, 200, body);
    }
}

/// Appends the one record of the call to a topic without keys.
static void
append_plain(struct keyed_store *store, struct caller *caller,
             struct topic *topic, struct str call)
{
    uint32_t length = 0;

    if (call.len >= sizeof(length)) {
        memcpy(&length, call.data, sizeof(length));
    }
    if (call.len < sizeof(length) ||
        ntohl(length) != call.len - sizeof(length)) {
        reply(store, caller, 400, NULL);
        return;
    }
    append(topic, &(struct record){
                      .value = {call.data + sizeof(length), ntohl(length)},
                  });
    confirm_append(store, caller, topic);
}

static void
handle_append(struct keyed_store *store, struct caller *caller,
              struct topic *topic)
{
    struct evbuffer *input = caller_request_body(caller);
    size_t len = evbuffer_get_length(input);
    const char *bytes = (const char *)evbuffer_pullup(input, -1);
    size_t key_len = len > 5 ? (unsigned char)bytes[4] : 0;

    if (strncmp(topic->name, "keyed.", 6) != 0) {
        append_plain(store, caller, topic, (struct str){bytes, len});
        return;
    }
    if (len <= 5 || 5 + key_len > len) {
        reply(store, caller, 400, NULL);
        return;
    }
    append(topic, &(struct record){
                      .key = {bytes + 5, key_len},
                      .value = {bytes + 5 + key_len, len - 5 - key_len},
                      .has_key = true,
                  });
    confirm_append(store, caller, topic);
}

static void
handle_read(struct keyed_store *store, struct caller *caller,
            struct topic *topic, struct evkeyvalq *query)
{
    const char *from = evhttp_find_header(query, "from");
    const char *wait = evhttp_find_header(query, "wait_ms");
    struct pending_read *pending_read;

    if (from == NULL || (size_t)atoll(from) < topic->first ||
        (size_t)atoll(from) > topic->count) {
        reply_gone(store, caller, topic);
        return;
    }
    pending_read = xcalloc(1, sizeof(*pending_read));
    pending_read->store = store;
    pending_read->caller = caller;
    pending_read->topic = topic;
    pending_read->from = (size_t)atoll(from);
    pending_read->until_ms =
        clock_ms(store->options.clock) + (wait != NULL ? atoll(wait) : 0);
    DL_APPEND(store->pending_reads, pending_read);
    caller_set_user(caller, pending_read);
    if (store->fault == KEYED_STORE_REPEAT_ANSWER ||
        (topic->count > pending_read->from &&
         store->fault != KEYED_STORE_NO_RECORDS)) {
        send_records(pending_read);
    }
}

static void
on_request(void *ctx, struct caller *caller)
{
    struct keyed_store *store = ctx;
    char *target = str_dup(http1_target(caller_request_head(caller)));
    const char *query_start = strchr(target, '?');
    struct evkeyvalq query = {0};
    const char *name;
    struct topic *topic;

    store->calls++;
    evhttp_parse_query_str(query_start != NULL ? query_start + 1 : "", &query);
    name = evhttp_find_header(&query, "topic");
    topic = get_topic(store, name != NULL ? name : "");
    if (store->fault == KEYED_STORE_BUSY || topic->busy) {
        reply(store, caller, 503, NULL);
        goto out;
    }
    if (store->fault == KEYED_STORE_NO_ANSWER) {
        goto out;
    }
    if (store->fault == KEYED_STORE_AWAY) {
        caller_abort(caller);
        goto out;
    }
    if (!strncmp(target, "/v1/log-append", 14)) {
        handle_append(store, caller, topic);
        goto out;
    }
    if (store->fault == KEYED_STORE_LOSE_ANSWER) {
        goto out;
    }
    if (!strncmp(target, "/v1/log-newest", 14)) {
        send_newest(store, caller, topic, evhttp_find_header(&query, "after"));
    }
    else if (!strncmp(target, "/v1/log-read", 12)) {
        handle_read(store, caller, topic, &query);
    }
    else {
        reply(store, caller, 404, NULL);
    }
out:
    evhttp_clear_headers(&query);
    free(target);
}

static void
abort_reads(struct keyed_store *store)
{
    struct pending_read *pending_read, *next;

    DL_FOREACH_SAFE(store->pending_reads, pending_read, next)
    {
        DL_DELETE(store->pending_reads, pending_read);
        caller_abort(pending_read->caller);
        free(pending_read);
    }
}

static void
on_disconnect(void *ctx, void *user)
{
    struct keyed_store *store = ctx;
    struct pending_read *pending_read = user;

    DL_DELETE(store->pending_reads, pending_read);
    free(pending_read);
}

static void
on_poll(evutil_socket_t fd, short events, void *ctx)
{
    struct keyed_store *store = ctx;
    int64_t now_ms = clock_ms(store->options.clock);
    struct pending_read *pending_read, *next;
    bool notifies = store->fault != KEYED_STORE_NO_READ_NOTIFY &&
                    store->fault != KEYED_STORE_NO_RECORDS;

    (void)fd;
    (void)events;
    if (store->fault == KEYED_STORE_BUSY ||
        store->fault == KEYED_STORE_NO_ANSWER ||
        store->fault == KEYED_STORE_LOSE_ANSWER) {
        return;
    }
    DL_FOREACH_SAFE(store->pending_reads, pending_read, next)
    {
        if ((pending_read->topic->count > pending_read->from && notifies) ||
            now_ms >= pending_read->until_ms) {
            send_records(pending_read);
        }
    }
}

struct keyed_store *
keyed_store_new(const struct keyed_store_options *options, struct err *err)
{
    static const struct timeval poll = {.tv_usec = POLL_MS * 1000};
    struct keyed_store *store = xcalloc(1, sizeof(*store));

    store->options = *options;
    store->page_records = PAGE_DEFAULT;
    store->server = caller_server_new(
        &(struct caller_server_options){
            .base = options->base,
            .clock = options->clock,
            .address = options->address,
            .limits = {16384, 4 * 1024 * 1024, 5000, 60000},
            .request = on_request,
            .disconnected = on_disconnect,
            .ctx = store,
        },
        err);
    if (store->server == NULL) {
        free(store);
        return NULL;
    }
    store->poll = event_new(options->base, -1, EV_PERSIST, on_poll, store);
    event_add(store->poll, &poll);
    return store;
}

void
keyed_store_free(struct keyed_store *store)
{
    struct pending_read *pending_read, *next;

    if (store == NULL) {
        return;
    }
    event_free(store->poll);
    caller_server_free(store->server);
    DL_FOREACH_SAFE(store->pending_reads, pending_read, next)
    {
        free(pending_read);
    }
    for (size_t i = 0; i < store->topic_count; i++) {
        drop_records(&store->topics[i], 0);
        free(store->topics[i].records);
        free(store->topics[i].name);
    }
    free(store->copied_topic);
    free(store);
}

struct address
keyed_store_address(const struct keyed_store *store)
{
    return caller_server_address(store->server);
}

int64_t
keyed_store_put(struct keyed_store *store, const char *topic, const char *key,
                struct str value)
{
    return keyed_store_put_bytes(store, topic, str_from(key), value);
}

int64_t
keyed_store_put_bytes(struct keyed_store *store, const char *topic,
                      struct str key, struct str value)
{
    return append(get_topic(store, topic),
                  &(struct record){key, value, .has_key = true});
}

void
keyed_store_put_malformed(struct keyed_store *store, const char *topic,
                          struct str bytes)
{
    append(get_topic(store, topic), &(struct record){.value = bytes});
}

void
keyed_store_compact(struct keyed_store *store, const char *topic)
{
    struct topic *found = get_topic(store, topic);

    found->first = found->count;
}

void
keyed_store_set_fault(struct keyed_store *store, enum keyed_store_fault fault)
{
    store->fault = fault;
    if (fault == KEYED_STORE_AWAY) {
        abort_reads(store);
    }
}

void
keyed_store_set_era(struct keyed_store *store, int64_t era)
{
    store->era = era;
}

int64_t
keyed_store_era(const struct keyed_store *store)
{
    return store->era;
}

void
keyed_store_set_era_text(struct keyed_store *store, const char *text)
{
    store->era_text = text;
}

void
keyed_store_copy(struct keyed_store *store, const char *topic)
{
    free(store->copied_topic);
    store->copied_topic = topic != NULL ? xstrdup(topic) : NULL;
    store->has_copy = true;
    for (size_t i = 0; i < store->topic_count; i++) {
        store->topics[i].copied.count = store->topics[i].count;
        store->topics[i].copied.first = store->topics[i].first;
    }
}

void
keyed_store_restore(struct keyed_store *store)
{
    INVARIANT(store->has_copy);
    for (size_t i = 0; i < store->topic_count; i++) {
        struct topic *topic = &store->topics[i];

        if (store->copied_topic == NULL ||
            !strcmp(store->copied_topic, topic->name)) {
            drop_records(topic, topic->copied.count);
            topic->first = topic->copied.first;
        }
    }
    if (!store->keeps_reads) {
        abort_reads(store);
    }
    store->era += store->era != 0 ? 1 : 0;
}

void
keyed_store_keep_reads(struct keyed_store *store, bool keep)
{
    store->keeps_reads = keep;
}

void
keyed_store_restore_after(struct keyed_store *store, const char *topic,
                          size_t pages)
{
    get_topic(store, topic)->pages_to_restore = pages;
}

void
keyed_store_set_page(struct keyed_store *store, size_t records)
{
    store->page_records = records;
}

void
keyed_store_set_topic_busy(struct keyed_store *store, const char *topic,
                           bool busy)
{
    get_topic(store, topic)->busy = busy;
}

uint64_t
keyed_store_calls(const struct keyed_store *store)
{
    return store->calls;
}

struct str
keyed_store_get(const struct keyed_store *store, const char *topic,
                const char *key)
{
    for (size_t i = 0; i < store->topic_count; i++) {
        const struct topic *found = &store->topics[i];

        for (size_t j = found->count; !strcmp(found->name, topic) && j > 0;
             j--) {
            if (str_equal_c(found->records[j - 1].key, key)) {
                return found->records[j - 1].value;
            }
        }
    }
    return (struct str){0};
}
