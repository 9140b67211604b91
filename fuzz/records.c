/// Fuzz target for log records: configuration changes and claims.
#include <sodium.h>

#include "dandelionvalve/claim.h"
#include "dandelionvalve/history.h"
#include "fuzz.h"

static void
on_append(void *ctx, struct str record)
{
    (void)ctx;
    (void)record;
}

static void
on_decided(void *ctx, void *request, const struct claim_decision *decision)
{
    (void)ctx;
    (void)request;
    (void)decision;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct manual_clock manual;
    struct clock clock = manual_clock_interface(&manual);
    const struct claim_options options = {
        .clock = &clock,
        .random = &random_system,
        .window_ms = 1000,
        .answer_bytes_max = 100,
        .append = on_append,
        .decided = on_decided,
    };
    struct str record = {(const char *)data, size};
    struct history *history;
    struct claims *claims;
    struct err err = {0};

    if (sodium_init() < 0) {
        return 0;
    }
    history = history_new(STR_LITERAL("production"));
    history_apply(history, 0, record, &err);
    history_free(history);
    history = history_new(STR_LITERAL("production"));
    history_set_log_start(history, 5);
    history_apply(history, 6, record, &err);
    history_free(history);
    claims = claims_new(&options);
    claim_set_log_start(claims, 0, 10000);
    claim_apply_record(claims, 0, 0, record);
    claim_apply_record(claims, 1, 500, record);
    claims_free(claims);
    return 0;
}
