package mastdrift.measure;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.Packet;
import mastdrift.radius.Resends;
import mastdrift.serve.Service;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInRadiusServer;

/** RADIUS through a gateway from files, against a bare relay of datagrams in the same run: requests a second and the 99th
    percentile, both on one thread; then the memory of a kept answer. {@code RadiusMeasurement [RUNS]}. */
public final class RadiusMeasurement {

    private static final byte[] SECRET = "measured".getBytes(StandardCharsets.US_ASCII);
    private static final int CLIENTS = 8;
    private static final int WARM_MILLIS = 4_000;
    private static final int MILLIS = 6_000;
    private static final int KEPT = 50_000;
    private static final String GATEWAY = """
            [gateway]
            listen = "127.0.0.1:0"
            zone = "bilbao"
            zones = ["bilbao"]

            [[class]]
            name = "card"
            effect = "safe"
            aim = "1s"
            deadline = "3s"

            [[class]]
            name = "talk"
            effect = "unsafe"
            aim = "1s"
            deadline = "3s"

            [[class]]
            name = "accounting"
            effect = "keyed"
            group = "all"
            dedup_window = "60s"
            aim = "1s"
            deadline = "3s"

            [[radius]]
            name = "chargers"
            listen = "127.0.0.1:0"
            access_class = "card"
            conversation_class = "talk"
            accounting_class = "accounting"

            [[radius.client]]
            name = "site"
            network = "127.0.0.0/8"
            secret_file = "secret"

            [pool.cards]
            nodes = ["cards.toml"]
            secret_file = "secret"

            [[route]]
            name = "cards"
            class = "card"
            pools = { cards = 1 }

            [[route]]
            name = "talks"
            class = "talk"
            pools = { cards = 1 }
            # end
            """;

    private RadiusMeasurement() { }

    /** Prints the figures. */
    public static void main(String[] args) throws Exception {
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        try (StandInRadiusServer server = new StandInRadiusServer("one", "one", new Effects(60_000_000), SECRET, 0)) {
            double[] ratios = new double[runs];
            for (int i = 0; i < runs; i++) {
                long[] relay = relay(server);
                long[] gateway = gateway(server);
                ratios[i] = gateway[0] / (double) relay[0];
                System.out.printf("run %d: relay %d requests a second, p99 %d us; gateway %d, p99 %d us; ratio %.2f%n", i + 1,
                        relay[0], relay[1], gateway[0], gateway[1], ratios[i]);
            }
            Arrays.sort(ratios);
            System.out.printf("ratio: median %.2f, %.2f to %.2f%n", ratios[runs / 2], ratios[0], ratios[runs - 1]);
        }
        kept();
    }

    /** A thread that passes datagrams on as they are, by a socket for each client. */
    private static long[] relay(StandInRadiusServer server) throws Exception {
        try (DatagramChannel front = DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                DatagramChannel back = DatagramChannel.open().connect(new InetSocketAddress("127.0.0.1", server.port()));
                Selector selector = Selector.open()) {
            front.configureBlocking(false).register(selector, SelectionKey.OP_READ);
            back.configureBlocking(false).register(selector, SelectionKey.OP_READ);
            Thread thread = new Thread(() -> pass(front, back, selector), "relay");
            thread.setDaemon(true);
            thread.start();
            return load((InetSocketAddress) front.getLocalAddress());
        }
    }

    private static void pass(DatagramChannel front, DatagramChannel back, Selector selector) {
        SocketAddress[] askers = new SocketAddress[256];  // by identifier: each client has its own
        ByteBuffer buffer = ByteBuffer.allocateDirect(Packet.MOST);
        try {
            while (true) {
                selector.select();
                selector.selectedKeys().clear();
                for (SocketAddress from = read(front, buffer); from != null; from = read(front, buffer)) {
                    askers[buffer.get(1) & 0xFF] = from;
                    back.write(buffer);
                }
                buffer.clear();
                while (back.read(buffer) > 0) {
                    buffer.flip();
                    front.send(buffer, askers[buffer.get(1) & 0xFF]);
                    buffer.clear();
                }
            }
        } catch (IOException | ClosedSelectorException e) {
            return;  // closed
        }
    }

