#include "builds.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>
#include <uthash.h>

#include "xmalloc.h"

/// Version of the format of batches.
#define FORMAT 1
/// Elements of a batch before its groups, and of a group.
#define HEAD_ELEMENTS 2
#define GROUP_ELEMENTS 3
#define GROUPS_MAX 4096
/// Percentages of the lifetime of a stream: the interval at which the builds
/// of a service that has several are named again, and the time for which a
/// batch that names them holds. A router that is killed before it writes a
/// stream has then named its build.
#define ANNOUNCE_PERCENT 50
#define LOGGED_PERCENT 200
/// Builds that are remembered at most, as seen and as logged each.
#define SEEN_MAX 1024
#define LOGGED_MAX GROUPS_MAX

#define TAG_FIXINT_MAX 0x7f
#define TAG_FIXARRAY 0x90
#define TAG_BIN8 0xc4
#define TAG_BIN32 0xc6
#define TAG_UINT8 0xcc
#define TAG_UINT64 0xcf
#define TAG_ARRAY16 0xdc
#define TAG_ARRAY32 0xdd

/// A build of which this router has seen endpoints.
struct seen {
    uint64_t build;
    uint64_t service;
    int64_t first_ms;
    int64_t last_ms;
    int64_t started_ms; ///< Unix time of its oldest endpoint; 0: not known
    int64_t named_ms;   ///< in a batch; 0: not since its service changed
    UT_hash_handle hh;
};

/// A build that a batch of the log names.
struct logged {
    uint64_t build;
    uint64_t service;
    int64_t expires_ms;
    UT_hash_handle hh;
};

struct stream {
    uint64_t id;
    uint64_t service;
    uint64_t build;
    int64_t expires_ms;
    bool is_shared; ///< in the log, or waits to be written there
    UT_hash_handle hh;
};

struct pending {
    uint64_t stream;
    uint64_t build;
    uint64_t service;
};

struct builds {
    struct builds_options options;
    struct seen *seen;
    struct logged *logged;
    struct stream *streams; ///< in the order of their expiry
    struct pending *pending;
    size_t pending_count;
    size_t pending_size;
    size_t taken;  ///< of the pending ones, in the batch that is being written
    size_t copied; ///< of the pending ones, by builds_take_copy()
    uint64_t written; ///< streams that have left the queue
    uint64_t dropped;
};

struct builds *
builds_new(const struct builds_options *options)
{
    struct builds *builds = xcalloc(1, sizeof(*builds));

    builds->options = *options;
    return builds;
}

static void
remove_stream(struct builds *builds, struct stream *stream)
{
    HASH_DEL(builds->streams, stream);
    free(stream);
}

static void
remove_seen(struct builds *builds, struct seen *seen)
{
    HASH_DEL(builds->seen, seen);
    free(seen);
}

static void
remove_logged(struct builds *builds, struct logged *logged)
{
    HASH_DEL(builds->logged, logged);
    free(logged);
}

void
builds_free(struct builds *builds)
{
    if (builds == NULL) {
        return;
    }
    while (builds->streams != NULL) {
        remove_stream(builds, builds->streams);
    }
    while (builds->seen != NULL) {
        remove_seen(builds, builds->seen);
    }
    while (builds->logged != NULL) {
        remove_logged(builds, builds->logged);
    }
    free(builds->pending);
    free(builds);
}

void
builds_set_lifetime(struct builds *builds, int64_t lifetime_ms)
{
    builds->options.lifetime_ms = lifetime_ms;
}

uint64_t
builds_service_hash(struct str service)
{
    return str_hash(service, 0);
}

uint64_t
builds_hash(struct str service, struct str version)
{
    uint64_t hash = str_hash(version, builds_service_hash(service));

    return hash != 0 ? hash : 1;
}

uint64_t
builds_stream_hash(struct str request_id)
{
    return str_hash(request_id, 0);
}

static int64_t
now_ms(const struct builds *builds)
{
    return clock_ms(builds->options.clock);
}

static bool
is_current(const struct builds *builds, const struct seen *seen)
{
    return now_ms(builds) - seen->last_ms <= builds->options.lifetime_ms;
}

static int64_t
lifetime_percent(const struct builds *builds, int64_t percent)
{
    return builds->options.lifetime_ms * percent / 100;
}

/// Time for which the builds that a batch names hold.
static int64_t
logged_ms(const struct builds *builds)
{
    return lifetime_percent(builds, LOGGED_PERCENT) + BUILDS_CLOCK_SKEW_MS;
}

