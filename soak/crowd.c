/// Clients outside the limits: unfinished bodies, and readers that do not
/// read. The processes must live, and their memory stays within a bound.
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>

#include "core/xmalloc.h"
#include "net/caller.h"
#include "net/http1.h"
#include "process.h"
#include "soak.h"
#include "standin/ports.h"

/// The process with all that its settings allow it to hold for clients.
#define MEMORY_MAX_KB (SOAK_MEMORY_MB * 1000)
/// AddressSanitizer keeps up to 256 MB of freed memory in the process, so that
/// its peak says nothing of what the router holds: the other build checks it.
#ifdef __SANITIZE_ADDRESS__
#define CHECKS_MEMORY false
#else
#define CHECKS_MEMORY true
#endif
#define CHANGE_MS 15
/// The crowd is at one router for so long, then at the next one.
#define STAY_MS 4000
#define CHUNK_BYTES 16384
/// An answer that slow readers do not read: longer than the buffers of both
/// sockets.
#define ANSWER_BYTES (24 * 1024 * 1024)
#define EVENT "data: an event that is not read in time\n\n"
#define PIECE_EVENTS 2000
#define HEAD_BYTES_MAX 65536
#define CLIENT_MS 20000
/// Small, so that a slow reader stops taking answers early.
#define RECEIVE_BYTES 2048

static void
check_memory(struct soak *soak)
{
    for (size_t i = 0; i < SOAK_ROUTERS; i++) {
        struct soak_router *router = &soak->routers[i];
        long kb = router->pid != 0 ? process_peak_kb(router->pid) : -1;

        soak->peak_kb = kb > soak->peak_kb ? kb : soak->peak_kb;
        if (CHECKS_MEMORY && kb > MEMORY_MAX_KB && !router->over_memory) {
            router->over_memory = true;
            soak_violation(soak, "%s: %ld kB of memory", router->name, kb);
        }
    }
}

/// A client that is replaced closes its connection.
static int
open_client(struct soak *soak)
{
    static const int receive_bytes = RECEIVE_BYTES;
    const struct address *address =
        &soak->routers[soak_now() / STAY_MS % SOAK_ROUTERS].callers;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    if (connect(fd, (const struct sockaddr *)&address->storage,
                (socklen_t)address->len) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

/// A chunked body that stops short of its end.
static void
send_unfinished(int fd)
{
    static const char head[] = "POST /book/ HTTP/1.1\r\nHost: h.example\r\n"
                               "Dandelionvalve-Request-Id: crowd\r\n"
                               "Authorization: Bearer key\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n4000\r\n";
    char chunk[CHUNK_BYTES];

    memset(chunk, 'x', sizeof(chunk));
    send(fd, head, sizeof(head) - 1, MSG_NOSIGNAL);
    send(fd, chunk, sizeof(chunk) - 1, MSG_NOSIGNAL);
}

static void
send_bulk(int fd)
{
    static const char request[] =
        "GET /bulk/ HTTP/1.1\r\nHost: h.example\r\n"
        "Dandelionvalve-Request-Id: slow\r\nAuthorization: Bearer key\r\n\r\n";

    send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL);
}

/// Half of the clients send unfinished bodies, the others do not read.
static void
update_client(struct soak *soak, size_t number)
{
    struct soak_client *client = &soak->clients[number];

    if (client->sent) {
        close(client->fd);
        *client = (struct soak_client){.fd = -1};
    }
    else if (client->fd < 0) {
        client->fd = open_client(soak);
    }
    else {
        (number % 2 == 0 ? send_unfinished : send_bulk)(client->fd);
        client->sent = true;
    }
}

static void
on_request(void *ctx, struct caller *caller)
{
    static char piece[PIECE_EVENTS * (sizeof(EVENT) - 1)];
    struct soak *soak = ctx;
    struct str id =
        http1_value(caller_request_head(caller), "Dandelionvalve-Request-Id");
    struct evbuffer *body = evbuffer_new();
    char fields[256];

    soak->bulk_answers++;
    snprintf(fields, sizeof(fields),
             "Dandelionvalve-Request-Id: " STR_FMT "\r\n"
             "Dandelionvalve-Server-Signature: s\r\n"
             "Content-Type: text/event-stream\r\n",
             STR_ARG(id));
    for (size_t i = 0; i < sizeof(piece); i += sizeof(EVENT) - 1) {
        memcpy(piece + i, EVENT, sizeof(EVENT) - 1);
    }
    while (evbuffer_get_length(body) < ANSWER_BYTES) {
        evbuffer_add_reference(body, piece, sizeof(piece), NULL, NULL);
    }
    caller_reply(caller, 200, str_from(fields), body);
    evbuffer_free(body);
}

static void
on_disconnected(void *ctx, void *user)
{
    (void)ctx;
    (void)user;
}

/// An endpoint with long answers, for slow readers only.
static void
start_bulk(struct soak *soak)
{
    struct err err = {0};
    struct address address;
    char entry[200];

    soak->bulk = caller_server_new(
        &(struct caller_server_options){
            .base = soak->base,
            .clock = &clock_monotonic,
            .address = ports_any(),
            .limits = {HEAD_BYTES_MAX, HEAD_BYTES_MAX, CLIENT_MS, CLIENT_MS},
            .request = on_request,
            .disconnected = on_disconnected,
            .ctx = soak,
        },
        &err);
    if (soak->bulk == NULL) {
        BUG("%s", err.message);
    }
    address = caller_server_address(soak->bulk);
    snprintf(entry, sizeof(entry),
             "{\"service\":\"bulk\",\"address\":\"%s:%u\",\"zone\":\"z\","
             "\"slots\":64,\"state\":\"ready\",\"seq\":1,\"born\":1}",
             address.ip, address.port);
    keyed_store_put(soak->store, KEYED_STORE_TOPIC_ENDPOINTS, "e-bulk",
                    str_from(entry));
}

void
soak_crowd_start(struct soak *soak)
{
    start_bulk(soak);
    for (size_t i = 0; i < SOAK_CLIENTS; i++) {
        soak->clients[i].fd = -1;
    }
}

void
soak_crowd_stop(struct soak *soak)
{
    caller_server_free(soak->bulk);
    for (size_t i = 0; i < SOAK_CLIENTS; i++) {
        if (soak->clients[i].fd >= 0) {
            close(soak->clients[i].fd);
        }
    }
}

void
soak_crowd_change(struct soak *soak)
{
    int64_t now_ms = soak_now();

    if (now_ms < soak->next_client_ms) {
        return;
    }
    soak->next_client_ms = now_ms + CHANGE_MS;
    update_client(soak, random_below(&soak->other_random, SOAK_CLIENTS));
    check_memory(soak);
}
