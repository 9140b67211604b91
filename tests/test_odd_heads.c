/// Heads of answers that are none in the protocol, as the routers and the
/// agents read them.
#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/channel.h"
#include "net/http1.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "standin/ports.h"
#include "suites.h"

#define LIMIT_MS 1000
#define LENGTH "Content-Length: 4\r\n\r\nbody"
/// Ends a head whose body ends with the connection.
#define UNFRAMED "Connection: close\r\n\r\nbody"

static const struct {
    const char *text;
    bool is_sound;
} answers[] = {
    {"HTTP/1.1 200 OK\r\n" LENGTH, true},
    {"HTTP/1.0 200 OK\r\n" LENGTH, true},
    {"HTTP/1.1 599 X\r\nA_b!#$%&'*+-.^`|~9: x\r\n" LENGTH, true},
    {"HTTP/1.1 200 OK\r\nX-A: a\tb \xe9\r\n" LENGTH, true},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
     "4\r\nbody\r\n0\r\n\r\n",
     true},
    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" LENGTH, true},
    {"HTTP/1.1 000 X\r\n" LENGTH, false},
    {"HTTP/1.1 000 X\r\n" UNFRAMED, false},
    {"HTTP/1.1 099 X\r\n" LENGTH, false},
    {"HTTP/1.1 600 X\r\n" LENGTH, false},
    {"HTTP/1.1 999 X\r\n" LENGTH, false},
    {"HTTP/1.1 20 X\r\n" LENGTH, false},
    {"HTTP/1.1 2000 X\r\n" LENGTH, false},
    {"HTTP/1.1 -200 X\r\n" LENGTH, false},
    {"HTTP/1.1 +200 X\r\n" LENGTH, false},
    {"HTTP/1.1 103 X\r\n\r\n", false},
    {"HTTP/2.0 200 OK\r\n" LENGTH, false},
    {"HTTP/0.9 200 OK\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX A: x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX-A : x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX\x01: x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX\tA: x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX\x7f: x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX\xe9: x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX(A): x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\n: x\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX-A\r\n" LENGTH, false},
    {"HTTP/1.1 200 OK\r\nX-A: \x01\r\n" LENGTH, false},
    {"HTTP/1.1 100 Continue\r\nX A: x\r\n\r\nHTTP/1.1 200 OK\r\n" LENGTH,
     false},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" UNFRAMED, false},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
     "4\r\nbody\r\n0\r\n\r\n",
     false},
};

struct odd_server {
    struct event_base *base;
    struct evconnlistener *listener;
    struct address address;
    const char *text;
    bool in_pieces;
};

struct odd_call {
    struct event_base *base;
    bool ended;
    bool complete;
};

/// Answers the first bytes of a request, and closes.
static void
on_request(evutil_socket_t fd, short events, void *ctx)
{
    const struct odd_server *server = ctx;
    size_t len = strlen(server->text);
    size_t piece = server->in_pieces ? 1 : len;
    char bytes[4096];

    (void)events;
    if (read(fd, bytes, sizeof(bytes)) > 0) {
        for (size_t at = 0; at < len; at += piece) {
            // The client may have closed the connection.
            if (send(fd, server->text + at, piece, MSG_NOSIGNAL) < 0) {
                break;
            }
        }
    }
    close(fd);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *ctx)
{
    struct odd_server *server = ctx;

    (void)listener;
    (void)address;
    (void)len;
    event_base_once(server->base, fd, EV_READ, on_request, server, NULL);
}

static void
server_start(struct odd_server *server)
{
    struct address any = ports_any();

    *server = (struct odd_server){.base = event_base_new()};
    server->listener = evconnlistener_new_bind(
        server->base, on_accept, server, LEV_OPT_CLOSE_ON_FREE, 16,
        (const struct sockaddr *)&any.storage, (int)any.len);
    CU_ASSERT_FATAL(server->listener != NULL);
    address_of_socket(evconnlistener_get_fd(server->listener),
                      &server->address);
}

