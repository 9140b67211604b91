#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "core/pack.h"
#include "dandelionvalve/message.h"
#include "suites.h"

static void
test_offer_round_trip(void)
{
    struct message_codec *codec = message_codec_new();
    struct message out = {
        .type = MESSAGE_OFFER,
        .offer =
            {
                .id = {.attempt = 3},
                .in_flight = 17,
                .account = STR_LITERAL("account"),
                .account_weight = 2,
                .priority = 5,
                .route = STR_LITERAL("chat"),
                .key = STR_LITERAL("key"),
                .repeatable = true,
                .fingerprint = UINT64_MAX,
                .deadline_ms = 1000,
                .method = STR_LITERAL("POST"),
                .uri = STR_LITERAL("/v1"),
                .header_count = 1,
                .body_bytes = 4,
                .body = STR_LITERAL("body"),
            },
    };
    struct message in;
    struct err err = {0};
    struct str bytes;

    out.offer.id.request.bytes[15] = 9;
    out.offer.headers[0].name = STR_LITERAL("Accept");
    out.offer.headers[0].value = STR_LITERAL("text/plain");
    bytes = message_encode(codec, &out);
    CU_ASSERT_FATAL(message_decode(codec, bytes, &in, &err));
    CU_ASSERT(in.type == MESSAGE_OFFER);
    CU_ASSERT(in.offer.id.attempt == 3);
    CU_ASSERT(in.offer.id.request.bytes[15] == 9);
    CU_ASSERT(in.offer.in_flight == 17);
    CU_ASSERT(in.offer.repeatable && !in.offer.may_wait);
    CU_ASSERT(in.offer.fingerprint == UINT64_MAX);
    CU_ASSERT(str_equal_c(in.offer.headers[0].value, "text/plain"));
    CU_ASSERT(str_equal_c(in.offer.body, "body"));
    message_codec_free(codec);
}

static void
test_bad_frames(void)
{
    static const struct str frames[] = {
        STR_LITERAL(""),                     // nothing
        STR_LITERAL("\x01"),                 // not an array
        STR_LITERAL("\x90"),                 // an empty array
        STR_LITERAL("\x91\x7f"),             // an unknown type
        STR_LITERAL("\x92\x04\xc4"),         // truncated
        STR_LITERAL("\x91\x0e\x01"),         // trailing bytes
        STR_LITERAL("\x92\x0e\x01"),         // a surplus field
        STR_LITERAL("\x91\x01"),             // a hello without fields
        STR_LITERAL("\xdd\xff\xff\xff\xff"), // a huge array
    };
    struct message_codec *codec = message_codec_new();

    for (size_t i = 0; i < sizeof(frames) / sizeof(frames[0]); i++) {
        struct message message;
        struct err err = {0};

        CU_ASSERT(!message_decode(codec, frames[i], &message, &err));
        CU_ASSERT(err.code == ERR_PROTOCOL);
    }
    message_codec_free(codec);
}

static void
test_every_truncation_is_refused(void)
{
    struct message_codec *codec = message_codec_new();
    const struct message end = {
        .type = MESSAGE_END,
        .end = {.total_bytes = 100, .hash = 1234567890123},
    };
    struct str bytes = message_encode(codec, &end);

    for (size_t len = 0; len < bytes.len; len++) {
        struct message message;
        struct err err = {0};

        CU_ASSERT(!message_decode(codec, (struct str){bytes.data, len},
                                  &message, &err));
    }
    message_codec_free(codec);
}

/// A position of any era, and one number as earlier versions send it.
static void
test_positions_round_trip(void)
{
    static const struct message_position positions[] = {
        {true, UINT32_MAX, UINT64_MAX, INT64_MAX},
        {true, 0, 1765000001, 5},
        {.number = 5},
    };
    struct message_codec *codec = message_codec_new();

    for (size_t i = 0; i < sizeof(positions) / sizeof(positions[0]); i++) {
        const struct message message = {
            .type = MESSAGE_REACHED,
            .position = {.topic = 1, .position = positions[i]},
        };
        const struct message_position *position;
        struct message decoded;
        struct err err = {0};

        CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                       &decoded, &err));
        position = &decoded.position.position;
        CU_ASSERT(position->has_era == positions[i].has_era);
        CU_ASSERT(position->resets == positions[i].resets);
        CU_ASSERT(position->era == positions[i].era);
        CU_ASSERT(position->number == positions[i].number);
    }
    message_codec_free(codec);
}

