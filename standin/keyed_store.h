/// Stand-in for the platform's store: topics of keyed records, long-poll reads
/// and injected faults.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/clock.h"
#include "dandelionvalve/err.h"
#include "net/address.h"

/// Topics written by the operator and by the endpoints.
#define KEYED_STORE_TOPIC_OPERATOR "keyed.op"
#define KEYED_STORE_TOPIC_ENDPOINTS "keyed.servers"
/// Topic written by the routers.
#define KEYED_STORE_TOPIC_ROUTERS "keyed.status"

struct event_base;
struct keyed_store;

enum keyed_store_fault {
    KEYED_STORE_OK,
    KEYED_STORE_BUSY,           ///< answers 503 without effect
    KEYED_STORE_NO_ANSWER,      ///< accepts calls, does nothing, never answers
    KEYED_STORE_NO_READ_NOTIFY, ///< waiting reads end only at their time-out
    KEYED_STORE_LOSE_ANSWER,    ///< appends, but never answers any call
    KEYED_STORE_AWAY,           ///< resets the connection of each call
    KEYED_STORE_NO_RECORDS,     ///< answers reads at their time-out, empty
    KEYED_STORE_REPEAT_ANSWER,  ///< answers one read with earlier records
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

/// Appends a record as the operator or an endpoint does and returns its
/// offset; an empty value deletes the key.
int64_t keyed_store_put(struct keyed_store *store, const char *topic,
                        const char *key, struct str value);

/// The same with any bytes as the key, 255 at most.
int64_t keyed_store_put_bytes(struct keyed_store *store, const char *topic,
                              struct str key, struct str value);

/// Appends a record of these bytes, without a key in front of them. It is not
/// listed.
void keyed_store_put_malformed(struct keyed_store *store, const char *topic,
                               struct str bytes);

/// Discards the history of a topic: reads from an earlier offset get 410.
void keyed_store_compact(struct keyed_store *store, const char *topic);
void keyed_store_set_fault(struct keyed_store *store,
                           enum keyed_store_fault fault);

/// Sets the number that all answers carry in the field Store-Era; 0: no such
/// field, as at the start.
void keyed_store_set_era(struct keyed_store *store, int64_t era);
int64_t keyed_store_era(const struct keyed_store *store);

/// Sets the text of the field instead of the number, "" for none; NULL: the
/// number again. The text is not copied.
void keyed_store_set_era_text(struct keyed_store *store, const char *text);

/// Remembers the records of a topic, or of all if `topic` is NULL, in place of
/// the copy before.
void keyed_store_copy(struct keyed_store *store, const char *topic);

/// Goes back to the copy: drops the later records of the topics in it, closes
/// the connections of waiting reads, and raises the era by one.
void keyed_store_restore(struct keyed_store *store);

/// Sets whether waiting reads go on after a restore.
void keyed_store_keep_reads(struct keyed_store *store, bool keep);

/// Goes back to the copy when so many pages of lists of this topic have been
/// sent.
void keyed_store_restore_after(struct keyed_store *store, const char *topic,
                               size_t pages);

/// Sets the number of records in a page of a list.
void keyed_store_set_page(struct keyed_store *store, size_t records);
/// Sets whether calls that concern a topic are answered 503 without effect.
void keyed_store_set_topic_busy(struct keyed_store *store, const char *topic,
                                bool busy);

/// Calls of all kinds that were received.
uint64_t keyed_store_calls(const struct keyed_store *store);

/// The newest value of a key; empty if there is none.
struct str keyed_store_get(const struct keyed_store *store, const char *topic,
                           const char *key);
