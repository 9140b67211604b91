/// Account of the memory that a process holds for its clients and peers, by
/// kind. Each holder charges what it holds and releases it; the limit is
/// divided so that no kind can take the room of another.
///
/// Load pattern: clients outside the operator's control send many bodies at
/// once, most of which stop just short of their end, or read nothing of long
/// answers. Without a common limit the process uses up the memory of its
/// machine and is killed.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum memory_kind {
    MEMORY_CONNECTIONS, ///< callers' connections, whatever their state
    MEMORY_READING,     ///< requests that are being read
    MEMORY_REQUESTS,    ///< complete requests, kept for further attempts
    MEMORY_ENDPOINTS,   ///< output to endpoints
    MEMORY_RESPONSES,   ///< output to callers
    MEMORY_BUFFERED,    ///< responses that are collected before they are sent
    MEMORY_LINKS,       ///< output to other routers
    MEMORY_STORE,       ///< output to the store and its answers
    MEMORY_KINDS,
};

struct memory_options {
    size_t limit_bytes;
};

struct memory;

/// The caller frees with memory_free(), which is a bug while something is
/// charged. All other functions accept NULL: then nothing is accounted.
struct memory *memory_new(const struct memory_options *options);
void memory_free(struct memory *memory);
void memory_set_limit(struct memory *memory, size_t limit_bytes);
size_t memory_limit(const struct memory *memory);

/// The part of a machine's memory that the account may use.
size_t memory_limit_of_machine(int64_t machine_bytes);

/// Bytes that may be charged to the kind; SIZE_MAX without an account.
size_t memory_room(const struct memory *memory, enum memory_kind kind);

/// The share of the limit that the kind has, together with the kinds that it
/// shares it with.
size_t memory_share_bytes(const struct memory *memory, enum memory_kind kind);

/// False, and nothing is charged, if there is no room.
bool memory_charge(struct memory *memory, enum memory_kind kind, size_t bytes);

/// Charges bytes that exist already and that must be kept, also beyond the
/// limit.
void memory_charge_held(struct memory *memory, enum memory_kind kind,
                        size_t bytes);

/// Releases bytes that were charged; more than that is a bug.
void memory_release(struct memory *memory, enum memory_kind kind,
                    size_t bytes);
size_t memory_held(const struct memory *memory, enum memory_kind kind);
size_t memory_held_total(const struct memory *memory);
const char *memory_kind_name(enum memory_kind kind);

/// What one holder of changing size has charged.
struct memory_holding {
    struct memory *memory;
    enum memory_kind kind;
    size_t bytes;
};

/// Charges the difference to what the holder holds now, and of which kind.
void memory_hold(struct memory_holding *holding, enum memory_kind kind,
                 size_t bytes);

/// What a buffer with this content takes, its unused ends included.
size_t memory_of_buffer(size_t bytes);
