#include "link.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sodium.h>

#include "charge.h"
#include "core/xmalloc.h"
#include "log.h"

#define LOG_MODULE "link"
#define LENGTH_BYTES 4
#define HANDSHAKE_FRAME_BYTES_MAX 512
#define TICK_MS 100
#define NAME_BYTES_MAX 64
#define PROBE_MIN_IDLE_MS 1000
/// A check that is later than this was held up by a pause of the process.
#define LATE_MIN_MS 50

enum link_state {
    LINK_CONNECTING,
    LINK_HANDSHAKE,
    LINK_READY,
    LINK_CLOSED,
};

struct link {
    const struct link_options *options;
    struct bufferevent *bev;
    struct event *timer;
    struct message_codec *codec;
    enum link_state state;
    bool in_callback;
    bool busy;
    bool hello_received;
    char peer_address[ADDRESS_TEXT_BYTES];
    struct str peer_name;
    uint64_t peer_incarnation;
    uint32_t offered_version; ///< by the connecting end
    uint32_t version;         ///< stated in the own hello; 0: not yet sent
    uint32_t peer_version;    ///< stated by the peer; 0: not yet received
    unsigned char nonce[MESSAGE_NONCE_BYTES];
    unsigned char peer_nonce[MESSAGE_NONCE_BYTES];
    int64_t tick_ms;
    int64_t checked_ms; ///< time of the last check
    int64_t sent_ms;
    // Moved by pauses of this process, which are no silence of the peer:
    int64_t opened_ms;
    int64_t received_ms;
    int64_t probe_deadline_ms;
    struct charge output;
    void *user;
};

static void
link_free(struct link *link)
{
    charge_stop(&link->output);
    if (link->bev != NULL) {
        bufferevent_free(link->bev);
    }
    event_free(link->timer);
    message_codec_free(link->codec);
    free((char *)link->peer_name.data);
    free(link);
}

/// Stops all events; link_free() follows when no callback is on the stack.
static void
stop_events(struct link *link)
{
    if (link->state == LINK_CLOSED) {
        return;
    }
    link->state = LINK_CLOSED;
    counter_add(link->options->counters, COUNTER_LINKS_CLOSED, 1);
    event_del(link->timer);
    bufferevent_disable(link->bev, EV_READ | EV_WRITE);
    bufferevent_setcb(link->bev, NULL, NULL, NULL, NULL);
}

void
link_close(struct link *link)
{
    bool closed = link->state == LINK_CLOSED;

    stop_events(link);
    if (!link->in_callback && !closed) {
        link_free(link);
    }
}

static void
link_fail(struct link *link, const struct err *err)
{
    if (link->state == LINK_CLOSED) {
        return;
    }
    LOG_INFO("event=link-closed peer=%s name=" STR_FMT
             " code=%s step=%s reason=\"%s\"",
             link->peer_address, STR_ARG(link->peer_name),
             err_code_name(err->code), err->step, err->message);
    stop_events(link);
    link->in_callback = true;
    link->options->closed(link->options->ctx, link, err);
    link->in_callback = false;
}

/// Closes and frees the link from a libevent callback.
static void
link_fail_and_free(struct link *link, enum err_code code, const char *step,
                   const char *what)
{
    struct err err = {0};

    err_set(&err, code, step, link->peer_address, "%s", what);
    link_fail(link, &err);
    link_free(link);
}

static bool
is_control(enum message_type type)
{
    return type == MESSAGE_PING || type == MESSAGE_PONG ||
           type == MESSAGE_IN_FLIGHT || type == MESSAGE_STATE;
}

