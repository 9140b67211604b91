#include <string.h>

#include <CUnit/CUnit.h>

#include "core/records.h"
#include "suites.h"

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

static bool
put(struct records *records, const char *key, int64_t offset,
    const char *value)
{
    return records_apply(records, &(struct record){
                                      .topic = RECORDS_ENDPOINTS,
                                      .key = str_from(key),
                                      .offset = offset,
                                      .removed = value == NULL,
                                      .value = str_from(value),
                                  });
}

/// Nothing goes back, whatever a lagging peer or a late read says.
static void
test_never_goes_back(void)
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
    records_set_end(records, RECORDS_ENDPOINTS, 10);
    records_set_end(records, RECORDS_ENDPOINTS, 4);
    CU_ASSERT(records_end(records, RECORDS_ENDPOINTS) == 10);
    records_free(records);
}

/// The same value, written again, is no news but moves the offset.
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

/// A listing removes what it does not name, unless that is newer than it.
static void
test_listing(void)
{
    struct seen seen = {0};
    struct records *records = records_new(
        &(struct records_options){.changed = on_changed, .ctx = &seen});

    put(records, "a", 1, "x");
    put(records, "b", 2, "x");
    records_list_begin(records, RECORDS_ENDPOINTS);
    put(records, "a", 1, "x");
    put(records, "c", 12, "x");
    records_list_end(records, RECORDS_ENDPOINTS, 10);
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

/// What is passed on begins at the offset that was asked for, and names what
/// is gone.
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
    records_each_since(records, RECORDS_ENDPOINTS, 2, count, &counted);
    CU_ASSERT(counted == 101);
    records_free(records);
}

void
suite_records(void)
{
    CU_pSuite suite = CU_add_suite("records", NULL, NULL);

    CU_add_test(suite, "never goes back", test_never_goes_back);
    CU_add_test(suite, "same value", test_same_value);
    CU_add_test(suite, "listing", test_listing);
    CU_add_test(suite, "since", test_since);
}
