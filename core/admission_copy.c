/// Copies of the state that decides on one request.
#include <utlist.h>

#include "admission_private.h"
#include "xmalloc.h"

static void
copy_account(struct admission *admission, struct group *group,
             const struct account *account)
{
    struct account *copy = xcalloc(1, sizeof(*copy));
    const struct peer_sums *peer;

    *copy = *account;
    copy->name =
        account->name.data != NULL ? str_copy(account->name) : (struct str){0};
    copy->peers = NULL;
    LL_FOREACH(account->peers, peer)
    {
        struct peer_sums *peer_copy = xcalloc(1, sizeof(*peer_copy));

        *peer_copy = *peer;
        LL_PREPEND(copy->peers, peer_copy);
    }
    HASH_ADD(hh, group->accounts, hash, sizeof(copy->hash), copy);
    admission->account_count++;
}

static void
copy_group(struct admission *admission, const struct group *group)
{
    struct group *copy = xcalloc(1, sizeof(*copy));
    const struct account *account;

    *copy = *group;
    copy->service = group->service.data != NULL ? str_copy(group->service)
                                                : (struct str){0};
    copy->accounts = NULL;
    for (account = group->accounts; account != NULL;
         account = account->hh.next) {
        copy_account(admission, copy, account);
    }
    HASH_ADD(hh, admission->groups, hash, sizeof(copy->hash), copy);
}

struct admission *
admission_copy(const struct admission *admission,
               const struct admission_request *request,
               const struct random_source *random)
{
    struct admission *copy = admission_new(
        &(struct admission_options){admission->options.clock, random});
    uint64_t hash = admission_group_hash(request);
    const struct group *group;
    const struct route *route;

    copy->received_ms = admission->received_ms;
    HASH_FIND(hh, admission->groups, &hash, sizeof(hash), group);
    if (group != NULL) {
        copy_group(copy, group);
    }
    HASH_FIND(hh, admission->routes, request->route.data, request->route.len,
              route);
    if (route != NULL) {
        struct route *route_copy = xcalloc(1, sizeof(*route_copy));

        *route_copy = *route;
        route_copy->name = str_copy(route->name);
        HASH_ADD_KEYPTR(hh, copy->routes, route_copy->name.data,
                        route_copy->name.len, route_copy);
    }
    return copy;
}
