package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;

/** A socket that counts what the kernel takes and gives, to the byte: what a handler sees written may never be sent, and what fails midway
    was sent in part. Read and written on the loop's thread. */
final class CountedChannel extends NioSocketChannel {

    private long sent;
    private long received;

    private CountedChannel() { }

    /** As its own type only here, so that who doesn't count doesn't load it. */
    static NioSocketChannel create() {
        return new CountedChannel();
    }

    long sent() {
        return sent;
    }

    long received() {
        return received;
    }

    private static long flushed(ChannelOutboundBuffer buffer) throws Exception {
        long[] sum = new long[1];
        buffer.forEachFlushedMessage(message -> {
            sum[0] += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            return true;
        });
        return sum[0];
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        long before = flushed(buffer);
        try {
            super.doWrite(buffer);
        } finally {
            sent += before - flushed(buffer);
        }
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        int read = super.doReadBytes(to);
        received += Math.max(0, read);
        return read;
    }
}
