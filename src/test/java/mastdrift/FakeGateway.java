package mastdrift;

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
import mastdrift.Balancer.Tenant;
import mastdrift.Balancer.Value;
import mastdrift.Balancer.Weights;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Drives one decision module by hand and records its actions; simulates no servers and no latency. */
final class FakeGateway implements Balancer.Actions {

    static final LoadReport NO_REPORT =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** One attempt. */
    record SentAttempt(long id, int attempt, String address, long timeout, long sentAt) { }

    final Balancer module = new Balance();
    final List<SentAttempt> sent = new ArrayList<>();
    final List<Long> leaveBy = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final List<Long> retryAfters = new ArrayList<>();
    final List<Balancer.Why> refusalReasons = new ArrayList<>();
    final List<String> closedIdle = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    int watchCalls;
    long now = 1_000_000;
    private final Map<Long, Integer> attempts = new LinkedHashMap<>();
    private final TreeMap<Long, List<String>> timers = new TreeMap<>();
    private long nextId = 1;

    // ---- settings, changed before start

    Repeat repeat = Repeat.SAFE;
    Group group = Group.ALL;
    long dedupWindow = 2_000_000;
    boolean cancel = true;
    boolean probesAllowed = true;
    boolean parallelTries = true;
    int maxAttempts = 4;
    boolean retryAfter = true;
    int gateways = 1;
    int gatewayNumber;
    long seed = 42;
    long mustAskIn;
    double coldFrom = 0.2;
    long warmWithin = 10_000_000;
    double fallMultiple = 3;
    long fallSpan = 2_000_000;
    Weights weights = Weights.OFF;
    List<Tenant> tenants = List.of();
    List<RequestClass> classes;

    RequestClass requestClass(String name) {
        return new RequestClass(name, 300_000, 0, 1_000_000, 1, 0.2, repeat, group, dedupWindow, false);
    }

    Settings settings() {
        return new Settings(classes == null ? List.of(requestClass("read")) : classes, tenants,
                new Limits(cancel, probesAllowed, parallelTries, false, maxAttempts, 20_000, retryAfter, 500_000),
                new Links(100_000, 5_000_000, 1), new Cpu(500_000, 0),
                new Rules(20_000, 250_000, mustAskIn, coldFrom, warmWithin, fallMultiple, fallSpan),
                new Value(new Goal(1, 0, 0, 0), new Prices(0, 0, 0, 0, 0, 0.01, 0, 0, 0, 0, 0), 0.05, false),
                new Site(gatewayNumber, gateways, "z0", List.of("z0", "z1"), List.of("std"), 0, List.of("servers")),
                new Habits(true, false, Reports.OFF, List.of(), false), mustAskIn > 0, weights, "proxy",
                1_000, seed);
    }

    FakeGateway start(int hosts) {
        module.start(now, settings(), this);
        List<Host> list = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            list.add(upHost(i, 0));
        }
        module.hosts(now, ListForm.CACHED, list);
        return this;
    }

    /** Host i: zones alternate, and two hosts of a zone form a cell. */
    static Host host(int i, Health health, long born) {
        return new Host("h" + i, "z" + i % 2, i % 2 * 1000 + i / 4, "std", 1, health, born);
    }

    static Host upHost(int i, long born) {
        return host(i, Health.UP, born);
    }

    void deliverHosts(ListForm form, Host... hosts) {
        module.hosts(now, form, List.of(hosts));
    }

    long request(Long key) {
        return request("read", null, key, 1_000_000);
    }

    long request(String className, String tenant, Long key, long left) {
        long id = nextId++;
        module.request(now, new Request(id, className, tenant, key, left));
        return id;
    }

    /** The newest attempt. */
    SentAttempt lastAttempt() {
        return sent.get(sent.size() - 1);
    }

    List<SentAttempt> attemptsOf(long id) {
        return sent.stream().filter(s -> s.id() == id).toList();
    }

    void resolve(SentAttempt attempt, Outcome outcome) {
        resolve(attempt, outcome, now - attempt.sentAt());
    }

    void resolve(SentAttempt attempt, Outcome outcome, long elapsed) {
        module.resolved(now, attempt.id(), attempt.attempt(), attempt.address(), outcome, elapsed,
                outcome == Outcome.DELIVERED, NO_REPORT);
    }

    /** Advances the clock and fires the timers that are due. */
    void advance(long span) {
        long until = now + span;
        while (!timers.isEmpty() && timers.firstKey() <= until) {
            Map.Entry<Long, List<String>> due = timers.pollFirstEntry();
            now = Math.max(now, due.getKey());
            for (String handle : due.getValue()) {
                module.timer(now, handle);
            }
        }
        now = until;
    }

    /**
     * Sends {@code count} requests with new keys, one every {@code gap}, each answered with a latency of {@code
     * elapsed}.
     */
    void serve(int count, long gap, long elapsed) {
        for (int i = 0; i < count; i++) {
            int before = sent.size();
            request("read", null, 1_000_000L + nextId, 1_000_000);
            advance(gap);
            if (sent.size() > before) {
                resolve(lastAttempt(), Outcome.DELIVERED, elapsed);
            }
        }
    }

    boolean isAnswered(long id) {
        return refused.contains("" + id) || failed.contains("" + id);
    }

    // ---- actions of the module

    @Override
    public void send(long id, String address, long timeout, long leaveWithin) {
        sent.add(new SentAttempt(id, attempts.merge(id, 1, Integer::sum) - 1, address, timeout, now));
        leaveBy.add(now + leaveWithin);
    }

    @Override
    public void cancel(long id, int attempt) {
        cancelled.add(id + "/" + attempt);
    }

    @Override
    public void refuse(long id, long after, Balancer.Why why) {
        refusalReasons.add(why);
        refused.add("" + id);
        retryAfters.add(after);
    }

    @Override
    public void fail(long id) {
        failed.add("" + id);
    }

    @Override
    public void timer(long at, String handle) {
        timers.computeIfAbsent(at, t -> new ArrayList<>()).add(handle);
    }

    @Override
    public void probe(String address) {
        probes.add(address);
    }

    @Override
    public void watch(boolean active) {
        watchCalls += active ? 1 : 0;
    }

    @Override
    public void fetch() { }

    @Override
    public void closeIdle(String address) {
        closedIdle.add(address);
    }

    @Override
    public void tell(int peer, byte[] message) { }

    @Override
    public void log(String line) {
        logged.add(line);
    }
}
