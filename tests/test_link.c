/// Versions of links: builds of different versions link with each other.
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "net/link.h"
#include "net/loop.h"
#include "standin/ports.h"
#include "suites.h"

#define WAIT_MS 2000
#define RUN_STEP_US 5000
/// Longer than the time-outs of handshakes and probes.
#define PAUSE_MS (LINK_HANDSHAKE_TIMEOUT_MS + 100)
/// Idle time after which links are probed.
#define IDLE_MS 1100

struct end {
    struct link_options options;
    struct counters counters;
    struct link *link;
    uint32_t ready_version;
    uint32_t refused_version;
    bool closed;
    int fd; ///< of a stand-in for an earlier build
};

struct pair {
    struct event_base *base;
    struct evconnlistener *listener;
    struct link_keys keys;
    struct address address;
    struct end dialing;
    struct end accepting;
};

static void
on_ready(void *ctx, struct link *link)
{
    ((struct end *)ctx)->ready_version = link_version(link);
}

static void
on_message(void *ctx, struct link *link, const struct message *message)
{
    (void)ctx;
    (void)link;
    (void)message;
}

static void
on_closed(void *ctx, struct link *link, const struct err *err)
{
    struct end *end = ctx;

    (void)err;
    end->refused_version = link_version(link);
    end->closed = true;
    end->link = NULL;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int len, void *ctx)
{
    struct end *end = ctx;

    (void)listener;
    (void)len;
    end->link = link_accept(&end->options, fd, address);
}

static void
init_end(struct pair *pair, struct end *end, const char *name,
         uint32_t version)
{
    end->options = (struct link_options){
        .base = pair->base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .counters = &end->counters,
        .name = name,
        .role = "router",
        .peer_role = "router",
        .incarnation = 1,
        .version = version,
        .keys = &pair->keys,
        .heartbeat_interval_ms = LINK_HEARTBEAT_INTERVAL_MS,
        .receive_timeout_ms = LINK_RECEIVE_TIMEOUT_MS,
        .probe_timeout_ms = LINK_PROBE_TIMEOUT_MS,
        .handshake_timeout_ms = LINK_HANDSHAKE_TIMEOUT_MS,
        .output_bytes_max = LINK_OUTPUT_BYTES_MAX,
        .ready = on_ready,
        .message = on_message,
        .closed = on_closed,
        .ctx = end,
    };
}

static void
pair_start(struct pair *pair, uint32_t dialing, uint32_t accepting)
{
    struct address any = ports_any();

    *pair = (struct pair){.base = event_base_new(), .keys.count = 1};
    init_end(pair, &pair->dialing, "a", dialing);
    init_end(pair, &pair->accepting, "b", accepting);
    pair->listener = evconnlistener_new_bind(
        pair->base, on_accept, &pair->accepting,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 4,
        (const struct sockaddr *)&any.storage, (int)any.len);
    CU_ASSERT_FATAL(pair->listener != NULL);
    address_of_socket(evconnlistener_get_fd(pair->listener), &pair->address);
}

static void
pair_stop(struct pair *pair)
{
    if (pair->dialing.link != NULL) {
        link_close(pair->dialing.link);
    }
    if (pair->accepting.link != NULL) {
        link_close(pair->accepting.link);
    }
    evconnlistener_free(pair->listener);
    loop_free(pair->base);
}

static void
start_dial(struct pair *pair, uint32_t version)
{
    pair->dialing.closed = false;
    pair->accepting.closed = false;
    pair->dialing.link =
        link_connect(&pair->dialing.options, &pair->address, version);
}

/// Waits until both ends are ready or one has closed.
static void
wait_for_dial(struct pair *pair)
{
    int64_t end_ms = clock_ms(&clock_monotonic) + WAIT_MS;

    while (clock_ms(&clock_monotonic) < end_ms && !pair->dialing.closed &&
           (pair->dialing.ready_version == 0 ||
            pair->accepting.ready_version == 0)) {
        event_base_loop(pair->base, EVLOOP_ONCE);
    }
}

static void
dial(struct pair *pair, uint32_t version)
{
    start_dial(pair, version);
    wait_for_dial(pair);
}

static void
run(struct pair *pair, int64_t ms)
{
    int64_t end_ms = clock_ms(&clock_monotonic) + ms;

    while (clock_ms(&clock_monotonic) < end_ms) {
        event_base_loop(pair->base, EVLOOP_NONBLOCK);
        usleep(RUN_STEP_US);
    }
}

