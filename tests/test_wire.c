/// How the platform adapter parses valid and malformed requests, responses,
/// endpoint records and configurations.
#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>

#include "core/catalog.h"
#include "net/http1.h"
#include "platform/era.h"
#include "platform/wire.h"
#include "suites.h"

#define VERSION_TEXT_BYTES 32

static void
ignore(void *ctx)
{
    (void)ctx;
}

static void
ignore_data(void *ctx, const char *bytes, size_t len)
{
    (void)ctx;
    (void)bytes;
    (void)len;
}

static const struct http1_callbacks callbacks = {ignore, ignore_data, ignore};

static bool
parse(struct http1 *http, enum http_parser_type type, const char *text)
{
    http1_init(http, type, 8192, &callbacks, NULL);
    http1_feed(http, text, strlen(text));
    return http->error == HTTP1_OK && http->has_head;
}

static void
test_read_request(void)
{
    struct request_facts facts;
    struct err err = {0};
    struct http1 http;

    CU_ASSERT(parse(&http, HTTP_REQUEST,
                    "POST /p/q?x=1 HTTP/1.1\r\nHost: h\r\n"
                    "dandelionvalve-request-id: 9c\r\n"
                    "Dandelionvalve-Prefix-Hash: 5c:800,91:410,e4:250\r\n"
                    "Dandelionvalve-Token-Usage: 1460,80\r\n"
                    "Dandelionvalve-Deadline-Ms: 1500\r\n"
                    "Authorization: Bearer abc\r\n\r\n"));
    CU_ASSERT(platform_wire.read_request(&http, &facts, &err));
    CU_ASSERT(str_equal_c(facts.id, "9c") && str_equal_c(facts.path, "/p/q"));
    CU_ASSERT(str_equal_c(facts.api_key, "abc"));
    CU_ASSERT(facts.prefix.count == 3 && facts.prefix.parts[1].tokens == 410);
    CU_ASSERT(facts.prompt_tokens == 1460 && facts.output_tokens_max == 80);
    CU_ASSERT(facts.deadline_ms == 1500);
    http1_destroy(&http);
}

/// A malformed prefix hash does not make the request invalid.
static void
test_malformed_prefix_hash(void)
{
    static const char *const texts[] = {
        "", ":", "a:b", "a", "a:1,b", "a:-1", "a:99999999999999999999"};
    struct request_facts facts;
    struct err err = {0};
    struct http1 http;
    char text[256];

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        snprintf(text, sizeof(text),
                 "GET / HTTP/1.1\r\nHost: h\r\nDandelionvalve-Request-Id: 1"
                 "\r\nDandelionvalve-Prefix-Hash: %s\r\n\r\n",
                 texts[i]);
        CU_ASSERT(parse(&http, HTTP_REQUEST, text));
        CU_ASSERT(platform_wire.read_request(&http, &facts, &err));
        CU_ASSERT(facts.prefix.count <= 1);
        http1_destroy(&http);
    }
}

static void
test_read_response(void)
{
    struct answer_facts facts;
    struct http1 http;

    CU_ASSERT(parse(&http, HTTP_RESPONSE,
                    "HTTP/1.1 503 X\r\nDandelionvalve-Request-Id: 1\r\n"
                    "Dandelionvalve-Not-Executed: 1\r\n"
                    "Dandelionvalve-Instance-Load: 3,0,8\r\n"
                    "Content-Length: 0\r\n\r\n"));
    platform_wire.read_answer(&http, &facts);
    CU_ASSERT(facts.not_executed && facts.has_load && facts.slots == 8);
    http1_destroy(&http);
    CU_ASSERT(parse(&http, HTTP_RESPONSE,
                    "HTTP/1.1 503 X\r\nDandelionvalve-Request-Id: 1\r\n"
                    "Dandelionvalve-Instance-Load: 3,x\r\n"
                    "Content-Length: 0\r\n\r\n"));
    platform_wire.read_answer(&http, &facts);
    CU_ASSERT(!facts.not_executed && !facts.has_load);
    http1_destroy(&http);
}

