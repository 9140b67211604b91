/// Checked reading of TOML: every access names file, line and key in its
/// error, and keys that nobody asked for are errors.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

struct toml_doc;
struct toml_table;

/// Parses a document; NULL with `err` set on a syntax error. `file` is used
/// in errors only. The caller frees with toml_free().
struct toml_doc *toml_parse(struct str text, const char *file,
                            struct err *err);
void toml_free(struct toml_doc *doc);

/// The document's root; lives as long as the document.
struct toml_table *toml_root(struct toml_doc *doc);

/// A sub-table, or NULL if absent. Wrong types set `err`.
struct toml_table *toml_subtable(struct toml_table *table, const char *key,
                                 struct err *err);

/// The number of tables in an array of tables; 0 if absent.
size_t toml_table_count(struct toml_table *table, const char *key,
                        struct err *err);
struct toml_table *toml_table_at(struct toml_table *table, const char *key,
                                 size_t index);

/// The number of strings in an array of strings; 0 if absent.
size_t toml_string_count(struct toml_table *table, const char *key,
                         struct err *err);
struct str toml_string_at(struct toml_table *table, const char *key,
                          size_t index);

bool toml_has(const struct toml_table *table, const char *key);

/// These leave *out as it is if the key is absent; a wrong type or a value
/// out of range sets `err`. Strings are views into the document.
void toml_get_string(struct toml_table *table, const char *key,
                     struct str *out, struct err *err);
void toml_get_int(struct toml_table *table, const char *key, int64_t min,
                  int64_t max, int64_t *out, struct err *err);
void toml_get_double(struct toml_table *table, const char *key, double min,
                     double max, double *out, struct err *err);
void toml_get_bool(struct toml_table *table, const char *key, bool *out,
                   struct err *err);

/// Sets `err` if the key is absent.
void toml_require(struct toml_table *table, const char *key, struct err *err);

/// Sets `err` with the file, line and name of a key of this document that no
/// call above has asked for.
bool toml_check_unknown(struct toml_doc *doc, struct err *err);

/// Sets an input error that points at a key of this table.
void toml_error(struct toml_table *table, const char *key, struct err *err,
                const char *fmt, ...) __attribute__((format(printf, 4, 5)));
