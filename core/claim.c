#include "dandelionvalve/claim.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

#define NONCE_BYTES 16
#define NONCE_HEX_BYTES (2 * NONCE_BYTES)
/// Largest accepted skew between a key's time and the platform's clock.
#define KEY_CLOCK_SKEW_MS (5 * 60 * 1000)
/// Largest window as a share of the log's retention.
#define WINDOW_RETENTION_SHARE 0.45
#define UUID_BYTES 36

struct nonce {
    char hex[NONCE_HEX_BYTES + 1];
};

/// The claim in force of a key, by the records applied so far.
struct entry {
    struct str key;
    struct nonce nonce;
    uint64_t hash;
    int64_t time_ms;
    int64_t window_ms;
    int64_t run_limit_ms;
    bool finished;
    struct claim_answer answer;
    struct entry *prev;
    struct entry *next;
    UT_hash_handle hh;
};

/// A released nonce, whose claim is ignored even if it is read later.
struct released {
    struct nonce nonce;
    int64_t keep_until_ms;
    struct released *prev;
    struct released *next;
    UT_hash_handle hh;
};

enum waiting_state {
    WAITING_BATCH,   ///< for the next append
    WAITING_APPEND,  ///< for the result of the append
    WAITING_READ,    ///< for the appended record to be read
    WAITING_OUTCOME, ///< for another request of its key
};

/// A request of this process that waits for its claim.
struct waiting {
    enum waiting_state state;
    struct nonce nonce;
    struct str key;
    uint64_t hash;
    int64_t run_limit_ms;
    int64_t deadline_ms;
    int64_t offset;
    bool maybe_appended; ///< an append of its nonce had no known result
    void *request;
    struct waiting *prev;
    struct waiting *next;
};

/// A request of this process that was decided CLAIM_RUN.
struct owned {
    struct nonce nonce;
    struct str key;
    const void *request;
    UT_hash_handle hh;
};

/// An outcome or a release that has to be appended.
struct update {
    bool is_release;
    bool appending;
    struct str key;
    struct nonce nonce;
    struct claim_answer answer;
    struct update *prev;
    struct update *next;
};

struct claims {
    struct claim_options options;
    struct entry *entries;
    struct entry *entries_by_age;
    struct released *released;
    struct released *released_by_age;
    struct waiting *waiting;
    struct update *updates;
    struct owned *owned;
    int64_t next_offset;
    int64_t last_record_ms;     ///< unused
    int64_t platform_offset_ms; ///< platform's time minus the clock
    int64_t retention_ms;
    bool started;
    bool appending;
    int64_t next_append_ms;
    struct claim_counts counts;
};

struct claims *
claims_new(const struct claim_options *options)
{
    struct claims *claims = xcalloc(1, sizeof(*claims));

    claims->options = *options;
    return claims;
}

static int64_t
now_ms(const struct claims *claims)
{
    return clock_ms(claims->options.clock);
}

static void
answer_free(struct claim_answer *answer)
{
    free((char *)answer->content_type.data);
    free((char *)answer->body.data);
    *answer = (struct claim_answer){0};
}

static struct claim_answer
answer_copy(const struct claims *claims, const struct claim_answer *answer)
{
    bool keep = answer->body_kept &&
                answer->body.len <= claims->options.answer_bytes_max;

    return (struct claim_answer){
        .status = answer->status,
        .content_type = str_copy(answer->content_type),
        .body = str_copy(keep ? answer->body : STR_LITERAL("")),
        .body_kept = keep,
    };
}

static void
entry_free(struct claims *claims, struct entry *entry)
{
    HASH_DEL(claims->entries, entry);
    DL_DELETE(claims->entries_by_age, entry);
    answer_free(&entry->answer);
    free((char *)entry->key.data);
    free(entry);
}

static void
waiting_free(struct claims *claims, struct waiting *waiting)
{
    DL_DELETE(claims->waiting, waiting);
    free((char *)waiting->key.data);
    free(waiting);
}

static void
update_free(struct claims *claims, struct update *update)
{
    DL_DELETE(claims->updates, update);
    answer_free(&update->answer);
    free((char *)update->key.data);
    free(update);
}

static void
owned_free(struct claims *claims, struct owned *owned)
{
    HASH_DEL(claims->owned, owned);
    free((char *)owned->key.data);
    free(owned);
}

static void
released_free(struct claims *claims, struct released *released)
{
    HASH_DEL(claims->released, released);
    DL_DELETE(claims->released_by_age, released);
    free(released);
}