static void
server_stop(struct odd_server *server)
{
    evconnlistener_free(server->listener);
    loop_free(server->base);
}

static void
on_limit(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    event_base_loopbreak(ctx);
}

static void
run_call(struct odd_call *call)
{
    const struct timeval limit = {LIMIT_MS / 1000, 0};
    struct event *timer = event_new(call->base, -1, 0, on_limit, call->base);

    event_add(timer, &limit);
    event_base_dispatch(call->base);
    event_free(timer);
}

static void
on_channel_end(void *ctx, enum channel_end end, const char *detail)
{
    struct odd_call *call = ctx;

    (void)detail;
    call->ended = true;
    call->complete = end == CHANNEL_COMPLETE;
    event_base_loopbreak(call->base);
}

static bool
completes_for_router(const struct odd_server *server)
{
    struct odd_call call = {.base = server->base};
    const struct channel_handler handler = {NULL, NULL, on_channel_end, &call};
    struct evbuffer *out = evbuffer_new();
    const struct channel_request request = {.bytes = out};
    struct channel_pool *pool =
        channel_pool_new(&(struct channel_pool_options){
            .base = server->base,
            .clock = &clock_monotonic,
            .address = server->address,
            .connect_timeout_ms = LIMIT_MS,
            .head_bytes_max = 4096,
        });

    evbuffer_add_printf(out, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CU_ASSERT(channel_send(pool, &request, &handler) != NULL);
    evbuffer_free(out);
    run_call(&call);
    CU_ASSERT(call.ended);
    channel_pool_free(pool);
    return call.complete;
}

static void
on_call_end(void *ctx, enum http_call_result result)
{
    struct odd_call *call = ctx;

    call->ended = true;
    call->complete = result == HTTP_CALL_COMPLETE;
    event_base_loopbreak(call->base);
}

static bool
completes_for_agent(const struct odd_server *server)
{
    struct odd_call call = {.base = server->base};
    struct http_client *client = http_client_new(&(struct http_client_options){
        .base = server->base,
        .address = server->address,
        .header_bytes_max = 4096,
        .connect_timeout_s = 1,
    });

    CU_ASSERT(http_call(client, &(struct http_call_options){
                                    .method = STR_LITERAL("GET"),
                                    .uri = STR_LITERAL("/"),
                                    .accepts_unframed = true,
                                    .end = on_call_end,
                                    .ctx = &call,
                                }) != NULL);
    run_call(&call);
    CU_ASSERT(call.ended);
    http_client_free(client);
    return call.complete;
}

/// An endpoint in trouble answered with a status that is none, a field name
/// that is no token, another version or another encoding of the body; callers
/// got these as answers.
static void
test_odd_heads(void)
{
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        for (int pieces = 0; pieces < 2; pieces++) {
            struct odd_server server;

            server_start(&server);
            server.text = answers[i].text;
            server.in_pieces = pieces == 1;
            if (completes_for_router(&server) != answers[i].is_sound) {
                CU_FAIL("router");
                printf("router, pieces %d: %s\n", pieces, answers[i].text);
            }
            if (completes_for_agent(&server) != answers[i].is_sound) {
                CU_FAIL("agent");
                printf("agent, pieces %d: %s\n", pieces, answers[i].text);
            }
            server_stop(&server);
        }
    }
}

/// A line of the trailer that is no field is no part of an answer either.
static void
test_odd_trailer(void)
{
    struct odd_server server;

    server_start(&server);
    server.text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "4\r\nbody\r\n0\r\nX A: x\r\n\r\n";
    CU_ASSERT(!completes_for_router(&server));
    server_stop(&server);
}

void
suite_odd_heads(void)
{
    CU_pSuite suite = CU_add_suite("odd heads", NULL, NULL);

    CU_add_test(suite, "odd heads", test_odd_heads);
    CU_add_test(suite, "odd trailer", test_odd_trailer);
}
