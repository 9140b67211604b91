/// dvctl: the operator's command-line tool.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/event.h>
#include <popt.h>
#include <sodium.h>

#include "core/toml.h"
#include "core/xmalloc.h"
#include "daemon/settings.h"
#include "diff.h"
#include "explain.h"
#include "fleet.h"
#include "stream.h"
#include "version.h"

#define EXIT_IN_FORCE 0
#define EXIT_NOT_DONE 1
#define EXIT_BAD_INPUT 2
#define EXIT_LOST_RACE 3
#define EXIT_UNKNOWN 4

#define KEY_BYTES_MAX 200
#define PLATFORM_TIMEOUT_MS 5000
#define SEARCH_MS 5000
#define WAIT_S 13
#define TRIAL_ENVIRONMENT "trial"

struct ctl {
    struct event_base *base;
    struct platform *platform;
    struct counters counters;
    char *platform_text;
    char *routers; ///< status addresses, separated by commas; NULL: none
    char *environment;
    char *author;
    char *argument; ///< document file or version; NULL: none
    int wait;
    int as_json;
    struct explain_options request; ///< for explain; allocated strings
};

static int
fail(const struct err *err)
{
    fprintf(stderr, "dvctl: %s\n", err->message);
    return err->code == ERR_INPUT ? EXIT_BAD_INPUT : EXIT_NOT_DONE;
}

static struct stream *
open_stream(struct ctl *ctl, const char *environment, struct err *err)
{
    const struct stream_options options = {
        .base = ctl->base,
        .platform = ctl->platform,
        .random = &random_system,
        .environment = str_from(environment),
        .author = str_from(ctl->author),
        .search_ms = SEARCH_MS,
    };
    struct stream *stream = stream_new(&options);

    if (!stream_read(stream, err)) {
        stream_free(stream);
        return NULL;
    }
    return stream;
}

/// Reads and validates a configuration document.
static bool
load_document(const char *file, struct str *document, struct err *err)
{
    struct conf *conf;

    if (file == NULL) {
        return err_set(err, ERR_INPUT, "arguments", NULL,
                       "the command needs a document file");
    }
    if (!settings_read_file(file, document, err)) {
        return false;
    }
    conf = conf_parse(*document, file, err);
    if (conf == NULL) {
        free((char *)document->data);
        return false;
    }
    conf_free(conf);
    return true;
}

/// Waits until the listed routers have the version in force, at most WAIT_S,
/// and prints their number.
static int
wait_in_force(struct ctl *ctl, int64_t version)
{
    static const struct timespec pause = {.tv_nsec = 250000000};
    struct fleet_count count = {0};

    for (int i = 0; i < WAIT_S * 4; i++) {
        if (!fleet_query(ctl->base, ctl->platform, version, NULL, &count)) {
            fprintf(stderr, "dvctl: the VM list cannot be read; it is unknown "
                            "which routers have the version in force\n");
            return EXIT_UNKNOWN;
        }
        if (count.in_force == count.routers) {
            break;
        }
        nanosleep(&pause, NULL);
    }
    printf("in force on %zu of %zu listed routers\n", count.in_force,
           count.routers);
    return count.in_force == count.routers ? EXIT_IN_FORCE : EXIT_UNKNOWN;
}

static int
publish(struct ctl *ctl, const char *environment, struct str document)
{
    struct err err = {0};
    struct stream *stream = open_stream(ctl, environment, &err);
    int64_t version = -1;
    int64_t base;
    int status = EXIT_UNKNOWN;

    if (stream == NULL) {
        return fail(&err);
    }
    base = history_version(stream_history(stream));
    switch (stream_publish(stream, document, &version)) {
    case STREAM_IN_FORCE:
        printf("%s: version %lld is accepted (was %lld)\n", environment,
               (long long)version, (long long)base);
        status = ctl->wait ? wait_in_force(ctl, version) : EXIT_IN_FORCE;
        break;
    case STREAM_LOST_RACE:
        fprintf(
            stderr,
            "dvctl: %s: lost the race with another change; version %lld is "
            "in force. Compare it with 'dvctl diff' and try again.\n",
            environment, (long long)history_version(stream_history(stream)));
        status = EXIT_LOST_RACE;
        break;
    case STREAM_NOT_DONE:
        fprintf(stderr,
                "dvctl: %s: the log did not execute the append; nothing has "
                "changed\n",
                environment);
        status = EXIT_NOT_DONE;
        break;
    case STREAM_UNKNOWN:
        fprintf(stderr,
                "dvctl: %s: no response from the log; the change may still "
                "take effect. Check with 'dvctl history'.\n",
                environment);
        status = EXIT_UNKNOWN;
        break;
    }
    stream_free(stream);
    return status;
}

