/// dvload: load generator that sends chat turns and bookings, some of them
/// twice, through all routers.
#include <stdio.h>
#include <stdlib.h>

#include <unistd.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#include "chats.h"
#include "core/toml.h"
#include "core/xmalloc.h"
#include "daemon/program.h"
#include "daemon/settings.h"
#include "net/http_client.h"
#include "report.h"
#include "standin/text.h"

#define HEADER_BYTES_MAX 65536
#define KEY_BYTES 48
#define REFUSAL_PAUSE_MS 50
#define EXIT_WRONG_ANSWERS 1

struct load;

/// A caller that sends one request at a time.
struct caller {
    struct load *load;
    struct event *timer;
    struct http_call *call;
    bool booking;
    bool resend;
    size_t chat;
    size_t account;
    char key[KEY_BYTES];
    struct str body;
    struct str first_answer; ///< to the booking that is sent again
    int status;
    char outcome[16];
    char hint[64];
    struct evbuffer *answer;
    int64_t start_us;
    int64_t first_byte_us;
};

struct load {
    const struct settings_load *settings;
    struct event_base *base;
    struct http_client **routers;
    struct chats *chats;
    struct caller *callers;
    struct report report;
    uint64_t started;
    uint64_t running;
    uint64_t key_number;
    uint64_t run_number;
};

static void start_request(struct caller *caller);

static bool
header_name_is(struct str name, const char *wanted)
{
    return name.len == strlen(wanted) &&
           !strncasecmp(name.data, wanted, name.len);
}

static void
copy_header(struct str value, char *out, size_t size)
{
    size_t len = value.len < size - 1 ? value.len : size - 1;

    memcpy(out, value.data, len);
    out[len] = '\0';
}

static void
on_head(void *ctx, int status, const struct message_header *headers,
        size_t count)
{
    struct caller *caller = ctx;

    caller->status = status;
    caller->first_byte_us = clock_us(&clock_monotonic);
    for (size_t i = 0; i < count; i++) {
        if (header_name_is(headers[i].name, "Dandelionvalve-Outcome")) {
            copy_header(headers[i].value, caller->outcome,
                        sizeof(caller->outcome));
        }
        if (header_name_is(headers[i].name, "Dandelionvalve-Hint")) {
            copy_header(headers[i].value, caller->hint, sizeof(caller->hint));
        }
    }
}

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct caller *caller = ctx;

    evbuffer_add_buffer(caller->answer, data);
}

/// The text that a stand-in engine generates for this body.
static struct str
expected_text(const struct load *load, struct str body)
{
    size_t tokens = (size_t)load->settings->max_tokens;
    char *text = xmalloc(tokens * TEXT_TOKEN_BYTES + 1);
    uint64_t seed = text_seed(body);
    size_t len = 0;

    for (size_t i = 0; i < tokens; i++) {
        char token[TEXT_TOKEN_BYTES];

        text_token(seed, i, token);
        memcpy(text + len, token, strlen(token));
        len += strlen(token);
    }
    return (struct str){text, len};
}

/// Concatenates the tokens of a streamed answer; false unless it ends with the
/// [DONE] event.
static bool
extract_stream_text(struct str answer, struct evbuffer *out)
{
    const char *position = answer.data;
    const char *end = answer.data + answer.len;

    while (position < end) {
        const char *line_end =
            memchr(position, '\n', (size_t)(end - position));
        size_t len = line_end != NULL ? (size_t)(line_end - position) : 0;
        json_t *json;
        const char *token;

        if (len >= 12 && !memcmp(position, "data: [DONE]", 12)) {
            return true;
        }
        if (len > 6) {
            json = json_loadb(position + 6, len - 6, 0, NULL);
            token = json_string_value(json_object_get(
                json_object_get(
                    json_array_get(json_object_get(json, "choices"), 0),
                    "delta"),
                "content"));
            if (token != NULL) {
                evbuffer_add(out, token, strlen(token));
            }
            json_decref(json);
        }
        position = line_end != NULL ? line_end + 1 : end;
    }
    return false;
}

