#include <stdio.h>
#include <stdlib.h>

#include <CUnit/CUnit.h>

#include "dandelionvalve/route.h"
#include "suites.h"

static struct {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct route *route;
    char names[20][16];
} fixture;

static void
set_up(size_t endpoints)
{
    const struct route_options options = {
        .clock = &fixture.clock,
        .random = &fixture.random,
        .refusal_backoff_ms = ROUTE_REFUSAL_BACKOFF_MS,
        .report_max_age_ms = ROUTE_REPORT_MAX_AGE_MS,
        .placements_max = 10,
        .rendezvous_places = ROUTE_RENDEZVOUS_PLACES,
        .refusals_max = ROUTE_REFUSALS_MAX,
    };

    fixture.manual.now_us = 1000000;
    fixture.clock = manual_clock_interface(&fixture.manual);
    fixture.random = random_seeded_interface(&fixture.seeded);
    fixture.route = route_new(&options);
    for (size_t i = 0; i < endpoints; i++) {
        struct route_endpoint_options endpoint = {.weight = 1};

        snprintf(fixture.names[i], sizeof(fixture.names[i]), "e%zu", i);
        endpoint.name = str_from(fixture.names[i]);
        route_add(fixture.route, &endpoint);
    }
}

static struct route_choice
pick(uint64_t key, const char *hint)
{
    const struct route_request request = {
        .key_hash = key,
        .has_key = true,
        .hint = str_from(hint),
    };
    struct route_choice choice = {0};

    route_pick(fixture.route, &request, &choice);
    return choice;
}

static void
test_leave_moves_only_its_keys(void)
{
    struct str homes[500];
    size_t moved = 0;

    set_up(10);
    for (uint64_t key = 0; key < 500; key++) {
        homes[key] = str_copy(pick(key, NULL).endpoint);
    }
    route_remove(fixture.route, STR_LITERAL("e3"));
    for (uint64_t key = 0; key < 500; key++) {
        struct str home = pick(key, NULL).endpoint;

        if (str_equal_c(homes[key], "e3")) {
            moved++;
        }
        else {
            CU_ASSERT(str_equal(home, homes[key]));
        }
        free((char *)homes[key].data);
    }
    CU_ASSERT(moved > 20 && moved < 90);
    route_free(fixture.route);
}

static void
test_hint_and_unknown_hint(void)
{
    set_up(5);
    CU_ASSERT(str_equal_c(pick(1, "e4").endpoint, "e4"));
    CU_ASSERT(pick(1, "e4").reason == ROUTE_HINT);
    CU_ASSERT(pick(1, "nobody").reason == ROUTE_HOME);
    route_set_use(fixture.route, STR_LITERAL("e4"), MEMBER_UNUSABLE);
    CU_ASSERT(pick(1, "e4").reason == ROUTE_HOME);
    route_free(fixture.route);
}

static void
test_refusal_back_off(void)
{
    struct str home;

    set_up(5);
    home = pick(7, NULL).endpoint;
    route_record_refusal(fixture.route, home);
    CU_ASSERT(!str_equal(pick(7, NULL).endpoint, home));
    CU_ASSERT(pick(7, NULL).reason == ROUTE_OVERFLOW);
    fixture.manual.now_us += ROUTE_REFUSAL_BACKOFF_MS * 1000;
    CU_ASSERT(str_equal(pick(7, NULL).endpoint, home));
    route_free(fixture.route);
}

static void
test_placement_table_is_bounded(void)
{
    struct route_request request = {.has_key = true};

    set_up(5);
    for (uint64_t key = 0; key < 20; key++) {
        request.key_hash = key;
        route_record_placement(fixture.route, &request, STR_LITERAL("e2"),
                               ROUTE_OVERFLOW);
    }
    // The table holds ten; the oldest are evicted.
    CU_ASSERT(pick(0, NULL).reason == ROUTE_HOME);
    CU_ASSERT(pick(19, NULL).reason == ROUTE_PLACED);
    CU_ASSERT(str_equal_c(pick(19, NULL).endpoint, "e2"));
    route_free(fixture.route);
}

static void
test_waits_when_all_refuse(void)
{
    struct route_request request = {.has_key = true, .tried_count = 3};
    struct route_choice choice;

    set_up(3);
    for (size_t i = 0; i < 3; i++) {
        request.tried[i] = str_from(fixture.names[i]);
    }
    CU_ASSERT(route_pick(fixture.route, &request, &choice));
    CU_ASSERT(choice.reason == ROUTE_WAIT && choice.may_wait);
    for (size_t i = 0; i < 3; i++) {
        route_set_use(fixture.route, str_from(fixture.names[i]),
                      MEMBER_UNUSABLE);
    }
    CU_ASSERT(!route_pick(fixture.route, &request, &choice));
    route_free(fixture.route);
}

static void
test_full_endpoint_is_skipped_until_growth(void)
{
    struct str home;
    struct load_report load = {.running = 8, .bound = 8, .slots = 100};

    set_up(5);
    home = pick(3, NULL).endpoint;
    route_record_load(fixture.route, home, &load);
    CU_ASSERT(!str_equal(pick(3, NULL).endpoint, home));
    // The bound is assumed to grow with the requests in flight.
    route_begin(fixture.route);
    route_begin(fixture.route);
    CU_ASSERT(str_equal(pick(3, NULL).endpoint, home));
    route_free(fixture.route);
}

void
suite_route(void)
{
    CU_pSuite suite = CU_add_suite("route", NULL, NULL);

    CU_add_test(suite, "leave moves only its keys",
                test_leave_moves_only_its_keys);
    CU_add_test(suite, "hint and unknown hint", test_hint_and_unknown_hint);
    CU_add_test(suite, "refusal back-off", test_refusal_back_off);
    CU_add_test(suite, "placement table is bounded",
                test_placement_table_is_bounded);
    CU_add_test(suite, "waits when all refuse", test_waits_when_all_refuse);
    CU_add_test(suite, "full endpoint is skipped until growth",
                test_full_endpoint_is_skipped_until_growth);
}
