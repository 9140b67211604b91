#include "stream_batches.h"

#include <stdlib.h>

#include <event2/event.h>
#include <utlist.h>

#include "core/builds.h"
#include "core/stream_writer.h"
#include "core/xmalloc.h"
#include "net/log.h"
#include "net/timer.h"

#define LOG_MODULE "streams"

/// Time in which streams are gathered before a batch is sent.
#define GATHER_MS 5
/// Interval of copies to peers while batches are not written, and the time
/// after which one that is under way counts as such.
#define COPY_INTERVAL_MS 50
#define LATE_MS 100
/// Time in which another router has to write a batch.
#define REPLY_MAX_MS 700
/// Interval of appends of a router that stands in for the one that writes: all
/// routers of the deployment may do so at once.
#define ALONE_MIN_MS 200
#define ALONE_PER_ROUTER_MS 10
#define PEERS_MAX 512
/// Longest interval of appends for which a first event waits.
#define PROMPT_MAX_MS 50

/// A peer waits until the streams that it has sent are in the log.
struct waiting {
    uint64_t peer;
    uint64_t number;
    uint64_t mark; ///< of builds_written()
    struct waiting *prev, *next;
};

struct stream_batches {
    struct stream_batches_options options;
    struct stream_writer writer;
    struct event *timer;
    struct {
        bool pending;
        uint64_t writer; ///< peer; 0: the log itself
        uint64_t number;
        int64_t begun_ms;
    } batch;
    int64_t due_ms;
    bool is_slow;    ///< the last batch was not written, or as a stand-in
    bool is_failing; ///< the last batch was not written
    int64_t copy_ms; ///< when the next copy is due
    struct waiting *waiting;
};

static int64_t
now_ms(const struct stream_batches *batches)
{
    return clock_ms(batches->options.clock);
}

static void
schedule(struct stream_batches *batches)
{
    int64_t wait_ms = batches->due_ms - now_ms(batches);

    if (!batches->batch.pending &&
        !event_pending(batches->timer, EV_TIMEOUT, NULL)) {
        timer_start(batches->timer, wait_ms > GATHER_MS ? wait_ms : GATHER_MS);
    }
}

/// Answers the peers whose streams are in the log, or all of them if they
/// could not be written.
static void
answer_waiting(struct stream_batches *batches, bool done)
{
    struct waiting *waiting, *next;

    DL_FOREACH_SAFE(batches->waiting, waiting, next)
    {
        if (!done ||
            waiting->mark <= builds_written(batches->options.builds)) {
            batches->options.reply(batches->options.ctx, waiting->peer,
                                   waiting->number, done);
            DL_DELETE(batches->waiting, waiting);
            free(waiting);
        }
    }
}

static int64_t
alone_ms(const struct stream_batches *batches)
{
    int64_t shared_ms =
        ALONE_PER_ROUTER_MS *
        (int64_t)batches->options.router_count(batches->options.ctx);

    return shared_ms > ALONE_MIN_MS ? shared_ms : ALONE_MIN_MS;
}

static void
end_batch(struct stream_batches *batches, bool done)
{
    batches->batch.pending = false;
    batches->is_failing = !done;
    if (!done) {
        batches->is_slow = true;
        batches->due_ms = now_ms(batches) + alone_ms(batches);
    }
    builds_batch_written(batches->options.builds, done);
    answer_waiting(batches, done);
    batches->options.ended(batches->options.ctx);
    if (builds_pending_count(batches->options.builds) > 0) {
        schedule(batches);
    }
}

/// The peer has not written the batch in progress.
static void
give_up_peer(struct stream_batches *batches, const char *detail)
{
    LOG_WARNING("event=streams-not-written after_ms=%lld pending=%zu "
                "detail=\"%s\"",
                (long long)(now_ms(batches) - batches->batch.begun_ms),
                builds_pending_count(batches->options.builds), detail);
    stream_writer_avoid(&batches->writer, batches->batch.writer,
                        now_ms(batches));
    end_batch(batches, false);
}

