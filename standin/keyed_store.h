/// Stand-in for the platform's store: topics of keyed records, long reads, and
/// its misdeeds on demand.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/err.h"
#include "net/address.h"

/// Topics of the operator and of the endpoints.
#define KEYED_STORE_TOPIC_OPERATOR "keyed.op"
#define KEYED_STORE_TOPIC_ENDPOINTS "keyed.servers"

struct event_base;
struct keyed_store;

enum keyed_store_fault {
    KEYED_STORE_OK,
    KEYED_STORE_BUSY,           ///< answers 503: nothing was done
    KEYED_STORE_NO_ANSWER,      ///< takes calls and never answers
    KEYED_STORE_NO_READ_NOTIFY, ///< reads that wait are not told of new
                                ///< records
    KEYED_STORE_LOSE_ANSWER,    ///< does what is asked and never answers
};

struct keyed_store_options {
    struct event_base *base;
    const struct clock *clock;
    struct address address;
};

struct keyed_store *keyed_store_new(const struct keyed_store_options *options,
                                    struct err *err);
void keyed_store_free(struct keyed_store *store);
struct address keyed_store_address(const struct keyed_store *store);

/// Writes as the operator or an endpoint would; an empty value drops the key.
/// Returns the offset.
int64_t keyed_store_put(struct keyed_store *store, const char *topic,
                        const char *key, struct str value);

/// Drops the history of a topic: reads from before get 410.
void keyed_store_compact(struct keyed_store *store, const char *topic);
void keyed_store_set_fault(struct keyed_store *store,
                           enum keyed_store_fault fault);

/// Calls of all kinds that have arrived.
uint64_t keyed_store_calls(const struct keyed_store *store);

/// The newest value of a key, or an empty view.
struct str keyed_store_get(const struct keyed_store *store, const char *topic,
                           const char *key);
