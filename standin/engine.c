#include "engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <utlist.h>

#include "call_field.h"
#include "core/xmalloc.h"
#include "net/http.h"
#include "prefix_cache.h"
#include "text.h"

#define BODY_BYTES_MAX (16 * 1024 * 1024)
#define JSON_TYPE "application/json"
#define MAX_TOKENS_DEFAULT 16
#define MAX_TOKENS_MAX 100000
#define CRASH_MARKER "please-crash"
#define SLOW_FACTOR 10
#define LOAD_INTERVAL_MS 1000
#define ORDERS_MAX 64

struct job {
    struct engine *engine;
    struct evhttp_request *http;
    struct event *timer;
    bool stream;
    bool running;
    bool started_reply;
    uint64_t seed;
    size_t tokens;
    size_t generated;
    size_t prompt_tokens;
    size_t cached_tokens;
    struct evbuffer *text;
    struct job *prev;
    struct job *next;
};

struct engine {
    struct engine_options options;
    struct evhttp *http;
    struct address address;
    struct prefix_cache *cache;
    struct job *jobs;
    struct event *restart;
    struct event *crash;
    struct event *load_timer;
    enum engine_fault fault;
    struct engine_ledger ledger;
    uint32_t reported_running;
    uint32_t reported_waiting;
    int64_t fence; ///< highest accepted
    char *orders[ORDERS_MAX];
    size_t order_count;
    int64_t weight_load_second;
    int64_t weight_loads;
};

static bool start_listening(struct engine *engine, struct err *err);

static void
job_free(struct job *job)
{
    struct engine *engine = job->engine;

    DL_DELETE(engine->jobs, job);
    if (job->running) {
        engine->ledger.running--;
    }
    event_free(job->timer);
    evbuffer_free(job->text);
    free(job);
}

static void start_waiting_jobs(struct engine *engine);

static void
on_job_closed(struct evhttp_connection *connection, void *ctx)
{
    struct job *job = ctx;
    struct engine *engine = job->engine;

    evhttp_connection_set_closecb(connection, NULL, NULL);
    if (evhttp_request_get_connection(job->http) == NULL) {
        evhttp_request_free(job->http);
    }
    engine->ledger.cancelled++;
    job_free(job);
    start_waiting_jobs(engine);
}

static void
schedule_token(struct job *job, int64_t delay_us)
{
    const struct engine *engine = job->engine;
    struct timeval delay;

    if (engine->fault == ENGINE_SLOW) {
        delay_us *= SLOW_FACTOR;
    }
    delay.tv_sec = delay_us / 1000000;
    delay.tv_usec = delay_us % 1000000;
    event_add(job->timer, &delay);
}

static void
send_event(struct job *job, json_t *json)
{
    struct evbuffer *chunk = evbuffer_new();
    char *text = json_dumps(json, JSON_COMPACT);

    evbuffer_add_printf(chunk, "data: %s\n\n", text);
    evhttp_send_reply_chunk(job->http, chunk);
    evbuffer_free(chunk);
    free(text);
    json_decref(json);
}

static json_t *
usage_json(const struct job *job)
{
    return json_pack("{s:i, s:i, s:i}", "prompt_tokens",
                     (int)job->prompt_tokens, "cached_tokens",
                     (int)job->cached_tokens, "completion_tokens",
                     (int)job->tokens);
}

static void
start_reply(struct job *job)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(job->http);

    evhttp_add_header(headers, "Content-Type", "text/event-stream");
    evhttp_send_reply_start(job->http, 200, "OK");
    job->started_reply = true;
}

static void
finish(struct job *job)
{
    struct engine *engine = job->engine;
    struct evhttp_request *http = job->http;
    struct evbuffer *done;
    char *content;

    evhttp_connection_set_closecb(evhttp_request_get_connection(http), NULL,
                                  NULL);
    engine->ledger.finished++;
    if (job->stream) {
        send_event(job, json_pack("{s:[], s:o}", "choices", "usage",
                                  usage_json(job)));
        done = evbuffer_new();
        evbuffer_add_printf(done, "data: [DONE]\n\n");
        evhttp_send_reply_chunk(http, done);
        evbuffer_free(done);
        evhttp_send_reply_end(http);
    }
    else {
        evbuffer_add(job->text, "", 1);
        content = (char *)evbuffer_pullup(job->text, -1);
        http_reply_json(http, 200,
                        json_pack("{s:[{s:{s:s, s:s}}], s:o}", "choices",
                                  "message", "role", "assistant", "content",
                                  content, "usage", usage_json(job)));
    }
    job_free(job);
    start_waiting_jobs(engine);
}

