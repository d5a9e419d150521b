package mastdrift.serve;

import static mastdrift.serve.Rig.GUARDS_OFF;
import static mastdrift.serve.Rig.list;
import static mastdrift.serve.Rig.node;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import mastdrift.distribution.Change;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Edit;
import mastdrift.distribution.ResourceKind;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A gateway that takes its routes from a control machine; both run in this process, over loopback. */
@Timeout(120)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class DistributionServiceTest {

    @TempDir
    private Path folder;
    private Path controlFolder;
    private int testNumber;
    private int epoch = 1;

    private final List<String> machineEvents = new CopyOnWriteArrayList<>();
    private String address;
    private Rig rig;
    private StandInHost a;
    private StandInHost b;
    private ControlMachine machine;  // shared by all tests, each of which removes its routes

    @BeforeAll
    void startFirstMachine(@TempDir Path ownFolder) throws Exception {
        // An address that depends on the process, so that concurrent runs don't collide.
        address = "127." + (64 + ProcessHandle.current().pid() % 128) + ".252.1:7500";
        controlFolder = ownFolder;
        Files.writeString(controlFolder.resolve("key"), "a key of this test");
        writeControlFile();
        startMachine();
    }

    private void writeControlFile() throws IOException {
        new GatewayFiles(controlFolder).save("control.toml", "[distribution]\nname = \"control-1\"\nrole = \"voter\"\nfolder = \"control\"\n" + machineSettings());
    }

    @BeforeEach
    void writeFiles() throws Exception {
        testNumber++;
        rig = new Rig(folder);
        a = rig.host("a", "bilbao", 1_000);
        b = rig.host("b", "bilbao", 1_000);
        Files.writeString(folder.resolve("key"), "a key of this test");
        rig.save("main.toml", list(node(a, "bilbao", "")));
        rig.save("spare.toml", list(node(b, "bilbao", "")));
        rig.gateway(gatewaySettings("[pool.spare]\nnodes = [\"spare.toml\"]\n" + GUARDS_OFF));
    }

    private String machineSettings() {
        return "epoch = " + epoch + "\ninstallation = \"test\"\n[[distribution.key]]\nsecret_file = \"key\"\n[[distribution.machine]]\nname = \"control-1\"\naddress = \"" + address
                + "\"\nzone = \"bilbao\"\nrole = \"voter\"\n# end\n";
    }

    private String gatewaySettings(String spare) {
        return "[pool.main]\nnodes = [\"main.toml\"]\n" + GUARDS_OFF + spare + "[[route]]\nname = \"all\"\npools = { main = 1 }\n"
                + "[distribution]\nrole = \"gateway\"\nfolder = \"copy\"\nstatus_file = \"config.status\"\n" + machineSettings().replace("# end\n", "");
    }

    @AfterEach
    void close() throws Exception {
        rig.close();
        applyAndGetNumber("clean", new Edit.Delete(ResourceKind.ROUTE, "all", Edit.ANY_VERSION), new Edit.Delete(ResourceKind.ROUTE, "reads", Edit.ANY_VERSION), new Edit.Delete(ResourceKind.ROUTE, "a-first", Edit.ANY_VERSION));
    }

    @AfterAll
    void stopMachine() {
        machine.close();
    }

    private void startMachine() {
        machine = ControlMachine.start(controlFolder.resolve("control.toml"), (level, name, text, fields) -> machineEvents.add(name + " " + text));
    }

    private static Edit route(String name, String pool, String more) {
        return new Edit.Upsert(ResourceKind.ROUTE, name, ("{\"order\":1,\"pools\":[{\"pool\":\"" + pool + "\",\"weight\":1}]" + more + "}").getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION);
    }

    private ControlMessage apply(String id, Edit... edits) throws InterruptedException {
        try (ControlClient client = ControlClient.fromFile(folder.resolve("gateway.toml"))) {
            return client.apply(new Change(id + "-" + testNumber, List.of(edits)), 30_000);
        }
    }

    private long applyAndGetNumber(String id, Edit... edits) throws InterruptedException {
        ControlMessage answer = apply(id, edits);
        assertInstanceOf(ControlMessage.Applied.class, answer, () -> answer + "\n" + machineEvents);
        return ((ControlMessage.Applied) answer).revision().number();
    }

    private void awaitInForce(long number) throws InterruptedException {
        rig.awaitLog("revision " + number + " of epoch " + epoch + " is in force");
    }

    private String answeringHost(StandInClient client, String key) {
        StandInClient.Answer answer = rig.ask(client, key);
        return answer.status() == 200 ? answer.body().split(" ")[0] : "" + answer.status();
    }

    /**
     * Routes are put in force and removed; a keyed request stays in the pool that it went to, whatever the control
     * machine sends, which may be wrong.
     */
    @Test
    void keyedRequestKeepsItsPoolWhenRoutesChange() throws Exception {
        rig.start();
        try (StandInClient client = rig.client()) {
            assertEquals("a", answeringHost(client, "k1"), "the file's routes, as long as resources have none");
            awaitInForce(applyAndGetNumber("one", route("all", "spare", "")));
            assertEquals("b", answeringHost(client, null));
            assertEquals("a", answeringHost(client, "k1"), "the client's repeat");
            assertEquals("b", answeringHost(client, "k2"));
            a.work(300_000);
            awaitInForce(applyAndGetNumber("two", route("all", "main", ",\"class\":\"session-start\"")));
            CompletableFuture<String> out = CompletableFuture.supplyAsync(() -> {
                try (StandInClient other = rig.client()) {
                    return answeringHost(other, "k3");
                }
            });
            rig.await(() -> a.served() >= 1 && a.lastAt() > 0, "k3 is in flight");
            awaitInForce(applyAndGetNumber("three", route("all", "spare", "")));
            assertEquals("a", answeringHost(client, "k3"), "its repeat meets the window of the pool in which it is open");
            assertEquals("a", out.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS));
            awaitInForce(applyAndGetNumber("four", new Edit.Delete(ResourceKind.ROUTE, "all", Edit.ANY_VERSION)));
            assertEquals("a", answeringHost(client, null), "the routes of the file again");
        }
    }

    /**
     * A revision that this gateway can't use is held back as a whole and reported with its reason; the previous routes
     * stay in force, and later revisions are still taken.
     */
    @Test
    void unusableRevisionIsReportedAndLaterOnesAreApplied() throws Exception {
        rig.start();
        awaitInForce(applyAndGetNumber("one", route("all", "spare", "")));
        applyAndGetNumber("two", route("all", "nowhere", ""), route("reads", "main", ",\"class\":\"session-read\""));
        rig.awaitLog("can't be put in force as a whole, the previous routes stay in force: route all: pools: expected one of the pools of this gateway (main, spare), found \"nowhere\"");
        assertEquals("b", rig.answeringHosts(5));
        awaitInForce(applyAndGetNumber("three", route("a-first", "main", ",\"class\":\"session-read\"")));
        assertEquals("a", rig.answeringHosts(5), "the next one is in force");
        try (ControlClient client = ControlClient.fromFile(folder.resolve("gateway.toml"))) {
            rig.await(() -> refusingGateways(client) == 1, "the control machine knows");
            awaitInForce(applyAndGetNumber("four", route("all", "main", ""),
                    route("reads", "spare", ",\"class\":\"session-read\"")));
            rig.awaitLog("nothing is held back any more");
            rig.await(() -> refusingGateways(client) == 0, "the control machine knows that it is over");
        }
    }

    private static int refusingGateways(ControlClient client) {
        try {
            return client.status(List.of("control-1")).get("control-1") instanceof ControlMessage.Status status && status.zones().size() == 1 ? status.zones().get(0).rejecting() : -1;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void removingAPoolIsRefusedWhileDistributedRoutesNameIt() throws Exception {
        rig.start();
        awaitInForce(applyAndGetNumber("one", route("all", "spare", "")));
        rig.gateway(gatewaySettings(""));
        rig.awaitLog("refused: pool spare: expected it to stay while routes that are distributed name it");
        assertEquals("b", rig.answeringHosts(3));
        awaitInForce(applyAndGetNumber("two", route("all", "main", "")));
        rig.gateway(gatewaySettings("").replace("[pool.main]", "[pool.other]\nnodes = [\"spare.toml\"]\n[pool.main]"));
        rig.awaitLog("changed pools [other]");
        assertEquals("a", rig.answeringHosts(3));
        awaitInForce(applyAndGetNumber("three", route("all", "other", "")));
        assertEquals("b", rig.answeringHosts(3), "a pool that the file has added");
    }

    /**
     * Without a copy a gateway waits, and with one it serves at once, even while no control machine runs; the age of
     * the copy is reported.
     */
    @Test
    void gatewayWaitsWithoutACopyAndServesAtOnceWithOne() throws Exception {
        machine.close();
        CompletableFuture<Void> starting = CompletableFuture.runAsync(rig::start);
        rig.awaitLog("waits for the configuration: no copy is there");
        assertFalse(rig.log().contains("listening on"), rig.log());
        startMachine();
        starting.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS);
        long number = applyAndGetNumber("one", route("all", "spare", ""));
        awaitInForce(number);
        rig.await(() -> status().contains("\"copy\" : " + number) && !status().contains("alone_since"), "the copy is written, and the status file says so");
        machine.close();
        assertEquals("b", rig.answeringHosts(3), "the gateway continues to serve");
        rig.service.close();
        rig.log.reset();
        rig.start();
        assertEquals("b", rig.answeringHosts(3), "served from its copy");
        assertTrue(rig.log().contains("a copy of the configuration is there: revision " + number + " of epoch " + epoch + ", 1 resources, written "), rig.log());
        startMachine();
        awaitInForce(applyAndGetNumber("two", route("all", "main", "")));
        assertEquals("a", rig.answeringHosts(3));
    }

    private String status() {
        try {
            return JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(JSON.std.mapFrom(Files.readString(folder.resolve("config.status"))));
        } catch (IOException e) {
            return "";
        }
    }

    /**
     * A change is applied once under its id, also across a restart of the machine; an invalid change is refused before
     * it is agreed on, and a conflict changes nothing.
     */
    @Test
    void changeIsAppliedOncePerIdAndInvalidOnesAreRefused() throws Exception {
        long number = applyAndGetNumber("one", route("all", "spare", ""));
        assertEquals(number, applyAndGetNumber("one", route("all", "main", "")), "asked again under the same id: what it did the first time");
        ControlMessage refused = apply("two", new Edit.Upsert(ResourceKind.ROUTE, "bad", "{\"order\":-1}".getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION));
        assertTrue(refused.toString().contains("edits[0] (route bad): value: order: expected a whole number from 0 to 1000000000, found -1"), refused.toString());
        ControlMessage conflict = apply("three", new Edit.Upsert(ResourceKind.ROUTE, "all", "{\"order\":1,\"pools\":[{\"pool\":\"main\",\"weight\":1}]}".getBytes(StandardCharsets.UTF_8), 99));
        assertTrue(conflict instanceof ControlMessage.Conflicted of && of.reason().contains("expected version 99, found version " + number), conflict.toString());
        machine.close();
        startMachine();
        ControlMessage again = apply("one", route("all", "main", ""));
        assertTrue(again instanceof ControlMessage.Applied, again.toString());
        List<String> values = new ArrayList<>();
        try (ControlClient client = ControlClient.fromFile(controlFolder.resolve("control.toml"))) {
            rig.await(() -> findRoute(client, values), "the table is there again");
        }
        assertEquals(List.of(number + " {\"order\":1,\"pools\":[{\"pool\":\"spare\",\"weight\":1}]}"), values);
        assertEquals(number + 2, applyAndGetNumber("four", route("all", "main", "")), "a conflict takes a number in the log, a refused change takes none");
    }

    /**
     * The log begins again under a raised epoch: the routes stay in force, also at a gateway that starts from its copy
     * before the first change; an epoch that is lower than the stored one is refused.
     */
    @Test
    void routesStayInForceWhenTheEpochIsRaised() throws Exception {
        rig.start();
        long before = applyAndGetNumber("one", route("all", "spare", ""));
        awaitInForce(before);
        machine.close();
        epoch++;
        writeControlFile();
        startMachine();
        awaitInForce(1);  // the decision that begins the epoch
        assertEquals("b", rig.answeringHosts(3));
        rig.await(() -> status().contains("\"epoch\" : " + epoch) && status().contains("\"copy\" : 1"), "the copy is of the new epoch");
        machine.close();
        rig.service.close();
        rig.log.reset();
        rig.start();
        assertEquals("b", rig.answeringHosts(3), "served from its copy");
        epoch--;
        writeControlFile();
        try {
            startMachine();
            throw new AssertionError("a lower epoch was accepted");
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("distribution.epoch: expected " + (epoch + 1) + " or a later one, as its folder has, found " + epoch), e.getMessage());
        }
        epoch++;
        writeControlFile();
        startMachine();
        assertEquals(2, applyAndGetNumber("two", route("all", "main", "")));
        awaitInForce(2);
        assertEquals("a", rig.answeringHosts(3));
    }

    private static boolean findRoute(ControlClient client, List<String> values) {
        try {
            if (client.get(ResourceKind.ROUTE, "all") instanceof ControlMessage.Found found && found.resource() != null) {
                values.add(found.resource().version() + " " + new String(found.resource().value(), StandardCharsets.UTF_8));
                return true;
            }
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
