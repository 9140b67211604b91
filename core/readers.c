#include "readers.h"

#include <stdlib.h>

#include "xmalloc.h"

/// Levels of the staggered start; the last covers all further candidates.
#define STAGGER_LEVELS_MAX 5
/// A recovery older than this is no longer reported.
#define RECOVERED_AGE_MAX_MS 5000

struct tracked {
    struct message_beat beat;
    int64_t received_ms;
    bool forward; ///< not yet sent to the peers
};

struct readers {
    uint64_t own_id;
    uint32_t own_beat;
    bool own_reads;
    int64_t own_beat_ms;
    enum readers_role role;
    int64_t missing_since_ms; ///< too few readers since then; 0: enough
    int64_t recovered_ms;
    struct tracked tracked[READERS_TRACKED_MAX];
    size_t count;
};

struct readers *
readers_new(uint64_t own_id)
{
    struct readers *readers = xcalloc(1, sizeof(*readers));

    readers->own_id = own_id;
    return readers;
}

void
readers_free(struct readers *readers)
{
    free(readers);
}

static bool
is_fresh(const struct tracked *tracked, int64_t now_ms)
{
    return now_ms - tracked->received_ms < READERS_EXPIRY_MS;
}

/// The entry of a reader, an unused one, the one that has expired first, or
/// the one with the highest id, which matters least; NULL if all count and
/// have lower ids. Expired entries stay while there is space: a beat that a
/// paused router forwards late is known by them.
static struct tracked *
find_place(struct readers *readers, uint64_t id, int64_t now_ms)
{
    struct tracked *oldest = NULL, *highest = NULL;

    for (size_t i = 0; i < readers->count; i++) {
        struct tracked *tracked = &readers->tracked[i];

        if (tracked->beat.id == id) {
            return tracked;
        }
        if (oldest == NULL || tracked->received_ms < oldest->received_ms) {
            oldest = tracked;
        }
        if (highest == NULL || tracked->beat.id > highest->beat.id) {
            highest = tracked;
        }
    }
    if (readers->count < READERS_TRACKED_MAX) {
        readers->tracked[readers->count] = (struct tracked){0};
        return &readers->tracked[readers->count++];
    }
    if (!is_fresh(oldest, now_ms)) {
        *oldest = (struct tracked){0};
        return oldest;
    }
    if (highest->beat.id < id) {
        return NULL;
    }
    *highest = (struct tracked){0};
    return highest;
}

/// Takes over a recovery that another router reports; true if it is new.
static bool
learn_recovery(struct readers *readers, const struct message_beat *beat,
               int64_t now_ms)
{
    int64_t at_ms = now_ms - (int64_t)beat->recovered_age_ms;

    if (beat->recovered_age_ms == 0 ||
        beat->recovered_age_ms > RECOVERED_AGE_MAX_MS ||
        at_ms <= readers->recovered_ms) {
        return false;
    }
    // Beats of several routers report one recovery some milliseconds apart;
    // the first one counts.
    if (readers->recovered_ms > 0 &&
        at_ms - readers->recovered_ms < READERS_BEAT_MS) {
        return false;
    }
    readers->recovered_ms = at_ms;
    return true;
}

bool
readers_receive(struct readers *readers, const struct message_beat *beat,
                int64_t now_ms, bool *urgent)
{
    struct tracked *tracked;
    bool was_known;

    *urgent = false;
    if (beat->id == readers->own_id) {
        return false;
    }
    tracked = find_place(readers, beat->id, now_ms);
    if (tracked == NULL) {
        return false;
    }
    was_known = tracked->beat.id == beat->id;
    if (was_known && beat->beat <= tracked->beat.beat) {
        return false;
    }
    *urgent = !is_fresh(tracked, now_ms) || tracked->beat.reads != beat->reads;
    *urgent = learn_recovery(readers, beat, now_ms) || *urgent;
    tracked->beat = *beat;
    tracked->received_ms = now_ms;
    tracked->forward = true;
    return true;
}

void
readers_remove(struct readers *readers, uint64_t id)
{
    for (size_t i = 0; i < readers->count; i++) {
        if (readers->tracked[i].beat.id == id) {
            readers->tracked[i].beat.reads = false;
            return;
        }
    }
}

