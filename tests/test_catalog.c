#include <CUnit/CUnit.h>

#include "core/catalog.h"
#include "suites.h"

static struct catalog_route
route_of(const char *name, const char *host, const char *prefix)
{
    return (struct catalog_route){
        .name = str_from(name),
        .host = str_from(host),
        .prefix = str_from(prefix),
        .targets = {{STR_LITERAL("s"), 9}, {STR_LITERAL("t"), 1}},
        .target_count = 2,
    };
}

static const char *
find(const struct catalog *catalog, const char *host, const char *path)
{
    const struct catalog_route *route =
        catalog_find_route(catalog, str_from(host), str_from(path));

    return route != NULL ? route->name.data : "none";
}

static void
test_longest_prefix(void)
{
    struct catalog *catalog = catalog_new(1);
    struct catalog_route routes[] = {
        route_of("root", "a.example", "/"),
        route_of("x", "a.example", "/x/"),
        route_of("xy", "a.example", "/x/y/"),
        route_of("b", "b.example", "/x/"),
    };

    for (size_t i = 0; i < 4; i++) {
        catalog_add_route(catalog, &routes[i], NULL);
    }
    CU_ASSERT_STRING_EQUAL(find(catalog, "a.example", "/x/y/z"), "xy");
    CU_ASSERT_STRING_EQUAL(find(catalog, "A.Example:80", "/x/y/"), "xy");
    CU_ASSERT_STRING_EQUAL(find(catalog, "a.example", "/x/y"), "x");
    CU_ASSERT_STRING_EQUAL(find(catalog, "a.example", "/xy/"), "root");
    CU_ASSERT_STRING_EQUAL(find(catalog, "b.example", "/x/y/"), "b");
    CU_ASSERT_STRING_EQUAL(find(catalog, "b.example", "/y/"), "none");
    CU_ASSERT_STRING_EQUAL(find(catalog, "c.example", "/"), "none");
    CU_ASSERT_STRING_EQUAL(find(catalog, "a.example", ""), "none");
    CU_ASSERT(catalog_route_count(catalog) == 4);
    catalog_unref(catalog);
}

static void
test_keys(void)
{
    struct catalog *catalog = catalog_new(1);
    const struct str keys[] = {STR_LITERAL("k1"), STR_LITERAL("k2"), {0}};
    const struct catalog_account account = {.name = STR_LITERAL("acme")};

    CU_ASSERT(!catalog_has_accounts(catalog));
    catalog_add_account(catalog, &account, keys, 3);
    CU_ASSERT(catalog_has_accounts(catalog));
    CU_ASSERT(catalog_find_account(catalog, STR_LITERAL("k2")) != NULL);
    CU_ASSERT(catalog_find_account(catalog, STR_LITERAL("k")) == NULL);
    CU_ASSERT(catalog_find_account(catalog, (struct str){0}) == NULL);
    catalog_unref(catalog);
}

static void
test_split(void)
{
    const struct catalog_route route = route_of("r", "h", "/");
    int first = 0;

    for (int i = 0; i < 1000; i++) {
        first += str_equal_c(catalog_pick_target(&route, i / 1000.0), "s");
    }
    CU_ASSERT(first == 900);
}

/// A reference keeps a version after the catalog has been replaced.
static void
test_references(void)
{
    struct catalog *catalog = catalog_new(5);
    struct catalog *kept = catalog_ref(catalog);

    catalog_unref(catalog);
    CU_ASSERT(catalog_version(kept) == 5);
    catalog_unref(kept);
    catalog_unref(NULL);
}

void
suite_catalog(void)
{
    CU_pSuite suite = CU_add_suite("catalog", NULL, NULL);

    CU_add_test(suite, "longest prefix", test_longest_prefix);
    CU_add_test(suite, "keys", test_keys);
    CU_add_test(suite, "split", test_split);
    CU_add_test(suite, "references", test_references);
}
