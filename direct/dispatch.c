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

bool
dispatch_choose(const struct exchange *exchange, size_t skipped,
                const struct random_source *random,
                struct place_choice *considered,
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
        .build = exchange->build,
        .tried = exchange->tried + skipped,
        .tried_count = exchange->offers - skipped,
        .at_most_once = !exchange_is_repeatable(exchange),
        .spares_trials = direct_settings(direct)->share_ejections,
        .is_repeat = exchange->runs > 0,
        .may_be_refused =
            exchange->offers == 0 && exchange->facts.last_event_id.len == 0,
        .tokens = exchange->facts.has_output_hint
                      ? holding_expect_tokens(exchange)
                      : 0,
        .capacity_tokens = service != NULL ? (double)service->cache_tokens : 0,
    };
    const struct place_request request = {
        .random = random,
        .considered = considered,
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
describe(const struct exchange *exchange, const struct services *services,
         double shed_share, bool is_late)
{
    return (struct admission_request){
        .service = exchange->service,
        .account = exchange->account,
        .route = exchange->route->name,
        .priority = exchange->priority,
        .prompt_tokens = prefix_tokens(&exchange->facts.prefix),
        .shed_share = shed_share,
        .is_late = is_late,
        .is_returning = services_is_returning(services, exchange->route->name,
                                              exchange->facts.deadline_ms),
    };
}

bool
dispatch_is_untimely(const struct exchange *exchange,
                     const struct services *services,
                     const struct endpoints_choice *choice)
{
    struct admission_request request;

    if (!direct_settings(exchange->direct)->shares || exchange->offers > 0 ||
        exchange->facts.last_event_id.len > 0) {
        return false;
    }
    request = describe(exchange, services, 0, false);
    return admission_misses_deadline(services_admission(services), &request,
                                     choice->place.predicted_prefill_ms,
                                     exchange->expires_ms -
                                         exchange_now(exchange));
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

    if (!dispatch_is_untimely(exchange, direct_services(direct), choice)) {
        return false;
    }
    LOG_INFO("event=untimely id=%s service=" STR_FMT " account=" STR_FMT
             " priority=%u endpoint=" STR_FMT
             " predicted_ms=%.0f left_ms=%lld tokens=%u",
             exchange->id, STR_ARG(exchange->service),
             STR_ARG(exchange->account), exchange->priority,
             STR_ARG(choice->endpoint->id), predicted_ms, (long long)left_ms,
             prefix_tokens(&exchange->facts.prefix));
    counter_add(direct_counters(direct), COUNTER_UNTIMELY, 1);
    exchange_refuse_not_run(exchange, "it cannot begin before its deadline");
    return true;
}

const char *
dispatch_refusal(const struct exchange *exchange,
                 const struct endpoints_choice *choice,
                 enum counter_id *counter)
{
    const struct endpoints *endpoints = direct_endpoints(exchange->direct);

    if (choice->is_queueing) {
        *counter = COUNTER_RATE_LIMITED_REFUSED;
        return "endpoints state rates, and the slots of the others are taken";
    }
    if (exchange->build != 0 &&
        endpoints_ready_count(endpoints, exchange->service, exchange->build) ==
            0) {
        *counter = COUNTER_END;
        return "no endpoint of the software version that began the stream is "
               "usable";
    }
    *counter = COUNTER_COLD_REFUSED;
    if (endpoints_are_evacuated(endpoints, exchange->service)) {
        return "the zones of all endpoints are evacuated";
    }
    switch (endpoints_block_of_service(endpoints, exchange->service)) {
    case ENDPOINT_COLD:
        return "all endpoints are cold";
    case ENDPOINT_RATE_LIMITED:
        *counter = COUNTER_RATE_LIMITED_REFUSED;
        return "all endpoints get as many requests as they state";
    default:
        *counter = COUNTER_END;
        return "no endpoint is usable";
    }
}

static void
refuse(struct exchange *exchange, const struct endpoints_choice *choice)
{
    enum counter_id counter;
    const char *reason = dispatch_refusal(exchange, choice, &counter);

    if (counter != COUNTER_END) {
        counter_add(direct_counters(exchange->direct), counter, 1);
    }
    exchange_refuse_not_run(exchange, reason);
}

void
dispatch_request(struct exchange *exchange)
{
    const struct random_source *random = direct_random(exchange->direct);
    struct endpoints_choice choice;
    bool found = dispatch_choose(exchange, 0, random, NULL, &choice);

    if (!found && exchange->offers > 0 && exchange->runs == 0 &&
        exchange->offers < EXCHANGE_OFFERS_MAX) {
        // No endpoint has run the request: offer it to the first one again,
        // which may have recovered.
        found = dispatch_choose(exchange, 1, random, NULL, &choice);
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
        refuse(exchange, &choice);
    }
}

void
dispatch_judge(const struct exchange *exchange, struct services *services,
               const struct random_source *random,
               struct dispatch_verdict *verdict)
{
    struct shed *shed =
        services_shed(services, exchange->service, exchange->priority);

    *verdict = (struct dispatch_verdict){
        .is_late = services_is_late(services, exchange->route->name,
                                    exchange->facts.deadline_ms,
                                    exchange->route->objective_ms),
        .share_min = services_share_above(services, exchange->service,
                                          exchange->priority),
    };
    if (exchange->facts.last_event_id.len > 0) {
        return;
    }
    verdict->by_account = direct_settings(exchange->direct)->shares;
    if (!verdict->by_account) {
        verdict->refused_share =
            shed_refused_share(shed, verdict->share_min, verdict->is_late);
        verdict->is_refused =
            shed_refuses(shed, random, verdict->share_min, verdict->is_late);
        return;
    }
    verdict->request =
        describe(exchange, services, shed_share(shed, verdict->share_min),
                 verdict->is_late);
    admission_decide(services_admission(services), &verdict->request,
                     &verdict->admission);
    verdict->refused_share = verdict->admission.refused_share;
    verdict->is_refused = verdict->admission.reason != ADMISSION_ADMITTED;
}

static void
log_refusal_by_share(const struct exchange *exchange,
                     const struct dispatch_verdict *verdict)
{
    const struct admission *admission =
        services_admission(direct_services(exchange->direct));
    const struct admission_request *request = &verdict->request;
    const struct admission_verdict *by = &verdict->admission;

    LOG_INFO("event=shed id=%s service=" STR_FMT " account=" STR_FMT
             " priority=%u reason=%s share=%.2f refused_share=%.2f "
             "account_share=%.3f equal_share=%.3f returning=%d tokens=%u "
             "sums_age_ms=%lld wait_ms=%lld deadline_ms=%lld",
             exchange->id, STR_ARG(exchange->service),
             STR_ARG(exchange->account), exchange->priority,
             admission_reason_name(by->reason), request->shed_share,
             by->refused_share, by->account_share, by->equal_share,
             request->is_returning, request->prompt_tokens,
             (long long)admission_report_age_ms(admission),
             (long long)by->wait_ms, (long long)exchange->facts.deadline_ms);
}

bool
dispatch_try_shed(struct exchange *exchange)
{
    struct direct *direct = exchange->direct;
    struct dispatch_verdict verdict;

    dispatch_judge(exchange, direct_services(direct), direct_random(direct),
                   &verdict);
    if (!verdict.is_refused) {
        return false;
    }
    if (verdict.by_account) {
        log_refusal_by_share(exchange, &verdict);
    }
    else {
        const struct shed *shed = dispatch_shed(exchange);

        LOG_INFO("event=shed id=%s service=" STR_FMT " priority=%u share=%.2f "
                 "share_min=%.2f delay=%.2f late=%d deadline_ms=%lld",
                 exchange->id, STR_ARG(exchange->service), exchange->priority,
                 shed->refused_share, verdict.share_min, shed->delay,
                 verdict.is_late, (long long)exchange->facts.deadline_ms);
    }
    counter_add(direct_counters(direct), COUNTER_SHED, 1);
    exchange_refuse_until(exchange, verdict.admission.wait_ms,
                          "the service is overloaded");
    return true;
}
