#include "http1.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/xmalloc.h"

#define TEXT_BYTES_INITIAL 1024

static struct http1 *
http1_of(http_parser *parser)
{
    return parser->data;
}

static bool
append_text(struct http1 *http, const char *at, size_t len)
{
    if (http->text_len + len > http->head_bytes_max) {
        http->error = HTTP1_HEAD_TOO_LARGE;
        return false;
    }
    if (http->text_len + len > http->text_capacity) {
        while (http->text_capacity < http->text_len + len) {
            http->text_capacity = http->text_capacity == 0
                                      ? TEXT_BYTES_INITIAL
                                      : 2 * http->text_capacity;
        }
        http->text = xrealloc(http->text, http->text_capacity);
    }
    memcpy(http->text + http->text_len, at, len);
    http->text_len += len;
    return true;
}

static int
on_begin(http_parser *parser)
{
    http1_of(parser)->started = true;
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t len)
{
    struct http1 *http = http1_of(parser);

    http->target_len += len;
    return append_text(http, at, len) ? 0 : 1;
}

static bool
is_part_of_token(const char *text, size_t len)
{
    static const char marks[] = "!#$%&'*+-.^_`|~";

    for (size_t i = 0; i < len; i++) {
        char byte = text[i];

        if (!(byte >= '0' && byte <= '9') && !(byte >= 'a' && byte <= 'z') &&
            !(byte >= 'A' && byte <= 'Z') &&
            (byte == '\0' || strchr(marks, byte) == NULL)) {
            return false;
        }
    }
    return true;
}

bool
http1_is_token(struct str name)
{
    return name.len > 0 && is_part_of_token(name.data, name.len);
}

bool
http1_is_field_value(struct str value)
{
    for (size_t i = 0; i < value.len; i++) {
        unsigned char byte = (unsigned char)value.data[i];

        if ((byte < ' ' && byte != '\t') || byte == 0x7f) {
            return false;
        }
    }
    return true;
}

bool
http1_is_status(int status)
{
    return status >= 100 && status <= 599;
}

bool
http1_is_chunked(struct str codings)
{
    return str_equal_nocase(codings, "chunked");
}

static int
on_field_name(http_parser *parser, const char *at, size_t len)
{
    struct http1 *http = http1_of(parser);

    if (!is_part_of_token(at, len)) {
        http->error = HTTP1_MALFORMED;
        return 1;
    }
    if (http->has_head) {
        // Trailers are dropped: no hop depends on them.
        return 0;
    }
    if (http->field_count == 0 || http->in_value) {
        if (http->field_count == HTTP1_FIELDS_MAX) {
            http->error = HTTP1_HEAD_TOO_LARGE;
            return 1;
        }
        http->fields[http->field_count++] = (struct http1_field){
            .name_at = (uint32_t)http->text_len,
        };
        http->in_value = false;
    }
    http->fields[http->field_count - 1].name_len += (uint32_t)len;
    return append_text(http, at, len) ? 0 : 1;
}

static int
on_field_value(http_parser *parser, const char *at, size_t len)
{
    struct http1 *http = http1_of(parser);
    struct http1_field *field;

    if (http->has_head) {
        return 0;
    }
    field = &http->fields[http->field_count - 1];
    if (!http->in_value) {
        field->value_at = (uint32_t)http->text_len;
        http->in_value = true;
    }
    field->value_len += (uint32_t)len;
    return append_text(http, at, len) ? 0 : 1;
}

static bool
is_answer_head(const struct http1 *http)
{
    size_t codings = http1_count_fields(http, "Transfer-Encoding");

    for (size_t i = 0; i < http->field_count; i++) {
        if (!http1_is_field_value(http1_value_at(http, i))) {
            return false;
        }
    }
    return http->parser.http_major == 1 &&
           http1_is_status(http1_status(http)) && codings <= 1 &&
           (codings == 0 ||
            http1_is_chunked(http1_value(http, "Transfer-Encoding")));
}

static int
on_head(http_parser *parser)
{
    struct http1 *http = http1_of(parser);

    if (http->parser.type == HTTP_RESPONSE && !is_answer_head(http)) {
        http->error = HTTP1_MALFORMED;
        http_parser_pause(parser, 1);
        return 0;
    }
    http->has_head = true;
    http->callbacks->head(http->ctx);
    return http->no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    struct http1 *http = http1_of(parser);

    http->callbacks->data(http->ctx, at, len);
    return 0;
}

static int
on_end(http_parser *parser)
{
    struct http1 *http = http1_of(parser);

    http->ended = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_end,
};

