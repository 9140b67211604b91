/// Received bytes that wait for the event loop.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bufferevent;

/// Puts off a time-out until the bytes are read that had arrived when it
/// expired, so that a peer that sends without end still times out, and until
/// an end of the connection that has arrived is reported.
struct input_deferral {
    uint64_t read_bytes;  ///< taken from the input buffer, counted by the user
    uint64_t until_bytes; ///< the time-out counts from here on; 0: no deferral
    unsigned end_passes;  ///< that waited for the end of the connection
};

/// Bytes that have arrived and not been parsed, in the input buffer or in the
/// socket. After a pause of the process a timer can run before they are read:
/// it must not take the connection as silent then.
size_t input_unread(struct bufferevent *bufferevent);

/// Called when a time-out has expired: true if it is to be checked again in
/// the next pass of the event loop. Reading must be enabled.
bool input_defer_timeout(struct input_deferral *deferral,
                         struct bufferevent *bufferevent);
