/// Requests that share a part of their prompt and crash the endpoints that
/// begin to answer them, among sound ones that share their other parts.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>

#include "direct/direct_state.h"
#include "direct/services.h"
#include "direct_harness.h"
#include "net/http_client.h"
#include "net/link.h"
#include "suites.h"

#define ORIGINS 4
#define WORK_US 5000
#define EVENTS 4
#define AWAY_MS 250
#define WAIT_MS 5000
/// Time between requests that crash endpoints: longer than the interval in
/// which crashes count once.
#define PAUSE_MS 350
#define CRASHES_MAX 5
#define CALLS_MAX 40

#define DRAFT "/stream/draft/"
#define DEADLY "dead"
#define SHARED "aa:100,bb:100"
#define DEADLY_PROMPT SHARED "," DEADLY ":50"
/// A prompt that takes longer than a request may wait.
#define LONG_PROMPT "Dandelionvalve-Prefix-Hash: ee:2000000\r\n"
#define SOUND_PROMPT SHARED ",cc:50"

struct fleet {
    struct direct_harness harness;
    bool keeps_incarnation; ///< of endpoints that come back
    unsigned calls;
};

static void
on_back(void *ctx, struct origin *origin)
{
    struct fleet *fleet = ctx;

    for (size_t i = 0; i < ORIGINS && !fleet->keeps_incarnation; i++) {
        if (fleet->harness.origins[i] == origin) {
            char id[] = {'e', '-', (char)('0' + i), '\0'};

            direct_harness_put_restarted(&fleet->harness, id, origin);
        }
    }
}

/// `random` NULL: the routers use the system's.
static void
fleet_start_with_random(struct fleet *fleet, size_t routers, int64_t work_us,
                        const struct random_source *random)
{
    *fleet = (struct fleet){0};
    direct_harness_start(&fleet->harness, &(struct direct_harness_options){
                                              .routers = routers,
                                              .origins = ORIGINS,
                                              .events = EVENTS,
                                              .work_us = work_us,
                                              .random = random,
                                          });
    for (size_t i = 0; i < ORIGINS; i++) {
        origin_set_crash(fleet->harness.origins[i],
                         &(struct origin_crash_options){
                             .part = DEADLY,
                             .away_ms = AWAY_MS,
                             .back = on_back,
                             .ctx = fleet,
                         });
    }
}

static void
fleet_start(struct fleet *fleet, size_t routers, int64_t work_us)
{
    fleet_start_with_random(fleet, routers, work_us, NULL);
}

static uint64_t
crashes(const struct fleet *fleet)
{
    uint64_t count = 0;

    for (size_t i = 0; i < ORIGINS; i++) {
        count += origin_crashes(fleet->harness.origins[i]);
    }
    return count;
}

static bool
all_up(void *ctx)
{
    const struct fleet *fleet = ctx;

    for (size_t i = 0; i < ORIGINS; i++) {
        if (!origin_is_up(fleet->harness.origins[i])) {
            return false;
        }
    }
    return true;
}

/// Starts a request with a body, an id and a last part of its own behind
/// `parts`.
static void
call_start(struct fleet *fleet, size_t router, struct direct_call *call,
           const char *path, const char *parts)
{
    unsigned number = ++fleet->calls;
    char id[32], body[32], fields[256];

    snprintf(id, sizeof(id), "id-%u", number);
    snprintf(body, sizeof(body), "body %u", number);
    snprintf(fields, sizeof(fields),
             "Dandelionvalve-Prefix-Hash: %s,%x:10\r\n", parts,
             0x10000 + number);
    direct_call_start(&fleet->harness, router, call, "POST", path, id, fields,
                      body);
}

/// Sends such a request and returns the status of its answer, 0 if it was
/// not complete.
static int
call_status(struct fleet *fleet, size_t router, const char *path,
            const char *parts)
{
    struct direct_call call = {0};
    int status;

    call_start(fleet, router, &call, path, parts);
    CU_ASSERT(direct_harness_wait(&fleet->harness, direct_call_ended, &call,
                                  WAIT_MS));
    status = call.end == CHANNEL_COMPLETE ? call.status : 0;
    if (status == 503 && atof(call.retry_after) <= 0) {
        CU_FAIL("a refusal without Retry-After");
    }
    direct_call_free(&call);
    return status;
}

