package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Weights;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Cold hosts under the sum of what all gateways send, none of which knows of the others. In any {@code fallSpan} of the
 * settings, a cold host bears N requests of mean work, by the settings' multiple and the least capacity that it has by
 * then; 2 times the root of N, and 2 more, are attributed to chance. Beyond that it is overloaded, and the rule is
 * broken if more than two thirds of that work came from gateways that had been told of its start.
 * <p>The settings, the hosts and their capacity, the gateways' parts of the traffic, which of them have just started,
 * the keys and the work of requests are drawn from the seed; gateways are real modules, driven by plain calls. Warm
 * hosts are never asked for more than they can serve, or the rate that they serve would not show what a cold host can.
 */
class ColdFleetTest {

    private static final long SECOND_MICROS = 1_000_000;
    // Before the start: by then gateways know what warm hosts serve.
    private static final long WARM_UP_MICROS = 6 * SECOND_MICROS;
    // A gateway that has just started has run for less than this.
    private static final long MAX_YOUNG_AGE_MICROS = 2 * SECOND_MICROS;
    // After the start, when the least is allowed.
    private static final long WATCHED_SPAN_MICROS = 6 * SECOND_MICROS;
    // Latest time after the start at which a gateway is told, where not all are told at once.
    private static final long MAX_REPORT_DELAY_MICROS = 3 * SECOND_MICROS;
    // Latency of an answer by a warm host.
    private static final long WARM_LATENCY_MICROS = 20_000;
    // Work of the request classes, relative to one another.
    private static final double[] CLASS_WORK = {0.4, 0.8, 2.0};
    // Sizes of the machine kinds, relative to one another.
    private static final double[] KIND_SIZES = {0.6, 1, 1.7};

    /** When gateways are told of a start, and whether it is that of a new host or a restart. */
    private enum StartReport { AT_ONCE, LATE, OF_A_RESTART_AT_ONCE, OF_A_RESTART_LATE }

    /** One request that a cold host received; {@code told} if its gateway knew of the start. */
    private record ReceivedRequest(int host, long at, double work, boolean told) { }

    /** An outstanding answer. */
    private record DueAnswer(long answeredAt, FakeGateway.SentAttempt sent, long elapsed) { }

    /** One site and its traffic, drawn from a seed. */
    private static final class Scenario {

        private final SplittableRandom random;
        private final int gateways;
        private final StartReport startReport;
        private final double coldFrom;
        private final long warmWithinMicros;
        private final double fallMultiple;
        private final long fallSpanMicros;
        private final int hosts;
        private final int coldHosts;
        private final double[] requestsPerSecond;  // requests a second of each gateway
        private final boolean hasKinds;  // hosts are of several kinds, and the list has their sizes
        private final double capacity;  // requests of mean work a second of a warm host of size 1
        private final double youngFraction;  // fraction of the gateways that have just started
        private final double surgeMultiple;  // multiple of the traffic from the start on
        private final double popularFraction;  // fraction of the traffic with the one popular key
        private final long popularKey;
        private final double popularWork;

        Scenario(long seed, int gateways, StartReport startReport) {
            this.gateways = gateways;
            this.startReport = startReport;
            random = new SplittableRandom(seed);
            coldFrom = 0.1 + 0.3 * random.nextDouble();
            warmWithinMicros = (8 + random.nextInt(17)) * SECOND_MICROS;
            fallMultiple = 2 + random.nextInt(3);
            fallSpanMicros = (1 + random.nextInt(3)) * SECOND_MICROS;
            hosts = 8 + random.nextInt(9);
            coldHosts = random.nextBoolean() ? 1 : hosts / 4;
            double mean = (60 + random.nextInt(240)) / (double) gateways;
            requestsPerSecond = new double[gateways];
            double trafficSum = 0;
            for (int i = 0; i < gateways; i++) {  // a fifth of them have several times the mean
                requestsPerSecond[i] = mean * (random.nextInt(5) == 0 ? 3 + 3 * random.nextDouble()
                        : 0.3 + 0.7 * random.nextDouble());
                trafficSum += requestsPerSecond[i];
            }
            surgeMultiple = 1 + 0.5 * random.nextDouble();
            youngFraction = random.nextBoolean() ? 0 : 0.4;
            double utilization = 0.5 + 0.5 * random.nextDouble();
            hasKinds = random.nextBoolean();
            double warmSize = 0;
            for (int i = 0; i < hosts - coldHosts; i++) {
                warmSize += size(i);
            }
            capacity = trafficSum * surgeMultiple / utilization / warmSize;
            popularFraction = new double[] {0, 0.2, 0.5, 1}[random.nextInt(4)];
            popularKey = keyOfAColdHost();
            popularWork = popularFraction == 1 ? 1 : CLASS_WORK[random.nextInt(CLASS_WORK.length)];
        }

