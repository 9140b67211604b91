#include "explain.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "core/shed.h"
#include "net/http1.h"
#include "core/xmalloc.h"
#include "admission.h"
#include "candidates.h"
#include "direct_private.h"
#include "direct_state.h"
#include "dispatch.h"
#include "endpoints.h"
#include "exchange_state.h"
#include "services.h"

/// Candidates in an answer, which bounds its size.
#define CANDIDATES_SHOWN_MAX 600
#define DEADLINE_MAX_MS 86400000

static uint64_t
lowest(void *ctx)
{
    (void)ctx;
    return 0;
}

static uint64_t
middle(void *ctx)
{
    (void)ctx;
    return UINT64_C(1) << 63;
}

/// For decisions by chance: a refusal shows its reason if it is possible.
static const struct random_source lowest_draw = {.next = lowest};
/// For the random part of the cost, which is the same for all candidates then.
static const struct random_source middle_draw = {.next = middle};

static char *
to_text(json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text != NULL ? text : xstrdup("{}");
}

/// The values are left out of error messages: one may be a key that was given
/// by mistake.
static const char *
read_parameters(const struct evkeyvalq *query, const struct wire *wire,
                struct request_facts *facts, struct str *account)
{
    const struct evkeyval *field;

    TAILQ_FOREACH(field, query, next)
    {
        struct str value = str_from(field->value);

        if (strcmp(field->key, "host") == 0) {
            facts->host = value;
        }
        else if (strcmp(field->key, "path") == 0) {
            facts->path = value;
        }
        else if (strcmp(field->key, "account") == 0) {
            *account = value;
        }
        else if (strcmp(field->key, "prompt") == 0) {
            facts->prefix = (struct prefix){0};
            wire->read_prompt(value, &facts->prefix);
            if (facts->prefix.count == 0) {
                return "prompt is not of the form ID:TOKENS,...";
            }
        }
        else if (strcmp(field->key, "deadline_ms") == 0) {
            if (!str_to_int64(value, &facts->deadline_ms) ||
                facts->deadline_ms <= 0 ||
                facts->deadline_ms > DEADLINE_MAX_MS) {
                return "deadline_ms is not a number of 1 to 86400000";
            }
        }
        else {
            return "unknown parameter; known are host, path, account, prompt "
                   "and deadline_ms";
        }
    }
    return facts->host.len == 0   ? "host is needed"
           : facts->path.len == 0 ? "path is needed"
                                  : NULL;
}

/// Fills in the exchange as admission does; NULL or what is wrong.
static const char *
resolve(struct exchange *exchange, struct str account_name, int *status)
{
    const struct catalog_account *account = NULL;

    *status = 404;
    exchange->route = catalog_find_route(
        exchange->catalog, exchange->facts.host, exchange->facts.path);
    if (exchange->route == NULL) {
        return "no route has this host and path";
    }
    if (account_name.len > 0) {
        account = catalog_find_account_named(exchange->catalog, account_name);
        if (account == NULL) {
            return "no account has this name";
        }
    }
    if (!admission_set_account(exchange, account)) {
        *status = 400;
        return "the route needs an account";
    }
    *status = 200;
    admission_set_expiry(exchange);
    exchange->service =
        catalog_pick_target(exchange->route, random_unit(&lowest_draw));
    return NULL;
}

static json_t *
describe_cost(const struct place_choice *choice)
{
    const struct place_cost *cost = &choice->cost;

    return json_pack("{s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f}", "sum",
                     choice->cost_ms, "prefill", cost->prefill_ms, "fetch",
                     cost->fetch_ms, "backlog", cost->backlog_ms, "load",
                     cost->load_ms, "zone", cost->zone_ms, "jitter",
                     cost->jitter_ms, "pause", cost->pause_ms, "even_load",
                     cost->even_load_ms, "rate", cost->rate_ms);
}

static json_t *
describe_candidate(const struct candidate_view *view,
                   const struct place_choice *choice, int64_t now_ms)
{
    const struct endpoint *endpoint = view->endpoint;
    const struct place_candidate *figures = view->figures;
    bool is_usable = view->exclusion == CANDIDATE_USABLE;

    return json_pack(
        "{s:s%,s:s%,s:s,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:I,s:s?,s:o}", "id",
        endpoint->id.data, endpoint->id.len, "zone", endpoint->zone.data,
        endpoint->zone.len, "out", candidate_exclusion_name(view->exclusion),
        "load", (json_int_t)figures->load, "slots", (json_int_t)figures->slots,
        "report_age_ms", (json_int_t)endpoint_report_age_ms(endpoint, now_ms),
        "stated_age_ms", (json_int_t)figures->stated_age_ms, "slow_down",
        figures->slow_down, "held_tokens", endpoint->footprint.held_tokens,
        "backlog_tokens", figures->backlog_tokens, "cached_tokens",
        (json_int_t)figures->cached_tokens, "reason",
        is_usable ? place_reason_name(choice->reason) : NULL, "cost_ms",
        is_usable ? describe_cost(choice) : json_null());
}

static json_t *
describe_candidates(const struct direct *direct, const struct endpoint *chosen,
                    const struct place_choice *considered)
{
    const struct candidates *candidates =
        endpoints_candidates(direct->endpoints);
    int64_t now_ms = clock_ms(direct->options.clock);
    json_t *array = json_array();

    for (size_t i = 0; i < candidates_count(candidates); i++) {
        const struct candidate_view view = candidates_view(candidates, i);

        if (view.endpoint == chosen ||
            json_array_size(array) + 1 < CANDIDATES_SHOWN_MAX) {
            json_array_append_new(
                array, describe_candidate(&view, &considered[i], now_ms));
        }
    }
    return array;
}

