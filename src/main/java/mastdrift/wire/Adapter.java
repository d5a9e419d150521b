package mastdrift.wire;

import mastdrift.Balancer;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.settings.ModuleSettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Speaks the wire: reads batches of events, hosts one module an instance, prints their actions. */
final class Adapter {

    private static final List<String> REPORT_NAMES =
            List.of("active", "waiting", "cpu", "avg_ms", "rps", "err_rps");

    private final BufferedReader in;
    private final Writer out;
    private final PrintStream err;
    private final Supplier<Balancer> modules;
    private final Map<String, Balancer> instances = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long now;

    Adapter(BufferedReader in, Writer out, PrintStream err, Supplier<Balancer> modules) {
        this.in = in;
        this.out = out;
        this.err = err;
        this.modules = modules;
    }

    void run() throws IOException {
        String batch = null;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty()) {
                continue;
            }
            Fields fields = new Fields(line);
            String tag = fields.text("a message name");
            if (tag.equals("tick")) {
                now = fields.number("the clock");
                batch = fields.text("the batch number");
            } else if (batch == null) {
                throw fields.expected("a tick line first");
            } else if (tag.equals("your_turn")) {
                out.append(reply).append("end ").append(batch).append('\n').flush();
                reply.setLength(0);
                batch = null;
            } else {
                event(tag, fields);
            }
        }
        if (batch != null) {
            throw new MalformedLineException("end of input", "your_turn, to end batch " + batch);
        }
    }

    private void event(String tag, Fields f) throws IOException {
        switch (tag) {
            case "init", "detach", "discovery", "call", "under_way", "resolved", "gone", "timer", "echo",
                    "from_peer" -> { }
            default -> {
                return;
            }
        }
        String name = f.text("an instance");
        Runnable event = tag.equals("init") ? init(name, f) : read(tag, name, f);
        try {
            event.run();
        } catch (IllegalArgumentException e) {
            if (tag.equals("init")) {
                throw f.expected("settings the module can run with: " + e.getMessage());
            }
            panic(name, e);
        } catch (RuntimeException e) {
            panic(name, e);
        }
    }

    private void panic(String name, RuntimeException e) {
        String text = String.valueOf(e).replace('\n', ' ');
        err.println("fault in " + name + ": " + text);
        reply.append("panic ").append(name).append(' ').append(text).append('\n');
    }

    private Runnable init(String name, Fields f) {
        long seed = f.number("the salt");
        Balancer.Settings settings = settings(f, seed);
        Balancer module = modules.get();
        instances.put(name, module);
        return () -> module.start(now, settings, new Printer(name));
    }

    private static Balancer.Settings settings(Fields f, long seed) {
        ModuleSettingsReader facts = facts(f);
        try {
            return facts.read(seed);
        } catch (IllegalArgumentException e) {
            throw f.expected(e.getMessage());
        }
    }

    /** The rest of the line: paths and their values. */
    static ModuleSettingsReader facts(Fields f) {
        Map<String, String> values = new HashMap<>();
        for (String pair : f.rest()) {
            int eq = pair.indexOf('=');
            if (eq < 0) {
                throw f.expected("settings as path=value, not " + pair);
            }
            values.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        return new ModuleSettingsReader(values);
    }

    /** Reads the whole event before the module hears of it. */
    private Runnable read(String tag, String name, Fields f) throws IOException {
        Balancer module = instances.get(name);
        if (tag.equals("detach")) {
            instances.remove(name);
            return () -> { };
        }
        if (module == null) {
            throw f.expected("an instance that was started");
        }
        switch (tag) {
            case "discovery":
                ListForm form = form(f);
                List<Host> hosts = entries(f);
                return () -> module.hosts(now, form, hosts);
            case "call":
                Balancer.Request request = call(f);
                return () -> module.request(now, request);
            case "under_way":
                long started = f.number("a request id");
                int go = (int) f.number("an attempt number");
                return () -> module.streaming(now, started, go);
            case "resolved":
                return resolved(module, f);
            case "gone":
                long id = f.number("a request id");
                return () -> module.departed(now, id);
            case "timer":
                String handle = f.text("a handle");
                return () -> module.timer(now, handle);
            case "from_peer":
                int peer = (int) f.number("a peer's number");
                byte[] message = f.bytes("a message");
                return () -> module.told(now, peer, message);
            default:
                return echo(module, f);
        }
    }

    /** The sum of marks: 1, the estimate holds; 2, a client's repeat; 4, a write. */
    private static Balancer.Request call(Fields f) {
        long id = f.number("a request id");
        String type = f.text("a class");
        String tenant = f.optional();
        String tenantName = tenant == null || tenant.equals("0") ? null : tenant;
        Long key = f.numberOrNull("a key");
        long left = f.number("the time left");
        long estimate = f.number("an estimate", 0);
        long marks = f.number("a sum of marks", 0);
        return new Balancer.Request(id, type, tenantName, key, left, (marks & 1) != 0 ? estimate : 0,
                (marks & 2) != 0, (marks & 4) != 0);
    }

    private Runnable resolved(Balancer module, Fields f) {
        long id = f.number("a request id");
        int go = (int) f.number("an attempt number");
        String host = f.text("a host");
        Outcome outcome = outcome(f);
        long elapsed = f.number("the elapsed time");
        boolean over = f.flag("over");
        LoadReport report = metrics(f);
        return () -> module.resolved(now, id, go, host, outcome, elapsed, over, report);
    }

    private Runnable echo(Balancer module, Fields f) {
        String host = f.text("a host");
        Outcome outcome = outcome(f);
        long elapsed = f.number("the elapsed time");
        LoadReport report = metrics(f);
        return () -> module.probed(now, host, outcome, elapsed, report);
    }

    private static Outcome outcome(Fields f) {
        String word = f.text("an outcome");
        return switch (word) {
            case "delivered" -> Outcome.DELIVERED;
            case "app_error" -> Outcome.ERROR;
            case "shed" -> Outcome.SHED;
            case "expired" -> Outcome.EXPIRED;
            case "dial_failed" -> Outcome.DIAL_FAILED;
            case "dropped" -> Outcome.DROPPED;
            case "revoked" -> Outcome.REVOKED;
            case "unused" -> Outcome.UNUSED;
            default -> throw f.expected("a known outcome, not " + word);
        };
    }

    private static ListForm form(Fields f) {
        String word = f.text("the form of the list");
        return switch (word) {
            case "delta" -> ListForm.DELTA;
            case "full" -> ListForm.FULL;
            case "cached" -> ListForm.CACHED;
            case "failed" -> ListForm.FAILED;
            default -> throw f.expected("delta, full, cached or failed, not " + word);
        };
    }

    private List<Host> entries(Fields f) throws IOException {
        f.number("a version", 0);
        long count = f.number("the number of entries", 0);
        List<Host> hosts = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = in.readLine();
            if (line == null) {
                throw new MalformedLineException("end of input", "an entry line");
            }
            hosts.add(entry(new Fields(line)));
        }
        return hosts;
    }

    private static Host entry(Fields f) {
        if (!f.text("entry").equals("entry")) {
            throw f.expected("an entry line");
        }
        int pod = (int) f.number("a pod", 0);
        String address = f.text("a host");
        String zone = f.text("a campus");
        double weight = f.real("a capacity", 1);
        String kind = f.text("a kind");
        String health = f.text("a health");
        Health state = switch (health) {
            case "U" -> Health.UP;
            case "L" -> Health.LEAVING;
            case "D" -> Health.GONE;
            default -> throw f.expected("a health of U, L or D, not " + health);
        };
        return new Host(address, zone, pod, kind, weight, state, f.number("a start time", 0));
    }

    private static LoadReport metrics(Fields f) {
        String text = f.optional();
        if (text == null) {
            return LoadReport.NONE;
        }
        double[] values = new double[REPORT_NAMES.size()];
        java.util.Arrays.fill(values, Double.NaN);
        for (String pair : text.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw f.expected("a load report of name:value pairs");
            }
            int at = REPORT_NAMES.indexOf(pair.substring(0, colon));
            if (at >= 0) {
                values[at] = f.parseReal(pair.substring(colon + 1), pair.substring(0, colon));
            }
        }
        return report(values);
    }

    private static LoadReport report(double[] v) {
        return new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5]);
    }

    /** Prints one instance's actions. */
    private final class Printer implements Balancer.Actions {

        private final String name;

        Printer(String name) {
            this.name = name;
        }

        private StringBuilder line(String verb) {
            return reply.append(verb).append(' ').append(name).append(' ');
        }

        @Override
        public void send(long id, String address, long timeout, long leaveWithin) {
            line("place").append(id).append(' ').append(address).append(' ').append(timeout).append('\n');
        }

        @Override
        public void cancel(long id, int attempt) {
            line("abort_attempt").append(id).append(' ').append(attempt).append('\n');
        }

        @Override
        public void refuse(long id, long retryAfter, Balancer.Why why) {
            line("decline").append(id).append(' ').append(retryAfter).append('\n');
        }

        @Override
        public void fail(long id) {
            line("error").append(id).append('\n');
        }

        @Override
        public void timer(long at, String handle) {
            line("after").append(at).append(' ').append(handle).append('\n');
        }

        @Override
        public void probe(String address) {
            line("poll").append(address).append('\n');
        }

        @Override
        public void watch(boolean active) {
            line("watch").append(active ? "1\n" : "0\n");
        }

        @Override
        public void fetch() {
            reply.append("pull ").append(name).append('\n');
        }

        @Override
        public void closeIdle(String address) {
            line("free_links").append(address).append('\n');
        }

        @Override
        public void tell(int peer, byte[] message) {
            line("notify").append(peer < 0 ? "*" : "" + peer).append(' ').append(Fields.hex(message)).append('\n');
        }

        @Override
        public void log(String text) {
            line("log").append(text.replace('\n', ' ')).append('\n');
        }
    }
}
