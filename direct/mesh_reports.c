/// What a router sends to its peers at intervals: loads, sums of accounts,
/// placements, and evidence against parts of prompts.
#include <utlist.h>

#include "mesh_private.h"

static bool
takes_blames(const struct peer *peer)
{
    return link_version(peer->link) >= MESSAGE_VERSION_BLAMES;
}

void
mesh_broadcast(struct mesh *mesh, const struct message *message,
               uint32_t version_min)
{
    struct peer *peer;

    LL_FOREACH(mesh->peers, peer)
    {
        if (link_version(peer->link) >= version_min) {
            link_send(peer->link, message);
        }
    }
}

static void
send_shares(struct mesh *mesh)
{
    struct message message = {.type = MESSAGE_SHARES};

    message.shares.items = mesh->shares;
    message.shares.count = mesh->options.collect_shares(
        mesh->options.ctx, mesh->shares, MESSAGE_SHARES_MAX);
    if (message.shares.count > 0) {
        mesh_broadcast(mesh, &message, MESSAGE_VERSION_SHARES);
    }
}

void
mesh_send_reports(struct mesh *mesh)
{
    struct message message = {.type = MESSAGE_LOADS};

    message.loads.items = mesh->loads;
    message.loads.count = mesh->options.collect_loads(
        mesh->options.ctx, mesh->loads, MESSAGE_LOADS_MAX);
    if (message.loads.count > 0) {
        mesh->traffic.last_ms = mesh_now_ms(mesh);
        if (mesh->traffic.begun_ms == 0) {
            mesh->traffic.begun_ms = mesh->traffic.last_ms;
        }
        mesh_broadcast(mesh, &message, MESSAGE_VERSION);
    }
    send_shares(mesh);
    mesh_send_topic_ends(mesh);
}

static void
flush_placements(struct mesh *mesh)
{
    const struct message message = {
        .type = MESSAGE_PLACED,
        .placed.items = mesh->placed,
        .placed.count = mesh->placed_count,
    };

    if (mesh->placed_count == 0) {
        return;
    }
    mesh_broadcast(mesh, &message, MESSAGE_VERSION);
    mesh->placed_count = 0;
}

static void
flush_blames(struct mesh *mesh)
{
    const struct message blames = {
        .type = MESSAGE_BLAMES,
        .blames.items = mesh->blames,
        .blames.count = mesh->blame_count,
    };
    const struct message answered = {
        .type = MESSAGE_ANSWERED,
        .answered.parts = mesh->answered,
        .answered.count = mesh->answered_count,
    };

    for (size_t i = 0; i < mesh->blame_count; i++) {
        mesh->blames[i].age_ms +=
            (uint32_t)(mesh_now_ms(mesh) - mesh->blamed_ms[i]);
    }
    if (mesh->blame_count > 0) {
        mesh_broadcast(mesh, &blames, MESSAGE_VERSION_BLAMES);
    }
    if (mesh->answered_count > 0) {
        mesh_broadcast(mesh, &answered, MESSAGE_VERSION_BLAMES);
    }
    mesh->blame_count = 0;
    mesh->answered_count = 0;
}

static void
flush_rates(struct mesh *mesh)
{
    struct message message = {.type = MESSAGE_RATES};

    message.rates.items = mesh->rates;
    message.rates.count = mesh->options.collect_rates(
        mesh->options.ctx, mesh->rates, MESSAGE_RATES_MAX);
    if (message.rates.count > 0) {
        mesh_broadcast(mesh, &message, MESSAGE_VERSION_RATES);
    }
}

static void
flush_busy(struct mesh *mesh)
{
    struct message message = {.type = MESSAGE_BUSY};

    message.busy.items = mesh->busy;
    message.busy.count = mesh->options.collect_busy(
        mesh->options.ctx, mesh->busy, MESSAGE_BUSY_MAX);
    if (message.busy.count > 0) {
        mesh_broadcast(mesh, &message, MESSAGE_VERSION_RATES);
    }
}

void
mesh_flush(struct mesh *mesh)
{
    flush_placements(mesh);
    flush_blames(mesh);
    flush_rates(mesh);
    flush_busy(mesh);
}

void
mesh_queue_placement(struct mesh *mesh, const struct message_placed *placed)
{
    if (mesh->placed_count == MESSAGE_PLACED_MAX) {
        flush_placements(mesh);
    }
    mesh->placed[mesh->placed_count++] = *placed;
}

void
mesh_queue_blame(struct mesh *mesh, const struct message_blame *blame)
{
    if (mesh->blame_count == MESSAGE_BLAMES_MAX) {
        flush_blames(mesh);
    }
    mesh->blamed_ms[mesh->blame_count] = mesh_now_ms(mesh);
    mesh->blames[mesh->blame_count++] = *blame;
}

void
mesh_send_blames(struct mesh *mesh, const struct link *link,
                 const struct message_blame *items, size_t count)
{
    const struct peer *peer = mesh_find_peer(mesh, link);

    if (peer != NULL && takes_blames(peer)) {
        link_send(peer->link, &(struct message){
                                  .type = MESSAGE_BLAMES,
                                  .blames.items = items,
                                  .blames.count = count,
                              });
    }
}

void
mesh_send_rates(struct link *link, const struct message_rate *items,
                size_t count)
{
    if (link_version(link) >= MESSAGE_VERSION_RATES) {
        link_send(link, &(struct message){
                            .type = MESSAGE_RATES,
                            .rates.items = items,
                            .rates.count = count,
                        });
    }
}

void
mesh_queue_answered(struct mesh *mesh, const uint64_t *parts, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (mesh->answered_count == MESSAGE_ANSWERED_MAX) {
            flush_blames(mesh);
        }
        mesh->answered[mesh->answered_count++] = parts[i];
    }
}