/// A fourth figure of the load, valid or not, must not make the router ignore
/// the three others.
static void
test_read_work_percent(void)
{
    static const struct {
        const char *load;
        uint32_t percent; ///< 0: not valid
    } cases[] = {
        {"3,1,8,250", 250}, {"3,1,8,100", 100}, {"3,1,8,0", 0},
        {"3,1,8,-250", 0},  {"3,1,8,fast", 0},  {"3,1,8,1000000000", 0},
        {"3,1,8,", 0},      {"3,1,8,250,1", 0},
    };
    struct answer_facts facts;
    struct http1 http;
    char text[256];

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        snprintf(text, sizeof(text),
                 "HTTP/1.1 200 X\r\nDandelionvalve-Request-Id: 1\r\n"
                 "Dandelionvalve-Instance-Load: %s\r\n"
                 "Content-Length: 0\r\n\r\n",
                 cases[i].load);
        CU_ASSERT(parse(&http, HTTP_RESPONSE, text));
        platform_wire.read_answer(&http, &facts);
        CU_ASSERT(facts.has_load && facts.running == 3 && facts.waiting == 1 &&
                  facts.slots == 8);
        CU_ASSERT(facts.has_work_percent == (cases[i].percent > 0));
        CU_ASSERT(facts.work_percent_invalid == (cases[i].percent == 0));
        CU_ASSERT(facts.work_percent == cases[i].percent);
        http1_destroy(&http);
    }
}

/// A length hint that is no estimate must not wrap around or fail the request.
static void
test_read_length_hint(void)
{
    static const struct {
        const char *hint;
        bool valid;
        uint32_t tokens;
    } cases[] = {{"320", true, 320},
                 {"0", true, 0},
                 {"1000000000000", true, UINT32_MAX},
                 {"-5", false, 0},
                 {"long", false, 0}};
    struct request_facts facts;
    struct err err = {0};
    struct http1 http;
    char text[256];

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        snprintf(text, sizeof(text),
                 "GET / HTTP/1.1\r\nHost: h\r\nDandelionvalve-Request-Id: 1"
                 "\r\nDandelionvalve-Length-Hint: %s\r\n\r\n",
                 cases[i].hint);
        CU_ASSERT(parse(&http, HTTP_REQUEST, text));
        CU_ASSERT(platform_wire.read_request(&http, &facts, &err));
        CU_ASSERT(facts.has_output_hint == cases[i].valid);
        CU_ASSERT(facts.output_tokens_hint == cases[i].tokens);
        http1_destroy(&http);
    }
}

/// Requests that servers may delimit differently are rejected, since they
/// allow request smuggling.
static void
test_request_smuggling_rejected(void)
{
    static const char *const texts[] = {
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3,4\r\n\r\n",
        "POST / HTTP/1.1\r\nHost : h\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\n folded: x\r\nX\x01: y\r\n\r\n",
    };
    struct http1 http;

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        if (parse(&http, HTTP_REQUEST, texts[i])) {
            printf("case %zu was accepted\n", i);
            CU_FAIL("malformed request was accepted");
        }
        http1_destroy(&http);
    }
}

static void
store_facts(void *ctx, const struct endpoint_facts *facts)
{
    *(struct endpoint_facts *)ctx = *facts;
}

static void
test_endpoint_records(void)
{
    struct endpoint_facts facts = {0};
    struct err err = {0};

    CU_ASSERT(platform_wire.read_endpoint(
        STR_LITERAL("{\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"zone\":"
                    "\"z\",\"slots\":8,\"state\":\"draining\",\"born\":"
                    "1768689976720,\"new_field\":[1]}"),
        store_facts, &facts, &err));
    CU_ASSERT(facts.state == ENDPOINT_DRAINING && facts.slots == 8);
    CU_ASSERT(facts.incarnation == 1768689976720);
    CU_ASSERT(!platform_wire.read_endpoint(STR_LITERAL("{"), store_facts,
                                           &facts, &err));
}

static void
store_version(void *ctx, const struct endpoint_facts *facts)
{
    snprintf(ctx, VERSION_TEXT_BYTES, STR_FMT, STR_ARG(facts->version));
}

