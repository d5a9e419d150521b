package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Repeat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Many gateways, each of which sees little of a key and of a host. */
class LargeFleetTest {

    private static final long HOT = 77;

    private static Gateway gateway(int me, int all, long seed) {
        Gateway gateway = new Gateway();
        gateway.me = me;
        gateway.gateways = all;
        gateway.seed = seed;
        gateway.probing = false;
        return gateway;
    }

    /** Sends of the hot key by host, over all gateways; each gateway's own share of the traffic is its weight. */
    private static Map<String, Integer> play(int gateways, int told, int hosts, int requests, double part, Repeat repeat, boolean uneven) {
        Map<String, Integer> hot = new HashMap<>();
        for (int i = 0; i < gateways; i++) {
            Gateway gateway = gateway(i, told, i);
            gateway.repeat = repeat;
            gateway.group = Group.ZONE;
            gateway.start(hosts);
            SplittableRandom random = new SplittableRandom(i);
            Set<String> zones = new HashSet<>();
            int own = uneven ? requests * 2 * (i + 1) / (gateways + 1) : requests;
            for (int k = 0; k < own; k++) {
                boolean popular = random.nextDouble() < part;
                int before = gateway.sent.size();
                gateway.request(popular ? HOT : random.nextLong());
                gateway.advance(20_000_000 / own);
                if (gateway.sent.size() > before) {
                    if (popular) {
                        hot.merge(gateway.last().address(), 1, Integer::sum);
                        zones.add(gateway.last().address());
                    }
                    gateway.end(gateway.last(), Outcome.DELIVERED, 20_000);
                }
            }
            if (repeat == Repeat.KEYED && zones.size() > 1) {
                assertEquals(1, zones.stream().map(address -> Integer.parseInt(address.substring(1)) % 2).distinct().count(),
                        "zones of keyed work about one key at one gateway");
            }
        }
        return hot;
    }

    /** Whatever a gateway believes of how many there are: a key that is more than a host's part is spread by its traffic. */
    @ParameterizedTest
    @CsvSource({"60, 60, 200, 200, SAFE, false", "60, 6, 200, 200, SAFE, false", "60, 600, 200, 200, SAFE, false",
        "60, 60, 200, 200, KEYED, false", "60, 60, 200, 200, SAFE, true", "100, 100, 40, 100, SAFE, false",
        "3, 3, 200, 3000, SAFE, false"})
    void aPopularKeyBringsNoHostMoreThanItsPartAgain(int gateways, int told, int hosts, int requests, Repeat repeat, boolean uneven) {
        Map<String, Integer> hot = play(gateways, told, hosts, requests, 0.05, repeat, uneven);
        double mean = (double) gateways * requests / hosts;
        int most = hot.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(hot.values().stream().mapToInt(Integer::intValue).sum() > 0.8 * 0.05 * gateways * requests, "served " + hot);
        assertTrue(most < 2 * mean, "most of the key at one host: " + most + ", all that a host has on the mean: " + mean);
    }

