package mastdrift.net;

import io.netty.handler.codec.http.HttpMessage;
import java.util.Iterator;
import java.util.Map;

/** Estimates the memory that the head of a decoded message takes. */
final class MessageWeight {

    // What the objects of a message, and of each of its header fields, take beside their text.
    private static final int MESSAGE_OVERHEAD_BYTES = 512;
    private static final int FIELD_OVERHEAD_BYTES = 160;

    private MessageWeight() { }

    /** The memory of a head, in bytes, without its start line. */
    static int of(HttpMessage message) {
        int bytes = MESSAGE_OVERHEAD_BYTES;
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all = message.headers().iteratorCharSequence(); all.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> field = all.next();
            bytes += FIELD_OVERHEAD_BYTES + field.getKey().length() + field.getValue().length();
        }
        return bytes;
    }
}
