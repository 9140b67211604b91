#include "dispatch.h"

#include "core/admission.h"
#include "core/catalog.h"
#include "core/shed.h"
#include "attempt.h"
#include "candidates.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange_state.h"
#include "holding.h"
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
        .at_most_once = !exchange_is_repeatable(exchange),
        .spares_trials = direct_settings(direct)->share_ejections,
        .is_repeat = exchange->runs > 0,
        .tokens = exchange->facts.has_output_hint
                      ? holding_expect_tokens(exchange)
                      : 0,
        .capacity_tokens = service != NULL ? (double)service->cache_tokens : 0,
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
        .gap_target_ms = service != NULL ? (double)service->gap_target_ms : 0,
        .routers = direct_router_count(direct),
    };

    return endpoints_choose(direct_endpoints(direct), &query, &request,
                            choice);
}

static struct admission_request
describe(const struct exchange *exchange, double shed_share, bool is_late)
{
    return (struct admission_request){
        .service = exchange->service,
        .account = exchange->account,
        .route = exchange->route->name,
        .priority = exchange->priority,
        .prompt_tokens = prefix_tokens(&exchange->facts.prefix),
        .shed_share = shed_share,
        .is_late = is_late,
        .is_returning = services_is_returning(
            direct_services(exchange->direct), exchange->route->name,
            exchange->facts.deadline_ms),
    };
}

/// Refuses a request whose answer would begin behind its deadline; true if the
/// exchange has ended.
static bool
try_refuse_untimely(struct exchange *exchange,
                    const struct endpoints_choice *choice)
{
    struct direct *direct = exchange->direct;
    double predicted_ms = choice->place.predicted_prefill_ms;
    int64_t left_ms = exchange->expires_ms - exchange_now(exchange);
    struct admission_request request;

    if (!direct_settings(direct)->shares || exchange->offers > 0 ||
        exchange->facts.last_event_id.len > 0) {
        return false;
    }
    request = describe(exchange, 0, false);
    if (!admission_misses_deadline(services_admission(direct_services(direct)),
                                   &request, predicted_ms, left_ms)) {
        return false;
    }
    LOG_INFO("event=untimely id=%s service=" STR_FMT " account=" STR_FMT
             " priority=%u endpoint=" STR_FMT
             " predicted_ms=%.0f left_ms=%lld tokens=%u",
             exchange->id, STR_ARG(exchange->service),
             STR_ARG(exchange->account), exchange->priority,
             STR_ARG(choice->endpoint->id), predicted_ms, (long long)left_ms,
             request.prompt_tokens);
    counter_add(direct_counters(direct), COUNTER_UNTIMELY, 1);
    exchange_refuse_not_run(exchange, "it cannot begin before its deadline");
    return true;
}

static void
refuse(struct exchange *exchange)
{
    const struct endpoints *endpoints = direct_endpoints(exchange->direct);
    const char *reason = "no endpoint is usable";

    if (endpoints_are_evacuated(endpoints, exchange->service)) {
        reason = "the zones of all endpoints are evacuated";
    }
    else if (endpoints_are_cold(endpoints, exchange->service)) {
        reason = "all endpoints are cold";
    }
    else {
        exchange_refuse_not_run(exchange, reason);
        return;
    }
    counter_add(direct_counters(exchange->direct), COUNTER_COLD_REFUSED, 1);
    exchange_refuse_not_run(exchange, reason);
}

void
dispatch_request(struct exchange *exchange)
{
    struct endpoints_choice choice;
    bool found = choose(exchange, 0, &choice);

    if (!found && exchange->offers > 0 && exchange->runs == 0 &&
        exchange->offers < EXCHANGE_OFFERS_MAX) {
        // No endpoint has run the request: offer it to the first one
        // again, which may have recovered.
        found = choose(exchange, 1, &choice);
    }
    if (found) {
        if (!try_refuse_untimely(exchange, &choice)) {
            attempt_start(exchange, &choice);
        }
    }
    else if (exchange->response_started) {
        exchange_abort_response(
            exchange, "no endpoint is usable to continue the stream");
    }
    else {
        refuse(exchange);
    }
}

/// Refuses the request if its account's share of the service is used up;
/// true if the exchange has ended.
static bool
try_refuse_by_share(struct exchange *exchange, double share_min, bool is_late)
{
    struct direct *direct = exchange->direct;
    struct admission *admission = services_admission(direct_services(direct));
    const struct admission_request request = describe(
        exchange, shed_share(dispatch_shed(exchange), share_min), is_late);
    struct admission_verdict verdict;

    admission_decide(admission, &request, &verdict);
    if (verdict.reason == ADMISSION_ADMITTED) {
        return false;
    }
    LOG_INFO(
        "event=shed id=%s service=" STR_FMT " account=" STR_FMT
        " priority=%u reason=%s share=%.2f refused_share=%.2f "
        "account_share=%.3f equal_share=%.3f returning=%d tokens=%u "
        "sums_age_ms=%lld wait_ms=%lld deadline_ms=%lld",
        exchange->id, STR_ARG(exchange->service), STR_ARG(exchange->account),
        exchange->priority, admission_reason_name(verdict.reason),
        request.shed_share, verdict.refused_share, verdict.account_share,
        verdict.equal_share, request.is_returning, request.prompt_tokens,
        (long long)admission_report_age_ms(admission),
        (long long)verdict.wait_ms, (long long)exchange->facts.deadline_ms);
    counter_add(direct_counters(direct), COUNTER_SHED, 1);
    exchange_refuse_until(exchange, verdict.wait_ms,
                          "the service is overloaded");
    return true;
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

    if (exchange->facts.last_event_id.len > 0) {
        return false;
    }
    if (direct_settings(direct)->shares) {
        return try_refuse_by_share(exchange, share_min, is_late);
    }
    if (!shed_refuses(shed, direct_random(direct), share_min, is_late)) {
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
