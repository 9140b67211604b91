/// String views: a pointer and a length, which own nothing.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// A view of bytes, not necessarily NUL-terminated.
struct str {
    const char *data;
    size_t len;
};

#define STR_FMT "%.*s"
#define STR_ARG(s) (int)(s).len, (s).data
#define STR_LITERAL(text) ((struct str){(text), sizeof(text) - 1})

/// A view of a NUL-terminated string; empty for NULL.
struct str str_from(const char *text);

bool str_equal(struct str a, struct str b);
bool str_equal_c(struct str a, const char *text);
bool str_starts_with(struct str s, const char *prefix);

/// A NUL-terminated copy that the caller frees with free().
char *str_dup(struct str s);

/// A view of a NUL-terminated copy; the caller frees .data with free().
struct str str_copy(struct str s);

/// XXH64 of the bytes; the same on every machine.
uint64_t str_hash(struct str s, uint64_t seed);

/// Writes 2*len lower-case hex digits and a NUL to out.
void hex_encode(const void *data, size_t len, char *out);

/// Decodes exactly 2*len hex digits to `len` bytes; false for other input, of
/// which some bytes may have been written.
bool hex_decode(struct str hex, void *out, size_t len);
