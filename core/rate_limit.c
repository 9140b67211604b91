#include "rate_limit.h"

static enum rate_limit_change
apply(struct rate_limit *limit, const struct rate_limit_statement *statement)
{
    limit->confirmed_ms = statement->at_ms;
    if (limit->holds == statement->is_stated &&
        (!limit->holds || limit->per_s == statement->per_s)) {
        return RATE_LIMIT_UNCHANGED;
    }
    limit->changed_ms = statement->at_ms;
    if (!statement->is_stated) {
        limit->holds = false;
        return RATE_LIMIT_ENDED;
    }
    limit->per_s = statement->per_s;
    if (limit->holds) {
        return RATE_LIMIT_CHANGED;
    }
    limit->holds = true;
    limit->has_held = true;
    limit->begun_ms = statement->at_ms;
    limit->sent = 0;
    return RATE_LIMIT_BEGUN;
}

enum rate_limit_change
rate_limit_answered(struct rate_limit *limit,
                    const struct rate_limit_statement *statement)
{
    bool loosens = limit->holds &&
                   (!statement->is_stated || statement->per_s > limit->per_s);
    enum rate_limit_change change;

    if (loosens && statement->sent_ms < limit->changed_ms) {
        return RATE_LIMIT_UNCHANGED;
    }
    change = apply(limit, statement);
    if (change != RATE_LIMIT_UNCHANGED ||
        (limit->holds &&
         statement->at_ms - limit->reported_ms >= RATE_LIMIT_RENEW_MS)) {
        limit->report_due = true;
    }
    return change;
}

enum rate_limit_change
rate_limit_reported(struct rate_limit *limit, int64_t now_ms,
                    const struct rate_limit_statement *statement, bool relays)
{
    enum rate_limit_change change;

    if (statement->at_ms <= limit->confirmed_ms) {
        return RATE_LIMIT_UNCHANGED;
    }
    change = apply(limit, statement);
    if (relays && (change != RATE_LIMIT_UNCHANGED ||
                   now_ms - limit->reported_ms >= RATE_LIMIT_RENEW_MS)) {
        limit->report_due = true;
    }
    else if (!limit->report_due) {
        limit->reported_ms = now_ms;
    }
    return change;
}

static double
effective_per_s(const struct rate_limit *limit)
{
    return limit->per_s > RATE_LIMIT_MIN_PER_S ? limit->per_s
                                               : RATE_LIMIT_MIN_PER_S;
}

struct sender_plan
rate_limit_plan(const struct rate_limit *limit, size_t routers)
{
    double bound = limit->per_s * RATE_LIMIT_WINDOW_S * RATE_LIMIT_FACTOR +
                   RATE_LIMIT_SLACK;

    return sender_plan_make(effective_per_s(limit), RATE_LIMIT_WINDOW_S, bound,
                            routers);
}

/// Time until a sender may send. The first requests of the senders are spread
/// over their interval.
static int64_t
sender_wait_ms(const struct rate_limit *limit,
               const struct rate_limit_place *place,
               const struct sender_plan *plan, int64_t now_ms)
{
    double interval_ms = 1000 / plan->per_s;
    double first_ms = (double)limit->begun_ms + interval_ms *
                                                    (double)(place->rank + 1) /
                                                    (double)plan->senders;
    double next_ms = (double)limit->sent_ms + interval_ms;
    double wait_ms;

    if (limit->sent == 0 || next_ms < first_ms) {
        next_ms = first_ms;
    }
    wait_ms = next_ms - (double)now_ms;
    if (wait_ms > 0) {
        return (int64_t)wait_ms + 1;
    }
    return place->standing_wait_ms;
}

/// Time until this router's turn to try an endpoint whose statement may have
/// ended.
static int64_t
turn_wait_ms(const struct rate_limit *limit,
             const struct rate_limit_place *place, int64_t now_ms)
{
    int64_t first_ms = limit->confirmed_ms + RATE_LIMIT_STALE_MS +
                       (int64_t)place->rank * RATE_LIMIT_TRY_MS;
    int64_t interval_ms = (int64_t)place->routers * RATE_LIMIT_TRY_MS;
    int64_t turn_ms;

    if (now_ms < first_ms) {
        return first_ms - now_ms;
    }
    turn_ms = first_ms + (now_ms - first_ms) / interval_ms * interval_ms;
    return limit->sent_ms < turn_ms ? 0 : turn_ms + interval_ms - now_ms;
}

int64_t
rate_limit_wait_ms(const struct rate_limit *limit,
                   const struct rate_limit_place *place, int64_t now_ms)
{
    struct sender_plan plan;
    int64_t wait_ms, turn_ms;

    if (!limit->holds) {
        return 0;
    }
    plan = rate_limit_plan(limit, place->routers);
    if (place->rank < plan.senders && plan.per_s > 0) {
        wait_ms = sender_wait_ms(limit, place, &plan, now_ms);
    }
    else {
        wait_ms = (int64_t)(1000 / effective_per_s(limit));
    }
    turn_ms = turn_wait_ms(limit, place, now_ms);
    return turn_ms < wait_ms ? turn_ms : wait_ms;
}

void
rate_limit_take(struct rate_limit *limit, int64_t now_ms)
{
    limit->sent_ms = now_ms;
    limit->sent++;
}

bool
rate_limit_take_report(struct rate_limit *limit, int64_t now_ms)
{
    bool is_due = limit->report_due;

    if (is_due) {
        limit->report_due = false;
        limit->reported_ms = now_ms;
    }
    return is_due;
}

bool
rate_limit_is_known(const struct rate_limit *limit, int64_t now_ms)
{
    return limit->holds || (limit->has_held &&
                            now_ms - limit->changed_ms < RATE_LIMIT_ENDED_MS);
}
