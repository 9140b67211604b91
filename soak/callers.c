#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "core/xmalloc.h"
#include "net/http1.h"
#include "soak.h"

/// A process killed or paused within this time may have truncated a response.
#define DISRUPTION_MS 3000
/// Limit from the operators' documentation: a close within this time after the
/// last byte of a request may have crossed the request.
#define CLOSE_RACE_MS 200
#define BODY_BYTES_MAX 4096
#define PROMPT_TOKENS_MIN 20000
#define PROMPT_TOKENS_SPREAD 40000
/// Ticks for each request with a large prompt.
#define LARGE_EVERY 4

enum call_kind {
    CALL_BOOK,
    CALL_LOOK,
    CALL_CHAT,
    CALL_DRAFT,
    CALL_KINDS,
    // Only by soak_other_calls_start():
    CALL_WARM = CALL_KINDS,
    CALL_LARGE,
    CALL_ADDED,
    CALL_KINDS_ALL,
};

struct soak_call {
    struct soak *soak;
    struct soak_router *router;
    enum call_kind kind;
    char id[32];
    int64_t started_ms;
    bool verifying;
    int status;
    char body[BODY_BYTES_MAX];
    size_t body_len;
};

static const char *const paths[CALL_KINDS_ALL] = {
    "/book/", "/look/",         "/stream/chat/", "/stream/draft/",
    "/warm/", "/stream/large/", "/added/"};

static bool
is_at_most_once(enum call_kind kind)
{
    return kind == CALL_BOOK || kind == CALL_DRAFT;
}

static bool
is_plain(enum call_kind kind)
{
    return kind == CALL_BOOK || kind == CALL_LOOK || kind == CALL_WARM ||
           kind == CALL_ADDED;
}

static bool
has_body(enum call_kind kind)
{
    return kind != CALL_LOOK && kind != CALL_WARM && kind != CALL_ADDED;
}

static enum channel_verdict
on_head(void *ctx, const struct http1 *head)
{
    ((struct soak_call *)ctx)->status = http1_status(head);
    return CHANNEL_ACCEPT;
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    struct soak_call *call = ctx;

    if (call->body_len + len < BODY_BYTES_MAX) {
        memcpy(call->body + call->body_len, bytes, len);
        call->body_len += len;
    }
}

/// The complete response body to this call.
static void
expected_body(const struct soak_call *call, char *out, size_t size)
{
    size_t len = 0;

    if (is_plain(call->kind)) {
        snprintf(out, size, "answer to %s, %d bytes", call->id,
                 call->kind == CALL_BOOK ? 4 : 0);
        return;
    }
    for (int i = 1; i <= SOAK_EVENTS; i++) {
        len += (size_t)snprintf(out + len, size - len,
                                "id: %d\ndata: %s/%d\n\n", i, call->id, i);
    }
}

static void
check_body(struct soak_call *call, bool complete)
{
    char expected[BODY_BYTES_MAX];

    expected_body(call, expected, sizeof(expected));
    if (complete ? call->body_len != strlen(expected) ||
                       memcmp(call->body, expected, call->body_len) != 0
                 : call->body_len > strlen(expected) ||
                       memcmp(call->body, expected, call->body_len) != 0) {
        soak_violation(call->soak, "%s %s: wrong response (%zu bytes%s): %.*s",
                       call->id, paths[call->kind], call->body_len,
                       complete ? "" : ", partial", (int)call->body_len,
                       call->body);
    }
}

static uint64_t
count_runs(const struct soak *soak, const char *id)
{
    uint64_t runs = 0;

    for (size_t i = 0; i < SOAK_ORIGINS_ALL; i++) {
        runs += origin_runs_of(soak->origins[i].origin, id);
    }
    return runs;
}

/// True if the request may have crossed the close of an idle connection: it
/// has not run, and the connection was closed within CLOSE_RACE_MS of the
/// request's start.
static bool
is_close_race(const struct soak_call *call)
{
    return call->status == 0 && count_runs(call->soak, call->id) == 0 &&
           soak_now() - call->started_ms <= CLOSE_RACE_MS;
}

static void
check_lost_connection(struct soak_call *call)
{
    const struct soak_router *router = call->router;
    bool plain = is_plain(call->kind);

    if (call->status == 200) {
        check_body(call, false);
    }
    if (plain && router->disrupted_ms < call->started_ms &&
        soak_now() - router->disrupted_ms > DISRUPTION_MS && !router->paused &&
        router->pid != 0 && !is_close_race(call)) {
        soak_violation(call->soak, "%s: %s closed without a response to %s%s",
                       call->id, router->name, paths[call->kind],
                       router->terminating ? " after SIGTERM" : "");
    }
}

/// Whether the route exists shows the version that the router uses.
static void
check_added(const struct soak_call *call)
{
    const struct soak *soak = call->soak;

    if (call->status != 200 && call->status != 404) {
        return;
    }
    if ((call->status == 200) != soak_has_added(soak)) {
        soak_violation(call->soak,
                       "%s: %s answered %d to /added/, not as in version %lld",
                       call->id, call->router->name, call->status,
                       (long long)soak->version);
    }
}

static void
record_id(char **list, size_t *count, const char *id)
{
    if (*count < SOAK_LEDGER_MAX) {
        list[(*count)++] = xstrdup(id);
    }
}

