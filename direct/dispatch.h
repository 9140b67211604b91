/// Chooses the endpoint of a request, or refuses it.
#pragma once

#include <stdbool.h>

struct exchange;
struct shed;

/// Offers the request to the best endpoint that it has not been offered to, or
/// ends the exchange.
void dispatch_request(struct exchange *exchange);

/// Refuses the request if its service is overloaded and it is one of those
/// that have to go; the exchange has then ended. A caller that goes on with a
/// stream is not one.
bool dispatch_try_shed(struct exchange *exchange);

/// What decides on requests like this one.
struct shed *dispatch_shed(const struct exchange *exchange);