/// A question about streams and its answer; ids that are cut off, and more
/// than a message may have.
static void
test_streams_round_trip(void)
{
    static char bytes[(MESSAGE_FIND_MAX + 1) * MESSAGE_FIND_ID_BYTES];
    static const struct {
        size_t len;
        bool valid;
    } cases[] = {
        {0, true},
        {MESSAGE_FIND_ID_BYTES, true},
        {MESSAGE_FIND_MAX * MESSAGE_FIND_ID_BYTES, true},
        {MESSAGE_FIND_ID_BYTES - 1, false},
        {sizeof(bytes), false},
    };
    struct message_codec *codec = message_codec_new();
    struct message decoded;
    struct err err = {0};

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        const struct message question = {
            .type = MESSAGE_FIND_STREAMS,
            .find_streams = {UINT64_MAX, {bytes, cases[i].len}},
        };
        bool valid = message_decode(codec, message_encode(codec, &question),
                                    &decoded, &err);

        CU_ASSERT(valid == cases[i].valid);
        if (valid) {
            CU_ASSERT(decoded.find_streams.number == UINT64_MAX);
            CU_ASSERT(decoded.find_streams.ids.len == cases[i].len);
        }
    }
    for (size_t i = 0; i < 2; i++) {
        struct str batch = i == 0 ? (struct str){0} : STR_LITERAL("batch");
        const struct message answer = {
            .type = MESSAGE_FOUND_STREAMS,
            .streams = {7, batch},
        };

        CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &answer),
                                       &decoded, &err));
        CU_ASSERT(decoded.type == MESSAGE_FOUND_STREAMS);
        CU_ASSERT(decoded.streams.number == 7);
        CU_ASSERT(str_equal(decoded.streams.batch, batch));
    }
    message_codec_free(codec);
}

static void
test_contexts_round_trip(void)
{
    static struct message_context items[MESSAGE_CONTEXTS_MAX];
    struct message_codec *codec = message_codec_new();
    struct message message = {
        .type = MESSAGE_CONTEXTS,
        .contexts = {items, MESSAGE_CONTEXTS_MAX},
    };
    struct message decoded;
    struct err err = {0};

    for (size_t i = 0; i < MESSAGE_CONTEXTS_MAX; i++) {
        items[i] = (struct message_context){UINT64_MAX - i, 7 * i, 100};
    }
    CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                   &decoded, &err));
    CU_ASSERT(decoded.contexts.count == MESSAGE_CONTEXTS_MAX);
    for (size_t i = 0; i < MESSAGE_CONTEXTS_MAX; i++) {
        CU_ASSERT(decoded.contexts.items[i].endpoint == items[i].endpoint);
        CU_ASSERT(decoded.contexts.items[i].key == items[i].key);
        CU_ASSERT(decoded.contexts.items[i].tokens == items[i].tokens);
    }
    message.contexts.count = 0;
    CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                   &decoded, &err));
    CU_ASSERT(decoded.contexts.count == 0);
    message_codec_free(codec);
}

static void
test_beats_round_trip(void)
{
    const struct message_beat items[] = {
        {UINT64_MAX, 7, true, 0},
        {1, UINT32_MAX, false, 1800},
    };
    const struct message message = {
        .type = MESSAGE_BEATS,
        .beats = {items, 2},
    };
    struct message_codec *codec = message_codec_new();
    struct message decoded;
    struct err err = {0};

    CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                   &decoded, &err));
    CU_ASSERT_FATAL(decoded.beats.count == 2);
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(decoded.beats.items[i].id == items[i].id);
        CU_ASSERT(decoded.beats.items[i].beat == items[i].beat);
        CU_ASSERT(decoded.beats.items[i].reads == items[i].reads);
        CU_ASSERT(decoded.beats.items[i].recovered_age_ms ==
                  items[i].recovered_age_ms);
    }
    message_codec_free(codec);
}

/// Guards against: stated rates are lost or changed on their way to a peer.
static void
test_rates_round_trip(void)
{
    const struct message_rate items[] = {
        {UINT64_MAX, 1791239589532, true, 1900, 40},
        {7, 0, false, 0, UINT32_MAX},
    };
    const struct message message = {
        .type = MESSAGE_RATES,
        .rates = {items, 2},
    };
    struct message_codec *codec = message_codec_new();
    struct message decoded;
    struct err err = {0};

    CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                   &decoded, &err));
    CU_ASSERT(decoded.type == MESSAGE_RATES);
    CU_ASSERT_FATAL(decoded.rates.count == 2);
    for (size_t i = 0; i < 2; i++) {
        const struct message_rate *rate = &decoded.rates.items[i];

        CU_ASSERT(rate->endpoint == items[i].endpoint);
        CU_ASSERT(rate->incarnation == items[i].incarnation);
        CU_ASSERT(rate->holds == items[i].holds);
        CU_ASSERT(rate->milli_per_s == items[i].milli_per_s);
        CU_ASSERT(rate->age_ms == items[i].age_ms);
    }
    message_codec_free(codec);
}

