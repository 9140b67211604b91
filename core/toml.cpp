// The only C++ file of the library: no C reader for TOML can be had from the
// package manager, so toml++ stands behind a C interface.
#include <cstdarg>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <toml++/toml.h>

extern "C" {
#include "toml.h"
}

struct toml_table {
    toml_doc *doc;
    toml::table *table;
    std::string path;
    std::set<std::string, std::less<>> accessed_keys;
};

struct toml_doc {
    std::string file;
    toml::table root;
    std::map<const toml::table *, std::unique_ptr<toml_table>> tables;
};

static toml_table *
get_table(toml_doc *doc, toml::table *table, const std::string &path)
{
    auto &slot = doc->tables[table];

    if (!slot) {
        slot.reset(new toml_table{doc, table, path, {}});
    }
    return slot.get();
}

static std::string
key_path(const toml_table *table, const char *key)
{
    return table->path.empty() ? key : table->path + "." + key;
}

static unsigned
line_number(const toml::node &node)
{
    return static_cast<unsigned>(node.source().begin.line);
}

static void
set_error(toml_table *table, const char *key, struct err *err,
          const char *message)
{
    const toml::node *node = table->table->get(key);
    unsigned line = line_number(node != nullptr ? *node : *table->table);

    err_set(err, ERR_INPUT, "parse", table->doc->file.c_str(), "%s:%u: %s: %s",
            table->doc->file.c_str(), line > 0 ? line : 1,
            key_path(table, key).c_str(), message);
}

static toml::node *
lookup(toml_table *table, const char *key)
{
    table->accessed_keys.insert(key);
    return table->table->get(key);
}

extern "C" toml_doc *
toml_parse(struct str text, const char *file, struct err *err)
try {
    auto doc = std::make_unique<toml_doc>();

    doc->file = file;
    doc->root = toml::parse(std::string_view(text.data, text.len),
                            std::string_view(file));
    return doc.release();
} catch (const toml::parse_error &error) {
    const std::string message(error.description());

    err_set(err, ERR_INPUT, "parse", file, "%s:%u: %s", file,
            static_cast<unsigned>(error.source().begin.line), message.c_str());
    return nullptr;
} catch (const std::exception &error) {
    err_set(err, ERR_INPUT, "parse", file, "%s: %s", file, error.what());
    return nullptr;
}

extern "C" void
toml_free(toml_doc *doc)
{
    delete doc;
}

extern "C" toml_table *
toml_root(toml_doc *doc)
{
    return get_table(doc, &doc->root, "");
}

extern "C" toml_table *
toml_subtable(toml_table *table, const char *key, struct err *err)
{
    toml::node *node = lookup(table, key);

    if (node == nullptr) {
        return nullptr;
    }
    if (!node->is_table()) {
        set_error(table, key, err, "must be a table");
        return nullptr;
    }
    return get_table(table->doc, node->as_table(), key_path(table, key));
}

extern "C" size_t
toml_table_count(toml_table *table, const char *key, struct err *err)
{
    toml::node *node = lookup(table, key);

    if (node == nullptr) {
        return 0;
    }
    if (!node->is_array_of_tables()) {
        set_error(table, key, err, "must be an array of tables");
        return 0;
    }
    return node->as_array()->size();
}

extern "C" toml_table *
toml_table_at(toml_table *table, const char *key, size_t index)
{
    toml::node *node = lookup(table, key);
    toml::node *item = node->as_array()->get(index);

    return get_table(table->doc, item->as_table(),
                     key_path(table, key) + "[" + std::to_string(index) + "]");
}

extern "C" size_t
toml_string_count(toml_table *table, const char *key, struct err *err)
{
    toml::node *node = lookup(table, key);

    if (node == nullptr) {
        return 0;
    }
    if (!node->is_array() ||
        (!node->as_array()->empty() &&
         !node->as_array()->is_homogeneous(toml::node_type::string))) {
        set_error(table, key, err, "must be an array of strings");
        return 0;
    }
    return node->as_array()->size();
}

