/// Loopback addresses for tests.
#pragma once

#include "net/address.h"

/// 127.0.0.1 with port 0: the kernel chooses the port.
struct address ports_any(void);

/// An address with a port that is unused and that no outgoing connection can
/// take, for listeners whose address must be known before they are bound.
struct address ports_unused(void);
