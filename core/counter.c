#include "dandelionvalve/counter.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "xmalloc.h"

struct description {
    const char *name;
    const char *label;
    const char *help;
};

static const struct description descriptions[COUNTER_END] = {
#define X(id, name, label, help) {name, label, help},
    COUNTER_TABLE(X)
#undef X
};

char *
counter_text(const struct counters *counters)
{
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);

    if (out == NULL) {
        BUG("out of memory");
    }
    for (size_t i = 0; i < COUNTER_END; i++) {
        const struct description *d = &descriptions[i];

        if (d->help[0] != '\0') {
            fprintf(out, "# HELP dandelionvalve_%s %s\n", d->name, d->help);
        }
        fprintf(out, "dandelionvalve_%s%s %" PRIu64 "\n", d->name, d->label,
                counters->values[i]);
    }
    fclose(out);
    return text;
}