/// What admission says of the request, on a copy of its state.
static json_t *
describe_admission(const struct exchange *exchange,
                   const struct endpoints_choice *choice)
{
    const struct admission_request request = {
        .service = exchange->service,
        .route = exchange->route->name,
        .priority = exchange->priority,
    };
    struct services *services = services_copy(
        direct_services(exchange->direct), &request, &lowest_draw);
    struct dispatch_verdict verdict;
    const char *reason = "admitted";
    json_t *json;

    dispatch_judge(exchange, services, &lowest_draw, &verdict);
    if (verdict.is_refused) {
        reason = verdict.by_account
                     ? admission_reason_name(verdict.admission.reason)
                 : verdict.is_late ? admission_reason_name(ADMISSION_LATE)
                                   : admission_reason_name(ADMISSION_OVERLOAD);
    }
    else if (choice->endpoint != NULL &&
             dispatch_is_untimely(exchange, services, choice)) {
        reason = admission_reason_name(ADMISSION_DEADLINE);
        verdict.refused_share = SHED_SHARE_MAX;
        verdict.is_refused = true;
    }
    json = json_pack(
        "{s:s,s:b,s:f,s:f,s:f,s:I}", "verdict", reason, "by_account",
        verdict.by_account, "refused_share", verdict.refused_share,
        "account_share", verdict.admission.account_share, "equal_share",
        verdict.admission.equal_share, "retry_after_ms",
        verdict.is_refused || choice->endpoint == NULL
            ? (json_int_t)exchange_retry_after_ms(exchange, &lowest_draw,
                                                  verdict.admission.wait_ms)
            : (json_int_t)-1);
    services_free(services);
    return json;
}

static json_t *
describe_targets(const struct catalog_route *route)
{
    json_t *array = json_array();

    for (size_t i = 0; i < route->target_count; i++) {
        const struct catalog_target *target = &route->targets[i];

        json_array_append_new(array, json_pack("{s:s%,s:I}", "service",
                                               target->service.data,
                                               target->service.len, "weight",
                                               (json_int_t)target->weight));
    }
    return array;
}

static json_t *
json_of(struct str text)
{
    return text.len > 0 ? json_stringn(text.data, text.len) : json_null();
}

static json_t *
explain(const struct exchange *exchange)
{
    struct direct *direct = exchange->direct;
    struct place_choice *considered =
        xcalloc(CANDIDATES_MAX, sizeof(*considered));
    struct endpoints_choice choice = {0};
    enum counter_id counter;
    bool found =
        dispatch_choose(exchange, 0, &middle_draw, considered, &choice);
    json_t *json = json_pack(
        "{s:o,s:o,s:I,s:o,s:o,s:I,s:I,s:b,s:o}", "route",
        json_of(exchange->route->name), "account", json_of(exchange->account),
        "priority", (json_int_t)exchange->priority, "service",
        json_of(exchange->service), "targets",
        describe_targets(exchange->route), "prompt_tokens",
        (json_int_t)prefix_tokens(&exchange->facts.prefix), "deadline_ms",
        (json_int_t)exchange->facts.deadline_ms, "even_load",
        direct->settings.even_load, "admission",
        describe_admission(exchange, &choice));

    json_object_set_new(json, "chosen",
                        found ? json_of(choice.endpoint->id) : json_null());
    json_object_set_new(json, "source",
                        choice.source != NULL ? json_of(choice.source->id)
                                              : json_null());
    json_object_set_new(json, "predicted_ms",
                        json_real(choice.place.predicted_prefill_ms));
    json_object_set_new(
        json, "refusal",
        found ? json_null()
              : json_string(dispatch_refusal(exchange, &choice, &counter)));
    json_object_set_new(json, "candidate_count",
                        json_integer((json_int_t)candidates_count(
                            endpoints_candidates(direct->endpoints))));
    json_object_set_new(
        json, "candidates",
        describe_candidates(direct, choice.endpoint, considered));
    free(considered);
    return json;
}

char *
explain_request(void *ctx, const char *query, int *status)
{
    struct direct *direct = ctx;
    struct exchange *exchange = xcalloc(1, sizeof(*exchange));
    struct evkeyvalq fields = {0};
    struct str account = {0};
    const char *wrong;
    json_t *json;

    TAILQ_INIT(&fields);
    exchange->direct = direct;
    exchange->catalog = direct->catalog;
    exchange->started_ms = clock_ms(direct->options.clock);
    *status = 400;
    wrong = evhttp_parse_query_str(query, &fields) != 0
                ? "the query is malformed"
                : read_parameters(&fields, direct->options.wire,
                                  &exchange->facts, &account);
    if (wrong == NULL && !direct_has_deployment(direct)) {
        *status = 503;
        wrong = "configuration or endpoints not received yet";
    }
    if (wrong == NULL) {
        wrong = resolve(exchange, account, status);
    }
    json =
        wrong != NULL ? json_pack("{s:s}", "error", wrong) : explain(exchange);
    evhttp_clear_headers(&fields);
    free(exchange);
    return to_text(json);
}
