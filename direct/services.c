#include "services.h"

#include <math.h>
#include <stdlib.h>

#include <uthash.h>

#include "core/admission.h"
#include "core/footprint.h"
#include "core/timing.h"
#include "core/xmalloc.h"
#include "net/log.h"

#define LOG_MODULE "services"

/// Priorities beyond the last class share its state.
#define PRIORITY_CLASSES 10
/// Least time between two log lines on one class while it sheds.
#define LOG_INTERVAL_MS 1000
/// State that is unused for this long is freed: services and routes come and
/// go with the configuration.
#define UNUSED_EXPIRY_MS 60000

struct priority_class {
    struct shed shed;
    int64_t logged_ms;
};

struct service {
    struct str name;
    struct retry_budget retry;
    struct priority_class classes[PRIORITY_CLASSES];
    int64_t used_ms;
    UT_hash_handle hh;
};

struct route {
    struct str name;
    int64_t typical_deadline_ms; ///< of first attempts
    struct footprint_lengths lengths;
    int64_t used_ms;
    UT_hash_handle hh;
};

struct services {
    const struct clock *clock;
    struct service *by_name;
    struct route *routes;
    struct admission *admission;
};

struct services *
services_new(const struct clock *clock, const struct random_source *random)
{
    struct services *services = xcalloc(1, sizeof(*services));

    services->clock = clock;
    services->admission =
        admission_new(&(struct admission_options){clock, random});
    return services;
}

static void
remove_service(struct services *services, struct service *service)
{
    HASH_DEL(services->by_name, service);
    free((char *)service->name.data);
    free(service);
}

static void
remove_route(struct services *services, struct route *route)
{
    HASH_DEL(services->routes, route);
    free((char *)route->name.data);
    free(route);
}

void
services_free(struct services *services)
{
    struct service *service, *next_service;
    struct route *route, *next_route;

    if (services == NULL) {
        return;
    }
    HASH_ITER(hh, services->by_name, service, next_service)
    {
        remove_service(services, service);
    }
    HASH_ITER(hh, services->routes, route, next_route)
    {
        remove_route(services, route);
    }
    admission_free(services->admission);
    free(services);
}

