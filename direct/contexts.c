#include "contexts.h"

#include <stdlib.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "core/prefix.h"
#include "core/xmalloc.h"
#include "endpoints.h"
#include "mesh.h"
#include "net/channel.h"
#include "net/http1.h"
#include "net/log.h"

#define LOG_MODULE "contexts"

/// Time after the start in which running peers establish their links.
#define PEER_LINK_WAIT_MS 300
/// After it the next peer is queried, then the endpoints.
#define PEER_TIMEOUT_MS 150
/// Peers that are queried before the endpoints are.
#define QUERIED_PEERS_MAX 2
/// Uptime from which a router answers its peers: before it, the router may
/// have started together with the requesting one and hold an incomplete set.
#define SEND_UPTIME_MIN_MS 3000
/// Routers that query the same endpoint. With one, the contexts of an endpoint
/// that its router cannot reach are not recovered.
#define ROUTERS_PER_ENDPOINT 1
#define ENDPOINT_TIMEOUT_MS 1000
#define RESPONSE_BYTES_MAX (1024 * 1024)

enum stage {
    STAGE_PEERS,     ///< queries peers
    STAGE_ENDPOINTS, ///< queries endpoints
    STAGE_DONE,
};

/// A query for the prompt parts that one endpoint has cached.
struct query {
    struct contexts *contexts;
    struct endpoint *endpoint;
    struct channel *channel;
    struct evbuffer *body;
    int status;
    int64_t deadline_ms;
    size_t count; ///< items used
    struct message_context items[MESSAGE_CONTEXTS_MAX];
    struct query *prev;
    struct query *next;
};

struct contexts {
    struct contexts_options options;
    enum stage stage;
    int64_t started_ms;
    int64_t peer_queried_ms; ///< time of the last query to a peer; 0: none yet
    size_t queried_peers;
    size_t received; ///< contexts that peers have sent
    struct query *queries;
};

struct contexts *
contexts_new(const struct contexts_options *options)
{
    struct contexts *contexts = xcalloc(1, sizeof(*contexts));

    contexts->options = *options;
    contexts->started_ms = clock_ms(options->clock);
    return contexts;
}

static void
free_query(struct query *query)
{
    if (query->channel != NULL) {
        channel_cancel(query->channel);
    }
    DL_DELETE(query->contexts->queries, query);
    endpoint_unref(query->endpoint);
    evbuffer_free(query->body);
    free(query);
}

void
contexts_free(struct contexts *contexts)
{
    struct query *query, *next;

    if (contexts == NULL) {
        return;
    }
    DL_FOREACH_SAFE(contexts->queries, query, next)
    {
        free_query(query);
    }
    free(contexts);
}

static enum channel_verdict
on_head(void *ctx, const struct http1 *head)
{
    struct query *query = ctx;

    query->status = http1_status(head);
    return CHANNEL_ACCEPT;
}

static void
on_data(void *ctx, const char *bytes, size_t len)
{
    struct query *query = ctx;

    if (evbuffer_get_length(query->body) + len <= RESPONSE_BYTES_MAX) {
        evbuffer_add(query->body, bytes, len);
        return;
    }
    LOG_WARNING("event=contexts-query-failed endpoint=" STR_FMT
                " detail=\"answer over %d bytes\"",
                STR_ARG(query->endpoint->id), RESPONSE_BYTES_MAX);
    free_query(query);
}

static void
on_cached_part(void *ctx, uint64_t id, uint32_t tokens)
{
    struct query *query = ctx;
    struct endpoint *endpoint = query->endpoint;
    uint64_t key = prefix_estimate_add_reported(endpoint->cache, id, tokens);

    if (query->count < MESSAGE_CONTEXTS_MAX) {
        query->items[query->count++] = (struct message_context){
            .endpoint = endpoint->hash,
            .key = key,
            .tokens = tokens,
        };
    }
}

static void
on_end(void *ctx, enum channel_end end, const char *detail)
{
    struct query *query = ctx;
    struct contexts *contexts = query->contexts;
    struct str text = {
        (const char *)evbuffer_pullup(query->body, -1),
        evbuffer_get_length(query->body),
    };
    struct err err = {0};

    query->channel = NULL;
    if (end != CHANNEL_COMPLETE || query->status != 200) {
        LOG_INFO("event=contexts-query-failed endpoint=" STR_FMT
                 " status=%d detail=\"%s\"",
                 STR_ARG(query->endpoint->id), query->status, detail);
    }
    else if (!contexts->options.wire->read_contexts(text, on_cached_part,
                                                    query, &err)) {
        LOG_WARNING("event=contexts-rejected endpoint=" STR_FMT
                    " detail=\"%s\"",
                    STR_ARG(query->endpoint->id), err.message);
    }
    else {
        LOG_INFO("event=contexts-reported endpoint=" STR_FMT
                 " parts=%zu bytes=%zu",
                 STR_ARG(query->endpoint->id), query->count, text.len);
    }
    if (query->count > 0 && contexts->options.mesh != NULL) {
        mesh_send_contexts(contexts->options.mesh, NULL, query->items,
                           query->count);
    }
    free_query(query);
}

