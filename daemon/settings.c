#include "settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/toml.h"
#include "core/xmalloc.h"

#define FILE_BYTES_MAX (64 * 1024 * 1024)
#define CONTROL_BYTES_PER_S_DEFAULT 3000
#define BYTES_PER_MB 1000000
/// A router with its configuration needs some 10 MB before any client.
#define MEMORY_MB_MIN 16
#define MEMORY_MB_MAX 1000000
/// Listeners, the store, links and a few callers with their endpoints.
#define DESCRIPTORS_MIN 64
#define DESCRIPTORS_MAX 1000000
#define COLD_RATE_FACTOR_MIN 0.01
#define COLD_RATE_FACTOR_MAX 1000
#define COLD_SLACK_MAX 1000000

bool
settings_read_file(const char *file, struct str *text, struct err *err)
{
    FILE *in = fopen(file, "rb");
    char *data = NULL;
    size_t len = 0;
    size_t read;

    if (in == NULL) {
        return err_set(err, ERR_INPUT, "read", file, "%s: %s", file,
                       strerror(errno));
    }
    do {
        data = xrealloc(data, len + 65536);
        read = fread(data + len, 1, 65536, in);
        len += read;
    } while (read > 0 && len < FILE_BYTES_MAX);
    if (ferror(in) || len >= FILE_BYTES_MAX) {
        err_set(err, ERR_INPUT, "read", file,
                "%s: cannot be read, or has 64 MiB or more", file);
        fclose(in);
        free(data);
        return false;
    }
    fclose(in);
    *text = (struct str){data, len};
    return true;
}

static struct toml_doc *
open_doc(const char *file, struct err *err)
{
    struct toml_doc *doc;
    struct str text;

    if (!settings_read_file(file, &text, err)) {
        return NULL;
    }
    doc = toml_parse(text, file, err);
    free((char *)text.data);
    return doc;
}

static bool
close_doc(struct toml_doc *doc, struct toml_doc **out, struct err *err)
{
    if (err->code == ERR_NONE) {
        toml_check_unknown(doc, err);
    }
    if (err->code != ERR_NONE) {
        toml_free(doc);
        return false;
    }
    *out = doc;
    return true;
}

static void
require_string(struct toml_table *table, const char *key, struct str *out,
               struct err *err)
{
    toml_require(table, key, err);
    toml_get_string(table, key, out, err);
    if (err->code == ERR_NONE && out->len == 0) {
        toml_error(table, key, err, "must not be empty");
    }
}

static bool
get_address(struct toml_table *table, const char *key, struct address *address,
            struct err *err)
{
    struct str text = {0};
    struct err bad = {0};

    toml_get_string(table, key, &text, err);
    if (text.data == NULL) {
        return false;
    }
    if (!address_parse(text, address, &bad)) {
        toml_error(table, key, err, "%s", bad.message);
        return false;
    }
    return true;
}

static void
require_address(struct toml_table *table, const char *key,
                struct address *address, struct err *err)
{
    toml_require(table, key, err);
    get_address(table, key, address, err);
}

static struct toml_table *
require_table(struct toml_table *root, const char *key, struct err *err)
{
    toml_require(root, key, err);
    return toml_subtable(root, key, err);
}

static void
get_log_level(struct toml_table *root, enum log_level *level, struct err *err)
{
    struct str text = {0};
    char *name;

    *level = LOG_LEVEL_INFO;
    toml_get_string(root, "log_level", &text, err);
    if (text.data == NULL) {
        return;
    }
    name = str_dup(text);
    if (!log_parse_level(name, level)) {
        toml_error(root, "log_level", err,
                   "must be error, warning, info or debug");
    }
    free(name);
}

static void
get_link_keys(struct toml_table *control, struct link_keys *keys,
              struct err *err)
{
    size_t count = toml_string_count(control, "keys", err);

    if (count == 0 || count > LINK_KEYS_MAX) {
        toml_error(control, "keys", err, "needs 1 to %d keys", LINK_KEYS_MAX);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        if (!hex_decode(toml_string_at(control, "keys", i), keys->keys[i],
                        LINK_KEY_BYTES)) {
            toml_error(control, "keys", err, "key %zu must be %d hex digits",
                       i + 1, 2 * LINK_KEY_BYTES);
            return;
        }
    }
    keys->count = count;
}

