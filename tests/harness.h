/// Test harness: a complete deployment in one process, on ephemeral ports.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "daemon/agent.h"
#include "daemon/router.h"
#include "net/http_client.h"
#include "standin/relay.h"
#include "standin/engine.h"
#include "standin/platform_log.h"
#include "standin/service.h"

#define HARNESS_MAX 8
#define HARNESS_KEY "test-key"

struct event_base;
struct evbuffer;

struct harness_options {
    size_t engines;
    size_t services;
    size_t routers;
    int64_t slots;
    int64_t decode_us;
    int64_t work_us;
    int64_t append_delay_ms;
    bool checks_fencing;   ///< engines reject outdated fencing numbers
    int64_t loads_per_s;   ///< weight loads of each engine; 0: no limit
    bool publish_vms_late; ///< publish the VM list after the configuration
    bool relays;           ///< links go through one relay per agent
    const char *document;  ///< configuration; NULL: default
};

struct harness {
    struct harness_options options;
    struct event_base *base;
    struct platform_log *log;
    struct engine *engines[HARNESS_MAX];
    struct service *services[HARNESS_MAX];
    size_t agent_count;
    struct settings_agent agent_settings[2 * HARNESS_MAX];
    char agent_names[2 * HARNESS_MAX][16];
    struct agent *agents[2 * HARNESS_MAX];
    bool agent_drained[2 * HARNESS_MAX];
    struct relay *relays[2 * HARNESS_MAX];
    struct settings_router router_settings[HARNESS_MAX];
    char router_names[HARNESS_MAX][16];
    struct router *routers[HARNESS_MAX];
    bool router_drained[HARNESS_MAX];
    uint64_t incarnation;
};

/// One HTTP call to a router.
struct harness_call {
    struct http_client *client;
    struct http_call *call;
    int status;
    char outcome[16];
    char hint[64];
    char replayed[8];
    char retry_after[16];
    struct evbuffer *body;
    bool ended;
    enum http_call_result result;
};

/// Starts all stand-ins and daemons and waits until the routers are ready.
void harness_start(struct harness *harness,
                   const struct harness_options *options);
void harness_stop(struct harness *harness);

/// Runs the event loop until the condition holds; false after `timeout_ms`.
bool harness_wait(struct harness *harness, bool (*condition)(void *ctx),
                  void *ctx, int64_t timeout_ms);
void harness_run_for(struct harness *harness, int64_t ms);

/// Agent `index` stops without draining; a new one starts with its settings.
void harness_crash_agent(struct harness *harness, size_t index);
void harness_start_agent(struct harness *harness, size_t index);

/// Starts another router.
void harness_add_router(struct harness *harness);

/// Publishes the current VM list; `leaving` names the agent in that state, or
/// is NULL.
void harness_publish_vms(struct harness *harness, const char *leaving);
void harness_publish_document(struct harness *harness, const char *document,
                              int64_t base);

/// Starts a call; `key` is an idempotency key or NULL. Free with
/// harness_call_free().
void harness_call(struct harness *harness, size_t router,
                  struct harness_call *call, const char *method,
                  const char *path, const char *key, const char *body);
void harness_call_free(struct harness_call *call);

/// Condition for harness_wait(): the call has ended.
bool harness_call_ended(void *call);

/// Starts a call and waits for its end; fails the test on a time-out.
void harness_call_and_wait(struct harness *harness, size_t router,
                           struct harness_call *call, const char *method,
                           const char *path, const char *key,
                           const char *body);

/// The response body, NUL-terminated and valid as long as the call.
const char *harness_response_body(struct harness_call *call);

/// True if the response is the engine stand-in's complete response to this
/// request body.
bool harness_is_expected_response(struct harness_call *call,
                                  const char *request_body, size_t tokens,
                                  bool stream);

/// Request body of a chat completion; free with free().
char *harness_chat_body(const char *chat, size_t tokens, bool stream);

uint64_t harness_router_counter(const struct harness *harness,
                                enum counter_id id);
uint64_t harness_agent_counter(const struct harness *harness,
                               enum counter_id id);
