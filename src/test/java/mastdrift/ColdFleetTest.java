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
 * Cold hosts under the sum of what all gateways send, none of which knows of the others. In any span of the settings' length a cold host bears N requests
 * of mean work, by the settings' multiple and the capacity that it has by then at the least; 2 x root of N and 2 more are put down to chance. Beyond that it
 * falls, and the rule is broken where over two thirds of that work came from gateways that had been told of its start.
 *
 * <p>The settings' figures, hosts and their capacity, gateways' parts of the traffic, which of them have just started, keys, and works are drawn from the
 * seed; gateways are real modules, driven by plain calls. Warm hosts are never asked for more than they can, or what they serve would say nothing of what a
 * cold one can.
 */
class ColdFleetTest {

    private static final long SECOND = 1_000_000;
    private static final long LEARNING = 6 * SECOND;  // before the start: gateways know by then what warm hosts serve
    private static final long YOUNG = 2 * SECOND;     // who has just started has had no more than that
    private static final long WATCHED = 6 * SECOND;   // behind it: the least is allowed at first
    private static final long LATEST = 3 * SECOND;    // behind the start a gateway is told, where not all are at once
    private static final long TRIP = 20_000;          // of an answer, by a warm host
    private static final double[] WORKS = {0.4, 0.8, 2.0};  // of classes, as parts of one another
    private static final double[] SIZES = {0.6, 1, 1.7};    // of kinds, likewise

    /** When gateways are told of a start, and of what. */
    private enum Told { AT_ONCE, LATE, OF_A_RESTART_AT_ONCE, OF_A_RESTART_LATE }

    /** What came to a cold host. */
    private record Came(int host, long at, double work, boolean told) { }

    /** An answer on its way. */
    private record Due(long at, Gateway.Sent sent, long elapsed) { }

    /** One site and its traffic, by a seed. */
    private static final class Draw {

        private final SplittableRandom random;
        private final int gateways;
        private final Told how;
        private final double coldFrom;
        private final long warmWithin;
        private final double multiple;
        private final long span;
        private final int hosts;
        private final int cold;
        private final double[] traffic;  // requests a second of each gateway
        private final boolean kinds;     // hosts are of several, and the list tells their sizes
        private final double capacity;   // requests of mean work a second of a warm host of size 1
        private final double young;      // part of the gateways that have just started
        private final double surge;      // times the traffic, from the start on
        private final double popular;    // part of the traffic that is about one key
        private final long hot;
        private final double hotWork;

        Draw(long seed, int gateways, Told how) {
            this.gateways = gateways;
            this.how = how;
            random = new SplittableRandom(seed);
            coldFrom = 0.1 + 0.3 * random.nextDouble();
            warmWithin = (8 + random.nextInt(17)) * SECOND;
            multiple = 2 + random.nextInt(3);
            span = (1 + random.nextInt(3)) * SECOND;
            hosts = 8 + random.nextInt(9);
            cold = random.nextBoolean() ? 1 : hosts / 4;
            double mean = (60 + random.nextInt(240)) / (double) gateways;
            traffic = new double[gateways];
            double sum = 0;
            for (int i = 0; i < gateways; i++) {  // a fifth of them have several times the mean
                traffic[i] = mean * (random.nextInt(5) == 0 ? 3 + 3 * random.nextDouble() : 0.3 + 0.7 * random.nextDouble());
                sum += traffic[i];
            }
            surge = 1 + 0.5 * random.nextDouble();
            young = random.nextBoolean() ? 0 : 0.4;
            double full = 0.5 + 0.5 * random.nextDouble();
            kinds = random.nextBoolean();
            double warm = 0;
            for (int i = 0; i < hosts - cold; i++) {
                warm += size(i);
            }
            capacity = sum * surge / full / warm;
            popular = new double[] {0, 0.2, 0.5, 1}[random.nextInt(4)];
            hot = atHome();
            hotWork = popular == 1 ? 1 : WORKS[random.nextInt(WORKS.length)];
        }

        /** A key whose place is at a host that will be cold. */
        private long atHome() {
            Gateway warm = new Gateway();
            start(warm, hosts);
            while (true) {
                long key = random.nextLong();
                warm.request(key);
                warm.end(warm.last(), Outcome.DELIVERED, TRIP);
                if (Integer.parseInt(warm.last().address().substring(1)) >= hosts - cold) {
                    return key;
                }
            }
        }

        /** The time of the start, by every gateway's clock. */
        static long born() {
            return SECOND + LEARNING;
        }

        private double work(boolean ofHot, double mean) {
            return ofHot ? hotWork : WORKS[random.nextInt(WORKS.length)] / mean;
        }

        private double size(int host) {
            return kinds ? SIZES[host % SIZES.length] : 1;
        }

        /** Those that will be cold come last. */
        private Host host(int i, long born) {
            Host plain = Gateway.up(i, born);
            return !kinds ? plain : new Host(plain.address(), plain.zone(), plain.cell(), "kind" + i % SIZES.length, size(i), plain.health(), born);
        }

        private void start(Gateway gateway, int known) {
            gateway.weights = kinds ? Weights.NOMINAL : Weights.OFF;
            gateway.start(0);
            Host[] list = new Host[known];
            Arrays.setAll(list, i -> host(i, 0));
            gateway.list(ListForm.CACHED, list);
        }

