/// Properties of requests, answers and endpoints, and the interface of the
/// translation between them and the platform's wire format.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"
#include "prefix.h"

/// Limits of the stated time that work takes at an endpoint.
#define WORK_PERCENT_MIN 10
#define WORK_PERCENT_MAX 5000

struct catalog;
struct evbuffer;
struct http1;

/// Properties of a caller's request. The strings are views into its head.
struct request_facts {
    struct str id;
    struct str host;
    struct str path; ///< without the query
    struct str api_key;
    int64_t deadline_ms; ///< how long the caller waits; 0: not set
    struct prefix prefix;
    uint32_t prompt_tokens;
    uint32_t output_tokens_max;
    bool has_output_hint;
    uint32_t output_tokens_hint; ///< estimate, often far off
    struct str last_event_id;
    /// Takes up a stream: id of the request that brought its first event.
    struct str resumes;
};

/// What a router adds to a request that it forwards to an endpoint.
struct forward_facts {
    int64_t deadline_ms;       ///< remaining time
    struct str instance;       ///< the only endpoint that may run it
    struct str account;        ///< empty on public routes
    struct str last_event_id;  ///< resume after this event; empty: unchanged
    struct str context_source; ///< address to fetch cached parts of the
                               ///< prompt from; empty: none
    uint32_t priority;         ///< 0 is the highest
    bool has_priority;
    size_t body_bytes;
    bool has_body;
};

/// Properties of an endpoint's answer. The strings are views into its head.
struct answer_facts {
    struct str id;          ///< of the request
    struct str signature;   ///< by which the endpoint authenticates the body
    bool not_executed;      ///< the endpoint has not run the request
    bool is_encoded;        ///< the body has a content encoding
    bool is_leaving;        ///< the endpoint takes no new requests any more
    bool has_retry_after;   ///< it turns requests away until then
    int64_t retry_after_ms; ///< negative: not a valid time
    bool has_load;
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    bool has_work_percent;
    bool work_percent_invalid; ///< stated, but not within the limits
    uint32_t work_percent;     ///< time that work takes; 100: as long as usual
    bool has_cold;             ///< the endpoint states whether it is cold
    int64_t cold_ms;
    bool has_rate_limit;     ///< it states what it takes from all routers
    bool rate_limit_invalid; ///< stated, but not one number within the limits
    double rate_limit_per_s;
    struct str rate_limit_text;
};

enum endpoint_state {
    ENDPOINT_READY,
    ENDPOINT_DRAINING,
};

/// An endpoint's entry in the store. The strings are valid during the
/// callback.
struct endpoint_facts {
    struct str service;
    struct str address;
    struct str zone;
    struct str version; ///< of its software; empty: not stated
    enum endpoint_state state;
    uint32_t slots;
    int64_t incarnation; ///< differs after a restart under the same identity
    int64_t sequence;    ///< of the entries of an incarnation; 0: not stated
    int64_t cold_ms;     ///< remaining time in which it takes few requests
};

/// Translation to and from the platform's wire format.
struct wire {
    bool (*read_request)(const struct http1 *head, struct request_facts *facts,
                         struct err *err);
    /// Reads the parts of a prompt as a request states them.
    void (*read_prompt)(struct str text, struct prefix *prefix);
    /// Writes the head of the request for an endpoint.
    void (*write_request)(const struct http1 *head,
                          const struct forward_facts *facts,
                          struct evbuffer *out);
    void (*read_answer)(const struct http1 *head, struct answer_facts *facts);
    /// Writes the field lines of an answer that are forwarded to the caller.
    void (*write_answer)(const struct http1 *head, struct evbuffer *out);
    /// Writes the request for the list of prompt parts that an endpoint
    /// caches.
    void (*write_contexts_query)(struct evbuffer *out);
    /// Calls back with each part of that list; false with `err` set if the
    /// text is malformed.
    bool (*read_contexts)(struct str text,
                          void (*visit)(void *ctx, uint64_t id,
                                        uint32_t tokens),
                          void *ctx, struct err *err);
    /// The caller releases the result with catalog_unref(). NULL with `err`
    /// set if the text is not a valid configuration. Routes whose text is
    /// the same as in `before`, which may be NULL, are not decoded again.
    struct catalog *(*read_catalog)(struct str text,
                                    const struct catalog *before,
                                    struct err *err);
    /// The version of a configuration; -1 if it states none.
    int64_t (*read_version)(struct str text);
    /// True if a record of the configuration's topic with this key requests
    /// the evacuation of an availability zone. `zone` is a view into the key.
    bool (*read_evacuation)(struct str key, struct str *zone);
    /// Calls back with the properties if the entry describes a usable
    /// endpoint; false with `err` set if not.
    bool (*read_endpoint)(struct str text,
                          void (*visit)(void *ctx,
                                        const struct endpoint_facts *facts),
                          void *ctx, struct err *err);
};
