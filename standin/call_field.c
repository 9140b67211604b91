#include "call_field.h"

#include <event2/http.h>

#include "net/http_client.h"

void
call_field_echo(struct evhttp_request *request)
{
    const char *number = evhttp_find_header(
        evhttp_request_get_input_headers(request), HTTP_CLIENT_CALL_FIELD);

    if (number != NULL) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          HTTP_CLIENT_CALL_FIELD, number);
    }
}
