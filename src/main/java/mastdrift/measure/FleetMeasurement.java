package mastdrift.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import mastdrift.Balance;
import mastdrift.Balancer;
import mastdrift.Balancer.Cpu;
import mastdrift.Balancer.Goal;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Habits;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Prices;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.Reports;
import mastdrift.Balancer.Request;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Site;
import mastdrift.Balancer.Value;
import mastdrift.Balancer.Weights;
import org.HdrHistogram.Histogram;

/** How long the module holds the loop up with a long list: each event timed by itself, on a made-up clock. The module is deterministic, the
    times are this machine's. Arguments: hosts (10000), seconds played (120). */
public final class FleetMeasurement {

    private static final int RATE = 200;
    private static final long STEP = 1_000_000 / RATE;
    private static final int BATCH = 500;
    private static final long SERVING = 250_000;

    private final Balancer module = new Balance();
    private final SplittableRandom random = new SplittableRandom(7);
    private final List<Sent> out = new ArrayList<>();
    private final Histogram requests = new Histogram(3);
    private final Histogram refreshes = new Histogram(3);
    private final Histogram changes = new Histogram(3);
    private final Histogram lists = new Histogram(3);
    private final int hosts;
    private long now = 1_000_000_000L;
    private long timerAt = Long.MAX_VALUE;

    private record Sent(long id, String address, long at) { }

    private FleetMeasurement(int hosts) {
        this.hosts = hosts;
    }

    private final class Asked implements Balancer.Actions {
        @Override
        public void send(long id, String address, long timeout, long leaveWithin) {
            out.add(new Sent(id, address, now));
        }

        @Override
        public void cancel(long id, int attempt) { }

        @Override
        public void refuse(long id, long retryAfter, Balancer.Why why) { }

        @Override
        public void fail(long id) { }

        @Override
        public void timer(long at, String handle) {
            timerAt = at;
        }

        @Override
        public void probe(String address) { }

        @Override
        public void watch(boolean active) { }

        @Override
        public void fetch() { }

        @Override
        public void closeIdle(String address) { }

        @Override
        public void tell(int peer, byte[] message) { }

        @Override
        public void log(String line) { }
    }

    private static Settings settings() {
        RequestClass read = new RequestClass("read", 2_500_000, 0, 6_000_000, 1, 0.5, Repeat.SAFE, Group.ALL, 0, false);
        return new Settings(List.of(read), List.of(), new Limits(true, false, true, false, 4, 20_000, true, 2_000_000),
                new Links(250_000, 15_000_000, 1), new Cpu(Long.MAX_VALUE, 0),
                new Rules(50_000, 250_000, 0, 0.13, 24_000_000, 3, 2_000_000),
                new Value(new Goal(0.4, 0.1, 0.1, 0.4), new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 0.05, false),
                new Site(0, 100, "bilbao", List.of("bilbao", "oviedo"), List.of("one"), 0, List.of()),
                new Habits(true, false, Reports.OFF, List.of(), false), false, Weights.NOMINAL, "", 0, 1);
    }

    private static Host host(int i, Health health, long born) {
        return new Host("n-" + i, i % 2 == 0 ? "bilbao" : "oviedo", 0, "one", 1, health, born);
    }

    private void timed(Histogram of, boolean counts, Runnable event) {
        long begun = System.nanoTime();
        event.run();
        if (counts) {
            of.recordValue((System.nanoTime() - begun) / 1_000);
        }
    }

    private void play(int seconds) {
        module.start(now, settings(), new Asked());
        List<Host> all = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            all.add(host(i, Health.UP, 0));
        }
        module.hosts(now, ListForm.CACHED, all);
        long id = 0;
        int batch = 0;
        for (long step = 0; step < (long) seconds * RATE; step++) {
            boolean counts = step > (long) seconds * RATE / 3;  // the first third warms up
            now += STEP;
            if (now >= timerAt) {
                timed(refreshes, counts, () -> module.timer(now, "refresh"));
            }
            long number = id++;
            timed(requests, counts, () -> module.request(now, new Request(number, "read", null, random.nextLong(), 6_000_000)));
            out.removeIf(sent -> {
                if (now - sent.at < SERVING) {
                    return false;
                }
                module.resolved(now, sent.id, 0, sent.address, Outcome.DELIVERED, now - sent.at, true, LoadReport.NONE);
                return true;
            });
            if (step % RATE == RATE / 2) {  // each second a batch starts again, and each 10 s the whole list comes
                List<Host> cold = new ArrayList<>();
                for (int i = 0; i < Math.min(BATCH, hosts); i++) {
                    int which = (batch * BATCH + i) % hosts;
                    cold.add(host(which, Health.UP, now));
                    all.set(which, cold.get(cold.size() - 1));
                }
                batch++;
                List<Host> gone = cold.stream().map(each -> new Host(each.address(), each.zone(), 0, each.kind(), 1, Health.GONE, 0)).toList();
                timed(changes, counts, () -> module.hosts(now, ListForm.DELTA, gone));
                timed(changes, counts, () -> module.hosts(now, ListForm.DELTA, cold));
                if (batch % 10 == 0) {
                    timed(lists, counts, () -> module.hosts(now, ListForm.FULL, all));
                }
            }
        }
    }

    private static void print(String what, Histogram of) {
        System.out.printf(Locale.ROOT, "%-28s %7d  p50 %8.3f  p99 %8.3f  max %8.3f ms%n", what, of.getTotalCount(),
                of.getValueAtPercentile(50) / 1e3, of.getValueAtPercentile(99) / 1e3, of.getMaxValue() / 1e3);
    }

    /** Prints what each event took. */
    public static void main(String[] args) {
        FleetMeasurement measurement = new FleetMeasurement(args.length > 0 ? Integer.parseInt(args[0]) : 10_000);
        measurement.play(args.length > 1 ? Integer.parseInt(args[1]) : 120);
        print("a request", measurement.requests);
        print("a refresh, twice a second", measurement.refreshes);
        print("a change of " + BATCH + " hosts", measurement.changes);
        print("a whole list", measurement.lists);
    }
}
