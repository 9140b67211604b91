/// What requests, answers and endpoints say of themselves, in the project's
/// words, and the interface of what translates them.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"
#include "prefix.h"

struct catalog;
struct evbuffer;
struct http1;

/// What a caller's request says. Views into its head.
struct request_facts {
    struct str id;
    struct str host;
    struct str path; ///< without the query
    struct str api_key;
    int64_t deadline_ms; ///< how long the caller waits; 0: not stated
    struct prefix prefix;
    uint32_t prompt_tokens;
    uint32_t output_tokens_max;
    struct str last_event_id;
};

/// What the router adds to a request on its way to an endpoint.
struct forward_facts {
    int64_t deadline_ms;       ///< what is left
    struct str instance;       ///< the only endpoint that may run it
    struct str account;        ///< empty on public routes
    struct str last_event_id;  ///< goes on behind this event; empty: as it is
    struct str context_source; ///< address to fetch kept parts of the prompt
                               ///< from; empty: none
    uint32_t priority;         ///< 0 is the highest
    bool has_priority;
    size_t body_bytes;
    bool has_body;
};

/// What an endpoint's answer says. Views into its head.
struct answer_facts {
    struct str id;        ///< of the request that it answers
    struct str signature; ///< proves that the body is the endpoint's
    bool not_executed;    ///< the endpoint has not run the request
    bool is_encoded;      ///< not the endpoint's own body
    bool has_load;
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
};

enum endpoint_state {
    ENDPOINT_READY,
    ENDPOINT_DRAINING,
};

/// An endpoint's own entry. The strings live as long as the decoded text.
struct endpoint_facts {
    struct str service;
    struct str address;
    struct str zone;
    enum endpoint_state state;
    uint32_t slots;
    int64_t incarnation; ///< differs after a restart under the same identity
    int64_t cold_ms;     ///< how much longer it is slow after its start
};

/// Translates between the project's words and those of the platform.
struct wire {
    bool (*read_request)(const struct http1 *head, struct request_facts *facts,
                         struct err *err);
    /// Writes the head of the request for an endpoint.
    void (*write_request)(const struct http1 *head,
                          const struct forward_facts *facts,
                          struct evbuffer *out);
    void (*read_answer)(const struct http1 *head, struct answer_facts *facts);
    /// Field lines of an answer that go on to the caller.
    void (*write_answer)(const struct http1 *head, struct evbuffer *out);
    /// Writes the question which parts of prompts an endpoint keeps.
    void (*write_contexts_query)(struct evbuffer *out);
    /// Calls back with each part of the answer; false with `err` set if the
    /// text is none.
    bool (*read_contexts)(struct str text,
                          void (*take)(void *ctx, uint64_t id,
                                       uint32_t tokens),
                          void *ctx, struct err *err);
    /// NULL with `err` set if the text is no configuration.
    struct catalog *(*read_catalog)(struct str text, struct err *err);
    /// Calls back with the facts if the entry names an endpoint that may be
    /// used; false with `err` set if not.
    bool (*read_endpoint)(struct str text,
                          void (*take)(void *ctx,
                                       const struct endpoint_facts *facts),
                          void *ctx, struct err *err);
};
