/// Supervises one call of a reader of the platform's store.
///
/// Load pattern: the store stops answering the routers that read it for all,
/// without closing their connections, and a change is acknowledged right
/// after. A reader that waits for its time-out before it steps back holds up
/// the change for all. It steps back as soon as the answer is late, while the
/// call goes on: a store that is merely slow still answers it.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Time that the store may hold a read of the primary reader until a record
/// comes. The whole path of a change, from a reader that is cut off right
/// after its read began to the last router, must take less than two seconds.
#define LONG_POLL_SHORT_WAIT_MS 500
/// Delay of an answer, beyond the wait, after which the reader steps back.
#define LONG_POLL_LATE_MS 300
/// Delay of an answer, beyond the wait, after which the call is given up.
#define LONG_POLL_TIMEOUT_MS 1500

struct long_poll {
    int64_t deadline_ms;
    bool progressed; ///< bytes have arrived since the last check
    bool is_late;
};

/// A call begins that the store may hold for `wait_ms`. Returns the time until
/// the first check.
int64_t long_poll_begin(struct long_poll *poll, int64_t wait_ms,
                        int64_t now_ms);

/// Bytes of the answer have arrived.
void long_poll_progress(struct long_poll *poll);

/// The call has ended.
void long_poll_end(struct long_poll *poll);

/// Returns the time until the next check; 0: the call has timed out.
int64_t long_poll_check(struct long_poll *poll, int64_t now_ms);
