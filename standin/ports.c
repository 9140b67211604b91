#include "ports.h"

#include <stdbool.h>
#include <stdlib.h>

#include <sys/socket.h>
#include <unistd.h>

#include "core/xmalloc.h"

/// Ports are assigned in ascending order.
#define PORT_FIRST 10000
#define PORT_LAST 30000

struct address
ports_any(void)
{
    struct address address = {0};
    struct err err = {0};

    if (!address_parse(STR_LITERAL("127.0.0.1:0"), &address, &err)) {
        BUG("%s", err.message);
    }
    return address;
}

/// False if the port is in use.
static bool
try_port(struct address *address, unsigned port)
{
    // Outgoing connections have the source address 127.0.0.1, so none can take
    // a port of another loopback address while its listener is closed.
    unsigned pid = (unsigned)getpid();
    char *text = xasprintf("127.%u.%u.%u:%u", 64 + (pid >> 16) % 64,
                           (pid >> 8) % 256, 1 + pid % 250, port);
    struct err err = {0};
    bool valid = address_parse(str_from(text), address, &err);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool taken =
        bind(fd, (struct sockaddr *)&address->storage, address->len) != 0;

    INVARIANT(valid && fd >= 0);
    close(fd);
    free(text);
    return !taken;
}

struct address
ports_unused(void)
{
    // No port is assigned twice, even if its listener is not bound yet.
    static unsigned next = PORT_FIRST;
    struct address address = {0};

    while (next <= PORT_LAST) {
        if (try_port(&address, next++)) {
            return address;
        }
    }
    BUG("no unused port left");
}
