#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <CUnit/CUnit.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <jansson.h>

#include "core/xmalloc.h"
#include "dandelionvalve/conf.h"
#include "dandelionvalve/history.h"
#include "standin/text.h"

#define START_TIMEOUT_MS 5000
#define CALL_TIMEOUT_MS 20000
#define HEADER_BYTES_MAX 65536

static const char default_document[] =
    "[[pool]]\nname = \"models\"\nkind = \"model\"\n"
    "[pool.placement]\nmodels = [\"test-model\"]\n"
    "[[pool]]\nname = \"plain\"\nkind = \"service\"\n"
    "[[route]]\nname = \"chat\"\npath = \"/v1/chat/completions\"\n"
    "methods = [\"POST\"]\npool = \"models\"\naffinity = \"chat\"\n"
    "repeatable = true\nfirst_byte_ms = 3000\nidle_ms = 3000\n"
    "[[route]]\nname = \"orders\"\npath = \"/orders\"\n"
    "methods = [\"POST\"]\npool = \"plain\"\nrepeatable = false\n"
    "deadline_ms = 15000\n"
    "[[route]]\nname = \"keyed\"\npath = \"/keyed\"\n"
    "methods = [\"POST\"]\npool = \"plain\"\nrepeatable = false\n"
    "key_required = true\nbody_bytes_max = 1000\n"
    "[[route]]\nname = \"status\"\npath = \"/status/*\"\n"
    "methods = [\"GET\"]\npool = \"plain\"\nrepeatable = true\n";

static struct address
ephemeral_address(void)
{
    struct address address;
    struct err err = {0};

    if (!address_parse(STR_LITERAL("127.0.0.1:0"), &address, &err)) {
        BUG("%s", err.message);
    }
    return address;
}

static void
fill_common(const struct harness *harness, struct settings_common *common,
            const char *name)
{
    *common = (struct settings_common){
        .name = str_from(name),
        .zone = STR_LITERAL("zone-a"),
        .environment = STR_LITERAL("production"),
        .platform = platform_log_address(harness->log),
        .admin = ephemeral_address(),
        .has_control = true,
        .control = ephemeral_address(),
        .control_bytes_per_s = 3000,
        .keys = {.count = 1},
    };
    memset(common->keys.keys[0], 7, LINK_KEY_BYTES);
}

static void
on_agent_drained(void *ctx)
{
    *(bool *)ctx = true;
}

void
harness_start_agent(struct harness *harness, size_t index)
{
    struct settings_agent *settings = &harness->agent_settings[index];
    const struct agent_options options = {
        .base = harness->base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .settings = settings,
        .incarnation = ++harness->incarnation,
        .drained = on_agent_drained,
        .ctx = &harness->agent_drained[index],
    };
    struct err err = {0};

    harness->agent_drained[index] = false;
    harness->agents[index] = agent_new(&options, &err);
    if (harness->agents[index] == NULL) {
        BUG("%s", err.message);
    }
    // A restarted agent uses the same ports.
    settings->links = agent_links_address(harness->agents[index]);
    settings->common.admin = agent_admin_address(harness->agents[index]);
    settings->common.control = agent_control_address(harness->agents[index]);
}

void
harness_crash_agent(struct harness *harness, size_t index)
{
    agent_free(harness->agents[index]);
    harness->agents[index] = NULL;
}

static void
add_agent(struct harness *harness, const char *pool, size_t number,
          struct address endpoint)
{
    size_t index = harness->agent_count++;
    struct settings_agent *settings = &harness->agent_settings[index];
    char *name = harness->agent_names[index];
    struct address links;

    snprintf(name, sizeof(harness->agent_names[index]), "%s-%zu", pool,
             number);
    fill_common(harness, &settings->common, name);
    settings->links = ephemeral_address();
    settings->endpoint = endpoint;
    settings->pool = str_from(pool);
    settings->slots = harness->options.slots;
    harness_start_agent(harness, index);
    if (harness->options.relays) {
        links = agent_links_address(harness->agents[index]);
        harness->relays[index] = relay_new(harness->base, &links);
    }
}

