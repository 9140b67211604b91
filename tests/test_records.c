#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/position.h"
#include "core/records.h"
#include "suites.h"

#define REMOVALS_STORED_MAX 2000

/// What the callback received.
struct seen {
    int changes;
    int removed;
    char value[16];
};

static void
on_changed(void *ctx, const struct record *record)
{
    struct seen *seen = ctx;

    seen->changes++;
    seen->removed += record->removed ? 1 : 0;
    memcpy(seen->value, record->value.data != NULL ? record->value.data : "",
           record->value.len);
    seen->value[record->value.len] = '\0';
}

static struct position
at(uint64_t era, int64_t offset)
{
    return (struct position){{.number = era}, offset};
}

static bool
is_at(struct position position, int64_t offset)
{
    return position_compare(position, at(0, offset)) == 0;
}

static bool
put_from(struct records *records, enum records_source source, const char *key,
         struct position position, const char *value)
{
    return records_apply(records, &(struct record){
                                      .topic = RECORDS_ENDPOINTS,
                                      .key = str_from(key),
                                      .position = position,
                                      .source = source,
                                      .removed = value == NULL,
                                      .value = str_from(value),
                                  });
}

static bool
put_at(struct records *records, const char *key, struct position position,
       const char *value)
{
    return put_from(records, RECORDS_FROM_STORE, key, position, value);
}

static bool
put(struct records *records, const char *key, int64_t offset,
    const char *value)
{
    return put_at(records, key, at(0, offset), value);
}

/// An older record from a lagging peer or a late read changes nothing.
static void
test_older_records_are_ignored(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});

    CU_ASSERT(put(records, "a", 5, "five"));
    CU_ASSERT(!put(records, "a", 3, "three"));
    CU_ASSERT(!put(records, "a", 5, "other"));
    CU_ASSERT_STRING_EQUAL(seen.value, "five");
    CU_ASSERT(put(records, "a", 9, NULL));
    CU_ASSERT(!put(records, "a", 7, "seven"));
    CU_ASSERT(seen.changes == 2 && seen.removed == 1);
    records_set_end(records, RECORDS_ENDPOINTS, at(0, 10));
    records_set_end(records, RECORDS_ENDPOINTS, at(0, 4));
    CU_ASSERT(is_at(records_end(records, RECORDS_ENDPOINTS), 10));
    records_free(records);
}

/// The same value written again is no change but raises the offset.
static void
test_same_value(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});

    CU_ASSERT(put(records, "a", 1, "x"));
    CU_ASSERT(!put(records, "a", 4, "x"));
    CU_ASSERT(!put(records, "a", 3, "y"));
    CU_ASSERT(seen.changes == 1);
    records_free(records);
}

/// A listing removes the keys that it lacks, unless they are newer.
static void
test_listing(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});

    put(records, "a", 1, "x");
    put(records, "b", 2, "x");
    records_list_begin(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE);
    put(records, "a", 1, "x");
    put(records, "c", 12, "x");
    records_list_end(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE,
                     at(0, 10));
    CU_ASSERT(seen.removed == 1);
    CU_ASSERT(!put(records, "b", 5, "y"));
    CU_ASSERT(put(records, "b", 11, "y"));
    records_free(records);
}

static void
count(void *ctx, const struct record *record)
{
    *(int *)ctx += record->removed ? 100 : 1;
}

/// Iteration starts at the requested offset and includes removed keys.
static void
test_since(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});
    int counted = 0;

    put(records, "a", 1, "x");
    put(records, "b", 2, "x");
    put(records, "c", 3, "x");
    put(records, "b", 4, NULL);
    records_each_since(records, RECORDS_ENDPOINTS, at(0, 2), count, &counted);
    CU_ASSERT(counted == 101);
    records_free(records);
}

/// Removals before the end of a listing are not stored, and those that are
/// evicted no longer are.
static void
test_removals_from(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});
    int64_t offset = 20;

    CU_ASSERT(is_at(records_removals_from(records, RECORDS_ENDPOINTS), 0));
    records_list_begin(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE);
    put(records, "a", 1, "x");
    records_list_end(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE,
                     at(0, 10));
    CU_ASSERT(is_at(records_removals_from(records, RECORDS_ENDPOINTS), 10));
    records_set_end(records, RECORDS_ENDPOINTS, at(0, 15));
    CU_ASSERT(is_at(records_removals_from(records, RECORDS_ENDPOINTS), 10));
    records_skip_to(records, RECORDS_ENDPOINTS, at(0, 12));
    CU_ASSERT(is_at(records_removals_from(records, RECORDS_ENDPOINTS), 10));
    records_skip_to(records, RECORDS_ENDPOINTS, at(0, 20));
    CU_ASSERT(is_at(records_removals_from(records, RECORDS_ENDPOINTS), 20));
    CU_ASSERT(is_at(records_end(records, RECORDS_ENDPOINTS), 20));
    for (int i = 0; i <= REMOVALS_STORED_MAX; i++) {
        char key[16];

        snprintf(key, sizeof(key), "k-%d", i);
        put(records, key, offset++, NULL);
    }
    CU_ASSERT(is_at(records_removals_from(records, RECORDS_ENDPOINTS), 21));
    records_free(records);
}

