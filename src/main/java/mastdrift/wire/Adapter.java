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

/**
 * Runs the simulator's line protocol: reads batches of events, passes them to one decision module for each instance,
 * and prints the modules' actions.
 */
final class Adapter {

    private static final List<String> REPORT_NAMES =
            List.of("active", "waiting", "cpu", "avg_ms", "rps", "err_rps");

    private final BufferedReader in;
    private final Writer out;
    private final PrintStream err;
    private final Supplier<Balancer> moduleFactory;
    private final Map<String, Balancer> modulesByInstance = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long now;

    Adapter(BufferedReader in, Writer out, PrintStream err, Supplier<Balancer> moduleFactory) {
        this.in = in;
        this.out = out;
        this.err = err;
        this.moduleFactory = moduleFactory;
    }

    /** Handles batches until the end of the input; throws MalformedLineException for a line that can't be read. */
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
                handleEvent(tag, fields);
            }
        }
        if (batch != null) {
            throw new MalformedLineException("end of input", "your_turn, to end batch " + batch);
        }
    }

    private void handleEvent(String tag, Fields fields) throws IOException {
        switch (tag) {
            case "init", "detach", "discovery", "call", "under_way", "resolved", "gone", "timer", "echo",
                    "from_peer" -> { }
            default -> {
                return;
            }
        }
        String instance = fields.text("an instance");
        Runnable event = tag.equals("init") ? readInit(instance, fields) : readEvent(tag, instance, fields);
        try {
            event.run();
        } catch (IllegalArgumentException e) {
            if (tag.equals("init")) {
                throw fields.expected("settings the module can run with: " + e.getMessage());
            }
            reportPanic(instance, e);
        } catch (RuntimeException e) {
            reportPanic(instance, e);
        }
    }

    private void reportPanic(String instance, RuntimeException e) {
        String text = String.valueOf(e).replace('\n', ' ');
        err.println("fault in " + instance + ": " + text);
        reply.append("panic ").append(instance).append(' ').append(text).append('\n');
    }

    private Runnable readInit(String instance, Fields fields) {
        long seed = fields.number("the salt");
        Balancer.Settings settings = readSettings(fields, seed);
        Balancer module = moduleFactory.get();
        modulesByInstance.put(instance, module);
        return () -> module.start(now, settings, new ActionPrinter(instance));
    }

    private static Balancer.Settings readSettings(Fields fields, long seed) {
        ModuleSettingsReader facts = readFacts(fields);
        try {
            return facts.read(seed);
        } catch (IllegalArgumentException e) {
            throw fields.expected(e.getMessage());
        }
    }

    /** Reads the rest of the line as settings, {@code path=value}. */
    static ModuleSettingsReader readFacts(Fields fields) {
        Map<String, String> values = new HashMap<>();
        for (String pair : fields.remaining()) {
            int separator = pair.indexOf('=');
            if (separator < 0) {
                throw fields.expected("settings as path=value, not " + pair);
            }
            values.put(pair.substring(0, separator), pair.substring(separator + 1));
        }
        return new ModuleSettingsReader(values);
    }

    /** Parses the whole event before the module is told of it. */
    private Runnable readEvent(String tag, String instance, Fields fields) throws IOException {
        Balancer module = modulesByInstance.get(instance);
        if (tag.equals("detach")) {
            modulesByInstance.remove(instance);
            return () -> { };
        }
        if (module == null) {
            throw fields.expected("an instance that was started");
        }
        switch (tag) {
            case "discovery":
                ListForm form = readListForm(fields);
                List<Host> hosts = readHosts(fields);
                return () -> module.hosts(now, form, hosts);
            case "call":
                Balancer.Request request = readRequest(fields);
                return () -> module.request(now, request);
            case "under_way":
                long streamingId = fields.number("a request id");
                int attempt = (int) fields.number("an attempt number");
                return () -> module.streaming(now, streamingId, attempt);
            case "resolved":
                return readResolved(module, fields);
            case "gone":
                long id = fields.number("a request id");
                return () -> module.departed(now, id);
            case "timer":
                String handle = fields.text("a handle");
                return () -> module.timer(now, handle);
            case "from_peer":
                int peer = (int) fields.number("a peer's number");
                byte[] message = fields.bytes("a message");
                return () -> module.told(now, peer, message);
            default:
                return readProbeResult(module, fields);
        }
    }

    /** Reads a request. The last field is a sum of flags: 1, the estimate is valid; 2, a client's retry; 4, a write. */
    private static Balancer.Request readRequest(Fields fields) {
        long id = fields.number("a request id");
        String className = fields.text("a class");
        String tenant = fields.optional();
        String tenantName = tenant == null || tenant.equals("0") ? null : tenant;
        Long key = fields.numberOrNull("a key");
        long timeLeftMicros = fields.number("the time left");
        long estimatedWorkMicros = fields.number("an estimate", 0);
        long flags = fields.number("a sum of marks", 0);
        return new Balancer.Request(id, className, tenantName, key, timeLeftMicros, (flags & 1) != 0
                ? estimatedWorkMicros : 0,
                (flags & 2) != 0, (flags & 4) != 0);
    }

    private Runnable readResolved(Balancer module, Fields fields) {
        long id = fields.number("a request id");
        int attempt = (int) fields.number("an attempt number");
        String host = fields.text("a host");
        Outcome outcome = readOutcome(fields);
        long elapsedMicros = fields.number("the elapsed time");
        boolean ended = fields.flag("over");
        LoadReport report = readLoadReport(fields);
        return () -> module.resolved(now, id, attempt, host, outcome, elapsedMicros, ended, report);
    }

    private Runnable readProbeResult(Balancer module, Fields fields) {
        String host = fields.text("a host");
        Outcome outcome = readOutcome(fields);
        long elapsedMicros = fields.number("the elapsed time");
        LoadReport report = readLoadReport(fields);
        return () -> module.probed(now, host, outcome, elapsedMicros, report);
    }

    private static Outcome readOutcome(Fields fields) {
        String word = fields.text("an outcome");
        return switch (word) {
            case "delivered" -> Outcome.DELIVERED;
            case "app_error" -> Outcome.ERROR;
            case "shed" -> Outcome.SHED;
            case "expired" -> Outcome.EXPIRED;
            case "dial_failed" -> Outcome.DIAL_FAILED;
            case "dropped" -> Outcome.DROPPED;
            case "revoked" -> Outcome.REVOKED;
            case "unused" -> Outcome.UNUSED;
            default -> throw fields.expected("a known outcome, not " + word);
        };
    }

    private static ListForm readListForm(Fields fields) {
        String word = fields.text("the form of the list");
        return switch (word) {
            case "delta" -> ListForm.DELTA;
            case "full" -> ListForm.FULL;
            case "cached" -> ListForm.CACHED;
            case "failed" -> ListForm.FAILED;
            default -> throw fields.expected("delta, full, cached or failed, not " + word);
        };
    }

    private List<Host> readHosts(Fields fields) throws IOException {
        fields.number("a version", 0);
        long count = fields.number("the number of entries", 0);
        List<Host> hosts = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = in.readLine();
            if (line == null) {
                throw new MalformedLineException("end of input", "an entry line");
            }
            hosts.add(readHost(new Fields(line)));
        }
        return hosts;
    }

    private static Host readHost(Fields fields) {
        if (!fields.text("entry").equals("entry")) {
            throw fields.expected("an entry line");
        }
        int cell = (int) fields.number("a pod", 0);
        String address = fields.text("a host");
        String zone = fields.text("a campus");
        double weight = fields.decimal("a capacity", 1);
        String kind = fields.text("a kind");
        String health = fields.text("a health");
        Health state = switch (health) {
            case "U" -> Health.UP;
            case "L" -> Health.LEAVING;
            case "D" -> Health.GONE;
            default -> throw fields.expected("a health of U, L or D, not " + health);
        };
        return new Host(address, zone, cell, kind, weight, state, fields.number("a start time", 0));
    }

    private static LoadReport readLoadReport(Fields fields) {
        String text = fields.optional();
        if (text == null) {
            return LoadReport.NONE;
        }
        double[] values = new double[REPORT_NAMES.size()];
        java.util.Arrays.fill(values, Double.NaN);
        for (String pair : text.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw fields.expected("a load report of name:value pairs");
            }
            int index = REPORT_NAMES.indexOf(pair.substring(0, colon));
            if (index >= 0) {
                values[index] = fields.parseDouble(pair.substring(colon + 1), pair.substring(0, colon));
            }
        }
        return loadReport(values);
    }

    private static LoadReport loadReport(double[] values) {
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    /** Prints the actions of one instance. */
    private final class ActionPrinter implements Balancer.Actions {

        private final String instance;

        ActionPrinter(String instance) {
            this.instance = instance;
        }

        private StringBuilder beginLine(String action) {
            return reply.append(action).append(' ').append(instance).append(' ');
        }

        @Override
        public void send(long id, String address, long timeoutMicros, long maxSendDelayMicros) {
            beginLine("place").append(id).append(' ').append(address).append(' ').append(timeoutMicros).append('\n');
        }

        @Override
        public void cancel(long id, int attempt) {
            beginLine("abort_attempt").append(id).append(' ').append(attempt).append('\n');
        }

        @Override
        public void refuse(long id, long retryAfterMicros, Balancer.Why reason) {
            beginLine("decline").append(id).append(' ').append(retryAfterMicros).append('\n');
        }

        @Override
        public void fail(long id) {
            beginLine("error").append(id).append('\n');
        }

        @Override
        public void timer(long dueAt, String handle) {
            beginLine("after").append(dueAt).append(' ').append(handle).append('\n');
        }

        @Override
        public void probe(String address) {
            beginLine("poll").append(address).append('\n');
        }

        @Override
        public void watch(boolean active) {
            beginLine("watch").append(active ? "1\n" : "0\n");
        }

        @Override
        public void fetch() {
            reply.append("pull ").append(instance).append('\n');
        }

        @Override
        public void closeIdle(String address) {
            beginLine("free_links").append(address).append('\n');
        }

        @Override
        public void tell(int peer, byte[] message) {
            beginLine("notify").append(peer < 0 ? "*" : "" + peer).append(' ').append(Fields.hex(message)).append('\n');
        }

        @Override
        public void log(String text) {
            beginLine("log").append(text.replace('\n', ' ')).append('\n');
        }
    }
}