/// Number of builds that are seen of a service; `any` is one of them.
static size_t
count_seen(const struct builds *builds, uint64_t service,
           const struct seen **any)
{
    const struct seen *seen;
    size_t count = 0;

    for (seen = builds->seen; seen != NULL; seen = seen->hh.next) {
        if (seen->service == service && is_current(builds, seen)) {
            *any = seen;
            count++;
        }
    }
    return count;
}

static bool
has_several(const struct builds *builds, uint64_t service)
{
    const struct seen *any;

    return count_seen(builds, service, &any) > 1;
}

static bool
has_other_logged(const struct builds *builds, uint64_t service, uint64_t build)
{
    const struct logged *logged;

    for (logged = builds->logged; logged != NULL; logged = logged->hh.next) {
        if (logged->service == service && logged->build != build &&
            now_ms(builds) < logged->expires_ms) {
            return true;
        }
    }
    return false;
}

/// True if no other build can have served within the lifetime of a stream
/// without this router, or another one that writes to the log, having seen
/// both.
static bool
is_old(const struct builds *builds, const struct seen *seen)
{
    int64_t lifetime_ms = builds->options.lifetime_ms;

    return now_ms(builds) - seen->first_ms >= lifetime_ms ||
           (seen->started_ms > 0 &&
            clock_ms(builds->options.wall_clock) - seen->started_ms >=
                lifetime_ms);
}

/// True while another router may refuse an unknown stream of this build: its
/// streams are written to the log. Batches name a build that has gone out of
/// use for the lifetime of a stream.
static bool
needs_writing(const struct builds *builds, uint64_t service, uint64_t build)
{
    int64_t window_ms = builds->options.lifetime_ms + logged_ms(builds);
    const struct seen *seen;

    for (seen = builds->seen; seen != NULL; seen = seen->hh.next) {
        if (seen->service != service) {
            continue;
        }
        if (seen->build == build
                ? !is_old(builds, seen)
                : now_ms(builds) - seen->last_ms <= window_ms) {
            return true;
        }
    }
    return has_other_logged(builds, service, build);
}

static void
add_pending(struct builds *builds, struct stream *stream)
{
    stream->is_shared = true;
    if (builds->pending_count == BUILDS_PENDING_MAX) {
        builds->dropped++;
        return;
    }
    if (builds->pending_count == builds->pending_size) {
        builds->pending_size =
            builds->pending_size > 0 ? 2 * builds->pending_size : 64;
        builds->pending =
            xrealloc(builds->pending,
                     builds->pending_size * sizeof(builds->pending[0]));
    }
    builds->pending[builds->pending_count++] = (struct pending){
        .stream = stream->id,
        .build = stream->build,
        .service = stream->service,
    };
}

/// What is known of the builds of a service has changed: other routers may
/// have to know which one began each stream.
static void
share_streams(struct builds *builds, uint64_t service)
{
    struct stream *stream;

    for (stream = builds->streams; stream != NULL; stream = stream->hh.next) {
        if (stream->service == service && !stream->is_shared &&
            needs_writing(builds, service, stream->build)) {
            add_pending(builds, stream);
        }
    }
}

/// The builds of the service are named in the next batch.
static void
name_builds(struct builds *builds, uint64_t service)
{
    struct seen *seen;

    for (seen = builds->seen; seen != NULL; seen = seen->hh.next) {
        if (seen->service == service) {
            seen->named_ms = 0;
        }
    }
}

void
builds_see(struct builds *builds, uint64_t service, uint64_t build,
           int64_t started_ms)
{
    struct seen *seen;

    HASH_FIND(hh, builds->seen, &build, sizeof(build), seen);
    if (seen != NULL && !is_current(builds, seen)) {
        remove_seen(builds, seen);
        seen = NULL;
    }
    if (seen != NULL) {
        seen->last_ms = now_ms(builds);
        if (started_ms > 0 &&
            (seen->started_ms == 0 || started_ms < seen->started_ms)) {
            seen->started_ms = started_ms;
        }
        return;
    }
    if (HASH_COUNT(builds->seen) >= SEEN_MAX) {
        remove_seen(builds, builds->seen);
    }
    seen = xcalloc(1, sizeof(*seen));
    seen->build = build;
    seen->service = service;
    seen->first_ms = now_ms(builds);
    seen->last_ms = seen->first_ms;
    seen->started_ms = started_ms > 0 ? started_ms : 0;
    HASH_ADD(hh, builds->seen, build, sizeof(seen->build), seen);
    name_builds(builds, service);
    share_streams(builds, service);
}

