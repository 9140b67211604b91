#include "warmup.h"

struct sender_plan
warmup_make_plan(const struct warmup_limits *limits)
{
    return sender_plan_make(
        limits->per_s, 1, limits->per_s * limits->rate_factor + limits->slack,
        SIZE_MAX);
}

const char *
warmup_source_name(enum warmup_source source)
{
    static const char *const names[] = {
        [WARMUP_ENTRY] = "entry",
        [WARMUP_ANSWER] = "answer",
        [WARMUP_RESTART] = "restart",
        [WARMUP_EVACUATION] = "evacuation",
    };

    return names[source];
}

static bool
is_suspected(const struct warmup *warmup, int64_t now_ms)
{
    return warmup->suspected_ms != 0 &&
           now_ms - warmup->suspected_ms < WARMUP_SUSPECT_MAX_MS;
}

bool
warmup_is_cold(const struct warmup *warmup, int64_t now_ms)
{
    return now_ms < warmup->until_ms || is_suspected(warmup, now_ms);
}

int64_t
warmup_left_ms(const struct warmup *warmup, int64_t now_ms)
{
    int64_t until_ms = warmup->until_ms;

    if (is_suspected(warmup, now_ms) &&
        warmup->suspected_ms + WARMUP_SUSPECT_MAX_MS > until_ms) {
        until_ms = warmup->suspected_ms + WARMUP_SUSPECT_MAX_MS;
    }
    return until_ms > now_ms ? until_ms - now_ms : 0;
}

/// The first request may be sent one interval after the endpoint has become
/// cold, so that a state that was lost and is learned again allows no second
/// burst.
static void
begin(struct warmup *warmup, int64_t now_ms)
{
    if (!warmup_is_cold(warmup, now_ms)) {
        warmup->begun_ms = now_ms;
    }
}

bool
warmup_extend(struct warmup *warmup, int64_t now_ms, int64_t left_ms,
              enum warmup_source source)
{
    if (left_ms > WARMUP_LEFT_MAX_MS) {
        left_ms = WARMUP_LEFT_MAX_MS;
    }
    if (left_ms <= 0 || now_ms + left_ms <= warmup->until_ms) {
        return false;
    }
    begin(warmup, now_ms);
    warmup->until_ms = now_ms + left_ms;
    warmup->source = source;
    return true;
}

bool
warmup_suspect(struct warmup *warmup, int64_t now_ms, bool refused)
{
    bool is_new = !is_suspected(warmup, now_ms);

    warmup->refused =
        refused || (warmup->refused && warmup_is_cold(warmup, now_ms));
    begin(warmup, now_ms);
    warmup->suspected_ms = now_ms;
    if (is_new && now_ms >= warmup->until_ms) {
        warmup->source = WARMUP_RESTART;
    }
    return is_new;
}

bool
warmup_entry_may_be_old(const struct warmup *warmup, int64_t now_ms)
{
    return warmup->refused &&
           (is_suspected(warmup, now_ms) ||
            (now_ms < warmup->until_ms && warmup->source == WARMUP_RESTART));
}

bool
warmup_answered(struct warmup *warmup, int64_t now_ms, int64_t connected_ms,
                int64_t sent_ms, int64_t start_ms)
{
    if (!is_suspected(warmup, now_ms)) {
        return false;
    }
    if (connected_ms < warmup->suspected_ms) {
        if (sent_ms < warmup->suspected_ms &&
            now_ms - warmup->suspected_ms < WARMUP_IN_TRANSIT_MS) {
            return false;
        }
        warmup->suspected_ms = 0;
        return true;
    }
    warmup_extend(warmup, now_ms, start_ms, WARMUP_RESTART);
    warmup->suspected_ms = 0;
    return true;
}

bool
warmup_renewed(struct warmup *warmup, int64_t now_ms, int64_t start_ms)
{
    if (!is_suspected(warmup, now_ms) ||
        now_ms - warmup->suspected_ms < WARMUP_ENTRY_LAG_MS) {
        return false;
    }
    warmup_extend(warmup, now_ms, start_ms, WARMUP_RESTART);
    warmup->suspected_ms = 0;
    return true;
}

int64_t
warmup_wait_ms(const struct warmup *warmup, const struct sender_plan *plan,
               int64_t now_ms)
{
    double last_ms = (double)warmup->begun_ms > warmup->sent_ms
                         ? (double)warmup->begun_ms
                         : warmup->sent_ms;
    double wait_ms;

    if (plan->per_s <= 0) {
        return warmup_left_ms(warmup, now_ms);
    }
    wait_ms = last_ms + 1000 / plan->per_s - (double)now_ms;
    return wait_ms > 0 ? (int64_t)wait_ms + 1 : 0;
}

void
warmup_take(struct warmup *warmup, int64_t now_ms)
{
    warmup->sent_ms = (double)now_ms;
}
