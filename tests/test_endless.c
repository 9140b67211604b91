/// Endpoints in trouble that send bytes without end, in a head or a body,
/// until the connection is closed.
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "direct_harness.h"
#include "suites.h"

/// Growth of the process allowed while one answer does not end: the longest
/// answer that is buffered and the copies of its parts.
#define GROWTH_MAX_KB (40 * 1024)
/// Time-out of the routes of plain calls, long enough that a loaded machine
/// receives an answer up to its limit; the objective of streams is 500 ms.
#define TIMEOUT_MS 5000
#define ANSWER_MS (TIMEOUT_MS + 500)
/// Requests until the faulty one of two endpoints is chosen.
#define ATTEMPTS_MAX 60
/// Work of an endpoint that is removed meanwhile.
#define LEAVING_WORK_US 800000
#define FREED_BYTE 0x5a

#if defined(__SANITIZE_ADDRESS__)
size_t __sanitizer_get_current_allocated_bytes(void);
#endif

/// Bytes that are allocated now. The resident memory would include what has
/// been freed and not been returned, which a sanitizer keeps on purpose.
static long
allocated_kb(void)
{
#if defined(__SANITIZE_ADDRESS__)
    return (long)(__sanitizer_get_current_allocated_bytes() / 1024);
#else
    struct mallinfo2 info = mallinfo2();

    return (long)((info.uordblks + info.hblkhd) / 1024);
#endif
}

struct watch {
    struct direct_call *call;
    long peak_kb;
};

static bool
watch_call(void *ctx)
{
    struct watch *watch = ctx;
    long now_kb = allocated_kb();

    watch->peak_kb = now_kb > watch->peak_kb ? now_kb : watch->peak_kb;
    return watch->call->ended;
}

struct endless_case {
    enum origin_fault fault;
    const char *path;
    bool is_served; ///< by the other endpoint, or before the excess
};

static void
check_case(const struct endless_case *item)
{
    struct direct_harness harness;
    struct direct_call call = {0}, other = {0};
    struct watch watch = {.call = &call};
    long before_kb;
    uint64_t sent;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1,
                                       .origins = 2,
                                       .events = 3,
                                       .work_us = 1000,
                                   });
    direct_harness_configure(&harness, "key", false, TIMEOUT_MS);
    direct_harness_run(&harness, 200);
    before_kb = allocated_kb();
    origin_set_fault(harness.origins[0], item->fault);
    origin_set_fault(harness.orders, item->fault);
    // Until the faulty endpoint is chosen.
    for (int i = 0;
         i < ATTEMPTS_MAX && origin_endless_bytes(harness.origins[0]) +
                                     origin_endless_bytes(harness.orders) ==
                                 0;
         i++) {
        char id[16];

        snprintf(id, sizeof(id), "id-%d", i);
        direct_call_free(&call);
        direct_call_start(&harness, 0, &call, "POST", item->path, id, NULL,
                          "x");
        CU_ASSERT(
            direct_harness_wait(&harness, watch_call, &watch, ANSWER_MS));
    }
    CU_ASSERT(origin_endless_bytes(harness.origins[0]) +
                  origin_endless_bytes(harness.orders) >
              0);
    if (item->is_served) {
        CU_ASSERT(call.status == 200 && call.end == CHANNEL_COMPLETE);
    }
    else {
        CU_ASSERT(call.status >= 500 || call.end != CHANNEL_COMPLETE);
    }
    // The connection has been closed: no more bytes come.
    direct_harness_run(&harness, 100);
    sent = origin_endless_bytes(harness.origins[0]) +
           origin_endless_bytes(harness.orders);
    origin_set_fault(harness.origins[0], ORIGIN_OK);
    origin_set_fault(harness.orders, ORIGIN_OK);
    direct_call_do(&harness, 0, &other, "GET", "/look/", "next", NULL, NULL);
    CU_ASSERT(other.status == 200);
    CU_ASSERT(origin_endless_bytes(harness.origins[0]) +
                  origin_endless_bytes(harness.orders) ==
              sent);
    CU_ASSERT(watch.peak_kb - before_kb < GROWTH_MAX_KB);
    printf("endless: fault %d %s: peak %ld KB, %llu KB sent\n", item->fault,
           item->path, watch.peak_kb - before_kb,
           (unsigned long long)sent / 1024);
    direct_call_free(&call);
    direct_call_free(&other);
    direct_harness_stop(&harness);
}

/// A repeatable request goes to another endpoint or fails in its time.
static void
test_repeatable(void)
{
    static const struct endless_case cases[] = {
        {ORIGIN_ENDLESS_FIELD, "/look/", true},
        {ORIGIN_ENDLESS_FIELDS, "/look/", true},
        {ORIGIN_ENDLESS_INTERIM, "/look/", true},
        {ORIGIN_ENDLESS_STALE, "/look/", true},
        {ORIGIN_ENDLESS_BODY, "/look/", true},
        {ORIGIN_ENDLESS_ERROR, "/look/", true},
        {ORIGIN_ENDLESS_EXTENSION, "/look/", true},
        {ORIGIN_ENDLESS_TRAILER, "/look/", true},
        {ORIGIN_ENDLESS_EXCESS, "/look/", true},
        {ORIGIN_ENDLESS_EVENT, "/stream/chat/", true},
        {ORIGIN_ENDLESS_BODY, "/stream/chat/", true},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        check_case(&cases[i]);
    }
}