static void
add_endpoints(struct harness *harness)
{
    const struct harness_options *options = &harness->options;
    struct err err = {0};

    for (size_t i = 0; i < options->engines; i++) {
        const struct engine_options engine = {
            .base = harness->base,
            .clock = &clock_monotonic,
            .name = STR_LITERAL("engine"),
            .address = ephemeral_address(),
            .slots = 64,
            .decode_us_per_token = options->decode_us,
            .cache_tokens = 100000,
            .restart_ms = 300,
            .checks_fencing = options->checks_fencing,
            .weight_loads_per_s = options->loads_per_s,
        };

        harness->engines[i] = engine_new(&engine, &err);
        add_agent(harness, "models", i, engine_address(harness->engines[i]));
    }
    for (size_t i = 0; i < options->services; i++) {
        const struct service_options service = {
            .base = harness->base,
            .name = STR_LITERAL("service"),
            .address = ephemeral_address(),
            .work_us = options->work_us,
        };

        harness->services[i] = service_new(&service, &err);
        add_agent(harness, "plain", i, service_address(harness->services[i]));
    }
}

static void
on_router_drained(void *ctx)
{
    *(bool *)ctx = true;
}

static void
add_router(struct harness *harness, size_t index)
{
    struct settings_router *settings = &harness->router_settings[index];
    const struct router_options options = {
        .base = harness->base,
        .clock = &clock_monotonic,
        .random = &random_system,
        .settings = settings,
        .incarnation = ++harness->incarnation,
        .drained = on_router_drained,
        .ctx = &harness->router_drained[index],
    };
    char *name = harness->router_names[index];
    struct err err = {0};

    snprintf(name, sizeof(harness->router_names[index]), "router-%zu", index);
    fill_common(harness, &settings->common, name);
    settings->callers = ephemeral_address();
    settings->header_bytes_max = 4096;
    settings->body_bytes_max = 1024 * 1024;
    settings->caller_timeout_s = 5;
    settings->drain_wait_ms = 100;
    harness->routers[index] = router_new(&options, &err);
    if (harness->routers[index] == NULL) {
        BUG("%s", err.message);
    }
}

void
harness_add_router(struct harness *harness)
{
    add_router(harness, harness->options.routers++);
}

static void
add_routers(const struct harness *harness, json_t *list)
{
    for (size_t i = 0; i < HARNESS_MAX; i++) {
        struct address address;
        char control[ADDRESS_TEXT_BYTES];

        if (harness->routers[i] == NULL) {
            continue;
        }
        address = router_control_address(harness->routers[i]);
        address_format((struct sockaddr *)&address.storage, control);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s, s:s}", "name",
                            harness->router_names[i], "role", "router", "zone",
                            "zone-a", "control", control, "state", "live"));
    }
}

void
harness_publish_vms(struct harness *harness, const char *leaving)
{
    json_t *list = json_array();
    char *text;

    for (size_t i = 0; i < harness->agent_count; i++) {
        const char *name = harness->agent_names[i];
        struct address links = harness->relays[i] != NULL
                                   ? relay_address(harness->relays[i])
                                   : harness->agent_settings[i].links;
        char address[ADDRESS_TEXT_BYTES];
        char control[ADDRESS_TEXT_BYTES];

        address_format((struct sockaddr *)&links.storage, address);
        address_format((struct sockaddr *)&harness->agent_settings[i]
                           .common.control.storage,
                       control);
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:s%, s:s, s:s, s:i, s:s}", "name",
                      name, "role", "agent", "zone", "zone-a", "pool",
                      harness->agent_settings[i].pool.data,
                      harness->agent_settings[i].pool.len, "address", address,
                      "control", control, "weight",
                      (int)harness->options.slots, "state",
                      leaving != NULL && !strcmp(leaving, name) ? "leaving"
                                                                : "live"));
    }
    add_routers(harness, list);
    text = json_dumps(list, JSON_COMPACT);
    platform_log_set_vms(harness->log, str_from(text));
    free(text);
    json_decref(list);
}

void
harness_publish_document(struct harness *harness, const char *document,
                         int64_t base)
{
    unsigned char hash[CONF_KEY_HASH_BYTES];
    char hex[2 * CONF_KEY_HASH_BYTES + 1];
    char *text;
    struct history_record record = {
        .environment = STR_LITERAL("production"),
        .nonce = STR_LITERAL("nonce"),
        .author = STR_LITERAL("test"),
        .base = base,
    };
    struct str json;

    conf_hash_key(STR_LITERAL(HARNESS_KEY), hash);
    hex_encode(hash, sizeof(hash), hex);
    text = xasprintf("%s[[account]]\nname = \"tester\"\nkey_hash = \"%s\"\n",
                     document, hex);
    record.document = str_from(text);
    json = history_record_format(&record);
    platform_log_append(harness->log, "conf.production", json);
    free((char *)json.data);
    free(text);
}