void
http1_init(struct http1 *http, enum http_parser_type type,
           size_t head_bytes_max, const struct http1_callbacks *callbacks,
           void *ctx)
{
    *http = (struct http1){
        .callbacks = callbacks,
        .ctx = ctx,
        .head_bytes_max = head_bytes_max,
    };
    http_parser_init(&http->parser, type);
    http->parser.data = http;
}

void
http1_destroy(struct http1 *http)
{
    free(http->text);
    http->text = NULL;
}

void
http1_reset(struct http1 *http)
{
    enum http_parser_type type = (enum http_parser_type)http->parser.type;

    http_parser_init(&http->parser, type);
    http->parser.data = http;
    http->text_len = 0;
    http->target_len = 0;
    http->field_count = 0;
    http->in_value = false;
    http->has_head = false;
    http->ended = false;
    http->started = false;
    http->error = HTTP1_OK;
}

size_t
http1_feed(struct http1 *http, const char *bytes, size_t len)
{
    size_t consumed;

    if (http->ended || http->error != HTTP1_OK || len == 0) {
        return 0;
    }
    consumed =
        http_parser_execute(&http->parser, &parser_settings, bytes, len);
    if (http->ended) {
        http->callbacks->end(http->ctx);
        return consumed;
    }
    if (http->parser.http_errno != HPE_OK || http->parser.upgrade) {
        if (http->error == HTTP1_OK) {
            http->error = HTTP1_MALFORMED;
        }
    }
    return consumed;
}

void
http1_eof(struct http1 *http)
{
    if (http->ended || http->error != HTTP1_OK || !http->has_head) {
        return;
    }
    http_parser_execute(&http->parser, &parser_settings, NULL, 0);
    if (http->ended) {
        http->callbacks->end(http->ctx);
    }
}

struct str
http1_method(const struct http1 *http)
{
    return str_from(http_method_str((enum http_method)http->parser.method));
}

struct str
http1_target(const struct http1 *http)
{
    return (struct str){http->text, http->target_len};
}

int
http1_status(const struct http1 *http)
{
    return (int)http->parser.status_code;
}

struct str
http1_name_at(const struct http1 *http, size_t index)
{
    const struct http1_field *field = &http->fields[index];

    return (struct str){http->text + field->name_at, field->name_len};
}

struct str
http1_value_at(const struct http1 *http, size_t index)
{
    const struct http1_field *field = &http->fields[index];

    return (struct str){http->text + field->value_at, field->value_len};
}

struct str
http1_value(const struct http1 *http, const char *name)
{
    for (size_t i = 0; i < http->field_count; i++) {
        if (str_equal_nocase(http1_name_at(http, i), name)) {
            return http1_value_at(http, i);
        }
    }
    return (struct str){0};
}

size_t
http1_count_fields(const struct http1 *http, const char *name)
{
    size_t count = 0;

    for (size_t i = 0; i < http->field_count; i++) {
        count += str_equal_nocase(http1_name_at(http, i), name) ? 1 : 0;
    }
    return count;
}

bool
http1_keeps_alive(const struct http1 *http)
{
    return http_should_keep_alive(&http->parser) != 0;
}

bool
http1_ends_with_connection(const struct http1 *http)
{
    return !http->no_body &&
           !(http->parser.flags & (F_CHUNKED | F_CONTENTLENGTH));
}

static bool
list_contains(struct str list, struct str name)
{
    size_t at = 0;

    while (at < list.len) {
        size_t start = at;
        size_t end;

        while (at < list.len && list.data[at] != ',') {
            at++;
        }
        end = at++;
        while (start < end && list.data[start] == ' ') {
            start++;
        }
        while (end > start && list.data[end - 1] == ' ') {
            end--;
        }
        if (end - start == name.len &&
            !strncasecmp(list.data + start, name.data, name.len)) {
            return true;
        }
    }
    return false;
}

bool
http1_is_hop_by_hop(const struct http1 *http, struct str name)
{
    static const char *const names[] = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Expect",
    };

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (str_equal_nocase(name, names[i])) {
            return true;
        }
    }
    return list_contains(http1_value(http, "Connection"), name);
}

bool
str_equal_nocase(struct str a, const char *text)
{
    return strlen(text) == a.len && !strncasecmp(a.data, text, a.len);
}

bool
str_to_int64(struct str text, int64_t *value)
{
    int64_t sum = 0;

    if (text.len == 0 || text.len > 18) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        if (text.data[i] < '0' || text.data[i] > '9') {
            return false;
        }
        sum = 10 * sum + (text.data[i] - '0');
    }
    *value = sum;
    return true;
}