/// The version of an endpoint's software is text or a whole number.
static void
test_endpoint_versions(void)
{
    static const struct {
        const char *member;
        const char *version; ///< NULL: the entry is invalid
    } cases[] = {
        {"", ""},
        {"\"version\":\"v1.1\",", "v1.1"},
        {"\"version\":\"\",", ""},
        {"\"version\":12,", "12"},
        {"\"version\":-9223372036854775808,", "-9223372036854775808"},
        {"\"version\":1.5,", NULL},
        {"\"version\":null,", NULL},
        {"\"version\":[\"v1\"],", NULL},
        {"\"version\":{},", NULL},
        {"\"version\":true,", NULL},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char text[256], version[VERSION_TEXT_BYTES] = "";
        struct err err = {0};
        bool valid;

        snprintf(text, sizeof(text),
                 "{%s\"service\":\"s\",\"address\":\"1.2.3.4:5\",\"slots\":8,"
                 "\"state\":\"ready\"}",
                 cases[i].member);
        valid = platform_wire.read_endpoint(str_from(text), store_version,
                                            version, &err);
        CU_ASSERT(valid == (cases[i].version != NULL));
        if (valid && cases[i].version != NULL) {
            CU_ASSERT_STRING_EQUAL(version, cases[i].version);
        }
    }
}

static void
test_configuration(void)
{
    struct err err = {0};
    const struct catalog_route *route;
    struct catalog *catalog;

    CU_ASSERT(platform_wire.read_catalog(STR_LITERAL("{}"), NULL, &err) ==
              NULL);
    catalog = platform_wire.read_catalog(
        STR_LITERAL(
            "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
            "\"path_prefix\":\"/a/\",\"kind\":\"streaming\",\"timeout_ms\":"
            "15000.0,\"slo_ms\":1000,\"priority\":1,\"backends\":[{\"service\""
            ":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],"
            "\"max_attempts\":2,\"public\":false,\"sticky\":true,"
            "\"resumable\":true,\"gap_target_ms\":600},{\"name\":\"q\","
            "\"host\":\"h\",\"path_prefix\":\"/b/\",\"kind\":\"unheard-of\","
            "\"service\":\"s\"}],\"services\":[{\"name\":\"s\",\"engine\":{"
            "\"slots\":64,\"kv_capacity\":573142}}],\"tenants\":[{\"name\":"
            "\"n\",\"api_keys\":[\"k\",5],\"priority\":0}]}"),
        NULL, &err);
    CU_ASSERT_FATAL(catalog != NULL);
    route = catalog_find_route(catalog, STR_LITERAL("h"), STR_LITERAL("/a/x"));
    CU_ASSERT(route->kind == ROUTE_RESUMABLE && route->timeout_ms == 15000);
    CU_ASSERT(route->target_count == 2 && route->event_gap_target_ms == 600);
    CU_ASSERT(catalog_find_service(catalog, STR_LITERAL("s"))->gap_target_ms ==
              600);
    // A route of unknown kind is not repeatable.
    route = catalog_find_route(catalog, STR_LITERAL("h"), STR_LITERAL("/b/"));
    CU_ASSERT(route->kind == ROUTE_AT_MOST_ONCE);
    CU_ASSERT(catalog_find_service(catalog, STR_LITERAL("s"))->is_model);
    CU_ASSERT(catalog_find_account(catalog, STR_LITERAL("k"))->has_priority);
    catalog_unref(catalog);
}

#define ROUTES 1000

/// Writes a configuration of many routes; the time-out of route `changed` and
/// the version differ.
static struct str
write_configuration(char *text, size_t size, int version, int changed,
                    const char *space)
{
    size_t at = (size_t)snprintf(text, size, "{\"version\":%d,%s\"routes\":[",
                                 version, space);

    for (int i = 0; i < ROUTES; i++) {
        at += (size_t)snprintf(
            text + at, size - at,
            "%s%s{\"name\":\"r{[\\\"%d\",\"host\":\"h\",\"path_prefix\":"
            "\"/%d/\",\"kind\":\"streaming\",\"timeout_ms\":%d,"
            "\"service\":\"s\"}",
            i > 0 ? "," : "", space, i, i, i == changed ? 7 : 15000);
    }
    at += (size_t)snprintf(text + at, size - at,
                           "%s],\"limits\":{\"idle_timeout_ms\":%d},"
                           "\"tenants\":[{\"name\":\"routes\",\"api_keys\":"
                           "[\"k\"]}]}",
                           space, 1000 + version);
    return (struct str){text, at};
}

