/// Memory and processor time per placement, account, endpoint, member, message
/// and claim: the coefficients of docs/CAPACITY.md.
#include "measure.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/xmalloc.h"
#include "dandelionvalve/claim.h"
#include "dandelionvalve/conf.h"
#include "dandelionvalve/gate.h"
#include "dandelionvalve/gossip.h"
#include "dandelionvalve/members.h"
#include "dandelionvalve/message.h"
#include "dandelionvalve/route.h"

static struct manual_clock manual;
static struct clock manual_interface;
static struct random_seeded seeded;
static struct random_source random_interface;

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static double
cpu_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
print_row(const struct measure_options *options, const char *name,
          double value, const char *unit)
{
    printf("%-44s %12.2f %s\n", name, value, unit);
    if (options->csv != NULL) {
        fprintf(options->csv, "%s,%.3f,%s\n", name, value, unit);
    }
}

static struct route *
new_route(size_t endpoints, size_t placements)
{
    const struct route_options options = {
        .clock = &manual_interface,
        .random = &random_interface,
        .placements_max = placements,
        .rendezvous_places = ROUTE_RENDEZVOUS_PLACES,
        .refusals_max = ROUTE_REFUSALS_MAX,
    };
    struct route *route = route_new(&options);

    for (size_t i = 0; i < endpoints; i++) {
        char name[32];
        struct route_endpoint_options endpoint = {.weight = 16};

        snprintf(name, sizeof(name), "engine-%zu", i);
        endpoint.name = str_from(name);
        route_add(route, &endpoint);
    }
    return route;
}

static void
measure_route(const struct measure_options *options)
{
    const size_t placements = 20000;
    size_t before = heap_bytes();
    struct route *route = new_route(120, placements);
    size_t after = heap_bytes();
    struct route_request request = {.has_key = true};
    struct route_choice choice;
    double start;

    print_row(options, "router: bytes an endpoint",
              (double)(after - before) / 120, "B");
    before = heap_bytes();
    for (size_t i = 0; i < placements; i++) {
        request.key_hash = i;
        route_record_placement(route, &request, STR_LITERAL("engine-1"),
                               ROUTE_OVERFLOW);
    }
    after = heap_bytes();
    print_row(options, "router: bytes an overflow placement",
              (double)(after - before) / (double)placements, "B");
    start = cpu_us();
    for (size_t i = 0; i < placements; i++) {
        request.key_hash = i + placements;
        route_pick(route, &request, &choice);
    }
    print_row(options, "router: choice among 120 endpoints",
              (cpu_us() - start) / (double)placements, "us");
    route_free(route);
}

static char *
document_text(size_t accounts, size_t *len)
{
    char *text = NULL;
    FILE *out = open_memstream(&text, len);

    fprintf(out, "[[pool]]\nname = \"p\"\nkind = \"service\"\n"
                 "[[route]]\nname = \"r\"\npath = \"/\"\npool = \"p\"\n"
                 "repeatable = true\n");
    for (size_t i = 0; i < accounts; i++) {
        fprintf(out,
                "[[account]]\nname = \"account-%zu\"\nkey_hash = \"%064zx\"\n"
                "weight = 1\n",
                i, i);
    }
    fclose(out);
    return text;
}

static void
measure_accounts(const struct measure_options *options)
{
    const size_t accounts = 22000;
    size_t len;
    char *text = document_text(accounts, &len);
    size_t before = heap_bytes();
    double start = cpu_us();
    struct err err = {0};
    struct conf *conf = conf_parse((struct str){text, len}, "doc", &err);
    double parsed = cpu_us();
    size_t after = heap_bytes();

    print_row(options, "document: bytes an account",
              (double)len / (double)accounts, "B");
    print_row(options, "configuration: bytes an account",
              (double)(after - before) / (double)accounts, "B");
    print_row(options, "configuration: parse of 22000 accounts",
              (parsed - start) / 1000, "ms");
    start = cpu_us();
    for (int i = 0; i < 10000; i++) {
        conf_find_account(conf, STR_LITERAL("some-api-key-of-a-caller"));
    }
    print_row(options, "router: account of an API key",
              (cpu_us() - start) / 10000, "us");
    conf_free(conf);
    free(text);
}

