package mastdrift.serve;

import static mastdrift.serve.Rig.GUARDS_OFF;
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

/**
 * Traffic across zones over loopback: counted as the hosts count it, kept within budgets, and permitted beyond them if
 * service would suffer otherwise.
 */
class ZoneServiceTest {

    private static final String ZERO_BUDGET = "[[zones.budget]]\nname = \"none\"\nwindow = \"hour\"\nrequests = 0\n";
    private static final String POOL = "[pool.main]\nnodes = [\"main.toml\"]\n" + GUARDS_OFF;

    @TempDir
    private Path folder;

    private Rig rig;
    private StandInHost a;
    private StandInHost b;
    private StandInHost c;

    @BeforeEach
    void createHosts() throws IOException {
        rig = new Rig(folder);
        a = rig.host("a", "bilbao", 1_000);
        b = rig.host("b", "bilbao", 1_000);
        c = rig.host("c", "oviedo", 1_000);
        writeNodes("", "");
    }

    @AfterEach
    void close() {
        rig.close();
    }

    private void writeNodes(String home, String away) throws IOException {
        rig.save("main.toml", list(node(a, "bilbao", home), node(b, "bilbao", home), node(c, "oviedo", away)));
    }

    private void startGateway(String zones) throws IOException {
        rig.gateway(POOL + zones);
        rig.start();
    }

    private static FlowCounts crossZoneCounts(ZoneSnapshot snapshot) {
        FlowCounts over = new FlowCounts();
        snapshot.flows().forEach((flow, counts) -> {
            if (flow.crosses()) {
                over.add(counts);
            }
        });
        return over;
    }

    private int[] countStatuses(int requests, String key) {
        int[] statuses = new int[600];
        try (StandInClient client = rig.client()) {
            for (int i = 0; i < requests; i++) {
                statuses[rig.ask(client, key == null ? null : key + i).status()]++;
            }
        }
        return statuses;
    }

    // ---- counts

    /** Bytes by zone as the gateway counts them; what it sent is what the hosts received. */
    private static Map<String, List<Long>> bytesByZone(ZoneSnapshot snapshot) {
        Map<String, List<Long>> bytes = new TreeMap<>();
        snapshot.flows().forEach((flow, counts) -> bytes.merge(flow.toZone(), List.of(counts.bytesSent(), counts.bytesReceived()),
                (one, other) -> List.of(one.get(0) + other.get(0), one.get(1) + other.get(1))));
        return bytes;
    }