static bool
extract_json_text(struct str answer, struct evbuffer *out)
{
    json_t *json = json_loadb(answer.data, answer.len, 0, NULL);
    const char *content = json_string_value(json_object_get(
        json_object_get(json_array_get(json_object_get(json, "choices"), 0),
                        "message"),
        "content"));

    if (content != NULL) {
        evbuffer_add(out, content, strlen(content));
    }
    json_decref(json);
    return content != NULL;
}

static bool
is_own_answer(const struct caller *caller, struct str answer)
{
    struct evbuffer *text = evbuffer_new();
    struct str expected = expected_text(caller->load, caller->body);
    bool extracted = caller->load->settings->stream
                         ? extract_stream_text(answer, text)
                         : extract_json_text(answer, text);
    struct str got = {(char *)evbuffer_pullup(text, -1),
                      evbuffer_get_length(text)};
    bool same = extracted && str_equal(expected, got);

    free((char *)expected.data);
    evbuffer_free(text);
    return same;
}

static void
check_booking(struct caller *caller, struct str answer)
{
    struct report *report = &caller->load->report;

    if (caller->resend) {
        report->resends++;
        report->resends_same += str_equal(answer, caller->first_answer);
        report->wrong += !str_equal(answer, caller->first_answer);
        return;
    }
    report->bookings++;
    if (memmem(answer.data, answer.len, caller->key, strlen(caller->key)) ==
        NULL) {
        report->wrong++;
    }
}

static void
record_success(struct caller *caller, struct str answer)
{
    struct load *load = caller->load;
    int64_t now = clock_us(&clock_monotonic);

    load->report.done++;
    report_add_latency(&load->report,
                       (double)(caller->first_byte_us - caller->start_us) /
                           1000,
                       (double)(now - caller->start_us) / 1000);
    if (caller->booking) {
        check_booking(caller, answer);
        return;
    }
    if (load->settings->send_hint) {
        chats_set_hint(load->chats, caller->chat, str_from(caller->hint));
    }
    load->report.wrong += !is_own_answer(caller, answer);
}

static void
record_refusal(struct caller *caller)
{
    struct report *report = &caller->load->report;

    if (!strcmp(caller->outcome, "not-run")) {
        report->not_run++;
        if (caller->booking && !caller->resend) {
            report_add_not_run(report, caller->key);
        }
    }
    else {
        report->unknown++;
    }
}

/// Schedules the caller's next request after a pause.
static void
schedule_request(struct caller *caller, int64_t pause_ms)
{
    const struct timeval pause = {.tv_usec = pause_ms * 1000};

    event_add(caller->timer, &pause);
}

static void
on_end(void *ctx, enum http_call_result end)
{
    struct caller *caller = ctx;
    struct load *load = caller->load;
    struct str answer = {
        (char *)evbuffer_pullup(caller->answer, -1),
        evbuffer_get_length(caller->answer),
    };
    int64_t pause_ms = 0;

    caller->call = NULL;
    if (end != HTTP_CALL_COMPLETE) {
        load->report.broken++;
    }
    else if (caller->status == 200) {
        record_success(caller, answer);
    }
    else {
        record_refusal(caller);
        pause_ms = REFUSAL_PAUSE_MS;
    }
    if (caller->booking && !caller->resend && caller->status == 200 &&
        (int64_t)chats_random(load->chats, 100) <
            load->settings->resend_percent) {
        caller->resend = true;
        caller->first_answer = str_copy(answer);
    }
    else {
        caller->resend = false;
        free((char *)caller->first_answer.data);
        caller->first_answer = (struct str){0};
    }
    schedule_request(caller, pause_ms);
}

/// Formats a version 7 UUID from the time, the run number and a counter.
static void
make_key(struct caller *caller)
{
    struct load *load = caller->load;
    struct timespec now;
    uint64_t ms;

    clock_gettime(CLOCK_REALTIME, &now);
    ms = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
    snprintf(caller->key, sizeof(caller->key),
             "%08llx-%04llx-7%03llx-8%03llx-%012llx",
             (unsigned long long)(ms >> 16), (unsigned long long)(ms & 0xffff),
             (unsigned long long)(load->run_number & 0xfff),
             (unsigned long long)(load->run_number >> 12 & 0xfff),
             (unsigned long long)++load->key_number);
}

