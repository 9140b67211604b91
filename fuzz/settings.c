/// Fuzz target for the settings file of a router: each input is either read or
/// rejected with an error.
#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

#include "core/toml.h"
#include "daemon/settings.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    int fd = memfd_create("settings", 0);
    struct settings_router settings;
    struct toml_doc *doc = NULL;
    struct err err = {0};
    char path[64];

    if (write(fd, data, size) != (ssize_t)size) {
        close(fd);
        return 0;
    }
    snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
    if (settings_read_router(path, &settings, &doc, &err)) {
        toml_free(doc);
    }
    else if (err.code == ERR_NONE) {
        __builtin_trap();
    }
    close(fd);
    return 0;
}