static void
begin_batch(struct stream_batches *batches, struct str batch)
{
    const struct stream_batches_options *options = &batches->options;
    uint64_t own = options->own_id(options->ctx);
    uint64_t peers[PEERS_MAX];
    size_t count = options->peers(options->ctx, peers, PEERS_MAX);
    struct stream_writer_choice choice = stream_writer_choose(
        &batches->writer, own, peers, count,
        options->router_count(options->ctx), now_ms(batches));

    batches->batch.pending = true;
    batches->batch.begun_ms = now_ms(batches);
    batches->batch.writer = choice.id != own ? choice.id : 0;
    batches->is_slow =
        choice.interval_ms == 0 || choice.interval_ms > PROMPT_MAX_MS;
    if (choice.id != own) {
        batches->due_ms = now_ms(batches);
        options->send(options->ctx, choice.id, ++batches->batch.number, batch);
        return;
    }
    batches->due_ms =
        now_ms(batches) +
        (choice.interval_ms > 0 ? choice.interval_ms : alone_ms(batches));
    options->append(options->ctx, batch);
}

/// While the log takes no batches, a stream is also known to some peers: its
/// client may come back after this router was killed.
static void
copy_waiting(struct stream_batches *batches)
{
    bool is_late = batches->batch.pending &&
                   now_ms(batches) - batches->batch.begun_ms >= LATE_MS;
    struct str batch;

    if ((batches->is_failing || is_late) &&
        now_ms(batches) >= batches->copy_ms &&
        builds_take_copy(batches->options.builds, &batch)) {
        batches->copy_ms = now_ms(batches) + COPY_INTERVAL_MS;
        batches->options.copy(batches->options.ctx, batch);
        free((char *)batch.data);
    }
}

void
stream_batches_flush(struct stream_batches *batches)
{
    struct str batch;

    copy_waiting(batches);
    if (batches->batch.pending) {
        if (batches->batch.writer != 0 &&
            now_ms(batches) - batches->batch.begun_ms >= REPLY_MAX_MS) {
            give_up_peer(batches, "the writing router does not answer");
        }
        return;
    }
    if (now_ms(batches) < batches->due_ms) {
        if (builds_pending_count(batches->options.builds) > 0) {
            schedule(batches);
        }
        return;
    }
    if (builds_take_batch(batches->options.builds, &batch)) {
        begin_batch(batches, batch);
        free((char *)batch.data);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    stream_batches_flush(ctx);
}

struct stream_batches *
stream_batches_new(const struct stream_batches_options *options)
{
    struct stream_batches *batches = xcalloc(1, sizeof(*batches));

    batches->options = *options;
    batches->timer = event_new(options->base, -1, 0, on_timer, batches);
    return batches;
}

void
stream_batches_free(struct stream_batches *batches)
{
    struct waiting *waiting, *next;

    if (batches == NULL) {
        return;
    }
    DL_FOREACH_SAFE(batches->waiting, waiting, next)
    {
        free(waiting);
    }
    event_free(batches->timer);
    free(batches);
}

bool
stream_batches_is_prompt(const struct stream_batches *batches)
{
    return !batches->is_slow;
}

void
stream_batches_appended(struct stream_batches *batches, bool done)
{
    if (batches->batch.pending && batches->batch.writer == 0) {
        end_batch(batches, done);
    }
}

void
stream_batches_receive(struct stream_batches *batches, uint64_t peer,
                       uint64_t number, struct str batch)
{
    struct builds *builds = batches->options.builds;
    struct err err = {0};
    struct waiting *waiting;

    if (!builds_adopt(builds, batch, &err)) {
        LOG_WARNING("event=streams-rejected detail=\"%s\"", err.message);
        batches->options.reply(batches->options.ctx, peer, number, false);
        return;
    }
    waiting = xcalloc(1, sizeof(*waiting));
    *waiting = (struct waiting){
        .peer = peer,
        .number = number,
        .mark = builds_queued(builds),
    };
    DL_APPEND(batches->waiting, waiting);
    if (builds_pending_count(builds) == 0) {
        answer_waiting(batches, true);
        return;
    }
    schedule(batches);
}

void
stream_batches_replied(struct stream_batches *batches, uint64_t peer,
                       uint64_t number, bool done)
{
    if (!batches->batch.pending || batches->batch.writer != peer ||
        batches->batch.number != number) {
        return;
    }
    if (done) {
        end_batch(batches, true);
    }
    else {
        give_up_peer(batches, "the writing router could not write it");
    }
}

void
stream_batches_peer_lost(struct stream_batches *batches, uint64_t peer)
{
    if (batches->batch.pending && batches->batch.writer == peer) {
        give_up_peer(batches, "the link to the writing router is lost");
    }
}
