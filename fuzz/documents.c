/// Fuzz target for configuration documents: each input is either parsed or
/// rejected with an error.
#include "dandelionvalve/conf.h"

#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct err err = {0};
    struct conf *conf =
        conf_parse((struct str){(const char *)data, size}, "document", &err);

    if ((conf == NULL) != (err.code != ERR_NONE)) {
        __builtin_trap();
    }
    conf_free(conf);
    return 0;
}