    /**
     * HTTP and RADIUS at once over three zones, with hosts that cut answers, reset connections, refuse, fail, and send
     * more than they were asked for: the gateway's counts equal those of the hosts to the byte, and the causes add up
     * to the total.
     */
    @Test
    void countsEqualThoseOfTheHostsToTheByte() throws Exception {
        byte[] secret = "a secret that both know".getBytes(StandardCharsets.US_ASCII);
        Effects effects = new Effects(60_000_000);
        StandInHost d = rig.host("d", "leon", 1_000);
        try (StandInRadiusServer one = new StandInRadiusServer("one", "one", effects, secret, 1_000);
                StandInRadiusServer two = new StandInRadiusServer("two", "two", effects, secret, 1_000)) {
            rig.save("secret", new String(secret, StandardCharsets.US_ASCII));
            rig.save("main.toml", list(node(a, "bilbao", ""), node(b, "bilbao", ""), node(c, "oviedo", ""), node(d, "leon", "")));
            rig.save("cards.toml", GatewayFiles.list(List.of(GatewayFiles.node("one", one.endpoint(), "bilbao", ""),
                    GatewayFiles.node("two", two.endpoint(), "oviedo", ""))));
            rig.save("gateway.toml", Rig.GATEWAY_HEAD.replace("\"oviedo\"]", "\"oviedo\", \"leon\"]") + GatewayFiles.RADIUS + POOL
                    + GatewayFiles.pool("cards", GUARDS_OFF + "secret_file = \"secret\"\n") + GatewayFiles.route("cards", "card", "cards")
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
                countStatuses(40, null);
                countStatuses(20, "key-" + i + "-");
            }
            radius.get(Rig.WAIT_SECONDS, TimeUnit.SECONDS);
            Map<String, List<Long>> seen = new TreeMap<>();
            rig.await(() -> {
                seen.put("bilbao", List.of(a.bytesIn() + b.bytesIn() + one.bytesIn(), a.bytesOut() + b.bytesOut() + one.bytesOut()));
                seen.put("oviedo", List.of(c.bytesIn() + two.bytesIn(), c.bytesOut() + two.bytesOut()));
                seen.put("leon", List.of(d.bytesIn(), d.bytesOut()));
                return seen.equals(bytesByZone(rig.service.zoneSnapshot()));
            }, "equal counts: " + seen + " and " + bytesByZone(rig.service.zoneSnapshot()));
            ZoneSnapshot snapshot = rig.service.zoneSnapshot();
            FlowCounts over = crossZoneCounts(snapshot);
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

    /** Counts continue over a restart with a state folder; a damaged file is reported and not used. */
    @Test
    void countsContinueAfterARestart() throws Exception {
        Files.createDirectory(folder.resolve("kept"));
        startGateway("[zones]\nstate_folder = \"kept\"\nreport_file = \"zones.json\"\n");
        countStatuses(60, null);
        ZoneSnapshot before = rig.service.zoneSnapshot();
        rig.service.close();
        rig.start();
        assertEquals(crossZoneCounts(before).attempts(), crossZoneCounts(rig.service.zoneSnapshot()).attempts());
        assertEquals(bytesByZone(before).get("oviedo"), bytesByZone(rig.service.zoneSnapshot()).get("oviedo"));
        assertTrue(Files.readString(folder.resolve("zones.json")).contains("\"oviedo\""));
        rig.service.close();
        Path state = folder.resolve("kept/zones-gateway.state");
        byte[] bytes = Files.readAllBytes(state);
        bytes[bytes.length / 2] ^= 1;
        Files.write(state, bytes);
        rig.start();
        rig.awaitLog("is not used: expected crc32c");
        assertEquals(0, crossZoneCounts(rig.service.zoneSnapshot()).attempts());
        assertEquals(50, countStatuses(50, null)[200]);
    }

    // ---- budgets, and exceeding them for service

    @Test
    void zeroBudgetKeepsRequestsInTheHomeZoneUntilItIsOut() throws Exception {
        startGateway("[zones]\ngive_way = [\"session-start\", \"session-read\"]\ncalm = \"1s\"\n" + ZERO_BUDGET);
        int[] statuses = countStatuses(300, null);
        assertEquals(300, statuses[200]);
        assertEquals(0, c.served(), "no request crossed");
        writeNodes("state = \"drain\"\n", "");
        rig.await(() -> countStatuses(1, null)[200] == 1 && c.served() > 0, "the other zone serves");
        assertEquals(100, countStatuses(100, null)[200]);
        assertEquals(20, countStatuses(20, "out-")[200]);
        ZoneSnapshot out = rig.service.zoneSnapshot();
        assertTrue(crossZoneCounts(out).attempts(CrossingCause.ZONE_OUT) >= 120, "for the zone that is out");
        assertTrue(out.budgets().get(0).remaining() <= -120, "and the excess is recorded as a debt");
        writeNodes("", "");
        rig.await(() -> {
            long before = c.served();
            countStatuses(20, null);
            return c.served() == before;
        }, "all requests are served in the home zone again");
        assertEquals(0, rig.effects.twice());
    }

    /**
     * A zone drains and comes back cold, twice: the other zone serves its requests meanwhile, none is lost, no key runs
     * twice, and in the end all requests are served in the home zone.
     */
    @Test
    void noRequestIsLostWhenAZoneFlaps() throws Exception {
        startGateway("warm_within = \"4s\"\n[zones]\ngive_way = [\"session-start\", \"session-read\"]\ncalm = \"1s\"\n" + ZERO_BUDGET);
        for (int turn = 1; turn <= 2; turn++) {
            long before = c.served();
            writeNodes("state = \"drain\"\n", "");
            rig.await(() -> countStatuses(1, null)[200] == 1 && c.served() > before, "the other zone serves");
            assertEquals(30, countStatuses(30, "turn-" + turn + "-")[200]);
            long home = a.served() + b.served();
            writeNodes("started_ms = " + System.currentTimeMillis() + "\n", "");
            rig.await(() -> countStatuses(5, null)[200] == 5 && a.served() + b.served() > home, "the home zone serves again, cold");
        }
        rig.await(() -> {
            long before = c.served();
            return countStatuses(20, null)[200] == 20 && c.served() == before;
        }, "all requests are served in the home zone again");
        assertEquals(0, rig.effects.twice());
    }

    @Test
    void hardBudgetIsKeptEvenIfRequestsAreRefused() throws Exception {
        startGateway("[zones]\ngive_way = [\"session-start\", \"session-read\"]\n" + ZERO_BUDGET + "hard = true\n");
        writeNodes("state = \"drain\"\n", "");
        rig.await(() -> countStatuses(1, null)[503] == 1, "refused");
        assertEquals(0, c.served());
        assertEquals(0, crossZoneCounts(rig.service.zoneSnapshot()).attempts());
        assertTrue(rig.service.readCount(count -> count.forClass("session-read").refused(Why.ZONES)) > 0);
    }

    /**
     * A start that may have run in a zone that has drained since isn't moved to the other zone by its client's repeat;
     * new keys are.
     */
    @Test
    void keyThatMayHaveRunStaysInItsZone() throws Exception {
        startGateway("[zones]\ngive_way = [\"session-start\", \"session-read\"]\n" + ZERO_BUDGET);
        a.manner(Manner.RESET);
        b.manner(Manner.RESET);
        try (StandInClient client = rig.client()) {
            assertNotEquals(200, rig.ask(client, "may-have-run").status());
            long since = System.nanoTime();
            writeNodes("state = \"drain\"\n", "");
            rig.await(() -> rig.ask(client, "new-" + System.nanoTime()).status() == 200, "a new key goes across");
            boolean open = System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(1_000);
            int status = rig.ask(client, "may-have-run").status();
            assertTrue(!open || status == 503, "within its window: " + status);
        }
        assertEquals(0, rig.effects.twice());
    }

    /** Half of all requests are about one object: a warm host in another zone doesn't attract them across. */
    @Test
    void hotKeyDoesNotPullTrafficToAnotherZone() throws Exception {
        startGateway("[zones]\n[[zones.budget]]\nname = \"few\"\nwindow = \"minute\"\nrequests = 60\n");
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
        ZoneSnapshot snapshot = rig.service.zoneSnapshot();
        assertTrue(crossZoneCounts(snapshot).attempts() - crossZoneCounts(snapshot).attempts(CrossingCause.REPEAT) <= 60, "crossed: " + crossZoneCounts(snapshot).attempts());
    }

    /**
     * The operator changes a budget at run time, and removes the table, which needs a restart. The budget is per
     * minute, since no test client exceeds its pace; a million requests an hour are 278 a second at its begin, which a
     * fast machine exceeds (AccountTest).
     */
    @Test
    void budgetChangesAtRunTime() throws Exception {
        String nothing = ZERO_BUDGET.replace("window = \"hour\"", "window = \"minute\"");
        startGateway("[zones]\n" + nothing);
        writeNodes("state = \"drain\"\n", "");
        rig.await(() -> countStatuses(1, null)[503] == 1, "no host in the home zone, and no budget to cross");
        rig.gateway(POOL + "[zones]\n" + nothing.replace("requests = 0", "requests = 1000000"));
        rig.await(() -> countStatuses(20, null)[200] == 20 && c.served() > 0, "requests may cross now");
        rig.gateway(POOL);
        rig.awaitLog("[zones]: expected the table, or none");
    }

    /**
     * Guards against a pool that is taken out and put back within a second losing its part in zones: the end of the one
     * that was taken out ended that of the new one, which then heard of no changed setting.
     */
    @Test
    void poolThatIsPutBackFollowsChangesOfZones() throws Exception {
        String other = "[pool.other]\nnodes = [\"main.toml\"]\n" + GUARDS_OFF;
        String zones = "[zones]\ncalm = \"1s\"\n" + ZERO_BUDGET;
        startGateway(zones);
        rig.gateway(other + zones);
        rig.awaitLog("in force: [other");
        rig.gateway(POOL + zones);
        rig.await(() -> rig.log().split("in force: \\[main", -1).length == 3, "the pool is back");
        long backAtNanos = System.nanoTime();
        rig.await(() -> System.nanoTime() - backAtNanos > TimeUnit.MILLISECONDS.toNanos(1_500), "the former pool has ended");
        rig.gateway(POOL + zones.replace("[zones]\n", "[zones]\ngive_way = [\"session-start\", \"session-read\"]\n"));
        rig.await(() -> rig.log().split("in force: \\[main", -1).length == 4, "budgets may be exceeded");
        writeNodes("state = \"drain\"\n", "");
        rig.await(() -> countStatuses(1, null)[200] == 1 && c.served() > 0, "the other zone serves");
    }

    /**
     * Two gateways with one shared folder: the idle one leaves its part of the budget to the busy one, and together
     * they don't exceed the budget.
     */
    @Test
    void idleGatewayPassesOnItsPartOfTheBudget() throws Exception {
        String zones = "[zones]\nshared_folder = \"shared\"\n[[zones.budget]]\nname = \"few\"\nwindow = \"minute\"\nrequests = 40\n";
        Files.createDirectory(folder.resolve("shared"));
        String head = Rig.GATEWAY_HEAD.replace("zone = \"bilbao\"", "gateways = 2\nname = \"busy\"\nzone = \"bilbao\"");
        rig.save("gateway.toml", head + POOL + zones + "# end\n");
        rig.save("idle.toml", head.replace("busy", "idle").replace("status_file = \"status\"", "") + POOL + zones + "# end\n");
        rig.start();
        try (Service idle = Service.start(folder.resolve("idle.toml"), new PrintStream(rig.log, true, StandardCharsets.UTF_8))) {
            rig.await(() -> {
                assertEquals(30, countStatuses(30, null)[200]);
                ZoneSnapshot.BudgetStatus own = rig.service.zoneSnapshot().budgets().get(0);
                ZoneSnapshot.BudgetStatus other = idle.zoneSnapshot().budgets().get(0);
                assertTrue(own.startMillis() != other.startMillis() || own.granted() + other.granted() <= 40 + 1e-9, "the parts together exceed the budget");
                return own.account().transferredIn().getOrDefault("idle", 0.0) > 1;
            }, "the idle gateway passes on some of its part");
        }
    }
}