/// Adds a stream, which expires last.
static struct stream *
add_stream(struct builds *builds, uint64_t id, uint64_t service,
           uint64_t build)
{
    struct stream *stream;

    if (HASH_COUNT(builds->streams) >= BUILDS_STREAMS_MAX) {
        remove_stream(builds, builds->streams);
    }
    stream = xcalloc(1, sizeof(*stream));
    stream->id = id;
    stream->service = service;
    stream->build = build;
    stream->expires_ms = now_ms(builds) + builds->options.lifetime_ms;
    HASH_ADD(hh, builds->streams, id, sizeof(stream->id), stream);
    return stream;
}

static struct stream *
find_stream(const struct builds *builds, uint64_t id)
{
    struct stream *stream;

    HASH_FIND(hh, builds->streams, &id, sizeof(id), stream);
    return stream;
}

bool
builds_record(struct builds *builds, uint64_t id, uint64_t service,
              uint64_t build)
{
    struct stream *stream = find_stream(builds, id);
    bool is_shared = stream != NULL && stream->build == build &&
                     stream->service == service && stream->is_shared;

    builds_see(builds, service, build, 0);
    if (stream != NULL) {
        remove_stream(builds, stream);
    }
    stream = add_stream(builds, id, service, build);
    stream->is_shared = is_shared;
    if (is_shared || !needs_writing(builds, service, build)) {
        return false;
    }
    add_pending(builds, stream);
    return true;
}

void
builds_record_end(struct builds *builds, uint64_t id)
{
    struct stream *stream = find_stream(builds, id);

    if (stream != NULL && !stream->is_shared) {
        remove_stream(builds, stream);
    }
}

void
builds_share_again(struct builds *builds)
{
    struct stream *stream;
    struct seen *seen;

    builds->pending_count = builds->taken;
    if (builds->copied > builds->pending_count) {
        builds->copied = builds->pending_count;
    }
    for (stream = builds->streams; stream != NULL; stream = stream->hh.next) {
        stream->is_shared = false;
    }
    for (seen = builds->seen; seen != NULL; seen = seen->hh.next) {
        seen->named_ms = 0;
        share_streams(builds, seen->service);
    }
}

bool
builds_find(const struct builds *builds, uint64_t id,
            struct builds_stream *found)
{
    const struct stream *stream = find_stream(builds, id);

    if (stream == NULL || now_ms(builds) >= stream->expires_ms) {
        return false;
    }
    *found = (struct builds_stream){stream->service, stream->build};
    return true;
}

enum builds_verdict
builds_judge_unknown(const struct builds *builds, uint64_t service,
                     uint64_t *build)
{
    const struct seen *only = NULL;
    size_t count = count_seen(builds, service, &only);

    if (only == NULL) {
        return BUILDS_NONE_SEEN;
    }
    if (count > 1) {
        return BUILDS_SEVERAL_SEEN;
    }
    if (has_other_logged(builds, service, only->build)) {
        return BUILDS_OTHER_LOGGED;
    }
    if (!is_old(builds, only)) {
        return BUILDS_TOO_YOUNG;
    }
    *build = only->build;
    return BUILDS_GO_ON;
}

const char *
builds_verdict_text(enum builds_verdict verdict)
{
    static const char *const texts[] = {
        [BUILDS_GO_ON] = "its service has had one software version only",
        [BUILDS_NONE_SEEN] = "the stream is not known, and its service has "
                             "no endpoints",
        [BUILDS_SEVERAL_SEEN] = "the stream is not known, and its service has "
                                "several software versions",
        [BUILDS_OTHER_LOGGED] = "the stream is not known, and other routers "
                                "have seen another software version",
        [BUILDS_TOO_YOUNG] = "the stream is not known, and the software "
                             "version of its service is new",
    };

    return texts[verdict];
}

void
builds_tick(struct builds *builds)
{
    struct seen *seen, *next_seen;
    struct logged *logged, *next_logged;

    while (builds->streams != NULL &&
           now_ms(builds) >= builds->streams->expires_ms) {
        remove_stream(builds, builds->streams);
    }
    HASH_ITER(hh, builds->seen, seen, next_seen)
    {
        if (now_ms(builds) - seen->last_ms >
            builds->options.lifetime_ms + logged_ms(builds)) {
            remove_seen(builds, seen);
        }
    }
    HASH_ITER(hh, builds->logged, logged, next_logged)
    {
        if (now_ms(builds) >= logged->expires_ms) {
            remove_logged(builds, logged);
        }
    }
}

