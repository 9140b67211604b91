/// The filter chain that each request passes before it is dispatched.
#pragma once

struct request;

enum filter_result {
    FILTER_NEXT,
    FILTER_ANSWERED, ///< the filter has ended the request
};

/// Runs the chain; FILTER_NEXT if the request may be dispatched.
enum filter_result filter_run(struct request *request);
