package mastdrift.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A network that loses: passes datagrams between whoever sends to its loopback port and one target, and loses, doubles or
    holds back a part of them in both directions, by a seeded draw. Each sender has a port of its own towards the target. */
public final class LossyRelay implements AutoCloseable {

    private static final long HELD_MICROS = 30_000;  // so that later ones pass

    private final DatagramSocket front;
    private final InetSocketAddress target;
    private final double part;
    private final SplittableRandom random;
    private final Map<SocketAddress, DatagramSocket> backs = new HashMap<>();
    private final ScheduledThreadPoolExecutor later = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "lossy-later");
        thread.setDaemon(true);
        return thread;
    });
    private long lost;

    /** A {@code part} of all datagrams is lost, as large a one doubled, as large a one held back; all together up to 1. */
    public LossyRelay(InetSocketAddress target, double part, long seed) throws IOException {
        this.target = target;
        this.part = part;
        random = new SplittableRandom(seed);
        front = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        front.setReceiveBufferSize(1 << 20);
        run("lossy-front", () -> {
            DatagramPacket datagram = receive(front);
            DatagramSocket back = back(datagram.getSocketAddress());
            pass(Arrays.copyOf(datagram.getData(), datagram.getLength()), back, target);
        });
    }

    private interface Step {
        void take() throws IOException;
    }

    private void run(String name, Step step) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    step.take();
                }
            } catch (IOException e) {
                return;  // closed
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static DatagramPacket receive(DatagramSocket socket) throws IOException {
        DatagramPacket datagram = new DatagramPacket(new byte[4096], 4096);
        socket.receive(datagram);
        return datagram;
    }

    private DatagramSocket back(SocketAddress sender) throws IOException {
        synchronized (backs) {
            DatagramSocket back = backs.get(sender);
            if (back == null) {
                back = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                back.setReceiveBufferSize(1 << 20);
                backs.put(sender, back);
                DatagramSocket own = back;
                run("lossy-back", () -> {
                    DatagramPacket datagram = receive(own);
                    if (datagram.getSocketAddress().equals(target)) {
                        pass(Arrays.copyOf(datagram.getData(), datagram.getLength()), front, sender);
                    }
                });
            }
            return back;
        }
    }

    private void pass(byte[] bytes, DatagramSocket by, SocketAddress to) throws IOException {
        double draw;
        synchronized (random) {
            draw = random.nextDouble();
            lost += draw < part ? 1 : 0;
        }
        if (draw < part) {
            return;
        }
        if (draw < 2 * part) {
            by.send(new DatagramPacket(bytes, bytes.length, to));
        } else if (draw < 3 * part) {
            later.schedule(() -> {
                by.send(new DatagramPacket(bytes, bytes.length, to));
                return null;
            }, HELD_MICROS, TimeUnit.MICROSECONDS);
            return;
        }
        by.send(new DatagramPacket(bytes, bytes.length, to));
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) front.getLocalSocketAddress();
    }

    /** Datagrams lost so far, both ways. */
    public long lost() {
        synchronized (random) {
            return lost;
        }
    }

    @Override
    public void close() {
        front.close();
        synchronized (backs) {
            backs.values().forEach(DatagramSocket::close);
        }
        later.shutdownNow();
    }
}