        /** What one gateway sends to cold hosts. */
        void play(int me, List<Came> came) {
            Gateway gateway = new Gateway();
            gateway.me = me;
            gateway.gateways = gateways;
            gateway.seed = random.nextLong();
            gateway.probing = false;
            gateway.coldFrom = coldFrom;
            gateway.warmWithin = warmWithin;
            gateway.fallMultiple = multiple;
            gateway.fallSpan = span;
            if (random.nextDouble() < young) {
                gateway.now = born() - random.nextLong(YOUNG);
            }
            boolean restart = how == Told.OF_A_RESTART_AT_ONCE || how == Told.OF_A_RESTART_LATE;
            start(gateway, restart ? hosts : hosts - cold);
            boolean late = how == Told.LATE || how == Told.OF_A_RESTART_LATE;
            long toldAt = born() + (late ? random.nextLong(LATEST) : 0);
            boolean told = false;
            double mean = (WORKS[0] + WORKS[1] + WORKS[2]) / WORKS.length;
            PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at));
            double rate = traffic[me];
            for (long at = gateway.now; at < born() + WATCHED; ) {
                at += (long) (-SECOND / (at < born() ? rate : rate * surge) * Math.log(1 - random.nextDouble()));
                while (!due.isEmpty() && due.peek().at() <= at) {
                    told = told || tell(gateway, toldAt, due.peek().at());
                    Due next = due.poll();
                    gateway.advance(Math.max(0, next.at() - gateway.now));
                    gateway.end(next.sent(), Outcome.DELIVERED, next.elapsed());
                }
                told = told || tell(gateway, toldAt, at);
                gateway.advance(Math.max(0, at - gateway.now));
                boolean ofHot = random.nextDouble() < popular;
                double work = work(ofHot, mean);
                int before = gateway.sent.size();
                gateway.request(ofHot ? hot : random.nextLong());
                if (gateway.sent.size() > before) {
                    Gateway.Sent sent = gateway.last();
                    int host = Integer.parseInt(sent.address().substring(1));
                    boolean isCold = host >= hosts - cold && at >= born();
                    long elapsed = (long) (TRIP / (isCold ? warmth(at) : 1));
                    due.add(new Due(at + elapsed, sent, elapsed));
                    if (isCold) {
                        came.add(new Came(host, at, work, told));
                    }
                }
            }
        }

        private boolean tell(Gateway gateway, long toldAt, long by) {
            if (toldAt > by) {
                return false;
            }
            gateway.advance(Math.max(0, toldAt - gateway.now));
            Host[] started = new Host[cold];
            Arrays.setAll(started, i -> host(hosts - cold + i, born()));
            gateway.list(ListForm.DELTA, started);
            return true;
        }

        double warmth(long at) {
            return Math.min(1, coldFrom + (1 - coldFrom) * (at - born()) / warmWithin);
        }

        /** What a cold host bears in the span that ends then, by the capacity that it had at the span's begin. */
        double bears(int host, long until) {
            return multiple * capacity * size(host) * warmth(Math.max(born(), until - span)) * span / SECOND;
        }
    }

    /** What came of a draw: the first falls that broke the rule, all first falls, and of what is allowed, chance included, the most that came in any span
        mostly from those that had been told. */
    private record Result(int broken, int fallen, double most, int sent) { }

    private static Result play(long seed, int gateways, Told how) {
        Draw draw = new Draw(seed, gateways, how);
        List<Came> all = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            draw.play(i, all);
        }
        int broken = 0;
        int fallen = 0;
        double most = 0;
        for (int host = draw.hosts - draw.cold; host < draw.hosts; host++) {
            int number = host;
            List<Came> came = all.stream().filter(each -> each.host() == number).sorted(Comparator.comparingLong(Came::at)).toList();
            double work = 0;
            double told = 0;
            int from = 0;
            boolean down = false;
            for (Came each : came) {
                work += each.work();
                told += each.told() ? each.work() : 0;
                for (; came.get(from).at() <= each.at() - draw.span; from++) {
                    work -= came.get(from).work();
                    told -= came.get(from).told() ? came.get(from).work() : 0;
                }
                double bears = draw.bears(host, each.at());
                double allowed = bears + 2 * Math.sqrt(bears) + 2;
                boolean byTold = told > 2.0 / 3 * work;
                most = byTold ? Math.max(most, work / allowed) : most;
                if (work > allowed && !down) {
                    down = true;
                    fallen++;
                    broken += byTold ? 1 : 0;
                }
            }
        }
        return new Result(broken, fallen, most, all.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 40", "2, 40", "3, 40", "5, 40", "10, 30", "20, 30", "30, 30", "100, 15"})
    void theSumOfAllGatewaysPushesNoColdHostOver(int gateways, int seeds) {
        for (Told how : Told.values()) {
            int broken = 0;
            int fallen = 0;
            double most = 0;
            long sent = 0;
            for (int seed = 0; seed < seeds; seed++) {
                Result result = play(1_000L * gateways + seed, gateways, how);
                broken += result.broken();
                fallen += result.fallen();
                most = Math.max(most, result.most());
                sent += result.sent();
            }
            assertTrue(sent > 5L * seeds, "sent to cold hosts in all: " + sent);
            assertEquals(0, broken, how + " by " + gateways + " gateways, " + seeds + " seeds; fallen in all " + fallen + ", most " + most);
        }
    }
}
