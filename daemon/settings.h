/// Checked settings of the daemons, read from TOML files.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "net/address.h"
#include "net/link.h"
#include "net/log.h"

struct toml_doc;

/// Settings of both routers and agents.
struct settings_common {
    struct str name;
    struct str zone;
    struct str environment;
    enum log_level log_level;
    struct address platform;
    struct address admin;
    struct link_keys keys;
    bool has_control;
    struct address control;
    int64_t control_bytes_per_s;
};

struct settings_router {
    struct settings_common common;
    struct address callers;
    int64_t header_bytes_max;
    int64_t body_bytes_max;
    int64_t caller_timeout_s;
    int64_t drain_wait_ms; ///< from failing readiness to closing the listener
};

struct settings_agent {
    struct settings_common common;
    struct address links;
    struct address endpoint;
    struct str pool;
    int64_t slots;
    bool has_load_report;
    bool checks_fencing;
};

#define SETTINGS_SEEDS_MAX 8

/// A router that calls its endpoints itself.
struct settings_direct {
    struct str name;
    struct str zone;
    enum log_level log_level;
    struct address store;
    struct address callers;
    struct address ready;
    bool has_metrics;
    struct address metrics;
    bool has_links;
    struct address links; ///< listen address for links of other routers
    struct link_keys keys;
    struct address seeds[SETTINGS_SEEDS_MAX];
    size_t seed_count;
    bool share_ejections; ///< report ejected endpoints to the peers
    int64_t grace_ms;     ///< from SIGTERM to the end of the process
    int64_t budget_window_ms;
    double budget_ratio;  ///< retries as a share of the requests
    int64_t budget_slack; ///< further retries, shared by all routers
    int64_t settle_ms;    ///< of the store after a disruption
    double cap_factor;    ///< load bound of an endpoint over the mean load
    bool shares; ///< an overloaded service's capacity is shared by account
    /// Bound on requests to a cold endpoint in any second, of all routers: its
    /// rate times the factor, plus the slack.
    double cold_rate_factor;
    double cold_slack;
    int64_t memory_bytes;    ///< of the machine; 0: not stated
    int64_t descriptors_max; ///< of the process; 0: not stated
    bool even_load;          ///< estimate the loads that no report contains
};

struct settings_standin_group {
    struct str prefix;
    struct str kind;
    struct address first; ///< each further endpoint has the next one
    int64_t count;
    int64_t slots;
    int64_t prefill_us_per_token;
    int64_t decode_us_per_token;
    int64_t cache_tokens;
    bool checks_fencing;
};

struct settings_standin {
    struct str name;
    enum log_level log_level;
    struct address platform;
    int64_t retention_ms;
    int64_t append_delay_ms;
    int64_t appends_per_s;
    int64_t list_lag_ms;
    struct str vms; ///< JSON text of the VM list
    struct settings_standin_group *groups;
    size_t group_count;
};

struct settings_load {
    struct str name;
    enum log_level log_level;
    struct address *callers;
    size_t caller_count;
    struct str *keys;
    size_t key_count;
    int64_t seed;
    int64_t chats;
    int64_t connections;
    int64_t idle_connections; ///< if set, only opens and holds so many
    int64_t requests;
    int64_t bookings_percent;
    int64_t resend_percent;
    int64_t archives;
    int64_t prompt_bytes;
    int64_t max_tokens;
    double zipf_exponent;
    struct str chat_path;
    struct str booking_path;
    struct str model;
    bool send_hint;
    bool stream;
    struct str csv;
    struct str *admins; ///< admin addresses of routers
    size_t admin_count;
    struct str *engines; ///< endpoints whose ledgers are read at the end
    size_t engine_count;
    struct str *services;
    size_t service_count;
};

/// Each reads and checks a settings file. On false `err` names file, line and
/// key. The strings belong to *doc, which the caller frees with toml_free().
bool settings_read_router(const char *file, struct settings_router *settings,
                          struct toml_doc **doc, struct err *err);
bool settings_read_direct(const char *file, struct settings_direct *settings,
                          struct toml_doc **doc, struct err *err);
bool settings_read_agent(const char *file, struct settings_agent *settings,
                         struct toml_doc **doc, struct err *err);
bool settings_read_standin(const char *file, struct settings_standin *settings,
                           struct toml_doc **doc, struct err *err);
bool settings_read_load(const char *file, struct settings_load *settings,
                        struct toml_doc **doc, struct err *err);

void settings_destroy_load(struct settings_load *settings);

/// Reads a whole file; the caller frees .data. False with `err` set.
bool settings_read_file(const char *file, struct str *text, struct err *err);