/// True if a batch names the build: streams of its service are in it, or the
/// builds of its service have changed.
static bool
is_in_batch(const struct builds *builds, const struct seen *seen)
{
    const struct seen *other;

    if (!is_current(builds, seen)) {
        return false;
    }
    for (size_t i = 0; i < builds->taken; i++) {
        if (builds->pending[i].service == seen->service) {
            return true;
        }
    }
    if (!has_several(builds, seen->service)) {
        return false;
    }
    for (other = builds->seen; other != NULL; other = other->hh.next) {
        if (other->service == seen->service && is_current(builds, other) &&
            (other->named_ms == 0 ||
             now_ms(builds) - other->named_ms >=
                 lifetime_percent(builds, ANNOUNCE_PERCENT))) {
            return true;
        }
    }
    return false;
}

void
builds_put_id(unsigned char *out, uint64_t id)
{
    for (size_t i = 0; i < BUILDS_ID_BYTES; i++) {
        out[i] = (unsigned char)(id >> (8 * (BUILDS_ID_BYTES - 1 - i)));
    }
}

static uint64_t
get_id(const unsigned char *in)
{
    uint64_t id = 0;

    for (size_t i = 0; i < BUILDS_ID_BYTES; i++) {
        id = id << 8 | in[i];
    }
    return id;
}

static void
put_head(msgpack_packer *packer, const struct builds *builds, size_t groups)
{
    msgpack_pack_array(packer, HEAD_ELEMENTS + GROUP_ELEMENTS * groups);
    msgpack_pack_uint64(packer, FORMAT);
    msgpack_pack_uint64(packer,
                        (uint64_t)clock_ms(builds->options.wall_clock));
}

/// Writes a build and those of the streams that it has begun.
static void
put_group(msgpack_packer *packer, uint64_t service, uint64_t build,
          const struct pending *streams, size_t count, unsigned char *ids)
{
    size_t len = 0;

    for (size_t i = 0; i < count; i++) {
        if (streams[i].build == build) {
            builds_put_id(ids + len, streams[i].stream);
            len += BUILDS_ID_BYTES;
        }
    }
    msgpack_pack_uint64(packer, service);
    msgpack_pack_uint64(packer, build);
    msgpack_pack_bin(packer, len);
    msgpack_pack_bin_body(packer, ids, len);
}

bool
builds_take_batch(struct builds *builds, struct str *batch)
{
    struct seen *groups[SEEN_MAX];
    struct seen *seen;
    size_t count = 0;
    msgpack_sbuffer out;
    msgpack_packer packer;
    unsigned char *ids;

    builds->taken = builds->pending_count < BUILDS_BATCH_STREAMS_MAX
                        ? builds->pending_count
                        : BUILDS_BATCH_STREAMS_MAX;
    for (seen = builds->seen; seen != NULL; seen = seen->hh.next) {
        if (is_in_batch(builds, seen)) {
            groups[count++] = seen;
        }
    }
    if (count == 0) {
        // Their builds have expired, and so have the streams.
        builds_batch_written(builds, true);
        return false;
    }
    msgpack_sbuffer_init(&out);
    msgpack_packer_init(&packer, &out, msgpack_sbuffer_write);
    ids = xmalloc(BUILDS_ID_BYTES * (builds->taken + 1));
    put_head(&packer, builds, count);
    for (size_t i = 0; i < count; i++) {
        put_group(&packer, groups[i]->service, groups[i]->build,
                  builds->pending, builds->taken, ids);
    }
    for (size_t i = 0; i < count; i++) {
        groups[i]->named_ms = now_ms(builds);
    }
    free(ids);
    batch->len = out.size;
    batch->data = msgpack_sbuffer_release(&out);
    return true;
}

/// True if an earlier one of the streams has the build of this one.
static bool
has_earlier(const struct pending *streams, size_t index)
{
    for (size_t i = 0; i < index; i++) {
        if (streams[i].build == streams[index].build) {
            return true;
        }
    }
    return false;
}

