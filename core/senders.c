#include "senders.h"

/// Requests that one sender may send in a window beyond its rate.
#define BURST 1.0

struct sender_plan
sender_plan_make(double per_s, double window_s, double bound, size_t routers)
{
    // Half of the slack is the burst of the senders, the other half is left
    // for senders that disagree about the members.
    double wanted = (bound - per_s * window_s) / (2 * BURST);
    struct sender_plan plan = {.senders = 1};
    size_t extra;
    double most;

    if (wanted > 1) {
        plan.senders = wanted < (double)routers ? (size_t)wanted : routers;
    }
    extra = plan.senders < SENDERS_EXTRA ? plan.senders : SENDERS_EXTRA;
    most = (bound / (double)(plan.senders + extra) - BURST) / window_s;
    plan.per_s = per_s / (double)plan.senders;
    if (plan.per_s > most) {
        plan.per_s = most > 0 ? most : 0;
    }
    return plan;
}

void
sender_standing_update(struct sender_standing *standing, int64_t now_ms,
                       size_t known, size_t linked, size_t links_enough)
{
    bool was_frozen = now_ms - standing->updated_ms > SENDERS_FROZEN_MS;
    bool holds;

    if (known >= standing->most_known ||
        now_ms - standing->most_known_ms > SENDERS_KNOWN_HOLD_MS) {
        standing->most_known = known;
        standing->most_known_ms = now_ms;
    }
    holds = 2 * linked > standing->most_known ||
            (links_enough > 0 && linked >= links_enough);

    if (holds && (!standing->holds || was_frozen)) {
        standing->since_ms = now_ms;
    }
    standing->holds = holds;
    standing->updated_ms = now_ms;
}

int64_t
sender_standing_wait_ms(const struct sender_standing *standing, int64_t now_ms,
                        int64_t settle_ms)
{
    // After a freeze, requests may be handled before the next update.
    if (now_ms - standing->updated_ms > SENDERS_FROZEN_MS) {
        return settle_ms;
    }
    if (!standing->holds) {
        return -1;
    }
    return standing->since_ms + settle_ms > now_ms
               ? standing->since_ms + settle_ms - now_ms
               : 0;
}
