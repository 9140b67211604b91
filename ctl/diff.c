#include "diff.h"

#include <stdlib.h>
#include <string.h>

#include "core/xmalloc.h"

struct lines {
    struct str *items;
    size_t count;
};

static struct lines
split(struct str text)
{
    struct lines lines = {0};

    while (text.len > 0) {
        const char *end = memchr(text.data, '\n', text.len);
        size_t len = end != NULL ? (size_t)(end - text.data) : text.len;

        lines.items =
            xrealloc(lines.items, (lines.count + 1) * sizeof(*lines.items));
        lines.items[lines.count++] = (struct str){text.data, len};
        text.data += len + (end != NULL ? 1 : 0);
        text.len -= len + (end != NULL ? 1 : 0);
    }
    return lines;
}

static void
print_line(FILE *out, char mark, struct str line)
{
    fprintf(out, "%c" STR_FMT "\n", mark, STR_ARG(line));
}

/// The index of the line in `lines`, searched from `from` on, or SIZE_MAX.
static size_t
find_line(const struct lines *lines, size_t from, struct str line)
{
    for (size_t i = from; i < lines->count; i++) {
        if (str_equal(lines->items[i], line)) {
            return i;
        }
    }
    return SIZE_MAX;
}

bool
diff_print(FILE *out, struct str before, struct str after)
{
    struct lines old = split(before);
    struct lines new = split(after);
    size_t i = 0;
    size_t j = 0;
    bool differ = false;

    while (i < old.count || j < new.count) {
        size_t in_new;
        size_t in_old;

        if (i < old.count &&
            j < new.count &&str_equal(old.items[i], new.items[j])) {
            i++;
            j++;
            continue;
        }
        differ = true;
        in_new = i < old.count ? find_line(&new, j, old.items[i]) : SIZE_MAX;
        in_old = j < new.count ? find_line(&old, i, new.items[j]) : SIZE_MAX;
        if (j < new.count &&
            (i >= old.count || in_old == SIZE_MAX ||
             (in_new != SIZE_MAX && in_new - j <= in_old - i))) {
            print_line(out, '+', new.items[j++]);
        }
        else {
            print_line(out, '-', old.items[i++]);
        }
    }
    free(old.items);
    free(new.items);
    return differ;
}