static void
write_frame(struct link *link, const struct message *message)
{
    struct str bytes = message_encode(link->codec, message);
    struct evbuffer *output = bufferevent_get_output(link->bev);
    uint32_t length = htonl((uint32_t)bytes.len);

    evbuffer_add(output, &length, sizeof(length));
    evbuffer_add(output, bytes.data, bytes.len);
    counter_add(link->options->counters, COUNTER_LINK_BYTES_OUT,
                bytes.len + LENGTH_BYTES);
    if (is_control(message->type)) {
        counter_add(link->options->counters, COUNTER_CONTROL_BYTES_OUT,
                    bytes.len + LENGTH_BYTES + LINK_HEADER_BYTES);
    }
    link->sent_ms = clock_ms(link->options->clock);
}

/// Starts the handshake with this version of the messages.
static void
send_hello(struct link *link, uint32_t version)
{
    const struct message hello = {
        .type = MESSAGE_HELLO,
        .hello =
            {
                .version = version,
                .name = str_from(link->options->name),
                .role = str_from(link->options->role),
                .incarnation = link->options->incarnation,
                .nonce = {(char *)link->nonce, sizeof(link->nonce)},
            },
    };

    link->version = version;
    write_frame(link, &hello);
}

// The proof covers the prover's role, name and both nonces, so that it can be
// neither replayed nor reflected.
static void
compute_mac(const unsigned char *key, const char *role, struct str name,
            const unsigned char *own_nonce, const unsigned char *peer_nonce,
            unsigned char mac[MESSAGE_MAC_BYTES])
{
    crypto_auth_hmacsha512256_state state;

    crypto_auth_hmacsha512256_init(&state, key, LINK_KEY_BYTES);
    crypto_auth_hmacsha512256_update(&state, (const unsigned char *)role,
                                     strlen(role) + 1);
    crypto_auth_hmacsha512256_update(&state, own_nonce, MESSAGE_NONCE_BYTES);
    crypto_auth_hmacsha512256_update(&state, peer_nonce, MESSAGE_NONCE_BYTES);
    crypto_auth_hmacsha512256_update(&state, (const unsigned char *)name.data,
                                     name.len);
    crypto_auth_hmacsha512256_final(&state, mac);
}

static uint32_t
version_max(const struct link_options *options)
{
    return options->version != 0 ? options->version : MESSAGE_VERSION;
}

static bool
handle_hello(struct link *link, const struct message_hello *hello,
             struct err *err)
{
    unsigned char mac[MESSAGE_MAC_BYTES];
    struct message proof = {.type = MESSAGE_PROOF};

    link->peer_version = hello->version;
    if (hello->version < MESSAGE_VERSION ||
        (link->version != 0 && hello->version > link->version)) {
        return err_set(err, ERR_PROTOCOL, "hello", link->peer_address,
                       "peer has message version %u, expected %u",
                       hello->version, link->version);
    }
    if (link->version == 0) {
        uint32_t own = version_max(link->options);

        send_hello(link, hello->version < own ? hello->version : own);
    }
    else {
        link->version = hello->version;
    }
    if (!str_equal_c(hello->role, link->options->peer_role) ||
        hello->nonce.len != MESSAGE_NONCE_BYTES || hello->name.len == 0 ||
        hello->name.len > NAME_BYTES_MAX || link->hello_received) {
        return err_set(err, ERR_PROTOCOL, "hello", link->peer_address,
                       "invalid hello: unexpected role, name or nonce");
    }
    link->hello_received = true;
    link->peer_name = str_copy(hello->name);
    link->peer_incarnation = hello->incarnation;
    memcpy(link->peer_nonce, hello->nonce.data, MESSAGE_NONCE_BYTES);
    compute_mac(link->options->keys->keys[0], link->options->role,
                str_from(link->options->name), link->nonce, link->peer_nonce,
                mac);
    proof.proof.mac = (struct str){(char *)mac, sizeof(mac)};
    write_frame(link, &proof);
    return true;
}

