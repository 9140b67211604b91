/// All orders of events in a small model: a store that is restored from a copy
/// once, two readers, one follower, three records of two keys.
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/position.h"
#include "core/records.h"
#include "suites.h"

#define LOG_MAX 16
#define KEYS 2
#define ROUTERS 3
#define TOPIC RECORDS_ENDPOINTS

enum event {
    EVENT_WRITE,   ///< the next record is written
    EVENT_RESTORE, ///< the store goes back to its copy
    EVENT_REWRITE, ///< what the copy lacks is written again
    EVENT_READ,    ///< by the first router
    EVENT_CALL,    ///< a read of the first router reaches the store
    EVENT_ANSWER,  ///< and its answer arrives
    EVENT_READ_OTHER,
    EVENT_SEND,   ///< the second router sends its records to the first
    EVENT_FOLLOW, ///< the third router receives those of both others
    EVENT_COUNT,
};

struct entry {
    int key;
    int value; ///< 0: removed
};

struct log {
    struct entry entries[LOG_MAX];
    int64_t end;
    uint64_t era;
};

struct router {
    struct records *records;
    int values[KEYS];
    struct position_eras eras;
    struct position_era era;
    int64_t next;
    struct position_era called_era;
};

struct model {
    bool states_eras;
    struct log log;
    struct log answered; ///< the store when a call reached it
    bool is_called;
    int64_t copy_end;
    size_t written;
    int truth[KEYS];
    struct router routers[ROUTERS];
};

struct search {
    bool states_eras;
    int64_t copy_end;
    int left[EVENT_COUNT];
    enum event order[LOG_MAX];
    size_t count;
    size_t total;
    size_t orders;
    size_t faults;
};

static const struct entry writes[] = {{0, 1}, {1, 1}, {1, 0}};
static const char *const keys[KEYS] = {"a", "b"};

static bool
is_same(struct position_era a, struct position_era b)
{
    return position_compare_eras(a, b) == 0;
}

static void
on_changed(void *ctx, const struct record *record)
{
    struct router *router = ctx;

    router->values[record->key.data[0] - 'a'] =
        record->removed ? 0 : record->value.data[0] - '0';
}

static void
apply(struct router *router, struct position position,
      const struct entry *entry)
{
    const char value = (char)('0' + entry->value);

    records_apply(router->records,
                  &(struct record){
                      .topic = TOPIC,
                      .key = str_from(keys[entry->key]),
                      .position = position,
                      .removed = entry->value == 0,
                      .value = {&value, entry->value == 0 ? 0 : 1},
                  });
}

static void
append(struct log *log, int key, int value)
{
    log->entries[log->end++] = (struct entry){key, value};
}

static int
newest(const struct log *log, int key, int64_t *offset)
{
    int value = 0;

    for (int64_t i = 0; i < log->end; i++) {
        if (log->entries[i].key == key) {
            value = log->entries[i].value;
            *offset = i;
        }
    }
    return value;
}

static void
list(struct router *router, const struct log *log)
{
    router->era = router->eras.present;
    records_list_begin(router->records, TOPIC, RECORDS_FROM_STORE);
    for (int key = 0; key < KEYS; key++) {
        int64_t offset = 0;
        int value = newest(log, key, &offset);

        if (value != 0) {
            apply(router, (struct position){router->era, offset},
                  &(struct entry){key, value});
        }
    }
    records_list_end(router->records, TOPIC, RECORDS_FROM_STORE,
                     (struct position){router->era, log->end});
    router->next = log->end;
}

/// Reads as the store's client does; `log` is the store when it answers.
static void
read_log(const struct model *model, struct router *router,
         const struct log *log)
{
    if (model->states_eras && position_judge(&router->eras, router->called_era,
                                             log->era) == POSITION_STALE) {
        return;
    }
    if (!is_same(router->era, router->eras.present) ||
        router->next > log->end) {
        list(router, log);
        return;
    }
    while (router->next < log->end) {
        apply(router, (struct position){router->era, router->next},
              &log->entries[router->next]);
        router->next++;
    }
    records_set_end(router->records, TOPIC,
                    (struct position){router->era, router->next});
}

static void
read_now(const struct model *model, struct router *router)
{
    router->called_era = router->eras.present;
    read_log(model, router, &model->log);
}

struct transfer {
    struct records *to;
    bool is_listing;
};

static void
send_record(void *ctx, const struct record *record)
{
    const struct transfer *transfer = ctx;
    struct record sent = *record;

    sent.source = RECORDS_FROM_PEER;
    if (!transfer->is_listing || !record->removed) {
        records_apply(transfer->to, &sent);
    }
}

/// Sends what the receiver lacks, as routers do on their links.
static void
send_records(const struct router *from, struct router *to)
{
    struct position end = records_end(from->records, TOPIC);
    struct position position = records_end(to->records, TOPIC);
    struct transfer transfer = {
        .to = to->records,
        .is_listing =
            position_compare(position,
                             records_removals_from(from->records, TOPIC)) < 0,
    };

    if (position_compare(end, position) <= 0) {
        return;
    }
    if (transfer.is_listing) {
        records_list_begin(to->records, TOPIC, RECORDS_FROM_PEER);
        records_each_since(from->records, TOPIC, (struct position){0},
                           send_record, &transfer);
        records_list_end(to->records, TOPIC, RECORDS_FROM_PEER, end);
    }
    else {
        records_each_since(from->records, TOPIC, position, send_record,
                           &transfer);
        records_set_end(to->records, TOPIC, end);
    }
    position_observe(&to->eras, end.era);
    if (is_same(end.era, to->eras.present)) {
        to->era = end.era;
        to->next = end.offset;
    }
}