    /** One whose traffic is small stays where its work is warm. */
    @Test
    void aKeyOfLittleTrafficStaysAtItsHost() {
        Gateway gateway = gateway(0, 1, 1).start(10);
        gateway.serve(2_000, 5_000, 20_000);
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            gateway.request(HOT);
            met.add(gateway.last().address());
            gateway.end(gateway.last(), Outcome.DELIVERED, 20_000);
            gateway.serve(50, 5_000, 20_000);
        }
        assertEquals(1, met.size(), "hosts of a key with a fiftieth of a host's traffic");
    }

    /**
     * A hundred gateways are told of one cold host in the same moment, and all traffic is about one key: the worst that can
     * come together. What the host bears: three times the part of its capacity that it has, and two seconds of that in store.
     */
    @Test
    void gatewaysThatAreToldOfAColdHostAtOnceDontPushItOver() {
        int fallen = 0;
        long sent = 0;
        for (int seed = 0; seed < 150; seed++) {
            List<Long> times = new ArrayList<>();
            long born = 0;
            for (int i = 0; i < 100; i++) {
                Gateway gateway = gateway(i, seed % 2 == 0 ? 100 : 1, seed * 100L + i).start(10);
                SplittableRandom random = new SplittableRandom(seed * 100L + i);
                gateway.serve(20, 100_000, 20_000);  // of a host: one a second and gateway
                born = gateway.now;
                gateway.list(ListForm.DELTA, Gateway.up(11, born));
                for (int k = 0; k < 20; k++) {
                    gateway.advance((long) (-100_000 * Math.log(1 - random.nextDouble())));
                    int before = gateway.sent.size();
                    gateway.request(HOT + seed);
                    if (gateway.sent.size() > before) {
                        if (gateway.last().address().equals("h11")) {
                            times.add(gateway.now);
                        }
                        gateway.end(gateway.last(), Outcome.DELIVERED, 20_000);
                    }
                }
            }
            sent += times.size();
            fallen += fell(times, born, 100) ? 1 : 0;
        }
        assertEquals(0, fallen, "of 150 cold hosts");
        assertTrue(sent > 150 * 20, "sent to cold hosts in all: " + sent);
    }

    /**
     * Fourteen gateways of sixty requests a second, three tenths of them about one key, and twenty hosts, one of which, or a whole zone
     * of which, is cold from one moment on; some gateways have only just started. Nobody falls, and what the rest can take is served.
     */
    @ParameterizedTest
    @CsvSource({"500, 1, 0", "100, 10, 0", "100, 10, 10"})
    void aZoneThatComesBackColdIsNotPushedOver(int seeds, int coldHosts, int started) {
        int fallen = 0;
        int asked = 0;
        int taken = 0;
        long sentCold = 0;
        for (int seed = 0; seed < seeds; seed++) {
            Map<String, List<Long>> times = new HashMap<>();
            long born = 0;
            for (int i = 0; i < 14; i++) {
                Gateway gateway = gateway(i, 14, seed * 14L + i).start(20);
                SplittableRandom random = new SplittableRandom(seed * 14L + i);
                if (i >= started) {
                    gateway.serve(60, 17_000, 20_000);
                } else {
                    gateway.advance(60 * 17_000);
                }
                born = gateway.now;
                Host[] back = new Host[coldHosts];
                for (int k = 0; k < coldHosts; k++) {
                    back[k] = Gateway.up(2 * k + 1, born);
                }
                gateway.list(ListForm.DELTA, back);
                for (int k = 0; k < 180; k++) {
                    gateway.advance((long) (-17_000 * Math.log(1 - random.nextDouble())));
                    int before = gateway.sent.size();
                    gateway.request(random.nextDouble() < 0.3 ? HOT + seed : random.nextLong());
                    asked++;
                    if (gateway.sent.size() > before) {
                        taken++;
                        times.computeIfAbsent(gateway.last().address(), address -> new ArrayList<>()).add(gateway.now);
                        gateway.end(gateway.last(), Outcome.DELIVERED, 20_000);
                    }
                }
            }
            for (int k = 0; k < coldHosts; k++) {
                List<Long> of = times.getOrDefault("h" + (2 * k + 1), List.of());
                sentCold += of.size();
                fallen += fell(of, born, 80) ? 1 : 0;  // of a host's 42 a second when all are warm
            }
        }
        assertEquals(0, fallen, "of " + seeds * coldHosts + " cold hosts");
        assertTrue(taken > 0.99 * asked, "taken " + taken + " of " + asked);
        assertTrue(sentCold > 5L * seeds * coldHosts, "sent to cold hosts in all: " + sentCold);
    }

    private static boolean fell(List<Long> times, long born, double capacity) {
        double bucket = 0;
        long at = born;
        for (long time : times.stream().sorted().toList()) {
            double filling = 3 * capacity * (0.2 + 0.8 * (time - born) / 10e6);
            bucket = Math.min(2 * filling, bucket + filling * (time - at) / 1e6) - 1;
            at = time;
            if (bucket < 0 && time > born) {
                return true;
            }
        }
        return false;
    }

    /** Hosts come, go and start again by the hundred: each is reached while it is up, and nobody who is gone. */
    @Test
    void placesFollowAListThatChangesAllTheTime() {
        Gateway gateway = gateway(0, 1, 3).start(400);
        SplittableRandom random = new SplittableRandom(5);
        Set<Integer> up = new HashSet<>(LongStream.range(0, 400).mapToObj(i -> (int) i).toList());
        for (int step = 0; step < 100; step++) {
            List<Host> changes = new ArrayList<>();
            for (int i = 0; i < 15; i++) {
                int host = random.nextInt(440);
                boolean goes = random.nextBoolean();
                changes.add(Gateway.host(host, goes ? Health.GONE : Health.UP, goes ? 0 : Math.max(1, gateway.now - 20_000_000)));
                if (goes) {
                    up.remove(host);
                } else {
                    up.add(host);
                }
            }
            gateway.module.hosts(gateway.now, ListForm.DELTA, changes);
            gateway.advance(600_000);
            for (int i = 0; i < 20; i++) {
                gateway.request(random.nextLong());
                assertTrue(up.contains(Integer.parseInt(gateway.last().address().substring(1))), gateway.last().address());
                gateway.end(gateway.last(), Outcome.DELIVERED, 20_000);
            }
        }
        gateway.advance(19_000_000);  // a start that a change tells counts as no older than 6 s, whatever it says itself: so long until the last is warm
        Set<String> met = new HashSet<>();
        for (int i = 0; i < 20_000; i++) {
            gateway.request(random.nextLong());
            met.add(gateway.last().address());
            gateway.end(gateway.last(), Outcome.DELIVERED, 20_000);
        }
        assertEquals(up.size(), met.size(), "hosts that were met");
    }
}