extern "C" struct str
toml_string_at(toml_table *table, const char *key, size_t index)
{
    const auto *text =
        table->table->get(key)->as_array()->get(index)->as_string();

    return {text->get().data(), text->get().size()};
}

extern "C" bool
toml_has(const toml_table *table, const char *key)
{
    return table->table->get(key) != nullptr;
}

extern "C" void
toml_get_string(toml_table *table, const char *key, struct str *out,
                struct err *err)
{
    toml::node *node = lookup(table, key);

    if (node == nullptr) {
        return;
    }
    if (!node->is_string()) {
        set_error(table, key, err, "must be a string");
        return;
    }
    const std::string &text = node->as_string()->get();

    *out = {text.data(), text.size()};
}

extern "C" void
toml_get_int(toml_table *table, const char *key, int64_t min, int64_t max,
             int64_t *out, struct err *err)
{
    toml::node *node = lookup(table, key);

    if (node == nullptr) {
        return;
    }
    if (!node->is_integer()) {
        set_error(table, key, err, "must be an integer");
        return;
    }
    int64_t value = node->as_integer()->get();

    if (value < min || value > max) {
        toml_error(table, key, err, "must be from %lld to %lld, not %lld",
                   static_cast<long long>(min), static_cast<long long>(max),
                   static_cast<long long>(value));
        return;
    }
    *out = value;
}

extern "C" void
toml_get_double(toml_table *table, const char *key, double min, double max,
                double *out, struct err *err)
{
    toml::node *node = lookup(table, key);

    if (node == nullptr) {
        return;
    }
    if (!node->is_number()) {
        set_error(table, key, err, "must be a number");
        return;
    }
    double value = node->is_integer()
                       ? static_cast<double>(node->as_integer()->get())
                       : node->as_floating_point()->get();

    if (!(value >= min && value <= max)) {
        toml_error(table, key, err, "must be from %g to %g, not %g", min, max,
                   value);
        return;
    }
    *out = value;
}

extern "C" void
toml_get_bool(toml_table *table, const char *key, bool *out, struct err *err)
{
    toml::node *node = lookup(table, key);

    if (node == nullptr) {
        return;
    }
    if (!node->is_boolean()) {
        set_error(table, key, err, "must be true or false");
        return;
    }
    *out = node->as_boolean()->get();
}

extern "C" void
toml_require(toml_table *table, const char *key, struct err *err)
{
    if (!toml_has(table, key)) {
        set_error(table, key, err, "is missing");
    }
}

static bool
check_table(toml_doc *doc, const toml::table *table, struct err *err)
{
    auto found = doc->tables.find(table);

    for (auto &&[key, node] : *table) {
        const std::string name(key.str());

        if (found == doc->tables.end() ||
            !found->second->accessed_keys.count(name)) {
            std::string path =
                found == doc->tables.end()
                    ? name
                    : key_path(found->second.get(), name.c_str());

            return err_set(err, ERR_INPUT, "parse", doc->file.c_str(),
                           "%s:%u: %s: unknown key", doc->file.c_str(),
                           line_number(node), path.c_str());
        }
        if (node.is_table() && !check_table(doc, node.as_table(), err)) {
            return false;
        }
        if (node.is_array_of_tables()) {
            for (auto &item : *node.as_array()) {
                if (!check_table(doc, item.as_table(), err)) {
                    return false;
                }
            }
        }
    }
    return true;
}

extern "C" bool
toml_check_unknown(toml_doc *doc, struct err *err)
{
    return check_table(doc, &doc->root, err);
}

extern "C" void
toml_error(toml_table *table, const char *key, struct err *err,
           const char *fmt, ...)
{
    char message[200];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(message, sizeof(message), fmt, ap);
    va_end(ap);
    set_error(table, key, err, message);
}