struct scrape {
    struct evbuffer *text;
    bool ended;
};

static void
on_scrape_data(void *ctx, struct evbuffer *data)
{
    evbuffer_add_buffer(((struct scrape *)ctx)->text, data);
}

static void
on_scrape_end(void *ctx, enum http_call_result result)
{
    (void)result;
    ((struct scrape *)ctx)->ended = true;
}

static bool
scrape_ended(void *ctx)
{
    return ((struct scrape *)ctx)->ended;
}

/// A router's metric; -1 if it has none of this name.
static int
metric(struct fleet *fleet, size_t router, const char *name)
{
    struct http_client *client = http_client_new(&(struct http_client_options){
        .base = fleet->harness.base,
        .address = direct_ready_address(fleet->harness.routers[router]),
        .idle_connections_max = 1,
        .header_bytes_max = 65536,
        .connect_timeout_s = 1,
    });
    struct scrape scrape = {.text = evbuffer_new()};
    const char *line;
    char start[64];
    int value = -1;

    http_call(client, &(struct http_call_options){
                          .method = STR_LITERAL("GET"),
                          .uri = STR_LITERAL("/metrics"),
                          .data = on_scrape_data,
                          .end = on_scrape_end,
                          .ctx = &scrape,
                      });
    CU_ASSERT(
        direct_harness_wait(&fleet->harness, scrape_ended, &scrape, WAIT_MS));
    evbuffer_add(scrape.text, "", 1);
    snprintf(start, sizeof(start), "\n%s ", name);
    line = strstr((const char *)evbuffer_pullup(scrape.text, -1), start);
    if (line != NULL) {
        value = atoi(line + strlen(start));
    }
    evbuffer_free(scrape.text);
    http_client_free(client);
    return value;
}

static bool
wait_metric(struct fleet *fleet, size_t router, const char *name, int value)
{
    int64_t end_ms = clock_ms(&clock_monotonic) + WAIT_MS;

    while (metric(fleet, router, name) != value) {
        if (clock_ms(&clock_monotonic) > end_ms) {
            return false;
        }
        direct_harness_run(&fleet->harness, 20);
    }
    return true;
}

/// Sends deadly requests through one router until one is refused; with
/// `sound` also sound ones that share parts with them.
static void
crash_until_held(struct fleet *fleet, size_t router, bool sound)
{
    int status = 502;

    for (int i = 0; i <= CRASHES_MAX && status == 502; i++) {
        CU_ASSERT(!sound ||
                  call_status(fleet, router, DRAFT, SOUND_PROMPT) == 200);
        status = call_status(fleet, router, DRAFT, DEADLY_PROMPT);
        direct_harness_run(&fleet->harness, PAUSE_MS);
    }
    CU_ASSERT_FATAL(status == 503);
}

static void
check_deadly_part(bool keeps_incarnation)
{
    struct fleet fleet;
    int last_status = 0;

    fleet_start(&fleet, 2, WORK_US);
    fleet.keeps_incarnation = keeps_incarnation;
    CU_ASSERT(wait_metric(&fleet, 0, "routers_linked", 1));
    CU_ASSERT(wait_metric(&fleet, 1, "routers_linked", 1));
    for (size_t i = 0; i < 14; i++) {
        uint64_t before = crashes(&fleet);

        CU_ASSERT(call_status(&fleet, i % 2, DRAFT, SOUND_PROMPT) == 200);
        last_status = call_status(&fleet, i % 2, DRAFT, DEADLY_PROMPT);
        CU_ASSERT(last_status == (crashes(&fleet) > before ? 502 : 503));
        CU_ASSERT(call_status(&fleet, (i + 1) % 2, DRAFT, SOUND_PROMPT) ==
                  200);
        CU_ASSERT(call_status(&fleet, i % 2, DRAFT, SHARED) == 200);
        direct_harness_run(&fleet.harness, PAUSE_MS);
    }
    CU_ASSERT(crashes(&fleet) > 0);
    CU_ASSERT(crashes(&fleet) <= CRASHES_MAX);
    CU_ASSERT(last_status == 503);
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(metric(&fleet, i, "prompt_parts_held") == 1);
        CU_ASSERT(call_status(&fleet, i, DRAFT, SOUND_PROMPT) == 200);
    }
    direct_harness_stop(&fleet.harness);
}

