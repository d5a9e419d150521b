package mastdrift.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import mastdrift.agreed.AgreedLog.AppendOutcome;
import mastdrift.agreed.edge.RaftLog;
import mastdrift.agreed.edge.LogTransport;

/** The agreed log of some members in one process: threads and heap while it is idle, the time from an append to its being known, with fsync, and all members' processor time for
    one. Arguments: a folder (a disk's, or memory's), appends (200), members (3; 5 and 7 are allowed, too). */
public final class AgreedMeasurement {

    private static final long WAIT_SECONDS = 60;

    private AgreedMeasurement() { }

    /** Prints what it saw. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createDirectories(Path.of(args.length > 0 ? args[0] : "agreed-measurement"));
        int appends = args.length > 1 ? Integer.parseInt(args[1]) : 200;
        int members = args.length > 2 ? Integer.parseInt(args[2]) : 3;
        Map<String, BiConsumer<String, byte[]>> receivers = new ConcurrentHashMap<>();
        ExecutorService network = Executors.newSingleThreadExecutor();
        int threads = Thread.activeCount();
        double heap = Heap.used();
        List<String> names = List.of("a", "b", "c", "d", "e", "f", "g").subList(0, members);
        List<RaftLog> logs = new ArrayList<>();
        for (String name : names) {
            logs.add(new RaftLog(new RaftLog.Settings(name, "measured", "begin", names, folder.resolve(name), 3_600_000_000L), new LogTransport() {
                @Override
                public void send(String gateway, byte[] message) {
                    network.execute(() -> receivers.getOrDefault(gateway, (from, lost) -> { }).accept(name, message));
                }

                @Override
                public void onMessage(BiConsumer<String, byte[]> receiver) {
                    receivers.put(name, receiver);
                }
            }, decision -> { }, List::of, (bad, what, text, fields) -> { }));
        }
        append(logs.get(0), "first");
        System.out.printf(Locale.ROOT, "idle: %.1f threads and %.0f KiB of heap a member%n", (ManagementFactory.getThreadMXBean().getThreadCount() - threads - 1) / (double) members,
                (Heap.used() - heap) / 1024 / members);
        Duration used = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
        double[] micros = new double[appends];
        for (int i = 0; i < appends; i++) {
            long began = System.nanoTime();
            append(logs.get(i % members), "append-" + i);
            micros[i] = (System.nanoTime() - began) / 1e3;
        }
        Duration after = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
        Arrays.sort(micros);
        System.out.printf(Locale.ROOT, "append to known, one at a time, %d members: half within %.1f ms, 99%% within %.1f ms; %.2f ms of processor time an append, all members together%n",
                members, micros[appends / 2] / 1e3, micros[appends * 99 / 100] / 1e3, after.minus(used).toNanos() / 1e6 / appends);
        logs.forEach(RaftLog::close);
        network.shutdownNow();
        System.exit(0);
    }

    private static void append(RaftLog log, String id) throws Exception {
        for (int tries = 0; tries < 10; tries++) {
            CompletableFuture<AppendOutcome> outcome = new CompletableFuture<>();
            log.append(id, new byte[200], outcome::complete);
            if (outcome.get(WAIT_SECONDS, TimeUnit.SECONDS) instanceof AppendOutcome.Committed) {
                return;
            }
        }
        throw new IOException("expected " + id + " to be in, found that it isn't known");
    }
}