static void
read_common(struct toml_table *root, struct settings_common *common,
            struct err *err)
{
    struct toml_table *control;

    *common = (struct settings_common){
        .control_bytes_per_s = CONTROL_BYTES_PER_S_DEFAULT,
    };
    require_string(root, "name", &common->name, err);
    require_string(root, "zone", &common->zone, err);
    require_string(root, "environment", &common->environment, err);
    require_address(root, "platform", &common->platform, err);
    require_address(root, "admin", &common->admin, err);
    get_log_level(root, &common->log_level, err);
    control = require_table(root, "control", err);
    if (control == NULL) {
        return;
    }
    get_link_keys(control, &common->keys, err);
    common->has_control =
        get_address(control, "address", &common->control, err);
    toml_get_int(control, "bytes_per_s", 200, 1000000,
                 &common->control_bytes_per_s, err);
}

bool
settings_read_router(const char *file, struct settings_router *settings,
                     struct toml_doc **out, struct err *err)
{
    struct toml_doc *doc = open_doc(file, err);
    struct toml_table *root, *callers;

    if (doc == NULL) {
        return false;
    }
    *settings = (struct settings_router){
        .header_bytes_max = 16384,
        .body_bytes_max = 16 * 1024 * 1024,
        .caller_timeout_s = 60,
        .drain_wait_ms = 2000,
    };
    root = toml_root(doc);
    read_common(root, &settings->common, err);
    callers = require_table(root, "callers", err);
    if (callers != NULL) {
        require_address(callers, "address", &settings->callers, err);
        toml_get_int(callers, "header_bytes_max", 256, 262144,
                     &settings->header_bytes_max, err);
        toml_get_int(callers, "body_bytes_max", 0, 16 * 1024 * 1024,
                     &settings->body_bytes_max, err);
        toml_get_int(callers, "timeout_s", 1, 86400,
                     &settings->caller_timeout_s, err);
        toml_get_int(callers, "drain_wait_ms", 0, 3600000,
                     &settings->drain_wait_ms, err);
    }
    return close_doc(doc, out, err);
}

static void
read_links(struct toml_table *root, struct settings_direct *settings,
           struct err *err)
{
    struct toml_table *links = toml_subtable(root, "links", err);
    size_t count;

    if (links == NULL) {
        return;
    }
    settings->has_links = get_address(links, "address", &settings->links, err);
    get_link_keys(links, &settings->keys, err);
    count = toml_string_count(links, "seeds", err);
    for (size_t i = 0; i < count && i < SETTINGS_SEEDS_MAX; i++) {
        struct err bad = {0};

        if (!address_parse(toml_string_at(links, "seeds", i),
                           &settings->seeds[i], &bad)) {
            toml_error(links, "seeds", err, "%s", bad.message);
            return;
        }
        settings->seed_count = i + 1;
    }
    toml_get_bool(links, "share_ejections", &settings->share_ejections, err);
}

static void
read_bounds(struct toml_table *root, struct settings_direct *settings,
            struct err *err)
{
    struct toml_table *bounds = toml_subtable(root, "bounds", err);
    double grace_s = (double)settings->grace_ms / 1000;
    double window_s = (double)settings->budget_window_ms / 1000;
    double slack = (double)settings->budget_slack;
    double settle_ms = (double)settings->settle_ms;

    if (bounds == NULL) {
        return;
    }
    toml_get_double(bounds, "grace_s", 0.1, 3600, &grace_s, err);
    toml_get_double(bounds, "retry_window_s", 0.1, 3600, &window_s, err);
    toml_get_double(bounds, "retry_ratio", 0, 10, &settings->budget_ratio,
                    err);
    toml_get_double(bounds, "retry_slack", 0, 1000000, &slack, err);
    toml_get_double(bounds, "store_settle_ms", 100, 3600000, &settle_ms, err);
    toml_get_double(bounds, "load_cap_factor", 1, 100, &settings->cap_factor,
                    err);
    toml_get_double(bounds, "cold_rate_factor", COLD_RATE_FACTOR_MIN,
                    COLD_RATE_FACTOR_MAX, &settings->cold_rate_factor, err);
    toml_get_double(bounds, "cold_slack", 0, COLD_SLACK_MAX,
                    &settings->cold_slack, err);
    settings->grace_ms = (int64_t)(1000 * grace_s);
    settings->budget_window_ms = (int64_t)(1000 * window_s);
    settings->budget_slack = (int64_t)slack;
    settings->settle_ms = (int64_t)settle_ms;
}

