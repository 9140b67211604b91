#include "pause.h"

#include <math.h>

void
pause_add_gap(struct pause_gaps *gaps, double gap_ms, double backlog_ms,
              double slow_down)
{
    if (gap_ms < 0 || gap_ms > PAUSE_GAP_MAX_MS ||
        backlog_ms > PAUSE_USUAL_BACKLOG_MS ||
        slow_down > PAUSE_USUAL_SLOW_DOWN) {
        return;
    }
    if (gaps->usual_ms == 0) {
        gaps->usual_ms = gap_ms;
        return;
    }
    gaps->usual_ms += PAUSE_SAMPLE_WEIGHT * (gap_ms - gaps->usual_ms);
}

double
pause_predict_ms(const struct pause_inputs *inputs, double backlog_ms)
{
    return fmax(inputs->slow_down, PAUSE_SLOW_DOWN_MIN) *
           (inputs->usual_gap_ms + backlog_ms);
}

static double
over_target_ms(const struct pause_inputs *inputs, double backlog_ms)
{
    return fmax(0, pause_predict_ms(inputs, backlog_ms) - inputs->target_ms);
}

double
pause_cost_ms(const struct pause_inputs *inputs)
{
    double streams = inputs->streams;
    double added_ms;

    if (inputs->target_ms <= 0) {
        return 0;
    }
    added_ms =
        over_target_ms(inputs, inputs->backlog_ms + inputs->prefill_ms) -
        over_target_ms(inputs, inputs->backlog_ms);
    // The new stream begins after the backlog: only the usual gap applies.
    return PAUSE_COST_WEIGHT *
           (added_ms * streams / (streams + PAUSE_HALF_COST_STREAMS) +
            over_target_ms(inputs, 0));
}
