#include "admission.h"

#include <math.h>
#include <stdlib.h>

#include <utlist.h>

#include "admission_private.h"
#include "shed.h"
#include "xmalloc.h"

/// Priorities beyond the last class share its sums, as in core/shed.
#define PRIORITY_MAX 9
/// Interval in which the level is computed again.
#define LEVEL_INTERVAL_MS 50
/// Bisection steps to find the level.
#define LEVEL_STEPS 40
/// Least part of a request's cost that does not depend on its prompt, and the
/// bounds of the cost as a multiple of the mean.
#define COST_PER_REQUEST 0.5
#define COST_MAX 2.0
/// Smaller sums are neither reported nor used for a mean.
#define SUM_MIN 0.01
#define MEAN_REQUESTS_MIN 0.5
/// Bounds the time until an account is within the level.
#define KEPT_SHARE_MIN 0.01
/// Step of the quantile estimate as a share of its value.
#define QUANTILE_STEP 0.02
/// Groups, accounts and routes that are unused for this long are freed.
#define UNUSED_EXPIRY_MS 600000
#define TICK_INTERVAL_MS 1000
/// Accounts beyond this number are not taken from peers' reports.
#define ACCOUNTS_MAX 10000

static int64_t
now_ms(const struct admission *admission)
{
    return clock_ms(admission->options.clock);
}

struct admission *
admission_new(const struct admission_options *options)
{
    struct admission *admission = xcalloc(1, sizeof(*admission));

    admission->options = *options;
    admission->received_ms = -1;
    return admission;
}

static void
free_account(struct admission *admission, struct group *group,
             struct account *account)
{
    struct peer_sums *peer, *next;

    LL_FOREACH_SAFE(account->peers, peer, next)
    {
        free(peer);
    }
    HASH_DEL(group->accounts, account);
    free((char *)account->name.data);
    free(account);
    admission->account_count--;
}

static void
free_group(struct admission *admission, struct group *group)
{
    struct account *account, *next;

    HASH_ITER(hh, group->accounts, account, next)
    {
        free_account(admission, group, account);
    }
    HASH_DEL(admission->groups, group);
    free((char *)group->service.data);
    free(group);
}

static void
free_route(struct admission *admission, struct route *route)
{
    HASH_DEL(admission->routes, route);
    free((char *)route->name.data);
    free(route);
}

void
admission_free(struct admission *admission)
{
    struct group *group, *next_group;
    struct route *route, *next_route;

    if (admission == NULL) {
        return;
    }
    HASH_ITER(hh, admission->groups, group, next_group)
    {
        free_group(admission, group);
    }
    HASH_ITER(hh, admission->routes, route, next_route)
    {
        free_route(admission, route);
    }
    free(admission);
}

static struct group *
get_group(struct admission *admission, uint64_t hash)
{
    struct group *group;

    HASH_FIND(hh, admission->groups, &hash, sizeof(hash), group);
    if (group == NULL) {
        group = xcalloc(1, sizeof(*group));
        group->hash = hash;
        HASH_ADD(hh, admission->groups, hash, sizeof(group->hash), group);
    }
    group->used_ms = now_ms(admission);
    return group;
}

static struct account *
find_account(const struct group *group, uint64_t hash)
{
    struct account *account;

    HASH_FIND(hh, group->accounts, &hash, sizeof(hash), account);
    return account;
}

static struct account *
get_account(struct admission *admission, struct group *group, uint64_t hash)
{
    struct account *account = find_account(group, hash);

    if (account == NULL) {
        account = xcalloc(1, sizeof(*account));
        account->hash = hash;
        HASH_ADD(hh, group->accounts, hash, sizeof(account->hash), account);
        admission->account_count++;
        group->level_valid = false;
    }
    account->used_ms = now_ms(admission);
    return account;
}

static uint32_t
group_priority(const struct admission_request *request)
{
    return request->priority < PRIORITY_MAX ? request->priority : PRIORITY_MAX;
}

uint64_t
admission_group_hash(const struct admission_request *request)
{
    return str_hash(request->service, group_priority(request));
}

static struct group *
group_of(struct admission *admission, const struct admission_request *request)
{
    struct group *group = get_group(admission, admission_group_hash(request));

    if (group->service.data == NULL) {
        group->service = str_copy(request->service);
        group->priority = group_priority(request);
    }
    return group;
}

static struct account *
account_of(struct admission *admission, struct group *group,
           const struct admission_request *request)
{
    struct account *account =
        get_account(admission, group, str_hash(request->account, 0));

    if (account->name.data == NULL) {
        account->name = str_copy(request->account.len > 0 ? request->account
                                                          : STR_LITERAL(""));
    }
    return account;
}

