#include "suspects.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "xmalloc.h"

#define STRIKES_MAX SUSPECTS_HOLD_WEIGHT_ANSWERED

struct strike {
    uint32_t crash_id;
    uint32_t weight;
    int64_t at_ms;
};

/// The evidence against a part.
struct evidence {
    struct strike strikes[STRIKES_MAX];
    size_t strike_count;
    uint64_t companions[MESSAGE_PARTS_MAX];
    size_t companion_count;
    uint32_t hold_weight; ///< weight at which the part is held
    int64_t held_ms;      ///< since when; 0: not held
    uint32_t holds;       ///< times that it has been held
    bool tried;           ///< in the present hold
};

struct part {
    uint64_t id;
    int64_t answered_ms; ///< last answer, here or at a peer; -1: none
    int64_t answered_here_ms;
    int64_t announced_ms;
    struct evidence *evidence; ///< NULL: not blamed
    struct part *prev;
    struct part *next;
    struct part *blamed_prev;
    struct part *blamed_next;
    UT_hash_handle hh;
};

struct suspects {
    struct suspects_options options;
    struct part *by_id;
    struct part *by_use; ///< least recently used first
    struct part *blamed;
    size_t held_count;
};

struct suspects *
suspects_new(const struct suspects_options *options)
{
    struct suspects *suspects = xcalloc(1, sizeof(*suspects));

    suspects->options = *options;
    return suspects;
}

static int64_t
now(const struct suspects *suspects)
{
    return clock_ms(suspects->options.clock);
}

static void
drop_evidence(struct suspects *suspects, struct part *part)
{
    if (part->evidence == NULL) {
        return;
    }
    suspects->held_count -= part->evidence->held_ms != 0 ? 1 : 0;
    DL_DELETE2(suspects->blamed, part, blamed_prev, blamed_next);
    free(part->evidence);
    part->evidence = NULL;
}

static void
remove_part(struct suspects *suspects, struct part *part)
{
    drop_evidence(suspects, part);
    HASH_DEL(suspects->by_id, part);
    DL_DELETE(suspects->by_use, part);
    free(part);
}

void
suspects_free(struct suspects *suspects)
{
    if (suspects == NULL) {
        return;
    }
    while (suspects->by_use != NULL) {
        remove_part(suspects, suspects->by_use);
    }
    free(suspects);
}

static struct part *
find(const struct suspects *suspects, uint64_t id)
{
    struct part *part;

    HASH_FIND(hh, suspects->by_id, &id, sizeof(id), part);
    return part;
}

/// Evicts the least recently used part that is not blamed, or else the one
/// that is.
static void
evict(struct suspects *suspects)
{
    struct part *part;

    DL_FOREACH(suspects->by_use, part)
    {
        if (part->evidence == NULL) {
            remove_part(suspects, part);
            return;
        }
    }
    remove_part(suspects, suspects->by_use);
}

/// Finds or adds a part and marks it as used.
static struct part *
touch(struct suspects *suspects, uint64_t id)
{
    struct part *part = find(suspects, id);

    if (part != NULL) {
        DL_DELETE(suspects->by_use, part);
        DL_APPEND(suspects->by_use, part);
        return part;
    }
    if (HASH_COUNT(suspects->by_id) >= suspects->options.parts_max) {
        evict(suspects);
    }
    part = xcalloc(1, sizeof(*part));
    part->id = id;
    part->answered_ms = -1;
    part->answered_here_ms = -1;
    part->announced_ms = -1;
    HASH_ADD(hh, suspects->by_id, id, sizeof(part->id), part);
    DL_APPEND(suspects->by_use, part);
    return part;
}

static bool
contains(const uint64_t *parts, size_t count, uint64_t id)
{
    for (size_t i = 0; i < count; i++) {
        if (parts[i] == id) {
            return true;
        }
    }
    return false;
}

static void
end_hold(struct suspects *suspects, struct evidence *evidence)
{
    if (evidence->held_ms != 0) {
        evidence->held_ms = 0;
        suspects->held_count--;
    }
}