struct services *
services_copy(const struct services *services,
              const struct admission_request *request,
              const struct random_source *random)
{
    struct services *copy = xcalloc(1, sizeof(*copy));
    const struct service *service;
    const struct route *route;

    copy->clock = services->clock;
    copy->admission = admission_copy(services->admission, request, random);
    HASH_FIND(hh, services->by_name, request->service.data,
              request->service.len, service);
    if (service != NULL) {
        struct service *service_copy = xcalloc(1, sizeof(*service_copy));

        *service_copy = *service;
        service_copy->name = str_copy(service->name);
        HASH_ADD_KEYPTR(hh, copy->by_name, service_copy->name.data,
                        service_copy->name.len, service_copy);
    }
    HASH_FIND(hh, services->routes, request->route.data, request->route.len,
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

static struct service *
get_service(struct services *services, struct str name)
{
    struct service *service;

    HASH_FIND(hh, services->by_name, name.data, name.len, service);
    if (service == NULL) {
        service = xcalloc(1, sizeof(*service));
        service->name = str_copy(name);
        HASH_ADD_KEYPTR(hh, services->by_name, service->name.data,
                        service->name.len, service);
    }
    service->used_ms = clock_ms(services->clock);
    return service;
}

struct retry_budget *
services_retry_budget(struct services *services, struct str name,
                      const struct retry_options *options)
{
    struct service *service = get_service(services, name);

    retry_set_options(&service->retry, options);
    return &service->retry;
}

struct shed *
services_shed(struct services *services, struct str name, uint32_t priority)
{
    struct service *service = get_service(services, name);

    return &service
                ->classes[priority < PRIORITY_CLASSES ? priority
                                                      : PRIORITY_CLASSES - 1]
                .shed;
}

double
services_share_above(struct services *services, struct str name,
                     uint32_t priority)
{
    const struct service *service = get_service(services, name);
    double share = 0;

    for (uint32_t i = 0; i < priority && i < PRIORITY_CLASSES - 1; i++) {
        share = fmax(share, service->classes[i].shed.refused_share);
    }
    return share;
}

static struct route *
get_route(struct services *services, struct str name)
{
    struct route *route;

    HASH_FIND(hh, services->routes, name.data, name.len, route);
    if (route == NULL) {
        route = xcalloc(1, sizeof(*route));
        route->name = str_copy(name);
        HASH_ADD_KEYPTR(hh, services->routes, route->name.data,
                        route->name.len, route);
    }
    route->used_ms = clock_ms(services->clock);
    return route;
}

struct footprint_lengths *
services_lengths(struct services *services, struct str route)
{
    return &get_route(services, route)->lengths;
}

bool
services_is_late(struct services *services, struct str name,
                 int64_t deadline_ms, int64_t objective_ms)
{
    struct route *route;

    if (deadline_ms <= 0) {
        return false;
    }
    route = get_route(services, name);
    route->typical_deadline_ms =
        timing_typical_deadline_ms(route->typical_deadline_ms, deadline_ms);
    return timing_is_late(route->typical_deadline_ms, deadline_ms,
                          objective_ms);
}

bool
services_is_returning(const struct services *services, struct str name,
                      int64_t deadline_ms)
{
    const struct route *route;

    HASH_FIND(hh, services->routes, name.data, name.len, route);
    return deadline_ms > 0 && route != NULL &&
           timing_is_returning(route->typical_deadline_ms, deadline_ms);
}

struct admission *
services_admission(const struct services *services)
{
    return services->admission;
}

static void
log_share(const struct service *service, uint32_t priority,
          struct priority_class *priority_class, double before, int64_t now_ms)
{
    const struct shed *shed = &priority_class->shed;
    bool starts = before == 0;
    bool stops = shed->refused_share == 0;

    if (!starts && !stops &&
        now_ms - priority_class->logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    priority_class->logged_ms = now_ms;
    LOG_INFO("event=shedding service=" STR_FMT " priority=%u share=%.2f "
             "before=%.2f delay=%.2f target=%.2f",
             STR_ARG(service->name), priority, shed->refused_share, before,
             shed->delay, SHED_TARGET_DELAY);
}

static void
update_shedding(struct service *service, int64_t now_ms)
{
    for (uint32_t priority = 0; priority < PRIORITY_CLASSES; priority++) {
        struct priority_class *priority_class = &service->classes[priority];
        double before = priority_class->shed.refused_share;

        if (shed_update(&priority_class->shed, now_ms)) {
            log_share(service, priority, priority_class, before, now_ms);
        }
    }
}

void
services_print(const struct services *services, FILE *out)
{
    const struct service *service;

    for (service = services->by_name; service != NULL;
         service = service->hh.next) {
        for (uint32_t priority = 0; priority < PRIORITY_CLASSES; priority++) {
            const struct shed *shed = &service->classes[priority].shed;

            if (shed->refused_share > 0 || shed->delay > 0) {
                fprintf(out,
                        "service_shed_share{service=\"" STR_FMT
                        "\",priority=\"%u\"} %.3f\n"
                        "service_delay{service=\"" STR_FMT
                        "\",priority=\"%u\"} %.3f\n",
                        STR_ARG(service->name), priority, shed->refused_share,
                        STR_ARG(service->name), priority, shed->delay);
            }
        }
    }
    admission_print(services->admission, out);
}

void
services_tick(struct services *services)
{
    int64_t now_ms = clock_ms(services->clock);
    struct service *service, *next_service;
    struct route *route, *next_route;

    admission_tick(services->admission);
    HASH_ITER(hh, services->by_name, service, next_service)
    {
        update_shedding(service, now_ms);
        if (now_ms - service->used_ms > UNUSED_EXPIRY_MS) {
            remove_service(services, service);
        }
    }
    HASH_ITER(hh, services->routes, route, next_route)
    {
        if (now_ms - route->used_ms > UNUSED_EXPIRY_MS) {
            remove_route(services, route);
        }
    }
}