static double
value(const struct decaying_count *count, int64_t at_ms)
{
    return decay_value(count, at_ms, ADMISSION_WINDOW_MS);
}

static void
add(struct decaying_count *count, int64_t at_ms, double amount)
{
    decay_add(count, at_ms, ADMISSION_WINDOW_MS, amount);
}

/// Adds up own and peers' sums, and drops old ones of peers.
static void
sum_up(struct account *account, int64_t at_ms)
{
    struct peer_sums *peer, *next;

    account->all = (struct sums){
        .offered = value(&account->offered, at_ms),
        .admitted = value(&account->admitted, at_ms),
        .tokens = value(&account->tokens, at_ms),
    };
    LL_FOREACH_SAFE(account->peers, peer, next)
    {
        double age_ms = (double)(at_ms - peer->received_ms);
        double weight = exp(-age_ms / ADMISSION_WINDOW_MS);

        if (age_ms > ADMISSION_REPORT_MAX_AGE_MS) {
            LL_DELETE(account->peers, peer);
            free(peer);
            continue;
        }
        account->all.offered += weight * peer->sums.offered;
        account->all.admitted += weight * peer->sums.admitted;
        account->all.tokens += weight * peer->sums.tokens;
    }
}

/// Cost of the account's requests as a multiple of the mean one.
static double
request_cost(const struct account *account, double mean_tokens)
{
    double tokens;

    if (account->all.admitted < MEAN_REQUESTS_MIN || mean_tokens <= 0) {
        return 1;
    }
    tokens = account->all.tokens / account->all.admitted;
    return fmin(COST_MAX, COST_PER_REQUEST +
                              (1 - COST_PER_REQUEST) * tokens / mean_tokens);
}

/// Expected number of requests that are admitted at this level.
static double
admitted_at(const struct group *group, double level)
{
    const struct account *account;
    double sum = 0;

    for (account = group->accounts; account != NULL;
         account = account->hh.next) {
        sum += account->demand > level
                   ? account->all.offered * level / account->demand
                   : account->all.offered;
    }
    return sum;
}

/// Finds the level at which the share of all requests is admitted that
/// core/shed leaves.
static void
find_level(struct group *group, double offered)
{
    double low = 0;
    double high = group->demand;

    for (int i = 0; i < LEVEL_STEPS; i++) {
        double level = (low + high) / 2;

        if (admitted_at(group, level) > (1 - group->refused_share) * offered) {
            high = level;
        }
        else {
            low = level;
        }
    }
    group->level = high;
}

static void
update_level(struct group *group, double refused_share, int64_t at_ms)
{
    struct account *account;
    struct sums all = {0};

    if (group->level_valid && group->refused_share == refused_share &&
        at_ms - group->level_ms < LEVEL_INTERVAL_MS) {
        return;
    }
    for (account = group->accounts; account != NULL;
         account = account->hh.next) {
        sum_up(account, at_ms);
        all.offered += account->all.offered;
        all.admitted += account->all.admitted;
        all.tokens += account->all.tokens;
    }
    group->demand = 0;
    group->active = 0;
    for (account = group->accounts; account != NULL;
         account = account->hh.next) {
        account->demand =
            account->all.offered *
            request_cost(account,
                         all.admitted > 0 ? all.tokens / all.admitted : 0);
        group->demand += account->demand;
        group->active += account->demand > SUM_MIN ? 1 : 0;
    }
    group->refused_share = refused_share;
    group->level_ms = at_ms;
    group->level_valid = true;
    find_level(group, all.offered);
}

/// Share of the account's requests that is refused.
static double
refused_share_of(const struct group *group, const struct account *account)
{
    if (group->refused_share <= 0 || account->demand <= group->level) {
        return 0;
    }
    return 1 - group->level / account->demand;
}

/// Updates the estimate of the quantile; true if the prompt is large.
static bool
is_large(struct admission *admission, const struct admission_request *request)
{
    struct route *route;
    double tokens = request->prompt_tokens;
    bool large;

    if (request->prompt_tokens == 0) {
        return false;
    }
    HASH_FIND(hh, admission->routes, request->route.data, request->route.len,
              route);
    if (route == NULL) {
        route = xcalloc(1, sizeof(*route));
        route->name = str_copy(request->route);
        route->large_tokens = tokens;
        HASH_ADD_KEYPTR(hh, admission->routes, route->name.data,
                        route->name.len, route);
    }
    route->used_ms = now_ms(admission);
    large = tokens > route->large_tokens;
    route->large_tokens *=
        1 + QUANTILE_STEP * (large ? ADMISSION_LARGE_QUANTILE
                                   : ADMISSION_LARGE_QUANTILE - 1);
    return large;
}

