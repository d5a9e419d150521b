package mastdrift.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * Buffers of exactly the size that is asked for, on the Java heap. A pool keeps a whole chunk for as long as one small buffer of
 * it is in use, so that many slow connections hold many times what they have sent; and what buffers off the heap take is bounded
 * apart from the heap, where neither can use what the other leaves.
 */
final class HeapBuffers {

    /** The allocator. */
    static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);

    private HeapBuffers() { }
}
