/// Controller that polls the platform's VM list and updates the members.
#pragma once

#include "dandelionvalve/clock.h"
#include "dandelionvalve/counter.h"
#include "dandelionvalve/members.h"

struct event_base;
struct membership;
struct platform;

struct membership_options {
    struct event_base *base;
    const struct clock *clock;
    struct platform *platform;
    struct counters *counters;
    void (*changed)(void *ctx, const struct member *member);
    void (*removed)(void *ctx, const struct member *member);
    void (*probe)(void *ctx, const struct member *member);
    void *ctx;
};

/// Starts to poll the list; the caller frees with membership_free().
struct membership *membership_new(const struct membership_options *options);
void membership_free(struct membership *membership);

struct members *membership_members(struct membership *membership);

/// True once a list has been read.
bool membership_has_list(const struct membership *membership);
