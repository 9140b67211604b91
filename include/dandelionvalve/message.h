/// Messages between routers and agents, and between routers, with their
/// MessagePack encoding.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "dandelionvalve/str.h"

/// Version of the messages between routers and agents, and the oldest one
/// between routers.
#define MESSAGE_VERSION 1
/// Version of the messages between routers, and the first ones with beats and
/// compressed records, with blames, with listings, with shares
/// and failing endpoints, with stated rates, with positions
/// (core/position.h) in place of offsets, with eras of any size, and with
/// questions about streams.
#define MESSAGE_VERSION_ROUTERS 9
#define MESSAGE_VERSION_BEATS 2
#define MESSAGE_VERSION_BLAMES 3
#define MESSAGE_VERSION_LISTINGS 4
#define MESSAGE_VERSION_SHARES 5
#define MESSAGE_VERSION_RATES 6
#define MESSAGE_VERSION_POSITIONS 7
#define MESSAGE_VERSION_ERAS 8
#define MESSAGE_VERSION_FINDS 9
#define MESSAGE_BYTES_MAX (512 * 1024)
#define MESSAGE_HEADERS_MAX 64
#define MESSAGE_NONCE_BYTES 32
#define MESSAGE_MAC_BYTES 32

enum message_type {
    MESSAGE_HELLO = 1,
    MESSAGE_PROOF,
    MESSAGE_OFFER,
    MESSAGE_BODY,
    MESSAGE_ACCEPT,
    MESSAGE_REFUSE,
    MESSAGE_HEAD,
    MESSAGE_DATA,
    MESSAGE_END,
    MESSAGE_FAIL,
    MESSAGE_ACK,
    MESSAGE_CANCEL,
    MESSAGE_RESUME,
    MESSAGE_PING,
    MESSAGE_PONG,
    MESSAGE_IN_FLIGHT,
    MESSAGE_STATE,
    MESSAGE_ROUTER,  ///< address on which a router accepts links of routers
    MESSAGE_LOADS,   ///< requests of a router in flight, by endpoint
    MESSAGE_KNOWN,   ///< offset up to which a router has received each topic
    MESSAGE_WANT,    ///< requests the records of a topic
    MESSAGE_RECORD,  ///< one record of a topic
    MESSAGE_REACHED, ///< all records up to an offset have been sent
    MESSAGE_PLACED,  ///< contexts that endpoints have begun to cache
    MESSAGE_DOWN,    ///< an endpoint refuses connections
    MESSAGE_STRIKE,  ///< a request crashed its endpoint
    MESSAGE_WANT_CONTEXTS, ///< requests all contexts of a router
    MESSAGE_CONTEXTS, ///< some of those contexts; an empty message ends them
    // Version 2:
    MESSAGE_BEATS,      ///< liveness of the routers that read for all
    MESSAGE_WANT_SMALL, ///< MESSAGE_WANT of a router that can read the store
    MESSAGE_PACKED,     ///< MESSAGE_RECORD with a compressed value
    MESSAGE_OVERSIZE,   ///< answer: the records are to be read from the store
    // Version 3:
    MESSAGE_BLAMES,   ///< parts of prompts whose requests crashed endpoints
    MESSAGE_ANSWERED, ///< blamed parts with which answers have begun
    // Version 4:
    MESSAGE_LISTING, ///< all keys follow that exist before an offset, up to
                     ///< MESSAGE_REACHED: others have been removed
    // Version 5:
    MESSAGE_SHARES,  ///< recent requests of a router, by service and account
    MESSAGE_FAILING, ///< an endpoint fails its requests
    // Version 6:
    MESSAGE_RATES, ///< rates of requests that endpoints state in their answers
    MESSAGE_BUSY,  ///< loads that busy endpoints state in their answers
    // Version 8:
    MESSAGE_KEPT, ///< the log has an older configuration than this router
    MESSAGE_PACKED_PART,     ///< bytes in front of those of the next
                             ///< MESSAGE_PACKED
    MESSAGE_STREAMS,         ///< a batch of streams to be written to the log
    MESSAGE_STREAMS_WRITTEN, ///< answer: whether it was
    // Version 9:
    MESSAGE_FIND_STREAMS,  ///< which builds have begun these streams
    MESSAGE_FOUND_STREAMS, ///< answer: a batch of those that are known; number
                           ///< 0: not asked for, they are not in the log yet
    MESSAGE_TYPE_END,
};

