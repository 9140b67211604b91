#include "memory.h"

#include <stdlib.h>

#include "xmalloc.h"

/// Share of a machine's memory. The rest is for the program, configuration and
/// endpoints, the allocator's unused blocks and the kernel's socket buffers.
#define MACHINE_PERCENT 50
#define REQUESTS_PERCENT 45
#define RESPONSES_PERCENT 45
#define PEERS_PERCENT 10
/// Many endpoints may send too much at once, also to a large machine.
#define BUFFERED_BYTES_MAX (32 * 1024 * 1024)
/// Blocks of a buffer have headers, and the last one has an unused end.
#define BLOCK_BYTES 1024
#define HEADER_DIVISOR 64

enum group {
    GROUP_REQUESTS,
    GROUP_RESPONSES,
    GROUP_PEERS,
    GROUPS
};

struct memory {
    size_t limit_bytes;
    size_t held[MEMORY_KINDS];
    size_t held_by_group[GROUPS];
    size_t total;
};

static const struct {
    const char *name;
    enum group group;
    size_t bytes_max; ///< of this kind alone; 0: the share of the group
} kinds[MEMORY_KINDS] = {
    [MEMORY_CONNECTIONS] = {"connections", GROUP_REQUESTS, 0},
    [MEMORY_READING] = {"reading", GROUP_REQUESTS, 0},
    [MEMORY_REQUESTS] = {"requests", GROUP_REQUESTS, 0},
    [MEMORY_ENDPOINTS] = {"endpoints", GROUP_REQUESTS, 0},
    [MEMORY_RESPONSES] = {"responses", GROUP_RESPONSES, 0},
    [MEMORY_BUFFERED] = {"buffered", GROUP_RESPONSES, BUFFERED_BYTES_MAX},
    [MEMORY_LINKS] = {"links", GROUP_PEERS, 0},
    [MEMORY_STORE] = {"store", GROUP_PEERS, 0},
};

static const size_t group_percent[GROUPS] = {
    [GROUP_REQUESTS] = REQUESTS_PERCENT,
    [GROUP_RESPONSES] = RESPONSES_PERCENT,
    [GROUP_PEERS] = PEERS_PERCENT,
};

struct memory *
memory_new(const struct memory_options *options)
{
    struct memory *memory = xcalloc(1, sizeof(*memory));

    memory->limit_bytes = options->limit_bytes;
    return memory;
}

void
memory_free(struct memory *memory)
{
    if (memory == NULL) {
        return;
    }
    for (size_t i = 0; i < MEMORY_KINDS; i++) {
        if (memory->held[i] != 0) {
            BUG("%zu bytes of kind %s were not released", memory->held[i],
                kinds[i].name);
        }
    }
    free(memory);
}

void
memory_set_limit(struct memory *memory, size_t limit_bytes)
{
    memory->limit_bytes = limit_bytes;
}

size_t
memory_limit(const struct memory *memory)
{
    return memory != NULL ? memory->limit_bytes : SIZE_MAX;
}

size_t
memory_limit_of_machine(int64_t machine_bytes)
{
    return (size_t)machine_bytes / 100 * MACHINE_PERCENT;
}

size_t
memory_share_bytes(const struct memory *memory, enum memory_kind kind)
{
    return memory != NULL
               ? memory->limit_bytes / 100 * group_percent[kinds[kind].group]
               : SIZE_MAX;
}

static size_t
left_of(size_t max, size_t held)
{
    return max > held ? max - held : 0;
}

size_t
memory_room(const struct memory *memory, enum memory_kind kind)
{
    size_t max = kinds[kind].bytes_max;
    size_t room;

    if (memory == NULL) {
        return SIZE_MAX;
    }
    room = left_of(memory_share_bytes(memory, kind),
                   memory->held_by_group[kinds[kind].group]);
    if (max > 0 && left_of(max, memory->held[kind]) < room) {
        return left_of(max, memory->held[kind]);
    }
    return room;
}

bool
memory_charge(struct memory *memory, enum memory_kind kind, size_t bytes)
{
    if (bytes > memory_room(memory, kind)) {
        return false;
    }
    memory_charge_held(memory, kind, bytes);
    return true;
}

void
memory_charge_held(struct memory *memory, enum memory_kind kind, size_t bytes)
{
    if (memory == NULL) {
        return;
    }
    memory->held[kind] += bytes;
    memory->held_by_group[kinds[kind].group] += bytes;
    memory->total += bytes;
}

void
memory_release(struct memory *memory, enum memory_kind kind, size_t bytes)
{
    if (memory == NULL) {
        return;
    }
    if (bytes > memory->held[kind]) {
        BUG("%zu bytes of kind %s are released, %zu are held", bytes,
            kinds[kind].name, memory->held[kind]);
    }
    memory->held[kind] -= bytes;
    memory->held_by_group[kinds[kind].group] -= bytes;
    memory->total -= bytes;
}

size_t
memory_held(const struct memory *memory, enum memory_kind kind)
{
    return memory != NULL ? memory->held[kind] : 0;
}

size_t
memory_held_total(const struct memory *memory)
{
    return memory != NULL ? memory->total : 0;
}

const char *
memory_kind_name(enum memory_kind kind)
{
    return kinds[kind].name;
}

void
memory_hold(struct memory_holding *holding, enum memory_kind kind,
            size_t bytes)
{
    if (kind == holding->kind && bytes == holding->bytes) {
        return;
    }
    memory_release(holding->memory, holding->kind, holding->bytes);
    memory_charge_held(holding->memory, kind, bytes);
    holding->kind = kind;
    holding->bytes = bytes;
}

size_t
memory_of_buffer(size_t bytes)
{
    return bytes == 0 ? 0
                      : (bytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES +
                            bytes / HEADER_DIVISOR;
}