/// Reads a boolean of a table that may be missing.
static void
get_bool_in(struct toml_table *root, const char *table, const char *name,
            bool *value, struct err *err)
{
    struct toml_table *found = toml_subtable(root, table, err);

    if (found != NULL) {
        toml_get_bool(found, name, value, err);
    }
}

static void
read_memory(struct toml_table *root, struct settings_direct *settings,
            struct err *err)
{
    struct toml_table *memory = toml_subtable(root, "memory", err);
    double limit_mb = (double)settings->memory_bytes / BYTES_PER_MB;
    double descriptors_max = (double)settings->descriptors_max;

    if (memory == NULL) {
        return;
    }
    toml_get_double(memory, "limit_mb", MEMORY_MB_MIN, MEMORY_MB_MAX,
                    &limit_mb, err);
    toml_get_double(memory, "descriptors_max", DESCRIPTORS_MIN,
                    DESCRIPTORS_MAX, &descriptors_max, err);
    settings->memory_bytes = (int64_t)(BYTES_PER_MB * limit_mb);
    settings->descriptors_max = (int64_t)descriptors_max;
}

/// A number that the environment states for settings which the file leaves
/// out. An empty variable counts as none.
static void
get_environment(const char *name, double min, double max, double *value,
                struct err *err)
{
    const char *text = getenv(name);
    char *end = NULL;
    double number;

    if (text == NULL || *text == '\0') {
        return;
    }
    number = strtod(text, &end);
    if (*end != '\0' || !(number >= min && number <= max)) {
        err_set(err, ERR_INPUT, "settings", name,
                "environment variable %s: '%s' is no number from %g to %g",
                name, text, min, max);
        return;
    }
    *value = number;
}

/// Reads defaults of settings that some platforms do not state: the template
/// of the settings file has no values for them there.
static void
read_environment(struct settings_direct *settings, struct err *err)
{
    double limit_mb = 0;
    double descriptors_max = 0;

    get_environment("DVDIRECT_COLD_RATE_FACTOR", COLD_RATE_FACTOR_MIN,
                    COLD_RATE_FACTOR_MAX, &settings->cold_rate_factor, err);
    get_environment("DVDIRECT_COLD_SLACK", 0, COLD_SLACK_MAX,
                    &settings->cold_slack, err);
    get_environment("DVDIRECT_MEMORY_LIMIT_MB", MEMORY_MB_MIN, MEMORY_MB_MAX,
                    &limit_mb, err);
    get_environment("DVDIRECT_DESCRIPTORS_MAX", DESCRIPTORS_MIN,
                    DESCRIPTORS_MAX, &descriptors_max, err);
    settings->memory_bytes = (int64_t)(BYTES_PER_MB * limit_mb);
    settings->descriptors_max = (int64_t)descriptors_max;
}

bool
settings_read_direct(const char *file, struct settings_direct *settings,
                     struct toml_doc **out, struct err *err)
{
    struct toml_doc *doc = open_doc(file, err);
    struct toml_table *root;

    if (doc == NULL) {
        return false;
    }
    *settings = (struct settings_direct){
        .grace_ms = 8000,
        .settle_ms = 3000,
        .budget_window_ms = 10000,
        .budget_ratio = 0.1,
        .cap_factor = 2,
        .cold_rate_factor = 1,
    };
    read_environment(settings, err);
    root = toml_root(doc);
    require_string(root, "name", &settings->name, err);
    require_string(root, "zone", &settings->zone, err);
    get_log_level(root, &settings->log_level, err);
    require_address(root, "store", &settings->store, err);
    require_address(root, "callers", &settings->callers, err);
    require_address(root, "ready", &settings->ready, err);
    settings->has_metrics =
        get_address(root, "metrics", &settings->metrics, err);
    read_links(root, settings, err);
    read_bounds(root, settings, err);
    get_bool_in(root, "admission", "shares", &settings->shares, err);
    read_memory(root, settings, err);
    get_bool_in(root, "placement", "even_load", &settings->even_load, err);
    return close_doc(doc, out, err);
}

