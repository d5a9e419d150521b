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

/** {@code load}: a load generator that sends requests to a gateway and prints how they ended. */
@Command(name = "load", description = "Sends requests to a gateway at times drawn in advance, and reports how they ended. Latencies "
        + "count from the time that a request was due.", mixinStandardHelpOptions = true, sortOptions = false)
final class LoadCommand implements Callable<Integer> {

    private static final int EXIT_INVALID_RUN = 1;
    private static final int EXIT_USAGE = 2;
    private static final int MAX_SECRET_BYTES = 4096;
    private static final Pattern CLASS_PATTERN = Pattern.compile("([^=:/\\s]+)(?:/([^=:\\s]+))?(?:=(\\d+(?:\\.\\d+)?))?(?::(safe|keyed|unsafe))?");

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--to", required = true, paramLabel = "ADDRESS:PORT",
            description = "numeric address of the gateway")
    private String gatewayAddress;

    @Option(names = "--rate", paramLabel = "CURVE", description = "open loop: " + Curve.FORMS + " (default: 100)")
    private String rate;

    @Option(names = "--closed", paramLabel = "N", description = "closed loop instead: N clients that send the next request once answered")
    private int closedLoopClients;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "10", description = "duration in seconds, 0.1 to 86400 (${DEFAULT-VALUE})")
    private double seconds;

    @Option(names = "--arrivals", paramLabel = "KIND", defaultValue = "poisson",
            description = "even or poisson along the curve (${DEFAULT-VALUE})")
    private String arrivals;

    @Option(names = "--class", paramLabel = "NAME[/TENANT][=WEIGHT][:EFFECT]", description = "a class of requests, its tenant, its "
            + "weight and its effect: safe, keyed or unsafe; may be repeated (default: session-read=2:safe, session-start=1:keyed)")
    private List<String> classes = List.of("session-read=2:safe", "session-start=1:keyed");

    @Option(names = "--deadline", paramLabel = "MS", defaultValue = "1500",
            description = "deadline of a request, 1 to 600000 ms (${DEFAULT-VALUE})")
    private long deadlineMillis;

    @Option(names = "--body", paramLabel = "BYTES", defaultValue = "0", description = "body of each request (${DEFAULT-VALUE})")
    private int bodyBytes;

    @Option(names = "--keys", paramLabel = "N", defaultValue = "500", description = "number of distinct keys (${DEFAULT-VALUE})")
    private int keys;

    @Option(names = "--zipf", paramLabel = "X", defaultValue = "0",
            description = "Zipf exponent of the keys, 0 for uniform (${DEFAULT-VALUE})")
    private double zipfExponent;

    @Option(names = "--tries", paramLabel = "N", defaultValue = "1", description = "attempts of a request in all (${DEFAULT-VALUE})")
    private int maxAttempts;

    @Option(names = "--pause", paramLabel = "MS", defaultValue = "100",
            description = "pause before the second attempt (${DEFAULT-VALUE})")
    private long pauseMillis;

    @Option(names = "--growth", paramLabel = "X", defaultValue = "2", description = "growth factor of each further pause (${DEFAULT-VALUE})")
    private double pauseGrowth;

    @Option(names = "--jitter", paramLabel = "X", defaultValue = "0.5",
            description = "random part of a pause, 0 to 1 (${DEFAULT-VALUE})")
    private double jitterFraction;

    @Option(names = "--follows", paramLabel = "X", defaultValue = "0",
            description = "fraction of clients that wait as long as a refusal asks, 0 to 1 (${DEFAULT-VALUE})")
    private double followsRefusalFraction;

    @Option(names = "--connections", paramLabel = "N", defaultValue = "64",
            description = "maximum connections; for RADIUS, ports with 256 requests in flight each (${DEFAULT-VALUE})")
    private int connections;

    @Option(names = "--opened", description = "open all connections before the first request, and use them in turn")
    private boolean openFirst;

    @Option(names = "--threads", paramLabel = "N", defaultValue = "1", description = "event loops (${DEFAULT-VALUE})")
    private int threads;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "random seed (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--radius-secret-file", paramLabel = "FILE",
            description = "send over RADIUS, signed with the secret in this file: safe classes are cards, keyed ones accounting starts")
    private Path secretFile;

    @Option(names = "--late-most", paramLabel = "MS", defaultValue = "5",
            description = "maximum lateness of 99%% of the requests for the run to be valid (${DEFAULT-VALUE})")
    private double maxLatenessMillis;

    @Option(names = "--out", paramLabel = "FOLDER", description = "write load.jsonl and load.hlog there")
    private Path resultsFolder;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        LoadPlan plan;
        try {
            plan = buildPlan();
        } catch (IllegalArgumentException e) {
            err.println(e.getMessage());
            return EXIT_USAGE;
        }
        LoadResult result = runPlan(plan);
        printResult(plan, result);
        if (resultsFolder != null) {
            result.write(resultsFolder);
        }
        result.faults().forEach(fault -> err.println("does not count: " + fault));
        return result.faults().isEmpty() ? 0 : EXIT_INVALID_RUN;
    }

    private LoadPlan buildPlan() throws IOException {
        if (!(seconds >= 0.1 && seconds <= 86_400)) {
            throw new IllegalArgumentException("--seconds: expected 0.1 to 86400, found " + seconds);
        }
        if (deadlineMillis < 1 || deadlineMillis > 600_000) {
            throw new IllegalArgumentException("--deadline: expected 1 to 600000 ms, found " + deadlineMillis);
        }
        if (rate != null && closedLoopClients > 0) {
            throw new IllegalArgumentException("expected --rate or --closed, found both");
        }
        InetSocketAddress address = Addresses.parse(gatewayAddress);
        List<Mix.Part> parts = new ArrayList<>();
        for (String text : classes) {
            parts.add(parsePart(text));
        }
        byte[] secret = secretFile == null ? null : readSecret();
        Curve curve = closedLoopClients > 0 ? null : Curve.parse(rate == null ? "100" : rate, seconds);
        return new LoadPlan(address, curve, Arrivals.Kind.parse(arrivals), closedLoopClients,
                Duration.ofNanos((long) (seconds * 1e9)), parts, new Mix.Keys(keys, zipfExponent),
                new Tries(maxAttempts, pauseMillis * 1000, pauseGrowth, jitterFraction, followsRefusalFraction),
                connections, openFirst, threads,
                seed, secret, (long) (maxLatenessMillis * 1000));
    }

    private Mix.Part parsePart(String text) {
        Matcher matcher = CLASS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("--class: expected NAME[/TENANT][=WEIGHT][:safe|keyed|unsafe], found \"" + text + "\"");
        }
        return new Mix.Part(matcher.group(1), matcher.group(2), matcher.group(4) == null ? Repeat.SAFE
                : Repeat.valueOf(matcher.group(4).toUpperCase(Locale.ROOT)), matcher.group(3) == null ? 1
                : Double.parseDouble(matcher.group(3)), deadlineMillis * 1000, bodyBytes);
    }

    /**
     * Reads the shared secret. Line ends at the end of the file are not part of it, as in the gateway's own secret
     * files.
     */
    private byte[] readSecret() throws IOException {
        byte[] bytes = Files.isRegularFile(secretFile) ? Files.readAllBytes(secretFile) : new byte[0];
        int length = bytes.length;
        while (length > 0 && (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
            length--;
        }
        if (length < 1 || length > MAX_SECRET_BYTES) {
            throw new IllegalArgumentException("--radius-secret-file " + secretFile + ": expected a file of 1 to 4096 bytes, found "
                    + (bytes.length == 0 ? "none" : length));
        }
        return java.util.Arrays.copyOf(bytes, length);
    }

    private LoadResult runPlan(LoadPlan plan) throws InterruptedException {
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

    private void printResult(LoadPlan plan, LoadResult result) {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%-24s %9s %8s %9s %8s %8s %10s %8s %7s %9s %9s %9s%n", "class", "asked", "repeats", "served", "refused", "failed",
                "unanswered", "foreign", "unsent", "p50 ms", "p99 ms", "p99.9 ms");
        for (int i = 0; i < plan.parts().size(); i++) {
            int part = i;
            printRow(out, plan.parts().get(i).label(), counter -> result.count(part, counter),
                    fraction -> result.quantile(part, fraction));
        }
        printRow(out, "all", result::count, result::quantile);
        out.printf(Locale.ROOT, "%.1f served a second; own lateness p99 %.2f ms%n", result.rate(), result.ownLateness(0.99) / 1e3);
    }

    private static void printRow(PrintWriter out, String name, java.util.function.ToLongFunction<Counts.Of> count,
            java.util.function.DoubleToLongFunction quantile) {
        out.printf(Locale.ROOT, "%-24s %9d %8d %9d %8d %8d %10d %8d %7d %9.2f %9.2f %9.2f%n", name, count.applyAsLong(Of.ASKED),
                count.applyAsLong(Of.REPEATS), count.applyAsLong(Of.SERVED), count.applyAsLong(Of.REFUSED),
                count.applyAsLong(Of.FAILED), count.applyAsLong(Of.UNANSWERED), count.applyAsLong(Of.FOREIGN),
                count.applyAsLong(Of.UNSENT), quantile.applyAsLong(0.5) / 1e3, quantile.applyAsLong(0.99) / 1e3,
                quantile.applyAsLong(0.999) / 1e3);
    }
}