/// A request that may run once fails in its time, never as a complete answer.
static void
test_once(void)
{
    static const struct endless_case cases[] = {
        {ORIGIN_ENDLESS_FIELD, "/book/", false},
        {ORIGIN_ENDLESS_INTERIM, "/book/", false},
        {ORIGIN_ENDLESS_STALE, "/book/", false},
        {ORIGIN_ENDLESS_BODY, "/book/", false},
        {ORIGIN_ENDLESS_ERROR, "/book/", false},
        {ORIGIN_ENDLESS_EXTENSION, "/book/", false},
        {ORIGIN_ENDLESS_TRAILER, "/book/", false},
        {ORIGIN_ENDLESS_EXCESS, "/book/", true},
        {ORIGIN_ENDLESS_EVENT, "/stream/draft/", false},
        {ORIGIN_ENDLESS_BODY, "/stream/draft/", false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        check_case(&cases[i]);
    }
}

#define CALLS 16

struct calls {
    struct direct_call calls[CALLS];
    long peak_kb;
};

static bool
all_ended(void *ctx)
{
    struct calls *calls = ctx;
    long now_kb = allocated_kb();

    calls->peak_kb = now_kb > calls->peak_kb ? now_kb : calls->peak_kb;
    for (size_t i = 0; i < CALLS; i++) {
        if (!calls->calls[i].ended) {
            return false;
        }
    }
    return true;
}

/// Many such answers at once: together they are bounded as well.
static void
test_many_at_once(void)
{
    static struct calls calls;
    struct direct_harness harness;
    long before_kb;

    direct_harness_start(&harness, &(struct direct_harness_options){
                                       .routers = 1,
                                       .origins = 1,
                                       .work_us = 1000,
                                   });
    direct_harness_configure(&harness, "key", false, TIMEOUT_MS);
    direct_harness_run(&harness, 200);
    before_kb = allocated_kb();
    origin_set_fault(harness.orders, ORIGIN_ENDLESS_BODY);
    for (size_t i = 0; i < CALLS; i++) {
        char id[16];

        snprintf(id, sizeof(id), "many-%zu", i);
        direct_call_start(&harness, 0, &calls.calls[i], "POST", "/book/", id,
                          NULL, "x");
    }
    CU_ASSERT(direct_harness_wait(&harness, all_ended, &calls, 8000));
    CU_ASSERT(calls.peak_kb - before_kb < 2 * GROWTH_MAX_KB);
    printf("endless: %d at once: peak %ld KB\n", CALLS,
           calls.peak_kb - before_kb);
    for (size_t i = 0; i < CALLS; i++) {
        CU_ASSERT(calls.calls[i].status >= 500);
        direct_call_free(&calls.calls[i]);
    }
    direct_harness_stop(&harness);
}

struct removal_case {
    enum origin_fault fault;
    const char *path;
};

/// The last request of a removed endpoint releases its connections while the
/// bytes of the answer that ends it are being parsed.
static void
test_removed_endpoint(void)
{
    static const struct removal_case cases[] = {
        {ORIGIN_ENDLESS_EVENT, "/stream/chat/"},
        {ORIGIN_ENDLESS_BODY, "/book/"},
    };
    struct direct_harness harness;

    // Freed memory does not look intact.
    mallopt(M_PERTURB, FREED_BYTE);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct direct_call call = {0}, other = {0};

        direct_harness_start(&harness, &(struct direct_harness_options){
                                           .routers = 1,
                                           .origins = 1,
                                           .events = 3,
                                           .work_us = LEAVING_WORK_US,
                                       });
        direct_harness_configure(&harness, "key", false, TIMEOUT_MS);
        direct_harness_run(&harness, 200);
        origin_set_fault(harness.origins[0], cases[i].fault);
        origin_set_fault(harness.orders, cases[i].fault);
        direct_call_start(&harness, 0, &call, "POST", cases[i].path, "last",
                          NULL, "x");
        direct_harness_run(&harness, LEAVING_WORK_US / 4000);
        CU_ASSERT(direct_harness_runs(&harness) == 1);
        direct_harness_put_entry(&harness, "e-0", harness.origins[0], "models",
                                 NULL);
        direct_harness_put_entry(&harness, "o-0", harness.orders, "orders",
                                 NULL);
        CU_ASSERT(direct_harness_wait(&harness, direct_call_ended, &call,
                                      ANSWER_MS));
        CU_ASSERT(call.status >= 500 || call.end != CHANNEL_COMPLETE);
        // The router still answers: it has no endpoint left.
        direct_call_do(&harness, 0, &other, "GET", "/look/", "next", NULL,
                       NULL);
        CU_ASSERT(other.status == 503);
        direct_call_free(&call);
        direct_call_free(&other);
        direct_harness_stop(&harness);
    }
    mallopt(M_PERTURB, 0);
}

void
suite_endless(void)
{
    CU_pSuite suite = CU_add_suite("endless", NULL, NULL);

    CU_add_test(suite, "repeatable", test_repeatable);
    CU_add_test(suite, "once", test_once);
    CU_add_test(suite, "many at once", test_many_at_once);
    CU_add_test(suite, "removed endpoint", test_removed_endpoint);
}