bool
settings_read_agent(const char *file, struct settings_agent *settings,
                    struct toml_doc **out, struct err *err)
{
    struct toml_doc *doc = open_doc(file, err);
    struct toml_table *root, *endpoint;

    if (doc == NULL) {
        return false;
    }
    *settings = (struct settings_agent){.slots = 16};
    root = toml_root(doc);
    read_common(root, &settings->common, err);
    require_address(root, "links", &settings->links, err);
    endpoint = require_table(root, "endpoint", err);
    if (endpoint != NULL) {
        require_address(endpoint, "address", &settings->endpoint, err);
        require_string(endpoint, "pool", &settings->pool, err);
        toml_get_int(endpoint, "slots", 1, 100000, &settings->slots, err);
        toml_get_bool(endpoint, "load_report", &settings->has_load_report,
                      err);
        toml_get_bool(endpoint, "checks_fencing", &settings->checks_fencing,
                      err);
    }
    return close_doc(doc, out, err);
}

static void
read_group(struct toml_table *table, struct settings_standin_group *group,
           struct err *err)
{
    *group = (struct settings_standin_group){
        .count = 1,
        .slots = 16,
        .prefill_us_per_token = 20,
        .decode_us_per_token = 2000,
        .cache_tokens = 200000,
    };
    require_string(table, "prefix", &group->prefix, err);
    require_string(table, "kind", &group->kind, err);
    if (err->code == ERR_NONE && !str_equal_c(group->kind, "engine") &&
        !str_equal_c(group->kind, "service")) {
        toml_error(table, "kind", err, "must be engine or service");
    }
    require_address(table, "first", &group->first, err);
    toml_get_int(table, "count", 1, 250, &group->count, err);
    toml_get_int(table, "slots", 1, 100000, &group->slots, err);
    toml_get_int(table, "prefill_us_per_token", 0, 1000000,
                 &group->prefill_us_per_token, err);
    toml_get_int(table, "decode_us_per_token", 0, 10000000,
                 &group->decode_us_per_token, err);
    toml_get_int(table, "cache_tokens", 0, 1LL << 40, &group->cache_tokens,
                 err);
    toml_get_bool(table, "checks_fencing", &group->checks_fencing, err);
}

bool
settings_read_standin(const char *file, struct settings_standin *settings,
                      struct toml_doc **out, struct err *err)
{
    struct toml_doc *doc = open_doc(file, err);
    struct toml_table *root;

    if (doc == NULL) {
        return false;
    }
    *settings = (struct settings_standin){
        .name = STR_LITERAL("standin"),
        .retention_ms = 24 * 3600 * 1000LL,
        .appends_per_s = 400,
        .vms = STR_LITERAL("[]"),
    };
    root = toml_root(doc);
    toml_get_string(root, "name", &settings->name, err);
    get_log_level(root, &settings->log_level, err);
    require_address(root, "platform", &settings->platform, err);
    toml_get_int(root, "retention_ms", 100, 1LL << 40, &settings->retention_ms,
                 err);
    toml_get_int(root, "append_delay_ms", 0, 60000, &settings->append_delay_ms,
                 err);
    toml_get_int(root, "appends_per_s", 1, 1000000, &settings->appends_per_s,
                 err);
    toml_get_int(root, "list_lag_ms", 0, 3600000, &settings->list_lag_ms, err);
    toml_get_string(root, "vms", &settings->vms, err);
    settings->group_count = toml_table_count(root, "group", err);
    settings->groups =
        xcalloc(settings->group_count, sizeof(*settings->groups));
    for (size_t i = 0; i < settings->group_count; i++) {
        read_group(toml_table_at(root, "group", i), &settings->groups[i], err);
    }
    if (!close_doc(doc, out, err)) {
        free(settings->groups);
        settings->groups = NULL;
        return false;
    }
    return true;
}

