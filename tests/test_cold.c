/// x
#include <CUnit/CUnit.h>
#include "suites.h"
void suite_cold(void) {}
