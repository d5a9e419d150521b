package mastdrift.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import mastdrift.distribution.Change;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Edit;
import mastdrift.distribution.ResourceKind;
import mastdrift.serve.ControlClient;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Three voters, two relays and two gateways as processes on loopback; one installation for all tests, in their order, since seven processes take seconds to start. */
@Timeout(180)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class DistributionProcessesTest {

    private static final int WAIT_SECONDS = 40;
    private static final Pattern NEWEST = Pattern.compile("newest: revision (\\d+) of epoch 1");

    private Path folder;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Effects effects = new Effects(1_500_000);
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private String net;
    private StandInHost red;
    private StandInHost blue;
    private String out;
    private String err;

    // ---- the installation

    private String machines(String more) {
        StringBuilder text = new StringBuilder(more).append("epoch = 1\ninstallation = \"test\"\n[[distribution.key]]\nsecret_file = \"../key\"\n");
        for (int i = 1; i <= 5; i++) {
            text.append("[[distribution.machine]]\nname = \"c").append(i).append("\"\naddress = \"").append(net).append(i).append(":7500\"\nzone = \"").append(i % 2 == 0 ? "oviedo" : "bilbao")
                    .append("\"\nrole = \"").append(i <= 3 ? "voter" : "relay").append("\"\n");
        }
        return text.toString();
    }

    @BeforeAll
    void files(@TempDir Path own) throws Exception {
        folder = own;
        // Addresses of its own, so that two runs side by side don't meet.
        net = "127." + (64 + ProcessHandle.current().pid() % 128) + ".251.";
        red = new StandInHost("red", "bilbao", effects, loop, 1_000, 8);
        blue = new StandInHost("blue", "bilbao", effects, loop, 1_000, 8);
        Files.writeString(folder.resolve("key"), "a key of this test");
        for (int i = 1; i <= 5; i++) {
            new GatewayFiles(Files.createDirectory(folder.resolve("c" + i))).save("control.toml",
                    machines("[distribution]\nname = \"c" + i + "\"\nrole = \"" + (i <= 3 ? "voter" : "relay") + "\"\nfolder = \"state\"\n") + "# end\n");
        }
        for (int i = 1; i <= 3; i++) {
            GatewayFiles files = new GatewayFiles(Files.createDirectory(folder.resolve("g" + i)));
            files.save("red.toml", GatewayFiles.list(List.of(GatewayFiles.node("red", red.endpoint(), "bilbao", ""))));
            files.save("blue.toml", GatewayFiles.list(List.of(GatewayFiles.node("blue", blue.endpoint(), "bilbao", ""))));
            files.save("gateway.toml", "[gateway]\nname = \"g" + i + "\"\nlisten = \"" + net + (10 + i) + ":8080\"\nzone = \"" + (i == 2 ? "oviedo" : "bilbao")
                    + "\"\nzones = [\"bilbao\", \"oviedo\"]\n" + GatewayFiles.type("session-read", "safe", "2s", "10s", "") + "[pool.red]\nnodes = [\"red.toml\"]\n[pool.blue]\nnodes = [\"blue.toml\"]\n"
                    + "[[route]]\nname = \"all\"\npools = { red = 1 }\n" + machines("[distribution]\nrole = \"gateway\"\nfolder = \"state\"\nstatus_file = \"config.status\"\n") + "# end\n");
        }
        for (int i = 1; i <= 5; i++) {
            start("c" + i);
        }
        start("g1");
        start("g2");
        await(() -> said("g1", "listening on") && said("g2", "listening on"), "both gateways are ready");
    }

    private void start(String name) throws IOException {
        boolean gateway = name.startsWith("g");
        List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xmx96m", "-cp",
                System.getProperty("java.class.path"), "mastdrift.cli.Main", gateway ? "serve" : "control", "--config", folder.resolve(name).resolve(gateway ? "gateway.toml" : "control.toml").toString()));
        if (gateway) {
            command.add("--cold");
        }
        Files.deleteIfExists(log(name));
        processes.put(name, new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log(name).toFile()).start());
    }

    private Path log(String name) {
        return folder.resolve(name).resolve("log");
    }

    private boolean said(String name, String text) {
        try {
            return Files.exists(log(name)) && Files.readString(log(name)).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private void kill(String name) throws InterruptedException {
        assertTrue(processes.get(name).destroyForcibly().waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    private void signal(String name, String signal) throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/kill", "-s", signal, "" + processes.get(name).pid()).start().waitFor());
    }

    @AfterAll
    void end() throws Exception {
        for (String each : processes.keySet()) {
            kill(each);
        }
        red.close();
        blue.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** What holds, in the end. */
    private interface Holds {
        boolean now() throws Exception;
    }

    private void await(Holds holds, String what) throws Exception {
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS); !holds.now(); Thread.sleep(50)) {
            assertTrue(System.nanoTime() < until, () -> what + "\n" + out + err + processes.keySet().stream().map(each -> {
                try {
                    return each + ":\n" + Files.readString(log(each));
                } catch (IOException e) {
                    return each + ": " + e;
                }
            }).collect(Collectors.joining("\n")));
        }
    }

    // ---- operators and clients

    private int run(String... args) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        int status = Commands.run(args, new PrintStream(outBytes, true, StandardCharsets.UTF_8), new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private String gateway() {
        return folder.resolve("g1").resolve("gateway.toml").toString();
    }

    private void route(String pool) throws IOException {
        Path file = folder.resolve("change.toml");
        Files.writeString(file, "[[upsert]]\nkind = \"route\"\nname = \"all\"\nvalue = { order = 1, pools = [ { pool = \"" + pool + "\", weight = 1 } ] }\n# end\n");
        assertEquals(0, run("config", "apply", file.toString(), "--config", gateway()), () -> out + err);
    }

    private String answering(int gateway) {
        try (StandInClient client = new StandInClient(new InetSocketAddress(net + (10 + gateway), 8080))) {
            StandInClient.Answer answer = client.ask(StandInClient.head("session-read", null, "id-" + System.nanoTime(), "object", null, 8_000, 0), "");
            return answer.status() == 200 ? answer.body().split(" ")[0] : "" + answer.status();
        }
    }

    private long newest() {
        run("config", "status", "--config", gateway());
        Matcher matcher = NEWEST.matcher(out);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** Whether all that control machines tell of is in force at both gateways. */
    private boolean allInForce() {
        long newest = newest();
        return newest > 0 && List.of("bilbao", "oviedo").stream().allMatch(zone -> out.contains("zone " + zone + ": 1 subscribers, lowest in force revision " + newest + " of epoch 1, 0 hold"));
    }

    private static Change change(int number) {
        return new Change("burst-" + number, List.of(new Edit.Upsert(ResourceKind.TENANT, "t-" + number, "{\"share\":0.5}".getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION),
                new Edit.Upsert(ResourceKind.ROUTE, "r-" + number, ("{\"order\":5,\"path\":\"/r-" + number + "\",\"pools\":[{\"pool\":\"red\",\"weight\":1}]}").getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION)));
    }

    private ControlMessage apply(Change change) throws InterruptedException {
        try (ControlClient client = ControlClient.by(Path.of(gateway()))) {
            return client.apply(change, WAIT_SECONDS * 1_000L);
        }
    }

    // ---- what happens

    @Test
    @Order(1)
    void aRouteIsInForceAtAllGateways() throws Exception {
        assertEquals("red red", answering(1) + " " + answering(2), "the file's, while resources have none");
        route("blue");
        await(() -> answering(1).equals("blue") && answering(2).equals("blue"), "by the new route");
        await(this::allInForce, "acknowledged");
        assertEquals(0, run("config", "get", "route", "all", "--config", gateway()), () -> err);
        assertTrue(out.contains("\"pool\":\"blue\""), out);
        assertEquals(3, run("config", "get", "route", "none", "--config", gateway()));
        assertEquals(2, run("config", "get", "rout", "none", "--config", gateway()));
        Path file = folder.resolve("bad.toml");
        Files.writeString(file, "[[delete]]\nkind = \"route\"\nname = \"all\"\nexpected = 77\n# end\n");
        assertEquals(1, run("config", "apply", file.toString(), "--config", gateway()));
        assertTrue(err.contains("conflict, nothing is changed: edits[0] (route all): expected version 77, found version"), err);
    }

    /** The leader is killed in the middle of a burst: each change is in once, and all are in force. */
    @Test
    @Order(2)
    void theLeaderIsKilledInABurst() throws Exception {
        long before = newest();
        Matcher matcher = Pattern.compile("leader (c\\d)").matcher(out);
        assertTrue(matcher.find(), out);
        String leader = matcher.group(1);
        List<CompletableFuture<Void>> writers = new ArrayList<>();
        for (int w = 0; w < 4; w++) {
            int first = w * 10;
            writers.add(CompletableFuture.runAsync(() -> {
                try (ControlClient client = ControlClient.by(Path.of(gateway()))) {
                    for (int i = first; i < first + 10; i++) {
                        ControlMessage answer = client.apply(change(i), WAIT_SECONDS * 1_000L);
                        assertTrue(answer instanceof ControlMessage.Applied, answer.toString());
                        if (i == 3) {
                            kill(leader);
                        }
                    }
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        for (CompletableFuture<Void> each : writers) {
            each.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
        assertEquals(before + 40, newest(), () -> "each in once: " + out);
        start(leader);
        await(this::allInForce, "all in force");
        for (int i = 0; i < 40; i += 13) {
            assertEquals(0, run("config", "get", "tenant", "t-" + i, "--config", gateway()), () -> err);
        }
        String back = leader + " +voter +revision " + (before + 40);
        await(() -> newest() == before + 40 && Pattern.compile(back).matcher(out).find(), "the one that was killed has them all, too");
    }

    /** Its writer is gone before it hears: the change is asked for again under its id, and is in once. */
    @Test
    @Order(3)
    void aWritersChangeIsInOnceThoughItDies() throws Exception {
        long before = newest();
        Path file = folder.resolve("once.toml");
        Files.writeString(file, "id = \"once\"\n[[upsert]]\nkind = \"tenant\"\nname = \"once\"\nvalue = { share = 0.1 }\n# end\n");
        Process writer = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "mastdrift.cli.Main", "config",
                "apply", file.toString(), "--config", gateway()).redirectErrorStream(true).redirectOutput(folder.resolve("writer").toFile()).start();
        await(() -> newest() > before, "agreed on");
        assertTrue(writer.destroyForcibly().waitFor(WAIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, run("config", "apply", file.toString(), "--config", gateway()), () -> err);
        assertTrue(out.contains("change once: in, revision " + (before + 1)), out);
        assertEquals(before + 1, newest());
        await(this::allInForce, "in force");
    }

    /** The relay of a gateway is frozen: it goes to the other one within the bound; woken, the relay takes nobody back. */
    @Test
    @Order(4)
    void aRelayIsFrozenAndWoken() throws Exception {
        await(() -> machine() != null, "it is at a relay");
        String relay = machine();
        signal(relay, "STOP");
        route("red");
        long since = System.nanoTime();
        await(() -> answering(1).equals("red") && answering(2).equals("red"), "by the other relay");
        long took = (System.nanoTime() - since) / 1_000_000;
        assertTrue(took < 12_000, "in force everywhere within 12 s, took " + took + " ms");
        await(() -> machine() != null && !relay.equals(machine()), "it went to the other one");
        long number = newest();
        signal(relay, "CONT");
        await(() -> newest() == number && Pattern.compile(relay + " +relay +revision " + number).matcher(out).find(), "it has caught up");
        await(this::allInForce, "nobody went back");
        assertEquals("red red", answering(1) + " " + answering(2));
    }

    /** The relay that the second gateway is at, by its status file; null while it is at none. */
    private String machine() throws IOException {
        Matcher matcher = Pattern.compile("\"machine\" : \"(c\\d)\"").matcher(Files.readString(folder.resolve("g2/config.status")));
        return matcher.find() ? matcher.group(1) : null;
    }

    /** No control machine is there: gateways serve on, one that starts with its copy serves by it, one without a copy isn't ready until they are back. */
    @Test
    @Order(5)
    void allControlMachinesAreAway() throws Exception {
        route("blue");
        await(() -> answering(1).equals("blue") && answering(2).equals("blue"), "in force");
        await(() -> Files.readString(folder.resolve("g1/config.status")).contains("\"copy\" : " + newest()), "the copy is written");
        for (int i = 1; i <= 5; i++) {
            kill("c" + i);
        }
        kill("g1");
        start("g1");
        start("g3");
        await(() -> said("g1", "listening on") && said("g3", "waits for the configuration"), "one is ready by its copy, the other waits");
        assertEquals("blue blue", answering(1) + " " + answering(2));
        await(() -> said("g2", "no control machine is heard since") && Files.readString(folder.resolve("g2/config.status")).contains("\"alone_since\" : \"20"), "it says since when");
        assertEquals("blue blue", answering(1) + " " + answering(2));
        assertFalse(said("g3", "listening on"));
        assertEquals(3, run("config", "status", "--config", gateway()));
        for (int i = 1; i <= 5; i++) {
            start("c" + i);
        }
        await(() -> said("g3", "listening on"), "ready by a snapshot");
        assertEquals("blue", answering(3));
        route("red");
        await(() -> answering(1).equals("red") && answering(2).equals("red") && answering(3).equals("red"), "all follow again");
    }
}
