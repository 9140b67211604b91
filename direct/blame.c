#include "blame.h"

#include <stdio.h>

#include "direct_private.h"
#include "mesh.h"
#include "net/log.h"

#define LOG_MODULE "blame"

#define PARTS_KNOWN_MAX 10000
/// Reports of crashes per second. When many endpoints crash at once, the
/// reports of all routers would fill the links. Those about requests that only
/// waited show little and have a limit of their own.
#define BEGUN_SENDS_PER_S 40
#define BEGUN_SENDS_BURST 16
#define WAITING_SENDS_PER_S 10
#define WAITING_SENDS_BURST 2
/// Reports of peers that are forwarded per second.
#define FORWARDS_PER_S 200
#define FORWARDS_BURST 100

void
blame_init(struct direct *direct)
{
    const struct clock *clock = direct->options.clock;

    direct->blame.suspects = suspects_new(&(struct suspects_options){
        .clock = clock,
        .parts_max = PARTS_KNOWN_MAX,
    });
    bucket_init(&direct->blame.begun_sends, clock, BEGUN_SENDS_PER_S,
                BEGUN_SENDS_BURST);
    bucket_init(&direct->blame.waiting_sends, clock, WAITING_SENDS_PER_S,
                WAITING_SENDS_BURST);
    bucket_init(&direct->blame.forwards, clock, FORWARDS_PER_S,
                FORWARDS_BURST);
}

void
blame_destroy(struct direct *direct)
{
    suspects_free(direct->blame.suspects);
}

const char *
blame_format_parts(const uint64_t *parts, size_t count,
                   char text[BLAME_PARTS_TEXT_BYTES])
{
    size_t at = 0;

    text[0] = '\0';
    for (size_t i = 0; i < count && i < MESSAGE_PARTS_MAX; i++) {
        at += (size_t)snprintf(text + at, BLAME_PARTS_TEXT_BYTES - at,
                               "%s%08x", i > 0 ? "," : "", (uint32_t)parts[i]);
    }
    return text;
}

static void
log_blame(const struct direct *direct, const struct message_blame *blame,
          const char *source)
{
    char parts[BLAME_PARTS_TEXT_BYTES];
    char weights[MESSAGE_PARTS_MAX * 4 + 1] = "";
    size_t at = 0;

    for (size_t i = 0; i < blame->part_count; i++) {
        at += (size_t)snprintf(
            weights + at, sizeof(weights) - at, "%s%u", i > 0 ? "," : "",
            suspects_weight(direct->blame.suspects, blame->parts[i]));
    }
    LOG_INFO("event=blame source=%s crash=%08x begun=%d age_ms=%u parts=%s "
             "weights=%s held=%zu",
             source, blame->crash_id, blame->begun, blame->age_ms,
             blame_format_parts(blame->parts, blame->part_count, parts),
             weights, suspects_held_count(direct->blame.suspects));
}

/// Adds evidence; true if it is new.
static bool
add_blame(struct direct *direct, const struct message_blame *blame,
          const char *source)
{
    uint64_t answered[MESSAGE_PARTS_MAX];
    size_t answered_count;
    bool is_new = suspects_blame(direct->blame.suspects, blame, answered,
                                 &answered_count);

    if (is_new) {
        log_blame(direct, blame, source);
    }
    if (answered_count > 0 && direct->mesh != NULL) {
        mesh_queue_answered(direct->mesh, answered, answered_count);
    }
    return is_new;
}

static void
add_answered(struct direct *direct, const uint64_t *parts, size_t count,
             bool is_local)
{
    uint64_t cleared[MESSAGE_ANSWERED_MAX];
    size_t cleared_count = suspects_answered(direct->blame.suspects, parts,
                                             count, is_local, cleared);
    char text[BLAME_PARTS_TEXT_BYTES];

    if (cleared_count == 0) {
        return;
    }
    LOG_INFO("event=blame-cleared source=%s parts=%s held=%zu",
             is_local ? "answer" : "peer",
             blame_format_parts(cleared, cleared_count, text),
             suspects_held_count(direct->blame.suspects));
    if (direct->mesh != NULL) {
        mesh_queue_answered(direct->mesh, cleared, cleared_count);
    }
}

void
blame_record_crash(struct direct *direct, const struct prefix *prefix,
                   uint32_t crash_id, bool begun)
{
    struct message_blame blame = {.crash_id = crash_id, .begun = begun};
    struct bucket *sends =
        begun ? &direct->blame.begun_sends : &direct->blame.waiting_sends;

    blame.part_count = suspects_shared_parts(prefix, blame.parts);
    if (blame.part_count > 0 && add_blame(direct, &blame, "own") &&
        direct->mesh != NULL && bucket_take(sends, 1)) {
        mesh_queue_blame(direct->mesh, &blame);
    }
}

void
blame_record_answer(struct direct *direct, const struct prefix *prefix)
{
    uint64_t parts[MESSAGE_PARTS_MAX];

    add_answered(direct, parts, suspects_shared_parts(prefix, parts), true);
}

bool
blame_holds(struct direct *direct, const struct prefix *prefix,
            const char *request_id, bool may_try)
{
    uint64_t parts[MESSAGE_PARTS_MAX];
    size_t count = suspects_shared_parts(prefix, parts);
    struct suspects *suspects = direct->blame.suspects;
    enum suspects_verdict verdict;
    uint64_t part = 0;

    if (suspects_held_count(suspects) == 0) {
        return false;
    }
    verdict = suspects_check(suspects, parts, count, false, &part);
    if (verdict == SUSPECTS_CLEAR) {
        return false;
    }
    may_try = may_try && (direct->mesh == NULL ||
                          mesh_is_ranked_among(direct->mesh, part, 1));
    verdict = suspects_check(suspects, parts, count, may_try, &part);
    LOG_INFO("event=part-%s id=%s part=%08x weight=%u",
             verdict == SUSPECTS_TRIAL ? "tried" : "held", request_id,
             (uint32_t)part, suspects_weight(suspects, part));
    return verdict == SUSPECTS_HELD;
}

void
blame_receive(struct direct *direct, const struct message_blame *blame)
{
    if (blame->part_count > 0 && add_blame(direct, blame, "peer") &&
        bucket_take(&direct->blame.forwards, 1)) {
        mesh_queue_blame(direct->mesh, blame);
    }
}

void
blame_receive_answered(struct direct *direct, const uint64_t *parts,
                       size_t count)
{
    add_answered(direct, parts, count, false);
}

/// The evidence against held parts, for one peer.
struct held_list {
    struct message_blame items[MESSAGE_BLAMES_MAX];
    size_t count;
};

static void
list_blame(void *ctx, const struct message_blame *blame)
{
    struct held_list *list = ctx;

    if (list->count < MESSAGE_BLAMES_MAX) {
        list->items[list->count++] = *blame;
    }
}

void
blame_send_held(struct direct *direct, struct link *link)
{
    struct held_list list = {.count = 0};

    suspects_each_held(direct->blame.suspects, list_blame, &list);
    if (list.count > 0) {
        mesh_send_blames(direct->mesh, link, list.items, list.count);
    }
}