static void
test_versions_agree(void)
{
    static const struct {
        uint32_t dialing;
        uint32_t accepting;
        uint32_t agreed;
    } cases[] = {{4, 5, 4}, {5, 4, 4}, {5, 5, 5}, {3, 4, 3},
                 {4, 3, 3}, {4, 4, 4}, {0, 0, 1}, {1, 1, 1},
                 {2, 2, 2}, {1, 2, 1}, {2, 1, 1}, {2, 3, 2},
                 {3, 2, 2}, {3, 3, 3}, {3, 1, 1}, {1, 3, 1}};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct pair pair;

        pair_start(&pair, cases[i].dialing, cases[i].accepting);
        dial(&pair, 0);
        CU_ASSERT(pair.dialing.ready_version == cases[i].agreed);
        CU_ASSERT(pair.accepting.ready_version == cases[i].agreed);
        pair_stop(&pair);
    }
}

/// Stands in for the accepting end of a build that only knows version 1: it
/// sends its hello at once and closes when it receives a higher version.
static void
on_accept_earlier(struct evconnlistener *listener, evutil_socket_t fd,
                  struct sockaddr *address, int len, void *ctx)
{
    struct end *end = ctx;
    struct message_codec *codec = message_codec_new();
    char nonce[MESSAGE_NONCE_BYTES] = {0};
    struct str frame =
        message_encode(codec, &(struct message){
                                  .type = MESSAGE_HELLO,
                                  .hello.version = 1,
                                  .hello.name = STR_LITERAL("b"),
                                  .hello.role = STR_LITERAL("router"),
                                  .hello.incarnation = 1,
                                  .hello.nonce = {nonce, sizeof(nonce)},
                              });
    uint32_t length = htonl((uint32_t)frame.len);

    (void)listener;
    (void)address;
    (void)len;
    end->closed = true;
    CU_ASSERT(write(fd, &length, sizeof(length)) == sizeof(length));
    CU_ASSERT(write(fd, frame.data, frame.len) == (ssize_t)frame.len);
    shutdown(fd, SHUT_WR);
    end->fd = fd;
    message_codec_free(codec);
}

static void
test_earlier_peer(void)
{
    struct pair pair;

    pair_start(&pair, 2, 1);
    evconnlistener_set_cb(pair.listener, on_accept_earlier, &pair.accepting);
    dial(&pair, 0);
    CU_ASSERT(pair.dialing.closed);
    CU_ASSERT(pair.dialing.ready_version == 0);
    CU_ASSERT(pair.dialing.refused_version == 1);
    close(pair.accepting.fd);
    evconnlistener_set_cb(pair.listener, on_accept, &pair.accepting);
    dial(&pair, pair.dialing.refused_version);
    CU_ASSERT(pair.dialing.ready_version == 1);
    CU_ASSERT(pair.accepting.ready_version == 1);
    pair_stop(&pair);
}

/// A process that was paused while it dialed closed its links to peers that
/// had accepted.
static void
test_pause_in_handshake(void)
{
    struct pair pair;

    pair_start(&pair, 2, 2);
    start_dial(&pair, 0);
    usleep(PAUSE_MS * 1000);
    wait_for_dial(&pair);
    CU_ASSERT(!pair.dialing.closed);
    CU_ASSERT(pair.dialing.ready_version == 2);
    pair_stop(&pair);
}

/// The probe left the process only after its time-out.
static void
test_pause_in_probe(void)
{
    struct pair pair;

    pair_start(&pair, 2, 2);
    dial(&pair, 0);
    run(&pair, IDLE_MS);
    link_probe(pair.dialing.link);
    usleep(PAUSE_MS * 1000);
    run(&pair, LINK_PROBE_TIMEOUT_MS * 2);
    CU_ASSERT(!pair.dialing.closed);
    CU_ASSERT(!pair.accepting.closed);
    pair_stop(&pair);
}

static void
on_accept_silent(struct evconnlistener *listener, evutil_socket_t fd,
                 struct sockaddr *address, int len, void *ctx)
{
    (void)listener;
    (void)address;
    (void)len;
    ((struct end *)ctx)->fd = fd;
}

/// A peer that sends nothing is given up, with the pause counted out.
static void
test_silent_peer_after_pause(void)
{
    struct pair pair;

    pair_start(&pair, 2, 2);
    evconnlistener_set_cb(pair.listener, on_accept_silent, &pair.accepting);
    start_dial(&pair, 0);
    usleep(PAUSE_MS * 1000);
    run(&pair, LINK_HANDSHAKE_TIMEOUT_MS + WAIT_MS / 4);
    CU_ASSERT(pair.dialing.closed);
    close(pair.accepting.fd);
    pair_stop(&pair);
}

void
suite_link(void)
{
    CU_pSuite suite = CU_add_suite("link", NULL, NULL);

    CU_add_test(suite, "versions agree", test_versions_agree);
    CU_add_test(suite, "earlier peer", test_earlier_peer);
    CU_add_test(suite, "a pause during the handshake is no time-out",
                test_pause_in_handshake);
    CU_add_test(suite, "a pause during a probe is no time-out",
                test_pause_in_probe);
    CU_add_test(suite, "a silent peer is given up after a pause",
                test_silent_peer_after_pause);
}
