package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A socket channel that counts the bytes that the kernel accepts and delivers. A handler could not count them: what it
 * sees written may never be sent, and a write that fails midway was sent in part. The counts are read and written on
 * the event loop's thread.
 */
final class CountedChannel extends NioSocketChannel {

    private long sentBytes;
    private long receivedBytes;

    private CountedChannel() { }

    /** Returns the supertype, so that callers which don't count bytes don't load this class. */
    static NioSocketChannel create() {
        return new CountedChannel();
    }

    long sentBytes() {
        return sentBytes;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    private static long pendingFlushedBytes(ChannelOutboundBuffer buffer) throws Exception {
        long[] sum = new long[1];
        buffer.forEachFlushedMessage(message -> {
            sum[0] += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            return true;
        });
        return sum[0];
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        long before = pendingFlushedBytes(buffer);
        try {
            super.doWrite(buffer);
        } finally {
            sentBytes += before - pendingFlushedBytes(buffer);
        }
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        int read = super.doReadBytes(to);
        receivedBytes += Math.max(0, read);
        return read;
    }
}
