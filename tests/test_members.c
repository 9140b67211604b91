#include <CUnit/CUnit.h>

#include "dandelionvalve/members.h"
#include "suites.h"

#define HOLD_MS 60000
#define SILENT_MS 30000
#define NAME STR_LITERAL("agent-1")

static struct {
    struct manual_clock manual;
    struct clock clock;
    struct members *members;
    int changes;
    int home_changes; ///< times a member started or stopped being a home
    int probes;
    int removals;
    enum member_use use;
} fixture;

static void
on_changed(void *ctx, const struct member *member)
{
    (void)ctx;
    fixture.changes++;
    fixture.home_changes +=
        (member->use == MEMBER_USABLE) != (fixture.use == MEMBER_USABLE);
    fixture.use = member->use;
}

static void
on_removed(void *ctx, const struct member *member)
{
    (void)ctx;
    (void)member;
    fixture.removals++;
}

static void
on_probe(void *ctx, const struct member *member)
{
    (void)ctx;
    (void)member;
    fixture.probes++;
}

static void
set_listed(bool leaving)
{
    const struct member_info info = {
        .name = NAME,
        .role = MEMBER_AGENT,
        .pool = STR_LITERAL("pool"),
        .weight = 1,
        .leaving = leaving,
    };

    members_apply_list(fixture.members, &info, 1);
}

static void
set_up(void)
{
    const struct members_options options = {
        .clock = &fixture.clock,
        .silent_ms = SILENT_MS,
        .hold_ms = HOLD_MS,
        .probe_ms = 1000,
        .changed = on_changed,
        .removed = on_removed,
        .probe = on_probe,
    };

    fixture.manual.now_us = 1000000000;
    fixture.clock = manual_clock_interface(&fixture.manual);
    fixture.changes = 0;
    fixture.home_changes = 0;
    fixture.probes = 0;
    fixture.removals = 0;
    fixture.use = MEMBER_UNUSABLE;
    fixture.members = members_new(&options);
    set_listed(false);
}

static void
advance_ms(int64_t ms)
{
    fixture.manual.now_us += ms * 1000;
    members_tick(fixture.members);
}

static void
test_list_cannot_remove_who_answers(void)
{
    const struct member_info other = {.name = STR_LITERAL("agent-2"),
                                      .role = MEMBER_AGENT};

    set_up();
    members_apply_list(fixture.members, NULL, 0);
    CU_ASSERT(members_count(fixture.members) == 1);
    for (int i = 0; i < 60; i++) {
        advance_ms(1000);
        members_mark_reachable(fixture.members, NAME);
        members_apply_list(fixture.members, &other, 1);
    }
    CU_ASSERT(members_find(fixture.members, NAME) != NULL);
    CU_ASSERT(fixture.probes > 0);
    advance_ms(SILENT_MS + 1);
    members_apply_list(fixture.members, &other, 1);
    CU_ASSERT(members_find(fixture.members, NAME) == NULL);
    CU_ASSERT(fixture.removals == 1);
    members_free(fixture.members);
}

static void
test_flapping_moves_keys_once(void)
{
    set_up();
    CU_ASSERT(fixture.home_changes == 1);
    for (int i = 0; i < 150; i++) {
        members_mark_unreachable(fixture.members, NAME);
        advance_ms(1000);
        members_mark_reachable(fixture.members, NAME);
        CU_ASSERT(fixture.use == MEMBER_OVERFLOW);
        advance_ms(1000);
    }
    // Five minutes of flapping move the keys away once, and back once after
    // the hold.
    CU_ASSERT(fixture.home_changes == 2);
    advance_ms(HOLD_MS);
    CU_ASSERT(fixture.use == MEMBER_USABLE);
    CU_ASSERT(fixture.home_changes == 3);
    members_free(fixture.members);
}

static void
test_higher_incarnation_wins(void)
{
    set_up();
    members_update_state(fixture.members, NAME, 5, AGENT_READY);
    members_update_state(fixture.members, NAME, 5, AGENT_LEAVING);
    CU_ASSERT(fixture.use == MEMBER_UNUSABLE);
    // Late words of the same or an older incarnation change nothing.
    members_update_state(fixture.members, NAME, 5, AGENT_READY);
    members_update_state(fixture.members, NAME, 4, AGENT_READY);
    CU_ASSERT(fixture.use == MEMBER_UNUSABLE);
    set_listed(true);
    members_update_state(fixture.members, NAME, 6, AGENT_READY);
    // The list still describes the old incarnation.
    set_listed(true);
    CU_ASSERT(fixture.use == MEMBER_USABLE);
    set_listed(false);
    set_listed(true);
    CU_ASSERT(fixture.use == MEMBER_UNUSABLE);
    members_free(fixture.members);
}

static void
test_drained_by_operators(void)
{
    set_up();
    members_set_drained(fixture.members, NAME, true);
    CU_ASSERT(fixture.use == MEMBER_UNUSABLE);
    members_set_drained(fixture.members, NAME, false);
    CU_ASSERT(fixture.use == MEMBER_OVERFLOW);
    advance_ms(HOLD_MS);
    CU_ASSERT(fixture.use == MEMBER_USABLE);
    members_free(fixture.members);
}

void
suite_members(void)
{
    CU_pSuite suite = CU_add_suite("members", NULL, NULL);

    CU_add_test(suite, "list cannot remove who answers",
                test_list_cannot_remove_who_answers);
    CU_add_test(suite, "flapping moves keys once",
                test_flapping_moves_keys_once);
    CU_add_test(suite, "higher incarnation wins",
                test_higher_incarnation_wins);
    CU_add_test(suite, "drained by operators", test_drained_by_operators);
}