static bool
handle_proof(struct link *link, struct str mac, struct err *err)
{
    const struct link_keys *keys = link->options->keys;
    bool proved = false;

    for (size_t i = 0; i < keys->count && mac.len == MESSAGE_MAC_BYTES; i++) {
        unsigned char expected[MESSAGE_MAC_BYTES];

        compute_mac(keys->keys[i], link->options->peer_role, link->peer_name,
                    link->peer_nonce, link->nonce, expected);
        if (!sodium_memcmp(expected, mac.data, sizeof(expected))) {
            proved = true;
        }
    }
    if (!proved || !link->hello_received) {
        counter_add(link->options->counters, COUNTER_LINK_AUTH_FAILED, 1);
        return err_set(err, ERR_AUTH, "proof", link->peer_address,
                       "peer has not proved a shared key");
    }
    link->state = LINK_READY;
    charge_start(&link->output, link->options->memory, MEMORY_LINKS,
                 bufferevent_get_output(link->bev), link->options->clock);
    counter_add(link->options->counters, COUNTER_LINKS_OPENED, 1);
    LOG_INFO("event=link-ready peer=%s name=" STR_FMT, link->peer_address,
             STR_ARG(link->peer_name));
    link->options->ready(link->options->ctx, link);
    return true;
}

static bool
handle_message(struct link *link, const struct message *message,
               struct err *err)
{
    const struct message pong = {.type = MESSAGE_PONG};

    if (link->state == LINK_HANDSHAKE) {
        if (message->type == MESSAGE_HELLO) {
            return handle_hello(link, &message->hello, err);
        }
        if (message->type == MESSAGE_PROOF) {
            return handle_proof(link, message->proof.mac, err);
        }
    }
    else if (message->type == MESSAGE_PING) {
        link_send(link, &pong);
        return true;
    }
    else if (message->type == MESSAGE_PONG) {
        return true;
    }
    else if (message->type > MESSAGE_PROOF) {
        link->options->message(link->options->ctx, link, message);
        return true;
    }
    return err_set(err, ERR_PROTOCOL, "frame", link->peer_address,
                   "unexpected %s frame in this state",
                   message_type_name(message->type));
}

static size_t
frame_bytes_max(const struct link *link)
{
    return link->state == LINK_READY ? MESSAGE_BYTES_MAX
                                     : HANDSHAKE_FRAME_BYTES_MAX;
}

/// Handles one complete frame; false if there is none or the link has failed.
static bool
read_frame(struct link *link, struct evbuffer *input, struct err *err)
{
    struct message message;
    struct str bytes;
    uint32_t length;

    if (evbuffer_copyout(input, &length, sizeof(length)) < LENGTH_BYTES) {
        return false;
    }
    length = ntohl(length);
    if (length > frame_bytes_max(link)) {
        counter_add(link->options->counters, COUNTER_LINK_BAD_FRAMES, 1);
        return err_set(err, ERR_PROTOCOL, "frame", link->peer_address,
                       "frame of %u bytes exceeds the limit", length);
    }
    if (evbuffer_get_length(input) < LENGTH_BYTES + length) {
        return false;
    }
    bytes.data =
        (char *)evbuffer_pullup(input, (ev_ssize_t)(LENGTH_BYTES + length)) +
        LENGTH_BYTES;
    bytes.len = length;
    counter_add(link->options->counters, COUNTER_LINK_BYTES_IN,
                length + LENGTH_BYTES);
    if (!message_decode(link->codec, bytes, &message, err)) {
        counter_add(link->options->counters, COUNTER_LINK_BAD_FRAMES, 1);
        return false;
    }
    if (is_control(message.type)) {
        counter_add(link->options->counters, COUNTER_CONTROL_BYTES_IN,
                    length + LENGTH_BYTES + LINK_HEADER_BYTES);
    }
    if (!handle_message(link, &message, err)) {
        return false;
    }
    if (link->state != LINK_CLOSED) {
        evbuffer_drain(input, LENGTH_BYTES + length);
    }
    return link->state != LINK_CLOSED;
}

