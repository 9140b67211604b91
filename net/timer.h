#pragma once

#include <stdint.h>

struct event;

/// Starts or restarts a timer; a negative `ms` counts as 0.
void timer_start(struct event *event, int64_t ms);
