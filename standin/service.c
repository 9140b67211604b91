#include "service.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <uthash.h>
#include <utlist.h>

#include "call_field.h"
#include "core/xmalloc.h"
#include "net/http.h"

#define BODY_BYTES_MAX (16 * 1024 * 1024)
#define JSON_TYPE "application/json"
#define KEY_HEADER "Idempotency-Key"

struct run_count {
    char *key;
    uint64_t runs;
    UT_hash_handle hh;
};

struct job {
    struct service *service;
    struct evhttp_request *http;
    struct event *timer;
    uint64_t number;
    struct job *prev;
    struct job *next;
};

struct service {
    struct service_options options;
    struct evhttp *http;
    struct address address;
    struct run_count *counts;
    struct job *jobs;
    uint64_t runs;
    bool lose_answers;
};

static void
count_run(struct service *service, const char *key)
{
    struct run_count *count;

    service->runs++;
    if (key == NULL) {
        return;
    }
    HASH_FIND_STR(service->counts, key, count);
    if (count == NULL) {
        count = xcalloc(1, sizeof(*count));
        count->key = xstrdup(key);
        HASH_ADD_KEYPTR(hh, service->counts, count->key, strlen(count->key),
                        count);
    }
    count->runs++;
}

static void
job_free(struct job *job)
{
    DL_DELETE(job->service->jobs, job);
    event_free(job->timer);
    free(job);
}

static void
on_job_closed(struct evhttp_connection *connection, void *ctx)
{
    struct job *job = ctx;

    evhttp_connection_set_closecb(connection, NULL, NULL);
    if (evhttp_request_get_connection(job->http) == NULL) {
        evhttp_request_free(job->http);
    }
    job_free(job);
}

static void
on_work_done(evutil_socket_t fd, short events, void *ctx)
{
    struct job *job = ctx;
    struct evhttp_request *http = job->http;
    const char *key =
        evhttp_find_header(evhttp_request_get_input_headers(http), KEY_HEADER);

    (void)fd;
    (void)events;
    if (job->service->lose_answers) {
        evhttp_connection_free(evhttp_request_get_connection(http));
        return;
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(http), NULL,
                                  NULL);
    http_reply_json(http, 200,
                    json_pack("{s:I, s:s, s:s%}", "number",
                              (json_int_t)job->number, "key",
                              key != NULL ? key : "", "service",
                              job->service->options.name.data,
                              job->service->options.name.len));
    job_free(job);
}

static void
run(struct service *service, struct evhttp_request *http)
{
    struct job *job = xcalloc(1, sizeof(*job));
    const struct timeval work = {
        .tv_sec = service->options.work_us / 1000000,
        .tv_usec = service->options.work_us % 1000000,
    };

    count_run(service,
              evhttp_find_header(evhttp_request_get_input_headers(http),
                                 KEY_HEADER));
    job->service = service;
    job->http = http;
    job->number = service->runs;
    job->timer = event_new(service->options.base, -1, 0, on_work_done, job);
    DL_APPEND(service->jobs, job);
    evhttp_connection_set_closecb(evhttp_request_get_connection(http),
                                  on_job_closed, job);
    event_add(job->timer, &work);
}

static void
reply_ledger(const struct service *service, struct evhttp_request *http)
{
    const struct run_count *count;
    uint64_t repeated = 0;

    for (count = service->counts; count != NULL; count = count->hh.next) {
        repeated += count->runs > 1 ? 1 : 0;
    }
    http_reply_json(http, 200,
                    json_pack("{s:s%, s:I, s:I, s:I}", "name",
                              service->options.name.data,
                              service->options.name.len, "started",
                              (json_int_t)service->runs, "keys",
                              (json_int_t)HASH_COUNT(service->counts),
                              "keys_run_twice", (json_int_t)repeated));
}

/// Replies with a JSON object of the idempotency keys and their runs.
static void
reply_keys(const struct service *service, struct evhttp_request *http)
{
    json_t *list = json_object();
    const struct run_count *count;

    for (count = service->counts; count != NULL; count = count->hh.next) {
        json_object_set_new(list, count->key,
                            json_integer((json_int_t)count->runs));
    }
    http_reply_json(http, 200, list);
}

static void
on_request(struct evhttp_request *http, void *ctx)
{
    struct service *service = ctx;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(http));

    call_field_echo(http);
    if (!strcmp(path, "/health")) {
        http_reply(http, 200, JSON_TYPE, STR_LITERAL("{}"));
    }
    else if (!strcmp(path, "/ledger")) {
        reply_ledger(service, http);
    }
    else if (!strcmp(path, "/keys")) {
        reply_keys(service, http);
    }
    else if (evhttp_request_get_command(http) == EVHTTP_REQ_GET) {
        http_reply_json(http, 200, json_pack("{s:s}", "status", "open"));
    }
    else {
        run(service, http);
    }
}

struct service *
service_new(const struct service_options *options, struct err *err)
{
    struct service *service = xcalloc(1, sizeof(*service));

    service->options = *options;
    service->http = evhttp_new(options->base);
    evhttp_set_max_body_size(service->http, BODY_BYTES_MAX);
    evhttp_set_gencb(service->http, on_request, service);
    if (!http_bind(service->http, &options->address, &service->address, err)) {
        service_free(service);
        return NULL;
    }
    return service;
}

void
service_free(struct service *service)
{
    struct run_count *count, *next;

    if (service == NULL) {
        return;
    }
    while (service->jobs != NULL) {
        evhttp_connection_free(
            evhttp_request_get_connection(service->jobs->http));
    }
    evhttp_free(service->http);
    HASH_ITER(hh, service->counts, count, next)
    {
        HASH_DEL(service->counts, count);
        free(count->key);
        free(count);
    }
    free(service);
}

struct address
service_address(const struct service *service)
{
    return service->address;
}

uint64_t
service_runs(const struct service *service)
{
    return service->runs;
}

uint64_t
service_runs_of_key(const struct service *service, const char *key)
{
    const struct run_count *count;

    HASH_FIND_STR(service->counts, key, count);
    return count != NULL ? count->runs : 0;
}

void
service_set_lose_answers(struct service *service, bool lose)
{
    service->lose_answers = lose;
}
