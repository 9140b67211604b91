/// Answers without a length whose connection is reset while the request is
/// still being written.
#include <stdlib.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/xmalloc.h"
#include "net/channel.h"
#include "net/http1.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "standin/ports.h"
#include "suites.h"

#define UPLOAD_BYTES (3 * 1024 * 1024)
#define CALLS 60
#define LIMIT_MS 3000

/// How the server ends the connection behind its answer.
enum ending {
    ENDING_RESET,
    ENDING_CLOSED, ///< for writing; it has read the request
};

struct cut_server {
    struct event_base *base;
    struct evconnlistener *listener;
    enum ending ending;
    int64_t wait_ms; ///< between the answer and the end
    evutil_socket_t fd;
    struct event *readable;
    struct event *timer;
    bool answered;
};

struct cut_call {
    struct event_base *base;
    size_t body_len;
    bool ended;
    enum channel_end end;
};

static void
on_server_timer(evutil_socket_t fd, short events, void *ctx)
{
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    struct cut_server *server = ctx;

    (void)fd;
    (void)events;
    if (server->ending == ENDING_CLOSED) {
        shutdown(server->fd, SHUT_WR);
        return;
    }
    setsockopt(server->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    event_del(server->readable);
    close(server->fd);
    server->fd = -1;
}

static void
on_server_readable(evutil_socket_t fd, short events, void *ctx)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of the body";
    struct cut_server *server = ctx;
    const struct timeval wait = {0, server->wait_ms * 1000};
    char bytes[4096];
    ssize_t count = read(fd, bytes, sizeof(bytes));

    (void)events;
    if (count <= 0 || server->answered) {
        return;
    }
    server->answered = true;
    CU_ASSERT(write(fd, answer, sizeof(answer) - 1) > 0);
    event_add(server->timer, &wait);
    if (server->ending == ENDING_RESET) {
        // The request stays in the way: the client's next write waits.
        event_del(server->readable);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *ctx)
{
    struct cut_server *server = ctx;

    (void)listener;
    (void)address;
    (void)len;
    server->fd = fd;
    server->answered = false;
    server->readable = event_new(server->base, fd, EV_READ | EV_PERSIST,
                                 on_server_readable, server);
    event_add(server->readable, NULL);
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    (void)bytes;
    ((struct cut_call *)ctx)->body_len += len;
}

static void
on_end(void *ctx, enum channel_end end, const char *detail)
{
    struct cut_call *call = ctx;

    (void)detail;
    call->ended = true;
    call->end = end;
    event_base_loopbreak(call->base);
}

static void
on_limit(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    event_base_loopbreak(ctx);
}

/// Sends an upload to the server; returns how the call ended.
static enum channel_end
upload(struct cut_server *server, struct channel_pool *pool, size_t bytes)
{
    const struct timeval limit = {LIMIT_MS / 1000, 0};
    struct cut_call call = {.base = server->base};
    const struct channel_handler handler = {NULL, on_data, on_end, &call};
    struct evbuffer *out = evbuffer_new();
    const struct channel_request request = {.bytes = out, .fresh = true};
    struct event *timer =
        event_new(server->base, -1, 0, on_limit, server->base);
    char *body = xcalloc(1, bytes);

    evbuffer_add_printf(out,
                        "POST / HTTP/1.1\r\nHost: h\r\n"
                        "Content-Length: %zu\r\n\r\n",
                        bytes);
    evbuffer_add(out, body, bytes);
    free(body);
    event_add(timer, &limit);
    CU_ASSERT(channel_send(pool, &request, &handler) != NULL);
    evbuffer_free(out);
    event_base_dispatch(server->base);
    CU_ASSERT(call.ended);
    CU_ASSERT(call.body_len > 0 || call.end != CHANNEL_COMPLETE);
    event_free(timer);
    event_free(server->readable);
    if (server->fd >= 0) {
        close(server->fd);
    }
    return call.end;
}

static void
on_call_end(void *ctx, enum http_call_result result)
{
    struct cut_call *call = ctx;

    call->ended = true;
    call->end = result == HTTP_CALL_COMPLETE ? CHANNEL_COMPLETE : CHANNEL_LOST;
    event_base_loopbreak(call->base);
}

/// The same through the client of the agents.
static enum channel_end
upload_from_agent(struct cut_server *server, struct http_client *client,
                  size_t bytes)
{
    const struct timeval limit = {LIMIT_MS / 1000, 0};
    struct cut_call call = {.base = server->base};
    struct event *timer =
        event_new(server->base, -1, 0, on_limit, server->base);
    char *body = xcalloc(1, bytes);

    event_add(timer, &limit);
    CU_ASSERT(http_call(client, &(struct http_call_options){
                                    .method = STR_LITERAL("POST"),
                                    .uri = STR_LITERAL("/"),
                                    .body = {body, bytes},
                                    .fresh_connection = true,
                                    .accepts_unframed = true,
                                    .end = on_call_end,
                                    .ctx = &call,
                                }) != NULL);
    free(body);
    event_base_dispatch(server->base);
    CU_ASSERT(call.ended);
    event_free(timer);
    event_free(server->readable);
    if (server->fd >= 0) {
        close(server->fd);
    }
    return call.end;
}

/// Counts the uploads whose answers are taken as complete.
static size_t
count_complete(enum ending ending, size_t bytes, size_t calls, bool by_agent)
{
    struct cut_server server = {
        .base = event_base_new(),
        .ending = ending,
    };
    struct address any = ports_any();
    struct address address;
    struct channel_pool *pool;
    struct http_client *client;
    size_t complete = 0;

    server.listener = evconnlistener_new_bind(
        server.base, on_accept, &server, LEV_OPT_CLOSE_ON_FREE, 16,
        (const struct sockaddr *)&any.storage, (int)any.len);
    CU_ASSERT_FATAL(server.listener != NULL);
    server.timer = event_new(server.base, -1, 0, on_server_timer, &server);
    address_of_socket(evconnlistener_get_fd(server.listener), &address);
    pool = channel_pool_new(&(struct channel_pool_options){
        .base = server.base,
        .clock = &clock_monotonic,
        .address = address,
        .connect_timeout_ms = LIMIT_MS,
        .head_bytes_max = 4096,
    });
    client = http_client_new(&(struct http_client_options){
        .base = server.base,
        .address = address,
        .header_bytes_max = 4096,
        .connect_timeout_s = 1,
    });
    for (size_t i = 0; i < calls; i++) {
        enum channel_end end;

        server.wait_ms = (int64_t)(i % 12);
        end = by_agent ? upload_from_agent(&server, client, bytes)
                       : upload(&server, pool, bytes);
        complete += end == CHANNEL_COMPLETE ? 1 : 0;
    }
    http_client_free(client);
    channel_pool_free(pool);
    event_free(server.timer);
    evconnlistener_free(server.listener);
    loop_free(server.base);
    return complete;
}

/// An endpoint answered a long upload at once without a length and reset the
/// connection: the write took the error, the read behind it an end of stream,
/// and the part was a complete answer.
static void
test_reset_while_request_is_written(void)
{
    CU_ASSERT(count_complete(ENDING_RESET, UPLOAD_BYTES, CALLS, false) == 0);
    CU_ASSERT(count_complete(ENDING_RESET, UPLOAD_BYTES, CALLS, true) == 0);
}

/// One that closes the connection properly has answered completely.
static void
test_closed_without_length(void)
{
    CU_ASSERT(count_complete(ENDING_CLOSED, 100, 12, false) == 12);
    CU_ASSERT(count_complete(ENDING_CLOSED, 100, 12, true) == 12);
}

void
suite_cut_answers(void)
{
    CU_pSuite suite = CU_add_suite("cut answers", NULL, NULL);

    CU_add_test(suite, "reset while the request is written",
                test_reset_while_request_is_written);
    CU_add_test(suite, "closed without a length", test_closed_without_length);
}
