/// Stand-in for a plain order service that counts the runs of each idempotency
/// key.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "dandelionvalve/err.h"
#include "net/address.h"

struct event_base;
struct service;

struct service_options {
    struct event_base *base;
    struct str name;
    struct address address;
    int64_t work_us; ///< processing time of a call
};

struct service *service_new(const struct service_options *options,
                            struct err *err);
void service_free(struct service *service);
struct address service_address(const struct service *service);

/// Runs in total and with this idempotency key.
uint64_t service_runs(const struct service *service);
uint64_t service_runs_of_key(const struct service *service, const char *key);

/// While set, calls run, but their connections are closed without an answer.
void service_set_lose_answers(struct service *service, bool lose);
