/// What endpoints keep of earlier prompts, after this router's start: taken
/// from a peer that knows, or else asked of the endpoints, shared among the
/// routers that have started together.
///
/// Load pattern: chats go on while routers restart one after the other, or all
/// lose power at once; without this every context is read again.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/wire.h"
#include "dandelionvalve/clock.h"
#include "dandelionvalve/message.h"

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
    /// True if the endpoint keeps prompts.
    bool (*caches_prompts)(void *ctx, const struct endpoint *endpoint);
    void *ctx;
};

/// The caller frees with contexts_free(), before the mesh and the endpoints.
struct contexts *contexts_new(const struct contexts_options *options);
void contexts_free(struct contexts *contexts);

/// To be called often once the deployment is known.
void contexts_tick(struct contexts *contexts);

/// A peer tells of contexts; none: it has told all.
void contexts_receive(struct contexts *contexts,
                      const struct message_context *items, size_t count);

/// A peer asks for what this router knows; not answered soon after the start.
void contexts_send(struct contexts *contexts, struct link *link);
