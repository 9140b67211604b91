/// A crowd of clients outside the limits, at a dvdirect process with little
/// memory and few descriptors. Such clients made a router run out of memory.
/// Each test checks that the process is alive, that its memory and its open
/// descriptors are within bounds, and that it answers an ordinary request.
#include <dirent.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "core/xmalloc.h"
#include "direct_harness.h"
#include "net/caller.h"
#include "net/http1.h"
#include "net/loop.h"
#include "soak/process.h"
#include "standin/keyed_store.h"
#include "standin/platform_document.h"
#include "standin/ports.h"
#include "suites.h"

/// Settings of the router, and the bounds that follow from them.
#define LIMIT_MB 32
#define MEMORY_MAX_KB (LIMIT_MB * 1000)
/// The memory that a router with a sanitizer has at rest differs between kinds
/// of processors; the bound is for this one, measured on x86-64.
#define SANITIZER_REST_KB 18500
/// In a build with a sanitizer, memory that was freed must not count.
#define SANITIZER_OPTIONS                                                     \
    "quarantine_size_mb=0:thread_local_quarantine_size_kb=0:"                 \
    "malloc_context_size=1"
#define DESCRIPTORS_MAX 120
/// What the process may open at all: more than it is to use.
#define DESCRIPTORS_HARD_MAX 140
#define CLIENTS_MAX 200
/// A request inside the limits has up to this many bytes.
#define BODY_BYTES_MAX 4194304
#define CHUNK_BYTES 65536
#define UNITS_BYTES (1024 * 1024)
#define PIECE_BYTES (256 * 1024)
/// The answer that slow readers do not read, longer than the buffers of both
/// sockets.
#define ANSWER_BYTES (6 * 1024 * 1024)
#define ANSWER_MS 10000
#define CROWD_MS 20000
/// The crowd ends when no client has sent anything and the process has not
/// grown for this long.
#define SILENCE_MS 800
#define PEAK_INTERVAL_MS 20
/// An accept() that fails and is repeated at once fills the log.
#define LOG_BYTES_MAX (4 * 1024 * 1024)

#define HEAD(path, field)                                                     \
    "POST " path " HTTP/1.1\r\nHost: h.example\r\n"                           \
    "Dandelionvalve-Request-Id: crowd\r\nAuthorization: Bearer key\r\n" field \
    "\r\n\r\n"
#define CHUNKED "Transfer-Encoding: chunked"

struct crowd_options {
    const char *head;
    const char *unit; ///< repeated behind the head
    size_t unit_bytes;
    size_t bytes; ///< that each client sends behind the head
    size_t clients;
};

struct client {
    int fd;
    size_t sent;
};

struct fixture {
    struct event_base *base;
    struct keyed_store *store;
    struct caller_server *endpoint;
    struct address callers;
    char settings[64];
    char log[64];
    pid_t pid;
    struct client clients[CLIENTS_MAX];
};

static void
on_request(void *ctx, struct caller *caller)
{
    struct str path = http1_target(caller_request_head(caller));
    struct str id =
        http1_value(caller_request_head(caller), "Dandelionvalve-Request-Id");
    struct evbuffer *body = evbuffer_new();
    char fields[256];
    size_t bytes = str_starts_with(path, "/stream/") ? ANSWER_BYTES : 2;

    (void)ctx;
    snprintf(fields, sizeof(fields),
             "Dandelionvalve-Request-Id: " STR_FMT "\r\n"
             "Dandelionvalve-Server-Signature: s\r\n%s",
             STR_ARG(id),
             bytes > 2 ? "Content-Type: text/event-stream\r\n" : "");
    while (evbuffer_get_length(body) < bytes) {
        evbuffer_add(body, "data: event\n\n", 13);
    }
    caller_reply(caller, 200, str_from(fields), body);
    evbuffer_free(body);
}

static void
on_disconnected(void *ctx, void *user)
{
    (void)ctx;
    (void)user;
}

/// Replaces the number that follows `key`.
static void
replace_number(char **text, const char *key, int value)
{
    char *at = strstr(*text, key);
    char *updated;
    size_t digits;

    CU_ASSERT_FATAL(at != NULL);
    at += strlen(key);
    digits = strspn(at, "0123456789");
    updated =
        xasprintf("%.*s%d%s", (int)(at - *text), *text, value, at + digits);
    free(*text);
    *text = updated;
}