/// Guards against: deadly requests that are never alike crash one endpoint
/// after the other, or sound ones that share parts with them are refused.
static void
test_deadly_part_spares_sound_requests(void)
{
    check_deadly_part(false);
}

/// Guards against: crashes of an endpoint that comes back within two seconds
/// with the same incarnation are taken for one.
static void
test_crashes_of_one_incarnation(void)
{
    check_deadly_part(true);
}

/// Guards against: the parts of sound requests that are cut off beside deadly
/// ones are held in their place.
static void
test_requests_beside_deadly_ones(void)
{
    struct fleet fleet;

    fleet_start(&fleet, 2, 40000);
    CU_ASSERT(wait_metric(&fleet, 0, "routers_linked", 1));
    CU_ASSERT(wait_metric(&fleet, 1, "routers_linked", 1));
    for (size_t round = 0; round < 8; round++) {
        struct direct_call calls[9] = {{0}};

        for (size_t i = 0; i < 8; i++) {
            call_start(&fleet, i % 2, &calls[i], DRAFT, SOUND_PROMPT);
        }
        call_start(&fleet, round % 2, &calls[8], DRAFT, DEADLY_PROMPT);
        for (size_t i = 0; i < 9; i++) {
            CU_ASSERT(direct_harness_wait(&fleet.harness, direct_call_ended,
                                          &calls[i], WAIT_MS));
            direct_call_free(&calls[i]);
        }
        direct_harness_run(&fleet.harness, PAUSE_MS);
    }
    CU_ASSERT(crashes(&fleet) > 0);
    CU_ASSERT(crashes(&fleet) <= CRASHES_MAX);
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(metric(&fleet, i, "prompt_parts_held") == 1);
        CU_ASSERT(call_status(&fleet, i, DRAFT, DEADLY_PROMPT) == 503);
        CU_ASSERT(call_status(&fleet, i, DRAFT, SOUND_PROMPT) == 200);
    }
    direct_harness_stop(&fleet.harness);
}

/// Guards against: each router that starts later learns by crashes of its own
/// which part is deadly.
static void
test_late_router_learns_held_part(void)
{
    // Without sound requests before, no part can be told from the others.
    static const bool sound[] = {true, false};

    for (size_t i = 0; i < 2; i++) {
        struct fleet fleet;
        uint64_t before;

        fleet_start(&fleet, 2, WORK_US);
        direct_harness_stop_router(&fleet.harness, 1);
        crash_until_held(&fleet, 0, sound[i]);
        before = crashes(&fleet);
        direct_harness_start_router(&fleet.harness, 1);
        CU_ASSERT(wait_metric(&fleet, 1, "routers_linked", 1));
        CU_ASSERT(
            wait_metric(&fleet, 1, "prompt_parts_held", sound[i] ? 1 : 3));
        CU_ASSERT(call_status(&fleet, 1, DRAFT, DEADLY_PROMPT) == 503);
        CU_ASSERT(call_status(&fleet, 1, DRAFT, SOUND_PROMPT) == 200);
        for (size_t j = 0; j < 2; j++) {
            CU_ASSERT(wait_metric(&fleet, j, "prompt_parts_held", 1));
            CU_ASSERT(call_status(&fleet, j, DRAFT, DEADLY_PROMPT) == 503);
        }
        CU_ASSERT(crashes(&fleet) == before);
        direct_harness_stop(&fleet.harness);
    }
}

/// Guards against: the request whose crash begins the hold, which admission
/// has let pass, is retried and crashes the next endpoint.
static void
test_held_request_is_not_retried(void)
{
    static const char *const paths[] = {"/stream/chat/", "/look/"};

    for (size_t i = 0; i < 2; i++) {
        struct fleet fleet;

        // Before the part is held, such a request is retried once.
        fleet_start(&fleet, 1, WORK_US);
        CU_ASSERT(call_status(&fleet, 0, paths[i], DEADLY_PROMPT) == 502);
        CU_ASSERT(crashes(&fleet) == 2);
        direct_harness_stop(&fleet.harness);
        fleet_start(&fleet, 1, WORK_US);
        for (size_t j = 0; j < 2; j++) {
            CU_ASSERT(call_status(&fleet, 0, DRAFT, DEADLY_PROMPT) == 502);
            direct_harness_run(&fleet.harness, PAUSE_MS);
        }
        CU_ASSERT(crashes(&fleet) == 2);
        CU_ASSERT(call_status(&fleet, 0, paths[i], DEADLY_PROMPT) == 502);
        CU_ASSERT(metric(&fleet, 0, "prompt_parts_held") > 0);
        CU_ASSERT(crashes(&fleet) == 3);
        direct_harness_run(&fleet.harness, PAUSE_MS);
        CU_ASSERT(call_status(&fleet, 0, paths[i], DEADLY_PROMPT) == 503);
        CU_ASSERT(crashes(&fleet) == 3);
        direct_harness_stop(&fleet.harness);
    }
}

