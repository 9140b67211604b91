/// The client of the platform's store, without a router.
#include <stdio.h>
#include <stdlib.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/event.h>

#include "net/loop.h"
#include "platform/store.h"
#include "platform/unicode.h"
#include "standin/keyed_store.h"
#include "standin/ports.h"
#include "suites.h"

struct fixture {
    struct event_base *base;
    struct keyed_store *standin;
    struct counters counters;
    struct records *records;
    struct store *store;
    int applied;
    int fetch_failures;
    int pages;              ///< that others follow
    int applied_first_page; ///< records when the first page was applied
};

static void
on_partly_listed(void *ctx, enum record_topic topic)
{
    struct fixture *fixture = ctx;

    (void)topic;
    if (fixture->pages++ == 0) {
        fixture->applied_first_page = fixture->applied;
    }
}

static void
on_changed(void *ctx, const struct record *record)
{
    (void)record;
    ((struct fixture *)ctx)->applied++;
}

static void
on_recovered(void *ctx)
{
    (void)ctx;
}

static void
on_records_read(void *ctx, enum record_topic topic)
{
    (void)ctx;
    (void)topic;
}

static void
on_fetch_failed(void *ctx, enum record_topic topic)
{
    (void)topic;
    ((struct fixture *)ctx)->fetch_failures++;
}

static void
on_caught_up(void *ctx, enum record_topic topic, int64_t outage_ms)
{
    (void)ctx;
    (void)topic;
    (void)outage_ms;
}

static void
stop_loop(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    event_base_loopbreak(ctx);
}

static void
run(struct fixture *fixture, int64_t ms)
{
    const struct timeval delay = {ms / 1000, ms % 1000 * 1000};
    struct event *event =
        event_new(fixture->base, -1, 0, stop_loop, fixture->base);

    event_add(event, &delay);
    event_base_dispatch(fixture->base);
    event_free(event);
}

static void
put_entries(struct keyed_store *standin, int count)
{
    for (int i = 0; i < count; i++) {
        char key[16];

        snprintf(key, sizeof(key), "e-%04d", i);
        keyed_store_put(standin, KEYED_STORE_TOPIC_ENDPOINTS, key,
                        STR_LITERAL("{}"));
    }
}

static void
start_stores(struct fixture *fixture)
{
    struct err err = {0};

    *fixture = (struct fixture){.base = event_base_new()};
    fixture->standin = keyed_store_new(
        &(struct keyed_store_options){
            .base = fixture->base,
            .clock = &clock_monotonic,
            .address = ports_any(),
        },
        &err);
    CU_ASSERT_FATAL(fixture->standin != NULL);
    keyed_store_put(fixture->standin, KEYED_STORE_TOPIC_OPERATOR, "config",
                    STR_LITERAL("{}"));
}

/// Waits until `count` records are applied, and for more than these.
static void
expect_applied(struct fixture *fixture, int count)
{
    for (int i = 0; i < 100 && fixture->applied < count; i++) {
        run(fixture, 50);
    }
    run(fixture, 200);
    CU_ASSERT(fixture->applied == count);
}

static void
start_client(struct fixture *fixture)
{
    fixture->records = records_new(&(struct records_options){
        .changed = on_changed,
        .ctx = fixture,
    });
    fixture->store = store_new(&(struct store_options){
        .base = fixture->base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .address = keyed_store_address(fixture->standin),
        .settle_ms = 3000,
        .counters = &fixture->counters,
        .records = fixture->records,
        .recovered = on_recovered,
        .records_read = on_records_read,
        .fetch_failed = on_fetch_failed,
        .partly_listed = on_partly_listed,
        .caught_up = on_caught_up,
        .ctx = fixture,
    });
    store_set_role(fixture->store, READERS_IDLE);
}

static void
start(struct fixture *fixture, int entries)
{
    start_stores(fixture);
    put_entries(fixture->standin, entries);
    start_client(fixture);
    expect_applied(fixture, 1 + entries);
}

static void
stop(struct fixture *fixture)
{
    store_free(fixture->store);
    records_free(fixture->records);
    keyed_store_free(fixture->standin);
    loop_free(fixture->base);
}

