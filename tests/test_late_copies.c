/// Second copies of answers that arrive late on a connection which carries
/// another request by then, or none.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "core/xmalloc.h"
#include "direct_harness.h"
#include "suites.h"

/// Time between two writes that are read separately.
#define GAP_MS 20

/// What the endpoint writes where the answer to a request is due.
enum script {
    COPY_BEFORE,          ///< the copy, then the answer, in two writes
    COPY_IN_ONE_WRITE,    ///< the copy and the answer in one write
    COPY_IN_PIECES,       ///< the copy in two writes, then the answer
    COPY_CUT,             ///< half of the copy, then the answer
    COPY_CUT_IN_HEAD,     ///< part of the copy's head, then the answer
    COPY_WHILE_IDLE,      ///< the copy after the answer, before a request
    COPY_BEHIND_ANSWER,   ///< the answer and its copy in one write
    COPY_BEFORE_AND_THEN, ///< like COPY_BEFORE, twice in a row
    SCRIPT_COUNT,
};

/// What the first request of a connection is answered with.
enum first_answer {
    FIRST_DONE,     ///< 200
    FIRST_REJECTED, ///< 503, not executed
    FIRST_MOVED,    ///< 421
    FIRST_COUNT,
};

struct scripted {
    struct event_base *base;
    struct evconnlistener *listener;
    enum script script;
    enum first_answer first;
    uint32_t connections;
    uint32_t answered; ///< requests whose own answer was 200
    uint32_t copies;   ///< requests or pauses at which a copy was sent
};

struct scripted_conn {
    struct scripted *server;
    struct bufferevent *bufferevent;
    struct event *timer;
    char copy[512];    ///< of the first answer
    char second[1024]; ///< written after GAP_MS
    char third[1024];  ///< written another GAP_MS later
    uint32_t requests;
};

static void
free_conn(struct scripted_conn *conn)
{
    bufferevent_free(conn->bufferevent);
    event_free(conn->timer);
    free(conn);
}

static void
on_conn_event(struct bufferevent *bufferevent, short events, void *ctx)
{
    (void)bufferevent;
    (void)events;
    free_conn(ctx);
}

static void
write_text(struct scripted_conn *conn, const char *text, size_t len)
{
    bufferevent_write(conn->bufferevent, text, len);
}

static void
write_after_gap(struct scripted_conn *conn)
{
    const struct timeval gap = {0, GAP_MS * 1000};

    event_add(conn->timer, &gap);
}

static void
on_gap(evutil_socket_t fd, short events, void *ctx)
{
    struct scripted_conn *conn = ctx;

    (void)fd;
    (void)events;
    write_text(conn, conn->second, strlen(conn->second));
    snprintf(conn->second, sizeof(conn->second), "%s", conn->third);
    conn->third[0] = '\0';
    if (conn->second[0] != '\0') {
        write_after_gap(conn);
    }
}

static void
format_answer(char *out, size_t size, const char *id)
{
    snprintf(out, size,
             "HTTP/1.1 200 OK\r\nDandelionvalve-Request-Id: %s\r\n"
             "Dandelionvalve-Server-Signature: s-%s\r\n"
             "Content-Length: %zu\r\n\r\nanswer to %s",
             id, id, strlen("answer to ") + strlen(id), id);
}

static void
format_first(const struct scripted *server, char *out, size_t size,
             const char *id)
{
    if (server->first == FIRST_DONE) {
        format_answer(out, size, id);
        return;
    }
    snprintf(out, size,
             "HTTP/1.1 %s\r\nDandelionvalve-Request-Id: %s\r\n"
             "Dandelionvalve-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
             server->first == FIRST_REJECTED ? "503 Service Unavailable"
                                             : "421 Misdirected Request",
             id);
}

