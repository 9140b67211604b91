/// Limits on what callers may hold, and the choice of the callers that are
/// refused or disconnected when memory or descriptors are short.
#include <stdlib.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <utlist.h>

#include "caller_state.h"
#include "core/eviction.h"
#include "core/xmalloc.h"
#include "log.h"

#define LOG_MODULE "caller"

/// A request that holds more must leave a part of the room to shorter ones.
#define SHORT_REQUEST_BYTES (64 * 1024)
#define RESERVED_DIVISOR 4
/// A caller's output may take this part of the room that is left, so that the
/// sum of all stays within it, however many they are.
#define OUTPUT_DIVISOR 4
/// A caller that has taken nothing of a response in progress for this long,
/// and has more unread than caller_output_max(), does not read.
#define RUNNING_STALLED_MS 1000
/// Room for an event and for a short burst.
#define OUTPUT_BYTES_MIN (32 * 1024)

static int64_t
now_of(const struct caller_server *server)
{
    return clock_ms(server->options.clock);
}

void
caller_count(const struct caller_server *server, enum counter_id counter)
{
    if (server->options.counters != NULL) {
        counter_add(server->options.counters, counter, 1);
    }
}

void
caller_update_charge(struct caller *caller)
{
    bool is_reading = caller->state == CALLER_READING;
    size_t bytes = 0;

    if (caller->server->options.memory == NULL) {
        return;
    }
    if (!caller->is_closed && caller->state != CALLER_CLOSING) {
        bytes = caller->http.text_capacity +
                memory_of_buffer(evbuffer_get_length(caller->body)) +
                memory_of_buffer(evbuffer_get_length(
                    bufferevent_get_input(caller->bufferevent)));
    }
    memory_hold(&caller->request,
                is_reading ? MEMORY_READING : MEMORY_REQUESTS, bytes);
}

static bool
has_room(const struct caller *caller, size_t len)
{
    const struct memory *memory = caller->server->options.memory;
    size_t reserved =
        caller->request.bytes + len > SHORT_REQUEST_BYTES
            ? memory_share_bytes(memory, MEMORY_READING) / RESERVED_DIVISOR
            : 0;

    return memory_room(memory, MEMORY_READING) >= reserved + len;
}

static uint64_t
account_of(struct caller *caller)
{
    struct caller_server *server = caller->server;

    if (!caller->account_known && caller->http.has_head &&
        server->options.account != NULL) {
        caller->account_known = true;
        caller->account = server->options.account(server->options.ctx, caller);
    }
    return caller->account_known ? caller->account : 0;
}

static bool
holds_incomplete_request(const struct caller *caller)
{
    return caller->state == CALLER_READING && caller->request.bytes > 0;
}

static struct caller *
choose_body(struct caller_server *server)
{
    struct eviction_body *bodies =
        xcalloc(server->connections, sizeof(*bodies));
    struct caller *caller;
    size_t count = 0;
    size_t index;

    DL_FOREACH(server->callers, caller)
    {
        if (holds_incomplete_request(caller)) {
            bodies[count++] = (struct eviction_body){
                .account = account_of(caller),
                .held_bytes = caller->request.bytes,
                .progress_ms = caller->progress_ms,
            };
        }
    }
    index = eviction_choose_body(bodies, count);
    free(bodies);
    if (index == EVICTION_NONE) {
        return NULL;
    }
    DL_FOREACH(server->callers, caller)
    {
        if (holds_incomplete_request(caller) && index-- == 0) {
            break;
        }
    }
    return caller;
}

bool
caller_make_room(struct caller *caller, size_t len)
{
    if (caller->server->options.memory == NULL) {
        return true;
    }
    caller_update_charge(caller);
    while (!has_room(caller, len)) {
        struct caller *chosen = choose_body(caller->server);

        if (chosen == NULL || chosen == caller) {
            return false;
        }
        caller_refuse_incomplete(chosen);
    }
    return true;
}