static void
clear_entries(struct claims *claims)
{
    while (claims->entries_by_age != NULL) {
        entry_free(claims, claims->entries_by_age);
    }
    while (claims->released_by_age != NULL) {
        released_free(claims, claims->released_by_age);
    }
}

void
claims_free(struct claims *claims)
{
    if (claims == NULL) {
        return;
    }
    clear_entries(claims);
    while (claims->waiting != NULL) {
        waiting_free(claims, claims->waiting);
    }
    while (claims->updates != NULL) {
        update_free(claims, claims->updates);
    }
    while (claims->owned != NULL) {
        owned_free(claims, claims->owned);
    }
    free(claims);
}

void
claims_set_window(struct claims *claims, int64_t window_ms)
{
    claims->options.window_ms = window_ms;
}

/// The configured window, limited so that records do not age out before it
/// ends.
static int64_t
effective_window_ms(const struct claims *claims)
{
    int64_t kept =
        (int64_t)((double)claims->retention_ms * WINDOW_RETENTION_SHARE);

    return kept < claims->options.window_ms ? kept : claims->options.window_ms;
}

static int64_t
platform_now_ms(const struct claims *claims)
{
    return now_ms(claims) + claims->platform_offset_ms;
}

static bool
is_expired(const struct entry *entry, int64_t time_ms)
{
    return time_ms > entry->time_ms + entry->window_ms;
}

static struct entry *
find_entry(const struct claims *claims, struct str key)
{
    struct entry *entry;

    HASH_FIND(hh, claims->entries, key.data, key.len, entry);
    return entry;
}

static bool
is_released(const struct claims *claims, const struct nonce *nonce)
{
    struct released *released;

    HASH_FIND(hh, claims->released, nonce->hex, NONCE_HEX_BYTES, released);
    return released != NULL;
}

static struct nonce
new_nonce(const struct claims *claims)
{
    uint64_t random[2] = {
        random_next(claims->options.random),
        random_next(claims->options.random),
    };
    struct nonce nonce;

    hex_encode(random, sizeof(random), nonce.hex);
    return nonce;
}

static void
decide(struct claims *claims, struct waiting *waiting,
       const struct claim_decision *decision)
{
    void *request = waiting->request;

    waiting_free(claims, waiting);
    claims->options.decided(claims->options.ctx, request, decision);
}

/// The decision on a request whose key has an entry of another request.
static struct claim_decision
decision_of_entry(const struct claims *claims, const struct entry *entry,
                  uint64_t hash)
{
    struct claim_decision decision = {.verdict = CLAIM_IN_PROGRESS};

    if (entry->hash != hash) {
        decision.verdict = CLAIM_CONFLICT;
    }
    else if (entry->finished && entry->answer.status != 0) {
        decision.verdict = CLAIM_REPLAY;
        decision.answer = entry->answer;
    }
    else if (entry->finished ||
             platform_now_ms(claims) - entry->time_ms > entry->run_limit_ms) {
        decision.verdict = CLAIM_UNKNOWN;
    }
    return decision;
}

static void
add_update(struct claims *claims, bool is_release, struct str key,
           const struct nonce *nonce, const struct claim_answer *answer)
{
    struct update *update = xcalloc(1, sizeof(*update));

    update->is_release = is_release;
    update->key = str_copy(key);
    update->nonce = *nonce;
    if (answer != NULL) {
        update->answer = answer_copy(claims, answer);
    }
    DL_APPEND(claims->updates, update);
}

/// Releases the claim of a waiting request if one may have been appended.
static void
release_claim(struct claims *claims, const struct waiting *waiting)
{
    if (waiting->maybe_appended || waiting->state == WAITING_APPEND ||
        waiting->state == WAITING_READ) {
        add_update(claims, true, waiting->key, &waiting->nonce, NULL);
    }
}

/// Ends the wait of a request without a claim; its nonce is released.
static void
decide_unclaimed(struct claims *claims, struct waiting *waiting)
{
    struct claim_decision decision = {.verdict = CLAIM_LOG_DOWN};

    if (waiting->state == WAITING_OUTCOME) {
        decision.verdict = CLAIM_IN_PROGRESS;
    }
    release_claim(claims, waiting);
    decide(claims, waiting, &decision);
}