static int64_t
hold_duration_ms(const struct evidence *evidence)
{
    switch (evidence->holds) {
    case 1:
        return SUSPECTS_HOLD_MS;
    case 2:
        return SUSPECTS_HOLD_SECOND_MS;
    default:
        return SUSPECTS_HOLD_MAX_MS;
    }
}

static bool
is_trial_due(const struct evidence *evidence, int64_t now_ms)
{
    return !evidence->tried && evidence->holds <= 2 &&
           now_ms - evidence->held_ms >=
               hold_duration_ms(evidence) / SUSPECTS_TRIAL_DIVISOR;
}

/// A hold that has run out ends; the evidence stays, so that the next crash
/// begins another one.
static bool
is_held(struct suspects *suspects, struct part *part)
{
    struct evidence *evidence = part->evidence;

    if (evidence == NULL || evidence->held_ms == 0) {
        return false;
    }
    if (now(suspects) - evidence->held_ms >= hold_duration_ms(evidence)) {
        end_hold(suspects, evidence);
    }
    return evidence->held_ms != 0;
}

/// The held part, if any, for which the request contains all companions.
static struct part *
find_held(struct suspects *suspects, const uint64_t *parts, size_t count)
{
    if (suspects->held_count == 0) {
        return NULL;
    }
    for (size_t i = 0; i < count; i++) {
        struct part *part = find(suspects, parts[i]);
        bool complete = true;

        if (part == NULL || !is_held(suspects, part)) {
            continue;
        }
        for (size_t j = 0; j < part->evidence->companion_count; j++) {
            complete = complete &&
                       contains(parts, count, part->evidence->companions[j]);
        }
        if (complete) {
            return part;
        }
    }
    return NULL;
}

static uint32_t
sum_weights(const struct evidence *evidence)
{
    uint32_t sum = 0;

    for (size_t i = 0; i < evidence->strike_count; i++) {
        sum += evidence->strikes[i].weight;
    }
    return sum;
}

static void
drop_old_strikes(struct evidence *evidence, int64_t now_ms)
{
    size_t kept = 0;

    for (size_t i = 0; i < evidence->strike_count; i++) {
        if (now_ms - evidence->strikes[i].at_ms < SUSPECTS_EVIDENCE_MS) {
            evidence->strikes[kept++] = evidence->strikes[i];
        }
    }
    evidence->strike_count = kept;
}

static struct strike *
oldest_strike(struct evidence *evidence)
{
    struct strike *oldest = &evidence->strikes[0];

    for (size_t i = 1; i < evidence->strike_count; i++) {
        if (evidence->strikes[i].at_ms < oldest->at_ms) {
            oldest = &evidence->strikes[i];
        }
    }
    return oldest;
}

/// Adds a strike. False if its crash, or one at about the same time, counts
/// already with this weight.
static bool
add_strike(struct evidence *evidence, const struct strike *strike)
{
    for (size_t i = 0; i < evidence->strike_count; i++) {
        struct strike *other = &evidence->strikes[i];
        int64_t gap_ms = other->at_ms > strike->at_ms
                             ? other->at_ms - strike->at_ms
                             : strike->at_ms - other->at_ms;

        if (other->crash_id == strike->crash_id ||
            gap_ms < SUSPECTS_SPACING_MS) {
            bool heavier = strike->weight > other->weight;

            other->weight = heavier ? strike->weight : other->weight;
            return heavier;
        }
    }
    if (evidence->strike_count < STRIKES_MAX) {
        evidence->strikes[evidence->strike_count++] = *strike;
        return true;
    }
    if (oldest_strike(evidence)->at_ms < strike->at_ms) {
        *oldest_strike(evidence) = *strike;
        return true;
    }
    return false;
}

static void
set_companions(struct evidence *evidence, uint64_t id, const uint64_t *parts,
               size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (parts[i] != id) {
            evidence->companions[evidence->companion_count++] = parts[i];
        }
    }
}

/// Drops the companions that were not present at a crash; true if there are
/// any.
static bool
narrow_companions(struct evidence *evidence, const uint64_t *parts,
                  size_t count)
{
    size_t before = evidence->companion_count;
    size_t kept = 0;

    for (size_t i = 0; i < before; i++) {
        if (contains(parts, count, evidence->companions[i])) {
            evidence->companions[kept++] = evidence->companions[i];
        }
    }
    evidence->companion_count = kept;
    return kept < before;
}

