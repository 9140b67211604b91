/// Order of the records of a topic, also across a restore of the platform's
/// store.
///
/// Load pattern: the store comes back from a copy that is some seconds old and
/// gives out offsets again that routers have already seen. The operator and
/// the endpoints write their records again, fewer than were lost. By offsets
/// alone, each change would be ignored until the log has grown past its old
/// end, and a router that was cut off would pass its old records on as the
/// newest ones. The store states its era, which rises with each restore: a
/// position in a later era is later, whatever the offsets.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// An era above the present one by more than this is used when a second answer
/// states it too, as is an earlier one: a single mistake would have all topics
/// listed again.
#define POSITION_ERA_STEP_MAX 64

/// A life of the log in which its offsets only rise.
struct position_era {
    uint32_t resets; ///< times that the store went back without a later era
    uint64_t number; ///< stated by the store, counted from 1; 0: none is
};

struct position {
    struct position_era era;
    int64_t offset;
};

/// Negative if `a` is earlier than `b`, 0 if they are equal.
int position_compare_eras(struct position_era a, struct position_era b);
int position_compare(struct position a, struct position b);

/// The era of the store, as its answers and the positions of peers show it.
struct position_eras {
    struct position_era present;
    uint64_t unconfirmed; ///< stated by one answer, and not used; 0: none
};

enum position_verdict {
    POSITION_CURRENT,  ///< the answer is of the present era
    POSITION_RESTORED, ///< the first answer of a new era
    POSITION_STALE,    ///< sent before the last restore, or not confirmed yet
    POSITION_ODD, ///< states an earlier era for the first time, but was sent
                  ///< in this one
};

/// Judges an answer by the number that it states. `begun` is the era in which
/// its call began: an answer to a call of the present era cannot be older.
enum position_verdict position_judge(struct position_eras *eras,
                                     struct position_era begun,
                                     uint64_t stated);

/// A peer has records of this era.
void position_observe(struct position_eras *eras, struct position_era era);
