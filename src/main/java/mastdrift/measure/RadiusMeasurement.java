package mastdrift.measure;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import mastdrift.Balancer.Repeat;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.Packet;
import mastdrift.radius.DuplicateCache;
import mastdrift.serve.Service;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInRadiusServer;

/** RADIUS through a gateway from files on one core, against a bare relay of datagrams on the same core in the same run: requests
    a second and the 99th percentile; then the memory of an open request and of a kept answer.
    {@code RadiusMeasurement [RUNS]}; {@code RadiusMeasurement relay PORT} is the relay itself. */
public final class RadiusMeasurement {

    private static final byte[] SECRET = "measured".getBytes(StandardCharsets.US_ASCII);
    private static final int CLIENTS = 32;
    private static final double WARM_SECONDS = 6;
    private static final double SECONDS = 6;
    private static final int KEPT = 50_000;
    private static final int OPEN = 3_000;
    private static final List<Mix.Part> CARDS = List.of(new Mix.Part("card", null, Repeat.SAFE, 1, 3_000_000, 0));

    private RadiusMeasurement() { }

    /** Prints the figures. */
    public static void main(String[] args) throws Exception {
        if (args.length == 2 && args[0].equals("relay")) {
            relay(Integer.parseInt(args[1]));
            return;
        }
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        double[] ratios = new double[runs];
        for (int i = 0; i < runs; i++) {
            try (StandInRadiusServer server = new StandInRadiusServer("one", "one", new Effects(60_000_000), SECRET, 0);
                    GatewayFiles files = files(server.endpoint())) {
                LoadResult bare;
                try (GatewayProcess relay = GatewayProcess.start("0", List.of("-cp", System.getProperty("java.class.path"),
                        RadiusMeasurement.class.getName(), "relay", Integer.toString(server.port())), java.util.Map.of(), 1)) {
                    bare = load(relay.http());
                }
                LoadResult through;
                try (GatewayProcess gateway = GatewayProcess.serve("0", files.gateway(), 2)) {
                    through = load(gateway.radius());
                }
                ratios[i] = through.rate() / bare.rate();
                System.out.printf("run %d: relay %s; gateway %s; ratio %.2f%n", i + 1, words(bare), words(through), ratios[i]);
            }
        }
        Arrays.sort(ratios);
        System.out.printf("ratio: median %.2f, %.2f to %.2f%n", ratios[runs / 2], ratios[0], ratios[runs - 1]);
        open();
        kept();
    }

    private static GatewayFiles files(String endpoint) throws IOException {
        GatewayFiles files = GatewayFiles.temporary();
        files.save("secret", "measured\n");
        files.save("cards.toml", GatewayFiles.list(List.of(GatewayFiles.node("one", endpoint, "bilbao", ""))));
        files.gateway(GatewayFiles.head("127.0.0.1:0", ""), GatewayFiles.RADIUS,
                GatewayFiles.pool("cards", "secret_file = \"secret\"\n"), GatewayFiles.route("cards", "card", "cards"),
                GatewayFiles.route("talks", "talk", "cards"), GatewayFiles.route("accounts", "accounting", "cards"));
        return files;
    }

    private static LoadResult load(InetSocketAddress at) throws InterruptedException {
        LoadRun.start(LoadPlan.closed(at, CLIENTS, WARM_SECONDS, 3_000).with(CARDS).radius(SECRET)).join();
        return LoadRun.start(LoadPlan.closed(at, CLIENTS, SECONDS, 3_000).with(CARDS).radius(SECRET).seeded(2)).join();
    }

    private static String words(LoadResult result) {
        return String.format("%.0f requests a second, p50 %.2f ms, p99 %.2f ms, unanswered %d%s", result.rate(),
                result.quantile(0.5) / 1e3, result.quantile(0.99) / 1e3, result.count(Of.UNANSWERED),
                result.faults().isEmpty() ? "" : " (does not count: " + result.faults() + ")");
    }

    /** One thread that passes datagrams on as they are, and knows by the identifier who asked: the load tool's identifiers go round,
        so that 32 that are out at once are not alike. */
    private static void relay(int port) throws IOException {
        try (DatagramChannel front = DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                DatagramChannel back = DatagramChannel.open().connect(new InetSocketAddress("127.0.0.1", port));
                Selector selector = Selector.open()) {
            front.configureBlocking(false).register(selector, SelectionKey.OP_READ);
            back.configureBlocking(false).register(selector, SelectionKey.OP_READ);
            System.out.println("listening on " + front.getLocalAddress());
            SocketAddress[] askers = new SocketAddress[256];
            ByteBuffer buffer = ByteBuffer.allocateDirect(Packet.MAX_BYTES);
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
        } catch (ClosedSelectorException e) {
            return;  // closed
        }
    }

    private static SocketAddress read(DatagramChannel front, ByteBuffer buffer) throws IOException {
        buffer.clear();
        SocketAddress from = front.receive(buffer);
        buffer.flip();
        return from;
    }

    /** Requests to a server that reads nothing, from a client that keeps nothing: what grows is the gateway's. */
    private static void open() throws Exception {
        try (DatagramSocket silent = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                DatagramSocket client = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
                GatewayFiles files = files("127.0.0.1:" + silent.getLocalPort());
                Service service = Service.start(files.gateway(), new PrintStream(OutputStream.nullOutputStream(), false,
                        StandardCharsets.UTF_8))) {
            ask(client, service.radiusAddresses().get(0), 0, 50);  // classes, buffers, maps
            long before = Heap.used();
            ask(client, service.radiusAddresses().get(0), 50, OPEN);
            Thread.sleep(50);
            long after = Heap.used();
            // Within a second: later the module knows that the server is silent, and refuses.
            long over = service.readCount(count -> count.forClass("card").refused() + count.forClass("card").failed());
            System.out.printf("%d open requests: %.0f bytes of heap each%s%n", OPEN, (after - before) / (double) OPEN,
                    over == 0 ? "" : "; doesn't count, " + over + " were over by then");
        }
    }

    private static void ask(DatagramSocket client, InetSocketAddress at, int from, int many) throws IOException {
        Authenticators own = new Authenticators(SECRET);
        for (int i = from; i < from + many; i++) {
            byte[] bytes = own.signRequest(new Packet(Code.ACCESS_REQUEST, i & 255, ByteBuffer.allocate(16).putInt(i).array(),
                    List.of(new Attribute(1, "nemo".getBytes(StandardCharsets.US_ASCII))))).encode();
            client.send(new DatagramPacket(bytes, bytes.length, at));
            if (i % 50 == 49) {
                java.util.concurrent.locks.LockSupport.parkNanos(2_000_000);  // or the socket's buffer overflows
            }
        }
    }

    private static void kept() throws InterruptedException {
        DuplicateCache resends = new DuplicateCache(Long.MAX_VALUE / 2, KEPT * 4, 1 << 30);
        long before = Heap.used();
        for (int i = 0; i < KEPT; i++) {
            byte[] authenticator = ByteBuffer.allocate(16).putInt(i).array();
            byte[] address = {10, 0, (byte) (i >> 8), (byte) i};
            DuplicateCache.LookupResult met = resends.lookUp(i, new DuplicateCache.Source(address, 1812), new Packet(Code.ACCESS_REQUEST, i & 255,
                    authenticator, List.of()));
            resends.recordCompleted(i, met.entry());
            resends.recordResponse(met.entry(), met.entry().waiting().get(0), new byte[60]);
        }
        System.out.printf("kept answers of 60 bytes, each from an address of its own: %.0f bytes of heap each%n",
                (Heap.used() - before) / (double) resends.size());
    }
}
