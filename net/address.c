#include "address.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/util.h>

static bool
fill_text(struct address *address)
{
    const struct sockaddr_in *v4 = (void *)&address->storage;
    const struct sockaddr_in6 *v6 = (void *)&address->storage;

    if (address->storage.ss_family == AF_INET) {
        address->port = ntohs(v4->sin_port);
        return inet_ntop(AF_INET, &v4->sin_addr, address->ip,
                         sizeof(address->ip)) != NULL;
    }
    address->port = ntohs(v6->sin6_port);
    return inet_ntop(AF_INET6, &v6->sin6_addr, address->ip,
                     sizeof(address->ip)) != NULL;
}

static void
clear_port(struct address *address)
{
    struct sockaddr_in *v4 = (void *)&address->storage;
    struct sockaddr_in6 *v6 = (void *)&address->storage;

    if (address->storage.ss_family == AF_INET) {
        v4->sin_port = 0;
    }
    else {
        v6->sin6_port = 0;
    }
}

/// True for a decimal number from 0 to 65535; libevent accepts trailing text
/// and takes larger numbers modulo 2^32.
static bool
is_port(const char *text)
{
    size_t len = strlen(text);

    return len > 0 && len <= 5 && strspn(text, "0123456789") == len &&
           atoi(text) <= UINT16_MAX;
}

bool
address_parse(struct str text, struct address *address, struct err *err)
{
    char buffer[ADDRESS_TEXT_BYTES];
    int len = sizeof(address->storage);
    char *port = NULL;
    bool ephemeral;

    if (text.len < sizeof(buffer)) {
        memcpy(buffer, text.data, text.len);
        buffer[text.len] = '\0';
        port = strrchr(buffer, ':');
    }
    // evutil_parse_sockaddr_port() rejects port 0 (assigned by the kernel).
    ephemeral = port != NULL && !strcmp(port, ":0");
    if (ephemeral) {
        port[1] = '1';
    }
    if (port == NULL || !is_port(port + 1) ||
        evutil_parse_sockaddr_port(
            buffer, (struct sockaddr *)&address->storage, &len) != 0) {
        return err_set(err, ERR_INPUT, "address", NULL,
                       "'" STR_FMT "' is not an IP number with a port",
                       STR_ARG(text));
    }
    if (ephemeral) {
        clear_port(address);
    }
    address->len = (socklen_t)len;
    return fill_text(address);
}

void
address_format(const struct sockaddr *sockaddr, char *out)
{
    char ip[INET6_ADDRSTRLEN] = "?";

    if (sockaddr->sa_family == AF_INET) {
        const struct sockaddr_in *v4 = (const void *)sockaddr;

        inet_ntop(AF_INET, &v4->sin_addr, ip, sizeof(ip));
        snprintf(out, ADDRESS_TEXT_BYTES, "%s:%d", ip, ntohs(v4->sin_port));
    }
    else if (sockaddr->sa_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const void *)sockaddr;

        inet_ntop(AF_INET6, &v6->sin6_addr, ip, sizeof(ip));
        snprintf(out, ADDRESS_TEXT_BYTES, "[%s]:%d", ip, ntohs(v6->sin6_port));
    }
    else {
        snprintf(out, ADDRESS_TEXT_BYTES, "?");
    }
}

bool
address_of_socket(int fd, struct address *address)
{
    address->len = sizeof(address->storage);
    if (getsockname(fd, (struct sockaddr *)&address->storage, &address->len) !=
        0) {
        return false;
    }
    return fill_text(address);
}
