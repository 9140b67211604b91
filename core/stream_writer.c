#include "stream_writer.h"

struct stream_writer_choice
stream_writer_choose(const struct stream_writer *writer, uint64_t own,
                     const uint64_t *peers, size_t count, size_t routers,
                     int64_t now_ms)
{
    struct stream_writer_choice choice = {.id = own};
    // Routers that are linked to few others have several writers among them.
    size_t writers = (routers + count) / (count + 1);
    uint64_t lowest = own;

    for (size_t i = 0; i < count; i++) {
        if (peers[i] < lowest) {
            lowest = peers[i];
        }
        if (peers[i] < choice.id && (peers[i] != writer->avoided ||
                                     now_ms >= writer->avoided_until_ms)) {
            choice.id = peers[i];
        }
    }
    if (choice.id != own || lowest == own) {
        choice.interval_ms =
            STREAM_WRITER_INTERVAL_MS * (int64_t)(writers > 0 ? writers : 1);
    }
    return choice;
}

void
stream_writer_avoid(struct stream_writer *writer, uint64_t id, int64_t now_ms)
{
    writer->avoided = id;
    writer->avoided_until_ms = now_ms + STREAM_WRITER_AVOID_MS;
}