static bool
routers_configured(void *ctx)
{
    struct harness *harness = ctx;

    return harness_router_counter(harness, COUNTER_CONF_ACCEPTED) ==
           harness->options.routers;
}

static bool
membership_is_complete(void *ctx)
{
    struct harness *harness = ctx;
    size_t members = harness->agent_count + harness->options.routers;

    return harness_agent_counter(harness, COUNTER_MEMBERS) ==
               harness->agent_count * members &&
           harness_router_counter(harness, COUNTER_MEMBERS) ==
               harness->options.routers * members;
}

static bool
routers_ready(void *ctx)
{
    const struct harness *harness = ctx;

    for (size_t i = 0; i < harness->options.routers; i++) {
        if (!router_is_ready(harness->routers[i])) {
            return false;
        }
    }
    return true;
}

void
harness_start(struct harness *harness, const struct harness_options *options)
{
    const struct platform_log_options log = {
        .clock = &clock_monotonic,
        .address = ephemeral_address(),
        .wall_offset_ms = 1700000000000LL,
        .retention_ms = 3600000,
        .append_delay_ms = options->append_delay_ms,
        .appends_per_s = 400,
        .vms = STR_LITERAL("[]"),
    };
    struct platform_log_options with_base = log;
    struct err err = {0};

    memset(harness, 0, sizeof(*harness));
    harness->options = *options;
    harness->base = event_base_new();
    with_base.base = harness->base;
    harness->log = platform_log_new(&with_base, &err);
    harness_publish_document(harness,
                             options->document != NULL ? options->document
                                                       : default_document,
                             HISTORY_NO_VERSION);
    add_endpoints(harness);
    for (size_t i = 0; i < options->routers; i++) {
        add_router(harness, i);
    }
    if (options->publish_vms_late) {
        CU_ASSERT(harness_wait(harness, routers_configured, harness,
                               START_TIMEOUT_MS));
    }
    harness_publish_vms(harness, NULL);
    CU_ASSERT(harness_wait(harness, membership_is_complete, harness,
                           START_TIMEOUT_MS));
    CU_ASSERT(harness_wait(harness, routers_ready, harness, START_TIMEOUT_MS));
}

void
harness_stop(struct harness *harness)
{
    for (size_t i = 0; i < HARNESS_MAX; i++) {
        router_free(harness->routers[i]);
    }
    for (size_t i = 0; i < harness->agent_count; i++) {
        relay_free(harness->relays[i]);
        agent_free(harness->agents[i]);
    }
    for (size_t i = 0; i < HARNESS_MAX; i++) {
        engine_free(harness->engines[i]);
        service_free(harness->services[i]);
    }
    platform_log_free(harness->log);
    event_base_free(harness->base);
}

static void
on_timeout(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    *(bool *)ctx = true;
}

bool
harness_wait(struct harness *harness, bool (*condition)(void *ctx), void *ctx,
             int64_t timeout_ms)
{
    const struct timeval timeout = {
        .tv_sec = timeout_ms / 1000,
        .tv_usec = timeout_ms % 1000 * 1000,
    };
    bool timed_out = false;
    struct event *timer =
        event_new(harness->base, -1, 0, on_timeout, &timed_out);
    bool met = false;

    event_add(timer, &timeout);
    while (!timed_out && !(met = condition(ctx))) {
        event_base_loop(harness->base, EVLOOP_ONCE);
    }
    event_free(timer);
    return met || condition(ctx);
}

static bool
never(void *ctx)
{
    (void)ctx;
    return false;
}

void
harness_run_for(struct harness *harness, int64_t ms)
{
    harness_wait(harness, never, NULL, ms);
}

static void
copy_header(const struct message_header *header, const char *name, char *out,
            size_t size)
{
    if (header->name.len == strlen(name) &&
        !strncasecmp(header->name.data, name, header->name.len)) {
        snprintf(out, size, STR_FMT, STR_ARG(header->value));
    }
}