static void
on_token(evutil_socket_t fd, short events, void *ctx)
{
    struct job *job = ctx;
    struct engine *engine = job->engine;
    char token[TEXT_TOKEN_BYTES];

    (void)fd;
    (void)events;
    if (engine->fault == ENGINE_HANG) {
        return;
    }
    text_token(job->seed, job->generated++, token);
    if (job->stream) {
        if (!job->started_reply) {
            start_reply(job);
        }
        send_event(job, json_pack("{s:[{s:{s:s}}]}", "choices", "delta",
                                  "content", token));
    }
    else {
        evbuffer_add(job->text, token, strlen(token));
    }
    if (job->generated == job->tokens) {
        finish(job);
        return;
    }
    schedule_token(job, engine->options.decode_us_per_token);
}

static void
start_job(struct job *job)
{
    struct engine *engine = job->engine;
    int64_t uncached = (int64_t)(job->prompt_tokens - job->cached_tokens);

    job->running = true;
    engine->ledger.started++;
    engine->ledger.running++;
    if (engine->ledger.running > engine->ledger.running_max) {
        engine->ledger.running_max = engine->ledger.running;
    }
    schedule_token(job, uncached * engine->options.prefill_us_per_token +
                            engine->options.decode_us_per_token);
}

static void
start_waiting_jobs(struct engine *engine)
{
    struct job *job;

    DL_FOREACH(engine->jobs, job)
    {
        if (engine->ledger.running >= engine->options.slots) {
            return;
        }
        if (!job->running) {
            start_job(job);
        }
    }
}

static struct str
prompt_text(const json_t *json, struct evbuffer *buffer)
{
    const json_t *message;
    size_t i;

    json_array_foreach(json_object_get(json, "messages"), i, message)
    {
        const json_t *content = json_object_get(message, "content");

        evbuffer_add(buffer, json_string_value(content),
                     json_string_length(content));
    }
    return (struct str){(char *)evbuffer_pullup(buffer, -1),
                        evbuffer_get_length(buffer)};
}

static bool
contains(struct str text, const char *word)
{
    return memmem(text.data, text.len, word, strlen(word)) != NULL;
}

static void
on_completion(struct engine *engine, struct evhttp_request *http)
{
    struct str body = http_body(http);
    json_t *json = json_loadb(body.data, body.len, 0, NULL);
    const json_t *tokens = json_object_get(json, "max_tokens");
    struct evbuffer *buffer = evbuffer_new();
    struct str prompt = prompt_text(json, buffer);
    struct job *job;

    if (!json_is_object(json)) {
        http_reply_json(
            http, 400,
            json_pack("{s:s}", "error", "body is not a JSON object"));
        evbuffer_free(buffer);
        return;
    }
    if (contains(body, CRASH_MARKER)) {
        engine->ledger.started++;
        event_active(engine->crash, EV_TIMEOUT, 1);
        goto out;
    }
    job = xcalloc(1, sizeof(*job));
    job->engine = engine;
    job->http = http;
    job->stream = json_is_true(json_object_get(json, "stream"));
    job->seed = text_seed(body);
    job->tokens = json_is_integer(tokens) && json_integer_value(tokens) > 0 &&
                          json_integer_value(tokens) <= MAX_TOKENS_MAX
                      ? (size_t)json_integer_value(tokens)
                      : MAX_TOKENS_DEFAULT;
    job->prompt_tokens = prefix_cache_tokens(prompt);
    job->cached_tokens = prefix_cache_use(engine->cache, prompt);
    job->text = evbuffer_new();
    job->timer = event_new(engine->options.base, -1, 0, on_token, job);
    engine->ledger.prompt_tokens += job->prompt_tokens;
    engine->ledger.cached_tokens += job->cached_tokens;
    DL_APPEND(engine->jobs, job);
    evhttp_connection_set_closecb(evhttp_request_get_connection(http),
                                  on_job_closed, job);
    start_waiting_jobs(engine);
out:
    evbuffer_free(buffer);
    json_decref(json);
}