static void
add_owned(struct claims *claims, const struct waiting *waiting)
{
    struct owned *owned = xcalloc(1, sizeof(*owned));

    owned->nonce = waiting->nonce;
    owned->key = str_copy(waiting->key);
    owned->request = waiting->request;
    HASH_ADD_PTR(claims->owned, request, owned);
}

/// Decides a request by the entry of its key, if that is final.
static void
decide_from_log(struct claims *claims, struct waiting *waiting)
{
    struct entry *entry = find_entry(claims, waiting->key);
    struct claim_decision decision = {.verdict = CLAIM_RUN};

    if (entry == NULL) {
        // The entry expired while the request waited.
        decide_unclaimed(claims, waiting);
        return;
    }
    if (strcmp(entry->nonce.hex, waiting->nonce.hex) != 0) {
        decision = decision_of_entry(claims, entry, waiting->hash);
        if (decision.verdict == CLAIM_IN_PROGRESS) {
            waiting->state = WAITING_OUTCOME;
            return;
        }
    }
    else if (now_ms(claims) >= waiting->deadline_ms) {
        // The process was paused; it must not run on an out-of-date claim.
        decide_unclaimed(claims, waiting);
        return;
    }
    else {
        add_owned(claims, waiting);
    }
    decide(claims, waiting, &decision);
}

/// Queues a new claim after the entry that preceded this request's claim was
/// released: its own claim was ignored when it was read.
static void
renew_claim(struct claims *claims, struct waiting *waiting)
{
    if (waiting->maybe_appended) {
        add_update(claims, true, waiting->key, &waiting->nonce, NULL);
    }
    waiting->nonce = new_nonce(claims);
    waiting->state = WAITING_BATCH;
    waiting->maybe_appended = false;
}

static bool
is_decidable(const struct claims *claims, const struct waiting *waiting,
             const struct entry *entry)
{
    bool own = entry != NULL && !strcmp(entry->nonce.hex, waiting->nonce.hex);

    return own || waiting->state == WAITING_OUTCOME ||
           (waiting->state == WAITING_READ &&
            waiting->offset < claims->next_offset);
}

static void
decide_waiting(struct claims *claims)
{
    struct waiting *waiting, *next;

    DL_FOREACH_SAFE(claims->waiting, waiting, next)
    {
        const struct entry *entry = find_entry(claims, waiting->key);

        if (waiting->state == WAITING_OUTCOME && entry == NULL) {
            renew_claim(claims, waiting);
        }
        else if (is_decidable(claims, waiting, entry)) {
            decide_from_log(claims, waiting);
        }
    }
}

static json_t *
claim_json(const struct claims *claims, const struct waiting *waiting)
{
    return json_pack("{s:s%, s:s, s:I, s:I, s:I}", "key", waiting->key.data,
                     waiting->key.len, "nonce", waiting->nonce.hex, "hash",
                     (json_int_t)waiting->hash, "limit",
                     (json_int_t)waiting->run_limit_ms, "window",
                     (json_int_t)effective_window_ms(claims));
}

static json_t *
outcome_json(const struct update *update)
{
    const struct claim_answer *answer = &update->answer;

    return json_pack(
        "{s:s%, s:s, s:i, s:s%, s:s%, s:b}", "key", update->key.data,
        update->key.len, "nonce", update->nonce.hex, "status", answer->status,
        "type", answer->content_type.data, answer->content_type.len, "body",
        answer->body.data, answer->body.len, "kept", answer->body_kept);
}

static json_t *
release_json(const struct update *update)
{
    return json_pack("{s:s%, s:s}", "key", update->key.data, update->key.len,
                     "nonce", update->nonce.hex);
}

static size_t
batch_waiting(struct claims *claims, json_t *list, size_t room)
{
    struct waiting *waiting;
    size_t count = 0;

    DL_FOREACH(claims->waiting, waiting)
    {
        if (waiting->state == WAITING_BATCH && count < room) {
            json_array_append_new(list, claim_json(claims, waiting));
            waiting->state = WAITING_APPEND;
            count++;
        }
    }
    claims->counts.claims += count;
    return count;
}

static size_t
batch_updates(struct claims *claims, json_t *outcomes, json_t *releases,
              size_t room)
{
    struct update *update;
    size_t count = 0;

    DL_FOREACH(claims->updates, update)
    {
        if (count == room) {
            break;
        }
        json_t *json =
            update->is_release ? release_json(update) : outcome_json(update);

        // A JSON record cannot hold a body that is not UTF-8: omit it.
        if (json == NULL) {
            update->answer.body_kept = false;
            update->answer.body.len = 0;
            update->answer.content_type.len = 0;
            json = outcome_json(update);
        }
        json_array_append_new(update->is_release ? releases : outcomes, json);
        update->appending = true;
        count++;
    }
    return count;
}

