#include "dispatch.h"

#include "core/catalog.h"
#include "core/shed.h"
#include "attempt.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange_state.h"
#include "net/log.h"
#include "services.h"
#include "daemon/settings.h"

#define LOG_MODULE "dispatch"

struct shed *
dispatch_shed(const struct exchange *exchange)
{
    return services_shed(direct_services(exchange->direct), exchange->service,
                         exchange->priority);
}

/// Chooses an endpoint; the first `skipped` ones that were tried may be chosen
/// again.
static bool
choose(struct exchange *exchange, size_t skipped,
       struct endpoints_choice *choice)
{
    struct direct *direct = exchange->direct;
    const struct catalog_service *service =
        catalog_find_service(exchange->catalog, exchange->service);
    bool is_even =
        direct_settings(direct)->even_load && exchange->facts.prefix.count > 0;
    const struct endpoints_query query = {
        .service = exchange->service,
        .prefix = &exchange->facts.prefix,
        .tried = exchange->tried + skipped,
        .tried_count = exchange->offers - skipped,
    };
    const struct place_request request = {
        .random = direct_random(direct),
        .has_prompt = exchange->facts.prefix.count > 0,
        .even_load = is_even,
        .known_share = is_even ? direct_known_share(direct) : 1,
        .affinity = prefix_affinity(&exchange->facts.prefix),
        .prompt_tokens = prefix_tokens(&exchange->facts.prefix),
        .shared_tokens = prefix_shared_tokens(&exchange->facts.prefix),
        .prefill_tokens_per_ms = direct_prefill_tokens_per_ms(direct),
        .fetch_tokens_per_ms =
            service != NULL ? service->fetched_tokens_per_ms : 0,
        .cap_factor = direct_settings(direct)->cap_factor,
        .cap_slack = 3,
        .routers = direct_router_count(direct),
    };

    return endpoints_choose(direct_endpoints(direct), &query, &request,
                            choice);
}

void
dispatch_request(struct exchange *exchange)
{
    struct endpoints_choice choice;
    bool found = choose(exchange, 0, &choice);

    if (!found && exchange->offers > 0 && exchange->runs == 0 &&
        exchange->offers < EXCHANGE_OFFERS_MAX) {
        // No endpoint has run the request: offer it to the first one again,
        // which may have recovered.
        found = choose(exchange, 1, &choice);
    }
    if (found) {
        attempt_start(exchange, &choice);
    }
    else if (exchange->response_started) {
        exchange_abort_response(
            exchange, "no endpoint is usable to continue the stream");
    }
    else {
        exchange_refuse_not_run(exchange, "no endpoint is usable");
    }
}

bool
dispatch_try_shed(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;
    struct shed *shed = dispatch_shed(exchange);
    bool is_late = services_is_late(
        direct_services(direct), exchange->route->name,
        exchange->facts.deadline_ms, exchange->route->objective_ms);
    double share_min = services_share_above(
        direct_services(direct), exchange->service, exchange->priority);

    if (exchange->facts.last_event_id.len > 0 ||
        !shed_refuses(shed, direct_random(direct), share_min, is_late)) {
        return false;
    }
    LOG_INFO("event=shed id=%s service=" STR_FMT " priority=%u share=%.2f "
             "share_min=%.2f delay=%.2f late=%d deadline_ms=%lld",
             exchange->id, STR_ARG(exchange->service), exchange->priority,
             shed->refused_share, share_min, shed->delay, is_late,
             (long long)exchange->facts.deadline_ms);
    counter_add(direct_counters(direct), COUNTER_SHED, 1);
    exchange_refuse_not_run(exchange, "the service is overloaded");
    return true;
}