static struct evidence *
begin_evidence(struct suspects *suspects, struct part *part, int64_t at_ms)
{
    bool was_answered = part->answered_ms >= 0 &&
                        at_ms - part->answered_ms < SUSPECTS_ANSWERED_MS;

    part->evidence = xcalloc(1, sizeof(*part->evidence));
    part->evidence->hold_weight =
        was_answered ? SUSPECTS_HOLD_WEIGHT_ANSWERED : SUSPECTS_HOLD_WEIGHT;
    DL_APPEND2(suspects->blamed, part, blamed_prev, blamed_next);
    return part->evidence;
}

/// Begins a hold, or renews it after a crash of a request that was let
/// through; a late report of an earlier crash does not.
static void
begin_hold(struct suspects *suspects, struct evidence *evidence,
           int64_t crash_ms)
{
    int64_t now_ms = now(suspects);
    bool is_renewed = evidence->held_ms != 0;

    if (is_renewed && crash_ms <= evidence->held_ms) {
        return;
    }
    if (!is_renewed || now_ms - evidence->held_ms >= SUSPECTS_CONFIRM_MS) {
        evidence->holds++;
        evidence->tried = false;
    }
    evidence->held_ms = now_ms > 0 ? now_ms : 1;
    suspects->held_count += is_renewed ? 0 : 1;
}

/// Adds a crash to the evidence against a part; true if it is new.
static bool
blame_part(struct suspects *suspects, struct part *part,
           const struct strike *strike, const uint64_t *parts, size_t count)
{
    struct evidence *evidence = part->evidence;
    bool is_first = evidence == NULL;
    bool is_new, narrowed = false;

    if (is_first) {
        evidence = begin_evidence(suspects, part, strike->at_ms);
        set_companions(evidence, part->id, parts, count);
    }
    else {
        narrowed = narrow_companions(evidence, parts, count);
    }
    if (evidence->holds == 0) {
        drop_old_strikes(evidence, now(suspects));
    }
    is_new = add_strike(evidence, strike);
    is_held(suspects, part);
    if (is_new && sum_weights(evidence) >= evidence->hold_weight) {
        begin_hold(suspects, evidence, strike->at_ms);
    }
    return is_new || narrowed;
}

static bool
is_immune(const struct part *part, int64_t at_ms)
{
    return part->answered_ms >= 0 &&
           at_ms - part->answered_ms < SUSPECTS_IMMUNE_MS;
}

/// True if peers are to be told that the part was answered here.
static bool
take_announcement(struct part *part, int64_t now_ms, int64_t at_ms)
{
    if (part->answered_here_ms < 0 ||
        at_ms - part->answered_here_ms >= SUSPECTS_IMMUNE_MS ||
        (part->announced_ms >= 0 &&
         now_ms - part->announced_ms < SUSPECTS_ANNOUNCE_MS)) {
        return false;
    }
    part->announced_ms = now_ms;
    return true;
}

bool
suspects_blame(struct suspects *suspects, const struct message_blame *blame,
               uint64_t *answered, size_t *answered_count)
{
    int64_t now_ms = now(suspects);
    const struct strike strike = {
        .crash_id = blame->crash_id,
        .weight =
            blame->begun ? SUSPECTS_WEIGHT_BEGUN : SUSPECTS_WEIGHT_WAITING,
        .at_ms = now_ms - (int64_t)blame->age_ms,
    };
    struct part *held;
    uint64_t open[MESSAGE_PARTS_MAX];
    size_t open_count = 0;
    bool is_new = false;

    *answered_count = 0;
    for (size_t i = 0; i < blame->part_count; i++) {
        struct part *part = touch(suspects, blame->parts[i]);

        if (!is_immune(part, strike.at_ms)) {
            open[open_count++] = part->id;
        }
        else if (take_announcement(part, now_ms, strike.at_ms)) {
            answered[(*answered_count)++] = part->id;
        }
    }
    // A held part explains the crash: its companions are not blamed further.
    held = find_held(suspects, blame->parts, blame->part_count);
    if (held != NULL) {
        return blame_part(suspects, held, &strike, open, open_count);
    }
    for (size_t i = 0; i < open_count; i++) {
        is_new = blame_part(suspects, touch(suspects, open[i]), &strike, open,
                            open_count) ||
                 is_new;
    }
    return is_new;
}

