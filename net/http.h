/// Helpers around evhttp that its users share.
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <event2/http.h>

#include "address.h"
#include "dandelionvalve/message.h"

struct evkeyvalq;
struct json_t;

/// Views of end-to-end headers, hop-by-hop ones left out; at most `max`.
size_t http_copy_headers(const struct evkeyvalq *from,
                         struct message_header *headers, size_t max);

bool http_parse_method(struct str method, enum evhttp_cmd_type *command);
const char *http_method_name(enum evhttp_cmd_type command);

/// Value of a header, or an empty view.
struct str http_header(const struct evkeyvalq *headers, const char *name);

/// Binds a server to an address; the real address goes to `bound` if not
/// NULL. False with `err` set if the address cannot be bound.
bool http_bind(struct evhttp *http, const struct address *address,
               struct address *bound, struct err *err);

/// The whole body as one view that lives as long as the request.
struct str http_body(struct evhttp_request *request);

/// Sends a complete answer and ends the request.
void http_reply(struct evhttp_request *request, int status,
                const char *content_type, struct str body);

/// Sends a JSON answer and ends the request; takes over the reference.
void http_reply_json(struct evhttp_request *request, int status,
                     struct json_t *json);

/// The standard phrase of a status.
const char *http_reason(int status);