static void
on_load_timer(evutil_socket_t fd, short events, void *ctx)
{
    struct engine *engine = ctx;
    const struct job *job;

    (void)fd;
    (void)events;
    engine->reported_running = engine->ledger.running;
    engine->reported_waiting = 0;
    DL_FOREACH(engine->jobs, job)
    {
        engine->reported_waiting += job->running ? 0 : 1;
    }
}

static void
reply_load(const struct engine *engine, struct evhttp_request *http)
{
    http_reply_json(http, 200,
                    json_pack("{s:i, s:i, s:i}", "running",
                              (int)engine->reported_running, "waiting",
                              (int)engine->reported_waiting, "slots",
                              (int)engine->options.slots));
}

static void
reply_ledger(const struct engine *engine, struct evhttp_request *http)
{
    const struct engine_ledger *ledger = &engine->ledger;

    http_reply_json(
        http, 200,
        json_pack("{s:s%, s:I, s:I, s:I, s:I, s:I, s:I, s:i, s:i}", "name",
                  engine->options.name.data, engine->options.name.len,
                  "started", (json_int_t)ledger->started, "finished",
                  (json_int_t)ledger->finished, "cancelled",
                  (json_int_t)ledger->cancelled, "crashes",
                  (json_int_t)ledger->crashes, "prompt_tokens",
                  (json_int_t)ledger->prompt_tokens, "cached_tokens",
                  (json_int_t)ledger->cached_tokens, "running",
                  (int)ledger->running, "running_max",
                  (int)ledger->running_max));
}

static bool
has_order(const struct engine *engine, const char *name)
{
    for (size_t i = 0; i < engine->order_count; i++) {
        if (!strcmp(engine->orders[i], name)) {
            return true;
        }
    }
    return false;
}

static bool
is_over_weight_rate(struct engine *engine)
{
    int64_t second = clock_ms(engine->options.clock) / 1000;

    if (engine->options.weight_loads_per_s == 0) {
        return false;
    }
    if (second != engine->weight_load_second) {
        engine->weight_load_second = second;
        engine->weight_loads = 0;
    }
    return ++engine->weight_loads > engine->options.weight_loads_per_s;
}

static void
on_order(struct engine *engine, struct evhttp_request *http)
{
    struct str body = http_body(http);
    json_t *json = json_loadb(body.data, body.len, 0, NULL);
    int64_t fence = json_integer_value(json_object_get(json, "fence"));
    const char *name = json_string_value(json_object_get(json, "name"));

    if (name == NULL || engine->order_count == ORDERS_MAX) {
        http_reply_json(
            http, 400,
            json_pack("{s:s}", "error", "no name, or order table full"));
    }
    else if (engine->options.checks_fencing && fence < engine->fence) {
        engine->ledger.orders_refused++;
        http_reply_json(
            http, 409,
            json_pack("{s:s}", "error", "fence below the highest accepted"));
    }
    else if (is_over_weight_rate(engine)) {
        evhttp_add_header(evhttp_request_get_output_headers(http),
                          "Retry-After", "1");
        http_reply_json(
            http, 429,
            json_pack("{s:s}", "error", "weight store rate limit exceeded"));
    }
    else {
        engine->ledger.orders_below_fence += fence < engine->fence;
        engine->fence = fence > engine->fence ? fence : engine->fence;
        engine->ledger.orders++;
        if (!has_order(engine, name)) {
            engine->orders[engine->order_count++] = xstrdup(name);
        }
        http_reply_json(http, 200, json_pack("{s:b}", "ok", 1));
    }
    json_decref(json);
}

static void
on_fault(struct engine *engine, struct evhttp_request *http)
{
    static const char *const names[] = {
        [ENGINE_OK] = "ok",
        [ENGINE_CRASH] = "crash",
        [ENGINE_HANG] = "hang",
        [ENGINE_SLOW] = "slow",
    };
    struct str body = http_body(http);

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (str_equal_c(body, names[i])) {
            http_reply(http, 200, JSON_TYPE, STR_LITERAL("{}"));
            engine_set_fault(engine, (enum engine_fault)i);
            return;
        }
    }
    http_reply(http, 400, JSON_TYPE, STR_LITERAL("{}"));
}

