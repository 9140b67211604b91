/// Timers in milliseconds.
#pragma once

#include <stdint.h>

struct event;

/// Starts a timer event anew; `ms` below 0 counts as 0.
void timer_start(struct event *event, int64_t ms);
