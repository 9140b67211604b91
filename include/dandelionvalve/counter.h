/// Counters of a process, with output as Prometheus text.
#pragma once

#include <stddef.h>
#include <stdint.h>

/// X(identifier, metric name, label text, help); the help is empty for further
/// labels of a metric.
#define COUNTER_TABLE(X)                                                      \
    X(REQUESTS, "requests_total", "", "requests received from callers")       \
    X(DONE, "outcomes_total", "{outcome=\"done\"}", "answers by outcome")     \
    X(NOT_RUN, "outcomes_total", "{outcome=\"not-run\"}", "")                 \
    X(UNKNOWN, "outcomes_total", "{outcome=\"unknown\"}", "")                 \
    X(ANSWERS_BROKEN, "answers_broken_total", "",                             \
      "answers aborted after their first byte")                               \
    X(CALLERS_GONE, "callers_gone_total", "",                                 \
      "callers that disconnected before the end")                             \
    X(REJECTED, "requests_rejected_total", "",                                \
      "requests with invalid input, a wrong key or no route")                 \
    X(OFFERS, "offers_total", "", "offers sent to agents")                    \
    X(REFUSALS, "refusals_total", "", "offers refused by agents")             \
    X(SHED, "shed_total", "",                                                 \
      "requests refused as their service is overloaded")                      \
    X(UNTIMELY, "untimely_total", "",                                         \
      "requests refused as they cannot begin before their deadline")          \
    X(COLD_SENT, "cold_sent_total", "", "requests sent to cold endpoints")    \
    X(COLD_REFUSED, "cold_refused_total", "",                                 \
      "requests refused as all endpoints were cold or evacuated")             \
    X(RATE_LIMITED_SENT, "rate_limited_sent_total", "",                       \
      "requests sent to endpoints that state a rate")                         \
    X(RATE_LIMITED_REFUSED, "rate_limited_refused_total", "",                 \
      "requests refused as all endpoints get the rate that they state")       \
    X(RATE_LIMITS_IGNORED, "rate_limits_ignored_total", "",                   \
      "answers with an invalid rate of requests")                             \
    X(EVACUATIONS, "evacuations_total", "", "evacuations of zones begun")     \
    X(REFUSED_MEMORY, "requests_refused_for_memory_total", "",                \
      "incomplete requests refused as memory is short")                       \
    X(CALLERS_TOO_SLOW, "callers_too_slow_total", "",                         \
      "callers disconnected with too much unread output")                     \
    X(ANSWERS_REFUSED_MEMORY, "answers_refused_for_memory_total", "",         \
      "answers not collected as memory is short")                             \
    X(CONNECTIONS_EVICTED, "connections_closed_for_descriptors_total", "",    \
      "idle or stalled connections closed for new ones")                      \
    X(CONNECTIONS_REFUSED, "connections_refused_total", "",                   \
      "connections refused for lack of descriptors")                          \
    X(ACCEPT_FAILED, "accept_failures_total", "",                             \
      "accept() calls that failed")                                           \
    X(RETRIES, "retries_total", "", "retries charged to the budget")          \
    X(RETRY_DENIED, "retries_denied_total", "",                               \
      "retries denied by the budget")                                         \
    X(HOME, "placements_total", "{place=\"home\"}",                           \
      "accepted requests by placement")                                       \
    X(HINTED, "placements_total", "{place=\"hint\"}", "")                     \
    X(PLACED, "placements_total", "{place=\"placed\"}", "")                   \
    X(OVERFLOWED, "placements_total", "{place=\"overflow\"}", "")             \
    X(WAITED, "placements_total", "{place=\"wait\"}", "")                     \
    X(ANSWER_DROPPED, "answer_parts_dropped_total", "",                       \
      "late, duplicate or unknown parts of answers")                          \
    X(RESUMED, "resumes_total", "", "requests resumed on a new link")         \
    X(ADMITTED, "admitted_total", "",                                         \
      "requests admitted by admission control")                               \
    X(QUEUED, "queued_total", "", "requests queued by admission control")     \
    X(RUNS, "runs_total", "", "requests sent to the endpoint")                \
    X(CANCELLED, "cancelled_total", "", "runs cancelled on the endpoint")     \
    X(ENDPOINT_LOST, "endpoint_lost_total", "", "runs whose endpoint failed") \
    X(TIMED_OUT, "run_timeouts_total", "", "runs that exceeded a time limit") \
    X(CLAIM_APPENDS, "claim_appends_total", "",                               \
      "appends to the claims stream")                                         \
    X(CLAIMS, "claims_total", "", "claims written")                           \
    X(CLAIM_REPLAYED, "claim_replays_total", "",                              \
      "repeated requests answered from the claims stream")                    \
    X(STRIKES, "strikes_total", "", "strikes counted against requests")       \
    X(QUARANTINED, "quarantined_total", "", "requests refused by quarantine") \
    X(LINKS_OPENED, "links_opened_total", "",                                 \
      "links authenticated by both ends")                                     \
    X(LINKS_CLOSED, "links_closed_total", "", "links closed")                 \
    X(LINKS_SILENT, "links_silent_total", "",                                 \
      "links closed on a heartbeat time-out")                                 \
    X(LINK_AUTH_FAILED, "link_auth_failures_total", "",                       \
      "peers without the shared key")                                         \
    X(LINK_BAD_FRAMES, "link_bad_frames_total", "",                           \
      "frames too long, unknown or malformed")                                \
    X(LINK_BYTES_IN, "link_bytes_total", "{direction=\"in\"}",                \
      "bytes on links")                                                       \
    X(LINK_BYTES_OUT, "link_bytes_total", "{direction=\"out\"}", "")          \
    X(CONTROL_BYTES_IN, "control_bytes_total", "{direction=\"in\"}",          \
      "control bytes including headers")                                      \
    X(CONTROL_BYTES_OUT, "control_bytes_total", "{direction=\"out\"}", "")    \
    X(CONTROL_HELD, "control_messages_held_total", "",                        \
      "control messages held back by the bandwidth budget")                   \
    X(CONTROL_BAD, "control_bad_total", "",                                   \
      "control datagrams not authentic or malformed")                         \
    X(LOG_READS, "log_reads_total", "", "reads of the platform's log")        \
    X(LOG_APPENDS, "log_appends_total", "", "appends to the platform's log")  \
    X(LOG_FAILURES, "log_failures_total", "",                                 \
      "failed requests to the platform's log")                                \
    X(RESTORES, "restores_total", "",                                         \
      "restores of the platform's store from an older copy")                  \
    X(CONF_ACCEPTED, "configuration_accepted_total", "",                      \
      "configuration versions accepted")                                      \
    X(CONF_REJECTED, "configuration_rejected_total", "",                      \
      "configuration records rejected")                                       \
    X(CONF_VERSION, "configuration_version", "",                              \
      "configuration version in force")                                       \
    X(SPEED_OUT_OF_RANGE, "speed_ignored_total", "{cause=\"out-of-range\"}",  \
      "stated speeds of endpoints that were ignored")                         \
    X(SPEED_MISSING, "speed_ignored_total", "{cause=\"missing\"}", "")        \
    X(SPEED_CONTRADICTED, "speed_ignored_total", "{cause=\"contradicted\"}",  \
      "")                                                                     \
    X(TAKE_UPS_KNOWN, "take_ups_total", "{outcome=\"known\"}",                \
      "streams taken up by clients: the build that began it is known")        \
    X(TAKE_UPS_UNKNOWN, "take_ups_total", "{outcome=\"unknown\"}", "")        \
    X(TAKE_UPS_REFUSED, "take_ups_total", "{outcome=\"refused\"}", "")        \
    X(STREAM_BATCHES, "stream_batches_total", "{result=\"written\"}",         \
      "batches of streams for the log")                                       \
    X(STREAM_BATCHES_FAILED, "stream_batches_total", "{result=\"failed\"}",   \
      "")                                                                     \
    X(STREAMS_DROPPED, "streams_dropped_total", "",                           \
      "streams that were not written to the log")                             \
    X(ORDERS, "orders_total", "", "orders sent to the endpoint")              \
    X(ORDERS_STALE, "orders_stale_total", "", "orders that ended as stale")   \
    X(MEMBERS, "members", "", "members of the fleet")                         \
    X(IN_FLIGHT, "in_flight", "", "requests in flight")                       \
    X(CONNECTIONS, "connections", "", "open connections from callers")

enum counter_id {
#define X(id, name, label, help) COUNTER_##id,
    COUNTER_TABLE(X)
#undef X
    COUNTER_END,
};

/// Zero-initialise before use.
struct counters {
    uint64_t values[COUNTER_END];
};

static inline void
counter_add(struct counters *counters, enum counter_id id, uint64_t amount)
{
    counters->values[id] += amount;
}

static inline void
counter_set(struct counters *counters, enum counter_id id, uint64_t value)
{
    counters->values[id] = value;
}

static inline uint64_t
counter_get(const struct counters *counters, enum counter_id id)
{
    return counters->values[id];
}

/// Prometheus text of all counters; the caller frees with free().
char *counter_text(const struct counters *counters);