/// The part is sound: it is no companion of a blamed one.
static void
remove_companion(struct suspects *suspects, uint64_t id)
{
    struct part *part;

    DL_FOREACH2(suspects->blamed, part, blamed_next)
    {
        struct evidence *evidence = part->evidence;
        size_t kept = 0;

        for (size_t i = 0; i < evidence->companion_count; i++) {
            if (evidence->companions[i] != id) {
                evidence->companions[kept++] = evidence->companions[i];
            }
        }
        evidence->companion_count = kept;
    }
}

size_t
suspects_answered(struct suspects *suspects, const uint64_t *parts,
                  size_t count, bool is_local, uint64_t *cleared)
{
    int64_t now_ms = now(suspects);
    size_t cleared_count = 0;

    for (size_t i = 0; i < count; i++) {
        struct part *part = touch(suspects, parts[i]);

        part->answered_ms = now_ms;
        if (is_local) {
            part->answered_here_ms = now_ms;
        }
        if (part->evidence != NULL) {
            drop_evidence(suspects, part);
            remove_companion(suspects, part->id);
            part->announced_ms = now_ms;
            cleared[cleared_count++] = part->id;
        }
    }
    return cleared_count;
}

enum suspects_verdict
suspects_check(struct suspects *suspects, const uint64_t *parts, size_t count,
               bool may_try, uint64_t *id)
{
    struct part *part = find_held(suspects, parts, count);

    if (part == NULL) {
        return SUSPECTS_CLEAR;
    }
    *id = part->id;
    if (may_try && is_trial_due(part->evidence, now(suspects))) {
        part->evidence->tried = true;
        return SUSPECTS_TRIAL;
    }
    return SUSPECTS_HELD;
}

/// The age of a strike against a held part. It counts at the receiver however
/// old it is, and as a crash of its own.
static uint32_t
stated_age_ms(int64_t age_ms, size_t index)
{
    int64_t max_ms =
        SUSPECTS_EVIDENCE_MS / 2 + (int64_t)index * SUSPECTS_SPACING_MS;

    return (uint32_t)(age_ms < max_ms ? age_ms : max_ms);
}

void
suspects_each_held(struct suspects *suspects,
                   void (*visit)(void *ctx, const struct message_blame *blame),
                   void *ctx)
{
    int64_t now_ms = now(suspects);
    struct part *part;

    DL_FOREACH2(suspects->blamed, part, blamed_next)
    {
        const struct evidence *evidence = part->evidence;
        struct message_blame blame = {.parts = {part->id}, .part_count = 1};

        if (!is_held(suspects, part)) {
            continue;
        }
        memcpy(&blame.parts[1], evidence->companions,
               evidence->companion_count * sizeof(evidence->companions[0]));
        blame.part_count += evidence->companion_count;
        for (size_t i = 0; i < evidence->strike_count; i++) {
            const struct strike *strike = &evidence->strikes[i];

            blame.crash_id = strike->crash_id;
            blame.age_ms = stated_age_ms(now_ms - strike->at_ms, i);
            blame.begun = strike->weight == SUSPECTS_WEIGHT_BEGUN;
            visit(ctx, &blame);
        }
    }
}

uint32_t
suspects_weight(const struct suspects *suspects, uint64_t id)
{
    const struct part *part = find(suspects, id);

    return part != NULL && part->evidence != NULL ? sum_weights(part->evidence)
                                                  : 0;
}

size_t
suspects_held_count(struct suspects *suspects)
{
    struct part *part;

    if (suspects->held_count > 0) {
        DL_FOREACH2(suspects->blamed, part, blamed_next)
        {
            is_held(suspects, part);
        }
    }
    return suspects->held_count;
}

size_t
suspects_shared_parts(const struct prefix *prefix, uint64_t *parts)
{
    size_t count = 0;

    for (size_t i = 0; i + 1 < prefix->count && count < MESSAGE_PARTS_MAX;
         i++) {
        parts[count++] = prefix->parts[i].id;
    }
    return count;
}
