package mastdrift.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mastdrift.lab.GatewayProcess;
import mastdrift.standin.GatewayFiles;

/** What hosts cost a gateway from files that nobody asks anything: processor time by thread, heap, resident memory; and what {@code check} of the same file costs. The hosts are in
    one list and listen nowhere: an idle gateway opens nothing. {@code HostsMeasurement SECONDS HOSTS...} (20; 500, 5000, 20000). */
public final class HostsMeasurement {

    private static final double TICKS = 100;  // of /proc, a second
    private static final int SETTLE_SECONDS = 30;  // until compilers rest
    private static final int CHECK_SECONDS = 120;

    private HostsMeasurement() { }

    /** Prints a line each. Reads /proc. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 20;
        int[] sizes = args.length > 1 ? Stream.of(args).skip(1).mapToInt(Integer::parseInt).toArray() : new int[] {500, 5_000, 20_000};
        for (int hosts : sizes) {
            try (GatewayFiles files = GatewayFiles.temporary()) {
                List<String> nodes = new ArrayList<>();
                for (int i = 0; i < hosts; i++) {
                    nodes.add(GatewayFiles.node("host-" + i, "127.64." + i / 250 + "." + (1 + i % 250) + ":9", i % 2 == 0 ? "bilbao" : "oviedo", ""));
                }
                files.save("nodes.toml", GatewayFiles.list(nodes));
                files.gateway(GatewayFiles.head("127.0.0.1:0", ""), GatewayFiles.CLASSES, GatewayFiles.pool("nodes", GatewayFiles.FREE));
                check(hosts, files.gateway());
                idle(hosts, files.gateway(), seconds);
            }
        }
    }

    private static void check(int hosts, Path file) throws IOException, InterruptedException {
        long began = System.nanoTime();
        Process process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp", System.getProperty("java.class.path"), "mastdrift.cli.Main", "check",
                file.toString()).redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        double cpu = 0;
        long peak = 0;
        while (!process.waitFor(10, TimeUnit.MILLISECONDS)) {
            cpu = Math.max(cpu, process.info().totalCpuDuration().map(used -> used.toNanos() / 1e9).orElse(0.0));
            peak = Math.max(peak, resident(process.pid(), "VmHWM:"));
            if (System.nanoTime() - began > CHECK_SECONDS * 1_000_000_000L) {
                process.destroyForcibly();
            }
        }
        System.out.printf(Locale.ROOT, "%d hosts: check ended with %d after %.2f s, %.2f s of processor time, %d MiB resident at most%n", hosts, process.exitValue(),
                (System.nanoTime() - began) / 1e9, cpu, peak >> 10);
    }

    private static void idle(int hosts, Path file, int seconds) throws IOException, InterruptedException {
        try (GatewayProcess gateway = GatewayProcess.start(null, List.of("-Xmx1g", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "mastdrift.cli.Main", "serve",
                "--config", file.toString()), Map.of(), 1)) {
            long pid = gateway.process().pid();
            TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
            Map<String, Long> before = threads(pid);
            long from = System.nanoTime();
            TimeUnit.SECONDS.sleep(seconds);
            double spent = (System.nanoTime() - from) / 1e9;
            Map<String, Long> used = threads(pid);
            before.forEach((thread, ticks) -> used.merge(thread, -ticks, Long::sum));
            used.values().removeIf(ticks -> ticks <= 0);
            StringBuilder by = new StringBuilder();
            used.entrySet().stream().sorted((one, other) -> Long.compare(other.getValue(), one.getValue())).limit(6)
                    .forEach(each -> by.append(String.format(Locale.ROOT, ", %s %.1f", each.getKey(), each.getValue() / TICKS / spent * 1e3)));
            System.out.printf(Locale.ROOT, "%d hosts: idle %.1f ms of processor time a second%s; heap %.2f MiB live, %d MiB resident%n", hosts,
                    used.values().stream().mapToLong(Long::longValue).sum() / TICKS / spent * 1e3, by, live(pid) / 1048576.0, resident(pid, "VmRSS:") >> 10);
        }
    }

    /** Ticks of the processor by the name of the thread. */
    private static Map<String, Long> threads(long pid) throws IOException {
        Map<String, Long> threads = new TreeMap<>();
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path task : tasks.toList()) {
                String stat = Files.readString(task.resolve("stat"));
                String[] after = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                threads.merge(stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')')), Long.parseLong(after[11]) + Long.parseLong(after[12]), Long::sum);
            }
        }
        return threads;
    }

    /** KiB by /proc, 0 where the process has ended. */
    private static long resident(long pid, String key) {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + pid + "/status"))) {
            return lines.filter(line -> line.startsWith(key)).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElse(0);
        } catch (IOException | java.io.UncheckedIOException e) {
            return 0;
        }
    }

    /** Bytes of live objects, by the machine's own diagnostic command, which collects garbage first. */
    private static long live(long pid) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(System.getProperty("java.home") + "/bin/jcmd", Long.toString(pid), "GC.class_histogram").redirectErrorStream(true).start();
        String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return text.lines().filter(line -> line.startsWith("Total")).mapToLong(line -> Long.parseLong(line.strip().split("\\s+")[2])).findFirst()
                .orElseThrow(() -> new IOException("expected a histogram, found " + text.lines().limit(3).toList()));
    }
}