    private static SocketAddress read(DatagramChannel front, ByteBuffer buffer) throws IOException {
        buffer.clear();
        SocketAddress from = front.receive(buffer);
        buffer.flip();
        return from;
    }

    private static long[] gateway(StandInRadiusServer server) throws Exception {
        Path folder = Files.createTempDirectory("mastdrift-measure");
        Files.writeString(folder.resolve("secret"), "measured\n");
        Files.writeString(folder.resolve("gateway.toml"), GATEWAY);
        Files.writeString(folder.resolve("cards.toml"), "[[node]]\nuid = \"one\"\nendpoint = \"" + server.endpoint()
                + "\"\nzone = \"bilbao\"\n# end of 1 nodes\n");
        try (Service service = Service.start(folder.resolve("gateway.toml"),
                new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8))) {
            return load(service.radiusAddresses().get(0));
        } finally {
            for (String file : List.of("secret", "gateway.toml", "cards.toml")) {
                Files.delete(folder.resolve(file));
            }
            Files.delete(folder);
        }
    }

    /** Closed loops of clients; requests a second and the 99th percentile in microseconds, after a time to warm up. */
    private static long[] load(InetSocketAddress at) throws InterruptedException {
        AtomicLong count = new AtomicLong();
        List<Thread> threads = new ArrayList<>();
        long[][] samples = new long[CLIENTS][1 << 18];
        int[] taken = new int[CLIENTS];
        long begin = System.nanoTime() + WARM_MILLIS * 1_000_000L;
        long end = begin + MILLIS * 1_000_000L;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> client(at, number, begin, end, samples[number], taken, count));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        int all = Arrays.stream(taken).sum();
        long[] sorted = new long[all];
        int next = 0;
        for (int i = 0; i < CLIENTS; i++) {
            System.arraycopy(samples[i], 0, sorted, next, taken[i]);
            next += taken[i];
        }
        Arrays.sort(sorted);
        return new long[] {count.get() * 1000 / MILLIS, all == 0 ? 0 : sorted[(int) (0.99 * (all - 1))] / 1000};
    }

    private static void client(InetSocketAddress at, int number, long begin, long end, long[] samples, int[] taken,
            AtomicLong count) {
        Authenticators own = new Authenticators(SECRET);
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            socket.setSoTimeout(1000);
            DatagramPacket answer = new DatagramPacket(new byte[Packet.MOST], Packet.MOST);
            for (long i = 0; System.nanoTime() < end; i++) {
                byte[] authenticator = ByteBuffer.allocate(16).putLong(i).putLong(number ^ System.nanoTime()).array();
                byte[] bytes = own.signRequest(new Packet(Code.ACCESS_REQUEST, number * 32 + (int) (i % 32), authenticator,
                        List.of(new Attribute(1, "nemo".getBytes(StandardCharsets.US_ASCII))))).write();
                long since = System.nanoTime();
                socket.send(new DatagramPacket(bytes, bytes.length, at));
                try {
                    socket.receive(answer);
                } catch (SocketTimeoutException e) {
                    continue;
                }
                long now = System.nanoTime();
                if (now > begin && now < end && taken[number] < samples.length) {
                    samples[taken[number]++] = now - since;
                    count.incrementAndGet();
                }
            }
        } catch (IOException e) {
            System.out.println("a client ended: " + e);
        }
    }

    private static void kept() throws InterruptedException {
        Resends resends = new Resends(Long.MAX_VALUE / 2, KEPT * 4, 1 << 30);
        long before = used();
        for (int i = 0; i < KEPT; i++) {
            byte[] authenticator = ByteBuffer.allocate(16).putInt(i).array();
            byte[] address = {10, 0, (byte) (i >> 8), (byte) i};
            Resends.Met met = resends.met(i, new Resends.Source(address, 1812), new Packet(Code.ACCESS_REQUEST, i & 255,
                    authenticator, List.of()));
            resends.answered(met.entry(), met.entry().waiting().get(0), new byte[60]);
        }
        System.out.printf("kept answers of 60 bytes, each from an address of its own: %.0f bytes of heap each%n",
                (used() - before) / (double) resends.size());
    }

    private static long used() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            Thread.sleep(100);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
