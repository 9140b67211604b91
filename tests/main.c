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
    {"agent-endings", suite_agent_endings},
    {"endings", suite_endings},
    {"endless", suite_endless},
    {"pause", suite_pause},
    {"caller", suite_caller},
    {"late-copies", suite_late_copies},
    {"cut-answers", suite_cut_answers},
    {"builds", suite_builds},
    {"joined-streams", suite_joined_streams},
    {"odd-heads", suite_odd_heads},
    {"explain", suite_explain},
    {"leaving", suite_leaving},
    {"link", suite_link},
    {"store", suite_store},
    {"stream-finds", suite_stream_finds},
    {"stream-log", suite_stream_log},
    {"stream-writer", suite_stream_writer},
    {"signals", suite_signals},
    {"readers", suite_readers},
    {"reader cut", suite_reader_cut},
    {"missed-records", suite_missed_records},
    {"position", suite_position},
    {"records", suite_records},
    {"place", suite_place},
    {"pace", suite_pace},
    {"shed", suite_shed},
    {"admission", suite_admission},
    {"spread", suite_spread},
    {"suspects", suite_suspects},
    {"warmup", suite_warmup},
    {"cold", suite_cold},
    {"rate-limit", suite_rate_limit},
    {"stated-load", suite_stated_load},
    {"wire", suite_wire},
    {"direct", suite_direct},
    {"blame", suite_blame},
    {"direct-store", suite_direct_store},
    {"restored-store", suite_restored_store},
    {"restored-order", suite_restored_order},
    {"crowd", suite_crowd},
    {"memory", suite_memory},
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