static size_t
count_active(const struct readers *readers, int64_t now_ms, uint64_t below)
{
    size_t count = 0;

    for (size_t i = 0; i < readers->count; i++) {
        const struct tracked *tracked = &readers->tracked[i];

        count += tracked->beat.reads && tracked->beat.id < below &&
                         is_fresh(tracked, now_ms)
                     ? 1
                     : 0;
    }
    return count;
}

size_t
readers_active(const struct readers *readers, int64_t now_ms)
{
    return count_active(readers, now_ms, UINT64_MAX);
}

/// Pause before a candidate begins to read: none for the first two, then
/// growing with the position.
static int64_t
stagger_ms(size_t position)
{
    size_t level = 0;

    while (position >= (size_t)2 << level && level < STAGGER_LEVELS_MAX) {
        level++;
    }
    return READERS_STAGGER_MS * (((int64_t)1 << level) - 1);
}

static bool
is_held(const struct readers_view *view)
{
    return view->has_targets && view->age_ms < READERS_START_HOLD_MS;
}

static enum readers_role
choose_role(struct readers *readers, const struct readers_view *view)
{
    size_t active =
        count_active(readers, view->now_ms, readers->own_id) + view->others;

    if (active >= READERS_COUNT) {
        readers->missing_since_ms = 0;
        return READERS_IDLE;
    }
    if (readers->missing_since_ms == 0 || is_held(view)) {
        readers->missing_since_ms = view->now_ms;
    }
    if (readers->role == READERS_IDLE &&
        (is_held(view) || view->now_ms - readers->missing_since_ms <
                              stagger_ms(view->lower_ids))) {
        return READERS_IDLE;
    }
    if (active > 0) {
        return READERS_STANDBY;
    }
    return view->lower_ids >= READERS_COUNT ? READERS_SUBSTITUTE
                                            : READERS_PRIMARY;
}

enum readers_role
readers_update(struct readers *readers, const struct readers_view *view)
{
    readers->role = choose_role(readers, view);
    return readers->role;
}

static uint32_t
recovered_age_ms(const struct readers *readers, int64_t now_ms)
{
    int64_t age_ms = now_ms - readers->recovered_ms;

    if (readers->recovered_ms == 0 || age_ms > RECOVERED_AGE_MAX_MS) {
        return 0;
    }
    return age_ms > 0 ? (uint32_t)age_ms : 1;
}

void
readers_make_beat(struct readers *readers, bool reads, int64_t now_ms,
                  struct message_beat *beat)
{
    readers->own_reads = reads;
    readers->own_beat_ms = now_ms;
    *beat = (struct message_beat){
        .id = readers->own_id,
        .beat = ++readers->own_beat,
        .reads = reads,
        .recovered_age_ms = recovered_age_ms(readers, now_ms),
    };
}

bool
readers_next_beat(struct readers *readers, bool reads, int64_t now_ms,
                  struct message_beat *beat)
{
    bool changed = reads != readers->own_reads;

    if (!changed &&
        (!reads || now_ms - readers->own_beat_ms < READERS_BEAT_MS)) {
        return false;
    }
    readers_make_beat(readers, reads, now_ms, beat);
    return true;
}

size_t
readers_take_forwards(struct readers *readers, int64_t now_ms,
                      struct message_beat *beats)
{
    size_t count = 0;

    for (size_t i = 0; i < readers->count; i++) {
        struct tracked *tracked = &readers->tracked[i];

        if (!tracked->forward) {
            continue;
        }
        tracked->forward = false;
        beats[count] = tracked->beat;
        if (beats[count].recovered_age_ms > 0) {
            beats[count].recovered_age_ms +=
                (uint32_t)(now_ms - tracked->received_ms);
        }
        count++;
    }
    return count;
}

void
readers_set_recovered(struct readers *readers, int64_t now_ms)
{
    readers->recovered_ms = now_ms;
}

int64_t
readers_recovered_ms(const struct readers *readers)
{
    return readers->recovered_ms;
}

const char *
readers_role_name(enum readers_role role)
{
    static const char *const names[] = {
        [READERS_IDLE] = "idle",
        [READERS_PRIMARY] = "primary",
        [READERS_STANDBY] = "standby",
        [READERS_SUBSTITUTE] = "substitute",
    };

    return names[role];
}
