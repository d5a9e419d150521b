package mastdrift.lab.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.lab.rig.Signals;

/** One process of a gateway: its configuration, its log, its signals, and what the record keeps of its life. */
final class SoakGateway {

    /** What all processes have alike. */
    record Terms(SoakRecord record, SoakRegistry registry, Signals signals, Path folder, String settings) { }

    static final int DESCRIPTORS = 256;
    private static final int FIRST_PORT = 15_000;
    private static final int PORTS = 17_000;
    private static final int PORTS_APART = 601;
    private static final AtomicInteger NEXT_PORT = new AtomicInteger();
    private static final int HEAP_MEGABYTES = 72;
    private static final long HOLDS_APART_MICROS = 500_000;

    private final Terms terms;
    private final SoakRecord.Run run;
    private final int port;
    private final CountDownLatch firstLine = new CountDownLatch(1);
    private final CountDownLatch ready = new CountDownLatch(1);
    private long heldAt = -1;
    private Process process;
    private String registryAt;

    private SoakGateway(String name, Terms terms, int port) {
        this.terms = terms;
        this.port = port;
        run = new SoakRecord.Run(name, terms.record.now());
    }

    /** Starts one; it knows the list as it is now, or as it was where {@code known} is given. */
    static SoakGateway start(String name, Terms terms, String known) throws IOException {
        SoakGateway gateway = new SoakGateway(name, terms, freePort());
        gateway.registryAt = terms.registry.open(name);
        gateway.configure(known);
        gateway.launch();
        return gateway;
    }

    /** A port that no connection takes for its own end until the process listens: below those that Linux gives out by itself, and apart from other runs at once. */
    private static int freePort() throws IOException {
        for (int i = 0; i < PORTS; i++) {
            int port = FIRST_PORT + (int) ((ProcessHandle.current().pid() * PORTS_APART + NEXT_PORT.getAndIncrement()) % PORTS);
            try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return free.getLocalPort();
            } catch (BindException e) {
                continue;
            }
        }
        throw new IOException("expected a free port from " + FIRST_PORT + " on, found none");
    }

    /** Whole or not at all: it may be read at any moment. */
    private Path configure(String known) throws IOException {
        Path next = terms.folder.resolve(run.name + ".next");
        Files.writeString(next, "{\"name\":\"" + run.name + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + DESCRIPTORS + "},\"discovery\":\"" + registryAt + "\",\"known\":" + known
                + ",\"settings\":" + terms.settings + "}");
        return Files.move(next, terms.folder.resolve(run.name + ".json"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private void launch() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xss512k",
                "-Xmx" + HEAP_MEGABYTES + "m", "-XX:MaxDirectMemorySize=16m", "-cp", System.getProperty("java.class.path"), "mastdrift.net.Main").redirectErrorStream(true);
        builder.environment().putAll(Map.of("NODE_NAME", run.name, "NODE_CONFIG", terms.folder.resolve(run.name + ".json").toString(), "NODE_LISTEN", "127.0.0.1:" + port));
        process = builder.start();
        terms.signals.add(process);
        terms.record.runs.add(run);
        Thread reader = new Thread(this::readLog, "soak-log-" + run.name);
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader log = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                PrintWriter kept = new PrintWriter(Files.newBufferedWriter(terms.folder.resolve(run.name + ".log")))) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                kept.println(terms.record.now() / 1_000 + " ms " + line);
                firstLine.countDown();
                if (line.startsWith("listening")) {
                    run.readyAt = terms.record.now();
                    ready.countDown();
                }
            }
        } catch (IOException e) {
            run.meant |= !process.isAlive();  // its log ends with it
        }
        run.endedAt = terms.record.now();
    }

    String name() {
        return run.name;
    }

    boolean isReady() {
        return run.readyAt >= 0;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Whether clients still come: it serves, and was not told to end more than {@code micros} ago. */
    boolean takesConnections(long micros) {
        return isReady() && process.isAlive() && (run.toldAt < 0 || terms.record.now() - run.toldAt < micros);
    }

    SoakClient.Target target() {
        return new SoakClient.Target(run.name, new InetSocketAddress("127.0.0.1", port));
    }

    boolean awaitReady(long millis) throws InterruptedException {
        return ready.await(millis, TimeUnit.MILLISECONDS);
    }

    boolean awaitFirstLine(long millis) throws InterruptedException {
        return firstLine.await(millis, TimeUnit.MILLISECONDS);
    }

    /** Stands still for so many milliseconds, unless it did so just before: two holds behind each other would be one that is longer than the pages have. */
    synchronized void hold(int millis) throws InterruptedException {
        if (heldAt >= 0 && terms.record.now() - heldAt < HOLDS_APART_MICROS) {
            return;
        }
        long from = terms.record.now();
        terms.signals.send("STOP", process);
        Thread.sleep(millis);
        terms.signals.send("CONT", process);
        long over = terms.record.now() - from - millis * 1_000L;
        heldAt = terms.record.now();
        terms.record.late.add(new SoakRecord.Late(heldAt, over));
    }

    /** Finds its registry where it is now, or elsewhere, by SIGHUP. */
    void hangUp(boolean moves) throws IOException {
        if (moves) {
            registryAt = terms.registry.move(run.name);
            configure(terms.registry.whole());
            terms.record.moves.add(new SoakRecord.Moved(run.name, terms.record.now()));
        }
        terms.signals.send("HUP", process);
    }

    /** SIGTERM. */
    void terminate() {
        run.meant = true;
        if (run.toldAt < 0) {
            run.toldAt = terms.record.now();
        }
        terms.signals.send("TERM", process);
    }

    /** SIGKILL, {@code planned} where it had its time since SIGTERM. */
    void kill(boolean planned) {
        if (!process.isAlive()) {
            return;
        }
        run.meant = true;
        run.planned = planned;
        run.killedAt = terms.record.now();
        terms.signals.send("KILL", process);
    }

    /** Once it has ended, or by force. */
    void letGo() throws IOException, InterruptedException {
        if (!process.waitFor(1, TimeUnit.SECONDS)) {
            run.meant = true;
            process.destroyForcibly().waitFor();
        }
        terms.signals.letGo(process);
        terms.registry.forget(run.name);
    }
}
