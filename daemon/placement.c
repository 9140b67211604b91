#include "placement.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/event.h>
#include <jansson.h>

#include "configuration.h"
#include "core/xmalloc.h"
#include "dandelionvalve/orders.h"
#include "net/http_client.h"
#include "net/log.h"

#define LOG_MODULE "placement"
#define ORDERS_PATH "/orders"
#define HEADER_BYTES_MAX 16384
#define BACKOFF_MIN_MS 200
#define BACKOFF_MAX_MS 30000
#define ORDER_TIMEOUT_MS 60000
/// Highest age of the last complete configuration read before an order.
#define READ_AGE_MAX_MS 1000

struct placement {
    struct placement_options options;
    struct orders *orders;
    struct http_client *endpoint;
    struct http_call *call;
    struct event *timeout;
    int status;
    int64_t retry_after_ms;
};

static void
finish(struct placement *placement, enum order_result result)
{
    static const char *const names[] = {
        [ORDER_DONE] = "done",
        [ORDER_STALE] = "stale",
        [ORDER_RATE_LIMITED] = "later",
        [ORDER_FAILED] = "failed",
    };

    placement->call = NULL;
    event_del(placement->timeout);
    LOG_INFO("event=order-ended result=%s status=%d", names[result],
             placement->status);
    if (result == ORDER_STALE) {
        counter_add(placement->options.counters, COUNTER_ORDERS_STALE, 1);
    }
    orders_end(placement->orders, result, placement->retry_after_ms);
}

static void
on_head(void *ctx, int status, const struct message_header *headers,
        size_t count)
{
    struct placement *placement = ctx;

    placement->status = status;
    for (size_t i = 0; i < count; i++) {
        if (headers[i].name.len == 11 &&
            !strncasecmp(headers[i].name.data, "Retry-After", 11)) {
            char *text = str_dup(headers[i].value);

            placement->retry_after_ms = strtoll(text, NULL, 10) * 1000;
            free(text);
        }
    }
}

static void
on_end(void *ctx, enum http_call_result end)
{
    struct placement *placement = ctx;
    enum order_result result = ORDER_FAILED;

    if (end == HTTP_CALL_COMPLETE) {
        switch (placement->status) {
        case 200:
            result = ORDER_DONE;
            break;
        case 409:
            result = ORDER_STALE;
            break;
        case 429:
        case 503:
            result = ORDER_RATE_LIMITED;
            break;
        default:
            break;
        }
    }
    finish(placement, result);
}

static void
on_timeout(evutil_socket_t fd, short events, void *ctx)
{
    struct placement *placement = ctx;

    (void)fd;
    (void)events;
    if (placement->call != NULL) {
        http_call_cancel(placement->call);
        finish(placement, ORDER_FAILED);
    }
}

static void
send_order(struct placement *placement, const struct order *order)
{
    static const struct timeval timeout = {.tv_sec = ORDER_TIMEOUT_MS / 1000};
    json_t *json =
        json_pack("{s:I, s:s, s:s%}", "fence", (json_int_t)order->fence,
                  "action", order_action_name(order->action), "name",
                  order->name.data, order->name.len);
    char *text = json_dumps(json, JSON_COMPACT);
    const struct http_call_options call = {
        .method = STR_LITERAL("POST"),
        .uri = STR_LITERAL(ORDERS_PATH),
        .body = str_from(text),
        .accepts_unframed = true,
        .head = on_head,
        .end = on_end,
        .ctx = placement,
    };

    LOG_INFO("event=order action=%s name=" STR_FMT " fence=%lld",
             order_action_name(order->action), STR_ARG(order->name),
             (long long)order->fence);
    counter_add(placement->options.counters, COUNTER_ORDERS, 1);
    placement->status = 0;
    placement->retry_after_ms = 0;
    orders_begin(placement->orders);
    event_add(placement->timeout, &timeout);
    placement->call = http_call(placement->endpoint, &call);
    if (placement->call == NULL) {
        finish(placement, ORDER_FAILED);
    }
    free(text);
    json_decref(json);
}

struct placement *
placement_new(const struct placement_options *options)
{
    struct placement *placement = xcalloc(1, sizeof(*placement));
    const struct orders_options orders = {
        .clock = options->clock,
        .random = options->random,
        .backoff_min_ms = BACKOFF_MIN_MS,
        .backoff_max_ms = BACKOFF_MAX_MS,
    };
    const struct http_client_options endpoint = {
        .base = options->base,
        .address = options->endpoint,
        .idle_connections_max = 1,
        .call_field = HTTP_CLIENT_CALL_FIELD,
        .header_bytes_max = HEADER_BYTES_MAX,
    };

    placement->options = *options;
    placement->orders = orders_new(&orders);
    placement->endpoint = http_client_new(&endpoint);
    placement->timeout =
        event_new(options->base, -1, 0, on_timeout, placement);
    if (placement->timeout == NULL) {
        BUG("out of memory");
    }
    return placement;
}

void
placement_free(struct placement *placement)
{
    if (placement == NULL) {
        return;
    }
    http_client_free(placement->endpoint);
    event_free(placement->timeout);
    orders_free(placement->orders);
    free(placement);
}

void
placement_set_target(struct placement *placement, int64_t version,
                     const struct conf_placement *target, size_t rank,
                     size_t pool_size)
{
    orders_set_wanted(placement->orders, version, target, rank, pool_size);
}

void
placement_clear_loaded(struct placement *placement)
{
    orders_reset_loaded(placement->orders);
}

void
placement_tick(struct placement *placement)
{
    struct configuration *configuration = placement->options.configuration;
    struct order order;

    if (!orders_due(placement->orders, &order)) {
        return;
    }
    // The refresh may find a newer version, which replaces the target.
    if (configuration_read_age_ms(configuration) > READ_AGE_MAX_MS) {
        configuration_refresh(configuration);
        return;
    }
    send_order(placement, &order);
}