static struct eviction_connection
describe_connection(const struct caller *caller)
{
    size_t unsent =
        evbuffer_get_length(bufferevent_get_output(caller->bufferevent));
    bool has_ended =
        caller->state == CALLER_CLOSING ||
        (caller->state == CALLER_READING && !caller->http.started &&
         input_unread(caller->bufferevent) == 0);
    struct eviction_connection description = {
        .state = EVICTION_BUSY,
        .progress_ms = caller->progress_ms,
    };

    if (has_ended && unsent > 0) {
        // Until a complete response is sent, the caller must keep taking it.
        description.state = EVICTION_TRANSFERRING;
        description.progress_ms = caller->output.progress_ms;
    }
    else if (has_ended) {
        description.state = caller->state == CALLER_CLOSING ? EVICTION_ENDING
                            : caller->requests > 0          ? EVICTION_IDLE
                                                            : EVICTION_UNUSED;
    }
    else if (caller->state == CALLER_READING) {
        description.state = EVICTION_TRANSFERRING;
    }
    return description;
}

bool
caller_make_descriptor_room(struct caller_server *server)
{
    struct eviction_connection *all =
        xcalloc(server->connections, sizeof(*all));
    struct caller *caller;
    size_t count = 0;
    size_t index;

    DL_FOREACH(server->callers, caller)
    {
        all[count++] = describe_connection(caller);
    }
    index = eviction_choose_connection(all, count, now_of(server));
    free(all);
    if (index == EVICTION_NONE) {
        return false;
    }
    caller = server->callers;
    while (index-- > 0) {
        caller = caller->next;
    }
    LOG_INFO("event=connection-closed reason=descriptors state=%s "
             "connections=%zu limit=%zu stalled_ms=%lld",
             eviction_state_name(describe_connection(caller).state),
             server->connections, server->connections_max,
             (long long)(now_of(server) - caller->progress_ms));
    caller_count(server, COUNTER_CONNECTIONS_EVICTED);
    caller_disconnect(caller);
    return true;
}

size_t
caller_output_max(const struct caller *caller)
{
    size_t bytes =
        memory_room(caller->server->options.memory, MEMORY_RESPONSES) /
        OUTPUT_DIVISOR;

    bytes = bytes > OUTPUT_BYTES_MIN ? bytes : OUTPUT_BYTES_MIN;
    return bytes < CALLER_OUTPUT_BYTES_MAX ? bytes : CALLER_OUTPUT_BYTES_MAX;
}

void
caller_report_too_slow(const struct caller *caller)
{
    const struct caller_server_options *options = &caller->server->options;

    LOG_WARNING(
        "event=caller-too-slow kind=responses output_bytes=%zu "
        "held_bytes=%zu limit_bytes=%zu stalled_ms=%lld",
        evbuffer_get_length(bufferevent_get_output(caller->bufferevent)),
        memory_held(options->memory, MEMORY_RESPONSES),
        memory_share_bytes(options->memory, MEMORY_RESPONSES),
        (long long)(clock_ms(options->clock) - caller->output.progress_ms));
    caller_count(caller->server, COUNTER_CALLERS_TOO_SLOW);
}

/// Time without progress after which a caller may be disconnected for what it
/// has not read: short if its response is complete.
static int64_t
stall_limit_ms(const struct caller *caller)
{
    if (caller->output.holding.bytes == 0) {
        return INT64_MAX;
    }
    if (caller->state == CALLER_READING || caller->state == CALLER_CLOSING) {
        return EVICTION_STALLED_MS;
    }
    // While a request is processed, output is of the response before it.
    return caller->state == CALLER_RESPONDING &&
                   caller->output.holding.bytes > caller_output_max(caller)
               ? RUNNING_STALLED_MS
               : INT64_MAX;
}

/// The caller that has taken nothing of its response for the longest time.
static struct caller *
choose_unread_response(struct caller_server *server)
{
    int64_t now_ms = now_of(server);
    int64_t longest_ms = -1;
    struct caller *caller, *chosen = NULL;

    DL_FOREACH(server->callers, caller)
    {
        int64_t stalled_ms = now_ms - caller->output.progress_ms;

        if (stalled_ms >= stall_limit_ms(caller) && stalled_ms > longest_ms) {
            longest_ms = stalled_ms;
            chosen = caller;
        }
    }
    return chosen;
}

bool
caller_server_make_response_room(struct caller_server *server, size_t bytes)
{
    struct memory *memory = server->options.memory;

    while (memory_room(memory, MEMORY_RESPONSES) < bytes) {
        struct caller *chosen = choose_unread_response(server);

        if (chosen == NULL) {
            return false;
        }
        caller_report_too_slow(chosen);
        caller_disconnect(chosen);
    }
    return memory_room(memory, MEMORY_BUFFERED) >= bytes;
}
