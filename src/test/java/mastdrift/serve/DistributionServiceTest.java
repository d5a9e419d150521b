package mastdrift.serve;

import static mastdrift.serve.Rig.FREE;
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

/** A gateway that takes its routes from a control machine, both in this process, over loopback. */
@Timeout(120)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class DistributionServiceTest {

    @TempDir
    private Path folder;
    private Path control;
    private int test;
    private int epoch = 1;

    private final List<String> said = new CopyOnWriteArrayList<>();
    private String address;
    private Rig rig;
    private StandInHost a;
    private StandInHost b;
    private ControlMachine machine;  // one for all tests, which leave no routes behind

    @BeforeAll
    void machine(@TempDir Path own) throws Exception {
        // An address of its own, so that runs side by side don't meet.
        address = "127." + (64 + ProcessHandle.current().pid() % 128) + ".252.1:7500";
        control = own;
        Files.writeString(control.resolve("key"), "a key of this test");
        controlFile();
        control();
    }

    private void controlFile() throws IOException {
        new GatewayFiles(control).save("control.toml", "[distribution]\nname = \"control-1\"\nrole = \"voter\"\nfolder = \"control\"\n" + machines());
    }

    @BeforeEach
    void files() throws Exception {
        test++;
        rig = new Rig(folder);
        a = rig.host("a", "bilbao", 1_000);
        b = rig.host("b", "bilbao", 1_000);
        Files.writeString(folder.resolve("key"), "a key of this test");
        rig.save("main.toml", list(node(a, "bilbao", "")));
        rig.save("spare.toml", list(node(b, "bilbao", "")));
        rig.gateway(gateway("[pool.spare]\nnodes = [\"spare.toml\"]\n" + FREE));
    }

    private String machines() {
        return "epoch = " + epoch + "\ninstallation = \"test\"\n[[distribution.key]]\nsecret_file = \"key\"\n[[distribution.machine]]\nname = \"control-1\"\naddress = \"" + address
                + "\"\nzone = \"bilbao\"\nrole = \"voter\"\n# end\n";
    }

    private String gateway(String spare) {
        return "[pool.main]\nnodes = [\"main.toml\"]\n" + FREE + spare + "[[route]]\nname = \"all\"\npools = { main = 1 }\n"
                + "[distribution]\nrole = \"gateway\"\nfolder = \"copy\"\nstatus_file = \"config.status\"\n" + machines().replace("# end\n", "");
    }

    @AfterEach
    void close() throws Exception {
        rig.close();
        in("clean", new Edit.Delete(ResourceKind.ROUTE, "all", Edit.ANY_VERSION), new Edit.Delete(ResourceKind.ROUTE, "reads", Edit.ANY_VERSION), new Edit.Delete(ResourceKind.ROUTE, "a-first", Edit.ANY_VERSION));
    }

    @AfterAll
    void end() {
        machine.close();
    }

    private void control() {
        machine = ControlMachine.start(control.resolve("control.toml"), (level, name, text, fields) -> said.add(name + " " + text));
    }

    private static Edit route(String name, String pool, String more) {
        return new Edit.Upsert(ResourceKind.ROUTE, name, ("{\"order\":1,\"pools\":[{\"pool\":\"" + pool + "\",\"weight\":1}]" + more + "}").getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION);
    }

    private ControlMessage apply(String id, Edit... edits) throws InterruptedException {
        try (ControlClient client = ControlClient.by(folder.resolve("gateway.toml"))) {
            return client.apply(new Change(id + "-" + test, List.of(edits)), 30_000);
        }
    }

    private long in(String id, Edit... edits) throws InterruptedException {
        ControlMessage answer = apply(id, edits);
        assertInstanceOf(ControlMessage.Applied.class, answer, () -> answer + "\n" + said);
        return ((ControlMessage.Applied) answer).revision().number();
    }

    private void inForce(long number) throws InterruptedException {
        rig.awaitLog("revision " + number + " of epoch " + epoch + " is in force");
    }

    private String who(StandInClient client, String key) {
        StandInClient.Answer answer = rig.ask(client, key);
        return answer.status() == 200 ? answer.body().split(" ")[0] : "" + answer.status();
    }

    /** Routes come into force and go again; a keyed request keeps the pool that it went to, whatever the control machine says (it may lie). */
    @Test
    void routesComeAndAKeyedRequestKeepsItsPool() throws Exception {
        rig.start();
        try (StandInClient client = rig.client()) {
            assertEquals("a", who(client, "k1"), "the file's routes, as long as resources have none");
            inForce(in("one", route("all", "spare", "")));
            assertEquals("b", who(client, null));
            assertEquals("a", who(client, "k1"), "the client's repeat");
            assertEquals("b", who(client, "k2"));
            a.work(300_000);
            inForce(in("two", route("all", "main", ",\"class\":\"session-start\"")));
            CompletableFuture<String> out = CompletableFuture.supplyAsync(() -> {
                try (StandInClient other = rig.client()) {
                    return who(other, "k3");
                }
            });
            rig.await(() -> a.served() >= 1 && a.lastAt() > 0, "k3 is out");
            inForce(in("three", route("all", "spare", "")));
            assertEquals("a", who(client, "k3"), "its repeat meets the window of the pool that it is out at");
            assertEquals("a", out.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS));
            inForce(in("four", new Edit.Delete(ResourceKind.ROUTE, "all", Edit.ANY_VERSION)));
            assertEquals("a", who(client, null), "the file's again");
        }
    }

    /** What this gateway can't take is held back whole and told with its reason; what was before stays, and the next ones come. */
    @Test
    void whatCantBeTakenIsToldAndTheNextOnesCome() throws Exception {
        rig.start();
        inForce(in("one", route("all", "spare", "")));
        in("two", route("all", "nowhere", ""), route("reads", "main", ",\"class\":\"session-read\""));
        rig.awaitLog("can't be put in force whole, what was before stays: route all: pools: expected one of the pools of this gateway (main, spare), found \"nowhere\"");
        assertEquals("b", rig.answering(5));
        inForce(in("three", route("a-first", "main", ",\"class\":\"session-read\"")));
        assertEquals("a", rig.answering(5), "the next one is in force");
        try (ControlClient client = ControlClient.by(folder.resolve("gateway.toml"))) {
            rig.await(() -> refusing(client) == 1, "the control machine knows");
            inForce(in("four", route("all", "main", ""), route("reads", "spare", ",\"class\":\"session-read\"")));
            rig.awaitLog("nothing is held back any more");
            rig.await(() -> refusing(client) == 0, "and that it is over");
        }
    }

    private static int refusing(ControlClient client) {
        try {
            return client.status(List.of("control-1")).get("control-1") instanceof ControlMessage.Status status && status.zones().size() == 1 ? status.zones().get(0).rejecting() : -1;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aPoolThatRoutesNameStaysInTheFile() throws Exception {
        rig.start();
        inForce(in("one", route("all", "spare", "")));
        rig.gateway(gateway(""));
        rig.awaitLog("refused: pool spare: expected it to stay while routes that are distributed name it");
        assertEquals("b", rig.answering(3));
        inForce(in("two", route("all", "main", "")));
        rig.gateway(gateway("").replace("[pool.main]", "[pool.other]\nnodes = [\"spare.toml\"]\n[pool.main]"));
        rig.awaitLog("changed pools [other]");
        assertEquals("a", rig.answering(3));
        inForce(in("three", route("all", "other", "")));
        assertEquals("b", rig.answering(3), "a pool that came by the file");
    }

    /** With no copy it waits, and with one it serves at once, also while no control machine is there; its age is told. */
    @Test
    void aGatewayWithNoCopyWaitsAndOneWithACopyServesByIt() throws Exception {
        machine.close();
        CompletableFuture<Void> starting = CompletableFuture.runAsync(rig::start);
        rig.awaitLog("waits for the configuration: no copy is there");
        assertFalse(rig.log().contains("listening on"), rig.log());
        control();
        starting.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS);
        long number = in("one", route("all", "spare", ""));
        inForce(number);
        rig.await(() -> status().contains("\"copy\" : " + number) && !status().contains("alone_since"), "the copy is written, and the status file says so");
        machine.close();
        assertEquals("b", rig.answering(3), "it serves on");
        rig.service.close();
        rig.log.reset();
        rig.start();
        assertEquals("b", rig.answering(3), "by its copy");
        assertTrue(rig.log().contains("a copy of the configuration is there: revision " + number + " of epoch " + epoch + ", 1 resources, written "), rig.log());
        control();
        inForce(in("two", route("all", "main", "")));
        assertEquals("a", rig.answering(3));
    }

    private String status() {
        try {
            return JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(JSON.std.mapFrom(Files.readString(folder.resolve("config.status"))));
        } catch (IOException e) {
            return "";
        }
    }

    /** A change is in once under its id, also across a restart of the machine; what is wrong is refused before it is agreed on, and a conflict changes nothing. */
    @Test
    void changesAreInOnceAndWrongOnesAreNamed() throws Exception {
        long number = in("one", route("all", "spare", ""));
        assertEquals(number, in("one", route("all", "main", "")), "asked again under the same id: what it did the first time");
        ControlMessage refused = apply("two", new Edit.Upsert(ResourceKind.ROUTE, "bad", "{\"order\":-1}".getBytes(StandardCharsets.UTF_8), Edit.ANY_VERSION));
        assertTrue(refused.toString().contains("edits[0] (route bad): value: order: expected a whole number from 0 to 1000000000, found -1"), refused.toString());
        ControlMessage conflict = apply("three", new Edit.Upsert(ResourceKind.ROUTE, "all", "{\"order\":1,\"pools\":[{\"pool\":\"main\",\"weight\":1}]}".getBytes(StandardCharsets.UTF_8), 99));
        assertTrue(conflict instanceof ControlMessage.Conflicted of && of.reason().contains("expected version 99, found version " + number), conflict.toString());
        machine.close();
        control();
        ControlMessage again = apply("one", route("all", "main", ""));
        assertTrue(again instanceof ControlMessage.Applied, again.toString());
        List<String> values = new ArrayList<>();
        try (ControlClient client = ControlClient.by(control.resolve("control.toml"))) {
            rig.await(() -> found(client, values), "the table is there again");
        }
        assertEquals(List.of(number + " {\"order\":1,\"pools\":[{\"pool\":\"spare\",\"weight\":1}]}"), values);
        assertEquals(number + 2, in("four", route("all", "main", "")), "a conflict has its place, a refused change has none");
    }

    /** The log begins anew under a raised epoch: what was there stays in force, also at a gateway that starts by its copy before the first change; an epoch that goes back is refused. */
    @Test
    void aRaisedEpochGoesOnWithWhatWasThere() throws Exception {
        rig.start();
        long before = in("one", route("all", "spare", ""));
        inForce(before);
        machine.close();
        epoch++;
        controlFile();
        control();
        inForce(1);  // the decision by which the epoch begins
        assertEquals("b", rig.answering(3));
        rig.await(() -> status().contains("\"epoch\" : " + epoch) && status().contains("\"copy\" : 1"), "the copy is of the new epoch");
        machine.close();
        rig.service.close();
        rig.log.reset();
        rig.start();
        assertEquals("b", rig.answering(3), "by its copy");
        epoch--;
        controlFile();
        try {
            control();
            throw new AssertionError("an epoch that goes back is taken");
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("distribution.epoch: expected " + (epoch + 1) + " or a later one, as its folder has, found " + epoch), e.getMessage());
        }
        epoch++;
        controlFile();
        control();
        assertEquals(2, in("two", route("all", "main", "")));
        inForce(2);
        assertEquals("a", rig.answering(3));
    }

    private static boolean found(ControlClient client, List<String> values) {
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