/// Writes a batch of these streams.
static void
encode_streams(const struct builds *builds, const struct pending *streams,
               size_t count, struct str *batch)
{
    unsigned char *ids = xmalloc(count * BUILDS_ID_BYTES);
    size_t groups = 0;
    msgpack_sbuffer out;
    msgpack_packer packer;

    for (size_t i = 0; i < count; i++) {
        groups += has_earlier(streams, i) ? 0 : 1;
    }
    msgpack_sbuffer_init(&out);
    msgpack_packer_init(&packer, &out, msgpack_sbuffer_write);
    put_head(&packer, builds, groups);
    for (size_t i = 0; i < count; i++) {
        if (!has_earlier(streams, i)) {
            put_group(&packer, streams[i].service, streams[i].build, streams,
                      count, ids);
        }
    }
    free(ids);
    batch->len = out.size;
    batch->data = msgpack_sbuffer_release(&out);
}

bool
builds_known(const struct builds *builds, struct str ids, struct str *batch)
{
    const unsigned char *in = (const unsigned char *)ids.data;
    size_t asked = ids.len / BUILDS_ID_BYTES;
    struct pending *known = xcalloc(asked + 1, sizeof(*known));
    size_t count = 0;

    for (size_t i = 0; i < asked; i++) {
        struct builds_stream stream;
        uint64_t id = get_id(in + i * BUILDS_ID_BYTES);

        if (builds_find(builds, id, &stream)) {
            known[count++] =
                (struct pending){id, stream.build, stream.service};
        }
    }
    if (count > 0) {
        encode_streams(builds, known, count, batch);
    }
    free(known);
    return count > 0;
}

bool
builds_take_copy(struct builds *builds, struct str *batch)
{
    size_t count = builds->pending_count - builds->copied;

    if (count == 0) {
        return false;
    }
    if (count > BUILDS_COPY_STREAMS_MAX) {
        count = BUILDS_COPY_STREAMS_MAX;
    }
    encode_streams(builds, builds->pending + builds->copied, count, batch);
    builds->copied += count;
    return true;
}

void
builds_batch_written(struct builds *builds, bool done)
{
    struct seen *seen;

    if (done) {
        builds->copied -=
            builds->copied < builds->taken ? builds->copied : builds->taken;
        builds->written += builds->taken;
        builds->pending_count -= builds->taken;
        if (builds->pending_count > 0) {
            memmove(builds->pending, builds->pending + builds->taken,
                    builds->pending_count * sizeof(builds->pending[0]));
        }
    }
    for (seen = builds->seen; seen != NULL && !done; seen = seen->hh.next) {
        seen->named_ms = 0;
    }
    builds->taken = 0;
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

static bool
skip_element(const unsigned char **at, const unsigned char *end)
{
    uint64_t number;
    unsigned char tag;

    if (*at == end) {
        return false;
    }
    tag = *(*at)++;
    if (tag <= TAG_FIXINT_MAX) {
        return true;
    }
    if (tag >= TAG_UINT8 && tag <= TAG_UINT64) {
        return read_number(at, end, (size_t)1 << (tag - TAG_UINT8), &number);
    }
    if (tag < TAG_BIN8 || tag > TAG_BIN32 ||
        !read_number(at, end, (size_t)1 << (tag - TAG_BIN8), &number) ||
        number > (uint64_t)(end - *at)) {
        return false;
    }
    *at += number;
    return true;
}

/// True if the bytes are one array of numbers and byte strings whose length a
/// batch can have. The library allocates for the length of an array before it
/// reads the elements, so this check comes first.
static bool
has_shape(struct str bytes)
{
    const unsigned char *at = (const unsigned char *)bytes.data;
    const unsigned char *end = at + bytes.len;
    uint64_t count;
    unsigned char tag;

    if (bytes.len == 0) {
        return false;
    }
    tag = *at++;
    if (tag >= TAG_FIXARRAY && tag < TAG_FIXARRAY + 16) {
        count = tag - TAG_FIXARRAY;
    }
    else if ((tag != TAG_ARRAY16 && tag != TAG_ARRAY32) ||
             !read_number(&at, end, tag == TAG_ARRAY16 ? 2 : 4, &count)) {
        return false;
    }
    if (count < HEAD_ELEMENTS ||
        count > HEAD_ELEMENTS + GROUP_ELEMENTS * GROUPS_MAX ||
        (count - HEAD_ELEMENTS) % GROUP_ELEMENTS != 0) {
        return false;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!skip_element(&at, end)) {
            return false;
        }
    }
    return at == end;
}