static void
append_batch(struct claims *claims)
{
    json_t *list = json_array();
    json_t *outcomes = json_array();
    json_t *releases = json_array();
    size_t room = claims->options.batch_max;
    json_t *record;
    char *text;

    room -= batch_updates(claims, outcomes, releases, room);
    batch_waiting(claims, list, room);
    record = json_pack("{s:o, s:o, s:o}", "claims", list, "outcomes", outcomes,
                       "releases", releases);
    text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    claims->appending = true;
    claims->next_append_ms =
        now_ms(claims) + claims->options.append_interval_ms;
    claims->counts.appends++;
    claims->options.append(claims->options.ctx, str_from(text));
    free(text);
}

static bool
has_unsent(const struct claims *claims)
{
    const struct waiting *waiting;

    if (claims->updates != NULL) {
        return true;
    }
    DL_FOREACH(claims->waiting, waiting)
    {
        if (waiting->state == WAITING_BATCH) {
            return true;
        }
    }
    return false;
}

static void
append_if_due(struct claims *claims)
{
    if (!claims->appending && claims->started &&
        now_ms(claims) >= claims->next_append_ms && has_unsent(claims)) {
        append_batch(claims);
    }
}

static bool
is_outside_window(const struct claims *claims, struct str key)
{
    const char *slash = memchr(key.data, '/', key.len);
    struct str bare = key;
    int64_t time_ms;
    int64_t now;

    if (slash != NULL) {
        bare.data = slash + 1;
        bare.len = key.len - (size_t)(bare.data - key.data);
    }
    time_ms = claim_key_time_ms(bare);
    if (time_ms < 0) {
        return false;
    }
    now = platform_now_ms(claims);
    return time_ms > now + KEY_CLOCK_SKEW_MS ||
           time_ms < now - effective_window_ms(claims) + KEY_CLOCK_SKEW_MS;
}

void
claim_begin(struct claims *claims, const struct claim_request *request)
{
    struct waiting *waiting = xcalloc(1, sizeof(*waiting));
    const struct entry *entry = find_entry(claims, request->key);
    struct claim_decision decision = {.verdict = CLAIM_EXPIRED};

    waiting->nonce = new_nonce(claims);
    waiting->key = str_copy(request->key);
    waiting->hash = request->hash;
    waiting->run_limit_ms = request->run_limit_ms;
    waiting->deadline_ms = now_ms(claims) + claims->options.wait_ms;
    waiting->request = request->request;
    DL_APPEND(claims->waiting, waiting);
    if (claims->started && is_outside_window(claims, request->key)) {
        decide(claims, waiting, &decision);
        return;
    }
    // An existing entry decides the request without an append.
    if (entry != NULL && !is_expired(entry, platform_now_ms(claims))) {
        decision = decision_of_entry(claims, entry, request->hash);
        if (decision.verdict == CLAIM_IN_PROGRESS) {
            waiting->state = WAITING_OUTCOME;
            return;
        }
        decide(claims, waiting, &decision);
        return;
    }
    append_if_due(claims);
}

static struct waiting *
find_waiting(const struct claims *claims, const void *request)
{
    struct waiting *waiting;

    DL_FOREACH(claims->waiting, waiting)
    {
        if (waiting->request == request) {
            return waiting;
        }
    }
    return NULL;
}

void
claim_withdraw(struct claims *claims, const void *request)
{
    struct waiting *waiting = find_waiting(claims, request);

    if (waiting == NULL) {
        return;
    }
    release_claim(claims, waiting);
    waiting_free(claims, waiting);
    append_if_due(claims);
}

static struct owned *
find_owned(const struct claims *claims, const void *request)
{
    struct owned *owned;

    HASH_FIND_PTR(claims->owned, &request, owned);
    return owned;
}

void
claim_finish(struct claims *claims, const void *request,
             const struct claim_answer *answer)
{
    struct owned *owned = find_owned(claims, request);
    struct entry *entry;

    INVARIANT(owned != NULL);
    entry = find_entry(claims, owned->key);
    if (entry != NULL && !entry->finished &&
        !strcmp(entry->nonce.hex, owned->nonce.hex)) {
        entry->finished = true;
        entry->answer = answer_copy(claims, answer);
    }
    add_update(claims, false, owned->key, &owned->nonce, answer);
    owned_free(claims, owned);
    append_if_due(claims);
}

