/// Questions to peers about streams, without a router.
#include <stdlib.h>

#include <CUnit/CUnit.h>
#include <event2/event.h>

#include "core/builds.h"
#include "dandelionvalve/message.h"
#include "direct/stream_finds.h"
#include "net/loop.h"
#include "suites.h"

#define GATHERED_MS 20
#define SERVICE 11
#define V1 101
#define LIFETIME_MS 10000
#define PEER 5

struct fixture {
    struct event_base *base;
    struct builds *builds;
    struct stream_finds *finds;
    size_t peers;      ///< that answer
    uint64_t asked;    ///< number of the last question
    size_t asked_ids;  ///< in it
    size_t replies;    ///< to the peer
    size_t found;      ///< bytes in the last one
    size_t answers;    ///< that were reported
    uint64_t answered; ///< question of the last one
    bool ended;
};

static size_t
on_ask(void *ctx, uint64_t number, struct str ids)
{
    struct fixture *fixture = ctx;

    fixture->asked = number;
    fixture->asked_ids = ids.len / BUILDS_ID_BYTES;
    return fixture->peers;
}

static void
on_reply(void *ctx, uint64_t peer, uint64_t number, struct str batch)
{
    struct fixture *fixture = ctx;

    CU_ASSERT(peer == PEER && number == 3);
    fixture->replies++;
    fixture->found = batch.len;
}

static void
on_answered(void *ctx, uint64_t number, bool ended)
{
    struct fixture *fixture = ctx;

    fixture->answers++;
    fixture->answered = number;
    fixture->ended = ended;
}

static void
start(struct fixture *fixture, size_t peers)
{
    *fixture = (struct fixture){.base = event_base_new(), .peers = peers};
    fixture->builds = builds_new(&(struct builds_options){
        .clock = &clock_monotonic,
        .wall_clock = &clock_realtime,
        .lifetime_ms = LIFETIME_MS,
    });
    fixture->finds = stream_finds_new(&(struct stream_finds_options){
        .base = fixture->base,
        .builds = fixture->builds,
        .ask = on_ask,
        .reply = on_reply,
        .answered = on_answered,
        .ctx = fixture,
    });
}

static void
run(struct fixture *fixture)
{
    const struct timeval limit = {.tv_usec = GATHERED_MS * 1000};

    event_base_loopexit(fixture->base, &limit);
    event_base_dispatch(fixture->base);
}

static void
stop(struct fixture *fixture)
{
    stream_finds_free(fixture->finds);
    builds_free(fixture->builds);
    loop_free(fixture->base);
}

/// Streams that are asked for at once share a question, up to what a message
/// may have.
static void
test_shared_question(void)
{
    struct fixture fixture;
    uint64_t number;

    start(&fixture, 2);
    number = stream_finds_add(fixture.finds, 1);
    CU_ASSERT(stream_finds_add(fixture.finds, 2) == number);
    CU_ASSERT(fixture.asked == 0);
    run(&fixture);
    CU_ASSERT(fixture.asked == number && fixture.asked_ids == 2);
    for (uint64_t i = 0; i < MESSAGE_FIND_MAX; i++) {
        CU_ASSERT(stream_finds_add(fixture.finds, i) == number + 1);
    }
    CU_ASSERT(stream_finds_add(fixture.finds, 1) == number + 2);
    CU_ASSERT(fixture.asked == number + 1);
    CU_ASSERT(fixture.asked_ids == MESSAGE_FIND_MAX);
    run(&fixture);
    CU_ASSERT(fixture.asked == number + 2 && fixture.asked_ids == 1);
    stop(&fixture);
}

/// A question ends with the last answer. Further ones, and those to other
/// questions, do not end one.
static void
test_answers(void)
{
    struct fixture fixture;
    unsigned char ids[BUILDS_ID_BYTES];
    struct str known = {0};
    struct builds_stream stream;
    uint64_t number;

    start(&fixture, 3);
    builds_record(fixture.builds, 1, SERVICE, V1);
    builds_put_id(ids, 1);
    CU_ASSERT_FATAL(builds_known(
        fixture.builds, (struct str){(const char *)ids, sizeof(ids)}, &known));
    builds_record_end(fixture.builds, 1);
    number = stream_finds_add(fixture.finds, 1);
    run(&fixture);
    stream_finds_answered(fixture.finds, number, (struct str){0});
    stream_finds_answered(fixture.finds, number + 1, (struct str){0});
    stream_finds_answered(fixture.finds, number - 1, (struct str){0});
    CU_ASSERT(fixture.answers == 0);
    stream_finds_answered(fixture.finds, number, known);
    CU_ASSERT(fixture.answers == 1 && fixture.answered == number);
    CU_ASSERT(!fixture.ended);
    CU_ASSERT(builds_find(fixture.builds, 1, &stream) && stream.build == V1);
    stream_finds_answered(fixture.finds, number, STR_LITERAL("odd"));
    CU_ASSERT(fixture.answers == 2 && fixture.ended);
    stream_finds_answered(fixture.finds, number, (struct str){0});
    CU_ASSERT(fixture.answers == 2);
    free((char *)known.data);
    stop(&fixture);
}

/// Nobody can be asked: the question ends at once.
static void
test_no_peers(void)
{
    struct fixture fixture;
    uint64_t number;

    start(&fixture, 0);
    number = stream_finds_add(fixture.finds, 1);
    run(&fixture);
    CU_ASSERT(fixture.answers == 1 && fixture.answered == number);
    CU_ASSERT(fixture.ended);
    stop(&fixture);
}

/// A peer is answered whether or not the stream is known.
static void
test_peer_is_answered(void)
{
    struct fixture fixture;
    unsigned char ids[BUILDS_ID_BYTES];
    struct str text = {(const char *)ids, sizeof(ids)};

    start(&fixture, 1);
    builds_put_id(ids, 1);
    stream_finds_receive(fixture.finds, PEER, 3, text);
    CU_ASSERT(fixture.replies == 1 && fixture.found == 0);
    builds_record(fixture.builds, 1, SERVICE, V1);
    stream_finds_receive(fixture.finds, PEER, 3, text);
    CU_ASSERT(fixture.replies == 2 && fixture.found > 0);
    stop(&fixture);
}

/// Nobody can be asked for more streams than a question may have. Its end was
/// reported to the caller that was still adding streams: the requests that
/// ended then may be those that the caller comes to next.
static void
test_end_while_adding(void)
{
    struct fixture fixture;
    uint64_t number = 0;

    start(&fixture, 0);
    for (uint64_t i = 0; i <= 2 * MESSAGE_FIND_MAX; i++) {
        number = stream_finds_add(fixture.finds, i);
        CU_ASSERT(fixture.answers == 0);
    }
    run(&fixture);
    CU_ASSERT(fixture.answers == 3 && fixture.answered == number);
    CU_ASSERT(fixture.ended);
    stop(&fixture);
}

void
suite_stream_finds(void)
{
    CU_pSuite suite = CU_add_suite("stream-finds", NULL, NULL);

    CU_add_test(suite, "streams share a question", test_shared_question);
    CU_add_test(suite, "answers end a question", test_answers);
    CU_add_test(suite, "no peers", test_no_peers);
    CU_add_test(suite, "question ends while streams are added",
                test_end_while_adding);
    CU_add_test(suite, "peer is answered", test_peer_is_answered);
}