/// Listings by the store and by a peer overlap: each removes what it lacks
/// itself, and the start of one does not make the other remove what it has
/// listed.
static void
test_overlapping_listings(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});

    put(records, "a", 1, "x");
    put(records, "b", 2, "x");
    records_list_begin(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE);
    put(records, "a", 1, "x");
    records_list_begin(records, RECORDS_ENDPOINTS, RECORDS_FROM_PEER);
    put(records, "b", 2, "x");
    put_from(records, RECORDS_FROM_PEER, "b", at(0, 2), "x");
    records_list_end(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE,
                     at(0, 10));
    CU_ASSERT(seen.removed == 0);
    records_list_end(records, RECORDS_ENDPOINTS, RECORDS_FROM_PEER, at(0, 12));
    CU_ASSERT(seen.removed == 1);
    records_free(records);
}

/// A peer sends a removed entry during the store's listing, and once more
/// after it.
static void
test_removed_entry_during_listing(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});

    records_list_begin(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE);
    put(records, "b", 2, "x");
    put_from(records, RECORDS_FROM_PEER, "a", at(0, 1), "x");
    records_list_end(records, RECORDS_ENDPOINTS, RECORDS_FROM_STORE,
                     at(0, 10));
    CU_ASSERT(seen.removed == 1);
    CU_ASSERT(!put_from(records, RECORDS_FROM_PEER, "a", at(0, 1), "x"));
    CU_ASSERT(!put_from(records, RECORDS_FROM_PEER, "c", at(0, 3), "x"));
    CU_ASSERT(put_from(records, RECORDS_FROM_PEER, "c", at(0, 10), "x"));
    records_free(records);
}

/// A peer lists a topic that it has not read again since a restore; another
/// topic shows the new era already. The keys that it lists exist.
static void
test_listing_of_earlier_era(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});

    put_at(records, "a", at(1, 1), "x");
    records_set_end(records, RECORDS_ENDPOINTS, at(1, 5));
    records_set_end(records, RECORDS_CONFIGURATION, at(2, 1));
    records_list_begin(records, RECORDS_ENDPOINTS, RECORDS_FROM_PEER);
    put_from(records, RECORDS_FROM_PEER, "a", at(1, 1), "x");
    put_from(records, RECORDS_FROM_PEER, "b", at(1, 7), "x");
    records_list_end(records, RECORDS_ENDPOINTS, RECORDS_FROM_PEER, at(1, 10));
    CU_ASSERT(seen.removed == 0);
    records_free(records);
}

static int
compare_digits(void *ctx, const struct record *a, const struct record *b)
{
    (void)ctx;
    return a->value.data[0] - b->value.data[0];
}

/// After a restore the log holds two versions that are older than the one in
/// force. It stands until a newer one comes, and peers get it.
static void
test_two_older_versions(void)
{
    struct seen seen = {0};
    struct records *records = records_new(&(struct records_options){
        .changed = on_changed,
        .compare_versions = compare_digits,
        .ctx = &seen,
    });

    put_at(records, "config", at(1, 9), "8");
    CU_ASSERT(!put_at(records, "config", at(2, 5), "5"));
    CU_ASSERT_STRING_EQUAL(seen.value, "8");
    CU_ASSERT(!put_at(records, "config", at(2, 6), "6"));
    CU_ASSERT_STRING_EQUAL(seen.value, "8");
    records_free(records);
}

void
suite_records(void)
{
    CU_pSuite suite = CU_add_suite("records", NULL, NULL);

    CU_add_test(suite, "older records are ignored",
                test_older_records_are_ignored);
    CU_add_test(suite, "same value", test_same_value);
    CU_add_test(suite, "listing", test_listing);
    CU_add_test(suite, "since", test_since);
    CU_add_test(suite, "removals from", test_removals_from);
    CU_add_test(suite, "overlapping listings", test_overlapping_listings);
    CU_add_test(suite, "removed entry from a peer during a listing stays",
                test_removed_entry_during_listing);
    CU_add_test(suite, "listing of an earlier era removes what it lists",
                test_listing_of_earlier_era);
    CU_add_test(suite, "second older version of a new era replaces a newer",
                test_two_older_versions);
}
