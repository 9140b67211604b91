#include <stdlib.h>

#include <CUnit/CUnit.h>

#include "dandelionvalve/history.h"
#include "documents.h"
#include "suites.h"

static enum history_verdict
apply(struct history *history, int64_t offset, struct str record)
{
    struct err err = {0};
    enum history_verdict verdict =
        history_apply(history, offset, record, &err);

    free((char *)record.data);
    return verdict;
}

static struct str
carry_of(const struct history *history)
{
    return history_snapshot_format(history, STR_LITERAL("n"),
                                   STR_LITERAL("d"));
}

static void
test_race_has_one_winner(void)
{
    struct history *history = history_new(STR_LITERAL("production"));

    CU_ASSERT(apply(history, 0, document_change("a", -1, "1")) ==
              HISTORY_ACCEPTED);
    CU_ASSERT(apply(history, 1, document_change("b", 0, "2")) ==
              HISTORY_ACCEPTED);
    CU_ASSERT(apply(history, 2, document_change("c", 0, "3")) ==
              HISTORY_LOST_RACE);
    CU_ASSERT(history_version(history) == 1);
    CU_ASSERT(str_equal_c(history_conf(history)->pools[0].name, "b"));
    history_free(history);
}

static void
test_bad_records_change_nothing(void)
{
    struct history *history = history_new(STR_LITERAL("production"));
    struct err err = {0};
    struct history_record record = {
        .environment = STR_LITERAL("production"),
        .document = STR_LITERAL("not = [toml"),
        .nonce = STR_LITERAL("n"),
        .author = STR_LITERAL("a"),
    };

    apply(history, 0, document_change("a", -1, "1"));
    CU_ASSERT(history_apply(history, 1, STR_LITERAL("{}"), &err) ==
              HISTORY_MALFORMED);
    CU_ASSERT(apply(history, 2, history_record_format(&record)) ==
              HISTORY_BAD_DOCUMENT);
    record.environment = STR_LITERAL("trial");
    CU_ASSERT(apply(history, 3, history_record_format(&record)) ==
              HISTORY_OTHER_ENVIRONMENT);
    CU_ASSERT(history_version(history) == 0);
    history_free(history);
}

static void
test_wrong_hash_is_malformed(void)
{
    struct str record = document_change("a", -1, "1");
    struct history *history = history_new(STR_LITERAL("production"));
    char *hash = (char *)record.data;

    // The hash is the only run of 64 hex digits with letters before "nonce".
    for (char *at = hash; *at != '\0'; at++) {
        if (at[0] == 'h' && at[1] == 'a' && at[2] == 's' && at[3] == 'h') {
            at[7] = at[7] == '0' ? '1' : '0';
            break;
        }
    }
    CU_ASSERT(apply(history, 0, record) == HISTORY_MALFORMED);
    history_free(history);
}

static void
test_late_reader_starts_at_a_carry(void)
{
    struct history *old = history_new(STR_LITERAL("production"));
    struct history *late = history_new(STR_LITERAL("production"));
    struct str carry;

    apply(old, 0, document_change("a", -1, "1"));
    apply(old, 1, document_change("b", 0, "2"));
    carry = carry_of(old);
    history_set_log_start(late, 1);
    // A change that lost or won can't be told apart without its base.
    CU_ASSERT(apply(late, 1, document_change("b", 0, "2")) ==
              HISTORY_UNANCHORED);
    CU_ASSERT(history_version(late) == HISTORY_NO_VERSION);
    CU_ASSERT(apply(late, 2, carry) == HISTORY_ACCEPTED);
    CU_ASSERT(history_version(late) == 1);
    CU_ASSERT(history_anchor_offset(late) == 2);
    history_free(old);
    history_free(late);
}

static void
test_old_carry_cannot_revert(void)
{
    struct history *writer = history_new(STR_LITERAL("production"));
    struct history *reader = history_new(STR_LITERAL("production"));
    struct history *late = history_new(STR_LITERAL("production"));
    struct str carry;

    apply(writer, 0, document_change("a", -1, "1"));
    carry = carry_of(writer);
    apply(reader, 0, document_change("a", -1, "1"));
    apply(reader, 1, document_change("b", 0, "2"));
    apply(reader, 2, str_copy(carry));
    CU_ASSERT(history_version(reader) == 1);
    // A reader that cannot see offset 1 must not trust this carry.
    history_set_log_start(late, 2);
    CU_ASSERT(apply(late, 2, carry) == HISTORY_UNANCHORED);
    CU_ASSERT(history_version(late) == HISTORY_NO_VERSION);
    history_free(writer);
    history_free(reader);
    history_free(late);
}

static void
test_adopted_version_holds(void)
{
    struct history *history = history_new(STR_LITERAL("production"));
    struct str document = document_named("peer");
    struct err err = {0};

    apply(history, 0, document_change("a", -1, "1"));
    CU_ASSERT(history_adopt(history, 5, document, &err));
    CU_ASSERT(!history_may_write_snapshot(history));
    // Records up to the adopted version are decided already.
    CU_ASSERT(apply(history, 1, document_change("b", 0, "2")) ==
              HISTORY_REPEATED);
    CU_ASSERT(history_version(history) == 5);
    CU_ASSERT(apply(history, 6, document_change("c", 5, "3")) ==
              HISTORY_ACCEPTED);
    CU_ASSERT(history_adopt(history, 4, document, &err));
    CU_ASSERT(history_version(history) == 6);
    free((char *)document.data);
    history_free(history);
}

void
suite_history(void)
{
    CU_pSuite suite = CU_add_suite("history", NULL, NULL);

    CU_add_test(suite, "race has one winner", test_race_has_one_winner);
    CU_add_test(suite, "bad records change nothing",
                test_bad_records_change_nothing);
    CU_add_test(suite, "wrong hash is malformed",
                test_wrong_hash_is_malformed);
    CU_add_test(suite, "late reader starts at a carry",
                test_late_reader_starts_at_a_carry);
    CU_add_test(suite, "old carry cannot revert",
                test_old_carry_cannot_revert);
    CU_add_test(suite, "adopted version holds", test_adopted_version_holds);
}
