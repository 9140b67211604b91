#include "admin.h"

#include <stdlib.h>

#include <event2/http.h>

#include "core/xmalloc.h"
#include "net/http.h"

#define TEXT_TYPE "text/plain; version=0.0.4"
#define BODY_BYTES_MAX 4096
#define HEAD_BYTES_MAX 16384

struct admin {
    struct admin_options options;
    struct evhttp *http;
    struct address address;
};

static void
on_healthz(struct evhttp_request *request, void *ctx)
{
    (void)ctx;
    http_reply(request, 200, TEXT_TYPE, STR_LITERAL("ok\n"));
}

static void
on_readyz(struct evhttp_request *request, void *ctx)
{
    struct admin *admin = ctx;
    const char *why = "ok\n";
    bool ready = admin->options.is_ready(admin->options.ctx, &why);

    http_reply(request, ready ? 200 : 503, TEXT_TYPE, str_from(why));
}

static void
on_metrics(struct evhttp_request *request, void *ctx)
{
    struct admin *admin = ctx;
    char *text = counter_text(admin->options.counters);
    char *more = admin->options.metrics != NULL
                     ? admin->options.metrics(admin->options.ctx)
                     : xstrdup("");
    char *all = xasprintf("%s%s", text, more);

    http_reply(request, 200, TEXT_TYPE, str_from(all));
    free(all);
    free(more);
    free(text);
}

static void
on_status(struct evhttp_request *request, void *ctx)
{
    struct admin *admin = ctx;
    char *text = admin->options.status(admin->options.ctx);

    http_reply(request, 200, "application/json", str_from(text));
    free(text);
}

static void
on_explain(struct evhttp_request *request, void *ctx)
{
    struct admin *admin = ctx;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = evhttp_uri_get_query(uri);
    int status = 200;
    char *text = admin->options.explain(admin->options.ctx,
                                        query != NULL ? query : "", &status);

    http_reply(request, status, "application/json", str_from(text));
    free(text);
}

struct admin *
admin_new(const struct admin_options *options, struct err *err)
{
    struct admin *admin = xcalloc(1, sizeof(*admin));

    admin->options = *options;
    admin->http = evhttp_new(options->base);
    if (admin->http == NULL) {
        BUG("out of memory");
    }
    evhttp_set_max_body_size(admin->http, BODY_BYTES_MAX);
    evhttp_set_cb(admin->http, "/healthz", on_healthz, admin);
    evhttp_set_cb(admin->http, "/readyz", on_readyz, admin);
    evhttp_set_cb(admin->http, "/metrics", on_metrics, admin);
    evhttp_set_cb(admin->http, "/status", on_status, admin);
    if (options->explain != NULL) {
        evhttp_set_max_headers_size(admin->http, HEAD_BYTES_MAX);
        evhttp_set_cb(admin->http, "/explain", on_explain, admin);
    }
    if (!http_bind(admin->http, &options->address, &admin->address, err)) {
        admin_free(admin);
        return NULL;
    }
    return admin;
}

void
admin_free(struct admin *admin)
{
    if (admin == NULL) {
        return;
    }
    evhttp_free(admin->http);
    free(admin);
}

struct address
admin_address(const struct admin *admin)
{
    return admin->address;
}
