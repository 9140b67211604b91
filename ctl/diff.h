/// Line differences between two texts.
#pragma once

#include <stdbool.h>
#include <stdio.h>

#include "dandelionvalve/str.h"

/// Prints removed lines with '-', added ones with '+'. True if they differ.
bool diff_print(FILE *out, struct str before, struct str after);