/// 128-bit identifier of a caller's request.
struct request_id {
    uint8_t bytes[16];
};

/// Identifies one attempt of a request on one agent.
struct attempt_id {
    struct request_id request;
    uint32_t attempt;
};

struct message_header {
    struct str name;
    struct str value;
};

enum agent_state {
    AGENT_READY,
    AGENT_LEAVING,
    AGENT_ENDPOINT_DOWN,
};

/// Load of an endpoint at the time when its agent sent the message.
struct load_report {
    uint64_t incarnation;
    enum agent_state state;
    uint32_t running; ///< requests
    uint32_t queued;  ///< requests
    uint32_t slots;   ///< requests that it processes at once
    uint32_t bound;   ///< cap on running requests
};

enum refuse_reason {
    REFUSE_OVER_BOUND,
    REFUSE_FULL,
    REFUSE_QUEUE_FULL,
    REFUSE_LEAVING,
    REFUSE_DEADLINE,
    REFUSE_QUARANTINED,
    REFUSE_ENDPOINT_DOWN,
    REFUSE_LOG_DOWN,
    REFUSE_KEY_CONFLICT,
    REFUSE_KEY_IN_PROGRESS,
    REFUSE_KEY_EXPIRED,
    REFUSE_BAD_REQUEST,
    REFUSE_NOT_RECEIVED,
    REFUSE_REASON_END,
};

enum fail_reason {
    FAIL_ENDPOINT_LOST,
    FAIL_FIRST_BYTE_TIMEOUT,
    FAIL_IDLE_TIMEOUT,
    FAIL_DEADLINE,
    FAIL_INCOMPLETE,
    FAIL_UNKNOWN_OUTCOME,
    FAIL_ANSWER_NOT_KEPT, ///< it has run, but its answer was too long to store
    FAIL_REASON_END,
};

struct message_hello {
    uint32_t version;
    struct str name;
    struct str role;
    uint64_t incarnation;
    struct str nonce;
};

struct message_offer {
    struct attempt_id id;
    uint32_t in_flight;   ///< requests of the router in flight in the pool
    uint32_t pool_weight; ///< sum over the endpoints that the router can use
    struct str account;
    uint32_t account_weight;
    uint32_t priority;
    struct str route;
    struct str key;
    bool repeatable;
    bool may_wait;
    bool cut_on_disconnect;
    uint64_t fingerprint;
    uint32_t deadline_ms;
    uint32_t first_byte_ms;
    uint32_t idle_ms;
    struct str method;
    struct str uri;
    struct message_header headers[MESSAGE_HEADERS_MAX];
    size_t header_count;
    uint64_t body_bytes;
    /// The whole body, or empty if it follows in MESSAGE_BODY messages.
    struct str body;
};

struct message_head {
    struct attempt_id id;
    uint32_t status;
    struct message_header headers[MESSAGE_HEADERS_MAX];
    size_t header_count;
};

/// Endpoints in one MESSAGE_LOADS; further ones follow in the next.
#define MESSAGE_LOADS_MAX 1000
#define MESSAGE_TOPIC_COUNT 3
/// Contexts in one MESSAGE_PLACED, and parts of one context.
#define MESSAGE_PLACED_MAX 64
#define MESSAGE_PLACED_PARTS_MAX 4

/// Streams in one MESSAGE_FIND_STREAMS, and bytes of each.
#define MESSAGE_FIND_MAX 512
#define MESSAGE_FIND_ID_BYTES 8

