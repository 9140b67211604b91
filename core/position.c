#include "position.h"

int
position_compare_eras(struct position_era a, struct position_era b)
{
    if (a.resets != b.resets) {
        return a.resets < b.resets ? -1 : 1;
    }
    return (a.number > b.number) - (a.number < b.number);
}

int
position_compare(struct position a, struct position b)
{
    int order = position_compare_eras(a.era, b.era);

    return order != 0 ? order : (a.offset > b.offset) - (a.offset < b.offset);
}

enum position_verdict
position_judge(struct position_eras *eras, struct position_era begun,
               uint64_t stated)
{
    uint64_t present = eras->present.number;
    bool confirmed = stated == eras->unconfirmed;

    eras->unconfirmed = 0;
    if (stated == present) {
        return POSITION_CURRENT;
    }
    if (stated < present) {
        if (position_compare_eras(begun, eras->present) < 0) {
            return POSITION_STALE;
        }
        if (!confirmed) {
            eras->unconfirmed = stated;
            return POSITION_ODD;
        }
        eras->present =
            (struct position_era){eras->present.resets + 1, stated};
        return POSITION_RESTORED;
    }
    if (present > 0 && stated - present > POSITION_ERA_STEP_MAX &&
        !confirmed) {
        eras->unconfirmed = stated;
        return POSITION_STALE;
    }
    eras->present.number = stated;
    return POSITION_RESTORED;
}

void
position_observe(struct position_eras *eras, struct position_era era)
{
    if (position_compare_eras(era, eras->present) > 0) {
        eras->present = era;
        eras->unconfirmed = 0;
    }
}
