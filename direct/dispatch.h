/// Chooses the endpoint of a request, or refuses the request.
#pragma once

#include <stdbool.h>

struct exchange;
struct shed;

/// Sends the request to the best endpoint that has not been tried. Ends the
/// exchange if there is none.
void dispatch_request(struct exchange *exchange);

/// After a failure of the endpoint: changes to another service of the route if
/// the request is better repeated there. All endpoints of a service may have
/// the same fault, such as a failed release.
void dispatch_change_target(struct exchange *exchange);

/// Refuses the request if its service is overloaded and load shedding selects
/// it; true if the exchange has ended. Requests that resume a stream are never
/// shed.
bool dispatch_try_shed(struct exchange *exchange);

/// The load shedding state of the request's service and priority.
struct shed *dispatch_shed(const struct exchange *exchange);
