/// Addresses on loopback for tests.
#pragma once

#include "net/address.h"

/// Any port.
struct address ports_any(void);

/// A port that is free now and that no connection can take, for addresses that
/// must be known beforehand.
struct address ports_unused(void);