static void
query_endpoint(struct contexts *contexts, struct endpoint *endpoint)
{
    struct query *query = xcalloc(1, sizeof(*query));
    const struct channel_handler handler = {on_head, on_data, on_end, query};
    struct evbuffer *out = evbuffer_new();
    const struct channel_request request = {.bytes = out};

    query->contexts = contexts;
    query->endpoint = endpoint_ref(endpoint);
    query->body = evbuffer_new();
    query->deadline_ms =
        clock_ms(contexts->options.clock) + ENDPOINT_TIMEOUT_MS;
    DL_APPEND(contexts->queries, query);
    endpoints_count_send(contexts->options.endpoints, endpoint);
    contexts->options.wire->write_contexts_query(out);
    query->channel = channel_send(endpoint->pool, &request, &handler);
    evbuffer_free(out);
    if (query->channel == NULL) {
        on_end(query, CHANNEL_UNSENT, "no connection");
    }
}

static bool
is_assigned(const struct contexts *contexts, const struct endpoint *endpoint)
{
    return contexts->options.mesh == NULL ||
           mesh_is_ranked_among(contexts->options.mesh, endpoint->hash,
                                ROUTERS_PER_ENDPOINT);
}

static void
query_endpoints(struct contexts *contexts)
{
    int64_t now_ms = clock_ms(contexts->options.clock);
    struct endpoint *endpoint;
    size_t queried = 0;

    for (endpoint = endpoints_first(contexts->options.endpoints);
         endpoint != NULL; endpoint = endpoint->hh.next) {
        if (endpoints_block(contexts->options.endpoints, endpoint) ==
                ENDPOINT_UNBLOCKED &&
            contexts->options.caches_prompts(contexts->options.ctx,
                                             endpoint) &&
            is_assigned(contexts, endpoint)) {
            query_endpoint(contexts, endpoint);
            queried++;
        }
    }
    LOG_INFO("event=contexts-queried endpoints=%zu peers=%zu after_ms=%lld",
             queried, contexts->queried_peers,
             (long long)(now_ms - contexts->started_ms));
}

/// Queries the next peer, or the endpoints if no peer has answered.
static void
query_peer(struct contexts *contexts, int64_t now_ms)
{
    bool is_waiting = contexts->peer_queried_ms != 0 &&
                      now_ms - contexts->peer_queried_ms < PEER_TIMEOUT_MS;

    if (is_waiting) {
        return;
    }
    if (contexts->queried_peers < QUERIED_PEERS_MAX &&
        contexts->options.mesh != NULL &&
        mesh_request_contexts(contexts->options.mesh)) {
        contexts->peer_queried_ms = now_ms;
        contexts->queried_peers++;
        return;
    }
    if (now_ms - contexts->started_ms >= PEER_LINK_WAIT_MS ||
        contexts->options.mesh == NULL) {
        contexts->stage = STAGE_ENDPOINTS;
        query_endpoints(contexts);
    }
}

void
contexts_tick(struct contexts *contexts)
{
    int64_t now_ms = clock_ms(contexts->options.clock);
    struct query *query, *next;

    switch (contexts->stage) {
    case STAGE_PEERS:
        query_peer(contexts, now_ms);
        return;
    case STAGE_ENDPOINTS:
        DL_FOREACH_SAFE(contexts->queries, query, next)
        {
            if (now_ms >= query->deadline_ms) {
                LOG_INFO("event=contexts-query-failed endpoint=" STR_FMT
                         " detail=\"no answer in %d ms\"",
                         STR_ARG(query->endpoint->id), ENDPOINT_TIMEOUT_MS);
                free_query(query);
            }
        }
        if (contexts->queries == NULL) {
            contexts->stage = STAGE_DONE;
        }
        return;
    case STAGE_DONE:
        return;
    }
}

void
contexts_receive(struct contexts *contexts,
                 const struct message_context *items, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        struct endpoint *endpoint = endpoints_find_hash(
            contexts->options.endpoints, items[i].endpoint);

        if (endpoint != NULL) {
            prefix_estimate_import(endpoint->cache, items[i].key,
                                   items[i].tokens);
        }
    }
    contexts->received += count;
    if (count == 0 && contexts->stage == STAGE_PEERS) {
        LOG_INFO("event=contexts-received contexts=%zu peers=%zu",
                 contexts->received, contexts->queried_peers);
        contexts->stage = STAGE_DONE;
    }
}

/// Contexts collected for one message to a peer.
struct batch {
    struct contexts *contexts;
    struct link *link;
    uint64_t endpoint;
    size_t count;
    struct message_context items[MESSAGE_CONTEXTS_MAX];
};

static void
append_part(void *ctx, uint64_t key, uint32_t tokens)
{
    struct batch *batch = ctx;

    batch->items[batch->count++] = (struct message_context){
        .endpoint = batch->endpoint,
        .key = key,
        .tokens = tokens,
    };
    if (batch->count == MESSAGE_CONTEXTS_MAX) {
        mesh_send_contexts(batch->contexts->options.mesh, batch->link,
                           batch->items, batch->count);
        batch->count = 0;
    }
}

void
contexts_send(struct contexts *contexts, struct link *link)
{
    int64_t age_ms = clock_ms(contexts->options.clock) - contexts->started_ms;
    struct batch *batch;
    struct endpoint *endpoint;

    if (contexts->stage != STAGE_DONE || age_ms < SEND_UPTIME_MIN_MS) {
        return;
    }
    batch = xcalloc(1, sizeof(*batch));
    batch->contexts = contexts;
    batch->link = link;
    for (endpoint = endpoints_first(contexts->options.endpoints);
         endpoint != NULL; endpoint = endpoint->hh.next) {
        batch->endpoint = endpoint->hash;
        prefix_estimate_each(endpoint->cache, append_part, batch);
    }
    if (batch->count > 0) {
        mesh_send_contexts(contexts->options.mesh, link, batch->items,
                           batch->count);
    }
    mesh_send_contexts(contexts->options.mesh, link, NULL, 0);
    free(batch);
}