static void
add_released(struct claims *claims, const struct nonce *nonce,
             int64_t keep_until_ms)
{
    struct released *released;

    if (is_released(claims, nonce)) {
        return;
    }
    released = xcalloc(1, sizeof(*released));
    released->nonce = *nonce;
    released->keep_until_ms = keep_until_ms;
    HASH_ADD(hh, claims->released, nonce.hex, NONCE_HEX_BYTES, released);
    DL_APPEND(claims->released_by_age, released);
}

void
claim_release(struct claims *claims, const void *request)
{
    struct owned *owned = find_owned(claims, request);

    INVARIANT(owned != NULL);
    add_update(claims, true, owned->key, &owned->nonce, NULL);
    owned_free(claims, owned);
    append_if_due(claims);
}

static void
complete_updates(struct claims *claims, bool appended)
{
    struct update *update, *next;

    DL_FOREACH_SAFE(claims->updates, update, next)
    {
        if (!update->appending) {
            continue;
        }
        if (appended) {
            update_free(claims, update);
        }
        else {
            update->appending = false;
        }
    }
}

void
claim_appended(struct claims *claims, enum claim_append_status status,
               int64_t offset)
{
    struct waiting *waiting;

    INVARIANT(claims->appending);
    claims->appending = false;
    complete_updates(claims, status == CLAIM_APPEND_OK);
    DL_FOREACH(claims->waiting, waiting)
    {
        if (waiting->state != WAITING_APPEND) {
            continue;
        }
        waiting->state =
            status == CLAIM_APPEND_OK ? WAITING_READ : WAITING_BATCH;
        waiting->offset = offset;
        if (status == CLAIM_APPEND_UNKNOWN) {
            waiting->maybe_appended = true;
        }
    }
    if (status == CLAIM_APPEND_OK) {
        decide_waiting(claims);
        append_if_due(claims);
    }
    else {
        // claim_tick() repeats the append after a longer interval.
        claims->next_append_ms =
            now_ms(claims) + 10 * claims->options.append_interval_ms;
    }
}

void
claim_set_log_start(struct claims *claims, int64_t first_offset,
                    int64_t retention_ms)
{
    claims->retention_ms = retention_ms;
    if (claims->started && first_offset <= claims->next_offset) {
        return;
    }
    clear_entries(claims);
    claims->next_offset = first_offset;
    claims->started = true;
}

static bool
read_nonce(const json_t *json, struct nonce *nonce)
{
    if (json_string_length(json) != NONCE_HEX_BYTES) {
        return false;
    }
    memcpy(nonce->hex, json_string_value(json), NONCE_HEX_BYTES + 1);
    return true;
}

static struct str
json_view(const json_t *json, const char *key)
{
    const json_t *value = json_object_get(json, key);

    return (struct str){json_string_value(value), json_string_length(value)};
}

static int64_t
json_int(const json_t *json, const char *key)
{
    return json_integer_value(json_object_get(json, key));
}

static void
apply_claim(struct claims *claims, const json_t *json, int64_t time_ms)
{
    struct str key = json_view(json, "key");
    struct entry *entry = find_entry(claims, key);
    struct nonce nonce;

    if (key.len == 0 || !read_nonce(json_object_get(json, "nonce"), &nonce) ||
        is_released(claims, &nonce) ||
        (entry != NULL && !is_expired(entry, time_ms))) {
        return;
    }
    if (entry != NULL) {
        entry_free(claims, entry);
    }
    entry = xcalloc(1, sizeof(*entry));
    entry->key = str_copy(key);
    entry->nonce = nonce;
    entry->hash = (uint64_t)json_int(json, "hash");
    entry->run_limit_ms = json_int(json, "limit");
    entry->window_ms = json_int(json, "window");
    entry->time_ms = time_ms;
    HASH_ADD_KEYPTR(hh, claims->entries, entry->key.data, entry->key.len,
                    entry);
    DL_APPEND(claims->entries_by_age, entry);
}

static void
apply_outcome(struct claims *claims, const json_t *json)
{
    struct entry *entry = find_entry(claims, json_view(json, "key"));
    struct nonce nonce;
    struct claim_answer answer = {
        .status = (int)json_integer_value(json_object_get(json, "status")),
        .content_type = json_view(json, "type"),
        .body = json_view(json, "body"),
        .body_kept = json_is_true(json_object_get(json, "kept")),
    };

    if (entry == NULL || entry->finished ||
        !read_nonce(json_object_get(json, "nonce"), &nonce) ||
        strcmp(entry->nonce.hex, nonce.hex) != 0) {
        return;
    }
    entry->finished = true;
    entry->answer = answer_copy(claims, &answer);
}