static int
command_check(struct ctl *ctl)
{
    struct err err = {0};
    struct str document;

    if (!load_document(ctl->argument, &document, &err)) {
        return fail(&err);
    }
    printf("%s: ok\n", ctl->argument);
    free((char *)document.data);
    return EXIT_IN_FORCE;
}

static int
command_publish(struct ctl *ctl)
{
    struct err err = {0};
    struct str document;
    int status;

    if (!load_document(ctl->argument, &document, &err)) {
        return fail(&err);
    }
    status = publish(ctl, ctl->environment, document);
    free((char *)document.data);
    return status;
}

static int
command_trial(struct ctl *ctl)
{
    free(ctl->environment);
    ctl->environment = xstrdup(TRIAL_ENVIRONMENT);
    return command_publish(ctl);
}

static int
command_promote(struct ctl *ctl)
{
    struct err err = {0};
    struct stream *trial = open_stream(ctl, TRIAL_ENVIRONMENT, &err);
    int status;

    if (trial == NULL) {
        return fail(&err);
    }
    if (history_conf(stream_history(trial)) == NULL) {
        fprintf(stderr,
                "dvctl: nothing is in trial, so nothing is promoted\n");
        status = EXIT_BAD_INPUT;
    }
    else {
        status = publish(ctl, ctl->environment,
                         history_document(stream_history(trial)));
    }
    stream_free(trial);
    return status;
}

static int
command_diff(struct ctl *ctl)
{
    struct err err = {0};
    struct str document;
    struct stream *stream;

    if (!load_document(ctl->argument, &document, &err)) {
        return fail(&err);
    }
    stream = open_stream(ctl, ctl->environment, &err);
    if (stream == NULL) {
        free((char *)document.data);
        return fail(&err);
    }
    if (!diff_print(stdout, history_document(stream_history(stream)),
                    document)) {
        printf("no difference\n");
    }
    stream_free(stream);
    free((char *)document.data);
    return EXIT_IN_FORCE;
}

static const struct stream_version *
find_version(const struct stream *stream, int64_t version)
{
    size_t count;
    const struct stream_version *versions = stream_versions(stream, &count);

    for (size_t i = count; i-- > 0;) {
        if (versions[i].version == version &&
            versions[i].verdict == HISTORY_ACCEPTED) {
            return &versions[i];
        }
    }
    return NULL;
}

/// The version given as argument, by default the version in force; false if
/// the argument is not a number.
static bool
version_argument(const struct ctl *ctl, const struct stream *stream,
                 int64_t *version)
{
    char *end;

    *version = history_version(stream_history(stream));
    if (ctl->argument == NULL) {
        return true;
    }
    *version = strtoll(ctl->argument, &end, 10);
    return *end == '\0' && end != ctl->argument;
}

static int
command_show(struct ctl *ctl)
{
    struct err err = {0};
    struct stream *stream = open_stream(ctl, ctl->environment, &err);
    const struct stream_version *found = NULL;
    int64_t version;
    int status = EXIT_IN_FORCE;

    if (stream == NULL) {
        return fail(&err);
    }
    if (version_argument(ctl, stream, &version)) {
        found = find_version(stream, version);
    }
    if (found == NULL) {
        fprintf(stderr, "dvctl: %s has no such version; see 'dvctl history'\n",
                ctl->environment);
        status = EXIT_BAD_INPUT;
    }
    else {
        printf("# %s version %lld by %s\n" STR_FMT, ctl->environment,
               (long long)found->version, found->author,
               STR_ARG(found->document));
    }
    stream_free(stream);
    return status;
}

static int
command_history(struct ctl *ctl)
{
    struct err err = {0};
    struct stream *stream = open_stream(ctl, ctl->environment, &err);
    const struct stream_version *versions;
    size_t count;

    if (stream == NULL) {
        return fail(&err);
    }
    versions = stream_versions(stream, &count);
    for (size_t i = 0; i < count; i++) {
        printf("%8lld  %-14s %-20s nonce %s\n", (long long)versions[i].version,
               history_verdict_name(versions[i].verdict), versions[i].author,
               versions[i].nonce);
    }
    printf("in force: %lld\n",
           (long long)history_version(stream_history(stream)));
    stream_free(stream);
    return EXIT_IN_FORCE;
}

static int
command_rollback(struct ctl *ctl)
{
    struct err err = {0};
    struct stream *stream = open_stream(ctl, ctl->environment, &err);
    const struct stream_version *found = NULL;
    int64_t version;
    int status;

    if (stream == NULL) {
        return fail(&err);
    }
    if (ctl->argument != NULL && version_argument(ctl, stream, &version)) {
        found = find_version(stream, version);
    }
    if (found == NULL) {
        fprintf(stderr, "dvctl: rollback needs an accepted version; see "
                        "'dvctl history'\n");
        status = EXIT_BAD_INPUT;
    }
    else {
        status = publish(ctl, ctl->environment, found->document);
    }
    stream_free(stream);
    return status;
}

