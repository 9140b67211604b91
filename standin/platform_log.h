/// Stand-in for the platform: the append-only log and the VM list, with
/// injected faults.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/err.h"
#include "net/address.h"

struct event_base;
struct platform_log;

enum platform_log_fault {
    PLATFORM_LOG_OK,
    PLATFORM_LOG_REFUSE,      ///< appends and reads get 503
    PLATFORM_LOG_LOSE_ANSWER, ///< appends are stored, not answered
    PLATFORM_LOG_SILENT,      ///< appends are dropped, not answered;
                              ///< reads get 503
};

struct platform_log_options {
    struct event_base *base;
    const struct clock *clock;
    struct address address;
    int64_t wall_offset_ms; ///< added to the clock for Unix time
    int64_t retention_ms;
    int64_t append_delay_ms;
    int64_t appends_per_s;
    int64_t list_lag_ms;
    struct str vms; ///< JSON array, as docs/PLATFORM.md describes it
};

struct platform_log *
platform_log_new(const struct platform_log_options *options, struct err *err);
void platform_log_free(struct platform_log *log);

struct address platform_log_address(const struct platform_log *log);
void platform_log_set_fault(struct platform_log *log,
                            enum platform_log_fault fault);

/// Replaces the VM list; readers get it after list_lag_ms. False if the text
/// is not a JSON array.
bool platform_log_set_vms(struct platform_log *log, struct str json);

/// Appends a record as an operator's command does; returns its offset.
int64_t platform_log_append(struct platform_log *log, const char *stream,
                            struct str data);

uint64_t platform_log_appends(const struct platform_log *log);