static bool
all_run(const struct fleet *fleet)
{
    for (size_t i = 0; i < ORIGINS; i++) {
        if (origin_running(fleet->harness.origins[i]) == 0) {
            return false;
        }
    }
    return true;
}

/// Guards against: a part that many requests share is held after all
/// endpoints have crashed together for another reason.
static void
test_common_crash_holds_nothing(void)
{
    struct fleet fleet;

    // The answers have begun when the endpoints crash, but sent no event.
    fleet_start(&fleet, 2, 700000);
    CU_ASSERT(wait_metric(&fleet, 0, "routers_linked", 1));
    CU_ASSERT(wait_metric(&fleet, 1, "routers_linked", 1));
    for (size_t round = 0; round < 3; round++) {
        struct direct_call calls[CALLS_MAX] = {{0}};
        size_t count = 0;

        while (count < CALLS_MAX && (count < 12 || !all_run(&fleet))) {
            char parts[32];

            // The second part varies, so that all endpoints are chosen.
            snprintf(parts, sizeof(parts), "popular:50,%zx%zx:50", round,
                     count);
            call_start(&fleet, count % 2, &calls[count],
                       count / 2 % 2 == 0 ? DRAFT : "/stream/chat/", parts);
            direct_harness_run(&fleet.harness, 10);
            count++;
        }
        CU_ASSERT(all_run(&fleet));
        for (size_t i = 0; i < ORIGINS; i++) {
            origin_crash(fleet.harness.origins[i]);
        }
        for (size_t i = 0; i < count; i++) {
            CU_ASSERT(direct_harness_wait(&fleet.harness, direct_call_ended,
                                          &calls[i], WAIT_MS));
            CU_ASSERT(calls[i].status != 200);
            direct_call_free(&calls[i]);
        }
        CU_ASSERT(
            direct_harness_wait(&fleet.harness, all_up, &fleet, WAIT_MS));
        // Endpoints that refused connections stay ejected for a while.
        direct_harness_run(&fleet.harness, 2500);
        for (size_t i = 0; i < 2; i++) {
            CU_ASSERT(metric(&fleet, i, "prompt_parts_held") == 0);
            CU_ASSERT(call_status(&fleet, i, DRAFT, "popular:50") == 200);
        }
        for (size_t i = 0; i < 2; i++) {
            CU_ASSERT(metric(&fleet, i, "prompt_parts_held") == 0);
        }
    }
    CU_ASSERT(crashes(&fleet) == 3 * ORIGINS);
    direct_harness_stop(&fleet.harness);
}

/// Sends a request whose last part is the deadly one.
static int
last_part_status(struct fleet *fleet, const char *parts)
{
    struct direct_call call = {0};
    char id[32], body[32], fields[256];
    unsigned number = ++fleet->calls;
    int status;

    snprintf(id, sizeof(id), "id-%u", number);
    snprintf(body, sizeof(body), "body %u", number);
    snprintf(fields, sizeof(fields),
             "Dandelionvalve-Prefix-Hash: %s" DEADLY ":10\r\n", parts);
    direct_call_do(&fleet->harness, 0, &call, "POST", DRAFT, id, fields, body);
    status = call.status;
    direct_call_free(&call);
    return status;
}

