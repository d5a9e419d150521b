package mastdrift.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;

/**
 * Test fixture: a gateway that is configured from files, with stand-in hosts on loopback; the test writes the files.
 */
final class Rig implements AutoCloseable {

    static final int WAIT_SECONDS = 30;
    static final String GATEWAY_HEAD = """
            [gateway]
            listen = "127.0.0.1:0"
            zone = "bilbao"
            zones = ["bilbao", "oviedo"]
            status_file = "status"
            settle = "20ms"

            [[class]]
            name = "session-read"
            effect = "safe"
            aim = "2s"
            deadline = "10s"

            [[class]]
            name = "session-start"
            effect = "keyed"
            group = "zone"
            dedup_window = "1500ms"
            aim = "2s"
            deadline = "10s"

            """;
    static final String GUARDS_OFF = GatewayFiles.FREE;

    final Path folder;
    final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    final Effects effects = new Effects(1_500_000);
    final List<StandInHost> hosts = new ArrayList<>();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    Service service;
    private int requestCount;

    Rig(Path folder) {
        this.folder = folder;
    }

    StandInHost host(String name, String zone, long work) {
        StandInHost host = new StandInHost(name, zone, effects, loop, work, 8);
        hosts.add(host);
        return host;
    }

    /** An entry of a node list; {@code more} has further keys. */
    static String node(StandInHost host, String zone, String more) {
        return GatewayFiles.node(host.name(), host.endpoint(), zone, more);
    }

    static String list(String... nodes) {
        return GatewayFiles.list(List.of(nodes));
    }

    void save(String file, String text) throws IOException {
        new GatewayFiles(folder).save(file, text);
    }

    /** Writes the gateway's file: the common head and {@code rest}. */
    void gateway(String rest) throws IOException {
        save("gateway.toml", GATEWAY_HEAD + rest + "# end\n");
    }

    void start() {
        service = Service.start(folder.resolve("gateway.toml"), new PrintStream(log, true, StandardCharsets.UTF_8));
    }

    String log() {
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Waits until a condition holds, at most {@link #WAIT_SECONDS}. */
    void await(BooleanSupplier condition, String what) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, what + "; log:\n" + log());
            Thread.sleep(5);
        }
    }

    void awaitLog(String text) throws InterruptedException {
        await(() -> log().contains(text), text);
    }

    StandInClient client() {
        return new StandInClient(service.address());
    }

    /** Sends one request with a new id; without a key it is a read. */
    StandInClient.Answer ask(StandInClient client, String key) {
        String id = "id-" + ++requestCount;
        return client.ask(StandInClient.head(key == null ? "session-read" : "session-start", null, id, "object-" + requestCount, key,
                8_000, 0), "");
    }

    /** Names of the hosts that answer a number of requests, sorted and distinct. */
    String answeringHosts(int requests) {
        try (StandInClient client = client()) {
            List<String> names = new ArrayList<>();
            for (int i = 0; i < requests; i++) {
                StandInClient.Answer answer = ask(client, null);
                names.add(answer.status() == 200 ? answer.body().split(" ")[0] : "" + answer.status());
            }
            return names.stream().distinct().sorted().collect(Collectors.joining(" "));
        }
    }

    @Override
    public void close() {
        if (service != null) {
            service.close();
        }
        hosts.forEach(StandInHost::close);
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