static void
prepare_booking(struct caller *caller)
{
    struct load *load = caller->load;

    if (caller->resend) {
        return;
    }
    make_key(caller);
    caller->account = chats_random(load->chats, load->settings->key_count);
    free((char *)caller->body.data);
    caller->body =
        str_from(xasprintf("{\"slot\":\"%s\",\"deposit\":100}", caller->key));
}

static void
prepare_chat(struct caller *caller)
{
    struct load *load = caller->load;

    caller->chat = chats_draw(load->chats);
    caller->account = chats_account(load->chats, caller->chat);
    free((char *)caller->body.data);
    caller->body = chats_body(load->chats, caller->chat);
}

static void
send_call(struct caller *caller)
{
    struct load *load = caller->load;
    const struct settings_load *settings = load->settings;
    char authorization[160];
    char chat_id[32];
    const char *hint =
        caller->booking ? NULL : chats_hint(load->chats, caller->chat);
    struct message_header headers[4] = {
        {STR_LITERAL("Content-Type"), STR_LITERAL("application/json")},
        {STR_LITERAL("Authorization"), {authorization, 0}},
    };
    struct http_call_options call = {
        .method = STR_LITERAL("POST"),
        .uri = caller->booking ? settings->booking_path : settings->chat_path,
        .headers = headers,
        .header_count = 3,
        .body = caller->body,
        .head = on_head,
        .data = on_data,
        .end = on_end,
        .ctx = caller,
    };

    snprintf(authorization, sizeof(authorization), "Bearer " STR_FMT,
             STR_ARG(settings->keys[caller->account]));
    headers[1].value = str_from(authorization);
    if (caller->booking) {
        headers[2].name = STR_LITERAL("Idempotency-Key");
        headers[2].value = str_from(caller->key);
    }
    else {
        chats_id(caller->chat, chat_id, sizeof(chat_id));
        headers[2].name = STR_LITERAL("Dandelionvalve-Chat");
        headers[2].value = str_from(chat_id);
    }
    if (hint != NULL) {
        headers[call.header_count].name = STR_LITERAL("Dandelionvalve-Hint");
        headers[call.header_count++].value = str_from(hint);
    }
    caller->start_us = clock_us(&clock_monotonic);
    caller->call = http_call(
        load->routers[chats_random(load->chats, settings->caller_count)],
        &call);
    if (caller->call == NULL) {
        load->report.broken++;
        schedule_request(caller, REFUSAL_PAUSE_MS);
    }
}

static void
start_request(struct caller *caller)
{
    struct load *load = caller->load;

    evbuffer_drain(caller->answer, evbuffer_get_length(caller->answer));
    caller->status = 0;
    caller->outcome[0] = '\0';
    caller->hint[0] = '\0';
    if (!caller->resend) {
        if (load->started == (uint64_t)load->settings->requests) {
            if (--load->running == 0) {
                event_base_loopbreak(load->base);
            }
            return;
        }
        load->started++;
        caller->booking = (int64_t)chats_random(load->chats, 100) <
                          load->settings->bookings_percent;
    }
    load->report.requests++;
    if (caller->booking) {
        prepare_booking(caller);
    }
    else {
        prepare_chat(caller);
    }
    send_call(caller);
}

static void
on_timer(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    start_request(ctx);
}

static void
start_callers(struct load *load)
{
    size_t count = (size_t)load->settings->connections;

    load->callers = xcalloc(count, sizeof(*load->callers));
    load->running = count;
    for (size_t i = 0; i < count; i++) {
        struct caller *caller = &load->callers[i];

        caller->load = load;
        caller->answer = evbuffer_new();
        caller->timer = event_new(load->base, -1, 0, on_timer, caller);
        schedule_request(caller, 0);
    }
}

static void
stop_callers(struct load *load)
{
    for (size_t i = 0; i < (size_t)load->settings->connections; i++) {
        struct caller *caller = &load->callers[i];

        event_free(caller->timer);
        evbuffer_free(caller->answer);
        free((char *)caller->body.data);
        free((char *)caller->first_answer.data);
    }
    free(load->callers);
}

