package mastdrift.lab.rig;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

/** A gateway of the rig, in its starts: a process that serves by a file in a folder of its own, on an address of its own. Every line of its log that is an event goes into the history. */
final class RigGateway {

    /** Ports on its address. */
    static final int HTTP = 8_080;
    static final int PEERS = 7_400;
    private static final int START_SECONDS = 60;
    private static final int END_SECONDS = 10;
    private static final String STATE = "state";
    private static final String STATE_THEN = "state-then";

    private final String name;
    private final String address;
    private final Path folder;
    private final History history;
    private final Signals signals;
    private volatile Process process;  // also looked at by who stops and wakes it
    private CountDownLatch serves;
    private AtomicBoolean meantToEnd;  // this process: the log of the one before may still be read to its end

    RigGateway(String name, String address, Path folder, History history, Signals signals) {
        this.name = name;
        this.address = address;
        this.folder = folder;
        this.history = history;
        this.signals = signals;
    }

    String name() {
        return name;
    }

    /** Its number in its name. */
    InetSocketAddress http() {
        return new InetSocketAddress(address, HTTP);
    }

    InetSocketAddress peers() {
        return new InetSocketAddress(address, PEERS);
    }

    Path file() {
        return folder.resolve("gateway.toml");
    }

    Path folder() {
        return folder;
    }

    /** Starts it; {@link #await} waits until it serves. */
    void start() throws IOException {
        start(2);
    }

    /** Likewise, one that knows of no others. */
    void startAlone() throws IOException {
        start(1);
    }

    private void start(int listeners) throws IOException {
        meantToEnd = new AtomicBoolean();
        serves = new CountDownLatch(listeners);
        List<String> command = List.of(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xmx96m",
                "-cp", System.getProperty("java.class.path"), "mastdrift.cli.Main", "serve", "--config", file().toString(), "--log", "json", "--cold");
        process = new ProcessBuilder(command).redirectErrorStream(true).start();
        signals.add(process);
        history.add(history.now(), name, "started", "pid", process.pid());
        Process mine = process;
        CountDownLatch mineServes = serves;
        AtomicBoolean meant = meantToEnd;
        Thread log = new Thread(() -> read(mine, mineServes, meant), "rig-log-" + name);
        log.setDaemon(true);
        log.start();
    }

    /** Until it serves clients and peers. */
    void await() throws IOException, InterruptedException {
        if (!serves.await(START_SECONDS, TimeUnit.SECONDS) || !process.isAlive()) {
            throw new IOException("expected gateway " + name + " to serve within " + START_SECONDS + " s, found " + (process.isAlive() ? "none" : "that it ended"));
        }
    }

    private void read(Process of, CountDownLatch latch, AtomicBoolean meant) {
        try (BufferedReader log = new BufferedReader(new InputStreamReader(of.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                Map<String, Object> fields = fields(line);
                Object event = fields.get("event");
                if (event == null) {
                    history.add(history.now(), name, "line", "text", line.length() > 500 ? line.substring(0, 500) : line);
                    continue;
                }
                if (event.equals("listening")) {
                    latch.countDown();
                }
                Object mono = fields.get("mono_us");
                long at = mono == null ? history.now() : history.at(Long.parseLong(mono.toString()));
                List<Object> more = new ArrayList<>();
                fields.forEach((key, value) -> {
                    if (!key.equals("event") && !key.equals("mono_us")) {
                        more.add(key);
                        more.add(value);
                    }
                });
                history.add(at, name, event.toString(), more.toArray());
            }
        } catch (IOException e) {
            history.add(history.now(), name, "log_broken", "text", e.toString());
        }
        latch.countDown();
        latch.countDown();
        history.add(history.now(), name, meant.get() ? "ended" : "crashed", "status", of.isAlive() ? -1 : of.exitValue());
    }

    /** What an event of the log has, by name, its text among them; empty for another line. */
    private static Map<String, Object> fields(String line) {
        Map<String, Object> fields = new HashMap<>();
        if (line.startsWith("{")) {
            try {
                Map<String, Object> all = JSON.std.mapFrom(line);
                if (all.get("kvpList") instanceof List<?> pairs) {
                    for (Object pair : pairs) {
                        if (pair instanceof Map<?, ?> each) {
                            each.forEach((key, value) -> fields.put(String.valueOf(key), value));
                        }
                    }
                }
                fields.put("text", all.get("formattedMessage"));
            } catch (IOException e) {
                fields.clear();
            }
        }
        return fields;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    Process process() {
        return process;
    }

    /** SIGSTOP or SIGCONT. */
    void signal(String signal) {
        signals.send(signal, process);
    }

    /** Killed, or told to end; waits until it has. */
    void end(boolean told) throws InterruptedException {
        meantToEnd.set(true);
        signals.send(told ? "TERM" : "KILL", process);
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
        signals.letGo(process);
    }

    /** Remembers its folder as it is. */
    void keep() throws IOException {
        copy(folder.resolve(STATE), folder.resolve(STATE_THEN));
    }

    /** Its folder is gone. */
    void lose() throws IOException {
        delete(folder.resolve(STATE));
    }

    /** Its folder is again what it was. */
    void putBack() throws IOException {
        lose();
        copy(folder.resolve(STATE_THEN), folder.resolve(STATE));
    }

    private static void copy(Path from, Path to) throws IOException {
        if (!Files.exists(from)) {
            return;
        }
        try (Stream<Path> paths = Files.walk(from)) {
            for (Path each : paths.toList()) {
                Path at = to.resolve(from.relativize(each));
                if (Files.isDirectory(each)) {
                    Files.createDirectories(at);
                } else {
                    Files.copy(each, at);
                }
            }
        }
    }

    static void delete(Path folder) throws IOException {
        if (Files.exists(folder)) {
            try (Stream<Path> paths = Files.walk(folder)) {
                for (Path each : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(each);
                }
            }
        }
    }
}