/// Refused share of returning callers. They may be so many that the account's
/// share would be exceeded if too few of them were refused.
static double
returning_share(double share, double preferred_part)
{
    double rest_max = fmax(share, SHED_SHARE_MAX);
    double least = (share - (1 - preferred_part) * rest_max) / preferred_part;

    return fmax(ADMISSION_RETURNING_FACTOR * share, least);
}

/// Shifts refusals within an account, whose refused share is `share`, from
/// returning callers and large prompts to its other requests.
static double
preferred_share(struct admission *admission, const struct group *group,
                struct account *account,
                const struct admission_request *request, double share)
{
    int64_t at_ms = now_ms(admission);
    double large_max = 1 - ADMISSION_LARGE_FACTOR * (1 - group->refused_share);
    bool large = is_large(admission, request) && share > large_max;
    double all, preferred, rest;

    add(&account->considered, at_ms, 1);
    if (large || request->is_returning) {
        add(&account->preferred, at_ms, 1);
    }
    all = value(&account->considered, at_ms);
    preferred = value(&account->preferred, at_ms);
    if (large || request->is_returning) {
        double result = request->is_returning
                            ? returning_share(share, preferred / all)
                            : share;

        result = large ? fmin(result, large_max) : result;
        add(&account->preferred_refused, at_ms, result);
        return result;
    }
    rest = share * all - value(&account->preferred_refused, at_ms);
    // Preferring some requests must not lower the share refused of others.
    return fmax(share, fmin(SHED_SHARE_MAX, rest / (all - preferred)));
}

/// Share of requests like this one that is refused.
static double
share_of(struct admission *admission, const struct group *group,
         struct account *account, const struct admission_request *request)
{
    double share = refused_share_of(group, account);

    return request->is_late
               ? fmax(share, shed_late_share(request->shed_share))
               : preferred_share(admission, group, account, request, share);
}

static enum admission_reason
reason_of(const struct admission_request *request,
          const struct admission_verdict *verdict)
{
    if (request->is_late) {
        return ADMISSION_LATE;
    }
    return verdict->account_share > verdict->equal_share ? ADMISSION_OVER_SHARE
                                                         : ADMISSION_OVERLOAD;
}

void
admission_decide(struct admission *admission,
                 const struct admission_request *request,
                 struct admission_verdict *verdict)
{
    int64_t at_ms = now_ms(admission);
    struct group *group = group_of(admission, request);
    struct account *account = account_of(admission, group, request);
    double kept;

    add(&account->offered, at_ms, 1);
    update_level(group, request->shed_share, at_ms);
    kept = fmax(KEPT_SHARE_MIN, 1 - refused_share_of(group, account));
    *verdict = (struct admission_verdict){
        .refused_share = share_of(admission, group, account, request),
        .account_share =
            group->demand > 0 ? account->demand / group->demand : 0,
        .equal_share = group->active > 0 ? 1 / (double)group->active : 1,
        .wait_ms = (int64_t)(ADMISSION_WINDOW_MS * -log(kept)),
    };
    if (verdict->refused_share > 0 &&
        random_unit(admission->options.random) < verdict->refused_share) {
        verdict->reason = reason_of(request, verdict);
    }
    else {
        add(&account->admitted, at_ms, 1);
        add(&account->tokens, at_ms, request->prompt_tokens);
    }
    account->refused[verdict->reason]++;
}

bool
admission_misses_deadline(struct admission *admission,
                          const struct admission_request *request,
                          double predicted_ms, int64_t left_ms)
{
    struct group *group;

    if (predicted_ms < (double)left_ms ||
        random_unit(admission->options.random) >= SHED_SHARE_MAX) {
        return false;
    }
    group = group_of(admission, request);
    account_of(admission, group, request)->refused[ADMISSION_DEADLINE]++;
    return true;
}

static uint32_t
to_u32(double number)
{
    return number < UINT32_MAX ? (uint32_t)number : UINT32_MAX;
}

size_t
admission_collect(struct admission *admission, struct message_share *items,
                  size_t max)
{
    int64_t at_ms = now_ms(admission);
    size_t count = 0;

    for (struct group *group = admission->groups; group != NULL;
         group = group->hh.next) {
        for (struct account *account = group->accounts;
             account != NULL && count < max; account = account->hh.next) {
            double offered = value(&account->offered, at_ms);

            if (offered < SUM_MIN) {
                continue;
            }
            items[count++] = (struct message_share){
                .group = group->hash,
                .account = account->hash,
                .offered_milli = to_u32(1000 * offered),
                .admitted_milli =
                    to_u32(1000 * value(&account->admitted, at_ms)),
                .admitted_tokens = to_u32(value(&account->tokens, at_ms)),
            };
        }
    }
    return count;
}

