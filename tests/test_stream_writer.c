/// Which router writes the streams of others to the log, and how often.
#include <CUnit/CUnit.h>

#include "core/stream_writer.h"
#include "suites.h"

/// Routers that are linked to each other agree on one, which changes when it
/// fails to write.
static void
test_lowest_writes(void)
{
    static const uint64_t peers[] = {30, 10, 20};
    struct stream_writer writer = {0};
    struct stream_writer_choice choice =
        stream_writer_choose(&writer, 40, peers, 3, 4, 0);

    CU_ASSERT(choice.id == 10);
    CU_ASSERT(choice.interval_ms == STREAM_WRITER_INTERVAL_MS);
    CU_ASSERT(stream_writer_choose(&writer, 5, peers, 3, 4, 0).id == 5);
    stream_writer_avoid(&writer, 10, 0);
    CU_ASSERT(stream_writer_choose(&writer, 40, peers, 3, 4, 0).id == 20);
    CU_ASSERT(
        stream_writer_choose(&writer, 40, peers, 3, 4, STREAM_WRITER_AVOID_MS)
            .id == 10);
}

/// A router that writes only since a lower one has failed is not the only one
/// to do so: it must not append as often.
static void
test_stand_in(void)
{
    static const uint64_t peers[] = {10};
    struct stream_writer writer = {0};
    struct stream_writer_choice choice;

    stream_writer_avoid(&writer, 10, 0);
    choice = stream_writer_choose(&writer, 15, peers, 1, 2, 0);
    CU_ASSERT(choice.id == 15 && choice.interval_ms == 0);
    choice = stream_writer_choose(&writer, 15, NULL, 0, 1, 0);
    CU_ASSERT(choice.id == 15);
    CU_ASSERT(choice.interval_ms == STREAM_WRITER_INTERVAL_MS);
}

/// Hundreds of routers with a few links each have several writers, whose
/// appends together are as many.
static void
test_few_links(void)
{
    static const uint64_t peers[] = {30, 10, 20};
    struct stream_writer writer = {0};

    CU_ASSERT(stream_writer_choose(&writer, 40, peers, 3, 40, 0).interval_ms ==
              10 * STREAM_WRITER_INTERVAL_MS);
}

void
suite_stream_writer(void)
{
    CU_pSuite suite = CU_add_suite("stream-writer", NULL, NULL);

    CU_add_test(suite, "lowest router writes", test_lowest_writes);
    CU_add_test(suite, "stand-in appends less often", test_stand_in);
    CU_add_test(suite, "several writers with few links", test_few_links);
}
