/// The availability zones that the operator has evacuated: their endpoints get
/// no requests.
///
/// Load pattern: a zone is about to be taken down or is in trouble, and its
/// share of the traffic moves to the other zones at once and comes back later,
/// when its endpoints have become cold.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dandelionvalve/str.h"

struct evacuation;

/// The caller frees with evacuation_free().
struct evacuation *evacuation_new(void);
void evacuation_free(struct evacuation *evacuation);

/// False if the zone is evacuated already. It does not lapse any more.
bool evacuation_begin(struct evacuation *evacuation, struct str zone,
                      int64_t now_ms);

/// Returns how long the zone was evacuated; -1: it was not.
int64_t evacuation_end(struct evacuation *evacuation, struct str zone,
                       int64_t now_ms);

/// The record of an evacuation is missing: the evacuation lapses at this time,
/// unless it begins again before. False if the zone is not evacuated.
bool evacuation_lapse(struct evacuation *evacuation, struct str zone,
                      int64_t at_ms);

/// A zone whose evacuation has lapsed, valid until evacuation_end(); empty:
/// none.
struct str evacuation_lapsed(const struct evacuation *evacuation,
                             int64_t now_ms);

bool evacuation_covers(const struct evacuation *evacuation, struct str zone);
size_t evacuation_count(const struct evacuation *evacuation);