static void
on_terminate(void *ctx)
{
    event_base_loopbreak(ctx);
}

static void
write_csv(const struct load *load)
{
    char *file = str_dup(load->settings->csv);
    FILE *out = load->settings->csv.len > 0 ? fopen(file, "w") : NULL;

    if (out != NULL) {
        report_write_csv(&load->report, out);
        fclose(out);
    }
    free(file);
}

static int
run(const struct settings_load *settings)
{
    struct load load = {.settings = settings, .base = event_base_new()};
    const struct chats_options chats = {
        .seed = (uint64_t)settings->seed,
        .chats = (size_t)settings->chats,
        .archives = (size_t)settings->archives,
        .accounts = settings->key_count,
        .prompt_bytes = (size_t)settings->prompt_bytes,
        .max_tokens = (size_t)settings->max_tokens,
        .zipf_exponent = settings->zipf_exponent,
        .model = settings->model,
        .stream = settings->stream,
    };
    int64_t start_us = clock_us(&clock_monotonic);
    int status;

    load.run_number = (uint64_t)start_us;
    report_start(&load.report, load.base, settings);
    start_us = clock_us(&clock_monotonic);
    load.chats = chats_new(&chats);
    load.routers =
        xcalloc(settings->caller_count, sizeof(struct http_client *));
    for (size_t i = 0; i < settings->caller_count; i++) {
        const struct http_client_options router = {
            .base = load.base,
            .address = settings->callers[i],
            .idle_connections_max = (size_t)settings->connections,
            .header_bytes_max = HEADER_BYTES_MAX,
        };

        load.routers[i] = http_client_new(&router);
    }
    start_callers(&load);
    program_run(load.base, on_terminate, load.base);
    load.report.seconds =
        (double)(clock_us(&clock_monotonic) - start_us) / 1e6;
    for (size_t i = 0; i < settings->caller_count; i++) {
        http_client_free(load.routers[i]);
    }
    stop_callers(&load);
    report_collect(&load.report, load.base, settings);
    report_print(&load.report, stdout);
    write_csv(&load);
    status = load.report.wrong > 0 || load.report.keys_run_twice > 0 ||
                     load.report.false_not_run > 0
                 ? EXIT_WRONG_ANSWERS
                 : EXIT_SUCCESS;
    report_destroy(&load.report);
    chats_free(load.chats);
    free(load.routers);
    event_base_free(load.base);
    return status;
}

/// Opens idle connections to the first router and keeps them until a signal.
static int
hold_idle_connections(const struct settings_load *settings)
{
    struct event_base *base = event_base_new();
    const struct address *address = &settings->callers[0];
    int64_t open = 0;

    for (int64_t i = 0; i < settings->idle_connections; i++) {
        int fd = socket(address->storage.ss_family, SOCK_STREAM, 0);

        if (fd < 0 || connect(fd, (const struct sockaddr *)&address->storage,
                              address->len) != 0) {
            break;
        }
        open++;
    }
    printf("%lld idle connections open\n", (long long)open);
    fflush(stdout);
    program_run(base, on_terminate, base);
    event_base_free(base);
    return open == settings->idle_connections ? EXIT_SUCCESS
                                              : EXIT_WRONG_ANSWERS;
}

int
main(int argc, const char **argv)
{
    struct program program = {.name = "dvload"};
    struct settings_load settings;
    struct toml_doc *doc;
    struct err err = {0};
    int status;

    if (!program_parse(&program, argc, argv, &status)) {
        return status;
    }
    if (!settings_read_load(program.config, &settings, &doc, &err)) {
        status = program_fail(&program, &err);
        goto out;
    }
    status = EXIT_SUCCESS;
    if (!program.check_only) {
        log_start(settings.log_level, STDERR_FILENO);
        status = settings.idle_connections > 0
                     ? hold_idle_connections(&settings)
                     : run(&settings);
        log_stop();
    }
    settings_destroy_load(&settings);
    toml_free(doc);
out:
    program_destroy(&program);
    return status;
}
