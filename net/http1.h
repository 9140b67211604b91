/// Parser for one direction of an HTTP/1.1 connection. It stores the head of a
/// message and passes the body on as it is received.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include "dandelionvalve/str.h"

/// A head with more field lines is rejected.
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
    bool no_body; ///< response to HEAD: no body despite Content-Length
    enum http1_error error;
};

/// `callbacks` must outlive the parser. Free with http1_destroy().
void http1_init(struct http1 *http, enum http_parser_type type,
                size_t head_bytes_max, const struct http1_callbacks *callbacks,
                void *ctx);
void http1_destroy(struct http1 *http);

/// Prepares for the next message.
void http1_reset(struct http1 *http);

/// Parses bytes, at most up to the end of the message. Returns the number of
/// bytes consumed; sets `error` if the message is invalid.
size_t http1_feed(struct http1 *http, const char *bytes, size_t len);

/// The sender has closed the connection, which ends a body without length.
void http1_eof(struct http1 *http);

/// Parts of the head; the views are valid until http1_reset().
struct str http1_method(const struct http1 *http);
struct str http1_target(const struct http1 *http);
int http1_status(const struct http1 *http);
struct str http1_name_at(const struct http1 *http, size_t index);
struct str http1_value_at(const struct http1 *http, size_t index);

/// The value of the first field of this name, case-insensitive; empty if
/// absent.
struct str http1_value(const struct http1 *http, const char *name);

/// The number of field lines of this name.
size_t http1_count_fields(const struct http1 *http, const char *name);

/// True if the connection can be reused after this message.
bool http1_keeps_alive(const struct http1 *http);

/// True if the message has neither length nor chunks, so that the end of the
/// connection ends its body.
bool http1_ends_with_connection(const struct http1 *http);

/// True if the field is hop-by-hop, so that it is not forwarded.
bool http1_is_hop_by_hop(const struct http1 *http, struct str name);

/// True if the name of a field is a token. Servers disagree on whether "Name
/// :" is the field Name, so that forwarding it would allow request smuggling.
bool http1_is_token(struct str name);

/// True if the text has no control characters but tabs.
bool http1_is_field_value(struct str value);

/// True if an answer may have this status, interim ones included.
bool http1_is_status(int status);

/// True if the codings of a body, the value of Transfer-Encoding, can be
/// undone: others would be passed on as a part of the body.
bool http1_is_chunked(struct str codings);

bool str_equal_nocase(struct str a, const char *text);

/// Parses a non-negative decimal number of up to 18 digits; false on anything
/// else.
bool str_to_int64(struct str text, int64_t *value);
