#include <string.h>

#include <CUnit/CUnit.h>

#include "dandelionvalve/conf.h"
#include "suites.h"

#define POOL "[[pool]]\nname = \"a\"\nkind = \"service\"\n"
#define ROUTE                                                                 \
    "[[route]]\nname = \"r\"\npath = \"/x/*\"\npool = \"a\"\n"                \
    "methods = [\"GET\"]\nrepeatable = true\n"
#define HASH                                                                  \
    "key_hash = \"00000000000000000000000000000000"                           \
    "00000000000000000000000000000000\"\n"
#define ACCOUNT "[[account]]\nname = \"c\"\n" HASH

static void
expect_error(const char *text, const char *wanted)
{
    struct err err = {0};
    struct conf *conf = conf_parse(str_from(text), "doc.toml", &err);

    CU_ASSERT(conf == NULL);
    CU_ASSERT(err.code == ERR_INPUT);
    if (strstr(err.message, wanted) == NULL) {
        CU_FAIL("the error message lacks the expected text");
        printf("\n  got '%s', expected '%s'\n", err.message, wanted);
    }
    conf_free(conf);
}

static void
test_valid_document(void)
{
    struct err err = {0};
    struct conf *conf =
        conf_parse(STR_LITERAL(POOL ROUTE ACCOUNT), "doc.toml", &err);
    size_t position = 0;
    bool matched = false;

    CU_ASSERT_FATAL(conf != NULL);
    CU_ASSERT(conf->pools[0].bound_multiple == 1.25);
    CU_ASSERT(conf->retry.budget_percent == 10);
    CU_ASSERT(conf_next_route(conf, STR_LITERAL("GET"), STR_LITERAL("/x/1"),
                              &position, &matched) == &conf->routes[0]);
    position = 0;
    matched = false;
    CU_ASSERT(conf_next_route(conf, STR_LITERAL("POST"), STR_LITERAL("/x/1"),
                              &position, &matched) == NULL);
    CU_ASSERT(matched);
    position = 0;
    matched = false;
    CU_ASSERT(conf_next_route(conf, STR_LITERAL("GET"), STR_LITERAL("/y"),
                              &position, &matched) == NULL);
    CU_ASSERT(!matched);
    conf_free(conf);
}

static void
test_account_by_key(void)
{
    unsigned char hash[CONF_KEY_HASH_BYTES];
    char hex[2 * CONF_KEY_HASH_BYTES + 1];
    char text[1000];
    struct err err = {0};
    struct conf *conf;

    conf_hash_key(STR_LITERAL("secret"), hash);
    hex_encode(hash, sizeof(hash), hex);
    snprintf(text, sizeof(text),
             POOL ROUTE "[[account]]\nname = \"c\"\nkey_hash = \"%s\"\n", hex);
    conf = conf_parse(str_from(text), "doc.toml", &err);
    CU_ASSERT_FATAL(conf != NULL);
    CU_ASSERT(conf_find_account(conf, STR_LITERAL("secret")) ==
              &conf->accounts[0]);
    CU_ASSERT(conf_find_account(conf, STR_LITERAL("other")) == NULL);
    conf_free(conf);
}

static void
test_errors_name_line_and_key(void)
{
    expect_error("x = \n", "doc.toml:1");
    expect_error(POOL ROUTE, "account");
    expect_error(POOL ROUTE ACCOUNT "colour = 1\n", "colour: unknown key");
    expect_error(POOL "bound_multiple = 0.5\n" ROUTE ACCOUNT,
                 "doc.toml:4: pool[0].bound_multiple: must be from 1.01");
    expect_error(POOL "queue_requests = \"many\"\n" ROUTE ACCOUNT,
                 "must be an integer");
    expect_error(POOL POOL ROUTE ACCOUNT,
                 "doc.toml:5: pool[1].name: is a duplicate");
    expect_error(POOL "[[route]]\nname = \"r\"\npath = \"/\"\n"
                      "pool = \"b\"\nrepeatable = true\n" ACCOUNT,
                 "no pool has the name 'b'");
    expect_error(POOL "[[route]]\nname = \"r\"\npath = \"x\"\n"
                      "pool = \"a\"\nrepeatable = true\n" ACCOUNT,
                 "must start with '/'");
    expect_error(POOL ROUTE ACCOUNT "[[account]]\nname = \"d\"\n" HASH,
                 "is the same as that of account 'c'");
    expect_error(POOL ROUTE "[[account]]\nname = \"c\"\nkey_hash = \"12\"\n",
                 "must be 64 hex digits");
    expect_error("[[pool]]\nname = \"a\"\nkind = \"model\"\n" ROUTE ACCOUNT,
                 "needs placement.models");
    expect_error("[[pool]]\nname = \"a\"\nkind = \"other\"\n" ROUTE ACCOUNT,
                 "must be one of model, service");
}

void
suite_conf(void)
{
    CU_pSuite suite = CU_add_suite("conf", NULL, NULL);

    CU_add_test(suite, "valid document", test_valid_document);
    CU_add_test(suite, "account by key", test_account_by_key);
    CU_add_test(suite, "errors name line and key",
                test_errors_name_line_and_key);
}
