/// The entry point that the fuzzer calls.
#pragma once

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
