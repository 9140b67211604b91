/// Entry point of a fuzz target, called by libFuzzer.
#pragma once

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
