#include "stream_finds.h"

#include <stdlib.h>

#include <event2/event.h>

#include "core/builds.h"
#include "core/xmalloc.h"
#include "dandelionvalve/message.h"
#include "net/log.h"
#include "net/timer.h"

#define LOG_MODULE "streams"

/// Time in which streams are gathered before a question is sent.
#define GATHER_MS 5
/// Questions whose answers are counted; those of earlier ones end by the
/// time limit of their requests.
#define QUESTIONS_MAX 64

_Static_assert(MESSAGE_FIND_ID_BYTES == BUILDS_ID_BYTES,
               "messages carry the ids of core/builds.h");

struct question {
    uint64_t number;
    size_t missing; ///< peers that have not answered
    bool ends;      ///< there was no peer, which is to be reported
};

struct stream_finds {
    struct stream_finds_options options;
    struct event *timer;
    uint64_t number; ///< of the last question that was sent
    unsigned char ids[MESSAGE_FIND_MAX * BUILDS_ID_BYTES]; ///< of the next
    size_t len;
    struct question sent[QUESTIONS_MAX];
};

/// The end of a question without peers is reported by the timer: who adds a
/// stream may go through the requests that wait.
static void
ask(struct stream_finds *finds)
{
    struct question *question = &finds->sent[++finds->number % QUESTIONS_MAX];
    struct str ids = {(const char *)finds->ids, finds->len};

    finds->len = 0;
    question->number = finds->number;
    question->missing =
        finds->options.ask(finds->options.ctx, question->number, ids);
    question->ends = question->missing == 0;
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct stream_finds *finds = ctx;

    (void)fd;
    (void)events;
    ask(finds);
    for (uint64_t i = 1; i <= QUESTIONS_MAX; i++) {
        struct question *question =
            &finds->sent[(finds->number + i) % QUESTIONS_MAX];

        if (question->ends) {
            question->ends = false;
            finds->options.answered(finds->options.ctx, question->number,
                                    true);
        }
    }
}

struct stream_finds *
stream_finds_new(const struct stream_finds_options *options)
{
    struct stream_finds *finds = xcalloc(1, sizeof(*finds));

    finds->options = *options;
    finds->timer = event_new(options->base, -1, 0, on_timer, finds);
    return finds;
}

void
stream_finds_free(struct stream_finds *finds)
{
    if (finds == NULL) {
        return;
    }
    event_free(finds->timer);
    free(finds);
}

uint64_t
stream_finds_add(struct stream_finds *finds, uint64_t stream)
{
    if (finds->len == sizeof(finds->ids)) {
        event_del(finds->timer);
        ask(finds);
    }
    builds_put_id(finds->ids + finds->len, stream);
    finds->len += BUILDS_ID_BYTES;
    if (!event_pending(finds->timer, EV_TIMEOUT, NULL)) {
        timer_start(finds->timer, GATHER_MS);
    }
    return finds->number + 1;
}

void
stream_finds_receive(struct stream_finds *finds, uint64_t peer,
                     uint64_t number, struct str ids)
{
    struct str batch = {0};

    builds_known(finds->options.builds, ids, &batch);
    finds->options.reply(finds->options.ctx, peer, number, batch);
    free((char *)batch.data);
}

void
stream_finds_answered(struct stream_finds *finds, uint64_t number,
                      struct str batch)
{
    struct question *question = &finds->sent[number % QUESTIONS_MAX];
    struct err err = {0};

    if (batch.len > 0 && !builds_apply(finds->options.builds, batch, &err)) {
        LOG_WARNING("event=streams-rejected detail=\"%s\"", err.message);
    }
    if (question->number != number || question->missing == 0) {
        return;
    }
    question->missing--;
    if (batch.len > 0 || question->missing == 0) {
        finds->options.answered(finds->options.ctx, number,
                                question->missing == 0);
    }
}
