#include "filter.h"

#include <stdlib.h>
#include <string.h>

#include <event2/http.h>
#include <jansson.h>

#include "core/xmalloc.h"
#include "dandelionvalve/quarantine.h"
#include "net/http.h"
#include "request.h"
#include "router_state.h"

#define KEY_HEADER "Idempotency-Key"
#define CHAT_HEADER "Dandelionvalve-Chat"
#define HINT_HEADER "Dandelionvalve-Hint"
#define DEADLINE_HEADER "Dandelionvalve-Deadline-Ms"
#define PRIORITY_HEADER "Dandelionvalve-Priority"
#define KEY_BYTES_MAX 255
#define HINT_BYTES_MAX 64

/// Fields of a model call's JSON body that routing uses; the strings belong
/// to `json`.
struct model_call {
    json_t *json;
    struct str model;
    struct str chat;
    struct str prefix;
};

static struct str
input_header(const struct request *request, const char *name)
{
    return http_header(evhttp_request_get_input_headers(request->http), name);
}

static enum filter_result
authenticate(struct request *request)
{
    struct str authorization = input_header(request, "Authorization");
    struct str api_key = input_header(request, "X-Api-Key");

    if (str_starts_with(authorization, "Bearer ")) {
        api_key.data = authorization.data + 7;
        api_key.len = authorization.len - 7;
    }
    if (api_key.len > 0) {
        request->account =
            conf_find_account(router_conf(request->router), api_key);
    }
    if (request->account == NULL) {
        request_refuse(request, 401, OUTCOME_NOT_RUN,
                       api_key.len > 0 ? "the API key is unknown"
                                       : "an API key is required");
        return FILTER_ANSWERED;
    }
    return FILTER_NEXT;
}

static struct str
json_member_str(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);

    return (struct str){json_string_value(value), json_string_length(value)};
}

/// The text of the first message, or of its first part if it is an array.
static struct str
first_message_text(const json_t *json)
{
    const json_t *message =
        json_array_get(json_object_get(json, "messages"), 0);
    const json_t *content = json_object_get(message, "content");

    if (json_is_array(content)) {
        return json_member_str(json_array_get(content, 0), "text");
    }
    return json_member_str(message, "content");
}

static bool
read_model_call(struct request *request, struct model_call *call)
{
    json_error_t error;

    call->json = json_loadb(request->body.data, request->body.len, 0, &error);
    if (call->json == NULL) {
        request_refuse(request, 400, OUTCOME_NOT_RUN,
                       "the body is not JSON: line %d: %.100s", error.line,
                       error.text);
        return false;
    }
    call->model = json_member_str(call->json, "model");
    if (call->model.len == 0) {
        request_refuse(request, 400, OUTCOME_NOT_RUN,
                       "the body has no string 'model'");
        return false;
    }
    call->chat =
        json_member_str(json_object_get(call->json, "metadata"), "chat_id");
    call->prefix = first_message_text(call->json);
    return true;
}

static void
set_key_hash(struct request *request, const struct model_call *call)
{
    struct str chat = input_header(request, CHAT_HEADER);
    struct str key = {0};

    if (request->route->affinity == CONF_AFFINITY_CHAT) {
        key = chat.len > 0 ? chat : call->chat;
    }
    else if (request->route->affinity == CONF_AFFINITY_PREFIX) {
        key = call->prefix;
        if (key.len > (size_t)request->route->prefix_bytes) {
            key.len = (size_t)request->route->prefix_bytes;
        }
    }
    if (key.len == 0) {
        return;
    }
    // The account is part of the hash, as accounts share no cache entries.
    request->has_key_hash = true;
    request->key_hash = str_hash(key, str_hash(request->account->name, 0));
}

/// The first route that matches method and path and, for a model call, whose
/// pool serves the model.
static const struct conf_route *
find_route(const struct request *request, const struct model_call *call,
           bool *path_matched)
{
    const struct conf *conf = router_conf(request->router);
    struct str path = request->uri;
    const char *query = memchr(path.data, '?', path.len);
    const struct conf_route *route;
    size_t position = 0;

    if (query != NULL) {
        path.len = (size_t)(query - path.data);
    }
    do {
        route = conf_next_route(conf, request->method, path, &position,
                                path_matched);
    } while (route != NULL && call != NULL &&
             route->pool->kind == CONF_POOL_MODEL &&
             !conf_pool_has_model(route->pool, call->model));
    return route;
}

static enum filter_result
refuse_unrouted(struct request *request, const struct model_call *call,
                bool path_matched)
{
    if (call->json != NULL) {
        request_refuse(request, 404, OUTCOME_NOT_RUN,
                       "no pool serves the model '%.64s'",
                       call->model.len > 0 ? call->model.data : "");
    }
    else if (path_matched) {
        request_refuse(request, 405, OUTCOME_NOT_RUN,
                       "the path does not support this method");
    }
    else {
        request_refuse(request, 404, OUTCOME_NOT_RUN,
                       "no route matches this path");
    }
    return FILTER_ANSWERED;
}

