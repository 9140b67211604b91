/// The platform's log and VM list. All that depends on the platform's wire
/// format is in platform.c, so that another platform is one file.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "address.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/str.h"

struct event_base;
struct platform;

struct platform_options {
    struct event_base *base;
    struct address address;
    struct counters *counters;
    bool is_control_traffic; ///< its bytes are control traffic
    int64_t timeout_ms;      ///< time limit of a call, the wait not included
};

enum platform_status {
    PLATFORM_OK,
    PLATFORM_NOT_EXECUTED, ///< the platform has not executed the call
    PLATFORM_UNKNOWN,      ///< no response: the call may have been executed
};

struct platform_record {
    int64_t offset;
    int64_t time_ms; ///< when the log took it, on the platform's clock
    struct str data;
};

/// A part of a stream. `first` and `end` bound what the log still holds.
struct platform_page {
    int64_t first;
    int64_t end;
    int64_t retention_ms;
    int64_t now_ms; ///< the platform's clock
    const struct platform_record *records;
    size_t count;
};

enum platform_role {
    PLATFORM_ROLE_ROUTER,
    PLATFORM_ROLE_AGENT,
};

struct platform_vm {
    struct str name;
    enum platform_role role;
    struct str zone;
    struct str pool;    ///< agents
    struct str address; ///< agents: where links go
    struct str control; ///< control datagrams
    struct str admin;   ///< health, metrics and status
    uint32_t weight;    ///< agents: slots of the endpoint
    bool leaving;
};

typedef void platform_append_cb(void *ctx, enum platform_status status,
                                int64_t offset);
/// `page` is NULL if the read failed.
typedef void platform_read_cb(void *ctx, const struct platform_page *page);
/// `vms` is NULL if the list was not read or has not changed.
typedef void platform_read_vms_cb(void *ctx, bool ok, int64_t version,
                                  const struct platform_vm *vms, size_t count);

/// The caller frees with platform_free(), which drops calls silently.
struct platform *platform_new(const struct platform_options *options);
void platform_free(struct platform *platform);

void platform_append(struct platform *platform, struct str stream,
                     struct str data, platform_append_cb *callback, void *ctx);

/// Reads records from `from` on, at most `count_max`; waits up to `wait_ms`
/// for the first one.
void platform_read(struct platform *platform, struct str stream, int64_t from,
                   size_t count_max, int64_t wait_ms,
                   platform_read_cb *callback, void *ctx);

/// Reads the VM list if its version is not `known_version`.
void platform_read_vms(struct platform *platform, int64_t known_version,
                       platform_read_vms_cb *callback, void *ctx);
