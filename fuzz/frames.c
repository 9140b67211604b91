/// Fuzz target for link frames: each input is either decoded or rejected.
#include "dandelionvalve/message.h"

#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct message_codec *codec;
    struct message message;
    struct err err = {0};

    if (codec == NULL) {
        codec = message_codec_new();
    }
    // A decoded message must be encoded to a frame that can be decoded.
    if (message_decode(codec, (struct str){(const char *)data, size}, &message,
                       &err)) {
        struct str bytes = message_encode(codec, &message);
        struct message again;

        if (!message_decode(codec, bytes, &again, &err)) {
            __builtin_trap();
        }
    }
    return 0;
}
