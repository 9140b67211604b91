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

    CU_add_test(suite, "offer round trip", test_offer_round_trip);
    CU_add_test(suite, "contexts round trip", test_contexts_round_trip);
    CU_add_test(suite, "beats round trip", test_beats_round_trip);
    CU_add_test(suite, "packed values", test_packed_values);
    CU_add_test(suite, "bad frames", test_bad_frames);
    CU_add_test(suite, "every truncation is refused",
                test_every_truncation_is_refused);
}
