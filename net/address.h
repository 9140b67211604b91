/// Socket addresses: a numeric IP address and a port, no host names.
#pragma once

#include <stdbool.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

#define ADDRESS_TEXT_BYTES 64

struct address {
    struct sockaddr_storage storage;
    socklen_t len;
    char ip[INET6_ADDRSTRLEN];
    unsigned short port;
};

/// Parses "127.0.0.1:80" or "[::1]:80".
bool address_parse(struct str text, struct address *address, struct err *err);

/// Formats as address_parse() reads it; `out` holds ADDRESS_TEXT_BYTES.
void address_format(const struct sockaddr *sockaddr, char *out);

/// The local address of a socket, with the port that the kernel assigned.
bool address_of_socket(int fd, struct address *address);
