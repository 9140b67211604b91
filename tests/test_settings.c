#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <CUnit/CUnit.h>

#include "core/toml.h"
#include "daemon/settings.h"
#include "standin/ports.h"
#include "suites.h"

#define COMMON                                                                \
    "name = \"a\"\nzone = \"z\"\nenvironment = \"production\"\n"              \
    "platform = \"127.0.0.1:1\"\nadmin = \"127.0.0.1:0\"\n"
#define CONTROL                                                               \
    "[control]\nkeys = [\"00000000000000000000000000000000"                   \
    "00000000000000000000000000000000\"]\n"
#define CALLERS "[callers]\naddress = \"127.0.0.1:0\"\n"

/// Writes a file whose name replaces the template `name`.
static void
write_file(char *name, const char *text)
{
    int fd = mkstemp(name);

    CU_ASSERT_FATAL(fd >= 0);
    CU_ASSERT(write(fd, text, strlen(text)) == (ssize_t)strlen(text));
    close(fd);
}

static bool
read_text(const char *text, struct err *err)
{
    char name[] = "/tmp/dandelionvalve-settings-XXXXXX";
    struct settings_router settings;
    struct toml_doc *doc = NULL;
    bool ok;

    write_file(name, text);
    ok = settings_read_router(name, &settings, &doc, err);
    if (ok) {
        toml_free(doc);
    }
    unlink(name);
    return ok;
}

static void
expect_error(const char *text, const char *expected)
{
    struct err err = {0};

    CU_ASSERT(!read_text(text, &err));
    CU_ASSERT(strstr(err.message, expected) != NULL);
}

static void
test_valid_settings(void)
{
    struct err err = {0};

    CU_ASSERT(read_text(COMMON CONTROL CALLERS, &err));
}

static void
test_invalid_settings(void)
{
    struct settings_router settings;
    struct toml_doc *doc;
    struct err err = {0};

    expect_error(COMMON CALLERS, "control: is missing");
    expect_error(COMMON CONTROL CALLERS "typo = 1\n", "callers.typo: unknown");
    expect_error(COMMON CONTROL "[callers]\naddress = \"router:80\"\n",
                 "'router:80' is not an IP number with a port");
    expect_error(COMMON CONTROL CALLERS "timeout_s = 0\n",
                 ":10: callers.timeout_s: must be from 1");
    expect_error(COMMON "log_level = \"loud\"\n" CONTROL CALLERS, "log_level");
    expect_error(COMMON "[control]\nkeys = [\"12\"]\n" CALLERS,
                 "key 1 must be 64 hex digits");
    CU_ASSERT(!settings_read_router("/does/not/exist", &settings, &doc, &err));
    CU_ASSERT(strstr(err.message, "No such file") != NULL);
}

/// A platform states its bounds as whole numbers or as fractions.
static void
test_fractional_bounds(void)
{
    char name[] = "/tmp/dandelionvalve-settings-XXXXXX";
    struct settings_direct settings;
    struct toml_doc *doc = NULL;
    struct err err = {0};

    write_file(name, "name = \"a\"\nzone = \"z\"\nstore = \"127.0.0.1:1\"\n"
                     "callers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"
#define LINKS                                                                 \
    "[links]\naddress = \"127.0.0.1:0\"\n"                                    \
    "keys = [\"00000000000000000000000000000000"                              \
    "00000000000000000000000000000000\"]\n"
                     "[bounds]\ngrace_s = 7.5\nstore_settle_ms = 2999.5\n"
                     "retry_window_s = 9.5\nretry_ratio = 1\n"
                     "retry_slack = 24.6\nload_cap_factor = 2\n"
                     "cold_rate_factor = 1.5\ncold_slack = 5\n"
                     "[placement]\neven_load = true\n");
    CU_ASSERT_FATAL(settings_read_direct(name, &settings, &doc, &err));
    CU_ASSERT(settings.cold_rate_factor == 1.5);
    CU_ASSERT(settings.cold_slack == 5);
    CU_ASSERT(settings.grace_ms == 7500);
    CU_ASSERT(settings.settle_ms == 2999);
    CU_ASSERT(settings.budget_window_ms == 9500);
    CU_ASSERT(settings.budget_slack == 24);
    CU_ASSERT(settings.even_load);
    toml_free(doc);
    unlink(name);
}

#define DIRECT                                                                \
    "name = \"a\"\nzone = \"z\"\nstore = \"127.0.0.1:1\"\n"                   \
    "callers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\n"

static bool
read_direct(const char *text, struct settings_direct *settings,
            struct err *err)
{
    char name[] = "/tmp/dandelionvalve-settings-XXXXXX";
    struct toml_doc *doc = NULL;
    bool ok;

    write_file(name, text);
    ok = settings_read_direct(name, settings, &doc, err);
    if (ok) {
        toml_free(doc);
    }
    unlink(name);
    return ok;
}