        /** Returns a key whose server is one that will be cold. */
        private long keyOfAColdHost() {
            FakeGateway gateway = new FakeGateway();
            start(gateway, hosts);
            while (true) {
                long key = random.nextLong();
                gateway.request(key);
                gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, WARM_LATENCY_MICROS);
                if (Integer.parseInt(gateway.lastAttempt().address().substring(1)) >= hosts - coldHosts) {
                    return key;
                }
            }
        }

        /** The time of the start, on every gateway's clock. */
        static long startTime() {
            return SECOND_MICROS + WARM_UP_MICROS;
        }

        private double work(boolean isPopular, double meanWork) {
            return isPopular ? popularWork : CLASS_WORK[random.nextInt(CLASS_WORK.length)] / meanWork;
        }

        private double size(int host) {
            return hasKinds ? KIND_SIZES[host % KIND_SIZES.length] : 1;
        }

        /** Hosts that will be cold come last. */
        private Host host(int i, long born) {
            Host plain = FakeGateway.upHost(i, born);
            return !hasKinds ? plain : new Host(plain.address(), plain.zone(), plain.cell(),
                    "kind" + i % KIND_SIZES.length, size(i), plain.health(), born);
        }

        private void start(FakeGateway gateway, int hostCount) {
            gateway.weights = hasKinds ? Weights.NOMINAL : Weights.OFF;
            gateway.start(0);
            Host[] list = new Host[hostCount];
            Arrays.setAll(list, i -> host(i, 0));
            gateway.deliverHosts(ListForm.CACHED, list);
        }

        /** Runs one gateway and records what it sends to cold hosts. */
        void runGateway(int gatewayNumber, List<ReceivedRequest> received) {
            FakeGateway gateway = new FakeGateway();
            gateway.gatewayNumber = gatewayNumber;
            gateway.gateways = gateways;
            gateway.seed = random.nextLong();
            gateway.probesAllowed = false;
            gateway.coldFrom = coldFrom;
            gateway.warmWithin = warmWithinMicros;
            gateway.fallMultiple = fallMultiple;
            gateway.fallSpan = fallSpanMicros;
            if (random.nextDouble() < youngFraction) {
                gateway.now = startTime() - random.nextLong(MAX_YOUNG_AGE_MICROS);
            }
            boolean restart = startReport == StartReport.OF_A_RESTART_AT_ONCE
                    || startReport == StartReport.OF_A_RESTART_LATE;
            start(gateway, restart ? hosts : hosts - coldHosts);
            boolean late = startReport == StartReport.LATE || startReport == StartReport.OF_A_RESTART_LATE;
            long toldAt = startTime() + (late ? random.nextLong(MAX_REPORT_DELAY_MICROS) : 0);
            boolean told = false;
            double meanWork = (CLASS_WORK[0] + CLASS_WORK[1] + CLASS_WORK[2]) / CLASS_WORK.length;
            PriorityQueue<DueAnswer> due = new PriorityQueue<>(Comparator.comparingLong(DueAnswer::answeredAt));
            double rate = requestsPerSecond[gatewayNumber];
            for (long at = gateway.now; at < startTime() + WATCHED_SPAN_MICROS; ) {
                at += (long) (-SECOND_MICROS / (at < startTime() ? rate
                        : rate * surgeMultiple) * Math.log(1 - random.nextDouble()));
                while (!due.isEmpty() && due.peek().answeredAt() <= at) {
                    told = told || reportStart(gateway, toldAt, due.peek().answeredAt());
                    DueAnswer next = due.poll();
                    gateway.advance(Math.max(0, next.answeredAt() - gateway.now));
                    gateway.resolve(next.sent(), Outcome.DELIVERED, next.elapsed());
                }
                told = told || reportStart(gateway, toldAt, at);
                gateway.advance(Math.max(0, at - gateway.now));
                boolean isPopular = random.nextDouble() < popularFraction;
                double work = work(isPopular, meanWork);
                int before = gateway.sent.size();
                gateway.request(isPopular ? popularKey : random.nextLong());
                if (gateway.sent.size() > before) {
                    FakeGateway.SentAttempt sent = gateway.lastAttempt();
                    int host = Integer.parseInt(sent.address().substring(1));
                    boolean isCold = host >= hosts - coldHosts && at >= startTime();
                    long elapsed = (long) (WARM_LATENCY_MICROS / (isCold ? capacityFraction(at) : 1));
                    due.add(new DueAnswer(at + elapsed, sent, elapsed));
                    if (isCold) {
                        received.add(new ReceivedRequest(host, at, work, told));
                    }
                }
            }
        }

