/// Which of the eras that a store states are used.
#include <CUnit/CUnit.h>

#include "core/position.h"
#include "suites.h"

/// An answer to a call that begins now.
static enum position_verdict
state(struct position_eras *eras, uint64_t era)
{
    return position_judge(eras, eras->present, era);
}

/// The first era is used at once, whatever its size, and rises from there.
static void
test_first_era(void)
{
    static const uint64_t firsts[] = {1, 1 << 23, 1765000001, UINT64_MAX - 1};

    for (size_t i = 0; i < sizeof(firsts) / sizeof(firsts[0]); i++) {
        struct position_eras eras = {0};

        CU_ASSERT(state(&eras, firsts[i]) == POSITION_RESTORED);
        CU_ASSERT(state(&eras, firsts[i]) == POSITION_CURRENT);
        CU_ASSERT(state(&eras, firsts[i] + 1) == POSITION_RESTORED);
        CU_ASSERT(eras.present.number == firsts[i] + 1);
    }
}

/// One answer states an era that is far too high.
static void
test_single_mistake(void)
{
    struct position_eras eras = {.present.number = 5};

    CU_ASSERT(state(&eras, 5000) == POSITION_STALE);
    CU_ASSERT(state(&eras, 5) == POSITION_CURRENT);
    CU_ASSERT(state(&eras, 5000) == POSITION_STALE);
    CU_ASSERT(state(&eras, 5000) == POSITION_RESTORED);
}

/// The store states an era for a while that is too high by a few: what it
/// states afterwards is lower, and still ordered behind it.
static void
test_lower_era(void)
{
    struct position_eras eras = {.present.number = 5};
    struct position_era high;

    CU_ASSERT(state(&eras, 9) == POSITION_RESTORED);
    high = eras.present;
    CU_ASSERT(state(&eras, 5) == POSITION_ODD);
    CU_ASSERT(state(&eras, 9) == POSITION_CURRENT);
    CU_ASSERT(state(&eras, 5) == POSITION_ODD);
    CU_ASSERT(state(&eras, 5) == POSITION_RESTORED);
    CU_ASSERT(position_compare_eras(high, eras.present) < 0);
    CU_ASSERT(state(&eras, 6) == POSITION_RESTORED);
}

/// Answers to calls from before a restore state the earlier era any number of
/// times.
static void
test_late_answers(void)
{
    struct position_eras eras = {.present.number = 5};
    const struct position_era before = eras.present;

    CU_ASSERT(state(&eras, 6) == POSITION_RESTORED);
    for (int i = 0; i < 3; i++) {
        CU_ASSERT(position_judge(&eras, before, 5) == POSITION_STALE);
    }
    CU_ASSERT(eras.present.number == 6 && eras.present.resets == 0);
}

void
suite_position(void)
{
    CU_pSuite suite = CU_add_suite("position", NULL, NULL);

    CU_add_test(suite, "first era of any size", test_first_era);
    CU_add_test(suite, "single mistaken era", test_single_mistake);
    CU_add_test(suite, "era that is lower again", test_lower_era);
    CU_add_test(suite, "late answers of an earlier era", test_late_answers);
}