/// Prints the status of routers that are in no VM list, for instance on a
/// platform that has none.
static int
print_routers(const char *addresses)
{
    struct event_base *base = event_base_new();
    struct fleet_count count;
    struct err err = {0};
    bool valid =
        fleet_query_routers(base, str_from(addresses), stdout, &count, &err);

    event_base_free(base);
    if (!valid) {
        return fail(&err);
    }
    printf("%zu routers asked, %zu answered\n", count.routers, count.answered);
    return count.answered == count.routers ? EXIT_IN_FORCE : EXIT_NOT_DONE;
}

static int
command_status(struct ctl *ctl)
{
    struct fleet_count count;

    if (!fleet_query(ctl->base, ctl->platform, 0, stdout, &count)) {
        fprintf(stderr, "dvctl: the VM list cannot be read\n");
        return EXIT_NOT_DONE;
    }
    printf("%zu routers and %zu agents listed, %zu answered\n", count.routers,
           count.agents, count.answered);
    return EXIT_IN_FORCE;
}

/// Prints the hash of an API key for use in documents. The key is read from
/// standard input, so that no process list shows it.
static int
command_hash_key(struct ctl *ctl)
{
    unsigned char hash[CONF_KEY_HASH_BYTES];
    char hex[2 * CONF_KEY_HASH_BYTES + 1];
    char key[KEY_BYTES_MAX + 2];
    size_t len;

    (void)ctl;
    if (fgets(key, sizeof(key), stdin) == NULL) {
        key[0] = '\0';
    }
    len = strcspn(key, "\r\n");
    if (len == 0 || len > KEY_BYTES_MAX) {
        fprintf(stderr,
                "dvctl: an API key of 1 to %d bytes is needed on "
                "standard input\n",
                KEY_BYTES_MAX);
        return EXIT_BAD_INPUT;
    }
    conf_hash_key((struct str){key, len}, hash);
    hex_encode(hash, sizeof(hash), hex);
    printf("%s\n", hex);
    return EXIT_IN_FORCE;
}

static int
command_explain(struct ctl *ctl)
{
    struct err err = {0};

    ctl->request.router = ctl->routers;
    ctl->request.as_json = ctl->as_json != 0;
    return explain_print(&ctl->request, &err) ? EXIT_SUCCESS : fail(&err);
}

static const struct {
    const char *name;
    int (*run)(struct ctl *ctl);
    bool offline;
} commands[] = {
    {"check", command_check, true},        {"diff", command_diff, false},
    {"publish", command_publish, false},   {"trial", command_trial, false},
    {"promote", command_promote, false},   {"show", command_show, false},
    {"history", command_history, false},   {"status", command_status, false},
    {"rollback", command_rollback, false}, {"explain", command_explain, true},
    {"hash-key", command_hash_key, true},
};

static int
run_command(struct ctl *ctl, const char *name)
{
    struct platform_options options = {
        .counters = &ctl->counters,
        .timeout_ms = PLATFORM_TIMEOUT_MS,
    };
    struct err err = {0};
    int status;

    for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
        if (strcmp(name, commands[i].name) != 0) {
            continue;
        }
        if (ctl->routers != NULL && commands[i].run == command_status) {
            return print_routers(ctl->routers);
        }
        if (commands[i].offline) {
            return commands[i].run(ctl);
        }
        if (ctl->platform_text == NULL) {
            fprintf(stderr, "dvctl: --platform ADDRESS is needed\n");
            return EXIT_BAD_INPUT;
        }
        if (!address_parse(str_from(ctl->platform_text), &options.address,
                           &err)) {
            return fail(&err);
        }
        ctl->base = event_base_new();
        options.base = ctl->base;
        ctl->platform = platform_new(&options);
        status = commands[i].run(ctl);
        platform_free(ctl->platform);
        event_base_free(ctl->base);
        return status;
    }
    fprintf(stderr, "dvctl: unknown command '%s'; see --help\n", name);
    return EXIT_BAD_INPUT;
}

