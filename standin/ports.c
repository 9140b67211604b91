#include "ports.h"

#include <errno.h>
#include <string.h>

#include <sys/socket.h>
#include <unistd.h>

#include "core/xmalloc.h"

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

struct address
ports_free(void)
{
    struct address address = ports_any();
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 ||
        bind(fd, (struct sockaddr *)&address.storage, address.len) != 0) {
        BUG("no free port: %s", strerror(errno));
    }
    address_of_socket(fd, &address);
    close(fd);
    return address;
}
