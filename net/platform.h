/// Client of the platform's log and VM list. Only platform.c depends on their
/// wire format, so that another platform needs only another platform.c.
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
    bool is_control_traffic; ///< count its bytes as control traffic
    int64_t timeout_ms;      ///< of a call, in addition to its wait_ms
};

enum platform_status {
    PLATFORM_OK,
    PLATFORM_NOT_EXECUTED, ///< the platform has not executed the call
    PLATFORM_UNKNOWN,      ///< no response: the call may have been executed
};

struct platform_record {
    int64_t offset;
    int64_t time_ms; ///< time of the append, on the platform's clock
    struct str data;
};

/// Records of a stream. The log holds the offsets from `first` to before
/// `end`.
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
    struct str address; ///< agents: listens for links
    struct str control; ///< receives control datagrams
    struct str admin;   ///< serves health, metrics and status
    uint32_t weight;    ///< agents: slots of the endpoint
    bool leaving;
};

typedef void platform_append_cb(void *ctx, enum platform_status status,
                                int64_t offset);
/// `page` is NULL if the read failed.
typedef void platform_read_cb(void *ctx, const struct platform_page *page);
/// `vms` is NULL if the call failed or the list has not changed.
typedef void platform_read_vms_cb(void *ctx, bool ok, int64_t version,
                                  const struct platform_vm *vms, size_t count);

/// Free with platform_free(), which cancels calls without their callbacks.
struct platform *platform_new(const struct platform_options *options);
void platform_free(struct platform *platform);

void platform_append(struct platform *platform, struct str stream,
                     struct str data, platform_append_cb *callback, void *ctx);

/// Reads up to `count_max` records from offset `from` on; waits up to
/// `wait_ms` for the first one (long poll).
void platform_read(struct platform *platform, struct str stream, int64_t from,
                   size_t count_max, int64_t wait_ms,
                   platform_read_cb *callback, void *ctx);

/// Reads the VM list unless its version is `known_version`.
void platform_read_vms(struct platform *platform, int64_t known_version,
                       platform_read_vms_cb *callback, void *ctx);