/// An idle router makes no calls, but for a single read that is asked for.
static void
test_idle_and_fetch(void)
{
    struct fixture fixture;
    uint64_t before;

    start(&fixture, 0);
    before = counter_get(&fixture.counters, COUNTER_LOG_READS);
    keyed_store_put(fixture.standin, KEYED_STORE_TOPIC_OPERATOR, "config",
                    STR_LITERAL("{\"version\":2}"));
    run(&fixture, 500);
    CU_ASSERT(fixture.applied == 1);
    CU_ASSERT(counter_get(&fixture.counters, COUNTER_LOG_READS) == before);
    store_fetch(fixture.store, RECORDS_CONFIGURATION);
    run(&fixture, 300);
    CU_ASSERT(fixture.applied == 2);
    CU_ASSERT(counter_get(&fixture.counters, COUNTER_LOG_READS) == before + 1);
    keyed_store_set_fault(fixture.standin, KEYED_STORE_BUSY);
    store_fetch(fixture.store, RECORDS_CONFIGURATION);
    run(&fixture, 300);
    CU_ASSERT(fixture.fetch_failures == 1);
    CU_ASSERT(counter_get(&fixture.counters, COUNTER_LOG_READS) == before + 2);
    stop(&fixture);
}

static bool
is_reading(const struct fixture *fixture)
{
    return store_is_reachable(fixture->store, RECORDS_CONFIGURATION) ||
           store_is_reachable(fixture->store, RECORDS_ENDPOINTS);
}

/// Guards against a router that is cut off from the store and, when it is to
/// read for all, counts as reading until its call has timed out: the next
/// candidate would begin only then.
static void
test_reader_without_answer(void)
{
    static const enum readers_role steps[] = {
        READERS_STANDBY,
        READERS_PRIMARY,
        READERS_IDLE,
        READERS_SUBSTITUTE,
    };
    struct fixture fixture;

    start(&fixture, 1);
    for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        // The last answer is too old to count.
        run(&fixture, 1100);
        keyed_store_set_fault(fixture.standin, KEYED_STORE_NO_ANSWER);
        store_set_role(fixture.store, steps[i]);
        CU_ASSERT(!is_reading(&fixture));
        run(&fixture, 200);
        CU_ASSERT(!is_reading(&fixture));
        if (steps[i] == READERS_IDLE) {
            continue;
        }
        keyed_store_set_fault(fixture.standin, KEYED_STORE_OK);
        for (int j = 0; j < 100 && !is_reading(&fixture); j++) {
            run(&fixture, 50);
        }
        CU_ASSERT(is_reading(&fixture));
        run(&fixture, 200);
    }
    stop(&fixture);
}

/// A router becomes a reader while a single read is in progress: one read of
/// each topic continues, not two.
static void
test_role_during_fetch(void)
{
    struct fixture fixture;
    uint64_t before;

    start(&fixture, 0);
    store_fetch(fixture.store, RECORDS_CONFIGURATION);
    store_set_role(fixture.store, READERS_PRIMARY);
    run(&fixture, 200);
    before = counter_get(&fixture.counters, COUNTER_LOG_READS);
    run(&fixture, 2600);
    // Two topics with waits of 0.5 and 1.2 s.
    CU_ASSERT(counter_get(&fixture.counters, COUNTER_LOG_READS) - before <= 8);
    CU_ASSERT(store_is_reachable(fixture.store, RECORDS_CONFIGURATION));
    stop(&fixture);
}

/// Load pattern: all routers return at once to a store that shares its
/// bandwidth between them. A router can serve from the first page on.
static void
test_list_in_pages(void)
{
    struct fixture fixture;

    start(&fixture, 1200);
    CU_ASSERT(fixture.pages == 2);
    CU_ASSERT(fixture.applied_first_page >= 500);
    CU_ASSERT(fixture.applied_first_page < 1200);
    stop(&fixture);
}