static void
ignore_member(void *ctx, const struct member *member)
{
    (void)ctx;
    (void)member;
}

static void
measure_members_state(const struct measure_options *options)
{
    const size_t count = 950;
    const struct members_options members_options = {
        .clock = &manual_interface,
        .changed = ignore_member,
        .removed = ignore_member,
        .probe = ignore_member,
    };
    struct member_info *infos = xcalloc(count, sizeof(*infos));
    char(*names)[32] = xcalloc(count, sizeof(*names));
    struct members *members = members_new(&members_options);
    size_t before;
    double start;

    for (size_t i = 0; i < count; i++) {
        snprintf(names[i], sizeof(names[i]), "member-%zu", i);
        infos[i] = (struct member_info){
            .name = str_from(names[i]),
            .role = MEMBER_AGENT,
            .zone = STR_LITERAL("zone-of-some-name"),
            .pool = STR_LITERAL("some-pool"),
            .address = STR_LITERAL("127.100.100.100:7000"),
            .control = STR_LITERAL("127.100.100.100:7100"),
            .weight = 16,
        };
    }
    before = heap_bytes();
    start = cpu_us();
    members_apply_list(members, infos, count);
    print_row(options, "members: bytes a member",
              (double)(heap_bytes() - before) / (double)count, "B");
    print_row(options, "members: list of 950 taken", (cpu_us() - start) / 1000,
              "ms");
    start = cpu_us();
    for (int i = 0; i < 100; i++) {
        members_tick(members);
    }
    print_row(options, "members: tick over 950", (cpu_us() - start) / 100,
              "us");
    members_free(members);
    free(names);
    free(infos);
}

static void
measure_messages(const struct measure_options *options)
{
    struct message_codec *codec = message_codec_new();
    struct message offer = {
        .type = MESSAGE_OFFER,
        .offer =
            {
                .account = STR_LITERAL("account-01234"),
                .route = STR_LITERAL("completions"),
                .method = STR_LITERAL("POST"),
                .uri = STR_LITERAL("/v1/chat/completions"),
                .header_count = 6,
            },
    };
    struct message end = {.type = MESSAGE_END};
    struct message in;
    struct err err = {0};
    char body[2000];
    struct str bytes;
    double start;

    memset(body, 'x', sizeof(body));
    offer.offer.body = (struct str){body, sizeof(body)};
    offer.offer.body_bytes = sizeof(body);
    for (size_t i = 0; i < offer.offer.header_count; i++) {
        offer.offer.headers[i].name = STR_LITERAL("Some-Header");
        offer.offer.headers[i].value = STR_LITERAL("some value of it");
    }
    bytes = message_encode(codec, &offer);
    print_row(options, "link: offer with a body of 2000 bytes",
              (double)bytes.len, "B");
    start = cpu_us();
    for (int i = 0; i < 100000; i++) {
        bytes = message_encode(codec, &offer);
        message_decode(codec, bytes, &in, &err);
    }
    print_row(options, "link: offer encoded and decoded",
              (cpu_us() - start) / 100000, "us");
    start = cpu_us();
    for (int i = 0; i < 100000; i++) {
        bytes = message_encode(codec, &end);
        message_decode(codec, bytes, &in, &err);
    }
    print_row(options, "link: end encoded and decoded",
              (cpu_us() - start) / 100000, "us");
    message_codec_free(codec);
}

static void
ignore_admitted(void *ctx, void *request)
{
    (void)ctx;
    (void)request;
}

static void
ignore_dropped(void *ctx, void *request, enum refuse_reason reason,
               uint32_t retry_after_ms)
{
    (void)ctx;
    (void)request;
    (void)reason;
    (void)retry_after_ms;
}

