#pragma once

#include <stdbool.h>
#include <stdio.h>

#include "dandelionvalve/str.h"

/// Prints removed lines with '-' and added lines with '+'. True if the texts
/// differ.
bool diff_print(FILE *out, struct str before, struct str after);
