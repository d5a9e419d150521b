package mastdrift.serve;

import static mastdrift.serve.Rig.FREE;
import static mastdrift.serve.Rig.list;
import static mastdrift.serve.Rig.node;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.Why;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadRun;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;
import mastdrift.standin.StandInHost.Manner;
import mastdrift.standin.StandInRadiusServer;
import mastdrift.zones.CrossingCause;
import mastdrift.zones.FlowCounts;
import mastdrift.zones.ZoneSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Traffic across zones over loopback: counted as the hosts count it, kept within budgets, and let go where service would suffer. */
class ZoneServiceTest {

    private static final String NOTHING = "[[zones.budget]]\nname = \"none\"\nwindow = \"hour\"\nrequests = 0\n";
    private static final String POOL = "[pool.main]\nnodes = [\"main.toml\"]\n" + FREE;

    @TempDir
    private Path folder;

    private Rig rig;
    private StandInHost a;
    private StandInHost b;
    private StandInHost c;

    @BeforeEach
    void hosts() throws IOException {
        rig = new Rig(folder);
        a = rig.host("a", "bilbao", 1_000);
        b = rig.host("b", "bilbao", 1_000);
        c = rig.host("c", "oviedo", 1_000);
        nodes("", "");
    }

    @AfterEach
    void close() {
        rig.close();
    }

    private void nodes(String home, String away) throws IOException {
        rig.save("main.toml", list(node(a, "bilbao", home), node(b, "bilbao", home), node(c, "oviedo", away)));
    }

    private void serve(String zones) throws IOException {
        rig.gateway(POOL + zones);
        rig.start();
    }

    private static FlowCounts over(ZoneSnapshot snapshot) {
        FlowCounts over = new FlowCounts();
        snapshot.flows().forEach((flow, counts) -> {
            if (flow.crosses()) {
                over.add(counts);
            }
        });
        return over;
    }

    private int[] statuses(int requests, String key) {
        int[] statuses = new int[600];
        try (StandInClient client = rig.client()) {
            for (int i = 0; i < requests; i++) {
                statuses[rig.ask(client, key == null ? null : key + i).status()]++;
            }
        }
        return statuses;
    }

    // ---- counts

    /** Bytes by zone as the gateway has them and as the stand-ins have them: the gateway's out are the hosts' in. */
    private static Map<String, List<Long>> bytes(ZoneSnapshot snapshot) {
        Map<String, List<Long>> bytes = new TreeMap<>();
        snapshot.flows().forEach((flow, counts) -> bytes.merge(flow.toZone(), List.of(counts.bytesSent(), counts.bytesReceived()),
                (one, other) -> List.of(one.get(0) + other.get(0), one.get(1) + other.get(1))));
        return bytes;
    }