static bool
has_types(const msgpack_object *elements, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        bool is_ids =
            i >= HEAD_ELEMENTS && (i - HEAD_ELEMENTS) % GROUP_ELEMENTS == 2;

        if (elements[i].type != (is_ids ? MSGPACK_OBJECT_BIN
                                        : MSGPACK_OBJECT_POSITIVE_INTEGER) ||
            (is_ids && elements[i].via.bin.size % BUILDS_ID_BYTES != 0)) {
            return false;
        }
    }
    return true;
}

static void
note_logged(struct builds *builds, uint64_t service, uint64_t build,
            int64_t age_ms)
{
    struct logged *logged;
    int64_t expires_ms;
    bool is_new = false;

    HASH_FIND(hh, builds->logged, &build, sizeof(build), logged);
    if (logged == NULL) {
        if (HASH_COUNT(builds->logged) >= LOGGED_MAX) {
            remove_logged(builds, builds->logged);
        }
        logged = xcalloc(1, sizeof(*logged));
        logged->build = build;
        logged->service = service;
        HASH_ADD(hh, builds->logged, build, sizeof(logged->build), logged);
        is_new = true;
    }
    expires_ms = now_ms(builds) + logged_ms(builds) - age_ms;
    if (expires_ms > logged->expires_ms) {
        logged->expires_ms = expires_ms;
    }
    if (is_new) {
        share_streams(builds, service);
    }
}

static void
apply_group(struct builds *builds, const msgpack_object *group, int64_t age_ms,
            bool adopts)
{
    uint64_t service = group[0].via.u64;
    uint64_t build = group[1].via.u64;
    const unsigned char *ids = (const unsigned char *)group[2].via.bin.ptr;

    note_logged(builds, service, build, age_ms);
    if (adopts && group[2].via.bin.size > 0) {
        builds_see(builds, service, build, 0);
    }
    for (size_t at = 0; at < group[2].via.bin.size; at += BUILDS_ID_BYTES) {
        uint64_t id = get_id(ids + at);
        struct stream *stream = find_stream(builds, id);

        if (stream == NULL) {
            stream = add_stream(builds, id, service, build);
            stream->is_shared = !adopts;
        }
        if (adopts && !stream->is_shared) {
            add_pending(builds, stream);
        }
    }
}

/// Time since a batch was written.
static int64_t
age_of(const struct builds *builds, uint64_t written_ms)
{
    int64_t wall_ms = clock_ms(builds->options.wall_clock);

    return written_ms < (uint64_t)wall_ms ? wall_ms - (int64_t)written_ms : 0;
}

static bool
apply_batch(struct builds *builds, struct str batch, bool adopts,
            struct err *err)
{
    const msgpack_object *elements;
    msgpack_unpacked unpacked;
    size_t offset = 0;
    size_t count;
    int64_t age_ms;
    bool valid = false;

    msgpack_unpacked_init(&unpacked);
    if (!has_shape(batch) ||
        msgpack_unpack_next(&unpacked, batch.data, batch.len, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
        err_set(err, ERR_PROTOCOL, "decode", NULL,
                "%zu bytes are no batch of streams", batch.len);
        goto out;
    }
    elements = unpacked.data.via.array.ptr;
    count = unpacked.data.via.array.size;
    if (!has_types(elements, count) || elements[0].via.u64 != FORMAT) {
        err_set(err, ERR_PROTOCOL, "decode", NULL,
                "batch of %zu bytes has invalid fields or another format",
                batch.len);
        goto out;
    }
    valid = true;
    age_ms = age_of(builds, elements[1].via.u64);
    if (age_ms >= logged_ms(builds)) {
        goto out;
    }
    for (size_t i = HEAD_ELEMENTS; i < count; i += GROUP_ELEMENTS) {
        apply_group(builds, elements + i, age_ms, adopts);
    }
out:
    msgpack_unpacked_destroy(&unpacked);
    return valid;
}

bool
builds_apply(struct builds *builds, struct str batch, struct err *err)
{
    return apply_batch(builds, batch, false, err);
}

bool
builds_adopt(struct builds *builds, struct str batch, struct err *err)
{
    return apply_batch(builds, batch, true, err);
}

uint64_t
builds_queued(const struct builds *builds)
{
    return builds->written + builds->pending_count;
}

uint64_t
builds_written(const struct builds *builds)
{
    return builds->written;
}

size_t
builds_stream_count(const struct builds *builds)
{
    return HASH_COUNT(builds->streams);
}

size_t
builds_pending_count(const struct builds *builds)
{
    return builds->pending_count;
}

uint64_t
builds_dropped_count(const struct builds *builds)
{
    return builds->dropped;
}