/// Guards against: loads of busy endpoints are changed on their way to a peer.
static void
test_busy_round_trip(void)
{
    const struct message_busy items[] = {
        {UINT64_MAX, 1791239589532, 128, 40},
        {7, 0, UINT32_MAX, UINT32_MAX},
    };
    const struct message message = {
        .type = MESSAGE_BUSY,
        .busy = {items, 2},
    };
    struct message_codec *codec = message_codec_new();
    struct message decoded;
    struct err err = {0};

    CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                   &decoded, &err));
    CU_ASSERT(decoded.type == MESSAGE_BUSY);
    CU_ASSERT_FATAL(decoded.busy.count == 2);
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT(decoded.busy.items[i].endpoint == items[i].endpoint);
        CU_ASSERT(decoded.busy.items[i].incarnation == items[i].incarnation);
        CU_ASSERT(decoded.busy.items[i].load == items[i].load);
        CU_ASSERT(decoded.busy.items[i].age_ms == items[i].age_ms);
    }
    message_codec_free(codec);
}

/// Guards against: numbers of a full report are lost, or half an item passes.
static void
test_shares_round_trip(void)
{
    static struct message_share items[MESSAGE_SHARES_MAX + 1];
    struct message message = {
        .type = MESSAGE_SHARES,
        .shares = {items, MESSAGE_SHARES_MAX},
    };
    struct message_codec *codec = message_codec_new();
    struct message decoded;
    struct err err = {0};

    for (uint32_t i = 0; i <= MESSAGE_SHARES_MAX; i++) {
        items[i] = (struct message_share){UINT64_MAX - i, i, UINT32_MAX - i,
                                          2 * i, 3 * i};
    }
    CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                   &decoded, &err));
    CU_ASSERT(decoded.type == MESSAGE_SHARES);
    CU_ASSERT_FATAL(decoded.shares.count == MESSAGE_SHARES_MAX);
    for (size_t i = 0; i < MESSAGE_SHARES_MAX; i++) {
        const struct message_share *share = &decoded.shares.items[i];

        CU_ASSERT(share->group == items[i].group);
        CU_ASSERT(share->account == items[i].account);
        CU_ASSERT(share->offered_milli == items[i].offered_milli);
        CU_ASSERT(share->admitted_milli == items[i].admitted_milli);
        CU_ASSERT(share->admitted_tokens == items[i].admitted_tokens);
    }
    message.shares.count++;
    CU_ASSERT(!message_decode(codec, message_encode(codec, &message), &decoded,
                              &err));
    // An array of four numbers instead of five.
    CU_ASSERT(!message_decode(codec, STR_LITERAL("\x92\x24\x94\1\2\3\4"),
                              &decoded, &err));
    CU_ASSERT(message_decode(codec, STR_LITERAL("\x92\x24\x95\1\2\3\4\5"),
                             &decoded, &err));
    message_codec_free(codec);
}

static void
test_blames_round_trip(void)
{
    static const size_t counts[] = {0, 1, MESSAGE_BLAMES_MAX};
    static struct message_blame items[MESSAGE_BLAMES_MAX];
    struct message_codec *codec = message_codec_new();

    // The numbers of parts vary from 0 to MESSAGE_PARTS_MAX.
    for (size_t i = 0; i < MESSAGE_BLAMES_MAX; i++) {
        items[i].crash_id = UINT32_MAX - (uint32_t)i;
        items[i].age_ms = i == 0 ? UINT32_MAX : (uint32_t)i;
        items[i].begun = i % 2 == 0;
        items[i].part_count = MESSAGE_PARTS_MAX - i % (MESSAGE_PARTS_MAX + 1);
        for (size_t j = 0; j < items[i].part_count; j++) {
            items[i].parts[j] = UINT64_MAX - 100 * i - j;
        }
    }
    for (size_t n = 0; n < sizeof(counts) / sizeof(counts[0]); n++) {
        const struct message message = {
            .type = MESSAGE_BLAMES,
            .blames = {items, counts[n]},
        };
        struct message decoded;
        struct err err = {0};

        CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                       &decoded, &err));
        CU_ASSERT(decoded.type == MESSAGE_BLAMES);
        CU_ASSERT_FATAL(decoded.blames.count == counts[n]);
        for (size_t i = 0; i < counts[n]; i++) {
            const struct message_blame *blame = &decoded.blames.items[i];

            CU_ASSERT(blame->crash_id == items[i].crash_id);
            CU_ASSERT(blame->age_ms == items[i].age_ms);
            CU_ASSERT(blame->begun == items[i].begun);
            CU_ASSERT_FATAL(blame->part_count == items[i].part_count);
            CU_ASSERT(!memcmp(blame->parts, items[i].parts,
                              items[i].part_count * sizeof(uint64_t)));
        }
    }
    message_codec_free(codec);
}

