/// The number that an agent gives each call to its endpoint.
#pragma once

struct evhttp_request;

/// Returns the number in the answer to the request.
void call_field_echo(struct evhttp_request *request);
