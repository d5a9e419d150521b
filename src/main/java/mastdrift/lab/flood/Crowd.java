package mastdrift.lab.flood;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * Hundreds of clients that come at once and keep their connections in the state of a {@link CrowdKind}. Where the gateway
 * closes one, its client connects again and does the same.
 */
public final class Crowd implements AutoCloseable {

    private static final int WRITE_INTERVAL_MILLIS = 20;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    /** One client. */
    private static final class Member {
        private SocketChannel channel;
        private ByteBuffer unsent;
    }

    private final InetSocketAddress gateway;
    private final CrowdKind kind;
    private final String name;
    private final List<Member> members = new ArrayList<>();
    private final ByteBuffer dropped = ByteBuffer.allocateDirect(1 << 16);
    private final Thread thread;
    private long connections;
    private volatile boolean ended;

    private Crowd(InetSocketAddress gateway, CrowdKind kind, int size, String name) {
        this.gateway = gateway;
        this.kind = kind;
        this.name = name;
        for (int i = 0; i < size; i++) {
            members.add(new Member());
        }
        thread = new Thread(this::runUntilEnded, "crowd-" + name);
        thread.setDaemon(true);
    }

    /** Starts a crowd of so many clients; {@code name} is part of the ids that they send. */
    public static Crowd start(InetSocketAddress gateway, CrowdKind kind, int size, String name) {
        Crowd crowd = new Crowd(gateway, kind, size, name);
        crowd.thread.start();
        return crowd;
    }

    private void runUntilEnded() {
        while (!ended) {
            long startedNanos = System.nanoTime();
            for (Member member : members) {
                advance(member);
            }
            pause(WRITE_INTERVAL_MILLIS - (System.nanoTime() - startedNanos) / 1_000_000);
        }
        members.forEach(Crowd::disconnect);
    }

    private void advance(Member member) {
        try {
            if (member.channel == null) {
                connect(member);
            }
            if (!member.channel.finishConnect()) {
                return;
            }
            write(member);
            if (kind.reads() && isClosedByGateway(member) || kind.leaves() && !member.unsent.hasRemaining()) {
                disconnect(member);
            }
        } catch (IOException e) {
            disconnect(member);
        }
    }

    private void connect(Member member) throws IOException {
        member.channel = SocketChannel.open();
        member.channel.configureBlocking(false);
        if (!kind.reads()) {
            member.channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        }
        member.unsent = ByteBuffer.wrap(kind.message(name + "." + connections++));
        member.channel.connect(gateway);
    }

    private void write(Member member) throws IOException {
        int end = member.unsent.limit();
        member.unsent.limit((int) Math.min(end, (long) member.unsent.position() + kind.bytesPerWrite()));
        member.channel.write(member.unsent);
        member.unsent.limit(end);
    }

    private boolean isClosedByGateway(Member member) throws IOException {
        int read;
        do {
            dropped.clear();
            read = member.channel.read(dropped);
        } while (read > 0);
        return read < 0;
    }

    private static void disconnect(Member member) {
        try {
            if (member.channel != null) {
                member.channel.close();
            }
        } catch (IOException e) {
            return;  // it was closed already
        } finally {
            member.channel = null;
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(Math.max(1, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes all connections. */
    @Override
    public void close() {
        ended = true;
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
