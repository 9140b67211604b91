/// Received bytes that wait for the event loop.
#pragma once

#include <stddef.h>

struct bufferevent;

/// Bytes that have arrived and not been parsed, in the input buffer or in the
/// socket. After a pause of the process a timer can run before they are read:
/// it must not take the connection as silent then.
size_t input_unread(struct bufferevent *bufferevent);
