/// Helper functions for evhttp.
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <event2/http.h>

#include "address.h"
#include "dandelionvalve/message.h"

struct evkeyvalq;
struct json_t;

/// Fills in views of at most `max` end-to-end headers and returns their
/// number.
size_t http_copy_headers(const struct evkeyvalq *from,
                         struct message_header *headers, size_t max);

bool http_parse_method(struct str method, enum evhttp_cmd_type *command);
const char *http_method_name(enum evhttp_cmd_type command);

/// The value of a header; empty if absent.
struct str http_header(const struct evkeyvalq *headers, const char *name);

/// Binds a server to an address and stores the bound address in `bound` if
/// that is not NULL. False with `err` set if the address cannot be bound.
bool http_bind(struct evhttp *http, const struct address *address,
               struct address *bound, struct err *err);

/// The complete body, valid as long as the request.
struct str http_body(struct evhttp_request *request);

/// Sends a complete response, which ends the request.
void http_reply(struct evhttp_request *request, int status,
                const char *content_type, struct str body);

/// Sends a JSON response, which ends the request; steals the reference to
/// `json`.
void http_reply_json(struct evhttp_request *request, int status,
                     struct json_t *json);

/// The reason phrase of a status code.
const char *http_reason(int status);
