/// The filter chain that a router runs on each request before dispatch.
#pragma once

struct request;

enum filter_result {
    FILTER_NEXT,
    FILTER_ANSWERED, ///< refused and freed by the filter
};

/// Authenticates the caller, selects the route and checks quarantine and
/// account limit. FILTER_NEXT if the request may be dispatched.
enum filter_result filter_run(struct request *request);
