#include "soak.h"

#define LOAD_CHANGE_MS 200

/// Varies the load that endpoints report. Routers must ignore a fourth figure
/// that is missing or malformed.
static void
vary_loads(struct soak *soak, int64_t now_ms)
{
    static const char *const loads[] = {
        NULL,
        "1,0,8",
        "1,0,8,",
        "1,0,8,100",
        "1,0,8,250",
        "1,0,8,0",
        "1,0,8,-1",
        "1,0,8,1e9",
        "1,0,8,1000000000",
        "1,0,8,99999999999999999999999",
        "1,0,8,slow",
        "1,0,8,100,7",
    };

    if (now_ms < soak->next_loads_ms) {
        return;
    }
    soak->next_loads_ms = now_ms + LOAD_CHANGE_MS;
    for (size_t i = 0; i < SOAK_ORIGINS; i++) {
        size_t number = random_below(&soak->other_random,
                                     sizeof(loads) / sizeof(loads[0]));

        origin_set_load(soak->origins[i].origin, loads[number]);
    }
}

void
soak_vary(struct soak *soak)
{
    vary_loads(soak, soak_now());
}