static void
on_read(struct bufferevent *bev, void *ctx)
{
    struct link *link = ctx;
    struct evbuffer *input = bufferevent_get_input(bev);
    struct err err = {0};

    link->received_ms = clock_ms(link->options->clock);
    link->probe_deadline_ms = 0;
    link->in_callback = true;
    while (read_frame(link, input, &err)) {
    }
    link->in_callback = false;
    if (err.code != ERR_NONE) {
        link_fail(link, &err);
    }
    if (link->state == LINK_CLOSED) {
        link_free(link);
    }
}

static void
on_write(struct bufferevent *bev, void *ctx)
{
    struct link *link = ctx;

    (void)bev;
    if (link->options->output_written == NULL || link->state != LINK_READY) {
        return;
    }
    link->in_callback = true;
    link->options->output_written(link->options->ctx, link);
    link->in_callback = false;
    if (link->state == LINK_CLOSED) {
        link_free(link);
    }
}

static void
on_event(struct bufferevent *bev, short events, void *ctx)
{
    struct link *link = ctx;
    int one = 1;

    if (events & BEV_EVENT_CONNECTED) {
        setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &one,
                   sizeof(one));
        link->state = LINK_HANDSHAKE;
        send_hello(link, link->offered_version);
        bufferevent_enable(bev, EV_READ);
        return;
    }
    if (link->state == LINK_CONNECTING) {
        link_fail_and_free(link, ERR_IO, "connect",
                           "connection attempt failed");
        return;
    }
    link_fail_and_free(link, ERR_IO, "read",
                       events & BEV_EVENT_EOF ? "closed by the peer"
                                              : "connection lost");
}

static void
check_liveness(struct link *link, int64_t now)
{
    const struct message ping = {.type = MESSAGE_PING};

    if ((link->busy &&
         now - link->received_ms >= link->options->receive_timeout_ms) ||
        (link->probe_deadline_ms > 0 && now >= link->probe_deadline_ms)) {
        counter_add(link->options->counters, COUNTER_LINKS_SILENT, 1);
        link_fail_and_free(link, ERR_TIMEOUT, "heartbeat",
                           "nothing received within the time limit");
        return;
    }
    if (link->busy &&
        now - (link->sent_ms > link->received_ms ? link->sent_ms
                                                 : link->received_ms) >=
            link->options->heartbeat_interval_ms) {
        write_frame(link, &ping);
    }
}