static void
test_answered_round_trip(void)
{
    static const size_t counts[] = {0, 1, MESSAGE_ANSWERED_MAX};
    struct message_codec *codec = message_codec_new();
    uint64_t parts[MESSAGE_ANSWERED_MAX];

    for (size_t i = 0; i < MESSAGE_ANSWERED_MAX; i++) {
        parts[i] = UINT64_MAX - i;
    }
    for (size_t n = 0; n < sizeof(counts) / sizeof(counts[0]); n++) {
        const struct message message = {
            .type = MESSAGE_ANSWERED,
            .answered = {parts, counts[n]},
        };
        struct message decoded;
        struct err err = {0};

        CU_ASSERT_FATAL(message_decode(codec, message_encode(codec, &message),
                                       &decoded, &err));
        CU_ASSERT(decoded.type == MESSAGE_ANSWERED);
        CU_ASSERT_FATAL(decoded.answered.count == counts[n]);
        CU_ASSERT(!memcmp(decoded.answered.parts, parts,
                          counts[n] * sizeof(uint64_t)));
    }
    message_codec_free(codec);
}

static void
check_rejected(struct message_codec *codec, const char *what, struct str frame)
{
    struct message message;
    struct err err = {0};

    if (message_decode(codec, frame, &message, &err) ||
        err.code != ERR_PROTOCOL) {
        printf("%s\n", what);
        CU_FAIL("a malformed message was accepted");
    }
}

/// A frame of one array of numbers.
static struct str
numbers_frame(char bytes[512], enum message_type type, const char *numbers,
              size_t count)
{
    const char head[] = {'\x92', (char)type, '\xdc', (char)(count >> 8),
                         (char)count};

    memcpy(bytes, head, sizeof(head));
    memcpy(bytes + sizeof(head), numbers, count);
    return (struct str){bytes, sizeof(head) + count};
}

static void
test_malformed_blames(void)
{
    // Crash, age, false, number of parts, parts; each is one byte.
    static const char too_many_parts[] = {
        1,  2,  '\xc2', MESSAGE_PARTS_MAX + 1,
        1,  2,  3,      4,
        5,  6,  7,      8,
        9,  10, 11,     12,
        13, 14, 15,     16};
    static const char good[] = {1, 2, '\xc2', 2, 7, 8, 9};
    static const char not_a_bool[] = {1, 2, 1, 1, 7};
    static const char nested[] = {1, 2, '\xc2', 1, '\x90'};
    char many[(MESSAGE_BLAMES_MAX + 1) * 4];
    struct message_codec *codec = message_codec_new();
    struct message message;
    struct err err = {0};
    char bytes[512];

    CU_ASSERT_FATAL(message_decode(
        codec, numbers_frame(bytes, MESSAGE_BLAMES, good, 6), &message, &err));
    CU_ASSERT(message.blames.count == 1);
    CU_ASSERT(message.blames.items[0].part_count == 2);
    CU_ASSERT(message.blames.items[0].parts[1] == 8);
    for (size_t count = 1; count < 6; count++) {
        check_rejected(codec, "a truncated item",
                       numbers_frame(bytes, MESSAGE_BLAMES, good, count));
    }
    check_rejected(codec, "trailing numbers",
                   numbers_frame(bytes, MESSAGE_BLAMES, good, sizeof(good)));
    check_rejected(codec, "too many parts",
                   numbers_frame(bytes, MESSAGE_BLAMES, too_many_parts,
                                 sizeof(too_many_parts)));
    check_rejected(
        codec, "a number as begun",
        numbers_frame(bytes, MESSAGE_BLAMES, not_a_bool, sizeof(not_a_bool)));
    check_rejected(
        codec, "an array as a part",
        numbers_frame(bytes, MESSAGE_BLAMES, nested, sizeof(nested)));
    for (size_t i = 0; i < sizeof(many); i += 4) {
        memcpy(many + i, "\x01\x02\xc2\x00", 4);
    }
    CU_ASSERT(message_decode(
        codec, numbers_frame(bytes, MESSAGE_BLAMES, many, sizeof(many) - 4),
        &message, &err));
    check_rejected(codec, "too many items",
                   numbers_frame(bytes, MESSAGE_BLAMES, many, sizeof(many)));
    memset(many, 1, sizeof(many));
    CU_ASSERT(message_decode(
        codec,
        numbers_frame(bytes, MESSAGE_ANSWERED, many, MESSAGE_ANSWERED_MAX),
        &message, &err));
    check_rejected(codec, "too many answered parts",
                   numbers_frame(bytes, MESSAGE_ANSWERED, many,
                                 MESSAGE_ANSWERED_MAX + 1));
    many[1] = '\xc2';
    check_rejected(codec, "a boolean as an answered part",
                   numbers_frame(bytes, MESSAGE_ANSWERED, many, 3));
    message_codec_free(codec);
}