static void
apply_release(struct claims *claims, const json_t *json, int64_t time_ms)
{
    struct entry *entry = find_entry(claims, json_view(json, "key"));
    struct nonce nonce;

    if (!read_nonce(json_object_get(json, "nonce"), &nonce)) {
        return;
    }
    // A claim appended later than this is never in the log together with its
    // release.
    add_released(claims, &nonce, time_ms + claims->retention_ms);
    if (entry != NULL && !entry->finished &&
        !strcmp(entry->nonce.hex, nonce.hex)) {
        entry_free(claims, entry);
    }
}

/// Removes entries and released nonces that no later record can refer to.
static void
drop_expired(struct claims *claims, int64_t time_ms)
{
    while (claims->entries_by_age != NULL &&
           is_expired(claims->entries_by_age, time_ms)) {
        entry_free(claims, claims->entries_by_age);
    }
    while (claims->released_by_age != NULL &&
           claims->released_by_age->keep_until_ms < time_ms) {
        released_free(claims, claims->released_by_age);
    }
}

void
claim_apply_record(struct claims *claims, int64_t offset, int64_t time_ms,
                   struct str record)
{
    json_t *json;
    const json_t *item;
    size_t i;

    if (!claims->started || offset < claims->next_offset) {
        return;
    }
    claims->next_offset = offset + 1;
    json = json_loadb(record.data, record.len, JSON_ALLOW_NUL, NULL);
    json_array_foreach(json_object_get(json, "releases"), i, item)
    {
        apply_release(claims, item, time_ms);
    }
    json_array_foreach(json_object_get(json, "claims"), i, item)
    {
        apply_claim(claims, item, time_ms);
    }
    json_array_foreach(json_object_get(json, "outcomes"), i, item)
    {
        apply_outcome(claims, item);
    }
    json_decref(json);
    drop_expired(claims, time_ms);
    decide_waiting(claims);
}

void
claim_caught_up(struct claims *claims, int64_t time_ms)
{
    claims->platform_offset_ms = time_ms - now_ms(claims);
    drop_expired(claims, time_ms);
}

int64_t
claim_next_offset(const struct claims *claims)
{
    return claims->next_offset;
}

void
claim_tick(struct claims *claims)
{
    struct waiting *waiting, *next;
    int64_t now = now_ms(claims);

    DL_FOREACH_SAFE(claims->waiting, waiting, next)
    {
        if (now >= waiting->deadline_ms) {
            decide_unclaimed(claims, waiting);
        }
    }
    decide_waiting(claims);
    append_if_due(claims);
}

struct claim_counts
claim_totals(const struct claims *claims)
{
    struct claim_counts counts = claims->counts;
    const struct waiting *waiting;

    counts.entries = HASH_COUNT(claims->entries);
    DL_COUNT(claims->waiting, waiting, counts.waiting);
    return counts;
}

int64_t
claim_key_time_ms(struct str key)
{
    unsigned char bytes[6];
    char digits[13] = {0};

    if (key.len != UUID_BYTES || key.data[8] != '-' || key.data[13] != '-' ||
        key.data[14] != '7') {
        return -1;
    }
    memcpy(digits, key.data, 8);
    memcpy(digits + 8, key.data + 9, 4);
    if (!hex_decode((struct str){digits, 12}, bytes, sizeof(bytes))) {
        return -1;
    }
    return (int64_t)bytes[0] << 40 | (int64_t)bytes[1] << 32 |
           (int64_t)bytes[2] << 24 | (int64_t)bytes[3] << 16 |
           (int64_t)bytes[4] << 8 | (int64_t)bytes[5];
}

const char *
claim_verdict_name(enum claim_verdict verdict)
{
    static const char *const names[] = {
        [CLAIM_RUN] = "run",
        [CLAIM_REPLAY] = "replay",
        [CLAIM_IN_PROGRESS] = "in-progress",
        [CLAIM_UNKNOWN] = "unknown",
        [CLAIM_CONFLICT] = "conflict",
        [CLAIM_EXPIRED] = "expired",
        [CLAIM_LOG_DOWN] = "log-down",
    };

    return names[verdict];
}
