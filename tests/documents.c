#include "documents.h"

#include <stdlib.h>

#include "core/xmalloc.h"

struct str
document_named(const char *pool)
{
    return str_from(
        xasprintf("[[pool]]\nname = \"%s\"\nkind = \"service\"\n"
                  "[[route]]\nname = \"r\"\npath = \"/\"\npool = \"%s\"\n"
                  "repeatable = true\n"
                  "[[account]]\nname = \"a\"\nkey_hash = \"%064d\"\n",
                  pool, pool, 0));
}

struct str
document_change(const char *pool, int64_t base, const char *nonce)
{
    struct str document = document_named(pool);
    const struct history_record record = {
        .kind = HISTORY_CHANGE,
        .environment = STR_LITERAL("production"),
        .document = document,
        .nonce = str_from(nonce),
        .author = STR_LITERAL("test"),
        .base = base,
    };
    struct str text = history_record_format(&record);

    free((char *)document.data);
    return text;
}
