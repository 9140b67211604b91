/// One direction of an HTTP/1.1 connection: splits bytes into messages. Heads
/// are kept whole, bodies are passed on as they come.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include "dandelionvalve/str.h"

/// Field lines of one head; more are an error.
#define HTTP1_FIELDS_MAX 96

enum http1_error {
    HTTP1_OK,
    HTTP1_MALFORMED,
    HTTP1_HEAD_TOO_LARGE,
};

struct http1_field {
    uint32_t name_at;
    uint32_t name_len;
    uint32_t value_at;
    uint32_t value_len;
};

struct http1_callbacks {
    /// The head is complete.
    void (*head)(void *ctx);
    void (*data)(void *ctx, const char *bytes, size_t len);
    /// The message is complete.
    void (*end)(void *ctx);
};

struct http1 {
    http_parser parser;
    const struct http1_callbacks *callbacks;
    void *ctx;
    size_t head_bytes_max;
    char *text;
    size_t text_len;
    size_t text_capacity;
    size_t target_len;
    struct http1_field fields[HTTP1_FIELDS_MAX];
    size_t field_count;
    bool in_value;
    bool has_head;
    bool ended;
    bool started;
    bool no_body; ///< answers to HEAD have none, whatever the head says
    enum http1_error error;
};

/// The callbacks must outlive the parser; free with http1_destroy().
void http1_init(struct http1 *http, enum http_parser_type type,
                size_t head_bytes_max, const struct http1_callbacks *callbacks,
                void *ctx);
void http1_destroy(struct http1 *http);

/// Gets ready for the next message.
void http1_reset(struct http1 *http);

/// Takes bytes up to the end of the message at most. Returns how many were
/// taken; `error` is set if they are no message.
size_t http1_feed(struct http1 *http, const char *bytes, size_t len);

/// The sender has closed: ends a message whose body lasts until then.
void http1_eof(struct http1 *http);

/// What the head says. Views live until http1_reset().
struct str http1_method(const struct http1 *http);
struct str http1_target(const struct http1 *http);
int http1_status(const struct http1 *http);
struct str http1_name_at(const struct http1 *http, size_t index);
struct str http1_value_at(const struct http1 *http, size_t index);

/// The first value of a field, compared without case; empty if absent.
struct str http1_value(const struct http1 *http, const char *name);

/// Field lines of this name.
size_t http1_count_fields(const struct http1 *http, const char *name);

/// True if the connection may carry another message after this one.
bool http1_keeps_alive(const struct http1 *http);

/// True if the field concerns one connection only and is not forwarded.
bool http1_is_hop_by_hop(const struct http1 *http, struct str name);

bool str_equal_nocase(struct str a, const char *text);

/// Reads a whole decimal number; false on anything else.
bool str_to_int64(struct str text, int64_t *value);