/// Guards against: the last part of a prompt, which is private to a request or
/// its session, is held.
static void
test_last_part_is_never_held(void)
{
    static const char *const before[] = {"", SHARED ","};
    struct fleet fleet;
    uint64_t count;

    fleet_start(&fleet, 1, WORK_US);
    for (size_t i = 0; i < 2; i++) {
        for (size_t j = 0; j < 5; j++) {
            CU_ASSERT(call_status(&fleet, 0, DRAFT, SOUND_PROMPT) == 200);
            CU_ASSERT(last_part_status(&fleet, before[i]) == 502);
            direct_harness_run(&fleet.harness, PAUSE_MS);
        }
        CU_ASSERT(metric(&fleet, 0, "prompt_parts_held") == 0);
    }
    CU_ASSERT(crashes(&fleet) == 10);
    // Nor if the same part is held in the prompts of others.
    crash_until_held(&fleet, 0, true);
    CU_ASSERT(metric(&fleet, 0, "prompt_parts_held") == 1);
    count = crashes(&fleet);
    CU_ASSERT(last_part_status(&fleet, SHARED ",") == 502);
    CU_ASSERT(crashes(&fleet) == count + 1);
    direct_harness_stop(&fleet.harness);
}

/// A stand-in for a router of another version.
struct peer {
    struct link_options options;
    struct counters counters;
    struct link *link;
    uint32_t version;
    size_t reports; ///< of crashes and answers
    size_t shares;  ///< reports of accounts' sums
    size_t messages;
    bool closed;
};

static void
on_peer_ready(void *ctx, struct link *link)
{
    ((struct peer *)ctx)->version = link_version(link);
}

static void
on_peer_message(void *ctx, struct link *link, const struct message *message)
{
    struct peer *peer = ctx;

    (void)link;
    peer->messages++;
    peer->reports +=
        message->type == MESSAGE_BLAMES || message->type == MESSAGE_ANSWERED
            ? 1
            : 0;
    peer->shares += message->type == MESSAGE_SHARES ? 1 : 0;
}

static void
on_peer_closed(void *ctx, struct link *link, const struct err *err)
{
    struct peer *peer = ctx;

    (void)link;
    (void)err;
    peer->closed = true;
    peer->link = NULL;
}

static bool
peer_ready(void *ctx)
{
    const struct peer *peer = ctx;

    return peer->version > 0;
}

static void
peer_start(struct fleet *fleet, struct peer *peer, const char *name,
           uint32_t version)
{
    const struct settings_direct *settings = &fleet->harness.settings[0];

    *peer = (struct peer){
        .options =
            {
                .base = fleet->harness.base,
                .clock = &clock_monotonic,
                .random = &random_system,
                .counters = &peer->counters,
                .name = name,
                .role = "router",
                .peer_role = "router",
                .incarnation = 1,
                .version = version,
                .keys = &settings->keys,
                .heartbeat_interval_ms = LINK_HEARTBEAT_INTERVAL_MS,
                .receive_timeout_ms = LINK_RECEIVE_TIMEOUT_MS,
                .probe_timeout_ms = LINK_PROBE_TIMEOUT_MS,
                .handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS,
                .output_bytes_max = LINK_OUTPUT_BYTES_MAX,
                .ready = on_peer_ready,
                .message = on_peer_message,
                .closed = on_peer_closed,
                .ctx = peer,
            },
    };
    peer->link = link_connect(&peer->options, &settings->links, 0);
    CU_ASSERT_FATAL(
        direct_harness_wait(&fleet->harness, peer_ready, peer, WAIT_MS));
    CU_ASSERT(peer->version == version);
}

/// Guards against: a router of an earlier version closes the link because it
/// receives reports that it does not know.
static void
test_earlier_version_receives_no_reports(void)
{
    struct peer earlier, present, late;
    struct fleet fleet;

    fleet_start(&fleet, 1, WORK_US);
    peer_start(&fleet, &earlier, "earlier", 2);
    peer_start(&fleet, &present, "present", 3);
    crash_until_held(&fleet, 0, true);
    // A new link receives the evidence against the parts that are held.
    peer_start(&fleet, &late, "late", 2);
    direct_harness_run(&fleet.harness, PAUSE_MS);
    CU_ASSERT(present.reports > 0);
    CU_ASSERT(!present.closed);
    CU_ASSERT(earlier.reports == 0);
    CU_ASSERT(earlier.messages > 0);
    CU_ASSERT(!earlier.closed);
    CU_ASSERT(late.reports == 0);
    CU_ASSERT(!late.closed);
    link_close(earlier.link);
    link_close(present.link);
    link_close(late.link);
    direct_harness_stop(&fleet.harness);
}