/// A record without even the length of a key does not keep a router from the
/// records behind it.
static void
test_record_without_key(void)
{
    struct fixture fixture;

    start(&fixture, 1);
    store_set_role(fixture.store, READERS_PRIMARY);
    run(&fixture, 200);
    keyed_store_put_malformed(fixture.standin, KEYED_STORE_TOPIC_ENDPOINTS,
                              (struct str){0});
    keyed_store_put_malformed(fixture.standin, KEYED_STORE_TOPIC_ENDPOINTS,
                              STR_LITERAL("\x05"
                                          "abc"));
    keyed_store_put(fixture.standin, KEYED_STORE_TOPIC_ENDPOINTS, "e-behind",
                    STR_LITERAL("{}"));
    run(&fixture, 500);
    CU_ASSERT(fixture.applied == 3);
    CU_ASSERT(records_end(fixture.records, RECORDS_ENDPOINTS).offset == 4);
    CU_ASSERT(store_is_reachable(fixture.store, RECORDS_ENDPOINTS));
    stop(&fixture);
}

/// Entries whose keys are no text keep no router from the entries beside them,
/// nor from the pages behind the one that they end. A NUL is text in JSON.
static void
test_keys_without_text(void)
{
    static const struct str keys[] = {
        STR_LITERAL("e-\xff\xfe"),
        STR_LITERAL("e-0498\0x"),
        STR_LITERAL("e-0498\xed\xa0\x80"),
        STR_LITERAL("e-0498\xc3"),
        STR_LITERAL("\x80"),
    };
    struct fixture fixture;

    start_stores(&fixture);
    put_entries(fixture.standin, 1200);
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        keyed_store_put_bytes(fixture.standin, KEYED_STORE_TOPIC_ENDPOINTS,
                              keys[i], STR_LITERAL("{}"));
    }
    start_client(&fixture);
    store_set_role(fixture.store, READERS_PRIMARY);
    expect_applied(&fixture, 1 + 1200 + 1);
    CU_ASSERT(store_is_reachable(fixture.store, RECORDS_ENDPOINTS));
    keyed_store_put(fixture.standin, KEYED_STORE_TOPIC_ENDPOINTS, "e-behind",
                    STR_LITERAL("{}"));
    expect_applied(&fixture, 1 + 1200 + 2);
    stop(&fixture);
}

static void
check_repaired(const char *json, const char *expected)
{
    struct evbuffer *out = evbuffer_new();
    struct str text;

    unicode_repair_json(str_from(json), out);
    text = (struct str){(const char *)evbuffer_pullup(out, -1),
                        evbuffer_get_length(out)};
    CU_ASSERT(str_equal_c(text, expected));
    evbuffer_free(out);
}

/// Stores write keys that are no text in several ways: as they are, or as
/// escapes of half a surrogate pair.
static void
test_repaired_text(void)
{
    static const char *const sound[] = {
        "",
        "{\"key\":\"e-1\"}",
        "\"\\\\ud800\"",
        "\"\\ud83d\\ude00 \\u00e9\"",
        "\"\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80\"",
        "\"\\u12\"",
        "\"\\",
    };

    for (size_t i = 0; i < sizeof(sound) / sizeof(sound[0]); i++) {
        check_repaired(sound[i], sound[i]);
    }
    check_repaired("\"a\xff"
                   "b\"",
                   "\"a" UNICODE_REPLACEMENT "b\"");
    check_repaired("\"\xc3\"", "\"" UNICODE_REPLACEMENT "\"");
    check_repaired("\"\xc0\x80\"",
                   "\"" UNICODE_REPLACEMENT UNICODE_REPLACEMENT "\"");
    check_repaired("\xf0\x9f", UNICODE_REPLACEMENT UNICODE_REPLACEMENT);
    check_repaired("\"\\udcff\\ud800\\u0041\"",
                   "\"" UNICODE_REPLACEMENT UNICODE_REPLACEMENT "\\u0041\"");
    check_repaired("\\ud800", UNICODE_REPLACEMENT);
}

void
suite_store(void)
{
    CU_pSuite suite = CU_add_suite("store", NULL, NULL);

    CU_add_test(suite, "idle and fetch", test_idle_and_fetch);
    CU_add_test(suite, "reader without answer", test_reader_without_answer);
    CU_add_test(suite, "role during fetch", test_role_during_fetch);
    CU_add_test(suite, "list in pages", test_list_in_pages);
    CU_add_test(suite, "record without key", test_record_without_key);
    CU_add_test(suite, "keys without text", test_keys_without_text);
    CU_add_test(suite, "repaired text", test_repaired_text);
}