/// Beats in one MESSAGE_BEATS.
#define MESSAGE_BEATS_MAX 16

/// A position of core/position.h. Peers before MESSAGE_VERSION_ERAS use one
/// number for it: era and offset, or the offset alone.
struct message_position {
    bool has_era;
    uint32_t resets;
    uint64_t era;
    uint64_t number; ///< with an era: the offset
};

/// Liveness of a router that reads the platform's store for others.
struct message_beat {
    uint64_t id;   ///< of the router's process
    uint32_t beat; ///< counts up
    bool reads;    ///< false: its calls fail, or it is shutting down
    /// Milliseconds since the store answered again after it had failed for all
    /// routers; 0: no recent failure.
    uint32_t recovered_age_ms;
};

/// Requests of a router in flight at one endpoint.
struct message_load {
    uint64_t endpoint; ///< hash of its id
    uint32_t in_flight;
    uint32_t backlog_tokens; ///< prompt tokens that are still to be prefilled
};

/// A context that an endpoint has begun to cache: the parts of a prompt that
/// other requests share, in order.
struct message_placed {
    uint64_t endpoint; ///< hash of its id
    size_t count;
    struct {
        uint64_t id;
        uint32_t tokens;
    } parts[MESSAGE_PLACED_PARTS_MAX];
};

/// Shared parts of one prompt that are blamed for a crash.
#define MESSAGE_PARTS_MAX 15
/// Blames in one MESSAGE_BLAMES, parts in one MESSAGE_ANSWERED.
#define MESSAGE_BLAMES_MAX 64
#define MESSAGE_ANSWERED_MAX 64

/// A request that an endpoint crashed with.
struct message_blame {
    uint32_t crash_id; ///< equal for one crash that several routers observe
    uint32_t age_ms;   ///< since the crash
    bool begun;        ///< its answer had begun: it is a likely cause
    uint64_t parts[MESSAGE_PARTS_MAX]; ///< hashes, in the prompt's order
    size_t part_count;
};

/// Items in one MESSAGE_SHARES; the rest is in the next report.
#define MESSAGE_SHARES_MAX 400

/// What a router has recently received and admitted for an account: sums that
/// decay exponentially. Requests are in thousandths.
struct message_share {
    uint64_t group;   ///< hash of the service and the priority
    uint64_t account; ///< hash of its name
    uint32_t offered_milli;
    uint32_t admitted_milli;
    uint32_t admitted_tokens; ///< of their prompts
};

/// Items in one MESSAGE_RATES; further ones follow in the next.
#define MESSAGE_RATES_MAX 256

/// What an endpoint states in its answers that it takes from all routers.
struct message_rate {
    uint64_t endpoint;    ///< hash of its id
    uint64_t incarnation; ///< of the endpoint
    bool holds;           ///< false: its answers state no rate any more
    uint32_t milli_per_s;
    uint32_t age_ms; ///< of the last answer
};

/// Items in one MESSAGE_BUSY, of which a router sends one at each tick: a
/// bound on the traffic while all endpoints are busy.
#define MESSAGE_BUSY_MAX 32

/// What a busy endpoint states in its answers that it has, of all routers.
struct message_busy {
    uint64_t endpoint;    ///< hash of its id
    uint64_t incarnation; ///< of the endpoint
    uint32_t load;
    uint32_t age_ms; ///< of the answer
};

/// Contexts in one MESSAGE_CONTEXTS; further ones follow in the next.
#define MESSAGE_CONTEXTS_MAX 500

/// A context that an endpoint is presumed to have cached.
struct message_context {
    uint64_t endpoint; ///< hash of its id
    uint64_t key;      ///< hash of parts of the prompt
    uint32_t tokens;
};

