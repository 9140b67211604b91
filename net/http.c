#include "http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

static const struct {
    const char *name;
    enum evhttp_cmd_type command;
} methods[] = {
    {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},
    {"HEAD", EVHTTP_REQ_HEAD},     {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
    {"PATCH", EVHTTP_REQ_PATCH},
};

static bool
is_hop_by_hop(const char *name)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
        "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade",
        "Host",       "Expect",
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (!strcasecmp(name, names[i])) {
            return true;
        }
    }
    return false;
}

size_t
http_copy_headers(const struct evkeyvalq *from, struct message_header *headers,
                  size_t max)
{
    const struct evkeyval *pair;
    size_t count = 0;

    TAILQ_FOREACH(pair, from, next)
    {
        if (count < max && !is_hop_by_hop(pair->key)) {
            headers[count].name = str_from(pair->key);
            headers[count].value = str_from(pair->value);
            count++;
        }
    }
    return count;
}

bool
http_parse_method(struct str method, enum evhttp_cmd_type *command)
{
    for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
        if (str_equal_c(method, methods[i].name)) {
            *command = methods[i].command;
            return true;
        }
    }
    return false;
}

const char *
http_method_name(enum evhttp_cmd_type command)
{
    for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
        if (command == methods[i].command) {
            return methods[i].name;
        }
    }
    return "";
}

struct str
http_header(const struct evkeyvalq *headers, const char *name)
{
    const char *value = evhttp_find_header(headers, name);

    return value != NULL ? str_from(value) : STR_LITERAL("");
}

bool
http_bind(struct evhttp *http, const struct address *address,
          struct address *bound, struct err *err)
{
    struct evhttp_bound_socket *socket =
        evhttp_bind_socket_with_handle(http, address->ip, address->port);

    if (socket == NULL) {
        return err_set(err, ERR_IO, "bind", address->ip,
                       "cannot listen on %s port %d: %s", address->ip,
                       address->port, strerror(errno));
    }
    if (bound != NULL) {
        address_of_socket(evhttp_bound_socket_get_fd(socket), bound);
    }
    return true;
}

struct str
http_body(struct evhttp_request *request)
{
    struct evbuffer *buffer = evhttp_request_get_input_buffer(request);
    size_t len = evbuffer_get_length(buffer);

    if (len == 0) {
        return STR_LITERAL("");
    }
    return (struct str){(char *)evbuffer_pullup(buffer, -1), len};
}

void
http_reply(struct evhttp_request *request, int status,
           const char *content_type, struct str body)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);

    if (content_type != NULL) {
        evhttp_add_header(headers, "Content-Type", content_type);
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data,
                 body.len);
    evhttp_send_reply(request, status, http_reason(status), NULL);
}

void
http_reply_json(struct evhttp_request *request, int status,
                struct json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    http_reply(request, status, "application/json", str_from(text));
    free(text);
    json_decref(json);
}

const char *
http_reason(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 413:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}