static void
on_head(void *ctx, int status, const struct message_header *headers,
        size_t count)
{
    struct harness_call *call = ctx;

    call->status = status;
    for (size_t i = 0; i < count; i++) {
        copy_header(&headers[i], "Dandelionvalve-Outcome", call->outcome,
                    sizeof(call->outcome));
        copy_header(&headers[i], "Dandelionvalve-Hint", call->hint,
                    sizeof(call->hint));
        copy_header(&headers[i], "Dandelionvalve-Replayed", call->replayed,
                    sizeof(call->replayed));
        copy_header(&headers[i], "Retry-After", call->retry_after,
                    sizeof(call->retry_after));
    }
}

static void
on_data(void *ctx, struct evbuffer *data)
{
    struct harness_call *call = ctx;

    evbuffer_add_buffer(call->body, data);
}

static void
on_end(void *ctx, enum http_call_result result)
{
    struct harness_call *call = ctx;

    call->call = NULL;
    call->ended = true;
    call->result = result;
}

void
harness_call(struct harness *harness, size_t router, struct harness_call *call,
             const char *method, const char *path, const char *key,
             const char *body)
{
    const struct http_client_options client = {
        .base = harness->base,
        .address = router_callers_address(harness->routers[router]),
        .header_bytes_max = HEADER_BYTES_MAX,
    };
    const struct message_header headers[] = {
        {STR_LITERAL("Authorization"), STR_LITERAL("Bearer " HARNESS_KEY)},
        {STR_LITERAL("Idempotency-Key"), str_from(key)},
    };
    const struct http_call_options options = {
        .method = str_from(method),
        .uri = str_from(path),
        .headers = headers,
        .header_count = key != NULL ? 2 : 1,
        .body = str_from(body != NULL ? body : ""),
        .head = on_head,
        .data = on_data,
        .end = on_end,
        .ctx = call,
    };

    memset(call, 0, sizeof(*call));
    call->body = evbuffer_new();
    call->client = http_client_new(&client);
    call->call = http_call(call->client, &options);
}

void
harness_call_free(struct harness_call *call)
{
    http_client_free(call->client);
    evbuffer_free(call->body);
    memset(call, 0, sizeof(*call));
}

bool
harness_call_ended(void *call)
{
    return ((struct harness_call *)call)->ended;
}

void
harness_call_and_wait(struct harness *harness, size_t router,
                      struct harness_call *call, const char *method,
                      const char *path, const char *key, const char *body)
{
    harness_call(harness, router, call, method, path, key, body);
    CU_ASSERT(
        harness_wait(harness, harness_call_ended, call, CALL_TIMEOUT_MS));
}

const char *
harness_response_body(struct harness_call *call)
{
    evbuffer_add(call->body, "", 1);
    return (const char *)evbuffer_pullup(call->body, -1);
}

bool
harness_is_expected_response(struct harness_call *call,
                             const char *request_body, size_t tokens,
                             bool stream)
{
    uint64_t seed = text_seed(str_from(request_body));
    const char *at = harness_response_body(call);

    for (size_t i = 0; i < tokens; i++) {
        char token[TEXT_TOKEN_BYTES];

        text_token(seed, i, token);
        at = strstr(at, token);
        if (at == NULL) {
            return false;
        }
        at += strlen(token);
    }
    return !stream || strstr(at, "data: [DONE]") != NULL;
}

char *
harness_chat_body(const char *chat, size_t tokens, bool stream)
{
    return xasprintf("{\"model\":\"test-model\",\"stream\":%s,"
                     "\"max_tokens\":%zu,\"metadata\":{\"chat_id\":\"%s\"},"
                     "\"messages\":[{\"role\":\"user\",\"content\":"
                     "\"hello from %s\"}]}",
                     stream ? "true" : "false", tokens, chat, chat);
}

uint64_t
harness_router_counter(const struct harness *harness, enum counter_id id)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < harness->options.routers; i++) {
        if (harness->routers[i] != NULL) {
            sum += counter_get(router_counters_const(harness->routers[i]), id);
        }
    }
    return sum;
}

uint64_t
harness_agent_counter(const struct harness *harness, enum counter_id id)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < harness->agent_count; i++) {
        if (harness->agents[i] != NULL) {
            sum += counter_get(agent_counters(harness->agents[i]), id);
        }
    }
    return sum;
}