        private boolean reportStart(FakeGateway gateway, long toldAt, long by) {
            if (toldAt > by) {
                return false;
            }
            gateway.advance(Math.max(0, toldAt - gateway.now));
            Host[] started = new Host[coldHosts];
            Arrays.setAll(started, i -> host(hosts - coldHosts + i, startTime()));
            gateway.deliverHosts(ListForm.DELTA, started);
            return true;
        }

        double capacityFraction(long at) {
            return Math.min(1, coldFrom + (1 - coldFrom) * (at - startTime()) / warmWithinMicros);
        }

        /** Work that a cold host bears in the span that ends then, by its capacity at the beginning of the span. */
        double bearableWork(int host, long until) {
            return fallMultiple * capacity * size(host)
                    * capacityFraction(Math.max(startTime(), until - fallSpanMicros)) * fallSpanMicros / SECOND_MICROS;
        }
    }

    /**
     * The result for one seed: first overloads that broke the rule, all first overloads, and the largest work, as a
     * fraction of what is allowed (chance included), that came in any span mostly from gateways that had been told.
     */
    private record Result(int broken, int overloaded, double maxLoad, int sent) { }

    private static Result run(long seed, int gateways, StartReport startReport) {
        Scenario scenario = new Scenario(seed, gateways, startReport);
        List<ReceivedRequest> received = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            scenario.runGateway(i, received);
        }
        int broken = 0;
        int overloaded = 0;
        double maxLoad = 0;
        for (int host = scenario.hosts - scenario.coldHosts; host < scenario.hosts; host++) {
            int number = host;
            List<ReceivedRequest> toHost = received.stream().filter(each -> each.host() == number)
                    .sorted(Comparator.comparingLong(ReceivedRequest::at)).toList();
            double work = 0;
            double told = 0;
            int from = 0;
            boolean down = false;
            for (ReceivedRequest each : toHost) {
                work += each.work();
                told += each.told() ? each.work() : 0;
                for (; toHost.get(from).at() <= each.at() - scenario.fallSpanMicros; from++) {
                    work -= toHost.get(from).work();
                    told -= toHost.get(from).told() ? toHost.get(from).work() : 0;
                }
                double bearable = scenario.bearableWork(host, each.at());
                double allowed = bearable + 2 * Math.sqrt(bearable) + 2;
                boolean byTold = told > 2.0 / 3 * work;
                maxLoad = byTold ? Math.max(maxLoad, work / allowed) : maxLoad;
                if (work > allowed && !down) {
                    down = true;
                    overloaded++;
                    broken += byTold ? 1 : 0;
                }
            }
        }
        return new Result(broken, overloaded, maxLoad, received.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 40", "2, 40", "3, 40", "5, 40", "10, 30", "20, 30", "30, 30", "100, 15"})
    void gatewaysTogetherOverloadNoColdHost(int gateways, int seeds) {
        for (StartReport startReport : StartReport.values()) {
            int broken = 0;
            int overloaded = 0;
            double maxLoad = 0;
            long sent = 0;
            for (int seed = 0; seed < seeds; seed++) {
                Result result = run(1_000L * gateways + seed, gateways, startReport);
                broken += result.broken();
                overloaded += result.overloaded();
                maxLoad = Math.max(maxLoad, result.maxLoad());
                sent += result.sent();
            }
            assertTrue(sent > 5L * seeds, "sent to all cold hosts: " + sent);
            assertEquals(0, broken, startReport + " by " + gateways + " gateways, " + seeds
                    + " seeds; overloaded in all " + overloaded + ", most " + maxLoad);
        }
    }
}
