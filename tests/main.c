/// Runs all suites; arguments name the suites to run.
#include <signal.h>
#include <stdio.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>
#include <sodium.h>

#include "suites.h"

static const struct {
    const char *name;
    void (*add)(void);
} suites[] = {
    {"message", suite_message},
    {"conf", suite_conf},
    {"history", suite_history},
    {"members", suite_members},
    {"gate", suite_gate},
    {"route", suite_route},
    {"policies", suite_policies},
    {"claim", suite_claim},
    {"orders", suite_orders},
    {"settings", suite_settings},
    {"requests", suite_requests},
    {"failures", suite_failures},
    {"shutdown", suite_shutdown},
    {"catalog", suite_catalog},
    {"records", suite_records},
    {"readers", suite_readers},
    {"caller", suite_caller},
    {"link", suite_link},
    {"place", suite_place},
    {"agent-endings", suite_agent_endings},
    {"endings", suite_endings},
    {"endless", suite_endless},
    {"pause", suite_pause},
    {"signals", suite_signals},
    {"store", suite_store},
    {"shed", suite_shed},
    {"suspects", suite_suspects},
    {"wire", suite_wire},
    {"spread", suite_spread},
    {"direct", suite_direct},
    {"leaving", suite_leaving},
    {"blame", suite_blame},
    {"direct-store", suite_direct_store},
};

static bool
is_wanted(int argc, char **argv, const char *name)
{
    for (int i = 1; i < argc; i++) {
        if (!strcmp(argv[i], name)) {
            return true;
        }
    }
    return argc == 1;
}

int
main(int argc, char **argv)
{
    unsigned failed;
    unsigned run;

    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || CU_initialize_registry() != CUE_SUCCESS) {
        return EXIT_FAILURE;
    }
    for (size_t i = 0; i < sizeof(suites) / sizeof(suites[0]); i++) {
        if (is_wanted(argc, argv, suites[i].name)) {
            suites[i].add();
        }
    }
    CU_basic_set_mode(CU_BRM_NORMAL);
    CU_basic_run_tests();
    run = CU_get_number_of_tests_run();
    failed = CU_get_number_of_tests_failed();
    CU_cleanup_registry();
    printf("unit: %u passed, %u failed\n", run - failed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
