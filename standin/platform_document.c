#include "platform_document.h"

#include "core/xmalloc.h"

char *
platform_document(int64_t version, const char *api_keys, bool added_route,
                  int timeout_ms, int idle_ms)
{
    return xasprintf(
        "{\"version\":%lld,\"routes\":["
        "{\"name\":\"chat\",\"host\":\"h.example\",\"path_prefix\":\"/stream/"
        "chat/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"slo_ms\":500,"
        "\"priority\":0,\"service\":\"models\",\"max_attempts\":2,"
        "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400},"
        "{\"name\":\"draft\",\"host\":\"h.example\",\"path_prefix\":\"/stream/"
        "draft/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"slo_ms\":500,"
        "\"priority\":1,\"service\":\"models\",\"max_attempts\":1,"
        "\"sticky\":true,\"resumable\":false,\"gap_target_ms\":400},"
        "{\"name\":\"look\",\"host\":\"h.example\",\"path_prefix\":\"/look/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":%d,\"slo_ms\":300,"
        "\"priority\":2,\"service\":\"models\",\"max_attempts\":2},"
        "%s"
        "{\"name\":\"open\",\"host\":\"h.example\",\"path_prefix\":\"/open/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":800,\"slo_ms\":300,\"public\":"
        "true,\"service\":\"models\",\"max_attempts\":1},"
        "{\"name\":\"book\",\"host\":\"h.example\",\"path_prefix\":\"/book/\","
        "\"kind\":\"non_idempotent\",\"timeout_ms\":%d,\"slo_ms\":300,"
        "\"priority\":2,\"service\":\"orders\",\"max_attempts\":1},"
        "{\"name\":\"rebook\",\"host\":\"h.example\",\"path_prefix\":"
        "\"/rebook/\",\"kind\":\"non_idempotent\",\"timeout_ms\":%d,"
        "\"slo_ms\":300,\"priority\":2,\"service\":\"orders\","
        "\"max_attempts\":2}],"
        "\"services\":[{\"name\":\"models\",\"max_conns\":100,\"engine\":{"
        "\"slots\":8,\"kv_capacity\":100000,\"kv_token_bytes\":18432,"
        "\"link_mbps\":370000.0}},{\"name\":\"orders\","
        "\"max_conns\":100}],\"limits\":{\"max_header_bytes\":4096,"
        "\"max_body_bytes\":100000,\"header_timeout_ms\":1000,"
        "\"idle_timeout_ms\":%d},\"tenants\":[{\"name\":\"acme\","
        "\"api_keys\":[\"%s\"]}]}",
        (long long)version, timeout_ms,
        added_route
            ? "{\"name\":\"added\",\"host\":\"h.example\",\"path_prefix\":"
              "\"/added/\",\"kind\":\"idempotent\",\"timeout_ms\":800,"
              "\"slo_ms\":300,\"service\":\"models\",\"max_attempts\":2},"
            : "",
        timeout_ms, timeout_ms, idle_ms, api_keys);
}