static struct str *
read_list(struct toml_table *root, const char *key, size_t *count,
          struct err *err)
{
    struct str *list;

    *count = toml_string_count(root, key, err);
    list = xcalloc(*count, sizeof(*list));
    for (size_t i = 0; i < *count; i++) {
        list[i] = toml_string_at(root, key, i);
    }
    return list;
}

static void
read_load_targets(struct toml_table *root, struct settings_load *settings,
                  struct err *err)
{
    settings->caller_count = toml_string_count(root, "routers", err);
    settings->callers =
        xcalloc(settings->caller_count, sizeof(*settings->callers));
    for (size_t i = 0; i < settings->caller_count; i++) {
        struct err bad = {0};

        if (!address_parse(toml_string_at(root, "routers", i),
                           &settings->callers[i], &bad)) {
            toml_error(root, "routers", err, "%s", bad.message);
        }
    }
    settings->keys = read_list(root, "keys", &settings->key_count, err);
    settings->admins = read_list(root, "admins", &settings->admin_count, err);
    settings->engines =
        read_list(root, "engines", &settings->engine_count, err);
    settings->services =
        read_list(root, "services", &settings->service_count, err);
    if (settings->caller_count == 0 || settings->key_count == 0) {
        toml_error(root, "routers", err,
                   "routers and keys need at least one entry each");
    }
}

bool
settings_read_load(const char *file, struct settings_load *settings,
                   struct toml_doc **out, struct err *err)
{
    struct toml_doc *doc = open_doc(file, err);
    struct toml_table *root;

    if (doc == NULL) {
        return false;
    }
    *settings = (struct settings_load){
        .name = STR_LITERAL("load"),
        .seed = 1,
        .chats = 1000,
        .connections = 64,
        .requests = 2000,
        .prompt_bytes = 2000,
        .archives = 50,
        .max_tokens = 8,
        .zipf_exponent = 1.01,
        .chat_path = STR_LITERAL("/v1/chat/completions"),
        .booking_path = STR_LITERAL(""),
        .model = STR_LITERAL(""),
        .send_hint = true,
        .stream = true,
    };
    root = toml_root(doc);
    toml_get_string(root, "name", &settings->name, err);
    get_log_level(root, &settings->log_level, err);
    read_load_targets(root, settings, err);
    toml_get_int(root, "seed", 0, INT64_MAX, &settings->seed, err);
    toml_get_int(root, "chats", 1, 100000000, &settings->chats, err);
    toml_get_int(root, "connections", 1, 20000, &settings->connections, err);
    toml_get_int(root, "idle_connections", 0, 100000,
                 &settings->idle_connections, err);
    toml_get_int(root, "requests", 1, 10000000, &settings->requests, err);
    toml_get_int(root, "bookings_percent", 0, 100, &settings->bookings_percent,
                 err);
    toml_get_int(root, "resend_percent", 0, 100, &settings->resend_percent,
                 err);
    toml_get_int(root, "archives", 1, 1000000, &settings->archives, err);
    toml_get_int(root, "prompt_bytes", 1, 1000000, &settings->prompt_bytes,
                 err);
    toml_get_int(root, "max_tokens", 1, 100000, &settings->max_tokens, err);
    toml_get_double(root, "zipf_exponent", 1.001, 10, &settings->zipf_exponent,
                    err);
    toml_get_string(root, "chat_path", &settings->chat_path, err);
    toml_get_string(root, "booking_path", &settings->booking_path, err);
    toml_get_string(root, "model", &settings->model, err);
    toml_get_bool(root, "send_hint", &settings->send_hint, err);
    toml_get_bool(root, "stream", &settings->stream, err);
    toml_get_string(root, "csv", &settings->csv, err);
    if (!close_doc(doc, out, err)) {
        settings_destroy_load(settings);
        return false;
    }
    return true;
}

void
settings_destroy_load(struct settings_load *settings)
{
    free(settings->callers);
    free(settings->keys);
    free(settings->admins);
    free(settings->engines);
    free(settings->services);
}