static void
set_peer_sums(struct account *account, uint64_t id,
              const struct message_share *item, int64_t at_ms)
{
    struct peer_sums *peer;

    LL_SEARCH_SCALAR(account->peers, peer, peer, id);
    if (peer == NULL) {
        peer = xcalloc(1, sizeof(*peer));
        peer->peer = id;
        LL_PREPEND(account->peers, peer);
    }
    peer->received_ms = at_ms;
    peer->sums = (struct sums){
        .offered = item->offered_milli / 1000.0,
        .admitted = item->admitted_milli / 1000.0,
        .tokens = item->admitted_tokens,
    };
}

void
admission_receive(struct admission *admission, uint64_t peer,
                  const struct message_share *items, size_t count)
{
    int64_t at_ms = now_ms(admission);

    admission->received_ms = at_ms;
    for (size_t i = 0; i < count; i++) {
        struct group *group = get_group(admission, items[i].group);

        if (admission->account_count < ACCOUNTS_MAX ||
            find_account(group, items[i].account) != NULL) {
            set_peer_sums(get_account(admission, group, items[i].account),
                          peer, &items[i], at_ms);
        }
    }
}

int64_t
admission_report_age_ms(const struct admission *admission)
{
    return admission->received_ms < 0
               ? -1
               : now_ms(admission) - admission->received_ms;
}

static void
print_account(const struct group *group, const struct account *account,
              FILE *out)
{
    for (size_t i = ADMISSION_ADMITTED + 1; i < ADMISSION_REASON_END; i++) {
        if (account->refused[i] > 0) {
            fprintf(out,
                    "admission_refused_total{service=\"" STR_FMT
                    "\",priority=\"%u\",account=\"" STR_FMT
                    "\",reason=\"%s\"} %llu\n",
                    STR_ARG(group->service), group->priority,
                    STR_ARG(account->name), admission_reason_name(i),
                    (unsigned long long)account->refused[i]);
        }
    }
    fprintf(out,
            "admission_account_share{service=\"" STR_FMT
            "\",priority=\"%u\",account=\"" STR_FMT "\"} %.3f\n",
            STR_ARG(group->service), group->priority, STR_ARG(account->name),
            group->demand > 0 ? account->demand / group->demand : 0);
}

void
admission_print(const struct admission *admission, FILE *out)
{
    const struct group *group;
    const struct account *account;

    if (admission->groups == NULL) {
        return;
    }
    for (group = admission->groups; group != NULL; group = group->hh.next) {
        for (account = group->accounts; account != NULL;
             account = account->hh.next) {
            if (account->name.data != NULL) {
                print_account(group, account, out);
            }
        }
    }
    fprintf(out, "admission_sums_age_ms %lld\n",
            (long long)admission_report_age_ms(admission));
}

void
admission_tick(struct admission *admission)
{
    int64_t at_ms = now_ms(admission);
    struct group *group, *next_group;
    struct account *account, *next_account;
    struct route *route, *next_route;

    if (at_ms < admission->next_tick_ms) {
        return;
    }
    admission->next_tick_ms = at_ms + TICK_INTERVAL_MS;
    HASH_ITER(hh, admission->groups, group, next_group)
    {
        HASH_ITER(hh, group->accounts, account, next_account)
        {
            sum_up(account, at_ms);
            if (at_ms - account->used_ms > UNUSED_EXPIRY_MS) {
                free_account(admission, group, account);
            }
        }
        if (at_ms - group->used_ms > UNUSED_EXPIRY_MS) {
            free_group(admission, group);
        }
    }
    HASH_ITER(hh, admission->routes, route, next_route)
    {
        if (at_ms - route->used_ms > UNUSED_EXPIRY_MS) {
            free_route(admission, route);
        }
    }
}

const char *
admission_reason_name(enum admission_reason reason)
{
    static const char *const names[ADMISSION_REASON_END] = {
        [ADMISSION_ADMITTED] = "admitted",
        [ADMISSION_OVER_SHARE] = "over-share",
        [ADMISSION_OVERLOAD] = "overload",
        [ADMISSION_LATE] = "late",
        [ADMISSION_DEADLINE] = "deadline",
    };

    return names[reason];
}