    /** HTTP and RADIUS at once over three zones, with hosts that cut answers, reset connections, turn away, fail, and say more than they
        were asked: to the byte what the hosts counted, and the causes add up. */
    @Test
    void countsEqualTheHostsToTheByte() throws Exception {
        byte[] secret = "a secret that both know".getBytes(StandardCharsets.US_ASCII);
        Effects effects = new Effects(60_000_000);
        StandInHost d = rig.host("d", "leon", 1_000);
        try (StandInRadiusServer one = new StandInRadiusServer("one", "one", effects, secret, 1_000);
                StandInRadiusServer two = new StandInRadiusServer("two", "two", effects, secret, 1_000)) {
            rig.save("secret", new String(secret, StandardCharsets.US_ASCII));
            rig.save("main.toml", list(node(a, "bilbao", ""), node(b, "bilbao", ""), node(c, "oviedo", ""), node(d, "leon", "")));
            rig.save("cards.toml", GatewayFiles.list(List.of(GatewayFiles.node("one", one.endpoint(), "bilbao", ""),
                    GatewayFiles.node("two", two.endpoint(), "oviedo", ""))));
            rig.save("gateway.toml", Rig.HEAD.replace("\"oviedo\"]", "\"oviedo\", \"leon\"]") + GatewayFiles.RADIUS + POOL
                    + GatewayFiles.pool("cards", FREE + "secret_file = \"secret\"\n") + GatewayFiles.route("cards", "card", "cards")
                    + GatewayFiles.route("talks", "talk", "cards") + GatewayFiles.route("accounts", "accounting", "cards")
                    + "[[route]]\nname = \"rest\"\npools = { main = 1 }\n[zones]\n[[zones.client]]\nnetwork = \"127.0.0.0/8\"\nzone = \"leon\"\n# end\n");
            rig.start();
            c.manner(Manner.CUT);
            d.manner(Manner.RESET);
            two.manner(StandInRadiusServer.Manner.TWICE);
            CompletableFuture<Void> radius = CompletableFuture.runAsync(() -> {
                try (LoadRun load = LoadRun.start(LoadPlan.open(rig.service.radiusAddresses().get(0), 100, 1, 4, 3_000).with(List.of(
                        new Mix.Part("card", null, Repeat.SAFE, 2, 3_000_000, 0),
                        new Mix.Part("accounting", null, Repeat.KEYED, 1, 3_000_000, 0))).radius(secret))) {
                    load.join();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            Manner[] manners = {Manner.SERVE, Manner.FAIL, Manner.DRAIN, Manner.RESET, Manner.CUT, Manner.SERVE};
            for (int i = 0; i < manners.length; i++) {
                c.manner(manners[i]);
                d.manner(manners[(i + 3) % manners.length]);
                a.manner(i % 2 == 0 ? Manner.DRAIN : Manner.SERVE);
                b.manner(i % 2 == 0 ? Manner.DRAIN : Manner.SERVE);
                statuses(40, null);
                statuses(20, "key-" + i + "-");
            }
            radius.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS);
            Map<String, List<Long>> seen = new TreeMap<>();
            rig.await(() -> {
                seen.put("bilbao", List.of(a.bytesIn() + b.bytesIn() + one.bytesIn(), a.bytesOut() + b.bytesOut() + one.bytesOut()));
                seen.put("oviedo", List.of(c.bytesIn() + two.bytesIn(), c.bytesOut() + two.bytesOut()));
                seen.put("leon", List.of(d.bytesIn(), d.bytesOut()));
                return seen.equals(bytes(rig.service.crossed()));
            }, "counts alike: " + seen + " and " + bytes(rig.service.crossed()));
            ZoneSnapshot snapshot = rig.service.crossed();
            FlowCounts over = over(snapshot);
            assertTrue(over.attempts() > 20 && over.failed() > 0 && over.attempts(CrossingCause.REPEAT) > 0, 
                    "it crossed, and failed: " + over.attempts() + ", " + over.failed() + ", " + over.attempts(CrossingCause.REPEAT));
            long byCause = 0;
            for (CrossingCause cause : CrossingCause.values()) {
                byCause += over.bytes(cause);
            }
            assertEquals(over.bytesSent() + over.bytesReceived(), byCause);
            assertTrue(snapshot.flows().keySet().stream().anyMatch(flow -> flow.clientZone().equals("leon") && flow.className().equals("accounting")));
            assertEquals(0, rig.effects.twice());
        }
    }

    /** Over a stop and a start with a folder that lasts, counts go on; a file that is damaged is said and not used. */
    @Test
    void countsGoOnAfterARestart() throws Exception {
        Files.createDirectory(folder.resolve("kept"));
        serve("[zones]\nstate_folder = \"kept\"\nreport_file = \"zones.json\"\n");
        statuses(60, null);
        ZoneSnapshot before = rig.service.crossed();
        rig.service.close();
        rig.start();
        assertEquals(over(before).attempts(), over(rig.service.crossed()).attempts());
        assertEquals(bytes(before).get("oviedo"), bytes(rig.service.crossed()).get("oviedo"));
        assertTrue(Files.readString(folder.resolve("zones.json")).contains("\"oviedo\""));
        rig.service.close();
        Path state = folder.resolve("kept/zones-gateway.state");
        byte[] bytes = Files.readAllBytes(state);
        bytes[bytes.length / 2] ^= 1;
        Files.write(state, bytes);
        rig.start();
        rig.awaitLog("is not used: expected crc32c");
        assertEquals(0, over(rig.service.crossed()).attempts());
        assertEquals(50, statuses(50, null)[200]);
    }

    // ---- budgets, and giving way

    @Test
    void aBudgetOfNothingKeepsAllAtHomeUntilTheZoneIsOut() throws Exception {
        serve("[zones]\ngive_way = [\"session-start\", \"session-read\"]\ncalm = \"1s\"\n" + NOTHING);
        int[] statuses = statuses(300, null);
        assertEquals(300, statuses[200]);
        assertEquals(0, c.served(), "none crossed");
        nodes("state = \"drain\"\n", "");
        rig.await(() -> statuses(1, null)[200] == 1 && c.served() > 0, "the other zone has it");
        assertEquals(100, statuses(100, null)[200]);
        assertEquals(20, statuses(20, "out-")[200]);
        ZoneSnapshot out = rig.service.crossed();
        assertTrue(over(out).attempts(CrossingCause.ZONE_OUT) >= 120, "for the zone that is out");
        assertTrue(out.budgets().get(0).remaining() <= -120, "and it is owed");
        nodes("", "");
        rig.await(() -> {
            long before = c.served();
            statuses(20, null);
            return c.served() == before;
        }, "all is at home again");
        assertEquals(0, rig.effects.twice());
    }

    /** A zone that goes and comes back cold, twice: the other one has its requests meanwhile, none is lost, no key runs twice, and all is at home in the end. */
    @Test
    void aZoneThatFlapsLosesNothing() throws Exception {
        serve("warm_within = \"4s\"\n[zones]\ngive_way = [\"session-start\", \"session-read\"]\ncalm = \"1s\"\n" + NOTHING);
        for (int turn = 1; turn <= 2; turn++) {
            long before = c.served();
            nodes("state = \"drain\"\n", "");
            rig.await(() -> statuses(1, null)[200] == 1 && c.served() > before, "the other zone has it");
            assertEquals(30, statuses(30, "turn-" + turn + "-")[200]);
            long home = a.served() + b.served();
            nodes("started_ms = " + System.currentTimeMillis() + "\n", "");
            rig.await(() -> statuses(5, null)[200] == 5 && a.served() + b.served() > home, "the own zone is back, and cold");
        }
        rig.await(() -> {
            long before = c.served();
            return statuses(20, null)[200] == 20 && c.served() == before;
        }, "all is at home again");
        assertEquals(0, rig.effects.twice());
    }

    @Test
    void aHardBudgetIsKeptAtThePriceOfService() throws Exception {
        serve("[zones]\ngive_way = [\"session-start\", \"session-read\"]\n" + NOTHING + "hard = true\n");
        nodes("state = \"drain\"\n", "");
        rig.await(() -> statuses(1, null)[503] == 1, "refused");
        assertEquals(0, c.served());
        assertEquals(0, over(rig.service.crossed()).attempts());
        assertTrue(rig.service.count(count -> count.forClass("session-read").refused(Why.ZONES)) > 0);
    }

    /** A start that may have run in a zone that is gone since isn't taken to the other one by its client's repeat; others are. */
    @Test
    void aKeyThatMayHaveRunDoesNotLeaveItsZone() throws Exception {
        serve("[zones]\ngive_way = [\"session-start\", \"session-read\"]\n" + NOTHING);
        a.manner(Manner.RESET);
        b.manner(Manner.RESET);
        try (StandInClient client = rig.client()) {
            assertNotEquals(200, rig.ask(client, "may-have-run").status());
            long since = System.nanoTime();
            nodes("state = \"drain\"\n", "");
            rig.await(() -> rig.ask(client, "new-" + System.nanoTime()).status() == 200, "a new key goes across");
            boolean open = System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(1_000);
            int status = rig.ask(client, "may-have-run").status();
            assertTrue(!open || status == 503, "within its window: " + status);
        }
        assertEquals(0, rig.effects.twice());
    }

    /** Half of all requests about one object: what is warm far away doesn't pull them across. */
    @Test
    void aHotKeyDoesNotPullTrafficAcross() throws Exception {
        serve("[zones]\n[[zones.budget]]\nname = \"few\"\nwindow = \"minute\"\nrequests = 60\n");
        List<CompletableFuture<Integer>> clients = new ArrayList<>();
        for (int n = 0; n < 8; n++) {
            clients.add(CompletableFuture.supplyAsync(() -> {
                int served = 0;
                try (StandInClient client = rig.client()) {
                    for (int i = 0; i < 100; i++) {
                        String id = Thread.currentThread().getId() + "-" + i;
                        served += client.ask(StandInClient.head("session-read", null, id, i % 2 == 0 ? "hot" : id, null, 8_000, 0), "")
                                .status() == 200 ? 1 : 0;
                    }
                }
                return served;
            }));
        }
        int served = 0;
        for (CompletableFuture<Integer> client : clients) {
            served += client.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS);
        }
        assertEquals(800, served);
        ZoneSnapshot snapshot = rig.service.crossed();
        assertTrue(over(snapshot).attempts() - over(snapshot).attempts(CrossingCause.REPEAT) <= 60, "crossed: " + over(snapshot).attempts());
    }

    /** The operator changes a budget while it runs, and takes the files away, which needs another start. By a budget of a minute, whose pace no
        client of a test exceeds; a million requests an hour are 278 a second at its begin, and a quick machine asks for more (AccountTest). */
    @Test
    void aBudgetChangesWhileItServes() throws Exception {
        String nothing = NOTHING.replace("window = \"hour\"", "window = \"minute\"");
        serve("[zones]\n" + nothing);
        nodes("state = \"drain\"\n", "");
        rig.await(() -> statuses(1, null)[503] == 1, "nobody at home, and no budget to cross");
        rig.gateway(POOL + "[zones]\n" + nothing.replace("requests = 0", "requests = 1000000"));
        rig.await(() -> statuses(20, null)[200] == 20 && c.served() > 0, "it may cross now");
        rig.gateway(POOL);
        rig.awaitLog("[zones]: expected the table, or none");
    }

    /** Two gateways with one folder: the one that is idle leaves its part to the one that is not, and both have no more than all. */
    @Test
    void theIdleGatewaysPartIsNotLost() throws Exception {
        String zones = "[zones]\nshared_folder = \"shared\"\n[[zones.budget]]\nname = \"few\"\nwindow = \"minute\"\nrequests = 40\n";
        Files.createDirectory(folder.resolve("shared"));
        String head = Rig.HEAD.replace("zone = \"bilbao\"", "gateways = 2\nname = \"busy\"\nzone = \"bilbao\"");
        rig.save("gateway.toml", head + POOL + zones + "# end\n");
        rig.save("idle.toml", head.replace("busy", "idle").replace("status_file = \"status\"", "") + POOL + zones + "# end\n");
        rig.start();
        try (Service idle = Service.start(folder.resolve("idle.toml"), new PrintStream(rig.log, true, StandardCharsets.UTF_8))) {
            rig.await(() -> {
                assertEquals(30, statuses(30, null)[200]);
                ZoneSnapshot.BudgetStatus own = rig.service.crossed().budgets().get(0);
                ZoneSnapshot.BudgetStatus other = idle.crossed().budgets().get(0);
                assertTrue(own.startMillis() != other.startMillis() || own.granted() + other.granted() <= 40 + 1e-9, "no more than all");
                return own.account().transferredIn().getOrDefault("idle", 0.0) > 1;
            }, "the idle one gives of its part");
        }
    }
}
