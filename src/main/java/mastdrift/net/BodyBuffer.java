package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Arrays;
import java.util.function.IntPredicate;

/** The body of a message that is being received: an array that grows with what has arrived, not with what was announced. */
final class BodyBuffer {

    private static final int MIN_CAPACITY_BYTES = 256;

    private final int maxBytes;
    private final IntPredicate reservation;
    private byte[] bytes = new byte[0];
    private int length;

    /** Holds up to {@code maxBytes}; asks {@code reservation} for each number of bytes by which it grows. */
    BodyBuffer(int maxBytes, IntPredicate reservation) {
        this.maxBytes = maxBytes;
        this.reservation = reservation;
    }

    /** The number of bytes received. */
    int length() {
        return length;
    }

    /** Appends all readable bytes, which must fit; returns false, and appends nothing, if there is no memory for them. */
    boolean append(ByteBuf part) {
        int added = part.readableBytes();
        if (!ensureCapacity(length + added)) {
            return false;
        }
        part.readBytes(bytes, length, added);
        length += added;
        return true;
    }

    private boolean ensureCapacity(int needed) {
        if (needed <= bytes.length) {
            return true;
        }
        int capacity = Math.max(needed, Math.min(maxBytes, Math.max(MIN_CAPACITY_BYTES, 2 * bytes.length)));
        if (!reservation.test(capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** What was received, without a copy. */
    ByteBuf toByteBuf() {
        return length == 0 ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes, 0, length);
    }
}