/// Issue 24: a version that changes one route of a thousand kept the process
/// busy for as long as the first one.
static void
test_configuration_changes_one_route(void)
{
    static char first_text[ROUTES * 200], next_text[ROUTES * 200];
    struct err err = {0};
    struct str first_str =
        write_configuration(first_text, sizeof(first_text), 1, -1, "");
    struct str next_str =
        write_configuration(next_text, sizeof(next_text), 2, 500, "\n ");
    struct catalog *first, *next;
    const struct catalog_route *route;

    first = platform_wire.read_catalog(first_str, NULL, &err);
    CU_ASSERT_FATAL(first != NULL);
    CU_ASSERT(catalog_reused_route_count(first) == 0);
    next = platform_wire.read_catalog(next_str, first, &err);
    CU_ASSERT_FATAL(next != NULL);
    CU_ASSERT(catalog_route_count(next) == ROUTES);
    CU_ASSERT(catalog_reused_route_count(next) == ROUTES - 1);
    CU_ASSERT(catalog_version(next) == 2);
    CU_ASSERT(catalog_limits(next)->idle_timeout_ms == 1002);
    CU_ASSERT(catalog_find_account(next, STR_LITERAL("k")) != NULL);
    route = catalog_find_route(next, STR_LITERAL("h"), STR_LITERAL("/500/"));
    CU_ASSERT(route->timeout_ms == 7);
    route = catalog_find_route(first, STR_LITERAL("h"), STR_LITERAL("/500/"));
    CU_ASSERT(route->timeout_ms == 15000);
    catalog_unref(first);
    route = catalog_find_route(next, STR_LITERAL("h"), STR_LITERAL("/501/"));
    CU_ASSERT(route->timeout_ms == 15000);
    CU_ASSERT(str_equal_c(route->name, "r{[\"501"));
    first = platform_wire.read_catalog(first_str, next, &err);
    CU_ASSERT(catalog_reused_route_count(first) == ROUTES - 1);
    catalog_unref(next);
    catalog_unref(first);
}

/// Texts whose list of routes cannot be split are rejected or read as a whole.
static void
test_unusual_configurations(void)
{
    static const struct {
        const char *text;
        int routes; ///< -1: rejected
    } cases[] = {
        {"{\"version\":1}", 0},
        {"{\"version\":1,\"routes\":[]}", 0},
        {"{\"version\":1,\"routes\":[ ] }", 0},
        {"{\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\"}],"
         "\"version\":1}",
         1},
        {"{\"version\":1,\"x\":{\"routes\":[{}]},\"y\":\"routes\"}", 0},
        {"{\"version\":1,\"routes\":[{\"host\":\"a\"},]}", -1},
        {"{\"version\":1,\"routes\":[{\"host\":\"a\"}{\"host\":\"b\"}]}", -1},
        {"{\"version\":1,\"routes\":[{\"host\":\"a\"}", -1},
        {"{\"version\":1,\"routes\":[{\"host\":\"a}]}", -1},
        {"{\"version\":1,\"routes\":[{\"host\":}]}", -1},
        {"{\"version\":1,\"routes\":[{\"host\":\"a\"]}]}", -1},
        {"{\"version\":1,\"routes\":[{}]} x", -1},
        {"{\"version\":1,\"routes\":7}", 0},
        {"{\"version\":1,\"routes\":[", -1},
        {"{\"routes\":[{}]}", -1},
        {"[]", -1},
        {"", -1},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct err err = {0};
        struct catalog *catalog =
            platform_wire.read_catalog(str_from(cases[i].text), NULL, &err);
        int routes = catalog != NULL ? (int)catalog_route_count(catalog) : -1;

        if (routes != cases[i].routes) {
            printf("case %zu: %d routes\n", i, routes);
            CU_FAIL("unexpected result");
        }
        catalog_unref(catalog);
    }
}