static void
reply_health(const struct engine *engine, struct evhttp_request *http)
{
    char incarnation[24];

    snprintf(incarnation, sizeof(incarnation), "%llu",
             (unsigned long long)engine->ledger.crashes);
    evhttp_add_header(evhttp_request_get_output_headers(http),
                      "Endpoint-Incarnation", incarnation);
    http_reply(http, 200, JSON_TYPE, STR_LITERAL("{}"));
}

static void
on_request(struct evhttp_request *http, void *ctx)
{
    struct engine *engine = ctx;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(http));

    call_field_echo(http);
    if (!strcmp(path, "/faults")) {
        on_fault(engine, http);
    }
    else if (!strcmp(path, "/ledger")) {
        reply_ledger(engine, http);
    }
    else if (engine->fault == ENGINE_HANG) {
        return;
    }
    else if (!strcmp(path, "/v1/chat/completions")) {
        on_completion(engine, http);
    }
    else if (!strcmp(path, "/load")) {
        reply_load(engine, http);
    }
    else if (!strcmp(path, "/orders")) {
        on_order(engine, http);
    }
    else if (!strcmp(path, "/health")) {
        reply_health(engine, http);
    }
    else {
        http_reply_json(http, 404,
                        json_pack("{s:s}", "error", "no such path"));
    }
}

/// Closes the listener and all connections, as a process crash does.
static void
close_connections(struct engine *engine)
{
    while (engine->jobs != NULL) {
        evhttp_connection_free(
            evhttp_request_get_connection(engine->jobs->http));
    }
    if (engine->http != NULL) {
        evhttp_free(engine->http);
        engine->http = NULL;
    }
}

static void
on_crash(evutil_socket_t fd, short events, void *ctx)
{
    struct engine *engine = ctx;
    const struct timeval delay = {
        .tv_sec = engine->options.restart_ms / 1000,
        .tv_usec = engine->options.restart_ms % 1000 * 1000,
    };

    (void)fd;
    (void)events;
    if (engine->http == NULL) {
        return;
    }
    engine->ledger.crashes++;
    close_connections(engine);
    prefix_cache_clear(engine->cache);
    event_add(engine->restart, &delay);
}

static void
on_restart(evutil_socket_t fd, short events, void *ctx)
{
    struct engine *engine = ctx;
    struct err err = {0};

    (void)fd;
    (void)events;
    engine->fault = ENGINE_OK;
    if (!start_listening(engine, &err)) {
        fprintf(stderr, "engine restart failed: %s\n", err.message);
    }
}

static bool
start_listening(struct engine *engine, struct err *err)
{
    engine->http = evhttp_new(engine->options.base);
    evhttp_set_max_body_size(engine->http, BODY_BYTES_MAX);
    evhttp_set_gencb(engine->http, on_request, engine);
    return http_bind(engine->http, &engine->address, &engine->address, err);
}

struct engine *
engine_new(const struct engine_options *options, struct err *err)
{
    static const struct timeval interval = {.tv_sec = LOAD_INTERVAL_MS / 1000};
    struct engine *engine = xcalloc(1, sizeof(*engine));

    engine->options = *options;
    engine->address = options->address;
    engine->cache = prefix_cache_new((size_t)options->cache_tokens);
    engine->restart = event_new(options->base, -1, 0, on_restart, engine);
    engine->crash = event_new(options->base, -1, 0, on_crash, engine);
    engine->load_timer =
        event_new(options->base, -1, EV_PERSIST, on_load_timer, engine);
    event_add(engine->load_timer, &interval);
    if (!start_listening(engine, err)) {
        engine_free(engine);
        return NULL;
    }
    return engine;
}

void
engine_free(struct engine *engine)
{
    if (engine == NULL) {
        return;
    }
    close_connections(engine);
    event_free(engine->restart);
    event_free(engine->crash);
    event_free(engine->load_timer);
    prefix_cache_free(engine->cache);
    for (size_t i = 0; i < engine->order_count; i++) {
        free(engine->orders[i]);
    }
    free(engine);
}

struct address
engine_address(const struct engine *engine)
{
    return engine->address;
}

void
engine_set_fault(struct engine *engine, enum engine_fault fault)
{
    engine->fault = fault;
    if (fault == ENGINE_CRASH) {
        event_active(engine->crash, EV_TIMEOUT, 1);
    }
}

const struct engine_ledger *
engine_ledger(const struct engine *engine)
{
    return &engine->ledger;
}