static void
publish(struct fixture *fixture)
{
    struct address endpoint = caller_server_address(fixture->endpoint);
    char *text = platform_document(3, "key", false, 8000, 15000);

    replace_number(&text, "\"max_body_bytes\":", BODY_BYTES_MAX);
    // Bodies that stop short are still open when the bounds are checked.
    replace_number(&text, "\"header_timeout_ms\":", 2 * CROWD_MS);
    keyed_store_put(fixture->store, KEYED_STORE_TOPIC_OPERATOR, "config",
                    str_from(text));
    free(text);
    for (size_t i = 0; i < 2; i++) {
        static const char *const services[] = {"models", "orders"};

        direct_entry_put(fixture->store, &(struct direct_entry){
                                             .id = services[i],
                                             .service = services[i],
                                             .address = endpoint,
                                             .born_ms = 1,
                                         });
    }
}

static void
start_router(struct fixture *fixture)
{
    struct address store = keyed_store_address(fixture->store);
    struct address ready = ports_unused();
    struct rlimit before, lowered;
    FILE *out;

    fixture->callers = ports_unused();
    snprintf(fixture->settings, sizeof(fixture->settings),
             "/tmp/dandelionvalve-crowd-%ld.toml", (long)getpid());
    snprintf(fixture->log, sizeof(fixture->log),
             "/tmp/dandelionvalve-crowd-%ld.log", (long)getpid());
    out = fopen(fixture->settings, "w");
    CU_ASSERT_FATAL(out != NULL);
    fprintf(out,
            "name = \"r\"\nzone = \"z\"\nstore = \"%s:%u\"\n"
            "callers = \"%s:%u\"\nready = \"%s:%u\"\n"
            "[memory]\nlimit_mb = %d\ndescriptors_max = %d\n",
            store.ip, store.port, fixture->callers.ip, fixture->callers.port,
            ready.ip, ready.port, LIMIT_MB, DESCRIPTORS_MAX);
    fclose(out);
    CU_ASSERT_FATAL(getrlimit(RLIMIT_NOFILE, &before) == 0);
    lowered = (struct rlimit){DESCRIPTORS_HARD_MAX, before.rlim_max};
    CU_ASSERT(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    fixture->pid = process_start(&(struct process_options){
        .program = ROUTER_PROGRAM,
        .config = fixture->settings,
        .log_file = fixture->log,
        .sanitizer_options = SANITIZER_OPTIONS,
    });
    CU_ASSERT(setrlimit(RLIMIT_NOFILE, &before) == 0);
}

static bool
is_alive(const struct fixture *fixture)
{
    return waitpid(fixture->pid, NULL, WNOHANG) == 0;
}

static int
open_client(struct fixture *fixture)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    CU_ASSERT_FATAL(fd >= 0);
    if (connect(fd, (const struct sockaddr *)&fixture->callers.storage,
                (socklen_t)fixture->callers.len) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// Sends an ordinary request, to a service that the crowd does not use: the
/// other one may shed requests at random. True if it is answered with 200.
static bool
is_served(struct fixture *fixture)
{
    static const char request[] =
        "POST /book/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
        "Dandelionvalve-Request-Id: one\r\nAuthorization: Bearer key\r\n\r\n";
    int64_t end_ms = clock_ms(&clock_monotonic) + ANSWER_MS;
    int fd = open_client(fixture);
    char answer[64] = "";
    ssize_t len = -1;

    if (fd < 0) {
        return false;
    }
    send(fd, request, strlen(request), MSG_NOSIGNAL);
    while (len < 0 && clock_ms(&clock_monotonic) < end_ms) {
        event_base_loop(fixture->base, EVLOOP_NONBLOCK);
        len = recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT);
        usleep(1000);
    }
    close(fd);
    return !strncmp(answer, "HTTP/1.1 200", 12);
}

static void
start(struct fixture *fixture)
{
    struct err err = {0};
    int64_t end_ms = clock_ms(&clock_monotonic) + ANSWER_MS;

    *fixture = (struct fixture){.base = event_base_new()};
    fixture->store = keyed_store_new(
        &(struct keyed_store_options){
            .base = fixture->base,
            .clock = &clock_monotonic,
            .address = ports_any(),
        },
        &err);
    fixture->endpoint = caller_server_new(
        &(struct caller_server_options){
            .base = fixture->base,
            .clock = &clock_monotonic,
            .address = ports_any(),
            .limits = {65536, 2 * BODY_BYTES_MAX, CROWD_MS, CROWD_MS},
            .request = on_request,
            .disconnected = on_disconnected,
        },
        &err);
    CU_ASSERT_FATAL(fixture->store != NULL && fixture->endpoint != NULL);
    publish(fixture);
    start_router(fixture);
    while (!is_served(fixture)) {
        CU_ASSERT_FATAL(clock_ms(&clock_monotonic) < end_ms);
        event_base_loop(fixture->base, EVLOOP_NONBLOCK);
    }
}

static void
stop(struct fixture *fixture)
{
    for (size_t i = 0; i < CLIENTS_MAX; i++) {
        if (fixture->clients[i].fd > 0) {
            close(fixture->clients[i].fd);
        }
    }
    kill(fixture->pid, SIGKILL);
    waitpid(fixture->pid, NULL, 0);
    caller_server_free(fixture->endpoint);
    keyed_store_free(fixture->store);
    loop_free(fixture->base);
    unlink(fixture->settings);
    unlink(fixture->log);
}

static int
count_descriptors(const struct fixture *fixture)
{
    char name[64];
    int count = 0;
    DIR *dir;

    snprintf(name, sizeof(name), "/proc/%ld/fd", (long)fixture->pid);
    dir = opendir(name);
    while (dir != NULL && readdir(dir) != NULL) {
        count++;
    }
    if (dir != NULL) {
        closedir(dir);
    }
    return count - 2;
}

/// Sends what fits into the socket, at most one piece; true if something was
/// sent.
static bool
send_piece(struct client *client, const struct crowd_options *options,
           const char *units, size_t units_bytes)
{
    size_t head_bytes = strlen(options->head);
    const char *from = options->head + client->sent;
    size_t left = head_bytes - client->sent;
    ssize_t sent;

    if (client->fd <= 0 || client->sent >= head_bytes + options->bytes) {
        return false;
    }
    if (client->sent >= head_bytes) {
        size_t at = client->sent - head_bytes;

        from = units + at % units_bytes;
        left = units_bytes - at % units_bytes;
        left = left > options->bytes - at ? options->bytes - at : left;
    }
    sent = send(client->fd, from, left < PIECE_BYTES ? left : PIECE_BYTES,
                MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
        client->sent += (size_t)sent;
    }
    else if (errno != EAGAIN) {
        close(client->fd);
        client->fd = -1;
    }
    return sent > 0;
}

/// Sends until all clients have sent their bytes, are held up or are
/// disconnected. Connections that are still open stay open.
static void
run_crowd(struct fixture *fixture, const struct crowd_options *options)
{
    int64_t now_ms = clock_ms(&clock_monotonic);
    int64_t end_ms = now_ms + CROWD_MS;
    int64_t sent_ms = now_ms;
    int64_t peak_ms = 0;
    long peak = 0;
    size_t units_bytes =
        options->unit_bytes > 0
            ? UNITS_BYTES / options->unit_bytes * options->unit_bytes
            : 0;
    char *units = xmalloc(UNITS_BYTES);

    for (size_t at = 0; at < units_bytes; at += options->unit_bytes) {
        memcpy(units + at, options->unit, options->unit_bytes);
    }
    for (size_t i = 0; i < options->clients; i++) {
        fixture->clients[i].fd = open_client(fixture);
    }
    while (now_ms < end_ms && now_ms - sent_ms < SILENCE_MS) {
        for (size_t i = 0; i < options->clients; i++) {
            if (send_piece(&fixture->clients[i], options, units,
                           units_bytes)) {
                sent_ms = now_ms;
            }
        }
        event_base_loop(fixture->base, EVLOOP_NONBLOCK);
        usleep(200);
        now_ms = clock_ms(&clock_monotonic);
        if (now_ms - peak_ms >= PEAK_INTERVAL_MS) {
            peak_ms = now_ms;
            sent_ms = process_peak_kb(fixture->pid) > peak ? now_ms : sent_ms;
            peak = process_peak_kb(fixture->pid);
        }
    }
    free(units);
}

/// Memory of the sanitizer at rest beyond SANITIZER_REST_KB; 0 in a build
/// without it.
static long
sanitizer_excess_kb(const struct fixture *fixture)
{
#ifdef __SANITIZE_ADDRESS__
    return process_peak_kb(fixture->pid) - SANITIZER_REST_KB;
#else
    (void)fixture;
    return 0;
#endif
}

static void
check(const char *name, const struct crowd_options *options)
{
    struct fixture *fixture = xcalloc(1, sizeof(*fixture));
    bool is_running, answers;
    struct stat log = {0};
    long memory_kb, excess_kb;
    int descriptors;

    start(fixture);
    excess_kb = sanitizer_excess_kb(fixture);
    run_crowd(fixture, options);
    memory_kb = process_peak_kb(fixture->pid);
    descriptors = count_descriptors(fixture);
    is_running = is_alive(fixture);
    answers = is_running && is_served(fixture);
    stat(fixture->log, &log);
    printf("crowd %s: alive=%d memory_kb=%ld excess_kb=%ld descriptors=%d "
           "answers=%d "
           "log_kb=%lld\n",
           name, is_running, memory_kb, excess_kb, descriptors, answers,
           (long long)log.st_size / 1024);
    CU_ASSERT(is_running);
    CU_ASSERT(memory_kb > 0 && memory_kb - excess_kb <= MEMORY_MAX_KB);
    CU_ASSERT(descriptors <= DESCRIPTORS_MAX);
    CU_ASSERT(answers);
    CU_ASSERT(log.st_size <= LOG_BYTES_MAX);
    stop(fixture);
    free(fixture);
}

/// The chunk of CHUNK_BYTES that large bodies consist of; the caller frees.
static char *
make_chunk(size_t *len)
{
    char *chunk = xasprintf("%x\r\n%0*d\r\n", CHUNK_BYTES, CHUNK_BYTES, 1);

    *len = strlen(chunk);
    return chunk;
}

static void
check_chunks(const char *name, size_t bytes, size_t clients)
{
    struct crowd_options options = {
        .head = HEAD("/look/", CHUNKED),
        .bytes = bytes,
        .clients = clients,
    };
    char *chunk = make_chunk(&options.unit_bytes);

    options.unit = chunk;
    check(name, &options);
    free(chunk);
}

/// Bodies of the permitted size, in chunks of 64 KiB: most are complete but
/// for the last chunk, and arrive at the same time.
static void
test_large_chunks(void)
{
    check_chunks("large chunks", 60 * CHUNK_BYTES, 30);
}

/// A byte takes six on the wire, and must not take a multiple in memory.
static void
test_one_byte_chunks(void)
{
    check("one-byte chunks", &(struct crowd_options){
                                 .head = HEAD("/look/", CHUNKED),
                                 .unit = "1\r\nx\r\n",
                                 .unit_bytes = 6,
                                 .bytes = 6 * 800000,
                                 .clients = 40,
                             });
}

/// Many bodies that are well below the limit each and stay open unfinished.
static void
test_stopped_bodies(void)
{
    check("stopped bodies",
          &(struct crowd_options){
              .head = HEAD("/look/", "Content-Length: 600001"),
              .unit = "x",
              .unit_bytes = 1,
              .bytes = 600000,
              .clients = 60,
          });
}

/// Bodies whose stated length is over the limit.
static void
test_announced_bodies(void)
{
    check("announced bodies",
          &(struct crowd_options){
              .head = HEAD("/look/", "Content-Length: 40000000"),
              .unit = "x",
              .unit_bytes = 1,
              .bytes = 40000000,
              .clients = 20,
          });
}

/// Bodies that turn out to be over the limit while they are read.
static void
test_unannounced_bodies(void)
{
    check_chunks("unannounced bodies", 40000000, 20);
}

/// Callers that send complete requests and read nothing of long answers.
static void
test_slow_readers(void)
{
    check("slow readers",
          &(struct crowd_options){
              .head = HEAD("/stream/draft/", "Content-Length: 0"),
              .clients = 30,
          });
}

/// More connections than the process has descriptors: most are idle.
static void
test_more_connections_than_descriptors(void)
{
    check("connections", &(struct crowd_options){
                             .head = "POST /look/ HTTP/1.1\r\nHost: ",
                             .clients = CLIENTS_MAX,
                         });
}

void
suite_crowd(void)
{
    CU_pSuite suite = CU_add_suite("crowd", NULL, NULL);

    CU_add_test(suite, "large chunks", test_large_chunks);
    CU_add_test(suite, "one-byte chunks", test_one_byte_chunks);
    CU_add_test(suite, "stopped bodies", test_stopped_bodies);
    CU_add_test(suite, "announced bodies", test_announced_bodies);
    CU_add_test(suite, "unannounced bodies", test_unannounced_bodies);
    CU_add_test(suite, "slow readers", test_slow_readers);
    CU_add_test(suite, "connections", test_more_connections_than_descriptors);
}
