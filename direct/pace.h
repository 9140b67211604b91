/// Learns how fast an endpoint works at this moment from its answers.
#pragma once

#include <stdint.h>

struct exchange;

/// Handles a read that completed events of a stream: updates the longest pause
/// of the stream and the usual gap of its endpoint. `events_before` is the
/// number of events that the attempt had before.
void pace_record_events(struct exchange *exchange, uint64_t events_before);
