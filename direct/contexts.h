/// Recovers after a start which prompt parts (contexts) the endpoints have
/// cached. A peer sends them; if none does, the routers divide the endpoints
/// among themselves, query them and send each other the results.
///
/// Load pattern: chats continue while routers restart one by one, or all lose
/// power at once. Without recovery every context would be prefilled again.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"

struct cold;
struct contexts;
struct endpoint;
struct endpoints;
struct event_base;
struct link;
struct mesh;

struct contexts_options {
    struct event_base *base;
    const struct clock *clock;
    const struct wire *wire;
    struct endpoints *endpoints;
    struct mesh *mesh; ///< NULL: no other routers
    /// True if the endpoint caches prompts.
    bool (*caches_prompts)(void *ctx, const struct endpoint *endpoint);
    void *ctx;
};

/// The caller frees with contexts_free(), before the mesh and the endpoints.
struct contexts *contexts_new(const struct contexts_options *options);
void contexts_free(struct contexts *contexts);

/// Call periodically once configuration and endpoints have been received.
void contexts_tick(struct contexts *contexts);

/// Stores contexts that a peer has sent; `count` 0 marks the end of its list.
void contexts_receive(struct contexts *contexts,
                      const struct message_context *items, size_t count);

/// Sends all stored contexts to a peer; nothing while this router is itself
/// recovering or has just started.
void contexts_send(struct contexts *contexts, struct link *link);