/// The items of a decoded message are owned by the codec and valid until it
/// decodes another message.
struct message {
    enum message_type type;
    union {
        struct message_hello hello;
        struct {
            struct str mac;
        } proof;
        struct message_offer offer;
        struct {
            struct attempt_id id;
            uint64_t offset;
            struct str bytes;
        } part; ///< MESSAGE_BODY and MESSAGE_DATA
        struct {
            struct attempt_id id;
            struct load_report load;
        } accept;
        struct {
            struct attempt_id id;
            enum refuse_reason reason;
            uint32_t retry_after_ms;
            struct load_report load;
        } refuse;
        struct message_head head;
        struct {
            struct attempt_id id;
            uint64_t total_bytes;
            uint64_t hash;
            struct load_report load;
        } end;
        struct {
            struct attempt_id id;
            enum fail_reason reason;
            uint32_t crash_id; ///< of the endpoint's crash, or 0
            struct load_report load;
        } fail;
        struct {
            struct attempt_id id;
            uint64_t offset;
            bool finished;
            uint32_t in_flight;
        } ack;
        struct {
            struct attempt_id id;
            uint32_t in_flight;
        } cancel;
        struct {
            struct attempt_id id;
            uint64_t offset;
            bool need_head;
        } resume;
        struct {
            uint32_t in_flight;
            uint32_t pool_weight;
        } in_flight;
        struct {
            struct load_report load;
        } state;
        struct {
            struct str address;
        } router;
        struct {
            const struct message_load *items;
            size_t count;
        } loads;
        struct {
            struct message_position ends[MESSAGE_TOPIC_COUNT];
            bool reads_store; ///< the store answers for the endpoints' topic
        } known;
        struct {
            uint64_t version;
        } kept;
        struct {
            struct str bytes;
        } packed_part;
        struct {
            uint64_t number;  ///< of the batch or the question
            struct str batch; ///< core/builds.h; an answer: empty if none is
        } streams;            ///< _STREAMS and _FOUND_STREAMS
        struct {
            uint64_t number; ///< of the question, at the sender
            struct str ids;
        } find_streams;
        struct {
            uint64_t number;
            bool done;
        } streams_written;
        struct {
            uint32_t topic;
            struct message_position position;
        } position; ///< _WANT, _WANT_SMALL, _OVERSIZE, _LISTING and _REACHED
        struct {
            uint32_t topic;
            struct message_position position;
            bool removed;
            struct str key;
            struct str value;
        } record;
        struct {
            uint32_t topic;
            struct message_position position;
            struct str key;
            struct str value;     ///< compressed
            uint64_t value_bytes; ///< when expanded
        } packed;
        struct {
            const struct message_placed *items;
            size_t count;
        } placed;
        struct {
            const struct message_context *items;
            size_t count;
        } contexts;
        struct {
            const struct message_beat *items;
            size_t count;
        } beats;
        struct {
            const struct message_share *items;
            size_t count;
        } shares;
        struct {
            const struct message_rate *items;
            size_t count;
        } rates;
        struct {
            const struct message_busy *items;
            size_t count;
        } busy;
        struct {
            const struct message_blame *items;
            size_t count;
        } blames;
        struct {
            const uint64_t *parts; ///< hashes
            size_t count;
        } answered;
        struct {
            uint64_t endpoint; ///< hash of its id
        } down;
        struct {
            uint64_t fingerprint;
            uint32_t crash_id;
        } strike;
    };
};

/// Reusable encoder and decoder; not thread-safe.
struct message_codec;

/// The caller frees with message_codec_free().
struct message_codec *message_codec_new(void);
void message_codec_free(struct message_codec *codec);

/// Encodes a message; the returned bytes are valid until the next call.
struct str message_encode(struct message_codec *codec,
                          const struct message *message);

/// Decodes one message; its strings are views into `bytes`. False with `err`
/// set to ERR_PROTOCOL unless `bytes` is exactly one well-formed message.
bool message_decode(struct message_codec *codec, struct str bytes,
                    struct message *message, struct err *err);

const char *message_type_name(enum message_type type);
const char *refuse_reason_name(enum refuse_reason reason);
const char *fail_reason_name(enum fail_reason reason);

bool request_id_equal(const struct request_id *a, const struct request_id *b);
