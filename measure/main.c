/// dvmeasure: in-process measurements of routing, shedding and claims.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <popt.h>
#include <sodium.h>

#include "measure.h"

#define EXIT_BAD_INPUT 2

static const struct {
    const char *name;
    int (*run)(const struct measure_options *options);
} measurements[] = {
    {"routing", measure_routing},   {"fairness", measure_fairness},
    {"evenness", measure_evenness}, {"claims", measure_claims},
    {"control", measure_control},   {"slopes", measure_slopes},
    {"retries", measure_retries},   {"quarantine", measure_quarantine},
    {"crowd", measure_crowd},       {"scale", measure_scale},
    {"overload", measure_overload}, {"hop", measure_hop},
};

static int
run(const char *name, const struct measure_options *options)
{
    for (size_t i = 0; i < sizeof(measurements) / sizeof(measurements[0]);
         i++) {
        if (!strcmp(name, measurements[i].name)) {
            return measurements[i].run(options) == 0 ? EXIT_SUCCESS
                                                     : EXIT_FAILURE;
        }
    }
    fprintf(stderr, "dvmeasure: unknown measurement '%s'; available:", name);
    for (size_t i = 0; i < sizeof(measurements) / sizeof(measurements[0]);
         i++) {
        fprintf(stderr, " %s", measurements[i].name);
    }
    fputc('\n', stderr);
    return EXIT_BAD_INPUT;
}

int
main(int argc, const char **argv)
{
    long long seed = 1;
    char *csv = NULL;
    const struct poptOption options[] = {
        {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "random seed (default 1)",
         "NUMBER"},
        {"csv", 'c', POPT_ARG_STRING, &csv, 0, "write the rows to FILE as CSV",
         "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("dvmeasure", argc, argv, options, 0);
    struct measure_options measure = {0};
    const char *name;
    int status = EXIT_BAD_INPUT;

    poptSetOtherOptionHelp(context, "[OPTION...] MEASUREMENT");
    if (poptGetNextOpt(context) < -1 || (name = poptGetArg(context)) == NULL) {
        poptPrintUsage(context, stderr, 0);
        goto out;
    }
    if (sodium_init() < 0) {
        goto out;
    }
    measure.seed = (uint64_t)seed;
    if (csv != NULL) {
        measure.csv = fopen(csv, "w");
        if (measure.csv == NULL) {
            fprintf(stderr, "dvmeasure: cannot open %s for writing\n", csv);
            goto out;
        }
    }
    status = run(name, &measure);
    if (measure.csv != NULL) {
        fclose(measure.csv);
    }
out:
    free(csv);
    poptFreeContext(context);
    return status;
}
