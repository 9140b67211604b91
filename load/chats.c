#include "chats.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <math.h>

#include "core/xmalloc.h"

#define TURN_BYTES 200
#define TURNS_MAX 20
#define WORD_BYTES 17
#define ACCOUNT_HASH_FACTOR 2654435761U
#define ACCOUNT_HASH_RANGE 10007
/// Keeps the seeds of user messages apart from those of archives.
#define TURNS_SEED_OFFSET 1000000007

struct chat {
    char *hint;
    unsigned turns;
};

struct chats {
    struct chats_options options;
    struct chat *chats;
    gsl_rng *rng;
    gsl_ran_discrete_t *zipf;
};

struct chats *
chats_new(const struct chats_options *options)
{
    struct chats *chats = xcalloc(1, sizeof(*chats));
    double *weights = xcalloc(options->chats, sizeof(*weights));

    chats->options = *options;
    chats->chats = xcalloc(options->chats, sizeof(*chats->chats));
    for (size_t i = 0; i < options->chats; i++) {
        weights[i] = pow((double)i + 1, -options->zipf_exponent);
    }
    chats->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(chats->rng, options->seed);
    chats->zipf = gsl_ran_discrete_preproc(options->chats, weights);
    free(weights);
    return chats;
}

void
chats_free(struct chats *chats)
{
    if (chats == NULL) {
        return;
    }
    for (size_t i = 0; i < chats->options.chats; i++) {
        free(chats->chats[i].hint);
    }
    free(chats->chats);
    gsl_ran_discrete_free(chats->zipf);
    gsl_rng_free(chats->rng);
    free(chats);
}

size_t
chats_draw(struct chats *chats)
{
    return gsl_ran_discrete(chats->rng, chats->zipf);
}

uint64_t
chats_random(struct chats *chats, uint64_t bound)
{
    return gsl_rng_uniform_int(chats->rng, bound);
}

size_t
chats_account(const struct chats *chats, size_t chat)
{
    // Squaring skews the distribution: a few accounts own many chats.
    double u = (double)(chat * ACCOUNT_HASH_FACTOR % ACCOUNT_HASH_RANGE) /
               (double)ACCOUNT_HASH_RANGE;

    return (size_t)(u * u * (double)chats->options.accounts);
}

const char *
chats_hint(const struct chats *chats, size_t chat)
{
    return chats->chats[chat].hint;
}

void
chats_set_hint(struct chats *chats, size_t chat, struct str hint)
{
    free(chats->chats[chat].hint);
    chats->chats[chat].hint = hint.len > 0 ? str_dup(hint) : NULL;
}

void
chats_id(size_t chat, char *out, size_t size)
{
    snprintf(out, size, "chat-%zu", chat);
}

/// Fills `out` with text that depends only on the seed, so that all processes
/// generate the same.
static void
fill_text(uint64_t seed, char *out, size_t len)
{
    for (size_t i = 0; i < len; i += WORD_BYTES - 1) {
        char word[WORD_BYTES];
        uint64_t hash =
            str_hash((struct str){(const char *)&i, sizeof(i)}, seed);

        hex_encode(&hash, sizeof(hash), word);
        memcpy(out + i, word,
               len - i < WORD_BYTES - 1 ? len - i : WORD_BYTES - 1);
    }
    out[len] = '\0';
}

struct str
chats_body(struct chats *chats, size_t chat)
{
    const struct chats_options *options = &chats->options;
    struct chat *state = &chats->chats[chat];
    char *archive = xmalloc(options->prompt_bytes + 1);
    char *turns;
    char id[32];
    json_t *json;
    char *text;

    if (state->turns < TURNS_MAX) {
        state->turns++;
    }
    turns = xmalloc(state->turns * TURN_BYTES + 1);
    fill_text(chat % options->archives + 1, archive, options->prompt_bytes);
    fill_text(chat + TURNS_SEED_OFFSET, turns, state->turns * TURN_BYTES);
    chats_id(chat, id, sizeof(id));
    json =
        json_pack("{s:s%, s:b, s:i, s:{s:s}, s:[{s:s, s:s}, {s:s, s:s}]}",
                  "model", options->model.data, options->model.len, "stream",
                  options->stream, "max_tokens", (int)options->max_tokens,
                  "metadata", "chat_id", id, "messages", "role", "system",
                  "content", archive, "role", "user", "content", turns);
    text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    free(archive);
    free(turns);
    return str_from(text);
}
