/// Estimates how much of an endpoint's memory the requests there will need.
///
/// Load pattern: an endpoint crashes if the requests that it holds exceed its
/// memory, which happens when several long ones run at the same time. Callers
/// give an estimate of the output, which is right at the median and often far
/// off.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Share of the memory that placements may fill. The rest is for outputs that
/// get longer than expected and for requests that no router reports.
#define FOOTPRINT_SHARE_MAX 0.85
/// Bounds of the expected output; the upper one where no maximum is stated.
#define FOOTPRINT_OUTPUT_TOKENS_MIN 16
#define FOOTPRINT_OUTPUT_TOKENS_MAX 32768
/// Least weight of the newest answer in what is learned of a route.
#define FOOTPRINT_ANSWER_WEIGHT 0.02
/// Bounds of one answer's length relative to the typical one of its estimate,
/// and of the mean of that.
#define FOOTPRINT_RATIO_MAX 8.0
#define FOOTPRINT_FACTOR_MAX 3.0
/// Weight of the newest request in the mean of an endpoint's requests.
#define FOOTPRINT_MEAN_WEIGHT 0.05

/// Estimates and lengths of a route's answers. A length counts events, whose
/// number of tokens is unknown: the typical ratio of both gives it, since the
/// estimates are right at the median. Zero-initialise before use.
struct footprint_lengths {
    uint32_t samples;
    double log_ratio; ///< mean logarithm of events per estimated token
    double factor;    ///< mean length relative to the typical one
};

struct footprint_output {
    bool has_hint;
    uint32_t hint; ///< tokens
    uint32_t max;  ///< tokens; 0: not stated
};

/// Adds a complete answer.
void footprint_add_answer(struct footprint_lengths *lengths,
                          const struct footprint_output *output,
                          uint64_t events);

/// Output tokens to expect; without an estimate half of the maximum, 0 if
/// there is none.
double footprint_expect_output(const struct footprint_lengths *lengths,
                               const struct footprint_output *output);

/// What this router has placed at one endpoint. Zero-initialise before use.
struct footprint {
    double held_tokens;
    double mean_tokens; ///< of a request; 0: none yet
};

void footprint_add(struct footprint *footprint, double tokens);
void footprint_remove(struct footprint *footprint, double tokens);

/// True if a request of `tokens` fits into the share of `capacity` that
/// placements may fill.
bool footprint_fits(double held_tokens, double tokens, double capacity);
