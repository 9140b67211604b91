#include "dandelionvalve/str.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "xmalloc.h"

struct str
str_from(const char *text)
{
    return (struct str){text, text != NULL ? strlen(text) : 0};
}

bool
str_equal(struct str a, struct str b)
{
    return a.len == b.len && (a.len == 0 || !memcmp(a.data, b.data, a.len));
}

bool
str_equal_c(struct str a, const char *text)
{
    return str_equal(a, str_from(text));
}

bool
str_starts_with(struct str s, const char *prefix)
{
    size_t len = strlen(prefix);

    return s.len >= len && (len == 0 || !memcmp(s.data, prefix, len));
}

char *
str_dup(struct str s)
{
    return xstrndup(s.data, s.len);
}

struct str
str_copy(struct str s)
{
    return (struct str){xstrndup(s.data, s.len), s.len};
}

uint64_t
str_hash(struct str s, uint64_t seed)
{
    return XXH64(s.data, s.len, seed);
}

void
hex_encode(const void *data, size_t len, char *out)
{
    static const char digits[] = "0123456789abcdef";
    const unsigned char *bytes = data;

    for (size_t i = 0; i < len; i++) {
        out[2 * i] = digits[bytes[i] >> 4];
        out[2 * i + 1] = digits[bytes[i] & 15];
    }
    out[2 * len] = '\0';
}

static int
hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

bool
hex_decode(struct str hex, void *out, size_t len)
{
    unsigned char *bytes = out;

    if (hex.len != 2 * len) {
        return false;
    }
    for (size_t i = 0; i < len; i++) {
        int high = hex_digit(hex.data[2 * i]);
        int low = hex_digit(hex.data[2 * i + 1]);

        if (high < 0 || low < 0) {
            return false;
        }
        bytes[i] = (unsigned char)(high << 4 | low);
    }
    return true;
}
