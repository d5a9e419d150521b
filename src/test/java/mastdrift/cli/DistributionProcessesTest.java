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

/**
 * Three voters, two relays and two gateways as processes on loopback. All tests share one installation and run in
 * order, since seven processes take seconds to start.
 */
@Timeout(180)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class DistributionProcessesTest {

    private static final int TIMEOUT_SECONDS = 40;
    private static final Pattern NEWEST_REVISION = Pattern.compile("newest: revision (\\d+) of epoch 1");

    private Path folder;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Effects effects = new Effects(1_500_000);
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private String addressPrefix;
    private StandInHost red;
    private StandInHost blue;
    private String out;
    private String err;

    // Setup of the processes

    private String distributionTables(String head) {
        StringBuilder text = new StringBuilder(head).append("epoch = 1\ninstallation = \"test\"\n[[distribution.key]]\nsecret_file = \"../key\"\n");
        for (int i = 1; i <= 5; i++) {
            text.append("[[distribution.machine]]\nname = \"c").append(i).append("\"\naddress = \"").append(addressPrefix).append(i).append(":7500\"\nzone = \"").append(i % 2 == 0 ? "oviedo" : "bilbao")
                    .append("\"\nrole = \"").append(i <= 3 ? "voter" : "relay").append("\"\n");
        }
        return text.toString();
    }

    @BeforeAll
    void writeFilesAndStartProcesses(@TempDir Path temporaryFolder) throws Exception {
        folder = temporaryFolder;
        // Loopback addresses by process id, so that two concurrent test runs don't collide.
        addressPrefix = "127." + (64 + ProcessHandle.current().pid() % 128) + ".251.";
        red = new StandInHost("red", "bilbao", effects, loop, 1_000, 8);
        blue = new StandInHost("blue", "bilbao", effects, loop, 1_000, 8);
        Files.writeString(folder.resolve("key"), "a key of this test");
        for (int i = 1; i <= 5; i++) {
            new GatewayFiles(Files.createDirectory(folder.resolve("c" + i))).save("control.toml",
                    distributionTables("[distribution]\nname = \"c" + i + "\"\nrole = \"" + (i <= 3 ? "voter" : "relay") + "\"\nfolder = \"state\"\n") + "# end\n");
        }
        for (int i = 1; i <= 3; i++) {
            GatewayFiles files = new GatewayFiles(Files.createDirectory(folder.resolve("g" + i)));
            files.save("red.toml", GatewayFiles.list(List.of(GatewayFiles.node("red", red.endpoint(), "bilbao", ""))));
            files.save("blue.toml", GatewayFiles.list(List.of(GatewayFiles.node("blue", blue.endpoint(), "bilbao", ""))));
            files.save("gateway.toml", "[gateway]\nname = \"g" + i + "\"\nlisten = \"" + addressPrefix + (10 + i) + ":8080\"\nzone = \"" + (i == 2 ? "oviedo" : "bilbao")
                    + "\"\nzones = [\"bilbao\", \"oviedo\"]\n" + GatewayFiles.type("session-read", "safe", "2s", "10s", "") + "[pool.red]\nnodes = [\"red.toml\"]\n[pool.blue]\nnodes = [\"blue.toml\"]\n"
                    + "[[route]]\nname = \"all\"\npools = { red = 1 }\n" + distributionTables("[distribution]\nrole = \"gateway\"\nfolder = \"state\"\nstatus_file = \"config.status\"\n") + "# end\n");
        }
        for (int i = 1; i <= 5; i++) {
            start("c" + i);
        }
        start("g1");
        start("g2");
        await(() -> logContains("g1", "listening on") && logContains("g2", "listening on"), "both gateways to listen");
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

    private boolean logContains(String name, String text) {
        try {
            return Files.exists(log(name)) && Files.readString(log(name)).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private void kill(String name) throws InterruptedException {
        assertTrue(processes.get(name).destroyForcibly().waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private void signal(String name, String signal) throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/kill", "-s", signal, "" + processes.get(name).pid()).start().waitFor());
    }

    @AfterAll
    void killProcesses() throws Exception {
        for (String each : processes.keySet()) {
            kill(each);
        }
        red.close();
        blue.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A condition that becomes true in the end. */
    private interface Condition {
        boolean holds() throws Exception;
    }

    private void await(Condition condition, String awaited) throws Exception {
        for (long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS); !condition.holds();
                Thread.sleep(50)) {
            assertTrue(System.nanoTime() < deadlineNanos, () -> awaited + "\n" + out + err + processes.keySet().stream().map(each -> {
                try {
                    return each + ":\n" + Files.readString(log(each));
                } catch (IOException e) {
                    return each + ": " + e;
                }
            }).collect(Collectors.joining("\n")));
        }
    }

    // Operators and clients

    private int run(String... args) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        int status = Commands.run(args, new PrintStream(outBytes, true, StandardCharsets.UTF_8), new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private String gatewayFile() {
        return folder.resolve("g1").resolve("gateway.toml").toString();
    }

    private void applyRoute(String pool) throws IOException {
        Path file = folder.resolve("change.toml");
        Files.writeString(file, "[[upsert]]\nkind = \"route\"\nname = \"all\"\nvalue = { order = 1, pools = [ { pool = \"" + pool + "\", weight = 1 } ] }\n# end\n");
        assertEquals(0, run("config", "apply", file.toString(), "--config", gatewayFile()), () -> out + err);
    }

    private String answeringHost(int gateway) {
        try (StandInClient client = new StandInClient(new InetSocketAddress(addressPrefix + (10 + gateway), 8080))) {
            StandInClient.Answer answer = client.ask(StandInClient.head("session-read", null, "id-" + System.nanoTime(), "object", null, 8_000, 0), "");
            return answer.status() == 200 ? answer.body().split(" ")[0] : "" + answer.status();
        }
    }

    private long newestRevision() {
        run("config", "status", "--config", gatewayFile());
        Matcher matcher = NEWEST_REVISION.matcher(out);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    /** Whether the newest revision of the control machines is in force at both gateways. */
    private boolean allInForce() {
        long newest = newestRevision();
        return newest > 0 && List.of("bilbao", "oviedo").stream().allMatch(zone -> out.contains("zone " + zone + ": 1 subscribers, lowest in force revision " + newest + " of epoch 1, 0 hold"));
    }

    private static Change change(int number) {
        return new Change("burst-" + number, List.of(new Edit.Upsert(ResourceKind.TENANT, "t-" + number, "{\"share\":0.5}".getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION),
                new Edit.Upsert(ResourceKind.ROUTE, "r-" + number, ("{\"order\":5,\"path\":\"/r-" + number + "\",\"pools\":[{\"pool\":\"red\",\"weight\":1}]}").getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION)));
    }

    private ControlMessage apply(Change change) throws InterruptedException {
        try (ControlClient client = ControlClient.fromFile(Path.of(gatewayFile()))) {
            return client.apply(change, TIMEOUT_SECONDS * 1_000L);
        }
    }

    // Tests

    @Test
    @Order(1)
    void appliedRouteComesIntoForceAtAllGateways() throws Exception {
        assertEquals("red red", answeringHost(1) + " " + answeringHost(2),
                "the route of the file, while there is no route resource");
        applyRoute("blue");
        await(() -> answeringHost(1).equals("blue") && answeringHost(2).equals("blue"),
                "requests to follow the new route");
        await(this::allInForce, "both gateways to acknowledge the revision");
        assertEquals(0, run("config", "get", "route", "all", "--config", gatewayFile()), () -> err);
        assertTrue(out.contains("\"pool\":\"blue\""), out);
        assertEquals(3, run("config", "get", "route", "none", "--config", gatewayFile()));
        assertEquals(2, run("config", "get", "rout", "none", "--config", gatewayFile()));
        Path file = folder.resolve("bad.toml");
        Files.writeString(file, "[[delete]]\nkind = \"route\"\nname = \"all\"\nexpected = 77\n# end\n");
        assertEquals(1, run("config", "apply", file.toString(), "--config", gatewayFile()));
        assertTrue(err.contains("conflict, nothing is changed: edits[0] (route all): expected version 77, found version"), err);
    }

    /** The leader is killed during a burst of changes: each change is applied once, and all come into force. */
    @Test
    @Order(2)
    void changesAreAppliedOnceWhenTheLeaderIsKilled() throws Exception {
        long before = newestRevision();
        Matcher matcher = Pattern.compile("leader (c\\d)").matcher(out);
        assertTrue(matcher.find(), out);
        String leader = matcher.group(1);
        List<CompletableFuture<Void>> writers = new ArrayList<>();
        for (int w = 0; w < 4; w++) {
            int firstChange = w * 10;
            writers.add(CompletableFuture.runAsync(() -> {
                try (ControlClient client = ControlClient.fromFile(Path.of(gatewayFile()))) {
                    for (int i = firstChange; i < firstChange + 10; i++) {
                        ControlMessage answer = client.apply(change(i), TIMEOUT_SECONDS * 1_000L);
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
            each.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        assertEquals(before + 40, newestRevision(), () -> "each change applied once: " + out);
        start(leader);
        await(this::allInForce, "all changes to be in force");
        for (int i = 0; i < 40; i += 13) {
            assertEquals(0, run("config", "get", "tenant", "t-" + i, "--config", gatewayFile()), () -> err);
        }
        String restartedStatus = leader + " +voter +revision " + (before + 40);
        await(() -> newestRevision() == before + 40 && Pattern.compile(restartedStatus).matcher(out).find(), "the restarted leader to have all changes");
    }

    /** The writer is killed before it gets the response: the change is retried with the same id and is applied once. */
    @Test
    @Order(3)
    void changeIsAppliedOnceWhenItsWriterIsKilledAndRetries() throws Exception {
        long before = newestRevision();
        Path file = folder.resolve("once.toml");
        Files.writeString(file, "id = \"once\"\n[[upsert]]\nkind = \"tenant\"\nname = \"once\"\nvalue = { share = 0.1 }\n# end\n");
        Process writer = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "mastdrift.cli.Main", "config",
                "apply", file.toString(), "--config", gatewayFile()).redirectErrorStream(true).redirectOutput(folder.resolve("writer").toFile()).start();
        await(() -> newestRevision() > before, "the change to be committed");
        assertTrue(writer.destroyForcibly().waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(0, run("config", "apply", file.toString(), "--config", gatewayFile()), () -> err);
        assertTrue(out.contains("change once: in, revision " + (before + 1)), out);
        assertEquals(before + 1, newestRevision());
        await(this::allInForce, "the change to be in force");
    }

    /**
     * The relay of a gateway is paused: the gateway moves to the other relay within the bound, and does not go back
     * once the first one continues.
     */
    @Test
    @Order(4)
    void gatewaySwitchesRelaysWhenItsRelayIsPaused() throws Exception {
        await(() -> relayOfSecondGateway() != null, "the gateway to be connected to a relay");
        String relay = relayOfSecondGateway();
        signal(relay, "STOP");
        applyRoute("red");
        long sinceNanos = System.nanoTime();
        await(() -> answeringHost(1).equals("red") && answeringHost(2).equals("red"),
                "the route to arrive over the other relay");
        long tookMillis = (System.nanoTime() - sinceNanos) / 1_000_000;
        assertTrue(tookMillis < 12_000, "in force everywhere within 12 s, took " + tookMillis + " ms");
        await(() -> relayOfSecondGateway() != null && !relay.equals(relayOfSecondGateway()),
                "the gateway to move to the other relay");
        long number = newestRevision();
        signal(relay, "CONT");
        await(() -> newestRevision() == number && Pattern.compile(relay + " +relay +revision " + number).matcher(out).find(), "the paused relay to catch up");
        await(this::allInForce, "all gateways to stay where they are, with the newest revision in force");
        assertEquals("red red", answeringHost(1) + " " + answeringHost(2));
    }

    /** The relay that the second gateway is connected to, from its status file; null if there is none. */
    private String relayOfSecondGateway() throws IOException {
        Matcher matcher = Pattern.compile("\"machine\" : \"(c\\d)\"").matcher(Files.readString(folder.resolve("g2/config.status")));
        return matcher.find() ? matcher.group(1) : null;
    }

    /**
     * All control machines are down: running gateways keep serving, a gateway that starts with a local copy serves from
     * it, one without a copy is not ready until they are back.
     */
    @Test
    @Order(5)
    void gatewaysServeFromTheirCopiesWhenAllControlMachinesAreDown() throws Exception {
        applyRoute("blue");
        await(() -> answeringHost(1).equals("blue") && answeringHost(2).equals("blue"), "the new route to be in force");
        await(() -> Files.readString(folder.resolve("g1/config.status")).contains("\"copy\" : " + newestRevision()), "the local copy to be written");
        for (int i = 1; i <= 5; i++) {
            kill("c" + i);
        }
        kill("g1");
        start("g1");
        start("g3");
        await(() -> logContains("g1", "listening on") && logContains("g3", "waits for the configuration"), "one gateway to listen from its copy, the other to wait");
        assertEquals("blue blue", answeringHost(1) + " " + answeringHost(2));
        await(() -> logContains("g2", "no control machine is heard since") && Files.readString(folder.resolve("g2/config.status")).contains("\"alone_since\" : \"20"), "the gateway to report since when it is disconnected");
        assertEquals("blue blue", answeringHost(1) + " " + answeringHost(2));
        assertFalse(logContains("g3", "listening on"));
        assertEquals(3, run("config", "status", "--config", gatewayFile()));
        for (int i = 1; i <= 5; i++) {
            start("c" + i);
        }
        await(() -> logContains("g3", "listening on"), "the gateway to be ready from a snapshot");
        assertEquals("blue", answeringHost(3));
        applyRoute("red");
        await(() -> answeringHost(1).equals("red") && answeringHost(2).equals("red") && answeringHost(3).equals("red"), "all gateways to follow the new route");
    }
}