static void
answer_later_request(struct scripted_conn *conn, const char *answer)
{
    size_t copy_len = strlen(conn->copy);

    switch (conn->server->script) {
    case COPY_BEFORE:
        write_text(conn, conn->copy, copy_len);
        snprintf(conn->second, sizeof(conn->second), "%s", answer);
        break;
    case COPY_IN_ONE_WRITE:
        snprintf(conn->second, sizeof(conn->second), "%s%s", conn->copy,
                 answer);
        break;
    case COPY_IN_PIECES:
        write_text(conn, conn->copy, copy_len / 2);
        snprintf(conn->second, sizeof(conn->second), "%s",
                 conn->copy + copy_len / 2);
        snprintf(conn->third, sizeof(conn->third), "%s", answer);
        break;
    case COPY_CUT:
        write_text(conn, conn->copy, copy_len - 4);
        snprintf(conn->second, sizeof(conn->second), "%s", answer);
        break;
    case COPY_CUT_IN_HEAD:
        write_text(conn, conn->copy, 40);
        snprintf(conn->second, sizeof(conn->second), "%s", answer);
        break;
    case COPY_BEFORE_AND_THEN:
        write_text(conn, conn->copy, copy_len);
        snprintf(conn->second, sizeof(conn->second), "%s", conn->copy);
        snprintf(conn->third, sizeof(conn->third), "%s", answer);
        break;
    case COPY_WHILE_IDLE:
    case COPY_BEHIND_ANSWER:
    case SCRIPT_COUNT:
        snprintf(conn->second, sizeof(conn->second), "%s", answer);
        break;
    }
    write_after_gap(conn);
}

static void
on_conn_read(struct bufferevent *bufferevent, void *ctx)
{
    static const char field[] = "Dandelionvalve-Request-Id: ";
    struct scripted_conn *conn = ctx;
    struct scripted *server = conn->server;
    struct evbuffer *input = bufferevent_get_input(bufferevent);
    size_t len = evbuffer_get_length(input);
    const char *bytes = (const char *)evbuffer_pullup(input, -1);
    const char *at = memmem(bytes, len, field, sizeof(field) - 1);
    char answer[512];
    char id[32] = {0};

    if (at == NULL || memmem(bytes, len, "\r\n\r\nbody", 8) == NULL) {
        return;
    }
    sscanf(at + sizeof(field) - 1, "%31[^\r]", id);
    evbuffer_drain(input, len);
    conn->requests++;
    if (conn->requests == 1 && server->connections == 1) {
        format_first(server, conn->copy, sizeof(conn->copy), id);
        server->answered += server->first == FIRST_DONE;
        write_text(conn, conn->copy, strlen(conn->copy));
        if (server->script == COPY_BEHIND_ANSWER) {
            server->copies++;
            write_text(conn, conn->copy, strlen(conn->copy));
        }
        else if (server->script == COPY_WHILE_IDLE) {
            server->copies++;
            snprintf(conn->second, sizeof(conn->second), "%s", conn->copy);
            write_after_gap(conn);
        }
        return;
    }
    format_answer(answer, sizeof(answer), id);
    server->answered++;
    if (conn->copy[0] != '\0') {
        server->copies++;
        answer_later_request(conn, answer);
    }
    else {
        write_text(conn, answer, strlen(answer));
    }
}

static void
on_scripted_accept(struct evconnlistener *listener, evutil_socket_t fd,
                   struct sockaddr *peer, int len, void *ctx)
{
    struct scripted *server = ctx;
    struct scripted_conn *conn = xcalloc(1, sizeof(*conn));

    (void)listener;
    (void)peer;
    (void)len;
    server->connections++;
    conn->server = server;
    conn->timer = event_new(server->base, -1, 0, on_gap, conn);
    conn->bufferevent =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->bufferevent, on_conn_read, NULL, on_conn_event,
                      conn);
    bufferevent_enable(conn->bufferevent, EV_READ | EV_WRITE);
}

