#include "early_reports.h"

#include <stdlib.h>

#include "core/xmalloc.h"

struct early_report {
    struct message_rate rate; ///< `endpoint` is set in all reports
    bool is_down;
    int64_t received_ms;
};

struct early_reports {
    const struct clock *clock;
    struct early_report items[EARLY_REPORTS_MAX];
    size_t count;
};

struct early_reports *
early_reports_new(const struct clock *clock)
{
    struct early_reports *reports = xcalloc(1, sizeof(*reports));

    reports->clock = clock;
    return reports;
}

void
early_reports_free(struct early_reports *reports)
{
    free(reports);
}

static bool
is_same_subject(const struct early_report *one,
                const struct early_report *other)
{
    return one->rate.endpoint == other->rate.endpoint &&
           one->is_down == other->is_down &&
           one->rate.incarnation == other->rate.incarnation;
}

/// All peers report the same endpoints: the newest report on each is kept.
static void
add(struct early_reports *reports, const struct message_rate *rate,
    bool is_down)
{
    const struct early_report report = {
        .rate = *rate,
        .is_down = is_down,
        .received_ms = clock_ms(reports->clock),
    };
    size_t i = 0;

    while (i < reports->count &&
           !is_same_subject(&reports->items[i], &report)) {
        i++;
    }
    if (i == EARLY_REPORTS_MAX) {
        return;
    }
    if (i == reports->count) {
        reports->count++;
    }
    else if (reports->items[i].received_ms - reports->items[i].rate.age_ms >
             report.received_ms - report.rate.age_ms) {
        return;
    }
    reports->items[i] = report;
}

void
early_reports_add_rate(struct early_reports *reports,
                       const struct message_rate *rate)
{
    add(reports, rate, false);
}

void
early_reports_add_down(struct early_reports *reports, uint64_t endpoint)
{
    add(reports, &(struct message_rate){.endpoint = endpoint}, true);
}

void
early_reports_apply(struct early_reports *reports,
                    early_reports_apply_fn *apply, void *ctx)
{
    int64_t now_ms = clock_ms(reports->clock);
    size_t kept = 0;

    for (size_t i = 0; i < reports->count; i++) {
        const struct early_report *report = &reports->items[i];
        int64_t age_ms = now_ms - report->received_ms;
        struct message_rate rate = report->rate;

        rate.age_ms += (uint32_t)age_ms;
        if (age_ms < EARLY_REPORTS_MS &&
            !apply(ctx, rate.endpoint, report->is_down ? NULL : &rate)) {
            reports->items[kept++] = *report;
        }
    }
    reports->count = kept;
}
