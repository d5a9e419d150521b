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

/** Many gateways, each of which sees little of the traffic of a key and of a host. */
class LargeFleetTest {

    private static final long POPULAR_KEY = 77;

    private static FakeGateway gateway(int number, int count, long seed) {
        FakeGateway gateway = new FakeGateway();
        gateway.gatewayNumber = number;
        gateway.gateways = count;
        gateway.seed = seed;
        gateway.probesAllowed = false;
        return gateway;
    }

    /**
     * Counts the sends of the popular key by host, over all gateways; where {@code uneven}, a gateway's traffic grows
     * with its number.
     */
    private static Map<String, Integer> sendsOfPopularKey(int gateways, int assumedGateways, int hosts, int requests,
            double popularFraction, Repeat repeat, boolean uneven) {
        Map<String, Integer> sendsByHost = new HashMap<>();
        for (int i = 0; i < gateways; i++) {
            FakeGateway gateway = gateway(i, assumedGateways, i);
            gateway.repeat = repeat;
            gateway.group = Group.ZONE;
            gateway.start(hosts);
            SplittableRandom random = new SplittableRandom(i);
            Set<String> hostsOfKey = new HashSet<>();
            int requestsHere = uneven ? requests * 2 * (i + 1) / (gateways + 1) : requests;
            for (int k = 0; k < requestsHere; k++) {
                boolean popular = random.nextDouble() < popularFraction;
                int before = gateway.sent.size();
                gateway.request(popular ? POPULAR_KEY : random.nextLong());
                gateway.advance(20_000_000 / requestsHere);
                if (gateway.sent.size() > before) {
                    if (popular) {
                        sendsByHost.merge(gateway.lastAttempt().address(), 1, Integer::sum);
                        hostsOfKey.add(gateway.lastAttempt().address());
                    }
                    gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 20_000);
                }
            }
            if (repeat == Repeat.KEYED && hostsOfKey.size() > 1) {
                assertEquals(1, hostsOfKey.stream().map(address -> Integer.parseInt(address.substring(1)) % 2)
                        .distinct().count(),
                        "zones of keyed work about one key at one gateway");
            }
        }
        return sendsByHost;
    }

    /** However many gateways a gateway believes there are: a key with more traffic than a host's part is spread. */
    @ParameterizedTest
    @CsvSource({"60, 60, 200, 200, SAFE, false", "60, 6, 200, 200, SAFE, false", "60, 600, 200, 200, SAFE, false",
        "60, 60, 200, 200, KEYED, false", "60, 60, 200, 200, SAFE, true", "100, 100, 40, 100, SAFE, false",
        "3, 3, 200, 3000, SAFE, false"})
    void popularKeyBringsNoHostMoreThanTwiceItsPart(int gateways, int assumedGateways, int hosts, int requests,
            Repeat repeat, boolean uneven) {
        Map<String, Integer> sendsByHost = sendsOfPopularKey(gateways, assumedGateways, hosts, requests, 0.05, repeat,
                uneven);
        double mean = (double) gateways * requests / hosts;
        int most = sendsByHost.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(sendsByHost.values().stream().mapToInt(Integer::intValue).sum() > 0.8 * 0.05 * gateways * requests,
                "served " + sendsByHost);
        assertTrue(most < 2 * mean, "most of the key at one host: " + most + ", all that a host has on the mean: "
                + mean);
    }

    /** A key of little traffic stays with the host that has its work warm. */
    @Test
    void keyOfLittleTrafficStaysAtItsHost() {
        FakeGateway gateway = gateway(0, 1, 1).start(10);
        gateway.serve(2_000, 5_000, 20_000);
        Set<String> hostsOfKey = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            gateway.request(POPULAR_KEY);
            hostsOfKey.add(gateway.lastAttempt().address());
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 20_000);
            gateway.serve(50, 5_000, 20_000);
        }
        assertEquals(1, hostsOfKey.size(), "hosts of a key with a fiftieth of a host's traffic");
    }

    /**
     * A hundred gateways learn of one cold host at the same time, and all traffic has one key: the worst case. The host
     * bears three times the fraction of its capacity that it has, and two seconds of that at once.
     */
    @Test
    void coldHostIsNotOverloadedWhenAllGatewaysLearnOfItAtOnce() {
        int overloaded = 0;
        long sent = 0;
        for (int seed = 0; seed < 150; seed++) {
            List<Long> times = new ArrayList<>();
            long born = 0;
            for (int i = 0; i < 100; i++) {
                FakeGateway gateway = gateway(i, seed % 2 == 0 ? 100 : 1, seed * 100L + i).start(10);
                SplittableRandom random = new SplittableRandom(seed * 100L + i);
                gateway.serve(20, 100_000, 20_000);  // to a host: one request a second from each gateway
                born = gateway.now;
                gateway.deliverHosts(ListForm.DELTA, FakeGateway.upHost(11, born));
                for (int k = 0; k < 20; k++) {
                    gateway.advance((long) (-100_000 * Math.log(1 - random.nextDouble())));
                    int before = gateway.sent.size();
                    gateway.request(POPULAR_KEY + seed);
                    if (gateway.sent.size() > before) {
                        if (gateway.lastAttempt().address().equals("h11")) {
                            times.add(gateway.now);
                        }
                        gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 20_000);
                    }
                }
            }
            sent += times.size();
            overloaded += isOverloaded(times, born, 100) ? 1 : 0;
        }
        assertEquals(0, overloaded, "overloaded of 150 cold hosts");
        assertTrue(sent > 150 * 20, "sent to all cold hosts: " + sent);
    }

    /**
     * Fourteen gateways with sixty requests a second, three tenths of them with one key, and twenty hosts, of which one
     * or a whole zone becomes cold at one moment; some gateways have only just started. No host may be overloaded, and
     * what the others can serve is served.
     */
    @ParameterizedTest
    @CsvSource({"500, 1, 0", "100, 10, 0", "100, 10, 10"})
    void zoneThatReturnsColdIsNotOverloaded(int seeds, int coldHosts, int youngGateways) {
        int overloaded = 0;
        int requested = 0;
        int sent = 0;
        long sentCold = 0;
        for (int seed = 0; seed < seeds; seed++) {
            Map<String, List<Long>> times = new HashMap<>();
            long born = 0;
            for (int i = 0; i < 14; i++) {
                FakeGateway gateway = gateway(i, 14, seed * 14L + i).start(20);
                SplittableRandom random = new SplittableRandom(seed * 14L + i);
                if (i >= youngGateways) {
                    gateway.serve(60, 17_000, 20_000);
                } else {
                    gateway.advance(60 * 17_000);
                }
                born = gateway.now;
                Host[] back = new Host[coldHosts];
                for (int k = 0; k < coldHosts; k++) {
                    back[k] = FakeGateway.upHost(2 * k + 1, born);
                }
                gateway.deliverHosts(ListForm.DELTA, back);
                for (int k = 0; k < 180; k++) {
                    gateway.advance((long) (-17_000 * Math.log(1 - random.nextDouble())));
                    int before = gateway.sent.size();
                    gateway.request(random.nextDouble() < 0.3 ? POPULAR_KEY + seed : random.nextLong());
                    requested++;
                    if (gateway.sent.size() > before) {
                        sent++;
                        times.computeIfAbsent(gateway.lastAttempt().address(), address -> new ArrayList<>())
                                .add(gateway.now);
                        gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 20_000);
                    }
                }
            }
            for (int k = 0; k < coldHosts; k++) {
                List<Long> of = times.getOrDefault("h" + (2 * k + 1), List.of());
                sentCold += of.size();
                overloaded += isOverloaded(of, born, 80) ? 1 : 0;  // of a host's 42 requests a second when all are warm
            }
        }
        assertEquals(0, overloaded, "overloaded of " + seeds * coldHosts + " cold hosts");
        assertTrue(sent > 0.99 * requested, "sent " + sent + " of " + requested);
        assertTrue(sentCold > 5L * seeds * coldHosts, "sent to all cold hosts: " + sentCold);
    }

    private static boolean isOverloaded(List<Long> times, long born, double capacity) {
        double bucket = 0;
        long at = born;
        for (long time : times.stream().sorted().toList()) {
            double bearablePerSecond = 3 * capacity * (0.2 + 0.8 * (time - born) / 10e6);
            bucket = Math.min(2 * bearablePerSecond, bucket + bearablePerSecond * (time - at) / 1e6) - 1;
            at = time;
            if (bucket < 0 && time > born) {
                return true;
            }
        }
        return false;
    }

    /** Hosts join, leave and restart by the hundred: each must be reached while it is up, and none that has left. */
    @Test
    void everyUpHostIsReachedWhenTheListChangesAllTheTime() {
        FakeGateway gateway = gateway(0, 1, 3).start(400);
        SplittableRandom random = new SplittableRandom(5);
        Set<Integer> up = new HashSet<>(LongStream.range(0, 400).mapToObj(i -> (int) i).toList());
        for (int step = 0; step < 100; step++) {
            List<Host> changes = new ArrayList<>();
            for (int i = 0; i < 15; i++) {
                int host = random.nextInt(440);
                boolean goes = random.nextBoolean();
                changes.add(FakeGateway.host(host, goes ? Health.GONE : Health.UP,
                        goes ? 0 : Math.max(1, gateway.now - 20_000_000)));
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
                assertTrue(up.contains(Integer.parseInt(gateway.lastAttempt().address().substring(1))),
                        gateway.lastAttempt().address());
                gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 20_000);
            }
        }
        // A start reported by a change counts as no older than 6 s, whatever the host reports: this long until the last
        // host is warm.
        gateway.advance(19_000_000);
        Set<String> reached = new HashSet<>();
        for (int i = 0; i < 20_000; i++) {
            gateway.request(random.nextLong());
            reached.add(gateway.lastAttempt().address());
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 20_000);
        }
        assertEquals(up.size(), reached.size(), "hosts that were met");
    }
}
