/// Fuzz target for the reader of callers' requests, chunked ones above all:
/// with little memory, whatever is received, the account's balance is zero
/// after the connection has closed.
#include <unistd.h>

#include <event2/event.h>
#include <sys/socket.h>

#include "core/memory.h"
#include "core/xmalloc.h"
#include "net/caller.h"
#include "net/log.h"

#include "fuzz.h"

/// Small enough that some inputs are refused for lack of memory.
#define LIMIT_BYTES 24000
#define BODY_BYTES_MAX 3000
#define TIMEOUT_MS 1000
/// Input bytes sent at once; the first input byte chooses it.
#define PIECE_BYTES_MAX 64
#define PASSES 4

static void
on_request(void *ctx, struct caller *caller)
{
    (void)ctx;
    caller_reply(caller, 200, (struct str){0}, NULL);
}

static void
on_disconnected(void *ctx, void *user)
{
    (void)ctx;
    (void)user;
}

static void
run_passes(struct event_base *base)
{
    for (int i = 0; i < PASSES; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct event_base *base = event_base_new();
    struct memory *memory =
        memory_new(&(struct memory_options){.limit_bytes = LIMIT_BYTES});
    struct caller_server_options options = {
        .base = base,
        .clock = &clock_monotonic,
        .limits = {1024, BODY_BYTES_MAX, TIMEOUT_MS, TIMEOUT_MS},
        .request = on_request,
        .disconnected = on_disconnected,
        .memory = memory,
    };
    struct err err = {0};
    struct caller_server *server;
    struct address address;
    size_t piece = size > 0 ? 1 + data[0] % PIECE_BYTES_MAX : 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    INVARIANT(address_parse(str_from("127.0.0.1:0"), &options.address, &err));
    server = caller_server_new(&options, &err);
    INVARIANT(server != NULL && fd >= 0);
    address = caller_server_address(server);
    INVARIANT(connect(fd, (const struct sockaddr *)&address.storage,
                      (socklen_t)address.len) == 0);
    for (size_t at = 1; at < size; at += piece) {
        size_t len = size - at < piece ? size - at : piece;

        if (send(fd, data + at, len, MSG_NOSIGNAL) < 0) {
            break;
        }
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    run_passes(base);
    // A reset leaves no port in TIME_WAIT.
    setsockopt(fd, SOL_SOCKET, SO_LINGER,
               &(struct linger){.l_onoff = 1, .l_linger = 0},
               sizeof(struct linger));
    close(fd);
    run_passes(base);
    INVARIANT(caller_server_connections(server) == 0);
    INVARIANT(memory_held_total(memory) == 0);
    caller_server_free(server);
    memory_free(memory);
    event_base_free(base);
    return 0;
}
