package mastdrift.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** What the system says of a process and of itself, by /proc; 0 where it says nothing. */
final class Meter {

    private static final double TICKS = 100;

    private Meter() { }

    /** Bytes that were read and written by a process since its start, over sockets, pipes and files alike, and seconds of processor time. */
    record Used(long at, long in, long out, double cpu) { }

    static Used used(long pid) {
        double cpu = 0;
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            String[] after = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            cpu = (Long.parseLong(after[11]) + Long.parseLong(after[12])) / TICKS;
        } catch (IOException e) {
            return new Used(System.nanoTime(), 0, 0, 0);
        }
        return new Used(System.nanoTime(), number("/proc/" + pid + "/io", "rchar:"), number("/proc/" + pid + "/io", "wchar:"), cpu);
    }

    /** Bytes of a process in memory. */
    static long resident(long pid) {
        return number("/proc/" + pid + "/status", "VmRSS:") << 10;
    }

    /** Bytes that may be had without taking them from others; {@link Long#MAX_VALUE} where the system doesn't say. */
    static long available() {
        long free = number("/proc/meminfo", "MemAvailable:") << 10;
        return free == 0 ? Long.MAX_VALUE : free;
    }

    /** Open descriptors of a process, and sockets among them. */
    static int[] descriptors(long pid) {
        int[] counts = new int[2];
        try (Stream<Path> all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            for (Path each : all.toList()) {
                counts[0]++;
                try {
                    counts[1] += Files.readSymbolicLink(each).toString().startsWith("socket:") ? 1 : 0;
                } catch (IOException e) {
                    counts[0]--;  // closed meanwhile
                }
            }
        } catch (IOException e) {
            return new int[2];
        }
        return counts;
    }

    /** Bytes of live objects of a process of Java, by its own diagnostic command, which collects garbage first. */
    static long live(long pid) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(System.getProperty("java.home") + "/bin/jcmd", Long.toString(pid), "GC.class_histogram").redirectErrorStream(true).start();
        String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        return text.lines().filter(line -> line.startsWith("Total")).mapToLong(line -> Long.parseLong(line.strip().split("\\s+")[2])).findFirst()
                .orElseThrow(() -> new IOException("expected a histogram, found " + text.lines().limit(3).toList()));
    }

    /** Bytes of all files of a folder. */
    static long disk(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return 0;
        }
        try (Stream<Path> all = Files.walk(folder)) {
            return all.mapToLong(each -> Files.isRegularFile(each) ? each.toFile().length() : 0).sum();
        }
    }

    private static long number(String file, String key) {
        try {
            return Files.readAllLines(Path.of(file)).stream().filter(line -> line.startsWith(key)).mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