static void
play(struct model *model, enum event event)
{
    struct router *first = &model->routers[0];
    struct router *second = &model->routers[1];

    switch (event) {
    case EVENT_WRITE:
        append(&model->log, writes[model->written].key,
               writes[model->written].value);
        model->truth[writes[model->written].key] =
            writes[model->written].value;
        model->written++;
        return;
    case EVENT_RESTORE:
        if (model->copy_end < model->log.end) {
            model->log.end = model->copy_end;
        }
        model->log.era++;
        return;
    case EVENT_REWRITE:
        for (int key = 0; key < KEYS; key++) {
            int64_t offset;

            if (newest(&model->log, key, &offset) != model->truth[key]) {
                append(&model->log, key, model->truth[key]);
            }
        }
        return;
    case EVENT_READ:
        if (!model->is_called) {
            read_now(model, first);
        }
        return;
    case EVENT_CALL:
        first->called_era = first->eras.present;
        model->answered = model->log;
        model->is_called = true;
        return;
    case EVENT_ANSWER:
        read_log(model, first, &model->answered);
        model->is_called = false;
        return;
    case EVENT_READ_OTHER:
        read_now(model, second);
        return;
    case EVENT_SEND:
        send_records(second, first);
        return;
    case EVENT_FOLLOW:
        send_records(first, &model->routers[2]);
        send_records(second, &model->routers[2]);
        return;
    case EVENT_COUNT:
        return;
    }
}

/// Plays the events, then lets each router read or receive once more; false if
/// one does not have the records of the store then.
static bool
holds(const struct search *search)
{
    struct model model = {
        .states_eras = search->states_eras,
        .log.era = 1,
        .copy_end = search->copy_end,
    };
    bool same = true;

    for (size_t i = 0; i < ROUTERS; i++) {
        struct router *router = &model.routers[i];

        router->records = records_new(
            &(struct records_options){.changed = on_changed, .ctx = router});
        read_now(&model, router);
    }
    for (size_t i = 0; i < search->count; i++) {
        play(&model, search->order[i]);
    }
    for (int round = 0; round < 2; round++) {
        play(&model, EVENT_READ);
        play(&model, EVENT_READ_OTHER);
        play(&model, EVENT_FOLLOW);
    }
    for (size_t i = 0; i < ROUTERS; i++) {
        same = same && !memcmp(model.routers[i].values, model.truth,
                               sizeof(model.truth));
        records_free(model.routers[i].records);
    }
    return same;
}

static bool
may_follow(const struct search *search, int event)
{
    return search->left[event] > 0 &&
           (event != EVENT_REWRITE || search->left[EVENT_RESTORE] == 0) &&
           (event != EVENT_ANSWER || search->left[EVENT_CALL] == 0);
}

/// Plays all orders of the events that are left.
static void
search_orders(struct search *search)
{
    if (search->count == search->total) {
        search->orders++;
        search->faults += holds(search) ? 0 : 1;
        return;
    }
    for (int event = 0; event < EVENT_COUNT; event++) {
        if (!may_follow(search, event)) {
            continue;
        }
        search->left[event]--;
        search->order[search->count++] = (enum event)event;
        search_orders(search);
        search->count--;
        search->left[event]++;
    }
}

/// Number of orders that end with a router without the store's records; 0
/// orders played would be a mistake of the test.
static size_t
count_faults(bool states_eras, bool late_answer)
{
    size_t faults = 0;

    for (int64_t copy_end = 0; copy_end < 3; copy_end++) {
        struct search search = {
            .states_eras = states_eras,
            .copy_end = copy_end,
            .left = {[EVENT_WRITE] = 3,
                     [EVENT_RESTORE] = 1,
                     [EVENT_REWRITE] = 1,
                     [EVENT_READ] = late_answer ? 0 : 1,
                     [EVENT_CALL] = late_answer,
                     [EVENT_ANSWER] = late_answer,
                     [EVENT_READ_OTHER] = 1,
                     [EVENT_SEND] = 1,
                     [EVENT_FOLLOW] = late_answer ? 0 : 1},
        };

        for (int event = 0; event < EVENT_COUNT; event++) {
            search.total += (size_t)search.left[event];
        }
        search_orders(&search);
        CU_ASSERT(search.orders > 0);
        faults += search.faults;
    }
    return faults;
}

static void
test_restore(void)
{
    CU_ASSERT(count_faults(true, false) == 0);
}

static void
test_late_answer(void)
{
    CU_ASSERT(count_faults(true, true) == 0);
}

/// The search finds the fault if the order is that of the offsets alone.
static void
test_offsets_alone(void)
{
    CU_ASSERT(count_faults(false, false) > 0);
    CU_ASSERT(count_faults(false, true) > 0);
}

void
suite_restored_order(void)
{
    CU_pSuite suite = CU_add_suite("restored-order", NULL, NULL);

    CU_add_test(suite, "records are lost in a restore", test_restore);
    CU_add_test(suite, "late answer brings back old records",
                test_late_answer);
    CU_add_test(suite, "offsets alone lose records", test_offsets_alone);
}
