/// Learns how fast an endpoint works at this moment from its answers.
#pragma once

#include <stdint.h>

struct answer_facts;
struct exchange;

/// Handles the speed that the head of an answer states.
void pace_record_answer(struct exchange *exchange,
                        const struct answer_facts *facts);

/// Handles a read that completed events of a stream: updates the longest pause
/// of the stream and the usual gap of its endpoint. `events_before` is the
/// number of events that the attempt had before.
void pace_record_events(struct exchange *exchange, uint64_t events_before);

/// Time since the request was sent to its endpoint, as it would have been at
/// the endpoint's usual speed.
int64_t pace_usual_ms(const struct exchange *exchange);