/// What is stated about cold endpoints; an invalid number must not limit them
/// for ever.
static void
test_cold(void)
{
    static const struct {
        const char *value;
        int64_t ms; ///< -1: not stated
    } cases[] = {{"2500", 2500}, {"0", 0}, {"-5", -1}, {"x", -1}, {"", -1}};
    const struct catalog_service *service;
    struct catalog *catalog;
    struct err err = {0};
    struct str zone;

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct answer_facts facts;
        struct http1 http;
        char text[128];

        snprintf(text, sizeof(text),
                 "HTTP/1.1 200 X\r\nDandelionvalve-Cold-Ms: %s\r\n\r\n",
                 cases[i].value);
        CU_ASSERT(parse(&http, HTTP_RESPONSE, text));
        platform_wire.read_answer(&http, &facts);
        CU_ASSERT(facts.has_cold == (cases[i].ms >= 0));
        CU_ASSERT(!facts.has_cold || facts.cold_ms == cases[i].ms);
        http1_destroy(&http);
    }
    catalog = platform_wire.read_catalog(
        str_from("{\"version\":1,\"services\":[{\"name\":\"a\","
                 "\"cold_start_s\":6.5,\"cold_per_s\":9.3},{\"name\":\"b\","
                 "\"cold_start_s\":-1,\"cold_per_s\":\"9\"}]}"),
        NULL, &err);
    CU_ASSERT_FATAL(catalog != NULL);
    service = catalog_find_service(catalog, STR_LITERAL("a"));
    CU_ASSERT(service->cold_start_ms == 6500 && service->cold_per_s == 9.3);
    service = catalog_find_service(catalog, STR_LITERAL("b"));
    CU_ASSERT(service->cold_start_ms == 0 && service->cold_per_s == 0);
    catalog_unref(catalog);
    CU_ASSERT(
        platform_wire.read_evacuation(STR_LITERAL("evacuate/z-1"), &zone) &&
        str_equal_c(zone, "z-1"));
    CU_ASSERT(!platform_wire.read_evacuation(STR_LITERAL("evacuate/"), &zone));
    CU_ASSERT(!platform_wire.read_evacuation(STR_LITERAL("config"), &zone));
}

/// Any number of 64 bits but the last is an era; everything else is none.
static void
test_eras(void)
{
    static const struct {
        const char *text;
        uint64_t era;
    } cases[] = {
        {"0", 1},
        {"007", 8},
        {"8388607", 8388608},
        {"1765000000", 1765000001},
        {"9223372036854775807", (uint64_t)INT64_MAX + 1},
        {"18446744073709551614", UINT64_MAX},
        {"18446744073709551615", 0},
        {"18446744073709551616", 0},
        {"99999999999999999999", 0},
        {"-1", 0},
        {"+1", 0},
        {"1.5", 0},
        {"1, 2", 0},
        {"two", 0},
        {"", 0},
        {"1\r\nStore-Era: 2", 0},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char head[128];
        struct http1 http;
        struct str text;

        snprintf(head, sizeof(head),
                 "HTTP/1.1 200 OK\r\nStore-Era: %s\r\n\r\n", cases[i].text);
        CU_ASSERT(parse(&http, HTTP_RESPONSE, head));
        CU_ASSERT(store_era_read(&http, &text) == cases[i].era);
        http1_destroy(&http);
    }
}

void
suite_wire(void)
{
    CU_pSuite suite = CU_add_suite("wire", NULL, NULL);

    CU_add_test(suite, "read request", test_read_request);
    CU_add_test(suite, "malformed prefix hash", test_malformed_prefix_hash);
    CU_add_test(suite, "read response", test_read_response);
    CU_add_test(suite, "read work percent", test_read_work_percent);
    CU_add_test(suite, "read length hint", test_read_length_hint);
    CU_add_test(suite, "request smuggling is rejected",
                test_request_smuggling_rejected);
    CU_add_test(suite, "endpoint records", test_endpoint_records);
    CU_add_test(suite, "versions of endpoints", test_endpoint_versions);
    CU_add_test(suite, "eras of the store", test_eras);
    CU_add_test(suite, "configuration", test_configuration);
    CU_add_test(suite, "a configuration changes one route of many",
                test_configuration_changes_one_route);
    CU_add_test(suite, "unusual configurations", test_unusual_configurations);
    CU_add_test(suite, "cold endpoints and evacuations", test_cold);
}
