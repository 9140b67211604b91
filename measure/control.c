/// Control messages: bytes, processor time, and time until all daemons have
/// received an agent state, a strike and a configuration version, for several
/// numbers of daemons.
#include "measure.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/xmalloc.h"
#include "dandelionvalve/gossip.h"
#include "timeline.h"

#define BYTES_PER_S 3000
#define TICK_US 50000
#define DURATION_MIN_US 30000000LL
#define DURATION_MAX_US 120000000LL
#define NETWORK_DELAY_US 1000
#define ZONES 5

enum event_type {
    EVENT_TICK,
    EVENT_DATAGRAM,
};

struct daemon {
    struct control_bench *bench;
    struct gossip *gossip;
    char name[16];
    char zone[8];
    int index;
    bool has_state;
    bool has_strike;
    int64_t version;
};

struct datagram {
    char *data;
    size_t len;
    int from;
};

struct control_bench {
    struct manual_clock manual;
    struct clock clock;
    struct random_seeded seeded;
    struct random_source random;
    struct timeline *events;
    struct daemon *daemons;
    size_t daemon_count;
    struct str document;
};

static void
on_send(void *ctx, struct str address, struct str datagram)
{
    struct daemon *daemon = ctx;
    struct datagram *copy = xcalloc(1, sizeof(*copy));

    copy->data = xmalloc(datagram.len);
    memcpy(copy->data, datagram.data, datagram.len);
    copy->len = datagram.len;
    copy->from = daemon->index;
    timeline_add(daemon->bench->events,
                 (struct timed_event){
                     .at_us = daemon->bench->manual.now_us + NETWORK_DELAY_US,
                     .type = EVENT_DATAGRAM,
                     .a = atoi(address.data),
                     .data = copy,
                 });
}

static bool
on_state(void *ctx, struct str name, uint64_t incarnation,
         enum agent_state state)
{
    struct daemon *daemon = ctx;
    bool is_new = !daemon->has_state;

    (void)name;
    (void)incarnation;
    (void)state;
    daemon->has_state = true;
    return is_new;
}

static bool
on_strike(void *ctx, uint64_t fingerprint, uint32_t crash_id)
{
    struct daemon *daemon = ctx;
    bool is_new = !daemon->has_strike;

    (void)fingerprint;
    (void)crash_id;
    daemon->has_strike = true;
    return is_new;
}

static void
on_datagram(void *ctx, struct str name)
{
    (void)ctx;
    (void)name;
}

static int64_t
on_version(void *ctx)
{
    return ((struct daemon *)ctx)->version;
}

static struct str
on_document(void *ctx)
{
    return ((struct daemon *)ctx)->bench->document;
}

static bool
on_needs_document(void *ctx)
{
    (void)ctx;
    return true;
}

static bool
on_apply_document(void *ctx, int64_t version, struct str document)
{
    (void)document;
    ((struct daemon *)ctx)->version = version;
    return true;
}

static void
start_daemon(struct control_bench *bench, size_t i)
{
    static const unsigned char keys[1][GOSSIP_KEY_BYTES] = {{7}};
    struct daemon *daemon = &bench->daemons[i];
    struct gossip_options options = {
        .clock = &bench->clock,
        .random = &bench->random,
        .incarnation = 1,
        .keys = keys,
        .key_count = 1,
        .bytes_per_s = BYTES_PER_S,
        .send = on_send,
        .state_received = on_state,
        .strike_received = on_strike,
        .datagram_received = on_datagram,
        .version = on_version,
        .document = on_document,
        .needs_document = on_needs_document,
        .apply_document = on_apply_document,
        .ctx = daemon,
    };

    daemon->bench = bench;
    daemon->index = (int)i;
    snprintf(daemon->name, sizeof(daemon->name), "daemon-%zu", i);
    snprintf(daemon->zone, sizeof(daemon->zone), "zone-%zu", i % ZONES);
    options.name = str_from(daemon->name);
    options.zone = str_from(daemon->zone);
    daemon->gossip = gossip_new(&options);
}

static void
set_peers(struct control_bench *bench)
{
    struct gossip_peer *peers = xcalloc(bench->daemon_count, sizeof(*peers));
    char(*addresses)[16] = xcalloc(bench->daemon_count, sizeof(*addresses));

    for (size_t i = 0; i < bench->daemon_count; i++) {
        snprintf(addresses[i], sizeof(addresses[i]), "%zu", i);
        peers[i] = (struct gossip_peer){
            .name = str_from(bench->daemons[i].name),
            .zone = str_from(bench->daemons[i].zone),
            .address = str_from(addresses[i]),
        };
    }
    for (size_t i = 0; i < bench->daemon_count; i++) {
        gossip_set_peers(bench->daemons[i].gossip, peers, bench->daemon_count);
        timeline_add(bench->events, (struct timed_event){
                                        .at_us = (int64_t)random_below(
                                            &bench->random, TICK_US),
                                        .type = EVENT_TICK,
                                        .a = (int)i,
                                    });
    }
    free(addresses);
    free(peers);
}

static void
handle(struct control_bench *bench, const struct timed_event *event)
{
    struct daemon *daemon = &bench->daemons[event->a];
    struct datagram *datagram = event->data;
    char from[16];

    if (event->type == EVENT_TICK) {
        gossip_tick(daemon->gossip);
        timeline_add(bench->events,
                     (struct timed_event){.at_us = event->at_us + TICK_US,
                                          .type = EVENT_TICK,
                                          .a = event->a});
        return;
    }
    snprintf(from, sizeof(from), "%d", datagram->from);
    gossip_receive(daemon->gossip, str_from(from),
                   (struct str){datagram->data, datagram->len});
    free(datagram->data);
    free(datagram);
}

