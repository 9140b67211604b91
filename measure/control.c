/// Control messages: bytes, processor time, and seconds until all daemons
/// know of a leave, a strike and a version, at several sizes.
#include "measure.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/xmalloc.h"
#include "dandelionvalve/gossip.h"
#include "timeline.h"

#define BYTES_PER_S 3000
#define TICK_US 50000
#define LEAST_US 30000000LL
#define LIMIT_US 120000000LL
#define DELAY_US 1000
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
    bool knows_word;
    bool knows_strike;
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
    size_t count;
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
                     .at_us = daemon->bench->manual.now_us + DELAY_US,
                     .type = EVENT_DATAGRAM,
                     .a = atoi(address.data),
                     .data = copy,
                 });
}

static bool
on_word(void *ctx, struct str name, uint64_t incarnation,
        enum agent_state state)
{
    struct daemon *daemon = ctx;
    bool news = !daemon->knows_word;

    (void)name;
    (void)incarnation;
    (void)state;
    daemon->knows_word = true;
    return news;
}

static bool
on_strike(void *ctx, uint64_t fingerprint, uint32_t death)
{
    struct daemon *daemon = ctx;
    bool news = !daemon->knows_strike;

    (void)fingerprint;
    (void)death;
    daemon->knows_strike = true;
    return news;
}

static void
on_heard(void *ctx, struct str name)
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
on_adopt(void *ctx, int64_t version, struct str document)
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
        .state_received = on_word,
        .strike_received = on_strike,
        .datagram_received = on_heard,
        .version = on_version,
        .document = on_document,
        .needs_document = on_needs_document,
        .apply_document = on_adopt,
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
introduce(struct control_bench *bench)
{
    struct gossip_peer *peers = xcalloc(bench->count, sizeof(*peers));
    char(*addresses)[16] = xcalloc(bench->count, sizeof(*addresses));

    for (size_t i = 0; i < bench->count; i++) {
        snprintf(addresses[i], sizeof(addresses[i]), "%zu", i);
        peers[i] = (struct gossip_peer){
            .name = str_from(bench->daemons[i].name),
            .zone = str_from(bench->daemons[i].zone),
            .address = str_from(addresses[i]),
        };
    }
    for (size_t i = 0; i < bench->count; i++) {
        gossip_set_peers(bench->daemons[i].gossip, peers, bench->count);
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

struct spread {
    double word_s;
    double strike_most_s; ///< 95 in 100 know
    double strike_s;
    double version_s;
    double bytes_per_s;
    double cpu_us;
};

static void
note_spread(const struct control_bench *bench, struct spread *spread)
{
    size_t words = 0;
    size_t strikes = 0;
    size_t versions = 0;
    double now_s = (double)bench->manual.now_us / 1e6;

    for (size_t i = 0; i < bench->count; i++) {
        words += bench->daemons[i].knows_word;
        strikes += bench->daemons[i].knows_strike;
        versions += bench->daemons[i].version == 1;
    }
    if (words == bench->count && spread->word_s == 0) {
        spread->word_s = now_s;
    }
    if (100 * strikes >= 95 * bench->count && spread->strike_most_s == 0) {
        spread->strike_most_s = now_s;
    }
    if (strikes == bench->count && spread->strike_s == 0) {
        spread->strike_s = now_s;
    }
    if (versions == bench->count && spread->version_s == 0) {
        spread->version_s = now_s;
    }
}

static struct spread
run(const struct measure_options *options, size_t count, size_t document_bytes)
{
    struct control_bench bench = {
        .seeded = {options->seed},
        .count = count,
    };
    struct spread spread = {0};
    struct timed_event event;
    int64_t next_note_us = 0;
    uint64_t bytes = 0;
    uint64_t datagrams = 0;
    clock_t start = clock();
    char *document = xmalloc(document_bytes);

    memset(document, 'd', document_bytes);
    bench.document = (struct str){document, document_bytes};
    bench.clock = manual_clock_interface(&bench.manual);
    bench.random = random_seeded_interface(&bench.seeded);
    bench.events = timeline_new();
    bench.daemons = xcalloc(count, sizeof(*bench.daemons));
    for (size_t i = 0; i < count; i++) {
        start_daemon(&bench, i);
        // Half of the daemons have the version from the log.
        bench.daemons[i].version = i % 2 == 0 ? 1 : 0;
    }
    introduce(&bench);
    bench.daemons[0].knows_word = true;
    gossip_announce_state(bench.daemons[0].gossip, STR_LITERAL("some-agent"),
                          7, AGENT_LEAVING);
    bench.daemons[0].knows_strike = true;
    gossip_announce_strike(bench.daemons[0].gossip, 1234567890123, 1);
    while (timeline_next(bench.events, &event) && event.at_us < LIMIT_US) {
        bench.manual.now_us = event.at_us;
        handle(&bench, &event);
        if (event.at_us >= next_note_us) {
            next_note_us = event.at_us + 100000;
            note_spread(&bench, &spread);
        }
        if (event.at_us > LEAST_US && spread.word_s > 0 &&
            spread.strike_s > 0 && spread.version_s > 0) {
            break;
        }
    }
    for (size_t i = 0; i < count; i++) {
        struct gossip_counts counts = gossip_totals(bench.daemons[i].gossip);

        bytes += counts.bytes_in + counts.datagram_bytes_out;
        datagrams += counts.sent;
        gossip_free(bench.daemons[i].gossip);
    }
    spread.bytes_per_s =
        (double)bytes / (double)count / ((double)bench.manual.now_us / 1e6);
    spread.cpu_us =
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
    return spread;
}

int
measure_control(const struct measure_options *options)
{
    static const size_t sizes[] = {10, 100, 950};
    int missed = 0;

    printf("one leave, one strike; half of the daemons have the version, the "
           "others fetch 4000 bytes; seed %llu\n",
           (unsigned long long)options->seed);
    printf("%8s %10s %10s %10s %10s %12s\n", "daemons", "leave-s", "strike-s",
           "version-s", "bytes/s", "us/datagram");
    if (options->csv != NULL) {
        fprintf(options->csv, "daemons,leave_s,strike_s,version_s,"
                              "bytes_per_s,us_per_datagram\n");
    }
    for (size_t i = 0; i < 3; i++) {
        struct spread spread = run(options, sizes[i], 4000);

        printf("%8zu %10.1f %10.1f %10.1f %10.1f %10.0f %12.1f\n", sizes[i],
               spread.word_s, spread.strike_most_s, spread.strike_s,
               spread.version_s, spread.bytes_per_s, spread.cpu_us);
        if (options->csv != NULL) {
            fprintf(options->csv, "%zu,%.1f,%.1f,%.1f,%.0f,%.2f\n", sizes[i],
                    spread.word_s, spread.strike_s, spread.version_s,
                    spread.bytes_per_s, spread.cpu_us);
        }
        missed += spread.version_s == 0 || spread.version_s > 13;
        missed += spread.bytes_per_s > BYTES_PER_S;
    }
    printf("targets missed: %d\n", missed);
    return missed;
}