static bool
has_shares(void *ctx)
{
    return ((const struct peer *)ctx)->shares > 0;
}

/// Guards against: a router of version 4 closes the link because it receives
/// sums of accounts; sums are sent though the setting is off.
static void
test_shares_to_present_version_only(void)
{
    struct peer earlier, present;
    struct fleet fleet;

    fleet_start(&fleet, 1, WORK_US);
    peer_start(&fleet, &earlier, "earlier", MESSAGE_VERSION_SHARES - 1);
    peer_start(&fleet, &present, "present", MESSAGE_VERSION_SHARES);
    CU_ASSERT(call_status(&fleet, 0, DRAFT, SOUND_PROMPT) == 200);
    direct_harness_run(&fleet.harness, PAUSE_MS);
    CU_ASSERT(present.messages > 0 && present.shares == 0);
    fleet.harness.settings[0].shares = true;
    direct_reload(fleet.harness.routers[0], &fleet.harness.settings[0]);
    CU_ASSERT(call_status(&fleet, 0, DRAFT, SOUND_PROMPT) == 200);
    CU_ASSERT(
        direct_harness_wait(&fleet.harness, has_shares, &present, WAIT_MS));
    CU_ASSERT(earlier.shares == 0);
    CU_ASSERT(earlier.messages > 0);
    CU_ASSERT(!earlier.closed && !present.closed);
    link_close(earlier.link);
    link_close(present.link);
    direct_harness_stop(&fleet.harness);
}

/// A random source whose draws all are the number in [0, 1) that `ctx` holds.
static uint64_t
constant_next(void *ctx)
{
    return (uint64_t)(*(const double *)ctx * 0x1p64);
}

static int
long_call_status(struct fleet *fleet, const char *id)
{
    struct direct_call call = {0};
    int status;

    direct_call_do(&fleet->harness, 0, &call, "POST", DRAFT, id, LONG_PROMPT,
                   "x");
    status = call.status;
    direct_call_free(&call);
    return status;
}

/// Guards against: a request that cannot begin before its deadline waits for
/// it; an overload is not shared by account, or the refusals are not counted.
static void
test_refusals_with_shares(void)
{
    double draw = 0;
    const struct random_source constant = {constant_next, &draw};
    struct fleet fleet;
    struct services *services;
    int refused = 0;

    fleet_start_with_random(&fleet, 1, WORK_US, &constant);
    CU_ASSERT(long_call_status(&fleet, "off") == 200);
    fleet.harness.settings[0].shares = true;
    direct_reload(fleet.harness.routers[0], &fleet.harness.settings[0]);
    CU_ASSERT(long_call_status(&fleet, "on") == 503);
    CU_ASSERT(metric(&fleet, 0, "dandelionvalve_untimely_total") == 1);
    // Some are admitted all the same, which corrects a wrong prediction.
    draw = (SHED_SHARE_MAX + 1) / 2;
    CU_ASSERT(long_call_status(&fleet, "admitted") == 200);
    CU_ASSERT(metric(&fleet, 0, "dandelionvalve_untimely_total") == 1);
    draw = 0;
    services = direct_services(fleet.harness.routers[0]);
    for (int i = 0; i < 10; i++) {
        for (uint32_t priority = 0; priority < 10; priority++) {
            services_shed(services, STR_LITERAL("models"), priority)
                ->refused_share = SHED_SHARE_MAX;
        }
        refused += call_status(&fleet, 0, DRAFT, SOUND_PROMPT) == 503 ? 1 : 0;
    }
    CU_ASSERT(refused > 0);
    CU_ASSERT(metric(&fleet, 0, "dandelionvalve_shed_total") == refused);
    CU_ASSERT(metric(&fleet, 0, "admission_sums_age_ms") == -1);
    direct_harness_stop(&fleet.harness);
}

static void
set_faults(struct fleet *fleet, enum origin_fault fault, const char *part)
{
    for (size_t i = 0; i < ORIGINS; i++) {
        origin_set_fault(fleet->harness.origins[i], fault);
        origin_set_crash(fleet->harness.origins[i],
                         &(struct origin_crash_options){
                             .part = part,
                             .away_ms = AWAY_MS,
                             .back = on_back,
                             .ctx = fleet,
                         });
    }
}

