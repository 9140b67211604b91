#include "explain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "core/xmalloc.h"
#include "net/http_client.h"

#define TIMEOUT_S 2
#define HEAD_BYTES_MAX 16384

struct query {
    struct event_base *base;
    struct evbuffer *body;
    int status;
    bool answered;
};

static void
on_head(void *ctx, int status, const struct message_header *headers,
        size_t header_count)
{
    struct query *query = ctx;

    (void)headers;
    (void)header_count;
    query->status = status;
}

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct query *query = ctx;

    evbuffer_add_buffer(query->body, data);
}

static void
on_end(void *ctx, enum http_call_result result)
{
    struct query *query = ctx;

    query->answered = result == HTTP_CALL_COMPLETE;
    event_base_loopbreak(query->base);
}

static void
add_parameter(struct evbuffer *uri, char separator, const char *name,
              const char *value)
{
    char *encoded;

    if (value == NULL) {
        return;
    }
    encoded = evhttp_uriencode(value, -1, 0);
    if (encoded == NULL) {
        BUG("out of memory");
    }
    evbuffer_add_printf(uri, "%c%s=%s", separator, name, encoded);
    free(encoded);
}

static void
write_uri(const struct explain_options *options, struct evbuffer *uri)
{
    evbuffer_add_printf(uri, "/explain");
    add_parameter(uri, '?', "host", options->host);
    add_parameter(uri, '&', "path", options->path);
    add_parameter(uri, '&', "account", options->account);
    add_parameter(uri, '&', "prompt", options->prompt);
    add_parameter(uri, '&', "deadline_ms", options->deadline_ms);
}

static const char *
text_of(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));

    return text != NULL ? text : "-";
}

static double
number_of(const json_t *json, const char *name)
{
    return json_number_value(json_object_get(json, name));
}

static void
print_candidate(const json_t *candidate, const char *chosen)
{
    const json_t *cost = json_object_get(candidate, "cost_ms");
    const char *id = text_of(candidate, "id");
    const char *out = text_of(candidate, "out");
    bool is_out = !json_is_object(cost);

    printf("%c %-20s %-10s %5.0f %7.0f %6.2f %8.0f %8.0f",
           strcmp(id, chosen) == 0 ? '*' : ' ', id,
           is_out ? out : text_of(candidate, "reason"),
           number_of(candidate, "load"), number_of(candidate, "report_age_ms"),
           number_of(candidate, "slow_down"),
           number_of(candidate, "held_tokens"),
           number_of(candidate, "cached_tokens"));
    if (!is_out) {
        printf(" %8.1f = %.1f + %.1f + %.1f + %.1f + %.1f + %.1f + %.1f + "
               "%.1f",
               number_of(cost, "sum"), number_of(cost, "prefill"),
               number_of(cost, "fetch"), number_of(cost, "backlog"),
               number_of(cost, "load"), number_of(cost, "zone"),
               number_of(cost, "jitter"), number_of(cost, "pause"),
               number_of(cost, "even_load"));
    }
    printf("\n");
}

static void
print_table(const json_t *json)
{
    const json_t *admission = json_object_get(json, "admission");
    const char *chosen = text_of(json, "chosen");
    const json_t *candidate;
    size_t i;

    printf("route %s, account %s, priority %.0f, service %s\n",
           text_of(json, "route"), text_of(json, "account"),
           number_of(json, "priority"), text_of(json, "service"));
    printf("admission: %s, refused share %.3f", text_of(admission, "verdict"),
           number_of(admission, "refused_share"));
    if (json_is_true(json_object_get(admission, "by_account"))) {
        printf(", account share %.3f, an equal one %.3f",
               number_of(admission, "account_share"),
               number_of(admission, "equal_share"));
    }
    if (number_of(admission, "retry_after_ms") >= 0) {
        printf(", Retry-After from %.0f ms",
               number_of(admission, "retry_after_ms"));
    }
    printf("\nchosen: %s, contexts from %s, prefill ends after %.0f ms\n",
           chosen, text_of(json, "source"), number_of(json, "predicted_ms"));
    if (json_is_string(json_object_get(json, "refusal"))) {
        printf("refused: %s\n", text_of(json, "refusal"));
    }
    printf("  %-20s %-10s %5s %7s %6s %8s %8s %8s = prefill + fetch + backlog "
           "+ load + zone + jitter + pause + even load\n",
           "ENDPOINT", "REASON", "LOAD", "AGE_MS", "SLOW", "HELD", "CACHED",
           "COST_MS");
    json_array_foreach(json_object_get(json, "candidates"), i, candidate)
    {
        print_candidate(candidate, chosen);
    }
    printf("%.0f candidates, %zu shown\n", number_of(json, "candidate_count"),
           json_array_size(json_object_get(json, "candidates")));
}

static bool
print_answer(const struct explain_options *options, const struct query *query,
             struct err *err)
{
    json_t *json =
        query->answered
            ? json_loadb((const char *)evbuffer_pullup(query->body, -1),
                         evbuffer_get_length(query->body), 0, NULL)
            : NULL;

    if (json == NULL) {
        return err_set(err, ERR_IO, "router", NULL,
                       "the router does not explain requests or gave no "
                       "answer");
    }
    if (query->status != 200) {
        err_set(err, query->status < 500 ? ERR_INPUT : ERR_IO, "router", NULL,
                "%s", text_of(json, "error"));
    }
    else if (options->as_json) {
        json_dumpf(json, stdout, JSON_INDENT(2));
        printf("\n");
    }
    else {
        print_table(json);
    }
    json_decref(json);
    return query->status == 200;
}

bool
explain_print(const struct explain_options *options, struct err *err)
{
    static const struct timeval timeout = {.tv_sec = TIMEOUT_S};
    struct http_client_options client_options = {.header_bytes_max =
                                                     HEAD_BYTES_MAX};
    struct query query = {0};
    struct evbuffer *uri;
    struct http_client *client;
    bool done;

    if (options->router == NULL || options->host == NULL ||
        options->path == NULL) {
        return err_set(err, ERR_INPUT, "arguments", NULL,
                       "explain needs --routers ADDRESS, --host and --path");
    }
    if (!address_parse(str_from(options->router), &client_options.address,
                       err)) {
        return false;
    }
    uri = evbuffer_new();
    query.base = event_base_new();
    query.body = evbuffer_new();
    client_options.base = query.base;
    client = http_client_new(&client_options);
    write_uri(options, uri);
    http_call(client, &(struct http_call_options){
                          .method = STR_LITERAL("GET"),
                          .uri = {(const char *)evbuffer_pullup(uri, -1),
                                  evbuffer_get_length(uri)},
                          .body = STR_LITERAL(""),
                          .head = on_head,
                          .data = on_data,
                          .end = on_end,
                          .ctx = &query,
                      });
    event_base_loopexit(query.base, &timeout);
    event_base_dispatch(query.base);
    done = print_answer(options, &query, err);
    http_client_free(client);
    evbuffer_free(query.body);
    evbuffer_free(uri);
    event_base_free(query.base);
    return done;
}