static void
measure_gate(const struct measure_options *options)
{
    const struct gate_options gate_options = {
        .clock = &manual_interface,
        .random = &random_interface,
        .slots = 1,
        .bound_multiple = 1.25,
        .queue_requests_max = 100000,
        .queue_bytes_max = SIZE_MAX / 2,
        .report_max_age_ms = GATE_REPORT_MAX_AGE_MS,
        .admitted = ignore_admitted,
        .dropped = ignore_dropped,
    };
    struct gate *gate = gate_new(&gate_options);
    struct gate_request request = {
        .account_weight = 1,
        .deadline_ms = INT64_MAX,
        .may_wait = true,
    };
    size_t before = heap_bytes();
    double start;
    char name[32];

    for (int i = 0; i < 350; i++) {
        snprintf(name, sizeof(name), "router-%d", i);
        gate_set_router_in_flight(gate, str_from(name), 10);
    }
    print_row(options, "agent: bytes a router's number",
              (double)(heap_bytes() - before) / 350, "B");
    before = heap_bytes();
    start = cpu_us();
    for (int i = 0; i < 10000; i++) {
        snprintf(name, sizeof(name), "account-%d", i);
        request.account = str_from(name);
        gate_offer(gate, &request);
    }
    print_row(options, "agent: offer to the gate", (cpu_us() - start) / 10000,
              "us");
    print_row(options, "agent: bytes a waiting request",
              (double)(heap_bytes() - before) / 10000, "B");
    gate_free(gate);
}

static void
ignore_append(void *ctx, struct str record)
{
    (void)ctx;
    (void)record;
}

static void
ignore_decided(void *ctx, void *request, const struct claim_decision *decision)
{
    (void)ctx;
    (void)request;
    (void)decision;
}

static void
measure_claims_state(const struct measure_options *options)
{
    const struct claim_options claim_options = {
        .clock = &manual_interface,
        .random = &random_interface,
        .window_ms = 1000000,
        .answer_bytes_max = 8192,
        .append = ignore_append,
        .decided = ignore_decided,
    };
    const int count = 20000;
    struct claims *claims = claims_new(&claim_options);
    size_t before;
    size_t bytes = 0;
    double start;
    double spent = 0;

    claim_set_log_start(claims, 0, 100000000);
    before = heap_bytes();
    for (int i = 0; i < count; i++) {
        char *record = xasprintf(
            "{\"claims\":[{\"key\":\"account-1/018bcfe5-6800-7000-8000-"
            "%012d\",\"nonce\":\"%032d\",\"hash\":%d,\"limit\":20000,"
            "\"window\":86400000}],\"outcomes\":[{\"key\":\"account-1/"
            "018bcfe5-6800-7000-8000-%012d\",\"nonce\":\"%032d\",\"status\":"
            "200,\"type\":\"application/json\",\"body\":\"{\\\"number\\\":"
            "%d}\",\"kept\":true}],\"releases\":[]}",
            i, i, i, i, i, i);

        bytes += strlen(record);
        start = cpu_us();
        claim_apply_record(claims, i, 0, str_from(record));
        spent += cpu_us() - start;
        free(record);
    }
    print_row(options, "claims: bytes of state a key",
              (double)(heap_bytes() - before) / count, "B");
    print_row(options, "claims: bytes in the log a key", (double)bytes / count,
              "B");
    print_row(options, "claims: fold of a key's records", spent / count, "us");
    claims_free(claims);
}

int
measure_slopes(const struct measure_options *options)
{
    manual_interface = manual_clock_interface(&manual);
    seeded.state = options->seed;
    random_interface = random_seeded_interface(&seeded);
    if (options->csv != NULL) {
        fprintf(options->csv, "name,value,unit\n");
    }
    measure_route(options);
    measure_accounts(options);
    measure_members_state(options);
    measure_messages(options);
    measure_gate(options);
    measure_claims_state(options);
    return 0;
}