static int64_t
earlier(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/// Takes pauses of this process, in which it neither sent nor received, out of
/// the times of the peer.
static void
skip_pause(struct link *link, int64_t now)
{
    int64_t late_ms = now - link->checked_ms - link->tick_ms;

    link->checked_ms = now;
    if (late_ms < LATE_MIN_MS) {
        return;
    }
    link->opened_ms = earlier(link->opened_ms + late_ms, now);
    link->received_ms = earlier(link->received_ms + late_ms, now);
    if (link->probe_deadline_ms > 0) {
        link->probe_deadline_ms =
            earlier(link->probe_deadline_ms + late_ms,
                    now + link->options->probe_timeout_ms);
    }
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct link *link = ctx;
    int64_t now = clock_ms(link->options->clock);

    (void)fd;
    (void)events;
    skip_pause(link, now);
    if (link->state != LINK_READY) {
        if (now - link->opened_ms >= link->options->handshake_timeout_ms) {
            link_fail_and_free(
                link, ERR_TIMEOUT, "handshake",
                "handshake not completed within the time limit");
        }
        return;
    }
    if (evbuffer_get_length(bufferevent_get_output(link->bev)) >
        link->options->output_bytes_max) {
        link_fail_and_free(link, ERR_LIMIT, "write",
                           "output backlog exceeds the limit");
        return;
    }
    check_liveness(link, now);
}

static struct link *
link_new(const struct link_options *options, int fd)
{
    int64_t tick_ms = options->tick_ms > 0 ? options->tick_ms : TICK_MS;
    const struct timeval tick = {
        .tv_sec = tick_ms / 1000,
        .tv_usec = (suseconds_t)(tick_ms % 1000 * 1000),
    };
    struct link *link = xcalloc(1, sizeof(*link));

    link->options = options;
    link->tick_ms = tick_ms;
    link->codec = message_codec_new();
    link->opened_ms = clock_ms(options->clock);
    link->checked_ms = link->opened_ms;
    link->received_ms = link->opened_ms;
    link->sent_ms = link->opened_ms;
    for (size_t i = 0; i < sizeof(link->nonce); i += sizeof(uint64_t)) {
        uint64_t random = random_next(options->random);

        memcpy(link->nonce + i, &random, sizeof(random));
    }
    link->bev =
        bufferevent_socket_new(options->base, fd, BEV_OPT_CLOSE_ON_FREE);
    link->timer = event_new(options->base, -1, EV_PERSIST, on_timer, link);
    if (link->bev == NULL || link->timer == NULL) {
        BUG("out of memory");
    }
    event_add(link->timer, &tick);
    return link;
}

static void
set_callbacks(struct link *link)
{
    bufferevent_setcb(link->bev, on_read, on_write, on_event, link);
}

struct link *
link_connect(const struct link_options *options, const struct address *address,
             uint32_t version)
{
    struct link *link = link_new(options, -1);

    link->offered_version = version != 0 ? version : version_max(options);

    address_format((const struct sockaddr *)&address->storage,
                   link->peer_address);
    // The callbacks are set afterwards, so that on_timer reports a connect
    // that fails at once, not this function. Reading starts after the hello is
    // sent, since the peer's hello may arrive with the end of the connect.
    if (bufferevent_socket_connect(link->bev,
                                   (struct sockaddr *)&address->storage,
                                   (int)address->len) != 0) {
        link->opened_ms -= options->handshake_timeout_ms;
    }
    set_callbacks(link);
    return link;
}

struct link *
link_accept(const struct link_options *options, int fd,
            const struct sockaddr *peer)
{
    struct link *link = link_new(options, fd);
    int one = 1;

    address_format(peer, link->peer_address);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    set_callbacks(link);
    // The hello follows that of the peer, whose version it states.
    link->state = LINK_HANDSHAKE;
    bufferevent_enable(link->bev, EV_READ);
    return link;
}

void
link_send(struct link *link, const struct message *message)
{
    if (link->state == LINK_READY) {
        write_frame(link, message);
    }
}

bool
link_is_ready(const struct link *link)
{
    return link->state == LINK_READY;
}

bool
link_is_closing(const struct link *link)
{
    return link->state == LINK_CLOSED;
}

void
link_set_busy(struct link *link, bool busy)
{
    if (busy && !link->busy) {
        link->received_ms = clock_ms(link->options->clock);
    }
    link->busy = busy;
}

void
link_probe(struct link *link)
{
    const struct message ping = {.type = MESSAGE_PING};
    int64_t now = clock_ms(link->options->clock);

    if (link->state != LINK_READY || link->probe_deadline_ms > 0 ||
        now - link->received_ms < PROBE_MIN_IDLE_MS) {
        return;
    }
    write_frame(link, &ping);
    link->probe_deadline_ms = now + link->options->probe_timeout_ms;
}

size_t
link_output_bytes(const struct link *link)
{
    return evbuffer_get_length(bufferevent_get_output(link->bev));
}

struct str
link_peer_name(const struct link *link)
{
    return link->peer_name;
}

uint64_t
link_peer_incarnation(const struct link *link)
{
    return link->peer_incarnation;
}

const char *
link_peer_address(const struct link *link)
{
    return link->peer_address;
}

uint32_t
link_version(const struct link *link)
{
    return link->version < link->peer_version ? link->version
                                              : link->peer_version;
}

void
link_set_user(struct link *link, void *user)
{
    link->user = user;
}

void *
link_user(const struct link *link)
{
    return link->user;
}
