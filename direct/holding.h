/// Memory that requests need at the endpoints that hold them.
#pragma once

struct endpoint;
struct exchange;

/// Tokens that an endpoint is expected to hold for the request: its prompt and
/// its output.
double holding_expect_tokens(const struct exchange *exchange);

/// Counts the request at its endpoint.
void holding_begin(struct exchange *exchange);
void holding_end(struct exchange *exchange);

/// Learns from the length of a complete stream that one endpoint has sent.
void holding_record_answer(struct exchange *exchange);