static void
read_config(struct ctl *ctl, const char *file, struct err *err)
{
    struct toml_doc *doc = NULL;
    struct toml_table *root;
    struct str text = {0};
    struct str platform = {0};
    struct str environment = {0};
    struct str author = {0};

    if (!settings_read_file(file, &text, err)) {
        return;
    }
    doc = toml_parse(text, file, err);
    free((char *)text.data);
    if (doc == NULL) {
        return;
    }
    root = toml_root(doc);
    toml_get_string(root, "platform", &platform, err);
    toml_get_string(root, "environment", &environment, err);
    toml_get_string(root, "author", &author, err);
    toml_check_unknown(doc, err);
    if (platform.len > 0 && ctl->platform_text == NULL) {
        ctl->platform_text = str_dup(platform);
    }
    if (environment.len > 0 && ctl->environment == NULL) {
        ctl->environment = str_dup(environment);
    }
    if (author.len > 0 && ctl->author == NULL) {
        ctl->author = str_dup(author);
    }
    toml_free(doc);
}

static void
set_defaults(struct ctl *ctl)
{
    if (ctl->environment == NULL) {
        ctl->environment = xstrdup("production");
    }
    if (ctl->author == NULL) {
        ctl->author = xstrdup("unknown");
    }
}

static void
ctl_destroy(struct ctl *ctl)
{
    free(ctl->platform_text);
    free(ctl->routers);
    free(ctl->environment);
    free(ctl->author);
    free(ctl->argument);
    free((char *)ctl->request.host);
    free((char *)ctl->request.path);
    free((char *)ctl->request.account);
    free((char *)ctl->request.prompt);
    free((char *)ctl->request.deadline_ms);
}

/// `name` and `argument` may be NULL.
static int
run_with_argument(struct ctl *ctl, const char *name, const char *argument)
{
    if (name == NULL) {
        fprintf(stderr, "dvctl: a command is needed; see --help\n");
        return EXIT_BAD_INPUT;
    }
    if (argument != NULL) {
        ctl->argument = xstrdup(argument);
    }
    set_defaults(ctl);
    if (sodium_init() < 0) {
        BUG("libsodium cannot be initialised");
    }
    return run_command(ctl, name);
}

int
main(int argc, const char **argv)
{
    struct ctl ctl = {0};
    char *config = NULL;
    int version = 0;
    int check = 0;
    const struct poptOption options[] = {
        {"config", 'c', POPT_ARG_STRING, &config, 0, "settings file", "FILE"},
        {"platform", 'p', POPT_ARG_STRING, &ctl.platform_text, 0,
         "address of the platform's log", "ADDRESS"},
        {"routers", 'r', POPT_ARG_STRING, &ctl.routers, 0,
         "for status: query these status addresses of routers; for explain: "
         "one",
         "ADDRESS,..."},
        {"host", 0, POPT_ARG_STRING, &ctl.request.host, 0,
         "for explain: host of the request", "HOST"},
        {"path", 0, POPT_ARG_STRING, &ctl.request.path, 0,
         "for explain: path of the request", "PATH"},
        {"account", 0, POPT_ARG_STRING, &ctl.request.account, 0,
         "for explain: name of the account, not a key", "NAME"},
        {"prompt", 0, POPT_ARG_STRING, &ctl.request.prompt, 0,
         "for explain: parts of the prompt", "ID:TOKENS,..."},
        {"deadline", 0, POPT_ARG_STRING, &ctl.request.deadline_ms, 0,
         "for explain: how long the caller waits", "MS"},
        {"json", 0, POPT_ARG_NONE, &ctl.as_json, 0, "for explain: print JSON",
         NULL},
        {"environment", 'e', POPT_ARG_STRING, &ctl.environment, 0,
         "environment, by default production", "NAME"},
        {"author", 'a', POPT_ARG_STRING, &ctl.author, 0,
         "author of the change", "NAME"},
        {"wait", 'w', POPT_ARG_NONE, &ctl.wait, 0,
         "wait until the listed routers have it in force", NULL},
        {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit",
         NULL},
        {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", NULL},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("dvctl", argc, argv, options, 0);
    struct err err = {0};
    const char *name;
    int result;
    int status = EXIT_BAD_INPUT;

    poptSetOtherOptionHelp(context,
                           "[OPTION...] check|diff|publish|trial FILE, "
                           "promote, show|rollback VERSION, history, status, "
                           "explain, hash-key");
    result = poptGetNextOpt(context);
    name = poptGetArg(context);
    if (result < -1) {
        fprintf(stderr, "dvctl: %s: %s\n", poptBadOption(context, 0),
                poptStrerror(result));
        goto out;
    }
    if (version) {
        printf("dvctl %s\n", VERSION);
        status = EXIT_SUCCESS;
        goto out;
    }
    if (config != NULL) {
        read_config(&ctl, config, &err);
    }
    if (err.code != ERR_NONE) {
        status = fail(&err);
        goto out;
    }
    if (check) {
        status = EXIT_SUCCESS;
        goto out;
    }
    status = run_with_argument(&ctl, name, poptGetArg(context));
out:
    free(config);
    ctl_destroy(&ctl);
    poptFreeContext(context);
    return status;
}