/// What follows the only field, or is missing of it, is not accepted.
static void
test_incomplete_blames(void)
{
    static const struct message_blame blame = {
        .crash_id = 70000, .age_ms = 300, .part_count = 2, .parts = {1, 2}};
    static const uint64_t parts[] = {UINT64_MAX, 1};
    const struct message messages[] = {
        {.type = MESSAGE_BLAMES, .blames = {&blame, 1}},
        {.type = MESSAGE_ANSWERED, .answered = {parts, 2}},
    };
    struct message_codec *codec = message_codec_new();

    for (size_t i = 0; i < 2; i++) {
        struct str encoded = message_encode(codec, &messages[i]);
        char bytes[128];

        CU_ASSERT_FATAL(encoded.len + 1 < sizeof(bytes));
        memcpy(bytes, encoded.data, encoded.len);
        for (size_t len = 0; len < encoded.len; len++) {
            check_rejected(codec, "a truncated frame",
                           (struct str){bytes, len});
        }
        bytes[encoded.len] = 1;
        check_rejected(codec, "a trailing number",
                       (struct str){bytes, encoded.len + 1});
        CU_ASSERT(bytes[0] == '\x92');
        bytes[0] = '\x93';
        check_rejected(codec, "a surplus field",
                       (struct str){bytes, encoded.len + 1});
    }
    message_codec_free(codec);
}

/// Large values are sent compressed; what expands to another length, or not
/// at all, is rejected.
static void
test_packed_values(void)
{
    static char text[500000];
    struct str value = {text, sizeof(text)};
    struct str packed, expanded;

    for (size_t i = 0; i < sizeof(text); i++) {
        text[i] = (char)('a' + i * i % 23);
    }
    packed = pack_compress(value);
    CU_ASSERT(packed.len < value.len / 4);
    CU_ASSERT_FATAL(pack_expand(packed, value.len, &expanded));
    CU_ASSERT(str_equal(expanded, value));
    free((char *)expanded.data);
    CU_ASSERT(!pack_expand(packed, value.len - 1, &expanded));
    CU_ASSERT(!pack_expand(packed, value.len + 1, &expanded));
    CU_ASSERT(!pack_expand(packed, (size_t)PACK_BYTES_MAX + 1, &expanded));
    for (size_t len = 0; len < packed.len; len += 97) {
        CU_ASSERT(!pack_expand((struct str){packed.data, len}, value.len,
                               &expanded));
    }
    free((char *)packed.data);
}

void
suite_message(void)
{
    CU_pSuite suite = CU_add_suite("message", NULL, NULL);

    CU_add_test(suite, "positions round trip", test_positions_round_trip);
    CU_add_test(suite, "streams round trip", test_streams_round_trip);
    CU_add_test(suite, "offer round trip", test_offer_round_trip);
    CU_add_test(suite, "contexts round trip", test_contexts_round_trip);
    CU_add_test(suite, "beats round trip", test_beats_round_trip);
    CU_add_test(suite, "rates round trip", test_rates_round_trip);
    CU_add_test(suite, "busy round trip", test_busy_round_trip);
    CU_add_test(suite, "shares round trip", test_shares_round_trip);
    CU_add_test(suite, "blames round trip", test_blames_round_trip);
    CU_add_test(suite, "answered round trip", test_answered_round_trip);
    CU_add_test(suite, "malformed blames", test_malformed_blames);
    CU_add_test(suite, "incomplete blames", test_incomplete_blames);
    CU_add_test(suite, "packed values", test_packed_values);
    CU_add_test(suite, "bad frames", test_bad_frames);
    CU_add_test(suite, "every truncation is refused",
                test_every_truncation_is_refused);
}