/// Replaces the endpoint of "orders" by the scripted one.
static void
start(struct direct_harness *harness, struct scripted *server)
{
    struct address any;
    struct address address;
    struct err err = {0};

    direct_harness_start(harness, &(struct direct_harness_options){
                                      .routers = 1,
                                      .origins = 1,
                                      .work_us = 1000,
                                  });
    INVARIANT(address_parse(STR_LITERAL("127.0.0.1:0"), &any, &err));
    server->base = harness->base;
    server->listener = evconnlistener_new_bind(
        harness->base, on_scripted_accept, server, LEV_OPT_CLOSE_ON_FREE, 64,
        (const struct sockaddr *)&any.storage, (int)any.len);
    INVARIANT(server->listener != NULL);
    address_of_socket(evconnlistener_get_fd(server->listener), &address);
    direct_harness_put_entry(harness, "o-0", harness->orders, "orders", NULL);
    direct_entry_put(harness->store, &(struct direct_entry){
                                         .id = "o-1",
                                         .service = "orders",
                                         .address = address,
                                         .born_ms = 1,
                                     });
    direct_harness_run(harness, 400);
}

/// The request that the copy follows and, at the same time, two later ones:
/// one of them on the connection of the first.
#define CALLS 3

static bool
have_ended(void *ctx)
{
    const struct direct_call *calls = ctx;

    for (size_t i = 1; i < CALLS; i++) {
        if (!calls[i].ended) {
            return false;
        }
    }
    return true;
}

static void
check_answer(const struct direct_call *call, const char *id, bool is_cut)
{
    char body[32];

    snprintf(body, sizeof(body), "answer to %s", id);
    if (is_cut && call->status != 200) {
        // What follows a cut copy cannot be told from its rest: the request
        // may have run, and no answer is taken for it.
        CU_ASSERT(call->status == 502);
        CU_ASSERT(call->body_len == 0);
        return;
    }
    CU_ASSERT(call->status == 200);
    CU_ASSERT_STRING_EQUAL(call->body, body);
}

/// Guards against a late copy of an answer, whole, in pieces or cut, that is
/// taken as the answer to another request or to a later offer of the same one.
static void
test_copy(enum first_answer first, enum script script)
{
    static const char *const ids[CALLS] = {"id-1", "id-2", "id-3"};
    struct direct_harness harness;
    struct scripted server = {.script = script, .first = first};
    struct direct_call calls[CALLS] = {0};
    bool is_cut = script == COPY_CUT || script == COPY_CUT_IN_HEAD;

    start(&harness, &server);
    direct_call_do(&harness, 0, &calls[0], "POST", "/rebook/", ids[0], NULL,
                   "body");
    check_answer(&calls[0], ids[0], false);
    direct_harness_run(&harness, script == COPY_WHILE_IDLE ? 3 * GAP_MS : 2);
    for (size_t i = 1; i < CALLS; i++) {
        direct_call_start(&harness, 0, &calls[i], "POST", "/rebook/", ids[i],
                          NULL, "body");
    }
    CU_ASSERT(direct_harness_wait(&harness, have_ended, calls, 5000));
    for (size_t i = 1; i < CALLS; i++) {
        check_answer(&calls[i], ids[i], is_cut);
    }
    CU_ASSERT(server.answered == CALLS);
    CU_ASSERT(server.copies == 1);
    for (size_t i = 0; i < CALLS; i++) {
        direct_call_free(&calls[i]);
    }
    evconnlistener_free(server.listener);
    direct_harness_stop(&harness);
}

static void
test_copies_of_answers(void)
{
    for (int script = 0; script < SCRIPT_COUNT; script++) {
        test_copy(FIRST_DONE, (enum script)script);
    }
}

static void
test_copies_of_rejections(void)
{
    for (int script = 0; script < SCRIPT_COUNT; script++) {
        test_copy(FIRST_REJECTED, (enum script)script);
    }
}

static void
test_copies_of_misdirections(void)
{
    for (int script = 0; script < SCRIPT_COUNT; script++) {
        test_copy(FIRST_MOVED, (enum script)script);
    }
}

void
suite_late_copies(void)
{
    CU_pSuite suite = CU_add_suite("late copies", NULL, NULL);

    CU_add_test(suite, "copies of answers", test_copies_of_answers);
    CU_add_test(suite, "copies of rejections", test_copies_of_rejections);
    CU_add_test(suite, "copies of misdirections",
                test_copies_of_misdirections);
}