/// Features that change decisions are off unless they are asked for; the value
/// is a boolean.
static void
test_features(void)
{
    static const struct {
        const char *table;
        bool valid;
        bool shares;
        bool share_ejections;
    } cases[] = {
        {"", true, false, false},
        {"[admission]\n", true, false, false},
        {"[admission]\nshares = true\n", true, true, false},
        {"[admission]\nshares = 1\n", false, false, false},
        {"[admission]\nshare = true\n", false, false, false},
        {LINKS, true, false, false},
        {LINKS "share_ejections = true\n", true, false, true},
        {LINKS "share_ejections = \"yes\"\n", false, false, false},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct settings_direct settings = {0};
        struct err err = {0};
        char text[512];
        bool valid;

        snprintf(text, sizeof(text), DIRECT "%s", cases[i].table);
        valid = read_direct(text, &settings, &err);
        CU_ASSERT(valid == cases[i].valid);
        CU_ASSERT(!valid || settings.shares == cases[i].shares);
        CU_ASSERT(!valid ||
                  settings.share_ejections == cases[i].share_ejections);
    }
}

/// A platform may state neither limit, one of them, or fractions.
static void
test_memory_limits(void)
{
    struct settings_direct settings;
    struct err err = {0};

    CU_ASSERT(read_direct(DIRECT "[memory]\n", &settings, &err));
    CU_ASSERT(settings.memory_bytes == 0 && settings.descriptors_max == 0);
    CU_ASSERT(read_direct(DIRECT "[memory]\nlimit_mb = 160.5\n"
                                 "descriptors_max = 4100\n",
                          &settings, &err));
    CU_ASSERT(settings.memory_bytes == 160500000);
    CU_ASSERT(settings.descriptors_max == 4100);
    CU_ASSERT(
        !read_direct(DIRECT "[memory]\nlimit_mb = 1\n", &settings, &err));
    CU_ASSERT(strstr(err.message, "memory.limit_mb") != NULL);
    err = (struct err){0};
    CU_ASSERT(!read_direct(DIRECT "[memory]\ndescriptors_max = 10\n",
                           &settings, &err));
    CU_ASSERT(strstr(err.message, "memory.descriptors_max") != NULL);
    err = (struct err){0};
    CU_ASSERT(!read_direct(DIRECT "[memory]\nlimit = 1\n", &settings, &err));
}

/// Guards against a value of the environment that replaces one of the file, or
/// that is taken although it is no number.
static void
test_environment(void)
{
    struct settings_direct settings;
    struct err err = {0};

    setenv("DVDIRECT_COLD_RATE_FACTOR", "1.5", 1);
    setenv("DVDIRECT_COLD_SLACK", "5", 1);
    setenv("DVDIRECT_MEMORY_LIMIT_MB", "160", 1);
    setenv("DVDIRECT_DESCRIPTORS_MAX", "", 1);
    CU_ASSERT(read_direct(DIRECT, &settings, &err));
    CU_ASSERT(settings.cold_rate_factor == 1.5 && settings.cold_slack == 5);
    CU_ASSERT(settings.memory_bytes == 160000000);
    CU_ASSERT(settings.descriptors_max == 0);
    CU_ASSERT(read_direct(DIRECT "[bounds]\ncold_slack = 7\n"
                                 "[memory]\nlimit_mb = 200\n",
                          &settings, &err));
    CU_ASSERT(settings.cold_slack == 7 && settings.memory_bytes == 200000000);
    setenv("DVDIRECT_COLD_SLACK", "5x", 1);
    CU_ASSERT(!read_direct(DIRECT, &settings, &err));
    CU_ASSERT(strstr(err.message, "DVDIRECT_COLD_SLACK") != NULL);
    unsetenv("DVDIRECT_COLD_RATE_FACTOR");
    unsetenv("DVDIRECT_COLD_SLACK");
    unsetenv("DVDIRECT_MEMORY_LIMIT_MB");
    unsetenv("DVDIRECT_DESCRIPTORS_MAX");
}

/// ports_unused() must not return a port twice while it is still unbound: two
/// addresses of a soak's fleet (seed 520) got the same port that way.
static void
test_free_ports_are_distinct(void)
{
    static bool returned[65536];
    struct address first = ports_unused();

    returned[first.port] = true;
    for (int i = 0; i < 2000; i++) {
        struct address address = ports_unused();

        CU_ASSERT(!returned[address.port]);
        CU_ASSERT(!strcmp(address.ip, first.ip));
        returned[address.port] = true;
    }
    // Outgoing connections bind to ports of 127.0.0.1 and could take the port
    // of a server that is down.
    CU_ASSERT(strcmp(first.ip, "127.0.0.1") != 0);
}

void
suite_settings(void)
{
    CU_pSuite suite = CU_add_suite("settings", NULL, NULL);

    CU_add_test(suite, "features", test_features);
    CU_add_test(suite, "valid settings", test_valid_settings);
    CU_add_test(suite, "invalid settings", test_invalid_settings);
    CU_add_test(suite, "fractional bounds", test_fractional_bounds);
    CU_add_test(suite, "memory limits", test_memory_limits);
    CU_add_test(suite, "environment", test_environment);
    CU_add_test(suite, "free ports are distinct",
                test_free_ports_are_distinct);
}
