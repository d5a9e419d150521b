package mastdrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.Balancer.Repeat;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Curve;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Tries;
import mastdrift.lab.load.Counts;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import mastdrift.net.Addresses;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code load}: sends requests to a gateway and says what came of them. */
@Command(name = "load", description = "Sends requests to a gateway at times drawn before, and says what came of them. Latencies "
        + "count from the time that a request was due.", mixinStandardHelpOptions = true, sortOptions = false)
final class LoadCommand implements Callable<Integer> {

    private static final int VOID = 1;
    private static final int WORDS = 2;
    private static final int SECRET_MOST = 4096;
    private static final Pattern CLASS = Pattern.compile("([^=:/\\s]+)(?:/([^=:\\s]+))?(?:=(\\d+(?:\\.\\d+)?))?(?::(safe|keyed|unsafe))?");

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--to", required = true, paramLabel = "ADDRESS:PORT", description = "the gateway, in digits")
    private String to;

    @Option(names = "--rate", paramLabel = "CURVE", description = "open loop: " + Curve.FORMS + " (default: 100)")
    private String rate;

    @Option(names = "--closed", paramLabel = "N", description = "closed loop instead: N clients that ask again once answered")
    private int closed;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "10", description = "how long, 0.1 to 86400 (${DEFAULT-VALUE})")
    private double seconds;

    @Option(names = "--arrivals", paramLabel = "KIND", defaultValue = "poisson",
            description = "even or poisson along the curve (${DEFAULT-VALUE})")
    private String arrivals;

    @Option(names = "--class", paramLabel = "NAME[/TENANT][=WEIGHT][:EFFECT]", description = "a class of requests, its tenant, its "
            + "part and its effect: safe, keyed or unsafe; may be given again (default: session-read=2:safe, session-start=1:keyed)")
    private List<String> classes = List.of("session-read=2:safe", "session-start=1:keyed");

    @Option(names = "--deadline", paramLabel = "MS", defaultValue = "1500",
            description = "how long clients wait, 1 to 600000 ms (${DEFAULT-VALUE})")
    private long deadline;

    @Option(names = "--body", paramLabel = "BYTES", defaultValue = "0", description = "body of each request (${DEFAULT-VALUE})")
    private int body;

    @Option(names = "--keys", paramLabel = "N", defaultValue = "500", description = "distinct objects (${DEFAULT-VALUE})")
    private int keys;

    @Option(names = "--zipf", paramLabel = "X", defaultValue = "0",
            description = "how uneven the objects are: an exponent, 0 for even (${DEFAULT-VALUE})")
    private double zipf;

    @Option(names = "--tries", paramLabel = "N", defaultValue = "1", description = "tries of a request in all (${DEFAULT-VALUE})")
    private int tries;

    @Option(names = "--pause", paramLabel = "MS", defaultValue = "100",
            description = "before the second try (${DEFAULT-VALUE})")
    private long pause;

    @Option(names = "--growth", paramLabel = "X", defaultValue = "2", description = "of each further pause (${DEFAULT-VALUE})")
    private double growth;

    @Option(names = "--jitter", paramLabel = "X", defaultValue = "0.5",
            description = "part of a pause that is drawn, 0 to 1 (${DEFAULT-VALUE})")
    private double jitter;

    @Option(names = "--follows", paramLabel = "X", defaultValue = "0",
            description = "part of clients that wait as long as a refusal asks, 0 to 1 (${DEFAULT-VALUE})")
    private double follows;

    @Option(names = "--connections", paramLabel = "N", defaultValue = "64",
            description = "connections at most; for RADIUS ports with 256 out on each (${DEFAULT-VALUE})")
    private int connections;

    @Option(names = "--opened", description = "open all connections before the first request, and use them in turn")
    private boolean opened;

    @Option(names = "--threads", paramLabel = "N", defaultValue = "1", description = "event loops (${DEFAULT-VALUE})")
    private int threads;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "of all draws (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--radius-secret-file", paramLabel = "FILE",
            description = "ask over RADIUS, signed with what this file holds: safe classes are cards, keyed ones accounting starts")
    private Path secret;

    @Option(names = "--late-most", paramLabel = "MS", defaultValue = "5",
            description = "the run counts if 99%% of its requests left within so long of their time (${DEFAULT-VALUE})")
    private double lateMost;

    @Option(names = "--out", paramLabel = "FOLDER", description = "write load.jsonl and load.hlog there")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        LoadPlan plan;
        try {
            plan = plan();
        } catch (IllegalArgumentException e) {
            err.println(e.getMessage());
            return WORDS;
        }
        LoadResult result = run(plan);
        print(plan, result);
        if (out != null) {
            result.write(out);
        }
        result.faults().forEach(fault -> err.println("does not count: " + fault));
        return result.faults().isEmpty() ? 0 : VOID;
    }

    private LoadPlan plan() throws IOException {
        if (!(seconds >= 0.1 && seconds <= 86_400)) {
            throw new IllegalArgumentException("--seconds: expected 0.1 to 86400, found " + seconds);
        }
        if (deadline < 1 || deadline > 600_000) {
            throw new IllegalArgumentException("--deadline: expected 1 to 600000 ms, found " + deadline);
        }
        if (rate != null && closed > 0) {
            throw new IllegalArgumentException("expected --rate or --closed, found both");
        }
        InetSocketAddress at = Addresses.parse(to);
        List<Mix.Part> parts = new ArrayList<>();
        for (String text : classes) {
            parts.add(part(text));
        }
        byte[] signs = secret == null ? null : secret();
        Curve curve = closed > 0 ? null : Curve.parse(rate == null ? "100" : rate, seconds);
        return new LoadPlan(at, curve, Arrivals.Kind.parse(arrivals), closed, Duration.ofNanos((long) (seconds * 1e9)), parts,
                new Mix.Keys(keys, zipf), new Tries(tries, pause * 1000, growth, jitter, follows), connections, opened, threads,
                seed, signs, (long) (lateMost * 1000));
    }

    private Mix.Part part(String text) {
        Matcher matcher = CLASS.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("--class: expected NAME[/TENANT][=WEIGHT][:safe|keyed|unsafe], found \"" + text + "\"");
        }
        return new Mix.Part(matcher.group(1), matcher.group(2), matcher.group(4) == null ? Repeat.SAFE
                : Repeat.valueOf(matcher.group(4).toUpperCase(Locale.ROOT)), matcher.group(3) == null ? 1
                : Double.parseDouble(matcher.group(3)), deadline * 1000, body);
    }

    /** As the gateway's own files hold one: a line's end belongs to the file. */
    private byte[] secret() throws IOException {
        byte[] bytes = Files.isRegularFile(secret) ? Files.readAllBytes(secret) : new byte[0];
        int length = bytes.length;
        while (length > 0 && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
            length--;
        }
        if (length < 1 || length > SECRET_MOST) {
            throw new IllegalArgumentException("--radius-secret-file " + secret + ": expected a file of 1 to 4096 bytes, found "
                    + (bytes.length == 0 ? "none" : length));
        }
        return java.util.Arrays.copyOf(bytes, length);
    }

    private LoadResult run(LoadPlan plan) throws InterruptedException {
        if (System.console() == null) {
            return LoadRun.start(plan).join();
        }
        try (LoadRun run = LoadRun.start(plan); ProgressBar bar = new ProgressBarBuilder().setTaskName("load")
                .setInitialMax((long) Math.ceil(seconds)).setUnit(" s", 1).setStyle(ProgressBarStyle.ASCII)
                .setUpdateIntervalMillis(250).build()) {
            while (!run.paced()) {
                bar.stepTo((long) run.passed());
                bar.setExtraMessage(run.count(Of.ASKED) + " asked, " + run.count(Of.SERVED) + " served, " + run.count(Of.REFUSED)
                        + " refused, " + run.failed() + " failed");
                Thread.sleep(200);
            }
            return run.join();
        }
    }

    private void print(LoadPlan plan, LoadResult result) {
        PrintWriter to = spec.commandLine().getOut();
        to.printf("%-24s %9s %8s %9s %8s %8s %10s %8s %7s %9s %9s %9s%n", "class", "asked", "repeats", "served", "refused", "failed",
                "unanswered", "foreign", "unsent", "p50 ms", "p99 ms", "p99.9 ms");
        for (int i = 0; i < plan.parts().size(); i++) {
            int part = i;
            row(to, plan.parts().get(i).label(), of -> result.count(part, of), q -> result.quantile(part, q));
        }
        row(to, "all", result::count, result::quantile);
        to.printf(Locale.ROOT, "%.1f served a second; own lateness p99 %.2f ms%n", result.rate(), result.ownLateness(0.99) / 1e3);
    }

    private static void row(PrintWriter to, String name, java.util.function.ToLongFunction<Counts.Of> count,
            java.util.function.DoubleToLongFunction quantile) {
        to.printf(Locale.ROOT, "%-24s %9d %8d %9d %8d %8d %10d %8d %7d %9.2f %9.2f %9.2f%n", name, count.applyAsLong(Of.ASKED),
                count.applyAsLong(Of.REPEATS), count.applyAsLong(Of.SERVED), count.applyAsLong(Of.REFUSED),
                count.applyAsLong(Of.FAILED), count.applyAsLong(Of.UNANSWERED), count.applyAsLong(Of.FOREIGN),
                count.applyAsLong(Of.UNSENT), quantile.applyAsLong(0.5) / 1e3, quantile.applyAsLong(0.99) / 1e3,
                quantile.applyAsLong(0.999) / 1e3);
    }
}