/// Guards against: reports about requests that only waited at a crashed
/// endpoint use up the limit, and peers never learn which one was answered.
static void
test_deadly_request_among_many_waiting(void)
{
    struct fleet fleet;

    fleet_start(&fleet, 2, 60000);
    CU_ASSERT(wait_metric(&fleet, 0, "routers_linked", 1));
    CU_ASSERT(wait_metric(&fleet, 1, "routers_linked", 1));
    for (size_t round = 0; round < 4; round++) {
        struct direct_call calls[CALLS_MAX + 1] = {{0}};

        CU_ASSERT(call_status(&fleet, 0, DRAFT, SOUND_PROMPT) == 200);
        set_faults(&fleet, ORIGIN_HANGS, DEADLY);
        for (size_t i = 0; i < CALLS_MAX; i++) {
            char parts[32];

            snprintf(parts, sizeof(parts), "aa:100,%zx%zx:50", round, i);
            call_start(&fleet, 0, &calls[i], "/look/", parts);
        }
        direct_harness_run(&fleet.harness, 30);
        set_faults(&fleet, ORIGIN_OK, DEADLY);
        call_start(&fleet, 0, &calls[CALLS_MAX], DRAFT, DEADLY_PROMPT);
        for (size_t i = 0; i <= CALLS_MAX; i++) {
            CU_ASSERT(direct_harness_wait(&fleet.harness, direct_call_ended,
                                          &calls[i], WAIT_MS));
            direct_call_free(&calls[i]);
        }
        direct_harness_run(&fleet.harness, PAUSE_MS);
    }
    CU_ASSERT(metric(&fleet, 0, "prompt_parts_held") == 1);
    CU_ASSERT(metric(&fleet, 1, "prompt_parts_held") == 1);
    CU_ASSERT(call_status(&fleet, 1, DRAFT, DEADLY_PROMPT) == 503);
    direct_harness_stop(&fleet.harness);
}

/// Guards against: an endpoint that rejects a request before it runs it counts
/// as an answer to its prompt, and clears the evidence.
static void
test_rejection_clears_no_evidence(void)
{
    struct fleet fleet;
    int status = 0;

    fleet_start(&fleet, 1, WORK_US);
    for (size_t i = 0; i < 8; i++) {
        set_faults(&fleet, ORIGIN_EARLY_ANSWER, NULL);
        status = call_status(&fleet, 0, DRAFT, DEADLY_PROMPT);
        CU_ASSERT(status == 400 || status == 503);
        set_faults(&fleet, ORIGIN_OK, DEADLY);
        status = call_status(&fleet, 0, DRAFT, DEADLY_PROMPT);
        direct_harness_run(&fleet.harness, PAUSE_MS);
    }
    CU_ASSERT(status == 503);
    CU_ASSERT(crashes(&fleet) <= CRASHES_MAX);
    direct_harness_stop(&fleet.harness);
}

void
suite_blame(void)
{
    CU_pSuite suite = CU_add_suite("blame", NULL, NULL);

    CU_add_test(suite, "deadly part spares sound requests",
                test_deadly_part_spares_sound_requests);
    CU_add_test(suite, "crashes of one incarnation",
                test_crashes_of_one_incarnation);
    CU_add_test(suite, "requests beside deadly ones",
                test_requests_beside_deadly_ones);
    CU_add_test(suite, "late router learns held part",
                test_late_router_learns_held_part);
    CU_add_test(suite, "held request is not retried",
                test_held_request_is_not_retried);
    CU_add_test(suite, "common crash holds nothing",
                test_common_crash_holds_nothing);
    CU_add_test(suite, "last part is never held",
                test_last_part_is_never_held);
    CU_add_test(suite, "earlier version receives no reports",
                test_earlier_version_receives_no_reports);
    CU_add_test(suite, "refusals with shares", test_refusals_with_shares);
    CU_add_test(suite, "shares to the present version only",
                test_shares_to_present_version_only);
    CU_add_test(suite, "deadly request among many waiting",
                test_deadly_request_among_many_waiting);
    CU_add_test(suite, "rejection clears no evidence",
                test_rejection_clears_no_evidence);
}
