/// Bounds on the memory and the descriptors of the process.
#include <sys/resource.h>

#include "core/catalog.h"
#include "core/memory.h"
#include "direct_private.h"
#include "direct_state.h"
#include "net/caller.h"
#include "net/log.h"

#define LOG_MODULE "limits"

/// Memory of the machine if none is stated. A router that serves some hundred
/// requests at once within the callers' limits needs less than a tenth of it.
#define MACHINE_BYTES_DEFAULT (256 * 1000 * 1000LL)
/// Descriptors that are kept for other uses than connections, but at most one
/// in RESERVED_DIVISOR.
#define RESERVED_DESCRIPTORS 200
#define RESERVED_DIVISOR 4
/// Share of the rest for callers; the others are for endpoints, routers and
/// the store. A request needs one of each, an idle caller only one.
#define CALLERS_NUMERATOR 2
#define CALLERS_DENOMINATOR 3

static size_t
descriptors_max(const struct direct *direct)
{
    size_t stated = (size_t)direct->settings.descriptors_max;
    struct rlimit limit;

    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY) {
        return stated;
    }
    return stated > 0 && stated < limit.rlim_cur ? stated
                                                 : (size_t)limit.rlim_cur;
}

void
limits_apply(struct direct *direct)
{
    size_t descriptors = descriptors_max(direct);
    size_t reserved = descriptors / RESERVED_DIVISOR < RESERVED_DESCRIPTORS
                          ? descriptors / RESERVED_DIVISOR
                          : RESERVED_DESCRIPTORS;
    size_t callers =
        (descriptors - reserved) * CALLERS_NUMERATOR / CALLERS_DENOMINATOR;
    size_t limit = memory_limit_of_machine(direct->settings.memory_bytes > 0
                                               ? direct->settings.memory_bytes
                                               : MACHINE_BYTES_DEFAULT);

    memory_set_limit(direct->memory, limit);
    caller_server_set_connections_max(direct->callers, callers);
    LOG_INFO("event=limits machine_bytes=%lld held_bytes=%zu limit_bytes=%zu "
             "descriptors=%zu callers=%zu",
             (long long)direct->settings.memory_bytes,
             memory_held_total(direct->memory), limit, descriptors, callers);
}

uint64_t
limits_account(void *ctx, const struct caller *caller)
{
    const struct direct *direct = ctx;
    const struct catalog_account *account = NULL;
    struct request_facts facts;
    struct err err = {0};

    if (direct->catalog != NULL &&
        direct->options.wire->read_request(caller_request_head(caller), &facts,
                                           &err) &&
        facts.api_key.len > 0) {
        account = catalog_find_account(direct->catalog, facts.api_key);
    }
    return account != NULL ? str_hash(account->name, 1) : 0;
}

struct memory *
direct_memory(const struct direct *direct)
{
    return direct->memory;
}

bool
direct_charge_buffered(struct direct *direct, size_t bytes, bool must_keep)
{
    if (memory_charge(direct->memory, MEMORY_BUFFERED, bytes) ||
        (caller_server_make_response_room(direct->callers, bytes) &&
         memory_charge(direct->memory, MEMORY_BUFFERED, bytes))) {
        return true;
    }
    if (must_keep) {
        memory_charge_held(direct->memory, MEMORY_BUFFERED, bytes);
    }
    return must_keep;
}

void
direct_release_buffered(struct direct *direct, size_t bytes)
{
    memory_release(direct->memory, MEMORY_BUFFERED, bytes);
}
