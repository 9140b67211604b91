/// Passes the records of the platform's store on between routers, and the
/// beats of the routers that read them.
#pragma once

#include <stdint.h>

struct link;
struct mesh;
struct message;

/// Sends a new peer the end of each topic.
void relay_peer_ready(struct mesh *mesh, struct link *link);

/// The last link to a router has closed.
void relay_peer_lost(struct mesh *mesh, uint64_t id);

/// Handles a message of this module; false if it is none.
bool relay_message(struct mesh *mesh, struct link *link,
                   const struct message *message);

/// Sends due beats and ends, and requests records.
void relay_tick(struct mesh *mesh);