static bool
read_number_header(struct request *request, const char *name, int64_t max,
                   int64_t *out)
{
    struct str text = input_header(request, name);
    char *end;
    long long value;

    if (text.len == 0) {
        return true;
    }
    value = strtoll(text.data, &end, 10);
    if (*end != '\0' || value < 0 || value > max) {
        request_refuse(request, 400, OUTCOME_NOT_RUN,
                       "the header %s must be a number from 0 to %lld", name,
                       (long long)max);
        return false;
    }
    *out = value;
    return true;
}

static bool
apply_policy(struct request *request)
{
    const struct conf *conf = router_conf(request->router);
    const struct conf_route *route = request->route;
    struct request_policy *policy = &request->policy;
    int64_t deadline_ms = route->deadline_ms;
    int64_t priority = route->priority;

    if (!read_number_header(request, DEADLINE_HEADER, INT32_MAX,
                            &deadline_ms) ||
        !read_number_header(request, PRIORITY_HEADER, 9, &priority)) {
        return false;
    }
    if (deadline_ms > route->deadline_ms) {
        deadline_ms = route->deadline_ms;
    }
    if (priority > request->account->priority_max) {
        priority = request->account->priority_max;
    }
    policy->route_name = str_dup(route->name);
    policy->pool_name = str_dup(route->pool->name);
    policy->account_name = str_dup(request->account->name);
    policy->account_weight = (uint32_t)request->account->weight;
    policy->repeatable = route->repeatable;
    policy->cut_on_disconnect = route->cut_on_disconnect && route->repeatable;
    policy->priority = (uint32_t)priority;
    policy->deadline_ms =
        clock_ms(router_clock(request->router)) + deadline_ms;
    policy->first_byte_ms = (uint32_t)route->first_byte_ms;
    policy->idle_ms = (uint32_t)route->idle_ms;
    policy->attempts_max = (uint32_t)conf->retry.attempts_max;
    return true;
}

static bool
check_headers(struct request *request)
{
    request->key = input_header(request, KEY_HEADER);
    request->hint = input_header(request, HINT_HEADER);
    if (request->hint.len > HINT_BYTES_MAX) {
        request->hint.len = 0;
    }
    if (request->key.len > KEY_BYTES_MAX) {
        request_refuse(request, 400, OUTCOME_NOT_RUN,
                       "the header " KEY_HEADER " is longer than %d bytes",
                       KEY_BYTES_MAX);
        return false;
    }
    if (request->route->key_required && request->key.len == 0) {
        request_refuse(request, 400, OUTCOME_NOT_RUN,
                       "this route requires the header " KEY_HEADER);
        return false;
    }
    // A repeatable request needs no claim, since running it again is safe.
    if (request->route->repeatable) {
        request->key.len = 0;
    }
    if (request->body.len > (size_t)request->route->body_bytes_max) {
        request_refuse(request, 413, OUTCOME_NOT_RUN,
                       "the body is longer than %lld bytes",
                       (long long)request->route->body_bytes_max);
        return false;
    }
    return true;
}

static enum filter_result
select_route(struct request *request)
{
    struct model_call call = {0};
    bool path_matched = false;
    enum filter_result result = FILTER_ANSWERED;

    request->route = find_route(request, NULL, &path_matched);
    if (request->route != NULL &&
        request->route->pool->kind == CONF_POOL_MODEL) {
        if (!read_model_call(request, &call)) {
            goto out;
        }
        request->route = find_route(request, &call, &path_matched);
    }
    if (request->route == NULL) {
        refuse_unrouted(request, &call, path_matched);
        goto out;
    }
    if (!check_headers(request) || !apply_policy(request)) {
        goto out;
    }
    set_key_hash(request, &call);
    result = FILTER_NEXT;
out:
    json_decref(call.json);
    return result;
}

static void
set_fingerprint(struct request *request)
{
    uint64_t hash = str_hash(request->account->name, 0);

    hash = str_hash(request->method, hash);
    hash = str_hash(request->uri, hash);
    request->fingerprint = str_hash(request->body, hash);
}

static enum filter_result
check_quarantine(struct request *request)
{
    set_fingerprint(request);
    if (quarantine_check(router_quarantine(request->router),
                         request->fingerprint) != QUARANTINE_REFUSE) {
        return FILTER_NEXT;
    }
    counter_add(router_counters(request->router), COUNTER_QUARANTINED, 1);
    request_refuse(request, 422, OUTCOME_NOT_RUN,
                   "endpoints crashed while they ran this request; it is "
                   "quarantined for a limited time");
    return FILTER_ANSWERED;
}

static enum filter_result
check_account_limit(struct request *request)
{
    uint32_t in_flight = router_account_in_flight(
        request->router, request->policy.account_name);

    if (in_flight < (uint32_t)request->account->in_flight_max) {
        return FILTER_NEXT;
    }
    request->retry_after_ms = 1000;
    request_refuse(request, 429, OUTCOME_NOT_RUN,
                   "the account has %u requests in flight on this router and "
                   "has reached its limit",
                   in_flight);
    return FILTER_ANSWERED;
}

enum filter_result
filter_run(struct request *request)
{
    static enum filter_result (*const chain[])(struct request *) = {
        authenticate,
        select_route,
        check_quarantine,
        check_account_limit,
    };

    for (size_t i = 0; i < sizeof(chain) / sizeof(chain[0]); i++) {
        if (chain[i](request) == FILTER_ANSWERED) {
            return FILTER_ANSWERED;
        }
    }
    return FILTER_NEXT;
}