static void
on_end(void *ctx, enum channel_end end, const char *detail)
{
    struct soak_call *call = ctx;
    struct soak *soak = call->soak;
    bool served = end == CHANNEL_COMPLETE && call->status == 200;

    (void)detail;
    soak->in_flight--;
    soak->served += served ? 1 : 0;
    soak->verify_served += served && call->verifying ? 1 : 0;
    if (served) {
        check_body(call, true);
    }
    if (call->kind == CALL_ADDED && end == CHANNEL_COMPLETE) {
        check_added(call);
    }
    else if (!served && end == CHANNEL_COMPLETE) {
        if (call->status >= 400 && call->status < 500 && call->status != 408 &&
            call->status != 421 && call->status != 429) {
            soak_violation(soak, "%s: %s answered %d to %s", call->id,
                           call->router->name, call->status,
                           paths[call->kind]);
        }
        if (is_at_most_once(call->kind) &&
            (call->status == 503 || call->status == 429)) {
            record_id(soak->refused_ids, &soak->refused_count, call->id);
        }
    }
    else if (end == CHANNEL_LOST) {
        check_lost_connection(call);
    }
    else if (end == CHANNEL_MALFORMED) {
        soak_violation(soak, "%s: malformed response from %s", call->id,
                       call->router->name);
    }
    free(call);
}

/// A few large prompts exceed an endpoint's memory.
static void
add_usage(struct soak *soak, enum call_kind kind, struct evbuffer *out)
{
    if (kind == CALL_LARGE) {
        evbuffer_add_printf(
            out, "Dandelionvalve-Token-Usage: %llu,100\r\n",
            (unsigned long long)(PROMPT_TOKENS_MIN +
                                 random_below(&soak->other_random,
                                              PROMPT_TOKENS_SPREAD)));
    }
}

static void
start_call(struct soak *soak, enum call_kind kind, size_t router)
{
    const struct channel_handler handler = {on_head, on_data, on_end, NULL};
    struct channel_handler bound = handler;
    struct evbuffer *out = evbuffer_new();
    const struct channel_request request = {.bytes = out};
    struct soak_call *call = xcalloc(1, sizeof(*call));

    call->soak = soak;
    call->router = &soak->routers[router];
    call->kind = kind;
    call->started_ms = soak_now();
    call->verifying = soak->verifying && kind < CALL_KINDS;
    snprintf(call->id, sizeof(call->id), "c-%llu",
             (unsigned long long)soak->calls++);
    if (soak->calls <= SOAK_LEDGER_MAX) {
        soak->call_routers[soak->calls - 1] =
            (unsigned char)(call->router - soak->routers);
    }
    soak->verify_calls += call->verifying ? 1 : 0;
    if (is_at_most_once(call->kind)) {
        record_id(soak->at_most_once_ids, &soak->at_most_once_count, call->id);
    }
    evbuffer_add_printf(out,
                        "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                        "Dandelionvalve-Request-Id: %s\r\n"
                        "Dandelionvalve-Deadline-Ms: 3000\r\n"
                        "Authorization: Bearer key\r\n",
                        has_body(kind) ? "POST" : "GET", paths[kind],
                        call->id);
    add_usage(soak, kind, out);
    // Requests that are alike and meet crashes are refused as their cause.
    if (kind == CALL_LARGE) {
        evbuffer_add_printf(out, "Content-Length: 8\r\n\r\n%08llx",
                            (unsigned long long)soak->calls);
    }
    else {
        evbuffer_add_printf(out, "%s",
                            has_body(kind) ? "Content-Length: 4\r\n\r\nbody"
                                           : "\r\n");
    }
    bound.ctx = call;
    soak->in_flight++;
    if (channel_send(call->router->pool, &request, &bound) == NULL) {
        on_end(call, CHANNEL_UNSENT, "no connection");
    }
    evbuffer_free(out);
}

void
soak_call_start(struct soak *soak)
{
    size_t router = random_below(&soak->random, SOAK_ROUTERS);

    start_call(soak, (enum call_kind)random_below(&soak->random, CALL_KINDS),
               router);
}

void
soak_other_calls_start(struct soak *soak)
{
    start_call(soak, CALL_WARM,
               random_below(&soak->other_random, SOAK_ROUTERS));
    if (random_below(&soak->other_random, LARGE_EVERY) == 0) {
        start_call(soak, CALL_LARGE,
                   random_below(&soak->other_random, SOAK_ROUTERS));
    }
    if (soak->verifying) {
        start_call(soak, CALL_ADDED, soak->added_calls++ % SOAK_ROUTERS);
    }
}

void
soak_check_ledgers(struct soak *soak)
{
    for (size_t i = 0; i < soak->at_most_once_count; i++) {
        uint64_t runs = count_runs(soak, soak->at_most_once_ids[i]);

        if (runs > 1) {
            soak_violation(soak, "%s ran %llu times",
                           soak->at_most_once_ids[i],
                           (unsigned long long)runs);
        }
        free(soak->at_most_once_ids[i]);
    }
    for (size_t i = 0; i < soak->refused_count; i++) {
        if (count_runs(soak, soak->refused_ids[i]) > 0) {
            soak_violation(soak, "%s was refused as not run, but has run",
                           soak->refused_ids[i]);
        }
        free(soak->refused_ids[i]);
    }
}