struct propagation {
    double state_s;
    double strike_95_s; ///< until 95% of the daemons have the strike
    double strike_s;
    double version_s;
    double bytes_per_s;
    double cpu_us;
};

static void
record_propagation(const struct control_bench *bench,
                   struct propagation *propagation)
{
    size_t states = 0;
    size_t strikes = 0;
    size_t versions = 0;
    double now_s = (double)bench->manual.now_us / 1e6;

    for (size_t i = 0; i < bench->daemon_count; i++) {
        states += bench->daemons[i].has_state;
        strikes += bench->daemons[i].has_strike;
        versions += bench->daemons[i].version == 1;
    }
    if (states == bench->daemon_count && propagation->state_s == 0) {
        propagation->state_s = now_s;
    }
    if (100 * strikes >= 95 * bench->daemon_count &&
        propagation->strike_95_s == 0) {
        propagation->strike_95_s = now_s;
    }
    if (strikes == bench->daemon_count && propagation->strike_s == 0) {
        propagation->strike_s = now_s;
    }
    if (versions == bench->daemon_count && propagation->version_s == 0) {
        propagation->version_s = now_s;
    }
}

static struct propagation
run(const struct measure_options *options, size_t daemon_count,
    size_t document_bytes)
{
    struct control_bench bench = {
        .seeded = {options->seed},
        .daemon_count = daemon_count,
    };
    struct propagation propagation = {0};
    struct timed_event event;
    int64_t next_record_us = 0;
    uint64_t bytes = 0;
    uint64_t datagrams = 0;
    clock_t start = clock();
    char *document = xmalloc(document_bytes);

    memset(document, 'd', document_bytes);
    bench.document = (struct str){document, document_bytes};
    bench.clock = manual_clock_interface(&bench.manual);
    bench.random = random_seeded_interface(&bench.seeded);
    bench.events = timeline_new();
    bench.daemons = xcalloc(daemon_count, sizeof(*bench.daemons));
    for (size_t i = 0; i < daemon_count; i++) {
        start_daemon(&bench, i);
        // Half of the daemons have the version from the log.
        bench.daemons[i].version = i % 2 == 0 ? 1 : 0;
    }
    set_peers(&bench);
    bench.daemons[0].has_state = true;
    gossip_announce_state(bench.daemons[0].gossip, STR_LITERAL("some-agent"),
                          7, AGENT_LEAVING);
    bench.daemons[0].has_strike = true;
    gossip_announce_strike(bench.daemons[0].gossip, 1234567890123, 1);
    while (timeline_next(bench.events, &event) &&
           event.at_us < DURATION_MAX_US) {
        bench.manual.now_us = event.at_us;
        handle(&bench, &event);
        if (event.at_us >= next_record_us) {
            next_record_us = event.at_us + 100000;
            record_propagation(&bench, &propagation);
        }
        if (event.at_us > DURATION_MIN_US && propagation.state_s > 0 &&
            propagation.strike_s > 0 && propagation.version_s > 0) {
            break;
        }
    }
    for (size_t i = 0; i < daemon_count; i++) {
        struct gossip_counts counts = gossip_totals(bench.daemons[i].gossip);

        bytes += counts.bytes_in + counts.datagram_bytes_out;
        datagrams += counts.sent;
        gossip_free(bench.daemons[i].gossip);
    }
    propagation.bytes_per_s = (double)bytes / (double)daemon_count /
                              ((double)bench.manual.now_us / 1e6);
    propagation.cpu_us =
        (double)(clock() - start) * 1e6 / CLOCKS_PER_SEC / (double)datagrams;
    while (timeline_next(bench.events, &event)) {
        struct datagram *datagram = event.data;

        if (datagram != NULL) {
            free(datagram->data);
            free(datagram);
        }
    }
    timeline_free(bench.events);
    free(bench.daemons);
    free(document);
    return propagation;
}

int
measure_control(const struct measure_options *options)
{
    static const size_t sizes[] = {10, 100, 950};
    int missed = 0;

    printf("one leaving agent, one strike; half of the daemons have the "
           "version, the "
           "others fetch 4000 bytes; seed %llu\n",
           (unsigned long long)options->seed);
    printf("%8s %10s %10s %10s %10s %12s\n", "daemons", "leave-s", "strike-s",
           "version-s", "bytes/s", "us/datagram");
    if (options->csv != NULL) {
        fprintf(options->csv, "daemons,leave_s,strike_s,version_s,"
                              "bytes_per_s,us_per_datagram\n");
    }
    for (size_t i = 0; i < 3; i++) {
        struct propagation propagation = run(options, sizes[i], 4000);

        printf("%8zu %10.1f %10.1f %10.1f %10.1f %10.0f %12.1f\n", sizes[i],
               propagation.state_s, propagation.strike_95_s,
               propagation.strike_s, propagation.version_s,
               propagation.bytes_per_s, propagation.cpu_us);
        if (options->csv != NULL) {
            fprintf(options->csv, "%zu,%.1f,%.1f,%.1f,%.0f,%.2f\n", sizes[i],
                    propagation.state_s, propagation.strike_s,
                    propagation.version_s, propagation.bytes_per_s,
                    propagation.cpu_us);
        }
        missed += propagation.version_s == 0 || propagation.version_s > 13;
        missed += propagation.bytes_per_s > BYTES_PER_S;
    }
    printf("targets missed: %d\n", missed);
    return missed;
}
